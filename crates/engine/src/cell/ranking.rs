//! The order in which waiting jobs get capacity.
//!
//! A burst asks for several times a pool's capacity for some seconds, so most of the value depends
//! on who gets the capacity.  A job has most of its value until its objective has passed and hardly
//! any after that, and a part of the value does not grow with the job's size.  So jobs that can
//! still meet their objective come before those that cannot, and among them those with the most
//! value for the remaining work.

use crate::cell::work::Job;
use crate::cell::{Cell, Queue};
use crate::time::Time;
use std::cmp::Ordering;

/// Share of a job's value that does not depend on its size; the rest grows with its work relative
/// to the mean of its queue.  The weights were given by the users.
const FIXED_VALUE_SHARE: f64 = 0.3;

/// A job that has waited for this multiple of its objective is no longer ranked behind all that can
/// meet theirs.  Otherwise late jobs would wait for as long as a pool is busy.
const AGING_FACTOR: f64 = 6.0;

/// Values of [`Rank::class`].
pub mod class {
    /// Long-running jobs.
    pub const LONG_RUNNING: u8 = 0;
    /// Jobs that can meet their objective, and those that have waited for the aging limit.
    pub const IN_TIME: u8 = 1;
    /// The other jobs.
    pub const LATE: u8 = 2;
}

/// Rank of a job; the smallest comes first.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rank {
    /// See [`mod@class`].
    pub class: u8,
    /// The queue's priority.
    pub priority: u32,
    /// Value per core-millisecond of remaining work; the highest comes first.
    pub value_density: f64,
    /// When the job was accepted; the earliest comes first.
    pub accepted_at: Time,
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
            .then(other.value_density.total_cmp(&self.value_density))
            .then(self.accepted_at.cmp(&other.accepted_at))
    }
}

/// Returns the rank of a job.
pub fn rank(job: &Job, queue: &Queue, mean_core_ms: f64, now: Time) -> Rank {
    let definition = &job.accepted.definition;
    let base = Rank {
        class: class::LONG_RUNNING,
        priority: queue.priority,
        value_density: 0.0,
        accepted_at: job.accepted_at,
    };
    if definition.is_long_running() {
        return base;
    }
    let objective = objective_ms(job, queue);
    let age = now.since(job.accepted_at).as_millis() as f64;
    let can_meet_objective =
        age + job.remaining.critical_path_ms as f64 <= objective || definition.schedule.is_some();
    let size = job.total.core_ms as f64 / mean_core_ms.max(1.0);
    let value = FIXED_VALUE_SHARE + (1.0 - FIXED_VALUE_SHARE) * size;
    let value_density = value / (job.remaining.core_ms as f64).max(1.0);
    if can_meet_objective || age > objective * AGING_FACTOR {
        Rank { class: class::IN_TIME, value_density, ..base }
    } else {
        Rank { class: class::LATE, value_density, ..base }
    }
}

/// The objective of a job: how long after its acceptance it should be completed.
fn objective_ms(job: &Job, queue: &Queue) -> f64 {
    job.total.critical_path_ms as f64 * queue.stretch + queue.target_ms as f64
}

impl Cell {
    /// Whether a job without a schedule has waited for so long that it is no longer ranked behind
    /// those that can meet their objective.
    pub(crate) fn is_aged(&self, job: &Job, now: Time) -> bool {
        let objective = objective_ms(job, &self.queue(&job.accepted.queue));
        let age = now.since(job.accepted_at).as_millis() as f64;
        age > objective * AGING_FACTOR && job.accepted.definition.schedule.is_none()
    }

    /// Returns the rank of a job of this cell.
    pub(crate) fn rank(&self, job: &Job, now: Time) -> Rank {
        let queue = self.queue(&job.accepted.queue);
        let mean = self.mean_core_ms.get(&job.accepted.queue).copied().unwrap_or(1.0);
        rank(job, &queue, mean, now)
    }
}
