//! A small deployment: the platform's stand-in, minions behind gates, and entries as processes.

use async_std::task;
use async_trait::async_trait;
use celerythread_http::Fault;
use celerythread_http::client;
use celerythread_http::server::{Handler, Request};
use celerythread_standin::link::{Link, Mode};
use celerythread_standin::serve::Server;
use celerythread_standin::site::worker::Worker;
use celerythread_standin::site::{Site, any_port};
use http_types::{Method, Response};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The only service of the deployment.
pub const SERVICE: &str = "desk";

/// Longest wait for an expected condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// How often an entry is started whose ports were taken.
const MAX_STARTS: usize = 5;

/// Whether the disruption is to be brought about.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// What was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Result<Self, String> {
        let file = File::create(path).map_err(|error| error.to_string())?;
        Ok(Self { began: Instant::now(), file: Arc::new(Mutex::new(file)) })
    }

    pub fn line(&self, text: impl AsRef<str>) {
        self.line_at(Instant::now(), text);
    }

    pub fn line_at(&self, at: Instant, text: impl AsRef<str>) {
        let seconds = at.saturating_duration_since(self.began).as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{seconds:8.3} {}", text.as_ref());
    }
}

/// Which callers of a minion the network lets through, told apart by their fencing tokens.
#[derive(Clone, Copy, Debug, Default)]
pub enum Reach {
    #[default]
    All,
    /// Only entries on the minion's side of a cut: those with at most this token.
    UpTo(u64),
    /// Only entries on the other side: those with a higher token.
    Above(u64),
}

/// The network in front of a minion: calls that are cut off get no answer and don't arrive.
pub struct Gate {
    worker: Arc<Worker>,
    reach: Mutex<Reach>,
    failures: Failures,
}

/// How often each task has failed so far, on all minions.
pub type Failures = Arc<Mutex<BTreeMap<String, u32>>>;

impl Gate {
    pub fn set(&self, reach: Reach) {
        *self.reach.lock().unwrap() = reach;
    }

    fn lets_through(&self, token: u64) -> bool {
        match *self.reach.lock().unwrap() {
            Reach::All => true,
            Reach::UpTo(highest) => token <= highest,
            Reach::Above(highest) => token > highest,
        }
    }

    /// Makes a task whose spec says `flaky=N` fail in its first N runs.  One whose spec says `once`
    /// fails in its first run and lasts from then on.
    fn plan_failure(&self, mut request: Request, mut body: Value) -> Request {
        let spec = body["spec"].as_str().unwrap_or_default().to_owned();
        if spec.contains("once") {
            let task = body["task"].as_str().unwrap_or_default().to_owned();
            let mut counts = self.failures.lock().unwrap();
            let count = counts.entry(task).or_default();
            *count += 1;
            body["spec"] = if *count == 1 { json!(format!("{spec} fail")) } else { json!("lasts") };
            request.body = body.to_string().into_bytes();
            return request;
        }
        let failures = spec.split_whitespace().find_map(|word| word.strip_prefix("flaky="));
        let Some(failures) = failures.and_then(|text| text.parse::<u32>().ok()) else {
            return request;
        };
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let mut counts = self.failures.lock().unwrap();
        let count = counts.entry(task).or_default();
        if *count < failures {
            *count += 1;
            body["spec"] = json!(format!("{spec} fail"));
            request.body = body.to_string().into_bytes();
        }
        request
    }
}

#[async_trait]
impl Handler for Gate {
    async fn handle(&self, request: Request) -> Response {
        let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let token = body["fencingToken"].as_u64().unwrap_or(0);
        let arrives = self.lets_through(token);
        if !arrives {
            // The entry opens a connection for each call to a minion that doesn't answer.  The
            // opening packet is lost, and it gives up before the packet is sent again.
            return std::future::pending().await;
        }
        let is_start = request.path() == "/-/run-start";
        let request = if is_start { self.plan_failure(request, body) } else { request };
        self.worker.handle(request).await
    }

    fn error_response(&self, fault: &Fault) -> Response {
        self.worker.error_response(fault)
    }
}

/// A minion, its gate and where it stands.
pub struct Minion {
    pub id: String,
    pub zone: String,
    pub worker: Arc<Worker>,
    pub gate: Arc<Gate>,
    entry: Vec<u8>,
    _server: Server,
}

/// An entry as a process, killed on drop.
pub struct Entry {
    pub name: String,
    pub zone: String,
    pub child: Child,
    pub callers: SocketAddr,
    /// Its path to the platform's store.
    pub store: Link,
    pub lines: Arc<Mutex<Vec<(Instant, String)>>>,
}

impl Drop for Entry {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Entry {
    pub fn signal(&self, signal: &str) {
        let _ = Command::new("kill").args([signal, &self.child.id().to_string()]).status();
    }

    /// The highest token of a log line `event` about the service's cell.
    pub fn token_of(&self, event: &str) -> Option<u64> {
        let lines = self.lines.lock().unwrap();
        let lines = lines.iter().filter(|(_, line)| line.contains(&format!("\"{event}\"")));
        lines.filter_map(|(_, line)| cell_token(line)).max()
    }
}

fn cell_token(line: &str) -> Option<u64> {
    let line: Value = serde_json::from_str(line).ok()?;
    let fields = &line["kvs"];
    let cell = fields["cell"].as_str().or_else(|| fields["service"].as_str())?;
    if cell != SERVICE {
        return None;
    }
    fields["token"].as_str()?.parse().ok()
}

pub struct Deployment {
    pub site: Site,
    pub minions: Vec<Minion>,
    pub entries: Vec<Entry>,
    pub record: Record,
    folder: PathBuf,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.entries.clear();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Deployment {
    /// Starts `per_zone` entries and minions in each zone.
    pub async fn start(
        record: Record,
        zones: &[&str],
        entries_per_zone: usize,
        minions_per_zone: usize,
    ) -> Result<Self, String> {
        let mut site = Site::start(0).await.map_err(|error| error.to_string())?;
        configure(&site, 2, &[("queue", "/q/", 3)]);
        let failures = Failures::default();
        let mut minions = Vec::new();
        for (number, zone) in zones.iter().enumerate() {
            for index in 0..minions_per_zone {
                let id = format!("minion-{}-{index}", number + 1);
                let machine = format!("machine-{}-{index}", number + 1);
                site.add_worker(&id, &machine).await.map_err(|error| error.to_string())?;
                minions.push(gate(&site, &id, zone, number + 1, &failures).await?);
            }
        }
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let mut deployment = Self { site, minions, entries: Vec::new(), record, folder };
        for zone in zones {
            for index in 0..entries_per_zone {
                let entry = deployment.start_entry(&format!("edge-{zone}-{index}"), zone).await?;
                deployment.entries.push(entry);
            }
        }
        for index in 0..deployment.entries.len() {
            let callers = deployment.entries[index].callers;
            wait("an entry is ready", async || {
                let (status, _) = call(callers, Method::Get, "/-/ready", None).await?;
                (status == 200).then_some(())
            })
            .await?;
        }
        wait("the cell has an owner", async || deployment.owner()).await?;
        Ok(deployment)
    }

    /// Writes a configuration with these queues: name, path and attempts.
    pub fn configure(&self, version: u64, queues: &[(&str, &str, u32)]) {
        configure(&self.site, version, queues);
        self.record.line(format!("configuration {version} is acknowledged: queues {queues:?}"));
    }

    /// Starts an entry.  A port that was free may be taken when the entry binds it, and then it is
    /// started again with others.
    async fn start_entry(&self, name: &str, zone: &str) -> Result<Entry, String> {
        for _ in 0..MAX_STARTS {
            let mut entry = self.spawn_entry(name, zone).await?;
            let listens = wait("the entry listens or has ended", async || {
                let lines = entry.lines.lock().unwrap();
                let listens = lines.iter().any(|(_, line)| line.contains("\"listening\""));
                let ended = entry.child.try_wait().is_ok_and(|status| status.is_some());
                (listens || ended).then_some(listens && !ended)
            })
            .await?;
            if listens {
                return Ok(entry);
            }
        }
        Err(format!("{name} doesn't start"))
    }

    async fn spawn_entry(&self, name: &str, zone: &str) -> Result<Entry, String> {
        let store = Link::tcp(any_port(), self.site.store_address())
            .await
            .map_err(|error| error.to_string())?;
        let (callers, ready, metrics) = (free_tcp()?, free_tcp()?, free_tcp()?);
        let peer = free_udp()?;
        let (store_address, machines) = (store.address(), self.site.machine_address());
        // The settings that deploy/entry.ini makes from those of a small deployment.
        let settings = format!(
            "[instance]\nname = {name}\nzone = {zone}\ncores = 0.25\n\n\
             [caller]\nlisten = {callers}\nready_listen = {ready}\n\n\
             [peer]\nlisten = {peer}\n\n[metrics]\nlisten = {metrics}\n\n\
             [platform]\nstore = {store_address}\nmachines = {machines}\nretention = 120s\n\
             contact = 3000ms\n\n[run]\nstop_timeout = 900ms\nlease_limit = 6000ms\n\n\
             [maintenance]\nlease = 3000ms\nduration_s = 2\norder_alone = 10s\n\
             orders_per_s = 64.0\nshare_by_urgency = true\nexpect_equal_peaks = true\n\n\
             [stop]\nbound = 6s\n"
        );
        let path = self.folder.join(format!("{name}.ini"));
        fs::write(&path, settings).map_err(|error| error.to_string())?;
        let mut child = Command::new("target/release/celerythreadd")
            .env("CELERYTHREAD_SETTINGS", &path)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .map_err(|error| format!("celerythreadd: {error}"))?;
        let lines: Arc<Mutex<Vec<(Instant, String)>>> = Arc::default();
        let (sink, output) = (lines.clone(), child.stdout.take().expect("it is piped"));
        std::thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                sink.lock().unwrap().push((Instant::now(), line));
            }
        });
        let (name, zone) = (name.to_owned(), zone.to_owned());
        Ok(Entry { name, zone, child, callers, store, lines })
    }

    /// The entry that took the service's cell last, with its token.
    pub fn owner(&self) -> Option<(usize, u64)> {
        let entries = self.entries.iter().enumerate();
        let held =
            entries.filter_map(|(index, entry)| Some((entry.token_of("cell_loaded")?, index)));
        held.max().map(|(token, index)| (index, token))
    }

    /// The row of the entry that holds the service's cell.
    pub fn holder_row(&self) -> Option<Vec<u8>> {
        let cell = format!("cell/{SERVICE}");
        let value = self.site.store.value("control", &cell, &cell)?;
        // The row begins with the holder's id: its length and its bytes.
        let (length, rest) = value.split_first()?;
        let holder = String::from_utf8(rest.get(..usize::from(*length))?.to_vec()).ok()?;
        let row = format!("entry/{holder}");
        self.site.store.value("control", &row, &row)
    }

    /// Cuts a zone off: its entries lose the store, and minions hear only entries on their own side
    /// of the cut.  `token` is that of the owner inside the zone.
    pub fn cut_zone(&self, zone: &str, token: u64) {
        for entry in self.entries.iter().filter(|entry| entry.zone == zone) {
            entry.store.set(Mode::Silent);
        }
        for minion in &self.minions {
            let inside = minion.zone == zone;
            minion.gate.set(if inside { Reach::UpTo(token) } else { Reach::Above(token) });
        }
        self.record.line(format!("zone {zone} is cut off"));
    }

    /// The platform drops the entries of a cut zone's minions after three silent heartbeats.
    pub fn expire_entries(&self, zone: &str) {
        for minion in self.minions.iter().filter(|minion| minion.zone == zone) {
            self.site.store.delete_row("servers", "", &minion.id);
        }
        self.record.line(format!("the entries of the minions in {zone} have expired"));
    }

    pub fn heal(&self, zone: &str) {
        for entry in &self.entries {
            entry.store.set(Mode::Pass);
            entry.store.forget_flows();
        }
        for minion in &self.minions {
            minion.gate.set(Reach::All);
        }
        for minion in self.minions.iter().filter(|minion| minion.zone == zone) {
            self.site.store.put("servers", "", &minion.id, &minion.entry);
        }
        self.record.line(format!("zone {zone} is back"));
    }

    /// Keeps the minions' clocks of leases running: a run ends when its lease does, not when the
    /// next call arrives.
    pub fn watch_minions(&self) {
        for minion in &self.minions {
            let worker = minion.worker.clone();
            task::spawn(async move {
                loop {
                    worker.records();
                    task::sleep(Duration::from_millis(5)).await;
                }
            });
        }
    }

    /// Writes all runs of minions into the record.
    pub fn record_runs(&self) {
        let mut runs: Vec<_> =
            self.minions.iter().flat_map(|minion| minion.worker.records()).collect();
        runs.sort_by_key(|run| run.began);
        for run in runs {
            let end = run.end_reason.unwrap_or("runs");
            let end_s = run.ended.map_or(String::from("-"), |at| {
                format!("{:.3}", at.saturating_duration_since(self.record.began).as_secs_f64())
            });
            let (task, number, worker) = (run.task, run.run, run.worker);
            self.record.line_at(
                run.began,
                format!("run {task} number {number} on {worker} until {end_s} {end}"),
            );
        }
    }

    /// Writes the log lines of entries about who owns the cell into the record.
    pub fn record_owners(&self) {
        let events = [
            "minion_quarantined",
            "cell_taken",
            "cell_loaded",
            "cell_lost",
            "cell_handed_over",
            "history_gone",
        ];
        for entry in &self.entries {
            for (at, line) in entry.lines.lock().unwrap().iter() {
                let is_event = events.iter().any(|event| line.contains(&format!("\"{event}\"")));
                if is_event {
                    self.record.line_at(*at, format!("log of {}: {line}", entry.name));
                }
            }
        }
    }

    pub async fn submit(&self, entry: usize, id: &str, body: &Value) -> u16 {
        let Entry { callers, name, .. } = &self.entries[entry];
        let sent = Instant::now();
        let answer = call(*callers, Method::Post, &format!("/q/{id}"), Some(body)).await;
        let status = answer.map_or(0, |(status, _)| status);
        self.record.line_at(sent, format!("POST {id} to {name}"));
        self.record.line(format!("POST {id} to {name} answered {status}"));
        status
    }

    pub async fn cancel(&self, entry: usize, id: &str) -> u16 {
        let Entry { callers, name, .. } = &self.entries[entry];
        let sent = Instant::now();
        let answer = call(*callers, Method::Delete, &format!("/q/{id}"), None).await;
        let status = answer.map_or(0, |(status, _)| status);
        self.record.line_at(sent, format!("DELETE {id} to {name}"));
        self.record.line(format!("DELETE {id} to {name} answered {status}"));
        status
    }

    pub async fn state(&self, entry: usize, id: &str) -> String {
        let Entry { callers, name, .. } = &self.entries[entry];
        let answer = call(*callers, Method::Get, &format!("/q/{id}"), None).await;
        let text = match answer {
            Some((200, body)) => {
                let body: Value = serde_json::from_slice(&body).unwrap_or_default();
                body["state"].as_str().unwrap_or("-").to_owned()
            }
            Some((status, _)) => status.to_string(),
            None => "no answer".into(),
        };
        self.record.line(format!("GET {id} from {name}: {text}"));
        text
    }
}

/// Writes a configuration with these queues: name, path and attempts.
fn configure(site: &Site, version: u64, queues: &[(&str, &str, u32)]) {
    let routes = queues.iter().map(|(name, path, attempts)| {
        json!({
            "name": name, "host": "jobs.example", "pathPrefix": path, "service": SERVICE,
            "kind": "non_idempotent", "priority": 0, "attempts": attempts, "stretch": 1.6,
            "targetLatencyMs": 600, "timeoutMs": 3000,
        })
    });
    let config = json!({
        "version": version,
        "routes": routes.collect::<Vec<Value>>(),
        "services": [{ "name": SERVICE, "admissionCheck": true, "spare": false }],
    });
    site.store.put("op", "", "config", config.to_string().as_bytes());
}

async fn gate(
    site: &Site,
    id: &str,
    zone: &str,
    rack: usize,
    failures: &Failures,
) -> Result<Minion, String> {
    let worker = site.workers[id].worker.clone();
    let gate = Arc::new(Gate {
        worker: worker.clone(),
        reach: Mutex::default(),
        failures: failures.clone(),
    });
    let server =
        Server::start(any_port(), gate.clone()).await.map_err(|error| error.to_string())?;
    let entry = worker.entry(SERVICE, server.address(), "ready");
    let mut entry: Value = serde_json::from_slice(&entry).map_err(|error| error.to_string())?;
    entry["zone"] = json!(zone);
    entry["labels"] = json!(["a", format!("rack-{rack}")]);
    let entry = entry.to_string().into_bytes();
    site.store.put("servers", "", id, &entry);
    Ok(Minion { id: id.into(), zone: zone.into(), worker, gate, entry, _server: server })
}

fn free_tcp() -> Result<SocketAddr, String> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
    listener.local_addr().map_err(|error| error.to_string())
}

fn free_udp() -> Result<SocketAddr, String> {
    let socket = UdpSocket::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
    socket.local_addr().map_err(|error| error.to_string())
}

/// A caller's request; none without an answer.
pub async fn call(
    entry: SocketAddr,
    method: Method,
    path: &str,
    body: Option<&Value>,
) -> Option<(u16, Vec<u8>)> {
    let mut request = client::request(method, entry, path).ok()?;
    request.insert_header("host", "jobs.example");
    request.insert_header("x-celerythread-deadline-ms", "3000");
    if let Some(body) = body {
        request.set_body(body.to_string());
    }
    let answer = client::fetch(entry, request, Duration::from_secs(3), 1 << 20).await.ok()?;
    Some((answer.0.status().into(), answer.1))
}

/// Polls until a value is returned.
pub async fn wait<T>(what: &str, mut poll: impl AsyncFnMut() -> Option<T>) -> Result<T, String> {
    let began = Instant::now();
    loop {
        if let Some(found) = poll().await {
            return Ok(found);
        }
        if began.elapsed() >= WAIT_TIMEOUT {
            return Err(format!("not within {WAIT_TIMEOUT:?}: {what}"));
        }
        task::sleep(Duration::from_millis(5)).await;
    }
}
