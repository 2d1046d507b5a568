//! Tasks that crash the minions that start them, and tasks that were only beside them.

use crate::fixture::*;
use celerythread_engine::cell::{How, Listing, MinionId, Report, StartResult};
use celerythread_engine::job::{Progress, Resources, State, Step, TaskName};
use celerythread_engine::time::Time;
use std::collections::BTreeSet;
use std::time::Duration;

/// Starts of a task that may follow the third crash under it.
const STARTS_AFTER_THREE: usize = 2;

/// How long runs are held.
const LEASE: Duration = Duration::from_secs(5);

/// After what time a crashed minion is back as another, and so known to be over.
const BACK_AFTER: Duration = Duration::from_secs(3);

/// How long tasks work that crash nothing.
const WORK: Duration = Duration::from_millis(500);

/// A cell whose minions crash as soon as they start certain tasks, and come back as others.
struct Fleet {
    world: World,
    crashing: Vec<TaskName>,
    next: usize,
    /// Minions on which each crashing task was started.
    crashed: Vec<(TaskName, MinionId)>,
    /// Runs of other tasks, and when each is done.
    working: Vec<(MinionId, TaskName, u32, Time)>,
    /// Minions that are down, and when that is known.
    down: Vec<(MinionId, Time)>,
    /// What was kept of the first job last.
    kept: Option<Progress>,
}

impl Fleet {
    fn new(minions: usize, crashing: &[TaskName]) -> Self {
        Self {
            world: World::new(minions),
            crashing: crashing.to_vec(),
            next: minions,
            crashed: Vec::new(),
            working: Vec::new(),
            down: Vec::new(),
            kept: None,
        }
    }

    fn play(&mut self, rounds: usize) {
        (0..rounds).for_each(|_| self.step());
    }

    /// A round of a tenth of a second: starts are accepted, what crashes its minion does so at once, the rest is done
    /// half a second later.  That a minion is over is known after three seconds, when it is back as another.
    fn step(&mut self) {
        for (minion, task, run) in self.world.start_all() {
            self.world.cell.promise(&minion, self.world.now + LEASE);
            if self.crashing.contains(&task) {
                self.crashed.push((task, minion.clone()));
                self.world.cell.missed(&minion, self.world.now);
                self.down.push((minion, self.world.now + BACK_AFTER));
            } else {
                self.working.push((minion, task, run, self.world.now + WORK));
            }
        }
        let down: Vec<MinionId> = self.down.iter().map(|(minion, _)| minion.clone()).collect();
        self.working.retain(|(minion, ..)| !down.contains(minion));
        self.world.pass(100);
        self.report();
        self.replace();
        while let Some(batch) = self.world.cell.unkept(90) {
            let mut of_first = batch.rows.iter().filter(|(job, ..)| *job == id(1));
            self.kept = of_first.next_back().map(|row| row.2.clone()).or(self.kept.take());
            self.world.cell.kept(&batch);
        }
    }

    /// Minions list what runs there, and what is done.
    fn report(&mut self) {
        let now = self.world.now;
        let (done, rest) = std::mem::take(&mut self.working).into_iter().partition(|w| w.3 <= now);
        self.working = rest;
        for (minion, task, run, _) in Vec::from_iter::<Vec<_>>(done) {
            self.world.end(&minion, task, run, How::Done);
        }
        let minions: Vec<MinionId> =
            self.world.cell.minions().map(|minion| minion.id.clone()).collect();
        for minion in minions.iter().filter(|id| !self.down.iter().any(|down| down.0 == **id)) {
            let mine = self.working.iter().filter(|working| working.0 == *minion);
            let listed = mine.map(|(_, task, run, _)| running(*task, *run, 5)).collect();
            let report = Report { running: listed, finished: Vec::new(), ..Report::default() };
            self.world.cell.report(minion, &report, now, now);
        }
    }

    fn replace(&mut self) {
        let now = self.world.now;
        let (over, rest) = std::mem::take(&mut self.down).into_iter().partition(|d| d.1 <= now);
        self.down = rest;
        for (minion, _) in Vec::from_iter::<Vec<_>>(over) {
            self.world.cell.bury(&minion, now);
            self.world.join(self.next);
            self.next += 1;
        }
    }
}

/// A job's task ends each minion that starts it within milliseconds.  Its caller hears `running` for as long
/// as the job lives, and every three seconds the callers of all that runs beside it wait for
/// their work to be begun anew.
#[test]
fn a_task_that_crashes_its_minions_is_given_up() {
    let name = task(1, 0, 0);
    let mut fleet = Fleet::new(6, &[name]);
    fleet.world.submit(1, definition(vec![step(1)]));
    fleet.play(200);
    let starts = fleet.crashed.len();
    assert!(starts <= 3 + STARTS_AFTER_THREE, "started {starts} times");
    assert_eq!(fleet.world.cell.state(&id(1)), Some(State::Failed));
}

/// The tasks beside a crashing one end with each of its minions, too, and would be taken for the cause.  Their
/// jobs are done all the same, and the crashing one costs no more minions than it would alone.
#[test]
fn tasks_beside_a_crashing_one_are_not_given_up() {
    let name = task(1, 0, 0);
    let mut fleet = Fleet::new(4, &[name]);
    for job in 1..8 {
        fleet.world.submit(job, definition(vec![step(4)]));
    }
    fleet.play(200);
    assert_eq!(fleet.world.cell.state(&id(1)), Some(State::Failed));
    for job in 2..8 {
        assert_eq!(fleet.world.cell.state(&id(job)), Some(State::Completed), "job {job}");
    }
    assert!(fleet.crashed.len() <= 3, "{} minions", fleet.crashed.len());
}

/// All tasks of a job crash their minions.  Tried again side by side, each would take a second one down.
#[test]
fn a_job_of_crashing_tasks_is_given_up_with_the_first() {
    let names: Vec<TaskName> = (0..5).map(|index| task(1, 0, index)).collect();
    let mut fleet = Fleet::new(8, &names);
    fleet.world.submit(1, definition(vec![step(5)]));
    fleet.play(200);
    assert_eq!(fleet.world.cell.state(&id(1)), Some(State::Failed));
    let minions: BTreeSet<_> = fleet.crashed.iter().map(|(_, minion)| minion).collect();
    assert!(minions.len() <= 3, "{:?}", fleet.crashed);
}

/// A rack loses power twice, each time just after a job's task was started there.  Idle minions of the
/// rack went down with the task's, so it isn't the cause, and its caller gets its result.
#[test]
fn a_task_on_minions_that_went_down_together_is_not_given_up() {
    let mut world = World::new(4);
    world.submit(1, definition(vec![step(1)]));
    for round in 0..3 {
        let (minion, name, run) = world.next_start();
        world.cell.start_result(&minion, &name, run, StartResult::Started, world.now);
        let all: Vec<MinionId> = world.cell.minions().map(|minion| minion.id.clone()).collect();
        all.iter().for_each(|minion| world.cell.missed(minion, world.now));
        world.pass(3000);
        all.iter().for_each(|minion| world.cell.bury(minion, world.now));
        for number in 0..4 {
            world.join(10 * (round + 1) + number);
        }
    }
    world.keep();
    assert_eq!(world.cell.state(&id(1)), Some(State::Running));
    let (minion, name, run) = starts(&world.plan_kept()).remove(0);
    world.end(&minion, name, run, How::Done);
    world.keep();
    assert_eq!(world.cell.state(&id(1)), Some(State::Completed));
}

/// A minion that is to be emptied, or says that it leaves, ends as planned: that says nothing of its tasks.
#[test]
fn planned_ends_count_against_no_task() {
    for drains in [false, true] {
        let mut world = World::new(6);
        world.submit(1, definition(vec![step(1)]));
        for _ in 0..5 {
            let (minion, name, run) = starts(&world.plan_kept()).remove(0);
            world.cell.start_result(&minion, &name, run, StartResult::Started, world.now);
            if drains {
                let listing = Listing { capacity: CAPACITY, draining: true, ..Listing::default() };
                world.cell.list(&minion, listing);
            } else {
                world.cell.set_leaving(&minion, true);
            }
            world.cell.missed(&minion, world.now);
            // What says that it is to be emptied is dropped once its machine has another minion.
            world.cell.set_leaving(&minion, false);
            world.pass(2000);
            world.cell.bury(&minion, world.now);
        }
        world.keep();
        assert_eq!(world.cell.state(&id(1)), Some(State::Running));
        assert_eq!(starts(&world.plan()).len(), 1, "at once, with nothing to keep before");
    }
}

/// The owner learns of two crashes and is lost.  Its successor goes on from there and doesn't let the
/// task take two more minions.
#[test]
fn what_is_held_against_a_task_outlives_its_owner() {
    let name = task(1, 0, 0);
    let mut fleet = Fleet::new(6, &[name]);
    fleet.world.submit(1, definition(vec![step(1)]));
    while fleet.crashed.is_empty() || !fleet.down.is_empty() {
        fleet.step();
    }
    let kept = fleet.kept.clone().expect("the first crash is kept");
    assert_eq!(kept.suspicions.len(), 1);
    let mut next = Fleet::new(6, &[name]);
    next.world.add_kept(1, definition(vec![step(1)]), &kept);
    next.play(100);
    assert_eq!(next.world.cell.state(&id(1)), Some(State::Failed));
    assert_eq!(next.crashed.len(), 1, "one more is enough");
}

/// The owner is lost after a minion fell silent and before that is known to be a crash.  That the task was on trial
/// there was kept at once.
#[test]
fn a_crash_that_the_owner_did_not_live_to_know_is_doubted() {
    let mut world = World::new(2);
    world.submit(1, definition(vec![step(1)]));
    let (minion, ..) = world.start_all().remove(0);
    world.cell.missed(&minion, world.now);
    let batch = world.cell.unkept(90).expect("something to keep");
    let (_, _, progress) = &batch.rows[0];
    assert_eq!(progress.suspicions.len(), 1);
    world.cell.kept(&batch);
    // It was cut off for a moment and is back: nothing is held against the task.
    let number = usize::from(minion == World::minion(1));
    world.answer(
        number,
        Report {
            running: vec![running(task(1, 0, 0), 1, 5)],
            finished: vec![],
            ..Report::default()
        },
    );
    let batch = world.cell.unkept(90).expect("that is kept, too");
    assert!(batch.rows[0].2.suspicions.is_empty());
}

/// Guards against stopping the tasks of a failed job before the failure is persisted: a new owner would resume
/// the job without them.
#[test]
fn tasks_of_a_failed_job_are_stopped_after_its_outcome_is_kept() {
    let mut world = World::new(4);
    let progress = Progress { suspicions: vec![(0, 7)], ..Progress::default() };
    let one_per_minion = Step { max_per_minion: Some(1), ..step(3) };
    world.add_kept(1, definition(vec![one_per_minion]), &progress);
    let mut started = Vec::new();
    for _ in 0..10 {
        started.extend(world.start_all());
        world.keep();
        world.pass(300);
    }
    assert_eq!(started.len(), 3);
    let (minion, ..) = started.iter().find(|(_, name, _)| *name == task(1, 0, 0)).unwrap();
    world.crash(minion);
    world.cell.unkept(90).expect("a batch with the failure of the job");
    assert_eq!(stops(&world.plan()), []);
    world.pass(100);
    assert_eq!(stops(&world.plan()), []);
    world.keep();
    assert_eq!(stops(&world.plan()).len(), 2);
}

/// A task is tried again only after what is held against it is kept; the store is away, and the owner may be lost.
#[test]
fn a_suspected_task_waits_until_that_is_kept() {
    let mut world = World::new(3);
    world.submit(1, definition(vec![step(1)]));
    let (minion, ..) = world.start_all().remove(0);
    world.crash(&minion);
    for _ in 0..5 {
        assert_eq!(starts(&world.plan()), [], "nothing can be kept");
        world.pass(1000);
    }
    assert_eq!(starts(&world.plan_kept()).len(), 1);
}

/// A long-lasting task was on several minions that crashed weeks apart.  Each time it had been at work for
/// long, so it isn't the cause, and its users keep it.
#[test]
fn a_task_that_was_at_work_for_long_is_acquitted() {
    let mut world = World::new(1);
    world.submit(1, definition(vec![Step { long_running: true, ..step(1) }]));
    for round in 0..6 {
        let (minion, name, run) = world.next_start();
        world.cell.start_result(&minion, &name, run, StartResult::Started, world.now);
        for _ in 0..6 {
            world.pass(1000);
            world.answer(
                round,
                Report {
                    running: vec![running(name, run, 100)],
                    finished: vec![],
                    ..Report::default()
                },
            );
        }
        world.crash(&minion);
        world.join(round + 1);
    }
    world.keep();
    assert_eq!(world.cell.state(&id(1)), Some(State::Running));
}

/// A caller has cancelled its job before the crash is known: it stays cancelled.
#[test]
fn a_cancelled_job_stays_cancelled() {
    let mut fleet = Fleet::new(6, &[task(1, 0, 0)]);
    fleet.world.submit(1, definition(vec![step(1)]));
    fleet.step();
    let now = fleet.world.now;
    fleet.world.cell.cancel(&id(1), now);
    fleet.play(5);
    assert_eq!(fleet.crashed.len(), 1);
    assert_eq!(fleet.world.cell.state(&id(1)), Some(State::Cancelled));
}

/// A minion's room shrinks while it is full, and grows again.  Until it has grown or its runs have ended, those
/// included that are being stopped, nothing is started there that goes beyond what it has.
#[test]
fn nothing_is_started_beyond_a_room_that_has_shrunk() {
    let mut world = World::new(1);
    world.submit(1, definition(vec![step(10)]));
    assert_eq!(world.start_all().len(), 10);
    let minion = World::minion(0);
    let room = |cpu: u64| Listing { capacity: Resources { cpu, ..CAPACITY }, ..Listing::default() };
    world.cell.list(&minion, room(4000));
    world.cell.cancel(&id(1), world.now);
    world.submit(2, definition(vec![step(4)]));
    let orders = world.plan();
    assert_eq!(
        (stops(&orders).len(), starts(&orders).len()),
        (10, 0),
        "what is stopped still counts"
    );
    for index in 0..7 {
        world.end(&minion, task(1, 0, index), 1, How::Stopped);
    }
    assert_eq!(world.start_all().len(), 1, "three of four cores are taken");
    world.cell.list(&minion, room(16_000));
    assert_eq!(world.start_all().len(), 3);
}

/// An availability zone is cut off with minions whose tasks were well under way.  When their leases have lapsed all
/// of them start again elsewhere in one plan; taken for likely causes of crashes, one of a job was tried at a time,
/// and callers waited a quarter of a second more for each.
#[test]
fn tasks_of_minions_that_are_cut_off_start_again_together() {
    let mut world = World::new(4);
    world.submit(1, definition(vec![step(40)]));
    let started = world.start_all();
    world.pass(300);
    for number in 0..4 {
        let minion = World::minion(number);
        world.cell.promise(&minion, world.now + LEASE);
        let mine = started.iter().filter(|start| start.0 == minion);
        let listed = mine.map(|(_, task, run)| running(*task, *run, 50)).collect();
        world.answer(number, Report { running: listed, finished: vec![], ..Report::default() });
    }
    let cut = [started[0].0.clone(), started[39].0.clone()];
    assert_ne!(cut[0], cut[1]);
    cut.iter().for_each(|minion| world.cell.missed(minion, world.now));
    let lost = started.iter().filter(|start| cut.contains(&start.0)).count();
    for number in 10..14 {
        world.join(number);
    }
    world.now = world.now + LEASE;
    assert_eq!(world.start_all().len(), lost);
}

/// A task that is all but proved is tried once more.  Started beside it, another job's task would end with the
/// minion, too, and be as likely a cause; it waits until the trial is over.
#[test]
fn nothing_is_started_beside_a_task_on_trial() {
    let mut world = World::new(1);
    world.submit(1, definition(vec![step(1)]));
    let (minion, ..) = world.start_all().remove(0);
    world.crash(&minion);
    world.join(1);
    let (tried, name, run) = world.next_start();
    world.cell.start_result(&tried, &name, run, StartResult::Started, world.now);
    world.submit(2, definition(vec![step(1)]));
    assert_eq!(starts(&world.plan_kept()), []);
    world.pass(300);
    world.answer(
        1,
        Report { running: vec![running(name, run, 5)], finished: vec![], ..Report::default() },
    );
    assert_eq!(world.start_all().len(), 1, "it has outlived its trial");
}

/// Two tasks are started on a minion together, and it crashes: either may be the cause.  Tried side by side again,
/// they would be as hard to tell apart.
#[test]
fn likely_causes_are_tried_apart() {
    let mut world = World::new(1);
    world.submit(1, definition(vec![step(1)]));
    world.submit(2, definition(vec![step(1)]));
    assert_eq!(world.start_all().len(), 2);
    world.crash(&World::minion(0));
    world.join(1);
    assert_eq!(starts(&world.plan_kept()).len(), 1);
}

/// A minion crashes unnoticed with a task well under way, and a start is sent to it before that shows.  The start
/// came to nobody and explains nothing; counted as the one on trial, it made the other task the only likely
/// cause, and its job was shown as failed after two such crashes.
#[test]
fn a_start_that_came_to_nobody_blames_no_one_else() {
    let mut world = World::new(1);
    world.submit(1, definition(vec![step(1)]));
    for round in 0..2 {
        let (minion, name, run) = world.next_start();
        world.cell.start_result(&minion, &name, run, StartResult::Started, world.now);
        world.pass(300);
        world.answer(
            round,
            Report { running: vec![running(name, run, 50)], finished: vec![], ..Report::default() },
        );
        let other = round as u8 + 2;
        world.submit(other, definition(vec![step(1)]));
        assert_eq!(starts(&world.plan()).len(), 1, "ordered, and not answered yet");
        world.cell.bury(&minion, world.now);
        world.cell.cancel(&id(other), world.now);
        world.join(round + 1);
    }
    world.keep();
    assert_eq!(world.cell.state(&id(1)), Some(State::Running));
}
