//! The context of a caller's request.

use crate::clock;
use crate::node::Node;
use celerythread_adapter::submission;
use celerythread_engine::job::Origin;
use celerythread_engine::submission::usable_time;
use celerythread_engine::time::Time;
use celerythread_http::server::Request;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Deadline of requests that give none.
pub(crate) const DEFAULT_DEADLINE: Duration = Duration::from_millis(3000);

/// Longest part of a caller's text in a log line, in characters.
const MAX_LOGGED_LEN: usize = 128;

/// The beginning of a caller's text, for log lines: the log's queue is bounded by lines.
pub(crate) fn shorten(text: &str) -> String {
    text.chars().take(MAX_LOGGED_LEN).collect()
}

/// Counts a request as in flight until dropped.
pub(crate) struct InFlight<'a> {
    node: &'a Node,
    position: u64,
}

impl<'a> InFlight<'a> {
    pub(crate) fn new(node: &'a Node) -> Self {
        let others = node.in_flight.fetch_add(1, Ordering::SeqCst);
        Self { node, position: others + 1 }
    }

    /// Number of requests that were in flight when it began, itself included.
    pub(crate) fn position(&self) -> u64 {
        self.position
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.node.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

/// The context of a caller's request.
pub(crate) struct Context {
    /// The id that the caller gave it; `-` if none.
    pub(crate) request_id: String,
    /// On whose behalf the request is made.
    pub(crate) origin: Origin,
    /// When the response must be sent.
    pub(crate) deadline: Time,
    pub(crate) began: Time,
}

impl Context {
    pub(crate) fn new(request: &Request, origin: Origin) -> Self {
        let given = request.header(submission::DEADLINE_HEADER);
        let deadline = given
            .and_then(|text| text.parse().ok())
            .map_or(DEFAULT_DEADLINE, Duration::from_millis);
        let began = clock::now();
        Self {
            request_id: shorten(request.header(submission::REQUEST_ID_HEADER).unwrap_or("-")),
            origin,
            deadline: began + usable_time(deadline),
            began,
        }
    }

    pub(crate) fn remaining(&self) -> Duration {
        self.deadline.since(clock::now())
    }
}
