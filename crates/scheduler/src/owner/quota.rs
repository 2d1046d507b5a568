//! Workspaces' limits: follows how they are split, and writes this cell's shares.

use crate::clock;
use crate::follow::{self, Need, Sink, Table};
use crate::metrics::Counter;
use crate::owner::Owner;
use crate::rows;
use celerythread_adapter::store::{Error, Row, Transaction};
use celerythread_engine::job::{decode, encode};
use celerythread_engine::quota::{Change, Split};
use celerythread_engine::time::Time;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use stop_token::future::FutureExt;

/// Pause between reads of changes: the owner of every other cell reads each cell's change.
const SPLITS_BATCH_DELAY: Duration = Duration::from_millis(50);

/// Time between checks whether any workspace has a limit.
const LIMIT_CHECK_INTERVAL: Duration = Duration::from_millis(200);

const COMMIT_TIMEOUT: Duration = Duration::from_millis(1000);

/// Follows the splits while any workspace has a limit, until the cell is lost.
pub(crate) async fn follow_splits(owner: Arc<Owner>) {
    while !owner.with(|cell| cell.has_limits()).unwrap_or(false) {
        if !owner.pause(LIMIT_CHECK_INTERVAL).await {
            return;
        }
    }
    let table = Table {
        name: rows::SPLITS,
        has_partitions: false,
        has_row_per_entry: false,
        batch_delay: SPLITS_BATCH_DELAY,
        need: Need::Always,
        max_wait: follow::MAX_FEED_WAIT,
    };
    let sink = Arc::new(SplitSink(owner.clone()));
    let following = follow::follow(owner.node.clone(), table, sink);
    // Ends when the cell is lost.
    let _ = following.timeout_at(owner.stopped.clone()).await;
}

/// Sink for the splits.
struct SplitSink(Arc<Owner>);

impl Sink for SplitSink {
    fn replace(&self, rows: Vec<Row>, _: u64) {
        apply_splits(&self.0, &rows);
    }

    fn apply_changes(&self, rows: Vec<Row>) {
        apply_splits(&self.0, &rows);
    }

    fn read_applied(&self, _: Time, _: u64) {
        self.0.with(|cell| cell.confirm_splits(clock::now()));
    }
}

fn apply_splits(owner: &Owner, rows: &[Row]) {
    let splits: Vec<(Box<str>, u64, Split)> =
        rows.iter().filter_map(|row| decode_split(owner, row)).collect();
    owner.with(|cell| cell.record_splits(splits, clock::now()));
    owner.plan_wake.wake();
}

/// Decodes a stored split; none, with a log line, if it can't be read.  Nothing of its workspace is
/// started then, because the use by other cells is unknown.
fn decode_split(owner: &Owner, row: &Row) -> Option<(Box<str>, u64, Split)> {
    if row.deleted || row.version == 0 {
        return Some((row.key.as_str().into(), row.version, Split::default()));
    }
    match decode(&row.value) {
        Ok(split) => Some((row.key.as_str().into(), row.version, split)),
        Err(error) => {
            let fields: [(&'static str, &dyn std::fmt::Display); 2] =
                [("workspace", &row.key), ("reason", &error)];
            owner.node.journal.warn("split_unreadable", &fields);
            None
        }
    }
}

/// Writes the due changes of this cell's shares, one transaction at a time.
pub(crate) fn write_shares(owner: &Arc<Owner>) {
    if owner.writing_shares.swap(true, Ordering::SeqCst) {
        return;
    }
    let changes = owner.with(|cell| cell.split_changes(clock::now())).unwrap_or_default();
    if changes.is_empty() {
        owner.writing_shares.store(false, Ordering::SeqCst);
        return;
    }
    let owner = owner.clone();
    async_std::task::spawn(async move {
        commit_changes(&owner, &changes).await;
        owner.writing_shares.store(false, Ordering::SeqCst);
        owner.plan_wake.wake();
    });
}

async fn commit_changes(owner: &Owner, changes: &[Change]) {
    let name = |change: &Change| rows::split(&change.workspace);
    let transaction = Transaction {
        conditions: changes.iter().map(|change| (name(change), change.version)).collect(),
        writes: changes.iter().map(|change| (name(change), encode(&change.split))).collect(),
        ..Transaction::default()
    };
    owner.node.metrics.count(Counter::ShareWrites);
    let outcome = owner.node.commit(&transaction, COMMIT_TIMEOUT).await;
    let now = clock::now();
    match &outcome {
        Ok(version) => {
            owner.with(|cell| cell.record_split_changes(changes, *version, now));
        }
        Err(Error::Conflict { rows }) => {
            owner.node.metrics.count(Counter::ShareConflicts);
            owner.with(|cell| cell.discard_split_changes(changes));
            apply_splits(owner, rows);
        }
        Err(Error::Refused { .. } | Error::HistoryGone) => {
            owner.with(|cell| cell.discard_split_changes(changes));
        }
        // It may still be committed, and until the row has changed the smaller size counts.
        Err(Error::Unanswered { .. } | Error::Unreadable { .. }) => {}
    }
    for change in changes {
        let share = change.split.shares.get(owner.service.as_str()).copied().unwrap_or_default();
        owner.node.journal.info(
            "share_changed",
            &[
                ("workspace", &change.workspace),
                ("service", &owner.service),
                ("size", &share.size),
                ("wanted", &share.wanted),
                ("limit", &change.split.limit),
                ("version", &change.version),
                ("outcome", &outcome.as_ref().map_or_else(ToString::to_string, |_| "done".into())),
            ],
        );
    }
}
