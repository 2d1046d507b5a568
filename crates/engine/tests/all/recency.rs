//! How recent the view of a table is.

use celerythread_engine::cell::Permit;
use celerythread_engine::recency::Recency;
use celerythread_engine::time::Time;
use std::time::Duration;

const MAX_AGE: Duration = Duration::from_millis(2000);

fn age_ms(recency: &Recency, now: u64) -> u128 {
    recency.age(Time(now)).as_millis()
}

#[test]
fn a_read_covers_the_changes_before_it_was_sent() {
    let mut recency = Recency::default();
    recency.record_read(Time(1000), 10);
    assert_eq!(age_ms(&recency, 1400), 400);
}

/// Guards against a view that counts as old while its feed waits for a change that doesn't come.
#[test]
fn an_answer_covers_the_versions_that_calls_showed_while_it_waited() {
    let mut recency = Recency::default();
    recency.record_read(Time(1000), 10);
    recency.record_version(Time(1300), 12);
    recency.record_version(Time(1900), 15);
    recency.record_read(Time(1050), 15);
    assert_eq!(age_ms(&recency, 2000), 100);
    recency.record_version(Time(1950), 15);
    assert_eq!(age_ms(&recency, 2000), 50, "nothing has changed");
}

/// Guards against taking the end of an answer's transfer for the time of its content: the process may
/// have been suspended before it read the answer.
#[test]
fn an_answer_that_is_read_late_covers_nothing_later() {
    let mut recency = Recency::default();
    recency.record_read(Time(1000), 10);
    recency.record_read(Time(1400), 11);
    recency.record_version(Time(6000), 20);
    assert_eq!(age_ms(&recency, 6000), 4600);
}

/// Guards against trusting answers that have no newer version than the store had before they were
/// asked for.
#[test]
fn an_answer_with_an_outdated_version_covers_nothing() {
    let mut recency = Recency::default();
    recency.record_read(Time(1000), 10);
    recency.record_version(Time(1200), 12);
    recency.record_read(Time(1400), 10);
    recency.record_read(Time(2800), 11);
    assert_eq!(age_ms(&recency, 3000), 2000);
    recency.record_read(Time(2900), 12);
    assert_eq!(age_ms(&recency, 3000), 100);
}

/// Guards against starting tasks of jobs that were cancelled while the owner had no changes of the
/// table of jobs, and renewed its row all the while.
#[test]
fn nothing_is_started_with_an_old_view_of_the_jobs() {
    let mut recency = Recency::default();
    recency.record_read(Time(1000), 10);
    let restrict = |now| recency.restrict(Permit::All, MAX_AGE, None, Time(now));
    assert_eq!(restrict(3000), Permit::All);
    assert_eq!(restrict(3001), Permit::Nothing);
    let never_started = Permit::NeverStarted { known_by: Time(900) };
    assert_eq!(recency.restrict(never_started, MAX_AGE, None, Time(3001)), Permit::Nothing);
}

/// Guards against callers that wait through an outage of the store, in which no cancellation is
/// acknowledged.
#[test]
fn what_was_never_started_is_started_while_the_store_is_lost() {
    let mut recency = Recency::default();
    recency.record_read(Time(1000), 10);
    let permit = Permit::NeverStarted { known_by: Time(900) };
    let restrict = |permit| recency.restrict(permit, MAX_AGE, Some(Time(1300)), Time(3500));
    assert_eq!(restrict(permit), permit);
    assert_eq!(restrict(Permit::All), Permit::Nothing);
}

/// Guards against starting tasks of cancelled jobs, which an old view of the jobs had prevented, as
/// soon as the store is lost to their owner.
#[test]
fn what_an_old_view_holds_stays_held_when_the_store_is_lost() {
    let mut recency = Recency::default();
    recency.record_read(Time(1000), 10);
    let permit = Permit::NeverStarted { known_by: Time(5000) };
    let restrict = |lost| recency.restrict(permit, MAX_AGE, Some(Time(lost)), Time(6000));
    assert_eq!(restrict(3000), permit);
    assert_eq!(restrict(3001), Permit::Nothing);
    assert_eq!(restrict(4000), Permit::Nothing);
}

/// Guards against taking an outdated answer for the present state after many calls have shown newer
/// versions.
#[test]
fn an_outdated_answer_covers_nothing_after_many_newer_versions() {
    let mut recency = Recency::default();
    recency.record_read(Time(1000), 10);
    (0..100).for_each(|call| recency.record_version(Time(1100 + 20 * call), 11 + call));
    recency.record_read(Time(1500), 10);
    assert_eq!(recency.age(Time(3500)), Duration::from_millis(2500));
}
