//! What callers are answered.

use crate::clock;
use crate::metrics::{Counter, Timing};
use crate::node::Node;
use crate::owner::load::read_progress;
use crate::peers;
use crate::rows;
use crate::submit::{self, Job, Written};
use async_trait::async_trait;
use celerythread_adapter::configuration::{Queue, Refusal};
use celerythread_adapter::credential;
use celerythread_adapter::store::{Error, Transaction};
use celerythread_adapter::submission;
use celerythread_engine::job::{Accepted, Id, Origin, Problem, State, encode};
use celerythread_engine::submission::{Attempt, retry_after_s, usable};
use celerythread_engine::time::Time;
use celerythread_http::Fault;
use celerythread_http::server::{Handler, Request};
use celerythread_wire::job::{Answer, Question};
use http_types::headers::HeaderValue;
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
    /// On whose behalf it is made.
    origin: Origin,
    /// When its answer must be sent.
    until: Time,
    began: Time,
}

/// What a request is for.
struct Target {
    queue: Queue,
    origin: Origin,
    /// What follows the queue's path: a job's id, or nothing.
    rest: String,
}

impl Context {
    fn new(request: &Request, origin: Origin) -> Self {
        let given = request.header(submission::DEADLINE_HEADER);
        let deadline = given
            .and_then(|text| text.parse().ok())
            .map_or(DEFAULT_DEADLINE, Duration::from_millis);
        let began = clock::now();
        Self {
            request: request.header(submission::REQUEST_HEADER).unwrap_or("-").into(),
            origin,
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
        if request.path() == submission::READY_PATH {
            return self.readiness();
        }
        let target = match self.target(&request.head) {
            Ok(target) => target,
            Err(response) => return *response,
        };
        if let Origin::Workspace(_) = target.origin {
            self.node.in_force.look().await;
        }
        // What was in force when the head came may not be any more.
        let target = match self.target(&request.head) {
            Ok(target) => target,
            Err(response) => return *response,
        };
        let context = Context::new(request, target.origin);
        let queue = &target.queue;
        if target.rest.is_empty() && request.head.method() == Method::Get {
            return self.pending(queue).await;
        }
        let Ok(id) = target.rest.parse::<Id>() else {
            return answer(StatusCode::NotFound);
        };
        match request.head.method() {
            Method::Post => self.submit(&context, queue, id, &request.body).await,
            Method::Get => self.state(&context, queue, id).await,
            Method::Delete => self.cancel(&context, queue, id).await,
            _ => answer(StatusCode::MethodNotAllowed),
        }
    }

    /// What a request is for and on whose behalf it is made, by the configuration in force.
    ///
    /// # Errors
    /// The answer to a request that isn't let in.
    fn target(&self, head: &http_types::Request) -> Result<Target, Box<Response>> {
        let node = &self.node;
        let Some(configuration) = node.configuration() else {
            return Err(refuse(DEFAULT_DEADLINE).into());
        };
        let host = last_value(head, "host").unwrap_or_default();
        let path = head.url().path();
        let Some(queue) = configuration.queue(host, path) else {
            return Err(answer(StatusCode::NotFound).into());
        };
        let values = head.header(credential::HEADER).into_iter().flatten();
        let origin = match configuration.authorize(queue, values.map(HeaderValue::as_str)) {
            Ok(origin) => origin,
            Err(refusal) => return Err(self.unauthorized(head, queue, &refusal).into()),
        };
        let strict = node.settings.strict_keys && origin != Origin::Public;
        if strict && node.in_force.age() > node.settings.trust_keys_for.0 {
            return Err(self.unconfirmed(head, queue).into());
        }
        let rest = path[queue.path.len()..].to_owned();
        Ok(Target { queue: queue.clone(), origin, rest })
    }

    fn unauthorized(
        &self,
        head: &http_types::Request,
        queue: &Queue,
        refusal: &Refusal,
    ) -> Response {
        self.node.metrics.count(Counter::KeysRefused);
        let request = last_value(head, submission::REQUEST_HEADER).unwrap_or("-");
        let age_ms = self.node.in_force.age().as_millis();
        let job = head.url().path()[queue.path.len()..].to_owned();
        self.node.journal.note(
            "key_refused",
            &[
                ("job", &job),
                ("request", &request),
                ("queue", &queue.name),
                ("reason", refusal),
                ("configuration_age_ms", &age_ms),
            ],
        );
        let mut response = answer(StatusCode::Unauthorized);
        let (header, challenge) = credential::CHALLENGE;
        response.insert_header(header, challenge);
        response
    }

    /// Refuses a call whose key may have been withdrawn meanwhile.
    fn unconfirmed(&self, head: &http_types::Request, queue: &Queue) -> Response {
        let request = last_value(head, submission::REQUEST_HEADER).unwrap_or("-");
        let age_ms = self.node.in_force.age().as_millis();
        self.node.journal.note(
            "keys_unconfirmed",
            &[("request", &request), ("queue", &queue.name), ("configuration_age_ms", &age_ms)],
        );
        refuse(DEFAULT_DEADLINE)
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
        let accepted = Accepted {
            queue: queue.name.as_str().into(),
            at_ms: clock::wall_ms(),
            definition,
            origin: context.origin.clone(),
        };
        let row = encode(&accepted);
        let job = Job { service: &queue.service, id, row: &row, until: context.until };
        let written = submit::write(node, &job).await;
        if let Written::Accepted(row) = &written
            && !self.may_access(context, id, row)
        {
            return self.reject(
                context,
                id,
                StatusCode::Conflict,
                &"another workspace's job has this id",
            );
        }
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
                ("workspace", &context.origin),
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

    /// Whether a job that is kept as `row` is the caller's to see.  One that can't be read is nobody's.
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
        let question = Question::State { service, id, origin: context.origin.clone() };
        let asked = peers::ask_owner(&self.node, &queue.service, question);
        let state = match asked.await {
            Some(Answer::State(Some(state))) => Ok(Some(state)),
            // Nobody can tell now, and whoever asks does so again.
            _ if self.node.is_store_away() => return refuse(context.left()),
            // A job that the owner doesn't know may have been accepted a moment ago.
            _ => self.read_state(context, queue, id).await,
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
    async fn read_state(
        &self,
        context: &Context,
        queue: &Queue,
        id: Id,
    ) -> Result<Option<State>, Error> {
        let (node, service) = (&self.node, &queue.service);
        let get = async |name: celerythread_adapter::store::Name| {
            let row = node.store.get(&name.table, &name.part, &name.key, READ_LIMIT).await;
            node.store_result(&row);
            row
        };
        let Some(job) = get(rows::job(service, &id)).await? else { return Ok(None) };
        if !self.may_access(context, id, &job.value) {
            return Ok(None);
        }
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
            Ok(Some(row)) if self.may_access(context, id, &row.value) => {}
            Ok(_) => return answer(StatusCode::Gone),
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
    fn admit(&self, head: &http_types::Request) -> Option<Response> {
        if head.url().path() == submission::READY_PATH {
            return None;
        }
        self.target(head).err().map(|response| *response)
    }

    async fn handle(&self, request: Request) -> Response {
        let _flying = Flying::new(&self.node);
        self.route(&request).await
    }

    fn error_response(&self, fault: &Fault) -> Response {
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

fn last_value<'a>(head: &'a http_types::Request, name: &str) -> Option<&'a str> {
    head.header(name).map(|values| values.last().as_str())
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
