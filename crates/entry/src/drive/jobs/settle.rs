//! What became of the jobs that were started.

use super::{Change, Jobs, may_repeat};
use crate::node::Node;
use celerythread_model::id;
use celerythread_model::job::{Job, Stage};
use celerythread_model::request::Idempotence;
use celerythread_model::unit::Revision;
use celerythread_platform::message::{Phase, Task};
use std::collections::HashMap;
use std::time::Duration;

/// Whether a task takes room on its worker.
pub(super) fn occupies(task: &Task) -> bool {
    matches!(task.phase, Phase::Running | Phase::Throttled)
}

impl Jobs {
    /// Decides about every running job by the reports, which lag, and by asking the worker
    /// where they say nothing.
    pub(super) async fn settle(&mut self, node: &Node, tasks: &[Task]) -> Vec<Change> {
        let reported: HashMap<(&id::Worker, &id::Job), &Task> =
            tasks.iter().map(|task| ((&task.worker, &task.job), task)).collect();
        let running: Vec<(Revision, Job)> = self
            .board
            .running()
            .filter_map(|job| self.board.get(&job.spec.job))
            .map(|(revision, job)| (revision, job.clone()))
            .collect();
        let mut changes = Vec::new();
        for (revision, job) in running {
            let Some(worker) = job.worker.clone() else { continue };
            let task = reported.get(&(&worker, &job.spec.job)).copied();
            let next = match task.filter(|task| task.attempt == job.attempts) {
                Some(task) => self.by_report(node, &job, &worker, task),
                None => self.without_report(node, &job, &worker).await,
            };
            if let Some(job) = next {
                changes.push(Change { old: revision, job, then: None });
            }
        }
        changes
    }

    fn by_report(
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
                self.note_failure(node, worker);
                self.avoid.insert(job.spec.job.clone(), worker.clone());
                Some(retried(job, &format!("attempt {} failed on {worker}", job.attempts)))
            }
        }
    }

    /// Judges a worker by its siblings: one that fails everything it starts is set aside, and
    /// tried again later with one task.
    fn note_failure(&mut self, node: &Node, worker: &id::Worker) {
        let others = self.health.iter().filter(|(name, _)| *name != worker);
        let rates: Vec<f64> = others.map(|(_, health)| health.failure_rate()).collect();
        let siblings = rates.iter().sum::<f64>() / rates.len().max(1) as f64;
        let health = self.health.entry(worker.clone()).or_default();
        health.record_failure(node.clock.now(), siblings, true);
    }

    /// The reports say nothing of the attempt: it was never started, or its worker is gone or
    /// was restarted.
    async fn without_report(&mut self, node: &Node, job: &Job, worker: &id::Worker) -> Option<Job> {
        let attempt = job.attempts;
        if self.refused.remove(&job.spec.job) == Some(attempt) {
            let reason = format!("{worker} refused attempt {attempt}");
            return Some(Job { stage: Stage::Queued, worker: None, reason, ..job.clone() });
        }
        if self.roster.is_gone(worker.as_str(), node.clock.now()) {
            return Some(lost(job, format!("{worker} is gone with attempt {attempt}")));
        }
        if self.roster.get(worker.as_str()).is_some_and(|listed| listed.boot > job.boot) {
            return Some(lost(job, format!("{worker} was restarted under attempt {attempt}")));
        }
        let inspected = node.platform.workers.inspect(worker, &job.spec.job).await.ok()?;
        match inspected {
            Some(task) if task.attempt == attempt => self.by_report(node, job, worker, &task),
            _ => self.order_again(node, job, worker).await,
        }
    }

    /// Gives the order of an attempt again that shows no task: its answer was lost, or its giver
    /// was gone before it gave it.
    ///
    /// The same boot of the worker carries an attempt out once, however often it is ordered.
    /// Another boot refuses; then the attempt may have run on the boot before, and a
    /// non-idempotent job is not run again.
    async fn order_again(&self, node: &Node, job: &Job, worker: &id::Worker) -> Option<Job> {
        let size = self.estimates.size(&job.spec.kind, &job.spec.size);
        let ordered = node.platform.workers.order(worker, super::start_order(job, size)).await;
        match ordered {
            Err(celerythread_platform::Error::Refused { reason }) => {
                Some(lost(job, format!("{worker} refused attempt {}: {reason}", job.attempts)))
            }
            _ => None,
        }
    }
}

/// A job whose attempt is over without success, and certainly so.
fn retried(job: &Job, reason: &str) -> Job {
    let stage = match (job.spec.idempotence, may_repeat(job)) {
        (Idempotence::Idempotent, true) => Stage::Queued,
        // A failed non-idempotent step has run; it is not run a second time.
        _ => Stage::Failed,
    };
    let worker = if stage == Stage::Queued { None } else { job.worker.clone() };
    Job { stage, worker, reason: reason.into(), ..job.clone() }
}

/// A job whose worker is gone: an idempotent one goes elsewhere, of another nobody can tell.
fn lost(job: &Job, reason: String) -> Job {
    if may_repeat(job) {
        return Job { stage: Stage::Queued, worker: None, reason, ..job.clone() };
    }
    let stage = match job.spec.idempotence {
        Idempotence::Idempotent => Stage::Failed,
        Idempotence::NonIdempotent => Stage::Unknown,
    };
    Job { stage, reason, ..job.clone() }
}
