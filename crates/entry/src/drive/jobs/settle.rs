//! Deciding the outcome of started attempts.

use super::{Change, Controller, may_retry};
use crate::node::Node;
use celerythread_model::id;
use celerythread_model::job::{Job, Stage};
use celerythread_model::request::Idempotence;
use celerythread_model::unit::Revision;
use celerythread_platform::message::{Phase, Task};
use std::collections::HashMap;
use std::time::Duration;

/// Whether a task uses capacity of its worker.
pub(super) fn occupies(task: &Task) -> bool {
    matches!(task.phase, Phase::Running | Phase::Throttled)
}

impl Controller {
    /// Decides the outcome of every running job from the reports, which lag, and by asking the
    /// worker if they don't list the attempt.
    pub(super) async fn settle(&mut self, node: &Node, tasks: &[Task]) -> Vec<Change> {
        let reported: HashMap<(&id::Worker, &id::Job), &Task> =
            tasks.iter().map(|task| ((&task.worker, &task.job), task)).collect();
        let running: Vec<(Revision, Job)> = self
            .jobs
            .running()
            .filter_map(|job| self.jobs.get(&job.spec.job))
            .map(|(revision, job)| (revision, job.clone()))
            .collect();
        let mut changes = Vec::new();
        for (revision, job) in running {
            let Some(worker) = job.worker.clone() else { continue };
            let task = reported.get(&(&worker, &job.spec.job)).copied();
            let next = match task.filter(|task| task.attempt == job.attempts) {
                Some(task) => self.outcome_by_report(node, &job, &worker, task),
                None => self.outcome_without_report(node, &job, &worker).await,
            };
            if let Some(job) = next {
                changes.push(Change { old_revision: revision, job, order: None });
            }
        }
        changes
    }

    fn outcome_by_report(
        &mut self,
        node: &Node,
        job: &Job,
        worker: &id::Worker,
        task: &Task,
    ) -> Option<Job> {
        match task.phase {
            Phase::Running | Phase::Throttled => None,
            Phase::Checkpointed => Some(Job {
                stage: Stage::Suspended,
                worker: None,
                reason: "the worker put it aside".into(),
                ..job.clone()
            }),
            Phase::Done => {
                self.health
                    .entry(worker.clone())
                    .or_default()
                    .record_success(Duration::from_millis(1));
                Some(Job { stage: Stage::Done, ..job.clone() })
            }
            Phase::Failed => {
                self.record_worker_failure(node, worker);
                self.avoided_workers.insert(job.spec.job.clone(), worker.clone());
                Some(after_failure(job, &format!("attempt {} failed on {worker}", job.attempts)))
            }
        }
    }

    /// Compares a worker's failure rate with that of the others.  One that fails everything it
    /// starts is ejected and later probed with one task.
    fn record_worker_failure(&mut self, node: &Node, worker: &id::Worker) {
        let others = self.health.iter().filter(|(name, _)| *name != worker);
        let rates: Vec<f64> = others.map(|(_, health)| health.failure_rate()).collect();
        let siblings = rates.iter().sum::<f64>() / rates.len().max(1) as f64;
        let health = self.health.entry(worker.clone()).or_default();
        health.record_failure(node.clock.now(), siblings, true);
    }

    /// The outcome of an attempt that no report lists: it was never started, or its worker has
    /// terminated or was restarted.
    async fn outcome_without_report(
        &mut self,
        node: &Node,
        job: &Job,
        worker: &id::Worker,
    ) -> Option<Job> {
        let attempt = job.attempts;
        if self.refused_attempts.remove(&job.spec.job) == Some(attempt) {
            let reason = format!("{worker} refused attempt {attempt}");
            return Some(Job { stage: Stage::Queued, worker: None, reason, ..job.clone() });
        }
        if self.roster.is_gone(worker.as_str(), node.clock.now()) {
            return Some(after_loss(job, format!("{worker} is gone with attempt {attempt}")));
        }
        if self.roster.get(worker.as_str()).is_some_and(|listed| listed.boot > job.boot) {
            return Some(after_loss(
                job,
                format!("{worker} was restarted under attempt {attempt}"),
            ));
        }
        let inspected = node.platform.workers.inspect(worker, &job.spec.job).await.ok()?;
        match inspected {
            Some(task) if task.attempt == attempt => {
                self.outcome_by_report(node, job, worker, &task)
            }
            _ => self.resend_order(node, job, worker).await,
        }
    }

    /// Sends the start order of an attempt without a task again: the order or its answer was lost,
    /// or the former holder stopped before it sent the order.
    ///
    /// Within one boot a worker executes an attempt once, however often it is ordered.  Another
    /// boot refuses the order; the attempt may have run on the earlier boot, so a non-idempotent
    /// job is not run again.
    async fn resend_order(&self, node: &Node, job: &Job, worker: &id::Worker) -> Option<Job> {
        let size = self.estimates.size(&job.spec.kind, &job.spec.size);
        let ordered = node.platform.workers.order(worker, super::start_order(job, size)).await;
        match ordered {
            Err(celerythread_platform::Error::Refused { reason }) => Some(after_loss(
                job,
                format!("{worker} refused attempt {}: {reason}", job.attempts),
            )),
            _ => None,
        }
    }
}

/// A job whose attempt has certainly ended without success.
fn after_failure(job: &Job, reason: &str) -> Job {
    let stage = match (job.spec.idempotence, may_retry(job)) {
        (Idempotence::Idempotent, true) => Stage::Queued,
        // A failed non-idempotent job has run; it is not run a second time.
        _ => Stage::Failed,
    };
    let worker = if stage == Stage::Queued { None } else { job.worker.clone() };
    Job { stage, worker, reason: reason.into(), ..job.clone() }
}

/// A job whose attempt was lost with its worker or boot: an idempotent one is queued again, the
/// outcome of a non-idempotent one is unknown.
fn after_loss(job: &Job, reason: String) -> Job {
    if may_retry(job) {
        return Job { stage: Stage::Queued, worker: None, reason, ..job.clone() };
    }
    let stage = match job.spec.idempotence {
        Idempotence::Idempotent => Stage::Failed,
        Idempotence::NonIdempotent => Stage::Unknown,
    };
    Job { stage, reason, ..job.clone() }
}
