//! Bounds of the current time on the store's clock, from readings in its answers.
//!
//! A reading was taken at some time between the sending of the call and the arrival of its answer.
//! So the store's clock is at least the reading plus the time since the arrival, and at most the
//! reading plus the time since the sending.

use crate::time::Time;
use std::time::Duration;

/// Lowest rate of a local clock relative to the true time.
const MIN_RATE: f64 = 0.98;

/// Highest rate of a local clock relative to the true time.
const MAX_RATE: f64 = 1.02;

/// Readings and local times are in whole milliseconds, so a difference of two of them can be off by
/// almost one.
const RESOLUTION_MS: u64 = 1;

/// Longest true time during which a local clock with an unknown rate advances by `span`.
pub fn longest(span: Duration) -> Duration {
    span.div_f64(MIN_RATE)
}

/// Time on a local clock with an unknown rate after which `span` has certainly passed.
pub fn certain(span: Duration) -> Duration {
    span.mul_f64(MAX_RATE)
}

/// A reading of the store's clock in an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Reading {
    /// The store's time in milliseconds.
    pub now_ms: u64,
    /// When the call was sent, on the local clock.
    pub sent: Time,
    /// When its answer arrived, on the local clock.
    pub received: Time,
}

/// What is known of the store's clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreClock {
    /// The readings that bound its time from below and from above.
    bounds: Option<(Reading, Reading)>,
    /// Whether a reading contradicted earlier ones.
    is_unsteady: bool,
}

impl StoreClock {
    /// Records a reading.
    ///
    /// A reading that contradicts the bounds shows that the clock was set or that another clock
    /// answers.  Times of before and after can't be compared then, so from then on no bound is
    /// given.
    pub fn record(&mut self, reading: Reading) {
        let Some((low, high)) = self.bounds else {
            self.bounds = Some((reading, reading));
            return;
        };
        let is_behind = reading.now_ms < at_least(&low, reading.sent);
        let is_ahead = reading.now_ms > at_most(&high, reading.received);
        if is_behind || is_ahead {
            self.is_unsteady = true;
        }
        let now = reading.received.max(low.received).max(high.received);
        if at_least(&reading, now) > at_least(&low, now) {
            self.bounds = Some((reading, high));
        }
        if at_most(&reading, now) < at_most(&high, now) {
            self.bounds = self.bounds.map(|(low, _)| (low, reading));
        }
    }

    /// The earliest that the store's clock can show at a local time; none if that is unknown.
    pub fn earliest_ms(&self, now: Time) -> Option<u64> {
        self.steady_bounds().map(|(low, _)| at_least(&low, now))
    }

    /// The latest that the store's clock can show at a local time; none if that is unknown.
    pub fn latest_ms(&self, now: Time) -> Option<u64> {
        self.steady_bounds().map(|(_, high)| at_most(&high, now))
    }

    fn steady_bounds(&self) -> Option<(Reading, Reading)> {
        self.bounds.filter(|_| !self.is_unsteady)
    }
}

/// The earliest that the store's clock shows at `now`, by one reading.
fn at_least(reading: &Reading, now: Time) -> u64 {
    if now <= reading.received {
        // Answers to concurrent calls are recorded in any order.  Within the same millisecond, `now`
        // may be before the arrival as well.
        let until = longest(reading.received.since(now)).as_millis() as u64 + 1;
        return reading.now_ms.saturating_sub(until + RESOLUTION_MS);
    }
    let passed = now.since(reading.received).as_millis() as u64;
    let passed = passed.saturating_sub(RESOLUTION_MS);
    reading.now_ms + (passed as f64 / MAX_RATE) as u64
}

/// The latest that the store's clock shows at `now`, by one reading.
fn at_most(reading: &Reading, now: Time) -> u64 {
    let passed = now.since(reading.sent).as_millis() as u64 + RESOLUTION_MS;
    reading.now_ms + RESOLUTION_MS + (passed as f64 / MIN_RATE).ceil() as u64
}
