//! The vocabulary between entry instances.

use crate::job;
use celerythread_model::code::Code;
use celerythread_model::event;
use celerythread_model::id;
use celerythread_model::request::Class;
use celerythread_model::table::Row;
use celerythread_model::unit::{Epoch, Revision};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// One message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// How the sender is; answered by the receiver's own.
    Beat(Beat),
    /// Asks for the rows changed after a revision, for a view cut off from the platform.
    Rows {
        /// After this revision.
        since: Revision,
    },
    /// Rows, and the revision up to which they are complete.
    RowsReply {
        /// The rows.
        rows: Vec<Row>,
        /// Complete up to here.
        upto: Revision,
    },
    /// Asks the owner of a service's minions for a slot.
    Ask(Ask),
    /// A slot, held until `Finish` is sent on the same channel.
    Grant(Grant),
    /// No slot is free, and the sender did not want to wait or would wait too long.
    Busy {
        /// Milliseconds after which asking again makes sense.
        retry_after_ms: u64,
    },
    /// The slot is no longer used.
    Finish {
        /// What became of the dispatch.
        verdict: Verdict,
        /// Milliseconds it took.
        took_ms: u64,
    },
    /// The exchange is refused.
    Refusal {
        /// Why, by number.
        code: Code,
        /// Why, in words.
        text: String,
    },
    /// Asks or tells the owner of a service's jobs something.
    JobQuestion(job::Question),
    /// The owner's answer.
    JobAnswer(job::Answer),
}

/// How an entry is, as it tells its peers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Beat {
    /// The sender.
    pub entry: id::Entry,
    /// The sender's position in causal order.
    pub clock: event::Clock,
    /// The number of the configuration that it acts by.
    pub config: Revision,
    /// The revision up to which its view is complete.
    pub view: Revision,
    /// Whether it takes no new work any more.
    pub stopping: bool,
    /// What it could hand out, by service.
    pub room: Vec<Room>,
    /// Grants of the receiver that the sender still uses.
    pub holding: Vec<u64>,
    /// Work outstanding on each minion that the sender owns; a successor reserves for it.
    pub load: Vec<Load>,
    /// Minions that the sender owns and has set aside: they count as failed.
    pub ejected: Vec<id::Minion>,
}

/// What an entry has of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Room {
    /// The service.
    pub service: id::Service,
    /// Slots it hands out.
    pub slots: u32,
    /// Slots free just now.
    pub free: u32,
    /// Requests waiting for them.
    pub waiting: u32,
}

/// Work outstanding on a minion.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// The minion.
    pub minion: id::Minion,
    /// Slots in use.
    pub outstanding: u32,
}

/// A request for a slot.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ask {
    /// Who asks.
    pub entry: id::Entry,
    /// Of which service.
    pub service: id::Service,
    /// How urgent.
    pub class: Class,
    /// Milliseconds until the request's deadline.
    pub left_ms: u64,
    /// Whether to wait in the owner's queue.
    pub wait: bool,
    /// A minion that just failed the request and should be avoided.
    pub avoid: Option<id::Minion>,
}

/// A slot on a minion.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// The owner's number for it.
    pub grant: u64,
    /// The minion.
    pub minion: id::Minion,
    /// Where it serves.
    pub address: SocketAddr,
    /// Its epoch.
    pub epoch: Epoch,
}

/// What became of a dispatch, for the owner's judgement of the minion.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Verdict {
    /// The minion answered.
    Answered,
    /// The minion failed it.
    Failed,
    /// The minion says that it is leaving or full.
    Leaving,
    /// It was not sent, for a reason that is not the minion's.
    Unused,
}
