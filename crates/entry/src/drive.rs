//! Controllers that carry out the duties.  Each step reads the current state and does what is
//! due, so a new holder continues where the former one stopped.

mod fleet;
mod jobs;
mod retention;
mod roster;
mod waves;

pub(crate) use fleet::{is_open, minion_replacement};
pub(crate) use waves::target;

use crate::duty::Duty;
use crate::node::Node;
use celerythread_model::table::Space;
use celerythread_platform::message::Transaction;
use celerythread_policy::lease::HeldLease;
use std::sync::Arc;

/// The state that a duty's holder keeps between two steps.
pub(crate) enum Controller {
    /// Controls minions, waves and moves.
    Fleet(Box<fleet::Controller>),
    /// Controls jobs.
    Jobs(Box<jobs::Controller>),
}

impl Controller {
    pub(crate) fn new(duty: Duty) -> Self {
        match duty {
            Duty::Fleet => Controller::Fleet(Box::default()),
            Duty::Jobs => Controller::Jobs(Box::default()),
        }
    }

    /// Does what is due.
    pub(crate) async fn step(&mut self, node: &Arc<Node>, held: HeldLease) {
        match self {
            Controller::Fleet(fleet) => fleet.step(node, held).await,
            Controller::Jobs(jobs) => jobs.step(node, held).await,
        }
    }
}

/// A transaction that commits only while the duty's lease is still held.  The writes of a holder
/// that was paused past its term are refused once another one has changed the lease's row.
pub(crate) fn fenced(duty: Duty, held: HeldLease) -> Transaction {
    Transaction::new().check(Space::Lease, duty.key(), held.revision)
}
