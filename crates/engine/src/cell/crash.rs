//! Tasks that crash the minions that start them.
//!
//! One crash does not tell such a task from the others on its minion, since all of them end with
//! it.  If it were simply restarted, it would take down a minion each time, and all other work
//! there would be restarted too.
//!
//! Two things are kept apart.  *Points* make the owner careful: each unplanned end of a minion, or
//! a possible one, adds points to the tasks that it ended, by how likely each was the cause.  Tasks
//! with [`LIKELY_CAUSE_POINTS`] are started apart from each other.  From [`ISOLATION_THRESHOLD`]
//! points, or a certain crash, a task is started in isolation: on a minion where nothing was
//! started just before, and which starts nothing else until the run has passed its
//! [`TRIAL_PERIOD`].  *Evidence* fails the job, and only a loss that leaves no [`Doubt`] adds to it.
//! A task that only ran beside such a task, or on minions that failed together, were disconnected
//! or were replaced, is restarted until it is done.
//!
//! Both are persisted with the job's progress, so that a later owner continues from them.  Once a
//! minion has crashed after it started a task, each further start of the task is preceded by a
//! persisted record that its minion may crash.  If the owner is lost during that trial, its
//! successor learns the result from that minion ([`trial`]); otherwise the trial is uncertain.

mod evidence;
mod trial;

pub use evidence::{Circumstances, Doubt};
pub(crate) use evidence::{LapsedTrials, Loss, MIN_BACKGROUND_LOSSES};
pub(crate) use trial::FormerTrials;

use crate::cell::minion::{Minion, MinionId, Run, RunPhase};
use crate::cell::work::{Job, Phase, Task};
use crate::cell::{Cell, Event, FailureReason, Running};
use crate::job::{Id, TaskName, Trials};
use crate::time::Time;
use smallvec::{SmallVec, smallvec};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;
use strum::Display;

/// Points for a task that had passed its trial while more likely causes had not.
const UNLIKELY_CAUSE_POINTS: u8 = 1;

/// Points for one of several likely causes, or for a sole one if it is uncertain whether the minion
/// crashed or the run had started.
const LIKELY_CAUSE_POINTS: u8 = 2;

/// Points for the task against which a crash is evidence.
const SOLE_CAUSE_POINTS: u8 = 4;

/// Points from which a task is started in isolation.
const ISOLATION_THRESHOLD: u8 = 3;

/// How long after a start it may still be what crashes its minion.  Minions go down some 10 ms
/// after such a start; the rest is for orders that wait in an entry under load.
pub const TRIAL_PERIOD: Duration = Duration::from_millis(250);

/// Progress from which a run counts as past its trial, because a task that crashes minions has
/// hardly begun when it does.
const TRIAL_END_PERCENT: u8 = 10;

/// A run that has been active for this long did not crash the minion that started it, so its task's
/// points are cleared.  Otherwise long-running tasks would accumulate points over weeks.
const SUSPICION_RESET_AFTER: Duration = Duration::from_secs(5);

/// Crashes from which on the restarts of tasks whose minions crashed at the same time are spread.
/// The platform's operators allow two more starts after the third crash, and these must tell which
/// of the tasks crash their minions.
const MIN_CRASHES_TO_SPREAD: u8 = 3;

/// Crashes from which on a task is not restarted just after the loss of another minion.
const MIN_CRASHES_TO_AWAIT_CALM: u8 = 2;

/// Longest wait for a time without losses, which may not come in a large fleet.
const MAX_CALM_WAIT: Duration = Duration::from_secs(3);

/// Period over which such restarts are spread, several times that in which losses of minions may
/// have a common cause.
const RESTART_SPREAD: Duration = Duration::from_secs(3);

/// How strongly a task is suspected of crashing its minions.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Suspicion {
    points: u8,
    /// Sum of the weights of the losses that are evidence against it.
    evidence: u8,
    /// The trials that ended with the loss of the minion, or may have.
    trials: Trials,
    /// Whether a suspected task is about to start or on trial, or its minion became silent during a
    /// trial, so that a crash is possible and not known yet.  Persisted as an uncertain trial,
    /// because the owner may be lost before it learns the result.
    is_crash_possible: bool,
    /// Whether a former owner persisted it.
    is_restored: bool,
}

impl Suspicion {
    /// The suspicion that was persisted.
    pub(crate) fn from_persisted(points: u8, trials: Trials, evidence: u8) -> Self {
        Self { points, evidence, trials, is_crash_possible: false, is_restored: true }
    }

    /// The points to persist.
    pub(crate) fn persisted_points(self) -> u8 {
        self.points.saturating_add(if self.is_crash_possible { LIKELY_CAUSE_POINTS } else { 0 })
    }

    /// The trials to persist.
    pub(crate) fn persisted_trials(self) -> Trials {
        let uncertain = self.trials.uncertain.saturating_add(u8::from(self.is_crash_possible));
        Trials { uncertain, ..self.trials }
    }

    /// The evidence to persist.
    pub(crate) fn persisted_evidence(self) -> u8 {
        self.evidence
    }

    /// Whether the task must be started in isolation.
    pub(crate) fn needs_isolation(self) -> bool {
        self.points >= ISOLATION_THRESHOLD || self.trials.crashed > 0
    }

    /// Delay before the next start of a task whose minion crashed at the same time as others.
    ///
    /// Tasks that crash their minions at the same time would otherwise be restarted, and crash
    /// them, at the same time again, so that no crash would ever be evidence.
    fn restart_delay(self, name: &TaskName) -> Duration {
        if self.trials.crashed < MIN_CRASHES_TO_SPREAD {
            return Duration::ZERO;
        }
        let mut hasher = DefaultHasher::new();
        (name, self.trials.crashed).hash(&mut hasher);
        let spread_ms = RESTART_SPREAD.as_millis() as u64;
        Duration::from_millis(hasher.finish() % spread_ms)
    }

    /// Whether the task must be started apart from other likely causes.
    pub(crate) fn is_likely_cause(self) -> bool {
        self.points >= LIKELY_CAUSE_POINTS
    }

    /// Whether a possible crash must be persisted before the task is started.
    ///
    /// A task whose minion may only have been disconnected is started without it, because all
    /// recent starts in an availability zone are such tasks when the zone is disconnected.
    pub(crate) fn needs_persisted_trial(self) -> bool {
        let has_crashed = self.trials.crashed > 0 || self.is_restored;
        self.needs_isolation() || (self.is_likely_cause() && has_crashed)
    }

    /// Whether a possible crash is recorded.
    pub(crate) fn has_possible_crash(self) -> bool {
        self.is_crash_possible
    }

    /// Whether the task's job must fail.
    pub(crate) fn is_conclusive(self) -> bool {
        evidence::is_conclusive(self.evidence, self.trials)
    }

    /// The suspicion after the former owner's run was found, so that its trial was no crash.
    pub(crate) fn without_uncertain_trial(self) -> Self {
        if !self.is_restored || self.trials.uncertain == 0 {
            return self;
        }
        let trials = Trials { uncertain: self.trials.uncertain - 1, ..self.trials };
        Self { points: self.points.saturating_sub(LIKELY_CAUSE_POINTS), trials, ..self }
    }

    /// The suspicion after the minion of the former owner's trial was found to have crashed.
    fn with_certain_crash(self) -> Self {
        if !self.is_restored || self.trials.uncertain == 0 {
            return self;
        }
        let crashed = self.trials.crashed.saturating_add(1);
        let trials = Trials { crashed, uncertain: self.trials.uncertain - 1 };
        Self { trials, evidence: self.evidence.saturating_add(evidence::WEIGHT), ..self }
    }

    fn add_points(&mut self, points: u8) {
        self.points = self.points.saturating_add(points);
    }

    fn add_trial(&mut self, trial: Trial) {
        let Trials { crashed, uncertain } = &mut self.trials;
        match trial {
            Trial::Crashed => *crashed = crashed.saturating_add(1),
            Trial::Uncertain => *uncertain = uncertain.saturating_add(1),
        }
    }
}

impl Trials {
    /// The trials that points of a release without trials stand for.
    pub(crate) fn from_points(points: u8) -> Self {
        let uncertain = points % SOLE_CAUSE_POINTS / LIKELY_CAUSE_POINTS;
        Self { crashed: points / SOLE_CAUSE_POINTS, uncertain }
    }

    /// The evidence that points and trials of a release without evidence stand for.
    pub(crate) fn evidence(self, points: u8) -> u8 {
        self.crashed.min(points / SOLE_CAUSE_POINTS).saturating_mul(evidence::WEIGHT)
    }
}

/// What the loss of a minion adds to the suspicion of a task.
#[derive(Clone, Copy, Debug)]
struct Charge {
    points: u8,
    evidence: u8,
    trial: Option<Trial>,
}

/// The result of a trial that ended with the loss of the minion.
#[derive(Clone, Copy, Debug)]
enum Trial {
    /// The minion had started the task and certainly crashed, by whatever cause.
    Crashed,
    /// The minion may only have been disconnected, or may not have started the task.
    Uncertain,
}

/// How certain it is that a minion crashed.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Certainty {
    /// It has a new incarnation under the same id.
    Restarted,
    /// Another minion answers at its address, or its machine is known not to run it any more.
    Terminated,
    /// It is silent, and may only be disconnected.
    Possible,
}

impl Running {
    /// Minimum time that the run has lasted, derived from its age and its progress.
    pub(crate) fn min_run_time(&self, age: Duration) -> Duration {
        if self.percent >= TRIAL_END_PERCENT { age.max(TRIAL_PERIOD) } else { age }
    }
}

impl Run {
    /// Whether it may have started before its minion was known to have terminated.
    ///
    /// A call that is still in progress then went to the minion's next incarnation, which begins
    /// seconds after a crash, when a call to the former one has long failed.
    fn may_have_started(&self) -> bool {
        self.phase != RunPhase::Ordered
    }

    /// Whether it has not been seen to pass its trial.
    pub(crate) fn is_on_trial(&self) -> bool {
        self.listed_for.is_none_or(|time| time < TRIAL_PERIOD)
    }
}

impl Minion {
    /// Whether its end is planned: it is to be emptied, or is draining.
    pub(crate) fn has_planned_end(&self) -> bool {
        self.leaving || self.listing.draining
    }

    /// Whether a task that needs isolation is on trial there.
    pub(crate) fn runs_isolated_trial(&self) -> bool {
        self.isolated_runs > 0
            && self.runs.values().any(|run| run.suspicion.needs_isolation() && run.is_on_trial())
    }

    /// Whether a likely cause of crashes may be started there.  If the minion crashed, a task that
    /// was started just before would be as likely a cause.
    pub(crate) fn can_host_suspect(&self, suspicion: Suspicion, now: Time) -> bool {
        let is_recent =
            |run: &Run| now.since(run.ordered_at) < TRIAL_PERIOD || run.may_be_cause(now);
        let is_likely = |run: &Run| run.suspicion.is_likely_cause() && run.is_on_trial();
        let conflicts =
            |run: &Run| is_likely(run) || (suspicion.needs_isolation() && is_recent(run));
        !self.runs.values().any(conflicts)
    }
}

impl Cell {
    /// Records the runs on a minion that terminated, or may have.  An unplanned end counts against
    /// them.
    pub(crate) fn record_loss(&mut self, minion: &Minion, certainty: Certainty, now: Time) {
        if minion.has_planned_end() || !minion.answered {
            return;
        }
        let suspects = self.suspects(minion);
        let weight = self.evidence_weight(now);
        let circumstances = self.circumstances(minion, certainty, now);
        self.store_loss(minion, now);
        for (name, circumstances) in circumstances {
            let is_suspect = suspects.contains(&name);
            let was_on_trial = minion.runs.get(&name).is_some_and(Run::is_on_trial);
            let is_evidence = circumstances.doubt().is_none();
            let points = match is_suspect {
                _ if is_evidence => SOLE_CAUSE_POINTS,
                true => LIKELY_CAUSE_POINTS,
                false => UNLIKELY_CAUSE_POINTS,
            };
            let trial = match circumstances.doubt_of_crash() {
                None => Some(Trial::Crashed),
                Some(_) => (is_suspect && was_on_trial).then_some(Trial::Uncertain),
            };
            let charge = Charge { points, trial, evidence: if is_evidence { weight } else { 0 } };
            self.add_suspicion(&minion.id, &name, charge, circumstances, now);
        }
    }

    /// The likely causes among a minion's runs: those on trial whose tasks already have points or,
    /// if there are none, all on trial and all whose tasks have points.
    fn suspects(&self, minion: &Minion) -> SmallVec<[TaskName; 4]> {
        let has_record =
            |name: &TaskName| self.task(name).is_some_and(|task| task.suspicion.points > 0);
        let chosen = |likely: &dyn Fn(&TaskName, &Run) -> bool| {
            let begun = minion.runs.iter().filter(|(_, run)| run.may_have_started());
            let runs = begun.filter(|(name, run)| likely(name, run));
            runs.map(|(name, _)| *name).collect::<SmallVec<[TaskName; 4]>>()
        };
        let on_trial_again = chosen(&|name, run| run.is_on_trial() && has_record(name));
        if !on_trial_again.is_empty() {
            return on_trial_again;
        }
        chosen(&|name, run| run.is_on_trial() || has_record(name))
    }

    /// Adds what a loss says against a task, and fails its job when the evidence is enough.
    fn add_suspicion(
        &mut self,
        minion: &MinionId,
        name: &TaskName,
        charge: Charge,
        circumstances: Circumstances,
        now: Time,
    ) {
        let Some(job) = self.jobs.get_mut(&name.job) else { return };
        if job.state().is_final() {
            return;
        }
        let Some(task) = job.task_mut(name) else { return };
        task.avoid = Some(minion.clone());
        let mut suspicion = task.suspicion;
        suspicion.add_points(charge.points);
        suspicion.evidence = suspicion.evidence.saturating_add(charge.evidence);
        charge.trial.into_iter().for_each(|trial| suspicion.add_trial(trial));
        if circumstances.doubt() == Some(Doubt::CommonCause) && !circumstances.is_cause_elsewhere {
            task.not_before = task.not_before.max(now + suspicion.restart_delay(name));
        }
        job.set_suspicion(name, suspicion);
        self.changed_jobs.insert(name.job);
        self.record_event(Event::Suspected {
            minion: minion.clone(),
            task: *name,
            points: suspicion.points,
            trials: suspicion.trials,
            given_up: suspicion.is_conclusive(),
            circumstances: Some(circumstances),
        });
        if suspicion.is_conclusive() {
            self.fail_job(&name.job, FailureReason::Crash, now);
        }
    }

    /// Fails a job of which a task crashes its minions.  The next plan stops its runs once that is
    /// persisted.
    pub(crate) fn fail_job(&mut self, id: &Id, reason: FailureReason, now: Time) {
        self.record_failure(id, reason);
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.fail(now);
        self.changed_jobs.insert(*id);
        self.active_jobs.remove(id);
        self.last_sweep = None;
    }

    /// Records how long a run has lasted.  After the trial a crash is no longer possible, and the
    /// evidence is cleared, since the task has not crashed this minion.  After
    /// [`SUSPICION_RESET_AFTER`] the whole suspicion is cleared.
    pub(crate) fn record_run_time(&mut self, id: &str, name: &TaskName) {
        let run = self.minions.get(id).and_then(|minion| minion.runs.get(name));
        let Some(time) = run.and_then(|run| run.listed_for) else { return };
        if time >= TRIAL_PERIOD {
            self.set_possible_crash(smallvec![*name], false);
            self.clear_evidence(name);
        }
        let Some(job) = self.jobs.get_mut(&name.job).filter(|_| time >= SUSPICION_RESET_AFTER)
        else {
            return;
        };
        if job.task(name).is_some_and(Task::is_suspected) {
            job.set_suspicion(name, Suspicion::default());
            self.changed_jobs.insert(name.job);
        }
    }

    fn clear_evidence(&mut self, name: &TaskName) {
        let Some(job) = self.jobs.get_mut(&name.job) else { return };
        let Some(suspicion) = job.task(name).map(|task| task.suspicion) else { return };
        if suspicion.evidence > 0 {
            job.set_suspicion(name, Suspicion { evidence: 0, ..suspicion });
            self.changed_jobs.insert(name.job);
        }
    }

    /// Whether a likely cause of crashes may be started: it is the next suspect of its job, and no
    /// minion was lost just before.  A long-running task does not wait for either, because its users
    /// are without it.
    pub(crate) fn may_start_suspect(&self, job: &Job, name: &TaskName, now: Time) -> bool {
        let long_running = job.accepted.definition.steps[name.step as usize].long_running;
        if long_running {
            return true;
        }
        // Otherwise another crash would prove as little as those before.
        let needs_calm = |task: &Task| {
            task.suspicion.trials.crashed >= MIN_CRASHES_TO_AWAIT_CALM
                && now.since(task.waiting_since) < MAX_CALM_WAIT
        };
        if job.task(name).is_some_and(needs_calm) && self.had_recent_loss(now) {
            return false;
        }
        self.is_next_suspect(job, name)
    }

    /// Whether a likely cause is the next of its job to start: none is on trial, and no waiting
    /// task of its step has more points, or as many and a recorded trial.
    ///
    /// A job whose tasks all crash their minions fails with the first of them.  If they were
    /// started together, each would take down one more minion.
    fn is_next_suspect(&self, job: &Job, name: &TaskName) -> bool {
        let mut runs = self.minions.values().flat_map(|minion| &minion.runs);
        let is_suspect_on_trial = |run: &Run| run.suspicion.is_likely_cause() && run.is_on_trial();
        if runs.any(|(other, run)| other.job == name.job && is_suspect_on_trial(run)) {
            return false;
        }
        let rank = |task: &Task| (task.suspicion.points, task.suspicion.is_crash_possible);
        let own = job.task(name).map_or((0, false), rank);
        let count = job.accepted.definition.steps[name.step as usize].count;
        let mut others = (0..count).filter_map(|index| job.task(&TaskName { index, ..*name }));
        !others.any(|task| task.phase == Phase::Waiting && rank(task) > own)
    }

    /// Records that a job fails because a task of it crashes its minions.
    pub(crate) fn record_failure(&mut self, id: &Id, reason: FailureReason) {
        let Some(job) = self.jobs.get(id) else { return };
        let Some(flat) = job.tasks.iter().position(|task| task.suspicion.is_conclusive()) else {
            return;
        };
        let (occurrence, step, index) = job.position_of(flat as u32);
        let Suspicion { points, trials, .. } = job.tasks[flat].suspicion;
        let task = TaskName { job: *id, occurrence, step, index };
        let failed = job.tasks[flat].failed.len();
        self.record_event(Event::JobFailed {
            task,
            reason,
            failed,
            attempts: None,
            points,
            trials,
        });
    }

    fn task(&self, name: &TaskName) -> Option<&Task> {
        self.jobs.get(&name.job).and_then(|job: &Job| job.task(name))
    }
}
