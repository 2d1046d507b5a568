//! Tests of jobs whose tasks crash nothing, while their minions are lost.

mod series;

use crate::fixture::*;
use celerythread_engine::cell::{Cell, Incarnation, MinionId, Report, Settings, StartResult};
use celerythread_engine::job::{Accepted, Origin, Progress, State, Step, TaskName};
use celerythread_engine::time::Time;
use std::time::Duration;

/// Number of losses in a row, more than the starts that a task which crashes its minions may get.
const LOSSES: usize = 8;

/// A job of one task, its minions, and the progress that its owners have stored.
struct Fixture {
    harness: Harness,
    stored: Progress,
    next_minion: usize,
}

impl Fixture {
    fn new() -> Self {
        let mut harness = Harness::new(2);
        harness.submit(1, definition(vec![step(1)]));
        Self { harness, stored: Progress::default(), next_minion: 2 }
    }

    /// Starts the task on a minion that confirms the start, and advances the clock.
    fn start(&mut self, ms: u64) -> (MinionId, TaskName, u32) {
        for e in self.harness.cell.take_events() {
            eprintln!("DBG {:?} {e:?}", self.harness.now);
        }
        self.assert_not_failed();
        let (minion, name, run) = self.harness.next_start();
        let now = self.harness.now;
        self.harness.cell.extend_lease_expiry(&minion, now + Duration::from_secs(4));
        self.harness.cell.process_start_result(&minion, &name, run, StartResult::Started, now);
        self.harness.advance_ms(ms);
        (minion, name, run)
    }

    fn list(&mut self, minion: &MinionId, name: TaskName, run: u32, percent: u8) {
        let running = vec![running(name, run, percent)];
        let (report, now) = (Report { running, ..Report::default() }, self.harness.now);
        self.harness.cell.process_report(minion, &report, now, now);
    }

    fn add_minion(&mut self) {
        self.harness.add_minion(self.next_minion);
        self.next_minion += 1;
    }

    fn store(&mut self) {
        while let Some(batch) = self.harness.cell.unpersisted_batch(90) {
            if let Some((.., progress)) = batch.rows.last() {
                self.stored = progress.clone();
            }
            self.harness.cell.record_persisted(&batch);
        }
    }

    /// Replaces the owner by one that reads what is stored.
    fn replace_owner(&mut self, generation: u32) {
        let now = self.harness.now;
        let cell = Cell::new(Settings::default(), generation, Some(now));
        let mut harness = Harness::with_cell(cell, 0);
        harness.now = now;
        let accepted = Accepted {
            queue: "queue".into(),
            at_ms: 0,
            definition: definition(vec![step(1)]),
            origin: Origin::Public,
            terms: None,
            service: None,
        };
        harness.cell.add_job(id(1), accepted, Some(&self.stored), true, Duration::ZERO, now);
        self.harness = harness;
    }

    fn assert_not_failed(&mut self) {
        self.store();
        let state = self.harness.cell.state(&id(1));
        assert!(matches!(state, Some(State::Running | State::Queued)), "{state:?}");
    }
}

/// Guards against failing a job because its minions were disconnected just after they had started
/// its task, so that their leases expired.  No minion crashed.
#[test]
fn a_task_whose_minions_are_disconnected_is_not_given_up() {
    let mut fixture = Fixture::new();
    for _ in 0..LOSSES {
        let (minion, ..) = fixture.start(100);
        fixture.harness.cell.record_missed_answer(&minion, fixture.harness.now);
        fixture.harness.advance_ms(5000);
        fixture.add_minion();
    }
    fixture.assert_not_failed();
}

/// Guards against failing a job because its minions were replaced at their addresses just after they
/// had started its task, before their listings showed that they would be.
#[test]
fn a_task_whose_minions_are_replaced_is_not_given_up() {
    let mut fixture = Fixture::new();
    for _ in 0..LOSSES {
        let (minion, ..) = fixture.start(100);
        fixture.harness.cell.remove_terminated_minion(&minion, fixture.harness.now);
        fixture.add_minion();
    }
    fixture.assert_not_failed();
}

/// Guards against judging a run by a report from long before its minion was lost: it had worked for
/// two seconds since.
#[test]
fn a_run_that_outlived_its_last_report_is_not_given_up() {
    let mut fixture = Fixture::new();
    for _ in 0..LOSSES {
        let (minion, name, run) = fixture.start(100);
        fixture.list(&minion, name, run, 5);
        fixture.harness.advance_ms(2000);
        fixture.harness.crash(&minion);
        fixture.add_minion();
    }
    fixture.assert_not_failed();
}

/// Guards against failing jobs because a rack loses power just after each of its minions has started
/// a task of another job: no minion is idle, and still they have one cause.
#[test]
fn jobs_of_minions_that_are_lost_together_are_not_given_up() {
    let mut harness = Harness::new(4);
    let whole_minion = Step { need: CAPACITY, ..step(1) };
    for job in 1..=4 {
        harness.submit(job, definition(vec![whole_minion.clone()]));
    }
    for round in 1..=LOSSES {
        let mut started = Vec::new();
        for _ in 0..20 {
            started.extend(harness.start_all());
            harness.store_progress();
            if started.len() == 4 {
                break;
            }
            harness.advance_ms(1);
        }
        harness.advance_ms(100);
        started.iter().for_each(|start| harness.cell.record_missed_answer(&start.0, harness.now));
        harness.advance_ms(3000);
        for (minion, ..) in &started {
            harness.cell.remove_terminated_minion(minion, harness.now);
        }
        for e in harness.cell.take_events() {
            eprintln!("DBG {round} {:?} {e:?}", harness.now);
        }
        (0..4).for_each(|number| harness.add_minion(10 * round + number));
        // The tasks wait until the minions have been quiet.
        harness.advance_ms(3000);
    }
    harness.store_progress();
    let states: Vec<_> = (1..=4).map(|job| harness.cell.state(&id(job))).collect();
    assert_eq!(states, [Some(State::Running); 4]);
}

/// Guards against judging a run that a former owner started by the time since its successor found
/// it: it has worked for any time.
#[test]
fn a_run_that_a_new_owner_found_is_not_given_up() {
    let mut fixture = Fixture::new();
    let (mut minion, name, mut run) = fixture.start(1000);
    for generation in 1..=LOSSES as u32 {
        fixture.store();
        fixture.replace_owner(generation);
        let number: usize = minion.rsplit('-').next().unwrap().parse().unwrap();
        fixture.harness.add_minion(number);
        fixture.list(&minion, name, run, 5);
        fixture.harness.advance_ms(100);
        fixture.harness.crash(&minion);
        fixture.add_minion();
        (minion, _, run) = fixture.start(1000);
    }
    fixture.assert_not_failed();
}

/// Guards against failing a job because processes of its minions restarted, under the same ids,
/// seconds after they had last listed its run.
#[test]
fn a_run_on_restarted_minions_is_not_given_up() {
    let mut fixture = Fixture::new();
    for round in 0..LOSSES as u64 {
        let (minion, name, run) = fixture.start(100);
        let report = |incarnation, running| Report {
            incarnation: Some(Incarnation(incarnation)),
            running,
            ..Report::default()
        };
        let now = fixture.harness.now;
        let listed = report(2 * round + 1, vec![running(name, run, 5)]);
        fixture.harness.cell.process_report(&minion, &listed, now, now);
        fixture.harness.advance_ms(2000);
        let now = fixture.harness.now;
        fixture.harness.cell.record_missed_answer(&minion, now);
        fixture.harness.advance_ms(1000);
        let now: Time = fixture.harness.now;
        fixture.harness.cell.process_report(&minion, &report(2 * round + 2, vec![]), now, now);
        fixture.add_minion();
    }
    fixture.assert_not_failed();
}
