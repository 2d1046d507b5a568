//! Gives free capacity to the waiting jobs, in the order of their ranks.

use crate::cell::minion::{Minion, MinionId};
use crate::cell::{Cell, Order, Permit};
use crate::job::{Id, TaskName};
use crate::time::Time;

impl Cell {
    /// Starts the tasks of waiting jobs, in the order of the jobs' ranks.
    pub(crate) fn start_waiting_jobs(
        &mut self,
        now: Time,
        wall_ms: u64,
        permit: Permit,
        orders: &mut Vec<Order>,
    ) {
        let takeover_complete = self.is_takeover_complete(now);
        let completed_at = self.takeover_completed_at;
        let mut ranked: Vec<_> = self
            .active_jobs
            .iter()
            .filter_map(|id| self.jobs.get(id).map(|job| (id, job)))
            .filter(|(_, job)| takeover_complete || !job.inherited)
            .filter(|(_, job)| permit.covers(job, completed_at))
            .map(|(id, job)| (self.rank(job, now), *id))
            .collect();
        ranked.sort();
        self.minions.values_mut().for_each(|minion| minion.reserved = false);
        self.unmet_needs.clear();
        self.count_runs(now);
        let mut may_reserve = true;
        let accepts = |minion: &Minion| minion.accepts_tasks(now) || minion.is_fallback(now);
        let mut accepting: Option<MinionId> = None;
        for (rank, id) in ranked {
            // The last minion found still accepts tasks in most cases.
            let known = accepting.as_ref().and_then(|id| self.minions.get(id));
            if !known.is_some_and(accepts) {
                let found = self.minions.values().find(|minion| accepts(minion));
                accepting = found.map(|minion| minion.id.clone());
            }
            if accepting.is_none() || self.is_start_limited() {
                return;
            }
            let waiting = self.start_job(id, now, wall_ms, permit, orders);
            if let Some(task) = waiting.filter(|_| may_reserve) {
                self.reserve_minion(&task, now);
                may_reserve = rank.class == 0;
            }
        }
    }

    /// Reserves a minion for a task that found no capacity, until it fits there.
    ///
    /// Otherwise capacity that becomes free bit by bit would go to smaller tasks each time, and a
    /// task that needs several cores would wait for as long as there are any.  For a long-running
    /// task its users would be without it all that time, and a large job would certainly be late.
    fn reserve_minion(&mut self, name: &TaskName, now: Time) {
        let Some(job) = self.jobs.get(&name.job) else { return };
        let step = &job.accepted.definition.steps[name.step as usize];
        let spread = self.spread(name);
        let Some(id) = self.find_reservation(step, &spread, now) else { return };
        if let Some(minion) = self.minions.get_mut(&id) {
            minion.reserved = true;
        }
    }

    /// Starts the tasks of a job that can be started; returns the first one that found no capacity.
    fn start_job(
        &mut self,
        id: Id,
        now: Time,
        wall_ms: u64,
        permit: Permit,
        orders: &mut Vec<Order>,
    ) -> Option<TaskName> {
        let job = self.jobs.get(&id)?;
        let mut unplaced_task = None;
        let steps = job.accepted.definition.steps.len() as u32;
        let occurrences = job.accepted.definition.occurrences();
        for occurrence in 0..occurrences {
            for step in 0..steps {
                let job = self.jobs.get(&id)?;
                let due = job.accepted.definition.due_ms(occurrence).is_none_or(|at| wall_ms >= at);
                if !due || job.open_tasks(occurrence, step) == 0 {
                    continue;
                }
                if job.is_step_ready(occurrence, step) {
                    let first = TaskName { job: id, occurrence, step, index: 0 };
                    let unplaced = self.start_step(first, now, permit, orders);
                    unplaced_task = unplaced_task.or(unplaced);
                }
            }
        }
        unplaced_task
    }
}
