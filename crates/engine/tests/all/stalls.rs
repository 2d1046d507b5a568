//! Tests of gangs that make no progress.

use crate::fixture::*;
use celerythread_engine::cell::{EndReason, MinionId, Report, StartResult};
use celerythread_engine::job::{Step, TaskName};
use std::collections::BTreeSet;
use std::time::Duration;

/// Lets the members' minions list them with this progress ten times a second, until some of them are
/// stopped or two seconds have passed.
fn report_until_stopped(
    harness: &mut Harness,
    members: &[(MinionId, TaskName, u32)],
    percent: u8,
) -> Vec<(MinionId, TaskName, u32)> {
    for _ in 0..20 {
        harness.advance_ms(100);
        for (minion, name, run) in members {
            let running = vec![running(*name, *run, percent)];
            let report = Report { running, ..Report::default() };
            harness.cell.process_report(minion, &report, harness.now, harness.now);
        }
        let mut stopped = stops(&harness.plan());
        stopped.retain(|run| members.contains(run));
        if !stopped.is_empty() {
            return stopped;
        }
    }
    Vec::new()
}

/// A gang that takes three whole minions, and the orders to start it.
fn start_gang() -> (Harness, Vec<(MinionId, TaskName, u32)>) {
    let mut harness = Harness::new(3);
    let whole_minion = Step { gang: true, need: CAPACITY, ..step(3) };
    harness.submit(1, definition(vec![whole_minion]));
    let ordered = starts(&harness.plan());
    assert_eq!(ordered.len(), 3);
    (harness, ordered)
}

/// The minions on which tasks of another job are started.
fn used_minions(harness: &mut Harness) -> BTreeSet<MinionId> {
    harness.submit(2, definition(vec![step(48)]));
    harness.start_all().into_iter().map(|(minion, ..)| minion).collect()
}

/// Guards against quarantining minions as hung because members of a gang wait there for another one,
/// whose start was not answered.
#[test]
fn members_that_wait_for_the_rest_of_their_gang_leave_no_minions_out() {
    let (mut harness, ordered) = start_gang();
    let (unanswered, waiting) = ordered.split_last().unwrap();
    let (now, (silent, name, run)) = (harness.now, unanswered);
    harness.cell.extend_lease_expiry(silent, now + Duration::from_secs(4));
    harness.cell.process_start_result(silent, name, *run, StartResult::Unknown, now);
    harness.cell.record_missed_answer(silent, now);
    let stopped = report_until_stopped(&mut harness, waiting, 0);
    assert_eq!(stopped, waiting, "they hold their cores for nothing");
    for (minion, name, run) in waiting {
        harness.report_end(minion, *name, *run, EndReason::Stopped);
    }
    assert_eq!(used_minions(&mut harness).len(), 2, "the two that answer");
}

/// Guards against stopping a gang as stalled because its last member was started late: it can't have
/// made progress before.
#[test]
fn a_gang_stands_still_only_from_when_it_is_complete() {
    let (mut harness, ordered) = start_gang();
    let (late, waiting) = ordered.split_last().unwrap();
    for _ in 0..14 {
        harness.advance_ms(100);
        for (minion, name, run) in waiting {
            let report = Report { running: vec![running(*name, *run, 0)], ..Report::default() };
            harness.cell.process_report(minion, &report, harness.now, harness.now);
        }
        assert!(stops(&harness.plan()).is_empty());
    }
    let (minion, name, run) = late;
    harness.cell.process_start_result(minion, name, *run, StartResult::Started, harness.now);
    let complete_at = harness.now;
    let stopped = report_until_stopped(&mut harness, &ordered, 0);
    assert_eq!(stopped, ordered, "it stands still");
    assert!(harness.now.since(complete_at) > Duration::from_millis(1500));
    for (minion, name, run) in &ordered {
        harness.report_end(minion, *name, *run, EndReason::Stopped);
    }
    assert_eq!(used_minions(&mut harness).len(), 2, "one of three is out, half must remain");
}
