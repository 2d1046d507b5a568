//! The configuration in force here, and since when it is known to be the newest one.
//!
//! It comes from the store's feed.  An entry that the store doesn't serve, while it serves others and operators,
//! asks a peer: keys that were withdrawn meanwhile would be let in here for as long as that lasts.  Whichever way
//! it came, a configuration only ever gives way to one with a higher version.

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

/// Age from which on a peer is asked: the feed's longest wait, and the time that its answer may take.
const ASK_AFTER: Duration = Duration::from_millis(1500);

/// Time between two questions to peers, at the least and while they know nothing newer.
const ASK_INTERVAL: Duration = Duration::from_millis(400);
/// See [`ASK_INTERVAL`].
const ASK_INTERVAL_MOST: Duration = Duration::from_millis(1600);

/// Age from which on a call with a key waits for a new look, as after a cut or a freeze.
const TRUST: Duration = Duration::from_millis(3000);

/// Longest wait of a call for that look.
const LOOK_LIMIT: Duration = Duration::from_millis(250);

/// Time between two polls of a call that waits.
const LOOK_POLL: Duration = Duration::from_millis(10);

/// The newest configuration known here.
#[derive(Clone)]
struct Current {
    configuration: Arc<Configuration>,
    /// As it was written, for peers that lack it.
    body: Arc<[u8]>,
}

/// The configuration in force here.
#[derive(Default)]
pub(crate) struct InForce {
    current: RwLock<Option<Current>>,
    /// When it was last certain to be the newest one.
    confirmed: Mutex<Time>,
    /// When a call last waited for a new look.
    looked: Mutex<Time>,
    /// Woken when a peer is to be asked at once.
    asking: Wake,
}

impl InForce {
    /// The configuration; none before the first was read.
    pub(crate) fn get(&self) -> Option<Arc<Configuration>> {
        self.current.read().as_ref().map(|current| current.configuration.clone())
    }

    fn version(&self) -> u64 {
        self.current.read().as_ref().map_or(0, |current| current.configuration.version)
    }

    /// The body, if its version is higher than `version`.
    fn newer(&self, version: u64) -> Option<Arc<[u8]>> {
        let current = self.current.read();
        let newer = current.as_ref().filter(|current| current.configuration.version > version);
        newer.map(|current| current.body.clone())
    }

    /// Puts a configuration in force; false if it isn't newer.
    fn replace(&self, configuration: Arc<Configuration>, body: &[u8]) -> bool {
        let mut current = self.current.write();
        let known = current.as_ref().map(|current| current.configuration.version);
        if known.is_some_and(|known| known >= configuration.version) {
            return false;
        }
        *current = Some(Current { configuration, body: body.into() });
        true
    }

    /// Notes that it was certain to be the newest one at a moment.
    pub(crate) fn confirm(&self, at: Time) {
        let mut confirmed = self.confirmed.lock();
        *confirmed = at.max(*confirmed);
    }

    /// Time since it was last certain to be the newest one.
    pub(crate) fn age(&self) -> Duration {
        clock::now().since(*self.confirmed.lock())
    }

    /// Waits a little for a new look if the last one is long ago.  Once a while only: while nobody can tell, calls
    /// aren't held up one after the other.
    pub(crate) async fn look(&self) {
        let began = clock::now();
        if self.age() <= TRUST || began.since(*self.looked.lock()) < TRUST {
            return;
        }
        self.asking.wake();
        while self.age() > TRUST {
            if clock::now().since(began) >= LOOK_LIMIT {
                *self.looked.lock() = clock::now();
                return;
            }
            async_std::task::sleep(LOOK_POLL).await;
        }
    }
}

/// Takes in a configuration as operators wrote it, unless it is no newer than the one in force.
pub(crate) fn take(node: &Node, body: &[u8], source: &dyn std::fmt::Display) {
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
    node.journal.note(
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

/// Tells a peer what is known here.
pub(crate) fn answer(node: &Node, version: u64) -> Answer {
    let age_ms = u32::try_from(node.in_force.age().as_millis()).unwrap_or(u32::MAX);
    let body = node.in_force.newer(version).map(|body| body.to_vec());
    Answer::Configuration { version: node.in_force.version(), age_ms, body }
}

/// Asks peers whenever the store hasn't confirmed the configuration for long, until the node stops.
pub(crate) async fn ask_forever(node: Arc<Node>) {
    let mut peer = None;
    let mut interval = ASK_INTERVAL;
    loop {
        use stop_token::future::FutureExt;
        if node.in_force.asking.wait(interval).timeout_at(node.stop.clone()).await.is_err() {
            return;
        }
        if node.in_force.age() < ASK_AFTER && !node.may_store_be_away() {
            (peer, interval) = (None, ASK_INTERVAL);
            continue;
        }
        let Some(asked) = peer.take().or_else(|| choose(&node)) else { continue };
        if ask(&node, asked).await {
            (peer, interval) = (Some(asked), ASK_INTERVAL);
        } else {
            interval = (interval * 2).min(ASK_INTERVAL_MOST);
        }
    }
}

/// Asks one peer; true if it knew as much or more, and later.
async fn ask(node: &Node, peer: SocketAddr) -> bool {
    let (version, age, asked) = (node.in_force.version(), node.in_force.age(), clock::now());
    let answer = node.peers.ask(peer, Question::Configuration { version }).await;
    let Ok(Answer::Configuration { version: theirs, age_ms, body }) = answer else { return false };
    if let Some(body) = body {
        take(node, &body, &peer);
    }
    let their_age = Duration::from_millis(age_ms.into());
    if theirs < version || their_age >= age {
        return false;
    }
    node.in_force.confirm(asked - their_age);
    true
}

/// A peer to ask: one with a link that is open already, if there is one.
fn choose(node: &Node) -> Option<SocketAddr> {
    let view = node.view.read();
    let others = || {
        let rows = view.entry_rows.iter().filter(|(id, row)| **id != node.me && !row.stopping);
        rows.map(|(_, row)| row.peer).filter(|peer| !node.peers.is_resting(*peer))
    };
    let linked = others().filter(|peer| node.peers.is_linked(*peer)).choose(&mut rand::rng());
    linked.or_else(|| others().choose(&mut rand::rng()))
}
