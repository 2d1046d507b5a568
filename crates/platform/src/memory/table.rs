//! The in-memory transactional table.

use crate::message::{Changes, Row, Space, Transaction};
use crate::{Error, traits};
use async_trait::async_trait;
use celerythread_model::unit::Revision;
use parking_lot::Mutex;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};

/// Most rows returned by one call of `changes`.
const MAX_ROWS_PER_PAGE: usize = 500;

/// A table in memory that counts its calls.
#[derive(Default)]
pub struct Table {
    state: Mutex<State>,
    writes: AtomicU64,
    reads: AtomicU64,
}

#[derive(Default)]
struct State {
    revision: Revision,
    rows: BTreeMap<(Space, String), Row>,
    /// The change feed: each row's key by the revision of its last write.  Each write of a
    /// transaction takes the next revision, so no two rows share one.
    feed: BTreeMap<(Space, Revision), String>,
}

impl Table {
    /// Transactions committed so far.
    pub fn writes(&self) -> u64 {
        self.writes.load(Ordering::Relaxed)
    }

    /// Reads answered so far.
    pub fn reads(&self) -> u64 {
        self.reads.load(Ordering::Relaxed)
    }
}

impl State {
    fn row(&self, space: Space, key: &str) -> Row {
        let found = self.rows.get(&(space, key.into())).cloned();
        found.unwrap_or(Row { space, key: key.into(), revision: Revision(0), value: None })
    }

    fn write(&mut self, space: Space, key: String, value: Option<String>) {
        self.revision = self.revision.next();
        let revision = self.revision;
        let row = Row { space, key: key.clone(), revision, value };
        if let Some(old) = self.rows.insert((space, key.clone()), row) {
            self.feed.remove(&(space, old.revision));
        }
        self.feed.insert((space, revision), key);
    }
}

#[async_trait]
impl traits::Table for Table {
    async fn commit(&self, transaction: Transaction) -> Result<Revision, Error> {
        let mut state = self.state.lock();
        let mut conflicts = Vec::new();
        for check in &transaction.checks {
            let row = state.row(check.space, &check.key);
            // A deleted row satisfies the condition that there is no such row.
            let absent = check.revision == Revision(0) && row.value.is_none();
            if row.revision != check.revision && !absent {
                conflicts.push(row);
            }
        }
        if !conflicts.is_empty() {
            return Err(Error::Conflict { rows: conflicts });
        }
        self.writes.fetch_add(1, Ordering::Relaxed);
        for write in transaction.writes {
            state.write(write.space, write.key, write.value);
        }
        Ok(state.revision)
    }

    async fn read(&self, space: Space, keys: &[String]) -> Result<Vec<Row>, Error> {
        self.reads.fetch_add(1, Ordering::Relaxed);
        let state = self.state.lock();
        Ok(keys.iter().map(|key| state.row(space, key)).collect())
    }

    async fn changes(&self, space: Space, since: Revision) -> Result<Changes, Error> {
        self.reads.fetch_add(1, Ordering::Relaxed);
        let state = self.state.lock();
        let range = (space, since.next())..=(space, Revision(u64::MAX));
        let mut rows: Vec<Row> = state
            .feed
            .range(range)
            .take(MAX_ROWS_PER_PAGE + 1)
            .map(|(_, key)| state.row(space, key))
            .collect();
        let more = rows.len() > MAX_ROWS_PER_PAGE;
        rows.truncate(MAX_ROWS_PER_PAGE);
        let last = rows.last().map(|row| row.revision);
        let upto = if more { last.unwrap_or(since) } else { state.revision };
        Ok(Changes { rows, upto, more })
    }
}
