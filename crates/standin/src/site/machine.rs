//! The interface to machines: their list, moves between pools, and upkeep, after both of which a
//! machine has a new worker.

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

/// Time that a machine is down for its upkeep.
const UPKEEP_DURATION: Duration = Duration::from_millis(400);

/// Time that a machine takes to move to another pool.
const MOVE_DURATION: Duration = Duration::from_millis(400);

struct Machine {
    pool: String,
    worker: Option<Arc<Worker>>,
    /// Start of the upkeep that the machine is down for.
    down_since: Option<Instant>,
    is_moving: bool,
    restart_count: u32,
}

#[derive(Default)]
struct State {
    machines: BTreeMap<String, Machine>,
    /// Machines due for upkeep, by wave.
    due_by_wave: BTreeMap<u64, Vec<String>>,
    /// Upkeeps that were started.
    upkeeps: Vec<Upkeep>,
    list_mode: ListMode,
    move_mode: MoveMode,
    moves: Vec<Move>,
    workers: Vec<Arc<Worker>>,
    servers: Vec<Server>,
}

/// An upkeep that was started.
#[derive(Clone, Debug)]
pub struct Upkeep {
    /// Name of the machine.
    pub machine: String,
    /// Number of machines down for upkeep at its start, including this one.
    pub down: usize,
    /// Tasks on the machine that it ended.
    pub ended: Vec<String>,
    /// Lease holder named in the order.
    pub holder: String,
}

/// How orders for moves are answered.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum MoveMode {
    /// Refused as if the machine were busy.
    #[default]
    Busy,
    /// Refused with 503.
    Unavailable,
    /// Carried out.
    Accept,
}

/// A move of a machine to another pool that was started.
#[derive(Clone, Debug)]
pub struct Move {
    /// Name of the machine.
    pub machine: String,
    /// Id of the worker that it ended.
    pub worker: String,
    /// When it began.
    pub began: Instant,
    /// Its new pool.
    pub pool: String,
    /// Tasks on the machine that it ended.
    pub ended: Vec<String>,
    /// Lease holder named in the order.
    pub holder: String,
    /// Fencing token of the order.
    pub token: u64,
}

/// How the list of machines is served.
#[derive(Clone, Copy, Debug)]
pub struct ListMode {
    /// Number of pages that it is split into.
    pub pages: usize,
    /// Time until a page is returned.
    pub delay: Duration,
}

impl Default for ListMode {
    fn default() -> Self {
        Self { pages: 1, delay: Duration::ZERO }
    }
}

/// The interface to all machines.
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
        state.workers.push(worker.clone());
        let machine = Machine {
            pool: pool.into(),
            worker: Some(worker),
            down_since: None,
            is_moving: false,
            restart_count: 0,
        };
        state.machines.insert(name.into(), machine);
    }

    pub(super) fn set_due(&self, wave: u64, machines: &[&str]) {
        let names = machines.iter().map(|name| name.to_string()).collect();
        self.state.lock().due_by_wave.insert(wave, names);
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
        state.workers.push(worker.clone());
    }

    pub(super) fn retain_worker(&self, worker: Arc<Worker>) {
        let mut state = self.state.lock();
        if !state.workers.iter().any(|known| Arc::ptr_eq(known, &worker)) {
            state.workers.push(worker);
        }
    }

    /// The runs of all workers, including those that were stopped.
    pub fn history(&self) -> Vec<Record> {
        let workers = self.state.lock().workers.clone();
        workers.iter().flat_map(|worker| worker.records()).collect()
    }

    /// Upkeeps that were started, in order.
    pub fn upkeeps(&self) -> Vec<Upkeep> {
        self.state.lock().upkeeps.clone()
    }

    /// Sets how the list of machines is served.
    pub fn set_list_mode(&self, list_mode: ListMode) {
        self.state.lock().list_mode = list_mode;
    }

    /// Sets how orders for moves are answered.
    pub fn set_move_mode(&self, mode: MoveMode) {
        self.state.lock().move_mode = mode;
    }

    /// Moves that were started, in order.
    pub fn moves(&self) -> Vec<Move> {
        self.state.lock().moves.clone()
    }

    /// Returns a page of the list.
    async fn list(&self, request: &Request) -> Response {
        let ListMode { pages, delay } = self.state.lock().list_mode;
        task::sleep(delay).await;
        let page: usize =
            request.query("pageToken").and_then(|token| token.parse().ok()).unwrap_or(0);
        let next = page + 1;
        let next_token = (next < pages).then(|| next.to_string());
        let state = self.state.lock();
        let to_json = |(name, machine): (&String, &Machine)| {
            let id = machine.worker.as_ref().map_or("", |worker| worker.id());
            let state_name = match (&machine.down_since, &machine.worker) {
                (Some(_), _) => "upkeep",
                _ if machine.is_moving => "moving",
                (None, Some(_)) => "up",
                (None, None) => "down",
            };
            json!({ "machine": name, "pool": machine.pool, "state": state_name, "zone": "zone", "id": id })
        };
        let of_page = state.machines.iter().skip(page).step_by(pages);
        let machines: Vec<Value> = of_page.map(to_json).collect();
        answer(200, json!({ "machines": machines, "nextToken": next_token }))
    }

    fn upkeep(&self, body: &Value, holder: &str) -> Response {
        let name = body["machine"].as_str().unwrap_or_default().to_owned();
        let wave = body["wave"].as_u64().unwrap_or(0);
        let mut state = self.state.lock();
        let due = state.due_by_wave.get(&wave).is_some_and(|names| names.contains(&name));
        if !due {
            return answer(409, json!({ "reason": "wave" }));
        }
        if state.upkeeps.iter().any(|upkeep| upkeep.machine == name) {
            return answer(200, json!({}));
        }
        let Some(machine) = state.machines.get_mut(&name) else { return answer(400, json!({})) };
        let Some(worker) = machine.worker.take() else {
            return answer(409, json!({ "reason": "busy" }));
        };
        let ended = worker.running();
        worker.crash();
        machine.down_since = Some(Instant::now());
        let down = state.machines.values().filter(|machine| machine.down_since.is_some()).count();
        state.upkeeps.push(Upkeep { machine: name.clone(), down, ended, holder: holder.into() });
        self.store.delete_row("servers", "", worker.id());
        task::spawn(finish(self.state.clone(), self.store.clone(), name, UPKEEP_DURATION));
        answer(200, json!({}))
    }

    fn change_pool(&self, body: &Value, holder: &str, token: u64) -> Response {
        let text = |name: &str| body[name].as_str().unwrap_or_default().to_owned();
        let (name, pool) = (text("machine"), text("pool"));
        let mut state = self.state.lock();
        match state.move_mode {
            MoveMode::Busy => return answer(409, json!({ "reason": "busy" })),
            MoveMode::Unavailable => return answer(503, json!({})),
            MoveMode::Accept => {}
        }
        let Some(machine) = state.machines.get_mut(&name) else { return answer(400, json!({})) };
        let Some(worker) = machine.worker.take() else {
            return answer(409, json!({ "reason": "busy" }));
        };
        let ended = worker.running();
        worker.crash();
        machine.is_moving = true;
        machine.pool = pool.clone();
        state.moves.push(Move {
            machine: name.clone(),
            worker: worker.id().to_owned(),
            began: Instant::now(),
            pool,
            ended,
            holder: holder.into(),
            token,
        });
        self.store.delete_row("servers", "", worker.id());
        task::spawn(finish(self.state.clone(), self.store.clone(), name, MOVE_DURATION));
        answer(200, json!({}))
    }
}

/// Ends an upkeep or a move after its duration and starts a new worker on the machine.
async fn finish(state: Arc<Mutex<State>>, store: Arc<Store>, name: String, duration: Duration) {
    task::sleep(duration).await;
    let (id, pool) = {
        let mut state = state.lock();
        let Some(machine) = state.machines.get_mut(&name) else { return };
        machine.restart_count += 1;
        (format!("i-{name}-{}", machine.restart_count), machine.pool.clone())
    };
    let worker = Arc::new(Worker::new(&id));
    let Ok(server) = Server::start(any_port(), worker.clone()).await else { return };
    store.put("servers", "", &id, &worker.entry(&pool, server.address(), "ready"));
    let mut state = state.lock();
    state.workers.push(worker.clone());
    state.servers.push(server);
    if let Some(machine) = state.machines.get_mut(&name) {
        machine.worker = Some(worker);
        machine.down_since = None;
        machine.is_moving = false;
    }
}

#[async_trait]
impl Handler for Machines {
    async fn handle(&self, request: Request) -> Response {
        let holder = request.header("x-celerythread-lease-holder").unwrap_or_default().to_owned();
        let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        match request.path() {
            "/-/machines" => self.list(&request).await,
            "/-/machine-upkeep" => self.upkeep(&body, &holder),
            "/-/machine-move" => {
                let token = request.header("x-celerythread-fencing-token").unwrap_or_default();
                self.change_pool(&body, &holder, token.parse().unwrap_or(0))
            }
            _ => answer(404, json!({})),
        }
    }

    fn error_response(&self, _: &Fault) -> Response {
        answer(400, json!({}))
    }
}
