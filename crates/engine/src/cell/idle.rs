//! Detection of jobs that could run and do not.
//!
//! Each condition that prevents an unsafe start could also prevent a start forever.  Callers would
//! then wait for a job while minions idle, and nothing else in the log would show why.  So about
//! once a second the cell looks for a job that is due and has no runs although some minion has
//! capacity for its task, and records what prevents the start on each minion.

use crate::cell::minion::Minion;
use crate::cell::work::{Job, Phase};
use crate::cell::{Cell, Event, MinionId};
use crate::job::{Id, Step, TaskName};
use crate::time::Time;
use std::collections::BTreeSet;
use std::time::Duration;
use strum::Display;

/// Time between two checks, and how long a job must have been without runs.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// What prevents a task from starting on a minion.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Blocker {
    /// The platform does not list the minion.
    Unlisted,
    /// It has not answered this owner.
    Unanswered,
    /// Its last call was not answered.
    Unreachable,
    /// It restarted, and its listing predates the restart or it has not answered since.
    Restarted,
    /// It reports that it is draining.
    Draining,
    /// It is to be emptied.
    Leaving,
    /// Its capacity is reserved for another task.
    Reserved,
    /// It gets no tasks for some time, after failures.
    Quarantined,
    /// It lacks the required label, or runs the maximum number of the step's tasks.
    Unsuitable,
    /// A task that may crash it is on trial there.
    OnTrial,
    /// It has not enough free capacity.
    Full,
    /// Nothing: the task could start there.
    Nothing,
}

impl Cell {
    /// Records one idle job, if there is one.
    pub(crate) fn record_idle_job(&mut self, now: Time, wall_ms: u64) {
        if self
            .last_idle_check
            .is_some_and(|checked_at| now.since(checked_at) < IDLE_CHECK_INTERVAL)
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

    /// The first unfinished task of a job that has been due for some time.
    fn idle_task(&self, id: Id, job: &Job, now: Time, wall_ms: u64) -> Option<TaskName> {
        let definition = &job.accepted.definition;
        let is_due = |occurrence| definition.due_ms(occurrence).is_none_or(|at| wall_ms >= at);
        let waiting_time =
            |task: &crate::cell::work::Task| now.since(task.waiting_since.max(task.not_before));
        for occurrence in (0..definition.occurrences()).filter(|occurrence| is_due(*occurrence)) {
            for step in 0..definition.steps.len() as u32 {
                let is_open = job.open_tasks(occurrence, step) > 0;
                if !is_open || !job.is_step_ready(occurrence, step) {
                    continue;
                }
                let count = definition.steps[step as usize].count;
                let mut names =
                    (0..count).map(|index| TaskName { job: id, occurrence, step, index });
                return names.find(|name| {
                    job.task(name).is_some_and(|task| {
                        task.phase != Phase::Done && waiting_time(task) >= IDLE_CHECK_INTERVAL
                    })
                });
            }
        }
        None
    }

    /// What prevents a task from starting on each minion; `None` if no minion has capacity for it.
    fn blockers(&self, name: &TaskName, now: Time) -> Option<Vec<(MinionId, Blocker)>> {
        let step = &self.jobs.get(&name.job)?.accepted.definition.steps[name.step as usize];
        let has_capacity =
            |minion: &Minion| minion.listed && minion.free().holds(&step.reserved_resources());
        self.minions.values().find(|minion| has_capacity(minion))?;
        let spread = self.spread(name);
        let with_blocker =
            |minion: &Minion| (minion.id.clone(), blocker(minion, step, &spread, now));
        Some(self.minions.values().map(with_blocker).collect())
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
        (!minion.free().holds(&step.reserved_resources()), Blocker::Full),
    ];
    let failed = checks.into_iter().find(|(holds, _)| *holds);
    failed.map_or(Blocker::Nothing, |(_, blocker)| blocker)
}
