//! Idle connections to minions, kept for idempotent requests only.

use celerythread_http::Fault;
use celerythread_http::client::Connection;
use parking_lot::Mutex;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Connections kept to one minion.  Nine entries with two idle ones each, and the eight slots,
/// stay far below a minion's 64.
const MAX_IDLE_PER_MINION: usize = 2;

/// Longest wait for a connection to a minion.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

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
        while let Some(mut connection) = self.pop_idle(address) {
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
        Connection::open(address, left.min(CONNECT_TIMEOUT)).await
    }

    fn pop_idle(&self, address: SocketAddr) -> Option<Connection> {
        self.idle.lock().get_mut(&address)?.pop()
    }

    /// Keeps a connection whose last answer was read whole.
    pub(crate) fn add_idle(&self, address: SocketAddr, connection: Connection) {
        let mut idle = self.idle.lock();
        let connections = idle.entry(address).or_default();
        if connections.len() < MAX_IDLE_PER_MINION {
            connections.push(connection);
        }
    }

    /// Closes the idle connections to a minion.
    pub(crate) fn close_idle(&self, address: SocketAddr) {
        self.idle.lock().remove(&address);
    }
}
