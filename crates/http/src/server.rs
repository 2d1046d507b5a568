//! The server side: one connection, one request at a time.

use crate::Fault;
use crate::body;
use crate::head;
use crate::stream::{Duplex, Stream};
use async_std::io::{Read, ReadExt, Write};
use async_trait::async_trait;
use celerythread_model::unit::{Bytes, Span};
use futures::FutureExt as _;
use http_types::{Method, Response};
use std::io::Cursor;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use stop_token::StopToken;
use stop_token::future::FutureExt;

/// Most bytes of a response written at once.
const MAX_WRITE_LEN: usize = 64 * 1024;

/// Limits of one connection.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Largest request body.
    pub max_body: Bytes,
    /// Longest wait between two requests.
    pub idle_timeout: Span,
    /// Longest time for receiving a whole head.
    pub head_timeout: Span,
    /// Longest wait for each read of a body and each write of a response.
    pub progress_timeout: Span,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_body: Bytes::mebi(8),
            idle_timeout: Span::secs(60),
            head_timeout: Span::secs(10),
            progress_timeout: Span::secs(20),
        }
    }
}

/// A completely received request.
pub struct Request {
    /// The head, as `async-h1` parsed it.
    pub head: http_types::Request,
    /// The whole body.
    pub body: Vec<u8>,
}

impl Request {
    /// The last value of a header, as text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.header(name).map(|values| values.last().as_str())
    }

    /// The path without the query string.
    pub fn path(&self) -> &str {
        self.head.url().path()
    }

    /// The first query parameter called `name`.
    pub fn query(&self, name: &str) -> Option<String> {
        let mut pairs = self.head.url().query_pairs();
        pairs.find(|(key, _)| key == name).map(|(_, value)| value.into_owned())
    }
}

/// Handles requests.
#[async_trait]
pub trait Handler: Send + Sync {
    /// Checks a request's head before its body is read: a response refuses the request, `None`
    /// admits it.
    fn admit(&self, _head: &http_types::Request) -> Option<Response> {
        None
    }

    /// Handles one request.
    async fn handle(&self, request: Request) -> Response;

    /// The response to a request that could not be read.
    fn error_response(&self, fault: &Fault) -> Response;
}

/// The two signals of a graceful stop.
#[derive(Clone)]
pub struct Stop {
    /// From then on each response carries `Connection: close`.
    pub closing: StopToken,
    /// From then on no connection waits for another request.
    pub ended: StopToken,
}

/// Serves a connection until it ends or, between two requests, until `stop.ended`.
///
/// For a graceful stop, a request of which at least one byte was received is still read and
/// answered.
pub async fn serve(
    io: impl Duplex + 'static,
    handler: Arc<dyn Handler>,
    limits: &Limits,
    stop: &Stop,
) {
    let mut stream = Stream::new(io);
    while serve_request(&mut stream, handler.as_ref(), limits, stop).await {}
}

/// Serves one request and returns whether the connection can carry another one.
async fn serve_request(
    stream: &mut Stream,
    handler: &dyn Handler,
    limits: &Limits,
    stop: &Stop,
) -> bool {
    if stream.buffered().is_empty() {
        let first = stream.fill(limits.idle_timeout.0, "waiting for a request");
        match first.timeout_at(stop.ended.clone()).await {
            Ok(Ok(count)) if count > 0 => {}
            _ => return false,
        }
    }
    match read_head(stream, limits).await {
        Ok(head) => {
            let method = head.decoded.method();
            let received = match handler.admit(&head.decoded) {
                Some(response) => return reject(stream, head, response, limits, stop).await,
                None => read_body(stream, head, limits).await,
            };
            let (request, keep_alive) = match received {
                Ok(read) => read,
                Err(fault) => return respond_and_close(stream, handler, &fault, limits).await,
            };
            let response = handler.handle(request).await;
            // A stopping server announces the close on its last response, so that the client does
            // not send another request on a connection that is about to close.
            let keep_alive = keep_alive && !is_closing(stop);
            write_response(stream, response, method, keep_alive, limits).await.is_ok() && keep_alive
        }
        Err(Fault::Closed) => false,
        Err(fault) => respond_and_close(stream, handler, &fault, limits).await,
    }
}

/// Responds to a request that could not be read and ends the connection, since the start of the
/// next request is unknown.
async fn respond_and_close(
    stream: &mut Stream,
    handler: &dyn Handler,
    fault: &Fault,
    limits: &Limits,
) -> bool {
    let response = handler.error_response(fault);
    let _ = write_response(stream, response, Method::Get, false, limits).await;
    false
}

/// Refuses a request before its body is read and returns whether the connection can carry another
/// one.
///
/// The body is read and discarded: closing the connection with unread bytes would reset it, and
/// the response could be lost.
async fn reject(
    stream: &mut Stream,
    head: Head,
    response: Response,
    limits: &Limits,
    stop: &Stop,
) -> bool {
    let method = head.decoded.method();
    // A client that expects `100 Continue` may or may not send the body, so the start of the next
    // request is unknown.
    let keep_alive = head.framing.keep_alive && !head.framing.expects_continue && !is_closing(stop);
    if write_response(stream, response, method, keep_alive, limits).await.is_err() || !keep_alive {
        return false;
    }
    let mut reader = body::Reader::new(head.framing.length, limits.progress_timeout.0);
    reader.discard(stream, limits.max_body.0).await.is_ok()
}

fn is_closing(stop: &Stop) -> bool {
    stop.closing.clone().now_or_never().is_some()
}

/// The head of a request whose body has not been read yet.
struct Head {
    framing: head::Request,
    decoded: http_types::Request,
}

async fn read_head(stream: &mut Stream, limits: &Limits) -> Result<Head, Fault> {
    let bytes = head::read(stream, limits.head_timeout.0).await?;
    let mut framing = head::Request::parse(bytes)?;
    let bytes = std::mem::take(&mut framing.bytes);
    match async_h1::server::decode(MemoryIo::new(bytes)).await {
        Ok(Some((decoded, _))) => Ok(Head { framing, decoded }),
        Ok(None) => Err(Fault::Malformed { reason: "empty head".into() }),
        Err(error) => Err(Fault::Malformed { reason: error.to_string() }),
    }
}

async fn read_body(
    stream: &mut Stream,
    head: Head,
    limits: &Limits,
) -> Result<(Request, bool), Fault> {
    let Head { framing, decoded } = head;
    if framing.expects_continue {
        // async-h1 would write this after the final response.
        stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n", limits.progress_timeout.0).await?;
    }
    let mut reader = body::Reader::new(framing.length, limits.progress_timeout.0);
    let body = reader.collect(stream, limits.max_body.0).await.map_err(|fault| match fault {
        // The stream ended inside the body, not between messages.
        Fault::Closed => Fault::Truncated,
        other => other,
    })?;
    Ok((Request { head: decoded, body }, framing.keep_alive))
}

/// Writes a response.  A response whose body fails or is shorter than declared ends the connection,
/// so that the client detects the error and never reads the next head as part of the body.
async fn write_response(
    stream: &mut Stream,
    mut response: Response,
    method: Method,
    keep_alive: bool,
    limits: &Limits,
) -> Result<(), Fault> {
    if !keep_alive {
        response.insert_header("connection", "close");
    }
    let declared = response.len().filter(|_| method != Method::Head);
    let mut encoder = async_h1::server::Encoder::new(response, method);
    let mut piece = vec![0; MAX_WRITE_LEN];
    let mut counter = BodyCounter::new(declared);
    loop {
        let count = encoder.read(&mut piece).await.map_err(|source| Fault::Io { source })?;
        if count == 0 {
            break;
        }
        counter.record(&piece[..count]);
        stream.write_all(&piece[..count], limits.progress_timeout.0).await?;
    }
    if counter.is_short() { Err(Fault::Truncated) } else { Ok(()) }
}

/// Counts the bytes of the body, after the head, of an encoded response.
struct BodyCounter {
    declared: Option<usize>,
    in_head: bool,
    head_bytes: Vec<u8>,
    body: usize,
}

impl BodyCounter {
    fn new(declared: Option<usize>) -> Self {
        Self { declared, in_head: true, head_bytes: Vec::new(), body: 0 }
    }

    fn record(&mut self, bytes: &[u8]) {
        if !self.in_head {
            self.body += bytes.len();
            return;
        }
        self.head_bytes.extend_from_slice(bytes);
        if let Some(at) = self.head_bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            self.in_head = false;
            self.body = self.head_bytes.len() - at - 4;
            self.head_bytes = Vec::new();
        }
    }

    fn is_short(&self) -> bool {
        self.declared.is_some_and(|declared| self.body < declared)
    }
}

/// An in-memory head with the I/O traits that `async_h1::server::decode` requires.
#[derive(Clone)]
struct MemoryIo(Arc<Mutex<Cursor<Vec<u8>>>>);

impl MemoryIo {
    fn new(bytes: Vec<u8>) -> Self {
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
