//! Transactions whose answer is overdue, confirmed by reading.
//!
//! An overdue answer may be lost, with the transaction carried out, or on its way from a slow
//! store.  Given up and sent again, each copy takes its partition's turn, and at a store that is a
//! hundred times slower (0.4 s a turn) the copies soon leave no turn for anything else.  So the
//! call stays open, and a read, which waits for no turn, tells whether the row is there.

use crate::clock;
use crate::node::Node;
use celerythread_adapter::store::{Error, Name, Row, Transaction};
use celerythread_engine::timeout::is_write_lost;
use futures::future::{Either, select};
use std::pin::pin;
use std::time::Duration;

/// Longest wait for a read.  The store answers in some 4 ms, and in 400 ms when it is a hundred
/// times slower.
const READ_LIMIT: Duration = Duration::from_millis(700);

/// How a transaction is known to be carried out.
#[derive(Debug)]
pub(crate) enum Confirmed {
    /// The store said so.
    Answered,
    /// This row was found.
    Found(Row),
}

/// Commits a transaction that writes the row `name`; a row for which `is_done` holds shows that
/// it was carried out.
///
/// # Errors
/// `Conflict` and `Refused` mean that nothing was done; `Unanswered` that nobody knows, after
/// `limit`, or earlier when the transaction is lost by the measure of a read.
pub(crate) async fn commit(
    node: &Node,
    change: &Transaction,
    limit: Duration,
    name: &Name,
    is_done: impl Fn(&Row) -> bool,
) -> Result<Confirmed, Error> {
    let began = clock::now();
    let mut answer = pin!(node.commit_patiently(change, limit));
    loop {
        let wait = node.patience.lock().current();
        let overdue = pin!(async_std::task::sleep(wait));
        let error = match select(answer.as_mut(), overdue).await {
            Either::Left((Err(error @ Error::Unanswered { .. }), _)) => Some(error),
            Either::Left((answer, _)) => return answer.map(|_| Confirmed::Answered),
            Either::Right(_) => None,
        };
        if let Some(error) = error {
            // Its connection broke; the row may be there all the same.
            let row = read(node, name).await.unwrap_or_default();
            return row.filter(is_done).map(Confirmed::Found).ok_or(error);
        }
        node.patience.lock().record_timeout();
        let asked = clock::now();
        let reading = pin!(read(node, name));
        match select(answer.as_mut(), reading).await {
            Either::Left((answer, _)) => return answer.map(|_| Confirmed::Answered),
            // Neither is answered: another way may serve.
            Either::Right((Err(error), _)) => return Err(unsure(error.to_string())),
            Either::Right((Ok(row), _)) => {
                if let Some(row) = row.filter(&is_done) {
                    return Ok(Confirmed::Found(row));
                }
                let now = clock::now();
                if is_write_lost(now.since(began), now.since(asked)) {
                    return Err(unsure("a read does not show it".into()));
                }
            }
        }
    }
}

/// A read that is refused says nothing about the transaction, which may have been done.
fn unsure(reason: String) -> Error {
    Error::Unanswered { reason }
}

async fn read(node: &Node, name: &Name) -> Result<Option<Row>, Error> {
    let row = node.store.get(&name.table, &name.part, &name.key, READ_LIMIT).await;
    node.store_result(&row);
    row
}
