//! Message bodies: exactly the bytes that the framing declares, or an error.

use crate::Fault;
use crate::fault;
use crate::head::Length;
use crate::stream::Stream;
use std::time::Duration;

/// Longest chunk-size line and longest line of the trailer section, in bytes.
const MAX_CHUNK_LINE_LEN: usize = 1024;

/// Most bytes returned by one [`Reader::next`].
const MAX_PIECE_LEN: usize = 64 * 1024;

/// Reads a body incrementally.
pub struct Reader {
    state: State,
    max_wait: Duration,
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
        Self { state, max_wait }
    }

    /// Returns the next bytes, or `None` after the whole body.
    ///
    /// # Errors
    /// `Truncated` when the stream ends before the body does: otherwise a truncated response
    /// would be accepted as complete.  `Malformed` for bad chunks, `Timeout` and `Io`.
    pub async fn next(&mut self, stream: &mut Stream) -> Result<Option<Vec<u8>>, Fault> {
        loop {
            match self.state {
                State::Done => return Ok(None),
                State::Exact(remaining) => {
                    let piece = self.read_piece(stream, remaining).await?;
                    let remaining = remaining - piece.len() as u64;
                    self.state = if remaining == 0 { State::Done } else { State::Exact(remaining) };
                    return Ok(Some(piece));
                }
                State::Chunk(0) => {
                    self.read_chunk_end(stream).await?;
                    self.state = State::ChunkSize;
                }
                State::Chunk(remaining) => {
                    let piece = self.read_piece(stream, remaining).await?;
                    self.state = State::Chunk(remaining - piece.len() as u64);
                    return Ok(Some(piece));
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
                    return Ok(Some(stream.consume(MAX_PIECE_LEN)));
                }
            }
        }
    }

    /// Reads the whole body into memory.
    ///
    /// # Errors
    /// As [`Reader::next`], and `BodyTooLarge` above `limit`.
    pub async fn collect(&mut self, stream: &mut Stream, limit: u64) -> Result<Vec<u8>, Fault> {
        if let State::Exact(length) = self.state
            && length > limit
        {
            return fault::BodyTooLargeSnafu { limit }.fail();
        }
        let mut body = Vec::new();
        while let Some(piece) = self.next(stream).await? {
            if (body.len() + piece.len()) as u64 > limit {
                return fault::BodyTooLargeSnafu { limit }.fail();
            }
            body.extend_from_slice(&piece);
        }
        Ok(body)
    }

    /// Reads the whole body and discards it.
    ///
    /// # Errors
    /// As [`Reader::next`], and `BodyTooLarge` above `limit`.
    pub async fn discard(&mut self, stream: &mut Stream, limit: u64) -> Result<(), Fault> {
        let mut read = 0;
        while let Some(piece) = self.next(stream).await? {
            read += piece.len() as u64;
            if read > limit {
                return fault::BodyTooLargeSnafu { limit }.fail();
            }
        }
        Ok(())
    }

    /// Reads at least one and at most `remaining` bytes.
    async fn read_piece(&self, stream: &mut Stream, remaining: u64) -> Result<Vec<u8>, Fault> {
        if stream.buffered().is_empty() {
            self.fill(stream).await?;
        }
        let max_len = usize::try_from(remaining).unwrap_or(usize::MAX).min(MAX_PIECE_LEN);
        Ok(stream.consume(max_len))
    }

    async fn fill(&self, stream: &mut Stream) -> Result<(), Fault> {
        match stream.fill(self.max_wait, "reading a body").await? {
            0 => fault::TruncatedSnafu.fail(),
            _ => Ok(()),
        }
    }

    async fn read_chunk_size(&self, stream: &mut Stream) -> Result<u64, Fault> {
        loop {
            match httparse::parse_chunk_size(stream.buffered()) {
                Ok(httparse::Status::Complete((used, size))) => {
                    stream.consume(used);
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
        if stream.consume(2) != b"\r\n" {
            return fault::MalformedSnafu { reason: "a chunk is longer than its size" }.fail();
        }
        Ok(())
    }

    /// Skips trailer fields up to the empty line.
    async fn skip_trailers(&self, stream: &mut Stream) -> Result<(), Fault> {
        loop {
            let buffered = stream.buffered();
            match buffered.windows(2).position(|window| window == b"\r\n") {
                Some(0) => {
                    stream.consume(2);
                    return Ok(());
                }
                Some(end) => {
                    stream.consume(end + 2);
                }
                None if buffered.len() <= MAX_CHUNK_LINE_LEN => self.fill(stream).await?,
                None => return fault::MalformedSnafu { reason: "trailers too long" }.fail(),
            }
        }
    }
}
