//! Minions in the order of their free processor capacity, for the placements of one plan.

use crate::cell::minion::{Minion, MinionId};
use crate::job::Resources;

/// What each minion has free, ordered by millicores and id.
///
/// Lets a placement skip the minions without enough processor capacity.
#[derive(Debug, Default)]
pub(crate) struct Index(Vec<Entry>);

#[derive(Debug)]
struct Entry {
    id: MinionId,
    free: Resources,
}

impl Entry {
    fn key(&self) -> (u64, &MinionId) {
        (self.free.cpu, &self.id)
    }
}

impl Index {
    /// Indexes minions.
    pub(crate) fn new<'a>(minions: impl Iterator<Item = &'a Minion>) -> Self {
        let mut entries: Vec<Entry> =
            minions.map(|minion| Entry { id: minion.id.clone(), free: minion.free() }).collect();
        entries.sort_unstable_by(|a, b| a.key().cmp(&b.key()));
        Self(entries)
    }

    /// Ids of the minions with enough free millicores, those with the fewest first, and whether they
    /// have all of `need` free.
    pub(crate) fn with_free(&self, need: Resources) -> impl Iterator<Item = (&MinionId, bool)> {
        let first = self.0.partition_point(|entry| entry.free.cpu < need.cpu);
        self.0[first..].iter().map(move |entry| (&entry.id, entry.free.holds(&need)))
    }

    /// Updates a minion that had `former` free and has `current` now.
    pub(crate) fn update(&mut self, id: &MinionId, former: &Resources, current: Resources) {
        let key = (former.cpu, id);
        let Ok(position) = self.0.binary_search_by(|entry| entry.key().cmp(&key)) else { return };
        let entry = Entry { free: current, ..self.0.remove(position) };
        let position = self.0.partition_point(|other| other.key() < entry.key());
        self.0.insert(position, entry);
    }
}
