//! Finds and stores where the jobs of queues are stored.

use crate::clock;
use crate::node::Node;
use crate::rows;
use celerythread_adapter::configuration::Queue;
use celerythread_adapter::store::{Error, Row, Transaction};
use celerythread_engine::job::{Home, encode};
use celerythread_engine::time::Time;
use std::time::Duration;

/// Longest wait for one call to the store.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// Delay before a failed call is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(120);

/// Finds a queue's home; none if no job of it was ever accepted.
///
/// # Errors
/// When the store does not answer.
pub(crate) async fn find(node: &Node, queue: &str) -> Result<Option<Home>, Error> {
    if let Some(home) = known(node, queue) {
        return Ok(Some(home));
    }
    Ok(read(node, queue).await?.home)
}

/// The same; the home that a new queue of this service would get if there is none.
///
/// # Errors
/// When the store does not answer.
pub(crate) async fn find_or_default(node: &Node, queue: &Queue) -> Result<Home, Error> {
    let found = find(node, &queue.name).await?;
    Ok(found.unwrap_or_else(|| Home::new(&queue.service)))
}

/// Finds a queue's home and makes sure that it is stored with the queue's service, so that the owner
/// of this service reads the jobs that are accepted for it.  Repeats failed calls until a deadline.
///
/// # Errors
/// When the store did not answer in time.
pub(crate) async fn ensure(node: &Node, queue: &Queue, deadline: Time) -> Result<Home, Error> {
    loop {
        if let Some(home) = known(node, &queue.name).filter(|home| home.includes(&queue.service)) {
            return Ok(home);
        }
        let error = match add_service(node, queue).await {
            Ok(home) => return Ok(home),
            Err(error) => error,
        };
        if clock::now() + RETRY_DELAY >= deadline {
            return Err(error);
        }
        async_std::task::sleep(RETRY_DELAY).await;
    }
}

/// The home as the directory has it.
fn known(node: &Node, queue: &str) -> Option<Home> {
    node.directory.read().homes.get(queue).map(|home| home.value.clone())
}

/// The row of a home.
struct Stored {
    /// The home; none if the row doesn't exist or can't be read.
    home: Option<Home>,
    /// The version of the row; 0 if it doesn't exist.
    version: u64,
}

async fn read(node: &Node, queue: &str) -> Result<Stored, Error> {
    let name = rows::home(queue);
    let row = node.store.get(&name.table, &name.part, &name.key, CALL_TIMEOUT).await;
    node.record_store_result(&row);
    let Some(row) = row? else { return Ok(Stored { home: None, version: 0 }) };
    let home = Home::decode(&row.value).inspect_err(|error| {
        node.journal.warn("home_unreadable", &[("queue", &queue), ("reason", error)]);
    });
    Ok(Stored { home: home.ok(), version: row.version })
}

/// Stores a home with a queue's service, unless it has it already.
async fn add_service(node: &Node, queue: &Queue) -> Result<Home, Error> {
    let Stored { home, version } = read(node, &queue.name).await?;
    let home = match home {
        Some(home) if home.includes(&queue.service) => return Ok(home),
        Some(home) => home.with(&queue.service),
        None => Home::new(&queue.service),
    };
    let (name, value) = (rows::home(&queue.name), encode(&home));
    let change = Transaction {
        conditions: vec![(name.clone(), version)],
        writes: vec![(name.clone(), value.clone())],
        ..Transaction::default()
    };
    let version = node.commit(&change, CALL_TIMEOUT).await?;
    let (table, part, key) = (name.table, name.part, name.key);
    let row = Row { table, part, key, value, version, deleted: false };
    node.directory.write().apply(&row);
    node.journal.info(
        "home_stored",
        &[
            ("queue", &queue.name),
            ("partition", &home.partition),
            ("service", &queue.service),
            ("services", &home.services.len()),
        ],
    );
    Ok(home)
}
