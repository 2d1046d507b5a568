//! Limits how many cancellations of unknown jobs an entry stores.
//!
//! Such a cancellation takes a row in the store and memory of the owner for the retention of ended
//! jobs, and callers can send any number of them.

use crate::time::Time;
use std::collections::VecDeque;
use std::time::Duration;

/// Maximum number that an entry stores within the retention.
pub const MAX_EARLY_CANCELLATIONS: usize = 2_000;

/// The cancellations of unknown jobs that an entry stored within the retention.
#[derive(Debug, Default)]
pub struct Limiter {
    stored: VecDeque<Time>,
}

impl Limiter {
    /// Whether another cancellation may be stored; it then counts as stored.
    pub fn admit(&mut self, retention: Duration, now: Time) -> bool {
        while self.stored.front().is_some_and(|at| now.since(*at) > retention) {
            self.stored.pop_front();
        }
        let is_admitted = self.stored.len() < MAX_EARLY_CANCELLATIONS;
        if is_admitted {
            self.stored.push_back(now);
        }
        is_admitted
    }
}
