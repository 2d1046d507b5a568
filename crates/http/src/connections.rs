//! The open connections of a listener: when all places are taken, a new connection gets that of one
//! whose client keeps it waiting.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use stop_token::{StopSource, StopToken};

/// One over this part of the places may be open in addition, while connections that lost their
/// places are being closed.
const SPARE_DIVISOR: usize = 16;

/// What a connection does; the phases in which it can lose its place come in their order.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Phase {
    /// It waits for a request.
    Waiting,
    /// It was refused, and the rest of its request is discarded.
    Discarding,
    /// A request's head is being received.
    Head,
    /// A request's body is being received.
    Body,
    /// A response is being written, and its client may read it slowly.
    Responding,
    /// A request is being answered.  It never loses its place.
    Answering,
}

/// The phases in which a connection can lose its place, with the time after which it can.
const CLOSABLE_PHASES: [(Phase, Duration); 5] = [
    (Phase::Waiting, Duration::ZERO),
    (Phase::Discarding, Duration::ZERO),
    (Phase::Head, Duration::from_secs(1)),
    (Phase::Body, Duration::from_secs(2)),
    (Phase::Responding, Duration::from_secs(2)),
];

/// The places of a listener's connections.
#[derive(Clone, Debug)]
pub struct Places(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    max: usize,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    next: u64,
    connections: BTreeMap<u64, Connection>,
    /// Connections that have their place, by phase, each since when it is in it.
    placed: BTreeMap<Phase, BTreeSet<(Instant, u64)>>,
}

#[derive(Debug)]
struct Connection {
    phase: Phase,
    since: Instant,
    /// Dropped to tell the connection that it has lost its place.
    closed: Option<StopSource>,
}

impl State {
    /// Number of connections that have their place.
    fn placed_count(&self) -> usize {
        self.placed.values().map(BTreeSet::len).sum()
    }

    /// The connection that is to lose its place next.
    fn next_to_close(&self, now: Instant) -> Option<u64> {
        CLOSABLE_PHASES.iter().find_map(|(phase, min_age)| {
            let (since, id) = self.placed.get(phase)?.first()?;
            (now.duration_since(*since) >= *min_age).then_some(*id)
        })
    }

    fn close(&mut self, id: u64) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.closed = None;
        if let Some(placed) = self.placed.get_mut(&connection.phase) {
            placed.remove(&(connection.since, id));
        }
    }
}

impl Places {
    /// Places for `max` connections.
    pub fn new(max: usize) -> Self {
        Self(Arc::new(Shared { max, state: Mutex::default() }))
    }

    /// Number of open connections.
    pub fn open_count(&self) -> usize {
        self.lock().connections.len()
    }

    /// Takes a place for a new connection; none if all are taken by connections that keep theirs.
    pub fn take(&self, now: Instant) -> Option<Place> {
        let mut state = self.lock();
        if state.placed_count() >= self.0.max {
            let most_open = self.0.max + self.0.max / SPARE_DIVISOR;
            let is_spare_used = state.connections.len() > most_open;
            let id = state.next_to_close(now).filter(|_| !is_spare_used)?;
            state.close(id);
        }
        let closed = StopSource::new();
        let token = closed.token();
        let id = state.next;
        state.next += 1;
        let phase = Phase::Waiting;
        state.connections.insert(id, Connection { phase, since: now, closed: Some(closed) });
        state.placed.entry(phase).or_default().insert((now, id));
        drop(state);
        Some(Place { places: self.clone(), id, closed: token })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The place of an open connection, free again when it is dropped.
#[derive(Debug)]
pub struct Place {
    places: Places,
    id: u64,
    closed: StopToken,
}

impl Place {
    /// Signals that the connection has lost its place.
    pub fn closed(&self) -> StopToken {
        self.closed.clone()
    }

    /// Records what the connection does from now on.
    pub fn enter(&self, phase: Phase, now: Instant) {
        let mut state = self.places.lock();
        let State { connections, placed, .. } = &mut *state;
        let Some(connection) = connections.get_mut(&self.id) else { return };
        let former = placed.entry(connection.phase).or_default();
        // Otherwise it has lost its place.
        if former.remove(&(connection.since, self.id)) {
            placed.entry(phase).or_default().insert((now, self.id));
        }
        (connection.phase, connection.since) = (phase, now);
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut state = self.places.lock();
        state.close(self.id);
        state.connections.remove(&self.id);
    }
}
