//! Tracks what must be persisted before run ends may be acknowledged.

use crate::cell::policies::Stored;
use crate::cell::{Cell, Incarnation, Minion, MinionId};
use crate::job::{Id, Progress};

/// Position in the sequence of ends that one incarnation of a minion reports.
#[derive(Clone, Debug, PartialEq)]
pub struct EndCursor {
    /// The minion.
    pub minion: MinionId,
    /// The incarnation that assigned the number; none if the minion doesn't report one.
    pub incarnation: Option<Incarnation>,
    /// Number of the last end covered.
    pub number: u64,
}

/// Progress to write in one transaction, and the ends that may be acknowledged after it.
#[derive(Clone, Debug, Default)]
pub struct Batch {
    /// Jobs with their progress and the number of the last change that it covers.
    pub rows: Vec<(Id, u64, Progress)>,
    /// The cell's policies, if a later owner needs them.
    pub policies: Option<Stored>,
    /// The ends that may be acknowledged once the rows are written, one cursor per minion.
    pub ends: Vec<EndCursor>,
}

impl Batch {
    /// Whether the batch only acknowledges ends, so that nothing has to be written.
    pub fn is_write_free(&self) -> bool {
        self.rows.is_empty() && self.policies.is_none()
    }
}

impl Minion {
    /// Returns the position of the last end processed.
    fn end_cursor(&self) -> EndCursor {
        EndCursor { minion: self.id.clone(), incarnation: self.incarnation, number: self.seen }
    }
}

impl Cell {
    /// The progress to persist now, of at most `limit` jobs; `None` if everything is persisted.
    pub fn unpersisted_batch(&mut self, limit: usize) -> Option<Batch> {
        let mut batch = Batch { policies: self.unstored_policies(), ..Batch::default() };
        let mut complete = true;
        let changed = self.changed_jobs.iter().filter_map(|id| Some((id, self.jobs.get(id)?)));
        for (id, job) in changed.filter(|(_, job)| !job.is_persisted()) {
            if batch.rows.len() == limit {
                complete = false;
                break;
            }
            batch.rows.push((*id, job.changes, job.progress()));
        }
        if complete {
            let unacknowledged = self.minions.values().filter(|minion| minion.has_unpersisted());
            batch.ends = unacknowledged.map(Minion::end_cursor).collect();
        }
        (!batch.is_write_free() || !batch.ends.is_empty()).then_some(batch)
    }

    /// Whether anything has to be persisted.
    pub fn has_unpersisted(&self) -> bool {
        !self.changed_jobs.is_empty()
            || self.has_unstored_policies()
            || self.minions.values().any(Minion::has_unpersisted)
    }

    /// Whether a caller waits for the write, because a job has ended.
    pub fn is_persisting_urgent(&self) -> bool {
        let mut changed = self.changed_jobs.iter().filter_map(|id| self.jobs.get(id));
        changed.any(|job| job.outcome.is_some())
    }

    /// Records that a batch is persisted.
    pub fn record_persisted(&mut self, batch: &Batch) {
        if let Some(policies) = &batch.policies {
            self.record_stored_policies(policies);
        }
        for (id, change, _) in &batch.rows {
            if let Some(job) = self.jobs.get_mut(id) {
                job.persisted_changes = job.persisted_changes.max(*change);
                if job.is_persisted() {
                    self.changed_jobs.remove(id);
                }
                if job.is_end_persisted() {
                    // The next plan sweeps, which stops the remaining runs of the job.
                    self.last_sweep = None;
                }
            }
        }
        for cursor in &batch.ends {
            let minion = self.minions.get_mut(&cursor.minion);
            // If the minion restarted while the batch was being written, the cursor's number refers
            // to a different end.
            if let Some(minion) = minion.filter(|m| m.incarnation == cursor.incarnation) {
                minion.acknowledged = minion.acknowledged.max(cursor.number);
            }
        }
    }
}
