//! Follows tables of the platform's store: what operators write, and the minions that register.

use crate::clock;
use crate::in_force;
use crate::node::Node;
use crate::settings::Settings;
use celerythread_adapter::configuration;
use celerythread_adapter::minion::Entry;
use celerythread_adapter::store::{self, Error, Page, Row};
use celerythread_adapter::wave::{self, Wave};
use celerythread_engine::ownership;
use celerythread_engine::time::Time;
use celerythread_sync::Wake;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use stop_token::future::FutureExt;

/// Longest wait of one feed call for most tables.  A dead connection is noticed only once the
/// answer is overdue.
pub(crate) const MAX_FEED_WAIT: Duration = Duration::from_millis(1000);

/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Delay in which changes of the minion table are batched.  It adds at most this much to the age of
/// what an owner knows, a fifteenth of the time that a minion takes to move.
const MINION_BATCH_DELAY: Duration = Duration::from_millis(100);

/// Interval between two checks whether a table is needed, which a wake-up precedes.
const NEED_CHECK_INTERVAL: Duration = Duration::from_millis(1000);

/// Longest wait for the read of a table.
const READ_TIMEOUT: Duration = Duration::from_millis(800);

/// Receives the rows of a followed table.
pub(crate) trait Sink: Send + Sync {
    /// Applies all rows of the table as of a version; rows that are missing no longer exist.
    fn replace(&self, rows: Vec<Row>, version: u64);
    /// Applies changed rows.
    fn apply_changes(&self, rows: Vec<Row>);
    /// Called when a read was answered, before its rows are applied.
    fn read_answered(&self) {}
    /// Called when all rows of a read have been applied, with when it was sent and the version as of
    /// which the table is known.
    fn read_applied(&self, _sent: Time, _version: u64) {}
    /// Called when the table is no longer followed; what was applied becomes outdated.
    fn unfollowed(&self) {}
}

/// When an entry follows a table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Need {
    /// As long as it runs.
    Always,
    /// While it is a member.  Members renew their rows often.
    Membership,
    /// While it owns a cell with minions.  The table has a row for each minion, so entries that
    /// followed it without need would read entries times minions rows.
    OwnedMinions,
}

impl Need {
    fn is_met(self, node: &Node) -> bool {
        match self {
            Need::Always => true,
            Need::Membership => node.is_member(),
            Need::OwnedMinions => node.owns_minions(),
        }
    }

    /// Woken when the need may be met.
    fn wake(self, node: &Node) -> &Wake {
        match self {
            Need::Always | Need::Membership => &node.membership_wake,
            Need::OwnedMinions => &node.cell_acquired,
        }
    }

    /// Waits until the need is met; false if the node stops first.
    async fn wait(self, node: &Node) -> bool {
        while !self.is_met(node) {
            let woken = self.wake(node).wait(NEED_CHECK_INTERVAL);
            if woken.timeout_at(node.stop.clone()).await.is_err() {
                return false;
            }
        }
        true
    }
}

/// A table to follow.
pub(crate) struct Table {
    /// Its name.
    pub(crate) name: &'static str,
    /// Whether it has other partitions than the empty one.
    pub(crate) has_partitions: bool,
    /// Whether each entry has a row in it and all entries follow it, so that the cost of a full
    /// read grows with the number of entries.
    pub(crate) has_row_per_entry: bool,
    /// Delay between two calls, to batch changes.
    pub(crate) batch_delay: Duration,
    /// While this entry needs the table.
    pub(crate) need: Need,
    /// Longest wait of one call for a change.
    pub(crate) max_wait: Duration,
}

/// Follows a table until the node stops: while it is needed, reads it in full, then its changes.
pub(crate) async fn follow(node: Arc<Node>, table: Table, sink: Arc<dyn Sink>) {
    while table.need.wait(&node).await {
        let Some(mut version) = read_table(&node, &table, sink.as_ref()).await else { return };
        follow_from(&node, &table, sink.as_ref(), &mut version).await;
        sink.unfollowed();
    }
}

/// Follows the changes of a table after a version, while it is needed.
pub(crate) async fn follow_from(
    node: &Arc<Node>,
    table: &Table,
    sink: &dyn Sink,
    version: &mut u64,
) {
    while table.need.is_met(node) && node.pause(table.batch_delay).await {
        let sent = clock::now();
        let result = node.store.feed(table.name, *version, table.max_wait).await;
        node.record_store_result(&result);
        match result {
            Ok(page) => {
                sink.read_answered();
                log_unreadable_rows(node, table, &page);
                apply_page(page, version, sink);
                sink.read_applied(sent, *version);
            }
            Err(Error::HistoryGone) => {
                node.journal.warn("history_gone", &[("table", &table.name), ("after", version)]);
                if !node.pause(reread_delay(node, table)).await {
                    return;
                }
                let Some(read) = read_table(node, table, sink).await else { return };
                *version = read;
            }
            Err(_) => {
                if !node.pause_for_store(RETRY_DELAY).await {
                    return;
                }
            }
        }
    }
}

/// Logs unreadable rows.  They do not prevent the others from being applied.
fn log_unreadable_rows(node: &Node, table: &Table, page: &Page) {
    if page.unreadable > 0 {
        let fields: [(&'static str, &dyn std::fmt::Display); 3] =
            [("table", &table.name), ("rows", &page.unreadable), ("version", &page.version)];
        node.journal.warn("rows_unreadable", &fields);
    }
}

fn apply_page(page: Page, version: &mut u64, sink: &dyn Sink) {
    if !page.rows.is_empty() {
        sink.apply_changes(page.rows);
    }
    *version = page.version.max(*version);
}

/// Reads a table in full, retrying until it succeeds; none when the node stops.
async fn read_table(node: &Arc<Node>, table: &Table, sink: &dyn Sink) -> Option<u64> {
    loop {
        let sent = clock::now();
        let result = if table.has_partitions {
            node.store.read_partitions(table.name, "", READ_TIMEOUT).await
        } else {
            node.store.read_partition(table.name, "", "", READ_TIMEOUT).await
        };
        node.record_store_result(&result);
        if let Ok(page) = result {
            sink.read_answered();
            log_unreadable_rows(node, table, &page);
            sink.replace(page.rows, page.version);
            sink.read_applied(sent, page.version);
            return Some(page.version);
        }
        if !node.pause_for_store(RETRY_DELAY + reread_delay(node, table)).await {
            return None;
        }
    }
}

/// Random delay before a full read, so that not all entries read a table with a row for each entry
/// at once.
fn reread_delay(node: &Node, table: &Table) -> Duration {
    // Other tables have few readers, which must not wait: owners must learn of cancellations.
    if !table.has_row_per_entry {
        return Duration::ZERO;
    }
    let entries = node.view.read().entries.len();
    ownership::reread_delay(entries, rand::random())
}

/// Applies what operators write: the configuration and maintenance waves.
pub(crate) struct OperatorSink(pub(crate) Arc<Node>);

impl OperatorSink {
    fn apply_row(&self, row: &Row) {
        if row.key == configuration::KEY && !row.deleted {
            in_force::apply(&self.0, &row.value, &"store");
        } else if row.key.starts_with(wave::KEY_PREFIX) {
            self.apply_wave(row);
        }
    }

    fn apply_wave(&self, row: &Row) {
        let node = &self.0;
        match Wave::decode(&row.value) {
            _ if row.deleted => {}
            Some(wave) => {
                node.journal.info(
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

impl Sink for OperatorSink {
    fn read_applied(&self, _: Time, _: u64) {
        self.0.in_force.confirm(clock::now());
    }

    fn replace(&self, rows: Vec<Row>, _: u64) {
        rows.iter().for_each(|row| self.apply_row(row));
    }

    fn apply_changes(&self, rows: Vec<Row>) {
        rows.iter().for_each(|row| self.apply_row(row));
    }
}

/// Applies the platform's table of minions.
pub(crate) struct MinionSink(pub(crate) Arc<Node>);

impl MinionSink {
    /// Applies one minion's row; true if it changed what is known of the minion.  Most changes are
    /// heartbeats only.
    fn apply_row(&self, row: &Row) -> bool {
        let node = &self.0;
        let id: Arc<str> = row.key.as_str().into();
        let entry = if row.deleted { None } else { Entry::decode(&id, &row.value) };
        let Some(entry) = entry else {
            // A minion with an unreadable row is not used, even if an earlier row was readable.
            if !row.deleted {
                node.journal.warn("minion_unreadable", &[("minion", &id)]);
            }
            let known = node.minions.write().remove(&id).is_some();
            if known {
                node.journal.info("minion_gone", &[("minion", &id), ("version", &row.version)]);
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
        let is_logged = known.is_some_and(|known| {
            known.listing.draining == draining && known.listing.incarnation == incarnation
        });
        minions.insert(id.clone(), entry);
        drop(minions);
        if !is_logged {
            let event = if draining { "minion_draining" } else { "minion_seen" };
            let incarnation = incarnation.map_or(0, |incarnation| incarnation.0);
            node.journal.info(
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

    fn notify_owners(&self) {
        for owner in self.0.owners.read().values() {
            owner.notify_minions_changed();
        }
    }
}

impl Sink for MinionSink {
    /// Owners retain the runs of minions that are missing until their leases expire: the table may
    /// be read just after an outage of the store, when rows have expired that come back within some
    /// seconds.
    fn replace(&self, rows: Vec<Row>, _: u64) {
        let present: std::collections::BTreeSet<Arc<str>> =
            rows.iter().map(|row| row.key.as_str().into()).collect();
        for row in &rows {
            self.apply_row(row);
        }
        self.0.minions.write().retain(|id, _| present.contains(id));
        self.0.minions_read.store(true, Ordering::SeqCst);
        self.notify_owners();
    }

    fn unfollowed(&self) {
        self.0.minions_read.store(false, Ordering::SeqCst);
    }

    /// Notifies owners of changes only.  Notified of each heartbeat, an owner with some hundred
    /// minions copied all of their listings ten times a second.
    fn apply_changes(&self, rows: Vec<Row>) {
        let changed = rows.iter().filter(|row| self.apply_row(row)).count();
        if changed > 0 {
            self.notify_owners();
        }
    }
}

/// The table that operators write to.
pub(crate) fn operator_table(settings: &Settings) -> Table {
    Table {
        name: store::OPERATOR_TABLE,
        has_partitions: false,
        has_row_per_entry: false,
        batch_delay: Duration::ZERO,
        need: Need::Always,
        max_wait: settings.operator_feed_wait(),
    }
}

/// The table that minions register in.
pub(crate) fn minion_table() -> Table {
    Table {
        name: store::MINION_TABLE,
        has_partitions: false,
        has_row_per_entry: false,
        batch_delay: MINION_BATCH_DELAY,
        need: Need::OwnedMinions,
        max_wait: MAX_FEED_WAIT,
    }
}
