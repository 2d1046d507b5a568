//! The rows that describe entries, minions, slots, leases and waves.
//!
//! Each row lives in the platform's table under the key that its `key` function gives; the
//! view that every entry holds is made of these rows.

use crate::id;
use crate::unit::{Epoch, Revision, Span, Token};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use strum::{Display, EnumString, VariantArray};

/// A row that lives under a key of the table.
pub trait Row: Serialize + for<'de> Deserialize<'de> {
    /// What its keys start with, slash included.
    const PREFIX: &'static str;
}

/// An entry instance that may route: written before it routes, removed when it no longer can.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Registration {
    /// The entry.
    pub entry: id::Entry,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Where its peers reach it (QUIC over UDP).
    pub peer_address: SocketAddr,
    /// Where operators reach it (HTTP).
    pub operator_address: SocketAddr,
    /// Set while it stops gracefully: it takes no new work.
    pub stopping: bool,
}

impl Row for Registration {
    const PREFIX: &'static str = "entry/";
}

/// Where a minion stands.
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
    /// Serves its pool.
    Active,
    /// Gets no new work; its work in flight is finished.
    Draining,
    /// Holds no work and is being rebooted by the platform.
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

/// A minion: the only statement of which pool it belongs to.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Minion {
    /// The minion.
    pub minion: id::Minion,
    /// The one pool it belongs to.
    pub pool: id::Service,
    /// Its state.
    pub state: State,
    /// Grows by one whenever it returns to service, so that older grants are recognized.
    pub epoch: Epoch,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Its rack.
    pub rack: id::Rack,
    /// Where it serves HTTP.
    pub address: SocketAddr,
    /// What it is drained for, while it is not active.
    pub errand: Option<Errand>,
    /// The platform's boot count when it was drained; a higher one proves a reboot.
    pub boot: u64,
}

impl Row for Minion {
    const PREFIX: &'static str = "minion/";
}

/// Which entry hands out a minion's slots.
///
/// Exactly one entry owns a minion's slots at a time, by conditional writes of this row, so
/// that urgency is decided in one place and the minion is never asked for more than it has.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Ownership {
    /// The minion.
    pub minion: id::Minion,
    /// The owner; none once it has been handed back.
    pub owner: Option<id::Entry>,
    /// Former owners that were taken over without handing back.  Work of theirs may still be
    /// in flight, so a drain is not complete before each is gone or has confirmed.
    pub former: SmallVec<[id::Entry; 2]>,
    /// The epoch at which the owner confirmed that no work is on the minion.
    pub idle_at: Option<Epoch>,
}

impl Row for Ownership {
    const PREFIX: &'static str = "slots/";
}

/// A duty that one entry carries at a time.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Lease {
    /// The holder; none when given back.
    pub holder: Option<id::Entry>,
    /// Grows with every new holder; every write under the lease is conditional on it.
    pub token: Token,
    /// Counted up by the holder; observers judge it by their own monotonic clocks.
    pub beat: u64,
}

impl Row for Lease {
    const PREFIX: &'static str = "lease/";
}

/// How far a wave has come.
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
    /// Waits because a service is at its floor.
    Paused,
    /// Cancelled; instances already out are returned to service.
    Cancelled,
    /// Every instance was maintained.
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
    /// What is still to be maintained.
    pub remaining: Vec<id::Minion>,
    /// What has been maintained.
    pub done: Vec<id::Minion>,
    /// Milliseconds since the Unix epoch at which it was declared.
    pub declared_at: u64,
    /// Milliseconds since the Unix epoch before which nothing is taken out.
    #[serde(default)]
    pub starts_at: u64,
    /// The maintenance window in which instances are taken out; any time without one.
    #[serde(default)]
    pub window: Option<String>,
    /// Milliseconds since the Unix epoch by which it must finish.
    pub deadline: Option<u64>,
    /// The forecast told at declaration.
    pub forecast: Span,
    /// Why it waits, for operators; empty while it moves.
    pub waiting_for: String,
}

impl Row for Wave {
    const PREFIX: &'static str = "wave/";
}

/// The configuration in the table.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// Counted up by one with each accepted change.
    pub number: Revision,
    /// The change that made it; the same id again is the same change.
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

/// Minions of a service that are out by intent, counted in the transaction that takes them out.
///
/// Every drain of a service conditionally rewrites this one row, so two drivers, two waves or a
/// wave and a move can never both take the last permitted instance.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Disruption {
    /// The minions out by intent, with what took them out.
    pub out: BTreeMap<id::Minion, String>,
}

impl Row for Disruption {
    const PREFIX: &'static str = "disruption/";
}

/// The key of a row.
pub fn key<R: Row>(name: impl std::fmt::Display) -> String {
    format!("{}{name}", R::PREFIX)
}
