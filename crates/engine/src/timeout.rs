//! Adaptive timeout of calls: how long to wait for an answer before a retry.
//!
//! Each lost answer costs a whole timeout.  With a fixed timeout of a second, a store that loses
//! half of its answers and sends the rest within milliseconds serves a tenth of the calls.  On the
//! other hand, calls to a store that is sixty times slower must not time out each time.  So the
//! timeout follows the latency of the answers and doubles when none arrives.

use std::time::Duration;

/// Bounds of an adaptive timeout.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Latency that is assumed before the first answer.
    pub initial_latency: Duration,
    /// Shortest timeout.
    pub min: Duration,
    /// Longest timeout.
    pub max: Duration,
}

impl Settings {
    /// Bounds for calls to the store.  An instance that is slowed down also processes answers late.
    pub const STORE: Settings = Settings {
        initial_latency: Duration::from_millis(20),
        min: Duration::from_millis(150),
        max: Duration::from_millis(1400),
    };

    /// Bounds for orders to minions.  An answer takes some 6 ms, and ten times that on an instance
    /// that is slowed down.  An order given up too early costs a poll, which shows its effect.
    pub const ORDER: Settings = Settings {
        initial_latency: Duration::from_millis(6),
        min: Duration::from_millis(75),
        max: Duration::from_millis(300),
    };
}

/// Multiple of the mean latency that makes the timeout.  Transactions across partitions take twice
/// as long as others, and the network adds to that.
const MEAN_LATENCY_MULTIPLIER: f64 = 8.0;

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
    waited >= Settings::STORE.min.max(read * READ_LATENCY_MULTIPLIER)
}

/// Timeout that adapts to the latency of answers.
#[derive(Clone, Copy, Debug)]
pub struct Timeout {
    settings: Settings,
    mean_latency: Duration,
    consecutive_timeouts: u32,
}

impl Default for Timeout {
    /// A timeout of calls to the store.
    fn default() -> Self {
        Self::new(Settings::STORE)
    }
}

impl Timeout {
    /// A timeout within bounds.
    pub fn new(settings: Settings) -> Self {
        Self { settings, mean_latency: settings.initial_latency, consecutive_timeouts: 0 }
    }

    /// The timeout of the next call.
    pub fn current(&self) -> Duration {
        let timeout = self.mean_latency.mul_f64(MEAN_LATENCY_MULTIPLIER).max(self.settings.min);
        (timeout * (1 << self.consecutive_timeouts.min(MAX_DOUBLINGS))).min(self.settings.max)
    }

    /// Records the latency of an answer.
    pub fn record_answer(&mut self, latency: Duration) {
        self.mean_latency = self.mean_latency.mul_f64(1.0 - LATENCY_EWMA_WEIGHT)
            + latency.mul_f64(LATENCY_EWMA_WEIGHT);
        self.consecutive_timeouts = 0;
    }

    /// Records that a call wasn't answered.
    pub fn record_timeout(&mut self) {
        self.consecutive_timeouts += 1;
    }
}
