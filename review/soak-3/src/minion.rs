//! Minions and the machines that they live on, by `PROTOCOL.md`.

use crate::http::{Handler, Request, Server};
use crate::record::Record;
use crate::store::Store;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Time between two heartbeats, and how many are missed before the entry is removed.
const HEARTBEAT: Duration = Duration::from_millis(1500);
const MISSED_HEARTBEATS: u32 = 3;

/// `holdMaxMs` of the settings.
const HOLD_MAX_MS: u64 = 6000;

/// Time between two looks at what runs.
const STEP: Duration = Duration::from_millis(3);

/// A machine as the platform lists it.
pub struct Machine {
    pub name: String,
    pub zone: String,
    pub labels: Vec<String>,
    pub cpu: u64,
    pub service: String,
    address: SocketAddr,
    life: Mutex<Option<(Arc<Life>, Server)>>,
    lives: Mutex<u32>,
    store: Arc<Store>,
    record: Arc<Record>,
    /// Called when a task has begun.
    began: Mutex<Option<Box<dyn Fn(&str) + Send>>>,
}

pub struct Hist {
    pub task: String,
    pub run: u64,
    pub minion: String,
    pub token: u64,
    pub began: Instant,
    pub ended: Option<Instant>,
    pub how: &'static str,
    pub number: u64,
    pub acked: bool,
}

pub static LATE: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(0);

pub static HIST: Mutex<Vec<Hist>> = Mutex::new(Vec::new());

struct Run {
    hist: usize,
    number: u64,
    began: Instant,
    /// When it will be done; `None` for a task that lasts.
    work: Option<Duration>,
}

struct State {
    token: u64,
    deadline_ms: u64,
    runs: BTreeMap<String, Run>,
    closed: BTreeMap<String, u64>,
    ends: Vec<(u64, String, u64, &'static str)>,
    ended: u64,
    dead: bool,
}

/// One life of a machine's minion.
pub struct Life {
    pub id: String,
    born: u64,
    started: Instant,
    state: Mutex<State>,
    record: Arc<Record>,
}

impl Life {
    fn clock_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64 + 1000
    }

    fn end(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(run) = state.runs.remove(task) else { return };
        state.ended += 1;
        state.ends.push((state.ended, task.to_owned(), run.number, how));
        {
            let mut h = HIST.lock().unwrap();
            let h = &mut h[run.hist];
            h.ended = Some(Instant::now());
            h.how = how;
            h.number = state.ended;
        }
        let closed = state.closed.entry(task.to_owned()).or_default();
        *closed = (*closed).max(run.number);
    }

    fn advance(&self, state: &mut State) {
        let lapsed = self.clock_ms() >= state.deadline_ms;
        let over = |run: &Run| run.work.is_some_and(|work| run.began.elapsed() >= work);
        let due: Vec<(String, &'static str)> = state
            .runs
            .iter()
            .filter(|(_, run)| lapsed || over(run))
            .map(|(task, run)| (task.clone(), if over(run) { "done" } else { "lapsed" }))
            .collect();
        due.iter().for_each(|(task, how)| self.end(state, task, how));
    }

    fn extend(&self, state: &mut State, body: &Value) {
        let limit = self.clock_ms() + HOLD_MAX_MS;
        let deadline = body["deadlineMs"].as_u64().unwrap_or(0).min(limit);
        state.deadline_ms = state.deadline_ms.max(deadline);
    }

    fn refuse(&self, reason: &str) -> (u16, Value) {
        (409, json!({ "clockMs": self.clock_ms(), "reason": reason }))
    }

    fn start(&self, body: &Value) -> (u16, Value) {
        let mut state = self.state.lock().unwrap();
        if state.dead {
            return (421, json!({}));
        }
        self.advance(&mut state);
        if is_fenced(&mut state, body) {
            return self.refuse("fence");
        }
        if body["deadlineMs"].as_u64().unwrap_or(0) <= self.clock_ms() {
            return self.refuse("late");
        }
        self.extend(&mut state, body);
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let number = body["run"].as_u64().unwrap_or(0);
        if state.runs.get(&task).is_some_and(|run| run.number == number) {
            return (200, json!({ "clockMs": self.clock_ms() }));
        }
        if state.closed.get(&task).is_some_and(|closed| number <= *closed) {
            return self.refuse("old");
        }
        let spec = body["spec"].as_str().unwrap_or_default();
        let work = spec.strip_prefix("work=").and_then(|text| text.parse().ok());
        let hist = {
            let mut h = HIST.lock().unwrap();
            h.push(Hist {
                task: task.clone(),
                run: number,
                minion: format!("{}@{}", self.id, self.born),
                token: state.token,
                began: Instant::now(),
                ended: None,
                how: "",
                number: 0,
                acked: false,
            });
            h.len() - 1
        };
        let run =
            Run { hist, number, began: Instant::now(), work: work.map(Duration::from_millis) };
        state.runs.insert(task, run);
        (200, json!({ "clockMs": self.clock_ms() }))
    }

    fn stop(&self, body: &Value) -> (u16, Value) {
        let mut state = self.state.lock().unwrap();
        self.advance(&mut state);
        if is_fenced(&mut state, body) {
            return self.refuse("fence");
        }
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let number = body["run"].as_u64().unwrap_or(0);
        if state.runs.get(&task).is_some_and(|run| run.number == number) {
            self.end(&mut state, &task, "stopped");
        }
        let closed = state.closed.entry(task).or_default();
        *closed = (*closed).max(number);
        (200, json!({ "clockMs": self.clock_ms() }))
    }

    fn hold(&self, body: &Value) -> Option<(u16, Value)> {
        let until = Instant::now() + Duration::from_millis(body["waitMs"].as_u64().unwrap_or(0));
        let acknowledged = body["ackCursor"].as_u64().unwrap_or(0);
        {
            let mut state = self.state.lock().unwrap();
            self.advance(&mut state);
            if is_fenced(&mut state, body) {
                return Some(self.refuse("fence"));
            }
            self.extend(&mut state, body);
            {
                let mut h = HIST.lock().unwrap();
                for x in h.iter_mut().filter(|x| {
                    x.minion == format!("{}@{}", self.id, self.born)
                        && x.ended.is_some()
                        && x.number <= acknowledged
                }) {
                    x.acked = true;
                }
            }
            state.ends.retain(|end| end.0 > acknowledged);
        }
        loop {
            let mut state = self.state.lock().unwrap();
            if state.dead {
                return None;
            }
            self.advance(&mut state);
            if !state.ends.is_empty() || Instant::now() >= until {
                let running: Vec<Value> = state
                    .runs
                    .iter()
                    .map(|(task, run)| {
                        let spent = run.began.elapsed().as_secs_f64();
                        let percent =
                            run.work.map_or(100.0, |work| 100.0 * spent / work.as_secs_f64());
                        json!([task, run.number, "", percent.min(100.0) as u64, 100])
                    })
                    .collect();
                let ends = state.ends.iter().take(500);
                let finished: Vec<Value> = ends
                    .map(|(number, task, run, how)| json!([number, task, run, how, ""]))
                    .collect();
                let clock = self.clock_ms();
                return Some((
                    200,
                    json!({ "clockMs": clock, "born": self.born, "running": running, "finished": finished }),
                ));
            }
            drop(state);
            thread::sleep(STEP);
        }
    }
}

fn is_fenced(state: &mut State, body: &Value) -> bool {
    let token = body["fencingToken"].as_u64().unwrap_or(0);
    let is_fenced = token < state.token;
    state.token = state.token.max(token);
    is_fenced
}

impl Machine {
    /// A machine that is down, with a free port for its minions.
    pub fn new(
        name: &str,
        service: &str,
        labels: &[&str],
        cpu: u64,
        store: &Arc<Store>,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let address = crate::free_address("127.0.0.1");
        Arc::new(Self {
            name: name.into(),
            zone: "med-a".into(),
            labels: labels.iter().map(|label| (*label).to_owned()).collect(),
            cpu,
            service: service.into(),
            address,
            life: Mutex::default(),
            lives: Mutex::default(),
            store: store.clone(),
            record: record.clone(),
            began: Mutex::default(),
        })
    }

    /// Sets what is called with the name of each task that begins.
    pub fn on_begin(&self, call: impl Fn(&str) + Send + 'static) {
        *self.began.lock().unwrap() = Some(Box::new(call));
    }

    /// Starts a new life of its minion.
    pub fn start(self: &Arc<Self>) {
        let number = {
            let mut lives = self.lives.lock().unwrap();
            *lives += 1;
            *lives
        };
        let state = State {
            token: 0,
            deadline_ms: 0,
            runs: BTreeMap::new(),
            closed: BTreeMap::new(),
            ends: Vec::new(),
            ended: 0,
            dead: false,
        };
        let life = Arc::new(Life {
            id: {
                let _ = number;
                format!("i-{}", self.name)
            },
            born: std::time::SystemTime::now()
                .duration_since(std::time::UNIX_EPOCH)
                .unwrap()
                .as_millis() as u64,
            started: Instant::now(),
            state: Mutex::new(state),
            record: self.record.clone(),
        });
        let (machine, answering) = (Arc::downgrade(self), life.clone());
        let handler: Arc<Handler> = Arc::new(move |request: &Request| {
            let target = request.header("x-celerythread-target-instance");
            if target.is_some_and(|target| target != answering.id) {
                return Some((421, json!({})));
            }
            let body = request.json();
            match request.path.as_str() {
                "/-/run-start"
                    if LATE.load(std::sync::atomic::Ordering::SeqCst) > 0
                        && (body["run"].as_u64().unwrap_or(0) * 7919
                            + body["task"]
                                .as_str()
                                .unwrap_or_default()
                                .bytes()
                                .map(u64::from)
                                .sum::<u64>()
                                * 31
                            + answering.clock_ms())
                            % 1000
                            < LATE.load(std::sync::atomic::Ordering::SeqCst) =>
                {
                    let (machine, own, wait) =
                        (machine.clone(), answering.born, 2000 + answering.clock_ms() * 7 % 8000);
                    thread::spawn(move || {
                        thread::sleep(Duration::from_millis(wait));
                        let Some(machine) = machine.upgrade() else { return };
                        let life =
                            machine.life.lock().unwrap().as_ref().map(|(life, _)| life.clone());
                        let Some(life) = life else { return };
                        let prior = life.state.lock().unwrap().token;
                        let answer = life.start(&body);
                        if answer.0 == 200 && life.born != own {
                            life.record.line(&format!("late_in_next_life task={} run={} life={} prior_token={prior} token={} life_age_ms={}", body["task"], body["run"], life.born, body["fencingToken"], life.started.elapsed().as_millis()));
                        }
                    });
                    thread::sleep(Duration::from_millis(1500));
                    None
                }
                "/-/run-start" => {
                    let answer = answering.start(&body);
                    if let Some(machine) = machine.upgrade().filter(|_| answer.0 == 200) {
                        let began = machine.began.lock().unwrap();
                        began
                            .iter()
                            .for_each(|call| call(body["task"].as_str().unwrap_or_default()));
                    }
                    Some(answer)
                }
                "/-/run-stop" => Some(answering.stop(&body)),
                "/-/hold" => answering.hold(&body),
                "/-/pace" => Some((200, json!({ "clockMs": answering.clock_ms() }))),
                _ => Some((404, json!({}))),
            }
        });
        let server = Server::start(self.address, handler);
        self.record.line(&format!("minion_up id={} machine={}", life.id, self.name));
        *self.life.lock().unwrap() = Some((life.clone(), server));
        let machine = self.clone();
        thread::spawn(move || machine.beat(&life));
    }

    /// Registers a life until it has ended and its entry has expired.
    fn beat(&self, life: &Life) {
        let mut seq = 0;
        loop {
            if life.state.lock().unwrap().dead {
                let is_gone = || self.life.lock().unwrap().is_none();
                for _ in 0..45 {
                    thread::sleep(Duration::from_millis(100));
                    if !is_gone() {
                        return;
                    }
                }
                return self.store.remove("servers", &life.id);
            }
            seq += 1;
            let entry = json!({
                "service": self.service, "address": self.address.to_string(), "zone": self.zone,
                "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0, "seq": seq,
                "capacity": { "cpu": self.cpu, "memMb": 32768, "gpu": 0 }, "labels": self.labels, "born": life.born,
            });
            self.store.put("servers", &life.id, &entry);
            thread::sleep(HEARTBEAT);
        }
    }

    /// Ends the minion as a crash does: everything that runs there ends, and nobody hears of it.
    pub fn crash(&self) {
        let Some((life, server)) = self.life.lock().unwrap().take() else { return };
        let mut state = life.state.lock().unwrap();
        state.dead = true;
        let tasks: Vec<String> = state.runs.keys().cloned().collect();
        {
            let mut h = HIST.lock().unwrap();
            for run in state.runs.values() {
                h[run.hist].ended = Some(Instant::now());
                h[run.hist].how = "gone";
            }
        }
        drop(state);
        server.kill();
        self.record.line(&format!("minion_crashed id={} runs={}", life.id, tasks.join(",")));
    }

    /// Whether a task runs there.
    pub fn runs(&self, task: &str) -> bool {
        let life = self.life.lock().unwrap();
        life.as_ref().is_some_and(|(life, _)| life.state.lock().unwrap().runs.contains_key(task))
    }

    fn listing(&self) -> Value {
        let life = self.life.lock().unwrap();
        let (state, id) = match &*life {
            Some((life, _)) => ("up", life.id.as_str()),
            None => ("down", ""),
        };
        json!({
            "machine": self.name, "pool": self.service, "state": state, "zone": self.zone,
            "labels": self.labels, "id": id,
            "capacity": { "cpu": self.cpu, "memMb": 32768, "gpu": 0 },
        })
    }
}

/// The platform's interface to machines, none of which is moved here.
pub fn machines_handler(machines: Vec<Arc<Machine>>) -> Arc<Handler> {
    Arc::new(move |request: &Request| {
        Some(match request.path.as_str() {
            "/-/machines" => {
                let listed: Vec<Value> = machines.iter().map(|machine| machine.listing()).collect();
                (200, json!({ "machines": listed, "nextToken": "" }))
            }
            "/-/machine-move" | "/-/machine-upkeep" => (409, json!({ "reason": "busy" })),
            _ => (404, json!({})),
        })
    })
}
