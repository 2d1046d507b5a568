//! Reads versions of the store that bound what silent holders of cells knew.

use crate::clock;
use crate::node::Node;
use crate::rows;
use celerythread_engine::ownership::former::Sending;
use std::sync::Arc;
use std::time::Duration;

/// Time between two checks whether a version is to be read.  Jobs accepted in this time after an
/// outage of the store count as inherited.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Longest wait for a read.
const READ_TIMEOUT: Duration = Duration::from_millis(700);

/// Reads a version when the holder of a cell has been silent for long enough, until the node stops.
///
/// The feeds' versions don't serve this: a feed that waited without a change may return the version
/// that it was asked to continue from.
pub(crate) async fn read_forever(node: Arc<Node>) {
    while node.pause(CHECK_INTERVAL).await {
        if node.is_outage_ongoing() {
            continue;
        }
        let sending = Sending::new(clock::now(), &node.store.clock());
        if !node.view.read().watch.is_read_due(sending) {
            continue;
        }
        let page = node.store.range(rows::JOBS, "", "", None, 1, READ_TIMEOUT).await;
        node.record_store_result(&page);
        if let Ok(page) = page {
            node.view.write().watch.record_read(sending, page.version);
        }
    }
}
