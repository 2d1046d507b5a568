//! A job's life: order of steps, attempts, cancellation, gangs, what a caller is told.

use crate::fixture::*;
use celerythread_engine::cell::{How, Refusal, StartResult};
use celerythread_engine::job::{Progress, State, Step, encode};

#[test]
fn a_step_waits_for_all_tasks_of_the_steps_before_it() {
    let mut world = World::new(2);
    let second = Step { after: [0].into_iter().collect(), ..step(1) };
    world.submit(1, definition(vec![step(2), second]));
    let first = world.start_all();
    assert_eq!(first.len(), 2);
    let (minion, name, run) = &first[0];
    world.end(minion, *name, *run, How::Done);
    assert!(starts(&world.plan()).is_empty());
    let (minion, name, run) = &first[1];
    world.end(minion, *name, *run, How::Done);
    assert_eq!(starts(&world.plan())[0].1, task(1, 1, 0));
}

/// A caller is told that a job is completed, the owner is lost before that is kept, and its
/// successor runs the job again: done twice.  So nothing final is told before it is kept.
#[test]
fn a_completion_is_told_only_when_it_is_kept() {
    let mut world = World::new(1);
    world.submit(1, definition(vec![step(1)]));
    let (minion, name, run) = world.start_all().remove(0);
    world.end(&minion, name, run, How::Done);
    assert_eq!(world.cell.state(&id(1)), Some(State::Running));
    world.keep();
    assert_eq!(world.cell.state(&id(1)), Some(State::Completed));
}

/// An end is acknowledged, its minion forgets it, the owner is lost before it is kept, and its
/// successor finds no trace of the run and starts it again.
#[test]
fn an_end_is_acknowledged_only_when_it_is_kept() {
    let mut world = World::new(1);
    world.submit(1, definition(vec![step(2)]));
    let (minion, name, run) = world.start_all().remove(0);
    let number = world.end(&minion, name, run, How::Done);
    assert_eq!(world.cell.minion(&minion).unwrap().acknowledged(), 0);
    world.keep();
    assert_eq!(world.cell.minion(&minion).unwrap().acknowledged(), number);
}

#[test]
fn a_task_that_fails_as_often_as_its_queue_allows_fails_its_job() {
    let mut world = World::new(3);
    world.submit(1, definition(vec![step(1)]));
    let (first, name, run) = world.start_all().remove(0);
    world.end(&first, name, run, How::Failed);
    assert_eq!(world.cell.state(&id(1)), Some(State::Running));
    let (second, name, again) = world.start_all().remove(0);
    assert_ne!(first, second, "it is tried elsewhere");
    assert!(again > run);
    world.end(&second, name, again, How::Failed);
    world.keep();
    assert_eq!(world.cell.state(&id(1)), Some(State::Failed));
    assert!(starts(&world.plan()).is_empty());
}

/// The former owner counted a failure and was lost before it acknowledged it; its successor
/// reads the kept count and is listed the same end again.  Counted twice, the job would be
/// shown as failed with an attempt to spare.
#[test]
fn a_failure_that_is_listed_again_counts_once() {
    let mut world = World::new(2);
    world.submit(1, definition(vec![step(1)]));
    let (minion, name, run) = world.start_all().remove(0);
    world.end(&minion, name, run, How::Failed);
    world.end(&minion, name, run, How::Failed);
    world.keep();
    assert_eq!(world.cell.state(&id(1)), Some(State::Running));
}

#[test]
fn a_cancelled_job_is_stopped_and_starts_nothing() {
    let mut world = World::new(1);
    let second = Step { after: [0].into_iter().collect(), ..step(1) };
    world.submit(1, definition(vec![step(1), second]));
    let (minion, name, run) = world.start_all().remove(0);
    world.cell.cancel(&id(1), world.now);
    let orders = world.plan();
    assert_eq!(stops(&orders), [(minion.clone(), name, run)]);
    assert!(starts(&orders).is_empty());
    world.end(&minion, name, run, How::Done);
    assert!(starts(&world.plan()).is_empty());
    assert_eq!(world.cell.state(&id(1)), Some(State::Cancelled));
}

/// Members of a gang wait for each other; one started without room for the rest holds its
/// cores for seconds and ends alone.
#[test]
fn a_gang_starts_whole_or_not_at_all() {
    let mut world = World::new(1);
    let gang = Step { gang: true, ..step(17) };
    world.submit(1, definition(vec![gang]));
    assert!(starts(&world.plan()).is_empty());
    world.list(1);
    world.answer(1, Default::default());
    let started = world.start_all();
    assert_eq!(started.len(), 17);
    let numbers: std::collections::BTreeSet<u32> = started.iter().map(|start| start.2).collect();
    assert_eq!(numbers.len(), 1, "all members have the same run number");
}

/// A gang's members end done together and one such end stands for all: were the others waited
/// for, a job whose minions report at different times could be run in part again.
#[test]
fn one_end_of_a_gang_that_is_done_stands_for_all() {
    let mut world = World::new(1);
    let gang = Step { gang: true, ..step(3) };
    world.submit(1, definition(vec![gang]));
    let (minion, name, run) = world.start_all().remove(0);
    world.end(&minion, name, run, How::Done);
    world.keep();
    assert_eq!(world.cell.state(&id(1)), Some(State::Completed));
}

#[test]
fn labels_and_the_limit_per_minion_are_kept() {
    let mut world = World::new(4);
    let labelled = Step { required_label: Some("other".into()), ..step(1) };
    let spread = Step { max_per_minion: Some(1), ..step(6) };
    world.submit(1, definition(vec![labelled]));
    world.submit(2, definition(vec![spread]));
    let started = world.start_all();
    assert_eq!(started.len(), 4);
    let places: std::collections::BTreeSet<_> = started.iter().map(|start| &start.0).collect();
    assert_eq!(places.len(), 4);
    assert!(started.iter().all(|start| start.1.job == id(2)));
}

#[test]
fn an_occurrence_starts_when_it_is_due() {
    let mut world = World::new(1);
    let mut timed = definition(vec![step(1)]);
    timed.schedule = Some(celerythread_engine::job::Schedule {
        repetitions: 2,
        start_at_ms: world.now.0 + 1000,
        interval_ms: 5000,
    });
    world.submit(1, timed);
    assert!(starts(&world.plan()).is_empty());
    world.pass(1000);
    let started = world.start_all();
    assert_eq!(started.iter().map(|start| start.1.occurrence).collect::<Vec<_>>(), [0]);
}

#[test]
fn what_is_kept_is_read_back() {
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
fn the_other_members_are_stopped_when_one_is_refused() {
    let mut world = World::new(1);
    let gang = Step { gang: true, ..step(3) };
    world.submit(1, definition(vec![gang]));
    let ordered = starts(&world.plan());
    let (minion, name, run) = &ordered[2];
    let refused = StartResult::Refused(Refusal::NoRoom);
    world.cell.start_result(minion, name, *run, refused, world.now);
    assert_eq!(stops(&world.plan()).len(), 2);
    for (minion, name, run) in &ordered[..2] {
        world.end(minion, *name, *run, How::Stopped);
    }
    world.pass(200);
    let again = starts(&world.plan());
    assert_eq!(again.len(), 3);
    assert!(again.iter().all(|start| start.2 > *run));
}
