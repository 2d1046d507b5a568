//! Questions to the owner of a service's jobs, and its answers.

use celerythread_engine::job::{Id, Origin, State};
use celerythread_engine::pools::Load;
use serde::{Deserialize, Serialize};

/// What the owner of a service's jobs is asked or told.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Question {
    /// A job was accepted, and its row is written.
    Accepted {
        /// Its service.
        service: String,
        /// The job.
        id: Id,
        /// Its row.
        row: Vec<u8>,
    },
    /// A job was cancelled, and that is written.
    Cancelled {
        /// Its service.
        service: String,
        /// The job.
        id: Id,
    },
    /// In which state a job is.
    State {
        /// Its service.
        service: String,
        /// The job.
        id: Id,
        /// Who asks.
        origin: Origin,
    },
    /// How many jobs of a queue wait for their first task.
    Pending {
        /// Its service.
        service: String,
        /// The queue.
        queue: String,
    },
    /// Has a job's row written by an entry that can reach the store.
    Submit {
        /// Its service.
        service: String,
        /// The job.
        id: Id,
        /// Its row.
        row: Vec<u8>,
    },
    /// What the demand is and which minions could be given away.
    Load {
        /// The service.
        service: String,
    },
    /// Which configuration is the newest one, from an entry that the store doesn't tell.
    Configuration {
        /// The version in force at the asking entry.
        version: u64,
    },
    /// Machines are to be emptied, and that is written.
    Release {
        /// Their service.
        service: String,
        /// The machines with their minions.
        machines: Vec<(String, String)>,
    },
}

impl Question {
    /// The service that it is about; empty for a question about none.
    pub fn service(&self) -> &str {
        match self {
            Question::Accepted { service, .. }
            | Question::Submit { service, .. }
            | Question::Cancelled { service, .. }
            | Question::State { service, .. }
            | Question::Pending { service, .. }
            | Question::Load { service }
            | Question::Release { service, .. } => service,
            Question::Configuration { .. } => "",
        }
    }
}

/// What became of a job that a peer was to write.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Submission {
    /// It is written, by this request or an earlier one.
    Accepted {
        /// The row as it is stored.
        row: Vec<u8>,
    },
    /// It is certainly not written.
    Refused,
    /// Nobody knows.
    Unknown,
}

/// What the owner answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// It took note.
    Noted,
    /// The job's state; none for a job that the owner doesn't know.
    State(Option<State>),
    /// How many jobs wait.
    Pending(u32),
    /// The demand.
    Load(Load),
    /// What became of a job that was to be written.
    Submitted(Submission),
    /// What the receiver has in force.
    Configuration {
        /// Its version.
        version: u64,
        /// Milliseconds since it was certain to be the newest one.
        age_ms: u32,
        /// As operators wrote it, if the asking entry's is older.
        body: Option<Vec<u8>>,
    },
    /// The receiver doesn't own the service, or doesn't know its jobs yet.
    NotOwner,
}
