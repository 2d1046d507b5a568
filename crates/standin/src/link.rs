//! A hop between two ends that can cut, delay, silence or truncate.

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

/// Largest datagram and piece.
const PIECE: usize = 64 * 1024;

/// What the hop does.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize, Display, EnumString,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Mode {
    /// Passes everything on.
    #[default]
    Pass,
    /// Refuses new connections and ends open ones.
    Cut,
    /// Passes nothing on and ends nothing, for flows open by now and new ones.
    Silent,
    /// Ends the answering direction after so many more bytes.
    Truncate(u64),
}

/// A hop.
pub struct Link {
    address: SocketAddr,
    state: Arc<State>,
    _stop: StopSource,
}

struct State {
    target: SocketAddr,
    mode: Mutex<Mode>,
    delay: Mutex<Duration>,
    /// Flows begun before this one are forgotten: silent for good, while new ones work.
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

    fn begin(&self) -> u64 {
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
    /// A hop for TCP to `target`.
    ///
    /// # Errors
    /// When no address can be listened at.
    pub async fn tcp(listen: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let state = State::new(target);
        let stop = StopSource::new();
        let (token, shared) = (stop.token(), state.clone());
        task::spawn(async move {
            while let Ok(Ok((near, _))) = listener.accept().timeout_at(token.clone()).await {
                task::spawn(carry(near, shared.clone()));
            }
        });
        Ok(Self { address, state, _stop: stop })
    }

    /// A hop for UDP to `target`.
    ///
    /// # Errors
    /// When no address can be bound.
    pub async fn udp(listen: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        let socket = Arc::new(UdpSocket::bind(listen).await?);
        let address = socket.local_addr()?;
        let state = State::new(target);
        let stop = StopSource::new();
        let (token, shared) = (stop.token(), state.clone());
        task::spawn(async move {
            let _ = relay(socket, shared).timeout_at(token).await;
        });
        Ok(Self { address, state, _stop: stop })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes what it does.
    pub fn set(&self, mode: Mode) {
        *self.state.mode.lock() = mode;
    }

    /// Changes how long each piece takes one way.
    pub fn set_delay(&self, delay: Duration) {
        *self.state.delay.lock() = delay;
    }

    /// Loses track of every flow that is open now: they are silent for good.
    pub fn forget(&self) {
        let next = self.state.next_flow.load(Ordering::SeqCst);
        self.state.forgotten_below.store(next, Ordering::SeqCst);
    }
}

async fn carry(near: TcpStream, state: Arc<State>) {
    let flow = state.begin();
    if state.mode() == Mode::Cut {
        return;
    }
    let Ok(far) = TcpStream::connect(state.target).await else { return };
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let there = task::spawn(copy(near.clone(), far.clone(), state.clone(), flow, false));
    copy(far, near, state, flow, true).await;
    there.await;
}

/// Copies one direction until an end closes or the hop is cut.
async fn copy(mut from: TcpStream, mut to: TcpStream, state: Arc<State>, flow: u64, answers: bool) {
    const LOOK: Duration = Duration::from_millis(10);
    let mut piece = vec![0; PIECE];
    loop {
        let read = async_std::future::timeout(LOOK, from.read(&mut piece)).await;
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
        if let Mode::Truncate(left) = state.mode()
            && answers
        {
            let passed = (count as u64).min(left) as usize;
            let _ = to.write_all(&piece[..passed]).await;
            state.mode.lock().clone_from(&Mode::Truncate(left - passed as u64));
            if passed < count {
                break;
            }
            continue;
        }
        if to.write_all(&piece[..count]).await.is_err() {
            break;
        }
    }
    // A forgotten flow hears of nothing any more, not even of its end.
    while state.is_forgotten(flow) && state.mode() != Mode::Cut {
        task::sleep(LOOK * 10).await;
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}

async fn relay(near: Arc<UdpSocket>, state: Arc<State>) {
    let mut flows: HashMap<SocketAddr, (u64, Arc<UdpSocket>)> = HashMap::new();
    let mut piece = vec![0; PIECE];
    while let Ok((count, from)) = near.recv_from(&mut piece).await {
        let flow = match flows.entry(from) {
            Entry::Occupied(known) => known.into_mut(),
            Entry::Vacant(new) => {
                let any: SocketAddr = SocketAddr::from(([127, 0, 0, 1], 0));
                let Ok(far) = UdpSocket::bind(any).await else { continue };
                let (flow, far) = (state.begin(), Arc::new(far));
                task::spawn(answer(near.clone(), far.clone(), from, state.clone(), flow));
                new.insert((flow, far))
            }
        };
        let (flow, far) = (flow.0, flow.1.clone());
        if state.mode() == Mode::Pass && !state.is_forgotten(flow) {
            state.delay().await;
            let _ = far.send_to(&piece[..count], state.target).await;
        }
    }
}

async fn answer(
    near: Arc<UdpSocket>,
    far: Arc<UdpSocket>,
    to: SocketAddr,
    state: Arc<State>,
    flow: u64,
) {
    let mut piece = vec![0; PIECE];
    while let Ok((count, _)) = far.recv_from(&mut piece).await {
        if state.mode() == Mode::Pass && !state.is_forgotten(flow) {
            state.delay().await;
            let _ = near.send_to(&piece[..count], to).await;
        }
    }
}
