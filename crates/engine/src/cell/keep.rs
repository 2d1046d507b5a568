//! What is to be kept before ends may be acknowledged.

use crate::cell::{Cell, Minion, MinionId};
use crate::job::{Id, Progress};

/// Progress to write in one transaction, and what may be acknowledged after it.
#[derive(Clone, Debug, Default)]
pub struct Batch {
    /// Jobs with their progress and the number of the change that it covers.
    pub rows: Vec<(Id, u64, Progress)>,
    /// Minions and the ends that are kept with it.
    pub ends: Vec<(MinionId, u64)>,
}

impl Cell {
    /// What is to be kept now, at most `limit` jobs; none if all is kept.
    pub fn unkept(&self, limit: usize) -> Option<Batch> {
        let mut batch = Batch::default();
        let mut complete = true;
        let changed = self.changed.iter().filter_map(|id| Some((id, self.jobs.get(id)?)));
        for (id, job) in changed.filter(|(_, job)| !job.is_kept()) {
            if batch.rows.len() == limit {
                complete = false;
                break;
            }
            batch.rows.push((*id, job.changes, job.progress()));
        }
        if complete {
            let open = self.minions.values().filter(|minion| minion.has_unkept());
            batch.ends = open.map(|minion| (minion.id.clone(), minion.seen)).collect();
        }
        (!batch.rows.is_empty() || !batch.ends.is_empty()).then_some(batch)
    }

    /// Whether anything is to be kept.
    pub fn has_unkept(&self) -> bool {
        !self.changed.is_empty() || self.minions.values().any(Minion::has_unkept)
    }

    /// Whether a caller waits for something to be kept: a job has ended.
    pub fn is_keeping_urgent(&self) -> bool {
        let mut changed = self.changed.iter().filter_map(|id| self.jobs.get(id));
        changed.any(|job| job.outcome.is_some())
    }

    /// Notes that a batch is kept.
    pub fn kept(&mut self, batch: &Batch) {
        for (id, change, _) in &batch.rows {
            if let Some(job) = self.jobs.get_mut(id) {
                job.kept = job.kept.max(*change);
                if job.is_kept() {
                    self.changed.remove(id);
                }
            }
        }
        for (id, upto) in &batch.ends {
            if let Some(minion) = self.minions.get_mut(id) {
                minion.acknowledged = minion.acknowledged.max(*upto);
            }
        }
    }
}
