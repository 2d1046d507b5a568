//! Detection of minions that restart under the same id.
//!
//! A restarted minion has no runs and no fencing token, and numbers its ends from one again.  Only
//! the [`Incarnation`] distinguishes it from the process that it replaces.

use crate::cell::crash::Certainty;
use crate::cell::minion::{Incarnation, Minion, MinionId, Run, RunPhase};
use crate::cell::quarantine::Record;
use crate::cell::{Cell, Event, Report};
use crate::job::TaskName;
use crate::time::Time;

/// Maximum number of former incarnations stored per minion to detect their late answers.
pub(crate) const MAX_FORMER_INCARNATIONS: usize = 4;

/// A detected restart, with what was known of the former incarnation.
pub(crate) struct Restart {
    former: Incarnation,
    current: Incarnation,
    seen: u64,
    acknowledged: u64,
    /// When the former incarnation stopped answering; `None` if no call went unanswered after its
    /// last answer.
    silent_since: Option<Time>,
    /// When the latest poll was sent that it answered.
    polled_at: Time,
}

impl Minion {
    /// Whether an answer comes from a former incarnation and arrived after one from its successor.
    pub fn is_outdated(&self, incarnation: Option<Incarnation>) -> bool {
        incarnation.is_some_and(|incarnation| self.former_incarnations.contains(&incarnation))
    }

    /// The incarnation that answered last, or the listed one if none has answered.
    pub fn known_incarnation(&self) -> Option<Incarnation> {
        self.incarnation.or(self.listing.incarnation)
    }

    /// Whether its listing is from the incarnation that answered last; true if either is unknown.
    ///
    /// The capacity of a restarted minion may differ from that in its former listing.
    pub fn has_current_listing(&self) -> bool {
        match (self.listing.incarnation, self.incarnation) {
            (Some(listed), Some(answering)) => listed == answering,
            _ => true,
        }
    }

    /// Records the incarnation in an answer.  If it differs from the known one, resets the state
    /// tied to the former incarnation and returns the restart.
    pub(crate) fn update_incarnation(
        &mut self,
        incarnation: Option<Incarnation>,
    ) -> Option<Restart> {
        let current = incarnation?;
        let former = self.incarnation.replace(current).filter(|former| *former != current)?;
        let restart = Restart {
            former,
            current,
            seen: self.seen,
            acknowledged: self.acknowledged,
            silent_since: self.silent_since.or(self.unanswered_since),
            polled_at: self.polled_at,
        };
        if self.former_incarnations.len() == MAX_FORMER_INCARNATIONS {
            self.former_incarnations.remove(0);
        }
        self.former_incarnations.push(former);
        self.seen = 0;
        self.acknowledged = 0;
        self.record = Record::default();
        self.slow_jobs.clear();
        self.quarantined_until = Time(0);
        Some(restart)
    }

    /// Returns the minion as it was before the restart, with the runs that ended, or may have
    /// ended, with the former incarnation.
    fn former_minion(&self, restart: &Restart, missing: &[(TaskName, u32)]) -> Self {
        let mut former = Self {
            answered: true,
            leaving: self.leaving,
            silent_since: restart.silent_since,
            polled_at: restart.polled_at,
            ..Self::new(self.id.clone(), self.listing.clone(), true)
        };
        let may_have_ended = |task: &TaskName, run: &Run| {
            let is_unanswered = match run.phase {
                RunPhase::Unanswered { .. } => true,
                RunPhase::Stopping { .. } => !run.is_start_confirmed,
                RunPhase::Ordered | RunPhase::Active => false,
            };
            (is_unanswered && !run.is_loss_counted) || missing.contains(&(*task, run.number))
        };
        let runs = self.runs.iter().filter(|(task, run)| may_have_ended(task, run));
        former.runs = runs.map(|(task, run)| (*task, run.clone())).collect();
        former
    }
}

impl Cell {
    /// Requeues the tasks of runs lost in a restart, counts it as a crash, and drops the minion's
    /// tickets.
    ///
    /// Unanswered starts are retained: they may still reach the new incarnation and must be stopped
    /// there.
    pub(crate) fn drop_lost_runs(
        &mut self,
        id: &MinionId,
        restart: &Restart,
        report: &Report,
        sent: Time,
        now: Time,
    ) {
        let Some(minion) = self.minions.get_mut(id) else { return };
        let missing = minion.missing_runs(report, sent);
        let former_minion = minion.former_minion(restart, &missing);
        let runs: Vec<(TaskName, Run)> = missing
            .iter()
            .filter_map(|(task, _)| Some((*task, minion.remove_run(task)?)))
            .collect();
        self.record_event(Event::Restarted {
            minion: id.clone(),
            former: restart.former,
            current: restart.current,
            runs: runs.len(),
            seen: restart.seen,
            acknowledged: restart.acknowledged,
        });
        for task in former_minion.runs.keys() {
            if let Some(run) = self.minions.get_mut(id).and_then(|minion| minion.runs.get_mut(task))
            {
                run.is_loss_counted = true;
            }
        }
        self.drop_tickets(id);
        self.record_loss(&former_minion, Certainty::Restarted, now);
        self.resolve_lapsed_trials(&former_minion, now);
        self.requeue_lost_runs(id, runs, now);
    }
}
