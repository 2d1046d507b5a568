//! A job's life: order of steps, attempts, cancellation, gangs, what a caller is told.

use crate::fixture::*;
use celerythread_engine::cell::{How, Refusal, StartResult};
use celerythread_engine::job::{Progress, State, Step, encode};

#[test]
fn a_step_waits_for_all_tasks_of_the_steps_before_it() {
    let mut harness = Harness::new(2);
    let second = Step { after: [0].into_iter().collect(), ..step(1) };
    harness.submit(1, definition(vec![step(2), second]));
    let first = harness.start_all();
    assert_eq!(first.len(), 2);
    let (minion, name, run) = &first[0];
    harness.report_end(minion, *name, *run, How::Done);
    assert!(starts(&harness.plan()).is_empty());
    let (minion, name, run) = &first[1];
    harness.report_end(minion, *name, *run, How::Done);
    assert_eq!(starts(&harness.plan())[0].1, task(1, 1, 0));
}

/// A caller is told that a job is completed, the owner is lost before that is kept, and its
/// successor runs the job again: done twice.  So nothing final is told before it is kept.
#[test]
fn a_completion_is_reported_only_after_it_is_stored() {
    let mut harness = Harness::new(1);
    harness.submit(1, definition(vec![step(1)]));
    let (minion, name, run) = harness.start_all().remove(0);
    harness.report_end(&minion, name, run, How::Done);
    assert_eq!(harness.cell.state(&id(1)), Some(State::Running));
    harness.store_progress();
    assert_eq!(harness.cell.state(&id(1)), Some(State::Completed));
}

/// An end is acknowledged, its minion forgets it, the owner is lost before it is kept, and its
/// successor finds no trace of the run and starts it again.
#[test]
fn an_end_is_acknowledged_only_after_it_is_stored() {
    let mut harness = Harness::new(1);
    harness.submit(1, definition(vec![step(2)]));
    let (minion, name, run) = harness.start_all().remove(0);
    let number = harness.report_end(&minion, name, run, How::Done);
    assert_eq!(harness.cell.minion(&minion).unwrap().acknowledged(), 0);
    harness.store_progress();
    assert_eq!(harness.cell.minion(&minion).unwrap().acknowledged(), number);
}

#[test]
fn a_task_that_fails_as_often_as_its_queue_allows_fails_its_job() {
    let mut harness = Harness::new(3);
    harness.submit(1, definition(vec![step(1)]));
    let (first, name, run) = harness.start_all().remove(0);
    harness.report_end(&first, name, run, How::Failed);
    assert_eq!(harness.cell.state(&id(1)), Some(State::Running));
    let (second, name, again) = harness.start_all().remove(0);
    assert_ne!(first, second, "it is tried elsewhere");
    assert!(again > run);
    harness.report_end(&second, name, again, How::Failed);
    harness.store_progress();
    assert_eq!(harness.cell.state(&id(1)), Some(State::Failed));
    assert!(starts(&harness.plan()).is_empty());
}

/// The former owner counted a failure and was lost before it acknowledged it; its successor
/// reads the kept count and is listed the same end again.  Counted twice, the job would be
/// shown as failed with an attempt to spare.
#[test]
fn a_failure_that_is_listed_again_counts_once() {
    let mut harness = Harness::new(2);
    harness.submit(1, definition(vec![step(1)]));
    let (minion, name, run) = harness.start_all().remove(0);
    harness.report_end(&minion, name, run, How::Failed);
    harness.report_end(&minion, name, run, How::Failed);
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
    harness.report_end(&minion, name, run, How::Done);
    assert!(starts(&harness.plan()).is_empty());
    assert_eq!(harness.cell.state(&id(1)), Some(State::Cancelled));
}

/// Members of a gang wait for each other; one started without room for the rest holds its
/// cores for seconds and ends alone.
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

/// A gang's members end done together and one such end stands for all: were the others waited
/// for, a job whose minions report at different times could be run in part again.
#[test]
fn one_completed_member_completes_its_gang() {
    let mut harness = Harness::new(1);
    let gang = Step { gang: true, ..step(3) };
    harness.submit(1, definition(vec![gang]));
    let (minion, name, run) = harness.start_all().remove(0);
    harness.report_end(&minion, name, run, How::Done);
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
    };
    assert_eq!(Progress::decode(&encode(&progress)).unwrap(), progress);
    assert!(Progress::decode(&[0xff; 3]).is_err());
}

/// A new release takes a cell over whose rows were written by one that kept no suspicions.  Unread, they
/// would have done tasks run again.
#[test]
fn rows_without_suspicions_are_read() {
    let progress = Progress { done: vec![0, 7], ..Progress::default() };
    let bytes = encode(&progress);
    let (without_list, end) = bytes.split_at(bytes.len() - 1);
    assert_eq!(end, [0]);
    assert_eq!(Progress::decode(without_list).unwrap(), progress);
}

/// One member of a gang is refused for want of room that the books didn't show.  The others would
/// wait for it for seconds, holding their cores, and end alone.
#[test]
fn the_rest_of_a_gang_is_stopped_when_one_member_is_refused() {
    let mut harness = Harness::new(1);
    let gang = Step { gang: true, ..step(3) };
    harness.submit(1, definition(vec![gang]));
    let ordered = starts(&harness.plan());
    let (minion, name, run) = &ordered[2];
    let refused = StartResult::Refused(Refusal::NoRoom);
    harness.cell.start_result(minion, name, *run, refused, harness.now);
    assert_eq!(stops(&harness.plan()).len(), 2);
    for (minion, name, run) in &ordered[..2] {
        harness.report_end(minion, *name, *run, How::Stopped);
    }
    harness.advance_ms(200);
    let again = starts(&harness.plan());
    assert_eq!(again.len(), 3);
    assert!(again.iter().all(|start| start.2 > *run));
}
