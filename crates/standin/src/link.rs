//! A TCP or UDP proxy that can cut, delay, drop or truncate traffic.

use async_std::io::{ReadExt, WriteExt};
use async_std::net::{TcpListener, TcpStream, UdpSocket};
use async_std::task;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::io;
use std::net::{Shutdown, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use stop_token::StopSource;
use stop_token::future::FutureExt;
use strum::{Display, EnumString};

/// Largest datagram, and largest part of a stream that is forwarded at once, in bytes.
const MAX_CHUNK_LEN: usize = 64 * 1024;

/// How the proxy treats traffic.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize, Display, EnumString,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Mode {
    /// Forwards everything.
    #[default]
    Pass,
    /// Closes new and open connections; drops datagrams.
    Cut,
    /// Drops all data of new and open flows without closing them.
    Silent,
    /// Closes the connection after this many more bytes from the target; drops datagrams.
    Truncate(u64),
}

/// A running proxy; it accepts no more connections or datagrams once dropped.
pub struct Link {
    address: SocketAddr,
    state: Arc<State>,
    _stop: StopSource,
}

struct State {
    target: SocketAddr,
    mode: Mutex<Mode>,
    delay: Mutex<Duration>,
    /// Flows with lower numbers are forgotten: their data is dropped for good, while new ones work.
    forgotten_below: AtomicU64,
    next_flow: AtomicU64,
}

impl State {
    fn new(target: SocketAddr) -> Arc<Self> {
        Arc::new(Self {
            target,
            mode: Mutex::default(),
            delay: Mutex::default(),
            forgotten_below: AtomicU64::new(0),
            next_flow: AtomicU64::new(0),
        })
    }

    fn start_flow(&self) -> u64 {
        self.next_flow.fetch_add(1, Ordering::SeqCst)
    }

    fn is_forgotten(&self, flow: u64) -> bool {
        flow < self.forgotten_below.load(Ordering::SeqCst)
    }

    fn mode(&self) -> Mode {
        *self.mode.lock()
    }

    async fn delay(&self) {
        let delay = *self.delay.lock();
        if !delay.is_zero() {
            task::sleep(delay).await;
        }
    }
}

impl Link {
    /// Starts a TCP proxy to `target`.
    ///
    /// # Errors
    /// When `listen` can't be bound.
    pub async fn tcp(listen: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let state = State::new(target);
        let stop = StopSource::new();
        let (token, shared) = (stop.token(), state.clone());
        task::spawn(async move {
            while let Ok(Ok((client, _))) = listener.accept().timeout_at(token.clone()).await {
                task::spawn(forward_connection(client, shared.clone()));
            }
        });
        Ok(Self { address, state, _stop: stop })
    }

    /// Starts a UDP proxy to `target`.
    ///
    /// # Errors
    /// When `listen` can't be bound.
    pub async fn udp(listen: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        let socket = Arc::new(UdpSocket::bind(listen).await?);
        let address = socket.local_addr()?;
        let state = State::new(target);
        let stop = StopSource::new();
        let (token, shared) = (stop.token(), state.clone());
        task::spawn(async move {
            let _ = forward_datagrams(socket, shared).timeout_at(token).await;
        });
        Ok(Self { address, state, _stop: stop })
    }

    /// The address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets how it treats traffic.
    pub fn set(&self, mode: Mode) {
        *self.state.mode.lock() = mode;
    }

    /// Sets the delay of each forwarded chunk or datagram, one way.
    pub fn set_delay(&self, delay: Duration) {
        *self.state.delay.lock() = delay;
    }

    /// Forgets every open flow: its data is dropped for good, without a close.
    pub fn forget_flows(&self) {
        let next = self.state.next_flow.load(Ordering::SeqCst);
        self.state.forgotten_below.store(next, Ordering::SeqCst);
    }
}

async fn forward_connection(client: TcpStream, state: Arc<State>) {
    let flow = state.start_flow();
    if state.mode() == Mode::Cut {
        return;
    }
    let Ok(server) = TcpStream::connect(state.target).await else { return };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let requests = task::spawn(copy(client.clone(), server.clone(), state.clone(), flow, false));
    copy(server, client, state, flow, true).await;
    requests.await;
}

/// Copies one direction until an end closes, the proxy is cut or the answer is truncated.
async fn copy(
    mut from: TcpStream,
    mut to: TcpStream,
    state: Arc<State>,
    flow: u64,
    is_reply: bool,
) {
    const MODE_POLL_INTERVAL: Duration = Duration::from_millis(10);
    let mut chunk = vec![0; MAX_CHUNK_LEN];
    loop {
        let read = async_std::future::timeout(MODE_POLL_INTERVAL, from.read(&mut chunk)).await;
        if state.mode() == Mode::Cut {
            break;
        }
        let count = match read {
            Err(_) => continue,
            Ok(Ok(count)) if count > 0 => count,
            Ok(_) => break,
        };
        if state.is_forgotten(flow) || state.mode() == Mode::Silent {
            continue;
        }
        state.delay().await;
        if let Mode::Truncate(remaining) = state.mode()
            && is_reply
        {
            let forwarded = (count as u64).min(remaining) as usize;
            let _ = to.write_all(&chunk[..forwarded]).await;
            state.mode.lock().clone_from(&Mode::Truncate(remaining - forwarded as u64));
            if forwarded < count {
                break;
            }
            continue;
        }
        if to.write_all(&chunk[..count]).await.is_err() {
            break;
        }
    }
    // The ends of a forgotten flow don't learn that the other one closed.
    while state.is_forgotten(flow) && state.mode() != Mode::Cut {
        task::sleep(MODE_POLL_INTERVAL * 10).await;
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}

async fn forward_datagrams(client: Arc<UdpSocket>, state: Arc<State>) {
    let mut flows: HashMap<SocketAddr, (u64, Arc<UdpSocket>)> = HashMap::new();
    let mut chunk = vec![0; MAX_CHUNK_LEN];
    while let Ok((count, from)) = client.recv_from(&mut chunk).await {
        let flow = match flows.entry(from) {
            Entry::Occupied(flow) => flow.into_mut(),
            Entry::Vacant(new) => {
                let local: SocketAddr = SocketAddr::from(([127, 0, 0, 1], 0));
                let Ok(server) = UdpSocket::bind(local).await else { continue };
                let (flow, server) = (state.start_flow(), Arc::new(server));
                task::spawn(forward_replies(
                    client.clone(),
                    server.clone(),
                    from,
                    state.clone(),
                    flow,
                ));
                new.insert((flow, server))
            }
        };
        let (flow, server) = (flow.0, flow.1.clone());
        if state.mode() == Mode::Pass && !state.is_forgotten(flow) {
            state.delay().await;
            let _ = server.send_to(&chunk[..count], state.target).await;
        }
    }
}

async fn forward_replies(
    client: Arc<UdpSocket>,
    server: Arc<UdpSocket>,
    to: SocketAddr,
    state: Arc<State>,
    flow: u64,
) {
    let mut chunk = vec![0; MAX_CHUNK_LEN];
    while let Ok((count, _)) = server.recv_from(&mut chunk).await {
        if state.mode() == Mode::Pass && !state.is_forgotten(flow) {
            state.delay().await;
            let _ = client.send_to(&chunk[..count], to).await;
        }
    }
}
