//! Tests of the demand for machines that a cell reports.

use crate::fixture::*;
use celerythread_engine::job::{Resources, Step};

/// Guards against demand that is counted by cores alone.  Two tasks of one core and half of a
/// minion's memory fill the minion and leave its other cores unusable; a pool whose minions have
/// sixteen cores requested an eighth of what it needed.
#[test]
fn tasks_that_fill_the_memory_ask_for_whole_minions() {
    let mut harness = Harness::new(2);
    let capacity = harness.cell.minion("minion-0").expect("listed").listing.capacity;
    let need = Resources { memory_mb: capacity.memory_mb / 2, ..step(1).need };
    harness.submit(1, definition(vec![Step { need, estimate_ms: 1000, ..step(4) }]));
    let load = harness.cell.load(harness.now);
    assert_eq!(load.minion_cpu, capacity.cpu);
    assert_eq!(load.waiting, 4 * capacity.cpu / 2, "two minions for a second");
}

/// Guards against late jobs that demand as much as fresh ones.  After a burst, jobs that are too
/// late to be of use to their callers took the machines that the next queue's callers needed in
/// time.
#[test]
fn late_jobs_ask_for_less() {
    let mut harness = Harness::new(2);
    harness.submit(1, definition(vec![step(40)]));
    let fresh = harness.cell.load(harness.now).waiting;
    harness.advance_ms(5000);
    assert_eq!(harness.cell.load(harness.now).waiting * 4, fresh);
}

/// Guards against demand for more cores than the tasks can use.  With both steps of long tasks and
/// their whole duration counted as waiting, a pool requested three times the machines that it could
/// use; half of them were idle, and the pool with the next demand peak had a twentieth of the
/// machines that it needed.
#[test]
fn tasks_ask_for_no_more_cores_than_they_can_use() {
    let mut harness = Harness::new(8);
    let long = Step { estimate_ms: 3000, ..step(4) };
    let second = Step { after: [0].into_iter().collect(), ..long.clone() };
    harness.submit(1, definition(vec![long.clone(), second]));
    let cores = 4 * long.need.cpu;
    assert_eq!(
        harness.cell.load(harness.now).waiting,
        cores,
        "one step at a time, a second's worth"
    );
    harness.plan();
    let load = harness.cell.load(harness.now);
    assert_eq!(
        (load.working, load.waiting),
        (cores, 0),
        "the second step reuses the first one's capacity"
    );
}

/// The machines for a wide step are requested while the narrow step before it still runs, because a
/// machine takes two seconds to arrive.
#[test]
fn a_wider_step_requests_its_missing_cores_ahead() {
    let mut harness = Harness::new(8);
    let narrow = Step { estimate_ms: 1000, ..step(1) };
    let wide = Step { after: [0].into_iter().collect(), estimate_ms: 1000, ..step(10) };
    harness.submit(1, definition(vec![narrow.clone(), wide]));
    harness.plan();
    let load = harness.cell.load(harness.now);
    assert_eq!((load.working, load.waiting), (narrow.need.cpu, 9 * narrow.need.cpu));
}
