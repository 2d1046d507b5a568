//! A new owner: what it starts when, and under which numbers.

use crate::fixture::*;
use celerythread_engine::cell::{Cell, How, Permit, Report, Settings};
use celerythread_engine::job::{Progress, State, Step};
use celerythread_engine::time::Time;
use std::time::Duration;

fn successor(minions: usize) -> Harness {
    let cell = Cell::new(Settings::default(), 1, Some(Time(30_000)));
    let mut harness = Harness::with_cell(cell, 0);
    for number in 0..minions {
        harness.cell.inherit(&Harness::minion(number));
        harness.list_minion(number);
    }
    harness
}

/// A new owner starts a task that the former one runs on a minion which hasn't answered yet:
/// it runs twice.
#[test]
fn inherited_tasks_wait_until_every_minion_has_answered() {
    let mut harness = successor(2);
    harness.add_job(1, definition(vec![step(1)]), true);
    harness.submit(2, definition(vec![step(1)]));
    harness.answer(0, Report::default());
    let started = harness.start_all();
    assert_eq!(started.len(), 1, "only the job that the former owner can't know");
    assert_eq!(started[0].1.job, id(2));
    let report = Report {
        running: vec![running(task(1, 0, 0), 3, 50)],
        finished: vec![],
        ..Report::default()
    };
    harness.answer(1, report);
    assert!(harness.start_all().is_empty(), "the run that was found goes on");
    assert_eq!(harness.cell.state(&id(1)), Some(State::Running));
}

#[test]
fn inherited_tasks_start_after_the_former_owners_leases_have_lapsed() {
    let mut harness = successor(1);
    harness.cell.inherit(&"gone".into());
    harness.add_job(1, definition(vec![step(1)]), true);
    harness.answer(0, Report::default());
    assert!(harness.start_all().is_empty());
    harness.now = Time(30_000);
    assert_eq!(harness.start_all().len(), 1);
}

/// The new owner doesn't know the number of a run on a minion that doesn't answer.  A start
/// with a number that isn't higher would be refused there for good.
#[test]
fn a_new_owner_numbers_its_runs_above_all_of_its_predecessors() {
    let mut harness = successor(1);
    harness.add_job(1, definition(vec![step(1)]), true);
    harness.answer(0, Report::default());
    assert!(harness.start_all()[0].2 > 10_000);
}

#[test]
fn what_was_kept_as_done_is_not_started_again() {
    let mut harness = successor(1);
    let progress = Progress { done: vec![0, 2], ..Progress::default() };
    let accepted = celerythread_engine::job::Accepted {
        queue: "queue".into(),
        at_ms: 0,
        definition: definition(vec![step(3)]),
        origin: celerythread_engine::job::Origin::Public,
    };
    let now = harness.now;
    harness.cell.add_job(id(1), accepted, Some(&progress), true, Duration::ZERO, now);
    harness.answer(0, Report::default());
    let started = harness.start_all();
    assert_eq!(started.iter().map(|start| start.1).collect::<Vec<_>>(), [task(1, 0, 1)]);
}

/// The former owner restarted a task elsewhere and was lost; two runs of it answer to the new
/// one.  One goes on, the other is stopped, and its room isn't used before it has ended.
#[test]
fn a_second_run_of_a_task_is_stopped() {
    let mut harness = successor(2);
    harness.add_job(1, definition(vec![step(1)]), true);
    let found = |run| Report {
        running: vec![running(task(1, 0, 0), run, 5)],
        finished: vec![],
        ..Report::default()
    };
    assert!(harness.answer(0, found(1)).is_empty());
    let orders = harness.answer(1, found(2));
    assert_eq!(stops(&orders), [(Harness::minion(1), task(1, 0, 0), 2)]);
}

/// An end that was listed to the former owner, and neither kept nor acknowledged by it, is
/// listed to the new one: the run counts, and isn't repeated.
#[test]
fn an_end_that_the_former_owner_missed_counts() {
    let mut harness = successor(1);
    harness.add_job(1, definition(vec![step(1)]), true);
    harness.report_end(&Harness::minion(0), task(1, 0, 0), 4, How::Done);
    harness.store_progress();
    assert_eq!(harness.cell.state(&id(1)), Some(State::Completed));
}

/// A minion that joined after the former owner was lost doesn't answer.  It can't run anything
/// of it, and waiting for it would keep every earlier job waiting.
#[test]
fn a_minion_that_the_former_owner_did_not_use_is_not_waited_for() {
    let mut harness = successor(1);
    harness.list_minion(7);
    harness.add_job(1, definition(vec![step(1)]), true);
    harness.answer(0, Report::default());
    assert_eq!(harness.start_all().len(), 1);
}

/// The former owner's minion went down for maintenance and its machine has another one by now.
#[test]
fn a_terminated_minion_is_not_waited_for() {
    let mut harness = successor(1);
    harness.cell.inherit(&"over".into());
    harness.add_job(1, definition(vec![step(1)]), true);
    harness.answer(0, Report::default());
    assert!(harness.start_all().is_empty());
    harness.cell.bury("over", harness.now);
    assert_eq!(harness.start_all().len(), 1);
}

/// An owner is lost with a third of its minions.  Its successor can't start what may still run there,
/// and asked for machines for it: they came, idled until the leases had lapsed, and were missing
/// where another queue's turn had begun.
#[test]
fn what_may_still_run_elsewhere_asks_for_no_machines() {
    let mut harness = successor(1);
    harness.cell.inherit(&"gone".into());
    harness.answer(0, Report::default());
    harness.add_job(1, definition(vec![step(40)]), true);
    harness.submit(2, definition(vec![step(4)]));
    assert_eq!(harness.cell.load(harness.now).waiting, 4 * 500, "of the job that can be started");
    harness.now = Time(30_000);
    assert!(harness.cell.load(harness.now).waiting > 4 * 500, "and now of both");
}

/// The store is away for three seconds, for everybody.  A job accepted before it stands still between
/// two of its steps until the store is back, since its owner starts nothing while it can't prove that it
/// still is the owner.  What was never started harms nobody: a successor waits for where it may run.
#[test]
fn tasks_never_started_are_started_during_a_store_outage() {
    let mut harness = Harness::new(2);
    let second = Step { after: [0].into_iter().collect(), ..step(1) };
    harness.submit(1, definition(vec![step(1), second]));
    let (minion, first, run) = harness.start_all().remove(0);
    let fresh = Permit::Fresh { known_by: harness.now };
    harness.advance_ms(1500);
    harness.report_end(&minion, first, run, How::Done);
    let orders = harness.cell.plan(harness.now, harness.now.0, fresh);
    assert_eq!(starts(&orders).first().map(|(_, task, _)| *task), Some(task(1, 1, 0)));
}

/// A task's run lapses on a minion that this owner can't reach and its successor can.  Started again
/// elsewhere, it runs twice: the successor has adopted the first run.  And a job that came to be known
/// after a takeover was possible may be a successor's, which doesn't wait for where this owner started it.
#[test]
fn tasks_that_a_successor_may_run_are_not_started_during_a_store_outage() {
    let mut harness = Harness::new(2);
    harness.submit(1, definition(vec![step(1)]));
    let (minion, ..) = harness.start_all().remove(0);
    let fresh = Permit::Fresh { known_by: harness.now };
    harness.advance_ms(1500);
    harness.cell.missed(&minion, harness.now);
    harness.submit(2, definition(vec![step(1)]));
    let orders = harness.cell.plan(harness.now, harness.now.0, fresh);
    assert_eq!(starts(&orders), []);
    assert_eq!(starts(&harness.plan()).len(), 2, "both, once it is known to be the owner");
}

/// A caller cancels its job and its task runs on.  The start was sent before the cancellation, carried out
/// twelve seconds later on a minion that was cut off, and the entry that sent it is gone.  Whoever owns the
/// cell then stops it as soon as the minion lists it.
#[test]
fn a_late_run_of_a_cancelled_job_is_stopped_by_the_next_owner() {
    let mut harness = successor(2);
    harness.add_job(1, definition(vec![step(1)]), true);
    harness.cell.cancel(&id(1), harness.now);
    harness.plan();
    harness.advance_ms(12_000);
    let late = Report { running: vec![running(task(1, 0, 0), 1, 0)], ..Report::default() };
    let mut ordered = harness.answer(0, late.clone());
    ordered.extend(harness.plan());
    assert_eq!(
        stops(&ordered).first().map(|(_, name, run)| (*name, *run)),
        Some((task(1, 0, 0), 1))
    );
    // The stop isn't answered, and is ordered again.
    harness.advance_ms(800);
    harness.answer(0, late);
    assert_eq!(stops(&harness.plan()).len(), 1);
}

/// A former owner started a job that its successor doesn't know yet.  Its run is being stopped, and a minion that
/// doesn't guard its capacity would be overloaded by what is started beside it meanwhile.
#[test]
fn a_run_of_an_unknown_job_occupies_its_minion_until_it_ends() {
    let mut harness = successor(1);
    harness.submit(1, definition(vec![step(16)]));
    let report = Report {
        running: vec![running(task(9, 0, 0), 3, 50)],
        finished: vec![],
        ..Report::default()
    };
    let orders = harness.answer(0, report);
    assert_eq!(stops(&orders), [(Harness::minion(0), task(9, 0, 0), 3)]);
    assert_eq!(starts(&harness.plan()), [], "how much it takes isn't known");
    harness.report_end(&Harness::minion(0), task(9, 0, 0), 3, How::Stopped);
    assert_eq!(harness.start_all().len(), 16);
}
