//! Message bodies: exactly the bytes that the framing declares, or an error.

use crate::Fault;
use crate::fault::{self, Limit};
use crate::head::Length;
use crate::memory::Incoming;
use crate::stream::Stream;
use std::time::{Duration, Instant};

/// Longest chunk-size line and longest line of the trailer section, in bytes.
const MAX_CHUNK_LINE_LEN: usize = 1024;

/// Bytes of a chunk-size line that hold a size and no extension.
const CHUNK_SIZE_LINE_LEN: usize = 18;

/// Most bytes of chunk extensions and trailers in one body.
const MAX_EXTENSIONS_LEN: usize = 8 * 1024;

/// Most bytes returned by one [`Reader::next`].
const MAX_PIECE_LEN: usize = 64 * 1024;

/// Reads a body incrementally.
pub struct Reader {
    state: State,
    max_wait: Duration,
    /// When the whole body must have been received, if there is such a time.
    deadline: Option<Instant>,
    /// Bytes of chunk extensions and trailers so far.
    extensions_len: usize,
}

enum State {
    /// This many bytes of the body are left.
    Exact(u64),
    /// A chunk-size line comes next.
    ChunkSize,
    /// This many bytes of the current chunk are left, then its CRLF.
    Chunk(u64),
    /// The trailer section comes next.
    Trailers,
    /// All bytes until the connection closes.
    UntilClose,
    /// The whole body was read.
    Done,
}

impl Reader {
    /// Creates a reader; `max_wait` bounds the wait for each read, not the whole body.
    pub fn new(length: Length, max_wait: Duration) -> Self {
        let state = match length {
            Length::Exact(0) => State::Done,
            Length::Exact(n) => State::Exact(n),
            Length::Chunked => State::ChunkSize,
            Length::UntilClose => State::UntilClose,
        };
        Self { state, max_wait, deadline: None, extensions_len: 0 }
    }

    /// The same with a time by which the whole body must have been received.
    pub fn with_deadline(self, deadline: Instant) -> Self {
        Self { deadline: Some(deadline), ..self }
    }

    /// Returns the next bytes, or `None` after the whole body.
    ///
    /// # Errors
    /// `Truncated` when the stream ends before the body does: otherwise a truncated response
    /// would be accepted as complete.  `Malformed` for bad chunks, `Timeout` and `Io`.
    pub async fn next(&mut self, stream: &mut Stream) -> Result<Option<Vec<u8>>, Fault> {
        let length = self.advance(stream).await?;
        Ok(length.map(|length| stream.consume(length)))
    }

    /// Receives more of the body; returns how many of the buffered bytes belong to it, which the
    /// caller consumes before the next call, or `None` after the whole body.
    async fn advance(&mut self, stream: &mut Stream) -> Result<Option<usize>, Fault> {
        loop {
            match self.state {
                State::Done => return Ok(None),
                State::Exact(remaining) => {
                    let length = self.fill_piece(stream, remaining).await?;
                    let remaining = remaining - length as u64;
                    self.state = if remaining == 0 { State::Done } else { State::Exact(remaining) };
                    return Ok(Some(length));
                }
                State::Chunk(0) => {
                    self.read_chunk_end(stream).await?;
                    self.state = State::ChunkSize;
                }
                State::Chunk(remaining) => {
                    let length = self.fill_piece(stream, remaining).await?;
                    self.state = State::Chunk(remaining - length as u64);
                    return Ok(Some(length));
                }
                State::ChunkSize => {
                    let size = self.read_chunk_size(stream).await?;
                    self.state = if size == 0 { State::Trailers } else { State::Chunk(size) };
                }
                State::Trailers => {
                    self.skip_trailers(stream).await?;
                    self.state = State::Done;
                }
                State::UntilClose => {
                    if stream.buffered().is_empty()
                        && stream.fill(self.max_wait, "reading a body").await? == 0
                    {
                        self.state = State::Done;
                        return Ok(None);
                    }
                    return Ok(Some(stream.buffered().len().min(MAX_PIECE_LEN)));
                }
            }
        }
    }

    /// Reads the whole body into memory, of a peer that is trusted with it.
    ///
    /// # Errors
    /// As [`Reader::next`], and `BodyTooLarge` above `limit`.
    pub async fn collect(&mut self, stream: &mut Stream, limit: u64) -> Result<Vec<u8>, Fault> {
        self.check_declared_length(limit)?;
        let mut body = Vec::new();
        while let Some(length) = self.advance(stream).await? {
            if (body.len() + length) as u64 > limit {
                return fault::BodyTooLargeSnafu { limit }.fail();
            }
            body.extend_from_slice(&stream.buffered()[..length]);
            stream.skip(length);
        }
        Ok(body)
    }

    /// Reads the whole body into memory that is reserved as bytes arrive.
    ///
    /// # Errors
    /// As [`Reader::next`], `BodyTooLarge` above `limit`, and `Overloaded` when there is no memory
    /// for the body.
    pub async fn receive(
        &mut self,
        stream: &mut Stream,
        incoming: &mut Incoming,
        limit: u64,
    ) -> Result<(), Fault> {
        self.check_declared_length(limit)?;
        let mut received = 0;
        while let Some(length) = self.advance(stream).await? {
            received += length as u64;
            if received > limit {
                return fault::BodyTooLargeSnafu { limit }.fail();
            }
            let appended = incoming.append(&stream.buffered()[..length], Instant::now());
            stream.skip(length);
            appended.map_err(|_| Fault::Overloaded { limit: Limit::Memory })?;
        }
        Ok(())
    }

    /// Reads the whole body and discards it.
    ///
    /// # Errors
    /// As [`Reader::next`], and `BodyTooLarge` above `limit`.
    pub async fn discard(&mut self, stream: &mut Stream, limit: u64) -> Result<(), Fault> {
        let mut read = 0;
        while let Some(length) = self.advance(stream).await? {
            read += length as u64;
            if read > limit {
                return fault::BodyTooLargeSnafu { limit }.fail();
            }
            stream.skip(length);
        }
        Ok(())
    }

    fn check_declared_length(&self, limit: u64) -> Result<(), Fault> {
        match self.state {
            State::Exact(length) if length > limit => fault::BodyTooLargeSnafu { limit }.fail(),
            _ => Ok(()),
        }
    }

    /// Makes sure that at least one byte is buffered; returns how many of those buffered are among
    /// the next `remaining` ones.
    async fn fill_piece(&self, stream: &mut Stream, remaining: u64) -> Result<usize, Fault> {
        if stream.buffered().is_empty() {
            self.fill(stream).await?;
        }
        let max_len = usize::try_from(remaining).unwrap_or(usize::MAX).min(MAX_PIECE_LEN);
        Ok(stream.buffered().len().min(max_len))
    }

    /// Counts bytes of chunk extensions and trailers.
    fn add_extensions(&mut self, length: usize) -> Result<(), Fault> {
        self.extensions_len += length;
        if self.extensions_len > MAX_EXTENSIONS_LEN {
            return fault::MalformedSnafu { reason: "chunk extensions and trailers too long" }
                .fail();
        }
        Ok(())
    }

    async fn fill(&self, stream: &mut Stream) -> Result<(), Fault> {
        let remaining = self
            .deadline
            .map_or(Duration::MAX, |deadline| deadline.saturating_duration_since(Instant::now()));
        match stream.fill(self.max_wait.min(remaining), "reading a body").await? {
            0 => fault::TruncatedSnafu.fail(),
            _ => Ok(()),
        }
    }

    async fn read_chunk_size(&mut self, stream: &mut Stream) -> Result<u64, Fault> {
        loop {
            match httparse::parse_chunk_size(stream.buffered()) {
                Ok(httparse::Status::Complete((used, size))) => {
                    stream.skip(used);
                    self.add_extensions(used.saturating_sub(CHUNK_SIZE_LINE_LEN))?;
                    return Ok(size);
                }
                Ok(httparse::Status::Partial) if stream.buffered().len() <= MAX_CHUNK_LINE_LEN => {
                    self.fill(stream).await?;
                }
                _ => return fault::MalformedSnafu { reason: "bad chunk size" }.fail(),
            }
        }
    }

    async fn read_chunk_end(&self, stream: &mut Stream) -> Result<(), Fault> {
        while stream.buffered().len() < 2 {
            self.fill(stream).await?;
        }
        if !stream.buffered().starts_with(b"\r\n") {
            return fault::MalformedSnafu { reason: "a chunk is longer than its size" }.fail();
        }
        stream.skip(2);
        Ok(())
    }

    /// Skips trailer fields up to the empty line.
    async fn skip_trailers(&mut self, stream: &mut Stream) -> Result<(), Fault> {
        loop {
            let buffered = stream.buffered();
            match buffered.windows(2).position(|window| window == b"\r\n") {
                Some(0) => {
                    stream.skip(2);
                    return Ok(());
                }
                Some(end) => {
                    stream.skip(end + 2);
                    self.add_extensions(end + 2)?;
                }
                None if buffered.len() <= MAX_CHUNK_LINE_LEN => self.fill(stream).await?,
                None => return fault::MalformedSnafu { reason: "trailers too long" }.fail(),
            }
        }
    }
}
