//! The configuration in force on this entry, and when it was last confirmed to be the newest one.
//!
//! It comes from the store's feed.  An entry that cannot reach the store, while other entries and
//! operators can, asks a peer.  Otherwise it would accept keys that have been withdrawn for as long
//! as that lasts.  A configuration is only ever replaced by one with a higher version, whatever its
//! source.

use crate::clock;
use crate::node::Node;
use celerythread_adapter::configuration::Configuration;
use celerythread_engine::time::Time;
use celerythread_sync::Wake;
use celerythread_wire::job::{Answer, Question};
use parking_lot::{Mutex, RwLock};
use rand::seq::IteratorRandom;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Time that the answer of the configuration's feed may take beyond its longest wait before a peer
/// is asked.
const FEED_ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// Shortest interval between two queries to peers.  It doubles after each query that brings
/// nothing, up to [`MAX_PEER_QUERY_INTERVAL`].
const PEER_QUERY_INTERVAL: Duration = Duration::from_millis(400);
/// Longest interval between two queries to peers.
const MAX_PEER_QUERY_INTERVAL: Duration = Duration::from_millis(1600);

/// Age of the last confirmation from which on a call with a key waits for a new one, as after a
/// network cut or a suspended process.
const MAX_TRUSTED_AGE: Duration = Duration::from_millis(3000);

/// Longest wait of a call for a new confirmation.
const REFRESH_TIMEOUT: Duration = Duration::from_millis(250);

/// Interval between two polls of a call that waits.
const REFRESH_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The newest configuration known here.
#[derive(Clone)]
struct Current {
    configuration: Arc<Configuration>,
    /// Its encoded form as operators wrote it, for peers that lack it.
    body: Arc<[u8]>,
}

/// The configuration in force on this entry, none at first.
#[derive(Default)]
pub(crate) struct ConfigurationInForce {
    current: RwLock<Option<Current>>,
    /// When it was last confirmed to be the newest one.
    confirmed_at: Mutex<Time>,
    /// When a call last timed out waiting for a confirmation.
    refresh_timed_out_at: Mutex<Time>,
    /// Woken to query a peer at once.
    query_wake: Wake,
}

impl ConfigurationInForce {
    /// The configuration; none before the first one is read.
    pub(crate) fn get(&self) -> Option<Arc<Configuration>> {
        self.current.read().as_ref().map(|current| current.configuration.clone())
    }

    fn version(&self) -> u64 {
        self.current.read().as_ref().map_or(0, |current| current.configuration.version)
    }

    /// The body, if its version is higher than `version`.
    fn body_newer_than(&self, version: u64) -> Option<Arc<[u8]>> {
        let current = self.current.read();
        let newer = current.as_ref().filter(|current| current.configuration.version > version);
        newer.map(|current| current.body.clone())
    }

    /// Replaces the configuration; false if the given one is not newer.
    fn replace(&self, configuration: Arc<Configuration>, body: &[u8]) -> bool {
        let mut current = self.current.write();
        let known = current.as_ref().map(|current| current.configuration.version);
        if known.is_some_and(|known| known >= configuration.version) {
            return false;
        }
        *current = Some(Current { configuration, body: body.into() });
        true
    }

    /// Records that it was the newest one at a moment.
    pub(crate) fn confirm(&self, at: Time) {
        let mut confirmed_at = self.confirmed_at.lock();
        *confirmed_at = at.max(*confirmed_at);
    }

    /// Time since it was last confirmed to be the newest one.
    pub(crate) fn age(&self) -> Duration {
        clock::now().since(*self.confirmed_at.lock())
    }

    /// Waits for a new confirmation if the last one is older than [`MAX_TRUSTED_AGE`].  After a
    /// wait without a confirmation, calls do not wait for that long, so that they are not all
    /// delayed while neither the store nor a peer answers.
    pub(crate) async fn refresh(&self) {
        let began = clock::now();
        if self.age() <= MAX_TRUSTED_AGE
            || began.since(*self.refresh_timed_out_at.lock()) < MAX_TRUSTED_AGE
        {
            return;
        }
        self.query_wake.wake();
        while self.age() > MAX_TRUSTED_AGE {
            if clock::now().since(began) >= REFRESH_TIMEOUT {
                *self.refresh_timed_out_at.lock() = clock::now();
                return;
            }
            async_std::task::sleep(REFRESH_POLL_INTERVAL).await;
        }
    }
}

/// Puts an encoded configuration in force if it is newer than the present one.
pub(crate) fn apply(node: &Node, body: &[u8], source: &dyn std::fmt::Display) {
    let read = match Configuration::decode(body) {
        Ok(read) => Arc::new(read),
        Err(error) => {
            node.journal.warn("configuration_unreadable", &[("reason", &error)]);
            return;
        }
    };
    if !node.in_force.replace(read.clone(), body) {
        return;
    }
    let (version, queues) = (read.version, read.queues.len());
    node.journal.info(
        "configuration_in_force",
        &[
            ("version", &version),
            ("queues", &queues),
            ("workspaces", &read.workspaces.len()),
            ("source", source),
        ],
    );
    for name in &read.unreadable {
        node.journal
            .warn("configuration_part_unreadable", &[("version", &version), ("part", name)]);
    }
    for owner in node.owners.read().values() {
        owner.configure(&read);
    }
}

/// The answer to a peer that has configuration `version`.
pub(crate) fn answer_peer(node: &Node, version: u64) -> Answer {
    let age_ms = u32::try_from(node.in_force.age().as_millis()).unwrap_or(u32::MAX);
    let body = node.in_force.body_newer_than(version).map(|body| body.to_vec());
    Answer::Configuration { version: node.in_force.version(), age_ms, body }
}

/// Queries peers while the store has not confirmed the configuration although its feed should have
/// answered, or may be unavailable, until the node stops.
pub(crate) async fn query_peers_forever(node: Arc<Node>) {
    let max_age = node.settings.operator_feed_wait() + FEED_ANSWER_TIMEOUT;
    let mut peer = None;
    let mut interval = PEER_QUERY_INTERVAL;
    loop {
        use stop_token::future::FutureExt;
        if node.in_force.query_wake.wait(interval).timeout_at(node.stop.clone()).await.is_err() {
            return;
        }
        if node.in_force.age() < max_age && !node.is_outage_suspected() {
            (peer, interval) = (None, PEER_QUERY_INTERVAL);
            continue;
        }
        let Some(asked) = peer.take().or_else(|| choose_peer(&node)) else { continue };
        if query_peer(&node, asked).await {
            (peer, interval) = (Some(asked), PEER_QUERY_INTERVAL);
        } else {
            interval = (interval * 2).min(MAX_PEER_QUERY_INTERVAL);
        }
    }
}

/// Queries one peer; true if its version is at least this entry's and was confirmed more recently.
async fn query_peer(node: &Node, peer: SocketAddr) -> bool {
    let (version, age, asked) = (node.in_force.version(), node.in_force.age(), clock::now());
    let answer = node.peers.ask(peer, Question::Configuration { version }).await;
    let Ok(Answer::Configuration { version: theirs, age_ms, body }) = answer else { return false };
    if let Some(body) = body {
        apply(node, &body, &peer);
    }
    let their_age = Duration::from_millis(age_ms.into());
    if theirs < version || their_age >= age {
        return false;
    }
    node.in_force.confirm(asked - their_age);
    true
}

/// Chooses a random member to query, preferably one with an open connection.
fn choose_peer(node: &Node) -> Option<SocketAddr> {
    let members = node.member_addresses();
    let awake = || members.iter().copied().filter(|peer| !node.peers.is_backing_off(*peer));
    let linked = awake().filter(|peer| node.peers.is_linked(*peer)).choose(&mut rand::rng());
    linked.or_else(|| awake().choose(&mut rand::rng()))
}
