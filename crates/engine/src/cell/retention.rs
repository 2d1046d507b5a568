//! Removal of ended jobs after their retention.
//!
//! Until the rows of a removed job are certainly deleted, a read of the whole table still has them.
//! Read by themselves, its row and that of its cancellation look like those of a job that was never
//! run.

use crate::cell::Cell;
use crate::cell::work::Job;
use crate::job::{Accepted, Id};
use crate::time::Time;

/// A job that was removed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Removed {
    /// When it was accepted, which tells it from a later submission with the same id.
    accepted_at_ms: u64,
    /// When its rows were certainly deleted.
    rows_deleted_at: Option<Time>,
}

impl Cell {
    /// Removes jobs whose retention has passed and returns them, so that their rows can be deleted.
    pub fn remove_expired_jobs(&mut self, now: Time) -> Vec<Id> {
        let retention = self.settings.retention;
        let is_expired = |job: &Job| job.ended_at.is_some_and(|at| now.since(at) > retention);
        let ids: Vec<Id> =
            self.jobs.iter().filter(|(_, job)| is_expired(job)).map(|(id, _)| *id).collect();
        for id in &ids {
            if let Some(job) = self.jobs.remove(id) {
                self.footprint -= job.footprint;
                let accepted_at_ms = job.accepted.at_ms;
                self.removed_jobs.insert(*id, Removed { accepted_at_ms, rows_deleted_at: None });
            }
            self.changed_jobs.remove(id);
        }
        self.remove_ended_advice();
        // A read that was sent before the deletion may still be answered.
        let is_needed = |job: &Removed| {
            job.rows_deleted_at.is_none_or(|deleted_at| now.since(deleted_at) <= retention)
        };
        self.removed_jobs.retain(|_, job| is_needed(job));
        ids
    }

    /// Records that the rows of removed jobs are certainly deleted.
    pub fn record_deleted_rows(&mut self, ids: &[Id], now: Time) {
        for id in ids {
            if let Some(job) = self.removed_jobs.get_mut(id) {
                job.rows_deleted_at = Some(now);
            }
        }
    }

    /// Whether this submission was removed as an ended job.
    pub(crate) fn was_removed(&self, id: &Id, accepted: &Accepted) -> bool {
        self.removed_jobs.get(id).is_some_and(|job| job.accepted_at_ms == accepted.at_ms)
    }
}
