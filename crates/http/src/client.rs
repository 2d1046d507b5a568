//! The client side: one connection to a minion, to the platform or to an entry.

use crate::Fault;
use crate::body;
use crate::fault;
use crate::head::{self, Length};
use crate::stream::Stream;
use async_std::future::timeout;
use async_std::io::Cursor;
use async_std::io::ReadExt;
use async_std::net::TcpStream;
use http_types::{Body, Method, Request, Response, Url};
use snafu::ResultExt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Most interim (1xx) responses before the final one.
const MAX_INTERIM_RESPONSES: usize = 8;

/// Most bytes of a request that are encoded at a time.
const MAX_PIECE_LEN: usize = 16 * 1024;

/// How far a request had got when it failed; decides what may be reported about it and whether it
/// may be resent.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Phase {
    /// The connection was not established.
    Connecting,
    /// Connected; no byte of the request was written.
    Connected,
    /// Some of the request was written.
    PartWritten,
    /// All of the request was written.
    AllWritten,
    /// At least one byte of the response was received.
    ResponseStarted,
}

/// A failed request.
#[derive(Debug)]
pub struct Failure {
    /// How far it had got.
    pub phase: Phase,
    /// Why it failed.
    pub fault: Fault,
}

/// The body of a request, which all attempts at the request share, so that it is held once.
#[derive(Clone, Debug, Default)]
pub struct SharedBody(Arc<Vec<u8>>);

impl From<Vec<u8>> for SharedBody {
    fn from(bytes: Vec<u8>) -> Self {
        Self(bytes.into())
    }
}

impl AsRef<[u8]> for SharedBody {
    fn as_ref(&self) -> &[u8] {
        &self.0
    }
}

impl SharedBody {
    /// The body for one attempt.
    pub fn to_body(&self) -> Body {
        Body::from_reader(Cursor::new(self.clone()), Some(self.0.len()))
    }
}

/// The head of a response whose body has not been read yet.
#[derive(Debug)]
pub struct ResponseHead {
    /// The head, as `async-h1` parsed it, without a body.
    pub head: Response,
    /// How the end of the body is found.
    pub length: Length,
    /// Whether the server keeps the connection open.
    pub keep_alive: bool,
}

/// A connection that carries one request at a time.
pub struct Connection {
    stream: Stream,
}

impl Connection {
    /// Connects.
    ///
    /// # Errors
    /// `Timeout` after `max_wait`, `Io` when refused.
    pub async fn open(address: SocketAddr, max_wait: Duration) -> Result<Self, Fault> {
        let stream = match timeout(max_wait, TcpStream::connect(address)).await {
            Ok(result) => result.context(fault::IoSnafu)?,
            Err(_) => return fault::TimeoutSnafu { operation: "connecting" }.fail(),
        };
        stream.set_nodelay(true).context(fault::IoSnafu)?;
        Ok(Self { stream: Stream::new(stream) })
    }

    /// Connects, with an abortive close (`SO_LINGER` 0): dropping the connection resets it.
    ///
    /// After a normal close the operating system still delivers what was written.  A request
    /// delayed by a network partition would then arrive when the partition heals, seconds after
    /// its sender timed out and another process took over.  A reset discards it.
    ///
    /// # Errors
    /// `Timeout` after `max_wait`, `Io` when refused.
    pub async fn open_with_abortive_close(
        address: SocketAddr,
        max_wait: Duration,
    ) -> Result<Self, Fault> {
        let stream =
            match timeout(max_wait, async_io::Async::<std::net::TcpStream>::connect(address)).await
            {
                Ok(result) => result.context(fault::IoSnafu)?,
                Err(_) => return fault::TimeoutSnafu { operation: "connecting" }.fail(),
            };
        stream.get_ref().set_nodelay(true).context(fault::IoSnafu)?;
        let socket = socket2::SockRef::from(&stream);
        socket.set_linger(Some(Duration::ZERO)).context(fault::IoSnafu)?;
        Ok(Self { stream: Stream::new(stream) })
    }

    /// Wraps an open connection.
    pub fn new(stream: Stream) -> Self {
        Self { stream }
    }

    /// Sends a request and reads the head of its response.
    ///
    /// `progress_timeout` bounds each write and the wait for each head, so a connection that a
    /// middlebox has dropped is detected, however long the response takes to compute: minions must
    /// send the head, or an interim response, within it.
    ///
    /// # Errors
    /// The fault, with the phase in which it occurred.
    pub async fn send(
        &mut self,
        request: Request,
        progress_timeout: Duration,
    ) -> Result<ResponseHead, Failure> {
        let method = request.method();
        let mut phase = Phase::Connected;
        let sent = self.write_request(request, progress_timeout, &mut phase).await;
        if let Err(fault) = sent {
            // A server may respond early and close, for example to refuse a large body; its
            // response tells more than the write error.
            return match self.read_head(method, Duration::from_millis(50)).await {
                Ok(mut response) => {
                    response.keep_alive = false;
                    Ok(response)
                }
                Err(_) => Err(Failure { phase, fault }),
            };
        }
        self.read_head(method, progress_timeout).await.map_err(|fault| {
            let started = !self.stream.buffered().is_empty()
                || !matches!(fault, Fault::Closed | Fault::Timeout { .. } | Fault::Io { .. });
            let phase = if started { Phase::ResponseStarted } else { Phase::AllWritten };
            Failure { phase, fault }
        })
    }

    async fn write_request(
        &mut self,
        request: Request,
        progress_timeout: Duration,
        phase: &mut Phase,
    ) -> Result<(), Fault> {
        let mut encoder = async_h1::client::Encoder::new(request);
        let mut piece = Vec::new();
        loop {
            piece.clear();
            let mut rest = (&mut encoder).take(MAX_PIECE_LEN as u64);
            rest.read_to_end(&mut piece).await.context(fault::IoSnafu)?;
            let mut written = 0;
            while written < piece.len() {
                let count = self.stream.write_some(&piece[written..], progress_timeout).await?;
                written += count;
                *phase = Phase::PartWritten;
            }
            if piece.len() < MAX_PIECE_LEN {
                break;
            }
        }
        *phase = Phase::AllWritten;
        self.stream.write_all(&[], progress_timeout).await
    }

    async fn read_head(
        &mut self,
        method: Method,
        progress_timeout: Duration,
    ) -> Result<ResponseHead, Fault> {
        for _ in 0..MAX_INTERIM_RESPONSES {
            let bytes = head::read(&mut self.stream, progress_timeout).await?;
            let head = head::Response::parse(bytes, method.as_ref())?;
            // async-h1 returns an interim response as the final one and leaves the final one to
            // the next request on the connection, so interim responses are skipped here.
            if head.status < 200 {
                continue;
            }
            let decoded = async_h1::client::decode(Cursor::new(head.bytes)).await;
            return match decoded {
                Ok(mut response) => {
                    response.set_body(Body::empty());
                    Ok(ResponseHead {
                        head: response,
                        length: head.length,
                        keep_alive: head.keep_alive,
                    })
                }
                Err(error) => fault::MalformedSnafu { reason: error.to_string() }.fail(),
            };
        }
        fault::MalformedSnafu { reason: "too many interim answers" }.fail()
    }

    /// Reads the whole body of the response; the connection is then ready for another request.
    ///
    /// # Errors
    /// As [`body::Reader::collect`]; the connection must not be used again after an error.
    pub async fn read_body(
        &mut self,
        length: Length,
        progress_timeout: Duration,
        limit: u64,
    ) -> Result<Vec<u8>, Fault> {
        body::Reader::new(length, progress_timeout).collect(&mut self.stream, limit).await
    }

    /// Returns the underlying stream, for reading a body incrementally.
    pub fn into_stream(self) -> Stream {
        self.stream
    }

    /// Whether the server has sent bytes or closed the connection since the last response: such a
    /// connection must not be reused.
    pub async fn is_stale(&mut self) -> bool {
        if !self.stream.buffered().is_empty() {
            return true;
        }
        !matches!(
            self.stream.fill(Duration::from_micros(1), "probing").await,
            Err(Fault::Timeout { .. })
        )
    }
}

/// Creates a request for `path` to the server at `address`.
///
/// # Errors
/// `Malformed` when the path cannot be part of a URL.
pub fn request(method: Method, address: SocketAddr, path: &str) -> Result<Request, Fault> {
    let url = Url::parse(&format!("http://{address}{path}"));
    let url = url.map_err(|error| Fault::Malformed { reason: error.to_string() })?;
    Ok(Request::new(method, url))
}

/// Sends one request on a new connection and reads the whole response.
///
/// # Errors
/// The fault, with the phase in which it occurred.
pub async fn fetch(
    address: SocketAddr,
    request: Request,
    max_wait: Duration,
    limit: u64,
) -> Result<(Response, Vec<u8>), Failure> {
    let opened = Connection::open(address, max_wait).await;
    let mut connection = opened.map_err(|fault| Failure { phase: Phase::Connecting, fault })?;
    let response = connection.send(request, max_wait).await?;
    let body = connection.read_body(response.length, max_wait, limit).await;
    let body = body.map_err(|fault| Failure { phase: Phase::ResponseStarted, fault })?;
    Ok((response.head, body))
}
