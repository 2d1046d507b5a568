//! The control table as a member reads it.

use crate::clock;
use crate::rows;
use celerythread_engine::ownership::{self, Holding};
use celerythread_engine::time::Time;
use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

/// How long a message that a minion is to be emptied counts without its row: several reads of the
/// control table.
const RELEASE_VALIDITY: Duration = Duration::from_millis(1500);

/// The control table as a member last read it; empty in other entries.
#[derive(Debug, Default)]
pub(crate) struct View {
    /// Version up to which it is complete.
    pub(crate) version: u64,
    /// Entries as observed.
    pub(crate) entries: BTreeMap<String, ownership::Entry>,
    /// Rows of the entries.
    pub(crate) entry_rows: BTreeMap<String, rows::Entry>,
    /// Who holds each cell.
    pub(crate) holdings: BTreeMap<String, Holding>,
    /// Rows of the cells.
    pub(crate) cell_rows: BTreeMap<String, rows::Cell>,
    /// Machines to be emptied, with their minions.
    pub(crate) emptying: BTreeMap<String, String>,
    /// Minions to be emptied by a message that arrived before its row, with the time until which it
    /// counts.
    pub(crate) released: BTreeMap<String, Time>,
    /// When a read of the control table was last answered.
    pub(crate) read_at: Time,
    /// What is known of the cells' holders for a takeover.
    pub(crate) watch: ownership::former::Watch,
}

impl View {
    /// Records that a read was answered; called before its rows are applied.
    pub(crate) fn record_read(&mut self, now: Time) {
        ownership::record_read(&mut self.entries, self.read_at, now);
        self.read_at = now;
    }

    /// How many cells each entry holds.
    pub(crate) fn cell_counts(&self) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        for holding in self.holdings.values() {
            *counts.entry(holding.holder.clone()).or_default() += 1;
        }
        counts
    }

    /// Id, address and token of the holder of a cell.
    pub(super) fn holder(&self, cell: &str) -> Option<rows::Route> {
        let holding = self.holdings.get(cell)?;
        let peer = self.entry_rows.get(&holding.holder)?.peer;
        Some(rows::Route { holder: holding.holder.clone(), peer, token: holding.version })
    }

    /// The minions that are to be emptied.
    pub(crate) fn emptying_minions(&self) -> HashSet<&str> {
        let now = clock::now();
        let released = self.released.iter().filter(|(_, until)| now < **until);
        let rows = self.emptying.values().map(String::as_str);
        rows.chain(released.map(|(minion, _)| minion.as_str())).collect()
    }

    /// Records minions to be emptied, named by a message that arrived before their rows.
    ///
    /// This counts only until the rows must have been read.  A message can be delayed until its
    /// rows have been deleted again; if it counted forever, the minion would stay idle while tasks
    /// wait.
    pub(crate) fn release(&mut self, minions: impl Iterator<Item = String>) {
        let now = clock::now();
        self.released.retain(|_, until| now < *until);
        self.released.extend(minions.map(|minion| (minion, now + RELEASE_VALIDITY)));
    }
}
