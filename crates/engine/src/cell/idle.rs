//! A look at the cell itself: jobs that could run and don't.
//!
//! Every guard against starting a task where it must not start can also keep it from starting for ever.
//! Callers then wait for a job while minions idle, and nothing else in the log tells why.  So about once
//! a second the cell looks for a job whose turn has come, of which nothing runs, with room for its task on
//! some minion, and notes what each guard says of each minion.

use crate::cell::minion::Minion;
use crate::cell::work::{Job, Phase};
use crate::cell::{Cell, MinionId, Note};
use crate::job::{Id, Step, TaskName};
use crate::time::Time;
use std::collections::BTreeSet;
use std::time::Duration;
use strum::Display;

/// Time between two looks, and for how long nothing of a job must have run.
const LOOK: Duration = Duration::from_secs(1);

/// What keeps a task from a minion.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Guard {
    /// The platform's list doesn't have the minion.
    Unlisted,
    /// It has not answered this owner.
    Unanswered,
    /// It didn't answer last.
    Unreachable,
    /// It restarted, and either its entry predates the restart or it hasn't answered since.
    Restarted,
    /// It says that it leaves.
    Draining,
    /// It is to be emptied.
    Leaving,
    /// Its room is kept for another task.
    Reserved,
    /// It gets nothing for a while, after failures.
    Quarantined,
    /// It lacks the label, or has as many of the step's tasks as may be.
    Unsuitable,
    /// A task that may crash it was just started there.
    OnTrial,
    /// It has no room.
    Full,
    /// None: the task could start there.
    Nothing,
}

impl Cell {
    /// Notes one job that could run and doesn't, if there is one.
    pub(crate) fn note_idle(&mut self, now: Time, wall_ms: u64) {
        if self.looked.is_some_and(|looked| now.since(looked) < LOOK) || !self.is_settled(now) {
            return;
        }
        self.looked = Some(now);
        let runs = self.minions.values().flat_map(|minion| minion.runs.keys());
        let running: BTreeSet<Id> = runs.map(|task| task.job).collect();
        let jobs = self.active.iter().filter(|id| !running.contains(id));
        let found = jobs
            .filter_map(|id| self.idle_task(*id, self.jobs.get(id)?, now, wall_ms))
            .find_map(|name| Some((name, self.guards(&name, now)?)));
        if let Some((task, guards)) = found {
            let placed = self.placed_at(&task);
            self.note(Note::Idle { task, placed, guards });
        }
    }

    /// The first task of a job that isn't done although its turn came some time ago.
    fn idle_task(&self, id: Id, job: &Job, now: Time, wall_ms: u64) -> Option<TaskName> {
        let definition = &job.accepted.definition;
        let due = |occurrence| definition.due_ms(occurrence).is_none_or(|at| wall_ms >= at);
        let waited =
            |task: &crate::cell::work::Task| now.since(task.waits_since.max(task.not_before));
        for occurrence in (0..definition.occurrences()).filter(|occurrence| due(*occurrence)) {
            for step in 0..definition.steps.len() as u32 {
                let open = job.open_tasks(occurrence, step) > 0;
                if !open || !job.is_step_ready(occurrence, step) {
                    continue;
                }
                let count = definition.steps[step as usize].count;
                let mut names =
                    (0..count).map(|index| TaskName { job: id, occurrence, step, index });
                return names.find(|name| {
                    job.task(name)
                        .is_some_and(|task| task.phase != Phase::Done && waited(task) >= LOOK)
                });
            }
        }
        None
    }

    /// What keeps a task from each minion; none if no minion has room for it.
    fn guards(&self, name: &TaskName, now: Time) -> Option<Vec<(MinionId, Guard)>> {
        let step = &self.jobs.get(&name.job)?.accepted.definition.steps[name.step as usize];
        let has_room =
            |minion: &Minion| minion.listed && minion.free().holds(&step.reserved_resources());
        self.minions.values().find(|minion| has_room(minion))?;
        let spread = self.spread(name);
        let guard = |minion: &Minion| (minion.id.clone(), guard(minion, step, &spread, now));
        Some(self.minions.values().map(guard).collect())
    }

    fn placed_at(&self, name: &TaskName) -> Option<MinionId> {
        match &self.jobs.get(&name.job)?.task(name)?.phase {
            Phase::Placed { minion, .. } => Some(minion.clone()),
            Phase::Waiting | Phase::Done => None,
        }
    }
}

fn guard(minion: &Minion, step: &Step, spread: &crate::cell::place::Spread, now: Time) -> Guard {
    let checks = [
        (!minion.listed, Guard::Unlisted),
        (!minion.answered, Guard::Unanswered),
        (!minion.is_reachable(), Guard::Unreachable),
        (!minion.has_current_listing(), Guard::Restarted),
        (minion.listing.draining, Guard::Draining),
        (minion.leaving, Guard::Leaving),
        (minion.reserved, Guard::Reserved),
        (now < minion.quarantined, Guard::Quarantined),
        (minion.is_proving_ground(), Guard::OnTrial),
        (!crate::cell::place::is_suitable(minion, step, spread), Guard::Unsuitable),
        (!minion.free().holds(&step.reserved_resources()), Guard::Full),
    ];
    let failed = checks.into_iter().find(|(holds, _)| *holds);
    failed.map_or(Guard::Nothing, |(_, guard)| guard)
}
