//! The settings of an entry: an INI file, checked as a whole.

mod machine;

use celerythread_engine::timeout;
use celerythread_model::ini::{Mistake, Reader};
use celerythread_model::unit::{Bytes, Span};
use std::net::SocketAddr;
use std::time::Duration;

/// The settings of an entry.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The instance's name.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// The processor cores that it may use.
    pub cores: f64,
    /// The memory that it may use.
    pub memory: Bytes,
    /// The file descriptors that it may open.
    pub descriptors: u64,
    /// The address at which callers reach it.
    pub caller_listen: SocketAddr,
    /// The address of its readiness check; may be the callers' address.
    pub ready_listen: SocketAddr,
    /// The UDP address at which peers reach it.
    pub peer_listen: SocketAddr,
    /// The address at which metrics are served; none to serve no metrics.
    pub metrics_listen: Option<SocketAddr>,
    /// The address of the platform's store.
    pub store: SocketAddr,
    /// The address of the platform's machine interface; without it, no machine is maintained or
    /// moved.
    pub machines: Option<SocketAddr>,
    /// The address of the platform's advice service; without it, queues that need tickets are not
    /// served.
    pub advice: Option<SocketAddr>,
    /// Term of a minion's lease on its runs.
    pub run_lease: Span,
    /// Longest lease that minions grant, whatever term is requested.
    pub lease_limit: Span,
    /// How long an owner that cannot renew its row continues to extend leases.
    pub extend_alone: Span,
    /// Interval between two renewals of this entry's row.
    pub renew: Span,
    /// Shortest silence of an entry after which its cells are taken over; longer while the store is
    /// slow.
    pub takeover_after: Span,
    /// Longest time that a minion takes to stop a run.
    pub stop_timeout: Span,
    /// Time after a cancellation was acknowledged within which no task of its job is started any more.
    pub cancel_within: Span,
    /// Whether workspaces share a pool's capacity by weight while it is short.
    pub workspace_shares: bool,
    /// Term of a fleet controller's lease on a machine after an order, within which no other holder
    /// may order it.
    pub maintenance_lease: Span,
    /// How long a machine is down for its maintenance.
    pub maintenance_duration: Span,
    /// Orders for machines that the platform accepts in a second, from all entries together.
    pub orders_per_s: f64,
    /// Whether pools that lack machines give some to pools whose demand can still be in time.
    pub share_by_urgency: bool,
    /// Whether a pool's first demand peak is expected to be as high as those of the others.
    pub expect_equal_peaks: bool,
    /// Longest outage of the store during which machines are moved without it; zero to move none.
    pub order_alone: Span,
    /// How long ended jobs are retained for queries by their callers.
    pub retention: Span,
    /// Time after a disturbance for which the platform doesn't count an entry as connected.
    pub contact: Span,
    /// Longest duration of a graceful stop.
    pub stop_bound: Span,
    /// Largest body of a caller's request, in bytes.
    pub body_limit: u64,
    /// Longest time for receiving a whole body, apart from the time for its size.
    pub body_timeout: Span,
    /// Largest value of a row that the store keeps, in bytes.
    pub row_bytes: u64,
    /// Whether requests with a key are refused while this entry may have missed the key's
    /// withdrawal.
    pub strict_keys: bool,
    /// Age of the configuration's last confirmation from which on such requests are refused.
    pub trust_keys_for: Span,
}

/// Calls of the configuration's feed for each time in which the platform doesn't count on a
/// connection that was lost.
const OPERATOR_FEEDS_PER_CONTACT: u32 = 3;

/// Part of the time to act on a cancellation in which an owner learns of it.
const JOBS_AGE_PART: f64 = 0.75;

/// Longest time from the check of the view's age until a start is sent: one order timeout at the owner,
/// and another at a delegate.
const MAX_START_DELAY: Duration = timeout::Settings::ORDER.max.saturating_mul(2);

/// Age that an ordinary view reaches beyond the wait of the feed.
const MAX_JOBS_AGE_WITHOUT_WAIT: Duration = Duration::from_millis(1000);

/// Bounds of the wait of one call of the jobs' feed, whatever the settings.
const MIN_JOBS_FEED_WAIT: Duration = Duration::from_millis(200);
const MAX_JOBS_FEED_WAIT: Duration = Duration::from_millis(1000);

/// Bounds of the wait of one call of the operators' table, whatever the settings.
const MIN_OPERATOR_FEED_WAIT: Duration = Duration::from_millis(500);
const MAX_OPERATOR_FEED_WAIT: Duration = Duration::from_secs(10);

impl Default for Settings {
    fn default() -> Self {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            name: "entry".into(),
            zone: "zone".into(),
            cores: 1.0,
            memory: Bytes::mebi(256),
            descriptors: 4096,
            caller_listen: any_port,
            ready_listen: any_port,
            peer_listen: any_port,
            metrics_listen: None,
            store: any_port,
            machines: None,
            advice: None,
            // Runs must outlive a takeover, which takes some 3 s (silence, a transaction, one call
            // to each minion), with a last extension that is up to 1 s old.  A longer lease would
            // delay the restart of what a lost minion ran.
            run_lease: Span::millis(4500),
            lease_limit: Span::millis(10_000),
            // With the lease, runs survive a store outage of some 7 s.  A longer time would delay a
            // new owner where a minion does not answer it.  Compared with 5 s for both, 0.7 and 1.3
            // percent more was served on two deployments over 24 days each, most of them with
            // faults.
            extend_alone: Span::millis(3000),
            renew: Span::millis(300),
            // Four missed renewals.  An instance slowed down by a factor of five still renews in
            // time; a slow store lengthens the term automatically.
            takeover_after: Span::millis(1300),
            stop_timeout: Span::millis(900),
            cancel_within: Span::millis(3000),
            workspace_shares: false,
            maintenance_lease: Span::millis(3000),
            maintenance_duration: Span::millis(2000),
            orders_per_s: 64.0,
            share_by_urgency: false,
            expect_equal_peaks: false,
            order_alone: Span::millis(0),
            retention: Span::secs(120),
            contact: Span::millis(3000),
            stop_bound: Span::millis(6000),
            body_limit: 262_144,
            body_timeout: Span::secs(15),
            row_bytes: 65_536,
            strict_keys: false,
            trust_keys_for: Span::millis(5000),
        }
    }
}

/// Largest value of `order_alone`.  In a longer outage the holder's view of the pools, the
/// configuration and the other entries is too old to move machines by.
const MAX_ORDER_ALONE: Duration = Duration::from_secs(60);

/// The sections of the file.
const SECTIONS: [&str; 8] =
    ["instance", "caller", "peer", "metrics", "platform", "run", "maintenance", "stop"];

impl Settings {
    /// Longest wait of one call of the operators' table: a dead connection is noticed, and replaced,
    /// within the time for which the platform doesn't count the entry as connected.
    pub(crate) fn operator_feed_wait(&self) -> Duration {
        let wait = self.contact.0 / OPERATOR_FEEDS_PER_CONTACT;
        wait.clamp(MIN_OPERATOR_FEED_WAIT, MAX_OPERATOR_FEED_WAIT)
    }

    /// Age of an owner's view of the jobs from which on it starts nothing.  The rest of the time is for
    /// the order's way to the minion.
    pub fn max_jobs_age(&self) -> Duration {
        let cancel_within = self.cancel_within.0;
        cancel_within.mul_f64(JOBS_AGE_PART).min(cancel_within.saturating_sub(MAX_START_DELAY))
    }

    /// Longest wait of one call of the jobs' feed.  With the pause before it, the time between two
    /// renewals and that of an answer, a view without changes stays recent enough.
    pub(crate) fn jobs_feed_wait(&self) -> Duration {
        let wait = self.max_jobs_age().saturating_sub(MAX_JOBS_AGE_WITHOUT_WAIT);
        wait.clamp(MIN_JOBS_FEED_WAIT, MAX_JOBS_FEED_WAIT)
    }

    /// Reads a settings file.
    ///
    /// # Errors
    /// Every mistake at once.
    pub fn read(text: &str) -> Result<Self, Vec<Mistake>> {
        Reader::read_whole(text, &SECTIONS, |reader| {
            let settings = Self::read_keys(reader);
            settings.check(reader);
            settings
        })
    }

    fn read_keys(reader: &mut Reader) -> Self {
        let defaults = Settings::default();
        let caller_listen = reader.required("caller", "listen").unwrap_or(defaults.caller_listen);
        Settings {
            name: reader.required("instance", "name").unwrap_or(defaults.name),
            zone: reader.required("instance", "zone").unwrap_or(defaults.zone),
            cores: reader.value("instance", "cores", defaults.cores),
            memory: reader.value("instance", "memory", defaults.memory),
            descriptors: reader.value("instance", "descriptors", defaults.descriptors),
            caller_listen,
            ready_listen: reader.value("caller", "ready_listen", caller_listen),
            body_limit: reader.value("caller", "body_limit", defaults.body_limit),
            body_timeout: reader.value("caller", "body_timeout", defaults.body_timeout),
            row_bytes: reader.value("platform", "row_bytes", defaults.row_bytes),
            strict_keys: reader.value("caller", "strict_keys", defaults.strict_keys),
            trust_keys_for: reader.value("caller", "trust_keys_for", defaults.trust_keys_for),
            peer_listen: reader.required("peer", "listen").unwrap_or(defaults.peer_listen),
            renew: reader.value("peer", "renew", defaults.renew),
            takeover_after: reader.value("peer", "takeover_after", defaults.takeover_after),
            metrics_listen: reader.optional("metrics", "listen"),
            store: reader.required("platform", "store").unwrap_or(defaults.store),
            machines: reader.optional("platform", "machines"),
            advice: reader.optional("platform", "advice"),
            retention: reader.value("platform", "retention", defaults.retention),
            contact: reader.value("platform", "contact", defaults.contact),
            run_lease: reader.value("run", "lease", defaults.run_lease),
            lease_limit: reader.value("run", "lease_limit", defaults.lease_limit),
            extend_alone: reader.value("run", "extend_alone", defaults.extend_alone),
            stop_timeout: reader.value("run", "stop_timeout", defaults.stop_timeout),
            cancel_within: reader.value("run", "cancel_within", defaults.cancel_within),
            workspace_shares: reader.value("run", "workspace_shares", defaults.workspace_shares),
            maintenance_lease: reader.value("maintenance", "lease", defaults.maintenance_lease),
            maintenance_duration: {
                let seconds = defaults.maintenance_duration.0.as_secs_f64();
                let seconds: f64 = reader.value("maintenance", "duration_s", seconds);
                Span::millis((seconds.max(0.0) * 1000.0) as u64)
            },
            orders_per_s: reader.value("maintenance", "orders_per_s", defaults.orders_per_s),
            share_by_urgency: reader.value(
                "maintenance",
                "share_by_urgency",
                defaults.share_by_urgency,
            ),
            expect_equal_peaks: reader.value(
                "maintenance",
                "expect_equal_peaks",
                defaults.expect_equal_peaks,
            ),
            order_alone: reader.value("maintenance", "order_alone", defaults.order_alone),
            stop_bound: reader.value("stop", "bound", defaults.stop_bound),
        }
    }

    /// Reports contradictions between keys, and values out of range.
    fn check(&self, reader: &mut Reader) {
        use celerythread_model::code::Code;
        self.check_machine(reader);
        if self.takeover_after.0 < self.renew.0 * 3 {
            let text = format!(
                "takeover_after {} is less than three renewals of {}; a healthy entry would lose its cells",
                self.takeover_after, self.renew
            );
            reader.add_mistake(Code::Contradiction, "peer", "takeover_after", text);
        }
        if !self.orders_per_s.is_finite() || self.orders_per_s < 1.0 {
            let text = format!(
                "orders_per_s {} is not a finite number of at least 1; no machine would be moved",
                self.orders_per_s
            );
            reader.add_mistake(Code::Contradiction, "maintenance", "orders_per_s", text);
        }
        if self.order_alone.0 > MAX_ORDER_ALONE {
            let text =
                format!("order_alone {} is out of range; valid are 0s to 60s", self.order_alone);
            reader.add_mistake(Code::Contradiction, "maintenance", "order_alone", text);
        }
        if self.max_jobs_age().is_zero() {
            let text = format!(
                "cancel_within {} must exceed {MAX_START_DELAY:?}, the longest time to send a start",
                self.cancel_within
            );
            reader.add_mistake(Code::Contradiction, "run", "cancel_within", text);
        }
        if self.run_lease.0 < self.takeover_after.0 {
            let text = format!(
                "lease {} is less than takeover_after {}; runs would end when their owner is lost",
                self.run_lease, self.takeover_after
            );
            reader.add_mistake(Code::Contradiction, "run", "lease", text);
        }
    }
}
