//! One service's jobs and minions, as their owner sees them.
//!
//! The owner feeds in what it learns and carries out the [`Order`]s that [`Cell::plan`]
//! returns.  [`job`](self::work) holds the jobs, [`minion`] the minions with what runs there,
//! [`report`] takes in what minions say, [`restart`] detects a new incarnation of a minion,
//! [`plan`] decides what starts and stops, [`place`]
//! finds a minion for a task, [`sequence`] orders the waiting jobs, [`keep`] says what must be
//! written before an end may be acknowledged, [`advice`] holds tickets, [`pace`] slows down what
//! disturbs serving tasks, [`straggler`] finds slow minions, [`crash`] tasks that crash theirs,
//! [`idle`] notes jobs that could run and don't, [`quota`] bounds what a workspace has running, [`permit`] says what may be started while the store is away.
//!
//! Three rules carry the promise that no task runs twice:
//! - a run counts as over only when its minion listed its end, answered a stop and no longer
//!   lists it, ended as a whole, or its lease must have lapsed on any clock;
//! - a new owner starts nothing of the jobs it took over before each minion of its predecessor
//!   has answered with both its lists, or its lease must have lapsed;
//! - an end is acknowledged only after it is kept.

pub mod advice;
pub mod crash;
pub mod idle;
pub mod keep;
mod load;
pub mod minion;
mod pace;
pub mod permit;
pub mod place;
pub mod plan;
pub mod quota;
pub mod report;
mod restart;
pub mod sequence;
mod straggler;
pub mod work;

use crate::job::{Accepted, Id, Origin, Progress, Resources, State, TaskName};
use crate::quota::Summary;
use crate::time::Time;
pub use advice::Query;
pub use idle::Guard;
pub use keep::{Batch, EndCursor};
pub use minion::{Incarnation, Listing, Minion, MinionId};
pub use permit::Permit;
pub use plan::Order;
pub use quota::Charge;
pub use report::{End, How, Refusal, Report, Running, StartResult};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
pub use work::Job;

/// Run numbers left to each owner of a cell.  A new owner doesn't know the highest number that
/// its predecessor used for a task whose minion doesn't answer; with a range of its own it
/// never needs to.
const RUNS_PER_GENERATION: u32 = 10_000;

/// Time limits and weights of a cell.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The cell's name: its service's.
    pub name: Box<str>,
    /// Its owner's fencing token.
    pub token: u64,
    /// Longest time that a minion takes to stop a run.
    pub stop_timeout: Duration,
    /// How long an ended job is kept for its caller to ask for.
    pub retention: Duration,
    /// A run without progress for this many times its estimate, and at least
    /// [`Settings::stall_least`], is taken for hanging.  Declared times are off by a fifth and
    /// slow minions take six times as long while progressing, so only a standstill counts.
    pub stall_factor: f64,
    /// See [`Settings::stall_factor`].
    pub stall_least: Duration,
    /// How long a minion that failed tasks of two jobs in a row is left out; doubled each time.
    pub quarantine: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            name: "cell".into(),
            token: 1,
            stop_timeout: Duration::from_millis(900),
            retention: Duration::from_secs(150),
            stall_factor: 1.0,
            stall_least: Duration::from_millis(1500),
            quarantine: Duration::from_millis(2000),
        }
    }
}

/// How a queue's jobs are to be treated, from the configuration in force.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// 0 is the most urgent.
    pub priority: u32,
    /// Runs of a task that may fail before the job fails.
    pub attempts: u32,
    /// The objective is this many times the longest chain ...
    pub stretch: f64,
    /// ... and this many milliseconds more.
    pub target_ms: u64,
    /// Whether starts need a ticket.
    pub advised: bool,
    /// Whether callers need no key.
    pub public: bool,
}

impl Default for Queue {
    fn default() -> Self {
        Self {
            priority: 1,
            attempts: 3,
            stretch: 2.0,
            target_ms: 1000,
            advised: false,
            public: false,
        }
    }
}

/// The state of one service.
#[derive(Debug)]
pub struct Cell {
    pub(crate) settings: Settings,
    /// How many owners the cell had before this one.
    pub(crate) generation: u32,
    pub(crate) queues: BTreeMap<Box<str>, Queue>,
    pub(crate) jobs: BTreeMap<Id, Job>,
    /// Jobs that have not ended.
    pub(crate) active: BTreeSet<Id>,
    /// Jobs of which something is to be kept.
    pub(crate) changed: BTreeSet<Id>,
    pub(crate) minions: BTreeMap<MinionId, Minion>,
    /// When all runs were last looked at for what must stop; none while that can't wait.
    pub(crate) swept: Option<Time>,
    /// When it was last looked for jobs that could run and don't.
    pub(crate) looked: Option<Time>,
    /// Needs for which no minion has room, in the plan being made.
    pub(crate) full: place::Full,
    /// When runs that the former owner started must have lapsed on minions that don't answer;
    /// none for the first owner.
    pub(crate) former_lapse: Option<Time>,
    /// Mean work of a queue's jobs, in core-milliseconds, learnt from those seen.
    pub(crate) mean_work: BTreeMap<Box<str>, f64>,
    /// What is known of steps that need tickets.
    pub(crate) advice: BTreeMap<TaskName, advice::Advice>,
    /// Questions to ask about them.
    pub(crate) queries: Vec<Query>,
    /// What was decided since the notes were last taken.
    pub(crate) notes: Vec<Note>,
    /// What its workspaces may have running.
    pub(crate) accounts: quota::Accounts,
    /// Minions lost lately, to tell which losses came together.
    pub(crate) losses: Vec<crash::Loss>,
}

/// Notes held until they are taken; more are left out, as they are only for the log.
const MAX_NOTES: usize = 256;

/// A decision that gives up or takes away something, for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Note {
    /// A run's end was taken in.
    Ended {
        /// The minion.
        minion: MinionId,
        /// The end.
        end: End,
    },
    /// A run's lease must have lapsed, so it counts as over.
    Lapsed {
        /// The minion.
        minion: MinionId,
        /// The task.
        task: TaskName,
        /// The run's number.
        run: u32,
        /// When the lease must have lapsed.
        at: Time,
    },
    /// A run ended with its minion's life.
    Lost {
        /// The minion.
        minion: MinionId,
        /// The task.
        task: TaskName,
        /// The run's number.
        run: u32,
        /// Time since it was ordered.
        age: Duration,
        /// Whether its minion was ever seen to run it.
        listed: bool,
        /// How many other runs ended with it.
        beside: usize,
    },
    /// A minion's unplanned end, or one that may be, counts against a task that ran there.
    Suspected {
        /// The minion.
        minion: MinionId,
        /// The task.
        task: TaskName,
        /// All points that its task has now.
        points: u8,
        /// Whether they are enough to give its job up.
        given_up: bool,
    },
    /// Its minion no longer lists a run that it had.
    Vanished {
        /// The minion.
        minion: MinionId,
        /// The task.
        task: TaskName,
        /// The run's number.
        run: u32,
        /// Number of the last run end processed from this minion.
        seen: u64,
        /// Number of the last run end that may be acknowledged to this minion.
        acknowledged: u64,
    },
    /// A minion answered with a different incarnation under the same id.
    Restarted {
        /// The minion.
        minion: MinionId,
        /// Incarnation last known before this answer.
        former: Incarnation,
        /// Incarnation in this answer.
        current: Incarnation,
        /// Number of runs lost with the former incarnation.
        runs: usize,
        /// Number of the last run end processed before this answer.
        seen: u64,
        /// Number of the last run end that could be acknowledged before this answer.
        acknowledged: u64,
    },
    /// A run was found on a minion and taken over.
    Adopted {
        /// The minion.
        minion: MinionId,
        /// The task.
        task: TaskName,
        /// The run's number.
        run: u32,
    },
    /// A run has stood still.
    Stalled {
        /// The minion.
        minion: MinionId,
        /// The task.
        task: TaskName,
        /// Percent at which it stands.
        percent: u8,
    },
    /// A lasting task is moved off a leaving minion.
    Evacuated {
        /// The minion.
        minion: MinionId,
        /// The task.
        task: TaskName,
    },
    /// Nothing of a job runs although some minion has room for it.
    Idle {
        /// The task that could run.
        task: TaskName,
        /// Where it counts as placed.
        placed: Option<MinionId>,
        /// What keeps it from each minion.
        guards: Vec<(MinionId, Guard)>,
    },
    /// A task waits for its workspace's limit; told once a job.
    Held {
        /// The task.
        task: TaskName,
        /// Its workspace.
        workspace: Box<str>,
        /// What it needs; a gang, all that its members need.
        need: Resources,
        /// Whether that is more than the whole limit.
        is_larger: bool,
        /// What is known of the workspace.
        summary: Summary,
    },
    /// A minion gets no tasks for a while.
    Quarantined {
        /// The minion.
        minion: MinionId,
        /// Until when.
        until: Time,
    },
}

impl Cell {
    /// An empty cell for an owner with this many predecessors.
    ///
    /// `former_lapse` is when everything that a predecessor started must have lapsed on
    /// minions that never answer.
    pub fn new(settings: Settings, generation: u32, former_lapse: Option<Time>) -> Self {
        Self {
            settings,
            generation,
            queues: BTreeMap::new(),
            jobs: BTreeMap::new(),
            active: BTreeSet::new(),
            changed: BTreeSet::new(),
            minions: BTreeMap::new(),
            swept: None,
            looked: None,
            full: place::Full::default(),
            former_lapse,
            mean_work: BTreeMap::new(),
            advice: BTreeMap::new(),
            queries: Vec::new(),
            notes: Vec::new(),
            accounts: quota::Accounts::new(former_lapse.is_none()),
            losses: Vec::new(),
        }
    }

    /// Takes the queues of the configuration in force.  A queue that was dropped keeps its last
    /// policy, for the jobs accepted before.
    pub fn configure(&mut self, queues: impl IntoIterator<Item = (Box<str>, Queue)>) {
        self.queues.extend(queues);
    }

    /// A queue's policy.
    pub(crate) fn queue(&self, name: &str) -> Queue {
        self.queues.get(name).cloned().unwrap_or_default()
    }

    /// Takes in an accepted job; true if it was not known.
    ///
    /// `inherited` says that a former owner may have started tasks of it.
    pub fn add_job(
        &mut self,
        id: Id,
        accepted: Accepted,
        progress: Option<&Progress>,
        inherited: bool,
        age: Duration,
        now: Time,
    ) -> bool {
        if self.jobs.contains_key(&id) {
            return false;
        }
        let work = accepted.definition.core_ms() as f64;
        let mean = self.mean_work.entry(accepted.queue.clone()).or_insert(work);
        // A twentieth of each new job: some twenty jobs are remembered, which at ten a second
        // follows a change of the mix within a few seconds.
        *mean += (work - *mean) * 0.05;
        let account = self.open_account(&accepted.origin, now);
        let mut job = Job::new(accepted, inherited, now - age);
        job.account = account;
        job.known = now;
        if let Some(progress) = progress {
            job.restore(progress);
        }
        // Its last owner was lost before it knew of the crash that proves it.
        if !job.state().is_final() && job.crashes_minions() {
            job.fail(now);
            self.changed.insert(id);
        }
        if job.state().is_final() {
            job.ended = Some(now);
        } else {
            self.active.insert(id);
        }
        self.jobs.insert(id, job);
        true
    }

    /// Takes note of a cancellation; its runs are stopped by the next plan.
    pub fn cancel(&mut self, id: &Id, now: Time) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        if !job.state().is_final() {
            job.cancelled = true;
            job.ended = Some(now);
            self.active.remove(id);
            self.swept = None;
        }
    }

    /// What to tell a caller; none for an unknown job.
    ///
    /// An outcome is told only once it is kept: a later owner must never start again what a
    /// caller was told to be completed.  A cancellation was kept before it came here.
    pub fn state(&self, id: &Id) -> Option<State> {
        let job = self.jobs.get(id)?;
        let told = match job.outcome {
            Some(_) if !job.is_kept() => State::Running,
            _ => job.state(),
        };
        Some(told)
    }

    /// The same for a caller; none also for a job that isn't its to see.
    pub fn state_for(&self, id: &Id, caller: &Origin) -> Option<State> {
        let job = self.jobs.get(id)?;
        if caller.may_access(&job.accepted.origin) { self.state(id) } else { None }
    }

    /// How many jobs of a queue wait for their first task.
    pub fn pending(&self, queue: &str) -> usize {
        let waits = |id: &&Id| {
            let job = &self.jobs[*id];
            &*job.accepted.queue == queue && !job.started
        };
        self.active.iter().filter(waits).count()
    }

    /// Takes the notes.
    pub fn take_notes(&mut self) -> Vec<Note> {
        std::mem::take(&mut self.notes)
    }

    pub(crate) fn note(&mut self, note: Note) {
        if self.notes.len() < MAX_NOTES {
            self.notes.push(note);
        }
    }

    /// The minions.
    pub fn minions(&self) -> impl Iterator<Item = &Minion> {
        self.minions.values()
    }

    /// One minion.
    pub fn minion(&self, id: &str) -> Option<&Minion> {
        self.minions.get(id)
    }

    /// One job.
    pub fn job(&self, id: &Id) -> Option<&Job> {
        self.jobs.get(id)
    }

    /// Whether tasks of inherited jobs may be started: nothing of them can still be running
    /// where this owner doesn't see it.
    pub fn is_settled(&self, now: Time) -> bool {
        match self.former_lapse {
            None => true,
            Some(lapse) => {
                let mut inherited = self.minions.values().filter(|minion| minion.inherited);
                now >= lapse || inherited.all(|minion| minion.answered)
            }
        }
    }

    /// Drops jobs whose retention is over and returns them, so that their rows can go too.
    pub fn expire(&mut self, now: Time) -> Vec<Id> {
        let retention = self.settings.retention;
        let over = |job: &Job| job.ended.is_some_and(|at| now.since(at) > retention);
        let ids: Vec<Id> =
            self.jobs.iter().filter(|(_, job)| over(job)).map(|(id, _)| *id).collect();
        for id in &ids {
            self.jobs.remove(id);
            self.changed.remove(id);
        }
        self.forget_advice();
        ids
    }

    /// The first number for a run of a task under this owner that is above `last`.
    pub(crate) fn next_run(&self, last: u32) -> u32 {
        (last + 1).max(self.generation * RUNS_PER_GENERATION + 1)
    }

    /// Whether a task's end is still of interest.
    pub(crate) fn task_exists(&self, name: &TaskName) -> bool {
        self.jobs.get(&name.job).is_some_and(|job| job.flat(name).is_some())
    }
}
