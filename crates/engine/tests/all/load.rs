//! What a cell asks for.

use crate::fixture::*;
use celerythread_engine::job::{Resources, Step};

/// Tasks of one core and half of a minion's memory: two fill a minion, and its other cores are of no
/// use.  Counted by cores, a pool of sixteen cores a minion asked for an eighth of what it needed.
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

/// A burst leaves late jobs, of no worth to their callers any more, and another queue's turn begins.
/// Asking as much as fresh ones, they took the machines that the next callers needed in time.
#[test]
fn late_jobs_ask_for_less() {
    let mut harness = Harness::new(2);
    harness.submit(1, definition(vec![step(40)]));
    let fresh = harness.cell.load(harness.now).waiting;
    harness.advance_ms(5000);
    assert_eq!(harness.cell.load(harness.now).waiting * 4, fresh);
}

/// A turn of long tasks in two steps: with both steps and all their seconds counted as waiting, its pool
/// asked for three times the machines that it could use, half of them idled, and the callers of the next
/// turn found a twentieth of the machines that they needed.
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
        "the second step takes the first one's room"
    );
}

/// A wide step follows a narrow one: its machines are sent for while the narrow one still runs, since a
/// machine takes two seconds to come.
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
