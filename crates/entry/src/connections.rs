//! Idle connections to minions, kept for idempotent requests only.

use celerythread_http::Fault;
use celerythread_http::client::Connection;
use parking_lot::Mutex;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Connections kept to one minion.  Nine entries with two idle ones each, and the eight slots,
/// stay far below a minion's 64.
const IDLE_LIMIT: usize = 2;

/// Longest wait for a connection to a minion.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);

/// The connections.
#[derive(Default)]
pub(crate) struct Connections {
    idle: Mutex<HashMap<SocketAddr, Vec<Connection>>>,
}

impl Connections {
    /// A connection for a request that may be sent again: an idle one that shows no sign of
    /// having been closed, else a new one.
    pub(crate) async fn reuse(
        &self,
        address: SocketAddr,
        left: Duration,
    ) -> Result<Connection, Fault> {
        while let Some(mut connection) = self.take(address) {
            if !connection.is_stale().await {
                return Ok(connection);
            }
        }
        self.open(address, left).await
    }

    /// A new connection.
    ///
    /// A request that must run at most once goes only onto a new one: an idle connection may
    /// have been forgotten by something in between, and then nobody can tell whether the
    /// request arrived.
    pub(crate) async fn open(
        &self,
        address: SocketAddr,
        left: Duration,
    ) -> Result<Connection, Fault> {
        Connection::open(address, left.min(CONNECT_LIMIT)).await
    }

    fn take(&self, address: SocketAddr) -> Option<Connection> {
        self.idle.lock().get_mut(&address)?.pop()
    }

    /// Keeps a connection whose last answer was read whole.
    pub(crate) fn keep(&self, address: SocketAddr, connection: Connection) {
        let mut idle = self.idle.lock();
        let kept = idle.entry(address).or_default();
        if kept.len() < IDLE_LIMIT {
            kept.push(connection);
        }
    }

    /// Closes the idle connections to a minion.
    pub(crate) fn forget(&self, address: SocketAddr) {
        self.idle.lock().remove(&address);
    }
}
