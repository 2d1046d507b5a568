//! State of one service's jobs and minions, as held by the owner of its cell.
//!
//! The owner passes in what it learns and carries out the [`Order`]s that [`Cell::plan`] returns.
//!
//! - [`work`]: the jobs and their tasks
//! - [`minion`]: the minions and the runs on each
//! - [`report`]: processes the answers of minions
//! - [`restart`]: detects a new incarnation of a minion
//! - [`plan`]: decides which runs to start and stop
//! - [`start`]: gives free capacity to the waiting jobs
//! - [`place`]: selects a minion for a task
//! - [`evacuation`]: moves long-running tasks off minions that are to be emptied
//! - [`ranking`]: ranks the waiting jobs
//! - [`cancellation`]: cancels jobs
//! - [`retention`]: removes ended jobs
//! - [`footprint`]: estimates the memory that a job takes
//! - [`persist`]: tracks what must be persisted before a run end may be acknowledged
//! - [`policies`]: holds the policies of queues and workspaces
//! - [`advice`]: holds tickets
//! - [`availability`]: counts the tasks of long-running steps that are at work
//! - [`pace`]: throttles tasks that disturb serving tasks
//! - [`straggler`]: finds slow minions
//! - [`takeover`]: tracks what a former owner may have started
//! - [`crash`]: finds tasks that crash their minions
//! - [`capacity`]: reports unused capacity beside waiting tasks
//! - [`idle`]: reports jobs that could run and do not
//! - [`quota`]: limits what a workspace has running
//! - [`share`]: shares the capacity between workspaces while it is short
//! - [`permit`]: limits what may be started while the store is unavailable
//!
//! Three rules ensure that no task runs twice:
//!
//! - A run counts as ended only when its minion listed its end, confirmed a stop and no longer
//!   lists it, terminated, or the run's lease must have expired on any clock.
//! - A new owner starts nothing of the jobs it took over until each minion of its predecessor has
//!   answered with both its lists, or its lease must have expired.
//! - A run end is acknowledged only after it is persisted.

pub mod advice;
pub mod availability;
pub mod cancellation;
pub mod capacity;
pub mod crash;
mod evacuation;
mod event;
mod failure;
pub mod footprint;
pub mod idle;
mod load;
pub mod minion;
mod pace;
pub mod permit;
pub mod persist;
pub mod place;
pub mod plan;
pub mod policies;
mod quarantine;
pub mod quota;
pub mod ranking;
pub mod report;
mod restart;
mod retention;
mod settings;
pub mod share;
mod stall;
mod start;
mod straggler;
mod takeover;
pub mod work;
pub(crate) mod zone;

pub use crate::job::Queue;
use crate::job::{Accepted, Id, Origin, Progress, State, TaskName};
use crate::time::Time;
pub use advice::Query;
pub use availability::{Availability, StopReason};
pub use crash::{Certainty, Circumstances, Doubt};
pub use event::Event;
pub use failure::FailureReason;
pub use idle::Blocker;
pub use load::Counts;
pub use minion::{Incarnation, Listing, Minion, MinionId};
pub use permit::Permit;
pub use persist::{Batch, EndCursor};
pub use plan::Order;
pub use quota::Charge;
pub use report::{End, EndReason, Refusal, Report, Running, StartResult};
pub use settings::Settings;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::AtomicU64;
use std::time::Duration;
pub use work::Job;

/// Run numbers reserved for each owner of a cell.  A new owner does not know the highest number
/// that its predecessor used for a task whose minion does not answer, so each owner uses a range of
/// its own.
const RUNS_PER_GENERATION: u32 = 10_000;

/// State of one service.
#[derive(Debug)]
pub struct Cell {
    pub(crate) settings: Settings,
    /// Number of owners that the cell had before this one.
    pub(crate) generation: u32,
    pub(crate) policies: policies::Policies,
    pub(crate) jobs: BTreeMap<Id, Job>,
    /// Memory of the jobs, in bytes.
    pub(crate) footprint: u64,
    /// Jobs that have not ended.
    pub(crate) active_jobs: BTreeSet<Id>,
    /// Jobs with changes that are not persisted.
    pub(crate) changed_jobs: BTreeSet<Id>,
    /// Cancellations of jobs that aren't known yet.
    pub(crate) early_cancellations: BTreeMap<Id, cancellation::EarlyCancellation>,
    /// Jobs that were removed after their retention, while their rows may still be read.
    pub(crate) removed_jobs: BTreeMap<Id, retention::Removed>,
    pub(crate) minions: BTreeMap<MinionId, Minion>,
    pub(crate) zones: zone::Zones,
    /// When all runs were last checked for what must stop; `None` if the next plan must check.
    pub(crate) last_sweep: Option<Time>,
    /// When jobs were last checked for being idle.
    pub(crate) last_idle_check: Option<Time>,
    /// Starts that the current plan may still order, apart from those of gangs.
    pub(crate) starts_left: usize,
    /// Resource needs that no minion has capacity for, in the current plan.
    pub(crate) unmet_needs: place::UnmetNeeds,
    /// The minions by free capacity, while a plan starts tasks.
    pub(crate) placement_index: Option<place::Index>,
    /// Minions examined for placements so far.
    pub(crate) examined_minions: AtomicU64,
    /// When the leases of runs that the former owner started must have expired on minions that do
    /// not answer; `None` for the first owner.
    pub(crate) former_lease_expiry: Option<Time>,
    /// When the takeover was complete, as far as a plan has found.
    pub(crate) takeover_completed_at: Option<Time>,
    /// Mean work of a queue's jobs, in core-milliseconds, over the recent ones.
    pub(crate) mean_core_ms: BTreeMap<Box<str>, f64>,
    /// Advice on steps that need tickets.
    pub(crate) advice: BTreeMap<TaskName, advice::Advice>,
    /// Advice queries to send.
    pub(crate) queries: Vec<Query>,
    /// Events since they were last taken.
    pub(crate) events: Vec<Event>,
    /// Accounts of the workspaces, which limit what they have running.
    pub(crate) accounts: quota::Accounts,
    /// Shares of workspaces in a pool that lacks capacity.
    pub(crate) shares: share::State,
    /// Tasks whose trials under a former owner have no known result, by minion.
    pub(crate) former_trials: crash::FormerTrials,
    /// Minions of the former owner that were lost before they answered this one.
    pub(crate) former_losses: BTreeSet<MinionId>,
    /// Tasks and minions that crashed in their trials under the former owner, until it is known
    /// whether other minions were lost at the time.
    pub(crate) former_crashes: Vec<(TaskName, MinionId)>,
    /// Recent losses of minions, used to detect losses with a common cause.
    pub(crate) recent_losses: Vec<crash::Loss>,
    /// When minions were last lost without a run that may be the cause, the latest first.
    pub(crate) unexplained_losses: [Option<Time>; crash::MIN_BACKGROUND_LOSSES],
    /// Trials on minions whose leases expired, until these are known to have crashed or answer.
    pub(crate) lapsed_trials: crash::LapsedTrials,
}

/// Events held until they are taken.  Further ones are dropped, since they are only for the log,
/// apart from those that explain why a job failed.
const MAX_PENDING_EVENTS: usize = 256;

impl Cell {
    /// Creates an empty cell for an owner with `generation` predecessors.
    ///
    /// `former_lease_expiry` is when the leases of everything that a predecessor started must have
    /// expired on minions that never answer.
    pub fn new(settings: Settings, generation: u32, former_lease_expiry: Option<Time>) -> Self {
        Self {
            settings,
            generation,
            policies: policies::Policies::default(),
            jobs: BTreeMap::new(),
            footprint: 0,
            active_jobs: BTreeSet::new(),
            changed_jobs: BTreeSet::new(),
            early_cancellations: BTreeMap::new(),
            removed_jobs: BTreeMap::new(),
            minions: BTreeMap::new(),
            zones: zone::Zones::default(),
            last_sweep: None,
            last_idle_check: None,
            unmet_needs: place::UnmetNeeds::default(),
            placement_index: None,
            starts_left: usize::MAX,
            examined_minions: AtomicU64::new(0),
            former_lease_expiry,
            takeover_completed_at: None,
            mean_core_ms: BTreeMap::new(),
            advice: BTreeMap::new(),
            queries: Vec::new(),
            events: Vec::new(),
            accounts: quota::Accounts::new(former_lease_expiry.is_none()),
            shares: share::State::default(),
            former_trials: BTreeMap::new(),
            former_losses: BTreeSet::new(),
            former_crashes: Vec::new(),
            recent_losses: Vec::new(),
            unexplained_losses: [None; crash::MIN_BACKGROUND_LOSSES],
            lapsed_trials: BTreeMap::new(),
        }
    }

    /// Adds an accepted job.  Returns false if it is already known, or was removed after its end.
    ///
    /// `inherited` tells whether a former owner may have started tasks of it.
    pub fn add_job(
        &mut self,
        id: Id,
        accepted: Accepted,
        progress: Option<&Progress>,
        inherited: bool,
        age: Duration,
        now: Time,
    ) -> bool {
        if self.jobs.contains_key(&id) || self.was_removed(&id, &accepted) {
            return false;
        }
        let core_ms = accepted.definition.core_ms() as f64;
        let mean_core_ms = self.mean_core_ms.entry(accepted.queue.clone()).or_insert(core_ms);
        // A weight of a twentieth averages over some twenty jobs.  At ten jobs a second this
        // follows a change of the mix within a few seconds.
        *mean_core_ms += (core_ms - *mean_core_ms) * 0.05;
        self.apply_terms(&accepted, now);
        let account = self.open_account(&accepted.origin, now);
        let mut failed = false;
        let mut job = Job::new(accepted, inherited, now - age);
        job.account = account;
        job.known_since = now;
        if let Some(progress) = progress {
            job.restore(progress);
        }
        // The former owner was lost before it learned of the crash that reached the threshold.  The
        // run of an inherited job may still be found.
        if !inherited && !job.state().is_final() && job.crashes_minions() {
            job.fail(now);
            self.changed_jobs.insert(id);
            failed = true;
        }
        if job.state().is_final() {
            job.ended_at = Some(now);
        } else {
            self.active_jobs.insert(id);
        }
        self.footprint += job.footprint;
        self.jobs.insert(id, job);
        if failed {
            self.record_failure(&id, FailureReason::Acceptance);
        }
        self.add_former_trials(id, progress, now);
        self.apply_early_cancellation(&id, now);
        true
    }

    /// The state to report to callers; `None` for an unknown job.
    ///
    /// An outcome is reported only once it is persisted, because a later owner must never restart a
    /// job that a caller knows to be completed.  A cancellation is persisted before
    /// [`Cell::cancel`] is called.
    pub fn state(&self, id: &Id) -> Option<State> {
        let job = self.jobs.get(id)?;
        let reported = match job.outcome {
            Some(_) if !job.is_persisted() => State::Running,
            _ => job.state(),
        };
        Some(reported)
    }

    /// Like [`Cell::state`], but also `None` for a job that the caller may not access.
    pub fn state_for(&self, id: &Id, caller: &Origin) -> Option<State> {
        let job = self.jobs.get(id)?;
        if caller.may_access(&job.accepted.origin) { self.state(id) } else { None }
    }

    /// Number of a queue's active jobs of which no task has been started.
    pub fn queued_jobs(&self, queue: &str) -> usize {
        let is_queued = |id: &&Id| {
            let job = &self.jobs[*id];
            &*job.accepted.queue == queue && !job.started
        };
        self.active_jobs.iter().filter(is_queued).count()
    }

    /// Memory of the jobs that it keeps, in bytes; at most this much while they run.
    pub fn footprint(&self) -> u64 {
        self.footprint
    }

    /// Takes the recorded events.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    pub(crate) fn record_event(&mut self, event: Event) {
        if self.events.len() < MAX_PENDING_EVENTS || event.explains_failure() {
            self.events.push(event);
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

    /// The lowest run number of this owner that is above `last`.
    pub(crate) fn next_run_number(&self, last: u32) -> u32 {
        (last + 1).max(self.generation * RUNS_PER_GENERATION + 1)
    }

    /// Whether the task belongs to a known job.
    pub(crate) fn task_exists(&self, name: &TaskName) -> bool {
        self.jobs.get(&name.job).is_some_and(|job| job.flat_index(name).is_some())
    }
}
