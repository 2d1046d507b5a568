//! The callers' interface: what a request must say, and what it is told.
//!
//! | header | meaning |
//! |---|---|
//! | `Celerythread-Service` | the service, required |
//! | `Priority` (RFC 9218) | `u=0` to `u=3` is urgent, `u=4` to `u=7` patient; urgent without it |
//! | `Celerythread-Deadline` | a time such as `5s`; the service's default without it |
//! | `Celerythread-Team` | whose quota it counts against |
//! | `Idempotency-Key` | makes a repeat get the first run's answer |

use crate::claims::{self, Held, Verdict};
use crate::dispatch::{self, Budgets, Delivered, Failed, Received, Task};
use crate::metrics::Counter;
use crate::node::Node;
use crate::problem::Problem;
use async_trait::async_trait;
use celerythread_http::Fault;
use celerythread_http::server::{Handler, Request};
use celerythread_model::code::Code;
use celerythread_model::config::{Document, MAX_DEADLINE, Service};
use celerythread_model::id;
use celerythread_model::request::{Class, Idempotence, Outcome};
use celerythread_model::unit::Span;
use celerythread_policy::claim::{Answer, Decision};
use celerythread_policy::quota::Quota;
use http_types::{Response, StatusCode};
use parking_lot::Mutex;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// When to come back while claims cannot be recorded, or a run is still going on.
const CLAIM_RETRY: Duration = Duration::from_secs(2);

/// When to come back to another instance while this one stops.
const STOPPING_RETRY: Duration = Duration::from_millis(200);

/// Longest idempotency key.
const MAX_KEY: usize = 128;

/// Least urgent value of `Priority`'s `u` that still counts as urgent.
const LAST_URGENT: u8 = 3;

/// Headers that belong to one connection and are not passed on, and our own.
const NOT_PASSED_ON: [&str; 14] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "host",
    "expect",
    "celerythread-service",
    "celerythread-deadline",
];

/// The handler of callers' requests.
pub(crate) struct Front {
    node: Arc<Node>,
    budgets: Budgets,
    quota: Mutex<Quota>,
}

/// A checked request.
struct Checked {
    task: Task,
    team: Option<id::Team>,
    key: Option<String>,
}

impl Front {
    pub(crate) fn new(node: Arc<Node>) -> Self {
        Self { node, budgets: Mutex::default(), quota: Mutex::default() }
    }

    async fn answer(&self, request: Request) -> Result<Response, Problem> {
        if self.node.is_stopping() {
            let problem = Problem::new(Code::Stopping, "this instance is stopping");
            return Err(problem.retry_after(STOPPING_RETRY));
        }
        let size = request.body.len() as u64;
        let Some(_memory) = self.node.memory.take(size) else {
            let problem = Problem::new(Code::Overloaded, "too many request bodies in memory");
            return Err(problem.retry_after(Duration::from_secs(1)));
        };
        let document = self.node.view.read().document().clone();
        let checked = check(&self.node, &document, request)?;
        let _quota = self.enter(&checked, &document)?;
        match &checked.key {
            Some(key) => self.keyed(&checked.task, key).await,
            None => {
                let run = dispatch::run(&self.node, &self.budgets, &checked.task).await;
                run.map(|delivered| self.deliver(delivered)).map_err(problem)
            }
        }
    }

    fn enter(&self, checked: &Checked, document: &Document) -> Result<Entered<'_>, Problem> {
        let Some(team) = &checked.team else { return Ok(Entered { front: self, team: None }) };
        if !self.quota.lock().enter(team, document) {
            let detail = format!("team {team} has its quota of requests in flight");
            let problem = Problem::new(Code::QuotaExceeded, detail);
            return Err(problem.retry_after(Duration::from_secs(1)));
        }
        Ok(Entered { front: self, team: Some(team.clone()) })
    }

    fn deliver(&self, delivered: Delivered) -> Response {
        self.node.count(Counter::Answers);
        let mut response = delivered.head;
        strip(&mut response);
        match delivered.body {
            Received::Whole(body) => response.set_body(body),
            Received::Streaming(body) => response.set_body(body),
        }
        response
    }

    async fn keyed(&self, task: &Task, key: &str) -> Result<Response, Problem> {
        let fingerprint = claims::fingerprint(task.method.as_ref(), &task.target, &task.body);
        let service = &task.service.service;
        match claims::claim(&self.node, service, key, fingerprint).await {
            Verdict::Run(held) => self.run_claimed(task, held).await,
            Verdict::Settled(decision) => self.repeat(decision).await,
            Verdict::Unavailable => {
                let detail = "keyed requests cannot be recorded now, so this one was not run";
                Err(Problem::new(Code::ClaimUnavailable, detail).retry_after(CLAIM_RETRY))
            }
        }
    }

    async fn run_claimed(&self, task: &Task, held: Held) -> Result<Response, Problem> {
        match dispatch::run(&self.node, &self.budgets, task).await {
            Ok(delivered) => {
                let kept = kept(&delivered);
                claims::settle(&self.node, held, Outcome::Run, kept);
                Ok(self.deliver(delivered))
            }
            Err(failed) => {
                claims::settle(&self.node, held, failed.outcome, None);
                Err(problem(failed))
            }
        }
    }

    async fn repeat(&self, decision: Decision) -> Result<Response, Problem> {
        match decision {
            Decision::Replay(answer) => self.replay(answer).await,
            Decision::StillRunning => {
                let detail = "the first request with this key is still running";
                Err(Problem::new(Code::StillRunning, detail).retry_after(CLAIM_RETRY))
            }
            Decision::KeyReused => {
                let detail = "this key was used for another request";
                Err(Problem::new(Code::KeyReused, detail))
            }
            // A claim that reads back as ours was answered as ours already.
            Decision::Unknown | Decision::Run => {
                let detail = "the first request with this key may have run";
                Err(Problem::new(Code::OutcomeUnknown, detail))
            }
        }
    }

    async fn replay(&self, answer: Answer) -> Result<Response, Problem> {
        let Some(body) = claims::kept_body(&self.node, &answer).await else {
            let detail = "the kept answer cannot be read now";
            return Err(Problem::new(Code::AnswerUnavailable, detail).retry_after(CLAIM_RETRY));
        };
        self.node.count(Counter::Replays);
        let status = StatusCode::try_from(answer.status).unwrap_or(StatusCode::Ok);
        let mut response = Response::new(status);
        response.set_body(body);
        for (name, value) in &answer.headers {
            response.insert_header(name.as_str(), value.as_str());
        }
        response.insert_header("celerythread-replayed", "true");
        Ok(response)
    }
}

/// A team's request, counted until it is dropped.
struct Entered<'a> {
    front: &'a Front,
    team: Option<id::Team>,
}

impl Drop for Entered<'_> {
    fn drop(&mut self) {
        if let Some(team) = &self.team {
            self.front.quota.lock().leave(team);
        }
    }
}

#[async_trait]
impl Handler for Front {
    async fn handle(&self, request: Request) -> Response {
        self.node.count(Counter::Requests);
        self.node.in_flight.fetch_add(1, Ordering::SeqCst);
        let answer = self.answer(request).await;
        self.node.in_flight.fetch_sub(1, Ordering::SeqCst);
        answer.unwrap_or_else(|problem| {
            self.node.metrics.refuse(problem.code);
            problem.response()
        })
    }

    fn refuse(&self, fault: &Fault) -> Response {
        let code = fault.request_code();
        self.node.metrics.refuse(code);
        Problem::new(code, fault.to_string()).response()
    }
}

fn problem(failed: Failed) -> Problem {
    let problem = Problem::new(failed.code, failed.detail).outcome(failed.outcome);
    match failed.retry_after {
        Some(wait) => problem.retry_after(wait),
        None => problem,
    }
}

/// What a repeat will be told.
fn kept(delivered: &Delivered) -> Option<(Answer, Vec<u8>)> {
    let Received::Whole(body) = &delivered.body else { return None };
    let mut headers = Vec::new();
    for (name, values) in &delivered.head {
        if !NOT_PASSED_ON.contains(&name.as_str()) {
            headers.push((name.as_str().to_owned(), values.last().as_str().to_owned()));
        }
    }
    let status = delivered.head.status().into();
    Some((Answer { status, headers, body: None, object: None }, body.clone()))
}

fn strip(response: &mut Response) {
    for name in NOT_PASSED_ON {
        response.remove_header(name);
    }
}

/// Checks a request against the configuration in force.
fn check(node: &Node, document: &Document, request: Request) -> Result<Checked, Problem> {
    let service = service(document, &request)?;
    let class = class(request.header("priority"))?;
    let deadline = deadline(&request, service)?;
    let key = key(request.header("idempotency-key"))?;
    let team = team(&request)?;
    if request.body.len() as u64 > service.body_limit.0 {
        let detail = format!("{} takes bodies up to {}", service.service, service.body_limit);
        return Err(Problem::new(Code::BodyTooLarge, detail));
    }
    let method = request.head.method();
    let idempotence = Idempotence::of_method(method.as_ref());
    // A key only matters where a second run would do harm.
    let key = key.filter(|_| idempotence == Idempotence::NonIdempotent);
    let url = request.head.url();
    let target = match url.query() {
        Some(query) => format!("{}?{query}", url.path()),
        None => url.path().to_owned(),
    };
    let task = Task {
        service: service.clone(),
        class,
        deadline: node.clock.now() + deadline.0,
        idempotence,
        keyed: key.is_some(),
        method,
        target,
        headers: passed_on(&request),
        body: request.body,
    };
    Ok(Checked { task, team, key })
}

fn service<'a>(document: &'a Document, request: &Request) -> Result<&'a Service, Problem> {
    let name = request.header("celerythread-service").unwrap_or_default();
    let id = name.parse::<id::Service>().ok();
    id.and_then(|id| document.services.get(&id)).ok_or_else(|| {
        let detail = format!("no service {name:?} is configured");
        Problem::new(Code::UnknownService, detail)
    })
}

/// The class by the urgency of RFC 9218's `Priority`.
fn class(header: Option<&str>) -> Result<Class, Problem> {
    let Some(header) = header else { return Ok(Class::Urgent) };
    let wrong = || Problem::new(Code::UnknownClass, format!("Priority {header:?} is not u=0 to 7"));
    for part in header.split(',').map(str::trim) {
        if let Some(urgency) = part.strip_prefix("u=") {
            let urgency: u8 = urgency.parse().map_err(|_| wrong())?;
            return match urgency {
                0..=LAST_URGENT => Ok(Class::Urgent),
                4..=7 => Ok(Class::Patient),
                _ => Err(wrong()),
            };
        }
        if part != "i" && !part.starts_with("i=") {
            return Err(wrong());
        }
    }
    Ok(Class::Urgent)
}

fn deadline(request: &Request, service: &Service) -> Result<Span, Problem> {
    let Some(text) = request.header("celerythread-deadline") else { return Ok(service.deadline) };
    let span: Option<Span> = text.parse().ok();
    let valid = span.filter(|span| *span > Span::default() && *span <= MAX_DEADLINE);
    valid.ok_or_else(|| {
        let detail = format!("{text:?} is not a time between 1ms and {MAX_DEADLINE}");
        Problem::new(Code::BadDeadline, detail)
    })
}

/// The key, with the quotes of a structured string taken off.
fn key(header: Option<&str>) -> Result<Option<String>, Problem> {
    let Some(header) = header else { return Ok(None) };
    let key = header.trim().trim_matches('"');
    let valid =
        !key.is_empty() && key.len() <= MAX_KEY && key.chars().all(|c| c.is_ascii_graphic());
    if !valid {
        let detail = format!("an idempotency key is 1 to {MAX_KEY} visible characters");
        return Err(Problem::new(Code::BadKey, detail));
    }
    Ok(Some(key.into()))
}

fn team(request: &Request) -> Result<Option<id::Team>, Problem> {
    let Some(name) = request.header("celerythread-team") else { return Ok(None) };
    let id =
        name.parse().map_err(|error: id::Error| Problem::new(Code::BadTeam, error.to_string()))?;
    Ok(Some(id))
}

fn passed_on(request: &Request) -> Vec<(String, String)> {
    let mut headers = Vec::new();
    for (name, values) in &request.head {
        if NOT_PASSED_ON.contains(&name.as_str()) {
            continue;
        }
        for value in values.iter() {
            headers.push((name.as_str().to_owned(), value.as_str().to_owned()));
        }
    }
    headers
}
