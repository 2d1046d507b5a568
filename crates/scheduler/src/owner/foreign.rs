//! Jobs of a cell that are stored in the partitions of another service.
//!
//! The configuration sent their queue to that service when its first job was accepted, and sends it
//! to this one since.

use crate::clock;
use crate::follow::Sink;
use crate::home;
use crate::owner::Owner;
use crate::owner::load::JobSink;
use crate::rows;
use celerythread_adapter::configuration::Queue;
use celerythread_adapter::store::{Error, Page, Row};
use celerythread_engine::job::{Home, Id};
use parking_lot::Mutex;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// Interval between two checks for queues that were sent to this service.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Longest wait for one call to the store.
const CALL_TIMEOUT: Duration = Duration::from_millis(1000);

/// Where the jobs of a cell are stored.
#[derive(Default)]
pub(crate) struct Foreign {
    /// Partitions of other services that this owner reads.
    partitions: Mutex<BTreeSet<String>>,
    /// Jobs that are stored in them, with their partition.
    jobs: Mutex<BTreeMap<Id, String>>,
}

impl Foreign {
    /// The partitions of other services that may have jobs of this cell.
    pub(crate) fn partitions(&self) -> BTreeSet<String> {
        self.partitions.lock().clone()
    }

    /// Whether a row of the table of jobs may concern the cell of a service.
    pub(crate) fn concerns(&self, row: &Row, service: &str) -> bool {
        rows::partition_of(row)
            .is_some_and(|part| part == service || self.partitions.lock().contains(part))
    }

    /// Records the partition of a job, unless it is the one of its service.
    pub(crate) fn record_job(&self, id: Id, partition: &str, service: &str) {
        if partition != service {
            self.jobs.lock().insert(id, partition.into());
        }
    }

    /// The partition of a job of a service.
    pub(crate) fn partition(&self, id: &Id, service: &str) -> String {
        self.jobs.lock().get(id).cloned().unwrap_or_else(|| service.into())
    }

    /// Removes jobs whose rows were deleted.
    pub(crate) fn forget_jobs(&self, ids: &[Id]) {
        let mut jobs = self.jobs.lock();
        ids.iter().for_each(|id| drop(jobs.remove(id)));
    }
}

/// Reads which partitions may have jobs of the cell, then the jobs in all of them.  The version is that
/// of the first read.
///
/// # Errors
/// When the store does not answer.
pub(crate) async fn read_jobs(owner: &Owner) -> Result<Page, Error> {
    let store = &owner.node.store;
    let homes = store.read_partition(rows::DIRECTORY, "", rows::HOME_PREFIX, CALL_TIMEOUT).await?;
    let homes = homes.rows.iter().filter_map(|row| Home::decode(&row.value).ok());
    let foreign = homes.filter(|home| home.is_foreign_to(&owner.service));
    owner.foreign.partitions.lock().extend(foreign.map(|home| home.partition));
    read_known_partitions(owner, CALL_TIMEOUT).await
}

/// Reads the jobs in the partitions that may have some of the cell.  The version is that of the first
/// read, so a feed followed from there misses nothing.
///
/// # Errors
/// When the store does not answer.
pub(crate) async fn read_known_partitions(owner: &Owner, timeout: Duration) -> Result<Page, Error> {
    let store = &owner.node.store;
    let prefix = rows::shard_prefix(&owner.service);
    let mut jobs = store.read_partitions(rows::JOBS, &prefix, timeout).await?;
    for partition in owner.foreign.partitions() {
        let prefix = rows::shard_prefix(&partition);
        let page = store.read_partitions(rows::JOBS, &prefix, timeout).await?;
        jobs.unreadable += page.unreadable;
        jobs.rows.extend(page.rows);
    }
    Ok(jobs)
}

/// Stores the homes of the service's queues, and reads the partitions of queues that were sent to it,
/// until the cell is lost.
pub(crate) async fn follow_homes(owner: Arc<Owner>) {
    while owner.pause(CHECK_INTERVAL).await {
        if owner.node.is_outage_suspected() {
            continue;
        }
        for queue in queues_without_home(&owner) {
            // A submission to the queue repeats it.
            let stored = home::ensure(&owner.node, &queue, clock::now()).await;
            if let Err(error) = stored {
                let fields: [(&'static str, &dyn std::fmt::Display); 2] =
                    [("queue", &queue.name), ("reason", &error)];
                owner.node.journal.warn("home_not_stored", &fields);
                break;
            }
        }
        let listed = owner.node.directory.read().foreign_partitions(&owner.service);
        let known = owner.foreign.partitions();
        for partition in listed.difference(&known) {
            read_new_partition(&owner, partition).await;
        }
    }
}

fn queues_without_home(owner: &Owner) -> Vec<Queue> {
    let Some(configuration) = owner.node.configuration() else { return Vec::new() };
    let directory = owner.node.directory.read();
    let is_stored = |queue: &Queue| {
        directory.homes.get(&queue.name).is_some_and(|home| home.value.includes(&owner.service))
    };
    let own = configuration.queues.iter().filter(|queue| queue.service == owner.service);
    own.filter(|queue| !is_stored(queue)).cloned().collect()
}

/// Reads a partition that may have jobs of the cell from now on.  Its changes are followed before it is
/// read, so that none is missed between the two.
async fn read_new_partition(owner: &Arc<Owner>, partition: &str) {
    let (node, service) = (&owner.node, &owner.service);
    owner.foreign.partitions.lock().insert(partition.into());
    let prefix = rows::shard_prefix(partition);
    let page = node.store.read_partitions(rows::JOBS, &prefix, CALL_TIMEOUT).await;
    node.record_store_result(&page);
    let outcome = match page {
        Ok(page) => {
            let rows = page.rows.len();
            JobSink(owner.clone()).replace(page.rows, page.version);
            format!("{rows} rows")
        }
        Err(error) => {
            // Read again with the next check.
            owner.foreign.partitions.lock().remove(partition);
            error.to_string()
        }
    };
    node.journal.info(
        "partition_read",
        &[("service", service), ("partition", &partition), ("outcome", &outcome)],
    );
}
