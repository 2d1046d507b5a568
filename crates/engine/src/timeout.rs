//! How long to wait for an answer before asking again.
//!
//! The pattern it answers: a part of the answers is lost while the rest come within milliseconds.
//! Each lost one costs its whole wait, so with a fixed wait of a second a store that loses half of
//! its answers serves a tenth.  But a store that is sixty times slower must not be given up on
//! each time.  So the wait follows what answers took, and doubles when none comes.

use std::time::Duration;

/// Times the mean of the answers' times that is waited for.  Transactions over partitions take
/// twice as long as others, and the network its part.
const MEAN_LATENCY_MULTIPLIER: f64 = 8.0;

/// The least wait: an instance that is slowed down answers itself late, too.
const MIN_TIMEOUT: Duration = Duration::from_millis(150);

/// The longest wait.
const MAX_TIMEOUT: Duration = Duration::from_millis(1400);

/// Weight of a new time.
const LATENCY_EWMA_WEIGHT: f64 = 0.2;

/// Doublings of the wait at most.
const MAX_DOUBLINGS: u32 = 4;

/// Times a read's duration that a write may take before it counts as lost.  A read waits for
/// nobody; a write takes its turn in its partition, where up to a second of others wait, some
/// two to four times what a call takes when the store is a hundred times slower than usual.
const READ_LATENCY_MULTIPLIER: u32 = 4;

/// Whether a write without an answer after `waited` is lost rather than on its way: a read that
/// took `read` doesn't show it.
///
/// A slow store can't be told from a lost answer by the write alone.  Written again each time, a
/// row would take its partition's turn several times over, and at four turns a second for all of
/// its rows soon none of them would be answered in time.
pub fn is_write_lost(waited: Duration, read: Duration) -> bool {
    waited >= MIN_TIMEOUT.max(read * READ_LATENCY_MULTIPLIER)
}

/// How long to wait, learnt from the answers' times.
#[derive(Clone, Copy, Debug)]
pub struct Timeout {
    mean_latency_ms: f64,
    /// Calls in a row without an answer.
    consecutive_timeouts: u32,
}

impl Default for Timeout {
    /// Starts with the store's usual answer over a small network.
    fn default() -> Self {
        Self { mean_latency_ms: 20.0, consecutive_timeouts: 0 }
    }
}

impl Timeout {
    /// How long to wait for the next answer.
    pub fn current(&self) -> Duration {
        let timeout =
            Duration::from_secs_f64(self.mean_latency_ms * MEAN_LATENCY_MULTIPLIER / 1000.0)
                .max(MIN_TIMEOUT);
        (timeout * (1 << self.consecutive_timeouts.min(MAX_DOUBLINGS))).min(MAX_TIMEOUT)
    }

    /// Takes in how long an answer took.
    pub fn record_answer(&mut self, latency: Duration) {
        self.mean_latency_ms +=
            (latency.as_millis() as f64 - self.mean_latency_ms) * LATENCY_EWMA_WEIGHT;
        self.consecutive_timeouts = 0;
    }

    /// Takes in that none came.
    pub fn record_timeout(&mut self) {
        self.consecutive_timeouts += 1;
    }
}
