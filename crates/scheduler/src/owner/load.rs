//! Taking a cell over: fencing the former owner in the store, and reading what it kept.

use crate::clock;
use crate::fleet;
use crate::follow::{self, Sink, Table};
use crate::node::Node;
use crate::owner::{Former, Owner};
use crate::rows;
use celerythread_adapter::store::{Error, Name, Page, Row, Transaction};
use celerythread_engine::cell::{Cell, Settings};
use celerythread_engine::former;
use celerythread_engine::job::{Accepted, Id, Progress, decode, encode};
use celerythread_engine::lease;
use celerythread_engine::maintenance::Machine;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Longest wait for a call.
const CALL_LIMIT: Duration = Duration::from_millis(1000);

/// Pause after a failed call.
const RETRY: Duration = Duration::from_millis(100);

/// Pause between two reads of the jobs' changes.  Messages tell of them sooner; half a second later
/// is far below what callers are promised.
const JOBS_PAUSE: Duration = Duration::from_millis(400);

/// Time between two looks for minions that are over, while a new owner waits for some, at the least.
const BURY_INTERVAL: Duration = Duration::from_millis(400);

/// Machines in one answer of the platform's list.
const MACHINES_A_PAGE: usize = 200;

/// Time that one read of the list stands for when every cell has a new owner at once: half of the
/// platform's 64 reads a second for all of them.
const TIME_A_READ: Duration = Duration::from_millis(31);

/// Fences the former owner and reads the cell; returns the version to follow the jobs from.
pub(crate) async fn take_over(owner: &Arc<Owner>) -> Option<u64> {
    take_ledger(owner).await?;
    loop {
        match read(owner).await {
            Ok(version) => return Some(version),
            Err(error) => {
                owner
                    .node
                    .journal
                    .warn("cell_unread", &[("service", &owner.service), ("reason", &error)]);
                if !owner.pause(RETRY).await {
                    return None;
                }
            }
        }
    }
}

/// Writes the ledger with this owner's token; from then on no transaction of a former owner
/// goes through.
async fn take_ledger(owner: &Arc<Owner>) -> Option<()> {
    let mut ledger = owner.ledger.lock().await;
    loop {
        let row =
            owner.node.store.get(rows::JOBS, &owner.service, rows::LEDGER_KEY, CALL_LIMIT).await;
        owner.node.store_result(&row);
        if let Ok(row) = row {
            let known = row.as_ref().map_or(0, |row| row.version);
            let holder = row.and_then(|row| decode::<rows::Ledger>(&row.value).ok());
            match holder.map_or(0, |ledger| ledger.token) {
                token if token == owner.token => {
                    *ledger = known;
                    return Some(());
                }
                token if token > owner.token => return None,
                _ => {
                    let _ = write_ledger(owner, known, Transaction::default()).await;
                    // Read again rather than trust the answer's version: it tells the store's,
                    // not the row's.
                    continue;
                }
            }
        }
        if !owner.pause(RETRY).await {
            return None;
        }
    }
}

/// Commits a change of this owner, on condition that the ledger has the given version.
pub(crate) async fn write_ledger(
    owner: &Owner,
    version: u64,
    change: Transaction,
) -> Result<u64, Error> {
    let name = Name::new(rows::JOBS, &owner.service, rows::LEDGER_KEY);
    let mut change = change;
    change.conditions.push((name.clone(), version));
    change.writes.push((name, encode(&rows::Ledger { token: owner.token })));
    owner.node.commit(&change, CALL_LIMIT).await
}

/// When everything that the former owner ordered must have lapsed on minions that don't answer.
fn former_lapse(owner: &Owner) -> Option<celerythread_engine::time::Time> {
    let settings = &owner.node.settings;
    let lease = lease::max_duration(settings.run_lease.0);
    match owner.former {
        Former::None => None,
        Former::Stopped => Some(clock::now() + lease),
        // Its last renewal was before its row was seen unchanged for the first time, so it
        // stops extending before this.
        Former::Silent => {
            let extends = settings.extend_alone.0.saturating_sub(settings.takeover_after.0);
            Some(clock::now() + extends + lease)
        }
    }
}

async fn read(owner: &Arc<Owner>) -> Result<u64, Error> {
    let (store, service) = (&owner.node.store, owner.service.as_str());
    let lapse = former_lapse(owner);
    read_emptying(owner).await?;
    let roster = store.get(rows::JOBS, service, rows::ROSTER_KEY, CALL_LIMIT).await?;
    // The jobs first: what is accepted later is in the feed, and has no progress yet.
    let jobs = store.read_partitions(rows::JOBS, &rows::shards(service), CALL_LIMIT).await?;
    let progress = store.read_partition(rows::PROGRESS, service, "", CALL_LIMIT).await?;
    let settings = Settings {
        name: service.into(),
        token: owner.token,
        stop_timeout: owner.node.settings.stop_timeout.0,
        retention: owner.node.settings.retention.0 + Duration::from_secs(30),
        ..Settings::default()
    };
    let mut cell = Cell::new(settings, owner.generation, lapse);
    let version = jobs.version;
    let count = fill(owner, &mut cell, jobs, progress);
    let roster: rows::Roster = roster.and_then(|row| decode(&row.value).ok()).unwrap_or_default();
    for minion in roster.minions {
        let id: Arc<str> = minion.into();
        cell.inherit(&id);
        owner.roster.lock().insert(id);
    }
    bury(&mut cell, replaced(owner).await.0);
    *owner.cell.lock() = Some(cell);
    if let Some(configuration) = owner.node.configuration() {
        owner.configure(&configuration);
    }
    owner.node.journal.note(
        "cell_loaded",
        &[("service", &service), ("token", &owner.token), ("jobs", &count), ("version", &version)],
    );
    Ok(version)
}

/// Reads which machines are to be emptied, ahead of the feed: whoever asked the former owner
/// and was told that a machine is empty may order it down at any moment, so nothing may be
/// started there.
async fn read_emptying(owner: &Owner) -> Result<(), Error> {
    let node = &owner.node;
    let page =
        node.store.read_partition(rows::CONTROL, "", rows::EMPTYING_PREFIX, CALL_LIMIT).await?;
    let mut view = node.view.write();
    for row in page.rows {
        if let Some(machine) = row.key.strip_prefix(rows::EMPTYING_PREFIX) {
            let minion = String::from_utf8_lossy(&row.value).into_owned();
            view.emptying.insert(machine.into(), minion);
        }
    }
    Ok(())
}

/// Looks again and again for minions whose life is over, until all others have answered.
///
/// The lists show it only some time after: a machine that is ordered down while its cell changes
/// hands was still listed with its minion when the cell was read.
pub(crate) async fn bury_until_settled(owner: Arc<Owner>) {
    let mut interval = BURY_INTERVAL;
    while owner.pause(interval).await {
        if owner.with(|cell| cell.is_settled(clock::now())).unwrap_or(true) {
            return;
        }
        let (over, machines) = replaced(&owner).await;
        owner.with(|cell| bury(cell, over));
        let cells = owner.node.view.read().holdings.len();
        let reads = cells * machines.div_ceil(MACHINES_A_PAGE);
        interval = BURY_INTERVAL.max(TIME_A_READ * reads as u32);
        owner.plan_wake.wake();
    }
}

fn bury(cell: &mut Cell, minions: Vec<Arc<str>>) {
    for id in minions {
        cell.bury(&id, clock::now());
    }
}

/// Minions of the roster whose life is over, and how many machines there are.
async fn replaced(owner: &Owner) -> (Vec<Arc<str>>, usize) {
    let node = &owner.node;
    let Some(client) = &node.machines else { return (Vec::new(), 0) };
    // One of those that can't be read may have the minion that no other has.
    let list = fleet::list::fetch(node, client).await.filter(|list| list.unreadable == 0);
    let Some(list) = list else { return (Vec::new(), 0) };
    let machines: BTreeMap<String, Machine> =
        list.machines.iter().map(fleet::maintenance::seen).collect();
    let inherited: Vec<Arc<str>> = owner.roster.lock().iter().cloned().collect();
    let view = node.view.read();
    let minions = node.minions.read();
    let is_over = |id: &Arc<str>| {
        let mut emptied = view.emptying.iter();
        let machine = emptied.find(|(_, minion)| **minion == **id).map(|(name, _)| name.as_str());
        former::is_over(id, &machines, minions.contains_key(id), machine)
    };
    let over: Vec<Arc<str>> = inherited.into_iter().filter(is_over).collect();
    for id in &over {
        let incarnation = minions.get(id).and_then(|entry| entry.listing.incarnation);
        if owner.buried.lock().insert(id.clone(), incarnation) {
            node.journal.note("minion_over", &[("minion", id)]);
        }
    }
    (over, machines.len())
}

/// Fills a cell with kept jobs; returns how many.
fn fill(owner: &Owner, cell: &mut Cell, jobs: Page, progress: Page) -> usize {
    let progress: BTreeMap<String, Progress> = progress
        .rows
        .into_iter()
        .filter_map(|row| Some((row.key.clone(), read_progress(&owner.node, &row)?)))
        .collect();
    let (now, wall) = (clock::now(), clock::wall_ms());
    let mut count = 0;
    for row in &jobs.rows {
        let Some(id) = job_id(row, rows::JOB_PREFIX) else { continue };
        let accepted = match Accepted::decode(&row.value) {
            Ok(accepted) => accepted,
            Err(error) => {
                owner.node.journal.warn("job_unreadable", &[("job", &id), ("reason", &error)]);
                continue;
            }
        };
        let age = Duration::from_millis(wall.saturating_sub(accepted.at_ms));
        let inherited = owner.generation > 0;
        count += 1;
        cell.add_job(id, accepted, progress.get(&id.to_string()), inherited, age, now);
    }
    for row in &jobs.rows {
        if let Some(id) = job_id(row, rows::CANCEL_PREFIX) {
            cell.cancel(&id, now);
        }
    }
    count
}

/// How far a job has come; none, with a line, if its row can't be read.
pub(crate) fn read_progress(node: &Node, row: &Row) -> Option<Progress> {
    Progress::decode(&row.value)
        .inspect_err(|error| {
            node.journal.warn("progress_unreadable", &[("job", &row.key), ("reason", error)]);
        })
        .ok()
}

fn job_id(row: &Row, prefix: &str) -> Option<Id> {
    row.key.strip_prefix(prefix)?.parse().ok()
}

/// Takes in the rows of this cell's jobs as they are written.
struct Jobs(Arc<Owner>);

impl Sink for Jobs {
    fn replace(&self, rows: Vec<Row>, _: u64) {
        self.change(rows);
    }

    fn change(&self, rows: Vec<Row>) {
        let owner = &self.0;
        let shards = rows::shards(&owner.service);
        for row in rows.iter().filter(|row| row.part.starts_with(&shards) && !row.deleted) {
            if let Some(id) = job_id(row, rows::JOB_PREFIX) {
                owner.accept(id, &row.value);
            } else if let Some(id) = job_id(row, rows::CANCEL_PREFIX) {
                owner.cancel(id);
            }
        }
    }
}

/// Follows the jobs that entries accept.  They also tell the owner at once; this brings what
/// such a message did not.
pub(crate) async fn follow_jobs(owner: Arc<Owner>, version: u64) {
    use stop_token::future::FutureExt;
    let table = Table {
        name: rows::JOBS,
        has_parts: true,
        has_all_entries: false,
        pause: JOBS_PAUSE,
        idle_pause: JOBS_PAUSE,
        wait: follow::FEED_WAIT,
    };
    let sink = Jobs(owner.clone());
    let mut version = version;
    let following = follow::follow_from(&owner.node, &table, &sink, &mut version);
    // Ends when the cell is lost.
    let _ = following.timeout_at(owner.stopped.clone()).await;
}
