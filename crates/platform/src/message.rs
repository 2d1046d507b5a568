//! Messages to and from the platform.

use celerythread_model::id;
use celerythread_model::job::Size;
use celerythread_model::unit::{Bytes, Millicores, Revision};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use strum::{Display, EnumString, VariantArray};

pub use celerythread_model::table::{Row, Space};

/// A condition: the row has exactly this revision; revision 0 means that there is no such row.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Check {
    /// The space of the row.
    pub space: Space,
    /// Its key.
    pub key: String,
    /// The expected revision.
    pub revision: Revision,
}

/// A write: a new value, or `None` to delete the row.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Write {
    /// The space of the row.
    pub space: Space,
    /// Its key.
    pub key: String,
    /// Its new value as JSON.
    pub value: Option<String>,
}

/// A transaction: if all conditions hold, all writes are made; otherwise none.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// The conditions.
    pub checks: Vec<Check>,
    /// The writes.
    pub writes: Vec<Write>,
}

impl Transaction {
    /// Creates an empty transaction.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a condition.
    pub fn check(mut self, space: Space, key: impl Into<String>, revision: Revision) -> Self {
        self.checks.push(Check { space, key: key.into(), revision });
        self
    }

    /// Adds a write.
    pub fn put<T: Serialize>(mut self, space: Space, key: impl Into<String>, value: &T) -> Self {
        let value = serde_json::to_string(value).expect("rows of the model always serialize");
        self.writes.push(Write { space, key: key.into(), value: Some(value) });
        self
    }

    /// Adds a deletion.
    pub fn delete(mut self, space: Space, key: impl Into<String>) -> Self {
        self.writes.push(Write { space, key: key.into(), value: None });
        self
    }

    /// Adds a condition on a row and a write of its new value.
    pub fn replace<T: Serialize>(
        self,
        space: Space,
        key: impl Into<String>,
        revision: Revision,
        value: &T,
    ) -> Self {
        let key = key.into();
        self.check(space, key.clone(), revision).put(space, key, value)
    }
}

/// Rows changed since a revision, complete up to the revision `upto`.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Changes {
    /// The rows, oldest change first; deleted rows have no value.
    pub rows: Vec<Row>,
    /// The revision to continue from.
    pub upto: Revision,
    /// Whether more changed rows are available now.
    pub more: bool,
}

/// The role of an instance.
#[derive(
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    PartialEq,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    VariantArray,
)]
#[strum(serialize_all = "lowercase")]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Runs `celerythreadd`.
    Entry,
    /// Serves requests of a pool.
    Minion,
    /// Runs jobs.
    Worker,
}

/// An instance as shown by the platform's list, which lags.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Instance {
    /// Its name.
    pub name: String,
    /// Its role.
    pub role: Role,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Its rack.
    pub rack: id::Rack,
    /// The address that it serves on, if any.
    pub address: Option<SocketAddr>,
    /// The pool that a new minion was bought for.
    pub pool: Option<id::Service>,
    /// Whether the platform is removing it.
    pub leaving: bool,
    /// Its boot count.
    pub boot: u64,
    /// Its capacity, for a worker.
    pub size: Size,
}

/// The list of instances, with its lag.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Listing {
    /// The platform's version of this state of the list.
    pub version: String,
    /// The instances.
    pub instances: Vec<Instance>,
    /// Longest lag of the list, in milliseconds.
    pub lag_ms: u64,
}

/// A task on a worker as reported by the platform, with a lag.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Task {
    /// The job.
    pub job: id::Job,
    /// The worker.
    pub worker: id::Worker,
    /// The number of the attempt.
    pub attempt: u32,
    /// Its state.
    pub phase: Phase,
    /// Processor use at the last report.
    pub cpu: Millicores,
    /// Memory use at the last report.
    pub memory: Bytes,
}

/// The state of a task.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize, Display, EnumString)]
#[strum(serialize_all = "lowercase")]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// It runs.
    Running,
    /// It was slowed down by an order.
    Throttled,
    /// It was stopped with a checkpoint.
    Checkpointed,
    /// It succeeded.
    Done,
    /// It failed.
    Failed,
}

/// An order to a worker.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase", tag = "order")]
pub enum Order {
    /// Start an attempt.  The worker refuses attempts not above the last it saw of the job,
    /// fencing tokens below the highest it saw, and orders for another boot.  It keeps no state
    /// over a restart, so only the boot count prevents a repeated order from being carried out
    /// twice.
    Start {
        /// The job.
        job: id::Job,
        /// The attempt.
        attempt: u32,
        /// The fencing token of the placing entry.
        token: u64,
        /// The worker's boot count that the order is for.
        boot: u64,
        /// The resources that it may use.
        size: Size,
    },
    /// Slow a task down.
    Throttle {
        /// The job.
        job: id::Job,
    },
    /// Stop a task and keep its progress.
    Checkpoint {
        /// The job.
        job: id::Job,
    },
    /// Stop a task.
    Stop {
        /// The job.
        job: id::Job,
    },
}
