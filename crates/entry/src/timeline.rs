//! The process's own part of the time line: a bounded ring of typed events.

use celerythread_model::event::{Event, Kind};
use celerythread_model::id;
use celerythread_model::unit::Revision;
use parking_lot::Mutex;
use std::collections::VecDeque;

/// The ring, with the process's Lamport clock.
///
/// The clock is raised by every beat from a peer and by every revision seen in the table.  The
/// table orders all that is agreed, so an event that was caused through it always has a higher
/// clock than its cause, whichever processes they happened in.
pub(crate) struct Timeline {
    process: id::Entry,
    capacity: usize,
    state: Mutex<State>,
}

struct State {
    clock: u64,
    events: VecDeque<Event>,
}

impl Timeline {
    pub(crate) fn new(process: id::Entry, capacity: usize) -> Self {
        let state = State { clock: 0, events: VecDeque::new() };
        Self { process, capacity, state: Mutex::new(state) }
    }

    /// Notes an event, and writes it as a log line: each is a change of state.
    pub(crate) fn note(&self, at: u64, kind: Kind) {
        let event = {
            let mut state = self.state.lock();
            state.clock += 1;
            let event = Event { process: self.process.clone(), clock: state.clock, at, kind };
            if state.events.len() >= self.capacity {
                state.events.pop_front();
            }
            state.events.push_back(event.clone());
            event
        };
        log::info!(process = self.process.as_str(), clock = event.clock; "{event}");
    }

    /// Notes an event that a committed revision is the statement of.
    pub(crate) fn note_at(&self, at: u64, revision: Revision, kind: Kind) {
        {
            let mut state = self.state.lock();
            state.clock = state.clock.max(revision.0.saturating_sub(1));
        }
        self.note(at, kind);
    }

    /// The clock, to be told to peers.
    pub(crate) fn clock(&self) -> u64 {
        self.state.lock().clock
    }

    /// Raises the clock to one that was seen.
    pub(crate) fn witness(&self, clock: u64) {
        let mut state = self.state.lock();
        state.clock = state.clock.max(clock);
    }

    /// The events still kept.
    pub(crate) fn events(&self) -> Vec<Event> {
        self.state.lock().events.iter().cloned().collect()
    }
}
