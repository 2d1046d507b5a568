//! Following the platform's tables: what operators write, and the minions that register.

use crate::clock;
use crate::in_force;
use crate::node::Node;
use celerythread_adapter::configuration;
use celerythread_adapter::minion::Entry;
use celerythread_adapter::store::{self, Error, Page, Row};
use celerythread_adapter::wave::{self, Wave};
use celerythread_engine::ownership;
use std::sync::Arc;
use std::time::Duration;

/// Longest wait of one feed call as a rule.  A connection that goes silent is found out only when
/// the answer is overdue, so this bounds the age of a configuration then.
pub(crate) const FEED_WAIT: Duration = Duration::from_millis(1000);

/// Pause after a failed call.
const RETRY: Duration = Duration::from_millis(150);

/// Gathers the entries of minions that come together; what an owner knows of them then is at most
/// this old, a fifteenth of the time that a minion takes to move.
const MINIONS_PAUSE: Duration = Duration::from_millis(100);

/// The same for entries that own no cell and only need the list when they take one; they read it
/// at once then.  Every minion's entry changes at each of its heartbeats, so each entry would read as
/// often as it may, and all entries of all minions each time: at 50 ms that was 44 of 100 calls to the
/// store with 9 entries and 50 minions.  Two heartbeats; the history that a read goes on from lasts ten
/// times as long.
const MINIONS_IDLE_PAUSE: Duration = Duration::from_millis(3000);

/// Longest wait for a read.
const READ_LIMIT: Duration = Duration::from_millis(800);

/// Something that takes in a table's rows.
pub(crate) trait Sink: Send + Sync {
    /// Takes in all rows of the table as of a version; what isn't among them is gone.
    fn replace(&self, rows: Vec<Row>, version: u64);
    /// Takes in changes.
    fn change(&self, rows: Vec<Row>);
    /// Takes in that a read was answered, before what it brought.
    fn answered(&self) {}
    /// Takes in that all that a read brought is taken in.
    fn taken(&self) {}
}

/// A table to follow.
pub(crate) struct Table {
    /// Its name.
    pub(crate) name: &'static str,
    /// Whether it has more partitions than the empty one.
    pub(crate) has_parts: bool,
    /// Whether each entry keeps a row in it and all follow it, so that reading it whole takes each a call
    /// for each other.
    pub(crate) has_all_entries: bool,
    /// Pause between two calls, to gather changes.
    pub(crate) pause: Duration,
    /// The same while this entry owns no cell.
    pub(crate) idle_pause: Duration,
    /// Longest wait of one call for a change.
    pub(crate) wait: Duration,
}

/// Follows a table until the node stops or `sink` is dropped by its owner.
pub(crate) async fn follow(node: Arc<Node>, table: Table, sink: Arc<dyn Sink>) {
    let Some(mut version) = read_whole(&node, &table, sink.as_ref()).await else { return };
    follow_from(&node, &table, sink.as_ref(), &mut version).await;
}

/// Follows a table from a version on.
pub(crate) async fn follow_from(
    node: &Arc<Node>,
    table: &Table,
    sink: &dyn Sink,
    version: &mut u64,
) {
    while node.pause(table.pause).await {
        let idle_pause = table.idle_pause.saturating_sub(table.pause);
        // Tables without one must not take the wake-up that is meant for the others.
        if !idle_pause.is_zero() && node.owners.read().is_empty() {
            node.owning.wait(idle_pause).await;
        }
        let result = node.store.feed(table.name, *version, table.wait).await;
        node.store_result(&result);
        match result {
            Ok(page) => {
                sink.answered();
                note_unreadable(node, table, &page);
                take(page, version, sink);
                sink.taken();
            }
            Err(Error::HistoryGone) => {
                node.journal.warn("history_gone", &[("table", &table.name), ("after", version)]);
                if !node.pause(spread(node, table)).await {
                    return;
                }
                let Some(read) = read_whole(node, table, sink).await else { return };
                *version = read;
            }
            Err(_) => {
                if !node.pause(RETRY).await {
                    return;
                }
            }
        }
    }
}

/// Rows of another writer that can't be read don't hold up the others.
fn note_unreadable(node: &Node, table: &Table, page: &Page) {
    if page.unreadable > 0 {
        let fields: [(&'static str, &dyn std::fmt::Display); 3] =
            [("table", &table.name), ("rows", &page.unreadable), ("version", &page.version)];
        node.journal.warn("rows_unreadable", &fields);
    }
}

fn take(page: Page, version: &mut u64, sink: &dyn Sink) {
    if !page.rows.is_empty() {
        sink.change(page.rows);
    }
    *version = page.version.max(*version);
}

/// Reads a table whole, again and again until it succeeds; none when the node stops.
async fn read_whole(node: &Arc<Node>, table: &Table, sink: &dyn Sink) -> Option<u64> {
    loop {
        let result = if table.has_parts {
            node.store.read_partitions(table.name, "", READ_LIMIT).await
        } else {
            node.store.read_partition(table.name, "", "", READ_LIMIT).await
        };
        node.store_result(&result);
        if let Ok(page) = result {
            sink.answered();
            note_unreadable(node, table, &page);
            sink.replace(page.rows, page.version);
            sink.taken();
            return Some(page.version);
        }
        if !node.pause(RETRY + spread(node, table)).await {
            return None;
        }
    }
}

/// How long to wait so that not all entries read a table with a row for each of them at once.
fn spread(node: &Node, table: &Table) -> Duration {
    // Other tables are read by few, and at once: owners must learn of cancellations.
    if !table.has_all_entries {
        return Duration::ZERO;
    }
    let entries = node.view.read().entries.len();
    ownership::reread_pause(entries, rand::random())
}

/// What operators write: the configuration and waves of maintenance.
pub(crate) struct Operators(pub(crate) Arc<Node>);

impl Operators {
    fn take(&self, row: &Row) {
        if row.key == configuration::KEY && !row.deleted {
            in_force::take(&self.0, &row.value, &"store");
        } else if row.key.starts_with(wave::KEY_PREFIX) {
            self.take_wave(row);
        }
    }

    fn take_wave(&self, row: &Row) {
        let node = &self.0;
        match Wave::decode(&row.value) {
            _ if row.deleted => {}
            Some(wave) => {
                node.journal.note(
                    "wave_seen",
                    &[
                        ("wave", &wave.number),
                        ("machines", &wave.machines.len()),
                        ("at_once", &wave.at_once),
                        ("seconds", &wave.duration_s),
                    ],
                );
                node.waves.write().insert(wave.number, wave);
            }
            None => node.journal.warn("wave_unreadable", &[("key", &row.key)]),
        }
    }
}

impl Sink for Operators {
    fn taken(&self) {
        self.0.in_force.confirm(clock::now());
    }

    fn replace(&self, rows: Vec<Row>, _: u64) {
        rows.iter().for_each(|row| self.take(row));
    }

    fn change(&self, rows: Vec<Row>) {
        rows.iter().for_each(|row| self.take(row));
    }
}

/// Minions as the platform lists them.
pub(crate) struct Minions(pub(crate) Arc<Node>);

impl Minions {
    /// Takes in one minion; true if something else is known of it now.  Most changes are heartbeats.
    fn take(&self, row: &Row) -> bool {
        let node = &self.0;
        let id: Arc<str> = row.key.as_str().into();
        let entry = if row.deleted { None } else { Entry::decode(&id, &row.value) };
        let Some(entry) = entry else {
            // What can't be read names no minion to use, also where an earlier entry did.
            if !row.deleted {
                node.journal.warn("minion_unreadable", &[("minion", &id)]);
            }
            let known = node.minions.write().remove(&id).is_some();
            if known {
                node.journal.note("minion_gone", &[("minion", &id), ("version", &row.version)]);
            }
            return known;
        };
        let (service, draining) = (entry.service.clone(), entry.listing.draining);
        let mut minions = node.minions.write();
        let known = minions.get(&id);
        if known == Some(&entry) {
            return false;
        }
        let incarnation = entry.listing.incarnation;
        let is_told = known.is_some_and(|known| {
            known.listing.draining == draining && known.listing.incarnation == incarnation
        });
        minions.insert(id.clone(), entry);
        drop(minions);
        if !is_told {
            let event = if draining { "minion_draining" } else { "minion_seen" };
            let incarnation = incarnation.map_or(0, |incarnation| incarnation.0);
            node.journal.note(
                event,
                &[
                    ("minion", &id),
                    ("service", &service),
                    ("incarnation", &incarnation),
                    ("version", &row.version),
                ],
            );
        }
        true
    }

    fn tell_owners(&self) {
        for owner in self.0.owners.read().values() {
            owner.minions_changed();
        }
    }
}

impl Sink for Minions {
    /// Entries that are missing are not dropped at once: the list may be read just after an
    /// outage of the store, when entries lapsed that come back within some seconds.
    fn replace(&self, rows: Vec<Row>, _: u64) {
        let present: std::collections::BTreeSet<Arc<str>> =
            rows.iter().map(|row| row.key.as_str().into()).collect();
        for row in &rows {
            self.take(row);
        }
        self.0.minions.write().retain(|id, _| present.contains(id));
        self.tell_owners();
    }

    /// Owners are told of changes only: told of each heartbeat, one with some hundred minions copied all
    /// of their listings ten times a second.
    fn change(&self, rows: Vec<Row>) {
        let changed = rows.iter().filter(|row| self.take(row)).count();
        if changed > 0 {
            self.tell_owners();
        }
    }
}

/// The table that operators write to.
pub(crate) fn operator_table() -> Table {
    Table {
        name: store::OPERATOR_TABLE,
        has_parts: false,
        has_all_entries: false,
        pause: Duration::ZERO,
        idle_pause: Duration::ZERO,
        wait: FEED_WAIT,
    }
}

/// The table that minions register in.
pub(crate) fn minion_table() -> Table {
    Table {
        name: store::MINION_TABLE,
        has_parts: false,
        has_all_entries: false,
        pause: MINIONS_PAUSE,
        idle_pause: MINIONS_IDLE_PAUSE,
        wait: FEED_WAIT,
    }
}
