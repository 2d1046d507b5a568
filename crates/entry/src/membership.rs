//! The registry of entries that may route.
//!
//! An entry registers before it routes, and reads the fleet's rows after that.  Its registration
//! is removed by its own graceful stop, or by the fleet controller once the platform's list has
//! not shown the instance for longer than the list's lag.  Then the process has certainly
//! terminated, without relying on the clock of a process that may only be paused.

use crate::node::Node;
use celerythread_model::fleet::{self, Registration};
use celerythread_model::id;
use celerythread_model::table::Space;
use celerythread_model::unit::Revision;
use celerythread_platform::Error;
use celerythread_platform::message::Transaction;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Delay between two attempts to register.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// The addresses of this entry.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Addresses {
    pub(crate) peer: SocketAddr,
    pub(crate) operator: SocketAddr,
}

fn registration(node: &Node, addresses: Addresses, stopping: bool) -> Registration {
    Registration {
        entry: node.entry_id.clone(),
        zone: node.settings.zone.clone(),
        peer_address: addresses.peer,
        operator_address: addresses.operator,
        stopping,
    }
}

/// Registers this process, retrying until it succeeds.  Returns false if it is stopped first.
pub(crate) async fn register(node: &Arc<Node>, addresses: Addresses) -> bool {
    let key = fleet::key::<Registration>(&node.entry_id);
    let registration = registration(node, addresses, false);
    loop {
        let mut transaction =
            Transaction::new().replace(Space::Fleet, &*key, Revision(0), &registration);
        for (stale, revision) in predecessor_rows(node, addresses.peer) {
            transaction = transaction.check(Space::Fleet, &*stale, revision);
            transaction = transaction.delete(Space::Fleet, stale);
        }
        match node.platform.table.commit(transaction).await {
            Ok(_) => return true,
            // If the answer was lost, the next attempt conflicts with our own row.
            Err(Error::Conflict { rows }) => {
                let ours = rows.iter().any(|existing| existing.key == key);
                if ours {
                    return true;
                }
            }
            Err(_) => {}
        }
        if !node.sleep_unless_stopped(RETRY_DELAY).await {
            return false;
        }
        let _ = crate::follow::refresh_view(node).await;
    }
}

/// Rows of earlier processes at this entry's peer address.  They have terminated, since the
/// address could not have been bound otherwise.
fn predecessor_rows(node: &Node, peer: SocketAddr) -> Vec<(String, Revision)> {
    let view = node.view.read();
    let stale = view.entries().values().filter(|registration| registration.peer_address == peer);
    let stale = stale.filter(|registration| registration.entry != node.entry_id);
    stale
        .map(|registration| {
            let key = fleet::key::<Registration>(&registration.entry);
            let revision = view.revision(&key);
            (key, revision)
        })
        .collect()
}

/// Marks this entry in the registry as taking no new work.
pub(crate) async fn announce_stop(node: &Arc<Node>, addresses: Addresses) {
    let key = fleet::key::<Registration>(&node.entry_id);
    let revision = node.view.read().revision(&key);
    let registration = registration(node, addresses, true);
    let transaction = Transaction::new().replace(Space::Fleet, key, revision, &registration);
    // Best effort: peers also learn it from heartbeats.
    let _ = node.platform.table.commit(transaction).await;
    let _ = crate::follow::refresh_view(node).await;
}

/// Removes this entry from the registry.  Only called once it holds no work and no slots.
pub(crate) async fn deregister(node: &Arc<Node>) -> bool {
    let key = fleet::key::<Registration>(&node.entry_id);
    let transaction = Transaction::new().delete(Space::Fleet, key);
    node.platform.table.commit(transaction).await.is_ok()
}

/// The name of an entry's instance: its id without the suffix that is new with every start.
pub(crate) fn instance_name(entry: &id::Entry) -> &str {
    entry.as_str().rsplit_once('.').map_or(entry.as_str(), |(instance, _)| instance)
}
