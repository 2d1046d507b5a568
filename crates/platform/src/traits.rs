//! The four borders.

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
    /// `Conflict` and `Unavailable` mean that nothing was written; after `Lost` the caller
    /// reads back before it decides.
    async fn commit(&self, transaction: Transaction) -> Result<Revision, Error>;

    /// Reads rows by key; a missing row comes back with revision nought and no value.
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
    /// Stores an object whole.
    ///
    /// # Errors
    /// `Unavailable` and `Lost`; storing again is harmless, since objects are never changed.
    async fn put(&self, name: &str, body: Vec<u8>) -> Result<(), Error>;

    /// Reads an object whole; none if there is none.
    ///
    /// # Errors
    /// `Unavailable`.
    async fn get(&self, name: &str) -> Result<Option<Vec<u8>>, Error>;
}

/// The lagging list of live and leaving instances, and the reboots the platform makes.
#[async_trait]
pub trait Roster: Send + Sync {
    /// The list; none while its version is still `known`.
    ///
    /// At 1,300 instances the list is some 300 KB and is looked at twice a second, while it
    /// changes a few hundred times a day; so an unchanged one is not sent again.
    ///
    /// # Errors
    /// `Unavailable`.
    async fn list(&self, known: &str) -> Result<Option<Listing>, Error>;

    /// Reboots an instance, unless it has already booted more often than `boot`.
    ///
    /// # Errors
    /// `Unavailable` and `Lost`; asking again with the same count is harmless.
    async fn reboot(&self, name: &str, boot: u64) -> Result<(), Error>;
}

/// The workers that run jobs.
#[async_trait]
pub trait Workers: Send + Sync {
    /// Gives an order.
    ///
    /// # Errors
    /// `Refused` means that it did not take effect and will not; `Lost` that it may have.
    async fn order(&self, worker: &id::Worker, order: Order) -> Result<(), Error>;

    /// All tasks of all workers, some time late.
    ///
    /// # Errors
    /// `Unavailable`.
    async fn tasks(&self) -> Result<Vec<Task>, Error>;

    /// One job's tasks on one worker as they are now.
    ///
    /// # Errors
    /// `Unavailable`.
    async fn inspect(&self, worker: &id::Worker, job: &id::Job) -> Result<Option<Task>, Error>;
}

/// The whole platform.
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
