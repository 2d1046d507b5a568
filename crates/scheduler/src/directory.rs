//! The directory: where the holders of cells are reached, which entries stand by, and where jobs are
//! stored.
//!
//! Every entry follows it ([`crate::membership`]).  It changes only with the members, so following it
//! costs the same in a fleet of any size.  It is a hint: who may own a cell is decided by the control
//! table alone.

use crate::clock;
use crate::rows;
use celerythread_adapter::store::Row;
use celerythread_engine::job::{Home, decode};
use celerythread_engine::ownership::standby::{Listing, SLOTS_PER_ZONE};
use celerythread_engine::time::Time;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// A row of the directory.
#[derive(Clone, Debug)]
pub(crate) struct Listed<T> {
    pub(crate) value: T,
    /// Version of the row.
    pub(crate) version: u64,
    /// When this version was first seen.
    pub(crate) seen_at: Time,
}

/// The directory as last read.
#[derive(Debug, Default)]
pub(crate) struct Directory {
    /// Version up to which it is complete; 0 before it is read.
    pub(crate) version: u64,
    /// Routes by cell.
    pub(crate) routes: BTreeMap<String, Listed<rows::Route>>,
    /// Standbys by zone and slot.
    pub(crate) standbys: BTreeMap<(String, usize), Listed<rows::Standby>>,
    /// Homes by queue.
    pub(crate) homes: BTreeMap<String, Listed<Home>>,
    /// Versions of the rows that can't be read, by key, so that they can be replaced.
    unreadable: BTreeMap<String, u64>,
}

impl Directory {
    /// A directory without rows, complete up to a version.
    pub(crate) fn at(version: u64) -> Self {
        Self { version, ..Self::default() }
    }

    /// Applies a row unless a newer version is known; false if it can't be read.
    pub(crate) fn apply(&mut self, row: &Row) -> bool {
        let is_readable = self.apply_readable(row);
        if is_readable {
            self.unreadable.remove(&row.key);
        } else {
            self.unreadable.insert(row.key.clone(), row.version);
        }
        is_readable
    }

    fn apply_readable(&mut self, row: &Row) -> bool {
        if let Some(cell) = row.key.strip_prefix(rows::CELL_PREFIX) {
            apply_to(&mut self.routes, cell.into(), row)
        } else if let Some((zone, slot)) = rows::standby_slot(&row.key) {
            apply_to(&mut self.standbys, (zone.into(), slot), row)
        } else if let Some(queue) = row.key.strip_prefix(rows::HOME_PREFIX) {
            apply_to(&mut self.homes, queue.into(), row)
        } else {
            true
        }
    }

    /// The version of a row that can't be read, 0 if there is no such row with this key.
    pub(crate) fn unreadable_version(&self, key: &str) -> u64 {
        self.unreadable.get(key).copied().unwrap_or(0)
    }

    /// The partitions of other services in which jobs of a service may be stored.
    pub(crate) fn foreign_partitions(&self, service: &str) -> BTreeSet<String> {
        let homes = self.homes.values().map(|home| &home.value);
        let foreign = homes.filter(|home| home.is_foreign_to(service));
        foreign.map(|home| home.partition.clone()).collect()
    }

    /// The slots of a zone, as the entry `entry_id` sees them.
    pub(crate) fn slots(&self, zone: &str, entry_id: &str) -> [Option<Listing>; SLOTS_PER_ZONE] {
        std::array::from_fn(|slot| {
            let standby = self.standbys.get(&(zone.to_owned(), slot))?;
            let entry = standby.value.entry.clone();
            let is_former = entry != entry_id && rows::instance(&entry) == rows::instance(entry_id);
            let (millicores, version) = (standby.value.power, standby.version);
            Some(Listing { entry, millicores, version, is_former })
        })
    }

    /// Whether an entry occupies a slot.
    pub(crate) fn stands_by(&self, entry_id: &str) -> bool {
        self.standbys.values().any(|standby| standby.value.entry == entry_id)
    }

    /// Ids and addresses of the members.
    fn members(&self) -> impl Iterator<Item = (&str, SocketAddr)> {
        let holders =
            self.routes.values().map(|route| (route.value.holder.as_str(), route.value.peer));
        let standbys = self
            .standbys
            .values()
            .map(|standby| (standby.value.entry.as_str(), standby.value.peer));
        holders.chain(standbys)
    }

    /// Addresses of the members except `entry_id`.
    pub(crate) fn peers(&self, entry_id: &str) -> BTreeSet<SocketAddr> {
        self.members().filter(|(id, _)| *id != entry_id).map(|(_, peer)| peer).collect()
    }

    /// Members that are former processes of an entry's instance.
    pub(crate) fn former_processes(&self, entry_id: &str) -> BTreeSet<String> {
        let is_former =
            |id: &&str| *id != entry_id && rows::instance(id) == rows::instance(entry_id);
        self.members().map(|(id, _)| id).filter(is_former).map(Into::into).collect()
    }
}

/// Applies a row to a map; false if it can't be read.
fn apply_to<K: Ord, T: serde::de::DeserializeOwned>(
    rows: &mut BTreeMap<K, Listed<T>>,
    key: K,
    row: &Row,
) -> bool {
    if rows.get(&key).is_some_and(|known| known.version >= row.version) {
        return true;
    }
    if row.deleted {
        rows.remove(&key);
        return true;
    }
    match decode::<T>(&row.value) {
        Ok(value) => {
            rows.insert(key, Listed { value, version: row.version, seen_at: clock::now() });
            true
        }
        Err(_) => {
            rows.remove(&key);
            false
        }
    }
}
