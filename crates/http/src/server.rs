//! The serving end: one connection, one request after the other.

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

/// Bytes of an answer written at once.
const MAX_WRITE_LEN: usize = 64 * 1024;

/// Limits of one connection.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Largest request body.
    pub max_body: Bytes,
    /// Longest wait between two requests.
    pub idle_timeout: Span,
    /// Longest time for a whole head.
    pub head_timeout: Span,
    /// Longest silence within a body, and longest stall while an answer is written.
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

/// A request received whole.
pub struct Request {
    /// The head, as `async-h1` parsed it.
    pub head: http_types::Request,
    /// The whole body.
    pub body: Vec<u8>,
}

impl Request {
    /// The first value of a header, as text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.header(name).map(|values| values.last().as_str())
    }

    /// The path without the query.
    pub fn path(&self) -> &str {
        self.head.url().path()
    }

    /// A parameter of the query.
    pub fn query(&self, name: &str) -> Option<String> {
        let mut pairs = self.head.url().query_pairs();
        pairs.find(|(key, _)| key == name).map(|(_, value)| value.into_owned())
    }
}

/// What answers requests.
#[async_trait]
pub trait Handler: Send + Sync {
    /// Refuses a request by its head, before its body is read; none lets it in.
    fn admit(&self, _head: &http_types::Request) -> Option<Response> {
        None
    }

    /// Answers one request.
    async fn handle(&self, request: Request) -> Response;

    /// Answers a request that could not be read.
    fn error_response(&self, fault: &Fault) -> Response;
}

/// The two steps in which a server stops.
#[derive(Clone)]
pub struct Stop {
    /// From then on each answer says that the connection closes after it.
    pub closing: StopToken,
    /// From then on no connection waits for another request.
    pub ended: StopToken,
}

/// Serves a connection until it ends or, between two requests, until the stop.
///
/// A request of which a byte was received is read and answered even when the stop comes
/// meanwhile: that is what makes a planned stop graceful.
pub async fn serve(
    io: impl Duplex + 'static,
    handler: Arc<dyn Handler>,
    limits: &Limits,
    stop: &Stop,
) {
    let mut stream = Stream::new(io);
    while serve_request(&mut stream, handler.as_ref(), limits, stop).await {}
}

/// Whether the connection can carry another request.
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
            let answered = match handler.admit(&head.decoded) {
                Some(answer) => return reject(stream, head, answer, limits, stop).await,
                None => read_body(stream, head, limits).await,
            };
            let (request, keep_alive) = match answered {
                Ok(read) => read,
                Err(fault) => return respond_and_close(stream, handler, &fault, limits).await,
            };
            let answer = handler.handle(request).await;
            // A stopping server says so on its last answer, so that the client does not send
            // another request into a connection that is about to close.
            let keep_alive = keep_alive && !is_closing(stop);
            write_response(stream, answer, method, keep_alive, limits).await.is_ok() && keep_alive
        }
        Err(Fault::Closed) => false,
        Err(fault) => respond_and_close(stream, handler, &fault, limits).await,
    }
}

/// Answers a request that could not be read.  Where the next one begins is not known then, so the connection ends.
async fn respond_and_close(
    stream: &mut Stream,
    handler: &dyn Handler,
    fault: &Fault,
    limits: &Limits,
) -> bool {
    let answer = handler.error_response(fault);
    let _ = write_response(stream, answer, Method::Get, false, limits).await;
    false
}

/// Answers a request whose body isn't wanted; whether the connection can carry another one.
///
/// The body is read all the same: closed with bytes unread, the connection would be reset, and the answer could be
/// lost with it.
async fn reject(
    stream: &mut Stream,
    head: Head,
    answer: Response,
    limits: &Limits,
    stop: &Stop,
) -> bool {
    let method = head.decoded.method();
    // Its client may send the body or not, so where the next request begins is not known.
    let keep_alive = head.framing.keep_alive && !head.framing.expects_continue && !is_closing(stop);
    if write_response(stream, answer, method, keep_alive, limits).await.is_err() || !keep_alive {
        return false;
    }
    let mut reader = body::Reader::new(head.framing.length, limits.progress_timeout.0);
    reader.discard(stream, limits.max_body.0).await.is_ok()
}

fn is_closing(stop: &Stop) -> bool {
    stop.closing.clone().now_or_never().is_some()
}

/// A head that was read, before its body.
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
        // async-h1 would write this after the final answer; here it comes first.
        stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n", limits.progress_timeout.0).await?;
    }
    let mut reader = body::Reader::new(framing.length, limits.progress_timeout.0);
    let body = reader.collect(stream, limits.max_body.0).await.map_err(|fault| match fault {
        // Ending inside the body is not ending between messages.
        Fault::Closed => Fault::Truncated,
        other => other,
    })?;
    Ok((Request { head: decoded, body }, framing.keep_alive))
}

/// Writes an answer.  An answer whose body fails or falls short of its declared length ends
/// the connection, so that the client sees it broken and never takes the next head for a body.
async fn write_response(
    stream: &mut Stream,
    mut answer: Response,
    method: Method,
    keep_alive: bool,
    limits: &Limits,
) -> Result<(), Fault> {
    if !keep_alive {
        answer.insert_header("connection", "close");
    }
    let declared = answer.len().filter(|_| method != Method::Head);
    let mut encoder = async_h1::server::Encoder::new(answer, method);
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

/// Counts the body's bytes behind the head.
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

/// A head in memory, in the shape that `async_h1::server::decode` wants.
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
