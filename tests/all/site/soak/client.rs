//! Clients that submit jobs through any entry and cancel many of them.

use super::super::id;
use async_std::future::timeout;
use async_std::task;
use celerythread_http::client::{self, Connection};
use http_types::Method;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Longest wait of a client for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

/// Attempts of a client for one request.
const MAX_ATTEMPTS: usize = 6;

/// Pause between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Names and addresses of the entries whose processes exist.
pub(super) type Entries = Arc<Mutex<Vec<(String, SocketAddr)>>>;

/// Jobs by id.
pub(super) type Jobs = Arc<Mutex<BTreeMap<String, Job>>>;

/// A request and its answer.
#[derive(Clone, Debug)]
pub(super) struct Call {
    /// Name of the entry.
    pub(super) entry: String,
    pub(super) sent: Instant,
    /// Status and time of the answer.
    pub(super) answer: Option<(u16, Instant)>,
}

/// What its client asked for a job.
#[derive(Clone, Debug, Default)]
pub(super) struct Job {
    pub(super) submissions: Vec<Call>,
    pub(super) cancellations: Vec<Call>,
}

impl Job {
    /// The first answer that acknowledges the cancellation.
    pub(super) fn acknowledgement(&self) -> Option<(&Call, u16, Instant)> {
        let answered = self.cancellations.iter().filter_map(|call| {
            let (status, at) = call.answer?;
            matches!(status, 200 | 410).then_some((call, status, at))
        });
        answered.min_by_key(|(_, _, at)| *at)
    }

    /// Status of the submission; 0 without an answer.
    pub(super) fn submission_status(&self) -> u16 {
        let statuses = self.submissions.iter().filter_map(|call| Some(call.answer?.0));
        statuses.min().unwrap_or(0)
    }
}

/// A client that keeps its connections open until they fail.
pub(super) struct Client {
    pub(super) number: u32,
    pub(super) entries: Entries,
    pub(super) jobs: Jobs,
    /// Whether it cancels jobs whose submission isn't answered yet.
    pub(super) cancels_unanswered: bool,
    pub(super) connections: BTreeMap<SocketAddr, Connection>,
}

impl Client {
    /// Submits jobs and cancels some of them until a time.
    pub(super) async fn run(mut self, seed: u64, until: Instant) {
        let mut rng = StdRng::seed_from_u64(seed ^ u64::from(self.number) << 32);
        for count in 0.. {
            if Instant::now() >= until {
                return;
            }
            let job = id(self.number * 100_000 + count);
            let body = draw_body(&mut rng);
            if self.cancels_unanswered && rng.random_bool(0.6) {
                self.cancel_unanswered(&mut rng, &job, body).await;
            } else {
                self.submit(&mut rng, &job, &body).await;
                if rng.random_bool(0.65) {
                    task::sleep(draw_cancel_delay(&mut rng)).await;
                    self.cancel(&mut rng, &job, None).await;
                }
            }
            task::sleep(Duration::from_millis(rng.random_range(50..500))).await;
        }
    }

    async fn submit(&mut self, rng: &mut StdRng, job: &str, body: &Value) {
        for _ in 0..MAX_ATTEMPTS {
            let Some(entry) = self.draw_entry(rng, None) else { return };
            let sent = Instant::now();
            let status = self.send(entry.1, Method::Post, job, Some(body)).await;
            record(&self.jobs, job, Method::Post, &entry.0, sent, status);
            if status == Some(200) {
                return;
            }
            task::sleep(RETRY_DELAY).await;
        }
    }

    /// Gives up on a submission after a random time and cancels the job through another entry.  The
    /// connection of the submission is closed or stays open.
    async fn cancel_unanswered(&mut self, rng: &mut StdRng, job: &str, body: Value) {
        let Some((name, address)) = self.draw_entry(rng, None) else { return };
        let (jobs, id, entry) = (self.jobs.clone(), job.to_owned(), name.clone());
        let mut submission = Box::pin(async move {
            let sent = Instant::now();
            let request = request(address, Method::Post, &id, Some(&body));
            let answer = client::fetch(address, request, ANSWER_TIMEOUT, 1 << 20).await;
            let status = answer.ok().map(|(head, _)| head.status().into());
            record(&jobs, &id, Method::Post, &entry, sent, status);
        });
        let patience = [0, 1, 3, 8, 20, 80, 400][rng.random_range(0..7)];
        let answered = timeout(Duration::from_millis(patience), &mut submission).await.is_ok();
        if !answered && rng.random_bool(0.6) {
            task::spawn(submission);
        } else {
            drop(submission);
        }
        self.cancel(rng, job, Some(&name)).await;
    }

    async fn cancel(&mut self, rng: &mut StdRng, job: &str, avoided: Option<&str>) {
        for _ in 0..MAX_ATTEMPTS {
            let Some(entry) = self.draw_entry(rng, avoided) else { return };
            let sent = Instant::now();
            let status = self.send(entry.1, Method::Delete, job, None).await;
            record(&self.jobs, job, Method::Delete, &entry.0, sent, status);
            if matches!(status, Some(200 | 410)) {
                return;
            }
            task::sleep(RETRY_DELAY).await;
        }
    }

    fn draw_entry(&self, rng: &mut StdRng, avoided: Option<&str>) -> Option<(String, SocketAddr)> {
        let entries = self.entries.lock().unwrap();
        let allowed = entries.iter().filter(|(name, _)| Some(name.as_str()) != avoided);
        let allowed: Vec<_> = allowed.collect();
        (!allowed.is_empty()).then(|| allowed[rng.random_range(0..allowed.len())].clone())
    }

    async fn send(
        &mut self,
        address: SocketAddr,
        method: Method,
        job: &str,
        body: Option<&Value>,
    ) -> Option<u16> {
        let mut connection = match self.connections.remove(&address) {
            Some(connection) => connection,
            None => Connection::open(address, ANSWER_TIMEOUT).await.ok()?,
        };
        let request = request(address, method, job, body);
        let response = connection.send(request, ANSWER_TIMEOUT).await.ok()?;
        connection.read_body(response.length, ANSWER_TIMEOUT, 1 << 20).await.ok()?;
        if response.keep_alive {
            self.connections.insert(address, connection);
        }
        Some(response.head.status().into())
    }
}

fn request(
    address: SocketAddr,
    method: Method,
    job: &str,
    body: Option<&Value>,
) -> http_types::Request {
    let mut request = client::request(method, address, &format!("/q/{job}")).unwrap();
    request.insert_header("host", "jobs.example");
    body.into_iter().for_each(|body| request.set_body(body.to_string()));
    request
}

fn record(jobs: &Jobs, job: &str, method: Method, entry: &str, sent: Instant, status: Option<u16>) {
    let answer = status.map(|status| (status, Instant::now()));
    let call = Call { entry: entry.into(), sent, answer };
    let mut jobs = jobs.lock().unwrap();
    let job = jobs.entry(job.into()).or_default();
    if method == Method::Delete { &mut job.cancellations } else { &mut job.submissions }.push(call);
}

/// A job of one to three steps, one after the other.
fn draw_body(rng: &mut StdRng) -> Value {
    let is_long = rng.random_bool(0.2);
    let ms = if is_long { rng.random_range(1500..5000) } else { rng.random_range(100..700) };
    let cpu = [100, 250, 500, 4000][rng.random_range(0..4)];
    let steps: Vec<Value> = (0..rng.random_range(1..=3))
        .map(|step: u32| {
            let is_wide = rng.random_bool(0.3);
            let count = if is_wide { rng.random_range(16..60) } else { rng.random_range(1..=6) };
            let after: Vec<u32> = step.checked_sub(1).into_iter().collect();
            json!({ "count": count, "cpu": cpu, "memMb": 64, "estimateMs": ms, "after": after })
        })
        .collect();
    json!({ "spec": format!("ms={ms}"), "steps": steps })
}

/// Time from the answer to a submission to the cancellation of its job.
fn draw_cancel_delay(rng: &mut StdRng) -> Duration {
    let ms = match rng.random_range(0..10) {
        0..4 => 0,
        4..8 => rng.random_range(50..900),
        _ => rng.random_range(900..2500),
    };
    Duration::from_millis(ms)
}
