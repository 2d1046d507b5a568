//! Slow minions, and tasks that are late on them.
//!
//! The pattern it answers: a few minions work six times as slowly as their siblings for some
//! seconds, and look well otherwise.  A job is as late as its last task, so every job with a task
//! there misses its objective.  Progress against the estimate tells it within the first report.
//!
//! But estimates can be far off, too, and then all tasks of one job look slow wherever they run.
//! So a minion counts as slow only when different jobs were slow there and none was swift since,
//! and a task is begun anew once at most: without both, a job with a wrong estimate was begun anew
//! again and again on one minion after the other and never done.

use crate::cell::minion::RunPhase;
use crate::cell::plan::stop;
use crate::cell::work::Task;
use crate::cell::{Cell, MinionId, Note, Order};
use crate::job::TaskName;
use crate::time::Time;
use std::time::Duration;

/// Below this, an elapsed time says nothing: starting up is part of it.
const LEAST_ELAPSED: Duration = Duration::from_millis(300);

/// Times its estimate from which on a task is slow.  Most estimates are off by a fifth, and work
/// away from its data takes half as long again.
const SLOW: f64 = 2.5;

/// Times its estimate up to which a task is swift.
const SWIFT: f64 = 1.6;

/// Different jobs that make a minion slow.
const SLOW_JOBS: usize = 2;

/// A run is given up if it would take longer than this many times its estimate from now on, and
/// [`LEAST_GAIN`] more: stopping it, and its work done again, take about one estimate and a second.
const WORTHWHILE: f64 = 2.0;

/// See [`WORTHWHILE`].
const LEAST_GAIN: Duration = Duration::from_millis(1200);

/// Runs given up by one plan, so that their tasks find room.
const AT_ONCE: usize = 4;

/// How long a run will take in all, by its progress; none while that can't be told.
fn projected(elapsed: Duration, percent: u8) -> Option<Duration> {
    let known = elapsed >= LEAST_ELAPSED && (1..100).contains(&percent);
    known.then(|| elapsed.mul_f64(100.0 / f64::from(percent)))
}

impl Cell {
    /// Learns a minion's speed from a run's progress, or from its whole time.
    pub(crate) fn learn_speed(&mut self, id: &MinionId, name: &TaskName, percent: u8, now: Time) {
        let Some(job) = self.jobs.get(&name.job) else { return };
        let step = &job.accepted.definition.steps[name.step as usize];
        let Some(minion) = self.minions.get_mut(id) else { return };
        let Some(run) = minion.runs.get(name) else { return };
        let elapsed = now.since(run.since);
        let total = if percent >= 100 { Some(elapsed) } else { projected(elapsed, percent) };
        let (Some(total), false) = (total, step.long_running || step.estimate_ms == 0) else {
            return;
        };
        let ratio = total.as_millis() as f64 / step.estimate_ms as f64;
        if ratio > SLOW {
            minion.slow_jobs.insert(name.job);
        } else if ratio < SWIFT {
            minion.slow_jobs.clear();
        }
    }

    /// Stops runs that are far behind on slow minions, where another minion has room: begun anew
    /// there they are done sooner.
    pub(crate) fn stop_stragglers(&mut self, now: Time, orders: &mut Vec<Order>) {
        let mut late: Vec<(MinionId, TaskName)> = Vec::new();
        for minion in
            self.minions.values().filter(|minion| minion.is_reachable() && minion.is_slow())
        {
            let runs = minion.runs.iter().filter(|(name, _)| self.is_straggler(minion, name, now));
            late.extend(runs.map(|(name, _)| (minion.id.clone(), *name)));
        }
        for (id, name) in late.into_iter().take(AT_ONCE) {
            let Some(job) = self.jobs.get(&name.job) else { continue };
            let step = job.accepted.definition.steps[name.step as usize].clone();
            let Some(task) = job.task(&name) else { continue };
            let task = Task { avoid: Some(id.clone()), ..task.clone() };
            let spread = self.spread(&name);
            if self.find_swift(&step, &task, &spread, now).is_none() {
                continue;
            }
            let Some(minion) = self.minions.get_mut(&id) else { continue };
            let Some(run) = minion.runs.get_mut(&name) else { continue };
            let percent = run.percent;
            orders.push(stop(&id, &name, run, now));
            if let Some(task) = self.jobs.get_mut(&name.job).and_then(|job| job.task_mut(&name)) {
                task.avoid = Some(id.clone());
                task.begun_anew = true;
            }
            self.note(Note::Stalled { minion: id, task: name, percent });
        }
    }

    fn is_straggler(&self, minion: &crate::cell::Minion, name: &TaskName, now: Time) -> bool {
        let Some(run) = minion.runs.get(name) else { return false };
        let Some(job) = self.jobs.get(&name.job) else { return false };
        let step = &job.accepted.definition.steps[name.step as usize];
        if job.task(name).is_none_or(|task| task.begun_anew) {
            return false;
        }
        if run.phase != RunPhase::Active || step.long_running || step.gang || step.estimate_ms == 0
        {
            return false;
        }
        let Some(total) = projected(run.moved.since(run.since), run.percent) else { return false };
        let left = total.saturating_sub(now.since(run.since));
        let estimate = Duration::from_millis(step.estimate_ms);
        left > estimate.mul_f64(WORTHWHILE) + LEAST_GAIN
    }

    /// A minion with room that isn't slow itself.
    fn find_swift(
        &self,
        step: &crate::job::Step,
        task: &crate::cell::work::Task,
        spread: &crate::cell::place::Spread,
        now: Time,
    ) -> Option<MinionId> {
        let swift = |id: &str| self.minions.get(id).is_some_and(|minion| !minion.is_slow());
        self.find_minion(step, task, spread, now, swift)
    }
}

impl crate::cell::Minion {
    /// Whether it works much more slowly than estimated.
    pub(crate) fn is_slow(&self) -> bool {
        self.slow_jobs.len() >= SLOW_JOBS
    }
}
