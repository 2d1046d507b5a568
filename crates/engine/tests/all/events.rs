//! Events of a cell, for the log.

use crate::fixture::*;
use celerythread_engine::cell::{
    Cell, EndReason, Event, FailureReason, MinionId, Settings, StartResult,
};
use celerythread_engine::job::{Accepted, Origin, Progress, State, TaskName, TrialPlace, Trials};
use std::time::Duration;
use strum::VariantArray;

/// More events than a cell holds.
const MANY_EVENTS: usize = 300;

/// Most losses after which a job whose task crashes its minions has failed.
const MAX_LOSSES: usize = 5;

/// Lets a minion of its own report so many ends that the cell records no further ones.
fn fill_with_ends(harness: &mut Harness) {
    harness.add_minion(99);
    for _ in 0..MANY_EVENTS {
        harness.report_end(&Harness::minion(99), task(99, 0, 0), 1, EndReason::Done);
    }
}

fn start(harness: &mut Harness) -> (MinionId, TaskName, u32) {
    let (minion, name, run) = harness.next_start();
    let now = harness.now;
    harness.cell.process_start_result(&minion, &name, run, StartResult::Started, now);
    (minion, name, run)
}

/// Adds a job whose former owner stored these trials of its only task, the last one on `minion-0`.
fn inherit(harness: &mut Harness, trials: Trials) {
    let place = TrialPlace { minion: (&*Harness::minion(0)).into(), incarnation: 7, silent: true };
    let progress = Progress {
        suspicions: vec![(0, 8)],
        trials: vec![(0, trials)],
        trial_places: vec![(0, place)],
        ..Progress::default()
    };
    let accepted = Accepted {
        queue: "queue".into(),
        at_ms: 0,
        definition: definition(vec![step(1)]),
        origin: Origin::Public,
        terms: None,
        service: None,
    };
    let now = harness.now;
    harness.cell.add_job(id(1), accepted, Some(&progress), true, Duration::ZERO, now);
}

/// A new owner whose predecessor's leases have expired, with a minion that has not answered.
fn successor() -> Harness {
    let now = Harness::new(0).now;
    let mut harness = Harness::with_cell(Cell::new(Settings::default(), 1, Some(now)), 0);
    harness.cell.inherit_minion(&Harness::minion(0));
    harness.list_minion(0);
    harness
}

/// Uses up the attempts of a job's only task.
fn use_up_attempts() -> Harness {
    let mut harness = Harness::new(2);
    harness.submit(1, definition(vec![step(1)]));
    let (minion, name, run) = start(&mut harness);
    harness.report_end(&minion, name, run, EndReason::Failed);
    let (minion, name, run) = start(&mut harness);
    fill_with_ends(&mut harness);
    harness.report_end(&minion, name, run, EndReason::Failed);
    harness.report_end(&minion, name, run + 1, EndReason::Failed);
    harness
}

/// Crashes minions just after they started a job's only task, until the job fails.
fn crash_minions() -> Harness {
    let mut harness = Harness::new(1);
    harness.submit(1, definition(vec![step(1)]));
    for number in 1..=MAX_LOSSES {
        let (minion, ..) = start(&mut harness);
        fill_with_ends(&mut harness);
        harness.cell.set_leaving(&Harness::minion(99), true);
        harness.crash(&minion);
        harness.store_progress();
        if harness.cell.state(&id(1)) == Some(State::Failed) {
            break;
        }
        harness.add_minion(number);
    }
    harness
}

/// Reports that the minion of a former owner's trial has terminated.
fn end_former_trial() -> Harness {
    let mut harness = successor();
    inherit(&mut harness, Trials { crashed: 1, uncertain: 1 });
    harness.plan();
    fill_with_ends(&mut harness);
    harness.cell.remove_terminated_minion(&Harness::minion(0), harness.now);
    harness
}

/// Completes the takeover of a job with enough crashes under its former owner.
fn complete_takeover() -> Harness {
    let mut harness = successor();
    inherit(&mut harness, Trials { crashed: 2, uncertain: 0 });
    fill_with_ends(&mut harness);
    harness.plan();
    harness
}

/// Adds a job that is known to have crashed enough minions, and that no former owner can start.
fn accept_crashing_job() -> Harness {
    let mut harness = Harness::new(1);
    fill_with_ends(&mut harness);
    let trials = vec![(0, Trials { crashed: 2, uncertain: 0 })];
    let progress = Progress { suspicions: vec![(0, 8)], trials, ..Progress::default() };
    harness.add_job_with_progress(1, definition(vec![step(1)]), &progress);
    harness
}

/// Guards against a failed job whose reason isn't logged, or is logged twice, also while more events
/// are pending than are held.
#[test]
fn each_failure_of_a_job_is_recorded_once_whatever_else_is_pending() {
    for reason in FailureReason::VARIANTS {
        let mut harness = match reason {
            FailureReason::Attempts => use_up_attempts(),
            FailureReason::Crash => crash_minions(),
            FailureReason::FormerTrial => end_former_trial(),
            FailureReason::Takeover => complete_takeover(),
            FailureReason::Acceptance => accept_crashing_job(),
        };
        harness.plan();
        harness.store_progress();
        harness.plan();
        assert_eq!(harness.cell.state(&id(1)), Some(State::Failed), "{reason}");
        let events = harness.cell.take_events();
        let failures: Vec<_> = events
            .iter()
            .filter_map(|event| match event {
                Event::JobFailed { task, reason, .. } => Some((*task, *reason)),
                _ => None,
            })
            .collect();
        assert_eq!(failures, [(task(1, 0, 0), *reason)]);
        let has_verdict =
            events.iter().any(|event| matches!(event, Event::Suspected { given_up: true, .. }));
        let is_loss = matches!(reason, FailureReason::Crash | FailureReason::FormerTrial);
        assert_eq!(has_verdict, is_loss, "{reason}");
        assert!(events.len() < MANY_EVENTS, "further events are dropped");
    }
}
