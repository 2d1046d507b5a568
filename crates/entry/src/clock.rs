//! The process's clocks.

use celerythread_policy::time::Moment;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A monotonic clock for decisions and a wall clock for people.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    started: Instant,
}

impl Clock {
    pub(crate) fn new() -> Self {
        Self { started: Instant::now() }
    }

    /// Now, on the monotonic clock.
    pub(crate) fn now(&self) -> Moment {
        Moment(self.started.elapsed().as_millis() as u64)
    }

    /// Milliseconds since the Unix epoch; never used to decide who holds what.
    pub(crate) fn wall_ms(&self) -> u64 {
        SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
    }
}
