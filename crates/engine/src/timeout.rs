//! Adaptive timeout of calls: how long to wait for an answer before a retry.
//!
//! Each lost answer costs a whole timeout.  With a fixed timeout of a second, a store that loses
//! half of its answers and sends the rest within milliseconds serves a tenth of the calls.  On the
//! other hand, calls to a store that is sixty times slower must not time out each time.  So the
//! timeout follows the latency of the answers and doubles when none arrives.

use std::time::Duration;

/// Multiple of the mean latency that makes the timeout.  Transactions across partitions take twice
/// as long as others, and the network adds to that.
const MEAN_LATENCY_MULTIPLIER: f64 = 8.0;

/// An instance that is slowed down also processes answers late.
const MIN_TIMEOUT: Duration = Duration::from_millis(150);

const MAX_TIMEOUT: Duration = Duration::from_millis(1400);

/// Weight of a new sample in the mean latency.
const LATENCY_EWMA_WEIGHT: f64 = 0.2;

const MAX_DOUBLINGS: u32 = 4;

/// Multiple of a read's latency that a write may take before it counts as lost.  A read doesn't
/// queue; a write queues in its partition behind up to a second of other writes, which is two to
/// four times the latency of a call when the store is a hundred times slower than usual.
const READ_LATENCY_MULTIPLIER: u32 = 4;

/// Whether a write without an answer after `waited` is lost rather than still queued, when a read
/// that took `read` doesn't show its effect.
///
/// The write alone doesn't distinguish a slow store from a lost answer.  If every late write were
/// repeated, a row would queue several times in its partition, which handles four writes a second
/// for all of its rows then, and soon no write would be answered in time.
pub fn is_write_lost(waited: Duration, read: Duration) -> bool {
    waited >= MIN_TIMEOUT.max(read * READ_LATENCY_MULTIPLIER)
}

/// Timeout that adapts to the latency of answers.
#[derive(Clone, Copy, Debug)]
pub struct Timeout {
    mean_latency_ms: f64,
    consecutive_timeouts: u32,
}

impl Default for Timeout {
    /// Starts with the store's usual latency over a small network.
    fn default() -> Self {
        Self { mean_latency_ms: 20.0, consecutive_timeouts: 0 }
    }
}

impl Timeout {
    /// The timeout of the next call.
    pub fn current(&self) -> Duration {
        let timeout =
            Duration::from_secs_f64(self.mean_latency_ms * MEAN_LATENCY_MULTIPLIER / 1000.0)
                .max(MIN_TIMEOUT);
        (timeout * (1 << self.consecutive_timeouts.min(MAX_DOUBLINGS))).min(MAX_TIMEOUT)
    }

    /// Records the latency of an answer.
    pub fn record_answer(&mut self, latency: Duration) {
        self.mean_latency_ms +=
            (latency.as_millis() as f64 - self.mean_latency_ms) * LATENCY_EWMA_WEIGHT;
        self.consecutive_timeouts = 0;
    }

    /// Records that a call wasn't answered.
    pub fn record_timeout(&mut self) {
        self.consecutive_timeouts += 1;
    }
}
