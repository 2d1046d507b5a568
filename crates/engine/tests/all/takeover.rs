//! A new owner: what it starts when, and under which numbers.

use crate::fixture::*;
use celerythread_engine::cell::{Cell, EndReason, Permit, Report, Settings};
use celerythread_engine::job::{Progress, State, Step};
use celerythread_engine::time::Time;
use std::time::Duration;

fn successor(minions: usize) -> World {
    let cell = Cell::new(Settings::default(), 1, Some(Time(30_000)));
    let mut world = World::with_cell(cell, 0);
    for number in 0..minions {
        world.cell.inherit_minion(&World::minion(number));
        world.list(number);
    }
    world
}

/// A new owner starts a task that the former one runs on a minion which hasn't answered yet:
/// it runs twice.
#[test]
fn inherited_tasks_wait_until_every_minion_has_answered() {
    let mut world = successor(2);
    world.add(1, definition(vec![step(1)]), true);
    world.submit(2, definition(vec![step(1)]));
    world.answer(0, Report::default());
    let started = world.start_all();
    assert_eq!(started.len(), 1, "only the job that the former owner can't know");
    assert_eq!(started[0].1.job, id(2));
    let report = Report {
        running: vec![running(task(1, 0, 0), 3, 50)],
        finished: vec![],
        ..Report::default()
    };
    world.answer(1, report);
    assert!(world.start_all().is_empty(), "the run that was found goes on");
    assert_eq!(world.cell.state(&id(1)), Some(State::Running));
}

#[test]
fn inherited_tasks_start_when_the_former_owners_leases_must_have_lapsed() {
    let mut world = successor(1);
    world.cell.inherit_minion(&"gone".into());
    world.add(1, definition(vec![step(1)]), true);
    world.answer(0, Report::default());
    assert!(world.start_all().is_empty());
    world.now = Time(30_000);
    assert_eq!(world.start_all().len(), 1);
}

/// The new owner doesn't know the number of a run on a minion that doesn't answer.  A start
/// with a number that isn't higher would be refused there for good.
#[test]
fn a_new_owner_numbers_its_runs_above_all_of_its_predecessors() {
    let mut world = successor(1);
    world.add(1, definition(vec![step(1)]), true);
    world.answer(0, Report::default());
    assert!(world.start_all()[0].2 > 10_000);
}

#[test]
fn what_was_kept_as_done_is_not_started_again() {
    let mut world = successor(1);
    let progress = Progress { done: vec![0, 2], ..Progress::default() };
    let accepted = celerythread_engine::job::Accepted {
        queue: "queue".into(),
        at_ms: 0,
        definition: definition(vec![step(3)]),
        origin: celerythread_engine::job::Origin::Public,
    };
    let now = world.now;
    world.cell.add_job(id(1), accepted, Some(&progress), true, Duration::ZERO, now);
    world.answer(0, Report::default());
    let started = world.start_all();
    assert_eq!(started.iter().map(|start| start.1).collect::<Vec<_>>(), [task(1, 0, 1)]);
}

/// The former owner restarted a task elsewhere and was lost; two runs of it answer to the new
/// one.  One goes on, the other is stopped, and its room isn't used before it has ended.
#[test]
fn a_second_run_of_a_task_is_stopped() {
    let mut world = successor(2);
    world.add(1, definition(vec![step(1)]), true);
    let found = |run| Report {
        running: vec![running(task(1, 0, 0), run, 5)],
        finished: vec![],
        ..Report::default()
    };
    assert!(world.answer(0, found(1)).is_empty());
    let orders = world.answer(1, found(2));
    assert_eq!(stops(&orders), [(World::minion(1), task(1, 0, 0), 2)]);
}

/// An end that was listed to the former owner, and neither kept nor acknowledged by it, is
/// listed to the new one: the run counts, and isn't repeated.
#[test]
fn an_end_that_the_former_owner_missed_counts() {
    let mut world = successor(1);
    world.add(1, definition(vec![step(1)]), true);
    world.end(&World::minion(0), task(1, 0, 0), 4, EndReason::Done);
    world.keep();
    assert_eq!(world.cell.state(&id(1)), Some(State::Completed));
}

/// A minion that joined after the former owner was lost doesn't answer.  It can't run anything
/// of it, and waiting for it would keep every earlier job waiting.
#[test]
fn a_minion_that_the_former_owner_did_not_use_is_not_waited_for() {
    let mut world = successor(1);
    world.list(7);
    world.add(1, definition(vec![step(1)]), true);
    world.answer(0, Report::default());
    assert_eq!(world.start_all().len(), 1);
}

/// The former owner's minion went down for maintenance and its machine has another one by now.
#[test]
fn a_minion_whose_life_is_over_is_not_waited_for() {
    let mut world = successor(1);
    world.cell.inherit_minion(&"over".into());
    world.add(1, definition(vec![step(1)]), true);
    world.answer(0, Report::default());
    assert!(world.start_all().is_empty());
    world.cell.remove_terminated_minion("over", world.now);
    assert_eq!(world.start_all().len(), 1);
}

/// An owner is lost with a third of its minions.  Its successor can't start what may still run there,
/// and asked for machines for it: they came, idled until the leases had lapsed, and were missing
/// where another queue's turn had begun.
#[test]
fn what_may_still_run_elsewhere_asks_for_no_machines() {
    let mut world = successor(1);
    world.cell.inherit_minion(&"gone".into());
    world.answer(0, Report::default());
    world.add(1, definition(vec![step(40)]), true);
    world.submit(2, definition(vec![step(4)]));
    assert_eq!(world.cell.load(world.now).waiting, 4 * 500, "of the job that can be started");
    world.now = Time(30_000);
    assert!(world.cell.load(world.now).waiting > 4 * 500, "and now of both");
}

/// The store is away for three seconds, for everybody.  A job accepted before it stands still between
/// two of its steps until the store is back, since its owner starts nothing while it can't prove that it
/// still is the owner.  What was never started harms nobody: a successor waits for where it may run.
#[test]
fn what_was_never_started_is_started_while_the_store_is_away() {
    let mut world = World::new(2);
    let second = Step { after: [0].into_iter().collect(), ..step(1) };
    world.submit(1, definition(vec![step(1), second]));
    let (minion, first, run) = world.start_all().remove(0);
    let fresh = Permit::NeverStarted { known_by: world.now };
    world.pass(1500);
    world.end(&minion, first, run, EndReason::Done);
    let orders = world.cell.plan(world.now, world.now.0, fresh);
    assert_eq!(starts(&orders).first().map(|(_, task, _)| *task), Some(task(1, 1, 0)));
}

/// A task's run lapses on a minion that this owner can't reach and its successor can.  Started again
/// elsewhere, it runs twice: the successor has adopted the first run.  And a job that came to be known
/// after a takeover was possible may be a successor's, which doesn't wait for where this owner started it.
#[test]
fn what_a_successor_may_run_is_not_started_while_the_store_is_away() {
    let mut world = World::new(2);
    world.submit(1, definition(vec![step(1)]));
    let (minion, ..) = world.start_all().remove(0);
    let fresh = Permit::NeverStarted { known_by: world.now };
    world.pass(1500);
    world.cell.record_missed_answer(&minion, world.now);
    world.submit(2, definition(vec![step(1)]));
    let orders = world.cell.plan(world.now, world.now.0, fresh);
    assert_eq!(starts(&orders), []);
    assert_eq!(starts(&world.plan()).len(), 2, "both, once it is known to be the owner");
}

/// A caller cancels its job and its task runs on.  The start was sent before the cancellation, carried out
/// twelve seconds later on a minion that was cut off, and the entry that sent it is gone.  Whoever owns the
/// cell then stops it as soon as the minion lists it.
#[test]
fn a_late_run_of_a_cancelled_job_is_stopped_by_the_next_owner() {
    let mut world = successor(2);
    world.add(1, definition(vec![step(1)]), true);
    world.cell.cancel(&id(1), world.now);
    world.plan();
    world.pass(12_000);
    let late = Report { running: vec![running(task(1, 0, 0), 1, 0)], ..Report::default() };
    let mut ordered = world.answer(0, late.clone());
    ordered.extend(world.plan());
    assert_eq!(
        stops(&ordered).first().map(|(_, name, run)| (*name, *run)),
        Some((task(1, 0, 0), 1))
    );
    // The stop isn't answered, and is ordered again.
    world.pass(800);
    world.answer(0, late);
    assert_eq!(stops(&world.plan()).len(), 1);
}

/// A former owner started a job that its successor doesn't know yet.  Its run is being stopped, and a minion that
/// doesn't guard its capacity would be overloaded by what is started beside it meanwhile.
#[test]
fn a_run_of_an_unknown_job_keeps_its_minion_until_it_has_ended() {
    let mut world = successor(1);
    world.submit(1, definition(vec![step(16)]));
    let report = Report {
        running: vec![running(task(9, 0, 0), 3, 50)],
        finished: vec![],
        ..Report::default()
    };
    let orders = world.answer(0, report);
    assert_eq!(stops(&orders), [(World::minion(0), task(9, 0, 0), 3)]);
    assert_eq!(starts(&world.plan()), [], "how much it takes isn't known");
    world.end(&World::minion(0), task(9, 0, 0), 3, EndReason::Stopped);
    assert_eq!(world.start_all().len(), 16);
}
