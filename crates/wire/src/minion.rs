//! Calls to minions that the owner of a cell delegates to another entry, and their answers.

use celerythread_engine::cell::{Incarnation, Order, Refusal, Report, StartResult};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// How long either side collects calls, or answers, for one frame.
pub const BATCH_WINDOW: Duration = Duration::from_millis(4);

/// A call to a minion.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Call {
    /// Number of the call in its exchange, which the answer repeats.
    pub number: u64,
    /// The minion's id.
    pub minion: Arc<str>,
    /// The minion's address.
    pub address: SocketAddr,
    /// The owner's fencing token.
    pub token: u64,
    /// Milliseconds after which the call is given up.
    pub timeout_ms: u32,
    /// What to request.
    pub request: Request,
}

/// What a call requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// Start a run.
    Start {
        /// The order, which is a start.
        order: Order,
        /// Expiry of the run's lease, on the minion's clock.
        deadline_ms: u64,
    },
    /// Extend the leases of all runs, and report them.
    Hold {
        /// The minion may discard ends up to this number ...
        acknowledged: u64,
        /// ... if this incarnation has numbered them.
        incarnation: Option<Incarnation>,
        /// The new expiry of the leases, on the minion's clock.
        deadline_ms: Option<u64>,
        /// Milliseconds to wait for a run to end.
        wait_ms: u32,
    },
}

/// The answer to a call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// Number of the call.
    pub number: u64,
    /// The result.
    pub outcome: Outcome,
}

/// The result of a call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    /// The minion answered a start.
    Started {
        /// Its answer, or that there was none.
        result: StartResult,
        /// Its clock, in milliseconds.
        clock_ms: u64,
    },
    /// The minion answered a hold.
    Reported {
        /// Its report.
        report: Report,
        /// Number of the last end that was acknowledged to the reporting incarnation.
        acknowledged: u64,
        /// Its clock, in milliseconds.
        clock_ms: u64,
    },
    /// The minion refused the call.
    Refused(Refusal),
    /// Another incarnation answered at the minion's address.
    OtherIncarnation,
    /// The call was certainly not sent.
    NotSent {
        /// Why.
        reason: String,
    },
    /// The call may have been carried out, or may be later.
    Unanswered {
        /// Why.
        reason: String,
    },
}
