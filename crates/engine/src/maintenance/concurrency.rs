//! How many machines of a wave are out of service at a time.
//!
//! A wave may name half of the fleet and allow a fifth of it to be down at once, while the queues'
//! peaks ask for more than all machines.  If machines were emptied as fast as allowed, a fifth of
//! the capacity would be missing during the worst peaks, and the rest of the window would go
//! unused.  So a wave takes only as many working machines at a time as it needs to finish within
//! its window, and more only when it falls behind.

use std::time::Duration;

/// The part of a wave's window in which it is planned to finish, in percent.  The rest is reserve
/// for machines that take long to empty and for a store outage of some seconds.
const PLANNED_WINDOW_PERCENT: u32 = 75;

/// Assumed time for a machine to empty until one is observed: running tasks last about a second.
const INITIAL_EMPTYING_TIME: Duration = Duration::from_millis(1000);

/// Divisor for the weight of a new sample in the mean time to empty, so that the mean follows a
/// change of the load within the machines of one batch.
const EMPTYING_EWMA_DIVISOR: u32 = 8;

/// The time window of a wave.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct Window {
    /// The whole window; zero if unspecified.
    pub(crate) total: Duration,
    pub(crate) elapsed: Duration,
}

impl Window {
    /// What is left of the planned part of the window.
    fn remaining(&self) -> Duration {
        (self.total * PLANNED_WINDOW_PERCENT / 100).saturating_sub(self.elapsed)
    }
}

/// The concurrency of this planner's waves, derived from the time that machines took to empty.
#[derive(Debug)]
pub(crate) struct Concurrency {
    mean_emptying: Duration,
}

impl Default for Concurrency {
    fn default() -> Self {
        Self { mean_emptying: INITIAL_EMPTYING_TIME }
    }
}

impl Concurrency {
    /// Records how long a machine took from the request to empty until it went down.
    pub(crate) fn observe(&mut self, duration: Duration) {
        self.mean_emptying =
            (self.mean_emptying * (EMPTYING_EWMA_DIVISOR - 1) + duration) / EMPTYING_EWMA_DIVISOR;
    }

    /// How many machines should be emptying or down when the maintenance of `left` machines has not
    /// begun and each is down for `down`; `None` if as many as allowed are needed.
    pub(crate) fn out_of_service_target(
        &self,
        left: usize,
        window: Window,
        down: Duration,
    ) -> Option<usize> {
        let cycle = self.mean_emptying + down;
        let time = window.remaining();
        if time <= cycle {
            return None;
        }
        // Maintenance must have begun, not ended, by the end of the window: only the time to empty
        // a machine counts against the remaining time.
        let time = time - self.mean_emptying;
        Some((left as f64 * cycle.as_secs_f64() / time.as_secs_f64()).ceil() as usize)
    }
}
