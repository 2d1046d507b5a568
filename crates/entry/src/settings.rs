//! The daemon's settings: an INI file, checked as a whole.

use celerythread_http::server::Limits;
use celerythread_model::code::Code;
use celerythread_model::id;
use celerythread_model::ini::{Mistake, Reader};
use celerythread_model::unit::{Bytes, Span};
use celerythread_platform::http;
use celerythread_wire::identity;
use std::net::SocketAddr;
use std::path::PathBuf;
use strum::{Display, EnumString, VariantArray};

/// The format of log lines.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Display, EnumString, VariantArray)]
#[strum(serialize_all = "lowercase")]
pub enum LogFormat {
    /// Plain text.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// The settings of an instance.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The instance's name in the platform's list.
    pub name: String,
    /// Its availability zone.
    pub zone: id::Zone,
    /// The address that serves callers.
    pub caller_listen: SocketAddr,
    /// Limits of callers' connections.
    pub caller_limits: Limits,
    /// Most bytes of request bodies held in memory at once.
    pub body_memory: Bytes,
    /// The address that serves operators.
    pub operator_listen: SocketAddr,
    /// The address that serves peers.
    pub peer_listen: SocketAddr,
    /// Its certificate and key for peers.
    pub keys: identity::Settings,
    /// Time between two heartbeats to a peer in the same availability zone.
    pub heartbeat_interval: Span,
    /// Time between two heartbeats to a peer in another availability zone.
    pub remote_heartbeat_interval: Span,
    /// Silence after which a peer's minions are taken over.
    pub takeover_after: Span,
    /// The connection to the platform.
    pub platform: http::Settings,
    /// Time between two reads of the table's changes.
    pub poll_interval: Span,
    /// Shortest time between two transactions of keyed requests' claims.
    pub claim_interval: Span,
    /// Term of a duty's lease.
    pub lease_term: Span,
    /// The format of log lines.
    pub log_format: LogFormat,
    /// Least severe level of log lines that are written.
    pub log_level: log::LevelFilter,
    /// The statsd server that counters are sent to; with none they are not sent.
    pub statsd: Option<SocketAddr>,
    /// Time between two transmissions of counters.
    pub metrics_interval: Span,
    /// Longest time that a graceful stop waits for work in flight.
    pub stop_timeout: Span,
    /// Time for the load balancer to see that the instance is not ready.
    pub stop_notice: Span,
    /// Most events kept on the timeline.
    pub max_events: usize,
}

impl Default for Settings {
    fn default() -> Self {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            name: "entry".into(),
            zone: "zone".parse().expect("a valid id"),
            caller_listen: any_port,
            caller_limits: Limits::default(),
            body_memory: Bytes::mebi(64),
            operator_listen: any_port,
            peer_listen: any_port,
            keys: identity::Settings::default(),
            heartbeat_interval: Span::secs(1),
            remote_heartbeat_interval: Span::secs(1),
            takeover_after: Span::secs(6),
            platform: http::Settings::default(),
            poll_interval: Span::millis(500),
            claim_interval: Span::millis(40),
            lease_term: Span::secs(8),
            log_format: LogFormat::default(),
            log_level: log::LevelFilter::Info,
            statsd: None,
            metrics_interval: Span::secs(10),
            stop_timeout: Span::secs(60),
            stop_notice: Span::secs(2),
            max_events: 4096,
        }
    }
}

/// The sections of the file.
const SECTIONS: [&str; 9] =
    ["instance", "caller", "operator", "peer", "platform", "lease", "log", "metrics", "stop"];

impl Settings {
    /// Reads a settings file.
    ///
    /// # Errors
    /// All mistakes found in the file.
    pub fn read(text: &str) -> Result<Self, Vec<Mistake>> {
        Reader::read_whole(text, &SECTIONS, |reader| {
            let settings = Self::read_keys(reader);
            settings.check_consistency(reader);
            settings
        })
    }

    fn read_keys(reader: &mut Reader) -> Self {
        let base = Settings::default();
        let limits = base.caller_limits.clone();
        let second = Span::secs(1);
        let hour = Span::secs(3600);
        let shortest = Span::millis(10);
        Settings {
            name: reader
                .required::<id::Entry>("instance", "name")
                .map_or(base.name, |name| name.to_string()),
            zone: reader.required("instance", "zone").unwrap_or(base.zone),
            caller_listen: reader.required("caller", "listen").unwrap_or(base.caller_listen),
            caller_limits: Limits {
                max_body: reader.ranged(
                    "caller",
                    "body_limit",
                    limits.max_body,
                    Bytes(1024),
                    Bytes::mebi(64),
                ),
                idle_timeout: reader.ranged(
                    "caller",
                    "idle_timeout",
                    limits.idle_timeout,
                    second,
                    hour,
                ),
                head_timeout: reader.ranged(
                    "caller",
                    "head_timeout",
                    limits.head_timeout,
                    shortest,
                    hour,
                ),
                progress_timeout: reader.ranged(
                    "caller",
                    "progress_timeout",
                    limits.progress_timeout,
                    shortest,
                    hour,
                ),
                body_timeout: reader.ranged(
                    "caller",
                    "body_timeout",
                    limits.body_timeout,
                    shortest,
                    hour,
                ),
            },
            body_memory: reader.ranged(
                "caller",
                "memory",
                base.body_memory,
                Bytes::mebi(1),
                Bytes::mebi(1024),
            ),
            operator_listen: reader.required("operator", "listen").unwrap_or(base.operator_listen),
            peer_listen: reader.required("peer", "listen").unwrap_or(base.peer_listen),
            keys: identity::Settings {
                authority: reader.required("peer", "authority").unwrap_or_default(),
                certificate: reader.required("peer", "certificate").unwrap_or_default(),
                key: reader.required::<PathBuf>("peer", "key").unwrap_or_default(),
            },
            heartbeat_interval: reader.ranged(
                "peer",
                "beat",
                base.heartbeat_interval,
                shortest,
                Span::secs(60),
            ),
            remote_heartbeat_interval: reader.ranged(
                "peer",
                "far_beat",
                base.remote_heartbeat_interval,
                shortest,
                Span::secs(60),
            ),
            takeover_after: reader.ranged(
                "peer",
                "takeover_after",
                base.takeover_after,
                Span::millis(100),
                hour,
            ),
            platform: http::Settings {
                addresses: reader.list("platform", "addresses"),
                timeout: reader.ranged(
                    "platform",
                    "timeout",
                    base.platform.timeout,
                    shortest,
                    Span::secs(60),
                ),
            },
            poll_interval: reader.ranged(
                "platform",
                "poll",
                base.poll_interval,
                shortest,
                Span::secs(5),
            ),
            claim_interval: reader.ranged(
                "platform",
                "claim_interval",
                base.claim_interval,
                Span::millis(0),
                second,
            ),
            lease_term: reader.ranged(
                "lease",
                "term",
                base.lease_term,
                Span::millis(100),
                Span::secs(300),
            ),
            log_format: reader.value("log", "format", base.log_format),
            log_level: reader.value("log", "level", base.log_level),
            statsd: reader.optional("metrics", "statsd"),
            metrics_interval: reader.ranged(
                "metrics",
                "interval",
                base.metrics_interval,
                Span::millis(100),
                hour,
            ),
            stop_timeout: reader.ranged("stop", "bound", base.stop_timeout, second, hour),
            stop_notice: reader.ranged("stop", "notice", base.stop_notice, Span::millis(0), hour),
            max_events: reader.ranged("log", "events", base.max_events, 16, 1_000_000),
        }
    }

    /// Checks that involve several keys.
    fn check_consistency(&self, reader: &mut Reader) {
        if self.platform.addresses.is_empty() {
            let text = "at least one address must be given".into();
            reader.add_mistake(Code::MissingKey, "platform", "addresses", text);
        }
        if self.takeover_after.0 < self.heartbeat_interval.0 * 3 {
            let text = format!(
                "takeover_after {} is less than three beats of {}; a healthy peer would be taken over",
                self.takeover_after, self.heartbeat_interval
            );
            reader.add_mistake(Code::Contradiction, "peer", "takeover_after", text);
        }
        if self.lease_term.0 < self.poll_interval.0 * 4 {
            let text = format!(
                "term {} is less than four polls of {}",
                self.lease_term, self.poll_interval
            );
            reader.add_mistake(Code::Contradiction, "lease", "term", text);
        }
        if self.body_memory < self.caller_limits.max_body {
            let text = format!(
                "{} cannot hold one body of {}",
                self.body_memory, self.caller_limits.max_body
            );
            reader.add_mistake(Code::Contradiction, "caller", "memory", text);
        }
        let tcp = [self.caller_listen, self.operator_listen];
        if tcp[0] == tcp[1] && tcp[0].port() != 0 {
            let text = format!("callers and operators cannot share {}", tcp[0]);
            reader.add_mistake(Code::Contradiction, "operator", "listen", text);
        }
    }
}
