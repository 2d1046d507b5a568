//! Tasks that crash the minions that start them.
//!
//! Such a task can't be told from its neighbours by one crash: all of them end with the minion.  Put back to wait
//! like any other, it takes down a minion each time it is started, and the callers of all that runs there wait for
//! their work to be begun anew.  So each unplanned end of a minion's life leaves points with the tasks that it
//! ended, by how likely each was the cause; they are kept with the job's progress, so that a later owner
//! goes on from them.
//!
//! Tasks with [`LIKELY`] points are started apart from each other.  From [`GUARDED`] points on a task is started with
//! nothing else to blame beside it: on a minion where nothing was started just before, which starts nothing else
//! until the run has outlived its [`TRIAL`].  At [`GIVEN_UP`] points its job fails.  Two crashes with nothing else
//! to blame are enough; a task that was only beside such a one, or on minions that went down together, is started
//! again until it is done.

use crate::cell::minion::{Minion, MinionId, Run, RunPhase};
use crate::cell::work::{Job, Phase, Task};
use crate::cell::{Cell, Note, Running};
use crate::job::TaskName;
use crate::time::Time;
use smallvec::{SmallVec, smallvec};
use std::time::Duration;

/// Points for a task that had outlived its trial while others, likelier causes, had not.
const BESIDE: u8 = 1;

/// Points for one of several likely causes, or for the only one where it isn't certain that the minion crashed or
/// that the run had begun.
const LIKELY: u8 = 2;

/// Points for the only likely cause of a crash.
const SOLE: u8 = 4;

/// Points from which on a task is started with nothing else to blame beside it.
const GUARDED: u8 = 3;

/// Points at which a task is given up: twice the only likely cause, or four times a likely one.  The platform's
/// operators allow two more starts after the third crash.
const GIVEN_UP: u8 = 8;

/// How long a start may be what crashes its minion.  Minions go down some 10 ms after such a start; the rest is
/// for orders that wait in an entry under load.
pub const TRIAL: Duration = Duration::from_millis(250);

/// Percent done from which on a run counts as having outlived its trial: what crashes minions has hardly begun.
const WELL_UNDER_WAY: u8 = 10;

/// A run that was at work for this long didn't crash the minion that started it: what was held against its
/// task is dropped.  Lasting tasks would else collect points over weeks.
const ACQUITTED: Duration = Duration::from_secs(5);

/// Minions that fall silent within this time of each other may have one cause.  One that idles is looked at
/// every second and a half, and a look without an answer takes up to half a second more.
const TOGETHER: Duration = Duration::from_secs(2);

/// How long losses of minions are remembered: one that fell silent at the same time is judged only when its lease
/// must have lapsed.
const REMEMBERED: Duration = Duration::from_secs(10);

/// How many of them at most.
const MAX_LOSSES: usize = 64;

/// What is held against a task.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Suspicion {
    points: u8,
    /// Whether a run of it is tried again, or was on trial when its minion fell silent, and it isn't known yet
    /// whether that crashed.  Kept as if it had: the owner may be lost before it learns.
    doubted: bool,
}

impl Suspicion {
    /// As it was kept.
    pub(crate) fn restored(points: u8) -> Self {
        Self { points, doubted: false }
    }

    /// What is to be kept of it.
    pub(crate) fn kept(self) -> u8 {
        self.points.saturating_add(if self.doubted { LIKELY } else { 0 })
    }

    /// Whether the task is started with nothing else to blame beside it.
    pub(crate) fn is_guarded(self) -> bool {
        self.points >= GUARDED
    }

    /// Whether the task is started apart from others of which that holds.
    pub(crate) fn is_likely(self) -> bool {
        self.points >= LIKELY
    }

    /// Whether it is kept that a crash under it is possible.
    pub(crate) fn is_doubted(self) -> bool {
        self.doubted
    }

    /// Whether its job is to be given up.
    pub(crate) fn is_proved(self) -> bool {
        self.points >= GIVEN_UP
    }

    fn add(&mut self, points: u8) {
        self.points = self.points.saturating_add(points);
    }
}

/// A minion that is gone, or silent and may be.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Loss {
    /// Since when it doesn't answer.
    silent: Time,
    /// Whether a run there was on trial, and so may be the cause.
    has_suspect: bool,
}

/// How sure it is that a minion crashed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Certainty {
    /// Another life of it is there, or its machine is known to be without it.
    Certain,
    /// It is silent, and may be cut off.
    Possible,
}

impl Running {
    /// How long the run has lived at least, by its age and by how far it has come.
    pub(crate) fn life(&self, age: Duration) -> Duration {
        if self.percent >= WELL_UNDER_WAY { age.max(TRIAL) } else { age }
    }
}

impl Run {
    /// Whether it may have been carried out before its minion was known to be over.
    ///
    /// A call that is still under way then went to the minion's next life: the next life begins seconds after a
    /// crash, and a call has failed long before.
    fn may_have_begun(&self) -> bool {
        self.phase != RunPhase::Ordered
    }

    /// Whether it has not been seen to outlive its trial.
    pub(crate) fn is_on_trial(&self) -> bool {
        self.listed_for.is_none_or(|time| time < TRIAL)
    }
}

impl Minion {
    /// Whether its end is planned: it is to be emptied, or said itself that it leaves.
    fn ends_by_plan(&self) -> bool {
        self.leaving || self.listing.draining
    }

    /// Whether a run there may be what crashed it.
    fn has_suspect(&self) -> bool {
        self.runs.values().any(|run| run.may_have_begun() && run.is_on_trial())
    }

    /// Whether a task that may crash it was started there and has not outlived its trial.
    pub(crate) fn is_proving_ground(&self) -> bool {
        self.guarded > 0
            && self.runs.values().any(|run| run.suspicion.is_guarded() && run.is_on_trial())
    }

    /// Whether a likely cause of a crash may be started there: what was started just before would
    /// be as likely a cause if the minion crashed.
    pub(crate) fn can_try(&self, suspicion: Suspicion, now: Time) -> bool {
        let is_recent = |run: &Run| now.since(run.since) < TRIAL;
        let is_likely = |run: &Run| run.suspicion.is_likely() && run.is_on_trial();
        let in_the_way = |run: &Run| is_likely(run) || (suspicion.is_guarded() && is_recent(run));
        !self.runs.values().any(in_the_way)
    }
}

impl Cell {
    /// Takes note of what runs on a minion whose life ended, or may have: an unplanned end counts against it.
    pub(crate) fn note_loss(&mut self, minion: &Minion, certainty: Certainty, now: Time) {
        if minion.ends_by_plan() || !minion.answered {
            return;
        }
        let loss =
            Loss { silent: minion.silent_since.unwrap_or(now), has_suspect: minion.has_suspect() };
        self.remember(loss, now);
        let suspects = self.suspects(minion);
        // What has outlived its trial is never the only cause: minions crash for other causes, too.
        let is_sole = suspects.len() == 1
            && certainty == Certainty::Certain
            && loss.has_suspect
            && !self.has_common_cause(loss.silent, &minion.id);
        for (name, run) in minion.runs.iter().filter(|(_, run)| run.may_have_begun()) {
            let points = match suspects.contains(name) {
                true if is_sole && run.begun => SOLE,
                true => LIKELY,
                false => BESIDE,
            };
            self.suspect(&minion.id, name, points, now);
        }
    }

    /// The likely causes among a minion's runs: those on trial that had crashed others before; if there is none, all
    /// on trial and all that had.
    fn suspects(&self, minion: &Minion) -> SmallVec<[TaskName; 4]> {
        let has_record =
            |name: &TaskName| self.task(name).is_some_and(|task| task.suspicion.points > 0);
        let chosen = |likely: &dyn Fn(&TaskName, &Run) -> bool| {
            let begun = minion.runs.iter().filter(|(_, run)| run.may_have_begun());
            let runs = begun.filter(|(name, run)| likely(name, run));
            runs.map(|(name, _)| *name).collect::<SmallVec<[TaskName; 4]>>()
        };
        let on_trial_again = chosen(&|name, run| run.is_on_trial() && has_record(name));
        if !on_trial_again.is_empty() {
            return on_trial_again;
        }
        chosen(&|name, run| run.is_on_trial() || has_record(name))
    }

    /// Whether another minion fell silent at the same time that nothing started there can explain: a rack or an
    /// availability zone may be down, and what was just started on its minions is not the cause.
    fn has_common_cause(&self, silent: Time, id: &MinionId) -> bool {
        let together =
            |other: Time| silent.since(other) < TOGETHER && other.since(silent) < TOGETHER;
        let gone = self.losses.iter().any(|loss| !loss.has_suspect && together(loss.silent));
        let mut others = self.minions.values().filter(|minion| minion.id != *id && minion.answered);
        gone || others.any(|minion| {
            !minion.ends_by_plan()
                && !minion.has_suspect()
                && minion.silent_since.is_some_and(together)
        })
    }

    fn remember(&mut self, loss: Loss, now: Time) {
        self.losses.retain(|known| now.since(known.silent) < REMEMBERED);
        if self.losses.len() < MAX_LOSSES {
            self.losses.push(loss);
        }
    }

    /// Holds a crash against a task, and gives its job up when that is enough.
    fn suspect(&mut self, minion: &MinionId, name: &TaskName, points: u8, now: Time) {
        let Some(job) = self.jobs.get_mut(&name.job) else { return };
        if job.state().is_final() {
            return;
        }
        let Some(task) = job.task_mut(name) else { return };
        task.suspicion.add(points);
        task.avoid = Some(minion.clone());
        let suspicion = task.suspicion;
        job.change();
        if suspicion.is_proved() {
            job.fail(now);
            self.active.remove(&name.job);
            // Its other runs are stopped by the next plan.
            self.swept = None;
        }
        self.changed.insert(name.job);
        self.note(Note::Suspected {
            minion: minion.clone(),
            task: *name,
            points: suspicion.points,
            given_up: suspicion.is_proved(),
        });
    }

    /// Has what is on trial on a minion that fell silent kept as doubted.
    ///
    /// Whether it crashed is known only seconds later.  An owner that is lost until then would leave no trace of the
    /// crash, and its successor would start the task as if nothing had happened.
    pub(crate) fn doubt(&mut self, id: &str) {
        let Some(minion) = self.minions.get(id).filter(|minion| !minion.ends_by_plan()) else {
            return;
        };
        let on_trial = minion.runs.iter().filter(|(_, run)| run.is_on_trial());
        self.set_doubt(on_trial.map(|(name, _)| *name).collect(), true);
    }

    /// Drops the doubts about what runs on a minion: it answers.
    pub(crate) fn trust(&mut self, id: &str) {
        let Some(minion) = self.minions.get(id) else { return };
        self.set_doubt(minion.runs.keys().copied().collect(), false);
    }

    /// Notes whether a crash under these tasks is possible and not yet known.
    pub(crate) fn set_doubt(&mut self, names: SmallVec<[TaskName; 4]>, doubted: bool) {
        for name in names {
            let Some(job) = self.jobs.get_mut(&name.job) else { continue };
            let is_open = !job.state().is_final();
            let Some(task) = job.task_mut(&name).filter(|_| is_open) else { continue };
            if task.suspicion.doubted != doubted {
                task.suspicion.doubted = doubted;
                job.change();
                self.changed.insert(name.job);
            }
        }
    }

    /// Takes note of how long a run has lived: after its trial the doubt is over, after long all that was held
    /// against its task.
    pub(crate) fn note_life(&mut self, id: &str, name: &TaskName) {
        let run = self.minions.get(id).and_then(|minion| minion.runs.get(name));
        let Some(time) = run.and_then(|run| run.listed_for) else { return };
        if time >= TRIAL {
            self.set_doubt(smallvec![*name], false);
        }
        let Some(job) = self.jobs.get_mut(&name.job).filter(|_| time >= ACQUITTED) else { return };
        if let Some(task) = job.task_mut(name).filter(|task| task.is_suspected()) {
            task.suspicion = Suspicion::default();
            job.change();
            self.changed.insert(name.job);
        }
    }

    /// Whether a likely cause of a crash may be tried: what is held against it is kept, and it is its job's next one.
    /// A lasting task doesn't wait for others, as its users are without it.
    pub(crate) fn may_try(&self, job: &Job, name: &TaskName) -> bool {
        let lasting = job.accepted.definition.steps[name.step as usize].long_running;
        let guarded = job.task(name).is_some_and(|task| task.suspicion.is_guarded());
        let is_kept = job.is_kept() || !guarded;
        is_kept && (lasting || self.is_next_suspect(job, name))
    }

    /// Whether a likely cause is the one of its job to be tried next: none is on trial, and none of its step that
    /// waits is likelier.
    ///
    /// A job whose tasks all crash their minions is given up with the first of them; started side by side, each would
    /// take a minion with it once more.
    fn is_next_suspect(&self, job: &Job, name: &TaskName) -> bool {
        let mut runs = self.minions.values().flat_map(|minion| &minion.runs);
        let is_tried = |run: &Run| run.suspicion.is_likely() && run.is_on_trial();
        if runs.any(|(other, run)| other.job == name.job && is_tried(run)) {
            return false;
        }
        let points = |task: &Task| task.suspicion.points;
        let own = job.task(name).map_or(0, points);
        let count = job.accepted.definition.steps[name.step as usize].count;
        let mut others = (0..count).filter_map(|index| job.task(&TaskName { index, ..*name }));
        !others.any(|task| task.phase == Phase::Waiting && points(task) > own)
    }

    fn task(&self, name: &TaskName) -> Option<&Task> {
        self.jobs.get(&name.job).and_then(|job: &Job| job.task(name))
    }
}
