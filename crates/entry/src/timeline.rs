//! The process's own part of the timeline: a bounded ring of typed events.

use celerythread_model::event::{Clock, Event, Kind};
use celerythread_model::id;
use celerythread_model::unit::Revision;
use parking_lot::Mutex;
use std::collections::VecDeque;

/// The ring of events, with the process's logical clock, which advances to that of every peer's
/// heartbeat and to every revision seen in the table.
pub struct Timeline {
    process: id::Entry,
    capacity: usize,
    state: Mutex<State>,
}

struct State {
    clock: Clock,
    events: VecDeque<Event>,
}

impl Timeline {
    /// An empty ring for at most `capacity` events of a process.
    pub fn new(process: id::Entry, capacity: usize) -> Self {
        let state = State { clock: Clock::default(), events: VecDeque::new() };
        Self { process, capacity, state: Mutex::new(state) }
    }

    /// Records an event at `at` (milliseconds since the Unix epoch) and logs it.  Each event is
    /// a change of state.
    pub fn record(&self, at: u64, kind: Kind) {
        let clock = self.state.lock().clock.advance();
        self.append(clock, at, kind);
    }

    /// Records an event stated by a committed revision, at that revision's place in causal order.
    pub fn record_committed(&self, at: u64, revision: Revision, kind: Kind) {
        let clock = Clock::at_revision(revision);
        self.witness(clock);
        self.append(clock, at, kind);
    }

    fn append(&self, clock: Clock, at: u64, kind: Kind) {
        let event = Event { process: self.process.clone(), clock, at, kind };
        log::info!(process = self.process.as_str(), clock = clock.to_string().as_str(); "{event}");
        let mut state = self.state.lock();
        if state.events.len() >= self.capacity {
            state.events.pop_front();
        }
        state.events.push_back(event);
    }

    /// The clock, to be sent to peers.
    pub fn clock(&self) -> Clock {
        self.state.lock().clock
    }

    /// Advances the clock to at least one received from elsewhere.
    pub fn witness(&self, clock: Clock) {
        self.state.lock().clock.witness(clock);
    }

    /// The events still in the ring, in the order of their recording.
    pub fn events(&self) -> Vec<Event> {
        self.state.lock().events.iter().cloned().collect()
    }
}
