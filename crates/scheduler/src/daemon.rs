//! Starting the daemon, and stopping it gracefully.

use crate::clock;
use crate::follow::{self, Minions, Operators};
use crate::front::Front;
use crate::in_force;
use crate::journal::Journal;
use crate::membership;
use crate::node::Node;
use crate::owner::keep;
use crate::peers::{self, Peers};
use crate::rows;
use crate::settings::Settings;
use async_std::future::timeout;
use async_std::net::TcpListener;
use celerythread_adapter::store::{Name, Transaction};
use celerythread_engine::job::{decode, encode};
use celerythread_http::Fault;
use celerythread_http::listener::{self, Server};
use celerythread_http::server::{Handler, Limits, Request, Stop};
use celerythread_model::unit::{Bytes, Span};
use celerythread_wire::authority::{self, Pair};
use celerythread_wire::{Endpoint, Identity, endpoint};
use http_types::{Response, StatusCode};
use snafu::{ResultExt, Snafu};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use stop_token::StopSource;

/// Time between two looks at whether a stop is complete.
const STOP_POLL: Duration = Duration::from_millis(20);

/// From the stop on, callers' new connections may still come for this long: the balancer looks
/// once a second and takes an entry out after two misses.
const STOP_NOTICE: Duration = Duration::from_millis(2600);

/// Kept free of the bound of a stop, for the process to end.
const STOP_MARGIN: Duration = Duration::from_millis(800);

/// Most connections of callers at once; descriptors are 4,100 on the smallest instances.
const MAX_CONNECTIONS: usize = 3000;

/// Pause before a failed call at the start is repeated.
const RETRY: Duration = Duration::from_millis(100);

/// Longest wait for a call at the start.
const CALL_LIMIT: Duration = Duration::from_millis(700);

/// Why a daemon could not start.
#[derive(Debug, Snafu)]
pub enum Error {
    /// An address cannot be listened at.
    #[snafu(display("cannot listen at {address}: {source}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
}

/// A running daemon.
pub struct Daemon {
    node: Arc<Node>,
    callers: SocketAddr,
    stop: StopSource,
    closing: StopSource,
    ended: StopSource,
    connections: Arc<AtomicUsize>,
}

impl Daemon {
    /// Starts a daemon: it listens at once, and serves once it has read the configuration.
    ///
    /// # Errors
    /// When an address cannot be listened at.
    pub async fn start(settings: Settings) -> Result<Self, Error> {
        let callers = listen(settings.caller_listen).await?;
        let address = local(&callers, settings.caller_listen)?;
        let mut listeners = vec![callers];
        if settings.ready_listen != settings.caller_listen {
            listeners.push(listen(settings.ready_listen).await?);
        }
        let metrics = match settings.metrics_listen {
            Some(address) => Some(listen(address).await?),
            None => None,
        };
        let (stop, closing, ended) = (StopSource::new(), StopSource::new(), StopSource::new());
        let node = Arc::new(Node::new(settings, Peers::default(), stop.token()));
        let daemon =
            Self { node, callers: address, stop, closing, ended, connections: Arc::default() };
        for listener in listeners {
            daemon.serve(listener, Arc::new(Front::new(daemon.node.clone())));
        }
        if let Some(listener) = metrics {
            daemon.serve(listener, Arc::new(Page(daemon.node.clone())));
        }
        daemon.spawn_tasks();
        Ok(daemon)
    }

    /// This process's id.
    pub fn id(&self) -> &str {
        &self.node.me
    }

    /// Where callers reach it.
    pub fn caller_address(&self) -> SocketAddr {
        self.callers
    }

    /// Its log lines.
    pub fn journal(&self) -> &Arc<Journal> {
        &self.node.journal
    }

    fn serve(&self, listener: TcpListener, handler: Arc<dyn Handler>) {
        let limits = Limits {
            max_body: Bytes(self.node.settings.body_limit),
            idle_timeout: Span::secs(30),
            head_timeout: Span::secs(3),
            progress_timeout: Span::secs(5),
        };
        let stop = Stop { closing: self.closing.token(), ended: self.ended.token() };
        let connections = self.connections.clone();
        let service =
            Server { handler, limits, stop, connections, max_connections: MAX_CONNECTIONS };
        async_std::task::spawn(listener::serve(listener, service));
    }

    fn spawn_tasks(&self) {
        let node = &self.node;
        let operators = Arc::new(Operators(node.clone()));
        async_std::task::spawn(follow::follow(node.clone(), follow::operator_table(), operators));
        let minions = Arc::new(Minions(node.clone()));
        async_std::task::spawn(follow::follow(node.clone(), follow::minion_table(), minions));
        async_std::task::spawn(in_force::ask_forever(node.clone()));
        async_std::task::spawn(join(node.clone()));
    }

    /// Stops gracefully: hands cells over by name, goes on serving until the balancer sends
    /// nobody any more, and answers what is in flight.
    pub async fn stop(self) {
        let node = &self.node;
        let began = clock::now();
        let bound = node.settings.stop_bound.0.saturating_sub(STOP_MARGIN);
        node.journal.note("stopping", &[("entry", &node.me)]);
        node.stopping.store(true, Ordering::SeqCst);
        drop(self.closing);
        // Bounded as a whole: with the store away it would never end, and the process would be
        // killed with callers' requests in flight.
        if timeout(bound / 2, hand_over_all(node)).await.is_err() {
            node.journal.warn("handover_incomplete", &[("entry", &node.me)]);
        }
        node.owners.read().values().for_each(|owner| owner.stop());
        let left = |limit: Duration| limit.saturating_sub(clock::now().since(began));
        async_std::task::sleep(left(STOP_NOTICE.min(bound))).await;
        while node.flying.load(Ordering::SeqCst) > 0 && !left(bound).is_zero() {
            async_std::task::sleep(STOP_POLL).await;
        }
        drop(self.ended);
        async_std::task::sleep(STOP_POLL * 2).await;
        node.peers.close();
        node.journal.note("stopped", &[("unanswered", &node.flying.load(Ordering::SeqCst))]);
        drop(self.stop);
        // Lets the last line out.
        async_std::task::sleep(STOP_POLL).await;
    }
}

/// Hands all cells of this entry over, each after what it owes the store is kept.
async fn hand_over_all(node: &Arc<Node>) {
    membership::renew(node, node.settings.peer_listen).await;
    loop {
        let held: Vec<String> = {
            let view = node.view.read();
            let mine = view.holdings.iter().filter(|(_, holding)| holding.holder == node.me);
            mine.map(|(cell, _)| cell.clone()).collect()
        };
        let mut open = false;
        for cell in held {
            let owner = node.owner(&cell);
            if let Some(owner) = &owner {
                keep::keep_all(owner).await;
                owner.stop();
            }
            if membership::hand_over(node, &cell).await {
                node.owners.write().remove(&cell);
                node.view.write().holdings.remove(&cell);
            } else {
                open = true;
            }
        }
        if !open {
            return;
        }
        async_std::task::sleep(RETRY).await;
    }
}

/// Serves the figures.
struct Page(Arc<Node>);

#[async_trait::async_trait]
impl Handler for Page {
    async fn handle(&self, _: Request) -> Response {
        let mut response = Response::new(StatusCode::Ok);
        let dropped = self.0.journal.dropped();
        let lines = format!("celerythread_lines_dropped_total {dropped}\n");
        response.set_body(self.0.metrics.page() + &lines);
        response
    }

    fn error_response(&self, _: &Fault) -> Response {
        Response::new(StatusCode::BadRequest)
    }
}

/// Joins the other entries: reads what they agree on, gets an identity, and takes part.
async fn join(node: Arc<Node>) {
    let Some(identity) = identity(&node).await else { return };
    let settings = endpoint::Settings::default();
    let address = node.settings.peer_listen;
    let peer = match Endpoint::bind(address, &identity, &settings) {
        Ok(endpoint) => {
            let endpoint = Arc::new(endpoint);
            node.peers.open(endpoint.clone());
            let bound = endpoint.local_address().unwrap_or(address);
            async_std::task::spawn(peers::accept_forever(node.clone(), endpoint));
            bound
        }
        Err(error) => {
            // Without peers everything is read from the store instead.
            node.journal.warn("peers_unavailable", &[("reason", &error)]);
            address
        }
    };
    async_std::task::spawn(membership::follow_control(node.clone()));
    while node.view.read().version == 0 {
        if !node.pause(STOP_POLL).await {
            return;
        }
    }
    membership::clear_former(&node).await;
    async_std::task::spawn(membership::renew_forever(node.clone(), peer));
    node.journal.note("joined", &[("entry", &node.me), ("peer", &peer)]);
    membership::judge_forever(node).await;
}

/// This entry's identity, signed by the authority that the first entry made and kept.
async fn identity(node: &Arc<Node>) -> Option<Identity> {
    loop {
        match read_authority(node).await {
            Some(authority) => return issue(node, &authority),
            None if !node.pause(RETRY).await => return None,
            None => {}
        }
    }
}

fn issue(node: &Node, authority: &Pair) -> Option<Identity> {
    let made = authority::issue(authority, &node.me).and_then(|own| {
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

async fn read_authority(node: &Node) -> Option<Pair> {
    let row = node.store.get(rows::CONTROL, "", rows::AUTHORITY_KEY, CALL_LIMIT).await;
    node.store_result(&row);
    match row.ok()? {
        Some(row) => {
            let kept: rows::Authority = decode(&row.value).ok()?;
            Some(Pair { certificate: kept.certificate, key: kept.key })
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
            // Whoever was first, the next read brings the one that is kept.
            let _ = node.commit(&change, CALL_LIMIT).await;
            None
        }
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address).await.context(ListenSnafu { address })
}

fn local(listener: &TcpListener, address: SocketAddr) -> Result<SocketAddr, Error> {
    listener.local_addr().context(ListenSnafu { address })
}
