//! Detection of store outages.

use celerythread_engine::outage::Outage;
use celerythread_engine::time::Time;

/// Records calls every 30 ms to a store that answers only the first one and those at `answers`.
fn outage(until: u64, answers: &[u64]) -> Outage {
    let mut outage = Outage::default();
    outage.record(true, Time(1000));
    for at in (1010..=until).step_by(30) {
        outage.record(answers.iter().any(|answer| (at..at + 30).contains(answer)), Time(at));
    }
    outage
}

/// Guards against sending jobs to a store that is down at peak load: hundreds of callers would get
/// an unknown outcome.
#[test]
fn a_store_that_stops_answering_is_soon_down() {
    assert!(!outage(1040, &[]).is_ongoing(Time(1040)), "two failures may be chance");
    assert!(outage(1160, &[]).is_ongoing(Time(1160)));
}

/// The first answer ends an outage, so that waiting callers are served.
#[test]
fn one_answer_ends_an_outage() {
    assert!(!outage(3000, &[2990]).is_ongoing(Time(3000)));
}

/// An outage lasts from the last answer on.  Guards against moves without the store that begin
/// without an outage, or go on for longer than they may.
#[test]
fn an_outage_lasts_since_the_last_answer() {
    assert_eq!(outage(1040, &[]).duration(Time(1040)), None);
    // The call at 1490 ms was the last one answered.
    let lasting = outage(3000, &[1500]);
    assert_eq!(lasting.duration(Time(3000)).map(|time| time.as_millis()), Some(1510));
}

/// A store that refuses most calls, but not all, must not count as down: it would get no calls,
/// although each caller is served at the second or third attempt.
#[test]
fn a_store_that_refuses_some_calls_is_not_down() {
    let answers: Vec<u64> = (1000..3000).step_by(90).collect();
    for until in (1500..3000).step_by(10) {
        assert!(!outage(until, &answers).is_ongoing(Time(until)), "{until}");
    }
}

/// One lost connection with five calls on it is no outage.
#[test]
fn calls_that_fail_together_are_no_outage() {
    let mut outage = Outage::default();
    outage.record(true, Time(1000));
    for _ in 0..5 {
        outage.record(false, Time(1020));
    }
    assert!(!outage.is_ongoing(Time(1020)));
}
