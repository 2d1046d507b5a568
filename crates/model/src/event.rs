//! Typed events of the timeline.

use crate::code::Code;
use crate::fleet::Progress;
use crate::id;
use crate::job::Stage;
use crate::unit::{Epoch, Revision, Token};
use serde::{Deserialize, Serialize};
use std::fmt;

/// A change of state.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum Kind {
    /// The process serves requests.
    Started,
    /// A graceful stop has begun.
    Stopping,
    /// An operator's change was committed to the table.
    ConfigAccepted {
        /// The new configuration number.
        number: Revision,
        /// The change.
        change: id::Change,
    },
    /// This process applies the configuration from now on.
    ConfigInForce {
        /// Its number.
        number: Revision,
    },
    /// This process acquired the ownership of a minion's slots.
    SlotsTaken {
        /// The minion.
        minion: id::Minion,
        /// Whether the ownership was taken over from an owner that had not released it.
        takeover: bool,
    },
    /// This process released the ownership of a minion's slots.
    SlotsGiven {
        /// The minion.
        minion: id::Minion,
    },
    /// A drain was started: the minion gets no new work.
    DrainBegun {
        /// The minion.
        minion: id::Minion,
        /// Its epoch.
        epoch: Epoch,
    },
    /// The owner has confirmed that a minion holds no work.
    DrainDone {
        /// The minion.
        minion: id::Minion,
        /// Its epoch.
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
    /// Requests refused since the last event with this code.
    Refused {
        /// The reason.
        code: Code,
        /// How many.
        count: u64,
    },
    /// A minion was ejected from routing, or gets requests again.
    Health {
        /// The minion.
        minion: id::Minion,
        /// Whether it gets requests.
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
    /// This process acquired the lease of a duty.
    LeaseTaken {
        /// The duty.
        duty: String,
        /// The fencing token.
        token: Token,
    },
    /// This process no longer holds the lease of a duty.
    LeaseLost {
        /// The duty.
        duty: String,
        /// The fencing token of the lease that ended.
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

/// A position in causal order: higher than that of every event known to have happened before.
///
/// A Lamport clock whose upper part is the table's revision.  All agreements go through the
/// table, so the events of a process that acts on a revision are ordered after its commit.  The
/// two parts are separate because a process may see its own transaction through the feed, and
/// act on it, before the reply to the transaction arrives.  With one number, events recorded
/// meanwhile would order the commit after its own effects, and so would local events that raise
/// the number beyond the table's.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Clock {
    /// The newest known revision of the table.
    #[serde(rename = "clock")]
    pub revision: Revision,
    /// Number of events since; 0 for the commit of the revision itself.
    #[serde(default)]
    pub count: u64,
}

impl Clock {
    /// The position of the commit of a revision.
    pub fn at_revision(revision: Revision) -> Self {
        Self { revision, count: 0 }
    }

    /// Advances for an event of this process and returns its position.
    pub fn advance(&mut self) -> Self {
        self.count += 1;
        *self
    }

    /// Advances to a position received from another process, if that is higher.
    pub fn witness(&mut self, other: Self) {
        *self = (*self).max(other);
    }
}

impl fmt::Display for Clock {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.revision, self.count)
    }
}

/// An event with its time and its position in causal order.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Event {
    /// The process it happened in.
    pub process: id::Entry,
    /// Its position in causal order.
    #[serde(flatten)]
    pub clock: Clock,
    /// Milliseconds since the Unix epoch by the process's own clock.  Informational: clocks of
    /// processes differ.
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

/// Sorts the events of several processes into one order consistent with causality.
pub fn merge(mut events: Vec<Event>) -> Vec<Event> {
    events.sort_by(|a, b| (a.clock, a.at, &a.process).cmp(&(b.clock, b.at, &b.process)));
    events
}
