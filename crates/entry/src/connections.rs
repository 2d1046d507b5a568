//! Idle connections to minions, kept for idempotent requests only.

use celerythread_http::Fault;
use celerythread_http::client::Connection;
use parking_lot::Mutex;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum number of idle connections to one minion.  Two from each of nine entries, and those
/// of the eight slots, stay far below a minion's limit of 64.
const MAX_IDLE_PER_MINION: usize = 2;

/// Longest time to connect to a minion.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A cache of idle connections by minion address.
#[derive(Default)]
pub(crate) struct Connections {
    idle: Mutex<HashMap<SocketAddr, Vec<Connection>>>,
}

impl Connections {
    /// Returns a connection for a request that may be resent: an idle one that shows no sign of
    /// having been closed, or else a new one.
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

    /// Opens a new connection.
    ///
    /// A request that must run at most once is sent on a new connection only: a firewall or NAT
    /// in between may have dropped its state of an idle one, and then it is unknown whether the
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

    /// Adds a connection whose last answer was read to its end, unless the minion has enough.
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
