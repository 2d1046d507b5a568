//! The clocks of this process.

use celerythread_engine::time::Time;
use rustix::time::{ClockId, clock_gettime};
use std::time::{SystemTime, UNIX_EPOCH};

/// The current time, including time spent suspended.  The monotonic clock stops during suspension,
/// so leases judged by it would outlive their term.
pub(crate) fn now() -> Time {
    let time = clock_gettime(ClockId::Boottime);
    Time(time.tv_sec as u64 * 1000 + time.tv_nsec as u64 / 1_000_000)
}

/// Wall-clock time in milliseconds since the Unix epoch.
pub(crate) fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as u64
}
