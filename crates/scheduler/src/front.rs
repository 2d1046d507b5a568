//! The HTTP interface to callers.

mod accept;
mod cancel;
mod context;
mod state;

use crate::admission;
use crate::home;
use crate::metrics::Counter;
use crate::node::Node;
use crate::peers;
use crate::terms;
use async_trait::async_trait;
use celerythread_adapter::configuration::{Queue, Refusal};
use celerythread_adapter::credential;
use celerythread_adapter::submission;
use celerythread_engine::cancellation::Limiter;
use celerythread_engine::job::{Accepted, Id, Origin, Terms};
use celerythread_engine::submission::retry_after_s;
use celerythread_http::memory::Reservation;
use celerythread_http::server::{Handler, Request};
use celerythread_http::{Fault, Limit};
use celerythread_wire::job::{Answer, Question};
use context::{Context, DEFAULT_DEADLINE, InFlight, shorten};
use http_types::headers::HeaderValue;
use http_types::{Method, Response, StatusCode};
use parking_lot::Mutex;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Longest wait for one transaction.  The store answers in some 4 ms, so an answer that takes this
/// long is most likely lost; a retry is harmless.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(1400);

/// Longest wait for one read from the store.
const READ_TIMEOUT: Duration = Duration::from_millis(700);

/// Delay before a failed write is retried.
const RETRY_DELAY: Duration = Duration::from_millis(120);

/// Serves the requests of callers.
pub(crate) struct CallerHandler {
    node: Arc<Node>,
    /// Limits the cancellations of ids under which no job is stored.
    early_cancellations: Mutex<Limiter>,
}

/// The queue that a request addresses, and on whose behalf.
struct Target {
    queue: Queue,
    origin: Origin,
    /// The terms on which the queue accepts jobs.
    terms: Terms,
    /// The path after the queue's own: a job's id, or empty.
    subpath: String,
}

impl CallerHandler {
    pub(crate) fn new(node: Arc<Node>) -> Self {
        Self { node, early_cancellations: Mutex::default() }
    }

    /// Records that a client has reached a limit at a listener.
    pub(crate) fn record_limit(&self, limit: Limit, listener: &str, client: Option<SocketAddr>) {
        self.node.record_limit(limit, listener, client);
    }

    fn readiness(&self) -> Response {
        let node = &self.node;
        let ready =
            node.configuration().is_some() && !node.is_outage_ongoing() && !node.is_stopping();
        status_response(if ready { StatusCode::Ok } else { StatusCode::ServiceUnavailable })
    }

    async fn route(&self, request: Request) -> Response {
        if request.path() == submission::READY_PATH {
            return self.readiness();
        }
        let target = match self.resolve_target(&request.head) {
            Ok(target) => target,
            Err(response) => return *response,
        };
        if let Origin::Workspace(_) = target.origin {
            self.node.in_force.refresh().await;
        }
        // The configuration may have changed since the head was checked.
        let target = match self.resolve_target(&request.head) {
            Ok(target) => target,
            Err(response) => return *response,
        };
        let context = Context::new(&request, target.origin.clone());
        let queue = &target.queue;
        if target.subpath.is_empty() && request.head.method() == Method::Get {
            return self.pending(queue).await;
        }
        let Ok(id) = target.subpath.parse::<Id>() else {
            return status_response(StatusCode::NotFound);
        };
        match request.head.method() {
            Method::Post => {
                let Request { body, body_memory, .. } = request;
                match self.prepare(&context, &target, id, (body, body_memory)) {
                    Ok(prepared) => self.submit(&context, queue, id, prepared).await,
                    Err(response) => *response,
                }
            }
            Method::Get => self.state(&context, queue, id).await,
            Method::Delete => self.cancel(&context, queue, id).await,
            _ => status_response(StatusCode::MethodNotAllowed),
        }
    }

    /// Finds the queue of a request and authorizes the request, by the configuration in force.
    ///
    /// # Errors
    /// The response to a request that is not admitted.
    fn resolve_target(&self, head: &http_types::Request) -> Result<Target, Box<Response>> {
        let node = &self.node;
        let Some(configuration) = node.configuration() else {
            return Err(unavailable_response(DEFAULT_DEADLINE).into());
        };
        let host = last_value(head, "host").unwrap_or_default();
        let path = head.url().path();
        let Some(queue) = configuration.queue(host, path) else {
            return Err(status_response(StatusCode::NotFound).into());
        };
        let values = head.header(credential::AUTHORIZATION_HEADER).into_iter().flatten();
        let origin = match configuration.authorize(queue, values.map(HeaderValue::as_str)) {
            Ok(origin) => origin,
            Err(refusal) => return Err(self.refuse_unauthorized(head, queue, &refusal).into()),
        };
        let strict = node.settings.strict_keys && origin != Origin::Public;
        if strict && node.in_force.age() > node.settings.trust_keys_for.0 {
            return Err(self.refuse_unconfirmed(head, queue).into());
        }
        let subpath = path[queue.path_prefix.len()..].to_owned();
        let terms = terms::of_job(&configuration, queue, &origin);
        Ok(Target { queue: queue.clone(), origin, terms, subpath })
    }

    /// Refuses a request without a valid key.
    fn refuse_unauthorized(
        &self,
        head: &http_types::Request,
        queue: &Queue,
        refusal: &Refusal,
    ) -> Response {
        self.node.metrics.count(Counter::KeysRefused);
        let request = shorten(last_value(head, submission::REQUEST_ID_HEADER).unwrap_or("-"));
        let age_ms = self.node.in_force.age().as_millis();
        let job = shorten(&head.url().path()[queue.path_prefix.len()..]);
        self.node.journal.info(
            "key_refused",
            &[
                ("job", &job),
                ("request", &request),
                ("queue", &queue.name),
                ("reason", refusal),
                ("configuration_age_ms", &age_ms),
            ],
        );
        let mut response = status_response(StatusCode::Unauthorized);
        let (header, challenge) = credential::CHALLENGE;
        response.insert_header(header, challenge);
        response
    }

    /// Refuses a request whose key may have been withdrawn since the configuration was last
    /// confirmed.
    fn refuse_unconfirmed(&self, head: &http_types::Request, queue: &Queue) -> Response {
        let request = shorten(last_value(head, submission::REQUEST_ID_HEADER).unwrap_or("-"));
        let age_ms = self.node.in_force.age().as_millis();
        self.node.journal.info(
            "keys_unconfirmed",
            &[("request", &request), ("queue", &queue.name), ("configuration_age_ms", &age_ms)],
        );
        unavailable_response(DEFAULT_DEADLINE)
    }

    /// Whether the caller may access the job stored as `row`.  An unreadable job is inaccessible to
    /// all workspaces.
    fn may_access(&self, context: &Context, id: Id, row: &[u8]) -> bool {
        match Accepted::decode(row) {
            Ok(accepted) => context.origin.may_access(&accepted.origin),
            Err(error) => {
                self.node.journal.warn("job_unreadable", &[("job", &id), ("reason", &error)]);
                context.origin == Origin::Public
            }
        }
    }

    fn reject(
        &self,
        context: &Context,
        id: Id,
        status: StatusCode,
        reason: &dyn std::fmt::Display,
    ) -> Response {
        self.node.metrics.count(Counter::JobsRefused);
        self.node.journal.info(
            "job_rejected",
            &[
                ("job", &id),
                ("request", &context.request_id),
                ("status", &status),
                ("reason", reason),
            ],
        );
        status_response(status)
    }

    /// Notifies the owner without waiting for an answer; the owner's feed brings the same a little
    /// later.  The question's memory stays reserved meanwhile.
    fn notify_owner(&self, question: Question, memory: Option<Reservation>) {
        let node = self.node.clone();
        if let Some(owner) = node.owner(question.service()) {
            cancel::log_unheard(&node, &question, owner.answer(&question).as_ref());
            return;
        }
        async_std::task::spawn(async move {
            let service = question.service().to_owned();
            let answer = peers::ask_owner(&node, &service, question.clone()).await;
            cancel::log_unheard(&node, &question, answer.as_ref());
            admission::record_answer(&node, &service, answer.as_ref());
            drop(memory);
        });
    }

    async fn pending(&self, queue: &Queue) -> Response {
        let Ok(home) = home::find_or_default(&self.node, queue).await else {
            return unavailable_response(DEFAULT_DEADLINE);
        };
        let services = home.with(&queue.service).services;
        // The cell of a service that was removed has no holder once its jobs have ended.
        let has_holder =
            |service: &&String| **service == queue.service || self.node.holder(service).is_some();
        let asks = services.iter().filter(has_holder).map(|service| {
            let question =
                Question::Pending { service: service.clone(), queue: queue.name.clone() };
            peers::ask_owner(&self.node, service, question)
        });
        let mut pending = 0;
        for answer in futures::future::join_all(asks).await {
            let Some(Answer::Pending(jobs)) = answer else {
                return unavailable_response(DEFAULT_DEADLINE);
            };
            pending += jobs as usize;
        }
        let mut response = status_response(StatusCode::Ok);
        set_json(&mut response, submission::pending_body(pending));
        response
    }
}

#[async_trait]
impl Handler for CallerHandler {
    fn admit(&self, head: &http_types::Request) -> Option<Response> {
        if head.url().path() == submission::READY_PATH {
            return None;
        }
        self.resolve_target(head).err().map(|response| *response)
    }

    async fn handle(&self, request: Request) -> Response {
        let in_flight = InFlight::new(&self.node);
        let is_readiness_check = request.path() == submission::READY_PATH;
        if in_flight.position() > self.node.settings.max_requests() && !is_readiness_check {
            self.node.record_limit(Limit::Requests, "callers", request.peer);
            return unavailable_response(DEFAULT_DEADLINE);
        }
        self.route(request).await
    }

    fn error_response(&self, fault: &Fault) -> Response {
        self.node.journal.info("request_unreadable", &[("reason", fault)]);
        let status = match fault {
            Fault::BodyTooLarge { .. } => StatusCode::PayloadTooLarge,
            Fault::HeadTooLarge { .. } => StatusCode::RequestHeaderFieldsTooLarge,
            Fault::Timeout { .. } => StatusCode::RequestTimeout,
            // Not received whole, so it is certainly not run.
            Fault::Overloaded { .. } => return unavailable_response(DEFAULT_DEADLINE),
            _ => StatusCode::BadRequest,
        };
        status_response(status)
    }

    fn limit_reached(&self, limit: Limit, client: Option<SocketAddr>) {
        self.record_limit(limit, "callers", client);
    }
}

fn last_value<'a>(head: &'a http_types::Request, name: &str) -> Option<&'a str> {
    head.header(name).map(|values| values.last().as_str())
}

/// The service that runs the job stored as `row`.  An unreadable job has that of its partition.
fn service_of(row: &[u8], partition: &str) -> String {
    Accepted::decode(row)
        .map_or_else(|_| partition.into(), |accepted| accepted.service(partition).into())
}

fn status_response(status: StatusCode) -> Response {
    Response::new(status)
}

fn accepted_response() -> Response {
    let mut response = status_response(StatusCode::Ok);
    set_json(&mut response, b"{}".to_vec());
    response
}

/// The response to a request that was not carried out and will not be: 503, with a `retry-after`
/// that fits the caller's remaining time.
fn unavailable_response(remaining: Duration) -> Response {
    let mut response = status_response(StatusCode::ServiceUnavailable);
    response.insert_header("retry-after", retry_after_s(remaining).to_string());
    response
}

fn set_json(response: &mut Response, body: Vec<u8>) {
    response.set_body(body);
    response.insert_header("content-type", "application/json");
}
