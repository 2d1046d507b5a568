//! The rows that describe entries, minions, slots, leases and waves.
//!
//! Each row is stored in the platform's table under the key that [`key`] returns; the view of
//! every entry consists of these rows.

use crate::id;
use crate::unit::{Epoch, Revision, Span, Token};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use strum::{Display, EnumString, VariantArray};

/// A row that is stored under a key of the table.
pub trait Row: Serialize + for<'de> Deserialize<'de> {
    /// Prefix of its keys, including the slash.
    const PREFIX: &'static str;
}

/// An entry instance that may route requests: written before it starts to route, removed when
/// it no longer can.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Registration {
    /// The entry.
    pub entry: id::Entry,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Its address for peers (QUIC over UDP).
    pub peer_address: SocketAddr,
    /// Its address for operators (HTTP).
    pub operator_address: SocketAddr,
    /// Set during its graceful stop: it accepts no new work.
    pub stopping: bool,
}

impl Row for Registration {
    const PREFIX: &'static str = "entry/";
}

/// The state of a minion.
#[derive(
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    PartialEq,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    VariantArray,
)]
#[strum(serialize_all = "lowercase")]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// Serves requests of its pool.
    Active,
    /// Gets no new work and finishes the work in flight.
    Draining,
    /// Has no work and is being rebooted by the platform.
    Rebooting,
}

/// Why a minion is being taken out of service.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Errand {
    /// The wave it is part of, if any.
    pub wave: Option<id::Wave>,
    /// The pool it joins afterwards.
    pub target: id::Service,
}

/// A minion.  This row alone determines which pool it belongs to.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Minion {
    /// The minion.
    pub minion: id::Minion,
    /// The one pool it belongs to.
    pub pool: id::Service,
    /// Its state.
    pub state: State,
    /// Incremented whenever it returns to service, so that grants of an earlier epoch are detected.
    pub epoch: Epoch,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Its rack.
    pub rack: id::Rack,
    /// Its HTTP address.
    pub address: SocketAddr,
    /// Why it is drained, while it is not active.
    pub errand: Option<Errand>,
    /// The platform's boot count of it when it was drained; a higher count proves a reboot.
    pub boot: u64,
}

impl Row for Minion {
    const PREFIX: &'static str = "minion/";
}

/// Which entry grants a minion's slots.
///
/// Conditional writes of this row ensure that exactly one entry owns a minion's slots at a time,
/// so that priorities are decided in one place and the minion is never oversubscribed.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Ownership {
    /// The minion.
    pub minion: id::Minion,
    /// The owner; none once the ownership is released.
    pub owner: Option<id::Entry>,
    /// Former owners that did not release the ownership before the takeover.  Work of theirs may
    /// still be in flight, so a drain is complete only when each is gone or has confirmed that
    /// none is left.
    pub former: SmallVec<[id::Entry; 2]>,
    /// The epoch for which the owner confirmed that the minion has no work.
    pub idle_at: Option<Epoch>,
}

impl Row for Ownership {
    const PREFIX: &'static str = "slots/";
}

/// The lease of a duty: a singleton role that one entry holds at a time.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Lease {
    /// The holder; none when released.
    pub holder: Option<id::Entry>,
    /// Incremented with every new holder; every write under the lease is conditional on it.
    pub token: Token,
    /// Heartbeat counter, incremented by the holder.  Observers measure the time since its last
    /// change with their own monotonic clocks.
    pub beat: u64,
}

impl Row for Lease {
    const PREFIX: &'static str = "lease/";
}

/// The progress of a wave.
#[derive(
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    PartialEq,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    VariantArray,
)]
#[strum(serialize_all = "lowercase")]
#[serde(rename_all = "lowercase")]
pub enum Progress {
    /// Instances are being maintained.
    Running,
    /// Waiting because a service is at its floor.
    Paused,
    /// Cancelled; instances already taken out are returned to service.
    Cancelled,
    /// All instances were maintained.
    Done,
}

/// A declared maintenance wave.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Wave {
    /// The wave.
    pub wave: id::Wave,
    /// Who declared it.
    pub author: String,
    /// Its progress.
    pub progress: Progress,
    /// The minions still to be maintained.
    pub remaining: Vec<id::Minion>,
    /// The minions already maintained.
    pub done: Vec<id::Minion>,
    /// Milliseconds since the Unix epoch at which it was declared.
    pub declared_at: u64,
    /// Milliseconds since the Unix epoch before which no instance is taken out.
    #[serde(default)]
    pub starts_at: u64,
    /// The maintenance window in which instances are taken out; none means at any time.
    #[serde(default)]
    pub window: Option<String>,
    /// Milliseconds since the Unix epoch by which it must finish.
    pub deadline: Option<u64>,
    /// The duration forecast at declaration.
    pub forecast: Span,
    /// Why it waits, for operators; empty while it makes progress.
    pub waiting_for: String,
}

impl Row for Wave {
    const PREFIX: &'static str = "wave/";
}

/// The configuration in the table.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// Incremented with each accepted change.
    pub number: Revision,
    /// The id of the change that created it; a repeated id is the same change.
    pub change: id::Change,
    /// Who applied it.
    pub author: String,
    /// The template.
    pub template: String,
    /// The workspace's parameters.
    pub parameters: String,
}

impl Row for Config {
    const PREFIX: &'static str = "config/";
}

/// The key of the configuration in force.
pub const CONFIG_KEY: &str = "config/current";

/// Minions of a service that are out deliberately, updated in the transaction that takes them out.
///
/// Every drain in a service conditionally writes this row, so two drivers, two waves or a wave
/// and a move can never both take the last permitted instance.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Disruption {
    /// The minions that are out deliberately, with what took them out.
    pub out: BTreeMap<id::Minion, String>,
}

impl Row for Disruption {
    const PREFIX: &'static str = "disruption/";
}

/// The key of a row.
pub fn key<R: Row>(name: impl std::fmt::Display) -> String {
    format!("{}{name}", R::PREFIX)
}
