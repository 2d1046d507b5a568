//! Accepting connections and serving each until a stop.

use crate::server::{self, Handler, Limits, Stop};
use async_std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use stop_token::future::FutureExt;

/// Pause after a connection could not be accepted: out of descriptors, most likely, and they come
/// back as connections end.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(500);

/// A connection counted until it ends.
struct ConnectionGuard(Arc<AtomicUsize>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// What a listener's connections share.
#[derive(Clone)]
pub struct Server {
    /// What answers their requests.
    pub handler: Arc<dyn Handler>,
    /// Limits of each.
    pub limits: Limits,
    /// The two steps in which they stop.
    pub stop: Stop,
    /// How many there are now.
    pub connections: Arc<AtomicUsize>,
    /// Most of them at once; more are closed as they come.
    pub max_connections: usize,
}

/// Accepts connections until the stop, and serves them.
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
    // Fails only on a connection that is gone already, which the first read tells.
    let _ = stream.set_nodelay(true);
    server::serve(stream, server.handler, &server.limits, &server.stop).await;
}
