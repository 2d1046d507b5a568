//! Confirmation of overdue transactions by reading their row.
//!
//! An overdue answer may be lost although the transaction was committed, or it may be on its way
//! from a slow store.  If the transaction is abandoned and sent again, each copy queues in its
//! partition, and with a store that is a hundred times slower (0.4 s per transaction) the copies
//! soon block everything else.  So the call stays open, and a read, which doesn't queue, shows
//! whether the row was written.

use crate::clock;
use crate::node::Node;
use celerythread_adapter::store::{Error, Name, Row, Transaction};
use celerythread_engine::timeout::is_write_lost;
use futures::future::{Either, select};
use std::pin::pin;
use std::time::Duration;

/// Longest wait for the read.  It takes some 4 ms, and 400 ms when the store is a hundred times
/// slower.
const READ_TIMEOUT: Duration = Duration::from_millis(700);

/// Evidence that a transaction was committed.
#[derive(Debug)]
pub(crate) enum Confirmed {
    /// The store answered, with the version of the transaction.
    Answered(u64),
    /// A read found this row.
    Found(Row),
}

impl Confirmed {
    /// The version of the transaction.
    pub(crate) fn version(&self) -> u64 {
        match self {
            Self::Answered(version) => *version,
            Self::Found(row) => row.version,
        }
    }
}

/// Commits a transaction that writes the row `name`.  `is_done` tells whether a row that was read
/// shows that the transaction was committed.
///
/// # Errors
/// `Conflict` and `Refused` mean that nothing was written.  `Unanswered` means that the outcome is
/// unknown, after `timeout` or earlier, when a read indicates that the transaction is lost.
pub(crate) async fn commit(
    node: &Node,
    change: &Transaction,
    timeout: Duration,
    name: &Name,
    is_done: impl Fn(&Row) -> bool,
) -> Result<Confirmed, Error> {
    let began = clock::now();
    let mut answer = pin!(node.commit_with_timeout(change, timeout));
    loop {
        let wait = node.commit_timeout.lock().current();
        let overdue = pin!(async_std::task::sleep(wait));
        let error = match select(answer.as_mut(), overdue).await {
            Either::Left((Err(error @ Error::Unanswered { .. }), _)) => Some(error),
            Either::Left((answer, _)) => return answer.map(Confirmed::Answered),
            Either::Right(_) => None,
        };
        if let Some(error) = error {
            // The connection broke, but the transaction may have been committed.
            let row = read_row(node, name).await.unwrap_or_default();
            return row.filter(is_done).map(Confirmed::Found).ok_or(error);
        }
        node.commit_timeout.lock().record_timeout();
        let asked = clock::now();
        let reading = pin!(read_row(node, name));
        match select(answer.as_mut(), reading).await {
            Either::Left((answer, _)) => return answer.map(Confirmed::Answered),
            // Neither the commit nor the read is answered; another path may work.
            Either::Right((Err(error), _)) => return Err(unanswered_error(error.to_string())),
            Either::Right((Ok(row), _)) => {
                if let Some(row) = row.filter(&is_done) {
                    return Ok(Confirmed::Found(row));
                }
                let now = clock::now();
                if is_write_lost(now.since(began), now.since(asked)) {
                    return Err(unanswered_error("a read does not show the row".into()));
                }
            }
        }
    }
}

/// The error for an unknown outcome.  A failed read doesn't show that the transaction was not
/// committed.
fn unanswered_error(reason: String) -> Error {
    Error::Unanswered { reason }
}

async fn read_row(node: &Node, name: &Name) -> Result<Option<Row>, Error> {
    let row = node.store.get(&name.table, &name.part, &name.key, READ_TIMEOUT).await;
    node.record_store_result(&row);
    row
}
