//! Tests of what an owner starts, stops and leaves running of a cancelled job.

use crate::fixture::*;
use celerythread_engine::cell::{
    End, EndReason, Incarnation, Listing, Refusal, Report, StartResult,
};
use celerythread_engine::job::{Definition, Schedule, State, Step, TaskName};
use std::time::Duration;

/// Time over which the plans after a cancellation are checked, longer than any quarantine and delay
/// before a restart.
const CHECKED_PLANS: u32 = 300;

/// Time between two checked plans.
const PLAN_INTERVAL_MS: u64 = 100;

/// What happens to the runs of a job after its cancellation.
#[derive(Clone, Copy, Debug)]
enum Loss {
    /// Their minions list an end.
    Ended(EndReason),
    /// Their starts are refused, or were not sent.
    Refused(Refusal),
    /// Their starts are not answered, and then their minions list no runs.
    Unanswered,
    /// Their minions stop answering, and the leases expire.
    LeaseExpired,
    /// Their minions terminate.
    Terminated,
    /// Their minions restart under the same id.
    Restarted,
}

const LOSSES: [Loss; 13] = [
    Loss::Ended(EndReason::Done),
    Loss::Ended(EndReason::Failed),
    Loss::Ended(EndReason::Stopped),
    Loss::Ended(EndReason::Expired),
    Loss::Ended(EndReason::PeerEnded),
    Loss::Ended(EndReason::PeersMissing),
    Loss::Refused(Refusal::Unhealthy),
    Loss::Refused(Refusal::NoRoom),
    Loss::Refused(Refusal::TooLate),
    Loss::Unanswered,
    Loss::LeaseExpired,
    Loss::Terminated,
    Loss::Restarted,
];

/// Definitions of jobs by kind, each with tasks that start at once.
fn definitions(now_ms: u64) -> Vec<(&'static str, Definition)> {
    let after = Step { after: [0].into_iter().collect(), ..step(2) };
    let schedule = Schedule { repetitions: 5, start_at_ms: now_ms, interval_ms: 2000 };
    vec![
        ("steps", definition(vec![step(2), after])),
        ("gang", definition(vec![Step { gang: true, ..step(4) }])),
        ("copies", definition(vec![Step { speculative: true, ..step(2) }])),
        ("long-running", definition(vec![Step { long_running: true, ..step(2) }])),
        ("repeated", Definition { schedule: Some(schedule), ..definition(vec![step(1)]) }),
    ]
}

impl Harness {
    fn lose(&mut self, loss: Loss, runs: &[(std::sync::Arc<str>, TaskName, u32)]) {
        for (minion, task, run) in runs {
            match loss {
                Loss::Ended(reason) => {
                    self.report_end(minion, *task, *run, reason);
                }
                Loss::Refused(reason) => {
                    let result = StartResult::Refused(reason);
                    self.cell.process_start_result(minion, task, *run, result, self.now);
                }
                Loss::Unanswered => {
                    let result = StartResult::Unknown;
                    self.cell.process_start_result(minion, task, *run, result, self.now);
                    self.advance_ms(1);
                    self.cell.process_report(minion, &Report::default(), self.now, self.now);
                }
                Loss::LeaseExpired => self.cell.record_missed_answer(minion, self.now),
                Loss::Terminated => self.crash(minion),
                Loss::Restarted => {
                    let report = Report { incarnation: Some(Incarnation(2)), ..Report::default() };
                    self.advance_ms(1);
                    self.cell.process_report(minion, &report, self.now, self.now);
                }
            }
        }
    }
}

/// Guards against starting a task of a cancelled job again after its run has ended, was lost or was
/// never sent.
#[test]
fn nothing_of_a_cancelled_job_is_started_after_the_loss_of_its_runs() {
    for loss in LOSSES {
        for number in 0..definitions(0).len() {
            let mut harness = Harness::new(6);
            let answer = Report { incarnation: Some(Incarnation(1)), ..Report::default() };
            (0..6).for_each(|minion| {
                harness.answer(minion, answer.clone());
            });
            let (kind, definition) = definitions(harness.now.0).swap_remove(number);
            harness.submit(1, definition);
            let runs = match loss {
                Loss::Refused(_) | Loss::Unanswered => starts(&harness.plan()),
                _ => harness.start_all(),
            };
            assert!(!runs.is_empty(), "{kind}");
            let expiry = harness.now + Duration::from_millis(5000);
            (0..6).for_each(|minion| {
                harness.cell.extend_lease_expiry(&Harness::minion(minion), expiry);
            });
            harness.cell.cancel(&id(1), harness.now);
            harness.lose(loss, &runs);
            for _ in 0..CHECKED_PLANS {
                let orders = harness.plan_and_store();
                assert_eq!(starts(&orders), [], "{kind}, {loss:?}");
                harness.advance_ms(PLAN_INTERVAL_MS);
            }
            assert_eq!(harness.cell.state(&id(1)), Some(State::Cancelled), "{kind}, {loss:?}");
        }
    }
}

/// Submits a job of which one task fails as often as it may, while another one runs and the start of
/// a third one is not sent yet.  Returns the running and the ordered run.
fn fail_one_of_three(harness: &mut Harness) -> [(std::sync::Arc<str>, TaskName, u32); 2] {
    harness.submit(1, definition(vec![step(3)]));
    let [failing, running, ordered] = starts(&harness.plan()).try_into().unwrap();
    for (minion, task, run) in [&failing, &running] {
        let result = StartResult::Started;
        harness.cell.process_start_result(minion, task, *run, result, harness.now);
    }
    let (minion, task, run) = failing;
    harness.report_end(&minion, task, run, EndReason::Failed);
    let (minion, task, run) = harness.start_all().remove(0);
    harness.report_end(&minion, task, run, EndReason::Failed);
    assert_eq!(harness.cell.job(&id(1)).unwrap().state(), State::Failed);
    [running, ordered]
}

/// Guards against sending starts of a cancelled job, and against leaving its runs active, while the
/// store doesn't accept the outcome that the job had before the cancellation.
#[test]
fn a_job_that_is_cancelled_before_its_outcome_is_stored_starts_nothing_and_is_stopped() {
    let mut harness = Harness::new(1);
    let [running, ordered] = fail_one_of_three(&mut harness);
    let (minion, task, run) = &ordered;
    assert!(harness.cell.is_start_wanted(minion, task, *run), "a later owner resumes the job");
    assert_eq!(stops(&harness.plan()), []);
    harness.cell.cancel(&id(1), harness.now);
    assert!(!harness.cell.is_start_wanted(minion, task, *run));
    let mut stopped = stops(&harness.plan());
    stopped.sort();
    let mut expected = [running, ordered];
    expected.sort();
    assert_eq!(stopped, expected);
}

/// Guards against reporting a job as cancelled whose other outcome is being stored, since both would
/// be reported one after the other.
#[test]
fn a_job_that_is_cancelled_while_its_outcome_is_stored_keeps_the_outcome() {
    let mut harness = Harness::new(1);
    fail_one_of_three(&mut harness);
    harness.cell.cancel(&id(1), harness.now);
    assert_eq!(harness.cell.state(&id(1)), Some(State::Running));
    harness.store_progress();
    assert_eq!(harness.cell.state(&id(1)), Some(State::Failed));
}

/// Guards against adopting a run of a cancelled job whose outcome is not stored yet.
#[test]
fn a_run_found_of_a_job_that_was_cancelled_before_its_outcome_was_stored_is_stopped() {
    let mut harness = Harness::new(2);
    let [running, _] = fail_one_of_three(&mut harness);
    harness.cell.cancel(&id(1), harness.now);
    let (_, task, run) = running;
    harness.report_end(&running.0, task, run, EndReason::Expired);
    let orders = harness.answer(1, listing(task, run + 1));
    assert_eq!(stops(&orders), [(Harness::minion(1), task, run + 1)]);
}

fn listing(task: TaskName, run: u32) -> Report {
    Report { running: vec![running(task, run, 50)], ..Report::default() }
}

/// Guards against a run that goes on after its job was cancelled, ended and removed, on a minion that
/// answers again after a long time.
#[test]
fn a_run_of_a_removed_job_is_stopped_until_its_minion_lists_its_end() {
    let mut harness = Harness::new(1);
    harness.submit(1, definition(vec![step(1)]));
    let (minion, task, run) = harness.start_all().remove(0);
    harness.cell.record_missed_answer(&minion, harness.now);
    harness.cell.cancel(&id(1), harness.now);
    for _ in 0..2000 {
        harness.plan();
        harness.advance_ms(PLAN_INTERVAL_MS);
    }
    assert_eq!(harness.cell.remove_expired_jobs(harness.now), [id(1)]);
    assert!(harness.cell.job(&id(1)).is_none());
    let expected = [(minion.clone(), task, run)];
    assert_eq!(stops(&harness.answer(0, listing(task, run))), expected);
    // The stop isn't answered.
    harness.advance_ms(900);
    assert_eq!(stops(&harness.plan()), expected);
    harness.report_end(&minion, task, run, EndReason::Stopped);
    assert!(harness.cell.minion(&minion).unwrap().is_empty());
}

/// Guards against a run of a cancelled job that goes on because its stop never reached its minion,
/// which answers again after the lease was taken to have expired.
#[test]
fn a_run_whose_stop_was_never_sent_is_stopped_when_its_minion_answers_again() {
    let mut harness = Harness::new(1);
    harness.submit(1, definition(vec![step(1)]));
    let (minion, task, run) = harness.start_all().remove(0);
    let expiry = harness.now + Duration::from_millis(5000);
    harness.cell.extend_lease_expiry(&minion, expiry);
    harness.cell.cancel(&id(1), harness.now);
    harness.cell.record_missed_answer(&minion, harness.now);
    let expected = [(minion.clone(), task, run)];
    assert_eq!(stops(&harness.plan()), expected);
    harness.advance_ms(800);
    assert_eq!(stops(&harness.plan()), expected, "while the minion is silent");
    harness.advance_ms(5000);
    harness.plan();
    assert!(harness.cell.minion(&minion).unwrap().is_empty(), "the lease must have expired");
    assert_eq!(stops(&harness.answer(0, listing(task, run))), expected);
    harness.advance_ms(800);
    assert_eq!(stops(&harness.plan()), expected);
    let end = End { number: 1, task, run, reason: EndReason::Stopped, checkpoint: None };
    harness.answer(0, Report { finished: vec![end], ..Report::default() });
    assert!(harness.cell.minion(&minion).unwrap().is_empty());
    assert!(harness.plan().is_empty());
}

/// Guards against starting a task on a minion that is about to shut down, by a start that was ordered
/// before and waited for others.
#[test]
fn a_start_that_was_not_sent_is_dropped_when_its_minion_drains() {
    let mut harness = Harness::new(1);
    harness.submit(1, definition(vec![step(1)]));
    let ordered = starts(&harness.plan());
    let (minion, task, run) = &ordered[0];
    assert!(harness.cell.is_start_wanted(minion, task, *run));
    let listing = harness.cell.minion(minion).unwrap().listing.clone();
    harness.cell.update_listing(minion, Listing { draining: true, ..listing });
    assert!(!harness.cell.is_start_wanted(minion, task, *run));
}
