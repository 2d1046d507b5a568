//! Moves long-running tasks off minions that are to be emptied.

use crate::cell::availability::StopReason;
use crate::cell::minion::{Minion, MinionId, RunPhase};
use crate::cell::plan::stop_run;
use crate::cell::{Cell, Order};
use crate::job::TaskName;
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
            if !step.long_running || !(is_forced || self.availability(&task, now).permits_stop()) {
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
                let number = run.number;
                orders.push(stop_run(&id, &task, run, now));
                self.record_long_running_stop(&id, task, number, StopReason::Evacuated, now);
            }
        }
    }
}
