//! An upstream that records the requests it got.
//!
//! It answers each request with the request's id and a digest of its body, so that a caller can
//! check that an answer is complete and belongs to its request.

use crate::serve::Server;
use async_std::task;
use async_trait::async_trait;
use celerythread_http::Fault;
use celerythread_http::server::{Handler, Request};
use http_types::{Body, Response, StatusCode};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use strum::{Display, EnumString};

/// How a minion handles requests.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize, Display, EnumString,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Mode {
    /// Runs and answers requests.
    #[default]
    Good,
    /// Answers 500 at once without running requests.
    FailFast,
    /// Answers 503 at once without running requests.
    Unavailable,
    /// Runs requests and closes the connection in the middle of the answer's body.
    Truncate,
    /// Runs requests and never answers.
    Hang,
}

/// A request as the minion recorded it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Run {
    /// The caller's `X-Request-Id`.
    pub id: String,
    /// Time from the minion's start to the request's arrival, in milliseconds.
    pub started_ms: u64,
    /// Whether the request ran; false when it was refused.
    pub ran: bool,
    /// The request's path, which tells the pool.
    pub path: String,
}

/// The record of a minion.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Record {
    /// All requests, in order of arrival.
    pub runs: Vec<Run>,
    /// Highest number of concurrent requests.
    pub most_outstanding: usize,
}

struct State {
    mode: Mode,
    duration: Duration,
    /// Length of the padding in each answer, in bytes.
    filling: usize,
    outstanding: usize,
    record: Record,
    started: Instant,
}

/// A running minion.
pub struct Minion {
    /// The HTTP server.
    pub server: Server,
    state: Arc<Mutex<State>>,
}

/// The body of a complete answer.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// The request's id.
    pub id: String,
    /// Digest of the request's body, see [`digest`].
    pub digest: String,
    /// Padding that makes answers long.
    pub filling: String,
}

/// The SHA-256 digest of a body, in hexadecimal.
pub fn digest(body: &[u8]) -> String {
    Sha256::digest(body).iter().map(|byte| format!("{byte:02x}")).collect()
}

impl Minion {
    /// Starts a minion whose requests take `duration`.
    ///
    /// # Errors
    /// When `address` can't be bound.
    pub async fn start(address: SocketAddr, duration: Duration) -> io::Result<Self> {
        let state = Arc::new(Mutex::new(State {
            mode: Mode::Good,
            duration,
            filling: 0,
            outstanding: 0,
            record: Record::default(),
            started: Instant::now(),
        }));
        let server = Server::start(address, Arc::new(RequestHandler(state.clone()))).await?;
        Ok(Self { server, state })
    }

    /// Sets how it handles requests.
    pub fn set_mode(&self, mode: Mode) {
        self.state.lock().mode = mode;
    }

    /// Sets the processing time of a request.
    pub fn set_duration(&self, duration: Duration) {
        self.state.lock().duration = duration;
    }

    /// Sets the length of the padding in each answer.
    pub fn set_filling(&self, bytes: usize) {
        self.state.lock().filling = bytes;
    }

    /// The record so far.
    pub fn record(&self) -> Record {
        self.state.lock().record.clone()
    }

    /// Current number of requests.
    pub fn outstanding(&self) -> usize {
        self.state.lock().outstanding
    }
}

struct RequestHandler(Arc<Mutex<State>>);

/// Counts a request as outstanding until it is dropped.
struct Outstanding(Arc<Mutex<State>>);

impl Drop for Outstanding {
    fn drop(&mut self) {
        self.0.lock().outstanding -= 1;
    }
}

impl RequestHandler {
    fn record_start(&self, id: &str, path: &str) -> (Outstanding, Mode, Duration, usize) {
        let mut state = self.0.lock();
        state.outstanding += 1;
        state.record.most_outstanding = state.record.most_outstanding.max(state.outstanding);
        let ran = !matches!(state.mode, Mode::FailFast | Mode::Unavailable);
        let started_ms = state.started.elapsed().as_millis() as u64;
        state.record.runs.push(Run { id: id.into(), started_ms, ran, path: path.into() });
        (Outstanding(self.0.clone()), state.mode, state.duration, state.filling)
    }
}

#[async_trait]
impl Handler for RequestHandler {
    async fn handle(&self, request: Request) -> Response {
        if request.path() == "/standin/record" {
            return json(&self.0.lock().record);
        }
        if request.path() == "/standin/mode" {
            if let Ok(mode) = serde_json::from_slice(&request.body) {
                self.0.lock().mode = mode;
            }
            return Response::new(StatusCode::Ok);
        }
        let id = request.header("x-request-id").unwrap_or_default().to_owned();
        let (outstanding, mode, duration, filling) = self.record_start(&id, request.path());
        let answer = Answer { id, digest: digest(&request.body), filling: "x".repeat(filling) };
        match mode {
            Mode::FailFast => return Response::new(StatusCode::InternalServerError),
            Mode::Unavailable => return Response::new(StatusCode::ServiceUnavailable),
            Mode::Hang => task::sleep(Duration::from_secs(600)).await,
            Mode::Good | Mode::Truncate => task::sleep(duration).await,
        }
        drop(outstanding);
        if mode == Mode::Truncate { truncated(&answer) } else { json(&answer) }
    }

    fn error_response(&self, _: &Fault) -> Response {
        Response::new(StatusCode::BadRequest)
    }
}

fn json(value: &impl Serialize) -> Response {
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(serde_json::to_string(value).expect("records always serialize"));
    response.insert_header("content-type", "application/json");
    response
}

/// An answer that declares its full length and has half of the body.
fn truncated(answer: &Answer) -> Response {
    let text = serde_json::to_vec(answer).expect("records always serialize");
    let half = text[..text.len() / 2].to_vec();
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(Body::from_reader(async_std::io::Cursor::new(half), Some(text.len())));
    response
}
