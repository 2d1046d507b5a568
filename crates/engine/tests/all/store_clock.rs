//! Tests of the bounds of the store's clock.

use celerythread_engine::store_clock::{Reading, StoreClock, certain, longest};
use celerythread_engine::time::Time;
use proptest::prelude::*;
use std::time::Duration;

fn reading(now_ms: u64, sent: u64, received: u64) -> Reading {
    Reading { now_ms, sent: Time(sent), received: Time(received) }
}

fn clock(readings: &[Reading]) -> StoreClock {
    let mut clock = StoreClock::default();
    readings.iter().for_each(|reading| clock.record(*reading));
    clock
}

/// Guards against a bound that assumes that the reading was taken when its answer arrived.  The
/// answer to a feed's call can be as old as the call.
#[test]
fn the_time_between_sending_and_answer_is_uncertain() {
    let clock = clock(&[reading(70_000, 1_000, 1_400)]);
    assert!(clock.earliest_ms(Time(1_400)).unwrap() <= 70_000);
    assert!(clock.latest_ms(Time(1_400)).unwrap() >= 70_400);
}

/// Guards against a vague bound: calls with an answer after ten seconds are mixed with short ones.
#[test]
fn the_most_precise_readings_count() {
    let clock = clock(&[reading(70_000, 1_000, 1_004), reading(70_500, 900, 1_600)]);
    let (earliest, latest) = (clock.earliest_ms(Time(1_600)), clock.latest_ms(Time(1_600)));
    assert!(earliest.unwrap() >= 70_580, "{earliest:?}");
    assert!(latest.unwrap() <= 70_630, "{latest:?}");
}

/// Guards against using a clock that was set back: a former owner's value can be from before.
#[test]
fn no_bound_is_given_after_the_clock_stepped_back() {
    let clock = clock(&[reading(70_000, 1_000, 1_004), reading(69_000, 2_000, 2_004)]);
    assert_eq!((clock.earliest_ms(Time(2_100)), clock.latest_ms(Time(2_100))), (None, None));
}

/// Guards against ending a wait too early because the clock was set forward: time would seem to
/// have passed that has not.
#[test]
fn no_bound_is_given_after_the_clock_stepped_forward() {
    let clock = clock(&[reading(70_000, 1_000, 1_004), reading(79_000, 2_000, 2_004)]);
    assert_eq!((clock.earliest_ms(Time(2_100)), clock.latest_ms(Time(2_100))), (None, None));
}

/// Guards against taking a steady clock for one that stepped, after which it is never used again: of
/// two concurrent calls within a millisecond, the one that is answered first was served last.
#[test]
fn concurrent_calls_within_a_millisecond_do_not_contradict_each_other() {
    let first = reading(70_001, 1_000, 1_000);
    let second = reading(70_000, 1_000, 1_000);
    for readings in [[first, second], [second, first]] {
        let clock = clock(&readings);
        assert!(clock.earliest_ms(Time(1_000)).is_some_and(|earliest| earliest <= 70_000));
        assert!(clock.latest_ms(Time(1_000)).is_some_and(|latest| latest >= 70_001));
    }
}

/// Guards against a bound before the first answer.
#[test]
fn nothing_is_known_without_a_reading() {
    let clock = StoreClock::default();
    assert_eq!((clock.earliest_ms(Time(5)), clock.latest_ms(Time(5))), (None, None));
}

/// Guards against waits that are too short because a local clock is 2% fast or slow.
#[test]
fn spans_allow_for_clock_rates() {
    let span = Duration::from_secs(10);
    assert!(longest(span) >= Duration::from_millis(10_200));
    assert!(certain(span) >= Duration::from_millis(10_200));
}

proptest! {
    /// Guards against bounds that don't contain the store's time, and against taking a steady clock
    /// for an unsteady one, whatever the local clock's rate, the latencies and the order in which
    /// concurrent answers are recorded.
    #[test]
    fn the_bounds_contain_the_time(
        rate in 0.98..1.02_f64,
        calls in prop::collection::vec((0..20_000_u64, 0..400_u64, 0..400_u64), 1..20),
        later in 0..5_000_u64,
    ) {
        let local = |at: u64| 3_000 + (at as f64 * rate) as u64;
        let mut clock = StoreClock::default();
        for (sent, out, back) in &calls {
            let received = local(sent + out + back);
            clock.record(reading(70_000 + sent + out, local(*sent), received));
        }
        let now = calls.iter().map(|(sent, out, back)| sent + out + back).max().unwrap() + later;
        let earliest = clock.earliest_ms(Time(local(now)));
        let latest = clock.latest_ms(Time(local(now)));
        let time = 70_000 + now;
        prop_assert!(earliest.is_some_and(|earliest| earliest <= time), "{earliest:?} {time}");
        prop_assert!(latest.is_some_and(|latest| latest >= time), "{latest:?} {time}");
    }
}
