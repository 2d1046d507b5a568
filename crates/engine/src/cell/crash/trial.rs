//! Trials of tasks that may crash their minions, and their results after a change of owner.
//!
//! A persisted possible crash names the minion and its incarnation.  A new owner learns the result
//! from that minion.  If the same incarnation answers, the task did not crash it.  The former
//! owner's start can't be carried out there any more, since the minion has seen a higher fencing
//! token.  If the incarnation has ended and was silent during the trial, the crash is certain.
//! Otherwise the trial stays uncertain: the start may not have been sent.

use super::{Certainty, Charge, LIKELY_CAUSE_POINTS, SOLE_CAUSE_POINTS, Suspicion, Trial};
use crate::cell::minion::{Incarnation, Listing, Minion, MinionId, Run};
use crate::cell::work::{Job, Phase, Task};
use crate::cell::{Cell, Event, FailureReason};
use crate::job::{Id, Progress, TaskName, TrialPlace};
use crate::time::Time;
use smallvec::SmallVec;
use std::collections::BTreeMap;

/// Tasks whose trials under a former owner have no known result, by minion.
pub(crate) type FormerTrials = BTreeMap<Box<str>, SmallVec<[TaskName; 1]>>;

impl Minion {
    /// The place of a trial there; `None` if the minion reports no incarnation, so that an answer
    /// after the trial would prove nothing.
    fn trial_place(&self, silent: bool) -> Option<TrialPlace> {
        let incarnation = self.incarnation?.0;
        Some(TrialPlace { minion: (&*self.id).into(), incarnation, silent })
    }
}

impl Minion {
    /// Whether it may have been lost shortly before this owner's takeover.
    ///
    /// One that was lost long before is not listed any more.
    fn may_be_lost_with_former_owner(&self) -> bool {
        let was_listed = self.listing != Listing::default();
        self.inherited && !self.answered && was_listed && !self.has_planned_end()
    }
}

impl Task {
    /// The minion that the recorded trial of a task about to start names.
    pub(crate) fn recorded_minion(&self) -> Option<&str> {
        let place = self.trial_place.as_deref().filter(|_| self.suspicion.is_crash_possible)?;
        Some(&place.minion)
    }
}

impl Job {
    /// Whether the possible crash of a task about to start on this minion is recorded and
    /// persisted.
    ///
    /// Other changes of the job need not be persisted: one with many tasks always has some.  The
    /// record may name a former incarnation of the minion: then the trial stays uncertain if the
    /// owner is lost.
    pub(crate) fn is_trial_persisted(&self, task: &Task, minion: &str) -> bool {
        self.is_possible_crash_persisted(task)
            && task.recorded_minion().is_none_or(|recorded| recorded == minion)
    }
}

impl Cell {
    /// Records a possible crash for the runs on trial on a minion that became silent.
    ///
    /// Whether it crashed is known only seconds later.  If the owner were lost before that, the
    /// crash would leave no trace, and its successor would start the task like any other.
    pub(crate) fn mark_possible_crash(&mut self, id: &str, now: Time) {
        let is_relevant = |minion: &&Minion| {
            !minion.has_planned_end() && minion.runs.values().any(Run::is_on_trial)
        };
        let Some(minion) = self.minions.get(id).filter(is_relevant) else { return };
        let circumstances = self.circumstances(minion, Certainty::Terminated, now);
        let is_evidence = |name: &TaskName| {
            circumstances.iter().any(|(of, known)| of == name && known.doubt().is_none())
        };
        let on_trial = minion.runs.iter().filter(|(_, run)| run.is_on_trial());
        let places: SmallVec<[_; 4]> =
            on_trial.map(|(name, _)| (*name, minion.trial_place(is_evidence(name)))).collect();
        for (name, place) in places {
            self.update_trial(&name, true, place);
        }
    }

    /// Records the possible crashes on other silent minions again, because they prove less if
    /// another minion was lost at the same time.
    pub(crate) fn review_possible_crashes(&mut self, id: &str, now: Time) {
        let is_recorded_as_evidence = |name: &TaskName| {
            let place =
                self.jobs.get(&name.job).and_then(|job| job.task(name)?.trial_place.as_deref());
            place.is_some_and(|place| place.silent)
        };
        let silent = self
            .minions
            .values()
            .filter(|minion| minion.silent_since.is_some() && *minion.id != *id)
            .filter(|minion| minion.runs.keys().any(is_recorded_as_evidence));
        let others: Vec<MinionId> = silent.map(|minion| minion.id.clone()).collect();
        others.iter().for_each(|other| self.mark_possible_crash(other, now));
    }

    /// Clears the possible crashes of the runs on a minion that answers.
    pub(crate) fn clear_possible_crash(&mut self, id: &str) {
        let Some(minion) = self.minions.get(id) else { return };
        self.set_possible_crash(minion.runs.keys().copied().collect(), false);
    }

    /// Sets whether a crash under these tasks is possible and not known yet, on no known minion.
    pub(crate) fn set_possible_crash(
        &mut self,
        names: SmallVec<[TaskName; 4]>,
        is_crash_possible: bool,
    ) {
        for name in names {
            self.update_trial(&name, is_crash_possible, None);
        }
    }

    /// Records that a task is about to be started on a minion that it may crash.
    pub(crate) fn record_trial(&mut self, name: &TaskName, minion: &MinionId) {
        let place = self.minions.get(minion).and_then(|minion| minion.trial_place(false));
        self.update_trial(name, true, place);
    }

    fn update_trial(
        &mut self,
        name: &TaskName,
        is_crash_possible: bool,
        place: Option<TrialPlace>,
    ) {
        let Some(job) = self.jobs.get_mut(&name.job) else { return };
        let is_open = !job.state().is_final();
        let Some(task) = job.task(name).filter(|_| is_open) else { return };
        let suspicion = task.suspicion;
        let has_place = !is_crash_possible || task.trial_place.as_deref() == place.as_ref();
        if suspicion.is_crash_possible == is_crash_possible && has_place {
            return;
        }
        job.set_suspicion(name, Suspicion { is_crash_possible, ..suspicion });
        if let Some(task) = job.task_mut(name) {
            task.trial_place = place.map(Box::new);
        }
        self.changed_jobs.insert(name.job);
    }

    /// Remembers the trials on a minion whose lease expired, of which a crash would be evidence.
    ///
    /// The minion may come back after its lease, and only then its crash is certain.
    pub(crate) fn add_lapsed_trials(&mut self, minion: &Minion, now: Time) {
        if !minion.listed || minion.has_planned_end() {
            return;
        }
        let trials = self.circumstances(minion, Certainty::Terminated, now).into_iter();
        let trials: SmallVec<[_; 1]> =
            trials.filter(|(_, circumstances)| circumstances.doubt().is_none()).collect();
        if !trials.is_empty() {
            self.lapsed_trials.insert(minion.id.clone(), trials);
        }
    }

    /// Counts the trials on a minion that has crashed after its lease had expired.
    pub(crate) fn resolve_lapsed_trials(&mut self, minion: &Minion, now: Time) {
        let trials = self.lapsed_trials.remove(&minion.id).unwrap_or_default();
        if minion.has_planned_end() {
            return;
        }
        for (name, circumstances) in trials {
            // A task that has outlived a start since then did not crash the minion.
            if self.has_outlived_start(&name) {
                continue;
            }
            let task = self.jobs.get_mut(&name.job).and_then(|job| job.task_mut(&name));
            let Some(task) = task.filter(|task| task.suspicion.trials.uncertain > 0) else {
                continue;
            };
            task.suspicion.trials.uncertain -= 1;
            let charge = Charge {
                points: SOLE_CAUSE_POINTS - LIKELY_CAUSE_POINTS,
                evidence: self.evidence_weight(now),
                trial: Some(Trial::Crashed),
            };
            self.add_suspicion(&minion.id, &name, charge, circumstances, now);
        }
    }

    /// Whether a task is done, or runs on a minion that has listed the run.
    fn has_outlived_start(&self, name: &TaskName) -> bool {
        let phase = self.jobs.get(&name.job).and_then(|job| job.task(name)).map(|task| &task.phase);
        match phase {
            Some(Phase::Placed { minion, run }) => {
                let run = self.minions.get(minion).and_then(|minion| minion.run(name, *run));
                run.is_some_and(|run| run.listed_for.is_some())
            }
            Some(Phase::Done) => true,
            Some(Phase::Waiting) | None => false,
        }
    }

    /// Adds the trials of a job under a former owner, whose results are not known.
    pub(crate) fn add_former_trials(&mut self, id: Id, progress: Option<&Progress>, now: Time) {
        let places = progress.map_or(&[][..], |progress| &progress.trial_places);
        for (flat, place) in places {
            let Some(job) = self.jobs.get(&id).filter(|job| !job.state().is_final()) else {
                return;
            };
            let (occurrence, step, index) = job.position_of(*flat);
            let name = TaskName { job: id, occurrence, step, index };
            self.former_trials.entry(place.minion.clone()).or_default().push(name);
            self.resolve_trials_of_answering(&place.minion, now);
        }
    }

    /// Records the results of former owners' trials on a minion, if it has answered this one.
    pub(crate) fn resolve_trials_of_answering(&mut self, id: &str, now: Time) {
        let Some(minion) = self.minions.remove(id) else { return };
        if minion.answered && minion.incarnation.is_some() {
            self.resolve_former_trials(&minion, minion.incarnation, now);
        }
        self.minions.insert(minion.id.clone(), minion);
    }

    /// Remembers a minion of the former owner that was lost before it answered this one.
    pub(crate) fn record_former_loss(&mut self, minion: &Minion) {
        if minion.may_be_lost_with_former_owner() {
            self.former_losses.insert(minion.id.clone());
        }
    }

    /// Records the results of former owners' trials on a minion that answered as this incarnation,
    /// or has terminated (`None`).
    pub(crate) fn resolve_former_trials(
        &mut self,
        minion: &Minion,
        incarnation: Option<Incarnation>,
        now: Time,
    ) {
        let id = &minion.id;
        self.record_former_loss(minion);
        for name in self.former_trials.remove(&**id).unwrap_or_default() {
            let Some(job) = self.jobs.get(&name.job).filter(|job| !job.state().is_final()) else {
                continue;
            };
            let Some(task) = job.task(&name).filter(|task| !task.suspicion.is_crash_possible)
            else {
                continue;
            };
            let Some(place) = task.trial_place.as_deref().filter(|place| *place.minion == **id)
            else {
                continue;
            };
            if incarnation == Some(Incarnation(place.incarnation)) {
                let suspicion = task.suspicion.without_uncertain_trial();
                self.set_former_suspicion(&name, suspicion, now);
            } else if place.silent && !minion.has_planned_end() {
                self.former_crashes.push((name, id.clone()));
            }
        }
        self.count_former_crashes(now);
    }

    /// Counts the crashes in trials of the former owner, once it is known that no other minion was
    /// lost at the time.
    pub(crate) fn count_former_crashes(&mut self, now: Time) {
        for (name, minion) in std::mem::take(&mut self.former_crashes) {
            let is_open =
                |other: &Minion| other.id != minion && other.may_be_lost_with_former_owner();
            if self.former_losses.iter().any(|lost| *lost != minion) {
                continue;
            }
            if self.minions.values().any(is_open) {
                if !self.is_takeover_complete(now) {
                    self.former_crashes.push((name, minion));
                }
                continue;
            }
            let task = self.jobs.get(&name.job).and_then(|job| job.task(&name));
            // It may have been started since.
            let Some(task) = task.filter(|task| task.phase == Phase::Waiting) else { continue };
            let suspicion = task.suspicion.with_certain_crash();
            if suspicion.trials.crashed > task.suspicion.trials.crashed {
                self.record_event(Event::Suspected {
                    minion,
                    task: name,
                    points: suspicion.points,
                    trials: suspicion.trials,
                    given_up: suspicion.is_conclusive(),
                    circumstances: None,
                });
            }
            self.set_former_suspicion(&name, suspicion, now);
        }
    }

    fn set_former_suspicion(&mut self, name: &TaskName, suspicion: Suspicion, now: Time) {
        let Some(job) = self.jobs.get_mut(&name.job) else { return };
        job.set_suspicion(name, suspicion);
        let must_fail = job.crashes_minions();
        self.changed_jobs.insert(name.job);
        // Until the takeover is complete, the run may still be found.
        if must_fail && self.takeover_completed_at.is_some() {
            self.fail_job(&name.job, FailureReason::FormerTrial, now);
        }
    }
}
