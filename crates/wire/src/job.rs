//! Messages to the owner of a service's jobs, and its replies.

use celerythread_engine::job::{Id, Origin, State};
use celerythread_engine::pools::Load;
use serde::{Deserialize, Serialize};

/// A request or notification to the owner of a service's jobs, or to any peer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Question {
    /// A job was accepted, and its row is stored.
    Accepted {
        /// Its service.
        service: String,
        /// The job.
        id: Id,
        /// Its row.
        row: Vec<u8>,
    },
    /// A job was cancelled, and the cancellation is stored.
    Cancelled {
        /// Its service.
        service: String,
        /// The job.
        id: Id,
    },
    /// Requests the state of a job.
    State {
        /// Its service.
        service: String,
        /// The job.
        id: Id,
        /// The origin of the caller's request.
        origin: Origin,
    },
    /// Requests the number of jobs of a queue whose first task has not started.
    Pending {
        /// Its service.
        service: String,
        /// The queue.
        queue: String,
    },
    /// Requests that an entry that can reach the store writes a job's row.
    Submit {
        /// The service in whose partitions its queue's jobs are stored.
        service: String,
        /// The job.
        id: Id,
        /// Its row.
        row: Vec<u8>,
    },
    /// Requests the demand and the minions that the service can release.
    Load {
        /// The service.
        service: String,
    },
    /// Requests the newest configuration, from an entry that cannot read it from the store.
    Configuration {
        /// The version in force at the requesting entry.
        version: u64,
    },
    /// Machines are to be emptied.
    Release {
        /// Their service.
        service: String,
        /// Pairs of machine and minion.
        machines: Vec<(String, String)>,
        /// Fencing token of the fleet controller.
        token: u64,
        /// Whether no row requests it, so that the machines may be ordered only with the owner's
        /// permission.  The answer is then [`Answer::Released`], else [`Answer::Load`].
        without_row: bool,
    },
    /// An id under which no job is stored was cancelled, and the cancellation is stored.
    CancelledEarly {
        /// Its service.
        service: String,
        /// The id.
        id: Id,
        /// The cancellation's row.
        row: Vec<u8>,
        /// The version of the row.
        version: u64,
    },
    /// Asks for memory for a job that is about to be stored.
    Admit {
        /// Its service.
        service: String,
        /// The job.
        id: Id,
        /// Memory that its owner needs for it, in bytes.
        bytes: u64,
    },
}

impl Question {
    /// The service concerned; empty if it concerns none.
    pub fn service(&self) -> &str {
        match self {
            Question::Accepted { service, .. }
            | Question::Submit { service, .. }
            | Question::Cancelled { service, .. }
            | Question::CancelledEarly { service, .. }
            | Question::Admit { service, .. }
            | Question::State { service, .. }
            | Question::Pending { service, .. }
            | Question::Load { service }
            | Question::Release { service, .. } => service,
            Question::Configuration { .. } => "",
        }
    }
}

/// The result of a job's submission through a peer.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Submission {
    /// The job is stored, by this request or an earlier one.
    Accepted {
        /// The stored row.
        row: Vec<u8>,
    },
    /// The job is certainly not stored.
    Refused,
    /// Whether the job is stored is not known.
    Unknown,
}

/// The reply to a [`Question`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// The notification was processed.
    Noted,
    /// The job's state; none if the owner doesn't know the job.
    State(Option<State>),
    /// The number of jobs waiting.
    Pending(u32),
    /// The demand and the minions that can be released.
    Load(Load),
    /// The result of a submission.
    Submitted(Submission),
    /// The configuration in force at the receiver.
    Configuration {
        /// Its version.
        version: u64,
        /// Milliseconds since it was last confirmed as the newest.
        age_ms: u32,
        /// The configuration as operators wrote it, if the requesting entry's is older.
        body: Option<Vec<u8>>,
    },
    /// The receiver doesn't own the service, or doesn't know its jobs yet.
    NotOwner,
    /// Which machines the holder of the question's token may order without a row.
    Released {
        /// Their minions, which are empty.
        permitted: Vec<String>,
    },
    /// Whether memory is promised to a job that is about to be stored.
    Admitted(bool),
    /// The notification of a job was processed, and the memory for jobs is nearly used up, so that
    /// entries must ask for memory before they store another one.
    NotedNearlyFull,
}
