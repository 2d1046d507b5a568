//! Expiry of leases whose deadlines are given on a minion's clock.

use celerythread_engine::lease::{MinionClock, max_duration};
use celerythread_engine::time::Time;
use std::time::Duration;

const AT: Time = Time(50_000);

/// Guards against counting a lease as expired while it still holds on a slow clock.
#[test]
fn a_lease_lasts_longer_on_a_slow_clock() {
    assert!(max_duration(Duration::from_millis(4900)) >= Duration::from_millis(5000));
    let clock = MinionClock::new(1000, AT);
    assert!(clock.latest_time_of(5900) >= AT + Duration::from_millis(5000));
    assert_eq!(clock.now_ms(Time(50_020)), 1020);
}

/// Guards against a task running twice after an undetected restart: the new process shortens a
/// deadline on the former clock to the lease limit, which exceeds the requested term.
#[test]
fn a_clock_that_runs_back_belongs_to_another_process() {
    let clock = MinionClock::new(80_000, AT);
    assert!(clock.is_reset(700, Time(50_100)));
    assert!(!clock.is_reset(80_000, Time(50_100)));
    assert!(!clock.is_reset(79_990, AT), "the call was sent before the last reading arrived");
}
