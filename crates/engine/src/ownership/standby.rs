//! Decides which entries stand by to take over cells.
//!
//! Only members renew rows and watch each other: the holders of cells, and the entries that occupy
//! one of [`SLOTS_PER_ZONE`] standby slots of their availability zone.  All other entries are idle.
//! So what ownership costs depends on the cells and zones, and not on the number of entries.
//!
//! A holder gives its slot up, so that the standbys of a zone have no other work.  Members delete
//! the slots of entries that fell silent, and idle entries claim vacant ones.

use super::{Entry, rank};
use crate::time::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// Standby entries of an availability zone: one may fail before the other one is replaced.
pub const SLOTS_PER_ZONE: usize = 2;

/// Time over which claims of idle entries with a whole core are spread, so that they don't conflict.
/// Smaller ones claim later, in proportion.
const CLAIM_SPREAD: Duration = Duration::from_millis(400);

/// Bound of the factor by which the smallest entries claim later.
const MAX_CLAIM_FACTOR: f64 = 8.0;

/// A standby is replaced by an entry with at least this many times its processor capacity.
const REPLACEMENT_FACTOR: u32 = 2;

/// Additional delay of a deletion for each member ahead of this one, so that normally only one
/// tries it.
const DELETION_STAGGER: Duration = Duration::from_millis(300);

/// The entry that decides.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Its id.
    pub id: &'a str,
    /// Its processor capacity in millicores.
    pub millicores: u32,
    /// Whether it holds a cell or is about to stop, so that it can't stand by.
    pub is_unavailable: bool,
}

/// An occupied slot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Listing {
    /// The entry that occupies it.
    pub entry: String,
    /// That entry's processor capacity in millicores.
    pub millicores: u32,
    /// Version of the slot's row.
    pub version: u64,
    /// Whether that entry is a former process of the deciding entry's instance.
    pub is_former: bool,
}

/// What an entry should do about the slots of its zone.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Nothing; `check_after` is the time until a claim may be due.
    None {
        /// `None` unless a slot can be claimed.
        check_after: Option<Duration>,
    },
    /// Occupy a slot, on condition that its row has this version, 0 if there is none.
    Claim {
        /// Number of the slot.
        slot: usize,
        /// Version of its row.
        version: u64,
    },
    /// Delete a slot's row, on condition that it has this version.
    Release {
        /// Number of the slot.
        slot: usize,
        /// Version of its row.
        version: u64,
    },
}

/// Pending claims of one entry.
#[derive(Debug, Default)]
pub struct Claims {
    /// For each slot that can be claimed, when that was first observed and the delay of the claim.
    pending: [Option<(Time, Duration)>; SLOTS_PER_ZONE],
}

impl Claims {
    /// Decides about the slots of the entry's zone.  `draw` returns random numbers from 0 to 1.
    pub fn decide(
        &mut self,
        me: Candidate<'_>,
        slots: &[Option<Listing>; SLOTS_PER_ZONE],
        now: Time,
        mut draw: impl FnMut() -> f64,
    ) -> Decision {
        let mut mine = (0..SLOTS_PER_ZONE)
            .filter_map(|slot| Some((slot, slots[slot].as_ref()?)))
            .filter(|(_, listing)| listing.entry == me.id);
        // A claim that the store carried out late may have left a second slot.
        let released = if me.is_unavailable { mine.next() } else { mine.clone().nth(1) };
        if let Some((slot, listing)) = released {
            return Decision::Release { slot, version: listing.version };
        }
        if me.is_unavailable || mine.next().is_some() {
            self.pending = Default::default();
            return Decision::None { check_after: None };
        }
        for (slot, pending) in self.pending.iter_mut().enumerate() {
            if can_claim(me, slots[slot].as_ref()) {
                pending.get_or_insert_with(|| (now, claim_delay(me.millicores, draw())));
            } else {
                *pending = None;
            }
        }
        let is_former =
            |slot: &usize| slots[*slot].as_ref().is_some_and(|listing| listing.is_former);
        let remaining = |slot: usize| {
            self.pending[slot].map(|(since, delay)| delay.saturating_sub(now.since(since)))
        };
        let due = (0..SLOTS_PER_ZONE)
            .find(is_former)
            .or_else(|| (0..SLOTS_PER_ZONE).find(|slot| remaining(*slot) == Some(Duration::ZERO)));
        match due {
            Some(slot) => {
                let version = slots[slot].as_ref().map_or(0, |listing| listing.version);
                self.pending[slot] = None;
                Decision::Claim { slot, version }
            }
            None => Decision::None { check_after: (0..SLOTS_PER_ZONE).filter_map(remaining).min() },
        }
    }
}

fn can_claim(me: Candidate<'_>, listing: Option<&Listing>) -> bool {
    listing.is_none_or(|listing| {
        listing.is_former || listing.millicores.saturating_mul(REPLACEMENT_FACTOR) <= me.millicores
    })
}

fn claim_delay(millicores: u32, draw: f64) -> Duration {
    let factor = (1000.0 / f64::from(millicores.max(1))).clamp(1.0, MAX_CLAIM_FACTOR);
    CLAIM_SPREAD.mul_f64(factor * draw.clamp(0.0, 1.0))
}

/// How long a standby may be listed before its row is seen.
const ROW_DELAY: Duration = Duration::from_secs(1);

/// A slot that a member may have to delete.
#[derive(Clone, Copy, Debug)]
pub struct Occupied<'a> {
    /// Key of the slot's row.
    pub slot: &'a str,
    /// The entry that occupies it.
    pub entry: &'a str,
    /// When its row was first seen.
    pub listed_at: Time,
}

/// Whether the member `me` should delete a slot now because its entry fell silent.  `entries` are the
/// rows of the members, as last read at `now`.
pub fn is_deletion_due(
    occupied: Occupied<'_>,
    me: &str,
    entries: &BTreeMap<String, Entry>,
    now: Time,
) -> bool {
    let is_alive = |entry: &Entry| !entry.stopping && now.since(entry.last_renewal) < entry.term;
    let mut alive: Vec<&str> =
        entries.iter().filter(|(_, entry)| is_alive(entry)).map(|(id, _)| id.as_str()).collect();
    alive.sort_by_key(|id| rank(occupied.slot, id));
    let Some(position) = alive.iter().position(|id| *id == me) else { return false };
    let silent_from = entries
        .get(occupied.entry)
        .map_or(occupied.listed_at + ROW_DELAY, |entry| entry.last_renewal + entry.term);
    now >= silent_from + DELETION_STAGGER * position as u32
}

/// Time between two checks of an idle entry whether a member of its zone still renews its row.
const MEMBER_CHECK_INTERVAL: Duration = Duration::from_secs(10);

/// Time between two reads of a member's row after which an unchanged row means that the member is
/// lost, and shortest time between two checks.
const MEMBER_SILENCE: Duration = Duration::from_millis(1500);

/// Checks of an idle entry whether any member is left.
///
/// Members replace each other.  Only if all of them are lost at once, idle entries must notice it:
/// each of them reads one row from time to time, and sooner when a holder doesn't answer.
#[derive(Debug)]
pub struct MemberCheck {
    /// Interval between checks without a suspicion.
    interval: Duration,
    checked_at: Time,
    last: Option<Observation>,
    /// Whether a holder has not answered since a member was last seen to renew.
    is_suspected: bool,
}

#[derive(Debug)]
struct Observation {
    entry: String,
    /// Version of the entry's row, 0 if it had none.
    version: u64,
}

impl MemberCheck {
    /// The checks of an entry that starts at `now`.  `draw` is a random number from 0 to 1 that
    /// spreads the checks of several entries.
    pub fn new(now: Time, draw: f64) -> Self {
        let interval = MEMBER_CHECK_INTERVAL.mul_f64(0.5 + draw.clamp(0.0, 1.0));
        Self { interval, checked_at: now, last: None, is_suspected: false }
    }

    /// Records that the holder of a cell has not answered.
    pub fn suspect(&mut self) {
        self.is_suspected = true;
    }

    /// Time until the next check.
    pub fn due_in(&self, now: Time) -> Duration {
        let interval = if self.is_suspected { MEMBER_SILENCE } else { self.interval };
        interval.saturating_sub(now.since(self.checked_at))
    }

    /// Records that no member's row could be read.  Members may have been unable to renew theirs as
    /// well, so the next read is compared with none before.
    pub fn record_unread(&mut self, now: Time) {
        self.last = None;
        self.checked_at = now;
    }

    /// Records a read of a member's row; true if the member is lost.
    pub fn record(&mut self, entry: &str, version: u64, now: Time) -> bool {
        let last = self.last.replace(Observation { entry: entry.into(), version });
        let is_same_entry = last.as_ref().is_some_and(|last| last.entry == entry);
        let is_same_version = last.is_some_and(|last| last.version == version);
        let is_lost =
            is_same_entry && is_same_version && now.since(self.checked_at) >= MEMBER_SILENCE;
        self.is_suspected &= !is_same_entry || is_same_version;
        self.checked_at = now;
        is_lost
    }
}
