//! What an owner may start, by how long ago it last proved that the cell is its own.
//!
//! The pattern it answers: the store is away for some seconds.  Nobody can prove anything then, so nobody
//! may take the cell over either, but the owner can't know whether the store is away for all or for it alone.
//! Starting nothing from 1 s on, it left accepted jobs standing between two of their steps, for two of the
//! three seconds of an outage and longer in longer ones.
//!
//! A successor can take the cell over from some silence on, and then starts nothing of what was accepted
//! before until every minion of its predecessor has answered it or its leases must have lapsed.  So
//! a task that was never started may be started for as long as leases may be extended: the successor finds
//! it where it runs, or waits for its lapse.  A task that was started before may not: its earlier run may have been
//! adopted by the successor while this owner sees it lapse.  Nor may one of a job that came to
//! be known later: it may have been accepted after the takeover, and the successor doesn't wait for it.

use crate::cell::Job;
use crate::cell::work::Task;
use crate::time::Time;

/// What may be started.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Permit {
    /// Everything: nobody can have taken the cell over.
    All,
    /// Tasks that were never started, of jobs known by then.
    NeverStarted {
        /// The last moment at which the cell was certainly this owner's.
        known_by: Time,
    },
    /// Nothing.
    Nothing,
}

impl Permit {
    /// Whether tasks of a job may be started.
    pub(crate) fn covers(&self, job: &Job) -> bool {
        match self {
            Permit::All => true,
            Permit::NeverStarted { known_by } => job.known_since <= *known_by,
            Permit::Nothing => false,
        }
    }

    /// Whether a task of such a job may be started.
    pub(crate) fn covers_task(&self, task: &Task) -> bool {
        match self {
            Permit::All => true,
            Permit::NeverStarted { .. } => task.last_run == 0,
            Permit::Nothing => false,
        }
    }
}
