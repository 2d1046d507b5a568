//! A stand-in for the users' platform that implements its published protocol.
//!
//! [`store`] is the shared table with transactions, range reads and a change feed; [`worker`] a
//! minion that runs tasks under leases and records its runs; [`machine`] the interface to
//! machines.  [`Site`] combines them, and [`check`] checks the guarantees over the history of all
//! workers.  Faults can be injected at any time.

pub mod check;
pub mod machine;
pub(crate) mod spec;
pub mod store;
pub mod worker;

use crate::serve::Server;
use async_trait::async_trait;
use celerythread_http::Fault;
use celerythread_http::server::{Handler, Request};
use http_types::Response;
use machine::Machines;
use parking_lot::Mutex;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use store::Store;
use worker::Worker;

/// Maximum time to retry binding an address that is still in use.
const REBIND_TIMEOUT: Duration = Duration::from_secs(2);

/// Interval between attempts to bind an address that is still in use.
const REBIND_INTERVAL: Duration = Duration::from_millis(10);

/// A worker and its server.
pub struct RunningWorker {
    /// The worker.
    pub worker: Arc<Worker>,
    server: Server,
}

impl RunningWorker {
    /// The address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }
}

/// The platform of a deployment.
pub struct Site {
    /// The store.
    pub store: Arc<Store>,
    /// The interface to machines.
    pub machines: Arc<Machines>,
    /// Workers by id.
    pub workers: BTreeMap<String, RunningWorker>,
    store_server: Server,
    machine_server: Server,
    proxy_servers: Vec<Server>,
}

/// The service that workers serve unless they are added to another one.
pub const DEFAULT_SERVICE: &str = "desk";

/// Another service, configured by [`Site::configure_workspaces`].
pub const SECOND_SERVICE: &str = "hall";

/// A workspace as operators configure it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Workspace<'a> {
    /// Name of the workspace.
    pub name: &'a str,
    /// API keys of its callers.
    pub keys: &'a [&'a str],
    /// Maximum processor capacity of its running tasks in millicores; 0 for no limit.
    pub cpu: u64,
}

impl Workspace<'_> {
    fn body(&self) -> Value {
        json!({
            "name": self.name, "apiKeys": self.keys, "priority": 1, "weight": 1,
            "maxCount": { "cpu": self.cpu, "memMb": 0, "gpu": 0 },
        })
    }
}

/// A proxy of the store that answers 503 while it is set unavailable, or to some of the calls.
pub struct StoreProxy {
    store: Arc<Store>,
    is_unavailable: AtomicBool,
    /// The table whose reads are refused, other than its feed.
    unreadable_table: Mutex<Option<String>>,
}

impl StoreProxy {
    /// Sets whether calls are refused.
    pub fn set_unavailable(&self, unavailable: bool) {
        self.is_unavailable.store(unavailable, Ordering::SeqCst);
    }

    /// Refuses the reads of a table, other than its feed, until this is called with another table or
    /// `None`.
    pub fn refuse_reads(&self, table: Option<&str>) {
        *self.unreadable_table.lock() = table.map(Into::into);
    }

    fn is_refused(&self, request: &Request) -> bool {
        let is_read = matches!(request.path(), "/-/rows-get" | "/-/rows-parts");
        let unreadable = self.unreadable_table.lock();
        let is_unreadable =
            is_read && unreadable.is_some() && request.query("table") == *unreadable;
        is_unreadable || self.is_unavailable.load(Ordering::SeqCst)
    }
}

#[async_trait]
impl Handler for StoreProxy {
    async fn handle(&self, request: Request) -> Response {
        if self.is_refused(&request) {
            return store::answer(503, json!({}));
        }
        self.store.handle(request).await
    }

    fn error_response(&self, fault: &Fault) -> Response {
        self.store.error_response(fault)
    }
}

/// The loopback address with a port chosen by the operating system.
pub fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// The body of a job of one step whose tasks behave by `spec`, see [`spec`].
pub fn job(tasks: u32, spec: &str) -> Value {
    let mut step = json!({ "count": tasks, "cpu": 1000, "memMb": 64, "estimateMs": 200 });
    if spec.contains("lasts") {
        step["longRunning"] = json!(true);
        step["mayMiss"] = json!(1);
        step["antiAffinity"] = json!(1);
    }
    json!({ "spec": spec, "steps": [step] })
}

impl Site {
    /// Starts a platform with one queue and one service with `workers` workers.
    ///
    /// # Errors
    /// When no port can be bound.
    pub async fn start(workers: usize) -> io::Result<Self> {
        let store = Arc::new(Store::default());
        let store_server = Server::start(any_port(), store.clone()).await?;
        let machines = Arc::new(Machines::new(store.clone()));
        let machine_server = Server::start(any_port(), machines.clone()).await?;
        let mut site = Self {
            store,
            machines,
            workers: BTreeMap::new(),
            store_server,
            machine_server,
            proxy_servers: Vec::new(),
        };
        site.configure(1);
        for number in 0..workers {
            site.add_worker(&format!("i-{number}"), &format!("m-{number}")).await?;
        }
        Ok(site)
    }

    /// Address of the store.
    pub fn store_address(&self) -> SocketAddr {
        self.store_server.address()
    }

    /// Address of the interface to machines.
    pub fn machine_address(&self) -> SocketAddr {
        self.machine_server.address()
    }

    /// Writes a configuration with one queue at `jobs.example/q/`.
    pub fn configure(&self, version: u64) {
        self.configure_attempts(version, Some(2));
    }

    /// Writes a configuration with one queue at `jobs.example/q/` that allows these attempts, or
    /// without the queue.
    pub fn configure_attempts(&self, version: u64, attempts: Option<u32>) {
        let queue = attempts.map(|attempts| {
            json!({
                "name": "queue", "host": "jobs.example", "pathPrefix": "/q/", "service": "desk",
                "kind": "non_idempotent", "priority": 0, "attempts": attempts, "stretch": 1.6,
                "targetLatencyMs": 600, "timeoutMs": 3000,
            })
        });
        let queues: Vec<Value> = queue.into_iter().collect();
        let service = json!({ "name": "desk", "admissionCheck": true, "spare": false });
        let body = json!({ "version": version, "routes": queues, "services": [service] });
        self.store.put("op", "", "config", body.to_string().as_bytes());
    }

    /// Writes a configuration with the queue at `jobs.example/q/` on the second service.
    pub fn move_queue(&self, version: u64) {
        self.send_queue_to(SECOND_SERVICE, version);
    }

    /// Writes a configuration with the queue at `jobs.example/q/` on a service.
    pub fn send_queue_to(&self, service: &str, version: u64) {
        let queue = json!({
            "name": "queue", "host": "jobs.example", "pathPrefix": "/q/", "service": service,
            "kind": "non_idempotent", "priority": 0, "attempts": 2, "stretch": 1.6,
            "targetLatencyMs": 600, "timeoutMs": 3000,
        });
        let services = [DEFAULT_SERVICE, SECOND_SERVICE]
            .map(|name| json!({ "name": name, "admissionCheck": true, "spare": false }));
        let body = json!({ "version": version, "routes": [queue], "services": services });
        self.store.put("op", "", "config", body.to_string().as_bytes());
    }

    /// Writes a configuration with workspaces and three queues at `jobs.example`: `/q/` for `desk`
    /// and `/h/` for `hall`, which need an API key, and a public one at `/p/` for `desk`.
    pub fn configure_workspaces(&self, version: u64, workspaces: &[Workspace]) {
        let queue = |name: &str, path: &str, service: &str, public: bool| {
            json!({
                "name": name, "host": "jobs.example", "pathPrefix": path, "service": service,
                "kind": "non_idempotent", "priority": 0, "attempts": 2, "stretch": 1.6,
                "targetLatencyMs": 600, "timeoutMs": 3000, "public": public,
            })
        };
        let queues = [
            queue("queue", "/q/", DEFAULT_SERVICE, false),
            queue("hall-queue", "/h/", SECOND_SERVICE, false),
            queue("public-queue", "/p/", DEFAULT_SERVICE, true),
        ];
        let services = [DEFAULT_SERVICE, SECOND_SERVICE]
            .map(|name| json!({ "name": name, "admissionCheck": true, "spare": false }));
        let workspaces: Vec<Value> = workspaces.iter().map(Workspace::body).collect();
        let body = json!({
            "version": version, "routes": queues, "services": services, "tenants": workspaces,
        });
        self.store.put("op", "", "config", body.to_string().as_bytes());
    }

    /// Adds a proxy of the store, which can be made unavailable while others stay available.
    ///
    /// # Errors
    /// When no port can be bound.
    pub async fn add_store_proxy(&mut self) -> io::Result<(Arc<StoreProxy>, SocketAddr)> {
        let proxy = Arc::new(StoreProxy {
            store: self.store.clone(),
            is_unavailable: AtomicBool::new(false),
            unreadable_table: Mutex::default(),
        });
        let server = Server::start(any_port(), proxy.clone()).await?;
        let address = server.address();
        self.proxy_servers.push(server);
        Ok((proxy, address))
    }

    /// Requests a wave of upkeep of machines, with at most `max_down` of them down at once.
    pub fn request_upkeep(&self, number: u64, machines: &[&str], max_down: usize) {
        let body =
            json!({ "wave": number, "machines": machines, "durationS": 20, "maxCount": max_down });
        self.store.put("op", "", &format!("wave/{number}"), body.to_string().as_bytes());
        self.machines.set_due(number, machines);
    }

    /// Starts a worker of the default service on a machine and registers it.
    ///
    /// # Errors
    /// When no port can be bound.
    pub async fn add_worker(&mut self, id: &str, machine: &str) -> io::Result<()> {
        self.add_worker_to(DEFAULT_SERVICE, id, machine).await
    }

    /// Same as [`Site::add_worker`], but for a given service.
    ///
    /// # Errors
    /// When no port can be bound.
    pub async fn add_worker_to(
        &mut self,
        service: &str,
        id: &str,
        machine: &str,
    ) -> io::Result<()> {
        self.add_worker_at(any_port(), service, id, machine).await
    }

    /// Same as [`Site::add_worker_to`], but at a given address, which another worker may have had.
    ///
    /// # Errors
    /// When the address can't be bound.
    pub async fn add_worker_at(
        &mut self,
        address: SocketAddr,
        service: &str,
        id: &str,
        machine: &str,
    ) -> io::Result<()> {
        let worker = Arc::new(Worker::new(id));
        let server = rebind(address, worker.clone()).await?;
        self.machines.add(machine, service, worker.clone(), server.address());
        self.store.put("servers", "", id, &worker.entry(service, server.address(), "ready"));
        self.workers.insert(id.into(), RunningWorker { worker, server });
        Ok(())
    }

    /// Rewrites the rows of all workers of the default service, as their heartbeats do.
    pub fn send_heartbeats(&self) {
        self.workers.keys().for_each(|id| self.register(id, "ready"));
    }

    /// Registers a worker as draining.
    pub fn drain(&self, id: &str) {
        self.register(id, "draining");
    }

    /// Writes the row of a worker of the default service with its state.
    pub fn register(&self, id: &str, state: &str) {
        let running = &self.workers[id];
        let entry = running.worker.entry(DEFAULT_SERVICE, running.server.address(), state);
        self.store.put("servers", "", id, &entry);
    }

    /// Stops a worker without notice: its runs end, nothing answers at its address any more, and
    /// its row is deleted.  An unknown id is ignored.
    pub fn crash(&mut self, id: &str) {
        if self.workers.contains_key(id) {
            self.crash_registered(id);
            self.store.delete_row("servers", "", id);
        }
    }

    /// Same as [`Site::crash`], but its row stays, as it does until the heartbeats have been missed.
    pub fn crash_registered(&mut self, id: &str) {
        if let Some(running) = self.workers.remove(id) {
            running.worker.crash();
            self.machines.crash(id);
            self.machines.retain_worker(running.worker);
        }
    }

    /// Same as [`Site::crash_registered`], but its connections are closed at once, as those of a
    /// killed process are.
    pub fn kill_registered(&mut self, id: &str) {
        if let Some(worker) = self.end_process(id) {
            worker.crash();
        }
    }

    /// Takes a worker away as planned: its runs end, its connections are closed, and its row stays.
    /// An unknown id is ignored.
    pub fn take_away(&mut self, id: &str) {
        if let Some(worker) = self.end_process(id) {
            worker.leave();
        }
    }

    fn end_process(&mut self, id: &str) -> Option<Arc<Worker>> {
        let RunningWorker { worker, server } = self.workers.remove(id)?;
        server.kill();
        self.machines.crash(id);
        self.machines.retain_worker(worker.clone());
        Some(worker)
    }

    /// Restarts a worker of the first service with the same id and address.  Its runs end and its
    /// state is discarded.  An unknown id is ignored.
    ///
    /// # Errors
    /// When the worker's address can't be bound again.
    pub async fn restart(&mut self, id: &str) -> io::Result<()> {
        let Some(address) = self.workers.get(id).map(|running| running.server.address()) else {
            return Ok(());
        };
        self.restart_at(id, address).await
    }

    /// Same as [`Site::restart`], but at a new address.
    ///
    /// # Errors
    /// When no port can be bound.
    pub async fn restart_at_new_address(&mut self, id: &str) -> io::Result<()> {
        self.restart_at(id, any_port()).await
    }

    async fn restart_at(&mut self, id: &str, address: SocketAddr) -> io::Result<()> {
        let Some(former) = self.workers.remove(id) else { return Ok(()) };
        former.worker.crash();
        drop(former.server);
        let worker = Arc::new(Worker::new(id));
        let server = rebind(address, worker.clone()).await?;
        self.machines.restart(&worker);
        self.store.put(
            "servers",
            "",
            id,
            &worker.entry(DEFAULT_SERVICE, server.address(), "ready"),
        );
        self.workers.insert(id.into(), RunningWorker { worker, server });
        Ok(())
    }

    /// The runs of all workers, including those that were stopped.
    pub fn history(&self) -> Vec<worker::Record> {
        self.machines.history()
    }
}

/// Starts a server, retrying while the previous listener still holds the address.
async fn rebind(address: SocketAddr, handler: Arc<dyn Handler>) -> io::Result<Server> {
    let began = Instant::now();
    loop {
        match Server::start(address, handler.clone()).await {
            Err(error)
                if error.kind() == io::ErrorKind::AddrInUse && began.elapsed() < REBIND_TIMEOUT =>
            {
                async_std::task::sleep(REBIND_INTERVAL).await;
            }
            result => return result,
        }
    }
}
