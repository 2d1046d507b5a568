//! Typed events of the time line.

use crate::code::Code;
use crate::fleet::Progress;
use crate::id;
use crate::job::Stage;
use crate::unit::{Epoch, Revision, Token};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Something that changed state.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum Kind {
    /// The process serves.
    Started,
    /// A graceful stop has begun.
    Stopping,
    /// The operator's change was accepted by the table.
    ConfigAccepted {
        /// The new number.
        number: Revision,
        /// The change.
        change: id::Change,
    },
    /// This process acts by the configuration from now on.
    ConfigInForce {
        /// Its number.
        number: Revision,
    },
    /// Slots of a minion are handed out here from now on.
    SlotsTaken {
        /// The minion.
        minion: id::Minion,
        /// Whether another owner was taken over.
        takeover: bool,
    },
    /// Slots of a minion are no longer handed out here.
    SlotsGiven {
        /// The minion.
        minion: id::Minion,
    },
    /// A minion gets no new work.
    DrainBegun {
        /// The minion.
        minion: id::Minion,
        /// At this epoch.
        epoch: Epoch,
    },
    /// The owner has confirmed that a minion holds no work.
    DrainDone {
        /// The minion.
        minion: id::Minion,
        /// At this epoch.
        epoch: Epoch,
    },
    /// A minion is back in service.
    Returned {
        /// The minion.
        minion: id::Minion,
        /// Its pool.
        pool: id::Service,
        /// The new epoch.
        epoch: Epoch,
    },
    /// Requests refused since the last event of this code.
    Refused {
        /// Why.
        code: Code,
        /// How many.
        count: u64,
    },
    /// A minion is set aside, or tried again.
    Health {
        /// The minion.
        minion: id::Minion,
        /// Whether it gets work.
        healthy: bool,
    },
    /// A wave changed its progress.
    Wave {
        /// The wave.
        wave: id::Wave,
        /// The progress now.
        progress: Progress,
    },
    /// A job changed its stage.
    Job {
        /// The job.
        job: id::Job,
        /// The stage now.
        stage: Stage,
    },
    /// A duty is carried here from now on.
    LeaseTaken {
        /// The duty.
        duty: String,
        /// The fencing token.
        token: Token,
    },
    /// A duty is no longer carried here.
    LeaseLost {
        /// The duty.
        duty: String,
        /// The fencing token that ended.
        token: Token,
    },
    /// The platform stopped or started answering.
    Platform {
        /// Whether it answers.
        reachable: bool,
    },
    /// A peer stopped or started answering.
    Peer {
        /// The peer.
        peer: id::Entry,
        /// Whether it answers.
        reachable: bool,
    },
}

/// A position in causal order: higher than that of every event known to have come before.
///
/// A Lamport clock whose upper part is the table's own order.  All that is agreed goes through
/// the table, so whoever acts by a revision has seen it and stands above its statement.  The two
/// parts are separate because a process may see its own transaction through the feed, and act by
/// it, before the answer to the transaction arrives: with one number, what it notes then pushes
/// the statement behind its own effects, and so do local events that raise the number beyond the
/// table's.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Clock {
    /// The newest revision of the table that was known.
    #[serde(rename = "clock")]
    pub revision: Revision,
    /// Events since; nought for the statement of the revision itself.
    #[serde(default)]
    pub count: u64,
}

impl Clock {
    /// The position of what a committed revision states.
    pub fn at_revision(revision: Revision) -> Self {
        Self { revision, count: 0 }
    }

    /// Moves on for an event of this process, and returns its position.
    pub fn advance(&mut self) -> Self {
        self.count += 1;
        *self
    }

    /// Rises to a position that was heard of.
    pub fn witness(&mut self, other: Self) {
        *self = (*self).max(other);
    }
}

impl fmt::Display for Clock {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.revision, self.count)
    }
}

/// An event with its place in time and causal order.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Event {
    /// The process it happened in.
    pub process: id::Entry,
    /// Its position in causal order.
    #[serde(flatten)]
    pub clock: Clock,
    /// Milliseconds since the Unix epoch by the process's own clock; for people only.
    pub at: u64,
    /// What happened.
    #[serde(flatten)]
    pub kind: Kind,
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = serde_json::to_value(&self.kind).unwrap_or_default();
        let mut parts = Vec::new();
        let mut name = String::new();
        for (key, value) in kind.as_object().into_iter().flatten() {
            let text = value.as_str().map_or_else(|| value.to_string(), str::to_owned);
            if key == "kind" {
                name = text;
            } else {
                parts.push(format!("{key}={text}"));
            }
        }
        write!(f, "{name} {}", parts.join(" "))
    }
}

/// Puts the events of several processes into one order that never contradicts causality.
pub fn merge(mut events: Vec<Event>) -> Vec<Event> {
    events.sort_by(|a, b| (a.clock, a.at, &a.process).cmp(&(b.clock, b.at, &b.process)));
    events
}
