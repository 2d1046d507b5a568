//! Minions that restart under the same id.

use crate::fixture::*;
use celerythread_engine::cell::{End, EndReason, Incarnation, Report, StartResult};
use celerythread_engine::job::{State, TaskName};
use std::time::Duration;

/// Time between a minion's crash and the first answer of its next incarnation.
const DOWNTIME_MS: u64 = 3000;

/// A cell with one minion that a test restarts under the same id.
struct RestartScenario {
    harness: Harness,
    incarnation: u64,
    /// Unacknowledged ends of the current incarnation.
    ends: Vec<End>,
    /// Number of the current incarnation's last end.
    last_end: u64,
}

impl RestartScenario {
    fn new() -> Self {
        let mut scenario =
            Self { harness: Harness::new(0), incarnation: 0, ends: Vec::new(), last_end: 0 };
        scenario.restart();
        scenario
    }

    /// Starts a new incarnation that is listed and answers.
    fn restart(&mut self) {
        self.start_incarnation();
        self.list();
        self.answer();
    }

    /// Starts a new incarnation that the cell doesn't know yet.
    fn start_incarnation(&mut self) {
        self.incarnation += 1;
        self.ends.clear();
        self.last_end = 0;
    }

    fn list(&mut self) {
        self.harness.list_incarnation(0, Incarnation(self.incarnation));
    }

    fn answer(&mut self) {
        self.answer_with(Vec::new());
    }

    /// Discards acknowledged ends and answers a poll with `listed` as the running tasks.
    fn answer_with(&mut self, listed: Vec<(TaskName, u32)>) {
        let known = self.harness.cell.minion(&Harness::minion(0));
        let acknowledged = known.map_or(0, |minion| minion.acknowledged());
        self.ends.retain(|end| end.number > acknowledged);
        let report = Report {
            incarnation: Some(Incarnation(self.incarnation)),
            running: listed.into_iter().map(|(task, run)| running(task, run, 5)).collect(),
            finished: self.ends.clone(),
        };
        self.harness.answer(0, report);
    }

    /// Starts all waiting tasks, reports them done and stores the progress.
    fn complete_waiting(&mut self) {
        for (_, task, run) in self.harness.start_all() {
            self.end(task, run);
        }
        self.harness.advance_ms(100);
        self.answer();
        self.harness.store_progress();
    }

    fn end(&mut self, task: TaskName, run: u32) {
        self.last_end += 1;
        let end =
            End { number: self.last_end, task, run, reason: EndReason::Done, checkpoint: None };
        self.ends.push(end);
    }
}

/// Guards against completed tasks being started again because the new incarnation's ends are
/// skipped or acknowledged by comparison with the former incarnation's numbers.
#[test]
fn ends_of_a_restarted_minion_are_taken_in() {
    let mut scenario = RestartScenario::new();
    scenario.harness.submit(1, definition(vec![step(3)]));
    scenario.complete_waiting();
    assert_eq!(scenario.harness.cell.state(&id(1)), Some(State::Completed));
    scenario.restart();
    scenario.harness.submit(2, definition(vec![step(2)]));
    scenario.complete_waiting();
    assert_eq!(scenario.harness.cell.state(&id(2)), Some(State::Completed));
}

/// Guards against losing ends when a batch with the former incarnation's numbers is stored after
/// the restart.
#[test]
fn a_batch_from_before_a_restart_acknowledges_nothing_after_it() {
    let mut scenario = RestartScenario::new();
    scenario.harness.submit(1, definition(vec![step(3)]));
    for (_, task, run) in scenario.harness.start_all() {
        scenario.end(task, run);
    }
    scenario.answer();
    let batch = scenario.harness.cell.unpersisted_batch(90).unwrap();
    scenario.restart();
    scenario.harness.cell.record_persisted(&batch);
    assert_eq!(scenario.harness.cell.minion(&Harness::minion(0)).unwrap().acknowledged(), 0);
}

/// Guards against a second start of a task that is missing from a late answer of the former
/// incarnation.
#[test]
fn a_late_answer_of_the_former_incarnation_is_ignored() {
    let mut scenario = RestartScenario::new();
    scenario.restart();
    scenario.harness.submit(1, definition(vec![step(1)]));
    let started = scenario.harness.start_all();
    scenario.harness.advance_ms(50);
    let late = Report { incarnation: Some(Incarnation(1)), ..Report::default() };
    scenario.harness.answer(0, late);
    assert!(scenario.harness.start_all().is_empty());
    scenario.answer_with(vec![(started[0].1, started[0].2)]);
    assert!(scenario.harness.start_all().is_empty());
}

/// Guards against a second start of a task that reached the new incarnation before the restart was
/// detected.
#[test]
fn runs_listed_by_the_new_incarnation_continue() {
    let mut scenario = RestartScenario::new();
    scenario.start_incarnation();
    scenario.harness.submit(1, definition(vec![step(2)]));
    let started = scenario.harness.start_all();
    scenario.harness.advance_ms(50);
    scenario.answer_with(started.iter().map(|(_, task, run)| (*task, *run)).collect());
    assert!(scenario.harness.start_all().is_empty());
    started.iter().for_each(|(_, task, run)| scenario.end(*task, *run));
    scenario.answer();
    scenario.harness.store_progress();
    assert_eq!(scenario.harness.cell.state(&id(1)), Some(State::Completed));
}

/// Guards against a task running twice when its unanswered start reaches the minion after the
/// restart.
#[test]
fn an_unanswered_start_is_stopped_on_the_new_incarnation_before_it_is_repeated() {
    let mut scenario = RestartScenario::new();
    scenario.harness.submit(1, definition(vec![step(1)]));
    let (minion, name, run) = starts(&scenario.harness.plan()).remove(0);
    scenario.harness.cell.process_start_result(
        &minion,
        &name,
        run,
        StartResult::Unknown,
        scenario.harness.now,
    );
    scenario.harness.advance_ms(50);
    scenario.restart();
    let orders = scenario.harness.plan();
    assert_eq!(stops(&orders), [(minion.clone(), name, run)]);
    assert!(starts(&orders).is_empty());
    scenario.harness.cell.confirm_stop(&minion, &name, run, scenario.harness.now);
    scenario.harness.advance_ms(50);
    scenario.answer();
    assert_eq!(scenario.harness.start_all().len(), 1);
}

/// Guards against a crash that counts against no task: the start of the task was not answered, and
/// its stop was ordered before the minion came back under its id.
#[test]
fn an_unanswered_start_whose_stop_was_ordered_counts_when_its_minion_restarts() {
    let mut scenario = RestartScenario::new();
    scenario.harness.submit(1, definition(vec![step(1)]));
    let (minion, name, run) = starts(&scenario.harness.plan()).remove(0);
    let (cell, now) = (&mut scenario.harness.cell, scenario.harness.now);
    cell.process_start_result(&minion, &name, run, StartResult::Unknown, now);
    scenario.harness.advance_ms(1000);
    assert_eq!(stops(&scenario.harness.plan()).len(), 1);
    scenario.harness.cell.record_missed_answer(&minion, scenario.harness.now);
    scenario.harness.advance_ms(DOWNTIME_MS);
    let stored_points = |scenario: &mut RestartScenario| {
        let batch = scenario.harness.cell.unpersisted_batch(90).expect("progress to store");
        batch.rows[0].2.suspicions.clone()
    };
    scenario.restart();
    assert_eq!(stored_points(&mut scenario), [(0, 2)]);
    scenario.restart();
    assert_eq!(stored_points(&mut scenario), [(0, 2)], "counted once");
}

/// Guards against starts beyond the capacity of a restarted minion whose listing predates the
/// restart, and against starts on a minion that hasn't answered since its listing showed a restart.
#[test]
fn nothing_is_started_before_the_new_incarnation_is_listed_and_has_answered() {
    let mut scenario = RestartScenario::new();
    scenario.start_incarnation();
    scenario.answer();
    scenario.harness.submit(1, definition(vec![step(1)]));
    assert!(scenario.harness.start_all().is_empty(), "the entry predates the restart");
    scenario.list();
    assert_eq!(scenario.harness.start_all().len(), 1);

    scenario.start_incarnation();
    scenario.list();
    scenario.harness.submit(2, definition(vec![step(1)]));
    assert!(scenario.harness.start_all().is_empty(), "the new incarnation has not answered");
    scenario.harness.advance_ms(50);
    scenario.answer();
    assert!(!scenario.harness.start_all().is_empty());
}

/// Guards against endless starts of a task that crashes a minion which restarts under the same id.
#[test]
fn a_task_that_crashes_a_minion_which_keeps_its_id_fails_its_job() {
    let mut scenario = RestartScenario::new();
    scenario.harness.submit(1, definition(vec![step(1)]));
    let mut starts = 0;
    for _ in 0..40 {
        starts += scenario.harness.start_all().len();
        scenario.harness.cell.record_missed_answer(&Harness::minion(0), scenario.harness.now);
        scenario.harness.advance_ms(DOWNTIME_MS);
        scenario.restart();
        scenario.harness.store_progress();
        scenario.harness.advance_ms(Duration::from_secs(1).as_millis() as u64);
        scenario.answer();
    }
    assert!(starts <= 5, "started {starts} times");
    assert_eq!(scenario.harness.cell.state(&id(1)), Some(State::Failed));
}
