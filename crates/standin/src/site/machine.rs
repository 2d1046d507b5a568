//! The interface to machines: the list, and upkeep that gives a machine another worker.

use crate::serve::Server;
use crate::site::any_port;
use crate::site::store::{Store, answer};
use crate::site::worker::{Record, Worker};
use async_std::task;
use async_trait::async_trait;
use celerythread_http::Fault;
use celerythread_http::server::{Handler, Request};
use http_types::Response;
use parking_lot::Mutex;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How long a machine is down for its upkeep.
const UPKEEP: Duration = Duration::from_millis(400);

struct Machine {
    pool: String,
    worker: Option<Arc<Worker>>,
    /// Since when it is down for its upkeep.
    down: Option<Instant>,
    lives: u32,
}

#[derive(Default)]
struct State {
    machines: BTreeMap<String, Machine>,
    /// Machines due, by wave.
    due: BTreeMap<u64, Vec<String>>,
    /// Upkeeps begun, with how many were down then and what ran on the machine.
    begun: Vec<Upkeep>,
    all: Vec<Arc<Worker>>,
    servers: Vec<Server>,
}

/// An upkeep that began.
#[derive(Clone, Debug)]
pub struct Upkeep {
    /// The machine.
    pub machine: String,
    /// Machines down then, this one included.
    pub down: usize,
    /// Tasks that it ended.
    pub ended: Vec<String>,
    /// Who ordered it.
    pub holder: String,
}

/// All machines.
pub struct Machines {
    store: Arc<Store>,
    state: Arc<Mutex<State>>,
}

impl Machines {
    pub(super) fn new(store: Arc<Store>) -> Self {
        Self { store, state: Arc::default() }
    }

    pub(super) fn add(&self, name: &str, pool: &str, worker: Arc<Worker>, _: SocketAddr) {
        let mut state = self.state.lock();
        state.all.push(worker.clone());
        let machine = Machine { pool: pool.into(), worker: Some(worker), down: None, lives: 0 };
        state.machines.insert(name.into(), machine);
    }

    pub(super) fn due(&self, wave: u64, machines: &[&str]) {
        let names = machines.iter().map(|name| name.to_string()).collect();
        self.state.lock().due.insert(wave, names);
    }

    pub(super) fn crash(&self, id: &str) {
        for machine in self.state.lock().machines.values_mut() {
            if machine.worker.as_ref().is_some_and(|worker| worker.id() == id) {
                machine.worker = None;
            }
        }
    }

    /// Replaces the worker that has the same id on its machine, and adds the new one to the
    /// history.
    pub(super) fn restart(&self, worker: &Arc<Worker>) {
        let mut state = self.state.lock();
        for machine in state.machines.values_mut() {
            if machine.worker.as_ref().is_some_and(|former| former.id() == worker.id()) {
                machine.worker = Some(worker.clone());
            }
        }
        state.all.push(worker.clone());
    }

    pub(super) fn keep_history(&self, worker: Arc<Worker>) {
        let mut state = self.state.lock();
        if !state.all.iter().any(|known| Arc::ptr_eq(known, &worker)) {
            state.all.push(worker);
        }
    }

    /// What all workers ran, those that are gone included.
    pub fn history(&self) -> Vec<Record> {
        let all = self.state.lock().all.clone();
        all.iter().flat_map(|worker| worker.records()).collect()
    }

    /// Upkeeps that began.
    pub fn upkeeps(&self) -> Vec<Upkeep> {
        self.state.lock().begun.clone()
    }

    fn list(&self) -> Response {
        let state = self.state.lock();
        let show = |(name, machine): (&String, &Machine)| {
            let id = machine.worker.as_ref().map_or("", |worker| worker.id());
            let doing = match (&machine.down, &machine.worker) {
                (Some(_), _) => "upkeep",
                (None, Some(_)) => "up",
                (None, None) => "down",
            };
            json!({ "machine": name, "pool": machine.pool, "state": doing, "zone": "zone", "id": id })
        };
        let machines: Vec<Value> = state.machines.iter().map(show).collect();
        answer(200, json!({ "machines": machines, "nextToken": null }))
    }

    fn upkeep(&self, body: &Value, holder: &str) -> Response {
        let name = body["machine"].as_str().unwrap_or_default().to_owned();
        let wave = body["wave"].as_u64().unwrap_or(0);
        let mut state = self.state.lock();
        let due = state.due.get(&wave).is_some_and(|names| names.contains(&name));
        if !due {
            return answer(409, json!({ "reason": "wave" }));
        }
        if state.begun.iter().any(|begun| begun.machine == name) {
            return answer(200, json!({}));
        }
        let Some(machine) = state.machines.get_mut(&name) else { return answer(400, json!({})) };
        let Some(worker) = machine.worker.take() else {
            return answer(409, json!({ "reason": "busy" }));
        };
        let ended = worker.running();
        worker.crash();
        machine.down = Some(Instant::now());
        let down = state.machines.values().filter(|machine| machine.down.is_some()).count();
        state.begun.push(Upkeep { machine: name.clone(), down, ended, holder: holder.into() });
        self.store.drop_row("servers", "", worker.id());
        task::spawn(come_back(self.state.clone(), self.store.clone(), name));
        answer(200, json!({}))
    }
}

/// Brings a machine back with another worker.
async fn come_back(state: Arc<Mutex<State>>, store: Arc<Store>, name: String) {
    task::sleep(UPKEEP).await;
    let id = {
        let mut state = state.lock();
        let Some(machine) = state.machines.get_mut(&name) else { return };
        machine.lives += 1;
        format!("i-{name}-{}", machine.lives)
    };
    let worker = Arc::new(Worker::new(&id));
    let Ok(server) = Server::start(any_port(), worker.clone()).await else { return };
    store.put("servers", "", &id, &worker.entry("desk", server.address(), "ready"));
    let mut state = state.lock();
    state.all.push(worker.clone());
    state.servers.push(server);
    if let Some(machine) = state.machines.get_mut(&name) {
        machine.worker = Some(worker);
        machine.down = None;
    }
}

#[async_trait]
impl Handler for Machines {
    async fn handle(&self, request: Request) -> Response {
        let holder = request.header("x-celerythread-lease-holder").unwrap_or_default().to_owned();
        let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        match request.path() {
            "/-/machines" => self.list(),
            "/-/machine-upkeep" => self.upkeep(&body, &holder),
            "/-/machine-move" => answer(409, json!({ "reason": "busy" })),
            _ => answer(404, json!({})),
        }
    }

    fn error_response(&self, _: &Fault) -> Response {
        answer(400, json!({}))
    }
}
