//! The job controller: records ended attempts, starts waiting jobs, and preempts patient jobs
//! for urgent ones.

mod board;
mod settle;

use super::fenced;
use super::roster::Roster;
use crate::duty::Duty;
use crate::node::Node;
use board::JobCache;
use celerythread_model::event::Kind;
use celerythread_model::fleet;
use celerythread_model::id;
use celerythread_model::job::{Job, Size, Stage};
use celerythread_model::request::{Class, Idempotence};
use celerythread_model::table::Space;
use celerythread_model::unit::{Accelerators, Bytes, Revision};
use celerythread_platform::Error;
use celerythread_platform::message::{Order, Role, Task};
use celerythread_policy::health::{Health, State};
use celerythread_policy::learning::Estimates;
use celerythread_policy::lease::HeldLease;
use celerythread_policy::placement::{
    self, Allowance, CandidateWorker, Misses, Need, PatientTask, Placement,
};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// Most rows in one transaction; many starts or cancellations at once take a few writes.
const MAX_BATCH_ROWS: usize = 100;

/// Attempts at an idempotent job before it is marked as failed.
const MAX_ATTEMPTS: u32 = 5;

/// The state kept between two steps.
#[derive(Default)]
pub(crate) struct Controller {
    jobs: JobCache,
    roster: Roster,
    estimates: Estimates,
    health: HashMap<id::Worker, Health>,
    avoided_workers: HashMap<id::Job, id::Worker>,
    /// Attempts whose only order this process sent and saw refused; they certainly never ran.
    refused_attempts: HashMap<id::Job, u32>,
}

/// A decided change of a job's row, and the order to send once it is committed.
struct Change {
    old_revision: Revision,
    job: Job,
    order: Option<(id::Worker, Order)>,
}

impl Controller {
    /// One round.  Nothing new is started while the platform does not answer.
    pub(crate) async fn step(&mut self, node: &Arc<Node>, held: HeldLease) {
        if !self.jobs.refresh(node).await || !self.roster.refresh(node).await {
            return;
        }
        if self.jobs.is_empty() {
            // Nothing to settle, stop or place, so the reports need not be read.
            return;
        }
        let Ok(tasks) = node.platform.workers.tasks().await else { return };
        self.update_estimates(&tasks);
        let settled = self.settle(node, &tasks).await;
        self.commit(node, held, settled).await;
        self.stop_cancelled(node, &tasks).await;
        let placed = self.place(node, held, &tasks);
        self.commit(node, held, placed).await;
    }

    fn update_estimates(&mut self, tasks: &[Task]) {
        for task in tasks {
            if let Some((_, job)) = self.jobs.get(&task.job)
                && job.attempts == task.attempt
            {
                let (kind, declared) = (&job.spec.kind, &job.spec.size);
                self.estimates.record_usage(kind, declared, task.cpu, task.memory);
            }
        }
    }

    /// Commits changes in batches and sends their orders.
    ///
    /// The row is written first.  An order whose row was refused is never sent; one whose row was
    /// written is sent again by the next holder with the same attempt number, and a worker
    /// executes each attempt once.
    async fn commit(&mut self, node: &Arc<Node>, held: HeldLease, changes: Vec<Change>) {
        let mut changes = changes;
        while !changes.is_empty() {
            let rest = changes.split_off(changes.len().min(MAX_BATCH_ROWS));
            let batch = std::mem::replace(&mut changes, rest);
            let mut transaction = fenced(Duty::Jobs, held);
            for change in &batch {
                let key = fleet::key::<Job>(&change.job.spec.job);
                transaction =
                    transaction.replace(Space::Job, key, change.old_revision, &change.job);
            }
            match node.platform.table.commit(transaction).await {
                Ok(last) => self.apply_committed(node, batch, last).await,
                // A row was changed by another writer, or the outcome is unknown: read again first.
                Err(_) => {
                    self.jobs.refresh(node).await;
                    return;
                }
            }
        }
    }

    async fn apply_committed(&mut self, node: &Arc<Node>, batch: Vec<Change>, last: Revision) {
        let first = last.0 + 1 - batch.len() as u64;
        for (index, change) in batch.into_iter().enumerate() {
            let (job, stage) = (change.job.spec.job.clone(), change.job.stage);
            let attempt = change.job.attempts;
            self.jobs.upsert(change.job, Revision(first + index as u64));
            node.record_event(Kind::Job { job: job.clone(), stage });
            if let Some((worker, order)) = change.order {
                self.send_order(node, &job, attempt, worker, order).await;
            }
        }
    }

    async fn send_order(
        &mut self,
        node: &Node,
        job: &id::Job,
        attempt: u32,
        worker: id::Worker,
        order: Order,
    ) {
        if let Err(Error::Refused { .. }) = node.platform.workers.order(&worker, order).await {
            self.refused_attempts.insert(job.clone(), attempt);
            self.avoided_workers.insert(job.clone(), worker);
        }
    }

    /// Stops the tasks of cancelled jobs.
    async fn stop_cancelled(&self, node: &Node, tasks: &[Task]) {
        for task in tasks.iter().filter(|task| settle::occupies(task)) {
            let cancelled = self.jobs.get(&task.job);
            if cancelled.is_some_and(|(_, job)| job.stage == Stage::Cancelled) {
                let order = Order::Stop { job: task.job.clone() };
                let _ = node.platform.workers.order(&task.worker, order).await;
            }
        }
    }

    fn place(&mut self, node: &Node, held: HeldLease, tasks: &[Task]) -> Vec<Change> {
        let document = node.view.read().document().clone();
        let mut candidates = self.candidate_workers(node, tasks);
        let mut used = self.used_by_team();
        let mut changes = Vec::new();
        let mut misses = Misses::default();
        for (revision, job) in self.jobs.waiting() {
            let team = document.teams.get(&job.spec.team);
            let allowance = team.map(|team| Allowance {
                quota: Size {
                    cpu: team.cpu,
                    memory: Bytes(u64::MAX),
                    accelerators: Accelerators(team.accelerators),
                },
                used: used.get(&job.spec.team).copied().unwrap_or_default(),
            });
            let need = Need {
                size: self.estimates.size(&job.spec.kind, &job.spec.size),
                class: job.spec.class,
                avoid: self.avoided_workers.get(&job.spec.job).cloned(),
            };
            if misses.covers(&need) {
                continue;
            }
            match placement::place(&need, &candidates, allowance) {
                Placement::Start(worker) => {
                    reserve_capacity(&mut candidates, &worker, &need.size);
                    *used.entry(job.spec.team.clone()).or_default() += need.size;
                    let boot = self.roster.get(worker.as_str()).map_or(0, |listed| listed.boot);
                    let job = with_new_attempt(job, &worker, boot, held);
                    let order = Some((worker, start_order(&job, need.size)));
                    changes.push(Change { old_revision: revision, job, order });
                }
                Placement::Preempt(worker, jobs) => {
                    for name in jobs {
                        changes.extend(self.preempt(&name, &worker));
                        remove_preempted(&mut candidates, &worker, &name);
                    }
                }
                // A job held back by its team's quota tells nothing about other teams' jobs.
                Placement::Wait if fits_quota(allowance, &need) => misses.record(&need),
                Placement::Wait => {}
                Placement::Impossible(reason) => {
                    let job = Job { stage: Stage::Failed, reason, ..job.clone() };
                    changes.push(Change { old_revision: revision, job, order: None });
                }
            }
        }
        changes
    }

    fn preempt(&self, name: &id::Job, worker: &id::Worker) -> Option<Change> {
        let (revision, job) = self.jobs.get(name)?;
        let reason = "put aside for urgent work".into();
        let job = Job { stage: Stage::Suspended, worker: None, reason, ..job.clone() };
        let order = Order::Checkpoint { job: name.clone() };
        Some(Change { old_revision: revision, job, order: Some((worker.clone(), order)) })
    }

    /// Each worker with its free capacity, by the learnt sizes of the jobs that run on it.
    fn candidate_workers(&self, node: &Node, tasks: &[Task]) -> Vec<CandidateWorker> {
        let now = node.clock.now();
        let mut candidates: BTreeMap<id::Worker, CandidateWorker> = BTreeMap::new();
        for instance in self.roster.with_role(Role::Worker).filter(|instance| !instance.leaving) {
            let Ok(worker) = instance.name.parse::<id::Worker>() else { continue };
            let ejected = self.health.get(&worker).is_some_and(|health| match health.state(now) {
                State::Healthy => false,
                State::Ejected(_) => true,
                // A worker being probed gets one task at a time.
                State::Probing => tasks.iter().any(|t| t.worker == worker && settle::occupies(t)),
            });
            let candidate = CandidateWorker {
                worker: worker.clone(),
                zone: instance.zone.clone(),
                rack: instance.rack.clone(),
                total: instance.size,
                free: instance.size,
                ejected,
                patient: Default::default(),
            };
            candidates.insert(worker, candidate);
        }
        for job in self.jobs.running() {
            let Some(candidate) = job.worker.as_ref().and_then(|worker| candidates.get_mut(worker))
            else {
                continue;
            };
            let size = self.estimates.size(&job.spec.kind, &job.spec.size);
            candidate.free -= size;
            if job.spec.class == Class::Patient {
                candidate.patient.push(PatientTask { job: job.spec.job.clone(), size });
            }
        }
        candidates.into_values().collect()
    }

    fn used_by_team(&self) -> HashMap<id::Team, Size> {
        let mut used: HashMap<id::Team, Size> = HashMap::new();
        for job in self.jobs.running() {
            let size = self.estimates.size(&job.spec.kind, &job.spec.size);
            *used.entry(job.spec.team.clone()).or_default() += size;
        }
        used
    }
}

/// A job with a new attempt on a worker.
fn with_new_attempt(job: &Job, worker: &id::Worker, boot: u64, held: HeldLease) -> Job {
    Job {
        stage: Stage::Running,
        worker: Some(worker.clone()),
        attempts: job.attempts + 1,
        token: held.token,
        boot,
        reason: String::new(),
        ..job.clone()
    }
}

/// The order that starts a job's current attempt; the same each time it is sent.
fn start_order(job: &Job, size: Size) -> Order {
    Order::Start {
        job: job.spec.job.clone(),
        attempt: job.attempts,
        token: job.token.0,
        boot: job.boot,
        size,
    }
}

fn fits_quota(allowance: Option<Allowance>, need: &Need) -> bool {
    allowance.is_none_or(|allowance| (allowance.used + need.size).fits(&allowance.quota))
}

fn reserve_capacity(candidates: &mut [CandidateWorker], worker: &id::Worker, size: &Size) {
    if let Some(candidate) = candidates.iter_mut().find(|candidate| candidate.worker == *worker) {
        candidate.free -= *size;
    }
}

/// Removes a preempted job from its worker's candidates: it can't be preempted for a second
/// urgent job, as the capacity that it frees is already assigned.
fn remove_preempted(candidates: &mut [CandidateWorker], worker: &id::Worker, job: &id::Job) {
    if let Some(candidate) = candidates.iter_mut().find(|candidate| candidate.worker == *worker) {
        candidate.patient.retain(|patient| patient.job != *job);
    }
}

/// Whether another attempt may be made.
fn may_retry(job: &Job) -> bool {
    job.spec.idempotence == Idempotence::Idempotent && job.attempts < MAX_ATTEMPTS
}
