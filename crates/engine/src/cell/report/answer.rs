//! What minions answer to polls and to start orders.

use crate::cell::minion::Incarnation;
use crate::job::TaskName;
use serde::{Deserialize, Serialize};
use strum::Display;

/// How a run ended.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize, Deserialize)]
#[strum(serialize_all = "snake_case")]
pub enum EndReason {
    /// It completed its work.
    Done,
    /// It failed, through its own fault or the minion's.
    Failed,
    /// It was stopped by an order.
    Stopped,
    /// Its lease expired.
    Expired,
    /// Another member of its gang ended.
    PeerEnded,
    /// The other members of its gang did not start in time.
    PeersMissing,
}

/// A run that a minion lists.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Running {
    /// The task.
    pub task: TaskName,
    /// The run's number.
    pub run: u32,
    /// Its latest checkpoint.
    pub checkpoint: Option<Box<str>>,
    /// Progress in percent; for long-running tasks, 100 means active.
    pub percent: u8,
    /// A rough figure for the last half second: for a serving task its tail latency in
    /// milliseconds, for others the millicores in use.
    pub load: Option<u64>,
}

/// The end of a run that a minion lists.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct End {
    /// Its number in the minion's list of ends.
    pub number: u64,
    /// The task.
    pub task: TaskName,
    /// The run's number.
    pub run: u32,
    /// How it ended.
    pub reason: EndReason,
    /// Its last checkpoint.
    pub checkpoint: Option<Box<str>>,
}

/// A minion's answer to a poll.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Incarnation of the minion, if the answer contains one.
    pub incarnation: Option<Incarnation>,
    /// All runs on the minion.
    pub running: Vec<Running>,
    /// Ends that are not acknowledged, at most 500.
    pub finished: Vec<End>,
}

/// Why a minion refused a start.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize, Deserialize)]
#[strum(serialize_all = "snake_case")]
pub enum Refusal {
    /// It has seen a higher fencing token.
    Fenced,
    /// A run with this number or a higher one was stopped or ended there.
    StaleRun,
    /// The order arrived after its deadline, or it was not sent for a reason that says nothing about the
    /// minion.
    TooLate,
    /// It has not enough free capacity.
    NoRoom,
    /// The ticket is missing or has expired.
    NoTicket,
    /// The order could not be decoded.
    Malformed,
    /// It is unhealthy, and did nothing.
    Unhealthy,
}

/// Result of a start order.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum StartResult {
    /// The run started; it may have ended since.
    Started,
    /// It was refused and will not run.
    Refused(Refusal),
    /// Unknown: it may run now or start later.
    Unknown,
}
