//! The process's own part of the time line: a bounded ring of typed events.

use celerythread_model::event::{Clock, Event, Kind};
use celerythread_model::id;
use celerythread_model::unit::Revision;
use parking_lot::Mutex;
use std::collections::VecDeque;

/// The ring, with the process's clock, which is raised by every beat from a peer and by every
/// revision seen in the table.
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

    /// Notes an event, and writes it as a log line: each is a change of state.
    pub fn record(&self, at: u64, kind: Kind) {
        let clock = self.state.lock().clock.advance();
        self.append(clock, at, kind);
    }

    /// Notes an event that a committed revision is the statement of.
    pub fn record_committed(&self, at: u64, revision: Revision, kind: Kind) {
        let clock = Clock::statement(revision);
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

    /// The clock, to be told to peers.
    pub fn clock(&self) -> Clock {
        self.state.lock().clock
    }

    /// Raises the clock to one that was seen.
    pub fn witness(&self, clock: Clock) {
        self.state.lock().clock.witness(clock);
    }

    /// The events still kept.
    pub fn events(&self) -> Vec<Event> {
        self.state.lock().events.iter().cloned().collect()
    }
}
