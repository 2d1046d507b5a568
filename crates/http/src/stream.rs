//! A buffered connection with a timeout for each read and write.

use crate::Fault;
use crate::fault;
use async_std::future::timeout;
use async_std::io::{Read, ReadExt, Write, WriteExt};
use snafu::ResultExt;
use std::time::Duration;

/// Fewest bytes requested per read; most messages are shorter.
const MIN_READ_LEN: usize = 4 * 1024;

/// Most bytes requested per read.  A read requests as many bytes as are buffered already, so that
/// a list of 1 MB needs few reads.
const MAX_READ_LEN: usize = 64 * 1024;

/// The I/O traits that a connection requires.
pub trait Duplex: Read + Write + Send + Sync + Unpin {}

impl<T: Read + Write + Send + Sync + Unpin> Duplex for T {}

/// A connection with its read buffer.
///
/// Bytes after the end of a message stay in the buffer as the start of the next one, so a
/// pipelined request is never lost.
pub struct Stream {
    io: Box<dyn Duplex>,
    buffer: Vec<u8>,
    /// Where the bytes that were received and not yet consumed begin and end in the buffer.
    start: usize,
    end: usize,
}

impl Stream {
    /// Wraps a connection.
    pub fn new(io: impl Duplex + 'static) -> Self {
        Self { io: Box::new(io), buffer: Vec::new(), start: 0, end: 0 }
    }

    /// The bytes received and not yet consumed.
    pub fn buffered(&self) -> &[u8] {
        &self.buffer[self.start..self.end]
    }

    /// Removes and returns up to `n` buffered bytes.
    pub fn consume(&mut self, n: usize) -> Vec<u8> {
        let bytes = self.buffered()[..n.min(self.buffered().len())].to_vec();
        self.skip(n);
        bytes
    }

    /// Removes up to `n` buffered bytes.
    pub fn skip(&mut self, n: usize) {
        self.start = (self.start + n).min(self.end);
        if self.start == self.end {
            (self.start, self.end) = (0, 0);
            // An idle connection keeps only a small buffer, since an entry has hundreds of them.
            self.buffer.truncate(MIN_READ_LEN);
            self.buffer.shrink_to(MIN_READ_LEN);
        }
    }

    /// Reads more bytes into the buffer and returns how many; 0 at the end of the stream.  Nothing is
    /// lost when the future is dropped before it is ready.
    ///
    /// # Errors
    /// `Timeout` when nothing was received within `max_wait`, `Io` when the connection failed.
    pub async fn fill(
        &mut self,
        max_wait: Duration,
        operation: &'static str,
    ) -> Result<usize, Fault> {
        self.buffer.copy_within(self.start..self.end, 0);
        (self.start, self.end) = (0, self.end - self.start);
        let wanted = self.end + self.end.clamp(MIN_READ_LEN, MAX_READ_LEN);
        if self.buffer.len() < wanted {
            self.buffer.resize(wanted, 0);
        }
        match timeout(max_wait, self.io.read(&mut self.buffer[self.end..])).await {
            Ok(result) => {
                let count = result.context(fault::IoSnafu)?;
                self.end += count;
                Ok(count)
            }
            Err(_) => fault::TimeoutSnafu { operation }.fail(),
        }
    }

    /// Writes some of `bytes` and returns how many.
    ///
    /// # Errors
    /// `Timeout` when nothing could be written within `max_wait`, `Io` when the connection failed.
    pub async fn write_some(&mut self, bytes: &[u8], max_wait: Duration) -> Result<usize, Fault> {
        match timeout(max_wait, self.io.write(bytes)).await {
            Ok(Ok(0)) => fault::TruncatedSnafu.fail(),
            Ok(result) => result.context(fault::IoSnafu),
            Err(_) => fault::TimeoutSnafu { operation: "writing" }.fail(),
        }
    }

    /// Writes all of `bytes`; `max_wait` bounds each write, not the whole.
    ///
    /// # Errors
    /// As [`Stream::write_some`].
    pub async fn write_all(&mut self, bytes: &[u8], max_wait: Duration) -> Result<(), Fault> {
        let mut written = 0;
        while written < bytes.len() {
            written += self.write_some(&bytes[written..], max_wait).await?;
        }
        match timeout(max_wait, self.io.flush()).await {
            Ok(result) => result.context(fault::IoSnafu),
            Err(_) => fault::TimeoutSnafu { operation: "flushing" }.fail(),
        }
    }
}
