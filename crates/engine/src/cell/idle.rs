//! A look at the cell itself: jobs that could run and don't.
//!
//! Every guard against starting a task where it must not start can also keep it from starting for ever.
//! Callers then wait for a job while minions idle, and nothing else in the log tells why.  So about once
//! a second the cell looks for a job whose turn has come, of which nothing runs, with room for its task on
//! some minion, and notes what each guard says of each minion.

use crate::cell::minion::Minion;
use crate::cell::work::{Job, Phase};
use crate::cell::{Cell, Event, MinionId};
use crate::job::{Id, Step, TaskName};
use crate::time::Time;
use std::collections::BTreeSet;
use std::time::Duration;
use strum::Display;

/// Time between two looks, and for how long nothing of a job must have run.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// What keeps a task from a minion.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Blocker {
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
    pub(crate) fn record_idle_job(&mut self, now: Time, wall_ms: u64) {
        if self.last_idle_check.is_some_and(|looked| now.since(looked) < IDLE_CHECK_INTERVAL)
            || !self.is_takeover_complete(now)
        {
            return;
        }
        self.last_idle_check = Some(now);
        let runs = self.minions.values().flat_map(|minion| minion.runs.keys());
        let running: BTreeSet<Id> = runs.map(|task| task.job).collect();
        let jobs = self.active_jobs.iter().filter(|id| !running.contains(id));
        let found = jobs
            .filter_map(|id| self.idle_task(*id, self.jobs.get(id)?, now, wall_ms))
            .find_map(|name| Some((name, self.blockers(&name, now)?)));
        if let Some((task, blockers)) = found {
            let placed = self.placement(&task);
            self.record_event(Event::Idle { task, placed, blockers });
        }
    }

    /// The first task of a job that isn't done although its turn came some time ago.
    fn idle_task(&self, id: Id, job: &Job, now: Time, wall_ms: u64) -> Option<TaskName> {
        let definition = &job.accepted.definition;
        let due = |occurrence| definition.due_ms(occurrence).is_none_or(|at| wall_ms >= at);
        let waited =
            |task: &crate::cell::work::Task| now.since(task.waiting_since.max(task.not_before));
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
                    job.task(name).is_some_and(|task| {
                        task.phase != Phase::Done && waited(task) >= IDLE_CHECK_INTERVAL
                    })
                });
            }
        }
        None
    }

    /// What keeps a task from each minion; none if no minion has room for it.
    fn blockers(&self, name: &TaskName, now: Time) -> Option<Vec<(MinionId, Blocker)>> {
        let step = &self.jobs.get(&name.job)?.accepted.definition.steps[name.step as usize];
        let has_room = |minion: &Minion| minion.listed && minion.free().holds(&step.counted_need());
        self.minions.values().find(|minion| has_room(minion))?;
        let spread = self.spread(name);
        let entry = |minion: &Minion| (minion.id.clone(), blocker(minion, step, &spread, now));
        Some(self.minions.values().map(entry).collect())
    }

    fn placement(&self, name: &TaskName) -> Option<MinionId> {
        match &self.jobs.get(&name.job)?.task(name)?.phase {
            Phase::Placed { minion, .. } => Some(minion.clone()),
            Phase::Waiting | Phase::Done => None,
        }
    }
}

fn blocker(
    minion: &Minion,
    step: &Step,
    spread: &crate::cell::place::Spread,
    now: Time,
) -> Blocker {
    let checks = [
        (!minion.listed, Blocker::Unlisted),
        (!minion.answered, Blocker::Unanswered),
        (!minion.is_reachable(), Blocker::Unreachable),
        (!minion.has_current_listing(), Blocker::Restarted),
        (minion.listing.draining, Blocker::Draining),
        (minion.leaving, Blocker::Leaving),
        (minion.reserved, Blocker::Reserved),
        (now < minion.quarantined_until, Blocker::Quarantined),
        (minion.runs_isolated_trial(), Blocker::OnTrial),
        (!crate::cell::place::is_suitable(minion, step, spread), Blocker::Unsuitable),
        (!minion.free().holds(&step.counted_need()), Blocker::Full),
    ];
    let failed = checks.into_iter().find(|(holds, _)| *holds);
    failed.map_or(Blocker::Nothing, |(_, blocker)| blocker)
}
