//! Memory for jobs, at their owner and at the entries that accept them.
//!
//! The owner is asked before a job is stored if the job is large, or if the owner has reported that
//! its memory is nearly used up.  Otherwise nothing is asked, and a small job costs no message.

use crate::clock;
use crate::node::Node;
use crate::owner::Owner;
use crate::peers;
use celerythread_engine::job::Id;
use celerythread_engine::time::Time;
use celerythread_wire::job::{Answer, Question};
use snafu::Snafu;
use std::sync::Arc;
use std::time::Duration;

/// Delay before an owner that gave no answer is asked again.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Time before the deadline that is left for storing the job.
const STORE_TIME: Duration = Duration::from_millis(700);

/// Why a job isn't admitted.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub(crate) enum NotAdmitted {
    /// Its owner has too little memory left.
    #[snafu(display("the memory for jobs of this service is used up"))]
    Full,
    /// The job is large, and its owner can't be asked now.
    #[snafu(display("the owner of this service can't be asked for memory"))]
    OwnerUnknown,
}

/// Asks for memory for a job that is about to be stored, where that is needed.  For a large job, asks
/// until an owner answers or a deadline is near: an owner that was lost has a successor within
/// seconds.
///
/// # Errors
/// When the job must not be stored.
pub(crate) async fn request(
    node: &Arc<Node>,
    service: &str,
    id: Id,
    bytes: u64,
    deadline: Time,
) -> Result<(), NotAdmitted> {
    let is_large = node.admission.lock().is_large(bytes);
    let is_owner = node.owner(service).is_some();
    if !is_large && !is_owner && !node.nearly_full.lock().contains(service, clock::now()) {
        return Ok(());
    }
    let question = Question::Admit { service: service.into(), id, bytes };
    if !is_large {
        return match peers::ask_owner(node, service, question).await {
            Some(Answer::Admitted(false)) => Err(NotAdmitted::Full),
            _ => Ok(()),
        };
    }
    loop {
        match peers::ask_current_owner(node, service, question.clone()).await {
            Some(Answer::Admitted(true)) => return Ok(()),
            Some(Answer::Admitted(false)) => return Err(NotAdmitted::Full),
            _ if clock::now() + RETRY_DELAY + STORE_TIME >= deadline => {
                return Err(NotAdmitted::OwnerUnknown);
            }
            _ => async_std::task::sleep(RETRY_DELAY).await,
        }
    }
}

/// Promises memory to a job, as the owner of its service's cell; false if too little is left.
pub(crate) fn admit(owner: &Owner, id: Id, bytes: u64) -> bool {
    let is_known = owner.with(|cell| cell.job(&id).is_some());
    if is_known == Some(true) {
        return true;
    }
    let held = held(&owner.node);
    owner.node.admission.lock().admit(id, bytes, held, clock::now())
}

/// The answer to the notification of a job.
pub(crate) fn acknowledge(node: &Node) -> Answer {
    let is_nearly_full = node.admission.lock().is_nearly_full(held(node));
    if is_nearly_full { Answer::NotedNearlyFull } else { Answer::Noted }
}

/// Applies the owner's answer to the notification of a job.
pub(crate) fn record_answer(node: &Node, service: &str, answer: Option<&Answer>) {
    if answer == Some(&Answer::NotedNearlyFull) {
        node.nearly_full.lock().record(service, clock::now());
    }
}

/// Memory of the jobs of all cells that this entry owns, in bytes.
pub(crate) fn held(node: &Node) -> u64 {
    let owners = node.owners.read();
    owners.values().filter_map(|owner| owner.with(|cell| cell.footprint())).sum()
}
