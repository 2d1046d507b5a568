//! State shared by all parts of the daemon.
//!
//! # Lock order
//!
//! An owner's `delegation` → `in_force` → `view` → `directory` → `minions` → `waves` → `owners` →
//! an owner's `cell` → an owner's `jobs_recency` → `links`; `admission` and `nearly_full` are taken
//! without any other.  A lock may only be taken while holding locks that precede it in
//! this list, and no lock is held across an await.

mod view;

use crate::clock;
use crate::directory::Directory;
use crate::in_force::ConfigurationInForce;
use crate::journal::Journal;
use crate::metrics::{Counter, Metrics};
use crate::owner::Owner;
use crate::peers::Peers;
use crate::rows;
use crate::settings::Settings;
use celerythread_adapter::configuration::Configuration;
use celerythread_adapter::wave::Wave;
use celerythread_adapter::{HttpClient, Service, advice, machine, minion, store};
use celerythread_engine::admission::{Admission, NearlyFull};
use celerythread_engine::cell::Permit;
use celerythread_engine::outage::Outage;
use celerythread_engine::ownership;
use celerythread_engine::time::Time;
use celerythread_engine::timeout::Timeout;
use celerythread_http::Limit;
use celerythread_http::memory::Budget;
use celerythread_sync::Wake;
use parking_lot::{Mutex, RwLock};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;
use stop_token::StopToken;
use stop_token::future::FutureExt;
pub(crate) use view::View;

/// How long before a possible takeover the owner stops starting tasks.  Longer than a plan takes to
/// reach the network on a slow instance.
const START_MARGIN: Duration = Duration::from_millis(300);

/// Time between two checks whether an outage of the store has ended.
const OUTAGE_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// How long an entry goes on following the control table after it has ceased to be a member.  A
/// holder that stops may hand it a cell for as long as its last renewal seems recent.
const MEMBERSHIP_LINGER: Duration = ownership::MAX_TERM;

/// How long the next process of a member's instance is a member without a cell or a slot.
const PROVISIONAL_MEMBERSHIP: Duration = Duration::from_secs(5);

/// Renewals of this entry's row.
#[derive(Clone, Copy, Debug, Default)]
struct Renewal {
    /// When the last successful renewal was sent.
    sent: Time,
    /// Shortest silence after which other entries may take over this entry's cells.
    term: Duration,
    /// Duration of the last successful renewal.
    took: Duration,
    /// Number of renewals sent.
    count: u64,
}

/// This entry's membership.
#[derive(Clone, Copy, Debug, Default)]
struct Membership {
    /// Since when it has been a member without interruption.
    since: Option<Time>,
    /// Until when it follows the control table although it no longer renews its row.
    lingers_until: Time,
    /// Until when it is a member without a cell or a slot.
    provisional_until: Time,
}

/// Shared state of this process.
pub(crate) struct Node {
    /// Id of this process, new at every start.
    pub(crate) entry_id: String,
    pub(crate) settings: Settings,
    pub(crate) store: store::Client,
    pub(crate) minion_client: minion::Client,
    /// Client of the machine API, if configured.
    pub(crate) machines: Option<machine::Client>,
    /// Client of the advice service; the lock serializes its calls.
    pub(crate) advice: Option<async_std::sync::Mutex<advice::Client>>,
    /// The configuration in force on this entry.
    pub(crate) in_force: ConfigurationInForce,
    /// State shared between members.
    pub(crate) view: RwLock<View>,
    /// Where members are reached.
    pub(crate) directory: RwLock<Directory>,
    /// Minions as the platform lists them.
    pub(crate) minions: RwLock<BTreeMap<Arc<str>, minion::Entry>>,
    /// Whether `minions` is complete and followed.
    pub(crate) minions_read: AtomicBool,
    /// Maintenance waves that operators requested.
    pub(crate) waves: RwLock<BTreeMap<u64, Wave>>,
    /// Owners of the cells that this entry owns.
    pub(crate) owners: RwLock<BTreeMap<String, Arc<Owner>>>,
    /// Woken when this entry starts owning a cell, for the task that follows the minions.
    pub(crate) cell_acquired: Wake,
    /// The same, for the task that renews this entry's row.
    pub(crate) renewal_due: Wake,
    /// Woken when this entry becomes a member.
    pub(crate) membership_wake: Wake,
    /// Woken when the directory has changed, or must be changed.
    pub(crate) directory_wake: Wake,
    membership: Mutex<Membership>,
    /// Whether the holder of a cell has not answered lately.
    holder_suspected: AtomicBool,
    /// Where peers reach this entry, once it listens.
    peer_address: OnceLock<SocketAddr>,
    pub(crate) peers: Peers,
    pub(crate) journal: Arc<Journal>,
    pub(crate) metrics: Arc<Metrics>,
    /// Adapts the timeout of store transactions to recent answers.
    pub(crate) commit_timeout: Mutex<Timeout>,
    renewal: Mutex<Renewal>,
    /// Outage of the store.
    outage: Mutex<Outage>,
    /// Woken when a call to the store has failed.
    pub(crate) store_doubted: Wake,
    /// Whether the entry is shutting down.
    pub(crate) stopping: AtomicBool,
    /// Requests of callers being processed.
    pub(crate) in_flight: AtomicU64,
    /// Memory for the requests that are being received or processed.
    pub(crate) request_memory: Budget,
    /// Memory for the jobs of the cells that this entry owns.
    pub(crate) admission: Mutex<Admission>,
    /// Services whose owners' memory for jobs is nearly used up.
    pub(crate) nearly_full: Mutex<NearlyFull>,
    /// Stops the background tasks.
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
        let request_memory = Budget::new(settings.request_memory());
        let admission = Mutex::new(Admission::new(settings.job_memory()));
        Self {
            advice,
            entry_id: format!("{}.{:08x}", settings.name, rand::random::<u32>()),
            store: store::Client::new(service(settings.store)).with_local_clock(clock::now),
            minion_client: minion::Client::new(caller.clone()),
            machines,
            settings,
            in_force: ConfigurationInForce::default(),
            view: RwLock::default(),
            directory: RwLock::default(),
            minions: RwLock::default(),
            minions_read: AtomicBool::new(false),
            waves: RwLock::default(),
            owners: RwLock::default(),
            cell_acquired: Wake::default(),
            renewal_due: Wake::default(),
            membership_wake: Wake::default(),
            directory_wake: Wake::default(),
            membership: Mutex::default(),
            holder_suspected: AtomicBool::new(false),
            peer_address: OnceLock::new(),
            peers,
            journal: Arc::default(),
            metrics: Arc::default(),
            commit_timeout: Mutex::default(),
            renewal: Mutex::default(),
            outage: Mutex::default(),
            store_doubted: Wake::default(),
            stopping: AtomicBool::new(false),
            in_flight: AtomicU64::new(0),
            request_memory,
            admission,
            nearly_full: Mutex::default(),
            stop,
        }
    }

    /// Sleeps; false if the node stops meanwhile.
    pub(crate) async fn pause(&self, time: Duration) -> bool {
        async_std::task::sleep(time).timeout_at(self.stop.clone()).await.is_ok()
    }

    /// Counts and logs that a client has reached a limit at one of the listeners.
    pub(crate) fn record_limit(&self, limit: Limit, listener: &str, client: Option<SocketAddr>) {
        self.metrics.count_limit(limit);
        let client = client.map_or_else(|| "-".to_owned(), |client| client.to_string());
        self.journal.warn(
            "limit_reached",
            &[("limit", &limit), ("listener", &listener), ("client", &client)],
        );
    }

    /// Whether no new work is accepted any more.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    /// The configuration in force on this entry.
    pub(crate) fn configuration(&self) -> Option<Arc<Configuration>> {
        self.in_force.get()
    }

    /// The owner of a cell, if that is this entry.
    pub(crate) fn owner(&self, cell: &str) -> Option<Arc<Owner>> {
        self.owners.read().get(cell).cloned()
    }

    /// This instance's processor capacity in millicores.
    pub(crate) fn millicores(&self) -> u32 {
        (self.settings.cores * 1000.0) as u32
    }

    /// Sets where peers reach this entry.
    pub(crate) fn set_peer_address(&self, address: SocketAddr) {
        // It listens only once.
        let _ = self.peer_address.set(address);
    }

    /// Where peers reach this entry; none before it listens.
    pub(crate) fn peer_address(&self) -> Option<SocketAddr> {
        self.peer_address.get().copied()
    }

    /// Whether this entry renews its row: it owns a cell, stands by, or is a member provisionally.
    pub(crate) fn renews(&self) -> bool {
        self.directory.read().stands_by(&self.entry_id)
            || !self.owners.read().is_empty()
            || clock::now() < self.membership.lock().provisional_until
    }

    /// Whether this entry is a member, or was one until recently.
    pub(crate) fn is_member(&self) -> bool {
        let (renews, now) = (self.renews(), clock::now());
        let mut membership = self.membership.lock();
        if renews {
            membership.lingers_until = now + MEMBERSHIP_LINGER;
            membership.since.get_or_insert(now);
        } else if now >= membership.lingers_until {
            membership.since = None;
        }
        membership.since.is_some()
    }

    /// For how long this entry has been a member.
    pub(crate) fn member_for(&self) -> Duration {
        self.membership.lock().since.map_or(Duration::ZERO, |since| clock::now().since(since))
    }

    /// Makes this entry a member for [`PROVISIONAL_MEMBERSHIP`].
    pub(crate) fn join_provisionally(&self) {
        self.membership.lock().provisional_until = clock::now() + PROVISIONAL_MEMBERSHIP;
        self.membership_wake.wake();
        self.renewal_due.wake();
    }

    /// Records that the holder of a cell has not answered.
    pub(crate) fn suspect_holder(&self) {
        if !self.holder_suspected.swap(true, Ordering::SeqCst) {
            self.directory_wake.wake();
        }
    }

    /// Whether a holder has not answered since the last call.
    pub(crate) fn take_suspicion(&self) -> bool {
        self.holder_suspected.swap(false, Ordering::SeqCst)
    }

    /// The holder of a cell, by whichever of the control table and the directory is newer.
    pub(crate) fn holder(&self, cell: &str) -> Option<rows::Route> {
        let viewed = self.view.read().holder(cell);
        let listed = self.directory.read().routes.get(cell).map(|route| route.value.clone());
        viewed.into_iter().chain(listed).max_by_key(|route| route.token)
    }

    /// Addresses of other members that aren't about to stop.
    pub(crate) fn member_addresses(&self) -> Vec<SocketAddr> {
        let view = self.view.read();
        let rows = view.entry_rows.iter();
        let others = rows.filter(|(id, row)| **id != self.entry_id && !row.stopping);
        let mut addresses = self.directory.read().peers(&self.entry_id);
        addresses.extend(others.map(|(_, row)| row.peer));
        addresses.into_iter().collect()
    }

    /// The other entries that stand by and aren't about to stop, by `select` of zone and row.
    pub(crate) fn standbys<T>(&self, select: impl Fn(&str, &rows::Standby) -> T) -> Vec<T> {
        let view = self.view.read();
        let is_stopping = |id: &str| view.entry_rows.get(id).is_some_and(|row| row.stopping);
        let directory = self.directory.read();
        let others = directory.standbys.iter().filter(|(_, standby)| {
            standby.value.entry != self.entry_id && !is_stopping(&standby.value.entry)
        });
        others.map(|((zone, _), standby)| select(zone, &standby.value)).collect()
    }

    /// Whether it owns a cell with minions, which the fleet controller's has not.
    pub(crate) fn owns_minions(&self) -> bool {
        self.owners.read().keys().any(|cell| cell != rows::FLEET_CELL)
    }

    /// Time between two renewals.
    pub(crate) fn renewal_interval(&self) -> Duration {
        let owns = !self.owners.read().is_empty();
        let view = self.view.read();
        let (entries, cells) = (view.entries.len(), view.holdings.len());
        ownership::renewal_interval(self.settings.renew.0, entries, cells, owns)
    }

    /// Returns the number and the term of a renewal that is about to be sent.
    ///
    /// Other entries may act on it from now on, whether it is answered or not, so nothing is
    /// started beyond the shorter of its term and the last one's.
    pub(crate) fn begin_renewal(&self) -> (u64, Duration) {
        let interval = self.renewal_interval();
        let mut renewal = self.renewal.lock();
        let term = ownership::term(self.settings.takeover_after.0, interval, renewal.took);
        renewal.term = renewal.term.min(term);
        renewal.count += 1;
        (renewal.count, term)
    }

    /// Records a successful renewal with this term that was sent at `sent` and proved ownership of
    /// these cells, with their tokens; false if this entry owns another cell by now.
    ///
    /// A renewal that was sent before a takeover can be committed after the cell is lost again.
    pub(crate) fn record_renewal(&self, sent: Time, term: Duration, of: &[(String, u64)]) -> bool {
        let took = clock::now().since(sent);
        let is_of = |cell, token| of.iter().any(|known| (&known.0, known.1) == (cell, token));
        if !self.owners.read().iter().all(|(cell, owner)| is_of(cell, owner.token)) {
            return false;
        }
        let mut renewal = self.renewal.lock();
        *renewal = Renewal { sent, term, took, ..*renewal };
        true
    }

    /// When the last successful renewal was sent.
    pub(crate) fn last_renewal_sent(&self) -> Time {
        self.renewal.lock().sent
    }

    /// Time since the last successful renewal was sent.
    pub(crate) fn since_renewal(&self) -> Duration {
        clock::now().since(self.last_renewal_sent())
    }

    /// Whether leases of running tasks may be extended.
    ///
    /// An owner that can't renew its row may have lost its cells without knowing it.  Its successor
    /// assumes that it extends no lease after this time.
    pub(crate) fn may_extend_leases(&self) -> bool {
        self.since_renewal() < self.settings.extend_alone.0
    }

    /// Which tasks may be started.
    ///
    /// After the silence for which other entries wait before they take over a cell, a successor may
    /// have adopted what this owner started.  An owner that is disconnected together with some of
    /// the minions would see the other leases expire and start their tasks a second time, on
    /// minions that its successor can't reach to fence.  So from shortly before that time on it
    /// starts only tasks that were never started.
    pub(crate) fn permit(&self) -> Permit {
        let Renewal { sent, term, .. } = *self.renewal.lock();
        let silence = clock::now().since(sent) + START_MARGIN;
        if silence < term {
            Permit::All
        } else if silence < self.settings.extend_alone.0 {
            Permit::NeverStarted { known_by: sent + term.saturating_sub(START_MARGIN) }
        } else {
            Permit::Nothing
        }
    }

    /// Records the outcome of a call to the store, and logs when an outage begins or ends.
    pub(crate) fn record_store_result<T>(&self, result: &Result<T, store::Error>) {
        let answered = matches!(
            result,
            Ok(_) | Err(store::Error::Conflict { .. } | store::Error::HistoryGone)
        );
        if !answered {
            self.metrics.count(Counter::StoreFailures);
            self.store_doubted.wake();
        }
        if !self.outage.lock().record(answered, clock::now()) {
            return;
        }
        match result {
            Err(error) if !answered => self.journal.warn("store_lost", &[("reason", error)]),
            _ => self.journal.info("store_back", &[("address", &self.settings.store)]),
        }
    }

    /// Whether the last call to the store failed.
    pub(crate) fn is_store_in_doubt(&self) -> bool {
        self.outage.lock().has_failures()
    }

    /// Sleeps before a failed call to the store is repeated, at least until the end of an outage,
    /// which probes notice; false if the node stops meanwhile.
    pub(crate) async fn pause_for_store(&self, time: Duration) -> bool {
        let mut is_running = self.pause(time).await;
        while is_running && self.is_outage_ongoing() {
            is_running = self.pause(OUTAGE_POLL_INTERVAL).await;
        }
        is_running
    }

    /// Whether the store may be unavailable.
    pub(crate) fn is_outage_suspected(&self) -> bool {
        self.outage.lock().is_suspected()
    }

    /// Whether the store is unavailable, as far as this entry knows.
    pub(crate) fn is_outage_ongoing(&self) -> bool {
        self.outage.lock().is_ongoing(clock::now())
    }

    /// Time since the store last answered, if it is unavailable as far as this entry knows.
    pub(crate) fn outage_duration(&self) -> Option<Duration> {
        self.outage.lock().duration(clock::now())
    }

    /// Commits a transaction and records the outcome.  Waits at most `timeout`, and less when recent
    /// answers were fast.
    pub(crate) async fn commit(
        &self,
        change: &store::Transaction,
        timeout: Duration,
    ) -> Result<u64, store::Error> {
        let timeout = timeout.min(self.commit_timeout.lock().current());
        self.commit_with_timeout(change, timeout).await
    }

    /// The same, but waits for the whole of `timeout`.
    pub(crate) async fn commit_with_timeout(
        &self,
        change: &store::Transaction,
        timeout: Duration,
    ) -> Result<u64, store::Error> {
        let began = clock::now();
        let result = self.store.commit(change, timeout).await;
        if let Ok(version) = result {
            for owner in self.owners.read().values() {
                owner.jobs_recency.lock().record_version(began, version);
            }
        }
        let took = clock::now().since(began);
        self.metrics.time(crate::metrics::Timing::Commit, took);
        match &result {
            Ok(_) | Err(store::Error::Conflict { .. }) => {
                self.commit_timeout.lock().record_answer(took)
            }
            Err(store::Error::Unanswered { .. }) => self.commit_timeout.lock().record_timeout(),
            Err(_) => {}
        }
        self.record_store_result(&result);
        result
    }
}
