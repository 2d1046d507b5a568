//! Making requests, and recording what became of them.

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

/// Largest answer taken.
const ANSWER_LIMIT: u64 = 64 << 20;

/// Longest wait for an answer, beyond any deadline.
const WAIT: Duration = Duration::from_secs(60);

/// What is asked.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Entries, taken in turn as a balancer would.
    pub entries: Vec<SocketAddr>,
    /// The service.
    pub service: String,
    /// Requests a second.
    pub rate: f64,
    /// How many in all.
    pub count: u64,
    /// Share of patient ones.
    pub patient: f64,
    /// Share that must run at most once.
    pub once: f64,
    /// Share of those that carry a key.
    pub keyed: f64,
    /// The deadline given.
    pub deadline: Span,
    /// Bytes of each body.
    pub body: usize,
    /// The seed of all choices.
    pub seed: u64,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
            service: String::new(),
            rate: 100.0,
            count: 100,
            patient: 0.3,
            once: 0.3,
            keyed: 0.5,
            deadline: Span::secs(5),
            body: 64,
            seed: 1,
        }
    }
}

/// One request.
#[derive(Clone, Debug)]
pub struct Single {
    /// Its `X-Request-Id`.
    pub id: String,
    /// Its service.
    pub service: String,
    /// Its class.
    pub class: Class,
    /// Its key.
    pub key: Option<String>,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Its deadline.
    pub deadline: Span,
    /// Its body.
    pub body: Vec<u8>,
}

/// What became of it.
pub struct Done {
    /// For the history.
    pub asked: Asked,
    /// Its class.
    pub class: Class,
    /// How long it took.
    pub took: Duration,
    /// The `Retry-After` it was told, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

/// The part of a problem body that is read.
#[derive(Deserialize)]
struct Problem {
    code: u16,
    outcome: Option<Outcome>,
    retry_after_ms: Option<u64>,
}

/// Sends one request on a connection of its own.
pub async fn send(entry: SocketAddr, single: &Single) -> Done {
    let began = Instant::now();
    let (told, retry_after_ms) = match exchange(entry, single).await {
        Some((response, body)) => tell(&response, body),
        None => (Told::Broken, None),
    };
    let effect = single.key.clone().unwrap_or_else(|| single.id.clone());
    let asked = Asked {
        id: single.id.clone(),
        effect,
        idempotent: single.idempotent,
        body: single.body.clone(),
        told,
    };
    Done { asked, class: single.class, took: began.elapsed(), retry_after_ms }
}

async fn exchange(entry: SocketAddr, single: &Single) -> Option<(Response, Vec<u8>)> {
    let method = if single.idempotent { Method::Put } else { Method::Post };
    let mut request = client::request(method, entry, "/work").ok()?;
    request.insert_header("celerythread-service", single.service.as_str());
    request.insert_header("x-request-id", single.id.as_str());
    request.insert_header("celerythread-deadline", single.deadline.to_string());
    let urgency = if single.class == Class::Urgent { "u=1" } else { "u=5" };
    request.insert_header("priority", urgency);
    if let Some(key) = &single.key {
        request.insert_header("idempotency-key", format!("\"{key}\""));
    }
    request.set_body(single.body.clone());
    let mut connection = Connection::open(entry, WAIT).await.ok()?;
    let answer = connection.send(request, WAIT).await.ok()?;
    let body = connection.read_body(answer.length, WAIT, ANSWER_LIMIT).await.ok()?;
    Some((answer.head, body))
}

fn tell(response: &Response, body: Vec<u8>) -> (Told, Option<u64>) {
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

/// What a run of requests showed.
pub struct Report {
    /// Every request.
    pub done: Vec<Done>,
    /// How long it all took.
    pub took: Duration,
}

/// Sends requests at a steady rate, whatever becomes of the earlier ones.
pub async fn run(plan: &Plan) -> Report {
    let began = Instant::now();
    let done = Arc::new(Mutex::new(Vec::new()));
    let mut random = StdRng::seed_from_u64(plan.seed);
    let mut sent = Vec::new();
    for number in 0..plan.count {
        let due = Duration::from_secs_f64(number as f64 / plan.rate);
        let early = due.saturating_sub(began.elapsed());
        if !early.is_zero() {
            task::sleep(early).await;
        }
        let single = choose(plan, number, &mut random);
        let entry = plan.entries[number as usize % plan.entries.len()];
        let done = done.clone();
        sent.push(task::spawn(async move {
            let one = send(entry, &single).await;
            done.lock().push(one);
        }));
    }
    for one in sent {
        one.await;
    }
    let done = std::mem::take(&mut *done.lock());
    Report { done, took: began.elapsed() }
}

fn choose(plan: &Plan, number: u64, random: &mut StdRng) -> Single {
    let patient = random.random_bool(plan.patient);
    let once = random.random_bool(plan.once);
    let keyed = once && random.random_bool(plan.keyed);
    let id = format!("{:x}-{number}", plan.seed);
    Single {
        key: keyed.then(|| format!("key-{id}")),
        id,
        service: plan.service.clone(),
        class: if patient { Class::Patient } else { Class::Urgent },
        idempotent: !once,
        deadline: plan.deadline,
        body: (0..plan.body).map(|_| random.random()).collect(),
    }
}

impl Report {
    /// For the history check.
    pub fn asked(&self) -> Vec<Asked> {
        self.done.iter().map(|done| done.asked.clone()).collect()
    }

    /// Requests of a class that were answered.
    pub fn answered(&self, class: Class) -> usize {
        let of_class = self.done.iter().filter(|done| done.class == class);
        of_class.filter(|done| matches!(done.asked.told, Told::Answer(200, _))).count()
    }

    /// Refusals by code number.
    pub fn refusals(&self) -> BTreeMap<u16, usize> {
        let mut refusals = BTreeMap::new();
        for done in &self.done {
            if let Told::Refused(code, _) = done.asked.told {
                *refusals.entry(code).or_default() += 1;
            }
        }
        refusals
    }

    /// A table for people.
    pub fn table(&self) -> String {
        let mut text = String::new();
        let seconds = self.took.as_secs_f64();
        let _ = writeln!(text, "{} requests in {seconds:.1} s", self.done.len());
        for class in [Class::Urgent, Class::Patient] {
            let mut times: Histogram<u64> =
                Histogram::new_with_bounds(1, 600_000_000, 3).expect("valid bounds");
            for done in self.done.iter().filter(|done| done.class == class) {
                if matches!(done.asked.told, Told::Answer(200, _)) {
                    let _ = times.record(done.took.as_micros() as u64);
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
        let broken = self.done.iter().filter(|d| matches!(d.asked.told, Told::Broken)).count();
        let _ = writeln!(text, "broken   {broken}");
        text
    }
}
