//! The platform's four interfaces.

use crate::Error;
use crate::message::{Changes, Listing, Order, Row, Space, Task, Transaction};
use async_trait::async_trait;
use celerythread_model::id;
use celerythread_model::unit::Revision;
use std::sync::Arc;

/// The transactional table.
#[async_trait]
pub trait Table: Send + Sync {
    /// Commits a transaction and returns the revision of its last write; its writes take
    /// consecutive revisions in their order.
    ///
    /// # Errors
    /// `Conflict` and `Unavailable` mean that nothing was written; after `Lost` the sender reads
    /// the rows back to learn whether the transaction took effect.
    async fn commit(&self, transaction: Transaction) -> Result<Revision, Error>;

    /// Reads rows by key; a missing row is returned with revision 0 and no value.
    ///
    /// # Errors
    /// `Unavailable`.
    async fn read(&self, space: Space, keys: &[String]) -> Result<Vec<Row>, Error>;

    /// Reads the changes of a space after a revision.
    ///
    /// # Errors
    /// `Unavailable`.
    async fn changes(&self, space: Space, since: Revision) -> Result<Changes, Error>;
}

/// The object store.
#[async_trait]
pub trait Objects: Send + Sync {
    /// Stores an object.
    ///
    /// # Errors
    /// `Unavailable` and `Lost`; a retry is safe, since objects are immutable.
    async fn put(&self, name: &str, body: Vec<u8>) -> Result<(), Error>;

    /// Reads an object; `None` if it does not exist.
    ///
    /// # Errors
    /// `Unavailable`.
    async fn get(&self, name: &str) -> Result<Option<Vec<u8>>, Error>;
}

/// The list of live and leaving instances, which lags, and reboots of instances.
#[async_trait]
pub trait Roster: Send + Sync {
    /// Reads the list; `None` while its version is still `known`.
    ///
    /// With 1,300 instances the list has about 300 KB and is polled twice a second, while it
    /// changes a few hundred times a day; so an unchanged list is not sent again.
    ///
    /// # Errors
    /// `Unavailable`.
    async fn list(&self, known: &str) -> Result<Option<Listing>, Error>;

    /// Reboots an instance, unless its boot count is already above `boot`.
    ///
    /// # Errors
    /// `Unavailable` and `Lost`; a retry with the same count is safe.
    async fn reboot(&self, name: &str, boot: u64) -> Result<(), Error>;
}

/// The workers that run jobs.
#[async_trait]
pub trait Workers: Send + Sync {
    /// Sends an order to a worker.
    ///
    /// # Errors
    /// `Refused` means that it did not take effect and will not; `Lost` that it may have.
    async fn order(&self, worker: &id::Worker, order: Order) -> Result<(), Error>;

    /// Reads all tasks of all workers, with a lag.
    ///
    /// # Errors
    /// `Unavailable`.
    async fn tasks(&self) -> Result<Vec<Task>, Error>;

    /// Reads the current state of a job's task on a worker.
    ///
    /// # Errors
    /// `Unavailable`.
    async fn inspect(&self, worker: &id::Worker, job: &id::Job) -> Result<Option<Task>, Error>;
}

/// All interfaces of the platform.
#[derive(Clone)]
pub struct Platform {
    /// The table.
    pub table: Arc<dyn Table>,
    /// The object store.
    pub objects: Arc<dyn Objects>,
    /// The list of instances.
    pub roster: Arc<dyn Roster>,
    /// The workers.
    pub workers: Arc<dyn Workers>,
}
