//! The messages between entry instances.

use crate::job;
use crate::minion;
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
    /// A heartbeat with the sender's state; answered with the receiver's.
    Beat(Beat),
    /// Requests the rows changed after a revision, for an entry that cannot reach the platform.
    Rows {
        /// The last revision that the sender has.
        since: Revision,
    },
    /// Changed rows, complete up to a revision.
    RowsReply {
        /// The changed rows.
        rows: Vec<Row>,
        /// The revision up to which they are complete.
        upto: Revision,
    },
    /// Requests a slot from an owner of the service's minions.
    Ask(Ask),
    /// Grants a slot until `Finish` is sent on the same channel.
    Grant(Grant),
    /// No slot is free, and the requester does not want to wait or would wait too long.
    Busy {
        /// Milliseconds after which a retry makes sense.
        retry_after_ms: u64,
    },
    /// Releases the slot.
    Finish {
        /// The result of the dispatch.
        verdict: DispatchResult,
        /// Duration of the dispatch in milliseconds.
        took_ms: u64,
    },
    /// The exchange is refused.
    Refusal {
        /// The reason as a result code.
        code: Code,
        /// The reason as text.
        text: String,
    },
    /// A request or notification to the owner of a service's jobs.
    JobQuestion(job::Question),
    /// The owner's answer.
    JobAnswer(job::Answer),
    /// Calls to minions that the sender, the owner of their cell, delegates to the receiver.
    MinionCalls(Vec<minion::Call>),
    /// Answers to such calls, in any order.
    MinionAnswers(Vec<minion::Answer>),
}

/// A heartbeat: the state of an entry as sent to its peers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Beat {
    /// The sender.
    pub entry: id::Entry,
    /// The sender's position in causal order.
    pub clock: event::Clock,
    /// The number of the configuration in force at the sender.
    pub config: Revision,
    /// The revision up to which its view is complete.
    pub view: Revision,
    /// Whether it is stopping and accepts no new work.
    pub stopping: bool,
    /// The slots that it can grant, by service.
    pub room: Vec<Room>,
    /// Grants of the receiver that the sender still uses.
    pub holding: Vec<u64>,
    /// Work outstanding on each minion that the sender owns; an entry that takes the minion over
    /// reserves slots for it.
    pub load: Vec<Load>,
    /// Minions that the sender owns and has ejected from routing: they count as failed.
    pub ejected: Vec<id::Minion>,
}

/// Slots and queue of a service at one entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Room {
    /// The service.
    pub service: id::Service,
    /// Slots that the entry owns.
    pub slots: u32,
    /// Slots that are free.
    pub free: u32,
    /// Requests queued for a slot.
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
    /// The requesting entry.
    pub entry: id::Entry,
    /// The service.
    pub service: id::Service,
    /// The class of the request.
    pub class: Class,
    /// Milliseconds until the request's deadline.
    pub left_ms: u64,
    /// Whether to wait in the owner's queue.
    pub wait: bool,
    /// A minion to avoid because it has just failed the request.
    pub avoid: Option<id::Minion>,
}

/// A slot on a minion.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// The owner's number of the grant.
    pub grant: u64,
    /// The minion.
    pub minion: id::Minion,
    /// The minion's HTTP address.
    pub address: SocketAddr,
    /// The minion's epoch.
    pub epoch: Epoch,
}

/// The result of a dispatch, from which the owner derives the minion's health.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum DispatchResult {
    /// The minion answered.
    Answered,
    /// The minion failed the request.
    Failed,
    /// The minion reported that it is leaving or full.
    Leaving,
    /// The request was not sent, for a reason unrelated to the minion.
    Unused,
}
