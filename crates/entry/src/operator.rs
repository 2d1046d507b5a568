//! The operators' interface: HTTP with JSON bodies on an address of its own.

mod config;
mod jobs;
mod maintenance;
mod pools;
mod status;

use crate::node::Node;
use crate::problem::{Problem, json};
use async_trait::async_trait;
use celerythread_http::Fault;
use celerythread_http::server::{Handler, Request};
use celerythread_model::code::Code;
use http_types::{Method, Response, StatusCode};
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// The handler of operators' requests.
pub(crate) struct Operator {
    node: Arc<Node>,
}

impl Operator {
    pub(crate) fn new(node: Arc<Node>) -> Self {
        Self { node }
    }

    async fn route(&self, request: &Request) -> Result<Response, Problem> {
        let node = &self.node;
        match (request.head.method(), request.path()) {
            (Method::Get, "/live") => Ok(text_response("live\n".into())),
            (Method::Get, "/ready") => readiness(node),
            (Method::Get, "/metrics") => Ok(text_response(node.metrics.page())),
            (Method::Get, "/v1/status") => Ok(json(&status::status(node))),
            (Method::Get, "/v1/timeline") => Ok(json(&node.timeline.events())),
            (Method::Get, "/v1/minions") => Ok(json(&pools::minions(node))),
            (Method::Get, "/v1/pools") => Ok(json(&pools::pools(node))),
            (Method::Post, "/v1/pools/move") => pools::move_minion(node, request).await,
            (Method::Get, "/v1/config") => config::show(node).await,
            (Method::Get, "/v1/config/history") => config::history(node, request).await,
            (Method::Post, "/v1/config/check") => config::check(request),
            (Method::Post, "/v1/config") => config::apply(node, request).await,
            (Method::Get, "/v1/maintenance") => Ok(json(&maintenance::list(node))),
            (Method::Post, "/v1/maintenance") => maintenance::declare(node, request).await,
            (Method::Post, "/v1/maintenance/cancel") => maintenance::cancel(node, request).await,
            (Method::Get, "/v1/jobs") => jobs::list(node).await,
            (Method::Post, "/v1/jobs") => jobs::submit(node, request).await,
            (Method::Post, "/v1/jobs/cancel") => jobs::cancel(node, request).await,
            (_, path) => Err(Problem::new(Code::NotFound, format!("there is no {path}"))),
        }
    }
}

#[async_trait]
impl Handler for Operator {
    async fn handle(&self, request: Request) -> Response {
        self.route(&request).await.unwrap_or_else(|problem| problem.response())
    }

    fn error_response(&self, fault: &Fault) -> Response {
        Problem::new(fault.request_code(), fault.to_string()).response()
    }
}

fn text_response(body: String) -> Response {
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(body);
    response.insert_header("content-type", "text/plain; charset=utf-8");
    response
}

/// Whether the load balancer may send callers here.
fn readiness(node: &Node) -> Result<Response, Problem> {
    if node.ready.load(Ordering::SeqCst) && node.view.read().config().is_some() {
        return Ok(text_response("ready\n".into()));
    }
    let detail = if node.is_stopping() {
        "this instance is stopping"
    } else {
        "not registered, or no configuration yet"
    };
    Err(Problem::new(Code::Stopping, detail))
}

/// The response to an operator for a failed platform call.
fn platform_problem(error: &celerythread_platform::Error) -> Problem {
    Problem::new(error.code(), error.to_string())
}

/// The response to a malformed operator's request.
fn bad_request(error: impl ToString) -> Problem {
    Problem::new(Code::BadRequest, error.to_string())
}
