//! Decides which entry owns a cell, from the rows of a shared table.
//!
//! Members, which [`standby`] determines, renew their rows at regular intervals.  A cell's row names
//! its holder and is written only when the holder changes, so its version serves as the fencing
//! token: it only ever increases.  Clocks of different entries are never compared: an observer
//! measures on its own clock how long a holder's row has not changed, and takes over in a
//! transaction that requires the row to be still unchanged.

pub mod former;
pub mod standby;

use crate::time::Time;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time limits of ownership.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Delay of a takeover for each entry ahead of this one in the order of candidates, so that
    /// normally only one entry tries it.
    pub stagger: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self { stagger: Duration::from_millis(300) }
    }
}

/// Multiple of a renewal's duration that is added to the term: the next renewal and the read that
/// shows it to other entries take about as long each.
const RENEWAL_TIME_MULTIPLIER: u32 = 2;

/// Longest term, which suits a store that is a hundred times slower than usual.  It bounds how long
/// other entries wait for a lost one, and for how long an owner extends leases.
pub const MAX_TERM: Duration = Duration::from_millis(3000);

/// Renewal interval per renewing entry.  Every member reads all renewals, some 60 bytes each: 18 ms
/// keeps that at 3.4 KB a second, of the 6 KB a second that an instance may spend.
const RENEWAL_INTERVAL_PER_ENTRY: Duration = Duration::from_millis(18);

/// Least number of renewals that fit into a term.
const MIN_RENEWALS_PER_TERM: u32 = 3;

/// Time between two renewals of an entry's row, at least `min`; `owns` says whether the entry holds
/// any of the `cells`.
///
/// Only the loss of a holder affects callers, so holders renew as often as if they were the only
/// entries.  With one interval for all, 147 entries renewed every 2.65 s and had a term of 8 s: a
/// cell whose holder was disconnected stalled for that long, and a holder gave orders only in the
/// first 1.5 s after each renewal.
pub fn renewal_interval(min: Duration, entries: usize, cells: usize, owns: bool) -> Duration {
    let renewing = if owns { cells } else { entries };
    min.max(RENEWAL_INTERVAL_PER_ENTRY * renewing as u32)
}

/// Time per entry over which entries spread their rereads of the whole table.  A reread takes one
/// call for each entry's row, and the mean delay is 20 ms per entry, so all entries together make
/// 50 calls a second per entry: 7,400 a second with 147 entries, half the capacity of a store
/// sized for them.
const REREAD_SPREAD_PER_ENTRY: Duration = Duration::from_millis(40);

/// Random delay before an entry rereads the whole table because a feed can't continue; `draw` is a
/// random number from 0 to 1.
///
/// When the store loses its history, all entries have to reread the table.  Without a delay, 147
/// entries make 22,000 calls at once; the store refuses most of them by its rate limit, and the
/// immediate retries keep it overloaded permanently.
pub fn reread_delay(entries: usize, draw: f64) -> Duration {
    (REREAD_SPREAD_PER_ENTRY * entries as u32).mul_f64(draw.clamp(0.0, 1.0))
}

/// The term that an entry writes into its row with a renewal: how long the row may stay unchanged
/// before other entries take its cells over.
///
/// No tasks of a lost entry's cells are started until the term has passed.  A fixed term that is
/// long enough for a slow store delays every takeover; a short one makes cells change owners for as
/// long as the store is slow.
pub fn term(min: Duration, interval: Duration, last_renewal: Duration) -> Duration {
    let usual = min.max(interval * MIN_RENEWALS_PER_TERM);
    (usual + last_renewal * RENEWAL_TIME_MULTIPLIER).min(MAX_TERM.max(usual))
}

/// An observed row of an entry.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Version of the row.
    pub version: u64,
    /// When this version was first seen, on the observer's clock.
    pub last_renewal: Time,
    /// When the entry was first seen, on the observer's clock.
    pub first_seen: Time,
    /// Time without a renewal after which its cells are taken over, as stated in the row.
    pub term: Duration,
    /// Whether it is about to stop.
    pub stopping: bool,
    /// Its share of the processor, in millicores.
    pub millicores: u32,
    /// Whether its row was older than its term when it was first seen, and hasn't been renewed since,
    /// so that the entry is most likely gone.
    pub is_outdated: bool,
}

/// An observed row of a cell.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Holding {
    /// The entry that holds the cell.
    pub holder: String,
    /// Version of the row: the holder's fencing token.
    pub version: u64,
}

/// What an entry should do about a cell.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Neither own it nor take it over.
    Decline,
    /// Own it: this entry is the holder.
    Own,
    /// Take it over, on condition that the named rows still have these versions.
    TakeOver {
        /// Version of the cell's row, 0 if there is none.
        cell_version: u64,
        /// The former holder, if there is one, and the version of its row, 0 if it has none.
        former: Option<(String, u64)>,
    },
}

/// Longest gap between two answered reads after which a row's age still counts as silence.  Reads
/// are usually at most 0.7 s apart, and 1.1 s when the store is a hundred times slower.
const MAX_READ_GAP: Duration = Duration::from_millis(1200);

/// Records that a read of the table was answered, after a previous one at `before`.  Must be called
/// before the result is applied.
///
/// Nobody can renew or read rows during an outage of the store, so afterwards every row is as old
/// as the outage.  If that counted as silence, entries would take cells from live holders and stop
/// each other's tasks, so a gap between reads restarts the time of every row.
pub fn record_read(entries: &mut BTreeMap<String, Entry>, before: Time, now: Time) {
    if now.since(before) >= MAX_READ_GAP {
        entries.values_mut().for_each(|entry| entry.last_renewal = entry.last_renewal.max(now));
    }
}

/// The entries as observed, and a row for a holder that has had none since `since`, so that its cell
/// counts as vacant from then on.
///
/// Without a known start of the vacancy, only the first candidate takes a cell.  After all entries
/// have lost power, that can be the row of an entry that is gone, which counts as alive for a term
/// after it was first read: the cell of the busiest service had no owner for 1.5 s.
pub fn with_missing_holder(
    entries: &BTreeMap<String, Entry>,
    holder: &str,
    since: Time,
) -> BTreeMap<String, Entry> {
    let missing = Entry {
        version: 0,
        last_renewal: since,
        first_seen: since,
        term: Duration::ZERO,
        stopping: true,
        millicores: 0,
        is_outdated: false,
    };
    let mut entries = entries.clone();
    entries.insert(holder.into(), missing);
    entries
}

/// Rank of an entry as candidate for a cell: the same at every entry, and different for each cell,
/// so that cells spread over the entries.
pub fn rank(cell: &str, entry: &str) -> u64 {
    // FNV-1a with a final mix: stable across builds, which the standard hasher doesn't guarantee.
    let bytes = cell.bytes().chain([0]).chain(entry.bytes());
    let hash = bytes.fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    });
    let mixed = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    mixed ^ (mixed >> 33)
}

/// Cells per core of an entry if it had one more cell, scaled by 1000.
///
/// By the number of cells alone, an entry with an eighth of a core and no cell would precede one
/// with half a core and one cell.  An eighth of a core can't handle a cell of eighty minions: its
/// owner learns of jobs and cancellations seconds late, and starts tasks of cancelled jobs.
fn cells_per_core(cells: usize, millicores: u32) -> u64 {
    (cells as u64 + 1) * 1_000_000 / u64::from(millicores.max(1))
}

/// Decides what the entry `me` does about a cell.
///
/// `owned` counts the cells that each entry holds: candidates are ordered by cells per core, so
/// that one entry doesn't end up with all cells after a rolling restart of its peers, nor a small
/// one with more than it can handle.  `now` is when a read of the rows was last answered, because
/// rows can't be seen to be silent after that.
pub fn decide(
    cell: &str,
    me: &str,
    holding: Option<&Holding>,
    entries: &BTreeMap<String, Entry>,
    owned: &BTreeMap<String, usize>,
    now: Time,
    settings: &Settings,
) -> Decision {
    let silent = |entry: &Entry| now.since(entry.last_renewal) >= entry.term;
    let vacant_since = match holding {
        Some(holding) if holding.holder == me => return Decision::Own,
        Some(holding) => match entries.get(&holding.holder) {
            Some(entry) if !silent(entry) => return Decision::Decline,
            Some(entry) => Some(entry.last_renewal + entry.term),
            None => None,
        },
        None => None,
    };
    let mut candidates: Vec<&String> = entries
        .iter()
        .filter(|(name, entry)| !entry.stopping && (name.as_str() == me || !silent(entry)))
        .map(|(name, _)| name)
        .collect();
    // Entries without cells renew rarely, so those disconnected together with the holder's
    // availability zone still count as alive.  Entries that renewed after the holder precede them.
    let former = holding.and_then(|holding| entries.get(&holding.holder));
    let holder_seen = former.map(|row| row.last_renewal);
    // When a holder without a row is noticed, hardly any entry has renewed since.  If these came last,
    // the first entry to notice it would take the cell, and the smallest one as likely as any other.
    let is_missing = former.is_some_and(|row| row.version == 0);
    candidates.sort_by_key(|name| {
        let entry = entries.get(*name);
        let millicores = entry.map_or(0, |entry| entry.millicores);
        let load = cells_per_core(owned.get(*name).copied().unwrap_or(0), millicores);
        let is_unseen = name.as_str() != me && entry.map(|entry| entry.last_renewal) <= holder_seen;
        let is_outdated = entry.is_some_and(|entry| entry.is_outdated);
        let order = if is_missing {
            (is_outdated, load, is_unseen)
        } else {
            (is_unseen, load, is_outdated)
        };
        (order, rank(cell, name), (*name).clone())
    });
    let Some(position) = candidates.iter().position(|name| *name == me) else {
        return Decision::Decline;
    };
    let waited = vacant_since.map_or(Duration::MAX, |since| now.since(since));
    if waited < settings.stagger * position as u32 {
        return Decision::Decline;
    }
    // Without a known start of the vacancy, only the first candidate takes the cell.
    if vacant_since.is_none() && position > 0 {
        return Decision::Decline;
    }
    // The row of a holder that became a member a moment ago may not have been read yet.  So that it
    // is missing is a condition, too.
    let former = holding.map(|holding| {
        let version = entries.get(&holding.holder).map_or(0, |entry| entry.version);
        (holding.holder.clone(), version)
    });
    Decision::TakeOver { cell_version: holding.map_or(0, |holding| holding.version), former }
}

/// The entry to hand a cell to at a planned stop; `None` if there is no other.
///
/// Among the entries with the fewest cells per core it is the one that started last: a rolling
/// restart of all entries reaches it last, so the cell changes owners less often.
pub fn successor(
    cell: &str,
    me: &str,
    entries: &BTreeMap<String, Entry>,
    owned: &BTreeMap<String, usize>,
    now: Time,
) -> Option<String> {
    entries
        .iter()
        .filter(|(name, entry)| {
            let fresh = now.since(entry.last_renewal) < entry.term / 2;
            name.as_str() != me && !entry.stopping && fresh
        })
        .min_by_key(|(name, entry)| {
            let cells = owned.get(*name).copied().unwrap_or(0);
            let order = (cells_per_core(cells, entry.millicores), Reverse(entry.first_seen));
            (order, rank(cell, name), (*name).clone())
        })
        .map(|(name, _)| name.clone())
}
