//! Memory for jobs.

use celerythread_engine::admission::{Admission, NearlyFull};
use celerythread_engine::cell::footprint;
use celerythread_engine::job::{Definition, Id, Schedule, Step};
use celerythread_engine::time::Time;

const LIMIT: u64 = 1 << 20;

fn id(number: u64) -> Id {
    format!("{number:016x}").parse().unwrap()
}

/// Guards against entries that together accept more than the owner holds: each asks before the
/// others' jobs are known.
#[test]
fn promised_memory_counts_until_the_job_is_known() {
    let mut admission = Admission::new(LIMIT);
    let (now, size) = (Time(1000), LIMIT / 4);
    assert!((0..3).all(|number| admission.admit(id(number), size, 0, now)));
    assert!(!admission.admit(id(3), size, 0, now));
    admission.record_known(&id(0));
    assert!(!admission.admit(id(3), size, size, now), "it is held instead");
    assert!(admission.admit(id(3), size, size, Time(1000 + 5000)), "the promises have expired");
}

/// Guards against large jobs that leave no memory for ordinary ones.
#[test]
fn large_jobs_leave_memory_to_small_ones() {
    let mut admission = Admission::new(LIMIT);
    let (now, held) = (Time(0), LIMIT * 3 / 4);
    assert!(!admission.admit(id(1), LIMIT / 100, held, now));
    assert!(admission.admit(id(1), LIMIT / 200, held, now));
    assert!(!admission.admit(id(2), LIMIT / 200, LIMIT, now));
}

/// Guards against a retry that is counted twice and refused although its job may be stored.
#[test]
fn a_repeated_request_takes_the_memory_once() {
    let mut admission = Admission::new(LIMIT);
    assert!((0..10).all(|second| admission.admit(id(1), LIMIT / 2, 0, Time(second * 100))));
}

/// Guards against entries that go on accepting small jobs without asking an owner that is nearly
/// full, and against asking it for good.
#[test]
fn a_nearly_full_owner_is_asked_first_for_a_time() {
    let admission = Admission::new(LIMIT);
    assert!(!admission.is_nearly_full(LIMIT / 2 - 1) && admission.is_nearly_full(LIMIT / 2));
    let mut nearly_full = NearlyFull::default();
    nearly_full.record("desk", Time(1000));
    assert!(nearly_full.contains("desk", Time(1000 + 4999)));
    assert!(!nearly_full.contains("desk", Time(1000 + 5000)));
    assert!(!nearly_full.contains("hall", Time(1000)));
}

/// Guards against a job whose memory is underestimated: by steps, tasks, occurrences or texts.
#[test]
fn the_footprint_grows_with_all_that_is_held() {
    let step = Step { count: 10, ..Step::default() };
    let base = Definition { spec: "".into(), steps: vec![step.clone()], schedule: None };
    let base_len = footprint::of(&base);
    let schedule = Some(Schedule { repetitions: 8, start_at_ms: 0, interval_ms: 0 });
    let image = Step { image: Some("i".repeat(3000).into()), ..step.clone() };
    let after = Step { after: vec![0; 3000].into(), ..step.clone() };
    for (larger, least) in [
        (Definition { spec: "x".repeat(3000).into(), ..base.clone() }, 3000),
        (Definition { steps: vec![step.clone(); 100], ..base.clone() }, 99 * 10 * size_of::<u64>()),
        (Definition { steps: vec![Step { count: 1000, ..step }], ..base.clone() }, 990 * 100),
        (Definition { schedule, ..base.clone() }, 70 * 100),
        (Definition { steps: vec![image], ..base.clone() }, 3000),
        (Definition { steps: vec![after], ..base.clone() }, 12_000),
    ] {
        assert!(footprint::of(&larger) >= base_len + least as u64, "{larger:?}");
    }
}
