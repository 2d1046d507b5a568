//! Startup and graceful shutdown of the daemon.

use crate::admission;
use crate::clock;
use crate::follow::{self, MinionSink, OperatorSink};
use crate::front::CallerHandler;
use crate::in_force;
use crate::journal::Journal;
use crate::membership::standby::Upkeep;
use crate::membership::{self, directory};
use crate::node::Node;
use crate::owner::persist;
use crate::peers::Peers;
use crate::probe;
use crate::rows;
use crate::serve;
use crate::settings::Settings;
use async_std::future::timeout;
use async_std::net::TcpListener;
use celerythread_adapter::store::{Name, Transaction};
use celerythread_engine::job::{decode, encode};
use celerythread_http::connections::Places;
use celerythread_http::listener::{self, KernelBuffers, Server};
use celerythread_http::server::{Handler, Limits, Request, Stop};
use celerythread_http::{Fault, Limit};
use celerythread_model::unit::{Bytes, Span};
use celerythread_wire::authority::{self, Pair};
use celerythread_wire::{Endpoint, Identity, endpoint};
use http_types::{Response, StatusCode};
use snafu::{ResultExt, Snafu};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use stop_token::StopSource;

/// Interval between two checks whether a stop is complete.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// How long new connections of callers may still arrive after a stop has begun: the load balancer
/// probes once a second and removes an entry after two failed probes.
const BALANCER_DRAIN_TIME: Duration = Duration::from_millis(2600);

/// Part of the stop bound that is left for the process to exit.
const PROCESS_EXIT_MARGIN: Duration = Duration::from_millis(800);

/// Kernel buffers of a client's connection.  They aren't reckoned with its memory, so they are small:
/// a large body or metrics page takes more round trips instead.
const KERNEL_BUFFERS: KernelBuffers = KernelBuffers { receive: 8 * 1024, send: 8 * 1024 };

/// Delay before a failed startup call, or an incomplete handover, is retried.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Longest wait for one store call during startup.
const STORE_CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// Why the daemon could not start.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The listener could not be bound.
    #[snafu(display("cannot listen at {address}: {source}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The operating system's error.
        source: std::io::Error,
    },
}

/// A running daemon.
pub struct Daemon {
    node: Arc<Node>,
    caller_address: SocketAddr,
    stop: StopSource,
    closing: StopSource,
    ended: StopSource,
}

impl Daemon {
    /// Starts a daemon.  It listens at once, and serves callers once it has read the configuration.
    ///
    /// # Errors
    /// When a listener cannot be bound.
    pub async fn start(settings: Settings) -> Result<Self, Error> {
        let caller_listener = listen(settings.caller_listen)?;
        let address = local_address(&caller_listener, settings.caller_listen)?;
        let readiness = match settings.ready_listen {
            address if address == settings.caller_listen => None,
            address => Some(listen(address)?),
        };
        let metrics = match settings.metrics_listen {
            Some(address) => Some(listen(address)?),
            None => None,
        };
        let callers_places = Places::new(settings.max_caller_connections());
        let monitoring_places = || Places::new(settings.max_monitoring_connections());
        let (readiness_places, metrics_places) = (monitoring_places(), monitoring_places());
        let (stop, closing, ended) = (StopSource::new(), StopSource::new(), StopSource::new());
        let node = Arc::new(Node::new(settings, Peers::default(), stop.token()));
        let daemon = Self { node, caller_address: address, stop, closing, ended };
        let callers = Arc::new(CallerHandler::new(daemon.node.clone()));
        daemon.serve(caller_listener, callers.clone(), callers_places);
        if let Some(listener) = readiness {
            daemon.serve(listener, Arc::new(ReadinessCheck(callers)), readiness_places);
        }
        if let Some(listener) = metrics {
            daemon.serve(listener, Arc::new(MetricsPage(daemon.node.clone())), metrics_places);
        }
        daemon.spawn_tasks();
        Ok(daemon)
    }

    /// The id of this process: the instance's name with a random suffix.
    pub fn id(&self) -> &str {
        &self.node.entry_id
    }

    /// The address at which callers reach it.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// The sink of its log lines.
    pub fn journal(&self) -> &Arc<Journal> {
        &self.node.journal
    }

    fn serve(&self, listener: TcpListener, handler: Arc<dyn Handler>, places: Places) {
        let settings = &self.node.settings;
        let limits = Limits {
            max_body: Bytes(settings.body_limit),
            idle_timeout: Span::secs(30),
            head_timeout: Span::secs(3),
            progress_timeout: Span::secs(5),
            body_timeout: settings.body_timeout,
        };
        let stop = Stop { closing: self.closing.token(), ended: self.ended.token() };
        let memory = self.node.request_memory.clone();
        let service = Server { handler, limits, stop, places, memory };
        async_std::task::spawn(listener::serve(listener, service));
    }

    fn spawn_tasks(&self) {
        let node = &self.node;
        let operators = Arc::new(OperatorSink(node.clone()));
        let operator_table = follow::operator_table(&node.settings);
        async_std::task::spawn(follow::follow(node.clone(), operator_table, operators));
        let minions = Arc::new(MinionSink(node.clone()));
        async_std::task::spawn(follow::follow(node.clone(), follow::minion_table(), minions));
        async_std::task::spawn(in_force::query_peers_forever(node.clone()));
        async_std::task::spawn(probe::probe_forever(node.clone()));
        async_std::task::spawn(join(node.clone()));
    }

    /// Stops gracefully: hands its cells over to other entries, serves until the load balancer
    /// sends no more callers, and answers the requests in flight.
    pub async fn stop(self) {
        let node = &self.node;
        let began = clock::now();
        let bound = node.settings.stop_bound.0.saturating_sub(PROCESS_EXIT_MARGIN);
        node.journal.info("stopping", &[("entry", &node.entry_id)]);
        node.stopping.store(true, Ordering::SeqCst);
        drop(self.closing);
        // While the store is unavailable the handover never completes.  Without a timeout the
        // process would be killed with callers' requests in flight.
        if timeout(bound / 2, hand_over_cells(node)).await.is_err() {
            node.journal.warn("handover_incomplete", &[("entry", &node.entry_id)]);
        }
        node.owners.read().values().for_each(|owner| owner.stop());
        let remaining = |limit: Duration| limit.saturating_sub(clock::now().since(began));
        async_std::task::sleep(remaining(BALANCER_DRAIN_TIME.min(bound))).await;
        while node.in_flight.load(Ordering::SeqCst) > 0 && !remaining(bound).is_zero() {
            async_std::task::sleep(STOP_POLL_INTERVAL).await;
        }
        drop(self.ended);
        async_std::task::sleep(STOP_POLL_INTERVAL * 2).await;
        node.peers.close();
        node.journal.info("stopped", &[("unanswered", &node.in_flight.load(Ordering::SeqCst))]);
        drop(self.stop);
        // Lets the journal's thread write the last line.
        async_std::task::sleep(STOP_POLL_INTERVAL).await;
    }
}

/// Hands over all cells of this entry, each after its owner's pending writes are stored.
async fn hand_over_cells(node: &Arc<Node>) {
    if let Some(peer) = node.peer_address().filter(|_| node.renews()) {
        membership::renew(node, peer).await;
    }
    loop {
        let held: Vec<String> = {
            let view = node.view.read();
            let mine = view.holdings.iter().filter(|(_, holding)| holding.holder == node.entry_id);
            mine.map(|(cell, _)| cell.clone()).collect()
        };
        let mut incomplete = false;
        for cell in held {
            let owner = node.owner(&cell);
            if let Some(owner) = &owner {
                persist::persist_all(owner).await;
                owner.stop();
            }
            if membership::hand_over(node, &cell).await {
                node.owners.write().remove(&cell);
                node.view.write().holdings.remove(&cell);
            } else {
                incomplete = true;
            }
        }
        if !incomplete {
            return;
        }
        async_std::task::sleep(RETRY_DELAY).await;
    }
}

/// Serves callers at the address of the readiness check.
struct ReadinessCheck(Arc<CallerHandler>);

#[async_trait::async_trait]
impl Handler for ReadinessCheck {
    fn admit(&self, head: &http_types::Request) -> Option<Response> {
        self.0.admit(head)
    }

    async fn handle(&self, request: Request) -> Response {
        self.0.handle(request).await
    }

    fn error_response(&self, fault: &Fault) -> Response {
        self.0.error_response(fault)
    }

    fn limit_reached(&self, limit: Limit, client: Option<SocketAddr>) {
        self.0.record_limit(limit, "readiness", client);
    }
}

/// Serves the metrics page.
struct MetricsPage(Arc<Node>);

#[async_trait::async_trait]
impl Handler for MetricsPage {
    async fn handle(&self, _: Request) -> Response {
        let mut response = Response::new(StatusCode::Ok);
        let node = &self.0;
        let lines = format!(
            "celerythread_lines_dropped_total {}\n\
             celerythread_request_memory_bytes{{kind=\"reserved\"}} {}\n\
             celerythread_request_memory_bytes{{kind=\"limit\"}} {}\n\
             celerythread_job_memory_bytes{{kind=\"held\"}} {}\n\
             celerythread_job_memory_bytes{{kind=\"limit\"}} {}\n",
            node.journal.dropped(),
            node.request_memory.reserved(),
            node.settings.request_memory(),
            admission::held(node),
            node.settings.job_memory(),
        );
        response.set_body(node.metrics.page() + &lines);
        response
    }

    fn error_response(&self, fault: &Fault) -> Response {
        Response::new(match fault {
            Fault::Overloaded { .. } => StatusCode::ServiceUnavailable,
            _ => StatusCode::BadRequest,
        })
    }

    fn limit_reached(&self, limit: Limit, client: Option<SocketAddr>) {
        self.0.record_limit(limit, "metrics", client);
    }
}

/// Joins the other entries: obtains an identity, reads the shared state, and renews its own row.
async fn join(node: Arc<Node>) {
    let Some(identity) = identity(&node).await else { return };
    let settings = endpoint::Settings::default();
    let address = node.settings.peer_listen;
    let peer = match Endpoint::bind(address, &identity, &settings) {
        Ok(endpoint) => {
            let endpoint = Arc::new(endpoint);
            node.peers.open(endpoint.clone());
            let bound = endpoint.local_address().unwrap_or(address);
            async_std::task::spawn(serve::accept_forever(node.clone(), endpoint));
            bound
        }
        Err(error) => {
            // Without peers, everything is read from the store instead.
            node.journal.warn("peers_unavailable", &[("reason", &error)]);
            address
        }
    };
    node.set_peer_address(peer);
    async_std::task::spawn(directory::follow(node.clone()));
    while node.directory.read().version == 0 {
        if !node.pause(STOP_POLL_INTERVAL).await {
            return;
        }
    }
    let mut upkeep = Upkeep::new(node.clone());
    // Before the former process's row is deleted, so that its slot isn't deleted as vacant.
    upkeep.step().await;
    membership::delete_former_entries(&node).await;
    async_std::task::spawn(upkeep.run());
    async_std::task::spawn(membership::follow_control(node.clone()));
    async_std::task::spawn(membership::version::read_forever(node.clone()));
    async_std::task::spawn(membership::renew_forever(node.clone(), peer));
    node.journal.info("joined", &[("entry", &node.entry_id), ("peer", &peer)]);
    membership::check_ownership_forever(node).await;
}

/// Issues this entry's identity with the certificate authority that the first entry created and
/// stored.  None when the daemon stops, or the identity cannot be issued.
async fn identity(node: &Arc<Node>) -> Option<Identity> {
    loop {
        match read_or_create_authority(node).await {
            Some(authority) => return issue(node, &authority),
            None if !node.pause(RETRY_DELAY).await => return None,
            None => {}
        }
    }
}

fn issue(node: &Node, authority: &Pair) -> Option<Identity> {
    let made = authority::issue(authority, &node.entry_id).and_then(|own| {
        Identity::from_pem(
            authority.certificate.as_bytes(),
            own.certificate.as_bytes(),
            own.key.as_bytes(),
        )
    });
    match made {
        Ok(identity) => Some(identity),
        Err(error) => {
            node.journal.warn("no_identity", &[("reason", &error)]);
            None
        }
    }
}

/// Reads the stored authority.  If there is none, tries to store a new one and returns none.
async fn read_or_create_authority(node: &Node) -> Option<Pair> {
    let row = node.store.get(rows::CONTROL, "", rows::AUTHORITY_KEY, STORE_CALL_TIMEOUT).await;
    node.record_store_result(&row);
    match row.ok()? {
        Some(row) => {
            let stored: rows::Authority = decode(&row.value).ok()?;
            Some(Pair { certificate: stored.certificate, key: stored.key })
        }
        None => {
            let pair = authority::create("entries").ok()?;
            let name = Name::new(rows::CONTROL, "", rows::AUTHORITY_KEY);
            let value = rows::Authority { certificate: pair.certificate, key: pair.key };
            let change = Transaction {
                conditions: vec![(name.clone(), 0)],
                writes: vec![(name, encode(&value))],
                ..Transaction::default()
            };
            // Another entry may have been first; the next read returns the stored authority.
            let _ = node.commit(&change, STORE_CALL_TIMEOUT).await;
            None
        }
    }
}

fn listen(address: SocketAddr) -> Result<TcpListener, Error> {
    listener::bind(address, KERNEL_BUFFERS).context(ListenSnafu { address })
}

fn local_address(listener: &TcpListener, address: SocketAddr) -> Result<SocketAddr, Error> {
    listener.local_addr().context(ListenSnafu { address })
}
