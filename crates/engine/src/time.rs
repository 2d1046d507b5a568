//! Points in time within one process.

use serde::{Deserialize, Serialize};
use std::ops::{Add, Sub};
use std::time::Duration;

/// Milliseconds on a monotonic clock that keeps running while the instance is suspended.
///
/// The operating system's usual monotonic clock stops during a suspension, so a lease measured by
/// it would seem valid after it has expired everywhere else.
#[derive(
    Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd, Hash, Serialize, Deserialize,
)]
pub struct Time(pub u64);

impl Time {
    /// The time since `earlier`; zero if `earlier` is later than this.
    pub fn since(self, earlier: Time) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Time {
    type Output = Time;

    fn add(self, span: Duration) -> Time {
        Time(self.0 + span.as_millis() as u64)
    }
}

impl Sub<Duration> for Time {
    type Output = Time;

    fn sub(self, span: Duration) -> Time {
        Time(self.0.saturating_sub(span.as_millis() as u64))
    }
}
