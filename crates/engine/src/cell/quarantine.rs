//! Minions that get no tasks for some time because runs fail there.
//!
//! A minion is judged by comparison.  What fails elsewhere, too, is the fault of the task, and a
//! run that worked for long is evidence for its minion however it ended.  Failures count for a limited
//! time only.  At least half of the minions that could accept tasks are left: if most of them seem to be
//! at fault, the tasks are the likelier cause.

use crate::cell::minion::{Minion, MinionId, RunPhase};
use crate::cell::report::{End, EndReason};
use crate::cell::work::{Phase, Task};
use crate::cell::{Cell, Event};
use crate::job::{Id, TaskName};
use crate::time::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// Failures of this many different jobs without a success between them quarantine a minion.  A
/// single job may fail through its own fault.
const MIN_FAILING_JOBS: usize = 2;

/// Maximum number of times that the first quarantine is doubled.
const MAX_QUARANTINE_DOUBLINGS: u32 = 3;

/// How long a failure counts against a minion.  Longer than the longest quarantine, so that a minion
/// that fails again after it is quarantined for longer.
const FAILURE_RETENTION: Duration = Duration::from_secs(30);

/// A long-running task that ends after this time has shown that its minion can run tasks.
const LONG_WORK: Duration = Duration::from_secs(10);

/// The ends of a job's runs by minion, since its first failure.
#[derive(Debug, Default)]
pub(crate) struct Outcomes {
    failed: BTreeMap<MinionId, u32>,
    succeeded: BTreeMap<MinionId, u32>,
}

impl Outcomes {
    /// Records a failure.
    fn record_failure(&mut self, minion: &MinionId) {
        *self.failed.entry(minion.clone()).or_default() += 1;
    }

    /// Records a success; before the first failure there is nothing to compare it with.
    fn record_success(&mut self, minion: &MinionId) {
        if !self.failed.is_empty() {
            *self.succeeded.entry(minion.clone()).or_default() += 1;
        }
    }

    /// The number of failures and of successes on other minions.
    fn elsewhere(&self, minion: &MinionId) -> (u32, u32) {
        let sum = |ends: &BTreeMap<MinionId, u32>| {
            ends.iter().filter(|(id, _)| *id != minion).map(|(_, count)| count).sum()
        };
        (sum(&self.failed), sum(&self.succeeded))
    }
}

/// What failures say about a minion.
#[derive(Debug, Default)]
pub(crate) struct Record {
    /// Jobs whose tasks failed here since the last success, with the time of the last failure.
    failing_jobs: BTreeMap<Id, Time>,
    /// Number of quarantines in a row.
    quarantine_count: u32,
    /// When the last quarantine began, and when it ends.
    quarantine: Option<(Time, Time)>,
}

impl Record {
    /// Whether tasks failed here and none succeeded since.
    pub(crate) fn is_doubtful(&self) -> bool {
        !self.failing_jobs.is_empty() || self.quarantine_count > 0
    }

    /// When its quarantine ends; `None` if it has none.
    pub(crate) fn quarantined_until(&self, now: Time) -> Option<Time> {
        self.quarantine.map(|(_, until)| until).filter(|until| now < *until)
    }

    fn remove_old(&mut self, now: Time) {
        self.failing_jobs.retain(|_, at| now.since(*at) <= FAILURE_RETENTION);
        let is_old = |(_, until): (Time, Time)| now > until + FAILURE_RETENTION;
        if self.failing_jobs.is_empty() && self.quarantine.is_none_or(is_old) {
            *self = Self::default();
        }
    }
}

impl Minion {
    /// Whether it is quarantined, and only because runs failed there.
    fn is_judged_by_failures(&self, now: Time) -> bool {
        self.record.quarantined_until(now).is_some_and(|until| self.quarantined_until <= until)
    }

    /// Whether only a quarantine keeps it from being given tasks.
    fn is_only_quarantined(&self, now: Time) -> bool {
        now < self.quarantined_until && !self.leaving && self.is_able_unless_quarantined()
    }

    /// The same, if the quarantine rests on failures of its runs.
    pub(crate) fn is_only_doubted(&self, now: Time) -> bool {
        self.is_only_quarantined(now) && self.is_judged_by_failures(now)
    }
}

impl Cell {
    /// Records how a run ended, which worked for `worked` if that is known, and quarantines its minion
    /// if the failures there are the minion's.
    ///
    /// A minion that fails every run always has free capacity.  Without a quarantine it would be given
    /// task after task and use up their attempts, and callers would see one job after the other fail.
    pub(crate) fn record_outcome(
        &mut self,
        id: &MinionId,
        end: &End,
        worked: Option<Duration>,
        now: Time,
    ) {
        let Some(job) = self.jobs.get_mut(&end.task.job) else { return };
        let step = &job.accepted.definition.steps[end.task.step as usize];
        let has_worked_long = step.long_running && worked.is_some_and(|time| time >= LONG_WORK);
        let Some(minion) = self.minions.get_mut(id) else { return };
        match end.reason {
            EndReason::Failed if !has_worked_long => {
                job.outcomes.record_failure(id);
                minion.record.remove_old(now);
                minion.record.failing_jobs.insert(end.task.job, now);
                self.judge(id, now);
            }
            EndReason::Done | EndReason::Failed => {
                job.outcomes.record_success(id);
                minion.record =
                    Record { quarantine: minion.record.quarantine, ..Record::default() };
            }
            _ => return,
        }
        self.lift_unfounded(end.task.job, now);
    }

    /// Quarantines a minion if the failures of enough jobs are its own.
    fn judge(&mut self, id: &MinionId, now: Time) {
        let failing = self.failing_jobs(id, now);
        if failing < MIN_FAILING_JOBS {
            return;
        }
        if !self.can_do_without(id, now) {
            self.record_event(Event::NotQuarantined { minion: id.clone(), jobs: failing });
            return;
        }
        let quarantine = self.settings.quarantine;
        let Some(minion) = self.minions.get_mut(id) else { return };
        let doublings = minion.record.quarantine_count.min(MAX_QUARANTINE_DOUBLINGS);
        let until = now + quarantine * (1 << doublings);
        minion.record.quarantine_count += 1;
        minion.record.quarantine = Some((now, until));
        minion.quarantined_until = minion.quarantined_until.max(until);
        self.record_event(Event::Quarantined { minion: id.clone(), until, jobs: failing });
    }

    /// The number of jobs whose failures on a minion are not explained by their failures elsewhere.
    /// Those that led to an earlier quarantine don't count again.
    fn failing_jobs(&self, id: &MinionId, now: Time) -> usize {
        let Some(minion) = self.minions.get(id) else { return 0 };
        let last = minion.record.quarantine.map(|(began, _)| began);
        let is_new = |at: Time| last.is_none_or(|last| at > last);
        let failing = minion.record.failing_jobs.iter().filter(|(_, at)| is_new(**at));
        failing.filter(|(job, _)| !self.fails_elsewhere(job, id, now)).count()
    }

    /// Whether a job's runs on other minions fail more often than they succeed.
    fn fails_elsewhere(&self, job: &Id, id: &MinionId, now: Time) -> bool {
        let Some(outcomes) = self.jobs.get(job).map(|job| &job.outcomes) else { return false };
        let (failed, succeeded) = outcomes.elsewhere(id);
        failed > succeeded + self.long_runs_elsewhere(job, id, now)
    }

    /// The number of a job's long-running tasks that have worked for long on other minions.
    fn long_runs_elsewhere(&self, id: &Id, excluded: &MinionId, now: Time) -> u32 {
        let Some(job) = self.jobs.get(id) else { return 0 };
        if !job.accepted.definition.steps.iter().any(|step| step.long_running) {
            return 0;
        }
        let has_worked_long = |(flat, task): &(usize, &Task)| {
            let Phase::Placed { minion, run } = &task.phase else { return false };
            let (occurrence, step, index) = job.position_of(*flat as u32);
            let name = TaskName { job: *id, occurrence, step, index };
            let minion = self.minions.get(minion).filter(|minion| minion.id != *excluded);
            let run = minion.and_then(|minion| minion.run(&name, *run));
            run.is_some_and(|run| {
                let is_active = run.long_running && run.phase == RunPhase::Active;
                is_active && now.since(run.began_at) >= LONG_WORK
            })
        };
        job.tasks.iter().enumerate().filter(has_worked_long).count() as u32
    }

    /// Whether at least half of the minions that could accept tasks remain if this one gets none.
    pub(crate) fn can_do_without(&self, id: &MinionId, now: Time) -> bool {
        let others = || self.minions.values().filter(|minion| minion.id != *id);
        let accepting = others().filter(|minion| !minion.leaving && minion.is_able(now)).count();
        let quarantined = others().filter(|minion| minion.is_only_quarantined(now)).count();
        let total = accepting + quarantined + 1;
        quarantined < total / 2
    }

    /// Ends quarantines that rest on failures of a job which, as is known by now, fails elsewhere, too.
    fn lift_unfounded(&mut self, job: Id, now: Time) {
        let suspects: Vec<MinionId> = self
            .minions
            .values()
            .filter(|minion| minion.is_judged_by_failures(now))
            .filter(|minion| minion.record.failing_jobs.contains_key(&job))
            .map(|minion| minion.id.clone())
            .collect();
        for id in suspects {
            let Some(minion) = self.minions.get(&id) else { continue };
            let jobs = minion.record.failing_jobs.keys();
            let founded = jobs.filter(|job| !self.fails_elsewhere(job, &id, now)).count();
            if founded >= MIN_FAILING_JOBS {
                continue;
            }
            let Some(minion) = self.minions.get_mut(&id) else { continue };
            minion.record.quarantine = None;
            minion.record.quarantine_count = 0;
            minion.quarantined_until = now;
            self.record_event(Event::QuarantineLifted { minion: id });
        }
    }
}
