//! Trials of suspected tasks: what is stored before them, and what their results prove.

use crate::fixture::*;
use celerythread_engine::cell::{EndReason, Report, StartResult};
use celerythread_engine::job::{Progress, State, Step, Trials};

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
