//! Who may order a machine while the store is unavailable.
//!
//! The fleet controller's holder usually writes a row before it orders a machine, and orders only
//! while its own row is renewed.  During an outage of the store neither is possible.  Then the owner
//! of the machine's minion permits the order: [`Permissions`] decides for an owner which holder gets
//! a permission, [`Standing`] for a holder whether it may order, and [`Unrecorded`] which rows a
//! holder has to write once the store answers again.
//!
//! Two former holders or owners may be active at once, because none of them can read the store.
//! Holders are told apart by their fencing tokens, of which an owner follows the highest.  Owners are
//! told apart by the minion, which refuses the former owner once the next one has called it: a
//! permission needs a recent answer of the minion, and a new owner reports a minion of its
//! predecessor only once all permissions from before have expired.

use crate::time::Time;
use std::collections::BTreeMap;
use std::time::Duration;
use strum::Display;

/// Greatest age of a holder's last renewal at which it orders by its row.  Another entry may take
/// over once this one has been silent for the takeover time, and then waits for the lease before it
/// gives orders of its own.
pub const MAX_RENEWAL_AGE: Duration = Duration::from_millis(1500);

/// How long a permission is valid at the owner, from its answer.  Within this time an order that
/// rests on it must have been answered or abandoned.
pub const PERMISSION_TERM: Duration = Duration::from_millis(1000);

/// How long the holder may use a permission, from its request.  The rest of the term is left for
/// the order's transit.
pub const MAX_PERMISSION_AGE: Duration = Duration::from_millis(500);

/// Greatest age of the call whose answer shows that a minion is empty and obeys this owner.
const MAX_POLL_AGE: Duration = Duration::from_millis(500);

/// How long after an inherited minion's first answer permissions of the former owner may be in use:
/// [`MAX_POLL_AGE`] and [`PERMISSION_TERM`], and 2% of them because clocks run at different rates,
/// rounded up.
const PREDECESSOR_WAIT: Duration = Duration::from_millis(1600);

/// What an owner knows about a minion that is to be emptied.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Candidate<'a> {
    /// The minion.
    pub minion: &'a str,
    /// Whether it answers, nothing runs there, and nothing will be started there.
    pub is_empty: bool,
    /// When the call was sent that it answered last.
    pub polled_at: Time,
    /// When it first answered this owner.
    pub answering_since: Time,
    /// Whether a former owner of the cell used it.
    pub is_inherited: bool,
}

/// The last permission for a minion.
#[derive(Clone, Copy, Debug)]
struct Permission {
    token: u64,
    given_at: Time,
}

/// The permissions that one owner has given.
#[derive(Debug)]
pub struct Permissions {
    /// When the owner took over the cell.
    since: Time,
    /// How long after a permission no other holder learns that the minion is empty.
    exclusion: Duration,
    highest_token: u64,
    given: BTreeMap<String, Permission>,
}

impl Permissions {
    /// Permissions of an owner that took over its cell at `since`.
    ///
    /// `lease` is the time within which two holders may not both order a machine.  An order may
    /// follow within the term of its permission, so other holders are excluded for both.
    pub fn new(since: Time, lease: Duration) -> Self {
        Self { since, exclusion: PERMISSION_TERM + lease, highest_token: 0, given: BTreeMap::new() }
    }

    /// Records a holder's fencing token; false if a higher one is known, so that this holder has
    /// been replaced.
    pub fn admit(&mut self, token: u64) -> bool {
        self.highest_token = self.highest_token.max(token);
        token == self.highest_token
    }

    /// Whether a minion that is empty may be reported as such for an order by row, to the holder with
    /// `token`, or to any holder if that is `None`.
    pub fn may_report(&self, candidate: &Candidate<'_>, token: Option<u64>, now: Time) -> bool {
        let is_excluded = self.given.get(candidate.minion).is_some_and(|permission| {
            Some(permission.token) != token && now.since(permission.given_at) < self.exclusion
        });
        !is_excluded && !has_predecessor(candidate, now)
    }

    /// Permits the holder with `token`, which [`Self::admit`] has admitted, to order the machine of
    /// a minion; false if it may not.
    pub fn permit(&mut self, candidate: &Candidate<'_>, token: u64, now: Time) -> bool {
        self.given.retain(|_, permission| now.since(permission.given_at) < self.exclusion);
        let is_known_empty = candidate.is_empty && now.since(candidate.polled_at) <= MAX_POLL_AGE;
        let is_settled = now.since(self.since) >= PERMISSION_TERM;
        let permitted = token == self.highest_token
            && is_known_empty
            && is_settled
            && self.may_report(candidate, Some(token), now);
        if permitted {
            let permission = Permission { token, given_at: now };
            self.given.insert(candidate.minion.into(), permission);
        }
        permitted
    }
}

/// Whether a permission of the former owner may still be in use.
fn has_predecessor(candidate: &Candidate<'_>, now: Time) -> bool {
    candidate.is_inherited && now.since(candidate.answering_since) < PREDECESSOR_WAIT
}

/// What an order rests on.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Basis {
    /// The machine's row and the holder's renewal.
    Row,
    /// A permission of the owner of the machine's cell.
    Permission,
}

/// A holder's view of itself and of the store.
#[derive(Clone, Copy, Debug)]
pub struct Standing {
    /// Whether it has been stopped or has lost the cell.
    pub is_stopped: bool,
    /// Time since its last successful renewal was sent.
    pub renewal_age: Duration,
    /// Time since the store last answered it, while an outage is known; `None` while there is none.
    pub outage: Option<Duration>,
    /// Longest outage during which it orders without the store.
    pub max_outage: Duration,
}

impl Standing {
    /// What orders for further moves will rest on; `None` if no moves may be planned.
    pub fn basis(&self) -> Option<Basis> {
        if self.is_stopped {
            None
        } else if self.renewal_age <= MAX_RENEWAL_AGE {
            Some(Basis::Row)
        } else {
            self.is_alone().then_some(Basis::Permission)
        }
    }

    /// What the order for a machine rests on; `None` if it may not be ordered.
    ///
    /// `has_row` says whether the row that names the machine is written, `permission_age` how long
    /// ago the permission for it was requested.
    pub fn may_order(&self, has_row: bool, permission_age: Option<Duration>) -> Option<Basis> {
        match self.basis()? {
            Basis::Row if has_row => Some(Basis::Row),
            _ => {
                let is_permitted = permission_age.is_some_and(|age| age <= MAX_PERMISSION_AGE);
                (is_permitted && self.is_alone()).then_some(Basis::Permission)
            }
        }
    }

    /// Whether the store is unavailable, and has been for less than the longest time.
    pub fn is_alone(&self) -> bool {
        !self.is_stopped && self.outage.is_some_and(|outage| outage < self.max_outage)
    }
}

/// A machine that is being emptied, or was ordered, without a row.
#[derive(Clone, Debug)]
struct Entry<T> {
    target: T,
    is_ordered: bool,
}

/// The machines without rows, with what their rows and messages need.
#[derive(Clone, Debug)]
pub struct Unrecorded<T> {
    machines: BTreeMap<String, Entry<T>>,
    last_ordered_at: Option<Time>,
}

impl<T> Default for Unrecorded<T> {
    fn default() -> Self {
        Self { machines: BTreeMap::new(), last_ordered_at: None }
    }
}

impl<T: Clone> Unrecorded<T> {
    /// Adds a machine that is being emptied, or replaces its target.
    pub fn insert(&mut self, machine: String, target: T) {
        let is_ordered = self.machines.get(&machine).is_some_and(|entry| entry.is_ordered);
        self.machines.insert(machine, Entry { target, is_ordered });
    }

    /// Records that a machine has been, or may have been, ordered.  Has no effect on one with a row.
    pub fn record_order(&mut self, machine: &str, now: Time) {
        if let Some(entry) = self.machines.get_mut(machine) {
            entry.is_ordered = true;
            self.last_ordered_at = Some(now);
        }
    }

    /// Reverts [`Self::record_order`] for an order that certainly had no effect.
    pub fn revert_order(&mut self, machine: &str) {
        if let Some(entry) = self.machines.get_mut(machine) {
            entry.is_ordered = false;
        }
    }

    /// Removes a machine whose emptying was cancelled, unless it may have been ordered.
    pub fn cancel(&mut self, machine: &str) {
        if self.machines.get(machine).is_some_and(|entry| !entry.is_ordered) {
            self.machines.remove(machine);
        }
    }

    /// Removes machines whose rows have been written.
    pub fn record_rows<'a>(&mut self, machines: impl Iterator<Item = &'a String>) {
        machines.for_each(|machine| drop(self.machines.remove(machine)));
        if !self.has_orders() {
            self.last_ordered_at = None;
        }
    }

    /// Whether a machine has no row.
    pub fn contains(&self, machine: &str) -> bool {
        self.machines.contains_key(machine)
    }

    /// Whether there is no machine without a row.
    pub fn is_empty(&self) -> bool {
        self.machines.is_empty()
    }

    /// Whether machines may have been ordered whose rows are not written, so that nothing else may
    /// be planned once the store answers again.
    pub fn has_orders(&self) -> bool {
        self.machines.values().any(|entry| entry.is_ordered)
    }

    /// The machines whose rows are to be written.
    pub fn targets(&self) -> impl Iterator<Item = &T> {
        self.machines.values().map(|entry| &entry.target)
    }

    /// Whether rows may be written: the holder's last renewal was sent after its last order without
    /// a row, so it still held the cell then.
    pub fn may_record(&self, renewed_at: Time) -> bool {
        self.last_ordered_at.is_none_or(|ordered_at| renewed_at > ordered_at)
    }
}
