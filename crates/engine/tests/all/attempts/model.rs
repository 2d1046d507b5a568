//! Simulation of minions that list ends again, of answers and writes that are lost or late, and of
//! owners that are replaced without knowing it.

use crate::fixture::{CAPACITY, Harness, definition, id, step};
use celerythread_engine::cell::{
    Cell, End, EndReason, Event, FailureReason, Incarnation, Listing, MinionId, Order, Permit,
    Queue, Report, Running, Settings, StartResult,
};
use celerythread_engine::job::{
    Accepted, Definition, Id, Origin, Progress, Schedule, State, Step, TaskName,
};
use celerythread_engine::time::Time;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const MINIONS: usize = 4;
const JOBS: u8 = 6;
const STEPS: usize = 1500;
const STEP: Duration = Duration::from_millis(20);
const ATTEMPTS: usize = 3;
const LEASE: Duration = Duration::from_millis(1500);

/// A minion as it is, whatever its owners know of it.
struct Minion {
    incarnation: u64,
    generation: u32,
    runs: BTreeMap<TaskName, (u32, u32, Time)>,
    /// The highest run of each task that ended or was stopped.
    highest: BTreeMap<TaskName, u32>,
    ends: Vec<End>,
    last_end: u64,
    lease: Time,
}

/// An owner, and the answers and start orders under way for it.
struct Owner {
    cell: Cell,
    generation: u32,
    answers: Vec<(usize, Report, Time)>,
    orders: Vec<Order>,
}

/// What a simulation has seen.
#[derive(Debug, Default)]
pub(crate) struct Outcome {
    /// Jobs that owners failed for their attempts; again if that was not stored.
    pub(crate) exhausted: usize,
    /// Jobs whose failure was stored.
    pub(crate) failed: usize,
    /// Jobs that were completed.
    pub(crate) completed: usize,
    /// Owners that were replaced.
    pub(crate) owners: u32,
    /// Violations of the rules.
    pub(crate) faults: Vec<String>,
}

pub(crate) struct Simulation {
    random: StdRng,
    now: Time,
    minions: Vec<Minion>,
    /// The owners, of which only the last one may store progress.
    owners: Vec<Owner>,
    jobs: BTreeMap<Id, Accepted>,
    stored: BTreeMap<Id, Progress>,
    /// Attempts of each task, or of the first of each gang, that failed: by generation and number.
    failures: BTreeMap<TaskName, BTreeSet<(u32, u32)>>,
    shown: BTreeMap<Id, State>,
    /// The owner that ordered each run.
    ordered: BTreeMap<(TaskName, u32), u32>,
    outcome: Outcome,
}

fn minion_id(number: usize) -> MinionId {
    Harness::minion(number)
}

/// Jobs of single tasks, of gangs, of occurrences, and of speculative and checkpointing steps.
fn jobs() -> BTreeMap<Id, Accepted> {
    let of = |number: u8| -> Definition {
        let after = [0].into_iter().collect();
        let kind = |count| match number % 3 {
            0 => Step { gang: true, ..step(count) },
            1 => Step { speculative: true, checkpointing: true, ..step(count) },
            _ => step(count),
        };
        let mut job = definition(vec![kind(3), Step { after, ..kind(2) }]);
        let schedule = Schedule { repetitions: 3, start_at_ms: 0, interval_ms: 0 };
        job.schedule = number.is_multiple_of(2).then_some(schedule);
        job
    };
    let accepted = |number| Accepted {
        queue: "queue".into(),
        at_ms: 0,
        definition: of(number),
        origin: Origin::Public,
        terms: None,
        service: None,
    };
    (0..JOBS).map(|number| (id(number), accepted(number))).collect()
}

impl Simulation {
    pub(crate) fn run(seed: u64) -> Outcome {
        let minion = || Minion {
            incarnation: 1,
            generation: 0,
            runs: BTreeMap::new(),
            highest: BTreeMap::new(),
            ends: Vec::new(),
            last_end: 0,
            lease: Time(0),
        };
        let mut simulation = Self {
            random: StdRng::seed_from_u64(seed),
            now: Time(10_000),
            minions: (0..MINIONS).map(|_| minion()).collect(),
            owners: Vec::new(),
            jobs: jobs(),
            stored: BTreeMap::new(),
            failures: BTreeMap::new(),
            shown: BTreeMap::new(),
            ordered: BTreeMap::new(),
            outcome: Outcome::default(),
        };
        simulation.add_owner();
        for _ in 0..STEPS {
            simulation.now = simulation.now + STEP;
            simulation.step();
        }
        simulation.outcome
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.random.random_range(0..100) < percent
    }

    fn step(&mut self) {
        if self.chance(1) {
            self.add_owner();
        }
        self.end_runs();
        for owner in 0..self.owners.len() {
            self.plan(owner);
            self.carry_out_orders(owner);
            for minion in 0..MINIONS {
                self.poll(owner, minion);
            }
            self.process_answers(owner);
            self.store(owner);
            self.check_failures(owner);
            self.check(owner);
        }
    }

    /// Adds an owner that reads what is stored.  Its predecessor goes on for a time.
    fn add_owner(&mut self) {
        let generation = self.outcome.owners;
        self.outcome.owners += 1;
        let expiry = (generation > 0).then(|| self.now + LEASE);
        let mut cell = Cell::new(Settings::default(), generation, expiry);
        let queue = Queue { attempts: ATTEMPTS as u32, ..Queue::default() };
        cell.configure([("queue".into(), queue)], 1);
        for number in 0..MINIONS {
            cell.update_listing(
                &minion_id(number),
                Listing { capacity: CAPACITY, ..Listing::default() },
            );
            if generation > 0 {
                cell.inherit_minion(&minion_id(number));
            }
        }
        for (id, accepted) in &self.jobs {
            let progress = self.stored.get(id);
            let inherited = generation > 0;
            cell.add_job(*id, accepted.clone(), progress, inherited, Duration::ZERO, self.now);
        }
        self.owners.push(Owner { cell, generation, answers: Vec::new(), orders: Vec::new() });
        if self.owners.len() > 2 {
            self.owners.remove(0);
        }
    }

    fn plan(&mut self, owner: usize) {
        let owner = &mut self.owners[owner];
        let orders = owner.cell.plan(self.now, self.now.0, Permit::All);
        for order in &orders {
            if let Order::Start { minion, task, run, .. } = order {
                let former = self.ordered.insert((*task, *run), owner.generation);
                if former.is_some() {
                    self.outcome
                        .faults
                        .push(format!("{task}: run {run} ordered by {former:?}, too"));
                }
                owner.cell.extend_lease_expiry(minion, self.now + LEASE);
            }
        }
        owner.orders.extend(orders);
    }

    /// The task, or the first one of its gang.
    fn attempt_name(&self, task: &TaskName) -> TaskName {
        let gang = self.jobs[&task.job].definition.steps[task.step as usize].gang;
        TaskName { index: if gang { 0 } else { task.index }, ..*task }
    }

    fn carry_out_orders(&mut self, owner: usize) {
        let orders = std::mem::take(&mut self.owners[owner].orders);
        for order in orders {
            // Under way; a start may be answered before, as unknown.
            if self.chance(20) {
                self.owners[owner].orders.push(order);
                continue;
            }
            let generation = self.owners[owner].generation;
            let (name, task, run) = match &order {
                Order::Start { minion, task, run, .. } | Order::Stop { minion, task, run } => {
                    (minion.clone(), *task, *run)
                }
                Order::Pace { .. } => continue,
            };
            let number = (0..MINIONS).find(|number| minion_id(*number) == name).unwrap();
            let is_fenced = generation < self.minions[number].generation;
            if self.chance(5) {
                continue;
            }
            let is_answered = self.chance(85);
            let (now, minion) = (self.now, &mut self.minions[number]);
            minion.generation = minion.generation.max(generation);
            match order {
                Order::Start { .. } if !is_fenced => {
                    let is_old = minion.highest.get(&task).is_some_and(|highest| run <= *highest);
                    if !is_old && !minion.runs.contains_key(&task) {
                        minion.runs.insert(task, (run, generation, now));
                        minion.lease = minion.lease.max(now + LEASE);
                    }
                    let result = match is_answered {
                        true if is_old => {
                            StartResult::Refused(celerythread_engine::cell::Refusal::StaleRun)
                        }
                        true => StartResult::Started,
                        false => StartResult::Unknown,
                    };
                    self.owners[owner].cell.process_start_result(&name, &task, run, result, now);
                }
                Order::Stop { .. } if !is_fenced => {
                    let highest = minion.highest.entry(task).or_default();
                    *highest = run.max(*highest);
                    if minion.runs.get(&task).is_some_and(|known| known.0 == run) {
                        self.end(number, task, EndReason::Stopped);
                    }
                    if is_answered {
                        self.owners[owner].cell.confirm_stop(&name, &task, run, now);
                    }
                }
                _ => {}
            }
        }
    }

    /// Ends some runs, and those whose lease expired.
    fn end_runs(&mut self) {
        for number in 0..MINIONS {
            if self.chance(1) {
                // Under the same id, and a crash only for runs that have long passed their trials.
                let minion = &mut self.minions[number];
                if minion.runs.values().all(|run| self.now.since(run.2) > Duration::from_secs(1)) {
                    minion.incarnation += 1;
                    minion.generation = 0;
                    minion.last_end = 0;
                    minion.runs.clear();
                    minion.ends.clear();
                    minion.highest.clear();
                }
            }
            let tasks: Vec<TaskName> = self.minions[number].runs.keys().copied().collect();
            for task in tasks {
                if self.now >= self.minions[number].lease {
                    self.end(number, task, EndReason::Expired);
                } else if self.chance(4) {
                    let reasons = [
                        EndReason::Failed,
                        EndReason::Failed,
                        EndReason::Done,
                        EndReason::Done,
                        EndReason::PeerEnded,
                        EndReason::PeersMissing,
                    ];
                    let reason = reasons[self.random.random_range(0..reasons.len())];
                    self.end(number, task, reason);
                    self.end_peers(&task, reason);
                }
            }
        }
    }

    /// Ends the other members of a gang, of which some fail at the same time.
    fn end_peers(&mut self, task: &TaskName, reason: EndReason) {
        if !self.jobs[&task.job].definition.steps[task.step as usize].gang {
            return;
        }
        for number in 0..MINIONS {
            let is_peer = |other: &TaskName| TaskName { index: task.index, ..*other } == *task;
            let names = self.minions[number].runs.keys().copied();
            for peer in names.filter(is_peer).collect::<Vec<_>>() {
                let own = match reason {
                    EndReason::Failed if self.chance(50) => EndReason::Failed,
                    EndReason::Done => EndReason::Done,
                    _ => EndReason::PeerEnded,
                };
                self.end(number, peer, own);
            }
        }
    }

    fn end(&mut self, number: usize, task: TaskName, reason: EndReason) {
        let attempt = self.attempt_name(&task);
        let minion = &mut self.minions[number];
        let Some((run, generation, _)) = minion.runs.remove(&task) else { return };
        let highest = minion.highest.entry(task).or_default();
        *highest = run.max(*highest);
        minion.last_end += 1;
        let number = minion.last_end;
        minion.ends.push(End { number, task, run, reason, checkpoint: None });
        if reason == EndReason::Failed {
            self.failures.entry(attempt).or_default().insert((generation, run));
        }
    }

    /// Polls a minion; the answer is lost or arrives with a later step.
    fn poll(&mut self, owner: usize, number: usize) {
        if !self.chance(50) {
            return;
        }
        let owner = &mut self.owners[owner];
        let minion = &mut self.minions[number];
        if owner.generation < minion.generation {
            return;
        }
        minion.generation = owner.generation;
        let known = owner.cell.minion(&minion_id(number)).unwrap();
        if known.incarnation == Some(Incarnation(minion.incarnation)) {
            let acknowledged = known.acknowledged();
            minion.ends.retain(|end| end.number > acknowledged);
        }
        owner.cell.extend_lease_expiry(&minion_id(number), self.now + LEASE);
        minion.lease = self.now + LEASE;
        let of = |(task, (run, ..)): (&TaskName, &(u32, u32, Time))| Running {
            task: *task,
            run: *run,
            checkpoint: None,
            percent: 50,
            load: None,
        };
        let report = Report {
            incarnation: Some(Incarnation(minion.incarnation)),
            running: minion.runs.iter().map(of).collect(),
            finished: minion.ends.clone(),
        };
        owner.answers.push((number, report, self.now));
    }

    fn process_answers(&mut self, owner: usize) {
        let answers = std::mem::take(&mut self.owners[owner].answers);
        for (number, report, sent) in answers {
            if self.chance(20) {
                self.owners[owner].answers.push((number, report, sent));
                continue;
            }
            let is_lost = self.chance(10);
            let owner = &mut self.owners[owner];
            if is_lost {
                owner.cell.record_missed_answer(&minion_id(number), self.now);
                continue;
            }
            let orders = owner.cell.process_report(&minion_id(number), &report, sent, self.now);
            owner.orders.extend(orders);
        }
    }

    /// Stores a batch; the answer is lost, or the write isn't carried out.
    fn store(&mut self, owner: usize) {
        let is_current = owner + 1 == self.owners.len();
        let (is_sent, is_written, is_answered) =
            (self.chance(40), self.chance(85), self.chance(85));
        let cell = &mut self.owners[owner].cell;
        let Some(batch) = cell.unpersisted_batch(3).filter(|_| is_sent) else { return };
        if batch.is_write_free() {
            cell.record_persisted(&batch);
            return;
        }
        if !is_written || !is_current {
            return;
        }
        if is_answered {
            cell.record_persisted(&batch);
        }
        for (id, _, progress) in batch.rows {
            let former = self.stored.insert(id, progress.clone()).and_then(|row| row.outcome);
            if former.is_some() && former != progress.outcome {
                let fault = format!("{id}: stored {:?} after {former:?}", progress.outcome);
                self.outcome.faults.push(fault);
            }
            match progress.outcome {
                Some(State::Failed) if former.is_none() => self.outcome.failed += 1,
                Some(State::Completed) if former.is_none() => self.outcome.completed += 1,
                _ => {}
            }
        }
    }

    /// Checks for which failed runs an owner fails jobs.
    fn check_failures(&mut self, owner: usize) {
        for event in self.owners[owner].cell.take_events() {
            let Event::JobFailed { task, reason: FailureReason::Attempts, failed, .. } = event
            else {
                continue;
            };
            self.outcome.exhausted += 1;
            let real = self.failures.get(&self.attempt_name(&task)).map_or(0, BTreeSet::len);
            if real < ATTEMPTS || failed > real {
                let fault = format!("{task} failed {real} times, its owner counted {failed}");
                self.outcome.faults.push(fault);
            }
        }
    }

    /// Checks what an owner shows, also one that was replaced.
    fn check(&mut self, owner: usize) {
        for id in self.jobs.keys() {
            let Some(state) = self.owners[owner].cell.state(id) else { continue };
            let stored = self.stored.get(id).and_then(|progress| progress.outcome);
            if state.is_final() && stored != Some(state) {
                self.outcome.faults.push(format!("{id}: shown as {state}, stored {stored:?}"));
            }
            if owner + 1 < self.owners.len() {
                continue;
            }
            let former = self.shown.insert(*id, state);
            if former.is_some_and(|former| former.is_final() && former != state) {
                self.outcome.faults.push(format!("{id}: shown as {state} after {former:?}"));
            }
        }
    }
}
