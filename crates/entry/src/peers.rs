//! The other entries: links, beats, and the exchanges they open.

use crate::metrics::Counter;
use crate::node::Node;
use crate::router;
use celerythread_model::code::Code;
use celerythread_model::event::Kind;
use celerythread_model::id;
use celerythread_model::unit::Revision;
use celerythread_policy::slots::{Grant, Verdict};
use celerythread_policy::time::Moment;
use celerythread_wire::frame::{Beat, Frame, Load};
use celerythread_wire::{Channel, Endpoint, Error, Link};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use stop_token::future::FutureExt;

/// A peer that was not heard for so long, or for so many beats, gets no requests for slots.
const FRESH: Duration = Duration::from_secs(3);
const FRESH_BEATS: u32 = 3;

/// Longest wait for a dial, a beat or rows.
const EXCHANGE_LIMIT: Duration = Duration::from_secs(2);

/// A grant whose exchange broke is settled by a beat that comes at least so long after, so that
/// one still on its way is either listed by then or was refused by the asker.
const SETTLE_AFTER: Duration = Duration::from_secs(2);

/// What is known of a peer.
#[derive(Default)]
pub(crate) struct Peer {
    link: Option<Link>,
    /// Its last beat.
    pub(crate) beat: Option<Beat>,
    /// When it was last heard.
    pub(crate) heard: Moment,
    /// Grants lent to it whose exchange broke before it said `Finish`, and when.
    broken: Vec<(Grant, Moment)>,
    /// Work on each of its minions, the highest of the last two beats.
    load: HashMap<id::Minion, u32>,
    zone: Option<id::Zone>,
}

/// All peers.
pub(crate) struct Peers {
    all: BTreeMap<id::Entry, Peer>,
    fresh: Duration,
}

impl Peers {
    /// No peers yet; `beat` is the longest time between two beats.
    pub(crate) fn new(beat: Duration) -> Self {
        Self { all: BTreeMap::new(), fresh: FRESH.max(beat * FRESH_BEATS) }
    }

    /// The peer's link, if it has one.
    pub(crate) fn link(&self, entry: &id::Entry) -> Option<Link> {
        self.all.get(entry)?.link.clone().filter(|link| !link.is_closed())
    }

    /// What is known of a peer.
    pub(crate) fn get(&self, entry: &id::Entry) -> Option<&Peer> {
        self.all.get(entry)
    }

    /// All peers heard of.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&id::Entry, &Peer)> {
        self.all.iter()
    }

    fn fresh(&self, now: Moment) -> impl Iterator<Item = (&id::Entry, &Peer, &Beat)> {
        self.all.iter().filter_map(move |(entry, peer)| {
            let beat = peer.beat.as_ref()?;
            let usable = now.since(peer.heard) < self.fresh && !beat.stopping;
            usable.then_some((entry, peer, beat))
        })
    }

    /// Peers that showed free slots of a service, those of the own zone first, then most free.
    pub(crate) fn with_room(
        &self,
        service: &id::Service,
        zone: &id::Zone,
        now: Moment,
    ) -> Vec<id::Entry> {
        let mut found: Vec<(bool, u32, &id::Entry)> = self
            .fresh(now)
            .filter_map(|(entry, peer, beat)| {
                let room = beat.room.iter().find(|room| room.service == *service)?;
                let far = peer.zone.as_ref() != Some(zone);
                (room.free > 0).then_some((far, room.free, entry))
            })
            .collect();
        found.sort_by_key(|(far, free, _)| (*far, u32::MAX - free));
        found.into_iter().map(|(_, _, entry)| entry.clone()).collect()
    }

    /// The peer with the shortest queue for its slots of a service, and how long that is: the
    /// requests that wait, with one more, for each slot.
    pub(crate) fn shortest(&self, service: &id::Service, now: Moment) -> Option<(f64, id::Entry)> {
        let with_slots = self.fresh(now).filter_map(|(entry, _, beat)| {
            let room = beat.room.iter().find(|room| room.service == *service)?;
            (room.slots > 0).then(|| (queue_length(room.waiting, room.slots), entry))
        });
        let best = with_slots.min_by(|a, b| a.0.total_cmp(&b.0));
        best.map(|(length, entry)| (length, entry.clone()))
    }

    /// Keeps up with what this entry itself has asked of a peer since its last beat: beats come
    /// once a second, and without this a peer that could lend hundreds of slots in that time
    /// would be asked for no more than the few that it showed.
    pub(crate) fn note_use(&mut self, entry: &id::Entry, service: &id::Service, change: Use) {
        let Some(beat) = self.all.get_mut(entry).and_then(|peer| peer.beat.as_mut()) else {
            return;
        };
        let Some(room) = beat.room.iter_mut().find(|room| room.service == *service) else {
            return;
        };
        match change {
            Use::Waits => room.waiting += 1,
            Use::WaitsNoMore => room.waiting = room.waiting.saturating_sub(1),
            Use::Borrowed => room.free = room.free.saturating_sub(1),
            Use::Returned => room.free = (room.free + 1).min(room.slots),
            // Do not ask again before its next beat, or before something was returned to it.
            Use::Full => room.free = 0,
        }
    }

    /// A peer does not hand out the service any more: do not ask again before its next beat.
    pub(crate) fn note_none(&mut self, entry: &id::Entry, service: &id::Service) {
        if let Some(beat) = self.all.get_mut(entry).and_then(|peer| peer.beat.as_mut()) {
            beat.room.retain(|room| room.service != *service);
        }
    }

    /// What a peer's minion had outstanding when the peer was last heard.
    pub(crate) fn last_load(&self, entry: &id::Entry, minion: &id::Minion) -> u32 {
        let peer = self.all.get(entry);
        peer.and_then(|peer| peer.load.get(minion)).copied().unwrap_or(0)
    }

    fn take_beat(&mut self, beat: Beat, link: Option<&Link>, now: Moment) -> Heard {
        let peer = self.all.entry(beat.entry.clone()).or_default();
        let anew = peer.beat.is_none() || now.since(peer.heard) >= self.fresh;
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
        peer.heard = now;
        peer.beat = Some(beat);
        if let Some(link) = link {
            peer.link = Some(link.clone());
        }
        let held = peer.beat.as_ref().map(|beat| beat.holding.as_slice()).unwrap_or_default();
        let is_over = |(grant, since): &(Grant, Moment)| {
            now.since(*since) >= SETTLE_AFTER && !held.contains(&grant.0)
        };
        let (over, broken) = peer.broken.drain(..).partition(is_over);
        peer.broken = broken;
        Heard { anew, over }
    }

    /// The exchange of a grant lent to a peer broke: whether it still uses the slot shows in its
    /// beats.  That the link is lost is only one of the causes; an asker that gave up waiting
    /// just when it was granted the slot is another.
    pub(crate) fn note_broken(&mut self, entry: &id::Entry, grant: Grant, now: Moment) {
        if let Some(peer) = self.all.get_mut(entry) {
            peer.broken.push((grant, now));
        }
    }

    fn lose_link(&mut self, entry: &id::Entry) {
        if let Some(peer) = self.all.get_mut(entry) {
            peer.link = None;
        }
    }
}

/// What this entry does with a peer's slots.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Use {
    /// A request waits in its queue.
    Waits,
    /// It does not wait any more.
    WaitsNoMore,
    /// A slot was borrowed.
    Borrowed,
    /// It was given back.
    Returned,
    /// It had none free after all.
    Full,
}

/// The requests that would wait for each slot, with one more.
pub(crate) fn queue_length(waiting: u32, slots: u32) -> f64 {
    f64::from(waiting + 1) / f64::from(slots.max(1))
}

/// What follows from a beat.
struct Heard {
    anew: bool,
    /// Grants that the peer does not use any more.
    over: Vec<(Grant, Moment)>,
}

/// This entry's own beat, for one peer.
pub(crate) fn beat(node: &Node, to: &id::Entry) -> Beat {
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

fn hear(node: &Node, beat: Beat, link: Option<&Link>) {
    node.count(Counter::Beats);
    node.timeline.witness(beat.clock);
    let now = node.clock.now();
    let entry = beat.entry.clone();
    let heard = node.peers.write().take_beat(beat, link, now);
    for (grant, since) in heard.over {
        router::finish_own(node, grant, Verdict::Unused, now.since(since));
    }
    if heard.anew {
        node.record_event(Kind::Peer { peer: entry, reachable: true });
    }
}

/// Keeps beating to every registered peer.  The lower id dials, so each pair has one link.
pub(crate) async fn beat_forever(node: Arc<Node>, endpoint: Arc<Endpoint>) {
    let mut last: HashMap<id::Entry, Moment> = HashMap::new();
    // Half a beat: what is due in between is sent with the next look.
    let tick = node.settings.heartbeat_interval.0 / 2;
    while node.sleep_unless_stopped(tick).await {
        let now = node.clock.now();
        let registered = note_zones(&node);
        settle_unregistered(&node, now);
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
        note_silent(&node, now);
    }
}

/// The registered peers, with their zones noted.
fn note_zones(node: &Node) -> Vec<(id::Entry, SocketAddr, id::Zone)> {
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

/// Takes back the slots lent to entries that have left the registry: they are gone for certain,
/// and nobody else could say that they no longer use them.
fn settle_unregistered(node: &Node, now: Moment) {
    let view = node.view.read();
    let mut router = node.router.lock();
    let gone: Vec<id::Entry> = router
        .ledger
        .borrowers()
        .into_iter()
        .filter(|entry| !view.entries().contains_key(entry))
        .collect();
    for entry in &gone {
        router.ledger.settle(entry, |_| false);
    }
    if !gone.is_empty() {
        router.tick(now);
    }
}

/// Notes peers that have just become silent.
fn note_silent(node: &Node, now: Moment) {
    let mut silent = Vec::new();
    {
        let mut peers = node.peers.write();
        let fresh = peers.fresh;
        for (entry, peer) in &mut peers.all {
            if peer.beat.is_some() && now.since(peer.heard) >= fresh {
                // Its figures are worth nothing any more.
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
        EXCHANGE_LIMIT,
        exchange_beats(&node, &endpoint, &entry, address),
    );
    if !matches!(done.await, Ok(Ok(()))) {
        // A silent link is given up and dialled anew from another socket with the next beat.
        let link = node.peers.read().link(&entry);
        if let Some(link) = link {
            link.close();
            node.count(Counter::LinksLost);
        }
        node.peers.write().lose_link(&entry);
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
    channel.send(&Frame::Beat(beat(node, entry))).await?;
    channel.finish();
    if let Frame::Beat(beat) = channel.receive().await? {
        hear(node, beat, Some(&link));
    }
    Ok(())
}

/// Takes the links that peers dial.
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
    // Also when the process stops: a link that stays open would look like a living peer.
    link.close();
}

async fn serve_exchange(node: Arc<Node>, link: Link, mut channel: Channel) {
    let first = async_std::future::timeout(EXCHANGE_LIMIT, channel.receive()).await;
    let reply = match first {
        Ok(Ok(Frame::Beat(theirs))) => {
            let to = theirs.entry.clone();
            hear(&node, theirs, Some(&link));
            Frame::Beat(beat(&node, &to))
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

/// Asks the peer that knows most for the rows we lack.  Tells whether it had any.
pub(crate) async fn relay(node: &Arc<Node>) -> bool {
    let since = node.view.read().upto();
    let Some((link, _)) = best_informed(node, since) else { return false };
    let fetched = async_std::future::timeout(EXCHANGE_LIMIT, fetch_rows(&link, since)).await;
    let Ok(Ok((rows, upto))) = fetched else { return false };
    node.metrics.add(Counter::RelayedRows, rows.len() as u64);
    crate::follow::apply_rows(node, &rows, upto);
    true
}

fn best_informed(node: &Node, since: Revision) -> Option<(Link, Revision)> {
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
