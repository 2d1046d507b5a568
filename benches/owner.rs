//! Processor time of a cell owner's decisions at a turn's peak, when more tasks wait than its
//! minions can run.
//!
//! In a round, every minion reports one ended run, and the owner plans again after each report, as
//! it does when runs end one at a time.  Network calls are not included.

use celerythread_engine::cell::{
    Cell, End, EndReason, Listing, MinionId, Order, Permit, Queue, Report, Running, Settings,
    StartResult,
};
use celerythread_engine::job::{Accepted, Definition, Id, Resources, Step, TaskName};
use celerythread_engine::time::Time;
use std::collections::BTreeMap;
use std::hint::black_box;
use std::time::{Duration, Instant};

/// Minions of a cell on the smallest site, on the larger ones and at the users' future size, each
/// with the number of waiting jobs: two seconds' worth of a turn's peak.
const SIZES: [(usize, u32); 3] = [(12, 60), (85, 400), (266, 1200)];

/// Rounds over which the printed means are taken.
const ROUNDS: u64 = 5;

struct Owner {
    cell: Cell,
    now: Time,
    /// Runs on each minion, and the number of its last reported end.
    minions: BTreeMap<MinionId, (Vec<(TaskName, u32)>, u64)>,
}

fn id(number: u32) -> Id {
    format!("{number:016x}").parse().expect("16 hexadecimal digits")
}

/// A job of two steps of six tasks.  Sizes differ between jobs, as declared sizes do.
fn job(number: u32) -> Accepted {
    let cpu = 600 + u64::from(number * 7919 % 600);
    let need = Resources { cpu, memory_mb: 1200 + cpu, gpu: 0 };
    let step = Step { count: 6, need, estimate_ms: 640, ..Step::default() };
    let steps = vec![step.clone(), Step { after: [0].into_iter().collect(), ..step }];
    Accepted {
        queue: "queue".into(),
        at_ms: 0,
        definition: Definition { spec: "x".repeat(200).into(), steps, schedule: None },
        origin: celerythread_engine::job::Origin::Public,
        terms: None,
        service: None,
    }
}

impl Owner {
    fn new(minions: usize, jobs: u32) -> Self {
        let now = Time(1_000_000);
        let mut cell = Cell::new(Settings::default(), 0, None);
        cell.configure([("queue".into(), Queue::default())], 1);
        let capacity = Resources { cpu: 16_000, memory_mb: 32_768, gpu: 0 };
        let minions: BTreeMap<MinionId, _> = (0..minions)
            .map(|number| (format!("minion-{number}").into(), (Vec::new(), 0)))
            .collect();
        for minion in minions.keys() {
            cell.update_listing(minion, Listing { capacity, ..Listing::default() });
            cell.process_report(minion, &Report::default(), now, now);
        }
        for number in 0..jobs {
            cell.add_job(id(number), job(number), None, false, Duration::ZERO, now);
        }
        Self { cell, now, minions }
    }

    /// Plans and confirms the ordered starts; returns the time of planning and the number of orders.
    fn plan(&mut self) -> (Duration, usize) {
        let began = Instant::now();
        let orders = self.cell.plan(self.now, self.now.0, Permit::All);
        let took = began.elapsed();
        for order in &orders {
            if let Order::Start { minion, task, run, .. } = order {
                let started = StartResult::Started;
                self.cell.process_start_result(minion, task, *run, started, self.now);
                if let Some((runs, _)) = self.minions.get_mut(minion) {
                    runs.push((*task, *run));
                }
            }
        }
        (took, orders.len())
    }

    /// Ends a minion's oldest run; returns the time of processing the minion's report.
    fn end_one(&mut self, minion: &MinionId) -> Duration {
        self.now = self.now + Duration::from_millis(1);
        let Some((runs, number)) = self.minions.get_mut(minion) else { return Duration::ZERO };
        if runs.is_empty() {
            return Duration::ZERO;
        }
        let (task, run) = runs.remove(0);
        *number += 1;
        let end = End { number: *number, task, run, reason: EndReason::Done, checkpoint: None };
        let running = runs
            .iter()
            .map(|(task, run)| Running {
                task: *task,
                run: *run,
                checkpoint: None,
                percent: 50,
                load: None,
            })
            .collect();
        let report = Report { running, finished: vec![end], ..Report::default() };
        let began = Instant::now();
        self.cell.process_report(minion, &report, self.now, self.now);
        began.elapsed()
    }
}

fn main() {
    println!("processor time of an owner's decisions at a turn's peak; means of {ROUNDS} rounds");
    for (minions, jobs) in SIZES {
        let mut owner = Owner::new(minions, jobs);
        let (first, started) = owner.plan();
        let ids: Vec<MinionId> = owner.minions.keys().cloned().collect();
        let (mut plans, mut reports, mut starts, mut count) =
            (Duration::ZERO, Duration::ZERO, 0, 0);
        let mut capacities = Duration::ZERO;
        for _ in 0..ROUNDS {
            for id in &ids {
                reports += owner.end_one(id);
                let (took, orders) = owner.plan();
                plans += took;
                starts += orders;
                count += 1;
            }
            let began = Instant::now();
            black_box(owner.cell.capacity(owner.now, owner.now.0, Permit::All));
            capacities += began.elapsed();
        }
        println!(
            "{minions} minions, {jobs} jobs: first plan {first:.1?} for {started} starts; then \
             {:.1?} a report, {:.1?} a plan, {:.1} starts each; {:.1?} for the capacity",
            reports / count,
            plans / count,
            starts as f64 / f64::from(count),
            capacities / ROUNDS as u32,
        );
    }
}
