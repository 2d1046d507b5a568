//! What an owner may start, by how long ago it last proved that it owns the cell.
//!
//! While the store is unavailable, no entry can prove ownership or take the cell over, but the
//! owner cannot tell whether the store is unavailable to all or only to itself.  When an owner
//! started nothing after 1 s without proof, accepted jobs stalled between two of their steps for
//! two of the three seconds of an outage, and for longer in longer ones.
//!
//! A successor can take the cell over after a certain silence.  It then starts nothing of the jobs
//! accepted before until every minion of its predecessor has answered it or the minion's leases
//! must have expired.  So a task that was never started may be started for as long as leases may be
//! extended: the successor finds it where it runs, or waits until its lease has expired.  A task
//! that was started before may not, because the successor may have adopted its earlier run while
//! this owner considers the run's lease expired.  Nor may a task of a job that became known later,
//! because the job may have been accepted after the takeover, and the successor does not wait for
//! it.
//!
//! Both the successor's wait and its fencing token hold only for the incarnations of minions that
//! existed while this owner certainly owned the cell.  A minion that restarted since then has lost
//! the token, and the successor has already heard that nothing runs there.

use crate::cell::work::Task;
use crate::cell::{Job, Minion};
use crate::time::Time;

/// What may be started.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Permit {
    /// Everything, since no other entry can have taken the cell over.
    All,
    /// Tasks that were never started, of jobs known by `known_by`.
    NeverStarted {
        /// The last time at which this owner certainly owned the cell.
        known_by: Time,
    },
    /// Nothing.
    Nothing,
}

impl Permit {
    /// Whether tasks of a job may be started.  `takeover_completed_at` is when this owner had heard
    /// of all runs that a former owner may have started.
    pub(crate) fn covers(&self, job: &Job, takeover_completed_at: Option<Time>) -> bool {
        match self {
            Permit::All => true,
            Permit::NeverStarted { known_by } => {
                let is_known = |since: Time| since <= *known_by;
                is_known(job.known_since)
                    && (!job.inherited || takeover_completed_at.is_some_and(is_known))
            }
            Permit::Nothing => false,
        }
    }

    /// Whether a task of a job that [`Permit::covers`] may be started.
    pub(crate) fn covers_task(&self, task: &Task) -> bool {
        match self {
            Permit::All => true,
            Permit::NeverStarted { .. } => task.last_run == 0,
            Permit::Nothing => false,
        }
    }

    /// Whether tasks may be started on a minion.
    pub(crate) fn covers_minion(&self, minion: &Minion) -> bool {
        match self {
            Permit::All => true,
            Permit::NeverStarted { known_by } => minion.answering_since <= *known_by,
            Permit::Nothing => false,
        }
    }
}
