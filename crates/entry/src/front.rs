//! The callers' HTTP interface: checks requests, and answers them or refuses them.
//!
//! | header | meaning |
//! |---|---|
//! | `Celerythread-Service` | the service, required |
//! | `Priority` (RFC 9218) | `u=0` to `u=3` is urgent, `u=4` to `u=7` patient; default urgent |
//! | `Celerythread-Deadline` | a duration such as `5s`; default is the service's |
//! | `Celerythread-Team` | the team whose quota the request counts against |
//! | `Idempotency-Key` | a repeat with the same key gets the first run's answer |

use crate::claims::{self, ClaimResult, OwnedClaim};
use crate::dispatch::{self, AnswerBody, Budgets, DispatchError, MinionAnswer, PreparedRequest};
use crate::metrics::Counter;
use crate::node::Node;
use crate::problem::Problem;
use async_trait::async_trait;
use celerythread_http::memory::Reservation;
use celerythread_http::server::{Handler, Request};
use celerythread_http::{Fault, Limit};
use celerythread_model::code::Code;
use celerythread_model::config::{Document, MAX_DEADLINE, Service};
use celerythread_model::id;
use celerythread_model::request::{Class, Idempotence, Outcome};
use celerythread_model::unit::Span;
use celerythread_policy::claim::{Answer, Decision};
use celerythread_policy::quota::Quota;
use http_types::{Response, StatusCode};
use parking_lot::Mutex;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Retry-After while claims cannot be recorded or the first request is still running.
const CLAIM_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Retry-After while this instance stops; the retry reaches another one.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Retry-After of a request that was refused because too many are being received.
const OVERLOADED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Shortest time between two log lines about limits that clients reach.
const LIMIT_LINE_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum length of an idempotency key.
const MAX_KEY_BYTES: usize = 128;

/// Least urgent value of `Priority`'s `u` that still counts as urgent.
const MAX_URGENT_PRIORITY: u8 = 3;

/// Headers that aren't forwarded: those of one connection, and this interface's own.
const NOT_FORWARDED: [&str; 14] = [
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
pub(crate) struct CallerHandler {
    node: Arc<Node>,
    budgets: Budgets,
    quota: Mutex<Quota>,
    /// When it was last logged that a client has reached a limit.
    last_limit_line: Mutex<Option<Instant>>,
}

/// A checked request.
struct CheckedRequest {
    prepared: PreparedRequest,
    team: Option<id::Team>,
    key: Option<String>,
    /// Memory that is reserved for the request's head and body.
    _memory: [Reservation; 2],
}

impl CallerHandler {
    pub(crate) fn new(node: Arc<Node>) -> Self {
        Self {
            node,
            budgets: Mutex::default(),
            quota: Mutex::default(),
            last_limit_line: Mutex::default(),
        }
    }

    async fn answer(&self, request: Request) -> Result<Response, Problem> {
        if self.node.is_stopping() {
            let problem = Problem::new(Code::Stopping, "this instance is stopping");
            return Err(problem.retry_after(STOPPING_RETRY_AFTER));
        }
        let document = self.node.view.read().document().clone();
        let checked = check_request(&self.node, &document, request)?;
        let _quota = self.acquire_quota(&checked, &document)?;
        match &checked.key {
            Some(key) => self.answer_keyed(&checked.prepared, key).await,
            None => {
                let run = dispatch::run(&self.node, &self.budgets, &checked.prepared).await;
                run.map(|minion_answer| self.deliver(minion_answer)).map_err(problem)
            }
        }
    }

    /// Counts a request against its team's quota.
    fn acquire_quota(
        &self,
        checked: &CheckedRequest,
        document: &Document,
    ) -> Result<QuotaGuard<'_>, Problem> {
        let Some(team) = &checked.team else { return Ok(QuotaGuard { handler: self, team: None }) };
        if !self.quota.lock().try_acquire(team, document) {
            let detail = format!("team {team} has its quota of requests in flight");
            let problem = Problem::new(Code::QuotaExceeded, detail);
            return Err(problem.retry_after(Duration::from_secs(1)));
        }
        Ok(QuotaGuard { handler: self, team: Some(team.clone()) })
    }

    fn deliver(&self, minion_answer: MinionAnswer) -> Response {
        self.node.count(Counter::Answers);
        let mut response = minion_answer.head;
        remove_unforwarded_headers(&mut response);
        match minion_answer.body {
            AnswerBody::Whole(body) => response.set_body(body),
            AnswerBody::Streaming(body) => response.set_body(body),
        }
        response
    }

    async fn answer_keyed(
        &self,
        prepared: &PreparedRequest,
        key: &str,
    ) -> Result<Response, Problem> {
        let fingerprint =
            claims::fingerprint(prepared.method.as_ref(), &prepared.target, prepared.body.as_ref());
        let service = &prepared.service.service;
        match claims::claim(&self.node, service, key, fingerprint).await {
            ClaimResult::Run(owned) => self.run_claimed(prepared, owned).await,
            ClaimResult::Exists(decision) => self.answer_repeat(decision).await,
            ClaimResult::Unavailable => {
                let detail = "keyed requests cannot be recorded now, so this one was not run";
                Err(Problem::new(Code::ClaimUnavailable, detail).retry_after(CLAIM_RETRY_AFTER))
            }
        }
    }

    async fn run_claimed(
        &self,
        prepared: &PreparedRequest,
        owned: OwnedClaim,
    ) -> Result<Response, Problem> {
        match dispatch::run(&self.node, &self.budgets, prepared).await {
            Ok(minion_answer) => {
                let storable = storable_answer(&minion_answer);
                claims::settle(&self.node, owned, Outcome::Run, storable);
                Ok(self.deliver(minion_answer))
            }
            Err(failed) => {
                claims::settle(&self.node, owned, failed.outcome, None);
                Err(problem(failed))
            }
        }
    }

    async fn answer_repeat(&self, decision: Decision) -> Result<Response, Problem> {
        match decision {
            Decision::Replay(answer) => self.replay(answer).await,
            Decision::StillRunning => {
                let detail = "the first request with this key is still running";
                Err(Problem::new(Code::StillRunning, detail).retry_after(CLAIM_RETRY_AFTER))
            }
            Decision::KeyReused => {
                let detail = "this key was used for another request";
                Err(Problem::new(Code::KeyReused, detail))
            }
            // `Run` isn't expected: a request's own claim is recognized when it is read back.
            Decision::Unknown | Decision::Run => {
                let detail = "the first request with this key may have run";
                Err(Problem::new(Code::OutcomeUnknown, detail))
            }
        }
    }

    async fn replay(&self, answer: Answer) -> Result<Response, Problem> {
        let Some(body) = claims::stored_body(&self.node, &answer).await else {
            let detail = "the kept answer cannot be read now";
            return Err(
                Problem::new(Code::AnswerUnavailable, detail).retry_after(CLAIM_RETRY_AFTER)
            );
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

/// A request's place in its team's quota, released on drop.
struct QuotaGuard<'a> {
    handler: &'a CallerHandler,
    team: Option<id::Team>,
}

impl Drop for QuotaGuard<'_> {
    fn drop(&mut self) {
        if let Some(team) = &self.team {
            self.handler.quota.lock().release(team);
        }
    }
}

#[async_trait]
impl Handler for CallerHandler {
    async fn handle(&self, request: Request) -> Response {
        self.node.count(Counter::Requests);
        self.node.in_flight.fetch_add(1, Ordering::SeqCst);
        let answer = self.answer(request).await;
        self.node.in_flight.fetch_sub(1, Ordering::SeqCst);
        answer.unwrap_or_else(|problem| {
            self.node.metrics.count_refusal(problem.code);
            problem.response()
        })
    }

    fn error_response(&self, fault: &Fault) -> Response {
        let code = fault.request_code();
        self.node.metrics.count_refusal(code);
        let problem = Problem::new(code, fault.to_string());
        match fault {
            Fault::Overloaded { .. } => problem.retry_after(OVERLOADED_RETRY_AFTER).response(),
            _ => problem.response(),
        }
    }

    fn limit_reached(&self, limit: Limit, client: Option<SocketAddr>) {
        let mut last_line = self.last_limit_line.lock();
        if last_line.is_none_or(|at| at.elapsed() >= LIMIT_LINE_INTERVAL) {
            *last_line = Some(Instant::now());
            log::warn!(limit:% = limit, client:? = client; "limit_reached");
        }
    }
}

fn problem(failed: DispatchError) -> Problem {
    let problem = Problem::new(failed.code, failed.detail).outcome(failed.outcome);
    match failed.retry_after {
        Some(wait) => problem.retry_after(wait),
        None => problem,
    }
}

/// The answer to store for repeats; none for a streamed one.
fn storable_answer(minion_answer: &MinionAnswer) -> Option<(Answer, Vec<u8>)> {
    let AnswerBody::Whole(body) = &minion_answer.body else { return None };
    let mut headers = Vec::new();
    for (name, values) in &minion_answer.head {
        if !NOT_FORWARDED.contains(&name.as_str()) {
            headers.push((name.as_str().to_owned(), values.last().as_str().to_owned()));
        }
    }
    let status = minion_answer.head.status().into();
    Some((Answer { status, headers, body: None, object: None }, body.clone()))
}

fn remove_unforwarded_headers(response: &mut Response) {
    for name in NOT_FORWARDED {
        response.remove_header(name);
    }
}

/// Checks a request against the configuration in force and prepares it for dispatch.
fn check_request(
    node: &Node,
    document: &Document,
    request: Request,
) -> Result<CheckedRequest, Problem> {
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
    // A second run of an idempotent request does no harm, so its key is ignored.
    let key = key.filter(|_| idempotence == Idempotence::NonIdempotent);
    let url = request.head.url();
    let target = match url.query() {
        Some(query) => format!("{}?{query}", url.path()),
        None => url.path().to_owned(),
    };
    let prepared = PreparedRequest {
        service: service.clone(),
        class,
        deadline: node.clock.now() + deadline.0,
        idempotence,
        keyed: key.is_some(),
        method,
        target,
        headers: forwarded_headers(&request),
        body: request.body.into(),
    };
    let memory = [request.head_memory, request.body_memory];
    Ok(CheckedRequest { prepared, team, key, _memory: memory })
}

fn service<'a>(document: &'a Document, request: &Request) -> Result<&'a Service, Problem> {
    let name = request.header("celerythread-service").unwrap_or_default();
    let id = name.parse::<id::Service>().ok();
    id.and_then(|id| document.services.get(&id)).ok_or_else(|| {
        let detail = format!("no service {name:?} is configured");
        Problem::new(Code::UnknownService, detail)
    })
}

/// The class that follows from the urgency in RFC 9218's `Priority`.
fn class(header: Option<&str>) -> Result<Class, Problem> {
    let Some(header) = header else { return Ok(Class::Urgent) };
    let wrong = || Problem::new(Code::UnknownClass, format!("Priority {header:?} is not u=0 to 7"));
    for part in header.split(',').map(str::trim) {
        if let Some(urgency) = part.strip_prefix("u=") {
            let urgency: u8 = urgency.parse().map_err(|_| wrong())?;
            return match urgency {
                0..=MAX_URGENT_PRIORITY => Ok(Class::Urgent),
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

/// The key without the quotes of an RFC 8941 string.
fn key(header: Option<&str>) -> Result<Option<String>, Problem> {
    let Some(header) = header else { return Ok(None) };
    let key = header.trim().trim_matches('"');
    let valid =
        !key.is_empty() && key.len() <= MAX_KEY_BYTES && key.chars().all(|c| c.is_ascii_graphic());
    if !valid {
        let detail = format!("an idempotency key is 1 to {MAX_KEY_BYTES} visible characters");
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

fn forwarded_headers(request: &Request) -> Vec<(String, String)> {
    let mut headers = Vec::new();
    for (name, values) in &request.head {
        if NOT_FORWARDED.contains(&name.as_str()) {
            continue;
        }
        for value in values.iter() {
            headers.push((name.as_str().to_owned(), value.as_str().to_owned()));
        }
    }
    headers
}
