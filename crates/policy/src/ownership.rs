//! Which entry owns a minion, that is, hands out its slots.
//!
//! Minions are distributed over the entries of their own availability zone, each whole minion to
//! one entry.  With as many entries as minions of a service, an entry's static share is exactly one
//! minion.  Borrowing a slot costs one round trip, and only when the entry's own slots are used up.

use celerythread_model::fleet::Ownership;
use celerythread_model::id;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};

/// An entry, as the assignment sees it.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The entry.
    pub entry: id::Entry,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Whether it is registered, answers and isn't stopping.
    pub serves: bool,
    /// Whether it is registered but has been silent for so long that its minions should be taken
    /// over.
    pub silent: bool,
}

/// What an entry should do about a minion's ownership.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Write this row if the old one is unchanged.
    Acquire(Ownership),
    /// Stop handing out slots, and write this row once no grant is outstanding.
    Release(Ownership),
    /// Change nothing.
    Keep,
}

/// Assigns minions to entries.
///
/// Rendezvous hashing, so that an entry that joins or leaves changes only its own share, with
/// bounded loads: no entry owns more of a service's minions in a zone than the average, rounded up.
pub fn assign(
    minions: &BTreeMap<id::Minion, (id::Service, id::Zone)>,
    candidates: &[Candidate],
) -> BTreeMap<id::Minion, id::Entry> {
    let mut chosen = BTreeMap::new();
    let mut by_pool: BTreeMap<(&id::Service, &id::Zone), Vec<&id::Minion>> = BTreeMap::new();
    for (minion, (service, zone)) in minions {
        by_pool.entry((service, zone)).or_default().push(minion);
    }
    for ((service, zone), names) in by_pool {
        let serving: Vec<&Candidate> =
            candidates.iter().filter(|c| c.serves && c.zone == *zone).collect();
        if serving.is_empty() {
            continue;
        }
        let max_load = names.len().div_ceil(serving.len());
        let mut load: BTreeMap<&id::Entry, usize> = BTreeMap::new();
        for name in names {
            let with_capacity =
                serving.iter().filter(|c| load.get(&c.entry).copied().unwrap_or(0) < max_load);
            let best =
                with_capacity.max_by_key(|c| (rendezvous_hash(service, name, &c.entry), &c.entry));
            if let Some(best) = best {
                *load.entry(&best.entry).or_default() += 1;
                chosen.insert(name.clone(), best.entry.clone());
            }
        }
    }
    chosen
}

fn rendezvous_hash(service: &id::Service, minion: &id::Minion, entry: &id::Entry) -> u64 {
    // DefaultHasher::new() has fixed keys, so all entries of a release choose alike.  A difference
    // between releases only costs a handover.
    let mut hasher = DefaultHasher::new();
    (service, minion, entry).hash(&mut hasher);
    hasher.finish()
}

/// Decides what the entry `entry_id` does about one minion.
///
/// A minion changes owners in one of two ways: its owner releases it, or it is taken over from an
/// owner that was silent for long or is no longer registered.  After a takeover the former owner
/// stays recorded until it has certainly ended, because it may be paused with work in flight: a
/// drain isn't complete before that.
pub fn decide(
    entry_id: &id::Entry,
    minion: &id::Minion,
    existing: Option<&Ownership>,
    assigned: Option<&id::Entry>,
    candidates: &BTreeMap<id::Entry, Candidate>,
) -> Action {
    let owned = |former| Ownership {
        minion: minion.clone(),
        owner: Some(entry_id.clone()),
        former,
        idle_at: None,
    };
    let Some(row) = existing else {
        return if assigned == Some(entry_id) {
            Action::Acquire(owned(Default::default()))
        } else {
            Action::Keep
        };
    };
    match &row.owner {
        Some(owner) if owner == entry_id => {
            let wanted_elsewhere = assigned.is_some_and(|entry| entry != entry_id);
            if wanted_elsewhere {
                return Action::Release(Ownership { owner: None, ..row.clone() });
            }
            Action::Keep
        }
        Some(owner) if assigned == Some(entry_id) => {
            let lost = match candidates.get(owner) {
                None => true,
                Some(candidate) => candidate.silent,
            };
            if !lost {
                return Action::Keep;
            }
            let mut former = row.former.clone();
            if !former.contains(owner) {
                former.push(owner.clone());
            }
            Action::Acquire(owned(former))
        }
        None if assigned == Some(entry_id) => Action::Acquire(owned(row.former.clone())),
        _ => Action::Keep,
    }
}

/// The row without the former owners that certainly hold nothing any more: those no longer
/// registered, and those that came back and confirmed it.
pub fn prune_former_owners(
    row: &Ownership,
    registered: &BTreeSet<id::Entry>,
    confirmed_idle: impl Fn(&id::Entry) -> bool,
) -> Ownership {
    let mut row = row.clone();
    row.former.retain(|former| registered.contains(former) && !confirmed_idle(former));
    row
}
