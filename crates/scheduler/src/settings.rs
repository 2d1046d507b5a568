//! The settings of an entry: an INI file, checked as a whole.

use celerythread_model::ini::{Mistake, Reader};
use celerythread_model::unit::Span;
use std::net::SocketAddr;

/// Everything that an entry is told.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The instance's name.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// Its share of a processor, in cores.
    pub cores: f64,
    /// Where callers reach it.
    pub caller_listen: SocketAddr,
    /// Where it is asked whether it takes callers; may be the callers' own address.
    pub ready_listen: SocketAddr,
    /// Where peers reach it, over UDP.
    pub peer_listen: SocketAddr,
    /// Where counters and histograms are served; none serves none.
    pub metrics_listen: Option<SocketAddr>,
    /// The platform's store.
    pub store: SocketAddr,
    /// The platform's interface to machines; without it no maintenance is carried out.
    pub machines: Option<SocketAddr>,
    /// The platform's advice service; without it queues that need tickets are not served.
    pub advice: Option<SocketAddr>,
    /// Term of a lease on what runs on a minion.
    pub run_lease: Span,
    /// Longest lease that minions grant, regardless of the requested term.
    pub lease_limit: Span,
    /// How long an owner that can't renew its row goes on extending leases.
    pub extend_alone: Span,
    /// Time between two renewals of this entry's row.
    pub renew: Span,
    /// Least silence of an entry after which its cells are taken over; longer while the store is
    /// slow.
    pub takeover_after: Span,
    /// Longest time that a minion takes to stop a run.
    pub stop_timeout: Span,
    /// Time for which holders of the maintenance duty must not take turns.
    pub maintenance_lease: Span,
    /// How long a machine is down for its maintenance.
    pub maintenance_duration: Span,
    /// Orders for machines that the platform takes in a second, from all entries together.
    pub orders_per_s: f64,
    /// How long ended jobs are kept.
    pub retention: Span,
    /// Longest time for a graceful stop.
    pub stop_bound: Span,
    /// Largest body of a caller's request, in bytes.
    pub body_limit: u64,
    /// Whether calls with a key are refused while it may have been withdrawn unseen.
    pub strict_keys: bool,
    /// How long after the configuration was last known to be the newest that begins.
    pub trust_keys_for: Span,
}

impl Default for Settings {
    fn default() -> Self {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            name: "entry".into(),
            zone: "zone".into(),
            cores: 1.0,
            caller_listen: any_port,
            ready_listen: any_port,
            peer_listen: any_port,
            metrics_listen: None,
            store: any_port,
            machines: None,
            advice: None,
            // A takeover takes some 3 s (silence, a transaction, one call to each minion) and the
            // last extension is up to a second old, and what runs is to outlive both; longer
            // would delay the restart of what a lost minion ran.
            run_lease: Span::millis(4500),
            lease_limit: Span::millis(10_000),
            // With the lease, rides out an outage of the store of some 7 s; longer would delay
            // a new owner where a minion doesn't answer it.  Against 5 s for both, 24 days on
            // each of two deployments, most of them with trouble, served 0.7 and 1.3 percent more.
            extend_alone: Span::millis(3000),
            renew: Span::millis(300),
            // Four missed renewals.  An instance that is slowed down five times still renews in
            // time; a slow store lengthens the term by itself.
            takeover_after: Span::millis(1300),
            stop_timeout: Span::millis(900),
            maintenance_lease: Span::millis(3000),
            maintenance_duration: Span::millis(2000),
            orders_per_s: 64.0,
            retention: Span::secs(120),
            stop_bound: Span::millis(6000),
            body_limit: 262_144,
            strict_keys: false,
            trust_keys_for: Span::millis(5000),
        }
    }
}

/// The sections of the file.
const SECTIONS: [&str; 8] =
    ["instance", "caller", "peer", "metrics", "platform", "run", "maintenance", "stop"];

impl Settings {
    /// Reads a settings file.
    ///
    /// # Errors
    /// Every mistake at once.
    pub fn read(text: &str) -> Result<Self, Vec<Mistake>> {
        Reader::read_whole(text, &SECTIONS, |reader| {
            let settings = Self::take(reader);
            settings.check(reader);
            settings
        })
    }

    fn take(reader: &mut Reader) -> Self {
        let base = Settings::default();
        let caller_listen = reader.required("caller", "listen").unwrap_or(base.caller_listen);
        Settings {
            name: reader.required("instance", "name").unwrap_or(base.name),
            zone: reader.required("instance", "zone").unwrap_or(base.zone),
            cores: reader.value("instance", "cores", base.cores),
            caller_listen,
            ready_listen: reader.value("caller", "ready_listen", caller_listen),
            body_limit: reader.value("caller", "body_limit", base.body_limit),
            strict_keys: reader.value("caller", "strict_keys", base.strict_keys),
            trust_keys_for: reader.value("caller", "trust_keys_for", base.trust_keys_for),
            peer_listen: reader.required("peer", "listen").unwrap_or(base.peer_listen),
            renew: reader.value("peer", "renew", base.renew),
            takeover_after: reader.value("peer", "takeover_after", base.takeover_after),
            metrics_listen: reader.optional("metrics", "listen"),
            store: reader.required("platform", "store").unwrap_or(base.store),
            machines: reader.optional("platform", "machines"),
            advice: reader.optional("platform", "advice"),
            retention: reader.value("platform", "retention", base.retention),
            run_lease: reader.value("run", "lease", base.run_lease),
            lease_limit: reader.value("run", "lease_limit", base.lease_limit),
            extend_alone: reader.value("run", "extend_alone", base.extend_alone),
            stop_timeout: reader.value("run", "stop_timeout", base.stop_timeout),
            maintenance_lease: reader.value("maintenance", "lease", base.maintenance_lease),
            maintenance_duration: {
                let seconds = base.maintenance_duration.0.as_secs_f64();
                let seconds: f64 = reader.value("maintenance", "duration_s", seconds);
                Span::millis((seconds.max(0.0) * 1000.0) as u64)
            },
            orders_per_s: reader.value("maintenance", "orders_per_s", base.orders_per_s),
            stop_bound: reader.value("stop", "bound", base.stop_bound),
        }
    }

    /// What no single key can tell.
    fn check(&self, reader: &mut Reader) {
        use celerythread_model::code::Code;
        if self.takeover_after.0 < self.renew.0 * 3 {
            let text = format!(
                "takeover_after {} is less than three renewals of {}; a healthy entry would lose its cells",
                self.takeover_after, self.renew
            );
            reader.add_mistake(Code::Contradiction, "peer", "takeover_after", text);
        }
        if !self.orders_per_s.is_finite() || self.orders_per_s < 1.0 {
            let text = format!("{} orders a second; no machine would ever move", self.orders_per_s);
            reader.add_mistake(Code::Contradiction, "maintenance", "orders_per_s", text);
        }
        if self.run_lease.0 < self.takeover_after.0 {
            let text = format!(
                "lease {} is less than takeover_after {}; whatever runs would end with its owner",
                self.run_lease, self.takeover_after
            );
            reader.add_mistake(Code::Contradiction, "run", "lease", text);
        }
    }
}
