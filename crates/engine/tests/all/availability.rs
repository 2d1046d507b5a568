//! Tests of planned stops of long-running tasks, which their step's allowance limits.

use crate::fixture::*;
use celerythread_engine::cell::{
    Cell, EndReason, Event, MinionId, Report, Settings, StartResult, StopReason,
};
use celerythread_engine::job::{Step, TaskName};
use celerythread_engine::time::Time;
use std::time::Duration;

/// Longest time that a minion takes to stop a run.
const STOP_TIMEOUT: Duration = Duration::from_millis(900);

/// A step of long-running tasks, each on a minion of its own, of which one may be unavailable.
fn long_running(count: u32) -> Step {
    Step { long_running: true, max_unavailable: Some(1), max_per_minion: Some(1), ..step(count) }
}

/// Answers a poll that was sent at the current time, with the runs of `tasks` at work.
fn report_active(harness: &mut Harness, minion: usize, tasks: &[TaskName]) {
    report_percent(harness, minion, tasks, 100);
}

fn report_percent(harness: &mut Harness, minion: usize, tasks: &[TaskName], percent: u8) {
    let running = tasks.iter().map(|task| running(*task, 1, percent)).collect();
    harness.answer(minion, Report { running, ..Report::default() });
}

/// A new owner of a job with two long-running tasks, on minions 0 and 1, and of an idle minion 2.
fn successor() -> Harness {
    let settings = Settings { stop_timeout: STOP_TIMEOUT, ..Settings::default() };
    let mut harness = Harness::with_cell(Cell::new(settings, 1, Some(Time(30_000))), 0);
    for number in 0..3 {
        harness.cell.inherit_minion(&Harness::minion(number));
        harness.list_minion(number);
    }
    harness.add_job(1, definition(vec![long_running(2)]), true);
    harness
}

fn report_all(harness: &mut Harness) {
    report_active(harness, 0, &[task(1, 0, 0)]);
    report_active(harness, 1, &[task(1, 0, 1)]);
    harness.answer(2, Report::default());
}

/// The events of stopped long-running tasks, without what they say of the other tasks.
fn stop_reasons(harness: &mut Harness) -> Vec<(MinionId, TaskName, StopReason)> {
    let events = harness.cell.take_events().into_iter();
    events
        .filter_map(|event| match event {
            Event::LongRunningStopped { minion, task, reason, .. } => Some((minion, task, reason)),
            _ => None,
        })
        .collect()
}

/// Guards against stopping a second task of a step at a change of owner.  A minion lists a run that
/// the former owner stopped until the run has ended, so it looks like one that is at work.
#[test]
fn a_new_owner_evacuates_nothing_while_a_stop_of_the_former_owner_may_be_under_way() {
    let mut harness = successor();
    harness.cell.set_leaving(&Harness::minion(0), true);
    report_all(&mut harness);
    let found_at = harness.now;
    assert_eq!(stops(&harness.plan()), [], "task 1 may be one that the former owner stopped");
    harness.now = found_at + STOP_TIMEOUT - Duration::from_millis(10);
    report_all(&mut harness);
    harness.advance_ms(20);
    assert_eq!(stops(&harness.plan()), [], "the answers are to polls from before the stop's end");
    report_all(&mut harness);
    let stopped = stops(&harness.plan());
    assert_eq!(stopped, [(Harness::minion(0), task(1, 0, 0), 1)], "the other one goes on");
}

/// As above, when the run that the former owner stopped ends.
#[test]
fn a_new_owner_evacuates_nothing_until_a_task_that_the_former_owner_stopped_is_back() {
    let mut harness = successor();
    harness.cell.set_leaving(&Harness::minion(0), true);
    report_all(&mut harness);
    harness.advance_ms(300);
    assert_eq!(stops(&harness.plan()), []);
    harness.report_end(&Harness::minion(1), task(1, 0, 1), 1, EndReason::Stopped);
    let (minion, name, run) = harness.start_all().remove(0);
    assert_eq!(name, task(1, 0, 1));
    harness.advance_ms(1000);
    report_active(&mut harness, 0, &[task(1, 0, 0)]);
    assert_eq!(stops(&harness.plan()), [], "the restarted task is not at work yet");
    let report = Report { running: vec![running(name, run, 100)], ..Report::default() };
    harness.cell.process_report(&minion, &report, harness.now, harness.now);
    let stopped = stops(&harness.plan());
    assert_eq!(stopped, [(Harness::minion(0), task(1, 0, 0), 1)]);
}

/// Guards against evacuating a task because of an old report.  An owner that is short of processor
/// time polls late, and the other tasks of the step may have ended since it last heard of them.
#[test]
fn a_task_is_not_evacuated_by_an_old_report_of_another_one() {
    let mut harness = Harness::new(3);
    harness.submit(1, definition(vec![long_running(2)]));
    let started = harness.start_all();
    for (minion, name, run) in &started {
        let report = Report { running: vec![running(*name, *run, 100)], ..Report::default() };
        harness.cell.process_report(minion, &report, harness.now, harness.now);
    }
    harness.advance_ms(4500);
    let (leaving, name, run) = started[0].clone();
    let report = Report { running: vec![running(name, run, 100)], ..Report::default() };
    harness.cell.process_report(&leaving, &report, harness.now, harness.now);
    harness.cell.set_leaving(&leaving, true);
    assert_eq!(stops(&harness.plan()), [], "the other task was last seen 4.5 s ago");
    let (minion, other, other_run) = started[1].clone();
    let report = Report { running: vec![running(other, other_run, 100)], ..Report::default() };
    harness.cell.process_report(&minion, &report, harness.now, harness.now);
    assert_eq!(stops(&harness.plan()), [(leaving, name, run)]);
}

/// Guards against stopping several tasks of a step that may all be at work.  Tasks that are started
/// together have their starts time out together when the answers are lost.
#[test]
fn unanswered_starts_of_a_step_are_stopped_unseen_only_within_its_allowance() {
    let mut harness = Harness::new(3);
    harness.submit(1, definition(vec![long_running(2)]));
    let started = starts(&harness.plan());
    assert_eq!(started.len(), 2);
    for (minion, name, run) in &started {
        harness.cell.process_start_result(minion, name, *run, StartResult::Unknown, harness.now);
    }
    harness.advance_ms(1000);
    assert_eq!(stops(&harness.plan()), [], "both may be at work");
    let (minion, name, run) = started[0].clone();
    let report = Report { running: vec![running(name, run, 100)], ..Report::default() };
    harness.cell.process_report(&minion, &report, harness.now, harness.now);
    harness.advance_ms(60);
    assert_eq!(stops(&harness.plan()), started[1..], "the other one is at work");
}

/// Guards against an unanswered start that is never given up: its minion has answered without it.
#[test]
fn an_unanswered_start_that_a_poll_misses_is_stopped_whatever_the_allowance() {
    let mut harness = Harness::new(3);
    let step = Step { max_unavailable: Some(0), ..long_running(2) };
    harness.submit(1, definition(vec![step]));
    let started = starts(&harness.plan());
    for (minion, name, run) in &started {
        harness.cell.process_start_result(minion, name, *run, StartResult::Unknown, harness.now);
    }
    harness.advance_ms(1);
    for (minion, ..) in &started {
        harness.cell.process_report(minion, &Report::default(), harness.now, harness.now);
    }
    assert_eq!(stops(&harness.plan()).len(), 2);
}

/// Guards against a planned stop of which nobody can tell why it was ordered.
#[test]
fn each_stop_of_a_long_running_task_is_recorded_with_its_reason() {
    let mut harness = Harness::new(3);
    harness.submit(1, definition(vec![long_running(1)]));
    let (minion, name, run) = harness.start_all().remove(0);
    let report = Report { running: vec![running(name, run, 100)], ..Report::default() };
    harness.cell.process_report(&minion, &report, harness.now, harness.now);
    harness.cell.set_leaving(&minion, true);
    harness.plan();
    let evacuated = (minion.clone(), name, StopReason::Evacuated);
    assert_eq!(stop_reasons(&mut harness), [evacuated]);
    report_active(&mut harness, 1, &[task(2, 0, 0)]);
    let unknown = (Harness::minion(1), task(2, 0, 0), StopReason::UnknownJob);
    assert_eq!(stop_reasons(&mut harness), [unknown]);
}
