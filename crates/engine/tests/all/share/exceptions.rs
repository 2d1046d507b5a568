//! Jobs that keep their place whatever their workspace uses.

use super::{counts, plan, submit, submit_aged, submit_jobs};
use crate::fixture::{Harness, id, starts, step};
use celerythread_engine::job::{Id, Step};
use std::time::Duration;

/// Guards against late jobs of a workspace below its share that precede jobs which can still meet
/// their objective, and against shares that are reduced by them.
#[test]
fn late_jobs_rank_last_and_claim_nothing() {
    let mut harness = super::harness(2);
    submit(&mut harness, 1, "c", vec![step(100)]);
    harness.advance_ms(3000);
    submit_jobs(&mut harness, 10, 10, "a");
    submit_jobs(&mut harness, 30, 10, "b");
    assert_eq!(plan(&mut harness), counts([("a", 16), ("b", 16)]));
    let mut harness = super::harness(2);
    submit(&mut harness, 1, "c", vec![step(100)]);
    submit(&mut harness, 2, "b", vec![step(100)]);
    harness.advance_ms(3000);
    submit_jobs(&mut harness, 10, 3, "a");
    let unsuitable = Step { required_label: Some("other kind".into()), ..step(40) };
    submit(&mut harness, 20, "d", vec![unsuitable]);
    assert_eq!(plan(&mut harness), counts([("a", 24), ("c", 8)]), "late ones in their order");
}

/// Guards against late jobs that precede jobs in time which were passed over.
#[test]
fn late_jobs_rank_behind_jobs_that_were_passed_over() {
    let mut harness = super::harness(2);
    submit(&mut harness, 1, "c", vec![step(100)]);
    harness.advance_ms(3000);
    let unsuitable = Step { required_label: Some("other kind".into()), ..step(40) };
    submit(&mut harness, 2, "b", vec![unsuitable]);
    submit_jobs(&mut harness, 10, 10, "a");
    assert_eq!(plan(&mut harness), counts([("a", 32)]));
}

/// A pool of one minion where workspace `a` already runs twelve of sixteen tasks.
fn harness_with_a_over_its_share() -> Harness {
    let mut harness = super::harness(1);
    submit(&mut harness, 1, "a", vec![step(12)]);
    assert_eq!(harness.start_all().len(), 12);
    harness
}

/// Guards against long-running tasks, whose users notice their absence, that wait for the share of
/// their workspace.
#[test]
fn long_running_jobs_keep_their_place() {
    let mut harness = harness_with_a_over_its_share();
    submit(&mut harness, 2, "b", vec![step(40)]);
    submit(&mut harness, 3, "a", vec![Step { long_running: true, ..step(3) }]);
    assert_eq!(plan(&mut harness), counts([("a", 3), ("b", 1)]));
}

/// Guards against gangs that never start because single tasks get their place each time.
#[test]
fn gangs_keep_their_place() {
    let mut harness = harness_with_a_over_its_share();
    submit(&mut harness, 2, "a", vec![Step { gang: true, ..step(4) }]);
    submit(&mut harness, 3, "b", vec![step(40)]);
    assert_eq!(plan(&mut harness), counts([("a", 4)]));
    let mut harness = harness_with_a_over_its_share();
    submit(&mut harness, 2, "a", vec![step(4)]);
    submit(&mut harness, 3, "b", vec![step(40)]);
    assert_eq!(plan(&mut harness), counts([("b", 4)]), "single tasks do not");
    let mut harness = harness_with_a_over_its_share();
    submit(&mut harness, 2, "a", vec![step(4), Step { gang: true, ..step(2) }]);
    submit(&mut harness, 3, "b", vec![step(40)]);
    assert_eq!(plan(&mut harness), counts([("a", 2), ("b", 2)]), "also beside a gang");
}

/// Guards against a workspace whose long-running tasks use its share, and whose other jobs would
/// never start while the other workspaces are busy; and against all of its old jobs getting past the
/// share at once.
#[test]
fn one_old_job_starts_where_long_running_tasks_use_the_share() {
    let mut harness = super::harness(1);
    submit(&mut harness, 1, "a", vec![Step { long_running: true, ..step(14) }]);
    assert_eq!(harness.start_all().len(), 14);
    let long_ago = Duration::from_secs(9);
    submit_aged(&mut harness, 2, "a", vec![step(1)], long_ago);
    submit_aged(&mut harness, 3, "a", vec![step(1)], long_ago - Duration::from_millis(100));
    submit(&mut harness, 4, "b", vec![step(40)]);
    let orders = harness.plan();
    let mut jobs: Vec<Id> = starts(&orders).into_iter().map(|(_, task, _)| task.job).collect();
    jobs.sort();
    assert_eq!(jobs, [id(2), id(4)]);
}
