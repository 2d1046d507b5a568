//! Probes the store while it is in doubt.
//!
//! Entries call the store seldom, so few of their own calls would show that an outage has begun or
//! ended.  After a failed call, short reads are sent until one is answered.

use crate::node::Node;
use crate::rows;
use std::sync::Arc;
use std::time::Duration;
use stop_token::future::FutureExt;

/// Time between two probes.  They overlap, so a silent store is known to be down about a second
/// after the first failed call.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);

/// Longest wait for the answer to a probe.  A store that is a hundred times slower than usual
/// answers in 400 ms.
const PROBE_TIMEOUT: Duration = Duration::from_millis(700);

/// Longest time between two checks whether the store is in doubt.
const CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Probes the store after failed calls until the node stops.
pub(crate) async fn probe_forever(node: Arc<Node>) {
    while node.store_doubted.wait(CHECK_INTERVAL).timeout_at(node.stop.clone()).await.is_ok() {
        while node.is_store_in_doubt() {
            async_std::task::spawn(probe(node.clone()));
            if !node.pause(PROBE_INTERVAL).await {
                return;
            }
        }
    }
}

async fn probe(node: Arc<Node>) {
    let range = node.store.range(rows::DIRECTORY, "", "", None, 1, PROBE_TIMEOUT);
    node.record_store_result(&range.await);
}
