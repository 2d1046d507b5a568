//! The server side: one connection, one request at a time.

mod head_io;
mod response;

use crate::Fault;
use crate::Limit;
use crate::body;
use crate::connections::{Phase, Place, Places};
use crate::fault;
use crate::head::{self, Length};
use crate::memory::{Budget, Reservation};
use crate::stream::{Duplex, Stream};
use async_std::future::timeout;
use async_trait::async_trait;
use celerythread_model::unit::{Bytes, Span};
use futures::FutureExt as _;
use head_io::MemoryIo;
use http_types::{Method, Response};
use response::write_response;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use stop_token::StopToken;
use stop_token::future::FutureExt;

/// Bytes of a head for which no memory is reserved.
const FREE_HEAD_LEN: usize = 1024;

/// Bytes that a decoded head takes for each byte that was received.
const HEAD_MEMORY_FACTOR: u64 = 4;

/// Memory beside its body for the requests of a connection that shares nothing.
const UNSHARED_MEMORY: u64 = 256 * 1024;

/// Bytes per second of a body, of a request or a response, for which it has time beside
/// [`Limits::body_timeout`].
const MIN_BODY_RATE: f64 = 64.0 * 1024.0;

/// Longest time for which the rest of a refused request is discarded.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

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
    /// Longest time for receiving a whole body, and for sending a whole response of known length,
    /// apart from the time for its size.
    pub body_timeout: Span,
}

impl Limits {
    /// Longest time for a body of this length.
    fn body_time(&self, length: u64) -> Duration {
        self.body_timeout.0 + Duration::from_secs_f64(length as f64 / MIN_BODY_RATE)
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_body: Bytes::mebi(8),
            idle_timeout: Span::secs(60),
            head_timeout: Span::secs(10),
            progress_timeout: Span::secs(20),
            body_timeout: Span::secs(20),
        }
    }
}

/// A completely received request.
pub struct Request {
    /// The head, as `async-h1` parsed it.
    pub head: http_types::Request,
    /// The whole body.
    pub body: Vec<u8>,
    /// Memory that is reserved for the head.
    pub head_memory: Reservation,
    /// Memory that is reserved for the body.
    pub body_memory: Reservation,
    /// The address of the client, if known.
    pub peer: Option<SocketAddr>,
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

    /// Records that a client has reached a limit, and that its request was refused or its connection
    /// closed.
    fn limit_reached(&self, _limit: Limit, _peer: Option<SocketAddr>) {}
}

/// The two signals of a graceful stop.
#[derive(Clone)]
pub struct Stop {
    /// From then on each response carries `Connection: close`.
    pub closing: StopToken,
    /// From then on no connection waits for another request.
    pub ended: StopToken,
}

/// What a connection takes of the process.
#[derive(Debug)]
pub struct Resources {
    /// Memory for requests, shared with other connections.
    pub memory: Budget,
    /// Its place among the connections.
    pub place: Place,
    /// The address of the client, if known.
    pub peer: Option<SocketAddr>,
}

impl Resources {
    /// Resources that are shared with no other connection.
    fn unshared(limits: &Limits) -> Self {
        let memory = Budget::new(2 * limits.max_body.0 + UNSHARED_MEMORY);
        let place = Places::new(1).take(Instant::now()).expect("a place is free");
        Self { memory, place, peer: None }
    }
}

/// Serves a connection that shares nothing with others until it ends or, between two requests,
/// until `stop.ended`.
///
/// For a graceful stop, a request of which at least one byte was received is still read and
/// answered.
pub async fn serve(
    io: impl Duplex + 'static,
    handler: Arc<dyn Handler>,
    limits: &Limits,
    stop: &Stop,
) {
    serve_within(io, handler, limits, stop, Resources::unshared(limits)).await;
}

/// The same for a connection that takes its resources from those of the process.
pub async fn serve_within(
    io: impl Duplex + 'static,
    handler: Arc<dyn Handler>,
    limits: &Limits,
    stop: &Stop,
    resources: Resources,
) {
    let stream = Stream::new(io);
    let mut session = Session { stream, handler: handler.as_ref(), limits, stop, resources };
    while session.serve_request().await {}
}

/// The head of a request whose body has not been read yet.
struct Head {
    framing: head::Request,
    decoded: http_types::Request,
    reserved: Reservation,
}

/// A connection that is being served.
struct Session<'a> {
    stream: Stream,
    handler: &'a dyn Handler,
    limits: &'a Limits,
    stop: &'a Stop,
    resources: Resources,
}

impl Session<'_> {
    /// Serves one request and returns whether the connection can carry another one.
    async fn serve_request(&mut self) -> bool {
        if self.stream.buffered().is_empty() && !self.wait_for_request().await {
            return false;
        }
        self.enter(Phase::Head);
        let closed = self.resources.place.closed();
        let head = match unless_closed(self.read_head(), closed).await {
            Ok(head) => head,
            Err(Fault::Closed) => return false,
            Err(fault) => return self.respond_and_close(&fault, None).await,
        };
        if let Some(response) = self.handler.admit(&head.decoded) {
            return self.reject(head, response).await;
        }
        self.enter(Phase::Body);
        let method = head.decoded.method();
        let mut reader = self.body_reader(&head.framing);
        let (request, keep_alive) = match self.read_body(head, &mut reader).await {
            Ok(read) => read,
            Err(fault) => return self.respond_and_close(&fault, Some(reader)).await,
        };
        self.enter(Phase::Answering);
        let response = self.handler.handle(request).await;
        // A stopping server announces the close on its last response, so that the client does
        // not send another request on a connection that is about to close.
        let keep_alive = keep_alive && !self.is_closing();
        self.respond(response, method, keep_alive).await.is_ok() && keep_alive
    }

    /// Waits for the first byte of a request; false if there will be none.
    async fn wait_for_request(&mut self) -> bool {
        self.enter(Phase::Waiting);
        let closed = self.resources.place.closed();
        let first = self.stream.fill(self.limits.idle_timeout.0, "waiting for a request");
        match unless_closed(first, closed).timeout_at(self.stop.ended.clone()).await {
            Ok(Err(Fault::Overloaded { limit })) => {
                self.handler.limit_reached(limit, self.resources.peer);
                false
            }
            Ok(Ok(count)) => count > 0,
            _ => false,
        }
    }

    async fn read_head(&mut self) -> Result<Head, Fault> {
        let bytes = head::read(&mut self.stream, self.limits.head_timeout.0).await?;
        let reserved = HEAD_MEMORY_FACTOR * bytes.len().saturating_sub(FREE_HEAD_LEN) as u64;
        let reserved = self.resources.memory.reserve(reserved, Instant::now());
        let reserved = reserved.map_err(|_| Fault::Overloaded { limit: Limit::Memory })?;
        let mut framing = head::Request::parse(bytes)?;
        let bytes = std::mem::take(&mut framing.bytes);
        match async_h1::server::decode(MemoryIo::new(bytes)).await {
            Ok(Some((decoded, _))) => Ok(Head { framing, decoded, reserved }),
            Ok(None) => Err(Fault::Malformed { reason: "empty head".into() }),
            Err(error) => Err(Fault::Malformed { reason: error.to_string() }),
        }
    }

    fn body_reader(&self, framing: &head::Request) -> body::Reader {
        let length = match framing.length {
            Length::Exact(length) => length.min(self.limits.max_body.0),
            Length::Chunked | Length::UntilClose => self.limits.max_body.0,
        };
        let deadline = Instant::now() + self.limits.body_time(length);
        let progress_timeout = self.limits.progress_timeout.0;
        body::Reader::new(framing.length, progress_timeout).with_deadline(deadline)
    }

    async fn read_body(
        &mut self,
        head: Head,
        reader: &mut body::Reader,
    ) -> Result<(Request, bool), Fault> {
        let Head { framing, decoded, reserved } = head;
        let peer = self.resources.peer;
        if framing.expects_continue {
            // async-h1 would write this after the final response.
            let timeout = self.limits.progress_timeout.0;
            self.stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n", timeout).await?;
        }
        if framing.length == Length::Exact(0) {
            let body_memory = self.resources.memory.nothing();
            let (body, head_memory) = (Vec::new(), reserved);
            let request = Request { head: decoded, body, head_memory, body_memory, peer };
            return Ok((request, framing.keep_alive));
        }
        let limit = self.limits.max_body.0;
        let mut incoming = self.resources.memory.receive(limit, Instant::now());
        let closed = self.resources.place.closed();
        let given_up = incoming.given_up();
        let receiving = reader.receive(&mut self.stream, &mut incoming, limit);
        let receiving = unless_closed(receiving, closed).timeout_at(given_up);
        let received = receiving.await.unwrap_or(Err(Fault::Overloaded { limit: Limit::Memory }));
        received.map_err(|fault| match fault {
            // The stream ended inside the body, not between messages.
            Fault::Closed => Fault::Truncated,
            other => other,
        })?;
        let whole = incoming.finish().map_err(|_| Fault::Overloaded { limit: Limit::Memory });
        let (body, body_memory) = whole?;
        let request = Request { head: decoded, body, head_memory: reserved, body_memory, peer };
        Ok((request, framing.keep_alive))
    }

    /// Responds to a request that could not be read and ends the connection, since the start of the
    /// next request is unknown.
    async fn respond_and_close(&mut self, fault: &Fault, rest: Option<body::Reader>) -> bool {
        let limit = match fault {
            Fault::Overloaded { limit } => Some(*limit),
            Fault::Timeout { .. } if rest.is_some() => Some(Limit::BodyTime),
            _ => None,
        };
        if let Some(limit) = limit {
            self.handler.limit_reached(limit, self.resources.peer);
        }
        let response = self.handler.error_response(fault);
        let written = self.respond(response, Method::Get, false).await;
        if let (Ok(()), Some(rest), Fault::Overloaded { .. }) = (written, rest, fault) {
            self.discard(rest).await;
        }
        false
    }

    /// Sends a response.  The connection can't carry another request if that fails.
    async fn respond(
        &mut self,
        response: Response,
        method: Method,
        keep_alive: bool,
    ) -> Result<(), Fault> {
        self.enter(Phase::Responding);
        let closed = self.resources.place.closed();
        // A response of unknown length may be sent for as long as it is produced.
        let time = response.len().map(|length| self.limits.body_time(length as u64));
        let writing = write_response(&mut self.stream, response, method, keep_alive, self.limits);
        let writing = unless_closed(writing, closed);
        let written = match time {
            Some(time) => timeout(time, writing)
                .await
                .unwrap_or_else(|_| fault::TimeoutSnafu { operation: "sending a response" }.fail()),
            None => writing.await,
        };
        let limit = match &written {
            Err(Fault::Overloaded { limit }) => Some(*limit),
            Err(Fault::Timeout { .. }) => Some(Limit::ResponseTime),
            _ => None,
        };
        if let Some(limit) = limit {
            self.handler.limit_reached(limit, self.resources.peer);
        }
        written
    }

    /// Discards the rest of a request for a while: closing a connection with unread bytes resets it,
    /// and the response could be lost.
    async fn discard(&mut self, mut rest: body::Reader) {
        self.enter(Phase::Discarding);
        let closed = self.resources.place.closed();
        let discarding = rest.discard(&mut self.stream, self.limits.max_body.0);
        // The connection ends in any case.
        let _ = timeout(DISCARD_TIMEOUT, unless_closed(discarding, closed)).await;
    }

    /// Refuses a request before its body is read and returns whether the connection can carry
    /// another one.
    async fn reject(&mut self, head: Head, response: Response) -> bool {
        let method = head.decoded.method();
        // A client that expects `100 Continue` may or may not send the body, so the start of the
        // next request is unknown.
        let framing = &head.framing;
        let keep_alive = framing.keep_alive && !framing.expects_continue && !self.is_closing();
        let mut reader = self.body_reader(framing);
        let written = self.respond(response, method, keep_alive).await;
        if written.is_err() || !keep_alive {
            return false;
        }
        // The body is read: closing the connection with unread bytes would reset it, and the
        // response could be lost.
        self.enter(Phase::Discarding);
        let closed = self.resources.place.closed();
        let discarding = reader.discard(&mut self.stream, self.limits.max_body.0);
        unless_closed(discarding, closed).await.is_ok()
    }

    fn enter(&self, phase: Phase) {
        self.resources.place.enter(phase, Instant::now());
    }

    fn is_closing(&self) -> bool {
        self.stop.closing.clone().now_or_never().is_some()
    }
}

/// Waits for a result unless the connection loses its place before.
async fn unless_closed<T>(
    receiving: impl Future<Output = Result<T, Fault>>,
    closed: StopToken,
) -> Result<T, Fault> {
    let limit = Limit::Connections;
    receiving.timeout_at(closed).await.unwrap_or(Err(Fault::Overloaded { limit }))
}
