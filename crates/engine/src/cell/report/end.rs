//! Processing of the ends of runs.

use crate::cell::minion::MinionId;
use crate::cell::report::{End, EndReason};
use crate::cell::work::Phase;
use crate::cell::{Cell, Event, FailureReason};
use crate::job::{State, Trials};
use crate::time::Time;
use std::time::Duration;

/// Delay before a failed long-running task is restarted, so that one that fails at once does not
/// take up all calls to its minion.
const LONG_RUNNING_RESTART_DELAY: Duration = Duration::from_millis(100);

impl Cell {
    pub(super) fn process_end(&mut self, id: &MinionId, end: &End, now: Time) {
        self.apply_end(id, end, now);
        let Some(job) = self.jobs.get(&end.task.job) else { return };
        if !job.is_persisted() {
            self.changed_jobs.insert(end.task.job);
        }
    }

    fn apply_end(&mut self, id: &MinionId, end: &End, now: Time) {
        let Some(minion) = self.minions.get_mut(id) else { return };
        minion.seen = end.number;
        let is_known_run = minion.run(&end.task, end.run).is_some();
        if is_known_run && end.reason == EndReason::Done {
            self.record_speed(id, &end.task, 100, now);
        }
        let minion = self.minions.get_mut(id).filter(|_| is_known_run);
        let run = minion.and_then(|minion| minion.remove_run(&end.task));
        let worked = run.map(|run| now.since(run.began_at));
        self.record_event(Event::Ended { minion: id.clone(), end: end.clone() });
        if !self.task_exists(&end.task) {
            return;
        }
        self.record_outcome(id, end, worked, now);
        let Some(job) = self.jobs.get_mut(&end.task.job) else { return };
        let attempts = self
            .policies
            .queue(&job.accepted.queue)
            .map_or(crate::cell::Queue::default().attempts, |queue| queue.attempts);
        let step = &job.accepted.definition.steps[end.task.step as usize];
        let (long_running, gang) = (step.long_running, step.gang);
        job.started = true;
        let mut failure = None;
        match end.reason {
            EndReason::Done if !long_running => {
                job.finish_task(&end.task, now);
                if gang {
                    // The members of a gang complete together, so one such end counts for all.
                    job.finish_step(&end.task, now);
                }
                if job.is_done() && !job.state().is_final() {
                    job.outcome = Some(State::Completed);
                    job.ended_at = Some(now);
                    self.active_jobs.remove(&end.task.job);
                }
                return;
            }
            EndReason::Failed if !long_running => {
                let cancelled = job.state().is_final();
                let Some(task) = job.task_mut(&end.task) else { return };
                if task.phase == Phase::Done {
                    return;
                }
                if !task.failed.contains(&end.run) {
                    task.failed.push(end.run);
                }
                task.avoid = Some(id.clone());
                let failed = task.failed.len();
                // A gang is retried as a whole, so each of its failed runs counts once.
                let failed = if gang { job.failed_runs(&end.task) } else { failed };
                let is_exhausted = failed >= attempts as usize;
                job.mark_changed();
                if is_exhausted && !cancelled {
                    job.fail(now);
                    self.active_jobs.remove(&end.task.job);
                    failure = Some(Event::JobFailed {
                        task: end.task,
                        reason: FailureReason::Attempts,
                        failed,
                        attempts: Some(attempts),
                        points: 0,
                        trials: Trials::default(),
                    });
                }
            }
            EndReason::Failed => {
                if let Some(task) = job.task_mut(&end.task) {
                    task.not_before = now + LONG_RUNNING_RESTART_DELAY;
                    task.avoid = Some(id.clone());
                }
            }
            _ => {}
        }
        let Some(task) = job.task_mut(&end.task) else { return };
        if let Some(checkpoint) = &end.checkpoint {
            task.checkpoint = Some(checkpoint.clone());
        }
        failure.into_iter().for_each(|failure| self.record_event(failure));
        self.requeue_task(id, &end.task, end.run, now);
    }
}
