//! Slow minions, and stragglers among their tasks.
//!
//! A few minions run six times as slowly as the others for some seconds and look healthy otherwise.
//! A job is as late as its last task, so every job with a task there misses its objective.
//! Progress against the estimate shows it with the first report.
//!
//! Estimates can be far off too, and then all tasks of one job look slow wherever they run.  So a
//! minion counts as slow only when different jobs were slow there and none was fast since, and a
//! task is restarted for this at most once.  Without both rules, a job with a wrong estimate was
//! restarted on one minion after the other and never completed.

use crate::cell::minion::RunPhase;
use crate::cell::plan::stop_run;
use crate::cell::work::Task;
use crate::cell::{Cell, Event, MinionId, Order};
use crate::job::TaskName;
use crate::time::Time;
use std::time::Duration;

/// Minimum elapsed time from which a run's speed is judged.  Startup is part of it, so a shorter
/// time says nothing about the speed.
const MIN_ELAPSED: Duration = Duration::from_millis(300);

/// Multiple of its estimate from which a task is slow.  Most estimates are off by a fifth, and a
/// task away from its data takes half as long again.
const SLOW_RATIO: f64 = 2.5;

/// Multiple of its estimate below which a task is fast.
const FAST_RATIO: f64 = 1.6;

/// Number of different jobs with slow tasks that make a minion slow.
const MIN_SLOW_JOBS: usize = 2;

/// A run is stopped if it would take longer than this multiple of its estimate from now on, plus
/// [`MIN_RESTART_GAIN`].  Stopping it and repeating its work take about one estimate and a second.
const MIN_RESTART_GAIN_FACTOR: f64 = 2.0;

/// See [`MIN_RESTART_GAIN_FACTOR`].
const MIN_RESTART_GAIN: Duration = Duration::from_millis(1200);

/// Maximum number of stragglers that one plan stops, so that their tasks find capacity elsewhere.
const MAX_STRAGGLERS_PER_PLAN: usize = 4;

/// The total duration of a run, projected from its progress; `None` if that is too early to tell.
fn projected_duration(elapsed: Duration, percent: u8) -> Option<Duration> {
    let known = elapsed >= MIN_ELAPSED && (1..100).contains(&percent);
    known.then(|| elapsed.mul_f64(100.0 / f64::from(percent)))
}

impl Cell {
    /// Records a minion's speed from a run's progress, or from its total duration.
    pub(crate) fn record_speed(&mut self, id: &MinionId, name: &TaskName, percent: u8, now: Time) {
        let Some(job) = self.jobs.get(&name.job) else { return };
        let step = &job.accepted.definition.steps[name.step as usize];
        let Some(minion) = self.minions.get_mut(id) else { return };
        let Some(run) = minion.runs.get(name) else { return };
        let elapsed = now.since(run.began_at);
        let total =
            if percent >= 100 { Some(elapsed) } else { projected_duration(elapsed, percent) };
        let (Some(total), false) = (total, step.long_running || step.estimate_ms == 0) else {
            return;
        };
        let ratio = total.as_millis() as f64 / step.estimate_ms as f64;
        if ratio > SLOW_RATIO {
            minion.slow_jobs.insert(name.job);
        } else if ratio < FAST_RATIO {
            minion.slow_jobs.clear();
        }
    }

    /// Stops runs that are far behind on slow minions if another minion has capacity and completes
    /// them sooner although they are restarted.
    pub(crate) fn stop_stragglers(&mut self, now: Time, orders: &mut Vec<Order>) {
        let mut stragglers: Vec<(MinionId, TaskName)> = Vec::new();
        for minion in
            self.minions.values().filter(|minion| minion.is_reachable() && minion.is_slow())
        {
            let runs = minion.runs.iter().filter(|(name, _)| self.is_straggler(minion, name, now));
            stragglers.extend(runs.map(|(name, _)| (minion.id.clone(), *name)));
        }
        for (id, name) in stragglers.into_iter().take(MAX_STRAGGLERS_PER_PLAN) {
            let Some(job) = self.jobs.get(&name.job) else { continue };
            let step = job.accepted.definition.steps[name.step as usize].clone();
            let Some(task) = job.task(&name) else { continue };
            let task = Task { avoid: Some(id.clone()), ..task.clone() };
            let spread = self.spread(&name);
            if self.find_fast_minion(&step, &task, &spread, now).is_none() {
                continue;
            }
            let Some(minion) = self.minions.get_mut(&id) else { continue };
            let Some(run) = minion.runs.get_mut(&name) else { continue };
            let percent = run.percent;
            orders.push(stop_run(&id, &name, run, now));
            if let Some(task) = self.jobs.get_mut(&name.job).and_then(|job| job.task_mut(&name)) {
                task.avoid = Some(id.clone());
                task.was_straggler = true;
            }
            self.record_event(Event::Stalled { minion: id, task: name, percent });
        }
    }

    fn is_straggler(&self, minion: &crate::cell::Minion, name: &TaskName, now: Time) -> bool {
        let Some(run) = minion.runs.get(name) else { return false };
        let Some(job) = self.jobs.get(&name.job) else { return false };
        let step = &job.accepted.definition.steps[name.step as usize];
        if job.task(name).is_none_or(|task| task.was_straggler) {
            return false;
        }
        if run.phase != RunPhase::Active || step.long_running || step.gang || step.estimate_ms == 0
        {
            return false;
        }
        let Some(total) = projected_duration(run.progressed_at.since(run.began_at), run.percent)
        else {
            return false;
        };
        let remaining = total.saturating_sub(now.since(run.began_at));
        let estimate = Duration::from_millis(step.estimate_ms);
        remaining > estimate.mul_f64(MIN_RESTART_GAIN_FACTOR) + MIN_RESTART_GAIN
    }

    /// A minion with capacity that is not slow itself.
    fn find_fast_minion(
        &self,
        step: &crate::job::Step,
        task: &crate::cell::work::Task,
        spread: &crate::cell::place::Spread,
        now: Time,
    ) -> Option<MinionId> {
        let is_fast = |id: &str| self.minions.get(id).is_some_and(|minion| !minion.is_slow());
        self.find_minion(step, task, spread, now, is_fast)
    }
}

impl crate::cell::Minion {
    /// Whether it is much slower than estimates.
    pub(crate) fn is_slow(&self) -> bool {
        self.slow_jobs.len() >= MIN_SLOW_JOBS
    }
}
