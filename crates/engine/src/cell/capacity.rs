//! Report of a cell's unused capacity beside its waiting tasks, for operators.
//!
//! The waiting tasks are counted by what keeps them from starting, apart from capacity.  The unused
//! cores are counted by what keeps tasks that may start now from using them.
//!
//! The report reads each task, minion and run at most once.  Minions aren't matched against tasks
//! but against the distinct requirements of the tasks that may start now ([`requirement`]).

mod requirement;

use crate::cell::minion::Minion;
use crate::cell::quota::AccountId;
use crate::cell::work::{Phase, Task};
use crate::cell::{Cell, Job, Permit};
use crate::job::{Resources, Step, TaskName};
use crate::time::Time;
use requirement::Requirements;
use std::collections::BTreeMap;
use strum::{Display, EnumCount, VariantArray};

/// What unused cores of a minion could be used for.
#[derive(Clone, Copy, Debug, Display, EnumCount, Eq, PartialEq, VariantArray)]
#[strum(serialize_all = "snake_case")]
pub enum Usability {
    /// At least one task that may start now fits on the minion.  For a gang, all of it fits on this
    /// and other minions.
    Usable,
    /// No task that may start now fits.
    TooSmall,
    /// A task that may start now would fit, but the minion lacks its label or a ticket for it, or
    /// runs the maximum number of its step's tasks.
    Unsuitable,
    /// The minion is reserved for a task that found no capacity.
    Reserved,
    /// No task may start now.
    Unneeded,
    /// The minion gets no tasks: it is draining, leaving, quarantined, unreachable or unanswered,
    /// its zone has fallen silent, its listing predates a restart, a task is on trial there, or the
    /// cell's owner can't confirm that it may still start tasks there.
    NotAccepting,
}

/// Why a task waits.  The first reason that applies counts, in this order.
#[derive(Clone, Copy, Debug, Display, EnumCount, Eq, PartialEq, VariantArray)]
#[strum(serialize_all = "snake_case")]
pub enum WaitReason {
    /// Its occurrence is not due, or its last run failed a moment ago.
    Delayed,
    /// A step before it is not done, or another member of its gang has not ended yet.
    Blocked,
    /// Its job is inherited, and the takeover is not complete.
    Inherited,
    /// It has no ticket, it may crash its minion and is tried apart from others, or its owner can't
    /// confirm that it owns the cell.
    Restricted,
    /// Its workspace's limit is used up.
    Held,
    /// None: it may start now where it fits.
    Ready,
}

/// Waiting tasks.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Waiting {
    /// Their number.
    pub tasks: u64,
    /// The millicores that they reserve.
    pub millicores: u64,
}

/// Unused capacity and waiting tasks of a cell.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Capacity {
    /// Listed minions.
    pub minions: u64,
    /// Their millicores.
    pub millicores: u64,
    /// Longest time in milliseconds for which a task that may start now could have started.
    pub oldest_ready_ms: u64,
    /// Tasks, minions, runs and requirements examined for the report, a measure of its cost.
    pub examined: u64,
    unused: [u64; Usability::COUNT],
    waiting: [Waiting; WaitReason::COUNT],
}

impl Capacity {
    /// Unused millicores of the minions with this usability.
    pub fn unused(&self, usability: Usability) -> u64 {
        self.unused[usability as usize]
    }

    /// Unused millicores of the minions that accept tasks, including reserved minions.
    pub fn free(&self) -> u64 {
        self.unused.iter().sum::<u64>() - self.unused(Usability::NotAccepting)
    }

    /// The tasks that wait for a reason.
    pub fn waiting(&self, reason: WaitReason) -> Waiting {
        self.waiting[reason as usize]
    }

    /// Whether any task waits.
    pub fn has_waiting(&self) -> bool {
        self.waiting.iter().any(|waiting| waiting.tasks > 0)
    }

    fn add_waiting(&mut self, reason: WaitReason, need: &Resources, tasks: u64) {
        let waiting = &mut self.waiting[reason as usize];
        waiting.tasks += tasks;
        waiting.millicores = waiting.millicores.saturating_add(need.cpu.saturating_mul(tasks));
    }
}

/// Conditions of the report, as for a plan.
#[derive(Clone, Copy)]
struct Conditions {
    now: Time,
    wall_ms: u64,
    permit: Permit,
    is_takeover_complete: bool,
}

/// What the tasks counted as ready would add to the accounts of workspaces.  Each of a workspace's
/// waiting tasks may fit into what its limit leaves although all of them together don't.
type Charged = BTreeMap<AccountId, Resources>;

impl Cell {
    /// Reports the unused capacity and the waiting tasks, as of the last plan.  The arguments are
    /// those of [`Cell::plan`].
    pub fn capacity(&self, now: Time, wall_ms: u64, permit: Permit) -> Capacity {
        let is_takeover_complete = self.is_takeover_complete(now);
        let conditions = Conditions { now, wall_ms, permit, is_takeover_complete };
        let mut capacity = Capacity::default();
        let mut requirements = Requirements::default();
        let mut charged = Charged::new();
        for id in &self.active_jobs {
            let Some(job) = self.jobs.get(id) else { continue };
            let definition = &job.accepted.definition;
            for occurrence in 0..definition.occurrences() {
                for step in 0..definition.steps.len() as u32 {
                    capacity.examined += 1;
                    if job.open_tasks(occurrence, step) > 0 {
                        let first = TaskName { job: *id, occurrence, step, index: 0 };
                        let step = WaitingStep { job, first, cell: self, conditions };
                        step.add_to(&mut capacity, &mut requirements, &mut charged);
                    }
                }
            }
        }
        let accepts = |minion: &&Minion| minion.accepts_tasks(now) && permit.covers_minion(minion);
        let accepting: Vec<&Minion> = self.minions.values().filter(accepts).collect();
        let index = requirements.index(&accepting);
        capacity.examined += index.examined;
        for minion in self.minions.values().filter(|minion| minion.listed) {
            let is_able = minion.is_able(now) && !minion.leaving && permit.covers_minion(minion);
            let usability = if !is_able {
                Usability::NotAccepting
            } else if minion.reserved {
                Usability::Reserved
            } else {
                index.usability(minion, &mut capacity.examined)
            };
            capacity.examined += 1;
            capacity.minions += 1;
            capacity.millicores += minion.listing.capacity.cpu;
            capacity.unused[usability as usize] += minion.free().cpu;
        }
        capacity
    }
}

/// A step of an occurrence with tasks that are not done.
struct WaitingStep<'a> {
    job: &'a Job,
    first: TaskName,
    cell: &'a Cell,
    conditions: Conditions,
}

impl<'a> WaitingStep<'a> {
    fn definition(&self) -> &'a Step {
        &self.job.accepted.definition.steps[self.first.step as usize]
    }

    /// Counts its waiting tasks, and adds the requirement of those that may start now.
    fn add_to(
        &self,
        capacity: &mut Capacity,
        requirements: &mut Requirements<'a>,
        charged: &mut Charged,
    ) {
        let step = self.definition();
        let need = step.reserved_resources();
        let open = u64::from(self.job.open_tasks(self.first.occurrence, self.first.step));
        let due_ms = self.job.accepted.definition.due_ms(self.first.occurrence);
        if due_ms.is_some_and(|at| self.conditions.wall_ms < at) {
            capacity.add_waiting(WaitReason::Delayed, &need, open);
            return;
        }
        let tasks = self.job.step_tasks(self.first.occurrence, self.first.step);
        capacity.examined += tasks.len() as u64;
        let is_waiting = |task: &&Task| task.phase == Phase::Waiting;
        let unit = if step.gang { u64::from(step.count) } else { 1 };
        let shared_reason = self.shared_reason(tasks).or_else(|| {
            let fits = self.cell.is_within_limit(self.job, &step.need, unit, self.conditions.now);
            (!fits).then_some(WaitReason::Held)
        });
        let mut is_startable = false;
        let mut ready_since: Option<Time> = None;
        if step.gang {
            let waiting = tasks.iter().filter(is_waiting).count() as u64;
            let reason = shared_reason.unwrap_or_else(|| self.charge(waiting, charged));
            capacity.add_waiting(reason, &need, waiting);
            is_startable = shared_reason.is_none();
            if reason == WaitReason::Ready {
                ready_since = tasks.iter().map(|task| task.waiting_since).max();
            }
        } else {
            for task in tasks.iter().filter(is_waiting) {
                let own_reason = self.own_reason(task, shared_reason);
                let reason = own_reason.unwrap_or_else(|| self.charge(1, charged));
                capacity.add_waiting(reason, &need, 1);
                is_startable |= own_reason.is_none();
                if reason == WaitReason::Ready {
                    let since = task.waiting_since.max(task.not_before);
                    ready_since = Some(ready_since.map_or(since, |known| known.min(since)));
                }
            }
        }
        if is_startable {
            let minions = || self.cell.ticketed_minions(&self.first, self.conditions.now).collect();
            let needs_ticket = self.cell.needs_ticket(&self.job.accepted.queue);
            requirements.add(self.first, step, needs_ticket.then(minions));
        }
        if let Some(since) = ready_since {
            let age = self.conditions.now.since(since.max(self.ready_at())).as_millis() as u64;
            let due_age = due_ms.map_or(u64::MAX, |at| self.conditions.wall_ms - at);
            capacity.oldest_ready_ms = capacity.oldest_ready_ms.max(age.min(due_age));
        }
    }

    /// Earliest time at which a task of it could start.
    fn ready_at(&self) -> Time {
        let completed_at = self.cell.takeover_completed_at.filter(|_| self.job.inherited);
        let step_ready_at = self.job.step_ready_at(self.first.occurrence, self.first.step);
        step_ready_at.max(completed_at.unwrap_or(Time(0)))
    }

    /// Why none of its tasks may start, regardless of the workspace's limit.
    fn shared_reason(&self, tasks: &[Task]) -> Option<WaitReason> {
        let Conditions { now, permit, is_takeover_complete, .. } = self.conditions;
        let is_gang = self.definition().gang;
        let is_blocked = !self.job.is_step_ready(self.first.occurrence, self.first.step)
            || is_gang && tasks.iter().any(|task| task.phase != Phase::Waiting);
        let is_restricted = || {
            let has_ticket = || self.cell.ticketed_minions(&self.first, now).next().is_some();
            !permit.covers(self.job, self.cell.takeover_completed_at)
                || (is_gang && permit != Permit::All)
                || (self.cell.needs_ticket(&self.job.accepted.queue) && !has_ticket())
        };
        if is_blocked {
            Some(WaitReason::Blocked)
        } else if !is_takeover_complete && self.job.inherited {
            Some(WaitReason::Inherited)
        } else {
            is_restricted().then_some(WaitReason::Restricted)
        }
    }

    /// Why a task of it that isn't a member of a gang may not start; `None` if it may.
    fn own_reason(&self, task: &Task, shared_reason: Option<WaitReason>) -> Option<WaitReason> {
        if self.conditions.now < task.not_before {
            return Some(WaitReason::Delayed);
        }
        let is_restricted =
            task.suspicion.is_likely_cause() || !self.conditions.permit.covers_task(task);
        shared_reason.or(is_restricted.then_some(WaitReason::Restricted))
    }

    /// Counts `count` of its tasks that may start as ready, or as held if the workspace's limit
    /// leaves too little for them beside those that were counted before.
    fn charge(&self, count: u64, charged: &mut Charged) -> WaitReason {
        let Some(id) = self.cell.limited_account(self.job) else { return WaitReason::Ready };
        let account = self.cell.accounts.get(id);
        let charged = charged.entry(id).or_default();
        let sum = charged.plus(&self.definition().need.times(count));
        // Only a task that starts alone may exceed the whole limit.
        let may_start = charged.is_zero()
            || !account.exceeds_limit(&sum) && account.may_start(&sum, 1, self.conditions.now);
        if !may_start {
            return WaitReason::Held;
        }
        *charged = sum;
        WaitReason::Ready
    }
}
