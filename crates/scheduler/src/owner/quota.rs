//! The workspaces' limits: following how they are split, and writing this cell's shares.

use crate::clock;
use crate::follow::{self, Sink, Table};
use crate::metrics::Counter;
use crate::owner::Owner;
use crate::rows;
use celerythread_adapter::store::{Error, Row, Transaction};
use celerythread_engine::job::{decode, encode};
use celerythread_engine::quota::{Change, Split};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use stop_token::future::FutureExt;

/// Pause between two reads of changes: each cell's change is one for every other cell's owner.
const FEED_PAUSE: Duration = Duration::from_millis(50);

/// Time between two looks whether there is a limit to follow.
const LOOK: Duration = Duration::from_millis(200);

/// Longest wait for a transaction.
const COMMIT_LIMIT: Duration = Duration::from_millis(1000);

/// Follows the splits while any workspace has a limit, until the cell is lost.
pub(crate) async fn follow_splits(owner: Arc<Owner>) {
    while !owner.with(|cell| cell.has_limits()).unwrap_or(false) {
        if !owner.pause(LOOK).await {
            return;
        }
    }
    let table = Table {
        name: rows::SPLITS,
        has_parts: false,
        has_all_entries: false,
        pause: FEED_PAUSE,
        idle_pause: FEED_PAUSE,
        wait: follow::FEED_WAIT,
    };
    let sink = Arc::new(Splits(owner.clone()));
    let following = follow::follow(owner.node.clone(), table, sink);
    // Ends when the cell is lost.
    let _ = following.timeout_at(owner.stopped.clone()).await;
}

/// Takes in the splits as they are written.
struct Splits(Arc<Owner>);

impl Sink for Splits {
    fn replace(&self, rows: Vec<Row>, _: u64) {
        take(&self.0, &rows);
    }

    fn change(&self, rows: Vec<Row>) {
        take(&self.0, &rows);
    }

    fn taken(&self) {
        self.0.with(|cell| cell.confirm_splits(clock::now()));
    }
}

fn take(owner: &Owner, rows: &[Row]) {
    let splits: Vec<(Box<str>, u64, Split)> =
        rows.iter().filter_map(|row| read(owner, row)).collect();
    owner.with(|cell| cell.take_splits(splits, clock::now()));
    owner.plan_wake.wake();
}

/// A split as it is kept; none, with a line, if it can't be read.  Nothing of its workspace is started then, since
/// what others use isn't known.
fn read(owner: &Owner, row: &Row) -> Option<(Box<str>, u64, Split)> {
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

/// Writes the changes of this cell's shares that are due; one transaction at a time.
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
        write(&owner, &changes).await;
        owner.writing_shares.store(false, Ordering::SeqCst);
        owner.plan_wake.wake();
    });
}

async fn write(owner: &Owner, changes: &[Change]) {
    let name = |change: &Change| rows::split(&change.workspace);
    let transaction = Transaction {
        conditions: changes.iter().map(|change| (name(change), change.version)).collect(),
        writes: changes.iter().map(|change| (name(change), encode(&change.split))).collect(),
        ..Transaction::default()
    };
    owner.node.metrics.count(Counter::ShareWrites);
    let outcome = owner.node.commit(&transaction, COMMIT_LIMIT).await;
    let now = clock::now();
    match &outcome {
        Ok(version) => {
            owner.with(|cell| cell.splits_written(changes, *version, now));
        }
        Err(Error::Conflict { rows }) => {
            owner.node.metrics.count(Counter::ShareConflicts);
            owner.with(|cell| cell.splits_refused(changes));
            take(owner, rows);
        }
        Err(Error::Refused { .. } | Error::HistoryGone) => {
            owner.with(|cell| cell.splits_refused(changes));
        }
        // It may be carried out yet, and until the row has changed the smaller size counts.
        Err(Error::Unanswered { .. } | Error::Unreadable { .. }) => {}
    }
    for change in changes {
        let share = change.split.shares.get(owner.service.as_str()).copied().unwrap_or_default();
        owner.node.journal.note(
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
