//! Which entry owns a cell, judged by the rows of a shared table.
//!
//! Every entry rewrites its own row at a fixed interval.  A cell's row names its holder and is
//! rewritten only when the holder changes, so the row's version at that moment serves as the
//! fencing token: it only ever rises.  Nobody compares clocks: an observer measures on its own
//! clock for how long it has seen a holder's row unchanged, and takes over in a transaction
//! that requires the row to be unchanged still.

use crate::time::Time;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time limits of ownership.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Added for each place that another entry has before this one in the order of candidates,
    /// so that a takeover is normally tried by one entry.
    pub stagger: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self { stagger: Duration::from_millis(300) }
    }
}

/// Times the duration of a renewal that is added to the term of the next one: the renewal itself
/// and the read that shows it to others take about as long each.
const RENEWAL_TIME_MULTIPLIER: u32 = 2;

/// The longest term, for a store that is a hundred times slower than usual.  Others wait no longer
/// for an entry that is lost, and an owner extends no lease for longer.
const MAX_TERM: Duration = Duration::from_millis(3000);

/// Time between two renewals for each entry there is.  Every entry reads all renewals, some 60
/// bytes each: 18 ms keeps that at 3.4 KB a second, of the 6 KB that an instance may spend.
const RENEWAL_INTERVAL_PER_ENTRY: Duration = Duration::from_millis(18);

/// Renewals that fit into a term at the least.
const MIN_RENEWALS_PER_TERM: u32 = 3;

/// Time between two renewals of an entry's row, at least `least`: `owns` says whether it holds any of
/// the `cells`.
///
/// The pattern it answers: many entries, of which a few hold the cells.  With one interval for all, 147
/// entries renewed each 2.65 s and had a term of 8 s: a cell whose holder was cut off stood still for
/// that long, and a holder gave orders only in the first 1.5 s after each of its renewals.  Only the
/// silence of holders matters to callers, so they renew as often as they would among themselves.
pub fn renewal_interval(min: Duration, entries: usize, cells: usize, owns: bool) -> Duration {
    let renewing = if owns { cells } else { entries };
    min.max(RENEWAL_INTERVAL_PER_ENTRY * renewing as u32)
}

/// Time for each entry over which rereadings of the whole table are spread.  One takes a call for each
/// entry's row, so with 20 ms on average for each all entries together read 50 times as often as there are
/// entries: 7,400 calls a second at 147, half of what a store for that many takes.
const REREAD_SPREAD_PER_ENTRY: Duration = Duration::from_millis(40);

/// How long an entry waits before it reads the whole table again, where a feed can't go on; `draw` is a
/// random number from 0 to 1.
///
/// The pattern it answers: the store forgets its history, and all entries read everything at once, a call
/// for each of each other's rows.  At 147 entries that is 22,000 calls: the store refuses most for their
/// rate, and refused ones are repeated at once, so that it stays so for as long as the day lasts.
pub fn reread_delay(entries: usize, draw: f64) -> Duration {
    (REREAD_SPREAD_PER_ENTRY * entries as u32).mul_f64(draw.clamp(0.0, 1.0))
}

/// For how long an entry that renews now may be silent before its cells are taken over, as it
/// writes into its row.
///
/// The pattern it answers: an entry is lost, and nobody starts its cells' tasks until its silence
/// is noticed.  With a fixed term that is long enough for a slow store, every loss costs that
/// long; with a short one, cells change hands for as long as the store is slow.
pub fn term(min: Duration, interval: Duration, last_renewal: Duration) -> Duration {
    let usual = min.max(interval * MIN_RENEWALS_PER_TERM);
    (usual + last_renewal * RENEWAL_TIME_MULTIPLIER).min(MAX_TERM.max(usual))
}

/// An entry's row as observed.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Version of its row.
    pub version: u64,
    /// When this version was first seen here.
    pub last_renewal: Time,
    /// When the entry was first seen here.
    pub first_seen: Time,
    /// Silence after which its cells are taken over, as its row says.
    pub term: Duration,
    /// Whether it is about to stop.
    pub stopping: bool,
    /// Thousandths of a processor core that it has.
    pub millicores: u32,
}

/// A cell's row as observed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Holding {
    /// The entry named as holder.
    pub holder: String,
    /// Version of the row: the holder's fencing token.
    pub version: u64,
}

/// What an entry should do about a cell.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Nothing.
    Decline,
    /// This entry is the holder.
    Own,
    /// Take it, on condition that the named rows still have these versions.
    TakeOver {
        /// Version of the cell's row, 0 if there is none.
        cell_version: u64,
        /// The former holder and the version of its row, if it has one.
        former: Option<(String, u64)>,
    },
}

/// Time between two answered reads after which silence isn't judged by them.  They are at most 0.7 s
/// apart as a rule, and 1.1 s when the store is a hundred times slower.
const MAX_READ_GAP: Duration = Duration::from_millis(1200);

/// Notes that a read of the table was answered, the one before at `before`; to be called before
/// what it brought is taken in.
///
/// While the store is away nobody can renew, and nobody can see it.  When it is back, every row is
/// as old as the outage: judged by that, all entries would take cells from holders that live,
/// and stop each other's tasks.  So what nobody could see doesn't count as silence.
pub fn record_read(entries: &mut BTreeMap<String, Entry>, before: Time, now: Time) {
    if now.since(before) >= MAX_READ_GAP {
        entries.values_mut().for_each(|entry| entry.last_renewal = entry.last_renewal.max(now));
    }
}

/// Order of candidates for a cell: the same at every entry, and different for each cell, so
/// that cells spread over the entries.
pub fn rank(cell: &str, entry: &str) -> u64 {
    // FNV-1a with a final mix: stable over builds, which the standard hasher doesn't promise.
    let bytes = cell.bytes().chain([0]).chain(entry.bytes());
    let hash = bytes.fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    });
    let mixed = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    mixed ^ (mixed >> 33)
}

/// What one more cell would be to an entry: cells for each core.
///
/// By the number of cells alone, an eighth of a core without any went before half of a core with
/// one.  A cell of eighty minions is more than an eighth of a core can attend: its owner learnt of
/// jobs and cancellations seconds late, and started tasks of cancelled jobs.
fn cells_per_core(cells: usize, millicores: u32) -> u64 {
    (cells as u64 + 1) * 1_000_000 / u64::from(millicores.max(1))
}

/// Judges a cell.
///
/// `owned` counts the cells that each entry holds: candidates are ordered by what they would have
/// to do for each core, so that one entry doesn't end with all cells after its peers restarted in
/// turn, and a weak one with more than it can do.  `now` is when a read of the rows was last
/// answered: a row that nobody could read since isn't silent.
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
    // Entries without cells renew seldom, so those of a zone that is cut off with the holder still count
    // as living.  Whoever was seen since the holder was comes before them.
    let holder_seen =
        holding.and_then(|holding| entries.get(&holding.holder)).map(|row| row.last_renewal);
    candidates.sort_by_key(|name| {
        let entry = entries.get(*name);
        let millicores = entry.map_or(0, |entry| entry.millicores);
        let cells = owned.get(*name).copied().unwrap_or(0);
        let is_seen = name.as_str() == me || entry.map(|entry| entry.last_renewal) > holder_seen;
        (!is_seen, cells_per_core(cells, millicores), rank(cell, name), (*name).clone())
    });
    let Some(position) = candidates.iter().position(|name| *name == me) else {
        return Decision::Decline;
    };
    let waited = vacant_since.map_or(Duration::MAX, |since| now.since(since));
    if waited < settings.stagger * position as u32 {
        return Decision::Decline;
    }
    // A vacant cell without a known beginning of its vacancy is left to the first candidate.
    if vacant_since.is_none() && position > 0 {
        return Decision::Decline;
    }
    let former = holding
        .and_then(|holding| entries.get_key_value(&holding.holder))
        .map(|(name, entry)| (name.clone(), entry.version));
    Decision::TakeOver { cell_version: holding.map_or(0, |holding| holding.version), former }
}

/// The entry to hand a cell to at a planned stop; none if there is no other.
///
/// Among those with least to do for each core, the one that started last: a restart that goes
/// through all entries comes to it last, so the cell changes hands less often.
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
