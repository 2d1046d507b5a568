//! Cancellations of jobs, also of jobs that the owner doesn't know yet.
//!
//! A job and its cancellation reach an owner in any order: the message about the job may be lost, a
//! read of the whole table, which replaces a feed that lost its history, has the rows in the order of
//! their keys, and a caller may cancel a job whose submission is still being written.  A cancellation
//! without a job is kept until its row is deleted, after the retention of ended jobs.

use crate::cell::minion::RunPhase;
use crate::cell::{Cell, Job};
use crate::job::{Cancellation, Id, TaskName};
use crate::time::Time;
use strum::Display;

/// A cancellation of a job that isn't known.
#[derive(Clone, Debug)]
pub(crate) struct EarlyCancellation {
    cancellation: Cancellation,
    /// The version of its row; 0 if the row wasn't read.
    version: u64,
    /// When this version arrived.
    arrived_at: Time,
}

/// What a cancellation changes.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Effect {
    /// The job is cancelled.
    Cancelled,
    /// Nothing: the job has ended otherwise.
    Ended,
    /// Nothing: the job belongs to another workspace.
    Inaccessible,
    /// The job isn't known.  It is cancelled when it is added, if the cancellation applies to it.
    Kept,
    /// Nothing: the cancellation is known.
    Known,
}

impl Cell {
    /// Cancels a stored job, which the caller of the cancellation may access.  The next plan stops its
    /// runs.  A job that isn't known is cancelled when it is added.
    pub fn cancel(&mut self, id: &Id, now: Time) -> Effect {
        self.apply_cancellation(id, &Cancellation::default(), 0, now)
    }

    /// Applies a cancellation whose row has this version; 0 if the row wasn't read.
    ///
    /// A job whose outcome is not persisted yet keeps the outcome.  It ends even if the outcome is
    /// lost, since the cancellation is persisted, so its runs are stopped, too.
    pub fn apply_cancellation(
        &mut self,
        id: &Id,
        cancellation: &Cancellation,
        version: u64,
        now: Time,
    ) -> Effect {
        let Some(job) = self.jobs.get_mut(id) else {
            return self.keep_cancellation(id, cancellation, version, now);
        };
        if !cancellation.applies_to(&job.accepted.origin) {
            return Effect::Inaccessible;
        }
        if job.is_end_persisted() {
            return if job.cancelled { Effect::Known } else { Effect::Ended };
        }
        job.cancelled = true;
        job.ended_at.get_or_insert(now);
        self.active_jobs.remove(id);
        self.last_sweep = None;
        Effect::Cancelled
    }

    fn keep_cancellation(
        &mut self,
        id: &Id,
        cancellation: &Cancellation,
        version: u64,
        now: Time,
    ) -> Effect {
        let known = self.early_cancellations.get(id);
        let known_version = known.map_or(0, |early| early.version);
        // A row that is read again must not be kept for longer.
        if known.is_some() && version > 0 && version <= known_version {
            return Effect::Known;
        }
        let version = version.max(known_version);
        let early =
            EarlyCancellation { cancellation: cancellation.clone(), version, arrived_at: now };
        self.early_cancellations.insert(*id, early);
        Effect::Kept
    }

    /// Whether a start that was ordered is still to be sent.
    ///
    /// Orders to a minion that doesn't answer wait for each other.  When one is sent, its job may have
    /// ended, its run may be stopped, or the minion may be draining.
    pub fn is_start_wanted(&self, minion: &str, task: &TaskName, run: u32) -> bool {
        let is_ended = self.jobs.get(&task.job).is_none_or(Job::is_end_persisted);
        let minion = self.minions.get(minion).filter(|minion| !minion.listing.draining);
        let known = minion.and_then(|minion| minion.run(task, run));
        !is_ended && known.is_some_and(|run| run.phase == RunPhase::Ordered)
    }

    /// Cancels a job that has just been added, if a cancellation of it arrived before.
    pub(crate) fn apply_early_cancellation(&mut self, id: &Id, now: Time) {
        let Some(early) = self.early_cancellations.get(id) else { return };
        let cancellation = early.cancellation.clone();
        if self.apply_cancellation(id, &cancellation, early.version, now) != Effect::Inaccessible {
            self.early_cancellations.remove(id);
        }
    }

    /// The cancellations whose job was not added within the retention of ended jobs, with the versions
    /// of their rows; 0 if a row wasn't read.
    ///
    /// They are kept until [`Cell::forget_cancellation`] is called: while the row exists, its caller
    /// may rely on it.  One that doesn't apply to the job with its id is forgotten: its row is deleted
    /// with those of the job.
    pub fn expired_cancellations(&mut self, now: Time) -> Vec<(Id, u64)> {
        let retention = self.settings.retention;
        let jobs = &self.jobs;
        let is_expired = |early: &EarlyCancellation| now.since(early.arrived_at) > retention;
        self.early_cancellations.retain(|id, early| !is_expired(early) || !jobs.contains_key(id));
        let early = self.early_cancellations.iter();
        early
            .filter(|(_, early)| is_expired(early))
            .map(|(id, early)| (*id, early.version))
            .collect()
    }

    /// Forgets a cancellation whose row of this version, or of an earlier one, is certainly deleted.
    pub fn forget_cancellation(&mut self, id: &Id, version: u64) {
        if self.early_cancellations.get(id).is_some_and(|early| early.version <= version) {
            self.early_cancellations.remove(id);
        }
    }

    /// Number of cancellations that are kept for jobs that aren't known.
    pub fn early_cancellations(&self) -> usize {
        self.early_cancellations.len()
    }
}
