//! Starting a daemon, and stopping it gracefully: requests in flight are finished.

use crate::claims::{self, Claims};
use crate::clock::Clock;
use crate::connections::Connections;
use crate::duty::{self, Duty};
use crate::follow;
use crate::front::CallerHandler;
use crate::membership::{self, Addresses};
use crate::metrics::Metrics;
use crate::node::Node;
use crate::operator::Operator;
use crate::owner;
use crate::peers::{self, Peers};
use crate::router::Router;
use crate::settings::Settings;
use crate::table::InstrumentedTable;
use crate::timeline::Timeline;
use async_std::future::timeout;
use async_std::net::TcpListener;
use celerythread_http::connections::Places;
use celerythread_http::listener::{self, KernelBuffers, Server};
use celerythread_http::memory::Budget;
use celerythread_http::server::{Limits, Stop};
use celerythread_model::event::Kind;
use celerythread_model::id;
use celerythread_platform::Platform;
use celerythread_policy::pause;
use celerythread_policy::view::View;
use celerythread_sync::Wake;
use celerythread_wire::endpoint;
use celerythread_wire::{Endpoint, Identity};
use parking_lot::{Mutex, RwLock};
use snafu::{ResultExt, Snafu};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;
use stop_token::StopSource;
use strum::VariantArray;

/// Time between two checks whether a stop is complete.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time between two reads of the clock to detect pauses of this process.
const PAUSE_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// A gap between two reads of the clock that counts as a pause: ten missed in a row.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(2);

/// A gap of the takeover time divided by this counts as a pause in any case.  After a shorter
/// one, live peers are heard again before their minions would be taken over.
const PAUSE_TAKEOVER_DIVISOR: u32 = 2;

/// Most connections of callers at once, and of operators.
const MAX_CONNECTIONS: usize = 4096;

/// Kernel buffers of a connection: bodies and answers may have megabytes.
const KERNEL_BUFFERS: KernelBuffers = KernelBuffers { receive: 64 * 1024, send: 64 * 1024 };

/// Why a daemon could not start.
#[derive(Debug, Snafu)]
pub enum Error {
    /// Listening at an address failed.
    #[snafu(display("cannot listen at {address}: {source}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The peers' socket cannot be opened.
    #[snafu(display("cannot open the peers' socket: {source}"))]
    Peers {
        /// The error of the endpoint.
        source: celerythread_wire::Error,
    },
}

/// A running daemon.
pub struct Daemon {
    node: Arc<Node>,
    addresses: Addresses,
    callers: SocketAddr,
    endpoint: Arc<Endpoint>,
    stop: StopSource,
    closing: StopSource,
    ended: StopSource,
    connections: Places,
}

/// The result of a graceful stop.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Report {
    /// Callers' connections still open at the timeout.
    pub unanswered: usize,
    /// Results of keyed requests that were not committed at the timeout.
    pub unsettled: usize,
    /// Whether all slots were released and the entry's registration removed.
    pub deregistered: bool,
}

impl Daemon {
    /// Starts a daemon.  It serves once it is registered and has a view.
    ///
    /// # Errors
    /// When an address cannot be listened at.
    pub async fn start(
        settings: Settings,
        platform: Platform,
        identity: &Identity,
    ) -> Result<Self, Error> {
        let callers = listen(settings.caller_listen)?;
        let operators = listen(settings.operator_listen)?;
        let endpoint =
            Endpoint::bind(settings.peer_listen, identity, &endpoint::Settings::default())
                .context(PeersSnafu)?;
        let endpoint = Arc::new(endpoint);
        let addresses = Addresses {
            peer: endpoint.local_address().context(PeersSnafu)?,
            operator: local_address(&operators, settings.operator_listen)?,
        };
        let caller_address = local_address(&callers, settings.caller_listen)?;
        let (stop, closing, ended) = (StopSource::new(), StopSource::new(), StopSource::new());
        let node = Arc::new(build_node(settings, platform, &stop));
        let daemon = Self {
            node,
            addresses,
            callers: caller_address,
            endpoint,
            stop,
            closing,
            ended,
            connections: Places::new(MAX_CONNECTIONS),
        };
        daemon.serve_operators(operators);
        daemon.serve_callers(callers);
        daemon.spawn_tasks();
        Ok(daemon)
    }

    /// This process's id, new with every start.
    pub fn id(&self) -> &id::Entry {
        &self.node.entry_id
    }

    /// The address that serves callers.
    pub fn caller_address(&self) -> SocketAddr {
        self.callers
    }

    /// The address that serves operators.
    pub fn operator_address(&self) -> SocketAddr {
        self.addresses.operator
    }

    /// The address that serves peers.
    pub fn peer_address(&self) -> SocketAddr {
        self.addresses.peer
    }

    /// Its metrics.
    pub fn metrics(&self) -> &Arc<Metrics> {
        &self.node.metrics
    }

    /// Waits until it is ready to serve callers.
    pub async fn ready(&self) {
        while !self.node.ready.load(Ordering::SeqCst) {
            async_std::task::sleep(STOP_POLL_INTERVAL).await;
        }
    }

    fn serve_callers(&self, listener: TcpListener) {
        let handler = Arc::new(CallerHandler::new(self.node.clone()));
        let limits = self.node.settings.caller_limits.clone();
        let stop = Stop { closing: self.closing.token(), ended: self.ended.token() };
        let (places, memory) = (self.connections.clone(), self.node.memory.clone());
        let service = Server { handler, limits, stop, places, memory };
        async_std::task::spawn(listener::serve(listener, service));
    }

    /// Operators are served until the process ends, so that a stop can be watched.
    fn serve_operators(&self, listener: TcpListener) {
        let handler = Arc::new(Operator::new(self.node.clone()));
        let limits = Limits::default();
        let stop = Stop { closing: self.stop.token(), ended: self.stop.token() };
        let (places, memory) = (Places::new(MAX_CONNECTIONS), self.node.memory.clone());
        let service = Server { handler, limits, stop, places, memory };
        async_std::task::spawn(listener::serve(listener, service));
    }

    fn spawn_tasks(&self) {
        let node = &self.node;
        async_std::task::spawn(peers::accept_forever(node.clone(), self.endpoint.clone()));
        async_std::task::spawn(claims::commit_forever(node.clone()));
        async_std::task::spawn(send_metrics(node.clone()));
        async_std::task::spawn(watch_for_pauses(node.clone()));
        async_std::task::spawn(register_and_serve(
            node.clone(),
            self.addresses,
            self.endpoint.clone(),
        ));
    }

    /// Stops gracefully: first the load balancer sees that it is not ready, then new work is
    /// refused, then work in flight is finished, then slots are released and the registration
    /// is removed.
    pub async fn stop(self) -> Report {
        let node = &self.node;
        let stop_timeout = node.settings.stop_timeout.0;
        let started = node.clock.now();
        node.record_event(Kind::Stopping);
        node.ready.store(false, Ordering::SeqCst);
        drop(self.closing);
        async_std::task::sleep(node.settings.stop_notice.0).await;
        node.stopping.store(true, Ordering::SeqCst);
        let _ = timeout(stop_timeout, membership::announce_stop(node, self.addresses)).await;
        drop(self.ended);
        let remaining = || stop_timeout.saturating_sub(node.clock.now().since(started));
        let busy = || {
            self.connections.open_count() > 0
                || node.in_flight.load(Ordering::SeqCst) > 0
                || node.claims.unsettled() > 0
        };
        while busy() && !remaining().is_zero() {
            async_std::task::sleep(STOP_POLL_INTERVAL).await;
        }
        let mut report = Report {
            unanswered: self.connections.open_count(),
            unsettled: node.claims.unsettled(),
            deregistered: false,
        };
        while !remaining().is_zero() && !report.deregistered {
            let deregistration =
                async { owner::release_all(node).await && membership::deregister(node).await };
            report.deregistered = timeout(remaining(), deregistration).await.unwrap_or(false);
            if !report.deregistered {
                async_std::task::sleep(STOP_POLL_INTERVAL * 5).await;
            }
        }
        self.endpoint.close();
        drop(self.stop);
        report
    }
}

fn listen(address: SocketAddr) -> Result<TcpListener, Error> {
    listener::bind(address, KERNEL_BUFFERS).context(ListenSnafu { address })
}

fn local_address(listener: &TcpListener, address: SocketAddr) -> Result<SocketAddr, Error> {
    listener.local_addr().context(ListenSnafu { address })
}

/// An id of this process: a random suffix tells it from earlier and later ones.
fn new_id(name: &str) -> id::Entry {
    let id = format!("{name}.{:08x}", rand::random::<u32>());
    id.parse().expect("a checked name with hexadecimal digits is an id")
}

fn build_node(settings: Settings, platform: Platform, stop: &StopSource) -> Node {
    let clock = Clock::new();
    let entry_id = new_id(&settings.name);
    let metrics = Arc::new(Metrics::new(&settings));
    let timeline = Arc::new(Timeline::new(entry_id.clone(), settings.max_events));
    let table = InstrumentedTable {
        inner: platform.table.clone(),
        metrics: metrics.clone(),
        timeline: timeline.clone(),
        clock,
        reachable: AtomicBool::new(true),
    };
    let pause = PAUSE_THRESHOLD.min(settings.takeover_after.0 / PAUSE_TAKEOVER_DIVISOR);
    let longest_heartbeat = settings.heartbeat_interval.0.max(settings.remote_heartbeat_interval.0);
    Node {
        entry_id,
        memory: Budget::with_room_for_large(settings.body_memory.0),
        settings,
        clock,
        platform: Platform { table: Arc::new(table), ..platform },
        view: RwLock::new(View::default()),
        router: Mutex::new(Router::default()),
        peers: RwLock::new(Peers::new(longest_heartbeat)),
        grants_in_use: Mutex::default(),
        connections: Connections::default(),
        claims: Claims::new(),
        timeline,
        metrics,
        ready: AtomicBool::new(false),
        pause_detector: Mutex::new(pause::Detector::new(pause)),
        stopping: AtomicBool::new(false),
        in_flight: AtomicUsize::new(0),
        wake: Wake::default(),
        stop: stop.token(),
    }
}

/// Reads the first view, registers, and starts the tasks that need both.
async fn register_and_serve(node: Arc<Node>, addresses: Addresses, endpoint: Arc<Endpoint>) {
    while follow::refresh_view(&node).await.is_err() {
        if !node.sleep_unless_stopped(node.settings.poll_interval.0).await {
            return;
        }
    }
    if !membership::register(&node, addresses).await {
        return;
    }
    // Read the rows again after the registration: whoever changes the fleet from now on sees
    // this entry in the registry.
    while follow::refresh_view(&node).await.is_err() {
        if !node.sleep_unless_stopped(node.settings.poll_interval.0).await {
            return;
        }
    }
    async_std::task::spawn(follow::follow_forever(node.clone()));
    async_std::task::spawn(peers::beat_forever(node.clone(), endpoint));
    async_std::task::spawn(owner::reconcile_forever(node.clone()));
    for duty in Duty::VARIANTS {
        async_std::task::spawn(duty::run_forever(node.clone(), *duty));
    }
    node.record_event(Kind::Started);
    node.ready.store(true, Ordering::SeqCst);
}

async fn send_metrics(node: Arc<Node>) {
    while node.sleep_unless_stopped(node.settings.metrics_interval.0).await {
        node.metrics.send();
    }
}

/// Detects that this process was paused.
async fn watch_for_pauses(node: Arc<Node>) {
    while node.sleep_unless_stopped(PAUSE_CHECK_INTERVAL).await {
        node.detect_pause(node.clock.now());
    }
}
