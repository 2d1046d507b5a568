//! A minion that runs tasks under leases and records its runs.

use crate::site::spec;
use crate::site::store::{answer, hang};
use async_std::task;
use async_trait::async_trait;
use celerythread_http::Fault;
use celerythread_http::server::{Handler, Request};
use http_types::Response;
use parking_lot::Mutex;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Time between two checks for ended runs while a hold call waits.
const HOLD_POLL_INTERVAL: Duration = Duration::from_millis(3);

/// What a worker's clock shows at its start.
const CLOCK_START_MS: u64 = 1000;

/// Time from the start of a crashing task to the crash of its worker.
const CRASH_DELAY: Duration = Duration::from_millis(10);

/// Time for which a crashed worker doesn't answer; after it the address belongs to another
/// incarnation, which answers orders for the crashed one with 421.
const DOWNTIME: Duration = Duration::from_millis(600);

/// How a worker handles orders.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum FaultMode {
    /// It executes and answers them.
    #[default]
    None,
    /// It neither executes nor answers them, as in a network partition.
    Silent,
    /// The same for orders with this fencing token, as if it were disconnected from their owner.
    DeafTo(u64),
    /// It is stopped: its runs make no progress, and it executes what it received once it goes on.
    Frozen,
    /// It neither executes nor answers starts.
    IgnoresStarts,
    /// It executes starts without answering them.
    LosesAnswers,
    /// It executes starts after this delay without answering them.
    Late(Duration),
    /// It executes starts and answers them after this delay.
    Slow(Duration),
}

/// A run of a task on a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// Id of the worker.
    pub worker: String,
    /// Name of the task.
    pub task: String,
    /// Number of the run.
    pub run: u64,
    /// Fencing token of the order that started it.
    pub token: u64,
    /// Arrival of that order.
    pub ordered: Instant,
    /// Start of the run.
    pub began: Instant,
    /// Arrival of the first order to stop it.
    pub stop_ordered: Option<Instant>,
    /// End of the run; `None` while it runs.
    pub ended: Option<Instant>,
    /// How it ended: `done`, `failed`, `stopped`, `lapsed` (the lease expired), `gone` (the worker
    /// crashed) or `left` (the worker was taken away).
    pub end_reason: Option<&'static str>,
    /// Whether the worker crashed before the end was acknowledged, so that nobody may know of it.
    pub is_end_lost: bool,
}

impl Record {
    /// Whether the run is done, and that can't be lost any more.
    pub fn is_done(&self) -> bool {
        self.end_reason == Some("done") && !self.is_end_lost
    }
}

/// A call to a worker, whether or not it was handled.
#[derive(Clone, Debug, PartialEq)]
pub struct ReceivedCall {
    /// Its path.
    pub path: String,
    /// Its fencing token.
    pub token: u64,
    /// When it was received.
    pub at: Instant,
}

struct Active {
    record: usize,
    run: u64,
    spec: String,
    began: Instant,
}

#[derive(Default)]
struct State {
    highest_token: u64,
    deadline: u64,
    active: BTreeMap<String, Active>,
    unacknowledged_ends: Vec<(u64, String, u64, &'static str)>,
    last_end_number: u64,
    /// Highest number of a run that was stopped or ended here, by task.
    closed_runs: BTreeMap<String, u64>,
    records: Vec<Record>,
    calls: Vec<ReceivedCall>,
    fault_mode: FaultMode,
    /// Time at which the worker crashes or has crashed.
    down_at: Option<Instant>,
}

/// A worker.
pub struct Worker {
    id: String,
    started: Instant,
    /// Start time in milliseconds since the Unix epoch, reported as its incarnation.
    started_unix_ms: u64,
    state: Mutex<State>,
}

impl Worker {
    /// Creates a worker without runs.
    pub fn new(id: &str) -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let started_unix_ms = since_epoch.as_millis() as u64;
        Self { id: id.into(), started: Instant::now(), started_unix_ms, state: Mutex::default() }
    }

    /// The worker's id.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Sets how it handles orders.
    pub fn set_fault_mode(&self, fault_mode: FaultMode) {
        let mut state = self.state.lock();
        let was_frozen = std::mem::replace(&mut state.fault_mode, fault_mode) == FaultMode::Frozen;
        if was_frozen && self.has_lease_expired(&state) {
            end_all(&mut state, "lapsed");
        }
    }

    /// How it handles orders.
    pub fn fault_mode(&self) -> FaultMode {
        self.state.lock().fault_mode
    }

    /// All its runs, in order of their start.
    pub fn records(&self) -> Vec<Record> {
        let mut state = self.state.lock();
        self.advance(&mut state);
        state.records.clone()
    }

    /// All calls that it has received, in their order.
    pub fn calls(&self) -> Vec<ReceivedCall> {
        self.state.lock().calls.clone()
    }

    /// The runs that haven't ended.
    pub fn active_runs(&self) -> Vec<Record> {
        let mut state = self.state.lock();
        self.advance(&mut state);
        state.active.values().map(|active| state.records[active.record].clone()).collect()
    }

    /// Names of the running tasks.
    pub fn running(&self) -> Vec<String> {
        let mut state = self.state.lock();
        self.advance(&mut state);
        state.active.keys().cloned().collect()
    }

    /// Starts the first run of a task with a lease of a minute, without a call.
    pub fn start_run(&self, task: &str, spec: &str) {
        const LEASE_MS: u64 = 60_000;
        let deadline = self.clock_ms() + LEASE_MS;
        self.start(
            &json!({
                "task": task, "run": 1, "spec": spec, "deadlineMs": deadline, "fencingToken": 1,
            }),
            Instant::now(),
        );
    }

    /// Ends all runs, as a crash does.
    pub fn crash(&self) {
        self.terminate("gone");
    }

    /// Ends all runs, as the end of a worker that is taken away does.
    pub fn leave(&self) {
        self.terminate("left");
    }

    fn terminate(&self, end_reason: &'static str) {
        let mut state = self.state.lock();
        self.advance(&mut state);
        state.down_at.get_or_insert_with(Instant::now);
        end_all(&mut state, end_reason);
        lose_ends(&mut state);
    }

    /// Time since a task made the worker crash, which ends all its runs; `None` while it is up.
    fn down_for(&self) -> Option<Duration> {
        let mut state = self.state.lock();
        let down = Instant::now().checked_duration_since(state.down_at?)?;
        self.advance(&mut state);
        Some(down)
    }

    /// The value of its row in the store.
    pub fn entry(&self, service: &str, address: SocketAddr, state: &str) -> Vec<u8> {
        json!({
            "service": service, "address": address.to_string(), "zone": "zone", "version": "v1",
            "slots": 8, "state": state, "coldLeftMs": 0, "clockMs": self.clock_ms(), "seq": 1,
            "born": self.started_unix_ms,
            "capacity": { "cpu": 16000, "memMb": 32768, "gpu": 0 }, "labels": ["a", "rack-1"],
        })
        .to_string()
        .into_bytes()
    }

    /// Records a call, and returns how it is to be handled.
    fn record_call(&self, path: &str, body: &Value) -> FaultMode {
        let mut state = self.state.lock();
        let token = body["fencingToken"].as_u64().unwrap_or(0);
        state.calls.push(ReceivedCall { path: path.into(), token, at: Instant::now() });
        state.fault_mode
    }

    fn clock_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64 + CLOCK_START_MS
    }

    /// Ends the runs whose duration is over or whose lease has expired, and all runs if a task has
    /// made the worker crash.
    fn advance(&self, state: &mut State) {
        if state.fault_mode == FaultMode::Frozen {
            return;
        }
        let lease_expired = self.has_lease_expired(state);
        let down_at = state.down_at.filter(|at| *at <= Instant::now());
        // What would have ended after the crash or the end of the lease doesn't end, whenever this
        // is called.
        let until = down_at.unwrap_or_else(Instant::now).min(self.lease_end(state));
        let ended: Vec<(String, &'static str)> = state
            .active
            .iter()
            .filter_map(|(task, active)| {
                let ends_at = active.began + spec::duration(&active.spec);
                let spent = ends_at <= until;
                let fails = spec::fails(&active.spec, task, active.run);
                let end_reason = if fails { "failed" } else { "done" };
                let ends = spent && !active.spec.contains("hang") && !active.spec.contains("lasts");
                let stop_ordered = state.records[active.record].stop_ordered;
                if stop_ordered.is_some_and(|at| at.elapsed() >= spec::stop_duration(&active.spec))
                {
                    Some((task.clone(), "stopped"))
                } else if ends {
                    Some((task.clone(), end_reason))
                } else {
                    lease_expired.then(|| (task.clone(), "lapsed"))
                }
            })
            .collect();
        for (task, end_reason) in ended {
            end(state, &task, end_reason);
        }
        if down_at.is_some() {
            end_all(state, "gone");
            lose_ends(state);
        }
    }

    fn lease_end(&self, state: &State) -> Instant {
        self.started + Duration::from_millis(state.deadline.saturating_sub(CLOCK_START_MS))
    }

    fn has_lease_expired(&self, state: &State) -> bool {
        self.clock_ms() >= state.deadline
    }

    fn start(&self, body: &Value, ordered: Instant) -> Response {
        let mut state = self.state.lock();
        self.advance(&mut state);
        // An order that is being handled when the worker crashes is lost.
        if state.down_at.is_some_and(|at| at <= Instant::now()) {
            return answer(421, json!({}));
        }
        let deadline = body["deadlineMs"].as_u64().unwrap_or(0);
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let run = body["run"].as_u64().unwrap_or(0);
        if is_fenced(&mut state, body) {
            return self.conflict("fence");
        }
        if deadline <= self.clock_ms() {
            return self.conflict("late");
        }
        state.deadline = state.deadline.max(deadline);
        if state.active.get(&task).is_some_and(|active| active.run == run) {
            return answer(200, json!({ "clockMs": self.clock_ms() }));
        }
        if state.closed_runs.get(&task).is_some_and(|closed| run <= *closed) {
            return self.conflict("old");
        }
        let spec = body["spec"].as_str().unwrap_or_default().to_owned();
        let began = Instant::now();
        let (worker, name) = (self.id.clone(), task.clone());
        state.records.push(Record {
            worker,
            task: name,
            run,
            token: body["fencingToken"].as_u64().unwrap_or(0),
            ordered,
            began,
            stop_ordered: None,
            ended: None,
            end_reason: None,
            is_end_lost: false,
        });
        let record = state.records.len() - 1;
        if spec.contains("crash") {
            state.down_at = Some(began + CRASH_DELAY);
        }
        state.active.insert(task, Active { record, run, spec, began });
        answer(200, json!({ "clockMs": self.clock_ms() }))
    }

    fn stop(&self, body: &Value) -> Response {
        let mut state = self.state.lock();
        self.advance(&mut state);
        if is_fenced(&mut state, body) {
            return self.conflict("fence");
        }
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let run = body["run"].as_u64().unwrap_or(0);
        if let Some(record) =
            state.active.get(&task).filter(|active| active.run == run).map(|active| active.record)
        {
            state.records[record].stop_ordered.get_or_insert_with(Instant::now);
            self.advance(&mut state);
        }
        let closed = state.closed_runs.entry(task).or_default();
        *closed = (*closed).max(run);
        answer(200, json!({ "clockMs": self.clock_ms() }))
    }

    async fn hold(&self, body: &Value) -> Response {
        let wait = Duration::from_millis(body["waitMs"].as_u64().unwrap_or(0));
        let began = Instant::now();
        let acknowledged = body["ackCursor"].as_u64().unwrap_or(0);
        {
            let mut state = self.state.lock();
            self.advance(&mut state);
            if is_fenced(&mut state, body) {
                return self.conflict("fence");
            }
            let deadline = body["deadlineMs"].as_u64().unwrap_or(0);
            state.deadline = state.deadline.max(deadline);
            state.unacknowledged_ends.retain(|end| end.0 > acknowledged);
        }
        loop {
            {
                let mut state = self.state.lock();
                self.advance(&mut state);
                if state.down_at.is_some_and(|at| Instant::now() >= at) {
                    break;
                }
                let is_due = began.elapsed() >= wait || !state.unacknowledged_ends.is_empty();
                if is_due && state.fault_mode != FaultMode::Frozen {
                    return self.listing(&state);
                }
            }
            task::sleep(HOLD_POLL_INTERVAL).await;
        }
        hang().await
    }

    fn listing(&self, state: &State) -> Response {
        let running: Vec<Value> = state
            .active
            .iter()
            .map(|(task, active)| {
                let percent = spec::percent(&active.spec, active.began.elapsed());
                json!([task, active.run, "", percent, 0])
            })
            .collect();
        let ends = state.unacknowledged_ends.iter().take(500);
        let finished: Vec<Value> = ends
            .map(|(number, task, run, end_reason)| json!([number, task, run, end_reason, ""]))
            .collect();
        let clock = self.clock_ms();
        let body = json!({
            "clockMs": clock, "born": self.started_unix_ms,
            "running": running, "finished": finished,
        });
        answer(200, body)
    }

    fn conflict(&self, reason: &str) -> Response {
        answer(409, json!({ "clockMs": self.clock_ms(), "reason": reason }))
    }
}

/// Whether an order's fencing token is lower than an earlier one; updates the highest token.
fn is_fenced(state: &mut State, body: &Value) -> bool {
    let token = body["fencingToken"].as_u64().unwrap_or(0);
    let fenced = token < state.highest_token;
    state.highest_token = state.highest_token.max(token);
    fenced
}

fn end_all(state: &mut State, end_reason: &'static str) {
    let tasks: Vec<String> = state.active.keys().cloned().collect();
    tasks.iter().for_each(|task| end(state, task, end_reason));
}

/// Loses the ends that are not acknowledged.
fn lose_ends(state: &mut State) {
    for (_, task, run, _) in std::mem::take(&mut state.unacknowledged_ends) {
        let mut records = state.records.iter_mut();
        let record = records.find(|record| record.task == task && record.run == run);
        record.into_iter().for_each(|record| record.is_end_lost = true);
    }
}

fn end(state: &mut State, task: &str, end_reason: &'static str) {
    let Some(active) = state.active.remove(task) else { return };
    state.last_end_number += 1;
    state.unacknowledged_ends.push((state.last_end_number, task.into(), active.run, end_reason));
    let closed = state.closed_runs.entry(task.into()).or_default();
    *closed = (*closed).max(active.run);
    let record = &mut state.records[active.record];
    record.ended = Some(Instant::now());
    record.end_reason = Some(end_reason);
}

#[async_trait]
impl Handler for Worker {
    async fn handle(&self, request: Request) -> Response {
        let ordered = Instant::now();
        let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let mut fault_mode = self.record_call(request.path(), &body);
        while fault_mode == FaultMode::Frozen {
            task::sleep(HOLD_POLL_INTERVAL).await;
            fault_mode = self.fault_mode();
        }
        let is_deaf = match fault_mode {
            FaultMode::Silent => true,
            FaultMode::DeafTo(token) => body["fencingToken"].as_u64() == Some(token),
            _ => false,
        };
        if is_deaf {
            return hang().await;
        }
        let down = self.down_for();
        if down.is_some_and(|down| down < DOWNTIME) {
            return hang().await;
        }
        let is_other = |id: &str| id != self.id || down.is_some();
        if request.header("x-celerythread-target-instance").is_some_and(is_other) {
            return answer(421, json!({}));
        }
        match (request.path(), fault_mode) {
            ("/-/run-start", FaultMode::IgnoresStarts) => hang().await,
            ("/-/run-start", FaultMode::LosesAnswers) => {
                self.start(&body, ordered);
                hang().await
            }
            ("/-/run-start", FaultMode::Late(delay)) => {
                task::sleep(delay).await;
                self.start(&body, ordered);
                hang().await
            }
            ("/-/run-start", FaultMode::Slow(delay)) => {
                let response = self.start(&body, ordered);
                task::sleep(delay).await;
                response
            }
            ("/-/run-start", _) => self.start(&body, ordered),
            ("/-/run-stop", _) => self.stop(&body),
            ("/-/hold", _) => self.hold(&body).await,
            _ => answer(404, json!({})),
        }
    }

    fn error_response(&self, _: &Fault) -> Response {
        answer(400, json!({}))
    }
}
