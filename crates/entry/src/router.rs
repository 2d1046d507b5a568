//! Finds a slot for a request: one of this entry's own, one borrowed from a peer, or one that
//! becomes free while the request is queued.
//!
//! Requests are queued at the entries, where their urgency is known, and never in a minion.  A
//! request gets an own slot if one is free, or else borrows one from a peer whose last heartbeat
//! showed free slots.  Otherwise it waits in the own queue and asks peers again at intervals.  It
//! waits in a peer's queue instead if that is much shorter, or if this entry owns no slots of the
//! service.

mod lend;

pub(crate) use lend::lend;

use crate::metrics::Counter;
use crate::node::Node;
use crate::peers::{self, SlotUse};
use celerythread_model::code::Code;
use celerythread_model::id;
use celerythread_model::request::Class;
use celerythread_policy::queue::{Bounds, Queue, QueuedRequest, Refusal};
use celerythread_policy::slots::{DispatchResult, Grant, Holder, Ledger, Permit};
use celerythread_policy::time::Moment;
use celerythread_wire::Channel;
use celerythread_wire::frame::{self, Frame};
use futures::channel::oneshot;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// How often a queued request looks for a peer with free slots.
const PEER_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Longest wait for a peer's answer to a request that it doesn't queue.
const ASK_TIMEOUT: Duration = Duration::from_millis(500);

/// How many times longer than a peer's queue the own one must be for the peer's to be joined.
const MIN_QUEUE_RATIO: f64 = 2.0;

/// Maximum number of peers asked before a request is queued.
const MAX_PEERS_ASKED: usize = 2;

/// How long a request waits while no entry has slots of its service, as during a handover.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(2);

/// How often such a request looks for slots.
const HANDOVER_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Retry-After while there is no minion for the service.
const NO_MINION_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A request for a slot.
#[derive(Clone, Debug)]
pub(crate) struct SlotRequest {
    pub(crate) service: id::Service,
    pub(crate) class: Class,
    pub(crate) deadline: Moment,
    /// A minion that has just failed the request.
    pub(crate) avoid: Option<id::Minion>,
}

/// Why a request gets no slot.
#[derive(Clone, Debug)]
pub(crate) struct Denied {
    pub(crate) code: Code,
    pub(crate) retry_after: Option<Duration>,
}

/// A queued request, and who gets its slot: this entry or a peer.
struct Waiter {
    reply: oneshot::Sender<Permit>,
    holder: Holder,
    avoid: Option<id::Minion>,
}

/// The slots and queues of this entry.
#[derive(Default)]
pub(crate) struct Router {
    pub(crate) ledger: Ledger,
    queues: HashMap<id::Service, Queue<Waiter>>,
    bounds: HashMap<id::Service, Bounds>,
}

impl Router {
    /// Sets the queue bounds of all services, as in the configuration in force.
    pub(crate) fn set_bounds(&mut self, bounds: HashMap<id::Service, Bounds>) {
        self.bounds = bounds;
    }

    fn bounds(&self, service: &id::Service) -> Bounds {
        let fallback = Bounds { limit: 64, patient_share: celerythread_model::config::Ratio(0.1) };
        self.bounds.get(service).copied().unwrap_or(fallback)
    }

    /// The number of requests queued for a service.
    pub(crate) fn waiting(&self, service: &id::Service) -> usize {
        self.queues.get(service).map_or(0, Queue::len)
    }

    /// Grants a free slot, unless requests are queued for the service already.
    fn try_grant(&mut self, request: &SlotRequest, holder: Holder, now: Moment) -> Option<Permit> {
        if self.waiting(&request.service) > 0 {
            return None;
        }
        self.ledger.grant(&request.service, holder, request.avoid.as_ref(), now)
    }

    /// Adds a request to its service's queue.
    fn enqueue(
        &mut self,
        request: &SlotRequest,
        holder: Holder,
        now: Moment,
    ) -> Result<oneshot::Receiver<Permit>, Refusal> {
        let (reply, receiver) = oneshot::channel();
        let mut bounds = self.bounds(&request.service);
        let slots = self.ledger.capacity(&request.service, now).slots as usize;
        bounds.limit *= slots.max(1);
        let item = Waiter { reply, holder, avoid: request.avoid.clone() };
        let waiting = QueuedRequest { item, class: request.class, deadline: request.deadline };
        let queue = self.queues.entry(request.service.clone()).or_default();
        queue.push(waiting, now, bounds, rand::random())?;
        self.serve_queue(&request.service, now);
        Ok(receiver)
    }

    /// Grants free slots to queued requests.
    pub(crate) fn serve_queue(&mut self, service: &id::Service, now: Moment) {
        let share = self.bounds(service).patient_share;
        let Some(queue) = self.queues.get_mut(service) else { return };
        while !queue.is_empty() && self.ledger.capacity(service, now).free > 0 {
            let Some(waiter) = queue.pop(now, share) else { return };
            if waiter.reply.is_canceled() {
                continue;
            }
            let avoid = waiter.avoid.as_ref();
            let Some(permit) = self.ledger.grant(service, waiter.holder, avoid, now) else {
                return;
            };
            if let Err(permit) = waiter.reply.send(permit) {
                self.ledger.finish(permit.grant, DispatchResult::Unused, Duration::ZERO, now);
            }
        }
    }

    /// Removes expired and cancelled requests from the queues and serves the others.  Needed at
    /// intervals, since slots also become free with time: when an ejection or a reservation ends.
    pub(crate) fn tick(&mut self, now: Moment) {
        let services: Vec<id::Service> = self.queues.keys().cloned().collect();
        for service in services {
            if let Some(queue) = self.queues.get_mut(&service) {
                queue.remove_expired(now);
                queue.remove(|waiter| waiter.reply.is_canceled());
            }
            self.serve_queue(&service, now);
        }
    }

    /// The slots and queues of this entry by service, for its heartbeats.
    pub(crate) fn rooms(&self, now: Moment) -> Vec<frame::Room> {
        let services = self.ledger.services();
        services
            .map(|service| {
                let room = self.ledger.capacity(service, now);
                let waiting = self.waiting(service) as u32;
                // Requests queued here come first; peers see the slots that they leave free.
                let free = room.free.saturating_sub(waiting);
                frame::Room { service: service.clone(), slots: room.slots, free, waiting }
            })
            .collect()
    }
}

/// A slot in use.  Dropping it without a verdict returns it as unused.
pub(crate) struct Slot {
    node: Arc<Node>,
    pub(crate) minion: id::Minion,
    pub(crate) address: SocketAddr,
    started: Moment,
    lender: Option<Lender>,
    grant: Grant,
    finished: bool,
}

/// The peer that lent a slot.
struct Lender {
    entry: id::Entry,
    service: id::Service,
    channel: Channel,
}

impl Slot {
    /// Ends the use of the slot with the result of the dispatch.
    pub(crate) fn finish(mut self, verdict: DispatchResult) {
        self.finish_once(verdict);
    }

    fn finish_once(&mut self, verdict: DispatchResult) {
        if self.finished {
            return;
        }
        self.finished = true;
        let took = self.node.clock.now().since(self.started);
        match self.lender.take() {
            None => finish_grant(&self.node, self.grant, verdict, took),
            Some(lender) => return_to_lender(&self.node, lender, self.grant, verdict, took),
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.finish_once(DispatchResult::Unused);
    }
}

/// Ends a grant of an own slot and serves the queues.
pub(crate) fn finish_grant(node: &Node, grant: Grant, verdict: DispatchResult, took: Duration) {
    let now = node.clock.now();
    let changed = {
        let mut router = node.router.lock();
        let changed = router.ledger.finish(grant, verdict, took, now);
        let services: Vec<id::Service> = router.queues.keys().cloned().collect();
        for service in services {
            router.serve_queue(&service, now);
        }
        changed
    };
    if let Some((minion, healthy)) = changed {
        if !healthy {
            node.count(Counter::Ejections);
        }
        node.record_event(celerythread_model::event::Kind::Health { minion, healthy });
    }
}

fn return_to_lender(
    node: &Arc<Node>,
    lender: Lender,
    grant: Grant,
    verdict: DispatchResult,
    took: Duration,
) {
    let node = node.clone();
    let verdict = match verdict {
        DispatchResult::Answered => frame::DispatchResult::Answered,
        DispatchResult::Failed => frame::DispatchResult::Failed,
        DispatchResult::Leaving => frame::DispatchResult::Leaving,
        DispatchResult::Unused => frame::DispatchResult::Unused,
    };
    async_std::task::spawn(async move {
        let Lender { entry, service, mut channel } = lender;
        let took_ms = took.as_millis() as u64;
        // If this fails, the link is lost, and the lender learns from this entry's heartbeats
        // that the grant is no longer in use.
        if channel.send(&Frame::Finish { verdict, took_ms }).await.is_ok() {
            channel.finish();
        }
        node.peers.write().record_use(&entry, &service, SlotUse::Returned);
        release_grant(&node, &entry, grant.0);
    });
}

fn release_grant(node: &Node, owner: &id::Entry, grant: u64) {
    if let Some(held) = node.grants_in_use.lock().get_mut(owner) {
        held.remove(&grant);
    }
}

/// Acquires a slot for a request, waiting until its deadline if necessary.
///
/// # Errors
/// `Denied` with the code: overloaded, deadline passed, or no minion.
pub(crate) async fn acquire(node: &Arc<Node>, request: &SlotRequest) -> Result<Slot, Denied> {
    if let Some(permit) = try_own_slot(node, request) {
        return Ok(permit);
    }
    if let Some(slot) = borrow(node, request, MAX_PEERS_ASKED).await {
        return Ok(slot);
    }
    wait_for_slot(node, request).await
}

/// Waits in the own queue or a peer's, and chooses anew when the slots move: owners hand minions
/// over when entries start and stop.
async fn wait_for_slot(node: &Arc<Node>, request: &SlotRequest) -> Result<Slot, Denied> {
    let mut slots_seen_at = node.clock.now();
    loop {
        let now = node.clock.now();
        if now >= request.deadline {
            return Err(Denied { code: Code::DeadlinePassed, retry_after: None });
        }
        let own = own_waiting_per_slot(node, request, now);
        let best_peer = node.peers.read().shortest_queue(&request.service, now);
        let result = match (own, best_peer) {
            (Some(own), Some((length, peer))) if length * MIN_QUEUE_RATIO <= own => {
                wait_in_peer_queue(node, request, &peer).await
            }
            (Some(_), _) => wait_in_own_queue(node, request).await,
            (None, Some((_, peer))) => wait_in_peer_queue(node, request, &peer).await,
            // No entry may have the service's slots for a short time: they are being handed over,
            // or this entry has no heartbeats of its peers yet.
            (None, None) if now.since(slots_seen_at) < HANDOVER_TIMEOUT => {
                async_std::task::sleep(HANDOVER_POLL_INTERVAL).await;
                continue;
            }
            (None, None) => {
                return Err(Denied {
                    code: Code::NoMinion,
                    retry_after: Some(NO_MINION_RETRY_AFTER),
                });
            }
        };
        match result {
            WaitResult::Granted(slot) => return Ok(slot),
            WaitResult::Denied(denied) => return Err(denied),
            WaitResult::Moved => slots_seen_at = node.clock.now(),
        }
    }
}

/// The length of the own queue by `waiting_per_slot`; none if this entry has no slots.
fn own_waiting_per_slot(node: &Node, request: &SlotRequest, now: Moment) -> Option<f64> {
    let router = node.router.lock();
    let slots = router.ledger.capacity(&request.service, now).slots;
    (slots > 0).then(|| peers::waiting_per_slot(router.waiting(&request.service) as u32, slots))
}

/// How a wait in a queue ended.
enum WaitResult {
    Granted(Slot),
    Denied(Denied),
    /// This queue no longer has slots of the service, or the wait was cut short: choose again.
    Moved,
}

fn slot_from_permit(node: &Arc<Node>, permit: Permit) -> Slot {
    Slot {
        node: node.clone(),
        minion: permit.minion,
        address: permit.address,
        started: node.clock.now(),
        lender: None,
        grant: permit.grant,
        finished: false,
    }
}

fn try_own_slot(node: &Arc<Node>, request: &SlotRequest) -> Option<Slot> {
    let now = node.clock.now();
    let permit = node.router.lock().try_grant(request, Holder::Own, now)?;
    Some(slot_from_permit(node, permit))
}

async fn wait_in_own_queue(node: &Arc<Node>, request: &SlotRequest) -> WaitResult {
    let queued = {
        let now = node.clock.now();
        node.router.lock().enqueue(request, Holder::Own, now)
    };
    let mut receiver = match queued {
        Ok(receiver) => receiver,
        Err(refusal) => {
            let retry_after = Some(refusal.retry_after);
            return WaitResult::Denied(Denied { code: Code::Overloaded, retry_after });
        }
    };
    loop {
        let left = request.deadline.since(node.clock.now());
        if left.is_zero() {
            return WaitResult::Moved;
        }
        let granted = async_std::future::timeout(left.min(PEER_POLL_INTERVAL), &mut receiver).await;
        match granted {
            Ok(Ok(permit)) => return WaitResult::Granted(slot_from_permit(node, permit)),
            Ok(Err(_)) => return WaitResult::Moved,
            Err(_) => {}
        }
        if let Some(slot) = borrow(node, request, 1).await {
            return_late_permit(node, &mut receiver);
            return WaitResult::Granted(slot);
        }
        let now = node.clock.now();
        if node.router.lock().ledger.capacity(&request.service, now).slots == 0 {
            return_late_permit(node, &mut receiver);
            return WaitResult::Moved;
        }
    }
}

/// Returns a permit that arrived just when the request stopped waiting for it.
fn return_late_permit(node: &Arc<Node>, receiver: &mut oneshot::Receiver<Permit>) {
    receiver.close();
    if let Ok(Some(permit)) = receiver.try_recv() {
        drop(slot_from_permit(node, permit));
    }
}

/// Waits in the queue of a peer that has slots of the service.
async fn wait_in_peer_queue(
    node: &Arc<Node>,
    request: &SlotRequest,
    peer: &id::Entry,
) -> WaitResult {
    let left = request.deadline.since(node.clock.now());
    record_use(node, peer, request, SlotUse::Queued);
    let answer = async_std::future::timeout(left, ask_peer(node, peer, request, true)).await;
    record_use(node, peer, request, SlotUse::Dequeued);
    match answer {
        Ok(Reply::Granted(slot)) => WaitResult::Granted(slot),
        Ok(Reply::Busy(wait)) => {
            let retry_after = Some(wait);
            WaitResult::Denied(Denied { code: Code::Overloaded, retry_after })
        }
        Ok(Reply::Gone) => {
            node.peers.write().record_no_slots(peer, &request.service);
            WaitResult::Moved
        }
        Err(_) => WaitResult::Moved,
    }
}

fn record_use(node: &Node, peer: &id::Entry, request: &SlotRequest, change: SlotUse) {
    node.peers.write().record_use(peer, &request.service, change);
}

/// Borrows a slot from a peer whose last heartbeat showed free ones.
async fn borrow(node: &Arc<Node>, request: &SlotRequest, max_peers: usize) -> Option<Slot> {
    let now = node.clock.now();
    let zone = &node.settings.zone;
    let candidates = node.peers.read().with_free_slots(&request.service, zone, now);
    for peer in candidates.into_iter().take(max_peers) {
        let limit = request.deadline.since(node.clock.now()).min(ASK_TIMEOUT);
        match async_std::future::timeout(limit, ask_peer(node, &peer, request, false)).await {
            Ok(Reply::Granted(slot)) => return Some(slot),
            _ => record_use(node, &peer, request, SlotUse::Full),
        }
    }
    None
}

enum Reply {
    Granted(Slot),
    Busy(Duration),
    Gone,
}

async fn ask_peer(node: &Arc<Node>, peer: &id::Entry, request: &SlotRequest, wait: bool) -> Reply {
    let Some(link) = node.peers.read().link(peer) else { return Reply::Gone };
    let Ok(mut channel) = link.open().await else { return Reply::Gone };
    let question = Frame::Ask(frame::Ask {
        entry: node.entry_id.clone(),
        service: request.service.clone(),
        class: request.class,
        left_ms: request.deadline.since(node.clock.now()).as_millis() as u64,
        wait,
        avoid: request.avoid.clone(),
    });
    if channel.send(&question).await.is_err() {
        return Reply::Gone;
    }
    let grant = match channel.receive().await {
        Ok(Frame::Grant(grant)) => grant,
        Ok(Frame::Busy { retry_after_ms }) => {
            return Reply::Busy(Duration::from_millis(retry_after_ms));
        }
        _ => return Reply::Gone,
    };
    node.grants_in_use.lock().entry(peer.clone()).or_default().insert(grant.grant);
    if link.is_closed() {
        // The owner has lost this link too and may already count the slot as free.
        release_grant(node, peer, grant.grant);
        return Reply::Gone;
    }
    node.count(Counter::SlotsBorrowed);
    record_use(node, peer, request, SlotUse::Borrowed);
    Reply::Granted(Slot {
        node: node.clone(),
        minion: grant.minion,
        address: grant.address,
        started: node.clock.now(),
        lender: Some(Lender { entry: peer.clone(), service: request.service.clone(), channel }),
        grant: Grant(grant.grant),
        finished: false,
    })
}
