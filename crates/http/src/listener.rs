//! Accepts connections and serves each until the server stops.

use crate::server::{self, Handler, Limits, Stop};
use async_std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use stop_token::future::FutureExt;

/// Delay after a failed accept: most likely the process is out of file descriptors, which are
/// freed as connections end.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Decrements the number of open connections when a connection ends.
struct ConnectionGuard(Arc<AtomicUsize>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// State shared by the connections of a listener.
#[derive(Clone)]
pub struct Server {
    /// Handles the requests.
    pub handler: Arc<dyn Handler>,
    /// Limits of each connection.
    pub limits: Limits,
    /// Signals of a graceful stop.
    pub stop: Stop,
    /// Number of open connections.
    pub connections: Arc<AtomicUsize>,
    /// Most open connections; further ones are closed when accepted.
    pub max_connections: usize,
}

/// Accepts and serves connections until `stop.ended`.
pub async fn serve(listener: TcpListener, server: Server) {
    while let Ok(accepted) = listener.accept().timeout_at(server.stop.ended.clone()).await {
        let Ok((stream, _)) = accepted else {
            async_std::task::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        if server.connections.load(Ordering::SeqCst) >= server.max_connections {
            continue;
        }
        server.connections.fetch_add(1, Ordering::SeqCst);
        let guard = ConnectionGuard(server.connections.clone());
        async_std::task::spawn(serve_connection(stream, server.clone(), guard));
    }
}

async fn serve_connection(stream: TcpStream, server: Server, _guard: ConnectionGuard) {
    // Fails only on a connection that is already closed, which the first read detects.
    let _ = stream.set_nodelay(true);
    server::serve(stream, server.handler, &server.limits, &server.stop).await;
}
