//! How many machines of a wave are out of service at a time.
//!
//! The pattern it answers: a wave names half of the fleet and allows a fifth of it to be down at
//! once, while callers take turns asking for more than all machines.  Emptied as fast as allowed, a
//! fifth of the room is missing in the seconds that are worst anyway, and the rest of the window
//! goes unused.  So a wave takes from working machines only as many at a time as bring it through
//! its window, and more only as it falls behind.

use std::time::Duration;

/// The part of a wave's window in which it should be through, in percent.  What is left is for
/// machines that take long to empty and for an outage of the store of some seconds.
const PLANNED_WINDOW_PERCENT: u32 = 75;

/// How long a machine takes to empty before any has been seen to: tasks at hand last about a second.
const INITIAL_EMPTYING_TIME: Duration = Duration::from_millis(1000);

/// The weight of one machine's time in the mean, as a divisor: a change of the load shows within the
/// machines of one batch.
const EMPTYING_EWMA_DIVISOR: u32 = 8;

/// The time that a wave has.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct Window {
    /// All of it; zero if none was told.
    pub(crate) total: Duration,
    /// What has elapsed of it.
    pub(crate) elapsed: Duration,
}

impl Window {
    /// What is left of the part in which the wave should be through.
    fn remaining(&self) -> Duration {
        (self.total * PLANNED_WINDOW_PERCENT / 100).saturating_sub(self.elapsed)
    }
}

/// The pace of this holder's waves, learnt from the machines that it emptied.
#[derive(Debug)]
pub(crate) struct Pace {
    mean_emptying: Duration,
}

impl Default for Pace {
    fn default() -> Self {
        Self { mean_emptying: INITIAL_EMPTYING_TIME }
    }
}

impl Pace {
    /// Takes in how long a machine took from being asked to empty until it went down.
    pub(crate) fn observe(&mut self, duration: Duration) {
        self.mean_emptying =
            (self.mean_emptying * (EMPTYING_EWMA_DIVISOR - 1) + duration) / EMPTYING_EWMA_DIVISOR;
    }

    /// How many machines should be emptying or down, of `left` whose maintenance has not begun;
    /// each counts as down for `down`.  `None` when as many as allowed are needed.
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
        // A machine must have begun by the end of the window, not be back: only its emptying counts
        // against the time that is left.
        let time = time - self.mean_emptying;
        Some((left as f64 * cycle.as_secs_f64() / time.as_secs_f64()).ceil() as usize)
    }
}
