//! Tests of runs: unanswered orders, expired leases, failing and hanging minions.

use crate::fixture::*;
use celerythread_engine::cell::{
    Blocker, Cell, EndReason, Event, Permit, Refusal, Report, Settings, StartResult,
};
use celerythread_engine::job::{State, Step};
use std::collections::BTreeSet;
use std::time::Duration;

/// Guards against running a task twice when its start isn't answered and is executed seconds later.
/// The task starts elsewhere only after its minion has confirmed a stop, after which the run can't
/// begin, and has then reported that it doesn't run the task.
#[test]
fn an_unanswered_start_is_stopped_before_the_task_starts_elsewhere() {
    let mut harness = Harness::new(2);
    harness.submit(1, definition(vec![step(1)]));
    let (minion, name, run) = starts(&harness.plan()).remove(0);
    harness.cell.process_start_result(&minion, &name, run, StartResult::Unknown, harness.now);
    assert!(harness.plan().is_empty(), "a poll comes first");
    harness.cell.process_report(&minion, &Report::default(), harness.now, harness.now);
    let orders = harness.plan();
    assert_eq!(stops(&orders), [(minion.clone(), name, run)]);
    assert!(starts(&orders).is_empty());
    // A report from before the confirmation proves nothing.
    harness.cell.process_report(&minion, &Report::default(), harness.now, harness.now);
    assert!(starts(&harness.plan()).is_empty());
    harness.advance_ms(10);
    harness.cell.confirm_stop(&minion, &name, run, harness.now);
    harness.advance_ms(10);
    harness.cell.process_report(&minion, &Report::default(), harness.now, harness.now);
    let again = starts(&harness.plan());
    assert_eq!(again[0].1, name);
    assert!(again[0].2 > run);
}

/// Guards against a run that continues forever because its stop was lost.
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

/// A disconnected minion continues its runs until its lease expires.  Restarted before that, its
/// tasks would run twice; never restarted, their jobs would be lost.
#[test]
fn runs_of_a_silent_minion_are_requeued_after_their_lease_has_expired() {
    let mut harness = Harness::new(2);
    harness.submit(1, definition(vec![step(1)]));
    let (minion, name, run) = harness.start_all().remove(0);
    let expiry = harness.now + Duration::from_millis(5000);
    harness.cell.extend_lease_expiry(&minion, expiry);
    harness.cell.record_missed_answer(&minion, harness.now);
    harness.advance_ms(4999);
    assert!(starts(&harness.plan()).is_empty());
    harness.advance_ms(1);
    let again = starts(&harness.plan());
    assert_eq!(again[0].1, name);
    assert!(again[0].2 > run);
    assert_ne!(again[0].0, minion);
}

/// Guards against starts by an owner that may have lost the cell.  After a network partition, its
/// successor may run the tasks whose leases this owner considers expired.
#[test]
fn without_leave_to_start_nothing_is_started() {
    let mut harness = Harness::new(1);
    harness.submit(1, definition(vec![step(1)]));
    assert!(harness.cell.plan(harness.now, harness.now.0, Permit::Nothing).is_empty());
    assert_eq!(starts(&harness.plan()).len(), 1);
}

/// When another incarnation answers at the minion's address, all its runs have ended.  Waiting for
/// their lease would only delay callers.
#[test]
fn runs_of_a_terminated_minion_start_elsewhere_at_once() {
    let mut harness = Harness::new(2);
    harness.submit(1, definition(vec![step(1)]));
    let (minion, name, _) = harness.start_all().remove(0);
    harness.cell.remove_terminated_minion(&minion, harness.now);
    assert_eq!(starts(&harness.plan_and_store())[0].1, name);
}

/// Guards against a minion on which every task fails.  It always has free capacity, so task after
/// task is placed on it and many jobs fail.
#[test]
fn a_minion_that_fails_two_jobs_in_a_row_is_quarantined() {
    let mut harness = Harness::new(2);
    for job in 1..=2 {
        harness.submit(job, definition(vec![step(1)]));
    }
    let started = harness.start_all();
    assert_eq!(started[0].0, started[1].0, "both are placed on one minion");
    for (minion, name, run) in &started {
        harness.report_end(minion, *name, *run, EndReason::Failed);
    }
    harness.submit(3, definition(vec![step(20)]));
    let bad = &started[0].0;
    assert!(harness.start_all().iter().all(|(minion, _, _)| minion != bad));
    harness.advance_ms(2001);
    assert!(harness.start_all().iter().any(|(minion, _, _)| minion == bad));
}

/// Guards against a minion that hangs: it answers and lists its runs, but makes no progress.  Only
/// the unchanged percentage shows that.
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
        harness.cell.process_report(&minion, &report, harness.now, harness.now);
        assert!(stops(&harness.plan()).is_empty());
    }
    harness.advance_ms(2100);
    let report =
        Report { running: vec![running(name, run, 80)], finished: vec![], ..Report::default() };
    harness.cell.process_report(&minion, &report, harness.now, harness.now);
    assert_eq!(stops(&harness.plan()), [(minion.clone(), name, run)]);
    harness.report_end(&minion, name, run, EndReason::Stopped);
    assert!(starts(&harness.plan()).iter().all(|(place, _, _)| *place != minion));
}

/// Guards against quarantining minion after minion as hung because one task stalls wherever it
/// runs.  All other tasks then waited for capacity while those minions were idle.
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
            harness.cell.process_report(&minion, &report, harness.now, harness.now);
        }
        assert_eq!(stops(&harness.plan()), [(minion.clone(), name, run)]);
        harness.report_end(&minion, name, run, EndReason::Stopped);
        stalled_on.insert(minion);
    }
    harness.submit(2, definition(vec![step(48)]));
    let used: BTreeSet<_> = harness.start_all().into_iter().map(|(minion, ..)| minion).collect();
    assert_eq!(used.len(), 3, "of three minions, only {used:?} are used");
}

#[test]
fn a_start_refused_for_lack_of_capacity_waits_for_the_next_report() {
    let mut harness = Harness::new(1);
    harness.submit(1, definition(vec![step(1)]));
    let (minion, name, run) = starts(&harness.plan()).remove(0);
    let refused = StartResult::Refused(Refusal::NoRoom);
    harness.cell.process_start_result(&minion, &name, run, refused, harness.now);
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
    harness.report_end(minion, *name, *run, EndReason::Done);
    assert_eq!(starts(&harness.plan()).len(), 1);
}

#[test]
fn a_long_running_task_is_restarted_however_it_ends() {
    let mut harness = Harness::new(3);
    let long_running = Step { long_running: true, max_unavailable: Some(1), ..step(1) };
    harness.submit(1, definition(vec![long_running]));
    for how in [
        EndReason::Done,
        EndReason::Failed,
        EndReason::Failed,
        EndReason::Failed,
        EndReason::Expired,
    ] {
        let (minion, name, run) = harness.start_all().remove(0);
        harness.report_end(&minion, name, run, how);
        harness.advance_ms(150);
    }
    assert_eq!(harness.start_all().len(), 1);
}

/// Guards against breaking a service's availability budget when machines are emptied for
/// maintenance.  A task isn't stopped while a moved one of the same service is still starting.
#[test]
fn long_running_tasks_are_evacuated_within_max_unavailable() {
    let mut harness = Harness::new(6);
    let long_running =
        Step { long_running: true, max_unavailable: Some(1), max_per_minion: Some(1), ..step(3) };
    harness.submit(1, definition(vec![long_running]));
    let started = harness.start_all();
    let report = |harness: &mut Harness, start: &(std::sync::Arc<str>, _, u32), percent| {
        let running = vec![running(start.1, start.2, percent)];
        let report = Report { running, finished: vec![], ..Report::default() };
        harness.advance_ms(1);
        harness.cell.process_report(&start.0, &report, harness.now, harness.now);
    };
    for start in &started {
        report(&mut harness, start, 100);
    }
    harness.cell.set_leaving(&started[0].0, true);
    harness.cell.set_leaving(&started[1].0, true);
    let first = stops(&harness.plan());
    assert_eq!(first.len(), 1);
    let (minion, name, run) = first[0].clone();
    harness.report_end(&minion, name, run, EndReason::Stopped);
    let moved = harness.start_all().remove(0);
    report(&mut harness, &moved, 40);
    assert!(stops(&harness.plan()).is_empty(), "the moved one is not fully at work yet");
    report(&mut harness, &moved, 100);
    assert_eq!(stops(&harness.plan()).len(), 1);
}

/// Guards against starvation of a long-running task that needs several cores at once.  During a
/// burst of small tasks, each core that becomes free would go to the next small task.
#[test]
fn a_lasting_task_gets_room_although_smaller_tasks_wait_for_it() {
    let mut harness = Harness::new(1);
    harness.submit(1, definition(vec![step(100)]));
    let mut active = harness.start_all();
    let need = celerythread_engine::job::Resources { cpu: 3000, memory_mb: 512, gpu: 0 };
    let long_running = Step { long_running: true, need, ..step(1) };
    harness.submit(2, definition(vec![long_running]));
    for _ in 0..3 {
        let (minion, name, run) = active.remove(0);
        harness.report_end(&minion, name, run, EndReason::Done);
        active.extend(harness.start_all());
    }
    assert!(active.iter().any(|(_, name, _)| name.job == id(2)));
}

/// Guards against a deadlock in a maintenance wave that empties all minions of a pool but one,
/// which is full.  A long-running task that fails finds no capacity although the minion that it ran
/// on has some.  While it is unavailable, its service's other tasks may not be stopped, so the wave
/// stalls as well.
#[test]
fn a_lasting_task_returns_to_a_minion_that_is_being_emptied_if_nothing_else_has_room() {
    let mut harness = Harness::new(2);
    let need = celerythread_engine::job::Resources { cpu: 16_000, memory_mb: 512, gpu: 0 };
    let long_running = Step { long_running: true, max_unavailable: Some(1), ..step(2) };
    harness.submit(1, definition(vec![long_running]));
    let started = harness.start_all();
    let (home, full) = (started[0].0.clone(), Harness::minion(1));
    assert!(started.iter().all(|start| start.0 == home));
    harness.submit(2, definition(vec![Step { need, ..step(1) }]));
    assert_eq!(harness.start_all()[0].0, full);

    harness.cell.set_leaving(&home, true);
    harness.report_end(&home, started[0].1, started[0].2, EndReason::Failed);
    report_progress(&mut harness, &started[1..], 100);
    assert!(harness.start_all().is_empty(), "room may still become free elsewhere");
    (0..3).for_each(|_| report_progress(&mut harness, &started[1..], 100));
    let again = harness.start_all();
    assert_eq!(again[0].0, home);

    // Once empty, the minion may be shut down at any time.
    harness.report_end(&home, again[0].1, again[0].2, EndReason::Failed);
    harness.report_end(&home, started[1].1, started[1].2, EndReason::Failed);
    assert_eq!(harness.cell.load(harness.now).empty, [home.to_string()]);
    harness.advance_ms(3000);
    assert!(harness.start_all().is_empty());
}

/// Guards against placing all tasks of a long-running job on one minion, as packing alone would.
/// Its users would lose the whole service with that minion, and maintenance would have to wait
/// until the tasks have been moved one by one.
#[test]
fn the_tasks_of_a_lasting_job_are_spread() {
    let mut harness = Harness::new(6);
    let long_running = Step { long_running: true, ..step(6) };
    harness.submit(1, definition(vec![long_running.clone()]));
    harness.submit(2, definition(vec![long_running]));
    let started = harness.start_all();
    let minions: std::collections::BTreeSet<_> = started.iter().map(|start| &start.0).collect();
    assert_eq!(minions.len(), 3, "the second job uses the minions of the first one");
    for minion in minions {
        for job in [1, 2] {
            let here = started.iter().filter(|s| s.0 == *minion && s.1.job == id(job));
            assert_eq!(here.count(), 2);
        }
    }
}

/// Reports the same percentage for all `runs` on their minions, 400 ms after the last report.
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
        harness.cell.process_report(&minion, &report, harness.now, harness.now);
    }
}

/// Guards against a minion that is six times slower than the others but otherwise healthy.  Every
/// job with a task there would be late by seconds, although a restart elsewhere would complete in
/// time.
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
    harness.report_end(&minion, name, run, EndReason::Stopped);
    let again = starts(&harness.plan());
    assert_eq!(again[0].1, name);
    assert_ne!(again[0].0, minion);
}

/// Guards against runs that are stopped as stragglers because their orders waited to be sent, or
/// because the minions answered them late.
#[test]
fn a_run_that_began_late_is_no_straggler() {
    let mut harness = Harness::new(2);
    for job in 1..=2 {
        harness.submit(job, definition(vec![Step { estimate_ms: 1000, ..step(1) }]));
    }
    let started = starts(&harness.plan());
    assert_eq!(started[0].0, started[1].0, "both on one minion");
    harness.advance_ms(2500);
    for (minion, task, run) in &started {
        let result = StartResult::Started;
        harness.cell.process_start_result(minion, task, *run, result, harness.now);
    }
    for percent in [40, 80] {
        report_progress(&mut harness, &started, percent);
        assert!(stops(&harness.plan()).is_empty(), "at {percent} percent");
    }
}

/// Guards against restarting the tasks of a job forever because its estimate is a sixth of their
/// real duration and they look slow wherever they run.
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
            harness.report_end(&minion, name, run, EndReason::Stopped);
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
        harness.cell.process_report(&minion, &report, harness.now, harness.now);
        assert!(harness.plan().is_empty());
    }
}

/// Guards against a task that counts as placed forever, although its minions are idle.  A start was
/// executed late, after its task had been requeued and a newer run had failed elsewhere.  When the
/// late run ended, its end was ignored as that of an older run.
#[test]
fn the_end_of_a_late_run_lets_its_task_start_again() {
    let mut harness = Harness::new(2);
    harness.submit(1, definition(vec![step(1)]));
    let (first, name, run) = harness.start_all().remove(0);
    harness.cell.record_missed_answer(&first, harness.now);
    let (second, _, newer) = harness.start_all().remove(0);
    assert!(second != first && newer > run);
    harness.report_end(&second, name, newer, EndReason::Failed);
    let number = (0..2).find(|number| Harness::minion(*number) == first).expect("one of two");
    harness.answer(number, Report { running: vec![running(name, run, 10)], ..Report::default() });
    assert_eq!(starts(&harness.plan()), [], "the late one still runs");
    harness.report_end(&first, name, run, EndReason::Stopped);
    let again = harness.start_all();
    assert!(again.iter().any(|(_, task, number)| *task == name && *number > newer), "{again:?}");
}

/// As above, but the late run's lease expires and its end is never reported.
#[test]
fn a_late_run_that_lapses_lets_its_task_start_again() {
    let mut harness = Harness::new(2);
    harness.submit(1, definition(vec![step(1)]));
    let (first, name, run) = harness.start_all().remove(0);
    harness.cell.record_missed_answer(&first, harness.now);
    let (second, _, newer) = harness.start_all().remove(0);
    harness.report_end(&second, name, newer, EndReason::Failed);
    let number = (0..2).find(|number| Harness::minion(*number) == first).expect("one of two");
    harness.answer(number, Report { running: vec![running(name, run, 10)], ..Report::default() });
    harness.cell.record_missed_answer(&first, harness.now);
    let again = starts(&harness.plan_and_store());
    assert!(again.iter().any(|(_, task, number)| *task == name && *number > newer), "{again:?}");
}

/// A job that makes no progress while minions are idle is reported for the log, with the reason for
/// each minion.  Here its task fits on every minion, but a different condition excludes each of
/// them.
#[test]
fn an_idle_job_is_reported_with_its_blockers() {
    let mut harness = Harness::new(3);
    harness.cell.set_leaving(&Harness::minion(0), true);
    harness.cell.record_missed_answer(&Harness::minion(1), harness.now);
    harness.cell.mark_unlisted(&Harness::minion(2));
    harness.submit(1, definition(vec![step(1)]));
    harness.plan();
    harness.advance_ms(1100);
    harness.plan();
    let events = harness.cell.take_events();
    let idle = events.iter().find_map(|event| match event {
        Event::Idle { task, placed: None, blockers } => Some((*task, blockers.clone())),
        _ => None,
    });
    let (name, blockers) = idle.expect("the idle job");
    assert_eq!(name, task(1, 0, 0));
    let reasons: Vec<Blocker> = blockers.into_iter().map(|(_, guard)| guard).collect();
    assert_eq!(reasons, [Blocker::Leaving, Blocker::Unreachable, Blocker::Unlisted]);
    harness.plan();
    assert_eq!(harness.cell.take_events(), [], "once a second at most");
}

/// Guards against ordering a confirmed stop again and again with a stop timeout of 0.2 s.  A start
/// isn't answered and its stop is confirmed, but the next poll of the idle minion, which shows that
/// nothing runs, is due a second later.  Each new order discarded the confirmation, so the job
/// never completed.
#[test]
fn a_confirmed_stop_stays_confirmed_until_the_next_look() {
    let settings = Settings { stop_timeout: Duration::from_millis(200), ..Settings::default() };
    let mut harness = Harness::with_cell(Cell::new(settings, 0, None), 1);
    harness.submit(1, definition(vec![step(1)]));
    let (minion, name, run) = starts(&harness.plan()).remove(0);
    harness.cell.process_start_result(&minion, &name, run, StartResult::Unknown, harness.now);
    // No poll is answered either, so the stop is sent without knowing whether the task runs.
    harness.advance_ms(900);
    for _ in 0..4 {
        if !stops(&harness.plan()).is_empty() {
            harness.cell.confirm_stop(&minion, &name, run, harness.now);
        }
        harness.advance_ms(500);
        harness.plan();
    }
    harness.answer(0, Report::default());
    assert_eq!(starts(&harness.plan()).len(), 1, "the run never began and never will");
}

/// Guards against stopping a run when only the answer to its start was lost.  The work done was
/// discarded, and a long-running task was stopped while others of its step were unavailable.
#[test]
fn a_run_whose_start_was_not_answered_goes_on_if_its_minion_lists_it() {
    let mut harness = Harness::new(2);
    harness.submit(1, definition(vec![step(1)]));
    let (minion, name, run) = starts(&harness.plan()).remove(0);
    harness.advance_ms(300);
    harness.cell.process_start_result(&minion, &name, run, StartResult::Unknown, harness.now);
    let report = Report { running: vec![running(name, run, 10)], ..Report::default() };
    harness.cell.process_report(&minion, &report, harness.now, harness.now);
    harness.advance_ms(1000);
    assert!(harness.plan().is_empty());
    let end = harness.report_end(&minion, name, run, EndReason::Done);
    assert_eq!(end, 1);
    harness.store_progress();
    assert_eq!(harness.cell.state(&id(1)), Some(State::Completed));
}

/// As above, but the minion answers no poll.  The stop is sent without knowing whether the task
/// runs, so that the task doesn't have to wait until the lease expires.
#[test]
fn an_unanswered_start_is_stopped_unseen_when_no_look_is_answered() {
    let mut harness = Harness::new(2);
    harness.submit(1, definition(vec![step(1)]));
    let (minion, name, run) = starts(&harness.plan()).remove(0);
    harness.cell.process_start_result(&minion, &name, run, StartResult::Unknown, harness.now);
    harness.advance_ms(800);
    assert!(stops(&harness.plan()).is_empty());
    harness.advance_ms(100);
    assert_eq!(stops(&harness.plan()), [(minion, name, run)]);
}

/// Guards against treating a run as stalled because its owner was three seconds late with its
/// polls.  Judged by the age of the last report, a task that made progress was stopped and its
/// minion was quarantined.
#[test]
fn a_run_without_news_is_not_taken_for_one_that_stands_still() {
    let mut harness = Harness::new(1);
    harness.submit(1, definition(vec![Step { estimate_ms: 600, ..step(1) }]));
    let (minion, name, run) = harness.start_all().remove(0);
    harness.advance_ms(3000);
    assert!(stops(&harness.plan()).is_empty());
    let report = Report { running: vec![running(name, run, 50)], ..Report::default() };
    harness.cell.process_report(&minion, &report, harness.now, harness.now);
    assert!(stops(&harness.plan()).is_empty());
}
