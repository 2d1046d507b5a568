//! An HTTP server for the stand-ins.

use async_std::net::TcpListener;
use celerythread_http::server::{self, Handler, Limits, Stop};
use futures::future::{AbortHandle, abortable};
use parking_lot::Mutex;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use stop_token::StopSource;
use stop_token::future::FutureExt;

/// A running HTTP server, which stops when it is dropped.
pub struct Server {
    address: SocketAddr,
    connections: Arc<Mutex<Vec<AbortHandle>>>,
    _stop: StopSource,
}

impl Server {
    /// Serves `handler` at `address`; port 0 lets the operating system choose one.
    ///
    /// # Errors
    /// When `address` can't be bound.
    pub async fn start(address: SocketAddr, handler: Arc<dyn Handler>) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let source = StopSource::new();
        let connections: Arc<Mutex<Vec<AbortHandle>>> = Arc::default();
        let opened = connections.clone();
        let stop = Stop { closing: source.token(), ended: source.token() };
        async_std::task::spawn(async move {
            let accept = || listener.accept().timeout_at(stop.ended.clone());
            while let Ok(Ok((stream, _))) = accept().await {
                let _ = stream.set_nodelay(true);
                let (handler, stop) = (handler.clone(), stop.clone());
                let (connection, handle) = abortable(async move {
                    server::serve(stream, handler, &Limits::default(), &stop).await;
                });
                opened.lock().push(handle);
                async_std::task::spawn(connection);
            }
        });
        Ok(Self { address, connections, _stop: source })
    }

    /// Stops it and closes all connections at once, as the end of its process does.
    pub fn kill(self) {
        self.connections.lock().drain(..).for_each(|connection| connection.abort());
    }

    /// The address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}
