//! Selection of minions for tasks.

mod index;

use crate::cell::minion::{Minion, MinionId};
use crate::cell::work::{Phase, Task};
use crate::cell::{Cell, Job};
use crate::job::{Resources, Step, TaskName};
use crate::time::Time;
pub(crate) use index::Index;
use index::Search;
use smallvec::SmallVec;
use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Penalties of a placement, in millicores of free capacity that would outweigh them.  Placement
/// avoids first the minion where the task failed, then racks without its data, then minions that
/// failed other tasks recently, then minions with more free capacity; for these only the order
/// matters.  The two penalties for long-running tasks are weighed against each other.
mod penalty {
    /// The task's last run failed there.
    pub(super) const FAILED_TASK: u64 = 1_000_000_000;
    /// The minion is not in the rack with the task's data.
    pub(super) const REMOTE_DATA: u64 = 10_000_000;
    /// For long-running tasks: each task of the same step on the minion.  Two of them may share a
    /// minion to leave another one free to be moved, a third may not: when a minion is lost, the
    /// users lose only a part of the service, and tasks that have to leave one after the other can
    /// do so.
    pub(super) const SAME_STEP: u64 = 250_000;
    /// Maximum number of tasks of the same step that count, so that they weigh less than a failure.
    pub(super) const MAX_SAME_STEP_TASKS: u32 = 3;
    /// For long-running tasks: no other long-running task runs there.
    pub(super) const NO_LONG_RUNNING_TASK: u64 = 400_000;
    /// The minion is slow, or failed a task since its last success.
    pub(super) const UNRELIABLE_MINION: u64 = 1_000_000;
}

/// How long a long-running task waits for capacity before it may be placed on a minion that is
/// being emptied.  Most other tasks take about a second, so most capacity that becomes free has
/// done so by then.  Its users notice its absence after some 3 s, of which a start takes up to one.
const FALLBACK_DELAY: Duration = Duration::from_millis(1500);

/// Resource needs that no minion has capacity for, in one plan.
///
/// At peak load hundreds of jobs wait for a pool that is full, and the owner plans after each run
/// end.  Capacity only shrinks while a plan is made, so a need that found none rules out every need
/// at least as large.  Without this, every plan checked all minions for each waiting job.  It
/// reduces a plan for 85 minions and 400 jobs from 1.0 ms to 0.75 ms of a core, on instances with
/// an eighth to half of a core.
#[derive(Debug, Default)]
pub(crate) struct UnmetNeeds(SmallVec<[Resources; 8]>);

impl UnmetNeeds {
    /// Removes all needs, for the next plan.
    pub(crate) fn clear(&mut self) {
        self.0.clear();
    }

    /// Records that no minion has capacity for a need.
    pub(crate) fn add(&mut self, need: Resources) {
        if !self.covers(&need) {
            self.0.retain(|known| !known.holds(&need));
            self.0.push(need);
        }
    }

    /// Whether a need is known to exceed the free capacity of every minion.
    pub(crate) fn covers(&self, need: &Resources) -> bool {
        self.0.iter().any(|known| need.holds(known))
    }
}

/// Number of tasks of a step on each minion, for long-running steps and those with a limit per
/// minion.
pub(crate) type Spread = BTreeMap<MinionId, u32>;

impl Cell {
    /// Counts the tasks of a step of one occurrence by minion, including those that are being
    /// stopped.
    pub(crate) fn spread(&self, name: &TaskName) -> Spread {
        let mut spread = Spread::new();
        for minion in self.minions.values() {
            let first = TaskName { index: 0, ..*name };
            let last = TaskName { index: u32::MAX, ..*name };
            let count = minion.runs.range(first..=last).count() as u32;
            if count > 0 {
                spread.insert(minion.id.clone(), count);
            }
        }
        spread
    }

    /// The best minion with capacity for a task; `None` if there is none now.
    pub(crate) fn find_minion(
        &self,
        step: &Step,
        task: &Task,
        spread: &Spread,
        now: Time,
        may_run: impl Fn(&str) -> bool,
    ) -> Option<MinionId> {
        let may_run = |minion: &Minion| minion.accepts_tasks(now) && may_run(&minion.id);
        self.find_among(step, task, spread, may_run)
    }

    /// A minion for a task, or one that is being emptied.  If a trial of the task is recorded, the
    /// minion that the record names is preferred, because a trial on another needs another write.
    pub(crate) fn find_for_start(
        &self,
        step: &Step,
        task: &Task,
        spread: &Spread,
        now: Time,
        may_run: impl Fn(&str) -> bool,
    ) -> Option<MinionId> {
        let find = |may_run: &dyn Fn(&str) -> bool| {
            let minion = self.find_minion(step, task, spread, now, may_run);
            minion.or_else(|| self.find_fallback(step, task, spread, now, may_run))
        };
        let recorded = task.recorded_minion();
        let minion = recorded.and_then(|recorded| find(&|id| id == recorded && may_run(id)));
        minion.or_else(|| find(&may_run))
    }

    /// A minion that is being emptied or quarantined, for a long-running task that found no other.
    ///
    /// While a wave empties most minions of a pool, the others may be full for a long time.  The
    /// task would stay stopped although its former minion has capacity, and until it runs again no
    /// other task of its step may be moved, so that the wave would be blocked too.
    pub(crate) fn find_fallback(
        &self,
        step: &Step,
        task: &Task,
        spread: &Spread,
        now: Time,
        may_run: impl Fn(&str) -> bool,
    ) -> Option<MinionId> {
        if !step.long_running || now.since(task.waiting_since) < FALLBACK_DELAY {
            return None;
        }
        let may_run = |minion: &Minion| minion.is_fallback(now) && may_run(&minion.id);
        self.find_among(step, task, spread, may_run)
    }

    fn find_among(
        &self,
        step: &Step,
        task: &Task,
        spread: &Spread,
        may_run: impl Fn(&Minion) -> bool,
    ) -> Option<MinionId> {
        let need = step.reserved_resources();
        let cost = |minion: &Minion| placement_cost(minion, step, task, &need, spread);
        let is_candidate = |minion: &&Minion| may_run(minion) && fits(minion, step, &need, spread);
        if let Some(index) = &self.placement_index
            && is_packed(step, task)
        {
            let mut search = index.search(need);
            let found = self.find_packed(&mut search, is_candidate, cost);
            self.examined_minions.fetch_add(search.examined(), Ordering::Relaxed);
            return found;
        }
        self.examined_minions.fetch_add(self.minions.len() as u64, Ordering::Relaxed);
        self.minions
            .values()
            .filter(is_candidate)
            .min_by_key(|minion| (cost(minion), &minion.id))
            .map(|minion| minion.id.clone())
    }

    /// The candidate with the lowest cost, for a task whose cost is the capacity that it leaves
    /// free, plus penalties larger than any capacity.  So the first candidate without penalties in
    /// the order of free capacity is the best one.
    fn find_packed(
        &self,
        search: &mut Search<'_>,
        is_candidate: impl Fn(&&Minion) -> bool,
        cost: impl Fn(&Minion) -> u64,
    ) -> Option<MinionId> {
        let mut best: Option<(u64, &MinionId)> = None;
        for id in search {
            let Some(minion) = self.minions.get(id).filter(|minion| is_candidate(minion)) else {
                continue;
            };
            let cost = cost(minion);
            if cost < penalty::UNRELIABLE_MINION {
                return Some(id.clone());
            }
            if best.is_none_or(|best| (cost, id) < best) {
                best = Some((cost, id));
            }
        }
        best.map(|(_, id)| id.clone())
    }

    /// Number of minions that were examined for placements so far.
    pub fn examined_minions(&self) -> u64 {
        self.examined_minions.load(Ordering::Relaxed)
    }

    /// Indexes the minions by free capacity, unless they are indexed.
    pub(crate) fn index_minions(&mut self) {
        if self.placement_index.is_none() {
            self.placement_index = Some(Index::new(self.minions.values()));
        }
    }

    /// The minion on which a task without capacity fits soonest: among those where it fits once all
    /// runs that end by themselves have ended, the one with the most free capacity.
    pub(crate) fn find_reservation(
        &self,
        step: &Step,
        spread: &Spread,
        now: Time,
    ) -> Option<MinionId> {
        let need = step.reserved_resources();
        self.minions
            .values()
            .filter(|minion| minion.accepts_tasks(now))
            .filter(|minion| is_suitable(minion, step, spread))
            .filter(|minion| minion.free_after_ending_runs().holds(&need))
            .max_by_key(|minion| (minion.free().cpu, &minion.id))
            .map(|minion| minion.id.clone())
    }

    /// Minions for all members of a gang, by index; `None` if there is no capacity for all of them
    /// now.
    pub(crate) fn find_gang(
        &self,
        job: &Job,
        name: &TaskName,
        step: &Step,
        now: Time,
        may_run: &dyn Fn(&str) -> bool,
    ) -> Option<Vec<MinionId>> {
        if step.same_rack {
            let mut racks: Vec<&str> = self.minions.values().filter_map(Minion::rack).collect();
            racks.sort_unstable();
            racks.dedup();
            // The rack with the data comes first, then order by name.
            racks.sort_by_key(|rack| step.preferred_rack.as_deref() != Some(*rack));
            let in_rack = racks
                .into_iter()
                .find_map(|rack| self.place_gang(job, name, step, Some(rack), now, may_run));
            if in_rack.is_some() {
                return in_rack;
            }
        }
        self.place_gang(job, name, step, None, now, may_run)
    }

    fn place_gang(
        &self,
        job: &Job,
        name: &TaskName,
        step: &Step,
        rack: Option<&str>,
        now: Time,
        may_run: &dyn Fn(&str) -> bool,
    ) -> Option<Vec<MinionId>> {
        let need = step.reserved_resources();
        let mut free: BTreeMap<MinionId, Resources> = self
            .minions
            .values()
            .filter(|minion| minion.accepts_tasks(now))
            .filter(|minion| rack.is_none() || minion.rack() == rack)
            .filter(|minion| may_run(&minion.id))
            .map(|minion| (minion.id.clone(), minion.free()))
            .collect();
        let mut spread = self.spread(name);
        let mut places = Vec::new();
        for index in 0..step.count {
            let member = TaskName { index, ..*name };
            let task = job.task(&member)?;
            let place = free
                .iter()
                .filter(|(_, capacity)| capacity.holds(&need))
                .filter_map(|(id, _)| self.minions.get(id))
                .filter(|minion| fits(minion, step, &need, &spread))
                .min_by_key(|minion| {
                    (placement_cost(minion, step, task, &need, &spread), minion.id.clone())
                })?;
            let id = place.id.clone();
            let capacity = free.get_mut(&id)?;
            *capacity = capacity.minus(&need);
            *spread.entry(id.clone()).or_default() += 1;
            places.push(id);
        }
        Some(places)
    }

    /// Whether every task of a step waits, as required to start a gang.
    pub(crate) fn all_wait(&self, job: &Job, name: &TaskName, step: &Step) -> bool {
        (0..step.count).all(|index| {
            job.task(&TaskName { index, ..*name }).is_some_and(|task| task.phase == Phase::Waiting)
        })
    }
}

/// Whether a task goes where it leaves the least capacity free.
fn is_packed(step: &Step, task: &Task) -> bool {
    !step.long_running && !step.best_effort && !task.suspicion.needs_isolation()
}

fn fits(minion: &Minion, step: &Step, need: &Resources, spread: &Spread) -> bool {
    is_suitable(minion, step, spread) && minion.free().holds(need)
}

/// Whether a step's tasks may run on a minion, regardless of free capacity.
pub(crate) fn is_suitable(minion: &Minion, step: &Step, spread: &Spread) -> bool {
    let has_label = step
        .required_label
        .as_ref()
        .is_none_or(|label| minion.listing.labels.iter().any(|own| own == label));
    let is_below_limit = step
        .max_per_minion
        .is_none_or(|limit| spread.get(&minion.id).copied().unwrap_or(0) < limit);
    has_label && is_below_limit
}

fn placement_cost(
    minion: &Minion,
    step: &Step,
    task: &Task,
    need: &Resources,
    spread: &Spread,
) -> u64 {
    let mut cost = minion.free().cpu - need.cpu.min(minion.free().cpu);
    if step.long_running {
        // Long-running tasks of different jobs share minions: these cannot be given to another pool
        // and have to be evacuated for maintenance, so there should be few of them.
        let same_step =
            spread.get(&minion.id).copied().unwrap_or(0).min(penalty::MAX_SAME_STEP_TASKS);
        cost = minion.free().cpu
            + penalty::NO_LONG_RUNNING_TASK * u64::from(minion.long_running_count == 0)
            + penalty::SAME_STEP * u64::from(same_step);
    }
    if step.best_effort {
        // Best-effort tasks go where most capacity is unused, away from serving tasks.
        cost = minion.used.cpu + penalty::NO_LONG_RUNNING_TASK * minion.long_running_count as u64;
    }
    if task.suspicion.needs_isolation() {
        // Where the fewest other tasks would be lost with it.
        cost = minion.used.cpu + penalty::NO_LONG_RUNNING_TASK * minion.long_running_count as u64;
    }
    if task.avoid.as_ref() == Some(&minion.id) {
        cost += penalty::FAILED_TASK;
    }
    if step.preferred_rack.is_some() && step.preferred_rack.as_deref() != minion.rack() {
        cost += penalty::REMOTE_DATA;
    }
    if minion.record.is_doubtful() || minion.is_slow() {
        cost += penalty::UNRELIABLE_MINION;
    }
    cost
}
