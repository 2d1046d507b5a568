//! Responses to clients that read slowly.

use async_std::future::timeout;
use async_std::io::{Read, Write};
use async_trait::async_trait;
use celerythread_http::connections::Places;
use celerythread_http::memory::Budget;
use celerythread_http::server::{self, Handler, Limits, Request, Resources, Stop};
use celerythread_http::{Fault, Limit};
use celerythread_model::unit::Span;
use futures::FutureExt as _;
use futures::future::BoxFuture;
use http_types::{Response, StatusCode};
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};
use stop_token::StopSource;

/// Longest wait for an expected end.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Pause of the client before each byte that it reads.
const READ_PAUSE: Duration = Duration::from_millis(20);

/// The server's end of a connection whose client sends one request and reads byte by byte.
struct SlowReader {
    request: &'static [u8],
    pause: Mutex<Option<BoxFuture<'static, ()>>>,
}

impl SlowReader {
    fn new() -> Self {
        Self { request: b"GET /page HTTP/1.1\r\nHost: a\r\n\r\n", pause: Mutex::default() }
    }
}

impl Read for SlowReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let request = std::mem::take(&mut self.request);
        if request.is_empty() {
            return Poll::Pending;
        }
        buffer[..request.len()].copy_from_slice(request);
        Poll::Ready(Ok(request.len()))
    }
}

impl Write for SlowReader {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let pause = self.pause.get_mut().unwrap();
        let waiting = pause.get_or_insert_with(|| async_std::task::sleep(READ_PAUSE).boxed());
        ready!(waiting.poll_unpin(context));
        *pause = None;
        Poll::Ready(Ok(bytes.len().min(1)))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

/// Answers every request with a page, and records the limits that were reached.
#[derive(Default)]
struct Page(Mutex<Vec<Limit>>);

#[async_trait]
impl Handler for Page {
    async fn handle(&self, _: Request) -> Response {
        let mut response = Response::new(StatusCode::Ok);
        response.set_body(vec![b'x'; 16 << 10]);
        response
    }

    fn error_response(&self, _: &Fault) -> Response {
        Response::new(StatusCode::BadRequest)
    }

    fn limit_reached(&self, limit: Limit, _: Option<SocketAddr>) {
        self.0.lock().unwrap().push(limit);
    }
}

/// Serves a slow reader until its connection ends; returns the limits that were reached.
async fn serve(limits: Limits, places: &Places) -> Vec<Limit> {
    let page = Arc::new(Page::default());
    let (closing, ended) = (StopSource::new(), StopSource::new());
    let stop = Stop { closing: closing.token(), ended: ended.token() };
    let place = places.take(Instant::now()).unwrap();
    let resources = Resources { memory: Budget::new(1 << 20), place, peer: None };
    let served = server::serve_within(SlowReader::new(), page.clone(), &limits, &stop, resources);
    timeout(WAIT_TIMEOUT, served).await.expect("the connection ends");
    std::mem::take(&mut *page.0.lock().unwrap())
}

/// Guards against a connection that is kept forever because its client reads a byte of the response
/// from time to time.
#[async_std::test]
async fn a_response_has_a_longest_time() {
    let limits = Limits { body_timeout: Span::millis(100), ..Limits::default() };
    assert_eq!(serve(limits, &Places::new(1)).await, [Limit::ResponseTime]);
}

/// Guards against slow readers that keep all places of a listener.
#[async_std::test]
async fn a_slow_reader_loses_its_place_to_a_new_connection() {
    let places = Places::new(1);
    let new_connection = async {
        while places.take(Instant::now()).is_none() {
            async_std::task::sleep(READ_PAUSE).await;
        }
    };
    let reached = futures::join!(serve(Limits::default(), &places), new_connection).0;
    assert_eq!(reached, [Limit::Connections]);
}
