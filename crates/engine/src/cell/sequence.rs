//! The order in which waiting jobs get room.
//!
//! The pattern it answers: a burst asks several times what the pool holds for some seconds, so
//! most of the value lies in whom the room goes to.  A job is worth most until its objective
//! has passed and then hardly anything, and a job's worth has a part that doesn't grow with its
//! size.  So jobs that can still meet their objective come before those that can't, and among
//! them the most worth for the work that is left.

use crate::cell::work::Job;
use crate::cell::{Cell, Queue};
use crate::time::Time;
use std::cmp::Ordering;

/// Share of a job's worth that doesn't depend on its size; the rest grows with its work
/// against the mean of its queue.  The users' own weights.
const FIXED_WORTH: f64 = 0.3;

/// A job that has waited this many times its objective is no longer put behind all that can
/// meet theirs: without it, late jobs would wait for as long as a pool is busy.
const PATIENCE: f64 = 6.0;

/// A job's place in the order; the smallest comes first.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rank {
    /// 0 for lasting jobs, 1 for jobs that can meet their objective, 2 for the rest.
    pub class: u8,
    /// The queue's priority.
    pub priority: u32,
    /// Worth for each core-millisecond left; more comes first.
    pub density: f64,
    /// The longer known comes first.
    pub since: Time,
}

impl Eq for Rank {}

impl PartialOrd for Rank {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Rank {
    fn cmp(&self, other: &Self) -> Ordering {
        self.class
            .cmp(&other.class)
            .then(self.priority.cmp(&other.priority))
            .then(other.density.total_cmp(&self.density))
            .then(self.since.cmp(&other.since))
    }
}

/// Ranks a job.
pub fn rank(job: &Job, queue: &Queue, mean_work: f64, now: Time) -> Rank {
    let definition = &job.accepted.definition;
    let base = Rank { class: 0, priority: queue.priority, density: 0.0, since: job.since };
    if definition.is_long_running() {
        return base;
    }
    let objective = job.whole.chain_ms as f64 * queue.stretch + queue.target_ms as f64;
    let age = now.since(job.since).as_millis() as f64;
    let can_meet = age + job.left.chain_ms as f64 <= objective || definition.schedule.is_some();
    let size = job.whole.work as f64 / mean_work.max(1.0);
    let worth = FIXED_WORTH + (1.0 - FIXED_WORTH) * size;
    let density = worth / (job.left.work as f64).max(1.0);
    if can_meet || age > objective * PATIENCE {
        Rank { class: 1, density, ..base }
    } else {
        Rank { class: 2, density, ..base }
    }
}

impl Cell {
    /// The rank of a job of this cell.
    pub(crate) fn rank(&self, job: &Job, now: Time) -> Rank {
        let queue = self.queue(&job.accepted.queue);
        let mean = self.mean_work.get(&job.accepted.queue).copied().unwrap_or(1.0);
        rank(job, &queue, mean, now)
    }
}
