//! A load generator that records the result of each request.

use crate::history::{Asked, Told};
use async_std::task;
use celerythread_http::client::{self, Connection};
use celerythread_model::request::{Class, Outcome};
use celerythread_model::unit::Span;
use hdrhistogram::Histogram;
use http_types::{Method, Response};
use parking_lot::Mutex;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Largest accepted body of an answer.
const MAX_ANSWER_BYTES: u64 = 64 << 20;

/// Timeout of each step of an exchange; longer than any request's deadline.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);

/// The load to generate.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Addresses of the entries, used round-robin as by a load balancer.
    pub entries: Vec<SocketAddr>,
    /// Name of the service.
    pub service: String,
    /// Requests per second.
    pub rate: f64,
    /// Total number of requests.
    pub count: u64,
    /// Share of requests of the patient class, 0 to 1.
    pub patient_share: f64,
    /// Share of requests that must run at most once, 0 to 1.
    pub non_idempotent_share: f64,
    /// Share of the non-idempotent requests that carry an idempotency key, 0 to 1.
    pub keyed_share: f64,
    /// Deadline of each request.
    pub deadline: Span,
    /// Length of each body in bytes.
    pub body_len: usize,
    /// Seed of the random choices.
    pub seed: u64,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
            service: String::new(),
            rate: 100.0,
            count: 100,
            patient_share: 0.3,
            non_idempotent_share: 0.3,
            keyed_share: 0.5,
            deadline: Span::secs(5),
            body_len: 64,
            seed: 1,
        }
    }
}

/// A request to send.
#[derive(Clone, Debug)]
pub struct RequestSpec {
    /// The `X-Request-Id`.
    pub id: String,
    /// Name of the service.
    pub service: String,
    /// The class.
    pub class: Class,
    /// The idempotency key.
    pub key: Option<String>,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// The deadline.
    pub deadline: Span,
    /// The body.
    pub body: Vec<u8>,
}

/// The result of a request.
pub struct RequestResult {
    /// The record for the history check.
    pub asked: Asked,
    /// The request's class.
    pub class: Class,
    /// Time from the start of the exchange to the result.
    pub took: Duration,
    /// The delay before a retry that a refusal asked for, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

/// The fields of an `application/problem+json` body that are read.
#[derive(Deserialize)]
struct Problem {
    code: u16,
    outcome: Option<Outcome>,
    retry_after_ms: Option<u64>,
}

/// Sends one request on its own connection.
pub async fn send(entry: SocketAddr, spec: &RequestSpec) -> RequestResult {
    let began = Instant::now();
    let (told, retry_after_ms) = match exchange(entry, spec).await {
        Some((response, body)) => classify_answer(&response, body),
        None => (Told::Broken, None),
    };
    let effect = spec.key.clone().unwrap_or_else(|| spec.id.clone());
    let asked = Asked {
        id: spec.id.clone(),
        effect,
        idempotent: spec.idempotent,
        body: spec.body.clone(),
        told,
    };
    RequestResult { asked, class: spec.class, took: began.elapsed(), retry_after_ms }
}

async fn exchange(entry: SocketAddr, spec: &RequestSpec) -> Option<(Response, Vec<u8>)> {
    let method = if spec.idempotent { Method::Put } else { Method::Post };
    let mut request = client::request(method, entry, "/work").ok()?;
    request.insert_header("celerythread-service", spec.service.as_str());
    request.insert_header("x-request-id", spec.id.as_str());
    request.insert_header("celerythread-deadline", spec.deadline.to_string());
    let urgency = if spec.class == Class::Urgent { "u=1" } else { "u=5" };
    request.insert_header("priority", urgency);
    if let Some(key) = &spec.key {
        request.insert_header("idempotency-key", format!("\"{key}\""));
    }
    request.set_body(spec.body.clone());
    let mut connection = Connection::open(entry, ANSWER_TIMEOUT).await.ok()?;
    let answer = connection.send(request, ANSWER_TIMEOUT).await.ok()?;
    let body = connection.read_body(answer.length, ANSWER_TIMEOUT, MAX_ANSWER_BYTES).await.ok()?;
    Some((answer.head, body))
}

fn classify_answer(response: &Response, body: Vec<u8>) -> (Told, Option<u64>) {
    let is_problem = response
        .header("content-type")
        .is_some_and(|value| value.as_str() == "application/problem+json");
    match serde_json::from_slice::<Problem>(&body) {
        Ok(problem) if is_problem => {
            (Told::Refused(problem.code, problem.outcome), problem.retry_after_ms)
        }
        _ => (Told::Answer(response.status().into(), body), None),
    }
}

/// The results of a generated load.
pub struct Report {
    /// Results in the order of their completion.
    pub results: Vec<RequestResult>,
    /// Time until the last result.
    pub took: Duration,
}

/// Sends requests at a constant rate that doesn't depend on the results of earlier ones.
///
/// # Panics
/// When the plan has no entries.
pub async fn run(plan: &Plan) -> Report {
    let began = Instant::now();
    let done = Arc::new(Mutex::new(Vec::new()));
    let mut random = StdRng::seed_from_u64(plan.seed);
    let mut requests = Vec::new();
    for number in 0..plan.count {
        let due = Duration::from_secs_f64(number as f64 / plan.rate);
        let delay = due.saturating_sub(began.elapsed());
        if !delay.is_zero() {
            task::sleep(delay).await;
        }
        let spec = generate_request(plan, number, &mut random);
        let entry = plan.entries[number as usize % plan.entries.len()];
        let done = done.clone();
        requests.push(task::spawn(async move {
            let result = send(entry, &spec).await;
            done.lock().push(result);
        }));
    }
    for request in requests {
        request.await;
    }
    let results = std::mem::take(&mut *done.lock());
    Report { results, took: began.elapsed() }
}

fn generate_request(plan: &Plan, number: u64, random: &mut StdRng) -> RequestSpec {
    let patient = random.random_bool(plan.patient_share);
    let non_idempotent = random.random_bool(plan.non_idempotent_share);
    let keyed = non_idempotent && random.random_bool(plan.keyed_share);
    let id = format!("{:x}-{number}", plan.seed);
    RequestSpec {
        key: keyed.then(|| format!("key-{id}")),
        id,
        service: plan.service.clone(),
        class: if patient { Class::Patient } else { Class::Urgent },
        idempotent: !non_idempotent,
        deadline: plan.deadline,
        body: (0..plan.body_len).map(|_| random.random()).collect(),
    }
}

impl Report {
    /// The records for the history check.
    pub fn asked(&self) -> Vec<Asked> {
        self.results.iter().map(|result| result.asked.clone()).collect()
    }

    /// Number of requests of a class that were answered with status 200.
    pub fn answered(&self, class: Class) -> usize {
        let of_class = self.results.iter().filter(|result| result.class == class);
        of_class.filter(|result| matches!(result.asked.told, Told::Answer(200, _))).count()
    }

    /// Number of refusals by numeric code.
    pub fn refusals(&self) -> BTreeMap<u16, usize> {
        let mut refusals = BTreeMap::new();
        for result in &self.results {
            if let Told::Refused(code, _) = result.asked.told {
                *refusals.entry(code).or_default() += 1;
            }
        }
        refusals
    }

    /// A human-readable summary: counts, rates and latency quantiles.
    pub fn table(&self) -> String {
        let mut text = String::new();
        let seconds = self.took.as_secs_f64();
        let _ = writeln!(text, "{} requests in {seconds:.1} s", self.results.len());
        for class in [Class::Urgent, Class::Patient] {
            let mut times: Histogram<u64> =
                Histogram::new_with_bounds(1, 600_000_000, 3).expect("valid bounds");
            for result in self.results.iter().filter(|result| result.class == class) {
                if matches!(result.asked.told, Told::Answer(200, _)) {
                    let _ = times.record(result.took.as_micros() as u64);
                }
            }
            let at = |quantile| times.value_at_quantile(quantile) as f64 / 1000.0;
            let _ = writeln!(
                text,
                "{class:8} answered {:6}  {:8.1}/s  p50 {:.1} ms  p95 {:.1} ms  p99 {:.1} ms",
                times.len(),
                times.len() as f64 / seconds,
                at(0.5),
                at(0.95),
                at(0.99)
            );
        }
        for (code, count) in self.refusals() {
            let _ = writeln!(text, "refused  {code}: {count}");
        }
        let broken = self.results.iter().filter(|d| matches!(d.asked.told, Told::Broken)).count();
        let _ = writeln!(text, "broken   {broken}");
        text
    }
}
