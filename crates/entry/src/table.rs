//! A table wrapper that counts calls and records when outages begin and end.

use crate::clock::Clock;
use crate::metrics::{Counter, Metrics};
use crate::timeline::Timeline;
use async_trait::async_trait;
use celerythread_model::event::{self, Kind};
use celerythread_model::unit::Revision;
use celerythread_platform::message::{Changes, Row, Space, Transaction};
use celerythread_platform::{Error, Table};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// A table whose calls are counted.
pub(crate) struct InstrumentedTable {
    pub(crate) inner: Arc<dyn Table>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) timeline: Arc<Timeline>,
    pub(crate) clock: Clock,
    pub(crate) reachable: AtomicBool,
}

impl InstrumentedTable {
    fn record_result<T>(&self, result: &Result<T, Error>) {
        let failed = matches!(result, Err(Error::Unavailable { .. } | Error::Lost { .. }));
        if failed {
            self.metrics.count(Counter::PlatformFailures);
        }
        let was_reachable = self.reachable.swap(!failed, Ordering::Relaxed);
        if was_reachable == failed {
            self.timeline.record(self.clock.wall_ms(), Kind::Platform { reachable: !failed });
        }
    }
}

#[async_trait]
impl Table for InstrumentedTable {
    async fn commit(&self, transaction: Transaction) -> Result<Revision, Error> {
        self.metrics.count(Counter::TableWrites);
        let result = self.inner.commit(transaction).await;
        self.record_result(&result);
        if let Ok(revision) = &result {
            self.timeline.witness(event::Clock::at_revision(*revision));
        }
        result
    }

    async fn read(&self, space: Space, keys: &[String]) -> Result<Vec<Row>, Error> {
        self.metrics.count(Counter::TableReads);
        let result = self.inner.read(space, keys).await;
        self.record_result(&result);
        result
    }

    async fn changes(&self, space: Space, since: Revision) -> Result<Changes, Error> {
        self.metrics.count(Counter::TableReads);
        let result = self.inner.changes(space, since).await;
        self.record_result(&result);
        result
    }
}
