//! Checks of the guarantees over the history of all workers.

use crate::site::spec::STARTUP_DURATION;
use crate::site::worker::Record;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

/// A description of a violated guarantee.
pub type Violation = String;

/// Checks that no task has overlapping runs or is started again after it was done.  An end that its
/// worker lost in a crash, before it was acknowledged, doesn't count: nobody else may know of it.
pub fn at_most_once(history: &[Record]) -> Vec<Violation> {
    let mut by_task: BTreeMap<&str, Vec<&Record>> = BTreeMap::new();
    for record in history {
        by_task.entry(&record.task).or_default().push(record);
    }
    let mut violations = Vec::new();
    for (task, mut records) in by_task {
        records.sort_by_key(|record| record.began);
        for pair in records.windows(2) {
            let (first, second) = (pair[0], pair[1]);
            if first.ended.is_none_or(|ended| ended > second.began) {
                violations.push(format!("{task}: runs {} and {} overlap", first.run, second.run));
            }
        }
        let done = records.iter().position(|record| record.is_done());
        if let Some(done) = done.filter(|done| done + 1 < records.len()) {
            let run = records[done].run;
            violations.push(format!("{task}: started again after run {run}: {records:?}"));
        }
    }
    violations
}

/// Checks that every task of one-step jobs, given by id and number of tasks, was done exactly once.
/// Ends that a worker lost in a crash count only if there is no other one: the owner may have
/// learned of one before the crash.
pub fn all_done(history: &[Record], jobs: &[(String, u32)]) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (job, tasks) in jobs {
        for index in 0..*tasks {
            let task = format!("{job}.0.0.{index}");
            let runs = history.iter().filter(|record| record.task == task);
            let ends = runs.filter(|record| record.end_reason == Some("done"));
            let (lost, done): (Vec<_>, Vec<_>) = ends.partition(|record| record.is_end_lost);
            if done.len() > 1 || done.is_empty() && lost.is_empty() {
                violations.push(format!("{task}: done {} times", done.len()));
            }
        }
    }
    violations
}

/// Checks that no order stopped a long-running task at work while `allowance` others of its step
/// were away: ended by such an order, or about to be, and not at work again.
pub fn within_allowance(history: &[Record], allowance: usize) -> Vec<Violation> {
    let is_at_work = |record: &Record, at: Instant| {
        record.began + STARTUP_DURATION <= at && record.ended.is_none_or(|ended| ended > at)
    };
    let is_back = |stopped: &Record, at: Instant| {
        let later = history.iter().filter(|record| record.task == stopped.task);
        later.filter(|record| record.run > stopped.run).any(|record| is_at_work(record, at))
    };
    let stops = || history.iter().filter_map(|record| Some((record, record.stop_ordered?)));
    let mut violations = Vec::new();
    for (record, at) in stops().filter(|(record, at)| is_at_work(record, *at)) {
        let is_away = |(other, stopped): &(&Record, Instant)| {
            let of_step = step(&other.task) == step(&record.task) && other.task != record.task;
            of_step && *stopped < at && !is_back(other, at)
        };
        let away: BTreeSet<&str> =
            stops().filter(is_away).map(|(other, _)| other.task.as_str()).collect();
        if away.len() >= allowance {
            violations.push(format!("{} run {}: {away:?} are away", record.task, record.run));
        }
    }
    violations
}

/// The name of a task's step.
fn step(task: &str) -> &str {
    task.rsplit_once('.').map_or(task, |(step, _)| step)
}

/// Highest number of runs at the same time.
pub fn max_concurrent(history: &[Record]) -> usize {
    let at = |moment: Instant| {
        let runs = history.iter().filter(|record| {
            record.began <= moment && record.ended.is_none_or(|ended| ended > moment)
        });
        runs.count()
    };
    history.iter().map(|record| at(record.began)).max().unwrap_or(0)
}
