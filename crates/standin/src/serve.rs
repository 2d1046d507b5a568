//! An HTTP server for the stand-ins.

use async_std::net::TcpListener;
use celerythread_http::server::{self, Handler, Limits, Stop};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use stop_token::StopSource;
use stop_token::future::FutureExt;

/// A running HTTP server, which stops when it is dropped.
pub struct Server {
    address: SocketAddr,
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
        let stop = Stop { closing: source.token(), ended: source.token() };
        async_std::task::spawn(async move {
            let accept = || listener.accept().timeout_at(stop.ended.clone());
            while let Ok(Ok((stream, _))) = accept().await {
                let _ = stream.set_nodelay(true);
                let (handler, stop) = (handler.clone(), stop.clone());
                async_std::task::spawn(async move {
                    server::serve(stream, handler, &Limits::default(), &stop).await;
                });
            }
        });
        Ok(Self { address, _stop: source })
    }

    /// The address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}
