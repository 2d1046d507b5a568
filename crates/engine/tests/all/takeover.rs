//! Tests of a new owner: what it starts, when, and with which run numbers.

use crate::fixture::*;
use celerythread_engine::cell::{Cell, EndReason, Incarnation, Permit, Report, Settings};
use celerythread_engine::job::{Progress, State, Step, Trials};
use celerythread_engine::time::Time;
use std::time::Duration;

fn successor(minions: usize) -> Harness {
    let cell = Cell::new(Settings::default(), 1, Some(Time(30_000)));
    let mut harness = Harness::with_cell(cell, 0);
    for number in 0..minions {
        harness.cell.inherit_minion(&Harness::minion(number));
        harness.list_minion(number);
    }
    harness
}

/// Guards against starting a task that already runs on a minion which hasn't answered the new owner
/// yet: it would run twice.
#[test]
fn inherited_tasks_wait_until_every_minion_has_answered() {
    let mut harness = successor(2);
    harness.add_job(1, definition(vec![step(1)]), true);
    harness.submit(2, definition(vec![step(1)]));
    harness.answer(0, Report::default());
    let started = harness.start_all();
    assert_eq!(started.len(), 1, "only the job that the former owner can't have started");
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

/// Guards against showing a job as queued while a task of it may run on a minion that hasn't answered
/// the new owner yet.
#[test]
fn the_state_of_an_inherited_job_is_unknown_until_its_tasks_were_looked_for() {
    let mut harness = successor(2);
    harness.add_job(1, definition(vec![step(1)]), true);
    harness.submit(2, definition(vec![step(1), step(1)]));
    harness.answer(0, Report::default());
    harness.start_all();
    assert!(!harness.cell.is_state_known(&id(1)));
    assert!(harness.cell.is_state_known(&id(2)), "the former owner can't have started it");
    assert!(harness.cell.is_state_known(&id(3)), "the job doesn't exist");
    harness.answer(1, Report::default());
    harness.start_all();
    assert!(harness.cell.is_state_known(&id(1)));
}

#[test]
fn inherited_tasks_start_after_the_former_owners_leases_have_expired() {
    let mut harness = successor(1);
    harness.cell.inherit_minion(&"gone".into());
    harness.add_job(1, definition(vec![step(1)]), true);
    harness.answer(0, Report::default());
    assert!(harness.start_all().is_empty());
    harness.now = Time(30_000);
    assert_eq!(harness.start_all().len(), 1);
}

/// Guards against run numbers that a minion refuses.  The new owner doesn't know the numbers of
/// runs on a minion that doesn't answer, and a start with a number that isn't higher would always
/// be refused there.
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
        terms: None,
        service: None,
    };
    let now = harness.now;
    harness.cell.add_job(id(1), accepted, Some(&progress), true, Duration::ZERO, now);
    harness.answer(0, Report::default());
    let started = harness.start_all();
    assert_eq!(started.iter().map(|start| start.1).collect::<Vec<_>>(), [task(1, 0, 1)]);
}

/// If the former owner restarted a task elsewhere before it was lost, its successor finds two runs.
/// One continues, the other is stopped, and its capacity isn't reused before it has ended.
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

/// Guards against failing a job whose task runs: its trial was stored before the start, and its owner
/// was lost before it saw the trial pass.
#[test]
fn a_job_whose_suspected_task_is_found_running_does_not_fail() {
    let takeover = |report: Report| {
        let mut harness = successor(1);
        let accepted = celerythread_engine::job::Accepted {
            queue: "queue".into(),
            at_ms: 0,
            definition: definition(vec![step(1)]),
            origin: celerythread_engine::job::Origin::Public,
            terms: None,
            service: None,
        };
        let progress = Progress {
            suspicions: vec![(0, 8)],
            trials: vec![(0, Trials { crashed: 2, uncertain: 1 })],
            ..Progress::default()
        };
        let now = harness.now;
        harness.cell.add_job(id(1), accepted, Some(&progress), true, Duration::ZERO, now);
        harness.answer(0, report);
        harness.plan();
        let batch = harness.cell.unpersisted_batch(90).expect("progress to store");
        (batch.rows[0].2.outcome, batch.rows[0].2.suspicions.clone())
    };
    let running = vec![running(task(1, 0, 0), 3, 50)];
    let found = takeover(Report { running, ..Report::default() });
    assert_eq!(found, (None, vec![(0, 6)]), "its last trial was no crash");
    let missing = takeover(Report::default());
    assert_eq!(missing.0, Some(State::Failed), "not found on any minion");
}

/// Guards against repeating a run whose end was reported to the former owner, but neither stored
/// nor acknowledged by it.  The minion reports the end again to the new owner.
#[test]
fn an_end_that_the_former_owner_missed_counts() {
    let mut harness = successor(1);
    harness.add_job(1, definition(vec![step(1)]), true);
    harness.report_end(&Harness::minion(0), task(1, 0, 0), 4, EndReason::Done);
    harness.store_progress();
    assert_eq!(harness.cell.state(&id(1)), Some(State::Completed));
}

/// Guards against waiting for a minion that joined after the former owner was lost and doesn't
/// answer.  It can't run any inherited task, and waiting for it would delay every inherited job.
#[test]
fn a_minion_that_the_former_owner_did_not_use_is_not_waited_for() {
    let mut harness = successor(1);
    harness.list_minion(7);
    harness.add_job(1, definition(vec![step(1)]), true);
    harness.answer(0, Report::default());
    assert_eq!(harness.start_all().len(), 1);
}

/// A minion of the former owner that was shut down for maintenance never answers; its machine has
/// another minion.
#[test]
fn a_terminated_minion_is_not_waited_for() {
    let mut harness = successor(1);
    harness.cell.inherit_minion(&"over".into());
    harness.add_job(1, definition(vec![step(1)]), true);
    harness.answer(0, Report::default());
    assert!(harness.start_all().is_empty());
    harness.cell.remove_terminated_minion("over", harness.now);
    assert_eq!(harness.start_all().len(), 1);
}

/// Guards against requesting machines for tasks that can't be started yet.  After an owner is lost
/// together with a third of its minions, their tasks may still run there.  Machines requested for
/// them were idle until the leases had expired, while another queue needed them.
#[test]
fn what_may_still_run_elsewhere_asks_for_no_machines() {
    let mut harness = successor(1);
    harness.cell.inherit_minion(&"gone".into());
    harness.answer(0, Report::default());
    harness.add_job(1, definition(vec![step(40)]), true);
    harness.submit(2, definition(vec![step(4)]));
    assert_eq!(harness.cell.load(harness.now).waiting, 4 * 500, "only the job that can be started");
    harness.now = Time(30_000);
    assert!(harness.cell.load(harness.now).waiting > 4 * 500, "both jobs");
}

/// Guards against stalling a job between two steps during a store outage of three seconds.  An
/// owner that can't confirm its ownership must not start tasks again, but a task that was never
/// started is safe to start: a successor waits for the minions on which it may run.
#[test]
fn tasks_never_started_are_started_during_a_store_outage() {
    let mut harness = Harness::new(2);
    let second = Step { after: [0].into_iter().collect(), ..step(1) };
    harness.submit(1, definition(vec![step(1), second]));
    let (minion, first, run) = harness.start_all().remove(0);
    let fresh = Permit::NeverStarted { known_by: harness.now };
    harness.advance_ms(1500);
    harness.report_end(&minion, first, run, EndReason::Done);
    let orders = harness.cell.plan(harness.now, harness.now.0, fresh);
    assert_eq!(starts(&orders).first().map(|(_, task, _)| *task), Some(task(1, 1, 0)));
}

/// Guards against running a task twice during a store outage.  If its lease expires on a minion
/// that only a successor can reach, the successor may have adopted the run.  A job that became
/// known after a takeover was possible may belong to a successor, which doesn't wait for the
/// minions on which this owner starts it.
#[test]
fn tasks_that_a_successor_may_run_are_not_started_during_a_store_outage() {
    let mut harness = Harness::new(2);
    harness.submit(1, definition(vec![step(1)]));
    let (minion, ..) = harness.start_all().remove(0);
    let fresh = Permit::NeverStarted { known_by: harness.now };
    harness.advance_ms(1500);
    harness.cell.record_missed_answer(&minion, harness.now);
    harness.submit(2, definition(vec![step(1)]));
    let orders = harness.cell.plan(harness.now, harness.now.0, fresh);
    assert_eq!(starts(&orders), []);
    assert_eq!(starts(&harness.plan()).len(), 2, "both, once it is confirmed to be the owner");
}

/// Guards against running a task twice because a minion lost its fencing token in a restart, so that
/// it accepts starts from an owner that is disconnected from the store and has been replaced.
#[test]
fn nothing_is_started_on_a_minion_that_restarted_after_a_takeover_was_possible() {
    let mut harness = Harness::new(0);
    let report = |number| Report { incarnation: Some(Incarnation(number)), ..Report::default() };
    harness.list_minion(0);
    harness.answer(0, report(1));
    harness.submit(1, definition(vec![step(1)]));
    let fresh = Permit::NeverStarted { known_by: harness.now };
    harness.advance_ms(1500);
    harness.answer(0, report(2));
    assert_eq!(starts(&harness.cell.plan(harness.now, harness.now.0, fresh)), []);
    harness.list_minion(1);
    harness.answer(1, report(3));
    let orders = harness.cell.plan(harness.now, harness.now.0, fresh);
    assert_eq!(starts(&orders), [], "a minion that the successor need not know");
    assert_eq!(starts(&harness.plan()).len(), 1, "once it is confirmed to be the owner");
}

/// Guards against running a task twice when an owner is replaced before it has heard of all runs of
/// its predecessor.  The successor may have adopted such a run and extend its lease.
#[test]
fn inherited_tasks_do_not_count_as_never_started_if_the_takeover_was_completed_too_late() {
    let mut harness = successor(2);
    harness.add_job(1, definition(vec![step(1)]), true);
    harness.answer(0, Report::default());
    harness.now = Time(29_000);
    let fresh = Permit::NeverStarted { known_by: harness.now };
    harness.now = Time(30_000);
    assert_eq!(starts(&harness.cell.plan(harness.now, harness.now.0, fresh)), []);
    let later = Permit::NeverStarted { known_by: harness.now };
    harness.advance_ms(1500);
    let orders = harness.cell.plan(harness.now, harness.now.0, later);
    assert_eq!(starts(&orders).len(), 1, "all runs of the former owner were known in time");
}

/// Guards against a task that runs on after its job was cancelled.  Its start was sent before the
/// cancellation and executed twelve seconds later on a minion that was disconnected, after the
/// sending entry had terminated.  The next owner stops the run as soon as the minion reports it.
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
    // The stop isn't answered and is ordered again.
    harness.advance_ms(800);
    harness.answer(0, late);
    assert_eq!(stops(&harness.plan()).len(), 1);
}

/// Guards against overloading a minion that doesn't enforce its capacity.  A run of a job that the
/// new owner doesn't know yet is stopped, but its resources are unknown, so nothing is started
/// beside it until it has ended.
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
    assert_eq!(starts(&harness.plan()), [], "how much the run uses isn't known");
    harness.report_end(&Harness::minion(0), task(9, 0, 0), 3, EndReason::Stopped);
    assert_eq!(harness.start_all().len(), 16);
}
