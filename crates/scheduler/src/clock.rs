//! The clocks of this process.

use celerythread_engine::time::Time;
use rustix::time::{ClockId, clock_gettime};
use std::time::{SystemTime, UNIX_EPOCH};

/// Now, on a clock that also counts time in suspension: the steady clock stands still then, and
/// leases judged by it would outlive their term.
pub(crate) fn now() -> Time {
    let time = clock_gettime(ClockId::Boottime);
    Time(time.tv_sec as u64 * 1000 + time.tv_nsec as u64 / 1_000_000)
}

/// The time of day in milliseconds since 1970.
pub(crate) fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as u64
}
