//! Moves long-running tasks off minions that are to be emptied.

use crate::cell::minion::{Minion, MinionId, RunPhase};
use crate::cell::plan::stop_run;
use crate::cell::work::Phase;
use crate::cell::{Cell, Event, Job, Order};
use crate::job::{Step, TaskName};
use crate::time::Time;

/// With less time than this left, a draining minion's long-running tasks are moved whatever their
/// step's allowance, since they end with it in any case.
const FORCED_EVACUATION_MS: u64 = 1200;

impl Cell {
    /// Moves long-running tasks off minions that are leaving, within the allowance of their steps.
    pub(crate) fn evacuate(&mut self, now: Time, orders: &mut Vec<Order>) {
        let leaving = |minion: &&Minion| minion.leaving || minion.listing.draining;
        let candidates: Vec<(MinionId, TaskName)> = self
            .minions
            .values()
            .filter(leaving)
            .flat_map(|minion| {
                let active = minion.runs.iter().filter(|(_, run)| run.phase == RunPhase::Active);
                active.map(|(task, _)| (minion.id.clone(), *task))
            })
            .collect();
        for (id, task) in candidates {
            let Some(job) = self.jobs.get(&task.job) else { continue };
            let step = &job.accepted.definition.steps[task.step as usize];
            let is_forced = self.minions.get(&id).is_some_and(|minion| {
                let remaining_ms = minion.listing.remaining_ms.unwrap_or(u64::MAX);
                minion.listing.draining && remaining_ms < FORCED_EVACUATION_MS
            });
            if !step.long_running || !(is_forced || self.can_evacuate(job, &task, step)) {
                continue;
            }
            // Only if another minion has capacity; otherwise the stop gains nothing.
            let mut moved = job.task(&task).cloned().unwrap_or_default();
            moved.avoid = Some(id.clone());
            let spread = self.spread(&task);
            if self.find_minion(step, &moved, &spread, now, |_| true).is_none() {
                continue;
            }
            let Some(minion) = self.minions.get_mut(&id) else { continue };
            if let Some(run) = minion.runs.get_mut(&task) {
                orders.push(stop_run(&id, &task, run, now));
                self.record_event(Event::Evacuated { minion: id, task });
            }
        }
    }

    /// Whether one more task of a long-running step may be stopped on purpose: fewer of its other
    /// tasks than its allowance may be inactive.
    fn can_evacuate(&self, job: &Job, name: &TaskName, step: &Step) -> bool {
        let allowance = step.max_unavailable.unwrap_or(0);
        let is_active = |index: u32| {
            let other = TaskName { index, ..*name };
            let Some(task) = job.task(&other) else { return false };
            let Phase::Placed { minion, run } = &task.phase else { return false };
            let Some(minion) = self.minions.get(minion) else { return false };
            let run = minion.run(&other, *run);
            minion.is_reachable()
                && run.is_some_and(|run| run.phase == RunPhase::Active && run.percent >= 100)
        };
        let inactive =
            (0..step.count).filter(|index| *index != name.index && !is_active(*index)).count();
        (inactive as u32) < allowance
    }
}
