//! Accepts connections and serves each until the server stops.

use crate::Limit;
use crate::connections::Places;
use crate::memory::Budget;
use crate::server::{self, Handler, Limits, Resources, Stop};
use async_std::net::{TcpListener, TcpStream};
use socket2::SockRef;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use stop_token::future::FutureExt;

/// Delay after a failed accept: most likely the process is out of file descriptors, which are
/// freed as connections end.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Sizes of the kernel's buffers of a connection, in bytes; the kernel allots twice as much for its
/// own records.  Unset, each grows to megabytes, for what a client sends while its earlier request is
/// processed, and for answers that it doesn't read.
#[derive(Clone, Copy, Debug)]
pub struct KernelBuffers {
    /// For what was received and not read yet.
    pub receive: usize,
    /// For what was written and not acknowledged yet.
    pub send: usize,
}

/// Listens at an address; accepted connections inherit the sizes of the buffers.
///
/// # Errors
/// When the address can't be bound.
pub fn bind(address: SocketAddr, buffers: KernelBuffers) -> io::Result<TcpListener> {
    let listener = std::net::TcpListener::bind(address)?;
    let socket = SockRef::from(&listener);
    let set = socket
        .set_recv_buffer_size(buffers.receive)
        .and_then(|()| socket.set_send_buffer_size(buffers.send));
    if let Err(error) = set {
        log::warn!(reason:% = error; "kernel_buffers_unset");
    }
    Ok(listener.into())
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
    /// Places of the connections.
    pub places: Places,
    /// Memory for requests, shared by the listeners of the process.
    pub memory: Budget,
}

/// Accepts and serves connections until `stop.ended`.
pub async fn serve(listener: TcpListener, server: Server) {
    while let Ok(accepted) = listener.accept().timeout_at(server.stop.ended.clone()).await {
        let Ok((stream, peer)) = accepted else {
            async_std::task::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let Some(place) = server.places.take(Instant::now()) else {
            server.handler.limit_reached(Limit::Connections, Some(peer));
            continue;
        };
        let resources = Resources { memory: server.memory.clone(), place, peer: Some(peer) };
        async_std::task::spawn(serve_connection(stream, server.clone(), resources));
    }
}

async fn serve_connection(stream: TcpStream, server: Server, resources: Resources) {
    // Fails only on a connection that is already closed, which the first read detects.
    let _ = stream.set_nodelay(true);
    let Server { handler, limits, stop, .. } = &server;
    server::serve_within(stream, handler.clone(), limits, stop, resources).await;
}
