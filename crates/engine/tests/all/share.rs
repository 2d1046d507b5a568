//! Shares of workspaces in a pool that lacks capacity.

mod entitlements;
mod exceptions;

use crate::fixture::{Harness, definition, id, running, starts, step, task};
use celerythread_engine::cell::{Cell, EndReason, Event, Order, Report, Settings};
use celerythread_engine::job::{Accepted, Id, Origin, Resources, Step};
use celerythread_engine::quota::Limit;
use celerythread_engine::time::Time;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Cores of a minion.
const CORES: usize = 16;

const WORKSPACES: [&str; 8] = ["a", "b", "c", "d", "e", "f", "g", "h"];

fn settings(workspace_shares: bool) -> Settings {
    Settings { workspace_shares, ..Settings::default() }
}

fn harness_with(cell: Cell, minions: usize) -> Harness {
    let mut harness = Harness::with_cell(cell, minions);
    let limits = WORKSPACES.map(|name| (name.into(), Limit::UNLIMITED));
    harness.cell.configure_limits(limits, 1, harness.now);
    harness
}

/// A harness whose workspaces have no limits.
fn harness(minions: usize) -> Harness {
    harness_with(Cell::new(settings(true), 0, None), minions)
}

fn without_shares(minions: usize) -> Harness {
    harness_with(Cell::new(settings(false), 0, None), minions)
}

/// The origin of a workspace; without a name, that of a public queue.
fn origin(workspace: &str) -> Origin {
    if workspace.is_empty() { Origin::Public } else { Origin::Workspace(workspace.into()) }
}

fn submit(harness: &mut Harness, number: u64, workspace: &str, steps: Vec<Step>) {
    submit_aged(harness, number, workspace, steps, Duration::ZERO);
}

/// Adds a job that was accepted some time ago.
fn submit_aged(
    harness: &mut Harness,
    number: u64,
    workspace: &str,
    steps: Vec<Step>,
    age: Duration,
) {
    let id: Id = format!("{number:016x}").parse().unwrap();
    let accepted = Accepted {
        queue: "queue".into(),
        at_ms: 0,
        definition: definition(steps),
        origin: origin(workspace),
        terms: None,
        service: None,
    };
    harness.cell.add_job(id, accepted, None, false, age, harness.now);
}

/// Submits jobs with eight tasks of one core each.
fn submit_jobs(harness: &mut Harness, first: u64, count: u64, workspace: &str) {
    for number in first..first + count {
        submit(harness, number, workspace, vec![step(8)]);
    }
}

/// Number of tasks started, by workspace.
fn started(harness: &Harness, orders: &[Order]) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for (_, task, _) in starts(orders) {
        let name = match &harness.cell.job(&task.job).unwrap().accepted.origin {
            Origin::Workspace(name) => name.to_string(),
            Origin::Public | Origin::Unknown => String::new(),
        };
        *counts.entry(name).or_default() += 1;
    }
    counts
}

fn counts<const N: usize>(expected: [(&str, usize); N]) -> BTreeMap<String, usize> {
    expected.map(|(name, count)| (name.to_string(), count)).into()
}

/// Plans and returns the number of tasks started, by workspace.
fn plan(harness: &mut Harness) -> BTreeMap<String, usize> {
    let orders = harness.plan();
    started(harness, &orders)
}

fn submit_five_times_the_usual(harness: &mut Harness) {
    submit_jobs(harness, 1, 10, "a");
    for (place, workspace) in ["b", "c", "d"].into_iter().enumerate() {
        submit_jobs(harness, 100 + place as u64 * 10, 2, workspace);
    }
}

/// Guards against a workspace that sends five times as much as the others, and sends it first,
/// getting the whole pool.
#[test]
fn a_workspace_that_sends_five_times_as_much_gets_no_more_than_its_share() {
    let mut harness = harness(2);
    submit_five_times_the_usual(&mut harness);
    assert_eq!(plan(&mut harness), counts([("a", 8), ("b", 8), ("c", 8), ("d", 8)]));
    let mut former = without_shares(2);
    submit_five_times_the_usual(&mut former);
    assert_eq!(plan(&mut former), counts([("a", 32)]), "by value and age alone");
}

/// Guards against a backlog that gets past the share once it has waited for long: for twenty
/// seconds, each workspace sends its usual work four times a second, and one sends five times as
/// much.
#[test]
fn a_backlog_does_not_reduce_what_the_others_get() {
    let mut harness = harness(2);
    let mut number = 0;
    let mut sum = BTreeMap::new();
    let mut running = VecDeque::from([Vec::new()]);
    for _ in 0..80 {
        for (workspace, jobs) in [("a", 5), ("b", 1), ("c", 1), ("d", 1)] {
            for _ in 0..jobs {
                number += 1;
                submit(&mut harness, number, workspace, vec![step(4)]);
            }
        }
        // Half of the pool becomes free each time, and several plans use it.
        let mut began = Vec::new();
        for _ in 0..4 {
            harness.cell.limit_starts(CORES / 4);
            let orders = harness.plan();
            for (workspace, count) in started(&harness, &orders) {
                *sum.entry(workspace).or_insert(0) += count;
            }
            began.extend(starts(&orders));
        }
        running.push_back(began);
        harness.advance_ms(250);
        for (minion, task, run) in running.pop_front().unwrap() {
            harness.report_end(&minion, task, run, EndReason::Done);
        }
        harness.store_progress();
    }
    assert_eq!(sum.values().sum::<usize>(), 80 * CORES);
    let sent = 80 * 4;
    assert!(["b", "c", "d"].iter().all(|name| sum[*name] >= sent - 8), "{sum:?}");
}

/// Guards against shares that hold only within one plan: an overloaded owner limits the starts of
/// each.
#[test]
fn shares_hold_over_plans_that_are_limited() {
    let mut harness = harness(2);
    submit_five_times_the_usual(&mut harness);
    let mut sum = BTreeMap::new();
    for _ in 0..7 {
        harness.cell.limit_starts(5);
        for (workspace, count) in plan(&mut harness) {
            *sum.entry(workspace).or_insert(0) += count;
        }
    }
    assert_eq!(sum, counts([("a", 8), ("b", 8), ("c", 8), ("d", 8)]));
}

/// Guards against one large job that gets the whole pool within a single plan.
#[test]
fn a_large_job_is_interrupted_at_its_workspaces_share() {
    let mut harness = harness(2);
    submit(&mut harness, 1, "a", vec![step(100)]);
    submit(&mut harness, 2, "b", vec![step(100)]);
    assert_eq!(plan(&mut harness), counts([("a", 16), ("b", 16)]));
}

/// Guards against the workspaces that come first exceeding their shares by what the last one is
/// entitled to, where shares are not a multiple of the tasks.
#[test]
fn equal_work_from_many_workspaces_gets_equal_capacity() {
    let mut harness = harness(2);
    for (place, workspace) in WORKSPACES.into_iter().enumerate() {
        submit_jobs(&mut harness, place as u64 * 10 + 1, 3, workspace);
    }
    let expected: BTreeMap<_, _> = WORKSPACES.map(|name| (name.to_string(), 4)).into();
    assert_eq!(plan(&mut harness), expected);
    let mut harness = self::harness(2);
    for (place, workspace) in WORKSPACES.into_iter().take(5).enumerate() {
        submit_jobs(&mut harness, place as u64 * 10 + 1, 3, workspace);
    }
    let started = plan(&mut harness);
    assert_eq!(started.values().sum::<usize>(), 2 * CORES);
    assert!(started.len() == 5 && started.values().all(|count| *count >= 6), "{started:?}");
}

/// Guards against a workspace whose share is less than one of its tasks, and which would never get
/// any capacity.
#[test]
fn a_share_smaller_than_a_task_allows_one() {
    let mut harness = harness(1);
    for number in 0..9 {
        submit(&mut harness, 10 + number, "a", vec![step(10)]);
        submit(&mut harness, 20 + number, "b", vec![step(10)]);
    }
    let large = Step { need: Resources { cpu: 9000, ..step(1).need }, ..step(1) };
    submit(&mut harness, 1, "c", vec![large.clone()]);
    submit(&mut harness, 2, "c", vec![large]);
    let started = plan(&mut harness);
    assert_eq!(started["c"], 1);
    assert_eq!(started.values().sum::<usize>(), 8, "{started:?}");
}

fn limit(cores: u64) -> Limit {
    Limit(Resources { cpu: cores * 1000, ..Limit::UNLIMITED.0 })
}

/// Plans once, so that the limits' splits are requested, and writes them.
fn write_splits(harness: &mut Harness) {
    harness.cell.confirm_splits(harness.now);
    harness.cell.limit_starts(0);
    harness.plan();
    harness.cell.limit_starts(usize::MAX);
    harness.plan();
    harness.advance_ms(50);
    let changes = harness.cell.split_changes(harness.now);
    harness.cell.record_split_changes(&changes, 1, harness.now);
}

/// Guards against equal shares for workspaces with different limits.
#[test]
fn capacity_is_shared_in_proportion_to_the_limits() {
    let mut harness = harness(1);
    harness.cell.configure_limits(
        [("a".into(), limit(30)), ("b".into(), limit(90))],
        2,
        harness.now,
    );
    harness.advance_ms(2500);
    submit_jobs(&mut harness, 1, 4, "a");
    submit_jobs(&mut harness, 10, 4, "b");
    write_splits(&mut harness);
    assert_eq!(plan(&mut harness), counts([("a", 4), ("b", 12)]));
}

/// Guards against demand beyond a workspace's limit that lowers the others' shares: it can't use
/// them.
#[test]
fn a_workspace_claims_no_more_than_its_limit() {
    let mut harness = harness(2);
    harness.cell.configure_limits([("a".into(), limit(4))], 2, harness.now);
    harness.advance_ms(2500);
    submit_jobs(&mut harness, 1, 10, "a");
    write_splits(&mut harness);
    submit_jobs(&mut harness, 20, 10, "b");
    submit_jobs(&mut harness, 40, 10, "c");
    assert_eq!(plan(&mut harness), counts([("a", 4), ("b", 14), ("c", 14)]));
}

/// Guards against capacity that is left idle for the sake of fairness.
#[test]
fn what_the_others_do_not_ask_for_is_used() {
    let mut harness = harness(2);
    submit_jobs(&mut harness, 1, 10, "a");
    assert_eq!(plan(&mut harness), counts([("a", 32)]), "only one workspace waits");
    let mut harness = self::harness(2);
    submit_jobs(&mut harness, 1, 10, "a");
    submit(&mut harness, 20, "b", vec![step(3)]);
    assert_eq!(plan(&mut harness), counts([("a", 29), ("b", 3)]));
}

/// Guards against capacity that idles while the jobs below their share fit on no minion.
#[test]
fn capacity_that_suits_no_job_below_its_share_is_used() {
    let mut harness = harness(2);
    submit_jobs(&mut harness, 1, 10, "a");
    let unsuitable = Step { required_label: Some("other kind".into()), ..step(40) };
    submit(&mut harness, 20, "b", vec![unsuitable]);
    assert_eq!(plan(&mut harness), counts([("a", 32)]));
}

/// Guards against jobs without a workspace that get the whole pool, or nothing, beside workspaces:
/// they share as one group.
#[test]
fn jobs_without_a_workspace_share_as_one_group() {
    let mut harness = harness(3);
    submit_jobs(&mut harness, 1, 10, "");
    submit_jobs(&mut harness, 20, 10, "a");
    submit_jobs(&mut harness, 40, 10, "b");
    assert_eq!(plan(&mut harness), counts([("", 16), ("a", 16), ("b", 16)]));
}

/// Guards against a new owner that gives a workspace its share again although inherited runs
/// already use it.
#[test]
fn inherited_runs_count_for_a_new_owner() {
    let cell = Cell::new(settings(true), 1, Some(Time(60_000)));
    let mut harness = harness_with(cell, 0);
    harness.cell.inherit_minion(&Harness::minion(0));
    harness.list_minion(0);
    let accepted = Accepted {
        queue: "queue".into(),
        at_ms: 0,
        definition: definition(vec![step(40)]),
        origin: origin("a"),
        terms: None,
        service: None,
    };
    harness.cell.add_job(id(1), accepted, None, true, Duration::ZERO, harness.now);
    submit(&mut harness, 2, "b", vec![step(40)]);
    let found = (0..6).map(|index| running(task(1, 0, index), 1, 50)).collect();
    harness.answer(0, Report { running: found, ..Report::default() });
    assert_eq!(plan(&mut harness), counts([("a", 2), ("b", 8)]));
}

/// Guards against runs of jobs that a new owner has not read yet that count for jobs without a
/// workspace.  Such a run counts as using its whole minion.
#[test]
fn runs_of_unknown_jobs_belong_to_no_group() {
    let cell = Cell::new(settings(true), 1, Some(Time(60_000)));
    let mut harness = harness_with(cell, 0);
    harness.cell.inherit_minion(&Harness::minion(0));
    harness.list_minion(0);
    let found = vec![running(task(1, 0, 0), 1, 50)];
    harness.answer(0, Report { running: found, ..Report::default() });
    harness.add_minion(1);
    submit_jobs(&mut harness, 10, 10, "a");
    submit_jobs(&mut harness, 30, 10, "");
    assert_eq!(plan(&mut harness), counts([("", 8), ("a", 8)]));
}

/// Submits jobs of several sizes and workspaces; they ask for 66 cores.
fn submit_mixed_jobs(harness: &mut Harness) {
    for number in 0..20_u64 {
        let workspace = WORKSPACES[number as usize % 3];
        submit(harness, number + 1, workspace, vec![step(1 + (number as u32 * 7) % 6)]);
    }
}

/// Guards against another order of jobs where nothing is short, or where only one workspace has
/// jobs.
#[test]
fn the_order_is_unchanged_without_shortage() {
    for minions in [5, 6] {
        let (mut with, mut without) = (harness(minions), without_shares(minions));
        submit_mixed_jobs(&mut with);
        submit_mixed_jobs(&mut without);
        let orders = with.plan();
        assert_eq!(orders.len(), 66);
        assert_eq!(orders, without.plan());
        assert_eq!(with.cell.take_jobs_over_share(), 0);
    }
    let (mut with, mut without) = (harness(2), without_shares(2));
    for harness in [&mut with, &mut without] {
        (1..20).for_each(|number| submit(harness, number, "a", vec![step(number as u32)]));
    }
    assert_eq!(with.plan(), without.plan());
}

/// Guards against shares of cores alone in a pool that is full by memory.
#[test]
fn a_pool_that_is_full_by_memory_is_shared() {
    let mut harness = harness(2);
    let need = Resources { cpu: 500, memory_mb: 4096, gpu: 0 };
    submit(&mut harness, 1, "a", vec![Step { need, ..step(60) }]);
    submit(&mut harness, 2, "b", vec![Step { need, ..step(60) }]);
    assert_eq!(plan(&mut harness), counts([("a", 8), ("b", 8)]));
}

/// Guards against steps that are skipped, or started twice, when their job is interrupted at its
/// workspace's share and continued in the same plan.
#[test]
fn every_ready_step_of_an_interrupted_job_is_started_once() {
    let mut harness = harness(1);
    submit(&mut harness, 1, "a", vec![step(6), step(6), step(6)]);
    submit(&mut harness, 2, "b", vec![step(2)]);
    let orders = harness.plan();
    assert_eq!(started(&harness, &orders), counts([("a", 14), ("b", 2)]));
    let mut tasks: Vec<_> = starts(&orders).into_iter().map(|(_, task, _)| task).collect();
    tasks.sort();
    tasks.dedup();
    assert_eq!(tasks.len(), 16);
}

/// Guards against a log line for each of some hundred plans a second, and against jobs that are
/// counted in each of them.
#[test]
fn an_event_is_recorded_once_a_second_and_a_job_counted_once() {
    let mut harness = harness(1);
    for (number, workspace) in [(1, "a"), (2, "a"), (3, "a"), (4, "b")] {
        submit(&mut harness, number, workspace, vec![three_cores(8)]);
    }
    let mut events = Vec::new();
    for _ in 0..15 {
        harness.plan();
        events.extend(harness.cell.take_events());
        harness.advance_ms(100);
    }
    let over: Vec<_> = events
        .into_iter()
        .filter(|event| matches!(event, Event::WorkspaceOverShare { .. }))
        .collect();
    let first =
        Event::WorkspaceOverShare { workspace: "a".into(), used: 9000, entitlement: 8000, jobs: 3 };
    assert_eq!(over[0], first);
    assert_eq!(over.len(), 1, "the jobs are late after a second");
    assert_eq!(harness.cell.take_jobs_over_share(), 4);
    assert_eq!(harness.cell.take_jobs_over_share(), 0);
}

/// A step of tasks that leave a core of each minion free, so that plans determine shares.
fn three_cores(count: u32) -> Step {
    Step { need: Resources { cpu: 3000, ..step(1).need }, ..step(count) }
}

/// Number of runs, steps and jobs that a plan for eight workspaces examines for their shares.
fn examined(jobs: u64) -> u64 {
    let mut harness = harness(4);
    for number in 0..jobs {
        let workspace = WORKSPACES[number as usize % 8];
        submit(&mut harness, number + 1, workspace, vec![three_cores(4)]);
    }
    harness.start_all();
    let before = harness.cell.examined_for_shares();
    harness.plan();
    harness.cell.examined_for_shares() - before
}

/// Guards against plans whose time grows with the square of the jobs, at twice the largest load.
#[test]
fn a_plan_examines_twice_as_much_for_twice_the_jobs() {
    let (small, large) = (examined(1000), examined(2000));
    assert!(small > 1000, "{small}");
    assert!(large < small * 9 / 4, "{small} examined for 1000 jobs, {large} for 2000");
}

/// Guards against equal shares where the configuration states weights.
#[test]
fn configured_weights_divide_the_capacity() {
    let mut harness = harness(2);
    let now = harness.now;
    harness.cell.configure_weights([("a".into(), 1), ("b".into(), 3)], now);
    submit_jobs(&mut harness, 1, 10, "a");
    submit_jobs(&mut harness, 20, 10, "b");
    assert_eq!(plan(&mut harness), counts([("a", 8), ("b", 24)]), "of 32 cores");
}
