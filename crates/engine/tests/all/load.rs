//! Tests of the demand for machines that a cell reports.

use crate::fixture::*;
use celerythread_engine::cell::{Cell, Settings};
use celerythread_engine::job::{Resources, Step};
use celerythread_engine::time::Time;

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

/// Guards against demand that vanishes while a cell is taken over: its pool gave its machines away
/// and had to get them back once its new owner might start the inherited jobs.
#[test]
fn inherited_jobs_ask_apart_until_the_takeover_is_complete() {
    let cell = Cell::new(Settings::default(), 1, Some(Time(16_000)));
    let mut harness = Harness::with_cell(cell, 0);
    harness.cell.inherit_minion(&"gone".into());
    harness.add_job(1, definition(vec![step(4)]), true);
    let load = harness.cell.load(harness.now);
    let cores = 4 * step(4).need.cpu;
    assert_eq!((load.waiting, load.inherited), (0, cores * step(4).estimate_ms.min(1000) / 1000));
    assert_eq!(load.inherited_ms, 16_000 - harness.now.0);
    harness.now = Time(16_000);
    let load = harness.cell.load(harness.now);
    assert_eq!((load.inherited, load.inherited_ms), (0, 0));
    assert!(load.waiting > 0);
}

/// Guards against a planner that can't tell demand that is in time from a backlog that isn't.
#[test]
fn demand_of_late_jobs_is_told_apart() {
    let mut harness = Harness::new(1);
    harness.submit(1, definition(vec![Step { estimate_ms: 1000, ..step(40) }]));
    harness.plan();
    let load = harness.cell.load(harness.now);
    assert!(load.working > 0 && load.waiting > 0);
    assert_eq!((load.late_working, load.late_waiting), (0, 0));
    harness.advance_ms(5000);
    let load = harness.cell.load(harness.now);
    assert_eq!((load.late_working, load.late_waiting), (load.working, load.waiting));
}

/// Guards against emptying a machine whose tasks run for long while another one is empty soon.
#[test]
fn a_minion_reports_when_its_runs_should_have_ended() {
    let mut harness = Harness::new(2);
    harness.submit(1, definition(vec![Step { estimate_ms: 3000, ..step(1) }]));
    harness.plan();
    harness.advance_ms(1000);
    let load = harness.cell.load(harness.now);
    assert_eq!(load.free.len(), 2);
    assert_eq!(load.busy.len(), 1, "an idle minion isn't listed");
    assert_eq!(load.busy[0].1, 2000);
}
