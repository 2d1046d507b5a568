//! The users' platform as PROTOCOL.md tells it, small: the store, minions, the machines' interface,
//! and the project's daemons as processes.

use crate::http::{self, Request};
use crate::json::{Json, decode64, encode64};
use crate::map;
use std::collections::BTreeMap;
use std::fs::File;
use std::io::Write;
use std::net::{IpAddr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// What was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<File>)>);

impl Record {
    pub fn new(path: &Path) -> Self {
        Self(Arc::new((Instant::now(), Mutex::new(File::create(path).expect("record.txt")))))
    }

    pub fn now(&self) -> f64 {
        self.0.0.elapsed().as_secs_f64()
    }

    pub fn log(&self, line: impl AsRef<str>) {
        let _ = writeln!(self.0.1.lock().unwrap(), "{:8.3} {}", self.now(), line.as_ref());
    }
}

type Key = (String, String, String);

#[derive(Default)]
struct Tables {
    version: u64,
    rows: BTreeMap<Key, (String, u64)>,
    /// The version of each change, the row, and its value unless it was dropped.
    history: Vec<(u64, Key, Option<String>)>,
}

/// The store.  It loses nothing, is linearizable and has no disruption of its own.
pub struct Store {
    tables: Mutex<Tables>,
    changed: Condvar,
    began: Instant,
    /// Largest value of a row, `rowBytes`.
    row_bytes: usize,
    record: Record,
}

fn key(row: &Json) -> Key {
    (row.get("table").str().into(), row.get("part").str().into(), row.get("key").str().into())
}

fn row_json(key: &Key, value: &str, version: u64) -> Json {
    map! { "table": &*key.0, "part": &*key.1, "key": &*key.2, "value": value, "ver": version }
}

impl Tables {
    fn change(&mut self, key: Key, value: Option<String>) {
        let version = self.version;
        match &value {
            Some(value) => {
                self.rows.insert(key.clone(), (value.clone(), version));
            }
            None if self.rows.remove(&key).is_none() => return,
            None => {}
        }
        self.history.push((version, key, value));
    }
}

impl Store {
    fn new(row_bytes: usize, record: Record) -> Self {
        let began = Instant::now();
        Self { tables: Mutex::default(), changed: Condvar::new(), began, row_bytes, record }
    }

    /// Writes a row, as operators and minions do.
    pub fn put(&self, table: &str, key: &str, value: &Json) {
        let mut tables = self.tables.lock().unwrap();
        tables.version += 1;
        tables.change((table.into(), String::new(), key.into()), Some(encode64(value.text().as_bytes())));
        self.changed.notify_all();
    }

    pub fn remove(&self, table: &str, key: &str) {
        let mut tables = self.tables.lock().unwrap();
        tables.version += 1;
        tables.change((table.into(), String::new(), key.into()), None);
        self.changed.notify_all();
    }

    /// A row of the empty partition.
    pub fn get(&self, table: &str, key: &str) -> Option<Json> {
        let tables = self.tables.lock().unwrap();
        let (value, _) = tables.rows.get(&(table.into(), String::new(), key.into()))?;
        Json::parse(&decode64(value)?)
    }

    fn now_ms(&self) -> u64 {
        5_000_000 + self.began.elapsed().as_millis() as u64
    }

    fn answer(&self, status: u16, rows: Vec<Json>, more: bool, version: u64) -> Option<(u16, Vec<u8>)> {
        let body = map! { "rows": rows, "morePages": more, "ver": version, "nowMs": self.now_ms() };
        Some((status, body.text().into_bytes()))
    }

    fn handle(&self, request: Request) -> Option<(u16, Vec<u8>)> {
        let param = |name: &str| request.param(name).unwrap_or_default().to_owned();
        match &*request.path {
            "/-/rows-tx" => self.transact(&Json::parse(&request.body)?),
            "/-/rows-get" => {
                let tables = self.tables.lock().unwrap();
                let first = (param("table"), param("part"), param("from"));
                let limit = param("limit").parse().unwrap_or(500).min(500);
                let to = request.param("to");
                let inside = |key: &Key| {
                    key.0 == first.0 && key.1 == first.1 && to.is_none_or(|to| &*key.2 < to)
                };
                let (mut rows, mut more, mut bytes) = (Vec::new(), false, 0);
                for (key, (value, version)) in
                    tables.rows.range(first.clone()..).take_while(|(key, _)| inside(key))
                {
                    bytes += value.len() + 100;
                    if rows.len() == limit || bytes > 1_000_000 {
                        more = true;
                        break;
                    }
                    rows.push(row_json(key, value, *version));
                }
                let version = tables.version;
                self.answer(200, rows, more, version)
            }
            "/-/rows-parts" => {
                let tables = self.tables.lock().unwrap();
                let (table, after) = (param("table"), request.param("after"));
                let rows = tables.rows.keys().filter(|key| key.0 == table);
                let mut parts: Vec<&String> = rows.map(|key| &key.1).collect();
                parts.dedup();
                parts.retain(|part| after.is_none_or(|after| part.as_str() > after));
                let parts: Vec<Json> = parts.iter().take(1000).map(|part| part.as_str().into()).collect();
                Some((200, map! { "parts": parts }.text().into_bytes()))
            }
            "/-/rows-feed" => {
                let after: u64 = param("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(param("waitMs").parse().unwrap_or(0));
                self.feed(&param("table"), after, wait)
            }
            _ => Some((404, Vec::new())),
        }
    }

    fn transact(&self, body: &Json) -> Option<(u16, Vec<u8>)> {
        let mut tables = self.tables.lock().unwrap();
        let wrong: Vec<Json> = body
            .get("expect")
            .list()
            .iter()
            .filter(|row| tables.rows.get(&key(row)).map_or(0, |row| row.1) != row.get("ver").u64())
            .map(|row| {
                let (value, version) = tables.rows.get(&key(row)).cloned().unwrap_or_default();
                row_json(&key(row), &value, version)
            })
            .collect();
        let version = tables.version;
        if !wrong.is_empty() {
            return self.answer(412, wrong, false, version);
        }
        let writes = body.get("writes").list();
        let entries = body.get("expect").list().len() + writes.len() + body.get("remove").list().len();
        let size = |row: &Json| decode64(row.get("value").str()).map_or(0, |value| value.len());
        let large = writes.iter().find(|row| size(row) > self.row_bytes);
        if entries > 100 || large.is_some() {
            let large = large.map(|row| format!("{:?} of {} bytes", key(row), size(row)));
            self.record.log(format!("store: refuses a transaction of {entries} entries, {large:?}"));
            return Some((400, b"{}".to_vec()));
        }
        tables.version += 1;
        for row in writes {
            tables.change(key(row), Some(row.get("value").str().into()));
        }
        for row in body.get("remove").list() {
            tables.change(key(row), None);
        }
        let version = tables.version;
        self.changed.notify_all();
        self.answer(200, Vec::new(), false, version)
    }

    fn feed(&self, table: &str, after: u64, wait: Duration) -> Option<(u16, Vec<u8>)> {
        let until = Instant::now() + wait;
        let mut tables = self.tables.lock().unwrap();
        loop {
            let from = tables.history.partition_point(|(version, ..)| *version <= after);
            let changes = tables.history[from..].iter().filter(|(_, key, _)| key.0 == table);
            let rows: Vec<Json> = changes
                .map(|(version, key, value)| match value {
                    Some(value) => row_json(key, value, *version),
                    None => map! {
                        "table": &*key.0, "part": &*key.1, "key": &*key.2, "deleted": true, "ver": *version,
                    },
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                let version = tables.version;
                return self.answer(200, rows, false, version);
            }
            tables = self.changed.wait_timeout(tables, left).unwrap().0;
        }
    }
}

struct Run {
    run: u64,
    began: Instant,
    takes: Option<Duration>,
    /// Whether it lasts and fails after that time.
    fails: bool,
    stopped_at: Option<Instant>,
    cpu: u64,
}

#[derive(Default)]
struct MinionState {
    token: u64,
    lease_ms: u64,
    running: BTreeMap<String, Run>,
    closed: BTreeMap<String, u64>,
    finished: Vec<(u64, String, u64, &'static str)>,
    ends: u64,
    dead: bool,
}

/// A minion.  A task's spec is `ms=N`: it is done after N milliseconds; without, it lasts, with
/// `fails=N` until it fails after N milliseconds, a quarter more or less.
pub struct Minion {
    pub id: String,
    pub service: String,
    pub machine: String,
    pub address: SocketAddr,
    began: Instant,
    hold_max_ms: u64,
    state: Mutex<MinionState>,
    record: Record,
    is_quiet: bool,
}

impl Minion {
    fn clock_ms(&self) -> u64 {
        10_000 + self.began.elapsed().as_millis() as u64
    }

    fn end(&self, state: &mut MinionState, task: &str, how: &'static str) {
        let Some(run) = state.running.remove(task) else { return };
        state.ends += 1;
        state.finished.push((state.ends, task.into(), run.run, how));
        let closed = state.closed.entry(task.into()).or_default();
        *closed = (*closed).max(run.run);
        if !self.is_quiet {
            self.record.log(format!("minion {} ({}): ended {task} run {} {how}", self.id, self.service, run.run));
        }
    }

    fn advance(&self, state: &mut MinionState) {
        let lapsed = self.clock_ms() >= state.lease_ms;
        let due: Vec<(String, &'static str)> = state
            .running
            .iter()
            .filter_map(|(task, run)| {
                if run.stopped_at.is_some_and(|at| at.elapsed() >= Duration::from_millis(50)) {
                    Some((task.clone(), "stopped"))
                } else if run.takes.is_some_and(|takes| run.began.elapsed() >= takes) {
                    Some((task.clone(), if run.fails { "failed" } else { "done" }))
                } else {
                    lapsed.then(|| (task.clone(), "lapsed"))
                }
            })
            .collect();
        due.iter().for_each(|(task, how)| self.end(state, task, how));
    }

    /// The tasks that run here.
    pub fn running(&self) -> Vec<String> {
        let mut state = self.state.lock().unwrap();
        self.advance(&mut state);
        if state.dead { Vec::new() } else { state.running.keys().cloned().collect() }
    }

    fn kill(&self) {
        let mut state = self.state.lock().unwrap();
        self.advance(&mut state);
        let lost = state.running.len();
        state.dead = true;
        state.running.clear();
        self.record.log(format!("minion {} ({}): leaves, {lost} tasks end with it", self.id, self.service));
    }

    fn conflict(&self, reason: &str) -> Option<(u16, Vec<u8>)> {
        Some((409, map! { "clockMs": self.clock_ms(), "reason": reason }.text().into_bytes()))
    }

    fn handle(&self, request: Request) -> Option<(u16, Vec<u8>)> {
        if self.state.lock().unwrap().dead {
            return None;
        }
        if request.header("x-celerythread-target-instance").is_some_and(|id| id != self.id) {
            return Some((421, b"{}".to_vec()));
        }
        let body = Json::parse(&request.body)?;
        let mut state = self.state.lock().unwrap();
        self.advance(&mut state);
        if body.get("fencingToken").u64() < state.token {
            return self.conflict("fence");
        }
        state.token = body.get("fencingToken").u64();
        let deadline = body.get("deadlineMs").u64().min(self.clock_ms() + self.hold_max_ms);
        let (task, run) = (body.get("task").str().to_owned(), body.get("run").u64());
        match &*request.path {
            "/-/run-start" => {
                if body.get("deadlineMs").u64() <= self.clock_ms() {
                    return self.conflict("late");
                }
                state.lease_ms = state.lease_ms.max(deadline);
                if state.running.get(&task).is_some_and(|known| known.run == run) {
                    return Some((200, map! { "clockMs": self.clock_ms() }.text().into_bytes()));
                }
                if state.closed.get(&task).is_some_and(|closed| run <= *closed) {
                    return self.conflict("old");
                }
                let spec = body.get("spec").str();
                let cpu = spec.split(' ').find_map(|word| word.strip_prefix("cpu=")?.parse().ok());
                let cpu = cpu.unwrap_or(1000);
                if state.running.values().map(|run| run.cpu).sum::<u64>() + cpu > 16_000 {
                    return self.conflict("room");
                }
                let number = |name: &str| -> Option<u64> {
                    spec.split(' ').find_map(|word| word.strip_prefix(name)?.parse().ok())
                };
                // Each run of a task that lasts and fails does so after another time.
                let fails = number("fails=").map(|ms| ms * (75 + (run * 17 + task.len() as u64 + u64::from(task.as_bytes()[task.len() - 1]) * 13) % 51) / 100);
                let takes = number("ms=").or(fails).map(Duration::from_millis);
                let fails = fails.is_some();
                let began = Instant::now();
                state.running.insert(task.clone(), Run { run, began, takes, fails, stopped_at: None, cpu });
                if !self.is_quiet {
                    let token = state.token;
                    self.record.log(format!(
                        "minion {} ({}): starts {task} run {run}, spec {spec:?}, token {token}",
                        self.id, self.service
                    ));
                }
                Some((200, map! { "clockMs": self.clock_ms() }.text().into_bytes()))
            }
            "/-/run-stop" => {
                let closed = state.closed.entry(task.clone()).or_default();
                *closed = (*closed).max(run);
                if let Some(known) = state.running.get_mut(&task).filter(|known| known.run == run) {
                    known.stopped_at.get_or_insert_with(Instant::now);
                }
                Some((200, map! { "clockMs": self.clock_ms() }.text().into_bytes()))
            }
            "/-/pace" => Some((200, map! { "clockMs": self.clock_ms() }.text().into_bytes())),
            "/-/hold" => {
                state.lease_ms = state.lease_ms.max(deadline);
                let cursor = body.get("ackCursor").u64();
                state.finished.retain(|end| end.0 > cursor);
                let until = Instant::now() + Duration::from_millis(body.get("waitMs").u64().min(2000));
                while state.finished.is_empty() && Instant::now() < until && !state.dead {
                    drop(state);
                    std::thread::sleep(Duration::from_millis(4));
                    state = self.state.lock().unwrap();
                    self.advance(&mut state);
                }
                if state.dead {
                    return None;
                }
                let running: Vec<Json> = state
                    .running
                    .iter()
                    .map(|(task, run)| {
                        let percent = run.takes.filter(|_| !run.fails).map_or(100, |takes| {
                            (run.began.elapsed().as_millis() * 100 / takes.as_millis().max(1)).min(99) as u64
                        });
                        Json::List(vec![
                            task.as_str().into(), run.run.into(), "".into(), percent.into(), run.cpu.into(),
                        ])
                    })
                    .collect();
                let ends = state.finished.iter().take(500);
                let finished: Vec<Json> = ends
                    .map(|(number, task, run, how)| {
                        Json::List(vec![(*number).into(), task.as_str().into(), (*run).into(), (*how).into(), "".into()])
                    })
                    .collect();
                let body = map! { "clockMs": self.clock_ms(), "running": running, "finished": finished };
                Some((200, body.text().into_bytes()))
            }
            _ => Some((404, Vec::new())),
        }
    }

    fn entry(&self, seq: u64) -> Json {
        map! {
            "service": &*self.service, "address": self.address.to_string(), "zone": "zone-a",
            "version": "v1", "slots": 8u64, "state": "ready", "coldLeftMs": 0u64, "seq": seq,
            "capacity": map! { "cpu": 16_000u64, "memMb": 32_768u64, "gpu": 0u64 },
            "labels": Json::List(vec!["a".into(), "rack-1".into()]),
        }
    }
}

struct Machine {
    pool: String,
    state: &'static str,
    minion: String,
    lives: u64,
}

/// An upkeep that was begun.
#[derive(Clone, Debug)]
pub struct Upkeep {
    pub machine: String,
    pub wave: u64,
    pub at: f64,
    /// Machines of the wave that were down for theirs when it began, without this one.
    pub down: usize,
}

/// The pool whose machines are off.
pub const SPARE: &str = "spare";

/// The platform.
pub struct Site {
    pub store: Arc<Store>,
    pub record: Record,
    pub ip: IpAddr,
    store_address: SocketAddr,
    machines_address: SocketAddr,
    minions: Mutex<BTreeMap<String, Arc<Minion>>>,
    machines: Mutex<BTreeMap<String, Machine>>,
    waves: Mutex<BTreeMap<u64, Vec<String>>>,
    pub upkeeps: Mutex<Vec<Upkeep>>,
    /// How long the platform takes to carry out and to answer an order for a machine.
    pub order_delay: Mutex<Duration>,
    /// Holder and token of the last order for a machine.
    pub last_order: Mutex<Option<(String, u64, String)>>,
    is_quiet: bool,
    upkeep_time: Duration,
}

impl Site {
    pub fn new(record: Record, is_quiet: bool) -> Arc<Self> {
        // An address of its own on the loopback network, as the metrics' port is a fixed one.
        let number = std::process::id();
        let ip: IpAddr = format!("127.{}.{}.1", 1 + number / 250 % 250, 1 + number % 250).parse().unwrap();
        let bind = || TcpListener::bind((ip, 0)).expect("a free port");
        let (store_socket, machines_socket) = (bind(), bind());
        let store = Arc::new(Store::new(65_536, record.clone()));
        let site = Arc::new(Self {
            store: store.clone(),
            record,
            ip,
            store_address: store_socket.local_addr().unwrap(),
            machines_address: machines_socket.local_addr().unwrap(),
            minions: Mutex::default(),
            machines: Mutex::default(),
            waves: Mutex::default(),
            upkeeps: Mutex::default(),
            order_delay: Mutex::new(Duration::from_millis(5)),
            last_order: Mutex::default(),
            is_quiet,
            upkeep_time: Duration::from_secs(2),
        });
        http::serve(store_socket, Arc::new(move |request| store.handle(request)));
        let platform = site.clone();
        http::serve(machines_socket, Arc::new(move |request| platform.machine_call(request)));
        let platform = site.clone();
        std::thread::spawn(move || {
            for seq in 2.. {
                std::thread::sleep(Duration::from_millis(1500));
                let minions: Vec<Arc<Minion>> = platform.minions.lock().unwrap().values().cloned().collect();
                minions.iter().for_each(|one| platform.store.put("servers", &one.id, &one.entry(seq)));
            }
        });
        site
    }

    /// Adds a machine, with a minion unless the pool is the spare one.
    pub fn add_machine(&self, name: &str, pool: &str) {
        let machine = Machine { pool: pool.into(), state: "up", minion: String::new(), lives: 0 };
        self.machines.lock().unwrap().insert(name.into(), machine);
        self.start_minion(name);
        self.record.log(format!("platform: machine {name} is added to {pool}"));
    }

    fn start_minion(&self, name: &str) {
        {
            let mut machines = self.machines.lock().unwrap();
            let machine = machines.get_mut(name).expect("a known machine");
            if machine.pool == SPARE {
                machine.state = "up";
                return;
            }
        }
        let socket = TcpListener::bind((self.ip, 0)).expect("a free port");
        let minion = {
            let mut machines = self.machines.lock().unwrap();
            let machine = machines.get_mut(name).expect("a known machine");
            machine.lives += 1;
            machine.minion = format!("{name}-life{}", machine.lives);
            machine.state = "up";
            Arc::new(Minion {
                id: machine.minion.clone(),
                service: machine.pool.clone(),
                machine: name.into(),
                address: socket.local_addr().unwrap(),
                began: Instant::now(),
                hold_max_ms: 6000,
                state: Mutex::default(),
                record: self.record.clone(),
                is_quiet: self.is_quiet,
            })
        };
        let handler = minion.clone();
        http::serve(socket, Arc::new(move |request| handler.handle(request)));
        self.store.put("servers", &minion.id, &minion.entry(1));
        self.minions.lock().unwrap().insert(minion.id.clone(), minion);
    }

    pub fn minions(&self) -> Vec<Arc<Minion>> {
        self.minions.lock().unwrap().values().cloned().collect()
    }

    fn machine_call(self: &Arc<Self>, request: Request) -> Option<(u16, Vec<u8>)> {
        if request.path == "/-/machines" {
            let machines = self.machines.lock().unwrap();
            let rows = machines.iter().map(|(name, machine)| {
                map! {
                    "machine": &**name, "pool": &*machine.pool, "state": machine.state, "zone": "zone-a",
                    "labels": Json::List(vec!["a".into(), "rack-1".into()]), "id": &*machine.minion,
                    "capacity": map! { "cpu": 16_000u64, "memMb": 32_768u64, "gpu": 0u64 },
                }
            });
            let rows: Vec<Json> = rows.collect();
            if !self.is_quiet {
                self.record.log(format!("platform: the list of {} machines is read", rows.len()));
            }
            return Some((200, map! { "machines": rows }.text().into_bytes()));
        }
        let body = Json::parse(&request.body)?;
        let holder = request.header("x-celerythread-lease-holder").unwrap_or_default().to_owned();
        let token = request.header("x-celerythread-fencing-token").and_then(|text| text.parse().ok());
        let (name, wave) = (body.get("machine").str().to_owned(), body.get("wave").u64());
        self.record.log(format!("platform: {} {} by {holder}", request.path, body.text()));
        *self.last_order.lock().unwrap() = Some((holder, token.unwrap_or(0), name.clone()));
        let delay = *self.order_delay.lock().unwrap();
        std::thread::sleep(delay);
        let refuse = |reason: &str| Some((409, map! { "reason": reason }.text().into_bytes()));
        if request.path == "/-/machine-move" {
            return self.change_pool(&name, body.get("pool").str());
        }
        if request.path != "/-/machine-upkeep" {
            return Some((404, b"{}".to_vec()));
        }
        let waves = self.waves.lock().unwrap().clone();
        if !waves.get(&wave).is_some_and(|names| names.contains(&name)) {
            return refuse("wave");
        }
        let mut upkeeps = self.upkeeps.lock().unwrap();
        if upkeeps.iter().any(|known| known.machine == name && known.wave == wave) {
            return Some((200, b"{}".to_vec()));
        }
        let mut machines = self.machines.lock().unwrap();
        let is_down = |one: &&String| machines.get(*one).is_some_and(|one| one.state == "upkeep");
        let down = waves[&wave].iter().filter(is_down).count();
        let Some(machine) = machines.get_mut(&name) else { return Some((400, b"{}".to_vec())) };
        if machine.state != "up" {
            return refuse("busy");
        }
        machine.state = "upkeep";
        let minion = std::mem::take(&mut machine.minion);
        drop(machines);
        self.record.log(format!("platform: upkeep of {name} in wave {wave} begins, {down} others are down"));
        upkeeps.push(Upkeep { machine: name.clone(), wave, at: self.record.now(), down });
        drop(upkeeps);
        if let Some(minion) = self.minions.lock().unwrap().remove(&minion) {
            minion.kill();
            self.store.remove("servers", &minion.id);
        }
        let site = self.clone();
        std::thread::spawn(move || {
            std::thread::sleep(site.upkeep_time);
            site.start_minion(&name);
            site.record.log(format!("platform: {name} is back from its upkeep"));
        });
        Some((200, b"{}".to_vec()))
    }

    fn change_pool(self: &Arc<Self>, name: &str, pool: &str) -> Option<(u16, Vec<u8>)> {
        let refuse = |reason: &str| Some((409, map! { "reason": reason }.text().into_bytes()));
        let minion = {
            let mut machines = self.machines.lock().unwrap();
            if !machines.values().any(|machine| machine.pool == pool) {
                return Some((400, b"{}".to_vec()));
            }
            let Some(machine) = machines.get_mut(name) else { return Some((400, b"{}".to_vec())) };
            if machine.pool == pool {
                return Some((200, b"{}".to_vec()));
            }
            if machine.state != "up" {
                return refuse("busy");
            }
            machine.state = "moving";
            machine.pool = pool.into();
            std::mem::take(&mut machine.minion)
        };
        self.record.log(format!("platform: {name} moves to {pool}"));
        if let Some(minion) = self.minions.lock().unwrap().remove(&minion) {
            minion.kill();
            self.store.remove("servers", &minion.id);
        }
        let (site, name) = (self.clone(), name.to_owned());
        std::thread::spawn(move || {
            std::thread::sleep(Duration::from_millis(1500));
            site.start_minion(&name);
            site.record.log(format!("platform: {name} has moved"));
        });
        Some((200, b"{}".to_vec()))
    }

    /// The machines of a pool.
    pub fn pool(&self, pool: &str) -> Vec<String> {
        let machines = self.machines.lock().unwrap();
        let members = machines.iter().filter(|(_, machine)| machine.pool == pool);
        members.map(|(name, _)| name.clone()).collect()
    }

    /// The operator orders a wave.
    pub fn order_wave(&self, number: u64, machines: &[&str], max_count: u64, duration_s: u64) {
        self.waves.lock().unwrap().insert(number, machines.iter().map(|name| (*name).into()).collect());
        let names: Vec<Json> = machines.iter().map(|name| (*name).into()).collect();
        let body = map! { "wave": number, "machines": names, "durationS": duration_s, "maxCount": max_count };
        self.store.put("op", &format!("wave/{number}"), &body);
        self.record.log(format!("operator: writes op/wave/{number} {}", body.text()));
    }

    /// The state that the system shows for a wave.
    pub fn wave_state(&self, number: u64) -> String {
        let status = self.store.get("status", &format!("wave/{number}"));
        status.map(|status| status.get("state").str().to_owned()).unwrap_or_default()
    }

    /// The operator writes a configuration with these queues, each a name, a path and a service.
    pub fn configure(&self, version: u64, queues: &[(&str, &str, &str)]) {
        let mut services: Vec<&str> =
            self.machines.lock().unwrap().values().map(|machine| &*machine.pool.clone().leak()).collect();
        services.sort_unstable();
        services.dedup();
        let queue = |(name, path, service): &(&str, &str, &str)| {
            map! {
                "name": *name, "host": "jobs.example", "pathPrefix": *path, "service": *service,
                "kind": "non_idempotent", "priority": 0u64, "attempts": 3u64, "stretch": Json::Num(1.6),
                "targetLatencyMs": 600u64, "timeoutMs": 3000u64,
            }
        };
        let service = |name: &&str| map! { "name": *name, "admissionCheck": true, "spare": *name == SPARE };
        let body = map! {
            "version": version,
            "routes": queues.iter().map(queue).collect::<Vec<_>>(),
            "services": services.iter().map(service).collect::<Vec<_>>(),
            "limits": map! {},
        };
        self.store.put("op", "config", &body);
        self.record.log(format!("operator: writes configuration {version}: {queues:?}"));
    }
}

/// One of the project's daemons.
pub struct Entry {
    pub child: Child,
    pub name: String,
    pub front: SocketAddr,
    pub log: PathBuf,
}

impl Drop for Entry {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn free_port(ip: IpAddr) -> u16 {
    loop {
        let port = TcpListener::bind((ip, 0)).and_then(|socket| socket.local_addr()).unwrap().port();
        if UdpSocket::bind((ip, port)).is_ok() {
            return port;
        }
    }
}

/// Fills in the settings' template as DEPLOY.md tells it, as far as deploy/entry.ini needs it.
fn render(template: &str, fields: &BTreeMap<&str, String>) -> String {
    let mut text = template.to_owned();
    while let Some(from) = text.find("{{#") {
        let name_end = text[from..].find("}}").unwrap() + from;
        let name = text[from + 3..name_end].to_owned();
        let close = format!("{{{{/{name}}}}}");
        let end = text[from..].find(&close).unwrap() + from;
        let inner = text[name_end + 2..end].to_owned();
        let value = fields.get(name.as_str()).filter(|value| *value != "false");
        let filled = value.map(|value| inner.replace("{{.}}", value)).unwrap_or_default();
        text.replace_range(from..end + close.len(), &filled);
    }
    for (name, value) in fields {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    text
}

/// Starts a daemon with the command of deploy/system.toml and the bounds of a small deployment.
pub fn start_entry(site: &Site, root: &Path, temp: &Path, number: u8) -> Entry {
    let name = format!("edge-zone-{number}");
    let mut octets = match site.ip {
        IpAddr::V4(ip) => ip.octets(),
        IpAddr::V6(_) => unreachable!(),
    };
    octets[3] = 10 + number;
    let ip: IpAddr = octets.into();
    let front = SocketAddr::new(ip, free_port(ip));
    let fields: BTreeMap<&str, String> = [
        ("nodeName", name.clone()),
        ("zone", format!("zone-{}", ["a", "b", "c"][number as usize % 3])),
        ("limits.cpuShare", "0.25".into()),
        ("ip", ip.to_string()),
        ("listenAddrs.frontend", front.to_string()),
        ("listenAddrs.readiness", SocketAddr::new(ip, free_port(ip)).to_string()),
        ("internalPorts.0", free_port(ip).to_string()),
        ("platform.address", site.store_address.to_string()),
        ("cloudApi.address", site.machines_address.to_string()),
        ("cloudApi.dutyPerS", "64".into()),
        ("bounds.status_s", "120".into()),
        ("bounds.contactMs", "3000".into()),
        ("bounds.stopTimeoutMs", "900".into()),
        ("bounds.cancel_ms", "3000".into()),
        ("bounds.holdMaxMs", "6000".into()),
        ("bounds.leaseMs", "3000".into()),
        ("bounds.upkeepS", "2".into()),
        ("bounds.graceS", "6".into()),
    ]
    .into();
    let template = std::fs::read_to_string(root.join("deploy/entry.ini")).expect("deploy/entry.ini");
    let settings = temp.join(format!("{name}.ini"));
    std::fs::write(&settings, render(&template, &fields)).expect("settings");
    let log = temp.join(format!("{name}.log"));
    let child = Command::new(root.join("target/release/celerythreadd"))
        .current_dir(root)
        .env("CELERYTHREAD_SETTINGS", &settings)
        .stdout(Stdio::from(File::create(&log).unwrap()))
        .stderr(Stdio::from(File::create(temp.join(format!("{name}.err"))).unwrap()))
        .spawn()
        .expect("target/release/celerythreadd");
    site.record.log(format!("starts {name}, front {front}"));
    Entry { child, name, front, log }
}

impl Entry {
    /// A client's request; the status, 0 without an answer, and the body.
    pub fn call(&self, method: &str, path: &str, body: &str) -> (u16, Json) {
        let headers = [("X-Celerythread-Deadline-Ms", "3000".to_owned())];
        let wait = Duration::from_millis(3500);
        match http::call(self.front, method, "jobs.example", path, &headers, body, wait) {
            Some((status, body)) => (status, Json::parse(&body).unwrap_or(Json::Null)),
            None => (0, Json::Null),
        }
    }

    pub fn signal(&self, signal: &str) {
        let _ = Command::new("kill").args([signal, &self.child.id().to_string()]).status();
    }

    /// Waits until it serves jobs.
    pub fn wait_ready(&self, probe: &str) -> bool {
        let began = Instant::now();
        while began.elapsed() < Duration::from_secs(20) {
            let headers = [];
            let wait = Duration::from_millis(500);
            let ready = http::call(self.front, "GET", "jobs.example", probe, &headers, "", wait);
            if ready.is_some_and(|(status, _)| status == 200) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        false
    }
}
