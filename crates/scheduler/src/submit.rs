//! Writing an accepted job, here or through a peer.

use crate::clock;
use crate::confirm::{self, Confirmed};
use crate::node::Node;
use crate::peers::Silence;
use crate::rows;
use celerythread_adapter::store::{Error, Transaction};
use celerythread_engine::job::Id;
use celerythread_engine::submission::Attempt;
use celerythread_engine::time::Time;
use celerythread_wire::job::{Answer, Question, Submission};
use rand::seq::IteratorRandom;
use std::net::SocketAddr;
use std::time::Duration;

/// Pause before a write that was certainly not done is tried again.
const RETRY: Duration = Duration::from_millis(120);

/// Pause before it is looked again whether a store that is away is back: without a call, since what
/// follows the store's tables finds that out.
const LOOK: Duration = Duration::from_millis(30);

/// Peers through which a submission is tried when the store turns this entry away: it may
/// serve all others meanwhile.
const PEERS: usize = 2;

/// What became of writing a job.
#[derive(Debug)]
pub(crate) enum Written {
    /// It is there, by this request or an earlier one; with the row as it is stored.
    ///
    /// An earlier request of the same id may have had another content, and that is the job.  An
    /// owner told of this request's content instead would run what nobody finds in the store.
    Accepted(Vec<u8>),
    /// It is certainly not there by this request.
    Refused(Error),
    /// Nobody knows.
    Unknown,
}

/// A job to write.
pub(crate) struct Job<'a> {
    /// Its service.
    pub(crate) service: &'a str,
    /// Its id.
    pub(crate) id: Id,
    /// Its row.
    pub(crate) row: &'a [u8],
    /// When its caller must be answered.
    pub(crate) until: Time,
}

/// Writes a job's row on condition that there is none.
///
/// After a write without an answer the same write is repeated until its outcome is certain: a
/// row that is there already is ours or an earlier one of the same caller, and it is one job
/// either way.  Only when every try was certainly not done may the caller be told that the job
/// never runs.
///
/// To a store that is away nothing is written: of such a write nobody knows whether it will be carried
/// out, and its caller could not be told to come back.
pub(crate) async fn write(node: &Node, job: &Job<'_>) -> Written {
    let began = clock::now();
    let mut unanswered = false;
    let mut refusal = Error::Refused { reason: "the caller's time is over".into() };
    let mut peers = peers(node).into_iter();
    loop {
        let attempt = Attempt {
            elapsed: clock::now().since(began),
            remaining: job.until.since(clock::now()),
            is_store_unresponsive: node.is_store_away(),
            has_peers: peers.len() > 0,
            unanswered,
        };
        if attempt.should_give_up() {
            return if unanswered { Written::Unknown } else { Written::Refused(refusal) };
        }
        // What the store's silence here would cost is saved by asking the peers first.
        let peer = if attempt.is_store_unresponsive { peers.next() } else { None };
        let tried = match peer {
            Some(peer) => write_there(node, peer, job).await,
            None if attempt.is_store_unresponsive => {
                refusal = Error::Refused { reason: "the store is away".into() };
                async_std::task::sleep(LOOK.min(job.until.since(clock::now()))).await;
                continue;
            }
            None => write_here(node, job, attempt.write_timeout()).await,
        };
        match tried {
            Written::Accepted(_) => return tried,
            Written::Unknown => unanswered = true,
            Written::Refused(error) => refusal = error,
        }
        if peer.is_some() {
            continue;
        }
        if let Some(peer) = peers.next() {
            match write_there(node, peer, job).await {
                written @ Written::Accepted(_) => return written,
                Written::Unknown => unanswered = true,
                Written::Refused(_) => {}
            }
        }
        async_std::task::sleep(RETRY.min(job.until.since(clock::now()))).await;
    }
}

/// Tries once through this entry's own way to the store.
pub(crate) async fn write_here(node: &Node, job: &Job<'_>, limit: Duration) -> Written {
    let name = rows::job(job.service, &job.id);
    let change = Transaction {
        conditions: vec![(name.clone(), 0)],
        writes: vec![(name.clone(), job.row.to_vec())],
        ..Transaction::default()
    };
    match confirm::commit(node, &change, limit, &name, |_| true).await {
        Ok(Confirmed::Answered) => Written::Accepted(job.row.to_vec()),
        Ok(Confirmed::Found(stored)) => Written::Accepted(stored.value),
        Err(Error::Conflict { rows }) => match rows.into_iter().find(|row| !row.value.is_empty()) {
            Some(stored) => Written::Accepted(stored.value),
            None => Written::Unknown,
        },
        Err(error @ Error::Refused { .. }) => Written::Refused(error),
        Err(_) => Written::Unknown,
    }
}

/// Tries once through a peer.
async fn write_there(node: &Node, peer: SocketAddr, job: &Job<'_>) -> Written {
    let question =
        Question::Submit { service: job.service.into(), id: job.id, row: job.row.to_vec() };
    let (outcome, written) = match node.peers.ask(peer, question).await {
        Ok(Answer::Submitted(Submission::Accepted { row })) => {
            ("accepted".to_owned(), Written::Accepted(row))
        }
        Ok(Answer::Submitted(Submission::Refused)) => ("refused".to_owned(), refused_there()),
        Ok(_) => ("unknown".to_owned(), Written::Unknown),
        Err(silence @ Silence::NotAsked) => (silence.to_string(), refused_there()),
        Err(silence @ Silence::Unanswered) => (silence.to_string(), Written::Unknown),
    };
    node.journal.note("job_relayed", &[("job", &job.id), ("peer", &peer), ("outcome", &outcome)]);
    written
}

fn refused_there() -> Written {
    Written::Refused(Error::Refused { reason: "not written through a peer".into() })
}

/// Some other entries, at random, so that one that is turned away itself isn't asked each time.
fn peers(node: &Node) -> Vec<SocketAddr> {
    let view = node.view.read();
    let others = view.entry_rows.iter().filter(|(id, row)| **id != node.me && !row.stopping);
    let awake = others.map(|(_, row)| row.peer).filter(|peer| !node.peers.is_resting(*peer));
    awake.choose_multiple(&mut rand::rng(), PEERS)
}
