//! Runs that make no progress.

use crate::cell::minion::{Minion, MinionId, Run, RunPhase};
use crate::cell::plan::stop_run;
use crate::cell::work::Phase;
use crate::cell::{Cell, Event, Order};
use crate::job::TaskName;
use crate::time::Time;
use std::time::Duration;

/// A run that has made no progress for too long.
struct Stall {
    minion: MinionId,
    task: TaskName,
    /// Whether it waits for other members of its gang, so that neither it nor its minion is at fault.
    is_waiting: bool,
}

impl Run {
    /// How long it takes, at its present pace, for what takes `duration` at full speed; `None` while
    /// it is paused.
    fn time_at_pace(&self, duration: Duration) -> Option<Duration> {
        duration.saturating_mul(100).checked_div(self.pace_percent.into())
    }
}

impl Cell {
    /// Stops runs that make no progress, and quarantines their minions.
    ///
    /// A hanging minion keeps answering, so nothing else would detect it, and its tasks would delay
    /// their jobs until the callers stop waiting.  A task that stalled on another minion before is
    /// itself the cause.  Quarantining minions for it would idle one after the other while other
    /// tasks wait for capacity.
    pub(crate) fn stop_stalled(&mut self, now: Time, orders: &mut Vec<Order>) {
        let quarantine = self.settings.quarantine;
        for Stall { minion: id, task, is_waiting } in self.find_stalls() {
            let can_do_without = self.can_do_without(&id, now);
            let Some(minion) = self.minions.get_mut(&id) else { continue };
            let Some(run) = minion.runs.get_mut(&task) else { continue };
            let percent = run.percent;
            orders.push(stop_run(&id, &task, run, now));
            let job = self.jobs.get_mut(&task.job).filter(|_| !is_waiting);
            if job.is_some_and(|job| job.record_stall(&task, id.clone())) && can_do_without {
                minion.quarantined_until = minion.quarantined_until.max(now + quarantine * 2);
            }
            self.record_event(Event::Stalled { minion: id, task, percent });
        }
    }

    fn find_stalls(&self) -> Vec<Stall> {
        // Without answers, there is no news of progress either.
        let reachable = self.minions.values().filter(|minion| minion.is_reachable());
        let runs = reachable.flat_map(|minion| minion.runs.iter().map(move |run| (minion, run)));
        runs.filter_map(|(minion, (task, run))| self.find_stall(minion, task, run)).collect()
    }

    /// Whether a run has stalled.
    fn find_stall(&self, minion: &Minion, task: &TaskName, run: &Run) -> Option<Stall> {
        let step = &self.jobs.get(&task.job)?.accepted.definition.steps[task.step as usize];
        if run.phase != RunPhase::Active || (step.long_running && run.percent >= 100) {
            return None;
        }
        let estimate = Duration::from_millis(step.estimate_ms).mul_f64(self.settings.stall_factor);
        let bound = run.time_at_pace(estimate.max(self.settings.min_stall))?;
        // Measured up to the minion's last report.  An owner whose polls are late has no news of
        // progress, and would stop the runs on whatever minion it polls next.
        let is_overdue = |since: Time| minion.reported_at.since(since) > bound;
        if !is_overdue(run.progressed_at.max(run.pace_changed_at)) {
            return None;
        }
        let complete_since = if step.gang { self.gang_complete_since(task) } else { Some(Time(0)) };
        complete_since.is_none_or(is_overdue).then(|| Stall {
            minion: minion.id.clone(),
            task: *task,
            is_waiting: complete_since.is_none(),
        })
    }

    /// Since when all members of a task's gang are known to run; `None` if they are not.
    fn gang_complete_since(&self, task: &TaskName) -> Option<Time> {
        let job = self.jobs.get(&task.job)?;
        let members = job.step_tasks(task.occurrence, task.step);
        let mut since = Time(0);
        for (index, member) in members.iter().enumerate() {
            let Phase::Placed { minion, run } = &member.phase else { return None };
            let name = TaskName { index: index as u32, ..*task };
            let run = self.minions.get(minion)?.run(&name, *run)?;
            if run.phase != RunPhase::Active {
                return None;
            }
            since = since.max(run.began_at);
        }
        Some(since)
    }
}
