//! The changes of the table of jobs that owners follow.

use super::{CANCEL_TIME, CANCELLED_JOB, Simulation};
use crate::fixture::id;
use std::time::Duration;

/// Time for which owners get no changes of the jobs in a simulation with a held feed.
const HOLD_DURATION: Duration = Duration::from_secs(8);

/// Time after a cancellation from which no task of its job may be started, if owners learn of it from
/// the feed only.
const CANCEL_BOUND: Duration = Duration::from_secs(3);

/// The feed of the jobs.
#[derive(Default)]
pub(super) struct Feed {
    /// Whether it is held from the cancellation on, while all else works.
    is_held_once: bool,
    /// Whether it has delivered the cancellation.
    has_cancelled: bool,
}

impl Simulation {
    /// Lets owners get no changes of the jobs for some seconds from the cancellation on.
    pub(crate) fn with_held_feed(mut self) -> Self {
        self.feed.is_held_once = true;
        self
    }

    /// Whether a start of the cancelled job is too late now.
    pub(super) fn is_cancellation_due(&self) -> bool {
        let bound = if self.feed.is_held_once { CANCEL_BOUND } else { Duration::ZERO };
        self.cancelled && self.now >= CANCEL_TIME + bound
    }

    /// Lets the owners read the changes of the jobs.
    pub(super) fn follow_jobs(&mut self) {
        let now = self.now;
        self.cancelled |= now >= CANCEL_TIME;
        let is_held = self.cancelled && now < CANCEL_TIME + HOLD_DURATION;
        if self.feed.is_held_once && is_held {
            return;
        }
        let is_due = self.cancelled && !self.feed.has_cancelled;
        self.feed.has_cancelled |= is_due;
        for owner in &mut self.owners {
            owner.jobs_recency.record_read(now, 0);
            if is_due {
                owner.cell.cancel(&id(CANCELLED_JOB), now);
            }
        }
    }
}
