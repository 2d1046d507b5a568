//! How many minions a plan examines, and which ones it chooses.

use crate::fixture::{CAPACITY, Harness, definition, step};
use celerythread_engine::cell::{
    Cell, EndReason, Listing, Minion, MinionId, Permit, Queue, Report, Settings,
};
use celerythread_engine::job::{Accepted, Id, Origin, Resources, Step};
use celerythread_engine::time::Time;
use std::time::Duration;

const NOW: Time = Time(1_000_000);

/// Tasks of a job, and jobs for each minion, as many as fill it.
const TASKS: u32 = 8;
const JOBS_PER_MINION: usize = 2;

/// A cell with minions that have answered, and jobs whose tasks need this much.
fn full_cell(minions: usize, need: Resources) -> Cell {
    let mut cell = Cell::new(Settings::default(), 0, None);
    cell.configure([("queue".into(), Queue::default())], 1);
    for number in 0..minions {
        let id: MinionId = format!("minion-{number}").into();
        cell.update_listing(&id, Listing { capacity: CAPACITY, ..Listing::default() });
        cell.process_report(&id, &Report::default(), NOW, NOW);
    }
    for number in 0..minions * JOBS_PER_MINION {
        let job: Id = format!("{number:016x}").parse().unwrap();
        let accepted = Accepted {
            queue: "queue".into(),
            at_ms: 0,
            definition: definition(vec![Step { need, ..step(TASKS) }]),
            origin: Origin::Public,
            terms: None,
            service: None,
        };
        cell.add_job(job, accepted, None, false, Duration::ZERO, NOW);
    }
    cell
}

/// Minions that a plan examines to fill all of them.
fn examined(minions: usize, need: Resources) -> u64 {
    let mut cell = full_cell(minions, need);
    let orders = cell.plan(NOW, NOW.0, Permit::All);
    assert_eq!(orders.len(), minions * JOBS_PER_MINION * TASKS as usize);
    cell.examined_minions()
}

/// Guards against plans whose time grows with the square of a pool: each placement examined all
/// minions.
#[test]
fn a_plan_examines_twice_as_many_minions_for_a_pool_twice_as_large() {
    let need = Resources { cpu: 1000, memory_mb: 512, gpu: 0 };
    let (small, large) = (examined(100, need), examined(200, need));
    assert!(large < small * 5 / 2, "{small} examined for 100 minions, {large} for 200");
}

/// Guards against the same where minions are full by memory and have processor capacity left.
#[test]
fn a_plan_scans_twice_as_much_where_memory_is_the_limit() {
    let need = Resources { cpu: 100, memory_mb: 2048, gpu: 0 };
    let (small, large) = (examined(100, need), examined(200, need));
    assert!(large < small * 5 / 2, "{small} examined for 100 minions, {large} for 200");
}

/// Guards against a choice that depends on the order in which minions are examined.
#[test]
fn tasks_go_where_they_leave_the_least_capacity() {
    let mut harness = Harness::new(3);
    for (number, cpu) in [9_000, 3_000, 6_000, 10_000, 1_500].into_iter().enumerate() {
        let need = Resources { cpu, memory_mb: 512, gpu: 0 };
        let step = Step { need, ..step(1) };
        harness.submit(number as u8 + 1, definition(vec![step]));
        harness.plan();
    }
    let free = |minion: &Minion| CAPACITY.cpu - minion.free().cpu;
    let mut used: Vec<u64> = harness.cell.minions().map(free).collect();
    used.sort_unstable();
    assert_eq!(used, [0, 13_500, 16_000]);
}

/// Guards against tasks that return to the minion where they failed, because it comes first.
#[test]
fn a_minion_where_a_task_failed_is_its_last_choice() {
    let mut harness = Harness::new(2);
    harness.submit(1, definition(vec![step(1)]));
    let (first, task, run) = harness.next_start();
    harness.report_end(&first, task, run, EndReason::Failed);
    let (second, _, _) = harness.next_start();
    assert_ne!(first, second);
}
