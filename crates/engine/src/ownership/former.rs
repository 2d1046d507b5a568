//! Bounds what the former owner of a cell can have known and ordered, from what an observer saw
//! before it took the cell over.
//!
//! An owner counts its permits from the time at which it sent its last successful renewal.  A
//! takeover requires that the former owner's row is unchanged, so each of its successful renewals
//! was committed before the row's present version was, and was sent before that.  From this follow:
//!
//! - the jobs that it may have started ([`Permit::NeverStarted`](crate::cell::Permit)): those it
//!   knew less than a term after its last renewal.  A read that is sent later returns a version of
//!   the store that is at least as high as the versions of all these jobs;
//! - when its last leases expire: `extend_alone` and a lease's term after its last renewal, by the
//!   store's clock, which both entries read.
//!
//! The holder of a cell may have taken it over from another entry that still runs.  That one's
//! last renewal was committed before the holder's takeover.  The version is therefore read after
//! the takeover was seen, and the row of the cell keeps the time of the earlier owners' last
//! renewal.
//!
//! An owner that stops extends no lease afterwards, but it says nothing about the owners before it:
//! if they fell silent, they may extend leases for as long as if it hadn't stopped.  So the row of
//! the cell keeps them apart from the last owner ([`Predecessors`]).

use super::MAX_TERM;
use crate::lease;
use crate::store_clock::{StoreClock, certain, longest};
use crate::time::Time;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// The version of an entry's row as observed.
#[derive(Clone, Copy, Debug)]
pub struct Renewal {
    /// Version of the row.
    pub version: u64,
    /// The term in the row.
    pub term: Duration,
    /// Number of the renewal among those that the entry sent, from 1.
    pub number: u64,
    /// The latest time on the store's clock at which the renewal can have been sent, as stated in
    /// the row; 0 if it states none.
    pub renewed_by_ms: u64,
}

/// How a row came to be known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// A feed that lists every change in order.
    Feed,
    /// A read of the whole table, which doesn't show the versions before.
    FullRead,
}

/// What is known of an entry's renewals.
#[derive(Clone, Copy, Debug)]
struct Observed {
    version: u64,
    /// When the version was first seen.  Gaps between reads don't change it.
    seen_at: Time,
    term: Duration,
    /// Whether the row states when its renewal was sent.
    is_stated: bool,
    /// The latest time on the store's clock at which any renewal up to this version can have been
    /// sent.
    renewed_by_ms: Option<u64>,
}

impl Observed {
    /// Time that must have passed since the last renewal was sent, so that any job that becomes known
    /// to the entry is later than its permit covers.
    ///
    /// A renewal that is committed late, after a newer one, can put a shorter term into the row
    /// than the one that its entry counts by, so at least the longest usual term is waited for.
    fn knowledge_span(&self) -> Duration {
        longest(self.term.max(MAX_TERM))
    }
}

/// A cell's holder as observed.
#[derive(Clone, Debug)]
struct Held {
    token: u64,
    holder: String,
    /// When this token was first seen.
    seen_at: Time,
}

/// A version of the store that the holder of a cell can't have known all jobs of while it was
/// permitted to start them.
#[derive(Clone, Copy, Debug)]
struct Limit {
    token: u64,
    /// Version of the holder's row.
    renewal: u64,
    /// Version of the store.
    version: u64,
}

/// A read to be sent for [`Watch::record_read`].
#[derive(Clone, Copy, Debug)]
pub struct Sending {
    /// When it was sent.
    at: Time,
    /// The earliest that the store's clock can have shown then.
    earliest_ms: Option<u64>,
}

impl Sending {
    /// A read that is sent at `now`.
    pub fn new(now: Time, clock: &StoreClock) -> Self {
        Self { at: now, earliest_ms: clock.earliest_ms(now) }
    }
}

/// What an observer knows of a cell's holder when it takes the cell over.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Evidence {
    /// Jobs with a higher version can't have been started by the holder or an earlier owner; 0 if
    /// none are known.
    pub known_version: u64,
    /// The latest time on the store's clock at which the holder's last renewal can have been sent.
    pub renewed_by_ms: Option<u64>,
}

/// Observes the holders of cells.
#[derive(Clone, Debug, Default)]
pub struct Watch {
    entries: BTreeMap<String, Observed>,
    cells: BTreeMap<String, Held>,
    limits: BTreeMap<String, Limit>,
}

impl Watch {
    /// Records an entry's row that was seen at `now`.
    ///
    /// The row of a renewal that was committed late can state an earlier time than the row before,
    /// so the latest time of all versions counts.  If versions before may have been missed, their
    /// times are bounded by the time at which this one was seen.
    pub fn record_renewal(
        &mut self,
        entry: &str,
        renewal: Renewal,
        source: Source,
        now: Time,
        clock: &StoreClock,
    ) {
        let known = self.entries.get(entry).filter(|_| source == Source::Feed);
        if self.entries.get(entry).is_some_and(|known| known.version >= renewal.version) {
            return;
        }
        let seen_by_ms = clock.latest_ms(now);
        let is_stated = renewal.renewed_by_ms > 0;
        let stated = (is_stated && source == Source::Feed).then_some(renewal.renewed_by_ms);
        let stated = match known {
            Some(known) => stated.zip(known.renewed_by_ms).map(|(new, old)| new.max(old)),
            None => stated.filter(|_| renewal.number == 1),
        };
        let renewed_by_ms = match (stated, seen_by_ms) {
            (Some(stated), Some(seen)) => Some(stated.min(seen)),
            (_, seen) => seen,
        };
        let Renewal { version, term, .. } = renewal;
        let observed = Observed { version, seen_at: now, term, is_stated, renewed_by_ms };
        self.entries.insert(entry.into(), observed);
    }

    /// Forgets an entry whose row was deleted.
    pub fn forget_entry(&mut self, entry: &str) {
        self.entries.remove(entry);
    }

    /// Keeps the entries that a full read of the table showed.
    pub fn retain_entries(&mut self, is_present: impl Fn(&str) -> bool) {
        self.entries.retain(|entry, _| is_present(entry));
    }

    /// Records the holder of a cell.
    pub fn record_holder(&mut self, cell: &str, holder: &str, token: u64, now: Time) {
        if self.cells.get(cell).is_none_or(|held| held.token < token) {
            let held = Held { token, holder: holder.into(), seen_at: now };
            self.cells.insert(cell.into(), held);
        }
    }

    /// Whether a read of the store's version should be sent now: the holder of a cell has not
    /// renewed its row for so long that its knowledge is bounded by the version.
    pub fn is_read_due(&self, sending: Sending) -> bool {
        self.cells.iter().any(|(cell, held)| {
            let Some(entry) = self.entries.get(&held.holder) else { return false };
            is_bounding(held, entry, sending) && self.limit(cell, held, entry).is_none()
        })
    }

    /// Records that a read returned this version of the store.
    ///
    /// Only the time of sending counts: the store may have produced the answer as soon as it
    /// received the call, however late the answer arrived.
    pub fn record_read(&mut self, sending: Sending, version: u64) {
        for (cell, held) in &self.cells {
            let Some(entry) = self.entries.get(&held.holder) else { continue };
            if is_bounding(held, entry, sending) && self.limit(cell, held, entry).is_none() {
                let limit = Limit { token: held.token, renewal: entry.version, version };
                self.limits.insert(cell.clone(), limit);
            }
        }
    }

    /// What is known for a takeover that requires the cell's row to have the version `token`, and
    /// the row of its holder the version `renewal`.
    pub fn evidence(&self, cell: &str, token: u64, renewal: u64) -> Evidence {
        let held = self.cells.get(cell).filter(|held| held.token == token);
        let Some(held) = held else { return Evidence::default() };
        let entry = self.entries.get(&held.holder).filter(|entry| entry.version == renewal);
        let Some(entry) = entry else { return Evidence::default() };
        Evidence {
            known_version: self.limit(cell, held, entry).unwrap_or(0),
            renewed_by_ms: entry.renewed_by_ms.filter(|_| entry.is_stated),
        }
    }

    fn limit(&self, cell: &str, held: &Held, entry: &Observed) -> Option<u64> {
        let limit = self.limits.get(cell)?;
        (limit.token == held.token && limit.renewal == entry.version).then_some(limit.version)
    }
}

/// Whether a read that was sent then returns a version that bounds what a cell's holder and the
/// earlier owners knew while they were permitted to start jobs.
fn is_bounding(held: &Held, entry: &Observed, sending: Sending) -> bool {
    // Within one millisecond the order isn't known.
    if sending.at <= held.seen_at {
        return false;
    }
    let span = entry.knowledge_span();
    let is_long_unchanged = sending.at.since(entry.seen_at) >= certain(span);
    let renewed_by_ms = entry.renewed_by_ms.filter(|_| entry.is_stated);
    let is_long_sent = sending.earliest_ms.zip(renewed_by_ms).is_some_and(|(earliest, renewed)| {
        earliest >= renewed.saturating_add(span.as_millis() as u64 + 1)
    });
    is_long_unchanged || is_long_sent
}

/// Owners of a cell that may still extend leases of runs that they started.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum EarlierOwners {
    /// Nothing is known of them, as in rows of releases that didn't store this.
    #[default]
    Unknown,
    /// There are none.
    None,
    /// Their last renewal was sent by this time on the store's clock; 0 if it is unknown.
    RenewedBy(u64),
}

impl fmt::Display for EarlierOwners {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unknown => f.write_str("unknown"),
            Self::None => f.write_str("none"),
            Self::RenewedBy(ms) => ms.fmt(f),
        }
    }
}

/// What the row of a cell states about the owners before its holder.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Predecessors {
    /// Number of these owners.
    pub count: u32,
    /// Whether the last of them had certainly sent its last order before the holder took the cell.
    pub is_last_stopped: bool,
    /// The latest time on the store's clock at which any of them can have sent its last renewal; 0
    /// if it is unknown.
    pub renewed_by_ms: u64,
    /// Those before the last one that may still extend leases.
    pub earlier: EarlierOwners,
}

impl Predecessors {
    /// All of them, for an observer that can't tell which ones have stopped.
    pub fn all(&self) -> EarlierOwners {
        match *self {
            Self { count: 0, .. } => EarlierOwners::None,
            Self { renewed_by_ms: 0, .. } => EarlierOwners::Unknown,
            Self { renewed_by_ms, .. } => EarlierOwners::RenewedBy(renewed_by_ms),
        }
    }

    /// Those that may still extend leases once the holder has stopped.
    ///
    /// `is_takeover_complete` says that every minion that they used refuses them, or that their
    /// leases must have expired.
    pub fn unstopped(&self, is_takeover_complete: bool) -> EarlierOwners {
        if is_takeover_complete || self.count == 0 {
            EarlierOwners::None
        } else if self.is_last_stopped {
            self.earlier
        } else {
            self.all()
        }
    }
}

/// The latest time on the store's clock at which any owner before a takeover can have renewed its
/// row, for the row that the takeover writes; 0 if it is unknown.
///
/// All of these renewals were sent before the takeover, which is what remains to be said when one
/// of the times is unknown.
pub fn renewed_by_ms(
    holder: Option<u64>,
    earlier: EarlierOwners,
    now: Time,
    clock: &StoreClock,
) -> u64 {
    let known = match earlier {
        EarlierOwners::None => holder,
        EarlierOwners::Unknown | EarlierOwners::RenewedBy(0) => None,
        EarlierOwners::RenewedBy(earlier) => holder.map(|holder| holder.max(earlier)),
    };
    known.or_else(|| clock.latest_ms(now)).unwrap_or(0)
}

/// Time limits of an owner.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// How long an owner extends leases after its last renewal was sent.
    pub extend_alone: Duration,
    /// Shortest silence after which an entry's cells are taken over.
    pub takeover_after: Duration,
    /// Term of a lease.
    pub run_lease: Duration,
}

/// What determines until when a new owner waits.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Bound {
    /// The time of the former owners' last renewal on the store's clock.
    StoreClock,
    /// The time of the takeover.
    Takeover,
}

/// When the leases of everything that silent former owners ordered must have expired, for an owner
/// whose takeover was committed before `now`.
///
/// `renewed_by_ms` is from the row that the takeover wrote ([`renewed_by_ms()`]).
pub fn lease_expiry(
    terms: &Terms,
    renewed_by_ms: u64,
    now: Time,
    clock: &StoreClock,
) -> (Time, Bound) {
    let lease = lease::max_duration(terms.run_lease);
    // The last renewal was sent before its row was seen unchanged for the silence.
    let extends = terms.extend_alone.saturating_sub(terms.takeover_after);
    let by_takeover = now + extends + lease;
    let by_clock = clock.earliest_ms(now).filter(|now_ms| (1..=*now_ms).contains(&renewed_by_ms));
    let by_clock = by_clock.map(|now_ms| {
        let passed = Duration::from_millis(now_ms - renewed_by_ms);
        let remaining = (longest(terms.extend_alone) + lease).saturating_sub(passed);
        // The sum of times is in whole milliseconds, rounded down.
        now + certain(remaining) + Duration::from_millis(1)
    });
    match by_clock {
        Some(by_clock) if by_clock < by_takeover => (by_clock, Bound::StoreClock),
        _ => (by_takeover, Bound::Takeover),
    }
}

/// When the leases of all former owners must have expired, for an owner whose predecessor stopped
/// before `now` and had the owners `earlier` before it.
pub fn lease_expiry_after_stop(
    terms: &Terms,
    earlier: EarlierOwners,
    now: Time,
    clock: &StoreClock,
) -> (Time, Bound) {
    let by_stop = (now + lease::max_duration(terms.run_lease), Bound::Takeover);
    let renewed_by_ms = match earlier {
        EarlierOwners::None => return by_stop,
        EarlierOwners::Unknown => 0,
        EarlierOwners::RenewedBy(ms) => ms,
    };
    let by_silence = lease_expiry(terms, renewed_by_ms, now, clock);
    if by_silence.0 > by_stop.0 { by_silence } else { by_stop }
}

/// Whether a former owner may have started tasks of a job.
///
/// `known_version` is from the row that the takeover wrote ([`Evidence::known_version`]).  A former
/// owner can't have made progress with a job that it didn't know; if there is progress in spite of
/// that, the job counts as inherited.
pub fn is_inherited(known_version: u64, job_version: u64, has_progress: bool) -> bool {
    known_version == 0 || job_version <= known_version || has_progress
}
