//! The other entries: links to them, heartbeats, and the exchanges that they open.

use crate::metrics::Counter;
use crate::node::Node;
use crate::router;
use celerythread_model::code::Code;
use celerythread_model::event::Kind;
use celerythread_model::id;
use celerythread_model::unit::Revision;
use celerythread_policy::slots::{DispatchResult, Grant};
use celerythread_policy::time::Moment;
use celerythread_wire::frame::{Beat, Frame, Load};
use celerythread_wire::{Channel, Endpoint, Error, Link};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use stop_token::future::FutureExt;

/// A peer silent for this long and for `PEER_TIMEOUT_BEATS` heartbeats counts as unreachable: it
/// isn't asked for slots.
const MIN_PEER_TIMEOUT: Duration = Duration::from_secs(3);
const PEER_TIMEOUT_BEATS: u32 = 3;

/// Longest time for an exchange of heartbeats, including the dial, and for one of rows.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(2);

/// A grant whose exchange broke counts as unused once a heartbeat at least this much later
/// doesn't list it.  By then a grant in transit has reached the borrower, which lists it, or was
/// rejected by it.
const SETTLE_DELAY: Duration = Duration::from_secs(2);

/// What is known of a peer.
#[derive(Default)]
pub(crate) struct Peer {
    link: Option<Link>,
    /// Its last heartbeat; none once it is silent for too long.
    pub(crate) beat: Option<Beat>,
    /// When its last heartbeat arrived.
    pub(crate) last_heard: Moment,
    /// Grants lent to it whose exchange broke before its `Finish` frame, and when it broke.
    broken_grants: Vec<(Grant, Moment)>,
    /// Outstanding requests on each of its minions, the higher figure of the last two heartbeats.
    load: HashMap<id::Minion, u32>,
    zone: Option<id::Zone>,
}

/// All peers.
pub(crate) struct Peers {
    all: BTreeMap<id::Entry, Peer>,
    timeout: Duration,
}

impl Peers {
    /// No peers yet; `beat` is the longest interval between heartbeats.
    pub(crate) fn new(beat: Duration) -> Self {
        Self { all: BTreeMap::new(), timeout: MIN_PEER_TIMEOUT.max(beat * PEER_TIMEOUT_BEATS) }
    }

    /// The peer's link, if it has one.
    pub(crate) fn link(&self, entry: &id::Entry) -> Option<Link> {
        self.all.get(entry)?.link.clone().filter(|link| !link.is_closed())
    }

    /// What is known of a peer.
    pub(crate) fn get(&self, entry: &id::Entry) -> Option<&Peer> {
        self.all.get(entry)
    }

    /// All known peers.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&id::Entry, &Peer)> {
        self.all.iter()
    }

    fn reachable(&self, now: Moment) -> impl Iterator<Item = (&id::Entry, &Peer, &Beat)> {
        self.all.iter().filter_map(move |(entry, peer)| {
            let beat = peer.beat.as_ref()?;
            let usable = now.since(peer.last_heard) < self.timeout && !beat.stopping;
            usable.then_some((entry, peer, beat))
        })
    }

    /// Peers whose last heartbeat showed free slots of a service: those of the own zone first, and
    /// then by the number of free slots, descending.
    pub(crate) fn with_free_slots(
        &self,
        service: &id::Service,
        zone: &id::Zone,
        now: Moment,
    ) -> Vec<id::Entry> {
        let mut found: Vec<(bool, u32, &id::Entry)> = self
            .reachable(now)
            .filter_map(|(entry, peer, beat)| {
                let room = beat.room.iter().find(|room| room.service == *service)?;
                let other_zone = peer.zone.as_ref() != Some(zone);
                (room.free > 0).then_some((other_zone, room.free, entry))
            })
            .collect();
        found.sort_by_key(|(other_zone, free, _)| (*other_zone, u32::MAX - free));
        found.into_iter().map(|(_, _, entry)| entry.clone()).collect()
    }

    /// The peer with the shortest queue per slot of a service, and that queue's length by
    /// `waiting_per_slot`.
    pub(crate) fn shortest_queue(
        &self,
        service: &id::Service,
        now: Moment,
    ) -> Option<(f64, id::Entry)> {
        let with_slots = self.reachable(now).filter_map(|(entry, _, beat)| {
            let room = beat.room.iter().find(|room| room.service == *service)?;
            (room.slots > 0).then(|| (waiting_per_slot(room.waiting, room.slots), entry))
        });
        let best = with_slots.min_by(|a, b| a.0.total_cmp(&b.0));
        best.map(|(length, entry)| (length, entry.clone()))
    }

    /// Updates a peer's figures with this entry's own use of its slots since the last heartbeat.
    /// Heartbeats come once a second; without this a peer that could lend hundreds of slots in that
    /// time would be asked for no more than the few that it showed.
    pub(crate) fn record_use(&mut self, entry: &id::Entry, service: &id::Service, change: SlotUse) {
        let Some(beat) = self.all.get_mut(entry).and_then(|peer| peer.beat.as_mut()) else {
            return;
        };
        let Some(room) = beat.room.iter_mut().find(|room| room.service == *service) else {
            return;
        };
        match change {
            SlotUse::Queued => room.waiting += 1,
            SlotUse::Dequeued => room.waiting = room.waiting.saturating_sub(1),
            SlotUse::Borrowed => room.free = room.free.saturating_sub(1),
            SlotUse::Returned => room.free = (room.free + 1).min(room.slots),
            // Not asked again before its next heartbeat, or before a slot was returned to it.
            SlotUse::Full => room.free = 0,
        }
    }

    /// Records that a peer no longer has slots of the service, so that it isn't asked again before
    /// its next heartbeat.
    pub(crate) fn record_no_slots(&mut self, entry: &id::Entry, service: &id::Service) {
        if let Some(beat) = self.all.get_mut(entry).and_then(|peer| peer.beat.as_mut()) {
            beat.room.retain(|room| room.service != *service);
        }
    }

    /// The requests outstanding on a peer's minion by the peer's last heartbeats.
    pub(crate) fn last_load(&self, entry: &id::Entry, minion: &id::Minion) -> u32 {
        let peer = self.all.get(entry);
        peer.and_then(|peer| peer.load.get(minion)).copied().unwrap_or(0)
    }

    fn apply_beat(&mut self, beat: Beat, link: Option<&Link>, now: Moment) -> BeatEffects {
        let peer = self.all.entry(beat.entry.clone()).or_default();
        let reappeared = peer.beat.is_none() || now.since(peer.last_heard) >= self.timeout;
        let earlier: HashMap<id::Minion, u32> = peer
            .beat
            .iter()
            .flat_map(|b| &b.load)
            .map(|l| (l.minion.clone(), l.outstanding))
            .collect();
        peer.load = beat
            .load
            .iter()
            .map(|load| {
                let before = earlier.get(&load.minion).copied().unwrap_or(0);
                (load.minion.clone(), load.outstanding.max(before))
            })
            .collect();
        peer.last_heard = now;
        peer.beat = Some(beat);
        if let Some(link) = link {
            peer.link = Some(link.clone());
        }
        let held = peer.beat.as_ref().map(|beat| beat.holding.as_slice()).unwrap_or_default();
        let is_unused = |(grant, since): &(Grant, Moment)| {
            now.since(*since) >= SETTLE_DELAY && !held.contains(&grant.0)
        };
        let (unused, broken_grants) = peer.broken_grants.drain(..).partition(is_unused);
        peer.broken_grants = broken_grants;
        BeatEffects { reappeared, unused }
    }

    /// Records that the exchange of a grant lent to a peer broke; the peer's heartbeats show
    /// whether it still uses the slot.  Causes are a lost link, and a borrower that stopped waiting
    /// just when the slot was granted.
    pub(crate) fn record_broken_grant(&mut self, entry: &id::Entry, grant: Grant, now: Moment) {
        if let Some(peer) = self.all.get_mut(entry) {
            peer.broken_grants.push((grant, now));
        }
    }

    fn remove_link(&mut self, entry: &id::Entry) {
        if let Some(peer) = self.all.get_mut(entry) {
            peer.link = None;
        }
    }
}

/// A change in this entry's use of a peer's slots.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum SlotUse {
    /// A request joined the peer's queue.
    Queued,
    /// A request left the peer's queue.
    Dequeued,
    /// A slot was borrowed.
    Borrowed,
    /// A borrowed slot was returned.
    Returned,
    /// The peer had no free slot.
    Full,
}

/// The length of a queue relative to its slots, with one more request in it.
pub(crate) fn waiting_per_slot(waiting: u32, slots: u32) -> f64 {
    f64::from(waiting + 1) / f64::from(slots.max(1))
}

/// The effects of a heartbeat.
struct BeatEffects {
    /// Whether the peer was unknown or silent before.
    reappeared: bool,
    /// Broken grants that the peer no longer uses, and when their exchange broke.
    unused: Vec<(Grant, Moment)>,
}

/// This entry's own heartbeat, for one peer.
pub(crate) fn own_beat(node: &Node, to: &id::Entry) -> Beat {
    let now = node.clock.now();
    let (config, view) = {
        let view = node.view.read();
        (view.config_number(), view.upto())
    };
    let (room, load, ejected) = {
        let router = node.router.lock();
        let load = router
            .ledger
            .owned()
            .map(|minion| Load {
                minion: minion.clone(),
                outstanding: router.ledger.outstanding(minion),
            })
            .filter(|load| load.outstanding > 0)
            .collect();
        (router.rooms(now), load, router.ledger.ejected(now))
    };
    let holding = node
        .grants_in_use
        .lock()
        .get(to)
        .map(|held| held.iter().copied().collect())
        .unwrap_or_default();
    Beat {
        entry: node.entry_id.clone(),
        clock: node.timeline.clock(),
        config,
        view,
        stopping: node.is_stopping(),
        room,
        holding,
        load,
        ejected,
    }
}

fn process_beat(node: &Node, beat: Beat, link: Option<&Link>) {
    node.count(Counter::Beats);
    node.timeline.witness(beat.clock);
    let now = node.clock.now();
    let entry = beat.entry.clone();
    let effects = node.peers.write().apply_beat(beat, link, now);
    for (grant, since) in effects.unused {
        router::finish_grant(node, grant, DispatchResult::Unused, now.since(since));
    }
    if effects.reappeared {
        node.record_event(Kind::Peer { peer: entry, reachable: true });
    }
}

/// Exchanges heartbeats with all registered peers until the process stops.  The entry with the
/// lower id dials, so that each pair has one link.
pub(crate) async fn beat_forever(node: Arc<Node>, endpoint: Arc<Endpoint>) {
    let mut last: HashMap<id::Entry, Moment> = HashMap::new();
    // Twice per interval: a heartbeat that becomes due in between is sent at the next tick.
    let tick = node.settings.heartbeat_interval.0 / 2;
    while node.sleep_unless_stopped(tick).await {
        let now = node.clock.now();
        let registered = update_zones(&node);
        reclaim_from_unregistered(&node, now);
        last.retain(|entry, _| registered.iter().any(|(known, _, _)| known == entry));
        for (entry, address, zone) in registered {
            let interval = if zone == node.settings.zone {
                node.settings.heartbeat_interval
            } else {
                node.settings.remote_heartbeat_interval
            };
            let due = last.get(&entry).is_none_or(|at| now.since(*at) + tick / 2 >= interval.0);
            if entry > node.entry_id && due {
                last.insert(entry.clone(), now);
                async_std::task::spawn(beat_once(node.clone(), endpoint.clone(), entry, address));
            }
        }
        expire_silent(&node, now);
    }
}

/// Updates the peers' zones and removes peers that aren't registered; returns the registered ones.
fn update_zones(node: &Node) -> Vec<(id::Entry, SocketAddr, id::Zone)> {
    let view = node.view.read();
    let mut peers = node.peers.write();
    let entries = view.entries();
    peers.all.retain(|entry, _| entries.contains_key(entry));
    let others = entries.values().filter(|row| row.entry != node.entry_id);
    others
        .map(|row| {
            peers.all.entry(row.entry.clone()).or_default().zone = Some(row.zone.clone());
            (row.entry.clone(), row.peer_address, row.zone.clone())
        })
        .collect()
}

/// Reclaims the slots lent to entries that are no longer registered.  Such an entry has ended for
/// certain, and nothing else would report that it no longer uses them.
fn reclaim_from_unregistered(node: &Node, now: Moment) {
    let view = node.view.read();
    let mut router = node.router.lock();
    let gone: Vec<id::Entry> = router
        .ledger
        .borrowers()
        .into_iter()
        .filter(|entry| !view.entries().contains_key(entry))
        .collect();
    for entry in &gone {
        router.ledger.reconcile_peer_grants(entry, |_| false);
    }
    if !gone.is_empty() {
        router.tick(now);
    }
}

/// Drops the figures of peers that have become silent, and records an event for each.
fn expire_silent(node: &Node, now: Moment) {
    let mut silent = Vec::new();
    {
        let mut peers = node.peers.write();
        let timeout = peers.timeout;
        for (entry, peer) in &mut peers.all {
            if peer.beat.is_some() && now.since(peer.last_heard) >= timeout {
                // Its figures are out of date.
                peer.beat = None;
                silent.push(entry.clone());
            }
        }
    }
    for peer in silent {
        node.record_event(Kind::Peer { peer, reachable: false });
    }
}

async fn beat_once(
    node: Arc<Node>,
    endpoint: Arc<Endpoint>,
    entry: id::Entry,
    address: SocketAddr,
) {
    let done = async_std::future::timeout(
        EXCHANGE_TIMEOUT,
        exchange_beats(&node, &endpoint, &entry, address),
    );
    if !matches!(done.await, Ok(Ok(()))) {
        // Closes a link that doesn't answer; the next heartbeat dials from another socket.
        let link = node.peers.read().link(&entry);
        if let Some(link) = link {
            link.close();
            node.count(Counter::LinksLost);
        }
        node.peers.write().remove_link(&entry);
    }
}

async fn exchange_beats(
    node: &Arc<Node>,
    endpoint: &Endpoint,
    entry: &id::Entry,
    address: SocketAddr,
) -> Result<(), Error> {
    let known = node.peers.read().link(entry);
    let link = match known {
        Some(link) => link,
        None => {
            let link = endpoint.dial(address).await?;
            async_std::task::spawn(serve_link(node.clone(), link.clone()));
            link
        }
    };
    let mut channel = link.open().await?;
    channel.send(&Frame::Beat(own_beat(node, entry))).await?;
    channel.finish();
    if let Frame::Beat(beat) = channel.receive().await? {
        process_beat(node, beat, Some(&link));
    }
    Ok(())
}

/// Accepts the links that peers dial, until the process stops.
pub(crate) async fn accept_forever(node: Arc<Node>, endpoint: Arc<Endpoint>) {
    while let Ok(Some(accepted)) = endpoint.accept().timeout_at(node.stop.clone()).await {
        if let Ok(link) = accepted {
            async_std::task::spawn(serve_link(node.clone(), link));
        }
    }
    endpoint.close();
}

/// Answers the exchanges that a peer opens on a link.
async fn serve_link(node: Arc<Node>, link: Link) {
    while let Ok(Ok(channel)) = link.accept().timeout_at(node.stop.clone()).await {
        async_std::task::spawn(serve_exchange(node.clone(), link.clone(), channel));
    }
    // Also when the process stops: to the peer, an open link would look like a running entry.
    link.close();
}

async fn serve_exchange(node: Arc<Node>, link: Link, mut channel: Channel) {
    let first = async_std::future::timeout(EXCHANGE_TIMEOUT, channel.receive()).await;
    let reply = match first {
        Ok(Ok(Frame::Beat(theirs))) => {
            let to = theirs.entry.clone();
            process_beat(&node, theirs, Some(&link));
            Frame::Beat(own_beat(&node, &to))
        }
        Ok(Ok(Frame::Rows { since })) => {
            let view = node.view.read();
            Frame::RowsReply { rows: view.rows_since(since), upto: view.upto() }
        }
        Ok(Ok(Frame::Ask(ask))) => return router::lend(&node, ask, channel).await,
        Ok(Ok(_)) => refusal(Code::WireMalformed, "this does not begin an exchange"),
        Ok(Err(error)) => refusal(error.code(), &error.to_string()),
        Err(_) => return,
    };
    if channel.send(&reply).await.is_ok() {
        channel.finish();
    }
}

fn refusal(code: Code, text: &str) -> Frame {
    Frame::Refusal { code, text: text.into() }
}

/// Fetches the rows that this entry lacks from the peer with the newest view.  Returns whether a
/// peer answered with rows.
pub(crate) async fn fetch_missing_rows(node: &Arc<Node>) -> bool {
    let since = node.view.read().upto();
    let Some((link, _)) = most_advanced_peer(node, since) else { return false };
    let fetched = async_std::future::timeout(EXCHANGE_TIMEOUT, fetch_rows(&link, since)).await;
    let Ok(Ok((rows, upto))) = fetched else { return false };
    node.metrics.add(Counter::RelayedRows, rows.len() as u64);
    crate::follow::apply_rows(node, &rows, upto);
    true
}

fn most_advanced_peer(node: &Node, since: Revision) -> Option<(Link, Revision)> {
    let peers = node.peers.read();
    let ahead = peers.all.iter().filter_map(|(entry, peer)| {
        let upto = peer.beat.as_ref()?.view;
        (upto > since).then_some(())?;
        Some((peers.link(entry)?, upto))
    });
    ahead.max_by_key(|(_, upto)| *upto)
}

async fn fetch_rows(
    link: &Link,
    since: Revision,
) -> Result<(Vec<celerythread_model::table::Row>, Revision), Error> {
    let mut channel = link.open().await?;
    channel.send(&Frame::Rows { since }).await?;
    channel.finish();
    match channel.receive().await? {
        Frame::RowsReply { rows, upto } => Ok((rows, upto)),
        _ => Err(Error::Malformed { reason: "not the rows asked for".into() }),
    }
}
