//! What all parts of the daemon share.
//!
//! # Lock order
//!
//! `in_force` → `view` → `minions` → `waves` → `owners` → an owner's `cell` → `links`.  A lock is
//! only taken while locks before it in this list are held, and none of them is held across an
//! await.

use crate::clock;
use crate::in_force::InForce;
use crate::journal::Journal;
use crate::metrics::{Counter, Metrics};
use crate::owner::Owner;
use crate::peers::Peers;
use crate::rows;
use crate::settings::Settings;
use celerythread_adapter::configuration::Configuration;
use celerythread_adapter::wave::Wave;
use celerythread_adapter::{HttpClient, Service, advice, machine, minion, store};
use celerythread_engine::cell::Permit;
use celerythread_engine::outage::Outage;
use celerythread_engine::ownership::{self, Holding};
use celerythread_engine::patience::Patience;
use celerythread_engine::time::Time;
use celerythread_sync::Wake;
use parking_lot::{Mutex, RwLock};
use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;
use stop_token::StopToken;
use stop_token::future::FutureExt;

/// How long before a takeover is possible the owner stops starting tasks: longer than a plan
/// takes to reach the network on a slow instance.
const START_MARGIN: Duration = Duration::from_millis(300);

/// How far a message that a minion is to be emptied may be ahead of its row: several reads of
/// the control table.
const RELEASE_AHEAD: Duration = Duration::from_millis(1500);

/// What entries agree on, as last read.
#[derive(Debug, Default)]
pub(crate) struct View {
    /// The version up to which it is complete.
    pub(crate) version: u64,
    /// Entries as observed.
    pub(crate) entries: BTreeMap<String, ownership::Entry>,
    /// What they wrote.
    pub(crate) entry_rows: BTreeMap<String, rows::Entry>,
    /// Who holds each cell.
    pub(crate) holdings: BTreeMap<String, Holding>,
    /// What is written of each cell.
    pub(crate) cell_rows: BTreeMap<String, rows::Cell>,
    /// Machines to be emptied, with their minions.
    pub(crate) emptying: BTreeMap<String, String>,
    /// Minions to be emptied by a message that is ahead of its row, and until when that counts.
    pub(crate) released: BTreeMap<String, Time>,
    /// When a read of it was last answered.
    pub(crate) read_at: Time,
}

impl View {
    /// Notes that a read was answered, before what it brought is taken in.
    pub(crate) fn note_read(&mut self, now: Time) {
        ownership::note_read(&mut self.entries, self.read_at, now);
        self.read_at = now;
    }

    /// How many cells each entry holds.
    pub(crate) fn owned(&self) -> BTreeMap<String, usize> {
        let mut owned = BTreeMap::new();
        for holding in self.holdings.values() {
            *owned.entry(holding.holder.clone()).or_default() += 1;
        }
        owned
    }

    /// Where the holder of a cell is reached.
    pub(crate) fn holder(&self, cell: &str) -> Option<(String, SocketAddr)> {
        let holding = self.holdings.get(cell)?;
        let row = self.entry_rows.get(&holding.holder)?;
        Some((holding.holder.clone(), row.peer))
    }

    /// The minions that are to be emptied.
    pub(crate) fn emptying_minions(&self) -> HashSet<&str> {
        let now = clock::now();
        let ahead = self.released.iter().filter(|(_, until)| now < **until);
        let rows = self.emptying.values().map(String::as_str);
        rows.chain(ahead.map(|(minion, _)| minion.as_str())).collect()
    }

    /// Takes in that minions are to be emptied, by a message ahead of their rows.
    ///
    /// It counts only until the rows must have come.  A message can be held up until its rows
    /// have been dropped again; counted for good, it would keep a minion idle for ever while
    /// tasks wait for it.
    pub(crate) fn release(&mut self, minions: impl Iterator<Item = String>) {
        let now = clock::now();
        self.released.retain(|_, until| now < *until);
        self.released.extend(minions.map(|minion| (minion, now + RELEASE_AHEAD)));
    }
}

/// The renewals of an entry's row.
#[derive(Clone, Copy, Debug, Default)]
struct Renewal {
    /// When the last successful one was sent.
    sent: Time,
    /// After what silence others may take this entry's cells over, at the least.
    term: Duration,
    /// How long the last successful one took.
    took: Duration,
    /// How many were sent.
    count: u64,
}

/// The shared parts.
pub(crate) struct Node {
    /// This process's id, new with every start.
    pub(crate) me: String,
    /// What it was told.
    pub(crate) settings: Settings,
    /// The store.
    pub(crate) store: store::Client,
    /// The minions.
    pub(crate) minion_client: minion::Client,
    /// The interface to machines.
    pub(crate) machines: Option<machine::Client>,
    /// The advice service, and the lock that keeps its calls one at a time.
    pub(crate) advice: Option<async_std::sync::Mutex<advice::Client>>,
    /// The configuration in force here.
    pub(crate) in_force: InForce,
    /// What entries agree on.
    pub(crate) view: RwLock<View>,
    /// Minions as the platform lists them.
    pub(crate) minions: RwLock<BTreeMap<Arc<str>, minion::Entry>>,
    /// Waves of maintenance that operators asked for.
    pub(crate) waves: RwLock<BTreeMap<u64, Wave>>,
    /// Cells owned here.
    pub(crate) owners: RwLock<BTreeMap<String, Arc<Owner>>>,
    /// Woken when this entry begins to own a cell, for whoever follows the minions.
    pub(crate) owning: Wake,
    /// The same, for whoever renews this entry's row.
    pub(crate) renewing: Wake,
    /// The other entries.
    pub(crate) peers: Peers,
    /// Log lines.
    pub(crate) journal: Arc<Journal>,
    /// Figures.
    pub(crate) metrics: Arc<Metrics>,
    /// How long transactions of the store are waited for.
    pub(crate) patience: Mutex<Patience>,
    /// What is known of the renewals of this entry's row.
    renewal: Mutex<Renewal>,
    /// Whether the store is away.
    outage: Mutex<Outage>,
    /// Whether the entry is about to stop.
    pub(crate) stopping: AtomicBool,
    /// Requests of callers being worked on.
    pub(crate) flying: AtomicU64,
    /// Ends the background tasks.
    pub(crate) stop: StopToken,
}

impl Node {
    pub(crate) fn new(settings: Settings, peers: Peers, stop: StopToken) -> Self {
        let caller = Arc::new(HttpClient::default());
        let service = |address| Service::new(caller.clone(), address);
        let machines = settings.machines.map(|address| machine::Client::new(service(address)));
        let advice = settings
            .advice
            .map(|address| async_std::sync::Mutex::new(advice::Client::new(service(address))));
        Self {
            advice,
            me: format!("{}.{:08x}", settings.name, rand::random::<u32>()),
            store: store::Client::new(service(settings.store)),
            minion_client: minion::Client::new(caller.clone()),
            machines,
            settings,
            in_force: InForce::default(),
            view: RwLock::default(),
            minions: RwLock::default(),
            waves: RwLock::default(),
            owners: RwLock::default(),
            owning: Wake::default(),
            renewing: Wake::default(),
            peers,
            journal: Arc::default(),
            metrics: Arc::default(),
            patience: Mutex::default(),
            renewal: Mutex::default(),
            outage: Mutex::default(),
            stopping: AtomicBool::new(false),
            flying: AtomicU64::new(0),
            stop,
        }
    }

    /// Sleeps; tells whether the task should go on.
    pub(crate) async fn pause(&self, time: Duration) -> bool {
        async_std::task::sleep(time).timeout_at(self.stop.clone()).await.is_ok()
    }

    /// Whether no new work is taken any more.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    /// The configuration in force here.
    pub(crate) fn configuration(&self) -> Option<Arc<Configuration>> {
        self.in_force.get()
    }

    /// The owner of a cell, if that is this entry.
    pub(crate) fn owner(&self, cell: &str) -> Option<Arc<Owner>> {
        self.owners.read().get(cell).cloned()
    }

    /// Time between two renewals.
    pub(crate) fn renewal_interval(&self) -> Duration {
        let owns = !self.owners.read().is_empty();
        let view = self.view.read();
        let (entries, cells) = (view.entries.len(), view.holdings.len());
        ownership::interval(self.settings.renew.0, entries, cells, owns)
    }

    /// The number and the term of a renewal that is about to be sent.
    ///
    /// Whether it is answered or not, others may go by it from now on, so nothing is started
    /// beyond the shorter one of its term and the last one's.
    pub(crate) fn begin_renewal(&self) -> (u64, Duration) {
        let interval = self.renewal_interval();
        let mut renewal = self.renewal.lock();
        let term = ownership::term(self.settings.takeover_after.0, interval, renewal.took);
        renewal.term = renewal.term.min(term);
        renewal.count += 1;
        (renewal.count, term)
    }

    /// Notes a successful renewal that was sent at `sent` with this term.
    pub(crate) fn renewed(&self, sent: Time, term: Duration) {
        let took = clock::now().since(sent);
        let mut renewal = self.renewal.lock();
        *renewal = Renewal { sent, term, took, ..*renewal };
    }

    /// Time since the last successful renewal was sent.
    pub(crate) fn since_renewal(&self) -> Duration {
        clock::now().since(self.renewal.lock().sent)
    }

    /// Whether leases on what runs may be extended.
    ///
    /// An owner that can't renew its row may have lost its cells without knowing it.  Its
    /// successor reckons that it extends nothing after this time.
    pub(crate) fn may_extend(&self) -> bool {
        self.since_renewal() < self.settings.extend_alone.0
    }

    /// Which tasks may be started.
    ///
    /// After the silence for which others wait before they take a cell over, a successor may
    /// have adopted what this owner started.  An owner cut off with some of the minions would
    /// see the rest lapse and start their tasks a second time, on minions that its successor
    /// can't reach to fence; so from shortly before that moment on it starts only what was never
    /// started.
    pub(crate) fn permit(&self) -> Permit {
        let Renewal { sent, term, .. } = *self.renewal.lock();
        let silence = clock::now().since(sent) + START_MARGIN;
        if silence < term {
            Permit::All
        } else if silence < self.settings.extend_alone.0 {
            Permit::Fresh { known_by: sent + term.saturating_sub(START_MARGIN) }
        } else {
            Permit::Nothing
        }
    }

    /// Takes note of how a call to the store went, and notes a change.
    pub(crate) fn store_result<T>(&self, result: &Result<T, store::Error>) {
        let answered = matches!(
            result,
            Ok(_) | Err(store::Error::Conflict { .. } | store::Error::HistoryGone)
        );
        if !answered {
            self.metrics.count(Counter::StoreFailures);
        }
        if !self.outage.lock().note(answered, clock::now()) {
            return;
        }
        match result {
            Err(error) if !answered => self.journal.warn("store_lost", &[("reason", error)]),
            _ => self.journal.note("store_back", &[("address", &self.settings.store)]),
        }
    }

    /// Whether the store may be away.
    pub(crate) fn may_store_be_away(&self) -> bool {
        self.outage.lock().is_likely()
    }

    /// Whether the store is away, as far as this entry knows.
    pub(crate) fn is_store_away(&self) -> bool {
        self.outage.lock().is_on(clock::now())
    }

    /// Commits a transaction and takes note of how it went; waits at most `limit`, and less when
    /// answers come fast.
    pub(crate) async fn commit(
        &self,
        change: &store::Transaction,
        limit: Duration,
    ) -> Result<u64, store::Error> {
        let limit = limit.min(self.patience.lock().limit());
        self.commit_patiently(change, limit).await
    }

    /// The same, with the whole of `limit` to wait.
    pub(crate) async fn commit_patiently(
        &self,
        change: &store::Transaction,
        limit: Duration,
    ) -> Result<u64, store::Error> {
        let began = clock::now();
        let result = self.store.commit(change, limit).await;
        let took = clock::now().since(began);
        self.metrics.time(crate::metrics::Timing::Commit, took);
        match &result {
            Ok(_) | Err(store::Error::Conflict { .. }) => self.patience.lock().answered(took),
            Err(store::Error::Unanswered { .. }) => self.patience.lock().unanswered(),
            Err(_) => {}
        }
        self.store_result(&result);
        result
    }
}
