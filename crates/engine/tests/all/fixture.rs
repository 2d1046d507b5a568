//! A test harness: a cell with a manual clock and simulated minions.

use celerythread_engine::cell::{
    Cell, End, EndReason, Incarnation, Listing, MinionId, Order, Permit, Queue, Report, Running,
    Settings, StartResult,
};
use celerythread_engine::job::{
    Accepted, Definition, Id, Origin, Progress, Resources, Step, TaskName,
};
use celerythread_engine::time::Time;
use std::time::Duration;

/// Capacity of a minion, as in the deployments.
pub(crate) const CAPACITY: Resources = Resources { cpu: 16_000, memory_mb: 32_768, gpu: 0 };

pub(crate) fn id(number: u8) -> Id {
    format!("{number:016x}").parse().unwrap()
}

pub(crate) fn task(job: u8, step: u32, index: u32) -> TaskName {
    TaskName { job: id(job), occurrence: 0, step, index }
}

/// A step of `count` tasks that take one core for half a second each.
pub(crate) fn step(count: u32) -> Step {
    let need = Resources { cpu: 1000, memory_mb: 512, gpu: 0 };
    Step { count, need, estimate_ms: 500, ..Step::default() }
}

pub(crate) fn definition(steps: Vec<Step>) -> Definition {
    Definition { spec: "work".into(), steps, schedule: None }
}

/// A cell under a manual clock.
pub(crate) struct Harness {
    pub(crate) cell: Cell,
    pub(crate) now: Time,
    last_end: u64,
}

impl Harness {
    pub(crate) fn new(minions: usize) -> Self {
        Self::with_cell(Cell::new(Settings::default(), 0, None), minions)
    }

    pub(crate) fn with_cell(cell: Cell, minions: usize) -> Self {
        let mut harness = Self { cell, now: Time(10_000), last_end: 0 };
        let queue = Queue {
            priority: 0,
            attempts: 2,
            stretch: 1.6,
            target_ms: 600,
            advice: None,
            public: true,
        };
        harness.cell.configure([("queue".into(), queue)], 1);
        for number in 0..minions {
            harness.add_minion(number);
        }
        harness
    }

    pub(crate) fn minion(number: usize) -> MinionId {
        format!("minion-{number}").into()
    }

    pub(crate) fn list_minion(&mut self, number: usize) {
        self.list_with(number, None);
    }

    /// Lists a minion with the given incarnation.
    pub(crate) fn list_incarnation(&mut self, number: usize, incarnation: Incarnation) {
        self.list_with(number, Some(incarnation));
    }

    fn list_with(&mut self, number: usize, incarnation: Option<Incarnation>) {
        let rack = format!("rack-{}", number / 4);
        let labels = ["kind".into(), rack.as_str().into()].into_iter().collect();
        let listing = Listing { incarnation, capacity: CAPACITY, labels, ..Listing::default() };
        self.cell.update_listing(&Self::minion(number), listing);
    }

    /// Lists a minion of an availability zone and lets it answer that it runs nothing.
    pub(crate) fn add_minion_in(&mut self, number: usize, zone: &str) {
        let listing = Listing { capacity: CAPACITY, zone: zone.into(), ..Listing::default() };
        self.cell.update_listing(&Self::minion(number), listing);
        self.answer(number, Report::default());
    }

    /// Lists a minion and lets it answer that it runs nothing.
    pub(crate) fn add_minion(&mut self, number: usize) {
        self.list_minion(number);
        self.answer(number, Report::default());
    }

    /// Makes a minion stop answering, and marks it as terminated three seconds later.
    pub(crate) fn crash(&mut self, minion: &MinionId) {
        self.cell.record_missed_answer(minion, self.now);
        self.advance_ms(3000);
        self.cell.remove_terminated_minion(minion, self.now);
    }

    /// Answers a poll that was sent at the current time.
    pub(crate) fn answer(&mut self, number: usize, report: Report) -> Vec<Order> {
        self.now = self.now + Duration::from_millis(1);
        self.cell.process_report(&Self::minion(number), &report, self.now, self.now)
    }

    pub(crate) fn submit(&mut self, job: u8, definition: Definition) {
        self.add_job(job, definition, false);
    }

    pub(crate) fn add_job(&mut self, job: u8, definition: Definition, inherited: bool) {
        let accepted = Accepted {
            queue: "queue".into(),
            at_ms: 0,
            definition,
            origin: Origin::Public,
            terms: None,
            service: None,
        };
        self.cell.add_job(id(job), accepted, None, inherited, Duration::ZERO, self.now);
    }

    /// Adds a job that was accepted at `at_ms` on the wall clock.
    pub(crate) fn submit_at(&mut self, job: u8, definition: Definition, at_ms: u64) {
        let accepted = Accepted {
            queue: "queue".into(),
            at_ms,
            definition,
            origin: Origin::Public,
            terms: None,
            service: None,
        };
        self.cell.add_job(id(job), accepted, None, false, Duration::ZERO, self.now);
    }

    /// Adds a job with progress that a former owner stored.
    pub(crate) fn add_job_with_progress(
        &mut self,
        job: u8,
        definition: Definition,
        progress: &Progress,
    ) {
        let accepted = Accepted {
            queue: "queue".into(),
            at_ms: 0,
            definition,
            origin: Origin::Public,
            terms: None,
            service: None,
        };
        let now = self.now;
        self.cell.add_job(id(job), accepted, Some(progress), false, Duration::ZERO, now);
    }

    pub(crate) fn advance_ms(&mut self, ms: u64) {
        self.now = self.now + Duration::from_millis(ms);
    }

    pub(crate) fn plan(&mut self) -> Vec<Order> {
        self.cell.plan(self.now, self.now.0, Permit::All)
    }

    /// Stores progress and plans until there is nothing left to store: a suspicion against a task
    /// is stored before the task is tried again.
    pub(crate) fn plan_and_store(&mut self) -> Vec<Order> {
        let mut orders = Vec::new();
        loop {
            self.store_progress();
            orders.extend(self.plan());
            if !self.cell.has_unpersisted() {
                return orders;
            }
        }
    }

    /// Plans, stores progress and advances the clock until a task is started.
    pub(crate) fn next_start(&mut self) -> (MinionId, TaskName, u32) {
        for _ in 0..100 {
            if let Some(start) = starts(&self.plan_and_store()).pop() {
                return start;
            }
            self.advance_ms(50);
        }
        panic!("nothing was started within five seconds");
    }

    /// Plans and accepts every start.
    pub(crate) fn start_all(&mut self) -> Vec<(MinionId, TaskName, u32)> {
        let started = starts(&self.plan());
        for (minion, task, run) in &started {
            self.cell.process_start_result(minion, task, *run, StartResult::Started, self.now);
        }
        started
    }

    /// Reports the end of a run; the minion's other runs continue.
    pub(crate) fn report_end(
        &mut self,
        minion: &MinionId,
        task: TaskName,
        run: u32,
        reason: EndReason,
    ) -> u64 {
        self.last_end += 1;
        let number = self.last_end;
        let end = End { number, task, run, reason, checkpoint: None };
        let report = Report { running: Vec::new(), finished: vec![end], ..Report::default() };
        // A report that was sent long ago doesn't imply that runs missing from it have ended.
        self.cell.process_report(minion, &report, Time(0), self.now);
        number
    }

    pub(crate) fn store_progress(&mut self) {
        while let Some(batch) = self.cell.unpersisted_batch(90) {
            self.cell.record_persisted(&batch);
        }
    }
}

/// Returns the starts among `orders`.
pub(crate) fn starts(orders: &[Order]) -> Vec<(MinionId, TaskName, u32)> {
    orders
        .iter()
        .filter_map(|order| match order {
            Order::Start { minion, task, run, .. } => Some((minion.clone(), *task, *run)),
            _ => None,
        })
        .collect()
}

/// Returns the stops among `orders`.
pub(crate) fn stops(orders: &[Order]) -> Vec<(MinionId, TaskName, u32)> {
    orders
        .iter()
        .filter_map(|order| match order {
            Order::Stop { minion, task, run } => Some((minion.clone(), *task, *run)),
            _ => None,
        })
        .collect()
}

pub(crate) fn running(task: TaskName, run: u32, percent: u8) -> Running {
    Running { task, run, checkpoint: None, percent, load: None }
}
