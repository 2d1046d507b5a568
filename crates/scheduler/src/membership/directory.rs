//! Follows the directory.

use crate::directory::Directory;
use crate::follow::{self, Need, Sink, Table};
use crate::node::Node;
use crate::rows;
use celerythread_adapter::store::Row;
use std::sync::Arc;
use std::time::Duration;

/// Pause between reads of changes, which batches those of several members.
const BATCH_DELAY: Duration = Duration::from_millis(250);

/// Longest wait of one read for a change.  A dead connection is noticed once the answer is overdue;
/// until then calls to an outdated holder fail and are answered from the store.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// Applies rows of the directory.
struct DirectorySink(Arc<Node>);

impl DirectorySink {
    fn apply_rows(&self, directory: &mut Directory, rows: &[Row]) {
        for row in rows {
            if !directory.apply(row) {
                self.0.journal.warn("directory_row_unreadable", &[("key", &row.key)]);
            }
        }
    }
}

impl Sink for DirectorySink {
    fn replace(&self, rows: Vec<Row>, version: u64) {
        let mut fresh = Directory::at(version);
        self.apply_rows(&mut fresh, &rows);
        *self.0.directory.write() = fresh;
        self.0.directory_wake.wake();
    }

    fn apply_changes(&self, rows: Vec<Row>) {
        self.apply_rows(&mut self.0.directory.write(), &rows);
        self.0.directory_wake.wake();
    }
}

/// Follows the directory until the node stops.
pub(crate) async fn follow(node: Arc<Node>) {
    let table = Table {
        name: rows::DIRECTORY,
        has_partitions: false,
        has_row_per_entry: false,
        batch_delay: BATCH_DELAY,
        need: Need::Always,
        max_wait: MAX_WAIT,
    };
    let sink = Arc::new(DirectorySink(node.clone()));
    follow::follow(node, table, sink).await;
}
