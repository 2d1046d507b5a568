//! Minions that run the tasks of some jobs, and the successive owners of their cell.

use crate::fixture::{CAPACITY, definition, id, step};
use crate::model::{Minion, RunRecord, Start};
use celerythread_engine::cell::{
    Cell, Incarnation, Listing, MinionId, Order, Permit, Queue, Settings, StartResult,
};
use celerythread_engine::job::{Accepted, Id, Origin, Progress, State, Step, TaskName};
use celerythread_engine::time::Time;
use std::collections::BTreeMap;
use std::time::Duration;

const TICK: Duration = Duration::from_millis(20);
const LEASE_DURATION: Duration = Duration::from_millis(4500);

/// Time until a lease must have expired on any clock.
pub(super) const LEASE_EXPIRY: Duration = Duration::from_millis(4650);

/// Time from an owner's loss until another entry takes the cell.
const TAKEOVER_DELAY: Duration = Duration::from_millis(1300);

/// Time from a suspected start until the owner polls the minion.
const TRIAL_POLL_DELAY: Duration = Duration::from_millis(260);

/// How long a task runs.
const WORK: Duration = Duration::from_secs(20);

/// An address at which a minion runs.
pub(super) struct Machine {
    pub(super) id: MinionId,
    /// The process; `None` while there is none.
    pub(super) process: Option<Minion>,
    pub(super) is_cut: bool,
    /// Whether polls stay without a result.
    pub(super) is_held: bool,
    /// From when on calls to a minion that doesn't answer fail.
    pub(super) detected_at: Time,
    /// When the owner learns that the minion is to be emptied.
    pub(super) leaving_at: Option<Time>,
    /// When the owner learns that the minion drains.
    pub(super) draining_at: Option<Time>,
    /// When the platform stops listing it.
    pub(super) unlisted_at: Option<Time>,
    /// When another minion answers there.
    pub(super) removed_at: Option<Time>,
    /// When the process starts again under the same id.
    pub(super) restarts_at: Option<Time>,
    pub(super) next_poll: Time,
}

impl Machine {
    fn answers(&self) -> bool {
        self.process.is_some() && !self.is_cut
    }

    fn listing(&self, now: Time) -> Listing {
        let draining = self.draining_at.is_some_and(|at| now >= at);
        Listing { capacity: CAPACITY, draining, ..Listing::default() }
    }
}

/// The minions, the table and the owner.
pub(super) struct World {
    pub(super) now: Time,
    pub(super) machines: Vec<Machine>,
    /// Whether the owner's writes are carried out.
    pub(super) stores: bool,
    cell: Option<Cell>,
    generation: u32,
    owner_lost_at: Option<Time>,
    jobs: u8,
    stored: BTreeMap<Id, Progress>,
    poll_interval: Duration,
    history: Vec<RunRecord>,
    /// Minions of the runs in the history.
    places: Vec<MinionId>,
    last_number: u64,
}

impl World {
    pub(super) fn new(jobs: u8, poll_interval: Duration) -> Self {
        let mut world = Self {
            now: Time(10_000),
            machines: Vec::new(),
            stores: true,
            cell: None,
            generation: 0,
            owner_lost_at: None,
            jobs,
            stored: BTreeMap::new(),
            poll_interval,
            history: Vec::new(),
            places: Vec::new(),
            last_number: 0,
        };
        (0..jobs + 2).for_each(|_| world.add_machine());
        world.start_owner(None);
        world
    }

    pub(super) fn add_machine(&mut self) {
        let process = self.new_process(None);
        let machine = Machine {
            id: process.id.clone(),
            process: Some(process),
            is_cut: false,
            is_held: false,
            detected_at: Time(0),
            leaving_at: None,
            draining_at: None,
            unlisted_at: None,
            removed_at: None,
            restarts_at: None,
            next_poll: self.now,
        };
        if let Some(cell) = &mut self.cell {
            cell.update_listing(&machine.id, machine.listing(self.now));
        }
        self.machines.push(machine);
    }

    fn new_process(&mut self, id: Option<&str>) -> Minion {
        self.last_number += 1;
        let name = format!("minion-{}", self.last_number);
        Minion::new(id.unwrap_or(&name), Incarnation(self.last_number), CAPACITY)
    }

    pub(super) fn machine(&mut self, id: &str) -> Option<&mut Machine> {
        self.machines.iter_mut().find(|machine| *machine.id == *id)
    }

    /// Ends the process of a minion, which ends its runs.
    pub(super) fn end_process(&mut self, id: &str) {
        let now = self.now;
        let Some(machine) = self.machines.iter_mut().find(|machine| *machine.id == *id) else {
            return;
        };
        if let Some(mut process) = machine.process.take() {
            process.crash(now, &mut self.history);
        }
    }

    /// Starts a process again under the same id.
    pub(super) fn restart_process(&mut self, id: &str) {
        let process = self.new_process(Some(id));
        if let Some(machine) = self.machine(id) {
            machine.process = Some(process);
            machine.restarts_at = None;
        }
    }

    /// Ends a run, as for a stop that was sent long ago.
    pub(super) fn stop_run(&mut self, job: u8) {
        let Some(record) = self.active_run(job) else { return };
        let (task, run) = (self.history[record].task, self.history[record].run);
        let (place, now) = (self.places[record].clone(), self.now);
        let token = u64::from(self.generation) + 1;
        let process = self.machine(&place).and_then(|machine| machine.process.as_mut());
        process.map(|process| process.stop(task, run, token, now));
    }

    fn active_run(&self, job: u8) -> Option<usize> {
        self.history.iter().rposition(|run| run.task.job == id(job) && run.ended.is_none())
    }

    /// The minion on which a job runs, and since when.
    pub(super) fn run_of(&self, job: u8) -> Option<(MinionId, Time)> {
        let record = self.active_run(job)?;
        Some((self.places[record].clone(), self.history[record].began_at))
    }

    pub(super) fn is_completed(&self, job: u8) -> bool {
        let stored = self.stored.get(&id(job)).and_then(|progress| progress.outcome);
        stored == Some(State::Completed)
    }

    /// The first job that failed, if any has.
    pub(super) fn failed_job(&self) -> Option<Id> {
        let is_failed = |id: &Id| {
            let stored = self.stored.get(id).and_then(|progress| progress.outcome);
            let shown = self.cell.as_ref().and_then(|cell| cell.state(id));
            [stored, shown].contains(&Some(State::Failed))
        };
        (1..=self.jobs).map(id).find(is_failed)
    }

    pub(super) fn has_owner(&self) -> bool {
        self.cell.is_some()
    }

    /// Ends the owner's process; another entry takes the cell some time later.
    pub(super) fn lose_owner(&mut self) {
        self.cell = None;
        self.owner_lost_at = Some(self.now);
    }

    fn start_owner(&mut self, former_lease_expiry: Option<Time>) {
        let now = self.now;
        let mut cell = Cell::new(Settings::default(), self.generation, former_lease_expiry);
        let queue = Queue { attempts: 2, ..Queue::default() };
        cell.configure([("queue".into(), queue)], 1);
        let has_former = former_lease_expiry.is_some();
        for machine in &mut self.machines {
            machine.next_poll = now;
            if has_former {
                cell.inherit_minion(&machine.id);
            }
            if machine.unlisted_at.is_none_or(|at| now < at) {
                cell.update_listing(&machine.id, machine.listing(now));
            }
        }
        let whole_minion = Step { need: CAPACITY, estimate_ms: WORK.as_millis() as u64, ..step(1) };
        for job in 1..=self.jobs {
            let accepted = Accepted {
                queue: "queue".into(),
                at_ms: 0,
                definition: definition(vec![whole_minion.clone()]),
                origin: Origin::Public,
                terms: None,
                service: None,
            };
            let progress = self.stored.get(&id(job));
            cell.add_job(id(job), accepted, progress, has_former, Duration::ZERO, now);
        }
        self.cell = Some(cell);
        self.stores = true;
    }

    /// Advances the clock by one tick.
    pub(super) fn tick(&mut self) {
        self.now = self.now + TICK;
        let now = self.now;
        for machine in &mut self.machines {
            if let Some(process) = &mut machine.process {
                process.advance(now, &mut self.history);
            }
        }
        let due = |machine: &&Machine| machine.restarts_at.is_some_and(|at| now >= at);
        let due: Vec<_> = self.machines.iter().filter(due).map(|m| m.id.clone()).collect();
        due.into_iter().for_each(|id| self.restart_process(&id));
        if let Some(lost_at) = self.owner_lost_at.filter(|at| now >= *at + TAKEOVER_DELAY) {
            self.owner_lost_at = None;
            self.generation += 1;
            self.start_owner(Some(lost_at + LEASE_EXPIRY));
        }
        let Some(mut cell) = self.cell.take() else { return };
        self.observe_platform(&mut cell);
        (0..self.machines.len()).for_each(|at| self.poll(&mut cell, at));
        let orders = cell.plan(now, now.0, Permit::All);
        self.execute(&mut cell, orders);
        while let Some(batch) = cell.unpersisted_batch(90).filter(|_| self.stores) {
            for (id, _, progress) in &batch.rows {
                self.stored.insert(*id, progress.clone());
            }
            cell.record_persisted(&batch);
        }
        self.cell = Some(cell);
    }

    /// Lets the owner learn what the platform states of the minions.
    fn observe_platform(&mut self, cell: &mut Cell) {
        let now = self.now;
        let is_due = |at: Option<Time>| at.is_some_and(|at| now >= at);
        self.machines.retain(|machine| {
            if is_due(machine.draining_at) && cell.minion(&machine.id).is_some() {
                cell.update_listing(&machine.id, machine.listing(now));
            }
            if is_due(machine.leaving_at) {
                cell.set_leaving(&machine.id, true);
            }
            if is_due(machine.unlisted_at) {
                cell.mark_unlisted(&machine.id);
            }
            if is_due(machine.removed_at) {
                cell.remove_terminated_minion(&machine.id, now);
            }
            !is_due(machine.removed_at)
        });
    }

    fn poll(&mut self, cell: &mut Cell, at: usize) {
        let now = self.now;
        let machine = &mut self.machines[at];
        if machine.is_held || now < machine.next_poll {
            return;
        }
        let Some(known) = cell.minion(&machine.id) else { return };
        let incarnation = known.incarnation;
        let acknowledged = known.acknowledged();
        if !machine.answers() {
            if now >= machine.detected_at {
                machine.next_poll = now + self.poll_interval;
                cell.record_missed_answer(&machine.id, now);
            }
            return;
        }
        machine.next_poll = now + self.poll_interval;
        let Some(process) = &mut machine.process else { return };
        let is_current = incarnation == Some(process.incarnation);
        let acknowledged = if is_current { acknowledged } else { 0 };
        let token = u64::from(self.generation) + 1;
        cell.extend_lease_expiry(&machine.id, now + LEASE_EXPIRY);
        let deadline = Some(now + LEASE_DURATION);
        let history = &mut self.history;
        if let Ok(report) = process.hold(token, acknowledged, deadline, now, history) {
            let sent = now - Duration::from_millis(1);
            let orders = cell.process_report(&machine.id, &report, sent, now);
            self.execute(cell, orders);
        }
    }

    fn execute(&mut self, cell: &mut Cell, orders: Vec<Order>) {
        let (now, token) = (self.now, u64::from(self.generation) + 1);
        for order in orders {
            match order {
                Order::Start { minion, task, run, first, suspected, .. } => {
                    cell.extend_lease_expiry(&minion, now + LEASE_EXPIRY);
                    let result = self.start(&minion, task, run, first);
                    if result == StartResult::Unknown {
                        cell.record_missed_answer(&minion, now);
                    }
                    cell.process_start_result(&minion, &task, run, result, now);
                    if let Some(machine) = self.machine(&minion).filter(|_| suspected) {
                        machine.next_poll = machine.next_poll.min(now + TRIAL_POLL_DELAY);
                    }
                }
                Order::Stop { minion, task, run } => {
                    let machine = self.machine(&minion).filter(|machine| machine.answers());
                    let process = machine.and_then(|machine| machine.process.as_mut());
                    if process.is_some_and(|process| process.stop(task, run, token, now).is_ok()) {
                        cell.confirm_stop(&minion, &task, run, now);
                    }
                }
                Order::Pace { .. } => {}
            }
        }
    }

    fn start(&mut self, minion: &MinionId, task: TaskName, run: u32, first: bool) -> StartResult {
        let now = self.now;
        let start = Start {
            task,
            run,
            first,
            need: CAPACITY,
            work: Some(WORK),
            fails: false,
            deadline: now + LEASE_DURATION,
            token: u64::from(self.generation) + 1,
        };
        let machine = self.machines.iter_mut().find(|machine| machine.id == *minion);
        let Some(process) =
            machine.filter(|machine| machine.answers()).and_then(|up| up.process.as_mut())
        else {
            return StartResult::Unknown;
        };
        match process.start(&start, now, &mut self.history) {
            Ok(()) => {
                self.places.resize(self.history.len(), minion.clone());
                StartResult::Started
            }
            Err(reason) => StartResult::Refused(reason),
        }
    }
}
