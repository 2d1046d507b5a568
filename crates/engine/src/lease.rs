//! Expiry of leases whose deadlines are given on a minion's clock.

use crate::time::Time;
use std::time::Duration;

/// Lowest rate of a minion's clock relative to the owner's.
const MIN_CLOCK_RATE: f64 = 0.98;

/// Allowance for calls in transit.
const EXPIRY_MARGIN: Duration = Duration::from_millis(150);

/// Longest time on the owner's clock that a lease of this term can last.
pub fn max_duration(term: Duration) -> Duration {
    term.div_f64(MIN_CLOCK_RATE) + EXPIRY_MARGIN
}

/// The last reading of a minion's clock.
#[derive(Clone, Copy, Debug)]
pub struct MinionClock {
    /// The minion's time, in milliseconds.
    read_ms: u64,
    /// When the answer with the reading arrived.
    at: Time,
}

impl MinionClock {
    /// A clock that read `read_ms` in an answer that arrived at `at`.
    pub fn new(read_ms: u64, at: Time) -> Self {
        Self { read_ms, at }
    }

    /// Estimates the minion's current time, ignoring the transit time of the answer.
    pub fn now_ms(&self, now: Time) -> u64 {
        self.read_ms + now.since(self.at).as_millis() as u64
    }

    /// The latest time at which the clock passes `deadline_ms`, given its lowest rate.
    pub fn latest_time_of(&self, deadline_ms: u64) -> Time {
        self.at + max_duration(Duration::from_millis(deadline_ms.saturating_sub(self.read_ms)))
    }

    /// Whether a later reading, in the answer to a call sent at `sent`, is from another process.
    ///
    /// The clock of a process is monotonic.  Answers to concurrent calls can arrive out of order,
    /// so only calls sent after the last reading arrived are considered.
    pub fn is_reset(&self, read_ms: u64, sent: Time) -> bool {
        sent > self.at && read_ms < self.read_ms
    }
}
