//! Writes submitted jobs to the store, directly or through a peer.

use crate::clock;
use crate::confirm::{self, Confirmed};
use crate::node::Node;
use crate::peers::AskError;
use crate::rows;
use celerythread_adapter::store::{Error, Transaction};
use celerythread_engine::job::Id;
use celerythread_engine::submission::Attempt;
use celerythread_engine::time::Time;
use celerythread_wire::job::{Answer, Question, Submission};
use rand::seq::IteratorRandom;
use std::net::SocketAddr;
use std::time::Duration;

/// Delay before a write is retried.
const RETRY_DELAY: Duration = Duration::from_millis(120);

/// Interval between two checks whether an unavailable store is back.  A check makes no call; the
/// tasks that follow the store's tables notice its return.
const STORE_POLL_INTERVAL: Duration = Duration::from_millis(30);

/// Maximum number of peers through which a submission is tried while the store does not serve this
/// entry, as it may still serve the others.
const MAX_RELAY_PEERS: usize = 2;

/// The outcome of writing a job.
#[derive(Debug)]
pub(crate) enum WriteOutcome {
    /// The job is stored, by this request or an earlier one; with the stored row.
    ///
    /// An earlier request with the same id may have had different content, which then is the job.
    /// An owner notified of this request's content instead would run something other than the
    /// stored job.
    Accepted(Vec<u8>),
    /// This request has certainly not stored the job, and will not.
    Refused(Error),
    /// It is not known whether the job is or will be stored.
    Unknown,
}

/// A job to store.
pub(crate) struct Job<'a> {
    /// The partition of its queue's home.
    pub(crate) partition: &'a str,
    /// Its id.
    pub(crate) id: Id,
    /// Its encoded row.
    pub(crate) row: &'a [u8],
    /// When the caller must be answered.
    pub(crate) deadline: Time,
}

/// Writes a job's row on condition that there is none.
///
/// An unanswered write is repeated until its outcome is certain.  A row that already exists is from
/// this request or an earlier one of the same caller, and is the same job either way.  The response
/// may state that the job will not run only if every attempt was certainly not carried out.
///
/// Nothing is written to an unavailable store: it would not be known whether such a write is
/// carried out later, so the caller could not be asked to retry.
pub(crate) async fn write(node: &Node, job: &Job<'_>) -> WriteOutcome {
    let began = clock::now();
    let mut unanswered = false;
    let mut refusal = Error::Refused { reason: "the caller's deadline has passed".into() };
    let mut peers = choose_peers(node).into_iter();
    loop {
        let attempt = Attempt {
            elapsed: clock::now().since(began),
            remaining: job.deadline.since(clock::now()),
            is_store_unresponsive: node.is_outage_ongoing(),
            has_peers: peers.len() > 0,
            unanswered,
        };
        if attempt.should_give_up() {
            return if unanswered { WriteOutcome::Unknown } else { WriteOutcome::Refused(refusal) };
        }
        // While the store does not answer this entry, peers are tried first to save time.
        let peer = if attempt.is_store_unresponsive { peers.next() } else { None };
        let outcome = match peer {
            Some(peer) => write_through_peer(node, peer, job).await,
            None if attempt.is_store_unresponsive => {
                refusal = Error::Refused { reason: "the store is unavailable".into() };
                async_std::task::sleep(STORE_POLL_INTERVAL.min(job.deadline.since(clock::now())))
                    .await;
                continue;
            }
            None => write_directly(node, job, attempt.write_timeout()).await,
        };
        match outcome {
            WriteOutcome::Accepted(_) => return outcome,
            WriteOutcome::Unknown => unanswered = true,
            WriteOutcome::Refused(error) => refusal = error,
        }
        if peer.is_some() {
            continue;
        }
        if let Some(peer) = peers.next() {
            match write_through_peer(node, peer, job).await {
                written @ WriteOutcome::Accepted(_) => return written,
                WriteOutcome::Unknown => unanswered = true,
                WriteOutcome::Refused(_) => {}
            }
        }
        async_std::task::sleep(RETRY_DELAY.min(job.deadline.since(clock::now()))).await;
    }
}

/// Tries once to write directly to the store.
pub(crate) async fn write_directly(node: &Node, job: &Job<'_>, timeout: Duration) -> WriteOutcome {
    let name = rows::job(job.partition, &job.id);
    let change = Transaction {
        conditions: vec![(name.clone(), 0)],
        writes: vec![(name.clone(), job.row.to_vec())],
        ..Transaction::default()
    };
    match confirm::commit(node, &change, timeout, &name, |_| true).await {
        Ok(Confirmed::Answered(_)) => WriteOutcome::Accepted(job.row.to_vec()),
        Ok(Confirmed::Found(stored)) => WriteOutcome::Accepted(stored.value),
        Err(Error::Conflict { rows }) => match rows.into_iter().find(|row| !row.value.is_empty()) {
            Some(stored) => WriteOutcome::Accepted(stored.value),
            None => WriteOutcome::Unknown,
        },
        Err(error @ Error::Refused { .. }) => WriteOutcome::Refused(error),
        Err(_) => WriteOutcome::Unknown,
    }
}

/// Tries once to write through a peer.
async fn write_through_peer(node: &Node, peer: SocketAddr, job: &Job<'_>) -> WriteOutcome {
    let question =
        Question::Submit { service: job.partition.into(), id: job.id, row: job.row.to_vec() };
    let (outcome, written) = match node.peers.ask(peer, question).await {
        Ok(Answer::Submitted(Submission::Accepted { row })) => {
            ("accepted".to_owned(), WriteOutcome::Accepted(row))
        }
        Ok(Answer::Submitted(Submission::Refused)) => ("refused".to_owned(), refused_by_peer()),
        Ok(_) => ("unknown".to_owned(), WriteOutcome::Unknown),
        Err(error @ AskError::NotAsked) => (error.to_string(), refused_by_peer()),
        Err(error @ AskError::Unanswered) => (error.to_string(), WriteOutcome::Unknown),
    };
    node.journal.info("job_relayed", &[("job", &job.id), ("peer", &peer), ("outcome", &outcome)]);
    written
}

fn refused_by_peer() -> WriteOutcome {
    WriteOutcome::Refused(Error::Refused { reason: "the peer did not write the job".into() })
}

/// Chooses peers at random, so that a peer that the store refuses too is not chosen each time.
fn choose_peers(node: &Node) -> Vec<SocketAddr> {
    let members = node.member_addresses().into_iter();
    let awake = members.filter(|peer| !node.peers.is_backing_off(*peer));
    awake.choose_multiple(&mut rand::rng(), MAX_RELAY_PEERS)
}
