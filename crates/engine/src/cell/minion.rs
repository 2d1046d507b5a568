//! A minion and the runs on it.

use crate::cell::crash::Suspicion;
use crate::cell::quarantine::Record;
use crate::cell::quota::Charge;
use crate::cell::restart;
use crate::cell::zone::ZoneIndex;
use crate::job::{Resources, Step, TaskName};
use crate::time::Time;
use serde::{Deserialize, Serialize};
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
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
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

/// A minion as listed by the platform.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Listing {
    /// Incarnation that wrote the listing, if the listing contains one.
    pub incarnation: Option<Incarnation>,
    /// Its resources.
    pub capacity: Resources,
    /// Its kind and its rack.
    pub labels: SmallVec<[Box<str>; 2]>,
    /// Its availability zone; empty if unknown.
    pub zone: Box<str>,
    /// Whether it is about to shut down on its own.
    pub draining: bool,
    /// While draining, the minimum time until it shuts down.
    pub remaining_ms: Option<u64>,
}

/// State of a run as known to its owner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunPhase {
    /// Its start was ordered and has not been answered.
    Ordered,
    /// Its start was not answered in time: it may run, or start later.
    Unanswered {
        /// When the start timed out.
        since: Time,
    },
    /// Its minion runs it.
    Active,
    /// It is to be stopped.
    Stopping {
        /// When the stop was last ordered.
        ordered: Time,
        /// When the minion confirmed the stop.
        confirmed: Option<Time>,
    },
}

/// A run of a task on a minion.
#[derive(Clone, Debug)]
pub struct Run {
    /// Its run number.
    pub number: u32,
    /// Its state.
    pub phase: RunPhase,
    /// What it takes of the minion's capacity.
    pub need: Resources,
    /// What it takes of its workspace's limit; `None` if nothing limits it.
    pub charge: Option<Charge>,
    /// Whether its task is a long-running one.
    pub long_running: bool,
    /// Whether a former owner started it, and this one found it.
    pub(crate) adopted: bool,
    /// When it was ordered.
    pub ordered_at: Time,
    /// When it was first known to run; until then, when it was ordered.
    pub began_at: Time,
    /// Whether its task is a best-effort one.
    pub best_effort: bool,
    /// For a serving task the last reported tail latency in milliseconds; for others the processor
    /// time in use.
    pub load: Option<u64>,
    /// Percentage of its full speed at which it may run.
    pub pace_percent: u8,
    /// When [`Run::pace_percent`] was last changed.
    pub pace_changed_at: Time,
    /// Progress in percent; for long-running tasks, 100 means active.
    pub percent: u8,
    /// When the progress last changed.
    pub progressed_at: Time,
    /// Whether its minion ever confirmed the start or listed the run.  A start without an answer
    /// may have reached a minion that had already terminated.
    pub is_start_confirmed: bool,
    /// Whether it was counted as lost with a former incarnation of its minion.
    pub(crate) is_loss_counted: bool,
    /// How long after its order its minion last listed it as running; `None` if it never did.
    pub listed_for: Option<Duration>,
    /// The suspicion of its task when it was ordered.
    pub suspicion: Suspicion,
}

impl Run {
    /// Creates a run of a task of `step` that was just ordered.
    pub(crate) fn new(number: u32, phase: RunPhase, step: Option<&Step>, now: Time) -> Self {
        Self {
            number,
            phase,
            need: step.map(Step::reserved_resources).unwrap_or_default(),
            charge: None,
            long_running: step.is_some_and(|step| step.long_running),
            best_effort: step.is_some_and(|step| step.best_effort),
            adopted: false,
            ordered_at: now,
            began_at: now,
            load: None,
            pace_percent: 100,
            pace_changed_at: Time(0),
            percent: 0,
            progressed_at: now,
            is_start_confirmed: phase == RunPhase::Active,
            is_loss_counted: false,
            listed_for: None,
            suspicion: Suspicion::default(),
        }
    }

    /// Time until it should end, by its progress if it reported any, else by its task's estimate.
    pub(crate) fn remaining(&self, estimate: Duration, now: Time) -> Duration {
        let elapsed = self.progressed_at.since(self.began_at);
        let total = match self.percent {
            percent @ 1..100 if !elapsed.is_zero() => elapsed.mul_f64(100.0 / f64::from(percent)),
            _ => estimate,
        };
        total.saturating_sub(now.since(self.began_at))
    }

    /// Records that its minion runs it.
    pub(crate) fn activate(&mut self, now: Time) {
        self.phase = RunPhase::Active;
        self.began_at = now;
        self.progressed_at = now;
    }
}

/// A minion.
#[derive(Debug)]
pub struct Minion {
    /// Its id.
    pub id: MinionId,
    /// Its latest listing.
    pub listing: Listing,
    /// Its zone among those of the cell.
    pub(crate) zone: ZoneIndex,
    /// Whether its zone has fallen silent, as of the current plan.
    pub(crate) in_silent_zone: bool,
    /// Whether the platform still lists it.
    pub listed: bool,
    /// Whether its machine is due for maintenance or a move, so that it is to be emptied.
    pub leaving: bool,
    /// Whether a former owner may have started tasks there.
    pub inherited: bool,
    /// Whether it may have restarted so recently that it executes calls of a former owner to its
    /// former incarnation.
    pub(crate) recently_restarted: bool,
    /// Whether it has answered this owner.
    pub answered: bool,
    /// Incarnation in the most recent answer that contained one.
    pub incarnation: Option<Incarnation>,
    /// When this incarnation first answered this owner.
    pub answering_since: Time,
    /// Former incarnations, oldest first.
    pub(crate) former_incarnations: SmallVec<[Incarnation; restart::MAX_FORMER_INCARNATIONS]>,
    /// When it last reported what runs there.
    pub reported_at: Time,
    /// When the latest poll was sent that it answered.
    pub polled_at: Time,
    /// When calls began to go unanswered; `None` while it answers.
    pub(crate) silent_since: Option<Time>,
    /// When the first poll was sent that it was to answer at once and did not, since its last
    /// answer.
    pub(crate) unanswered_since: Option<Time>,
    /// When all leases that it may have been given must have expired, on any clock.
    pub lease_expiry: Time,
    pub(crate) runs: BTreeMap<TaskName, Run>,
    pub(crate) used: Resources,
    /// Number of runs of long-running tasks.
    pub(crate) long_running_count: usize,
    /// Number of runs of tasks that need isolation.
    pub(crate) isolated_runs: usize,
    /// Whether its capacity is reserved for a task that found none, in the current plan.
    pub(crate) reserved: bool,
    /// Number of the last run end processed.
    pub(crate) seen: u64,
    /// Number of the last run end that may be acknowledged.
    pub(crate) acknowledged: u64,
    /// What the failures of its runs say about it.
    pub(crate) record: Record,
    /// Jobs whose tasks were slow here since one was fast.
    pub(crate) slow_jobs: BTreeSet<crate::job::Id>,
    /// No tasks are started before this time.
    pub(crate) quarantined_until: Time,
}

impl Minion {
    pub(crate) fn new(id: MinionId, listing: Listing, listed: bool) -> Self {
        Self {
            id,
            listing,
            zone: ZoneIndex::default(),
            in_silent_zone: false,
            listed,
            leaving: false,
            inherited: false,
            recently_restarted: false,
            answered: false,
            incarnation: None,
            answering_since: Time(0),
            former_incarnations: SmallVec::new(),
            reported_at: Time(0),
            polled_at: Time(0),
            silent_since: None,
            unanswered_since: None,
            lease_expiry: Time(0),
            runs: BTreeMap::new(),
            used: Resources::default(),
            long_running_count: 0,
            isolated_runs: 0,
            reserved: false,
            seen: 0,
            acknowledged: 0,
            record: Record::default(),
            slow_jobs: BTreeSet::new(),
            quarantined_until: Time(0),
        }
    }

    /// Whether its last call was answered.
    pub fn is_reachable(&self) -> bool {
        self.answered && self.silent_since.is_none()
    }

    /// Its free capacity, as far as known.
    pub fn free(&self) -> Resources {
        self.listing.capacity.minus(&self.used)
    }

    /// Its free capacity once all runs that end by themselves have ended.
    pub(crate) fn free_after_ending_runs(&self) -> Resources {
        let long_running = self.runs.values().filter(|run| run.long_running);
        let used = long_running.fold(Resources::default(), |sum, run| sum.plus(&run.need));
        self.listing.capacity.minus(&used)
    }

    /// Whether nothing runs there, as far as known.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// Number of the last run end that may be acknowledged, so that the minion can forget it.
    pub fn acknowledged(&self) -> u64 {
        self.acknowledged
    }

    /// Whether some processed ends may not be acknowledged yet.
    pub fn has_unpersisted(&self) -> bool {
        self.seen > self.acknowledged
    }

    /// Its rack, which is the second label of its listing.
    pub fn rack(&self) -> Option<&str> {
        self.listing.labels.get(1).map(|label| &**label)
    }

    /// Whether it can be given tasks.
    pub(crate) fn accepts_tasks(&self, now: Time) -> bool {
        !self.leaving && self.is_usable(now)
    }

    /// Whether it can be given a long-running task that fits nowhere else, although it is to be
    /// emptied, or quarantined because runs failed there.
    ///
    /// An empty one that is to be emptied may be ordered to shut down at any moment, so it never gets
    /// tasks again.  One with runs is not shut down before this owner has reported it as empty.
    pub(crate) fn is_fallback(&self, now: Time) -> bool {
        let is_emptied = self.leaving && !self.is_empty() && self.is_usable(now);
        is_emptied || !self.reserved && self.is_only_doubted(now)
    }

    fn is_usable(&self, now: Time) -> bool {
        !self.reserved && self.is_able(now)
    }

    /// Whether it can run further tasks, regardless of who may use its capacity.
    pub(crate) fn is_able(&self, now: Time) -> bool {
        now >= self.quarantined_until && self.is_able_unless_quarantined()
    }

    /// Whether it can run further tasks once its quarantine ends.
    pub(crate) fn is_able_unless_quarantined(&self) -> bool {
        self.listed
            && self.answered
            && self.is_reachable()
            && self.has_current_listing()
            && !self.listing.draining
            && !self.in_silent_zone
            && !self.runs_isolated_trial()
    }

    pub(crate) fn insert_run(&mut self, task: TaskName, run: Run) {
        self.remove_run(&task);
        self.used = self.used.plus(&run.need);
        self.long_running_count += usize::from(run.long_running);
        self.isolated_runs += usize::from(run.suspicion.needs_isolation());
        self.runs.insert(task, run);
    }

    pub(crate) fn remove_run(&mut self, task: &TaskName) -> Option<Run> {
        let run = self.runs.remove(task)?;
        self.used = self.used.minus(&run.need);
        self.long_running_count -= usize::from(run.long_running);
        self.isolated_runs -= usize::from(run.suspicion.needs_isolation());
        Some(run)
    }

    /// Takes all runs.
    pub(crate) fn take_runs(&mut self) -> BTreeMap<TaskName, Run> {
        self.used = Resources::default();
        self.long_running_count = 0;
        self.isolated_runs = 0;
        std::mem::take(&mut self.runs)
    }

    /// The run of a task with this number.
    pub(crate) fn run(&self, task: &TaskName, number: u32) -> Option<&Run> {
        self.runs.get(task).filter(|run| run.number == number)
    }
}
