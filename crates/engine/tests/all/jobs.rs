//! Tests of a job's life cycle: order of steps, attempts, cancellation, gangs, reported states.

use crate::fixture::*;
use celerythread_engine::cell::{EndReason, Refusal, Report, Settings, StartResult};
use celerythread_engine::job::{MAX_TASKS, Progress, State, Step, TrialPlace, Trials, encode};
use std::time::Duration;

#[test]
fn a_step_waits_for_all_tasks_of_the_steps_before_it() {
    let mut harness = Harness::new(2);
    let second = Step { after: [0].into_iter().collect(), ..step(1) };
    harness.submit(1, definition(vec![step(2), second]));
    let first = harness.start_all();
    assert_eq!(first.len(), 2);
    let (minion, name, run) = &first[0];
    harness.report_end(minion, *name, *run, EndReason::Done);
    assert!(starts(&harness.plan()).is_empty());
    let (minion, name, run) = &first[1];
    harness.report_end(minion, *name, *run, EndReason::Done);
    assert_eq!(starts(&harness.plan())[0].1, task(1, 1, 0));
}

/// Guards against reporting a final state before it is stored.  If the owner is lost in between,
/// its successor runs a job again that was reported as completed.
#[test]
fn a_completion_is_reported_only_after_it_is_stored() {
    let mut harness = Harness::new(1);
    harness.submit(1, definition(vec![step(1)]));
    let (minion, name, run) = harness.start_all().remove(0);
    harness.report_end(&minion, name, run, EndReason::Done);
    assert_eq!(harness.cell.state(&id(1)), Some(State::Running));
    harness.store_progress();
    assert_eq!(harness.cell.state(&id(1)), Some(State::Completed));
}

/// Guards against acknowledging an end before it is stored.  Its minion drops an acknowledged end;
/// if the owner is then lost, its successor finds no trace of the run and starts the task again.
#[test]
fn an_end_is_acknowledged_only_after_it_is_stored() {
    let mut harness = Harness::new(1);
    harness.submit(1, definition(vec![step(2)]));
    let (minion, name, run) = harness.start_all().remove(0);
    let number = harness.report_end(&minion, name, run, EndReason::Done);
    assert_eq!(harness.cell.minion(&minion).unwrap().acknowledged(), 0);
    harness.store_progress();
    assert_eq!(harness.cell.minion(&minion).unwrap().acknowledged(), number);
}

#[test]
fn a_task_that_fails_as_often_as_its_queue_allows_fails_its_job() {
    let mut harness = Harness::new(3);
    harness.submit(1, definition(vec![step(1)]));
    let (first, name, run) = harness.start_all().remove(0);
    harness.report_end(&first, name, run, EndReason::Failed);
    assert_eq!(harness.cell.state(&id(1)), Some(State::Running));
    let (second, name, again) = harness.start_all().remove(0);
    assert_ne!(first, second, "the retry is on another minion");
    assert!(again > run);
    harness.report_end(&second, name, again, EndReason::Failed);
    harness.store_progress();
    assert_eq!(harness.cell.state(&id(1)), Some(State::Failed));
    assert!(starts(&harness.plan()).is_empty());
}

/// Guards against counting a failure twice.  If an owner stores a failure and is lost before it
/// acknowledges it, the same end is reported to its successor, and the job would fail with an
/// attempt left.
#[test]
fn a_failure_that_is_listed_again_counts_once() {
    let mut harness = Harness::new(2);
    harness.submit(1, definition(vec![step(1)]));
    let (minion, name, run) = harness.start_all().remove(0);
    harness.report_end(&minion, name, run, EndReason::Failed);
    harness.report_end(&minion, name, run, EndReason::Failed);
    harness.store_progress();
    assert_eq!(harness.cell.state(&id(1)), Some(State::Running));
}

#[test]
fn a_cancelled_job_is_stopped_and_starts_nothing() {
    let mut harness = Harness::new(1);
    let second = Step { after: [0].into_iter().collect(), ..step(1) };
    harness.submit(1, definition(vec![step(1), second]));
    let (minion, name, run) = harness.start_all().remove(0);
    harness.cell.cancel(&id(1), harness.now);
    let orders = harness.plan();
    assert_eq!(stops(&orders), [(minion.clone(), name, run)]);
    assert!(starts(&orders).is_empty());
    harness.report_end(&minion, name, run, EndReason::Done);
    assert!(starts(&harness.plan()).is_empty());
    assert_eq!(harness.cell.state(&id(1)), Some(State::Cancelled));
}

/// Guards against starting a task of a cancelled job by an order that waited behind calls that its
/// minion didn't answer.
#[test]
fn a_start_that_was_not_sent_is_dropped_when_its_job_is_cancelled() {
    let mut harness = Harness::new(1);
    harness.submit(1, definition(vec![step(1)]));
    harness.submit(2, definition(vec![step(1)]));
    let ordered = starts(&harness.plan());
    let is_wanted = |harness: &Harness| -> Vec<bool> {
        let wanted = ordered
            .iter()
            .map(|(minion, task, run)| harness.cell.is_start_wanted(minion, task, *run));
        wanted.collect()
    };
    assert_eq!(is_wanted(&harness), [true, true]);
    harness.cell.cancel(&id(1), harness.now);
    assert_eq!(is_wanted(&harness), [false, true], "before a plan stops the run");
    harness.plan();
    assert_eq!(is_wanted(&harness), [false, true], "after it");
    let (minion, task, run) = &ordered[0];
    let dropped = StartResult::Refused(Refusal::TooLate);
    harness.cell.process_start_result(minion, task, *run, dropped, harness.now);
    let used = CAPACITY.minus(&harness.cell.minion(minion).unwrap().free());
    assert_eq!(used, step(1).need, "the other one's");
    assert!(harness.plan().is_empty(), "neither stopped nor started again");
}

/// Guards against running a cancelled job: a read of the whole table, which has the rows in the order
/// of their keys, or a message can bring the cancellation before the job.
#[test]
fn a_job_whose_cancellation_arrived_first_is_not_started() {
    let mut harness = Harness::new(1);
    harness.cell.cancel(&id(1), harness.now);
    harness.submit(2, definition(vec![step(1)]));
    harness.advance_ms(2_000);
    harness.submit(1, definition(vec![step(1)]));
    assert_eq!(harness.cell.state(&id(1)), Some(State::Cancelled));
    let started = harness.start_all();
    assert_eq!(started.iter().map(|start| start.1.job).collect::<Vec<_>>(), [id(2)]);
    // The same rows are read again after further losses of the history.
    harness.cell.cancel(&id(1), harness.now);
    harness.submit(1, definition(vec![step(1)]));
    assert!(starts(&harness.plan()).is_empty());
}

/// Guards against the same for a job that a former owner may have started: its runs are stopped where
/// they are found.
#[test]
fn an_inherited_job_whose_cancellation_arrived_first_is_stopped() {
    let mut harness = Harness::new(1);
    harness.cell.cancel(&id(1), harness.now);
    harness.add_job(1, definition(vec![step(1)]), true);
    let found = vec![running(task(1, 0, 0), 3, 50)];
    let mut orders = harness.answer(0, Report { running: found, ..Report::default() });
    orders.extend(harness.plan());
    assert_eq!(stops(&orders), [(Harness::minion(0), task(1, 0, 0), 3)]);
}

/// Guards against cancelling another submission with the same id, long after the job and its
/// cancellation were deleted, and against a memory of cancellations that only grows.
#[test]
fn a_cancellation_without_a_job_is_forgotten_after_the_retention() {
    let mut harness = Harness::new(1);
    harness.cell.cancel(&id(1), harness.now);
    harness.now = harness.now + Settings::default().retention + Duration::from_millis(1);
    harness.cell.remove_expired_jobs(harness.now);
    assert_eq!(harness.cell.expired_cancellations(harness.now), [(id(1), 0)]);
    harness.cell.forget_cancellation(&id(1), 0);
    assert_eq!(harness.cell.early_cancellations(), 0);
    harness.submit(1, definition(vec![step(1)]));
    assert_eq!(harness.start_all().len(), 1);
}

/// Guards against running an ended job again: its rows could not be deleted after its retention, and
/// a read of the whole table has them, without its progress.
#[test]
fn a_removed_job_whose_rows_are_read_again_is_not_run_again() {
    let mut harness = Harness::new(1);
    harness.submit(1, definition(vec![step(1)]));
    let (minion, name, run) = harness.start_all().remove(0);
    harness.report_end(&minion, name, run, EndReason::Done);
    harness.store_progress();
    let retention = Settings::default().retention + Duration::from_millis(1);
    harness.now = harness.now + retention;
    assert_eq!(harness.cell.remove_expired_jobs(harness.now), [id(1)]);
    for _ in 0..2 {
        harness.submit(1, definition(vec![step(1)]));
        assert!(starts(&harness.plan()).is_empty());
        // Not forgotten with time either, as long as the rows may be there.
        harness.now = harness.now + retention;
        harness.cell.remove_expired_jobs(harness.now);
    }
}

/// Guards against ignoring a new submission with the id of a removed job, and against a memory of
/// removed jobs that only grows.
#[test]
fn a_removed_jobs_id_can_be_submitted_again() {
    let mut harness = Harness::new(1);
    harness.submit(1, definition(vec![step(1)]));
    harness.cell.cancel(&id(1), harness.now);
    let retention = Settings::default().retention + Duration::from_millis(1);
    harness.now = harness.now + retention;
    let removed = harness.cell.remove_expired_jobs(harness.now);
    harness.submit_at(1, definition(vec![step(1)]), harness.now.0);
    assert_eq!(harness.start_all().len(), 1, "accepted later");

    harness.cell.record_deleted_rows(&removed, harness.now);
    harness.cell.cancel(&id(1), harness.now);
    harness.now = harness.now + retention;
    assert_eq!(harness.cell.remove_expired_jobs(harness.now), [id(1)]);
    harness.cell.record_deleted_rows(&[id(1)], harness.now);
    harness.now = harness.now + retention;
    harness.cell.remove_expired_jobs(harness.now);
    harness.submit(1, definition(vec![step(1)]));
    assert_eq!(harness.start_all().len(), 1, "nothing is remembered");
}

/// Guards against starting part of a gang.  Its members wait for each other, so one that is started
/// without capacity for the rest holds its cores for seconds and then ends without them.
#[test]
fn a_gang_starts_whole_or_not_at_all() {
    let mut harness = Harness::new(1);
    let gang = Step { gang: true, ..step(17) };
    harness.submit(1, definition(vec![gang]));
    assert!(starts(&harness.plan()).is_empty());
    harness.list_minion(1);
    harness.answer(1, Default::default());
    let started = harness.start_all();
    assert_eq!(started.len(), 17);
    let numbers: std::collections::BTreeSet<u32> = started.iter().map(|start| start.2).collect();
    assert_eq!(numbers.len(), 1, "all members have the same run number");
}

/// The members of a gang are done at the same time, so one end that is reported as done completes
/// all of them.  Waiting for the others could run part of the job again, because minions report at
/// different times.
#[test]
fn one_completed_member_completes_its_gang() {
    let mut harness = Harness::new(1);
    let gang = Step { gang: true, ..step(3) };
    harness.submit(1, definition(vec![gang]));
    let (minion, name, run) = harness.start_all().remove(0);
    harness.report_end(&minion, name, run, EndReason::Done);
    harness.store_progress();
    assert_eq!(harness.cell.state(&id(1)), Some(State::Completed));
}

#[test]
fn labels_and_the_limit_per_minion_are_respected() {
    let mut harness = Harness::new(4);
    let labelled = Step { required_label: Some("other".into()), ..step(1) };
    let spread = Step { max_per_minion: Some(1), ..step(6) };
    harness.submit(1, definition(vec![labelled]));
    harness.submit(2, definition(vec![spread]));
    let started = harness.start_all();
    assert_eq!(started.len(), 4);
    let places: std::collections::BTreeSet<_> = started.iter().map(|start| &start.0).collect();
    assert_eq!(places.len(), 4);
    assert!(started.iter().all(|start| start.1.job == id(2)));
}

#[test]
fn an_occurrence_starts_when_it_is_due() {
    let mut harness = Harness::new(1);
    let mut timed = definition(vec![step(1)]);
    timed.schedule = Some(celerythread_engine::job::Schedule {
        repetitions: 2,
        start_at_ms: harness.now.0 + 1000,
        interval_ms: 5000,
    });
    harness.submit(1, timed);
    assert!(starts(&harness.plan()).is_empty());
    harness.advance_ms(1000);
    let started = harness.start_all();
    assert_eq!(started.iter().map(|start| start.1.occurrence).collect::<Vec<_>>(), [0]);
}

#[test]
fn stored_progress_is_read_back() {
    let progress = Progress {
        outcome: None,
        done: vec![0, 7],
        failed: vec![(3, [1, 2].into_iter().collect())],
        checkpoints: vec![(4, "00ab".into())],
        suspicions: vec![(5, 4)],
        trials: vec![(5, Trials { crashed: 1, uncertain: 1 })],
        trial_places: vec![(
            5,
            TrialPlace { minion: "minion-1".into(), incarnation: 7, silent: true },
        )],
        evidence: vec![(5, 3)],
    };
    assert_eq!(Progress::decode(&encode(&progress)).unwrap(), progress);
    assert!(Progress::decode(&[0xff; 3]).is_err());
}

/// Guards against rows that a new release can't decode because they were written by a release that
/// stored no suspicions, trials, places of trials or evidence.  Tasks that are done would run again.
#[test]
fn rows_without_suspicions_are_read() {
    let progress = Progress { done: vec![0, 7], ..Progress::default() };
    let bytes = encode(&progress);
    for missing in 1..=4 {
        let (without_lists, end) = bytes.split_at(bytes.len() - missing);
        assert_eq!(end, &[0, 0, 0, 0][..missing]);
        assert_eq!(Progress::decode(without_lists).unwrap(), progress);
    }
}

/// Guards against a job whose progress no row of the store can hold: nothing of its service would be
/// stored any more.
#[test]
fn the_progress_of_the_largest_job_fits_into_a_row() {
    const ROW_BYTES: usize = 65_536;
    let done: Vec<u32> = (0..MAX_TASKS as u32).filter(|task| task % 7 != 3).collect();
    let checkpoints: Vec<_> =
        (0..2000).map(|step| (step * 7 + 3, "00".repeat(50).into())).collect();
    let progress = Progress { done: done.clone(), checkpoints, ..Progress::default() };
    assert!(encode(&progress).len() > ROW_BYTES, "the list of done tasks is too long");
    let row = progress.encode(ROW_BYTES);
    assert!(row.len() <= ROW_BYTES, "{} bytes", row.len());
    let read = Progress::decode(&row).unwrap();
    assert_eq!(read.done, done);
    let kept = read.checkpoints.len();
    assert!(kept > 0, "checkpoints that fit are kept");
    assert_eq!(read.checkpoints, progress.checkpoints[..kept]);
}

/// Guards against rows that an earlier release can't read although they fit without the set of done
/// tasks, which it doesn't know.
#[test]
fn progress_that_fits_is_stored_as_before() {
    let progress = Progress { done: vec![0, 7], ..Progress::default() };
    let bytes = encode(&progress);
    assert_eq!(progress.encode(bytes.len()), bytes);
    let compact = progress.encode(bytes.len() - 1);
    assert_eq!(Progress::decode(&compact).unwrap(), progress);
}

/// Guards against leaving the rest of a gang running after a minion refused one member for lack of
/// capacity that the owner had recorded as free.  The others would hold their cores for seconds,
/// waiting for it, and then end without it.
#[test]
fn the_rest_of_a_gang_is_stopped_when_one_member_is_refused() {
    let mut harness = Harness::new(1);
    let gang = Step { gang: true, ..step(3) };
    harness.submit(1, definition(vec![gang]));
    let ordered = starts(&harness.plan());
    let (minion, name, run) = &ordered[2];
    let refused = StartResult::Refused(Refusal::NoRoom);
    harness.cell.process_start_result(minion, name, *run, refused, harness.now);
    assert_eq!(stops(&harness.plan()).len(), 2);
    for (minion, name, run) in &ordered[..2] {
        harness.report_end(minion, *name, *run, EndReason::Stopped);
    }
    harness.advance_ms(200);
    let again = starts(&harness.plan());
    assert_eq!(again.len(), 3);
    assert!(again.iter().all(|start| start.2 > *run));
}
