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
use crate::peers::{self, Use};
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
const LOOK_AROUND: Duration = Duration::from_millis(100);

/// Longest wait for a peer's answer when it need not queue.
const ASK_LIMIT: Duration = Duration::from_millis(500);

/// A peer's queue must be this much shorter than the own one to be joined instead.
const FAR_SHORTER: f64 = 2.0;

/// Peers asked before a request waits.
const ASKED_PEERS: usize = 2;

/// How long slots may be between two owners before a request is refused, and how often it looks.
const HAND_OVER: Duration = Duration::from_secs(2);
const HAND_OVER_LOOK: Duration = Duration::from_millis(20);

/// When to come back while no minion can be reached at all.
const NO_MINION_RETRY: Duration = Duration::from_secs(1);

/// What a request needs.
#[derive(Clone, Debug)]
pub(crate) struct Want {
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
    fn take(&mut self, want: &Want, holder: Holder, now: Moment) -> Option<Permit> {
        if self.waiting(&want.service) > 0 {
            return None;
        }
        self.ledger.grant(&want.service, holder, want.avoid.as_ref(), now)
    }

    /// Puts a request into the queue.
    fn enqueue(
        &mut self,
        want: &Want,
        holder: Holder,
        now: Moment,
    ) -> Result<oneshot::Receiver<Permit>, Refusal> {
        let (reply, receiver) = oneshot::channel();
        let mut bounds = self.bounds(&want.service);
        let slots = self.ledger.room(&want.service, now).slots as usize;
        bounds.limit *= slots.max(1);
        let item = Waiter { reply, holder, avoid: want.avoid.clone() };
        let waiting = Waiting { item, class: want.class, deadline: want.deadline };
        let queue = self.queues.entry(want.service.clone()).or_default();
        queue.push(waiting, now, bounds, rand::random())?;
        self.pump(&want.service, now);
        Ok(receiver)
    }

    /// Hands free slots to those who wait.
    pub(crate) fn pump(&mut self, service: &id::Service, now: Moment) {
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
            self.pump(&service, now);
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
    over: bool,
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
        self.end(verdict);
    }

    fn end(&mut self, verdict: Verdict) {
        if self.over {
            return;
        }
        self.over = true;
        let took = self.node.clock.now().since(self.started);
        match self.lender.take() {
            None => finish_own(&self.node, self.grant, verdict, took),
            Some(lender) => give_back(&self.node, lender, self.grant, verdict, took),
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.end(Verdict::Unused);
    }
}

/// Ends an own grant and serves the next in line.
pub(crate) fn finish_own(node: &Node, grant: Grant, verdict: Verdict, took: Duration) {
    let now = node.clock.now();
    let changed = {
        let mut router = node.router.lock();
        let changed = router.ledger.finish(grant, verdict, took, now);
        let services: Vec<id::Service> = router.queues.keys().cloned().collect();
        for service in services {
            router.pump(&service, now);
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

fn give_back(node: &Arc<Node>, lender: Lender, grant: Grant, verdict: Verdict, took: Duration) {
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
        node.peers.write().note_use(&entry, &service, Use::Returned);
        release(&node, &entry, grant.0);
    });
}

fn release(node: &Node, owner: &id::Entry, grant: u64) {
    if let Some(held) = node.grants_in_use.lock().get_mut(owner) {
        held.remove(&grant);
    }
}

/// Finds a slot.
///
/// # Errors
/// `Denied` with the code: overloaded, deadline passed, or no minion.
pub(crate) async fn acquire(node: &Arc<Node>, want: &Want) -> Result<Slot, Denied> {
    if let Some(permit) = take_own(node, want) {
        return Ok(permit);
    }
    if let Some(slot) = borrow(node, want, ASKED_PEERS).await {
        return Ok(slot);
    }
    wait(node, want).await
}

/// Waits where the service's slots are, which may change meanwhile: owners hand minions over
/// when entries come and go.
async fn wait(node: &Arc<Node>, want: &Want) -> Result<Slot, Denied> {
    let mut seen = node.clock.now();
    loop {
        let now = node.clock.now();
        if now >= want.deadline {
            return Err(Denied { code: Code::DeadlinePassed, retry_after: None });
        }
        let here = own_queue(node, want, now);
        let there = node.peers.read().shortest(&want.service, now);
        let waited = match (here, there) {
            (Some(here), Some((length, peer))) if length * FAR_SHORTER <= here => {
                wait_there(node, want, &peer).await
            }
            (Some(_), _) => wait_here(node, want).await,
            (None, Some((_, peer))) => wait_there(node, want, &peer).await,
            // For a moment nobody may have the service's slots: they are being handed over, or
            // this entry has not heard its peers yet.
            (None, None) if now.since(seen) < HAND_OVER => {
                async_std::task::sleep(HAND_OVER_LOOK).await;
                continue;
            }
            (None, None) => {
                return Err(Denied { code: Code::NoMinion, retry_after: Some(NO_MINION_RETRY) });
            }
        };
        match waited {
            Waited::Granted(slot) => return Ok(slot),
            Waited::Denied(denied) => return Err(denied),
            Waited::Moved => seen = node.clock.now(),
        }
    }
}

/// How long the own queue is for the own slots; none without any.
fn own_queue(node: &Node, want: &Want, now: Moment) -> Option<f64> {
    let router = node.router.lock();
    let slots = router.ledger.room(&want.service, now).slots;
    (slots > 0).then(|| peers::queue_length(router.waiting(&want.service) as u32, slots))
}

/// How a wait in a queue ended.
enum Waited {
    Granted(Slot),
    Denied(Denied),
    /// The slots are elsewhere now.
    Moved,
}

fn own_slot(node: &Arc<Node>, permit: Permit) -> Slot {
    Slot {
        node: node.clone(),
        minion: permit.minion,
        address: permit.address,
        started: node.clock.now(),
        lender: None,
        grant: permit.grant,
        over: false,
    }
}

fn take_own(node: &Arc<Node>, want: &Want) -> Option<Slot> {
    let now = node.clock.now();
    let permit = node.router.lock().take(want, Holder::Own, now)?;
    Some(own_slot(node, permit))
}

async fn wait_here(node: &Arc<Node>, want: &Want) -> Waited {
    let queued = {
        let now = node.clock.now();
        node.router.lock().enqueue(want, Holder::Own, now)
    };
    let mut receiver = match queued {
        Ok(receiver) => receiver,
        Err(refusal) => {
            let retry_after = Some(refusal.retry_after);
            return Waited::Denied(Denied { code: Code::Overloaded, retry_after });
        }
    };
    loop {
        let left = want.deadline.since(node.clock.now());
        if left.is_zero() {
            return Waited::Moved;
        }
        let turn = async_std::future::timeout(left.min(LOOK_AROUND), &mut receiver).await;
        match turn {
            Ok(Ok(permit)) => return Waited::Granted(own_slot(node, permit)),
            Ok(Err(_)) => return Waited::Moved,
            Err(_) => {}
        }
        if let Some(slot) = borrow(node, want, 1).await {
            return_late_permit(node, &mut receiver);
            return Waited::Granted(slot);
        }
        let now = node.clock.now();
        if node.router.lock().ledger.room(&want.service, now).slots == 0 {
            return_late_permit(node, &mut receiver);
            return Waited::Moved;
        }
    }
}

/// A permit that arrived in the moment in which the request stopped waiting for it goes back.
fn return_late_permit(node: &Arc<Node>, receiver: &mut oneshot::Receiver<Permit>) {
    receiver.close();
    if let Ok(Some(permit)) = receiver.try_recv() {
        drop(own_slot(node, permit));
    }
}

/// Waits in the queue of a peer that has slots of the service.
async fn wait_there(node: &Arc<Node>, want: &Want, peer: &id::Entry) -> Waited {
    let left = want.deadline.since(node.clock.now());
    note_use(node, peer, want, Use::Waits);
    let answer = async_std::future::timeout(left, ask(node, peer, want, true)).await;
    note_use(node, peer, want, Use::WaitsNoMore);
    match answer {
        Ok(Reply::Granted(slot)) => Waited::Granted(slot),
        Ok(Reply::Busy(wait)) => {
            let retry_after = Some(wait);
            Waited::Denied(Denied { code: Code::Overloaded, retry_after })
        }
        Ok(Reply::Gone) => {
            node.peers.write().note_none(peer, &want.service);
            Waited::Moved
        }
        Err(_) => Waited::Moved,
    }
}

fn note_use(node: &Node, peer: &id::Entry, want: &Want, change: Use) {
    node.peers.write().note_use(peer, &want.service, change);
}

/// Borrows a slot from a peer that showed room.
async fn borrow(node: &Arc<Node>, want: &Want, most: usize) -> Option<Slot> {
    let now = node.clock.now();
    let zone = &node.settings.zone;
    let candidates = node.peers.read().with_room(&want.service, zone, now);
    for peer in candidates.into_iter().take(most) {
        let limit = want.deadline.since(node.clock.now()).min(ASK_LIMIT);
        match async_std::future::timeout(limit, ask(node, &peer, want, false)).await {
            Ok(Reply::Granted(slot)) => return Some(slot),
            _ => note_use(node, &peer, want, Use::Full),
        }
    }
    None
}

enum Reply {
    Granted(Slot),
    Busy(Duration),
    Gone,
}

async fn ask(node: &Arc<Node>, peer: &id::Entry, want: &Want, wait: bool) -> Reply {
    let Some(link) = node.peers.read().link(peer) else { return Reply::Gone };
    let Ok(mut channel) = link.open().await else { return Reply::Gone };
    let question = Frame::Ask(frame::Ask {
        entry: node.entry_id.clone(),
        service: want.service.clone(),
        class: want.class,
        left_ms: want.deadline.since(node.clock.now()).as_millis() as u64,
        wait,
        avoid: want.avoid.clone(),
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
        // The owner has lost this link and may already have counted the slot as free.
        release(node, peer, grant.grant);
        return Reply::Gone;
    }
    node.count(Counter::SlotsBorrowed);
    note_use(node, peer, want, Use::Borrowed);
    Reply::Granted(Slot {
        node: node.clone(),
        minion: grant.minion,
        address: grant.address,
        started: node.clock.now(),
        lender: Some(Lender { entry: peer.clone(), service: want.service.clone(), channel }),
        grant: Grant(grant.grant),
        over: false,
    })
}
