//! This entry's row, the others' rows, and who owns which cell.

mod control;

use crate::clock;
use crate::confirm;
use crate::follow::{self, Table};
use crate::metrics::Counter;
use crate::node::Node;
use crate::owner::{self, Former, Owner};
use crate::rows;
use celerythread_adapter::store::{Error, Row, Transaction};
use celerythread_engine::job::{decode, encode};
use celerythread_engine::ownership::{self, Holding, Verdict};
use control::Control;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use stop_token::future::FutureExt;

/// Longest wait for a transaction on the control table.
const COMMIT_LIMIT: Duration = Duration::from_millis(1000);

/// Longest wait for a renewal.  At a store that is a hundred times slower it takes 0.8 s, and as
/// much again after another one in a cell's partition; later it would be too old to help.
const RENEWAL_LIMIT: Duration = Duration::from_millis(2000);

/// Longest wait for a read.
const READ_LIMIT: Duration = Duration::from_millis(700);

/// Time between two looks at who owns what: each is a comparison of a few rows in memory, and
/// half of it is added to every takeover.
const JUDGE: Duration = Duration::from_millis(100);

/// Time between two reads of changes: each entry's renewal is one, so without a pause every
/// entry would read as often as all of them write.
const CONTROL_PAUSE: Duration = Duration::from_millis(250);

/// Longest wait of one read for a change, so that silence can be judged by reads that were
/// answered: two of them fit into the shortest term.
const CONTROL_WAIT: Duration = Duration::from_millis(400);

/// Silence after which an entry's row is dropped; long after its cells were taken.
const FORGET: Duration = Duration::from_secs(30);

/// The table that entries agree by.
pub(crate) fn control_table() -> Table {
    Table {
        name: rows::CONTROL,
        has_parts: true,
        has_all_entries: true,
        pause: CONTROL_PAUSE,
        idle_pause: CONTROL_PAUSE,
        wait: CONTROL_WAIT,
    }
}

/// Renews this entry's row until the node stops.
pub(crate) async fn renew_forever(node: Arc<Node>, peer: SocketAddr) {
    loop {
        // One that failed leaves less time until others take over, so it is repeated sooner.
        let began = clock::now();
        let done = renew(&node, peer).await;
        let interval = node.renewal_interval();
        let pause = if done { interval } else { interval / 5 };
        // Reckoned from its sending: a slow store takes most of a second for a renewal, and with
        // a pause after it the last one would be too old to start anything for a third of the
        // time.
        let pause = pause.saturating_sub(clock::now().since(began));
        // An entry that takes a cell renews at once: its row's term is that of one without cells.
        let woken = node.renewing.wait(pause);
        if woken.timeout_at(node.stop.clone()).await.is_err() {
            return;
        }
    }
}

/// Renews this entry's row once; true if it is certain.
///
/// The renewal requires that this entry still holds each cell that it owns.  Without that, an
/// owner that comes back from a cut would count as renewed before it reads that its cells were
/// taken, and for that moment start tasks that its successor runs already.
pub(crate) async fn renew(node: &Arc<Node>, peer: SocketAddr) -> bool {
    let (number, term) = node.begin_renewal();
    let row = rows::Entry {
        name: node.settings.name.clone(),
        peer,
        term_ms: term.as_millis() as u32,
        renewal: number,
        power: (node.settings.cores * 1000.0) as u32,
        stopping: node.is_stopping(),
    };
    let owned: Vec<(String, u64)> =
        node.owners.read().iter().map(|(cell, owner)| (cell.clone(), owner.token)).collect();
    let name = rows::entry(&node.me);
    let change = Transaction {
        across_parts: !owned.is_empty(),
        conditions: owned.into_iter().map(|(cell, token)| (rows::cell(&cell), token)).collect(),
        writes: vec![(name.clone(), encode(&row))],
        ..Transaction::default()
    };
    let sent = clock::now();
    let is_this = |found: &Row| found.value == encode(&row);
    match confirm::commit(node, &change, RENEWAL_LIMIT, &name, is_this).await {
        Ok(_) => {
            node.renewed(sent, term);
            true
        }
        Err(Error::Conflict { rows: found }) => {
            take_lost_cells(node, &found);
            false
        }
        Err(_) => false,
    }
}

/// Takes in the rows of cells that a renewal found to be held by others.
fn take_lost_cells(node: &Arc<Node>, found: &[Row]) {
    let control = Control(node.clone());
    for row in found {
        let Some(cell) = row.key.strip_prefix(rows::CELL_PREFIX) else { continue };
        let mut view = node.view.write();
        control.take_cell(&mut view, cell, row);
        let holding = view.holdings.get(cell).cloned();
        drop(view);
        disown(node, cell, holding.as_ref());
    }
}

/// Drops the rows of this instance's earlier processes: they are certainly gone, so their cells
/// can be taken without waiting out their silence.
pub(crate) async fn clear_former(node: &Node) {
    let former: Vec<String> = {
        let view = node.view.read();
        let mine = |id: &&String| {
            **id != node.me
                && view.entry_rows.get(*id).is_some_and(|row| row.name == node.settings.name)
        };
        view.entries.keys().filter(mine).cloned().collect()
    };
    if former.is_empty() {
        return;
    }
    let deletes = former.iter().map(|id| rows::entry(id)).collect();
    let change = Transaction { deletes, across_parts: true, ..Transaction::default() };
    if node.commit(&change, COMMIT_LIMIT).await.is_ok() {
        let mut view = node.view.write();
        for id in &former {
            view.entries.remove(id);
            view.entry_rows.remove(id);
        }
    }
}

/// Looks again and again at who owns what, takes what is this entry's to take, and stops owning
/// what it no longer holds.
pub(crate) async fn judge_forever(node: Arc<Node>) {
    while node.pause(JUDGE).await {
        for cell in cells(&node) {
            // One that was taken is worked on at once, not after the next pause.
            if judge(&node, &cell).await {
                judge(&node, &cell).await;
            }
        }
        forget_silent(&node).await;
    }
}

/// All cells there should be: one for each service that is not the spare pool, and the maintenance.
fn cells(node: &Node) -> Vec<String> {
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

/// Judges a cell, and does what follows; true if it was to be taken.
async fn judge(node: &Arc<Node>, cell: &str) -> bool {
    let settings = ownership::Settings::default();
    let (verdict, holding, row) = {
        let view = node.view.read();
        let holding = view.holdings.get(cell).cloned();
        let owned = view.owned();
        let verdict = ownership::judge(
            cell,
            &node.me,
            holding.as_ref(),
            &view.entries,
            &owned,
            view.read_at,
            &settings,
        );
        (verdict, holding, view.cell_rows.get(cell).cloned())
    };
    match verdict {
        Verdict::Own => {
            if let (Some(holding), Some(row)) = (holding, row) {
                own(node, cell, &holding, &row);
            }
        }
        Verdict::Leave => disown(node, cell, holding.as_ref()),
        Verdict::Take { cell: version, former } if !node.is_stopping() => {
            take(node, cell, version, former, row).await;
            return true;
        }
        Verdict::Take { .. } => {}
    }
    false
}

/// Starts owning a cell that this entry holds.
fn own(node: &Arc<Node>, cell: &str, holding: &Holding, row: &rows::Cell) {
    if node.is_stopping() {
        return;
    }
    let mut owners = node.owners.write();
    if owners.get(cell).is_some_and(|owner| owner.token == holding.version) {
        return;
    }
    let former = match (row.generation, row.former_stopped) {
        (0, _) => Former::None,
        (_, true) => Former::Stopped,
        (_, false) => Former::Silent,
    };
    let owner = Owner::new(node.clone(), cell, holding.version, row.generation, former);
    if let Some(old) = owners.insert(cell.into(), owner.clone()) {
        old.stop();
    }
    drop(owners);
    node.owning.wake();
    node.renewing.wake();
    node.metrics.count(Counter::CellsTaken);
    node.journal.note(
        "cell_taken",
        &[("cell", &cell), ("token", &holding.version), ("generation", &row.generation)],
    );
    owner::start(owner);
}

/// Stops owning a cell that somebody else holds now.
fn disown(node: &Arc<Node>, cell: &str, holding: Option<&Holding>) {
    let Some(holding) = holding.filter(|holding| holding.holder != node.me) else { return };
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

/// Takes a cell.  The row is written on condition that neither it nor its former holder's row
/// has changed, so a holder that renewed meanwhile keeps it.
async fn take(
    node: &Arc<Node>,
    cell: &str,
    version: u64,
    former: Option<(String, u64)>,
    row: Option<rows::Cell>,
) {
    let name = rows::cell(cell);
    let generation = row.map_or(0, |row| row.generation + 1);
    // A holder without a row was dropped by its own instance's next process, or long ago.
    let former_stopped = former.is_none();
    let value = rows::Cell { holder: node.me.clone(), generation, former_stopped };
    let mut conditions = vec![(name.clone(), version)];
    conditions.extend(former.map(|(id, version)| (rows::entry(&id), version)));
    let change = Transaction {
        across_parts: conditions.len() > 1,
        conditions,
        writes: vec![(name, encode(&value))],
        ..Transaction::default()
    };
    match node.commit(&change, COMMIT_LIMIT).await {
        // The row's own version is the token, and the answer may tell a newer one.
        Ok(_) | Err(Error::Unanswered { .. }) => read_cell(node, cell).await,
        Err(Error::Conflict { .. }) => read_cell(node, cell).await,
        Err(_) => {}
    }
}

/// Reads a cell's row, ahead of the feed.
async fn read_cell(node: &Arc<Node>, cell: &str) {
    let name = rows::cell(cell);
    let result = node.store.get(rows::CONTROL, &name.part, &name.key, READ_LIMIT).await;
    node.store_result(&result);
    if let Ok(Some(row)) = result {
        let control = Control(node.clone());
        control.take_cell(&mut node.view.write(), cell, &row);
    }
}

/// Hands a cell that this entry holds to another entry by name; true if it is certain.
pub(crate) async fn hand_over(node: &Arc<Node>, cell: &str) -> bool {
    let (successor, holding, row) = {
        let view = node.view.read();
        let owned = view.owned();
        let to = ownership::successor(cell, &node.me, &view.entries, &owned, view.read_at);
        (to, view.holdings.get(cell).cloned(), view.cell_rows.get(cell).cloned())
    };
    let (Some(successor), Some(holding), Some(row)) = (successor, holding, row) else {
        return false;
    };
    let name = rows::cell(cell);
    let value = rows::Cell {
        holder: successor.clone(),
        generation: row.generation + 1,
        former_stopped: true,
    };
    let change = Transaction {
        conditions: vec![(name.clone(), holding.version)],
        writes: vec![(name.clone(), encode(&value))],
        ..Transaction::default()
    };
    let is_handed =
        |row: &Row| decode::<rows::Cell>(&row.value).is_ok_and(|cell| cell.holder != node.me);
    let done = confirm::commit(node, &change, COMMIT_LIMIT, &name, is_handed).await;
    let certain = matches!(done, Ok(_) | Err(Error::Conflict { .. }));
    if certain {
        node.metrics.count(Counter::CellsHandedOver);
        node.journal.note("cell_handed_over", &[("cell", &cell), ("to", &successor)]);
    }
    certain
}

/// Drops the rows of entries that have been silent for long.
async fn forget_silent(node: &Arc<Node>) {
    if node.owner(rows::FLEET_CELL).is_none() {
        return;
    }
    let gone: Vec<(String, u64)> = {
        let view = node.view.read();
        let now = clock::now();
        let silent = |entry: &ownership::Entry| now.since(entry.seen) > FORGET;
        let held = view.owned();
        view.entries
            .iter()
            .filter(|(id, entry)| silent(entry) && !held.contains_key(*id))
            .map(|(id, entry)| (id.clone(), entry.version))
            .collect()
    };
    for (id, version) in gone {
        let name = rows::entry(&id);
        let change = Transaction {
            conditions: vec![(name.clone(), version)],
            deletes: vec![name],
            ..Transaction::default()
        };
        // Dropped by somebody else or renewed meanwhile: either way the feed tells.
        let _ = node.commit(&change, COMMIT_LIMIT).await;
    }
}

/// Follows the control table until the node stops.
pub(crate) async fn follow_control(node: Arc<Node>) {
    let sink = Arc::new(Control(node.clone()));
    follow::follow(node, control_table(), sink).await;
}
