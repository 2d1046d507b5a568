//! Finding a minion for a task.

use crate::cell::minion::{Minion, MinionId};
use crate::cell::work::{Phase, Task};
use crate::cell::{Cell, Job};
use crate::job::{Resources, Step, TaskName};
use crate::time::Time;
use smallvec::SmallVec;
use std::collections::BTreeMap;
use std::time::Duration;

/// Penalties of a placement, in thousandths of a core of free room that would outweigh them.
/// First not where the task failed, then near its data, then on a minion that didn't fail others
/// lately, then where the least room is left over: of these only the order matters.  The two for
/// lasting tasks are weighed against each other.
mod penalty {
    /// Where the task's last run failed.
    pub(super) const AVOID: u64 = 1_000_000_000;
    /// Away from the rack with its data.
    pub(super) const REMOTE: u64 = 10_000_000;
    /// Lasting: each task of the same step that is there.  Two of them go together before a
    /// further minion is kept from moving, a third doesn't: with a minion lost, its users lose a
    /// part of their service, and tasks that have to leave one after the other can go.
    pub(super) const SAME_STEP: u64 = 250_000;
    /// Most tasks of the same step that count, so that they weigh less than a failure.
    pub(super) const SAME_STEP_MOST: u32 = 3;
    /// Lasting: where no other lasting task is.
    pub(super) const ALONE: u64 = 400_000;
    /// A failure there since its last success, or slowness.
    pub(super) const FAILING: u64 = 1_000_000;
}

/// How long a lasting task waits for room before it goes to a minion that is being emptied.
/// Most ending tasks take about a second, so most room that is to come has come by then; its
/// users notice its absence after some 3 s, of which a start takes up to one.
const REFUGE_AFTER: Duration = Duration::from_millis(1500);

/// Needs for which no minion has room, in one plan.
///
/// At a turn's peak hundreds of jobs wait for a pool that is full, and the owner plans after each end.
/// Room only shrinks while a plan is made, so what found none leaves none for anything as large; without
/// this every plan looked for each waiting job at every minion.  A plan for 85 minions and 400 jobs takes
/// three quarters of the time with it (0.75 ms of a core for 1.0 ms, `cargo bench --bench owner`), on
/// instances with an eighth to half of a core.
#[derive(Debug, Default)]
pub(crate) struct Full(SmallVec<[Resources; 8]>);

impl Full {
    /// Forgets all, for the next plan.
    pub(crate) fn clear(&mut self) {
        self.0.clear();
    }

    /// Notes that no minion has room for a need.
    pub(crate) fn note(&mut self, need: Resources) {
        if !self.is_noted(&need) {
            self.0.retain(|known| !known.holds(&need));
            self.0.push(need);
        }
    }

    /// Whether it is known that no minion has room for a need.
    pub(crate) fn is_noted(&self, need: &Resources) -> bool {
        self.0.iter().any(|known| need.holds(known))
    }
}

/// Tasks of a step on each minion, for steps with a limit per minion and lasting ones.
pub(crate) type Spread = BTreeMap<MinionId, u32>;

impl Cell {
    /// Tasks of a step of one occurrence by minion, those included that are being stopped.
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

    /// The best minion with room for a task; none if there is none now.
    pub(crate) fn find_minion(
        &self,
        step: &Step,
        task: &Task,
        spread: &Spread,
        now: Time,
        may_run: impl Fn(&str) -> bool,
    ) -> Option<MinionId> {
        let may_run = |minion: &Minion| minion.takes_work(now) && may_run(&minion.id);
        self.find_among(step, task, spread, may_run)
    }

    /// A minion that is being emptied, for a lasting task that has waited in vain.
    ///
    /// While a wave empties most minions of a pool, the rest may have no room for long: the task
    /// would stay away although its former minion has room, and while it is away no other task of
    /// its step may leave, so that the wave would stand still, too.
    pub(crate) fn find_refuge(
        &self,
        step: &Step,
        task: &Task,
        spread: &Spread,
        now: Time,
        may_run: impl Fn(&str) -> bool,
    ) -> Option<MinionId> {
        if !step.long_running || now.since(task.waits_since) < REFUGE_AFTER {
            return None;
        }
        let may_run = |minion: &Minion| minion.is_refuge(now) && may_run(&minion.id);
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
        self.minions
            .values()
            .filter(|minion| may_run(minion) && fits(minion, step, &need, spread))
            .min_by_key(|minion| (cost(minion, step, task, &need, spread), &minion.id))
            .map(|minion| minion.id.clone())
    }

    /// The minion on which a task without room fits soonest: the one with most room among those
    /// where it fits once all that ends by itself has ended.
    pub(crate) fn find_reservation(
        &self,
        step: &Step,
        spread: &Spread,
        now: Time,
    ) -> Option<MinionId> {
        let need = step.reserved_resources();
        self.minions
            .values()
            .filter(|minion| minion.takes_work(now))
            .filter(|minion| is_suitable(minion, step, spread))
            .filter(|minion| minion.free_in_the_end().holds(&need))
            .max_by_key(|minion| (minion.free().cpu, &minion.id))
            .map(|minion| minion.id.clone())
    }

    /// Minions for all members of a gang, by index; none if not all have room now.
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
            // The rack with the data first, then by name.
            racks.sort_by_key(|rack| step.preferred_rack.as_deref() != Some(*rack));
            let in_rack = racks
                .into_iter()
                .find_map(|rack| self.fill_gang(job, name, step, Some(rack), now, may_run));
            if in_rack.is_some() {
                return in_rack;
            }
        }
        self.fill_gang(job, name, step, None, now, may_run)
    }

    fn fill_gang(
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
            .filter(|minion| minion.takes_work(now))
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
                .filter(|(_, room)| room.holds(&need))
                .filter_map(|(id, _)| self.minions.get(id))
                .filter(|minion| fits(minion, step, &need, &spread))
                .min_by_key(|minion| {
                    (cost(minion, step, task, &need, &spread), minion.id.clone())
                })?;
            let id = place.id.clone();
            let room = free.get_mut(&id)?;
            *room = room.minus(&need);
            *spread.entry(id.clone()).or_default() += 1;
            places.push(id);
        }
        Some(places)
    }

    /// Whether every task of a step waits, as a gang must before it starts.
    pub(crate) fn all_wait(&self, job: &Job, name: &TaskName, step: &Step) -> bool {
        (0..step.count).all(|index| {
            job.task(&TaskName { index, ..*name }).is_some_and(|task| task.phase == Phase::Waiting)
        })
    }
}

fn fits(minion: &Minion, step: &Step, need: &Resources, spread: &Spread) -> bool {
    is_suitable(minion, step, spread) && minion.free().holds(need)
}

/// Whether a step's tasks may run on a minion, room apart.
pub(crate) fn is_suitable(minion: &Minion, step: &Step, spread: &Spread) -> bool {
    let labelled = step
        .required_label
        .as_ref()
        .is_none_or(|label| minion.listing.labels.iter().any(|own| own == label));
    let spaced = step
        .max_per_minion
        .is_none_or(|limit| spread.get(&minion.id).copied().unwrap_or(0) < limit);
    labelled && spaced
}

fn cost(minion: &Minion, step: &Step, task: &Task, need: &Resources, spread: &Spread) -> u64 {
    let mut cost = minion.free().cpu - need.cpu.min(minion.free().cpu);
    if step.long_running {
        // Lasting tasks of different jobs go together: their minions can't be given to another
        // pool and have to be evacuated for maintenance, so they should be few.
        let same = spread.get(&minion.id).copied().unwrap_or(0).min(penalty::SAME_STEP_MOST);
        cost = minion.free().cpu
            + penalty::ALONE * u64::from(minion.lasting == 0)
            + penalty::SAME_STEP * u64::from(same);
    }
    if step.best_effort {
        // What fills goes where most is unused, and not beside serving tasks.
        cost = minion.used.cpu + penalty::ALONE * minion.lasting as u64;
    }
    if task.suspicion.is_guarded() {
        // Where the least would be lost with it.
        cost = minion.used.cpu + penalty::ALONE * minion.lasting as u64;
    }
    if task.avoid.as_ref() == Some(&minion.id) {
        cost += penalty::AVOID;
    }
    if step.preferred_rack.is_some() && step.preferred_rack.as_deref() != minion.rack() {
        cost += penalty::REMOTE;
    }
    if !minion.failing.is_empty() || minion.strikes > 0 || minion.is_slow() {
        cost += penalty::FAILING;
    }
    cost
}
