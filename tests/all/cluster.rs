//! A small deployment in one process: daemons and minions over an in-memory platform.

use async_std::task;
use celerythread::client;
use celerythread_entry::{Daemon, Settings};
use celerythread_model::code::Code;
use celerythread_model::fleet::{self, Disruption, Minion as MinionRow, Ownership};
use celerythread_model::id;
use celerythread_model::job::Size;
use celerythread_model::table::Space;
use celerythread_model::unit::{Bytes, Millicores, Revision, Span};
use celerythread_platform::Table;
use celerythread_platform::memory::Memory;
use celerythread_platform::message::{Instance, Role};
use celerythread_standin::fault::Fault;
use celerythread_standin::faulty::{FaultInjector, FaultyPlatform};
pub(crate) use celerythread_standin::fleet::{instance, loopback};
use celerythread_standin::history::{self, Asked, Breach};
use celerythread_standin::load::{self, RequestResult, RequestSpec};
use celerythread_standin::minion::{Minion, Run};
use celerythread_wire::authority::{self, Pair};
use celerythread_wire::{Endpoint, Identity, authority::issue, endpoint};
use http_types::Method;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Every fault that can be injected into a call or the process that makes it.
pub(crate) const FAULTS: [Fault; 8] = [
    Fault::FailBefore,
    Fault::LoseAnswer,
    Fault::Hang,
    Fault::Slow,
    Fault::LateEffect,
    Fault::Pause,
    Fault::KillBefore,
    Fault::KillAfter,
];

/// Longest wait for a condition that must become true.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Size and settings of a deployment.
#[derive(Clone, Debug)]
pub(crate) struct Shape {
    /// Entries, spread over the availability zones.
    pub(crate) entries: usize,
    /// Availability zones.
    pub(crate) zones: usize,
    /// Minions of each service, spread over the availability zones.
    pub(crate) minions: Vec<(&'static str, usize)>,
    /// The floor of each service.
    pub(crate) floor: u32,
    /// Slots of each minion.
    pub(crate) slots: u32,
    /// How long a request takes.
    pub(crate) duration: Duration,
    /// Workers, of 4 cores and 8 GiB each.
    pub(crate) workers: usize,
    /// More lines of settings for the section of each service in the configuration.
    pub(crate) service_settings: &'static str,
}

impl Default for Shape {
    fn default() -> Self {
        Self {
            entries: 2,
            zones: 1,
            minions: vec![("alpha", 2), ("beta", 2)],
            floor: 1,
            slots: 4,
            duration: Duration::from_millis(10),
            workers: 0,
            service_settings: "",
        }
    }
}

/// An entry; its daemon is `None` once it was stopped or killed.
pub(crate) struct Entry {
    pub(crate) daemon: Option<Daemon>,
    pub(crate) switch: Arc<FaultInjector>,
    pub(crate) callers: SocketAddr,
    pub(crate) operators: SocketAddr,
    pub(crate) name: String,
}

/// A running deployment.
pub(crate) struct Cluster {
    pub(crate) memory: Memory,
    pub(crate) entries: Vec<Entry>,
    pub(crate) minions: BTreeMap<String, Minion>,
    pub(crate) shape: Shape,
    authority: Pair,
}

fn zone(index: usize, zones: usize) -> String {
    format!("z{}", index % zones)
}

/// Waits until a condition holds; panics with its name if it doesn't within `WAIT_TIMEOUT`.
pub(crate) async fn wait_until(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let started_at = Instant::now();
    while !holds().await {
        assert!(started_at.elapsed() < WAIT_TIMEOUT, "timed out waiting until: {what}");
        task::sleep(Duration::from_millis(10)).await;
    }
}

/// Runs one case of a matrix on a thread of its own.
pub(crate) fn spawn_thread<T: Send + 'static, F: Future<Output = T>>(
    case: impl FnOnce() -> F + Send + 'static,
) -> JoinHandle<T> {
    std::thread::spawn(move || task::block_on(case()))
}

impl Cluster {
    /// Starts a deployment and waits until its configuration is in force and every minion owned.
    pub(crate) async fn start(shape: Shape) -> Self {
        let mut cluster = Self::without_entries(shape).await;
        for index in 0..cluster.shape.entries {
            cluster.start_entry(index).await;
        }
        cluster.configure().await;
        cluster.wait_until_owned().await;
        cluster
    }

    /// Creates the platform and the minions, without entries.
    pub(crate) async fn without_entries(shape: Shape) -> Self {
        let memory = Memory::default();
        let mut minions = BTreeMap::new();
        for (service, count) in &shape.minions {
            for index in 0..*count {
                let name = format!("{service}-{index}");
                let minion = Minion::start(loopback(), shape.duration).await.unwrap();
                let listed = Instance {
                    address: Some(minion.server.address()),
                    pool: Some(service.parse().unwrap()),
                    ..instance(&name, Role::Minion, &zone(index, shape.zones))
                };
                memory.roster.put(listed);
                minions.insert(name, minion);
            }
        }
        for index in 0..shape.workers {
            let size = Size { cpu: Millicores(4000), memory: Bytes::mebi(8192), ..Size::default() };
            let worker = instance(&format!("w{index}"), Role::Worker, &zone(index, shape.zones));
            memory.roster.put(Instance { size, ..worker });
        }
        let authority = authority::create("test").unwrap();
        Self { memory, entries: Vec::new(), minions, shape, authority }
    }

    /// Settings with shorter intervals than in production, in the same proportions.
    pub(crate) fn settings(&self, index: usize) -> Settings {
        Settings {
            name: format!("e{index}"),
            zone: zone(index, self.shape.zones).parse().unwrap(),
            heartbeat_interval: Span::millis(100),
            remote_heartbeat_interval: Span::millis(100),
            takeover_after: Span::millis(1000),
            poll_interval: Span::millis(50),
            lease_term: Span::millis(800),
            stop_notice: Span::millis(50),
            stop_timeout: Span::secs(5),
            ..Settings::default()
        }
    }

    /// Starts one more entry, with a fault switch of its own before the platform.
    pub(crate) async fn start_entry(&mut self, index: usize) {
        let settings = self.settings(index);
        self.start_with(index, settings).await;
    }

    /// Starts one more entry with the given settings.
    pub(crate) async fn start_with(&mut self, index: usize, settings: Settings) {
        let name = settings.name.clone();
        self.memory.roster.put(instance(&name, Role::Entry, &zone(index, self.shape.zones)));
        let pair = issue(&self.authority, &name).unwrap();
        let (a, c, k) = (&self.authority.certificate, &pair.certificate, &pair.key);
        let identity = Identity::from_pem(a.as_bytes(), c.as_bytes(), k.as_bytes()).unwrap();
        let switch = Arc::new(FaultInjector::default());
        let platform = FaultyPlatform::platform(self.memory.platform(), switch.clone());
        let daemon = Daemon::start(settings, platform, &identity).await.unwrap();
        self.entries.push(Entry {
            callers: daemon.caller_address(),
            operators: daemon.operator_address(),
            daemon: Some(daemon),
            switch,
            name,
        });
    }

    /// An endpoint with keys of this deployment, to connect to entries as a peer.
    pub(crate) fn peer_endpoint(&self) -> Endpoint {
        let pair = issue(&self.authority, "test").unwrap();
        let (a, c, k) = (&self.authority.certificate, &pair.certificate, &pair.key);
        let identity = Identity::from_pem(a.as_bytes(), c.as_bytes(), k.as_bytes()).unwrap();
        Endpoint::bind(loopback(), &identity, &endpoint::Settings::default()).unwrap()
    }

    /// The configuration's template and parameters for this shape, with the workspace's name.
    pub(crate) fn config_files(&self, workspace: &str) -> (String, String) {
        let mut template =
            String::from("[workspace]\nname = ${name}\nreboot = 1s\nrollout_weight = 1\n");
        for (service, count) in &self.shape.minions {
            template.push_str(&format!(
                "[service {service}]\nminions = {count}\nfloor = {}\nslots = {}\n{}\n",
                self.shape.floor, self.shape.slots, self.shape.service_settings
            ));
        }
        template.push_str(
            "[team t]\ncpu = 100000\nrequests = 1000\n[team small]\ncpu = 1000\nrequests = 2\n",
        );
        (template, format!("[parameters]\nname = {workspace}\n"))
    }

    /// Applies the first configuration and waits until it is in force at every entry.
    pub(crate) async fn configure(&self) {
        let answer = self.apply_config(0, "first", Revision(0), "first").await;
        assert!(answer.is_ok(), "{answer:?}");
        for index in 0..self.entries.len() {
            wait_until("configuration in force", async || self.config_number(index).await >= 1)
                .await;
        }
    }

    /// Applies a configuration through one entry, with the given change id and base revision.
    pub(crate) async fn apply_config(
        &self,
        index: usize,
        change: &str,
        base: Revision,
        workspace: &str,
    ) -> Result<Value, celerythread::Error> {
        let (template, parameters) = self.config_files(workspace);
        let body = json!({
            "change": change, "author": "test", "base": base,
            "template": template, "parameters": parameters,
        });
        self.post(index, "/v1/config", &body).await
    }

    pub(crate) async fn config_number(&self, index: usize) -> u64 {
        let status = self.get(index, "/v1/status").await;
        status.ok().and_then(|status| status["config"].as_u64()).unwrap_or(0)
    }

    /// Waits until every minion has a row and a live owner.
    pub(crate) async fn wait_until_owned(&self) {
        wait_until("every minion owned", async || {
            let rows = self.minion_rows().await;
            let owned = self.owned_minions().await;
            rows.len() == self.minions.len() && owned == self.minions.len()
        })
        .await;
    }

    async fn owned_minions(&self) -> usize {
        for entry in self.entries.iter().filter(|entry| entry.daemon.is_some()) {
            let minions =
                client::ask_one::<Value>(entry.operators, Method::Get, "/v1/minions", vec![]);
            if let Ok(Value::Array(list)) = minions.await {
                return list.iter().filter(|minion| !minion["owner"].is_null()).count();
            }
        }
        0
    }

    pub(crate) async fn get(&self, index: usize, path: &str) -> Result<Value, celerythread::Error> {
        client::ask_one(self.entries[index].operators, Method::Get, path, Vec::new()).await
    }

    pub(crate) async fn post(
        &self,
        index: usize,
        path: &str,
        body: &Value,
    ) -> Result<Value, celerythread::Error> {
        let body = serde_json::to_vec(body).unwrap();
        client::ask_one(self.entries[index].operators, Method::Post, path, body).await
    }

    /// The minions' rows in the table.
    pub(crate) async fn minion_rows(&self) -> Vec<MinionRow> {
        let keys: Vec<String> = self.minions.keys().map(fleet::key::<MinionRow>).collect();
        let rows = self.memory.table.read(Space::Fleet, &keys).await.unwrap();
        rows.iter().filter_map(|row| row.decode()).collect()
    }

    pub(crate) async fn minion_row(&self, name: &str) -> MinionRow {
        let rows = self.minion_rows().await;
        rows.into_iter().find(|row| row.minion.as_str() == name).unwrap()
    }

    pub(crate) async fn ownership(&self, name: &str) -> Option<Ownership> {
        let keys = [fleet::key::<Ownership>(name)];
        self.memory.table.read(Space::Fleet, &keys).await.unwrap()[0].decode()
    }

    pub(crate) async fn disruption(&self, service: &str) -> Disruption {
        let keys = [fleet::key::<Disruption>(service)];
        let rows = self.memory.table.read(Space::Fleet, &keys).await.unwrap();
        rows[0].decode().unwrap_or_default()
    }

    /// The index of the entry that owns a minion.
    pub(crate) async fn owner_index(&self, name: &str) -> usize {
        let owner = self.ownership(name).await.unwrap().owner.unwrap();
        self.entry_index(&owner)
    }

    pub(crate) fn entry_index(&self, entry: &id::Entry) -> usize {
        let is_owner = |one: &Entry| one.daemon.as_ref().is_some_and(|daemon| daemon.id() == entry);
        self.entries.iter().position(is_owner).unwrap()
    }

    /// The index of the entry that holds the lease of a duty.
    pub(crate) async fn lease_holder(&self, duty: &str) -> usize {
        let keys = [format!("lease/{duty}")];
        let rows = self.memory.table.read(Space::Lease, &keys).await.unwrap();
        let lease: fleet::Lease = rows[0].decode().unwrap();
        self.entry_index(&lease.holder.unwrap())
    }

    /// Ends an entry at once, as a kill does: it releases nothing and answers nothing, and its
    /// instance is removed from the platform's list.
    pub(crate) fn kill(&mut self, index: usize) {
        let entry = &mut self.entries[index];
        drop(entry.daemon.take());
        self.memory.roster.remove(&entry.name);
    }

    /// Kills the entries whose fault plan has killed them; returns whether there were any.
    pub(crate) fn reap(&mut self) -> bool {
        let dead: Vec<usize> = (0..self.entries.len())
            .filter(|i| self.entries[*i].daemon.is_some() && self.entries[*i].switch.is_dead())
            .collect();
        for index in &dead {
            self.kill(*index);
        }
        !dead.is_empty()
    }

    /// Sends a request through one entry.
    pub(crate) async fn send(&self, index: usize, single: &RequestSpec) -> RequestResult {
        load::send(self.entries[index].callers, single).await
    }

    /// All runs recorded by the minions.
    pub(crate) fn runs(&self) -> Vec<Run> {
        self.minions.values().flat_map(|minion| minion.record().runs).collect()
    }

    /// The guarantees to callers that the requests and the minions' runs violate.
    pub(crate) fn breaches(&self, asked: &[Asked]) -> Vec<Breach> {
        history::check(asked, &self.runs())
    }

    pub(crate) async fn stop(self) {
        for entry in self.entries {
            if let Some(daemon) = entry.daemon {
                daemon.stop().await;
            }
        }
    }
}

/// A request to `service`, urgent and idempotent unless the test says otherwise.
pub(crate) fn single(id: &str, service: &str) -> RequestSpec {
    RequestSpec {
        id: id.into(),
        service: service.into(),
        class: celerythread_model::request::Class::Urgent,
        key: None,
        idempotent: true,
        deadline: Span::secs(5),
        body: id.as_bytes().to_vec(),
    }
}

/// The result code of a refusal, or 0 for any other error.
pub(crate) fn refusal_code(error: &celerythread::Error) -> u16 {
    match error {
        celerythread::Error::Refused { number, .. } => *number,
        _ => 0,
    }
}

pub(crate) fn has_code(error: &celerythread::Error, code: Code) -> bool {
    refusal_code(error) == code.number()
}
