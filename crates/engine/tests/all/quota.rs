//! Limits of workspaces: their split between cells, and what may run within them.

mod model;

use crate::fixture::{Harness, id, starts, step};
use celerythread_engine::cell::Event;
use celerythread_engine::job::{Accepted, Definition, Id, Origin, Resources, Step};
use celerythread_engine::quota::{Account, Holder, Limit, Share, Split};
use celerythread_engine::time::Time;
use model::{DisabledGuards, Simulation};
use std::time::Duration;

/// Default number of random simulations.
const DEFAULT_DRAWS: u64 = 1000;

/// Environment variable that overrides the number of random simulations.
const DRAWS_VARIABLE: &str = "CELERYTHREAD_DRAWS";

fn draws() -> u64 {
    let given = std::env::var(DRAWS_VARIABLE).ok();
    given.and_then(|text| text.parse().ok()).unwrap_or(DEFAULT_DRAWS)
}

/// Guards against a workspace exceeding its limit when owners crash, stall or are disconnected, and
/// when transactions are lost, late or unanswered; and against tasks that wait forever after such
/// faults.
#[test]
fn a_limit_holds_under_random_faults() {
    let mut failures = Vec::new();
    for seed in 0..draws() {
        if let Err(failure) = Simulation::new(seed).run() {
            failures.push(format!("seed {seed}: {failure}"));
        }
    }
    let first = &failures[..failures.len().min(5)];
    assert!(failures.is_empty(), "{} of {} draws broken: {first:#?}", failures.len(), draws());
}

/// The simulation must fail when owners raise their shares without a condition.
#[test]
fn the_model_detects_a_broken_limit() {
    let failures = (0..200).filter(|seed| {
        let mut simulation = Simulation::new(*seed);
        simulation.disabled_guards = DisabledGuards { unconditional: true };
        simulation.run().is_err()
    });
    assert!(failures.count() > 0);
}

fn cores(count: u64) -> Resources {
    Resources { cpu: count * 1000, memory_mb: count * 512, gpu: 0 }
}

fn limit(count: u64) -> Limit {
    Limit(Resources { gpu: Limit::UNLIMITED.0.gpu, ..cores(count) })
}

fn account(cell: &str, settled: bool) -> Account {
    let holder = Holder { cell: cell.into(), token: 7 };
    let mut account = Account::new("team", holder, settled, Time(0));
    account.configure(limit(100), 1, Time(0));
    account.confirm(Time(0));
    account
}

const FREE_CAPACITY: Resources = Resources { cpu: 1 << 30, memory_mb: 1 << 30, gpu: 0 };

/// Applies the change that is due as if the store had committed it.
fn write(account: &mut Account, version: u64, at: u64) -> Option<Split> {
    let change = account.next_change(&FREE_CAPACITY, Time(at))?;
    account.record_write(&change, version, Time(at));
    Some(change.split)
}

/// Guards against a new owner that uses resources which its predecessor's runs still use.
#[test]
fn a_successor_counts_its_predecessors_share_until_all_minions_have_reported() {
    let mut account = account("cell", false);
    let former = Share { token: 3, size: cores(80), ..Share::default() };
    let shares = [("cell".into(), former)].into_iter().collect();
    account.apply_row(5, Some(Split { configuration: 1, limit: limit(100), shares }), Time(0));
    account.reset_counts();
    assert!(!account.may_start(&cores(1), 1, Time(0)), "its token isn't written");
    account.record_wanted(&cores(1), 30);
    write(&mut account, 6, 10);
    account.reset_counts();
    assert!(account.may_start(&cores(20), 1, Time(10)));
    assert!(!account.may_start(&cores(21), 1, Time(10)));
    account.settle();
    account.count_run(&cores(50), false);
    assert!(account.may_start(&cores(50), 1, Time(10)));
}

/// Guards against using a part of a share that was returned by a transaction whose answer was lost.
#[test]
fn a_share_that_may_have_been_lowered_counts_as_lowered() {
    let mut account = account("cell", true);
    account.reset_counts();
    account.record_wanted(&cores(10), 8);
    write(&mut account, 1, 0).unwrap();
    assert!(account.may_start(&cores(80), 1, Time(0)));
    // Nothing is needed for a while, and the transaction that returns the share isn't answered.
    account.reset_counts();
    for at in [1500, 2200, 2900, 3600] {
        account.next_change(&FREE_CAPACITY, Time(at));
    }
    account.reset_counts();
    assert!(!account.may_start(&cores(80), 1, Time(3600)));
}

/// Guards against starts after a limit was lowered below what runs: the sum of the shares exceeds
/// it then.
#[test]
fn nothing_starts_while_shares_exceed_a_lowered_limit() {
    let mut account = account("cell", true);
    let other = Share { token: 3, size: cores(60), ..Share::default() };
    let own = Share { token: 7, size: cores(20), ..Share::default() };
    let shares = [("cell".into(), own), ("other".into(), other)].into_iter().collect();
    account.apply_row(5, Some(Split { configuration: 1, limit: limit(100), shares }), Time(0));
    account.reset_counts();
    assert!(account.may_start(&cores(5), 1, Time(0)));
    account.configure(limit(50), 2, Time(10));
    assert!(!account.may_start(&cores(5), 1, Time(10)));
    write(&mut account, 6, 20).expect("the new configuration is written");
    assert!(!account.may_start(&cores(5), 1, Time(20)));
}

/// Guards against starts while an owner that doesn't know the lower limit yet may still raise its
/// share.
#[test]
fn nothing_starts_before_the_split_is_written_with_the_lower_limit() {
    let mut account = account("cell", true);
    let other = Share { token: 3, size: cores(10), ..Share::default() };
    let own = Share { token: 7, size: cores(20), ..Share::default() };
    let shares = [("cell".into(), own), ("other".into(), other)].into_iter().collect();
    account.apply_row(5, Some(Split { configuration: 1, limit: limit(100), shares }), Time(0));
    account.reset_counts();
    account.configure(limit(50), 2, Time(10));
    assert!(!account.may_start(&cores(5), 1, Time(10)), "the other may raise its share to 80");
    let split = write(&mut account, 6, 20).expect("the new configuration is written");
    assert_eq!((split.configuration, split.limit), (2, limit(50)));
    assert!(account.may_start(&cores(5), 1, Time(20)));
}

/// Guards against a task that exceeds its workspace's limit waiting forever, or running beside
/// another one.
#[test]
fn a_task_larger_than_the_limit_runs_alone() {
    let mut account = account("cell", true);
    account.reset_counts();
    account.record_wanted(&cores(120), 2);
    write(&mut account, 1, 0).unwrap();
    assert!(account.may_start(&cores(120), 1, Time(0)));
    account.count_run(&cores(120), true);
    assert!(!account.may_start(&cores(120), 1, Time(0)));
    assert!(!account.may_start(&cores(1), 1, Time(0)));
}

/// Guards against one cell using the whole limit continuously while another one's jobs wait.
#[test]
fn a_busy_cell_yields_to_one_that_is_short() {
    let mut account = account("cell", true);
    let asking = Share { token: 3, wanted: cores(40), least: cores(5), ..Share::default() };
    let own = Share { token: 7, size: cores(100), ..Share::default() };
    let shares = [("cell".into(), own), ("other".into(), asking)].into_iter().collect();
    account.apply_row(5, Some(Split { configuration: 1, limit: limit(100), shares }), Time(0));
    account.reset_counts();
    account.count_run(&cores(90), true);
    assert!(!account.may_start(&cores(1), 1, Time(0)));
    let split = write(&mut account, 6, 0).unwrap();
    assert_eq!(split.shares["cell"].size, cores(90));
    // As its tasks end, the cell yields their resources until each cell has half of the limit.
    account.reset_counts();
    account.count_run(&cores(30), true);
    account.record_wanted(&cores(1), 60);
    let split = write(&mut account, 7, 50).unwrap();
    assert_eq!(split.shares["cell"].size, cores(50));
}

const TEAM: &str = "team";

fn submit(harness: &mut Harness, number: u8, origin: Origin, steps: Vec<Step>) -> Id {
    let definition = Definition { spec: "work".into(), steps, schedule: None };
    let accepted = Accepted {
        queue: "queue".into(),
        at_ms: 0,
        definition,
        origin,
        terms: None,
        service: None,
    };
    let now = harness.now;
    harness.cell.add_job(id(number), accepted, None, false, Duration::ZERO, now);
    id(number)
}

fn limited(minions: usize, count: u64) -> Harness {
    let mut harness = Harness::new(minions);
    harness.cell.configure_limits([(TEAM.into(), limit(count))], 1, harness.now);
    harness.cell.confirm_splits(harness.now);
    harness
}

/// Writes all changes that are due; returns whether there were any.
fn write_all(harness: &mut Harness, version: u64) -> bool {
    harness.advance_ms(50);
    let changes = harness.cell.split_changes(harness.now);
    harness.cell.record_split_changes(&changes, version, harness.now);
    !changes.is_empty()
}

fn team() -> Origin {
    Origin::Workspace(TEAM.into())
}

/// Guards against starting a workspace's tasks beyond its limit, and against others' tasks waiting
/// behind them.
#[test]
fn a_workspace_runs_no_more_than_its_limit() {
    let mut harness = limited(2, 5);
    submit(&mut harness, 1, team(), vec![step(8)]);
    submit(&mut harness, 2, Origin::Public, vec![step(8)]);
    assert_eq!(
        starts(&harness.plan()).len(),
        8,
        "nothing of the workspace before its share is written"
    );
    assert!(write_all(&mut harness, 1));
    assert_eq!(starts(&harness.plan()).len(), 5);
    assert!(harness.plan().is_empty());
    let held = |event: &Event| matches!(event, Event::Held { is_larger: false, .. });
    assert_eq!(harness.cell.take_events().iter().filter(|event| held(event)).count(), 1);
}

/// Guards against a gang wider than its workspace's limit reserving all of it without ever
/// starting.
#[test]
fn a_gang_wider_than_the_limit_blocks_no_other_job() {
    let mut harness = limited(2, 5);
    submit(&mut harness, 1, team(), vec![Step { gang: true, ..step(8) }]);
    submit(&mut harness, 2, team(), vec![step(4)]);
    harness.plan();
    let larger = |event: &Event| matches!(event, Event::Held { is_larger: true, .. });
    assert!(harness.cell.take_events().iter().any(larger));
    write_all(&mut harness, 1);
    assert_eq!(starts(&harness.plan()).len(), 4);
}

/// Guards against jobs of an older release, which stored no workspace, running without a limit, or
/// never.
#[test]
fn jobs_of_an_unknown_workspace_run_one_task_at_a_time() {
    let mut harness = limited(2, 5);
    let keyed = celerythread_engine::cell::Queue { public: false, ..Default::default() };
    harness.cell.configure([("queue".into(), keyed)], 1);
    submit(&mut harness, 1, Origin::Unknown, vec![step(3)]);
    harness.plan();
    write_all(&mut harness, 1);
    assert_eq!(starts(&harness.plan()).len(), 1);
    write_all(&mut harness, 2);
    assert!(starts(&harness.plan()).is_empty());
}

/// Guards against exceeding a limit before the splits are read: until then, no limited task may
/// start.
#[test]
fn nothing_limited_starts_before_the_splits_are_read() {
    let mut harness = Harness::new(1);
    harness.cell.configure_limits([(TEAM.into(), limit(5))], 1, harness.now);
    submit(&mut harness, 1, team(), vec![step(1)]);
    assert!(harness.plan().is_empty());
    assert!(!write_all(&mut harness, 1));
}

/// Rows of a release that stored no workspace decode with an unknown origin.
#[test]
fn a_job_without_an_origin_is_read() {
    let accepted = Accepted {
        queue: "queue".into(),
        at_ms: 5,
        definition: Definition { spec: "work".into(), steps: vec![step(1)], schedule: None },
        origin: Origin::Unknown,
        terms: None,
        service: None,
    };
    let mut bytes = celerythread_engine::job::encode(&accepted);
    assert_eq!([bytes.pop(), bytes.pop()], [Some(0); 2], "no terms and no origin");
    assert_eq!(Accepted::decode(&bytes).unwrap(), accepted);
}

/// Guards against one workspace reading or cancelling another one's job.
#[test]
fn a_job_is_visible_only_to_its_workspace() {
    let mut harness = Harness::new(1);
    submit(&mut harness, 1, team(), vec![step(1)]);
    let (own, other) = (team(), Origin::Workspace("other".into()));
    assert!(harness.cell.state_for(&id(1), &own).is_some());
    assert!(harness.cell.state_for(&id(1), &other).is_none());
    assert!(own.may_access(&Origin::Public) && Origin::Public.may_access(&own));
}
