//! Availability of long-running steps: how many of a step's tasks are at work, and whether one more
//! may be stopped.

use crate::cell::minion::{Minion, MinionId, Run, RunPhase};
use crate::cell::work::Phase;
use crate::cell::{Cell, Event};
use crate::job::TaskName;
use crate::time::Time;
use std::time::Duration;
use strum::Display;

/// Greatest age of a report that shows that a task is at work.
///
/// A minion with runs answers a poll after a second at most, and its ended runs may take half a
/// second to be stored before the next poll, which is under way for as long again.
const MAX_REPORT_AGE: Duration = Duration::from_millis(3000);

/// Why a run of a long-running task is stopped.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum StopReason {
    /// Its minion is to be emptied.
    Evacuated,
    /// This owner doesn't know its job.
    UnknownJob,
    /// This owner knows another run of its task on the same minion.
    OtherRun,
    /// Its task has another run on another minion, or is done.
    DuplicateRun,
    /// Its job has ended.
    JobEnded,
    /// Its start was not answered, and no poll has shown whether it runs.
    UnansweredStart,
}

/// What is known of the other tasks of a long-running step when one of them is to be stopped.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Availability {
    /// Number of the other tasks that are not known to be at work.
    pub inactive: u32,
    /// Number of tasks of the step that may be inactive because of the system.
    pub allowance: u32,
    /// Age of the oldest report by which one of the other tasks counts as at work.
    pub report_age: Duration,
}

impl Availability {
    /// Whether one more task may be stopped on purpose.
    pub(crate) fn permits_stop(&self) -> bool {
        self.inactive < self.allowance
    }
}

impl Cell {
    /// The availability of a task's step, without the task itself.
    pub(crate) fn availability(&self, name: &TaskName, now: Time) -> Availability {
        let Some(job) = self.jobs.get(&name.job) else { return Availability::default() };
        let Some(step) = job.accepted.definition.steps.get(name.step as usize) else {
            return Availability::default();
        };
        let allowance = step.max_unavailable.unwrap_or(0);
        let mut availability = Availability { allowance, ..Availability::default() };
        for index in (0..step.count).filter(|index| *index != name.index) {
            match self.active_report_age(&TaskName { index, ..*name }, now) {
                Some(age) => availability.report_age = availability.report_age.max(age),
                None => availability.inactive += 1,
            }
        }
        availability
    }

    /// Age of the report that shows a task at work; `None` if it is not known to be.
    fn active_report_age(&self, name: &TaskName, now: Time) -> Option<Duration> {
        let task = self.jobs.get(&name.job)?.task(name)?;
        let Phase::Placed { minion, run } = &task.phase else { return None };
        let minion = self.minions.get(minion)?;
        let run = minion.run(name, *run)?;
        let is_active = minion.is_reachable()
            && run.phase == RunPhase::Active
            && run.percent >= 100
            && !self.may_be_ending(minion, run);
        let report_age = now.since(minion.polled_at);
        (is_active && report_age <= MAX_REPORT_AGE).then_some(report_age)
    }

    /// Whether a former owner may have stopped a run that this owner found.
    ///
    /// A minion lists a run that is being stopped like any other until the run has ended.  It refuses
    /// a former owner's orders once it has answered this one, so a run that it still lists a stop's
    /// longest duration later was not stopped.
    fn may_be_ending(&self, minion: &Minion, run: &Run) -> bool {
        run.adopted && minion.polled_at < run.began_at + self.settings.stop_timeout
    }

    /// Records why a run of a long-running task is stopped, and what is known of the step's others.
    pub(crate) fn record_long_running_stop(
        &mut self,
        minion: &MinionId,
        task: TaskName,
        run: u32,
        reason: StopReason,
        now: Time,
    ) {
        let availability = self.availability(&task, now);
        let minion = minion.clone();
        self.record_event(Event::LongRunningStopped { minion, task, run, reason, availability });
    }
}
