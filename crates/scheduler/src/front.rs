//! What callers are answered.

use crate::clock;
use crate::metrics::{Counter, Timing};
use crate::node::Node;
use crate::owner::load::read_progress;
use crate::peers;
use crate::rows;
use crate::submit::{self, Job, Written};
use async_trait::async_trait;
use celerythread_adapter::configuration::Queue;
use celerythread_adapter::store::{Error, Transaction};
use celerythread_adapter::submission;
use celerythread_engine::job::{Accepted, Id, Problem, State, encode};
use celerythread_engine::submission::{Attempt, retry_after_s, usable};
use celerythread_engine::time::Time;
use celerythread_http::Fault;
use celerythread_http::server::{Handler, Request};
use celerythread_wire::job::{Answer, Question};
use http_types::{Method, Response, StatusCode};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// How long a caller waits when it doesn't say.
const DEFAULT_DEADLINE: Duration = Duration::from_millis(3000);

/// Longest wait for one transaction.  The store answers in some 4 ms; an answer that takes
/// this long is most likely lost, and asking again is harmless.
const COMMIT_LIMIT: Duration = Duration::from_millis(1400);

/// Longest wait for a read.
const READ_LIMIT: Duration = Duration::from_millis(700);

/// Pause before a write that was certainly not done is tried again.
const RETRY: Duration = Duration::from_millis(120);

/// The front of an entry.
pub(crate) struct Front {
    node: Arc<Node>,
}

/// Counts a request while it is worked on.
struct Flying<'a>(&'a Node);

impl<'a> Flying<'a> {
    fn new(node: &'a Node) -> Self {
        node.flying.fetch_add(1, Ordering::SeqCst);
        Self(node)
    }
}

impl Drop for Flying<'_> {
    fn drop(&mut self) {
        self.0.flying.fetch_sub(1, Ordering::SeqCst);
    }
}

/// What is known of a caller's request.
struct Context {
    /// The caller's name for it.
    request: String,
    /// When its answer must be sent.
    until: Time,
    began: Time,
}

impl Context {
    fn new(request: &Request) -> Self {
        let given = request.header(submission::DEADLINE_HEADER);
        let deadline = given
            .and_then(|text| text.parse().ok())
            .map_or(DEFAULT_DEADLINE, Duration::from_millis);
        let began = clock::now();
        Self {
            request: request.header(submission::REQUEST_HEADER).unwrap_or("-").into(),
            until: began + usable(deadline),
            began,
        }
    }

    fn left(&self) -> Duration {
        self.until.since(clock::now())
    }
}

impl Front {
    pub(crate) fn new(node: Arc<Node>) -> Self {
        Self { node }
    }

    fn readiness(&self) -> Response {
        let node = &self.node;
        let ready = node.configuration().is_some() && !node.is_store_away() && !node.is_stopping();
        answer(if ready { StatusCode::Ok } else { StatusCode::ServiceUnavailable })
    }

    async fn route(&self, request: &Request) -> Response {
        let path = request.path().to_owned();
        if path == submission::READY_PATH {
            return self.readiness();
        }
        let Some(configuration) = self.node.configuration() else {
            return refuse(DEFAULT_DEADLINE);
        };
        let host = request.header("host").unwrap_or_default().to_owned();
        let Some(queue) = configuration.queue(&host, &path) else {
            return answer(StatusCode::NotFound);
        };
        let context = Context::new(request);
        let rest = &path[queue.path.len()..];
        if rest.is_empty() && request.head.method() == Method::Get {
            return self.pending(queue).await;
        }
        let Ok(id) = rest.parse::<Id>() else {
            return answer(StatusCode::NotFound);
        };
        match request.head.method() {
            Method::Post => self.submit(&context, queue, id, &request.body).await,
            Method::Get => self.state(&context, queue, id).await,
            Method::Delete => self.cancel(&context, queue, id).await,
            _ => answer(StatusCode::MethodNotAllowed),
        }
    }

    async fn submit(&self, context: &Context, queue: &Queue, id: Id, body: &[u8]) -> Response {
        let node = &self.node;
        let definition = match submission::decode(body) {
            Ok(definition) => definition,
            Err(error) => return self.reject(context, id, StatusCode::BadRequest, &error),
        };
        if let Err(problem) = definition.check() {
            let status = match problem {
                Problem::TooLarge { .. } => StatusCode::PayloadTooLarge,
                _ => StatusCode::BadRequest,
            };
            return self.reject(context, id, status, &problem);
        }
        let accepted =
            Accepted { queue: queue.name.as_str().into(), at_ms: clock::wall_ms(), definition };
        let row = encode(&accepted);
        let job = Job { service: &queue.service, id, row: &row, until: context.until };
        let written = submit::write(node, &job).await;
        let took = clock::now().since(context.began);
        node.metrics.time(Timing::Accept, took);
        let (event, counter, response) = match &written {
            Written::Accepted(_) => ("job_accepted", Counter::JobsAccepted, accepted_answer()),
            Written::Refused(_) => ("job_refused", Counter::JobsRefused, refuse(context.left())),
            Written::Unknown => {
                ("job_unknown", Counter::JobsUnknown, answer(StatusCode::GatewayTimeout))
            }
        };
        node.metrics.count(counter);
        let reason = match &written {
            Written::Refused(error) => error.to_string(),
            _ => String::new(),
        };
        node.journal.note(
            event,
            &[
                ("job", &id),
                ("request", &context.request),
                ("queue", &queue.name),
                ("service", &queue.service),
                ("ms", &took.as_millis()),
                ("reason", &reason),
            ],
        );
        if let Written::Accepted(row) = written {
            let service = queue.service.clone();
            self.tell_owner(Question::Accepted { service, id, row });
        }
        response
    }

    fn reject(
        &self,
        context: &Context,
        id: Id,
        status: StatusCode,
        reason: &dyn std::fmt::Display,
    ) -> Response {
        self.node.metrics.count(Counter::JobsRefused);
        self.node.journal.note(
            "job_rejected",
            &[("job", &id), ("request", &context.request), ("status", &status), ("reason", reason)],
        );
        answer(status)
    }

    /// Tells the owner without waiting for it: its feed brings the same a little later.
    fn tell_owner(&self, question: Question) {
        let node = self.node.clone();
        if let Some(owner) = node.owner(question.service()) {
            owner.answer(&question);
            return;
        }
        async_std::task::spawn(async move {
            let service = question.service().to_owned();
            peers::ask_owner(&node, &service, question).await;
        });
    }

    async fn state(&self, context: &Context, queue: &Queue, id: Id) -> Response {
        let service = queue.service.clone();
        let asked = peers::ask_owner(&self.node, &queue.service, Question::State { service, id });
        let state = match asked.await {
            Some(Answer::State(Some(state))) => Ok(Some(state)),
            // Nobody can tell now, and whoever asks does so again.
            _ if self.node.is_store_away() => return refuse(context.left()),
            // A job that the owner doesn't know may have been accepted a moment ago.
            _ => self.read_state(queue, id).await,
        };
        match state {
            Ok(Some(state)) => {
                let mut response = answer(StatusCode::Ok);
                set_json(&mut response, submission::state_body(state));
                response
            }
            Ok(None) => {
                self.node.journal.note(
                    "job_not_found",
                    &[("job", &id), ("request", &context.request), ("queue", &queue.name)],
                );
                answer(StatusCode::Gone)
            }
            Err(error) => {
                self.node.journal.warn(
                    "state_unread",
                    &[("job", &id), ("request", &context.request), ("reason", &error)],
                );
                refuse(context.left())
            }
        }
    }

    /// A job's state as far as it is kept; none if it was never accepted.
    async fn read_state(&self, queue: &Queue, id: Id) -> Result<Option<State>, Error> {
        let (node, service) = (&self.node, &queue.service);
        let get = async |name: celerythread_adapter::store::Name| {
            let row = node.store.get(&name.table, &name.part, &name.key, READ_LIMIT).await;
            node.store_result(&row);
            row
        };
        let Some(job) = get(rows::job(service, &id)).await? else { return Ok(None) };
        let progress = get(rows::progress(service, &id)).await?;
        let progress = progress.and_then(|row| read_progress(node, &row));
        if let Some(outcome) = progress.as_ref().and_then(|progress| progress.outcome) {
            return Ok(Some(outcome));
        }
        if get(rows::cancel(service, &id)).await?.is_some() {
            return Ok(Some(State::Cancelled));
        }
        let service = service.clone();
        self.tell_owner(Question::Accepted { service, id, row: job.value });
        Ok(Some(if progress.is_some() { State::Running } else { State::Queued }))
    }

    async fn cancel(&self, context: &Context, queue: &Queue, id: Id) -> Response {
        let node = &self.node;
        let service = &queue.service;
        let name = rows::job(service, &id);
        let row = node.store.get(&name.table, &name.part, &name.key, READ_LIMIT).await;
        node.store_result(&row);
        match row {
            Ok(Some(_)) => {}
            Ok(None) => return answer(StatusCode::Gone),
            Err(_) => return refuse(context.left()),
        }
        let change = Transaction {
            writes: vec![(rows::cancel(service, &id), vec![1])],
            ..Transaction::default()
        };
        let began = clock::now();
        let written = loop {
            let attempt = Attempt {
                waited: clock::now().since(began),
                left: context.left(),
                silent: node.is_store_away(),
                has_peers: false,
                unanswered: true,
            };
            if attempt.is_over() {
                break false;
            }
            if node.commit(&change, COMMIT_LIMIT.min(attempt.write_limit())).await.is_ok() {
                break true;
            }
            async_std::task::sleep(RETRY.min(context.left())).await;
        };
        node.journal.note(
            "job_cancelled",
            &[("job", &id), ("request", &context.request), ("written", &written)],
        );
        if !written {
            return answer(StatusCode::GatewayTimeout);
        }
        node.metrics.count(Counter::JobsCancelled);
        self.tell_owner(Question::Cancelled { service: service.clone(), id });
        answer(StatusCode::Ok)
    }

    async fn pending(&self, queue: &Queue) -> Response {
        let question =
            Question::Pending { service: queue.service.clone(), queue: queue.name.clone() };
        match peers::ask_owner(&self.node, &queue.service, question).await {
            Some(Answer::Pending(pending)) => {
                let mut response = answer(StatusCode::Ok);
                set_json(&mut response, submission::pending_body(pending as usize));
                response
            }
            _ => refuse(DEFAULT_DEADLINE),
        }
    }
}

#[async_trait]
impl Handler for Front {
    async fn handle(&self, request: Request) -> Response {
        let _flying = Flying::new(&self.node);
        self.route(&request).await
    }

    fn refuse(&self, fault: &Fault) -> Response {
        self.node.journal.note("request_unreadable", &[("reason", fault)]);
        let status = match fault {
            Fault::BodyTooLarge { .. } => StatusCode::PayloadTooLarge,
            Fault::HeadTooLarge { .. } => StatusCode::RequestHeaderFieldsTooLarge,
            Fault::Timeout { .. } => StatusCode::RequestTimeout,
            _ => StatusCode::BadRequest,
        };
        answer(status)
    }
}

fn answer(status: StatusCode) -> Response {
    Response::new(status)
}

fn accepted_answer() -> Response {
    let mut response = answer(StatusCode::Ok);
    set_json(&mut response, b"{}".to_vec());
    response
}

/// A refusal: whatever was asked was not done and won't be.  Its caller has so much time left to come
/// back.
fn refuse(left: Duration) -> Response {
    let mut response = answer(StatusCode::ServiceUnavailable);
    response.insert_header("retry-after", retry_after_s(left).to_string());
    response
}

fn set_json(response: &mut Response, body: Vec<u8>) {
    response.set_body(body);
    response.insert_header("content-type", "application/json");
}
