//! Cancellations of jobs, also of jobs that the owner doesn't know yet.
//!
//! A job and its cancellation reach an owner in any order: the message about the job may be lost,
//! and a read of the whole table, which replaces a feed that lost its history, has the rows in the
//! order of their keys.

use crate::cell::minion::RunPhase;
use crate::cell::{Cell, Job};
use crate::job::{Id, TaskName};
use crate::time::Time;

impl Cell {
    /// Cancels a job.  The next plan stops its runs.  A job that isn't known is cancelled when it is
    /// added.
    ///
    /// A job whose outcome is not persisted yet keeps the outcome.  It ends even if the outcome is
    /// lost, since the cancellation is persisted, so its runs are stopped, too.
    pub fn cancel(&mut self, id: &Id, now: Time) {
        let Some(job) = self.jobs.get_mut(id) else {
            self.early_cancellations.insert(*id, now);
            return;
        };
        if !job.is_end_persisted() {
            job.cancelled = true;
            job.ended_at.get_or_insert(now);
            self.active_jobs.remove(id);
            self.last_sweep = None;
        }
    }

    /// Whether a start that was ordered is still to be sent.
    ///
    /// Orders to a minion that doesn't answer wait for each other.  When one is sent, its job may have
    /// ended, or its run may be stopped.
    pub fn is_start_wanted(&self, minion: &str, task: &TaskName, run: u32) -> bool {
        let is_ended = self.jobs.get(&task.job).is_none_or(Job::is_end_persisted);
        let known = self.minions.get(minion).and_then(|minion| minion.run(task, run));
        !is_ended && known.is_some_and(|run| run.phase == RunPhase::Ordered)
    }

    /// Cancels a job that has just been added, if its cancellation arrived before it.
    pub(crate) fn apply_early_cancellation(&mut self, id: &Id, now: Time) {
        if self.early_cancellations.remove(id).is_some() {
            self.cancel(id, now);
        }
    }

    /// Forgets cancellations whose job was not added within the retention of ended jobs.
    pub(crate) fn expire_early_cancellations(&mut self, now: Time) {
        let retention = self.settings.retention;
        self.early_cancellations.retain(|_, at| now.since(*at) <= retention);
    }
}
