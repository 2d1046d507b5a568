//! What proves that a task crashed its minion.
//!
//! Observations that leave a doubt make the owner careful, but no number of them fails a job.  A
//! loss is evidence against a task only if its minion certainly crashed, soon after it had confirmed
//! the start, under no other task that was just started, and without losses of other minions at
//! about the same time.

use super::Certainty;
use crate::cell::Cell;
use crate::cell::minion::{Minion, MinionId, Run};
use crate::job::{TaskName, Trials};
use crate::time::Time;
use smallvec::SmallVec;
use std::collections::BTreeMap;
use std::time::Duration;
use strum::Display;

/// Maximum age of a run when its minion was found not to answer, for the run to be the cause.  The
/// minion of a suspected task is polled when the trial ends, after half of this time.
const MAX_CRASH_AGE: Duration = Duration::from_millis(2 * super::TRIAL_PERIOD.as_millis() as u64);

/// Time between the losses of two minions from which they have no common cause.
const COMMON_CAUSE_MARGIN: Duration = Duration::from_millis(500);

/// The same if the times of both are known exactly, so that tasks which crash their minions in the
/// same second can be told from a rack that loses power.
const EXACT_COMMON_CAUSE_MARGIN: Duration = Duration::from_millis(50);

/// Longest interval in which a minion may have been lost for the time to be known exactly.
const MAX_EXACT_INTERVAL: Duration = Duration::from_millis(60);

/// How long losses of minions are remembered, to find those with a common cause.  A minion that
/// became silent at the same time is judged only when its lease must have expired, and comes back
/// some time after that.
const LOSS_RETENTION: Duration = Duration::from_secs(30);

/// Losses that no start explains from which on minions count as being lost for other reasons, ...
pub(crate) const MIN_BACKGROUND_LOSSES: usize = 3;

/// ... if they are within this period.
const BACKGROUND_LOSS_PERIOD: Duration = Duration::from_secs(30);

const MAX_RECENT_LOSSES: usize = 256;

/// Weight of a loss that is evidence against a task.
pub(super) const WEIGHT: u8 = 3;

/// Its weight while minions are lost for other reasons, too.
const WEIGHT_AMID_LOSSES: u8 = 2;

/// Evidence with which a task's job fails: two crashes, or three while minions are lost for other
/// reasons, too.
const CONCLUSIVE_EVIDENCE: u8 = 6;

/// Certain crashes in all after which two of them are enough even then, because the platform's
/// operators allow two starts after the third crash.
const MAX_CRASHES: u8 = 5;

/// Age of a run up to which it may explain the loss of its minion.  Minions with runs are polled
/// once a second, and a poll without an answer takes up to 0.5 s more.
const MAX_EXPLAINING_AGE: Duration = Duration::from_millis(1500);

/// Trials on minions whose leases expired, of which a crash would be evidence, by minion.
pub(crate) type LapsedTrials = BTreeMap<MinionId, SmallVec<[(TaskName, Circumstances); 1]>>;

/// What is known of the loss of a minion under a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Circumstances {
    /// How certain it is that the minion crashed.
    pub certainty: Certainty,
    /// Whether the minion confirmed the start or listed the run.
    pub is_start_confirmed: bool,
    /// Whether the minion was found not to answer before it was found to have terminated.
    pub was_silent: bool,
    /// Time from the order of the run until the minion was found not to answer.
    pub age: Duration,
    /// How long after the order the minion last listed the run; `None` if it never did.
    pub listed_for: Option<Duration>,
    /// Whether a former owner started the run.
    pub is_adopted: bool,
    /// Number of runs on the minion that may be the cause.
    pub suspects: usize,
    /// Number of other minions lost at about the same time.
    pub other_losses: usize,
    /// Whether one of these had no run that may be the cause.
    pub is_cause_elsewhere: bool,
}

/// Why the loss of a minion is no evidence against a task.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Doubt {
    /// The minion may only be disconnected.
    Silent,
    /// The start may not have been carried out.
    UnconfirmedStart,
    /// A former owner started the run, which may have worked for any time.
    Adopted,
    /// The minion listed the run as running.
    Listed,
    /// The minion was found terminated without having been silent, so it may have been replaced as
    /// planned.
    Replaced,
    /// The run may have worked for longer than a task that crashes its minion does.
    LongRun,
    /// Another task may be the cause.
    OtherSuspects,
    /// Other minions were lost, too.
    CommonCause,
}

impl Circumstances {
    /// Why the loss is no evidence that the task crashed its minion; `None` if it is evidence.
    pub fn doubt(&self) -> Option<Doubt> {
        self.doubt_of_crash().or(match self {
            _ if self.suspects > 1 => Some(Doubt::OtherSuspects),
            _ if self.other_losses > 0 => Some(Doubt::CommonCause),
            _ => None,
        })
    }

    /// Why the minion may not have crashed during the trial of the task; `None` if it did, though
    /// the task may not be the cause.
    pub(crate) fn doubt_of_crash(&self) -> Option<Doubt> {
        match self {
            _ if self.certainty == Certainty::Possible => Some(Doubt::Silent),
            _ if !self.is_start_confirmed => Some(Doubt::UnconfirmedStart),
            _ if self.is_adopted => Some(Doubt::Adopted),
            _ if self.listed_for.is_some() => Some(Doubt::Listed),
            _ if self.certainty == Certainty::Terminated && !self.was_silent => {
                Some(Doubt::Replaced)
            }
            _ if self.age > MAX_CRASH_AGE => Some(Doubt::LongRun),
            _ => None,
        }
    }
}

/// Whether a task's job must fail.
pub(super) fn is_conclusive(evidence: u8, trials: Trials) -> bool {
    let is_last_start_used = trials.crashed >= MAX_CRASHES && evidence >= 2 * WEIGHT_AMID_LOSSES;
    evidence >= CONCLUSIVE_EVIDENCE || is_last_start_used
}

/// A minion that has terminated, or is silent and may have.
#[derive(Clone, Debug)]
pub(crate) struct Loss {
    minion: MinionId,
    /// When it certainly still ran: when a poll that it answered was sent, or a start that it
    /// confirmed was ordered.
    alive_until: Time,
    /// When it was found not to answer.
    silent_since: Time,
    /// Whether a run there may be the cause.
    has_suspect: bool,
    /// The tasks that it ran, or may have run.
    tasks: SmallVec<[TaskName; 4]>,
}

impl Loss {
    fn of(minion: &Minion, silent_since: Time) -> Self {
        let confirmed = minion.runs.values().filter(|run| run.is_start_confirmed);
        let ordered_at = confirmed.map(|run| run.ordered_at).max();
        Self {
            minion: minion.id.clone(),
            alive_until: minion.polled_at.max(ordered_at.unwrap_or_default()).min(silent_since),
            silent_since,
            has_suspect: minion.runs.values().any(|run| {
                run.is_on_trial() && silent_since.since(run.ordered_at) <= MAX_EXPLAINING_AGE
            }),
            tasks: minion.runs.keys().copied().collect(),
        }
    }

    /// Whether another minion may have been lost at the same time.
    fn is_simultaneous(&self, other: &Self) -> bool {
        let are_exact = self.is_exact() && other.is_exact();
        let margin = if are_exact { EXACT_COMMON_CAUSE_MARGIN } else { COMMON_CAUSE_MARGIN };
        self.minion != other.minion
            && self.alive_until <= other.silent_since + margin
            && other.alive_until <= self.silent_since + margin
    }

    /// Whether it is known exactly when the minion was lost.
    fn is_exact(&self) -> bool {
        self.silent_since.since(self.alive_until) <= MAX_EXACT_INTERVAL
    }
}

impl Run {
    /// Whether it may be what crashed its minion, which was found not to answer at this time.
    pub(super) fn may_be_cause(&self, silent_since: Time) -> bool {
        self.is_on_trial() && silent_since.since(self.ordered_at) <= MAX_CRASH_AGE
    }
}

impl Minion {
    /// When it began not to answer; `None` if it answers, as far as known.
    fn unanswered_since(&self) -> Option<Time> {
        self.silent_since.or(self.unanswered_since)
    }

    /// Number of runs that may have crashed it: they were just started, as far as known.
    fn count_suspects(&self, silent_since: Time) -> usize {
        self.runs.values().filter(|run| run.may_be_cause(silent_since)).count()
    }
}

impl Cell {
    /// What is known of the loss of a minion, under each of its runs that may have started.
    pub(super) fn circumstances(
        &self,
        minion: &Minion,
        certainty: Certainty,
        now: Time,
    ) -> Vec<(TaskName, Circumstances)> {
        let unanswered_since = minion.unanswered_since();
        let silent_since = unanswered_since.unwrap_or(now);
        let suspects = minion.count_suspects(silent_since);
        let other_losses = self.other_losses(&Loss::of(minion, silent_since));
        // A task runs on one minion at a time, so an earlier loss under it has another cause than this
        // one, or the task is the cause of both.
        let of_others = |name: &TaskName| -> SmallVec<[&Loss; 4]> {
            other_losses.iter().filter(|loss| !loss.tasks.contains(name)).collect()
        };
        let of_run = |run: &Run, other_losses: &[&Loss]| Circumstances {
            certainty,
            is_start_confirmed: run.is_start_confirmed,
            was_silent: unanswered_since.is_some(),
            age: silent_since.since(run.ordered_at),
            listed_for: run.listed_for,
            is_adopted: run.adopted,
            suspects,
            other_losses: other_losses.len(),
            is_cause_elsewhere: other_losses.iter().any(|loss| !loss.has_suspect),
        };
        let begun = minion.runs.iter().filter(|(_, run)| run.may_have_started());
        begun.map(|(name, run)| (*name, of_run(run, &of_others(name)))).collect()
    }

    /// Losses at the same time of other minions whose end isn't planned, one for each minion.
    fn other_losses(&self, loss: &Loss) -> Vec<Loss> {
        let silent = self
            .minions
            .values()
            .filter(|minion| minion.answered && !minion.has_planned_end())
            .filter_map(|minion| Some(Loss::of(minion, minion.silent_since?)));
        let losses = self.recent_losses.iter().cloned().chain(silent);
        let mut others: Vec<Loss> = losses.filter(|other| other.is_simultaneous(loss)).collect();
        others.sort_by(|a, b| a.minion.cmp(&b.minion));
        others.dedup_by(|a, b| a.minion == b.minion);
        others
    }

    /// Remembers the loss of a minion.
    pub(super) fn store_loss(&mut self, minion: &Minion, now: Time) {
        let silent_since = minion.unanswered_since().unwrap_or(now);
        let loss = Loss::of(minion, silent_since);
        let is_known =
            |known: &Loss| known.minion == loss.minion && known.silent_since == silent_since;
        if self.recent_losses.iter().any(is_known) {
            return;
        }
        if !loss.has_suspect {
            self.unexplained_losses.rotate_right(1);
            self.unexplained_losses[0] = Some(silent_since);
        }
        self.recent_losses.retain(|known| now.since(known.silent_since) < LOSS_RETENTION);
        if self.recent_losses.len() == MAX_RECENT_LOSSES {
            self.recent_losses.remove(0);
        }
        self.recent_losses.push(loss);
    }

    /// Whether a minion was lost so shortly before that a crash now may have the same cause.
    pub(super) fn had_recent_loss(&self, now: Time) -> bool {
        let is_recent = |silent_since: Time| now.since(silent_since) <= COMMON_CAUSE_MARGIN;
        let mut silent = self
            .minions
            .values()
            .filter(|minion| minion.answered && !minion.has_planned_end())
            .filter_map(|minion| minion.silent_since);
        self.recent_losses.iter().any(|loss| is_recent(loss.silent_since)) || silent.any(is_recent)
    }

    /// Weight of a crash that is evidence against a task.
    pub(super) fn evidence_weight(&self, now: Time) -> u8 {
        let is_recent = |at: Time| now.since(at) < BACKGROUND_LOSS_PERIOD;
        let has_others = self.unexplained_losses.iter().all(|loss| loss.is_some_and(is_recent));
        if has_others { WEIGHT_AMID_LOSSES } else { WEIGHT }
    }
}
