//! Finding a slot: here, at a peer that has one free, or in the queue.
//!
//! Work waits at the entries, where its urgency is known, and never in a minion.  A request
//! takes an own slot when one is free; else it borrows one from a peer whose last beat showed
//! room; else it waits in the own queue, still looking at the peers from time to time, or in a
//! peer's when that is far shorter, or when this entry owns nothing of the service.

mod lend;

pub(crate) use lend::lend;

use crate::metrics::Counter;
use crate::node::Node;
use crate::peers::{self, SlotUse};
use celerythread_model::code::Code;
use celerythread_model::id;
use celerythread_model::request::Class;
use celerythread_policy::queue::{Bounds, Queue, Refusal, Waiting};
use celerythread_policy::slots::{Grant, Holder, Ledger, Permit, Verdict};
use celerythread_policy::time::Moment;
use celerythread_wire::Channel;
use celerythread_wire::frame::{self, Frame};
use futures::channel::oneshot;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// How often a waiting request looks for a peer with room.
const PEER_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Longest wait for a peer's answer when it need not queue.
const ASK_TIMEOUT: Duration = Duration::from_millis(500);

/// A peer's queue must be this much shorter than the own one to be joined instead.
const MIN_QUEUE_RATIO: f64 = 2.0;

/// Peers asked before a request waits.
const MAX_PEERS_ASKED: usize = 2;

/// How long slots may be between two owners before a request is refused, and how often it looks.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(2);
const HANDOVER_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// When to come back while no minion can be reached at all.
const NO_MINION_RETRY_AFTER: Duration = Duration::from_secs(1);

/// What a request needs.
#[derive(Clone, Debug)]
pub(crate) struct SlotRequest {
    pub(crate) service: id::Service,
    pub(crate) class: Class,
    pub(crate) deadline: Moment,
    /// A minion that just failed the request.
    pub(crate) avoid: Option<id::Minion>,
}

/// Why there is no slot.
#[derive(Clone, Debug)]
pub(crate) struct Denied {
    pub(crate) code: Code,
    pub(crate) retry_after: Option<Duration>,
}

/// The one who gets a slot when it is this request's turn.
struct Waiter {
    reply: oneshot::Sender<Permit>,
    holder: Holder,
    avoid: Option<id::Minion>,
}

/// Slots and queues of this entry.
#[derive(Default)]
pub(crate) struct Router {
    pub(crate) ledger: Ledger,
    queues: HashMap<id::Service, Queue<Waiter>>,
    bounds: HashMap<id::Service, Bounds>,
}

impl Router {
    /// Sets a service's bounds by the configuration in force.
    pub(crate) fn set_bounds(&mut self, bounds: HashMap<id::Service, Bounds>) {
        self.bounds = bounds;
    }

    fn bounds(&self, service: &id::Service) -> Bounds {
        let fallback = Bounds { limit: 64, patient_share: celerythread_model::config::Ratio(0.1) };
        self.bounds.get(service).copied().unwrap_or(fallback)
    }

    /// Requests that wait for a service.
    pub(crate) fn waiting(&self, service: &id::Service) -> usize {
        self.queues.get(service).map_or(0, Queue::len)
    }

    /// Takes a slot now, unless others wait for it already.
    fn try_grant(&mut self, request: &SlotRequest, holder: Holder, now: Moment) -> Option<Permit> {
        if self.waiting(&request.service) > 0 {
            return None;
        }
        self.ledger.grant(&request.service, holder, request.avoid.as_ref(), now)
    }

    /// Puts a request into the queue.
    fn enqueue(
        &mut self,
        request: &SlotRequest,
        holder: Holder,
        now: Moment,
    ) -> Result<oneshot::Receiver<Permit>, Refusal> {
        let (reply, receiver) = oneshot::channel();
        let mut bounds = self.bounds(&request.service);
        let slots = self.ledger.room(&request.service, now).slots as usize;
        bounds.limit *= slots.max(1);
        let item = Waiter { reply, holder, avoid: request.avoid.clone() };
        let waiting = Waiting { item, class: request.class, deadline: request.deadline };
        let queue = self.queues.entry(request.service.clone()).or_default();
        queue.push(waiting, now, bounds, rand::random())?;
        self.serve_queue(&request.service, now);
        Ok(receiver)
    }

    /// Hands free slots to those who wait.
    pub(crate) fn serve_queue(&mut self, service: &id::Service, now: Moment) {
        let share = self.bounds(service).patient_share;
        let Some(queue) = self.queues.get_mut(service) else { return };
        while !queue.is_empty() && self.ledger.room(service, now).free > 0 {
            let Some(waiter) = queue.pop(now, share) else { return };
            if waiter.reply.is_canceled() {
                continue;
            }
            let avoid = waiter.avoid.as_ref();
            let Some(permit) = self.ledger.grant(service, waiter.holder, avoid, now) else {
                return;
            };
            if let Err(permit) = waiter.reply.send(permit) {
                self.ledger.finish(permit.grant, Verdict::Unused, Duration::ZERO, now);
            }
        }
    }

    /// Clears away those who no longer wait and serves the others: slots also become free by
    /// time alone, after a rest or a reservation.
    pub(crate) fn tick(&mut self, now: Moment) {
        let services: Vec<id::Service> = self.queues.keys().cloned().collect();
        for service in services {
            if let Some(queue) = self.queues.get_mut(&service) {
                queue.expire(now);
                queue.remove(|waiter| waiter.reply.is_canceled());
            }
            self.serve_queue(&service, now);
        }
    }

    /// What this entry has, for its beats.
    pub(crate) fn rooms(&self, now: Moment) -> Vec<frame::Room> {
        let services = self.ledger.services();
        services
            .map(|service| {
                let room = self.ledger.room(service, now);
                let waiting = self.waiting(service) as u32;
                // What waits here has a claim on what is free here.
                let free = room.free.saturating_sub(waiting);
                frame::Room { service: service.clone(), slots: room.slots, free, waiting }
            })
            .collect()
    }
}

/// A slot in use.  Dropping it without a verdict gives it back unused.
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
    /// Ends the use of the slot with what became of the dispatch.
    pub(crate) fn finish(mut self, verdict: Verdict) {
        self.finish_once(verdict);
    }

    fn finish_once(&mut self, verdict: Verdict) {
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
        self.finish_once(Verdict::Unused);
    }
}

/// Ends an own grant and serves the next in line.
pub(crate) fn finish_grant(node: &Node, grant: Grant, verdict: Verdict, took: Duration) {
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
        node.note(celerythread_model::event::Kind::Health { minion, healthy });
    }
}

fn return_to_lender(
    node: &Arc<Node>,
    lender: Lender,
    grant: Grant,
    verdict: Verdict,
    took: Duration,
) {
    let node = node.clone();
    let verdict = match verdict {
        Verdict::Answered => frame::Verdict::Answered,
        Verdict::Failed => frame::Verdict::Failed,
        Verdict::Leaving => frame::Verdict::Leaving,
        Verdict::Unused => frame::Verdict::Unused,
    };
    async_std::task::spawn(async move {
        let Lender { entry, service, mut channel } = lender;
        let took_ms = took.as_millis() as u64;
        // When this fails the link is gone, and the lender learns from our beats that the
        // grant is not held any more.
        if channel.send(&Frame::Finish { verdict, took_ms }).await.is_ok() {
            channel.finish();
        }
        node.peers.write().record_use(&entry, &service, SlotUse::Returned);
        release_grant(&node, &entry, grant.0);
    });
}

fn release_grant(node: &Node, owner: &id::Entry, grant: u64) {
    if let Some(held) = node.holding.lock().get_mut(owner) {
        held.remove(&grant);
    }
}

/// Finds a slot.
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

/// Waits where the service's slots are, which may change meanwhile: owners hand minions over
/// when entries come and go.
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
            // For a moment nobody may have the service's slots: they are being handed over, or
            // this entry has not heard its peers yet.
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

/// How long the own queue is for the own slots; none without any.
fn own_waiting_per_slot(node: &Node, request: &SlotRequest, now: Moment) -> Option<f64> {
    let router = node.router.lock();
    let slots = router.ledger.room(&request.service, now).slots;
    (slots > 0).then(|| peers::waiting_per_slot(router.waiting(&request.service) as u32, slots))
}

/// How a wait in a queue ended.
enum WaitResult {
    Granted(Slot),
    Denied(Denied),
    /// The slots are elsewhere now.
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
        if node.router.lock().ledger.room(&request.service, now).slots == 0 {
            return_late_permit(node, &mut receiver);
            return WaitResult::Moved;
        }
    }
}

/// A permit that arrived in the moment in which the request stopped waiting for it goes back.
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

/// Borrows a slot from a peer that showed room.
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
        entry: node.me.clone(),
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
    node.holding.lock().entry(peer.clone()).or_default().insert(grant.grant);
    if link.is_closed() {
        // The owner has lost this link and may already have counted the slot as free.
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
