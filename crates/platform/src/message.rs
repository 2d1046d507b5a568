//! What travels to and from the platform.

use celerythread_model::id;
use celerythread_model::job::Size;
use celerythread_model::unit::{Bytes, Millicores, Revision};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use strum::{Display, EnumString, VariantArray};

pub use celerythread_model::table::{Row, Space};

/// A condition: the row's revision must be exactly this; nought means there is no such row.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Check {
    /// Where the row is.
    pub space: Space,
    /// Its key.
    pub key: String,
    /// The revision expected.
    pub revision: Revision,
}

/// A write: a new value, or none to delete.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Write {
    /// Where the row is.
    pub space: Space,
    /// Its key.
    pub key: String,
    /// Its new value as JSON.
    pub value: Option<String>,
}

/// All conditions hold and all writes are made, or nothing happens.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// What must hold.
    pub checks: Vec<Check>,
    /// What is written.
    pub writes: Vec<Write>,
}

impl Transaction {
    /// A transaction of nothing yet.
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

    /// Adds a condition on a row together with its new value.
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

/// Rows changed since a revision, and the revision up to which that is complete.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Changes {
    /// The rows, oldest change first, deleted ones without a value.
    pub rows: Vec<Row>,
    /// Ask from here next time.
    pub upto: Revision,
    /// Whether more rows follow at once.
    pub more: bool,
}

/// What an instance of the list is.
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
    /// Serves a pool.
    Minion,
    /// Runs jobs.
    Worker,
}

/// An instance as the platform's lagging list shows it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Instance {
    /// Its name.
    pub name: String,
    /// What it is.
    pub role: Role,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Its rack.
    pub rack: id::Rack,
    /// Where it serves, if it does.
    pub address: Option<SocketAddr>,
    /// The pool that a new minion was bought for.
    pub pool: Option<id::Service>,
    /// Set when the platform is taking it away.
    pub leaving: bool,
    /// How often it has booted.
    pub boot: u64,
    /// What it has, for a worker.
    pub size: Size,
}

/// The list, with how old it may be.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Listing {
    /// What the platform calls this state of the list.
    pub version: String,
    /// The instances.
    pub instances: Vec<Instance>,
    /// Milliseconds by which the list may lag behind.
    pub lag_ms: u64,
}

/// A task on a worker as the platform reports it, some time late.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Task {
    /// The job.
    pub job: id::Job,
    /// The worker.
    pub worker: id::Worker,
    /// The attempt that this is.
    pub attempt: u32,
    /// What became of it.
    pub phase: Phase,
    /// Processor time used at last report.
    pub cpu: Millicores,
    /// Memory used at last report.
    pub memory: Bytes,
}

/// What a task is doing.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize, Display, EnumString)]
#[strum(serialize_all = "lowercase")]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// It runs.
    Running,
    /// It runs slowly by order.
    Throttled,
    /// It was stopped with a checkpoint.
    Checkpointed,
    /// It ended well.
    Done,
    /// It failed.
    Failed,
}

/// An order to a worker.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase", tag = "order")]
pub enum Order {
    /// Start an attempt.  The worker refuses attempts not above the last it saw of the job,
    /// fencing tokens below the highest it saw, and orders meant for another boot of it: it
    /// remembers nothing over a restart, so the boot count is what keeps an order that is given
    /// again from being carried out again.
    Start {
        /// The job.
        job: id::Job,
        /// The attempt.
        attempt: u32,
        /// The placer's fencing token.
        token: u64,
        /// The worker's boot count that the order is meant for.
        boot: u64,
        /// What it may use.
        size: Size,
    },
    /// Slow a task down.
    Throttle {
        /// The job.
        job: id::Job,
    },
    /// Stop a task, keeping what it has done.
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
