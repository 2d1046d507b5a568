//! Carrying out the duties: each step looks at the world anew and does what is due, so a
//! replaced holder goes on where the last one stopped.

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
use celerythread_policy::lease::Held;
use std::sync::Arc;

/// What a duty's holder remembers between two steps.
pub(crate) enum Controller {
    /// Minions, waves and moves.
    Fleet(Box<fleet::Controller>),
    /// Jobs.
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
    pub(crate) async fn step(&mut self, node: &Arc<Node>, held: Held) {
        match self {
            Controller::Fleet(fleet) => fleet.step(node, held).await,
            Controller::Jobs(jobs) => jobs.step(node, held).await,
        }
    }
}

/// A transaction that only commits while the duty's lease is still held: a holder that was
/// paused past its term finds the lease's row changed and its writes refused.
pub(crate) fn fenced(duty: Duty, held: Held) -> Transaction {
    Transaction::new().check(Space::Lease, duty.key(), held.revision)
}
