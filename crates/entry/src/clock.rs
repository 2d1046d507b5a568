//! The clocks of the process.

use celerythread_policy::time::Moment;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A monotonic clock for decisions, and a wall clock for timestamps that are shown.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    started: Instant,
}

impl Clock {
    pub(crate) fn new() -> Self {
        Self { started: Instant::now() }
    }

    /// The current time on the monotonic clock.
    pub(crate) fn now(&self) -> Moment {
        Moment(self.started.elapsed().as_millis() as u64)
    }

    /// Milliseconds since the Unix epoch; never used to decide who holds a lease or a slot.
    pub(crate) fn wall_ms(&self) -> u64 {
        SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
    }
}
