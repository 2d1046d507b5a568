//! A minion and what runs on it.

use crate::cell::crash::Suspicion;
use crate::cell::quota::Charge;
use crate::cell::restart;
use crate::job::{Resources, Step, TaskName};
use crate::time::Time;
use smallvec::SmallVec;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

/// A minion's id, which may stay the same across restarts.
pub type MinionId = Arc<str>;

/// Start time of a minion, in milliseconds since the Unix epoch on the minion's own clock.
///
/// Distinguishes restarts of a minion that keeps its id.  Incarnations are not ordered, because the
/// clock may have been adjusted between restarts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Incarnation {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        text.parse().map(Self)
    }
}

/// A minion as the platform's list has it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Listing {
    /// Incarnation that wrote the entry, if the entry contains one.
    pub incarnation: Option<Incarnation>,
    /// What it can hold.
    pub capacity: Resources,
    /// Its kind and its rack.
    pub labels: SmallVec<[Box<str>; 2]>,
    /// Whether it will leave by itself.
    pub draining: bool,
    /// While draining, the least time that is left.
    pub remaining_ms: Option<u64>,
}

/// How far a run has come, as its owner knows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunPhase {
    /// Its start was ordered and is being waited for.
    Ordered,
    /// Its start was not answered in time: it may run, or begin later.
    Unanswered {
        /// When the wait was given up.
        since: Time,
    },
    /// Its minion has it.
    Active,
    /// It is to be stopped; `confirmed` is when the minion answered the stop.
    Stopping {
        /// When the stop was last ordered.
        ordered: Time,
        /// When the minion answered it.
        confirmed: Option<Time>,
    },
}

/// A run of a task on a minion.
#[derive(Clone, Debug)]
pub struct Run {
    /// Its number.
    pub number: u32,
    /// How far it has come.
    pub phase: RunPhase,
    /// What it takes of the capacity.
    pub need: Resources,
    /// What it takes of its workspace's limit; none where nothing limits it.
    pub charge: Option<Charge>,
    /// Whether its task is a lasting one.
    pub lasting: bool,
    /// When it was ordered.
    pub since: Time,
    /// Whether its task only fills.
    pub fills: bool,
    /// For a serving task the tail of its response times in milliseconds, as last reported; for
    /// others the processor time in use.
    pub load: Option<u64>,
    /// Percent at which it is let work, and since when.
    pub pace: u8,
    /// See [`Run::pace`].
    pub paced: Time,
    /// Percent of its work that is done; for lasting tasks, 100 means at work.
    pub percent: u8,
    /// When the percentage last changed.
    pub moved: Time,
    /// Whether its minion ever said that it has it.  A start without an answer may have come to one that was gone.
    pub begun: bool,
    /// How long after its order its minion last listed it as running; none if it never did.
    pub listed_for: Option<Duration>,
    /// What was held against its task when it was ordered.
    pub suspicion: Suspicion,
}

impl Run {
    /// A run that is just ordered, of a task of this step.
    pub(crate) fn new(number: u32, phase: RunPhase, step: Option<&Step>, now: Time) -> Self {
        Self {
            number,
            phase,
            need: step.map(Step::reserved_resources).unwrap_or_default(),
            charge: None,
            lasting: step.is_some_and(|step| step.long_running),
            fills: step.is_some_and(|step| step.best_effort),
            since: now,
            load: None,
            pace: 100,
            paced: Time(0),
            percent: 0,
            moved: now,
            begun: phase == RunPhase::Active,
            listed_for: None,
            suspicion: Suspicion::default(),
        }
    }
}

/// A minion.
#[derive(Debug)]
pub struct Minion {
    /// Its id.
    pub id: MinionId,
    /// As listed last.
    pub listing: Listing,
    /// Whether the platform's list still has it.
    pub listed: bool,
    /// Whether its machine is due for maintenance or a move, so that it is to be emptied.
    pub leaving: bool,
    /// Whether a former owner may have started something there.
    pub inherited: bool,
    /// Whether it has answered this owner.
    pub answered: bool,
    /// Incarnation in the most recent answer that contained one.
    pub incarnation: Option<Incarnation>,
    /// Previous incarnations, oldest first.
    pub(crate) former_incarnations: SmallVec<[Incarnation; restart::MAX_FORMER_INCARNATIONS]>,
    /// When it last told what runs there.
    pub reported: Time,
    /// Since when calls go unanswered; none while it answers.
    pub(crate) silent_since: Option<Time>,
    /// When all leases that it may have been given must have lapsed, on any clock.
    pub lapse: Time,
    pub(crate) runs: BTreeMap<TaskName, Run>,
    pub(crate) used: Resources,
    /// How many of the runs are of lasting tasks.
    pub(crate) lasting: usize,
    /// How many of the runs are of tasks that may crash it.
    pub(crate) guarded: usize,
    /// Whether its room is kept for a task that found none, in the plan being made.
    pub(crate) reserved: bool,
    /// Number of the last end taken in.
    pub(crate) seen: u64,
    /// Number of the last end that may be acknowledged.
    pub(crate) acknowledged: u64,
    /// Jobs whose tasks failed here since the last success.
    pub(crate) failing: BTreeSet<crate::job::Id>,
    /// Jobs whose tasks were slow here since one was swift.
    pub(crate) slow_jobs: BTreeSet<crate::job::Id>,
    /// Quarantines in a row.
    pub(crate) strikes: u32,
    /// No tasks are started before.
    pub(crate) quarantined: Time,
}

impl Minion {
    pub(crate) fn new(id: MinionId, listing: Listing, listed: bool) -> Self {
        Self {
            id,
            listing,
            listed,
            leaving: false,
            inherited: false,
            answered: false,
            incarnation: None,
            former_incarnations: SmallVec::new(),
            reported: Time(0),
            silent_since: None,
            lapse: Time(0),
            runs: BTreeMap::new(),
            used: Resources::default(),
            lasting: 0,
            guarded: 0,
            reserved: false,
            seen: 0,
            acknowledged: 0,
            failing: BTreeSet::new(),
            slow_jobs: BTreeSet::new(),
            strikes: 0,
            quarantined: Time(0),
        }
    }

    /// Whether its last call was answered.
    pub fn is_reachable(&self) -> bool {
        self.answered && self.silent_since.is_none()
    }

    /// What is free, as far as known.
    pub fn free(&self) -> Resources {
        self.listing.capacity.minus(&self.used)
    }

    /// What is free once all that ends by itself has ended.
    pub(crate) fn free_in_the_end(&self) -> Resources {
        let lasting = self.runs.values().filter(|run| run.lasting);
        let used = lasting.fold(Resources::default(), |sum, run| sum.plus(&run.need));
        self.listing.capacity.minus(&used)
    }

    /// Whether nothing runs there, as far as known.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// Up to which end it may forget.
    pub fn acknowledged(&self) -> u64 {
        self.acknowledged
    }

    /// Whether some ends were taken in and may not be acknowledged yet.
    pub fn has_unkept(&self) -> bool {
        self.seen > self.acknowledged
    }

    /// The rack, by the listing's second label.
    pub fn rack(&self) -> Option<&str> {
        self.listing.labels.get(1).map(|label| &**label)
    }

    /// Whether it can be given tasks.
    pub(crate) fn takes_work(&self, now: Time) -> bool {
        !self.leaving && self.is_sound(now)
    }

    /// Whether it can be given a lasting task that finds no room elsewhere, although it is to be
    /// emptied.
    ///
    /// One that is empty may be ordered down at any moment, and is never filled again.  One that
    /// isn't can't be before this owner has said that it is.
    pub(crate) fn is_refuge(&self, now: Time) -> bool {
        self.leaving && !self.is_empty() && self.is_sound(now)
    }

    fn is_sound(&self, now: Time) -> bool {
        self.listed
            && self.answered
            && self.is_reachable()
            && self.has_current_listing()
            && !self.listing.draining
            && !self.reserved
            && !self.is_proving_ground()
            && now >= self.quarantined
    }

    pub(crate) fn insert(&mut self, task: TaskName, run: Run) {
        self.remove(&task);
        self.used = self.used.plus(&run.need);
        self.lasting += usize::from(run.lasting);
        self.guarded += usize::from(run.suspicion.is_guarded());
        self.runs.insert(task, run);
    }

    pub(crate) fn remove(&mut self, task: &TaskName) -> Option<Run> {
        let run = self.runs.remove(task)?;
        self.used = self.used.minus(&run.need);
        self.lasting -= usize::from(run.lasting);
        self.guarded -= usize::from(run.suspicion.is_guarded());
        Some(run)
    }

    /// Takes all runs out.
    pub(crate) fn clear(&mut self) -> BTreeMap<TaskName, Run> {
        self.used = Resources::default();
        self.lasting = 0;
        self.guarded = 0;
        std::mem::take(&mut self.runs)
    }

    /// The run of a task with this number.
    pub(crate) fn run(&self, task: &TaskName, number: u32) -> Option<&Run> {
        self.runs.get(task).filter(|run| run.number == number)
    }
}
