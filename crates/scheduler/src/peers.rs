//! Questions to other entries.
//!
//! Everything sent here can also be read from the store, so a peer that doesn't answer costs only
//! time.

use crate::metrics::Counter;
use crate::node::Node;
use crate::rows;
use async_std::future::timeout;
use celerythread_adapter::store::{Name, Row};
use celerythread_sync::Lookups;
use celerythread_wire::job::{Answer, Question};
use celerythread_wire::{Channel, Endpoint, Frame, Link};
use futures::FutureExt;
use futures::future::{BoxFuture, Shared};
use parking_lot::{Mutex, RwLock};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use strum::Display;

/// Longest wait for a peer's answer.  Dialling takes some 10 ms and an exchange 6 ms at worst when
/// the peer is healthy, and the asking entry can fall back on the store.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(350);

/// The same for an answer that only the owner can give and for which nobody waits.  An owner that
/// has taken over a large cell answers late, and while its demand is unknown its pool gets no
/// machines.
const LOAD_ANSWER_TIMEOUT: Duration = Duration::from_millis(1200);

/// Longest wait for a read of who holds a cell.
const READ_TIMEOUT: Duration = Duration::from_millis(700);

/// Shortest time between the beginnings of two reads of who holds a cell, which all requests that
/// wait for its owner share.  When many owners are lost at the same time, a read for each request
/// would be more than the store can answer.
const SUCCESSOR_INTERVAL: Duration = Duration::from_millis(250);

/// How long a peer is not asked after an unanswered question.
const UNANSWERED_BACKOFF: Duration = Duration::from_millis(1500);

/// Why a peer gave no answer.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum AskError {
    /// The peer certainly didn't get the question.
    NotAsked,
    /// The peer may have got the question.
    Unanswered,
}

/// Consecutive unanswered questions after which a link is closed.  A device on the path may have
/// dropped its state, so that the link stays silent for good; but another handshake doesn't help an
/// owner that answers late.
const MAX_CONSECUTIVE_MISSES: u32 = 2;

/// A link that is being dialled; none if that failed.
type Dial = Shared<BoxFuture<'static, Option<Link>>>;

/// The links to other entries.
pub(crate) struct Peers {
    endpoint: RwLock<Option<Arc<Endpoint>>>,
    links: Mutex<HashMap<SocketAddr, Link>>,
    /// Dials in progress.  They continue after the question that started them has timed out.
    ///
    /// After all entries have lost power, all of them dial the few new owners at once.  Each
    /// handshake takes some milliseconds of an owner that has half of a core.  When dials were
    /// cancelled with the question after a third of a second and restarted a second later, owners
    /// of large cells had no time for anything else, and the machines of their pools were idle for
    /// six seconds.
    dials: Mutex<HashMap<SocketAddr, Dial>>,
    backing_off: Mutex<HashMap<SocketAddr, std::time::Instant>>,
    /// Consecutive unanswered questions.
    misses: Mutex<HashMap<SocketAddr, u32>>,
    /// The present holders of cells whose known holder didn't answer.
    successors: Lookups<String, Option<rows::Route>>,
}

impl Default for Peers {
    fn default() -> Self {
        Self {
            endpoint: RwLock::default(),
            links: Mutex::default(),
            dials: Mutex::default(),
            backing_off: Mutex::default(),
            misses: Mutex::default(),
            successors: Lookups::new(SUCCESSOR_INTERVAL),
        }
    }
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
        let dial = self.dial(address)?;
        let link = dial.clone().await;
        self.dials.lock().retain(|_, known| !known.ptr_eq(&dial));
        let link = link.filter(|link| !link.is_closed())?;
        self.links.lock().insert(address, link.clone());
        self.backing_off.lock().remove(&address);
        Some(link)
    }

    /// The dial in progress to a peer, or a new one.
    fn dial(&self, address: SocketAddr) -> Option<Dial> {
        let endpoint = self.endpoint.read().clone()?;
        let mut dials = self.dials.lock();
        if let Some(dial) = dials.get(&address) {
            return Some(dial.clone());
        }
        let dial = async move { endpoint.dial(address).await.ok() }.boxed().shared();
        dials.insert(address, dial.clone());
        async_std::task::spawn(dial.clone());
        Some(dial)
    }

    /// Whether a peer isn't asked for now because it didn't answer recently and no dial has
    /// completed since.
    pub(crate) fn is_backing_off(&self, address: SocketAddr) -> bool {
        let dialled = self.dials.lock().get(&address).is_some_and(|dial| dial.peek().is_some());
        !dialled && self.has_backoff(address)
    }

    /// Whether a link to a peer is open.
    pub(crate) fn is_linked(&self, address: SocketAddr) -> bool {
        self.links.lock().get(&address).is_some_and(|link| !link.is_closed())
    }

    fn has_backoff(&self, address: SocketAddr) -> bool {
        self.backing_off
            .lock()
            .get(&address)
            .is_some_and(|since| since.elapsed() < UNANSWERED_BACKOFF)
    }

    /// Asks a peer.
    ///
    /// # Errors
    /// When it doesn't answer in time, with whether it may have got the question.
    pub(crate) async fn ask(
        &self,
        address: SocketAddr,
        question: Question,
    ) -> Result<Answer, AskError> {
        if self.is_backing_off(address) {
            return Err(AskError::NotAsked);
        }
        let max_wait = answer_timeout(&question);
        let began = std::time::Instant::now();
        let Some(mut channel) = self.open_channel(address, max_wait).await else {
            return Err(AskError::NotAsked);
        };
        let exchange = async {
            channel.send(&Frame::JobQuestion(question)).await.ok()?;
            channel.finish();
            match channel.receive().await {
                Ok(Frame::JobAnswer(answer)) => Some(answer),
                _ => None,
            }
        };
        let left = max_wait.saturating_sub(began.elapsed());
        let answer = timeout(left, exchange).await.ok().flatten();
        if answer.is_some() {
            self.misses.lock().remove(&address);
        } else {
            self.record_miss(address);
        }
        answer.ok_or(AskError::Unanswered)
    }

    /// Opens an exchange with a peer; none if that takes longer than `max_wait`.
    async fn open_channel(&self, address: SocketAddr, max_wait: Duration) -> Option<Channel> {
        let opening = async { self.link(address).await?.open().await.ok() };
        let opened = timeout(max_wait, opening).await.ok().flatten();
        if opened.is_none() {
            self.start_backoff(address);
        }
        opened
    }

    /// Opens an exchange of several frames with a peer; none if it can't be reached now.
    pub(crate) async fn open_exchange(&self, address: SocketAddr) -> Option<Channel> {
        if self.is_backing_off(address) {
            return None;
        }
        self.open_channel(address, ANSWER_TIMEOUT).await
    }

    /// Records an unanswered question.
    fn record_miss(&self, address: SocketAddr) {
        self.start_backoff(address);
        let mut misses = self.misses.lock();
        let count = misses.entry(address).or_default();
        *count += 1;
        if *count >= MAX_CONSECUTIVE_MISSES {
            misses.remove(&address);
            if let Some(link) = self.links.lock().remove(&address) {
                link.close();
            }
        }
    }

    fn start_backoff(&self, address: SocketAddr) {
        self.backing_off.lock().insert(address, std::time::Instant::now());
    }
}

fn answer_timeout(question: &Question) -> Duration {
    match question {
        Question::Load { .. } | Question::Release { .. } => LOAD_ANSWER_TIMEOUT,
        _ => ANSWER_TIMEOUT,
    }
}

/// Asks the owner of a service's cell, on any entry; none when it can't be asked or doesn't answer.
pub(crate) async fn ask_owner(node: &Node, service: &str, question: Question) -> Option<Answer> {
    if let Some(owner) = node.owner(service) {
        return owner.answer(&question);
    }
    let rows::Route { holder, peer: address, .. } = node.holder(service)?;
    if holder == node.entry_id {
        return None;
    }
    let answer = node.peers.ask(address, question).await.ok();
    if answer.is_none() {
        node.suspect_holder();
        node.metrics.count(Counter::PeerFailures);
        node.journal.warn("peer_unanswered", &[("peer", &holder), ("service", &service)]);
    }
    answer
}

/// Like [`ask_owner`], but when the holder that this entry knows doesn't answer, asks its successor:
/// the one that this entry has heard of meanwhile, or else the one that the store names.  The
/// directory shows a new holder only some hundred milliseconds after its takeover.
pub(crate) async fn ask_current_owner(
    node: &Arc<Node>,
    service: &str,
    question: Question,
) -> Option<Answer> {
    let known_token = || node.holder(service).map_or(0, |route| route.token);
    let asked_token = known_token();
    match ask_owner(node, service, question.clone()).await {
        None | Some(Answer::NotOwner) => {}
        answer => return answer,
    }
    if known_token() > asked_token {
        return ask_owner(node, service, question).await;
    }
    if node.is_outage_ongoing() {
        return None;
    }
    let lookup = || read_successor(node.clone(), service.to_owned());
    let successor = node.peers.successors.get(service.to_owned(), lookup).await?;
    if successor.token <= asked_token {
        return None;
    }
    node.peers.ask(successor.peer, question).await.ok()
}

/// Reads which other entry holds a cell now, if it isn't the one that this entry knows.
async fn read_successor(node: Arc<Node>, cell: String) -> Option<rows::Route> {
    let row = read(&node, rows::cell(&cell)).await?;
    let (token, holder) = (row.version, rows::Cell::decode(&row.value).ok()?.holder);
    let known_token = node.holder(&cell).map_or(0, |route| route.token);
    if holder == node.entry_id || token <= known_token {
        return None;
    }
    let row = read(&node, rows::entry(&holder)).await?;
    let peer = rows::Entry::decode(&row.value).ok()?.peer;
    Some(rows::Route { holder, peer, token })
}

async fn read(node: &Node, name: Name) -> Option<Row> {
    let row = node.store.get(&name.table, &name.part, &name.key, READ_TIMEOUT).await;
    node.record_store_result(&row);
    row.ok().flatten()
}
