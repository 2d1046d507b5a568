//! A point in time of this process.

use serde::{Deserialize, Serialize};
use std::ops::{Add, Sub};
use std::time::Duration;

/// Milliseconds on a clock that also runs while the instance is suspended.
///
/// The steady clock of the operating system stands still during a suspension, so a lease
/// judged by it would look valid after it has run out everywhere else.
#[derive(
    Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd, Hash, Serialize, Deserialize,
)]
pub struct Time(pub u64);

impl Time {
    /// The time since `earlier`; nought if that lies ahead.
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
