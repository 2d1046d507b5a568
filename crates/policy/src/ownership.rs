//! Which entry hands out a minion's slots.
//!
//! Minions are spread over the entries of their own availability zone, each whole minion to
//! one entry: with as many entries as minions a service, the static share and the minion
//! coincide, and lending a slot costs one round trip only when the own ones are used up.

use celerythread_model::fleet::Ownership;
use celerythread_model::id;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};

/// An entry as the choice sees it.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The entry.
    pub entry: id::Entry,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Registered, answering and not stopping.
    pub serves: bool,
    /// Registered and silent for so long that its minions should be taken over.
    pub silent: bool,
}

/// What an entry should do about a minion's ownership.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Write this row if the old one still stands.
    Acquire(Ownership),
    /// Stop handing out, and write this row once nothing is outstanding.
    Release(Ownership),
    /// Nothing.
    Keep,
}

/// The entry that should own a minion.
///
/// The choice is by the highest hash, so that an entry's coming or going changes only its own
/// share, then evened out: no entry owns more of a service than its ceiling.
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
    // DefaultHasher::new() has fixed keys, and all entries of a release choose alike; a
    // difference between releases only costs a hand-over.
    let mut hasher = DefaultHasher::new();
    (service, minion, entry).hash(&mut hasher);
    hasher.finish()
}

/// Decides what `me` does about one minion.
///
/// A minion changes owners in one of two ways: handed back by its owner, or taken over from
/// one that was silent for long or has left the registry.  Taken over, the former owner stays
/// noted until it is gone for certain, because it may be paused with work in flight: a drain
/// is not complete before that.
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

/// The former owners that are gone for certain: no longer registered, or back and confirming
/// that they hold nothing.
pub fn prune_former_owners(
    row: &Ownership,
    registered: &BTreeSet<id::Entry>,
    confirmed_idle: impl Fn(&id::Entry) -> bool,
) -> Ownership {
    let mut row = row.clone();
    row.former.retain(|former| registered.contains(former) && !confirmed_idle(former));
    row
}
