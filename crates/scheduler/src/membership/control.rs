//! Sink for the control table: entries, cells, and machines to be emptied.

use crate::clock;
use crate::follow::Sink;
use crate::node::{Node, View};
use crate::rows;
use celerythread_adapter::store::Row;
use celerythread_engine::ownership::former::{Renewal, Source};
use celerythread_engine::ownership::{self, Holding};
use std::sync::Arc;
use std::time::Duration;

/// Applies rows of the control table to the node's view.
pub(crate) struct ControlSink(pub(crate) Arc<Node>);

impl ControlSink {
    fn apply_row(&self, view: &mut View, row: &Row, source: Source) {
        let key = row.key.as_str();
        if let Some(id) = key.strip_prefix(rows::ENTRY_PREFIX) {
            self.apply_entry(view, id, row, source);
        } else if let Some(cell) = key.strip_prefix(rows::CELL_PREFIX) {
            self.apply_cell(view, cell, row);
        } else if let Some(machine) = key.strip_prefix(rows::EMPTYING_PREFIX) {
            if row.deleted {
                view.emptying.remove(machine);
            } else {
                let minion = String::from_utf8_lossy(&row.value).into_owned();
                view.emptying.insert(machine.into(), minion);
            }
        }
    }

    /// Applies a cell's row unless a newer one is known.
    pub(crate) fn apply_cell(&self, view: &mut View, cell: &str, row: &Row) {
        if row.deleted {
            view.holdings.remove(cell);
            view.cell_rows.remove(cell);
            return;
        }
        let Ok(value) = rows::Cell::decode(&row.value) else {
            self.0.journal.warn("cell_row_unreadable", &[("cell", &cell)]);
            return;
        };
        let holding = Holding { holder: value.holder.clone(), version: row.version };
        if view.holdings.get(cell).is_none_or(|known| known.version < row.version) {
            self.0.journal.info(
                "cell_held",
                &[("cell", &cell), ("holder", &holding.holder), ("token", &holding.version)],
            );
            view.watch.record_holder(cell, &holding.holder, row.version, clock::now());
            view.holdings.insert(cell.into(), holding);
            view.cell_rows.insert(cell.into(), value);
        }
    }

    fn apply_entry(&self, view: &mut View, id: &str, row: &Row, source: Source) {
        if row.deleted {
            view.entries.remove(id);
            view.entry_rows.remove(id);
            view.watch.forget_entry(id);
            return;
        }
        let Ok(value) = rows::Entry::decode(&row.value) else { return };
        if view.entries.get(id).is_none_or(|known| known.version < row.version) {
            let now = clock::now();
            let known = view.entries.get(id);
            let first_seen = known.map_or(now, |known| known.first_seen);
            let is_new = known.is_none();
            let (version, stopping) = (row.version, value.stopping);
            let millicores = value.power;
            let term = Duration::from_millis(value.term_ms.into());
            let (number, renewed_by_ms) = (value.renewal, value.renewed_by_ms);
            let renewal = Renewal { version, term, number, renewed_by_ms };
            let store_clock = self.0.store.clock();
            view.watch.record_renewal(id, renewal, source, now, &store_clock);
            let age_ms = store_clock.earliest_ms(now).unwrap_or(0).saturating_sub(renewed_by_ms);
            let is_outdated = is_new && renewed_by_ms > 0 && age_ms > term.as_millis() as u64;
            let entry = ownership::Entry {
                version,
                last_renewal: now,
                first_seen,
                term,
                stopping,
                millicores,
                is_outdated,
            };
            view.entries.insert(id.into(), entry);
            view.entry_rows.insert(id.into(), value);
        }
    }
}

impl Sink for ControlSink {
    fn read_answered(&self) {
        self.0.view.write().record_read(clock::now());
    }

    fn replace(&self, rows: Vec<Row>, version: u64) {
        let watch = self.0.view.read().watch.clone();
        let mut fresh = View { version, watch, ..View::default() };
        rows.iter().for_each(|row| self.apply_row(&mut fresh, row, Source::FullRead));
        let View { watch, entries, .. } = &mut fresh;
        watch.retain_entries(|id| entries.contains_key(id));
        let mut view = self.0.view.write();
        // An unchanged row doesn't reset the silence of its entry.
        for (id, entry) in &mut fresh.entries {
            let Some(known) = view.entries.get(id) else { continue };
            entry.first_seen = known.first_seen;
            if known.version == entry.version {
                entry.last_renewal = known.last_renewal;
                entry.is_outdated = known.is_outdated;
            } else {
                entry.is_outdated = false;
            }
        }
        fresh.released = std::mem::take(&mut view.released);
        fresh.read_at = view.read_at;
        *view = fresh;
    }

    fn unfollowed(&self) {
        let mut view = self.0.view.write();
        let released = std::mem::take(&mut view.released);
        *view = View { released, ..View::default() };
    }

    fn apply_changes(&self, rows: Vec<Row>) {
        let mut view = self.0.view.write();
        rows.iter().for_each(|row| self.apply_row(&mut view, row, Source::Feed));
        drop(view);
        for owner in self.0.owners.read().values() {
            owner.notify_minions_changed();
        }
    }
}
