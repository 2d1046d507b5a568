//! Entries on a small machine over a stand-in of the platform, one deployment at a time.

use crate::client;
use crate::process::Process;
use celerythread_model::unit::Bytes;
use celerythread_standin::site::Site;
use serde_json::json;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Longest wait for any expected condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The ids of ordinary jobs are above this number.
const ORDINARY_JOBS: u64 = 1 << 32;

/// Held by the test that runs.
static MACHINE: Mutex<()> = Mutex::new(());

/// The machine of an entry.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Machine {
    pub(crate) memory: Bytes,
    pub(crate) descriptors: u64,
}

impl Default for Machine {
    fn default() -> Self {
        Self { memory: Bytes::mebi(48), descriptors: 4100 }
    }
}

/// An entry with its addresses.
pub(crate) struct Entry {
    pub(crate) process: Process,
    pub(crate) callers: SocketAddr,
    pub(crate) readiness: SocketAddr,
    pub(crate) metrics: SocketAddr,
}

/// The platform and the running entries.
pub(crate) struct Deployment {
    pub(crate) entries: Vec<Entry>,
    pub(crate) site: Site,
    machine: Machine,
    ordinary_jobs: u64,
    /// Number of entries that were started so far.
    started: usize,
    _turn: MutexGuard<'static, ()>,
}

impl Deployment {
    /// Starts entries on machines of one size, and waits until one owns the service's cell.
    pub(crate) fn start(entries: usize, machine: Machine) -> Self {
        let turn = MACHINE.lock().unwrap_or_else(PoisonError::into_inner);
        let site = async_std::task::block_on(Site::start(1)).unwrap();
        let mut deployment =
            Self { entries: Vec::new(), site, machine, ordinary_jobs: 0, started: 0, _turn: turn };
        (0..entries).for_each(|number| deployment.add_entry(&format!("entry-{number}")));
        deployment.started = entries;
        eventually("the service has an owner", || deployment.owner());
        deployment
    }

    fn add_entry(&mut self, name: &str) {
        let (readiness, metrics) = (free_address(), free_address());
        let Machine { memory, descriptors } = self.machine;
        let settings = format!(
            "[instance]\nname = {name}\nzone = zone\nmemory = {memory}\ndescriptors = {descriptors}\n\
             [caller]\nlisten = 127.0.0.1:0\nready_listen = {readiness}\n\
             [peer]\nlisten = 127.0.0.1:0\nrenew = 100ms\ntakeover_after = 800ms\n\
             [metrics]\nlisten = {metrics}\n\
             [platform]\nstore = {}\nmachines = {}\n\
             [run]\nlease = 2s\nextend_alone = 1s\n\
             [stop]\nbound = 3s\n",
            self.site.store_address(),
            self.site.machine_address(),
        );
        let mut process = Process::start(name, &settings);
        let callers = eventually("the entry listens", || {
            assert!(process.is_alive(), "the process has ended: {:?}", process.errors());
            process.callers()
        });
        eventually("the entry is ready", || {
            (client::get(readiness, "/-/ready")? == 200).then_some(())
        });
        self.entries.push(Entry { process, callers, readiness, metrics });
    }

    /// The entry that owns the service's cell.
    pub(crate) fn owner(&self) -> Option<usize> {
        self.entries.iter().position(|entry| entry.process.owns_the_cell())
    }

    /// Ends a process without notice, as the loss of its machine does.
    pub(crate) fn lose(&mut self, entry: usize) {
        drop(self.entries.remove(entry));
    }

    /// Ends a process, gracefully or without notice, and starts another one in its place.
    pub(crate) fn restart(&mut self, entry: usize, is_graceful: bool) {
        if is_graceful {
            let process = &mut self.entries[entry].process;
            process.signal("-TERM");
            eventually("the entry ends", || (!process.is_alive()).then_some(()));
        }
        self.lose(entry);
        self.started += 1;
        self.add_entry(&format!("entry-{}", self.started));
    }

    /// Checks that an ordinary job is accepted at every entry and completes.
    pub(crate) fn check_ordinary_request(&mut self) {
        for entry in &self.entries {
            self.ordinary_jobs += 1;
            let id = format!("{:016x}", ORDINARY_JOBS + self.ordinary_jobs);
            let body = celerythread_standin::site::job(1, "ms=20").to_string();
            eventually("an ordinary job is accepted", || {
                (client::submit(entry.callers, &id, body.as_bytes())? == 200).then_some(())
            });
            let completed = json!({ "state": "completed" });
            eventually("the ordinary job completes", || {
                (client::state(entry.callers, &id)? == completed).then_some(())
            });
        }
    }

    /// Checks that every process lives and has stayed within its machine.
    pub(crate) fn check_machines(&mut self) {
        (0..self.entries.len()).for_each(|entry| self.check_machine(entry));
    }

    /// Checks that an entry has logged a reached limit with the listener and the client's address.
    pub(crate) fn check_limit_line(&self, entry: usize, listener: &str) {
        let field = |field| self.entries[entry].process.logged("limit_reached", field);
        eventually("a reached limit is logged", || field("limit"));
        assert_eq!(field("listener").as_deref(), Some(listener));
        let client = field("client").unwrap();
        assert!(client.parse::<SocketAddr>().is_ok(), "no address of a client: {client}");
    }

    /// Checks that the memory of a process and what the kernel held for it were within its machine.
    pub(crate) fn check_memory(&self, entry: usize, held: u64) {
        let memory = self.machine.memory;
        let used = self.entries[entry].process.peak_memory() + held;
        println!("{} KiB at the peak, {} of them held by the kernel", used >> 10, held >> 10);
        assert!(used <= memory.0, "{} KiB of memory, more than {memory}", used >> 10);
    }

    /// Checks that a process lives and has stayed within its machine.
    pub(crate) fn check_machine(&mut self, entry: usize) {
        let Machine { memory, descriptors } = self.machine;
        let process = &mut self.entries[entry].process;
        assert!(process.is_alive(), "the process has ended");
        assert_eq!(process.panics(), Vec::<String>::new());
        let (used, opened) = (process.peak_memory(), process.peak_descriptors());
        println!("{} KiB of memory and {opened} descriptors at the peak", used >> 10);
        assert!(used <= memory.0, "{} KiB of memory, more than {memory}", used >> 10);
        assert!(opened <= descriptors, "{opened} descriptors, more than {descriptors}");
    }
}

/// An address that nothing listens at.  Its host is this process's own, so that no connection that a
/// client opens meanwhile takes the port.
fn free_address() -> SocketAddr {
    let [.., high, low] = std::process::id().to_be_bytes();
    let host = Ipv4Addr::new(127, 1, high, low);
    TcpListener::bind((host, 0)).unwrap().local_addr().unwrap()
}

/// Polls until a value is returned; fails after [`WAIT_TIMEOUT`].
pub(crate) fn eventually<T>(what: &str, mut poll: impl FnMut() -> Option<T>) -> T {
    let began = Instant::now();
    loop {
        if let Some(found) = poll() {
            return found;
        }
        assert!(began.elapsed() < WAIT_TIMEOUT, "not within {WAIT_TIMEOUT:?}: {what}");
        thread::sleep(POLL_INTERVAL);
    }
}
