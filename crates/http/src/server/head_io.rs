//! The head of a request as a stream for `async-h1`.

use async_std::io::{Read, Write};
use std::io::Cursor;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};

/// An in-memory head with the I/O traits that `async_h1::server::decode` requires.
#[derive(Clone)]
pub(super) struct MemoryIo(Arc<Mutex<Cursor<Vec<u8>>>>);

impl MemoryIo {
    pub(super) fn new(bytes: Vec<u8>) -> Self {
        Self(Arc::new(Mutex::new(Cursor::new(bytes))))
    }
}

impl Read for MemoryIo {
    fn poll_read(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<std::io::Result<usize>> {
        let mut cursor = self.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        Poll::Ready(std::io::Read::read(&mut *cursor, buffer))
    }
}

impl Write for MemoryIo {
    fn poll_write(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Poll::Ready(Ok(bytes.len()))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}
