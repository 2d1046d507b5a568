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
fn an_unanswered_start_is_stopped_before_the_task_starts_elsewhere() {
    let mut harness = Harness::new(2);
    harness.submit(1, definition(vec![step(1)]));
    let (minion, name, run) = starts(&harness.plan()).remove(0);
    harness.cell.start_result(&minion, &name, run, StartResult::Unknown, harness.now);
    assert!(harness.plan().is_empty(), "a look comes first");
    harness.cell.report(&minion, &Report::default(), harness.now, harness.now);
    let orders = harness.plan();
    assert_eq!(stops(&orders), [(minion.clone(), name, run)]);
    assert!(starts(&orders).is_empty());
    // A report from before the confirmation proves nothing.
    harness.cell.report(&minion, &Report::default(), harness.now, harness.now);
    assert!(starts(&harness.plan()).is_empty());
    harness.advance_ms(10);
    harness.cell.stop_confirmed(&minion, &name, run, harness.now);
    harness.advance_ms(10);
    harness.cell.report(&minion, &Report::default(), harness.now, harness.now);
    let again = starts(&harness.plan());
    assert_eq!(again[0].1, name);
    assert!(again[0].2 > run);
}

/// An unanswered stop may be lost, and the run would then go on unseen for ever.
#[test]
fn an_unanswered_stop_is_ordered_again() {
    let mut harness = Harness::new(1);
    harness.submit(1, definition(vec![step(1)]));
    harness.start_all();
    harness.cell.cancel(&id(1), harness.now);
    assert_eq!(stops(&harness.plan()).len(), 1);
    assert!(stops(&harness.plan()).is_empty());
    harness.advance_ms(800);
    assert_eq!(stops(&harness.plan()).len(), 1);
}

/// A minion is cut off and runs on until its lease lapses.  Restarted before, its tasks would
/// run twice; never restarted, their jobs would be lost.
#[test]
fn runs_of_a_silent_minion_are_given_up_after_their_lease_has_lapsed() {
    let mut harness = Harness::new(2);
    harness.submit(1, definition(vec![step(1)]));
    let (minion, name, run) = harness.start_all().remove(0);
    let lapse = harness.now + Duration::from_millis(5000);
    harness.cell.promise(&minion, lapse);
    harness.cell.missed(&minion, harness.now);
    harness.advance_ms(4999);
    assert!(starts(&harness.plan()).is_empty());
    harness.advance_ms(1);
    let again = starts(&harness.plan());
    assert_eq!(again[0].1, name);
    assert!(again[0].2 > run);
    assert_ne!(again[0].0, minion);
}

/// Whoever can't be sure to own the cell still must not start anything: after a cut its
/// successor may run what this owner sees lapse.
#[test]
fn without_leave_to_start_nothing_is_started() {
    let mut harness = Harness::new(1);
    harness.submit(1, definition(vec![step(1)]));
    assert!(harness.cell.plan(harness.now, harness.now.0, Permit::Nothing).is_empty());
    assert_eq!(starts(&harness.plan()).len(), 1);
}

/// Another life of the minion answers at its address: what ran there is over at once, and
/// waiting for a lease would only keep callers waiting.
#[test]
fn runs_of_a_terminated_minion_start_elsewhere_at_once() {
    let mut harness = Harness::new(2);
    harness.submit(1, definition(vec![step(1)]));
    let (minion, name, _) = harness.start_all().remove(0);
    harness.cell.bury(&minion, harness.now);
    assert_eq!(starts(&harness.plan_and_store())[0].1, name);
}

/// A minion that fails whatever it starts is always free and draws task after task; the
/// callers of many jobs see them fail.
#[test]
fn a_minion_that_fails_two_jobs_in_a_row_is_quarantined() {
    let mut harness = Harness::new(2);
    for job in 1..=2 {
        harness.submit(job, definition(vec![step(1)]));
    }
    let started = harness.start_all();
    assert_eq!(started[0].0, started[1].0, "packed on one minion");
    for (minion, name, run) in &started {
        harness.report_end(minion, *name, *run, How::Failed);
    }
    harness.submit(3, definition(vec![step(20)]));
    let bad = &started[0].0;
    assert!(harness.start_all().iter().all(|(minion, _, _)| minion != bad));
    harness.advance_ms(2001);
    assert!(harness.start_all().iter().any(|(minion, _, _)| minion == bad));
}

/// A minion hangs: it answers and lists its runs, and nothing goes on.  Only the standing
/// percentage shows it.
#[test]
fn a_stalled_run_is_stopped_and_its_minion_quarantined() {
    let mut harness = Harness::new(2);
    harness.submit(1, definition(vec![Step { estimate_ms: 2000, ..step(1) }]));
    let (minion, name, run) = harness.start_all().remove(0);
    for percent in [40, 80] {
        harness.advance_ms(1000);
        let report = Report {
            running: vec![running(name, run, percent)],
            finished: vec![],
            ..Report::default()
        };
        harness.cell.report(&minion, &report, harness.now, harness.now);
        assert!(stops(&harness.plan()).is_empty());
    }
    harness.advance_ms(2100);
    let report =
        Report { running: vec![running(name, run, 80)], finished: vec![], ..Report::default() };
    harness.cell.report(&minion, &report, harness.now, harness.now);
    assert_eq!(stops(&harness.plan()), [(minion.clone(), name, run)]);
    harness.report_end(&minion, name, run, How::Stopped);
    assert!(starts(&harness.plan()).iter().all(|(place, _, _)| *place != minion));
}

/// A task stands still wherever it runs.  Each minion that had it was left out as if it hung, one after the
/// other, and callers of everything else waited for room beside idle minions.
#[test]
fn a_task_that_stands_still_everywhere_leaves_no_minions_out() {
    let mut harness = Harness::new(3);
    harness.submit(1, definition(vec![step(1)]));
    let mut stalled_on = BTreeSet::new();
    while stalled_on.len() < 3 {
        let (minion, name, run) = harness.start_all().remove(0);
        for _ in 0..2 {
            harness.advance_ms(1600);
            let report = Report {
                running: vec![running(name, run, 50)],
                finished: vec![],
                ..Report::default()
            };
            harness.cell.report(&minion, &report, harness.now, harness.now);
        }
        assert_eq!(stops(&harness.plan()), [(minion.clone(), name, run)]);
        harness.report_end(&minion, name, run, How::Stopped);
        stalled_on.insert(minion);
    }
    harness.submit(2, definition(vec![step(48)]));
    let used: BTreeSet<_> = harness.start_all().into_iter().map(|(minion, ..)| minion).collect();
    assert_eq!(used.len(), 3, "of three minions {used:?} take work");
}

#[test]
fn a_start_without_room_waits_for_the_next_report() {
    let mut harness = Harness::new(1);
    harness.submit(1, definition(vec![step(1)]));
    let (minion, name, run) = starts(&harness.plan()).remove(0);
    let refused = StartResult::Refused(Refusal::NoRoom);
    harness.cell.start_result(&minion, &name, run, refused, harness.now);
    assert!(starts(&harness.plan()).is_empty());
    harness.advance_ms(200);
    assert_eq!(starts(&harness.plan()).len(), 1);
}

#[test]
fn capacity_is_never_exceeded_and_is_freed_when_a_run_ends() {
    let mut harness = Harness::new(1);
    harness.submit(1, definition(vec![step(17)]));
    let started = harness.start_all();
    assert_eq!(started.len(), 16);
    let (minion, name, run) = &started[0];
    harness.report_end(minion, *name, *run, How::Done);
    assert_eq!(starts(&harness.plan()).len(), 1);
}

#[test]
fn a_long_running_task_is_restarted_however_it_ends() {
    let mut harness = Harness::new(3);
    let lasting = Step { long_running: true, max_unavailable: Some(1), ..step(1) };
    harness.submit(1, definition(vec![lasting]));
    for how in [How::Done, How::Failed, How::Failed, How::Failed, How::Expired] {
        let (minion, name, run) = harness.start_all().remove(0);
        harness.report_end(&minion, name, run, how);
        harness.advance_ms(150);
    }
    assert_eq!(harness.start_all().len(), 1);
}

/// A machine is due for maintenance and runs a task of a service that may miss one.  Taken away
/// while another of its tasks is still starting, the service falls below its budget.
#[test]
fn long_running_tasks_are_evacuated_within_max_unavailable() {
    let mut harness = Harness::new(6);
    let lasting =
        Step { long_running: true, max_unavailable: Some(1), max_per_minion: Some(1), ..step(3) };
    harness.submit(1, definition(vec![lasting]));
    let started = harness.start_all();
    let report = |harness: &mut Harness, start: &(std::sync::Arc<str>, _, u32), percent| {
        let running = vec![running(start.1, start.2, percent)];
        let report = Report { running, finished: vec![], ..Report::default() };
        harness.advance_ms(1);
        harness.cell.report(&start.0, &report, harness.now, harness.now);
    };
    for start in &started {
        report(&mut harness, start, 100);
    }
    harness.cell.set_leaving(&started[0].0, true);
    harness.cell.set_leaving(&started[1].0, true);
    let first = stops(&harness.plan());
    assert_eq!(first.len(), 1);
    let (minion, name, run) = first[0].clone();
    harness.report_end(&minion, name, run, How::Stopped);
    let moved = harness.start_all().remove(0);
    report(&mut harness, &moved, 40);
    assert!(stops(&harness.plan()).is_empty(), "the moved one is not at work yet");
    report(&mut harness, &moved, 100);
    assert_eq!(stops(&harness.plan()).len(), 1);
}

/// A lasting task lost its minion while a burst of small tasks keeps every core busy.  Each core
/// that comes free goes to the next small task, and the lasting one, which needs two at once,
/// stays away for as long as the burst.
#[test]
fn a_lasting_task_gets_room_although_smaller_tasks_wait_for_it() {
    let mut harness = Harness::new(1);
    harness.submit(1, definition(vec![step(100)]));
    let mut active = harness.start_all();
    let need = celerythread_engine::job::Resources { cpu: 3000, memory_mb: 512, gpu: 0 };
    let lasting = Step { long_running: true, need, ..step(1) };
    harness.submit(2, definition(vec![lasting]));
    for _ in 0..3 {
        let (minion, name, run) = active.remove(0);
        harness.report_end(&minion, name, run, How::Done);
        active.extend(harness.start_all());
    }
    assert!(active.iter().any(|(_, name, _)| name.job == id(2)));
}

/// A wave empties all minions of a pool but one, which is full.  A lasting task that has failed
/// finds no room and stays away for as long as the wave, although the minion it ran on has room;
/// and while it is away its service's other tasks may not leave, so the wave stands still as well.
#[test]
fn a_lasting_task_returns_to_a_minion_that_is_being_emptied_if_nothing_else_has_room() {
    let mut harness = Harness::new(2);
    let need = celerythread_engine::job::Resources { cpu: 16_000, memory_mb: 512, gpu: 0 };
    let lasting = Step { long_running: true, max_unavailable: Some(1), ..step(2) };
    harness.submit(1, definition(vec![lasting]));
    let started = harness.start_all();
    let (home, full) = (started[0].0.clone(), Harness::minion(1));
    assert!(started.iter().all(|start| start.0 == home));
    harness.submit(2, definition(vec![Step { need, ..step(1) }]));
    assert_eq!(harness.start_all()[0].0, full);

    harness.cell.set_leaving(&home, true);
    harness.report_end(&home, started[0].1, started[0].2, How::Failed);
    report_progress(&mut harness, &started[1..], 100);
    assert!(harness.start_all().is_empty(), "room elsewhere may still come");
    (0..3).for_each(|_| report_progress(&mut harness, &started[1..], 100));
    let again = harness.start_all();
    assert_eq!(again[0].0, home);

    // Once empty, it may go down at any moment.
    harness.report_end(&home, again[0].1, again[0].2, How::Failed);
    harness.report_end(&home, started[1].1, started[1].2, How::Failed);
    assert_eq!(harness.cell.load(harness.now).empty, [home.to_string()]);
    harness.advance_ms(3000);
    assert!(harness.start_all().is_empty());
}

/// The six tasks of a lasting job stand on one minion, because lasting tasks are packed.  With
/// that minion its users lose the whole service, and before maintenance of it the tasks have to
/// leave one after the other.
#[test]
fn the_tasks_of_a_lasting_job_are_spread() {
    let mut harness = Harness::new(6);
    let lasting = Step { long_running: true, ..step(6) };
    harness.submit(1, definition(vec![lasting.clone()]));
    harness.submit(2, definition(vec![lasting]));
    let started = harness.start_all();
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
fn report_progress(
    harness: &mut Harness,
    runs: &[(std::sync::Arc<str>, celerythread_engine::job::TaskName, u32)],
    percent: u8,
) {
    harness.advance_ms(400);
    let minions: std::collections::BTreeSet<_> = runs.iter().map(|run| run.0.clone()).collect();
    for minion in minions {
        let here = runs.iter().filter(|run| run.0 == minion);
        let running = here.map(|(_, name, run)| running(*name, *run, percent)).collect();
        let report = Report { running, finished: vec![], ..Report::default() };
        harness.cell.report(&minion, &report, harness.now, harness.now);
    }
}

/// One minion works six times as slowly as the others and looks well otherwise.  Every job with
/// a task there is late by seconds, although begun anew elsewhere it would be done in time.
#[test]
fn a_straggler_on_a_slow_minion_is_restarted_elsewhere() {
    let mut harness = Harness::new(2);
    for job in 1..=2 {
        harness.submit(job, definition(vec![Step { estimate_ms: 1000, ..step(1) }]));
    }
    let started = harness.start_all();
    assert_eq!(started[0].0, started[1].0, "both on one minion");
    for percent in [5, 10, 14] {
        report_progress(&mut harness, &started, percent);
    }
    assert_eq!(stops(&harness.plan()).len(), 2);
    let (minion, name, run) = started[0].clone();
    harness.report_end(&minion, name, run, How::Stopped);
    let again = starts(&harness.plan());
    assert_eq!(again[0].1, name);
    assert_ne!(again[0].0, minion);
}

/// A job's estimate is a sixth of what its tasks take.  They look slow wherever they run; begun
/// anew each time, they would never be done, and their caller would wait for ever.
#[test]
fn a_job_with_a_wrong_estimate_is_left_to_finish() {
    let mut harness = Harness::new(3);
    harness.submit(1, definition(vec![Step { estimate_ms: 1000, ..step(20) }]));
    let started = harness.start_all();
    for percent in [5, 10, 14, 20] {
        report_progress(&mut harness, &started, percent);
        assert!(stops(&harness.plan()).is_empty());
    }
}

#[test]
fn a_task_is_begun_anew_once_at_most() {
    let mut harness = Harness::new(3);
    for job in 1..=2 {
        harness.submit(job, definition(vec![Step { estimate_ms: 1000, ..step(1) }]));
    }
    let mut started = harness.start_all();
    let mut stopped = 0;
    for _ in 0..4 {
        for percent in [5, 10, 14] {
            report_progress(&mut harness, &started, percent);
        }
        let orders = stops(&harness.plan());
        stopped += orders.len();
        for (minion, name, run) in orders {
            harness.report_end(&minion, name, run, How::Stopped);
            started.retain(|start| start.1 != name);
        }
        started.extend(harness.start_all());
    }
    assert_eq!(stopped, 2, "each task once");
}

#[test]
fn a_task_on_schedule_is_not_moved() {
    let mut harness = Harness::new(2);
    harness.submit(1, definition(vec![Step { estimate_ms: 1000, ..step(1) }]));
    let (minion, name, run) = harness.start_all().remove(0);
    for percent in [20, 40, 60] {
        harness.advance_ms(400);
        let report = Report {
            running: vec![running(name, run, percent)],
            finished: vec![],
            ..Report::default()
        };
        harness.cell.report(&minion, &report, harness.now, harness.now);
        assert!(harness.plan().is_empty());
    }
}

/// A job is never done, though its minions idle.  A run whose start was carried out late was found where
/// it had been given up, after a newer run had failed elsewhere; when it ended, its end was taken for that
/// of an older run, and the task counted as placed for ever.
#[test]
fn the_end_of_a_late_run_lets_its_task_start_again() {
    let mut harness = Harness::new(2);
    harness.submit(1, definition(vec![step(1)]));
    let (first, name, run) = harness.start_all().remove(0);
    harness.cell.missed(&first, harness.now);
    let (second, _, newer) = harness.start_all().remove(0);
    assert!(second != first && newer > run);
    harness.report_end(&second, name, newer, How::Failed);
    let number = (0..2).find(|number| Harness::minion(*number) == first).expect("one of two");
    harness.answer(number, Report { running: vec![running(name, run, 10)], ..Report::default() });
    assert_eq!(starts(&harness.plan()), [], "it runs");
    harness.report_end(&first, name, run, How::Stopped);
    let again = harness.start_all();
    assert!(again.iter().any(|(_, task, number)| *task == name && *number > newer), "{again:?}");
}

/// The same, when the late run's lease lapses and no end of it is ever listed.
#[test]
fn a_late_run_that_lapses_lets_its_task_start_again() {
    let mut harness = Harness::new(2);
    harness.submit(1, definition(vec![step(1)]));
    let (first, name, run) = harness.start_all().remove(0);
    harness.cell.missed(&first, harness.now);
    let (second, _, newer) = harness.start_all().remove(0);
    harness.report_end(&second, name, newer, How::Failed);
    let number = (0..2).find(|number| Harness::minion(*number) == first).expect("one of two");
    harness.answer(number, Report { running: vec![running(name, run, 10)], ..Report::default() });
    harness.cell.missed(&first, harness.now);
    let again = starts(&harness.plan_and_store());
    assert!(again.iter().any(|(_, task, number)| *task == name && *number > newer), "{again:?}");
}

/// A caller's job stands still while minions idle, and no line tells why.  Its task would fit, but each
/// minion is kept from it by another guard.
#[test]
fn an_idle_job_is_noted_with_the_guards_that_block_it() {
    let mut harness = Harness::new(3);
    harness.cell.set_leaving(&Harness::minion(0), true);
    harness.cell.missed(&Harness::minion(1), harness.now);
    harness.cell.unlist(&Harness::minion(2));
    harness.submit(1, definition(vec![step(1)]));
    harness.plan();
    harness.advance_ms(1100);
    harness.plan();
    let notes = harness.cell.take_notes();
    let idle = notes.iter().find_map(|note| match note {
        Note::Idle { task, placed: None, guards } => Some((*task, guards.clone())),
        _ => None,
    });
    let (name, guards) = idle.expect("is noted");
    assert_eq!(name, task(1, 0, 0));
    let noted: Vec<Guard> = guards.into_iter().map(|(_, guard)| guard).collect();
    assert_eq!(noted, [Guard::Leaving, Guard::Unreachable, Guard::Unlisted]);
    harness.plan();
    assert_eq!(harness.cell.take_notes(), [], "once a second at most");
}

/// A job is never done where minions stop runs within 0.2 s: a start isn't answered, its stop is confirmed,
/// and the next look at the idle minion, which would show that nothing runs, is due a second later.  Before
/// that the stop was ordered again, and its confirmation forgotten, again and again.
#[test]
fn a_confirmed_stop_stays_confirmed_until_the_next_look() {
    let settings = Settings { stop_timeout: Duration::from_millis(200), ..Settings::default() };
    let mut harness = Harness::with_cell(Cell::new(settings, 0, None), 1);
    harness.submit(1, definition(vec![step(1)]));
    let (minion, name, run) = starts(&harness.plan()).remove(0);
    harness.cell.start_result(&minion, &name, run, StartResult::Unknown, harness.now);
    // No look is answered either, so the stop is sent unseen.
    harness.advance_ms(900);
    for _ in 0..4 {
        if !stops(&harness.plan()).is_empty() {
            harness.cell.stop_confirmed(&minion, &name, run, harness.now);
        }
        harness.advance_ms(500);
        harness.plan();
    }
    harness.answer(0, Report::default());
    assert_eq!(starts(&harness.plan()).len(), 1, "the run never began and never will");
}

/// A minion carries a start out and only its answer is lost.  Stopped unseen, the work was thrown away, and
/// the users of a lasting task lost it while others of its step were away.
#[test]
fn a_run_whose_start_was_not_answered_goes_on_if_its_minion_lists_it() {
    let mut harness = Harness::new(2);
    harness.submit(1, definition(vec![step(1)]));
    let (minion, name, run) = starts(&harness.plan()).remove(0);
    harness.advance_ms(300);
    harness.cell.start_result(&minion, &name, run, StartResult::Unknown, harness.now);
    let report = Report { running: vec![running(name, run, 10)], ..Report::default() };
    harness.cell.report(&minion, &report, harness.now, harness.now);
    harness.advance_ms(1000);
    assert!(harness.plan().is_empty());
    let end = harness.report_end(&minion, name, run, How::Done);
    assert_eq!(end, 1);
    harness.store_progress();
    assert_eq!(harness.cell.state(&id(1)), Some(State::Completed));
}

/// The same, and the minion answers no look: the stop is sent unseen, so that the task isn't held back
/// until the lease lapses.
#[test]
fn an_unanswered_start_is_stopped_unseen_when_no_look_is_answered() {
    let mut harness = Harness::new(2);
    harness.submit(1, definition(vec![step(1)]));
    let (minion, name, run) = starts(&harness.plan()).remove(0);
    harness.cell.start_result(&minion, &name, run, StartResult::Unknown, harness.now);
    harness.advance_ms(800);
    assert!(stops(&harness.plan()).is_empty());
    harness.advance_ms(100);
    assert_eq!(stops(&harness.plan()), [(minion, name, run)]);
}

/// An owner is late with its looks for three seconds, and a task went on all the while.  Taken for hanging
/// by the age of the last news, it was stopped, and its minion left out.
#[test]
fn a_run_without_news_is_not_taken_for_one_that_stands_still() {
    let mut harness = Harness::new(1);
    harness.submit(1, definition(vec![Step { estimate_ms: 600, ..step(1) }]));
    let (minion, name, run) = harness.start_all().remove(0);
    harness.advance_ms(3000);
    assert!(stops(&harness.plan()).is_empty());
    let report = Report { running: vec![running(name, run, 50)], ..Report::default() };
    harness.cell.report(&minion, &report, harness.now, harness.now);
    assert!(stops(&harness.plan()).is_empty());
}
