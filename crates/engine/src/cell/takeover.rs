//! The takeover of a cell: which runs a former owner may have started.
//!
//! A new owner finds them on the minions.  Until each minion of its predecessor has answered, or its
//! leases must have expired, a task that was not found may still run.

use crate::cell::{Cell, FailureReason, Job, Minion};
use crate::job::{Id, State, TaskName};
use crate::time::Time;
use std::time::Duration;

impl Cell {
    /// Whether tasks of inherited jobs may be started, because no run of them can exist that this
    /// owner does not know.
    pub fn is_takeover_complete(&self, now: Time) -> bool {
        let mut inherited = self.minions.values().filter(|minion| minion.inherited);
        inherited.all(|minion| minion.answered || self.have_former_leases_expired(minion, now))
    }

    /// Whether a job's state can be told.  Until the takeover is complete, a task of an inherited job
    /// may run on a minion that has not answered.
    pub fn is_state_known(&self, id: &Id) -> bool {
        let is_uncertain = |job: &Job| job.inherited && job.state() == State::Queued;
        self.takeover_completed_at.is_some() || !self.jobs.get(id).is_some_and(is_uncertain)
    }

    /// Whether the leases of everything that former owners started on a minion which doesn't answer
    /// must have expired.
    pub(crate) fn have_former_leases_expired(&self, minion: &Minion, now: Time) -> bool {
        let excess =
            if minion.recently_restarted { self.settings.lease_excess } else { Duration::ZERO };
        self.former_lease_expiry.is_none_or(|expiry| now >= expiry + excess)
    }

    /// Records that a minion may have restarted so recently that it executes calls to its former
    /// incarnation.  Once it has answered this owner, it refuses those of former owners.
    pub fn record_recent_restart(&mut self, id: &str) {
        let minion = self.minions.get_mut(id);
        if let Some(minion) = minion.filter(|minion| minion.inherited && !minion.answered) {
            minion.recently_restarted = true;
        }
    }

    /// Records when the takeover is complete, and then fails the inherited jobs with a task that
    /// crashes its minions and was not found on any.
    pub(crate) fn update_takeover(&mut self, now: Time) {
        if !self.is_takeover_complete(now) {
            self.takeover_completed_at = None;
            return;
        }
        if self.takeover_completed_at.is_some() {
            return;
        }
        self.count_former_crashes(now);
        self.takeover_completed_at = Some(now);
        let jobs = self.active_jobs.iter().filter_map(|id| Some((*id, self.jobs.get(id)?)));
        let crashing = jobs.filter(|(_, job)| job.inherited && job.crashes_minions());
        for id in crashing.map(|(id, _)| id).collect::<Vec<Id>>() {
            self.fail_job(&id, FailureReason::Takeover, now);
        }
    }

    /// Records that the run of a former owner was found, so that its trial was no crash.
    pub(crate) fn record_found_run(&mut self, name: &TaskName) {
        let Some(job) = self.jobs.get_mut(&name.job) else { return };
        let Some(task) = job.task(name) else { return };
        let suspicion = task.suspicion.without_uncertain_trial();
        if suspicion != task.suspicion {
            job.set_suspicion(name, suspicion);
            self.changed_jobs.insert(name.job);
        }
    }
}
