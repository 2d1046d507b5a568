//! Gives free capacity to the waiting jobs, in the order of their ranks.

use crate::cell::minion::{Minion, MinionId};
use crate::cell::ranking::{Rank, class};
use crate::cell::share::Shares;
use crate::cell::{Cell, Order, Permit};
use crate::job::{Id, TaskName};
use crate::time::Time;
use std::collections::VecDeque;

/// A job whose tasks may be started.
struct Candidate {
    rank: Rank,
    id: Id,
    /// For a job that was deferred, the first task of the step to continue with.
    from: Option<TaskName>,
}

impl Candidate {
    fn new((rank, id): (Rank, Id)) -> Self {
        Self { rank, id, from: None }
    }
}

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
        self.open_shares(&ranked, now, wall_ms);
        self.start_ranked_jobs(ranked, now, wall_ms, permit, orders);
        self.close_shares(now);
    }

    /// Starts the tasks of jobs in the order of their ranks.  What exceeds a workspace's share comes
    /// after all other jobs that can meet their objective, and before those that cannot.
    fn start_ranked_jobs(
        &mut self,
        ranked: Vec<(Rank, Id)>,
        now: Time,
        wall_ms: u64,
        permit: Permit,
        orders: &mut Vec<Order>,
    ) {
        let mut may_reserve = true;
        let mut accepting: Option<MinionId> = None;
        let mut jobs: VecDeque<Candidate> = ranked.into_iter().map(Candidate::new).collect();
        let mut deferred = VecDeque::new();
        loop {
            if jobs.front().is_none_or(|job| job.rank.class == class::LATE) {
                std::mem::take(&mut deferred)
                    .into_iter()
                    .rev()
                    .for_each(|job| jobs.push_front(job));
            }
            let Some(candidate) = jobs.pop_front() else { return };
            if !self.find_accepting(&mut accepting, now) || self.is_start_limited() {
                return;
            }
            let Candidate { rank, id, from } = candidate;
            // A job that was deferred is not limited again.
            let group = if from.is_none() { self.limiting_group(&rank, &id) } else { None };
            if let Some(shares) = &mut self.shares.current {
                shares.begin_job(group);
            }
            let waiting = self.start_job(id, from, now, wall_ms, permit, orders);
            let interrupted_at = self.shares.current.as_mut().and_then(Shares::end_job);
            if interrupted_at.is_some() {
                self.count_deferred_job(&id);
                deferred.push_back(Candidate { from: interrupted_at, ..candidate });
            }
            if let Some(task) = waiting.filter(|_| may_reserve) {
                self.reserve_minion(&task, now);
                may_reserve = rank.class == class::LONG_RUNNING;
            }
        }
    }

    /// Finds a minion that accepts tasks; returns false if there is none.  `accepting` is the last
    /// one found, which still does in most cases.
    fn find_accepting(&self, accepting: &mut Option<MinionId>, now: Time) -> bool {
        let accepts = |minion: &Minion| minion.accepts_tasks(now) || minion.is_fallback(now);
        let known = accepting.as_ref().and_then(|id| self.minions.get(id));
        if !known.is_some_and(accepts) {
            let found = self.minions.values().find(|minion| accepts(minion));
            *accepting = found.map(|minion| minion.id.clone());
        }
        accepting.is_some()
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

    /// Starts the tasks of a job that can be started, from a step on; returns the first one that
    /// found no capacity.
    fn start_job(
        &mut self,
        id: Id,
        from: Option<TaskName>,
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
                let is_before =
                    from.is_some_and(|from| (occurrence, step) < (from.occurrence, from.step));
                // Gangs are never passed over, so they had their turn.
                let had_turn = is_before
                    || from.is_some() && job.accepted.definition.steps[step as usize].gang;
                if !due || had_turn || job.open_tasks(occurrence, step) == 0 {
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
