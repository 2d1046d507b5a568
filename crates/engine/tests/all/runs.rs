//! Runs: unanswered orders, lapses, minions that fail or hang.

use crate::fixture::*;
use celerythread_engine::cell::{
    Cell, Guard, How, Note, Permit, Refusal, Report, Settings, StartResult,
};
use celerythread_engine::job::{State, Step};
use std::collections::BTreeSet;
use std::time::Duration;

/// A start isn't answered and is carried out seconds later.  Started elsewhere meanwhile, the
/// task would run twice.  So it waits until its minion has confirmed a stop, after which the
/// run never begins, and then lists no such run.
#[test]
fn an_unanswered_start_is_stopped_for_sure_before_the_task_goes_elsewhere() {
    let mut world = World::new(2);
    world.submit(1, definition(vec![step(1)]));
    let (minion, name, run) = starts(&world.plan()).remove(0);
    world.cell.start_result(&minion, &name, run, StartResult::Unknown, world.now);
    assert!(world.plan().is_empty(), "a look comes first");
    world.cell.report(&minion, &Report::default(), world.now, world.now);
    let orders = world.plan();
    assert_eq!(stops(&orders), [(minion.clone(), name, run)]);
    assert!(starts(&orders).is_empty());
    // A report from before the confirmation proves nothing.
    world.cell.report(&minion, &Report::default(), world.now, world.now);
    assert!(starts(&world.plan()).is_empty());
    world.pass(10);
    world.cell.stop_confirmed(&minion, &name, run, world.now);
    world.pass(10);
    world.cell.report(&minion, &Report::default(), world.now, world.now);
    let again = starts(&world.plan());
    assert_eq!(again[0].1, name);
    assert!(again[0].2 > run);
}

/// An unanswered stop may be lost, and the run would then go on unseen for ever.
#[test]
fn an_unanswered_stop_is_ordered_again() {
    let mut world = World::new(1);
    world.submit(1, definition(vec![step(1)]));
    world.start_all();
    world.cell.cancel(&id(1), world.now);
    assert_eq!(stops(&world.plan()).len(), 1);
    assert!(stops(&world.plan()).is_empty());
    world.pass(800);
    assert_eq!(stops(&world.plan()).len(), 1);
}

/// A minion is cut off and runs on until its lease lapses.  Restarted before, its tasks would
/// run twice; never restarted, their jobs would be lost.
#[test]
fn runs_of_a_silent_minion_are_given_up_when_their_lease_must_have_lapsed() {
    let mut world = World::new(2);
    world.submit(1, definition(vec![step(1)]));
    let (minion, name, run) = world.start_all().remove(0);
    let lapse = world.now + Duration::from_millis(5000);
    world.cell.promise(&minion, lapse);
    world.cell.missed(&minion, world.now);
    world.pass(4999);
    assert!(starts(&world.plan()).is_empty());
    world.pass(1);
    let again = starts(&world.plan());
    assert_eq!(again[0].1, name);
    assert!(again[0].2 > run);
    assert_ne!(again[0].0, minion);
}

/// Whoever can't be sure to own the cell still must not start anything: after a cut its
/// successor may run what this owner sees lapse.
#[test]
fn without_leave_to_start_nothing_is_started() {
    let mut world = World::new(1);
    world.submit(1, definition(vec![step(1)]));
    assert!(world.cell.plan(world.now, world.now.0, Permit::Nothing).is_empty());
    assert_eq!(starts(&world.plan()).len(), 1);
}

/// Another life of the minion answers at its address: what ran there is over at once, and
/// waiting for a lease would only keep callers waiting.
#[test]
fn the_runs_of_a_life_that_is_over_start_elsewhere_at_once() {
    let mut world = World::new(2);
    world.submit(1, definition(vec![step(1)]));
    let (minion, name, _) = world.start_all().remove(0);
    world.cell.bury(&minion, world.now);
    assert_eq!(starts(&world.plan_kept())[0].1, name);
}

/// A minion that fails whatever it starts is always free and draws task after task; the
/// callers of many jobs see them fail.
#[test]
fn a_minion_that_fails_two_jobs_in_a_row_is_left_out_for_a_while() {
    let mut world = World::new(2);
    for job in 1..=2 {
        world.submit(job, definition(vec![step(1)]));
    }
    let started = world.start_all();
    assert_eq!(started[0].0, started[1].0, "packed on one minion");
    for (minion, name, run) in &started {
        world.end(minion, *name, *run, How::Failed);
    }
    world.submit(3, definition(vec![step(20)]));
    let bad = &started[0].0;
    assert!(world.start_all().iter().all(|(minion, _, _)| minion != bad));
    world.pass(2001);
    assert!(world.start_all().iter().any(|(minion, _, _)| minion == bad));
}

/// A minion hangs: it answers and lists its runs, and nothing goes on.  Only the standing
/// percentage shows it.
#[test]
fn a_run_that_stands_still_is_stopped_and_its_minion_left_out() {
    let mut world = World::new(2);
    world.submit(1, definition(vec![Step { estimate_ms: 2000, ..step(1) }]));
    let (minion, name, run) = world.start_all().remove(0);
    for percent in [40, 80] {
        world.pass(1000);
        let report = Report {
            running: vec![running(name, run, percent)],
            finished: vec![],
            ..Report::default()
        };
        world.cell.report(&minion, &report, world.now, world.now);
        assert!(stops(&world.plan()).is_empty());
    }
    world.pass(2100);
    let report =
        Report { running: vec![running(name, run, 80)], finished: vec![], ..Report::default() };
    world.cell.report(&minion, &report, world.now, world.now);
    assert_eq!(stops(&world.plan()), [(minion.clone(), name, run)]);
    world.end(&minion, name, run, How::Stopped);
    assert!(starts(&world.plan()).iter().all(|(place, _, _)| *place != minion));
}

/// A task stands still wherever it runs.  Each minion that had it was left out as if it hung, one after the
/// other, and callers of everything else waited for room beside idle minions.
#[test]
fn a_task_that_stands_still_everywhere_leaves_no_minions_out() {
    let mut world = World::new(3);
    world.submit(1, definition(vec![step(1)]));
    let mut stood = BTreeSet::new();
    while stood.len() < 3 {
        let (minion, name, run) = world.start_all().remove(0);
        for _ in 0..2 {
            world.pass(1600);
            let report = Report {
                running: vec![running(name, run, 50)],
                finished: vec![],
                ..Report::default()
            };
            world.cell.report(&minion, &report, world.now, world.now);
        }
        assert_eq!(stops(&world.plan()), [(minion.clone(), name, run)]);
        world.end(&minion, name, run, How::Stopped);
        stood.insert(minion);
    }
    world.submit(2, definition(vec![step(48)]));
    let used: BTreeSet<_> = world.start_all().into_iter().map(|(minion, ..)| minion).collect();
    assert_eq!(used.len(), 3, "of three minions {used:?} take work");
}

#[test]
fn a_start_without_room_waits_for_the_next_report() {
    let mut world = World::new(1);
    world.submit(1, definition(vec![step(1)]));
    let (minion, name, run) = starts(&world.plan()).remove(0);
    let refused = StartResult::Refused(Refusal::NoRoom);
    world.cell.start_result(&minion, &name, run, refused, world.now);
    assert!(starts(&world.plan()).is_empty());
    world.pass(200);
    assert_eq!(starts(&world.plan()).len(), 1);
}

#[test]
fn capacity_is_never_exceeded_and_comes_back_with_the_end() {
    let mut world = World::new(1);
    world.submit(1, definition(vec![step(17)]));
    let started = world.start_all();
    assert_eq!(started.len(), 16);
    let (minion, name, run) = &started[0];
    world.end(minion, *name, *run, How::Done);
    assert_eq!(starts(&world.plan()).len(), 1);
}

#[test]
fn a_lasting_task_is_restarted_however_it_ends() {
    let mut world = World::new(3);
    let lasting = Step { long_running: true, max_unavailable: Some(1), ..step(1) };
    world.submit(1, definition(vec![lasting]));
    for how in [How::Done, How::Failed, How::Failed, How::Failed, How::Expired] {
        let (minion, name, run) = world.start_all().remove(0);
        world.end(&minion, name, run, how);
        world.pass(150);
    }
    assert_eq!(world.start_all().len(), 1);
}

/// A machine is due for maintenance and runs a task of a service that may miss one.  Taken away
/// while another of its tasks is still starting, the service falls below its budget.
#[test]
fn lasting_tasks_leave_one_after_the_other_within_what_may_be_away() {
    let mut world = World::new(6);
    let lasting =
        Step { long_running: true, max_unavailable: Some(1), max_per_minion: Some(1), ..step(3) };
    world.submit(1, definition(vec![lasting]));
    let started = world.start_all();
    let report = |world: &mut World, start: &(std::sync::Arc<str>, _, u32), percent| {
        let running = vec![running(start.1, start.2, percent)];
        let report = Report { running, finished: vec![], ..Report::default() };
        world.pass(1);
        world.cell.report(&start.0, &report, world.now, world.now);
    };
    for start in &started {
        report(&mut world, start, 100);
    }
    world.cell.set_leaving(&started[0].0, true);
    world.cell.set_leaving(&started[1].0, true);
    let first = stops(&world.plan());
    assert_eq!(first.len(), 1);
    let (minion, name, run) = first[0].clone();
    world.end(&minion, name, run, How::Stopped);
    let moved = world.start_all().remove(0);
    report(&mut world, &moved, 40);
    assert!(stops(&world.plan()).is_empty(), "the moved one is not at work yet");
    report(&mut world, &moved, 100);
    assert_eq!(stops(&world.plan()).len(), 1);
}

/// A lasting task lost its minion while a burst of small tasks keeps every core busy.  Each core
/// that comes free goes to the next small task, and the lasting one, which needs two at once,
/// stays away for as long as the burst.
#[test]
fn a_lasting_task_gets_room_although_smaller_tasks_wait_for_it() {
    let mut world = World::new(1);
    world.submit(1, definition(vec![step(100)]));
    let mut active = world.start_all();
    let need = celerythread_engine::job::Resources { cpu: 3000, memory_mb: 512, gpu: 0 };
    let lasting = Step { long_running: true, need, ..step(1) };
    world.submit(2, definition(vec![lasting]));
    for _ in 0..3 {
        let (minion, name, run) = active.remove(0);
        world.end(&minion, name, run, How::Done);
        active.extend(world.start_all());
    }
    assert!(active.iter().any(|(_, name, _)| name.job == id(2)));
}

/// A wave empties all minions of a pool but one, which is full.  A lasting task that has failed
/// finds no room and stays away for as long as the wave, although the minion it ran on has room;
/// and while it is away its service's other tasks may not leave, so the wave stands still as well.
#[test]
fn a_lasting_task_returns_to_a_minion_that_is_being_emptied_if_nothing_else_has_room() {
    let mut world = World::new(2);
    let need = celerythread_engine::job::Resources { cpu: 16_000, memory_mb: 512, gpu: 0 };
    let lasting = Step { long_running: true, max_unavailable: Some(1), ..step(2) };
    world.submit(1, definition(vec![lasting]));
    let started = world.start_all();
    let (home, full) = (started[0].0.clone(), World::minion(1));
    assert!(started.iter().all(|start| start.0 == home));
    world.submit(2, definition(vec![Step { need, ..step(1) }]));
    assert_eq!(world.start_all()[0].0, full);

    world.cell.set_leaving(&home, true);
    world.end(&home, started[0].1, started[0].2, How::Failed);
    progress(&mut world, &started[1..], 100);
    assert!(world.start_all().is_empty(), "room elsewhere may still come");
    (0..3).for_each(|_| progress(&mut world, &started[1..], 100));
    let again = world.start_all();
    assert_eq!(again[0].0, home);

    // Once empty, it may go down at any moment.
    world.end(&home, again[0].1, again[0].2, How::Failed);
    world.end(&home, started[1].1, started[1].2, How::Failed);
    assert_eq!(world.cell.load(world.now).empty, [home.to_string()]);
    world.pass(3000);
    assert!(world.start_all().is_empty());
}

/// The six tasks of a lasting job stand on one minion, because lasting tasks are packed.  With
/// that minion its users lose the whole service, and before maintenance of it the tasks have to
/// leave one after the other.
#[test]
fn the_tasks_of_a_lasting_job_are_spread() {
    let mut world = World::new(6);
    let lasting = Step { long_running: true, ..step(6) };
    world.submit(1, definition(vec![lasting.clone()]));
    world.submit(2, definition(vec![lasting]));
    let started = world.start_all();
    let minions: std::collections::BTreeSet<_> = started.iter().map(|start| &start.0).collect();
    assert_eq!(minions.len(), 3, "and the second job goes where the first one is");
    for minion in minions {
        for job in [1, 2] {
            let here = started.iter().filter(|s| s.0 == *minion && s.1.job == id(job));
            assert_eq!(here.count(), 2);
        }
    }
}

/// Reports the same progress of runs on their minions, some time after the last report.
fn progress(
    world: &mut World,
    runs: &[(std::sync::Arc<str>, celerythread_engine::job::TaskName, u32)],
    percent: u8,
) {
    world.pass(400);
    let minions: std::collections::BTreeSet<_> = runs.iter().map(|run| run.0.clone()).collect();
    for minion in minions {
        let here = runs.iter().filter(|run| run.0 == minion);
        let running = here.map(|(_, name, run)| running(*name, *run, percent)).collect();
        let report = Report { running, finished: vec![], ..Report::default() };
        world.cell.report(&minion, &report, world.now, world.now);
    }
}

/// One minion works six times as slowly as the others and looks well otherwise.  Every job with
/// a task there is late by seconds, although begun anew elsewhere it would be done in time.
#[test]
fn a_task_far_behind_on_a_slow_minion_is_begun_anew_elsewhere() {
    let mut world = World::new(2);
    for job in 1..=2 {
        world.submit(job, definition(vec![Step { estimate_ms: 1000, ..step(1) }]));
    }
    let started = world.start_all();
    assert_eq!(started[0].0, started[1].0, "both on one minion");
    for percent in [5, 10, 14] {
        progress(&mut world, &started, percent);
    }
    assert_eq!(stops(&world.plan()).len(), 2);
    let (minion, name, run) = started[0].clone();
    world.end(&minion, name, run, How::Stopped);
    let again = starts(&world.plan());
    assert_eq!(again[0].1, name);
    assert_ne!(again[0].0, minion);
}

/// A job's estimate is a sixth of what its tasks take.  They look slow wherever they run; begun
/// anew each time, they would never be done, and their caller would wait for ever.
#[test]
fn a_job_with_a_wrong_estimate_is_left_to_finish() {
    let mut world = World::new(3);
    world.submit(1, definition(vec![Step { estimate_ms: 1000, ..step(20) }]));
    let started = world.start_all();
    for percent in [5, 10, 14, 20] {
        progress(&mut world, &started, percent);
        assert!(stops(&world.plan()).is_empty());
    }
}

#[test]
fn a_task_is_begun_anew_once_at_most() {
    let mut world = World::new(3);
    for job in 1..=2 {
        world.submit(job, definition(vec![Step { estimate_ms: 1000, ..step(1) }]));
    }
    let mut started = world.start_all();
    let mut stopped = 0;
    for _ in 0..4 {
        for percent in [5, 10, 14] {
            progress(&mut world, &started, percent);
        }
        let orders = stops(&world.plan());
        stopped += orders.len();
        for (minion, name, run) in orders {
            world.end(&minion, name, run, How::Stopped);
            started.retain(|start| start.1 != name);
        }
        started.extend(world.start_all());
    }
    assert_eq!(stopped, 2, "each task once");
}

#[test]
fn a_task_in_time_is_left_where_it_is() {
    let mut world = World::new(2);
    world.submit(1, definition(vec![Step { estimate_ms: 1000, ..step(1) }]));
    let (minion, name, run) = world.start_all().remove(0);
    for percent in [20, 40, 60] {
        world.pass(400);
        let report = Report {
            running: vec![running(name, run, percent)],
            finished: vec![],
            ..Report::default()
        };
        world.cell.report(&minion, &report, world.now, world.now);
        assert!(world.plan().is_empty());
    }
}

/// A job is never done, though its minions idle.  A run whose start was carried out late was found where
/// it had been given up, after a newer run had failed elsewhere; when it ended, its end was taken for that
/// of an older run, and the task counted as placed for ever.
#[test]
fn the_end_of_a_late_run_lets_its_task_start_again() {
    let mut world = World::new(2);
    world.submit(1, definition(vec![step(1)]));
    let (first, name, run) = world.start_all().remove(0);
    world.cell.missed(&first, world.now);
    let (second, _, newer) = world.start_all().remove(0);
    assert!(second != first && newer > run);
    world.end(&second, name, newer, How::Failed);
    let number = (0..2).find(|number| World::minion(*number) == first).expect("one of two");
    world.answer(number, Report { running: vec![running(name, run, 10)], ..Report::default() });
    assert_eq!(starts(&world.plan()), [], "it runs");
    world.end(&first, name, run, How::Stopped);
    let again = world.start_all();
    assert!(again.iter().any(|(_, task, number)| *task == name && *number > newer), "{again:?}");
}

/// The same, when the late run's lease lapses and no end of it is ever listed.
#[test]
fn a_late_run_that_lapses_lets_its_task_start_again() {
    let mut world = World::new(2);
    world.submit(1, definition(vec![step(1)]));
    let (first, name, run) = world.start_all().remove(0);
    world.cell.missed(&first, world.now);
    let (second, _, newer) = world.start_all().remove(0);
    world.end(&second, name, newer, How::Failed);
    let number = (0..2).find(|number| World::minion(*number) == first).expect("one of two");
    world.answer(number, Report { running: vec![running(name, run, 10)], ..Report::default() });
    world.cell.missed(&first, world.now);
    let again = starts(&world.plan_kept());
    assert!(again.iter().any(|(_, task, number)| *task == name && *number > newer), "{again:?}");
}

/// A caller's job stands still while minions idle, and no line tells why.  Its task would fit, but each
/// minion is kept from it by another guard.
#[test]
fn a_job_that_could_run_and_does_not_is_noted_with_what_keeps_it() {
    let mut world = World::new(3);
    world.cell.set_leaving(&World::minion(0), true);
    world.cell.missed(&World::minion(1), world.now);
    world.cell.unlist(&World::minion(2));
    world.submit(1, definition(vec![step(1)]));
    world.plan();
    world.pass(1100);
    world.plan();
    let notes = world.cell.take_notes();
    let idle = notes.iter().find_map(|note| match note {
        Note::Idle { task, placed: None, guards } => Some((*task, guards.clone())),
        _ => None,
    });
    let (name, guards) = idle.expect("is noted");
    assert_eq!(name, task(1, 0, 0));
    let said: Vec<Guard> = guards.into_iter().map(|(_, guard)| guard).collect();
    assert_eq!(said, [Guard::Leaving, Guard::Unreachable, Guard::Unlisted]);
    world.plan();
    assert_eq!(world.cell.take_notes(), [], "once a second at most");
}

/// A job is never done where minions stop runs within 0.2 s: a start isn't answered, its stop is confirmed,
/// and the next look at the idle minion, which would show that nothing runs, is due a second later.  Before
/// that the stop was ordered again, and its confirmation forgotten, again and again.
#[test]
fn a_confirmed_stop_stays_confirmed_until_the_next_look() {
    let settings = Settings { stop_timeout: Duration::from_millis(200), ..Settings::default() };
    let mut world = World::with_cell(Cell::new(settings, 0, None), 1);
    world.submit(1, definition(vec![step(1)]));
    let (minion, name, run) = starts(&world.plan()).remove(0);
    world.cell.start_result(&minion, &name, run, StartResult::Unknown, world.now);
    // No look is answered either, so the stop is sent unseen.
    world.pass(900);
    for _ in 0..4 {
        if !stops(&world.plan()).is_empty() {
            world.cell.stop_confirmed(&minion, &name, run, world.now);
        }
        world.pass(500);
        world.plan();
    }
    world.answer(0, Report::default());
    assert_eq!(starts(&world.plan()).len(), 1, "the run never began and never will");
}

/// A minion carries a start out and only its answer is lost.  Stopped unseen, the work was thrown away, and
/// the users of a lasting task lost it while others of its step were away.
#[test]
fn a_run_whose_start_was_not_answered_goes_on_if_its_minion_lists_it() {
    let mut world = World::new(2);
    world.submit(1, definition(vec![step(1)]));
    let (minion, name, run) = starts(&world.plan()).remove(0);
    world.pass(300);
    world.cell.start_result(&minion, &name, run, StartResult::Unknown, world.now);
    let report = Report { running: vec![running(name, run, 10)], ..Report::default() };
    world.cell.report(&minion, &report, world.now, world.now);
    world.pass(1000);
    assert!(world.plan().is_empty());
    let end = world.end(&minion, name, run, How::Done);
    assert_eq!(end, 1);
    world.keep();
    assert_eq!(world.cell.state(&id(1)), Some(State::Completed));
}

/// The same, and the minion answers no look: the stop is sent unseen, so that the task isn't held back
/// until the lease lapses.
#[test]
fn an_unanswered_start_is_stopped_unseen_when_no_look_is_answered() {
    let mut world = World::new(2);
    world.submit(1, definition(vec![step(1)]));
    let (minion, name, run) = starts(&world.plan()).remove(0);
    world.cell.start_result(&minion, &name, run, StartResult::Unknown, world.now);
    world.pass(800);
    assert!(stops(&world.plan()).is_empty());
    world.pass(100);
    assert_eq!(stops(&world.plan()), [(minion, name, run)]);
}

/// An owner is late with its looks for three seconds, and a task went on all the while.  Taken for hanging
/// by the age of the last news, it was stopped, and its minion left out.
#[test]
fn a_run_without_news_is_not_taken_for_one_that_stands_still() {
    let mut world = World::new(1);
    world.submit(1, definition(vec![Step { estimate_ms: 600, ..step(1) }]));
    let (minion, name, run) = world.start_all().remove(0);
    world.pass(3000);
    assert!(stops(&world.plan()).is_empty());
    let report = Report { running: vec![running(name, run, 50)], ..Report::default() };
    world.cell.report(&minion, &report, world.now, world.now);
    assert!(stops(&world.plan()).is_empty());
}
