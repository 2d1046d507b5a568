//! Questions to other entries, and their answers.
//!
//! Only what can also be read from the store travels here, so a peer that doesn't answer costs
//! time and nothing else.

use crate::clock;
use crate::metrics::Counter;
use crate::node::Node;
use crate::submit::{self, Written};
use async_std::future::timeout;
use celerythread_engine::job::Id;
use celerythread_wire::job::{Answer, Question, Submission};
use celerythread_wire::{Channel, Endpoint, Frame, Link};
use parking_lot::{Mutex, RwLock};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Longest wait for a peer's answer: dialling takes some 10 ms and an exchange 6 ms at worst
/// when the peer is well, and whoever asks has the store to fall back on.
const ANSWER_LIMIT: Duration = Duration::from_millis(350);

/// Longest time for writing a job on behalf of a peer, within its wait for the answer.
const SUBMIT_LIMIT: Duration = Duration::from_millis(250);

/// After a question that was not answered, a peer is not asked for this long.
const REST: Duration = Duration::from_millis(1500);

/// The links to other entries.
#[derive(Default)]
pub(crate) struct Peers {
    endpoint: RwLock<Option<Arc<Endpoint>>>,
    links: Mutex<HashMap<SocketAddr, Link>>,
    resting: Mutex<HashMap<SocketAddr, std::time::Instant>>,
}

impl Peers {
    /// Sets the endpoint, once there is an identity.
    pub(crate) fn open(&self, endpoint: Arc<Endpoint>) {
        *self.endpoint.write() = Some(endpoint);
    }

    /// Closes all links.
    pub(crate) fn close(&self) {
        if let Some(endpoint) = self.endpoint.write().take() {
            endpoint.close();
        }
        self.links.lock().clear();
    }

    async fn link(&self, address: SocketAddr) -> Option<Link> {
        let known = self.links.lock().get(&address).filter(|link| !link.is_closed()).cloned();
        if known.is_some() {
            return known;
        }
        let endpoint = self.endpoint.read().clone()?;
        let link = endpoint.dial(address).await.ok()?;
        self.links.lock().insert(address, link.clone());
        Some(link)
    }

    /// Asks a peer; none when it doesn't answer in time.
    pub(crate) async fn ask(&self, address: SocketAddr, question: Question) -> Option<Answer> {
        let rested = |since: &std::time::Instant| since.elapsed() >= REST;
        if self.resting.lock().get(&address).is_some_and(|since| !rested(since)) {
            return None;
        }
        let exchange = async {
            let link = self.link(address).await?;
            let mut channel = link.open().await.ok()?;
            channel.send(&Frame::JobQuestion(question)).await.ok()?;
            channel.finish();
            match channel.receive().await {
                Ok(Frame::JobAnswer(answer)) => Some(answer),
                _ => None,
            }
        };
        let answer = timeout(ANSWER_LIMIT, exchange).await.ok().flatten();
        if answer.is_none() {
            // Something in between may have forgotten the flow; the next link is a new one.
            if let Some(link) = self.links.lock().remove(&address) {
                link.close();
            }
            self.resting.lock().insert(address, std::time::Instant::now());
        }
        answer
    }
}

/// Asks the owner of a service's cell, wherever it is; none when it can't be asked.
pub(crate) async fn ask_owner(node: &Node, service: &str, question: Question) -> Option<Answer> {
    if let Some(owner) = node.owner(service) {
        return owner.answer(&question);
    }
    let (holder, address) = node.view.read().holder(service)?;
    if holder == node.me {
        return None;
    }
    let answer = node.peers.ask(address, question).await;
    if answer.is_none() {
        node.metrics.count(Counter::PeerFailures);
        node.journal.warn("peer_unanswered", &[("peer", &holder), ("service", &service)]);
    }
    answer
}

/// Writes a job for an entry that the store turns away.
async fn submit(node: &Node, service: &str, id: Id, row: &[u8]) -> Answer {
    let until = clock::now() + SUBMIT_LIMIT;
    let job = submit::Job { service, id, row, until };
    Answer::Submitted(match submit::write_here(node, &job, SUBMIT_LIMIT).await {
        Written::Accepted(row) => Submission::Accepted { row },
        Written::Refused(_) => Submission::Refused,
        Written::Unknown => Submission::Unknown,
    })
}

/// Answers peers until the endpoint is closed.
pub(crate) async fn accept_forever(node: Arc<Node>, endpoint: Arc<Endpoint>) {
    while let Some(accepted) = endpoint.accept().await {
        match accepted {
            Ok(link) => {
                async_std::task::spawn(serve_link(node.clone(), link));
            }
            Err(error) => node.journal.warn("peer_refused", &[("reason", &error)]),
        }
    }
}

async fn serve_link(node: Arc<Node>, link: Link) {
    while let Ok(channel) = link.accept().await {
        async_std::task::spawn(serve(node.clone(), channel));
    }
}

async fn serve(node: Arc<Node>, mut channel: Channel) {
    let Ok(Frame::JobQuestion(question)) = channel.receive().await else { return };
    let answer = match &question {
        Question::Submit { service, id, row } => submit(&node, service, *id, row).await,
        _ => node
            .owner(question.service())
            .and_then(|owner| owner.answer(&question))
            .unwrap_or(Answer::NotOwner),
    };
    // A peer that has gone meanwhile has given up waiting, too.
    let _ = channel.send(&Frame::JobAnswer(answer)).await;
    channel.finish();
}
