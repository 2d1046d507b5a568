//! This entry's row, the other members' rows, and the ownership of cells.
//!
//! An entry is a member while it owns a cell or stands by ([`standby`]).  Only members renew their
//! rows and follow the control table; all others follow just the directory.

mod control;
pub(crate) mod directory;
pub(crate) mod standby;
pub(crate) mod version;

use crate::clock;
use crate::confirm;
use crate::follow::{self, Need, Table};
use crate::metrics::Counter;
use crate::node::{Node, View};
use crate::owner::{self, FormerOwner, Owner};
use crate::rows;
use celerythread_adapter::store::{Error, Row, Transaction};
use celerythread_engine::cell::Cell;
use celerythread_engine::job::encode;
use celerythread_engine::ownership::former::{self, EarlierOwners};
use celerythread_engine::ownership::{self, Decision, Holding};
use celerythread_engine::time::Time;
use control::ControlSink;
use std::borrow::Cow;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use stop_token::future::FutureExt;

/// Longest wait for a transaction on the control table.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(1000);

/// Longest wait for a renewal.  With a store that is a hundred times slower, a renewal takes 0.8 s,
/// and as much again when it queues behind another one in a cell's partition.  A later answer would
/// be too old to help.
const RENEWAL_TIMEOUT: Duration = Duration::from_millis(2000);

const READ_TIMEOUT: Duration = Duration::from_millis(700);

/// Time between two checks of all cells' ownership.  Each check compares a few rows in memory; half
/// of the interval is added to every takeover.
const OWNERSHIP_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two checks whether an idle entry has become a member.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// How long an entry must have been a member before it takes a cell that never had a holder.  When
/// all entries start for the first time, the first member would take all cells.
const FIRST_TAKEOVER_DELAY: Duration = Duration::from_millis(1500);

/// Pause between reads of changes.  Each member's renewal is a change, so without a pause every
/// member would read as often as all of them write.
const CONTROL_BATCH_DELAY: Duration = Duration::from_millis(250);

/// Longest wait of one read for a change.  Two reads fit into the shortest term, so that silence is
/// judged by reads that were answered.
const MAX_CONTROL_FEED_WAIT: Duration = Duration::from_millis(400);

/// Silence after which an entry's row is deleted, long after its cells were taken over.
const SILENT_ENTRY_RETENTION: Duration = Duration::from_secs(30);

/// The table that holds the state shared between entries.
pub(crate) fn control_table() -> Table {
    Table {
        name: rows::CONTROL,
        has_partitions: true,
        has_row_per_entry: true,
        batch_delay: CONTROL_BATCH_DELAY,
        need: Need::Membership,
        max_wait: MAX_CONTROL_FEED_WAIT,
    }
}

/// Renews this entry's row while it is a member, until the node stops.
pub(crate) async fn renew_forever(node: Arc<Node>, peer: SocketAddr) {
    loop {
        while !node.renews() {
            let woken = node.renewal_due.wait(IDLE_CHECK_INTERVAL);
            if woken.timeout_at(node.stop.clone()).await.is_err() {
                return;
            }
        }
        // A failed renewal leaves less time until other entries take over, so it is retried sooner.
        let began = clock::now();
        let done = renew(&node, peer).await;
        let interval = node.renewal_interval();
        let pause = if done { interval } else { interval / 5 };
        // Measured from the time of sending: a slow store takes most of a second for a renewal, and
        // with a full pause after it, the last renewal would be too old to permit starts for a
        // third of the time.
        let pause = pause.saturating_sub(clock::now().since(began));
        // An entry that takes over a cell renews at once, because its row has the term of an entry
        // without cells.
        let woken = node.renewal_due.wait(pause);
        if woken.timeout_at(node.stop.clone()).await.is_err() {
            return;
        }
    }
}

/// This entry's row as of a renewal whose permits count from `sent`.
fn entry_row(
    node: &Node,
    peer: SocketAddr,
    number: u64,
    term: Duration,
    sent: Time,
) -> rows::Entry {
    rows::Entry {
        name: node.settings.name.clone(),
        peer,
        term_ms: term.as_millis() as u32,
        renewal: number,
        power: node.millicores(),
        stopping: node.is_stopping(),
        renewed_by_ms: node.store.clock().latest_ms(sent).unwrap_or(0),
    }
}

/// Renews this entry's row once; true if the renewal is certain to be committed.
///
/// The renewal requires that this entry still holds each cell that it owns.  Otherwise an owner
/// that returns from a network partition would count as renewed before it reads that its cells were
/// taken over, and in between would start tasks that its successor already runs.
pub(crate) async fn renew(node: &Arc<Node>, peer: SocketAddr) -> bool {
    let (number, term) = node.begin_renewal();
    let sent = clock::now();
    let row = entry_row(node, peer, number, term, sent);
    let owned: Vec<(String, u64)> =
        node.owners.read().iter().map(|(cell, owner)| (cell.clone(), owner.token)).collect();
    let name = rows::entry(&node.entry_id);
    let change = Transaction {
        across_parts: !owned.is_empty(),
        conditions: owned.iter().map(|(cell, token)| (rows::cell(cell), *token)).collect(),
        writes: vec![(name.clone(), encode(&row))],
        ..Transaction::default()
    };
    let is_this_renewal = |found: &Row| found.value == encode(&row);
    match confirm::commit(node, &change, RENEWAL_TIMEOUT, &name, is_this_renewal).await {
        Ok(confirmed) => {
            record_held(node, &owned, confirmed.version());
            node.record_renewal(sent, term, &owned)
        }
        Err(Error::Conflict { rows: found }) => {
            release_lost_cells(node, &found);
            false
        }
        Err(_) => false,
    }
}

/// Records that owners still held their cells at a version of the store.
fn record_held(node: &Node, owned: &[(String, u64)], version: u64) {
    for (cell, token) in owned {
        if let Some(owner) = node.owner(cell).filter(|owner| owner.token == *token) {
            owner.grants.record_held(&owner, version);
        }
    }
}

/// Applies the rows of cells that a renewal found to be held by other entries, and stops owning
/// these cells.
fn release_lost_cells(node: &Arc<Node>, found: &[Row]) {
    let control = ControlSink(node.clone());
    for row in found {
        let Some(cell) = row.key.strip_prefix(rows::CELL_PREFIX) else { continue };
        let mut view = node.view.write();
        control.apply_cell(&mut view, cell, row);
        let holding = view.holdings.get(cell).cloned();
        drop(view);
        stop_owning(node, cell, holding.as_ref());
    }
}

/// Deletes the rows of this instance's former processes that were members.  They are certain to have
/// ended, so their cells can be taken over without waiting for their silence to exceed the term.
/// This entry becomes a member for a time, as one of the candidates for these cells.
pub(crate) async fn delete_former_entries(node: &Node) {
    let former = node.directory.read().former_processes(&node.entry_id);
    if former.is_empty() {
        return;
    }
    node.join_provisionally();
    let deletes = former.iter().map(|id| rows::entry(id)).collect();
    let change = Transaction { deletes, across_parts: true, ..Transaction::default() };
    // If this fails, the rows fall silent.
    let _ = node.commit(&change, COMMIT_TIMEOUT).await;
}

/// Cells whose holders were seen to have no row, with the holder's token and since when.
#[derive(Default)]
struct Vacancies(BTreeMap<String, (u64, Time)>);

impl Vacancies {
    /// The entries for a decision on a cell.
    fn entries<'a>(
        &mut self,
        cell: &str,
        holding: Option<&Holding>,
        view: &'a View,
    ) -> Cow<'a, BTreeMap<String, ownership::Entry>> {
        let missing = holding.filter(|holding| !view.entries.contains_key(&holding.holder));
        let Some(Holding { holder, version }) = missing else {
            self.0.remove(cell);
            return Cow::Borrowed(&view.entries);
        };
        let known = self.0.get(cell).filter(|(token, _)| token == version);
        let since = known.map_or(view.read_at, |(_, since)| *since);
        self.0.insert(cell.into(), (*version, since));
        Cow::Owned(ownership::with_missing_holder(&view.entries, holder, since))
    }
}

/// Checks the ownership of all cells periodically: takes over those assigned to this entry, and
/// stops owning those that it no longer holds.
pub(crate) async fn check_ownership_forever(node: Arc<Node>) {
    let mut vacancies = Vacancies::default();
    loop {
        let is_member = node.is_member();
        let interval = if is_member { OWNERSHIP_CHECK_INTERVAL } else { IDLE_CHECK_INTERVAL };
        if !node.pause(interval).await {
            return;
        }
        if !is_member || node.view.read().version == 0 {
            continue;
        }
        for cell in expected_cells(&node) {
            // The owner of a cell that was taken over is started at once, not after the next pause.
            if check_cell(&node, &cell, &mut vacancies).await {
                check_cell(&node, &cell, &mut vacancies).await;
            }
        }
        delete_silent_entries(&node).await;
    }
}

/// All cells that should exist, one for each service except the spare pool and one for the fleet,
/// and all that are held.
fn expected_cells(node: &Node) -> Vec<String> {
    let Some(configuration) = node.configuration() else { return Vec::new() };
    let mut cells: Vec<String> = configuration.serving_pools().map(Into::into).collect();
    if node.machines.is_some() {
        cells.push(rows::FLEET_CELL.into());
    }
    let view = node.view.read();
    cells.extend(
        view.holdings.keys().filter(|cell| !cells.contains(cell)).cloned().collect::<Vec<_>>(),
    );
    cells
}

/// Decides what to do about a cell and does it; true if a takeover was attempted.
async fn check_cell(node: &Arc<Node>, cell: &str, vacancies: &mut Vacancies) -> bool {
    let settings = ownership::Settings::default();
    let (decision, holding, row) = {
        let view = node.view.read();
        let holding = view.holdings.get(cell).cloned();
        let owned = view.cell_counts();
        let entries = vacancies.entries(cell, holding.as_ref(), &view);
        let decision = ownership::decide(
            cell,
            &node.entry_id,
            holding.as_ref(),
            &entries,
            &owned,
            view.read_at,
            &settings,
        );
        (decision, holding, view.cell_rows.get(cell).cloned())
    };
    match decision {
        Decision::Own => {
            if let (Some(holding), Some(row)) = (holding, row) {
                start_owning(node, cell, &holding, &row);
            }
        }
        Decision::Decline => stop_owning(node, cell, holding.as_ref()),
        Decision::TakeOver { cell_version: 0, .. } if node.member_for() < FIRST_TAKEOVER_DELAY => {}
        Decision::TakeOver { cell_version: version, former } if !node.is_stopping() => {
            take_over_cell(node, cell, version, former, row).await;
            return true;
        }
        Decision::TakeOver { .. } => {}
    }
    false
}

/// Starts the owner of a cell that this entry holds.
fn start_owning(node: &Arc<Node>, cell: &str, holding: &Holding, row: &rows::Cell) {
    if node.is_stopping() {
        return;
    }
    let mut owners = node.owners.write();
    if owners.get(cell).is_some_and(|owner| owner.token == holding.version) {
        return;
    }
    let former = match (row.generation, row.former_stopped) {
        (0, _) => FormerOwner::None,
        (_, true) => FormerOwner::Stopped { earlier: row.earlier },
        (_, false) => FormerOwner::Silent {
            renewed_by_ms: row.former_renewed_by_ms,
            known_version: row.former_known_version,
        },
    };
    let owner = Owner::new(node.clone(), cell, holding.version, row.generation, former);
    if let Some(old) = owners.insert(cell.into(), owner.clone()) {
        old.stop();
    }
    drop(owners);
    node.cell_acquired.wake();
    node.renewal_due.wake();
    node.directory_wake.wake();
    node.metrics.count(Counter::CellsTaken);
    node.journal.info(
        "cell_taken",
        &[("cell", &cell), ("token", &holding.version), ("generation", &row.generation)],
    );
    owner::start(owner);
}

/// Stops the owner of a cell that another entry holds now.
fn stop_owning(node: &Arc<Node>, cell: &str, holding: Option<&Holding>) {
    let Some(holding) = holding.filter(|holding| holding.holder != node.entry_id) else { return };
    let mut owners = node.owners.write();
    let older = owners.get(cell).is_some_and(|owner| owner.token < holding.version);
    if !older {
        return;
    }
    if let Some(owner) = owners.remove(cell) {
        owner.stop();
        node.metrics.count(Counter::CellsLost);
        node.journal.warn(
            "cell_lost",
            &[("cell", &cell), ("holder", &holding.holder), ("token", &holding.version)],
        );
    }
}

/// Takes over a cell.  The write requires that neither the cell's row nor its former holder's row
/// has changed, so a holder that renewed in the meantime keeps the cell.
async fn take_over_cell(
    node: &Arc<Node>,
    cell: &str,
    version: u64,
    former: Option<(String, u64)>,
    row: Option<rows::Cell>,
) {
    let name = rows::cell(cell);
    let evidence = former.as_ref().map(|(_, renewal)| {
        let view = node.view.read();
        view.watch.evidence(cell, version, *renewal)
    });
    let evidence = evidence.unwrap_or_default();
    let predecessors = row.as_ref().map(rows::Cell::predecessors);
    let earlier = predecessors.map_or(EarlierOwners::None, |owners| owners.all());
    // Whether the holder has completed its own takeover isn't known.
    let unstopped = predecessors.map_or(EarlierOwners::None, |owners| owners.unstopped(false));
    let (now, store_clock) = (clock::now(), node.store.clock());
    let generation = row.map_or(0, |row| row.generation + 1);
    // The missing row of a holder was deleted by its own instance's next process, or after a long
    // silence.  A holder never deletes its own row.
    let former_stopped = former.as_ref().is_none_or(|(_, version)| *version == 0);
    let value = rows::Cell {
        holder: node.entry_id.clone(),
        generation,
        former_stopped,
        former_renewed_by_ms: former::renewed_by_ms(
            evidence.renewed_by_ms,
            earlier,
            now,
            &store_clock,
        ),
        former_known_version: evidence.known_version,
        earlier: unstopped,
    };
    let mut conditions = vec![(name.clone(), version)];
    conditions.extend(former.map(|(id, version)| (rows::entry(&id), version)));
    let change = Transaction {
        across_parts: conditions.len() > 1,
        conditions,
        writes: vec![(name, encode(&value))],
        ..Transaction::default()
    };
    match node.commit(&change, COMMIT_TIMEOUT).await {
        // The token is the version of the cell's row, and the answer may have a newer version.
        Ok(_) | Err(Error::Unanswered { .. }) => read_cell(node, cell).await,
        Err(Error::Conflict { .. }) => read_cell(node, cell).await,
        Err(_) => {}
    }
}

/// Reads a cell's row without waiting for the feed.
async fn read_cell(node: &Arc<Node>, cell: &str) {
    let name = rows::cell(cell);
    let result = node.store.get(rows::CONTROL, &name.part, &name.key, READ_TIMEOUT).await;
    node.record_store_result(&result);
    if let Ok(Some(row)) = result {
        let control = ControlSink(node.clone());
        control.apply_cell(&mut node.view.write(), cell, &row);
    }
}

/// Hands over a cell that this entry holds to a named successor; true if the handover is certain.
pub(crate) async fn hand_over(node: &Arc<Node>, cell: &str) -> bool {
    let (successor, holding, row) = {
        let view = node.view.read();
        let owned = view.cell_counts();
        let to = ownership::successor(cell, &node.entry_id, &view.entries, &owned, view.read_at);
        (to, view.holdings.get(cell).cloned(), view.cell_rows.get(cell).cloned())
    };
    let (Some(successor), Some(holding), Some(row)) = (successor, holding, row) else {
        return false;
    };
    let name = rows::cell(cell);
    let is_complete = |cell: &mut Cell| cell.is_takeover_complete(clock::now());
    // The owner of an earlier holding of the same cell tells nothing about this one.
    let owner = node.owner(cell).filter(|owner| owner.token == holding.version);
    let is_takeover_complete = owner.and_then(|owner| owner.with(is_complete)).unwrap_or(false);
    let earlier = row.predecessors().unstopped(is_takeover_complete);
    let value = rows::Cell {
        holder: successor.clone(),
        generation: row.generation + 1,
        former_stopped: true,
        former_renewed_by_ms: node.store.clock().latest_ms(clock::now()).unwrap_or(0),
        former_known_version: 0,
        earlier,
    };
    let change = Transaction {
        conditions: vec![(name.clone(), holding.version)],
        writes: vec![(name.clone(), encode(&value))],
        ..Transaction::default()
    };
    let is_handed_over =
        |row: &Row| rows::Cell::decode(&row.value).is_ok_and(|cell| cell.holder != node.entry_id);
    let done = confirm::commit(node, &change, COMMIT_TIMEOUT, &name, is_handed_over).await;
    let is_certain = matches!(done, Ok(_) | Err(Error::Conflict { .. }));
    if is_certain {
        node.metrics.count(Counter::CellsHandedOver);
        node.journal.info(
            "cell_handed_over",
            &[("cell", &cell), ("to", &successor), ("earlier_owners", &earlier)],
        );
    }
    is_certain
}

/// Deletes the rows of entries that have been silent for [`SILENT_ENTRY_RETENTION`].
async fn delete_silent_entries(node: &Arc<Node>) {
    if node.owner(rows::FLEET_CELL).is_none() {
        return;
    }
    let silent_entries: Vec<(String, u64)> = {
        let view = node.view.read();
        let now = clock::now();
        let silent =
            |entry: &ownership::Entry| now.since(entry.last_renewal) > SILENT_ENTRY_RETENTION;
        let held = view.cell_counts();
        view.entries
            .iter()
            .filter(|(id, entry)| silent(entry) && !held.contains_key(*id))
            .map(|(id, entry)| (id.clone(), entry.version))
            .collect()
    };
    for (id, version) in silent_entries {
        let name = rows::entry(&id);
        let change = Transaction {
            conditions: vec![(name.clone(), version)],
            deletes: vec![name],
            ..Transaction::default()
        };
        // If another entry deleted the row, or it was renewed meanwhile, the feed shows it.
        let _ = node.commit(&change, COMMIT_TIMEOUT).await;
    }
}

/// Follows the control table until the node stops.
pub(crate) async fn follow_control(node: Arc<Node>) {
    let sink = Arc::new(ControlSink(node.clone()));
    follow::follow(node, control_table(), sink).await;
}
