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

/// Counts a request as in flight until dropped.
pub(crate) struct InFlight<'a>(&'a Node);

impl<'a> InFlight<'a> {
    pub(crate) fn new(node: &'a Node) -> Self {
        node.in_flight.fetch_add(1, Ordering::SeqCst);
        Self(node)
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::SeqCst);
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
            request_id: request.header(submission::REQUEST_ID_HEADER).unwrap_or("-").into(),
            origin,
            deadline: began + usable_time(deadline),
            began,
        }
    }

    pub(crate) fn remaining(&self) -> Duration {
        self.deadline.since(clock::now())
    }
}
