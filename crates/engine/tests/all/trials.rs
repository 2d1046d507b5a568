//! Trials of suspected tasks: what is stored before them, and what their results prove.

use crate::fixture::*;
use celerythread_engine::cell::{Cell, EndReason, Incarnation, Report, Settings, StartResult};
use celerythread_engine::job::{Accepted, Origin, Progress, State, Step, TrialPlace, Trials};
use celerythread_engine::time::Time;
use std::time::Duration;

/// Guards against losing the count of a second crash with an owner that is lost during that trial.
/// After a crash beside another task, it is stored before the next start that this may crash, too.
#[test]
fn a_trial_is_stored_before_a_task_is_started_again_after_a_crash() {
    let mut harness = Harness::new(1);
    harness.submit(1, definition(vec![step(1)]));
    harness.submit(2, definition(vec![step(1)]));
    assert_eq!(harness.start_all().len(), 2);
    harness.crash(&Harness::minion(0));
    harness.store_progress();
    harness.add_minion(1);
    assert_eq!(starts(&harness.plan()), [], "nothing is stored of the trials");
    let batch = harness.cell.unpersisted_batch(90).expect("the trials to store");
    let crashed_once = Trials { crashed: 1, uncertain: 1 };
    assert!(batch.rows.iter().all(|(.., progress)| progress.trials == [(0, crashed_once)]));
    harness.cell.record_persisted(&batch);
    assert_eq!(starts(&harness.plan()).len(), 1, "one after the other");
}

/// Guards against a suspected task that waits for as long as other tasks of its job end, because
/// some change of the job is always still to be stored.
#[test]
fn a_suspected_task_waits_only_until_its_own_trial_is_stored() {
    let mut harness = Harness::new(2);
    let progress = Progress { suspicions: vec![(0, 4)], ..Progress::default() };
    let one_per_minion = Step { max_per_minion: Some(1), ..step(2) };
    harness.add_job_with_progress(1, definition(vec![one_per_minion]), &progress);
    let (minion, other, run) = harness.start_all().remove(0);
    assert_eq!(other, task(1, 0, 1));
    harness.advance_ms(300);
    harness.plan();
    let batch = harness.cell.unpersisted_batch(90).expect("the trial to store");
    harness.report_end(&minion, other, run, EndReason::Done);
    harness.cell.record_persisted(&batch);
    assert!(harness.cell.has_unpersisted());
    assert_eq!(starts(&harness.plan()).len(), 1);
}

/// Guards against trials that are stored for several suspected tasks of a job, although one of them
/// is started at a time.  If the owner is lost then, trials count against tasks that never began.
#[test]
fn a_trial_is_stored_for_the_next_suspect_only() {
    let mut harness = Harness::new(3);
    let progress = Progress { suspicions: vec![(0, 4), (1, 4), (2, 4)], ..Progress::default() };
    harness.add_job_with_progress(1, definition(vec![step(3)]), &progress);
    let mut started = Vec::new();
    for _ in 0..6 {
        started.extend(harness.start_all());
        if let Some(batch) = harness.cell.unpersisted_batch(90) {
            let points = &batch.rows[0].2.suspicions;
            let recorded = points.iter().filter(|(_, points)| *points > 4).count();
            assert!(recorded <= 1, "{points:?}");
            harness.cell.record_persisted(&batch);
        }
        harness.advance_ms(300);
        for number in 0..3 {
            let minion = Harness::minion(number);
            let there = started.iter().filter(|(id, ..)| *id == minion);
            let running = there.map(|(_, name, run)| running(*name, *run, 50)).collect();
            harness.answer(number, Report { running, ..Report::default() });
        }
    }
    let started: Vec<u32> = started.iter().map(|(_, name, _)| name.index).collect();
    assert_eq!(started, [0, 1, 2], "each in its turn");
}

/// Guards against failing a job whose task crashes nothing, because its owners were lost during its
/// trials.  One crash and two such trials prove nothing.
#[test]
fn trials_of_lost_owners_fail_a_job_only_with_enough_crashes() {
    let crash_with = |trials| {
        let mut harness = Harness::new(2);
        let progress =
            Progress { suspicions: vec![(0, 4)], trials: vec![(0, trials)], ..Progress::default() };
        harness.add_job_with_progress(1, definition(vec![step(1)]), &progress);
        let (minion, name, run) = harness.next_start();
        let (cell, now) = (&mut harness.cell, harness.now);
        cell.process_start_result(&minion, &name, run, StartResult::Started, now);
        harness.crash(&minion);
        harness.store_progress();
        harness.cell.state(&id(1))
    };
    assert_eq!(crash_with(Trials { crashed: 0, uncertain: 2 }), Some(State::Running));
    assert_eq!(crash_with(Trials { crashed: 1, uncertain: 1 }), Some(State::Failed));
}

/// Guards against failing a job whose task crashes nothing, because minions crash while it has been
/// at work on them for long.  Only a run on trial ends a trial.
#[test]
fn a_crash_after_the_trial_counts_as_no_trial() {
    let mut harness = Harness::new(2);
    let trials = Trials { crashed: 1, uncertain: 1 };
    let progress =
        Progress { suspicions: vec![(0, 4)], trials: vec![(0, trials)], ..Progress::default() };
    harness.add_job_with_progress(1, definition(vec![step(1)]), &progress);
    let (minion, name, run) = harness.next_start();
    harness.advance_ms(300);
    let number = usize::from(minion == Harness::minion(1));
    harness.answer(number, Report { running: vec![running(name, run, 50)], ..Report::default() });
    harness.crash(&minion);
    let batch = harness.cell.unpersisted_batch(90).expect("progress to store");
    assert_eq!(batch.rows[0].2.suspicions, [(0, 6)]);
    assert_eq!(batch.rows[0].2.trials, [(0, trials)]);
}

/// An answer of an incarnation on which nothing runs.
fn empty_answer(incarnation: u64) -> Report {
    Report { incarnation: Some(Incarnation(incarnation)), ..Report::default() }
}

/// State of a job under a new owner whose predecessor stored these trials of its only task, the last
/// one on incarnation 7 of a minion.
fn state_after_takeover(trials: Trials, silent: bool, answering: Option<u64>) -> Option<State> {
    let cell = Cell::new(Settings::default(), 1, Some(Time(30_000)));
    let mut harness = Harness::with_cell(cell, 0);
    let minion = Harness::minion(0);
    harness.cell.inherit_minion(&minion);
    let place = TrialPlace { minion: (&*minion).into(), incarnation: 7, silent };
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
    harness.list_minion(0);
    match answering {
        Some(incarnation) => _ = harness.answer(0, empty_answer(incarnation)),
        None => harness.cell.remove_terminated_minion(&minion, now),
    }
    harness.plan_and_store();
    harness.cell.state(&id(1))
}

/// Guards against failing a job whose task crashes nothing, because its owners were lost during its
/// trials.  A minion that answers as the same incarnation was not crashed by the trial there.
#[test]
fn a_trial_on_a_minion_that_answers_the_next_owner_was_no_crash() {
    let trials = Trials { crashed: 1, uncertain: 3 };
    assert_eq!(state_after_takeover(trials, false, Some(7)), Some(State::Running));
    assert_eq!(state_after_takeover(trials, true, Some(7)), Some(State::Running));
    assert_eq!(state_after_takeover(trials, false, Some(8)), Some(State::Running), "uncertain");
    assert_eq!(state_after_takeover(trials, false, None), Some(State::Running), "uncertain");
}

/// Guards against a sixth start of a task that crashes its minions: a minion that had become silent
/// during a trial under the former owner, and has ended, certainly crashed.
#[test]
fn a_trial_on_a_minion_that_was_silent_and_has_ended_was_a_crash() {
    let trials = Trials { crashed: 1, uncertain: 1 };
    assert_eq!(state_after_takeover(trials, true, Some(8)), Some(State::Failed));
    assert_eq!(state_after_takeover(trials, true, None), Some(State::Failed));
    assert_eq!(state_after_takeover(trials, false, Some(8)), Some(State::Running), "uncertain");
    assert_eq!(state_after_takeover(trials, true, Some(7)), Some(State::Running), "no crash");
}

/// Guards against a trial on another minion than the stored one: the next owner would take that
/// minion's answer for its result.
#[test]
fn a_trial_takes_place_on_the_stored_minion() {
    let mut harness = Harness::new(0);
    for number in 0..2 {
        harness.list_minion(number);
        harness.answer(number, empty_answer(7));
    }
    let progress = Progress { suspicions: vec![(0, 4)], ..Progress::default() };
    harness.add_job_with_progress(1, definition(vec![step(1)]), &progress);
    let mut stored = Vec::new();
    for _ in 0..2 {
        assert_eq!(starts(&harness.plan()), [], "the trial is not stored");
        let batch = harness.cell.unpersisted_batch(90).expect("the trial to store");
        harness.cell.record_persisted(&batch);
        stored.push(batch.rows[0].2.trial_places[0].1.minion.clone());
        if stored.len() == 1 {
            harness.cell.record_missed_answer(&stored[0], harness.now);
        }
    }
    assert_ne!(stored[0], stored[1]);
    harness.answer(0, empty_answer(7));
    harness.answer(1, empty_answer(7));
    let started = starts(&harness.plan());
    assert_eq!(started.len(), 1);
    assert_eq!(started[0].0[..], stored[1][..]);
}
