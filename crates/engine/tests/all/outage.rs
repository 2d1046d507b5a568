//! When the store counts as away.

use celerythread_engine::outage::Outage;
use celerythread_engine::time::Time;

/// A store that answers at first and at these times, and fails every 30 ms otherwise.
fn outage(until: u64, answers: &[u64]) -> Outage {
    let mut outage = Outage::default();
    outage.record(true, Time(1000));
    for at in (1010..=until).step_by(30) {
        outage.record(answers.iter().any(|answer| (at..at + 30).contains(answer)), Time(at));
    }
    outage
}

/// The store goes away at a turn's peak.  Hundreds of callers' jobs are sent to it all the same, and each
/// of them must then be told that nobody knows whether it runs.
#[test]
fn a_store_that_stops_answering_is_soon_down() {
    assert!(!outage(1040, &[]).is_ongoing(Time(1040)), "two failures may be chance");
    assert!(outage(1160, &[]).is_ongoing(Time(1160)));
}

/// It is back: the first answer says so, and callers who wait are let in.
#[test]
fn one_answer_ends_an_outage() {
    assert!(!outage(3000, &[2990]).is_ongoing(Time(3000)));
}

/// The store turns away most calls, but not all.  Taken for away, it would get none, although each
/// caller would be served at the second or third try.
#[test]
fn a_store_that_refuses_some_calls_is_not_down() {
    let answers: Vec<u64> = (1000..3000).step_by(90).collect();
    for until in (1500..3000).step_by(10) {
        assert!(!outage(until, &answers).is_ongoing(Time(until)), "{until}");
    }
}

/// One connection is lost with five calls on it.  That is no outage.
#[test]
fn calls_that_fail_together_are_no_outage() {
    let mut outage = Outage::default();
    outage.record(true, Time(1000));
    for _ in 0..5 {
        outage.record(false, Time(1020));
    }
    assert!(!outage.is_ongoing(Time(1020)));
}
