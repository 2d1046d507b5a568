//! Takeover of a cell: fences the former owner in the store, and reads the cell's stored rows.

use crate::clock;
use crate::fleet;
use crate::follow::{self, Need, Sink, Table};
use crate::metrics::Counter;
use crate::node::Node;
use crate::owner::cancellation::{self, ReceivedCancellation, Source};
use crate::owner::foreign;
use crate::owner::{FormerOwner, Owner};
use crate::rows;
use celerythread_adapter::store::{Error, Name, Page, Row, Transaction};
use celerythread_engine::cell::policies::Stored;
use celerythread_engine::cell::{Cell, Settings};
use celerythread_engine::job::{Accepted, Progress, decode, encode};
use celerythread_engine::lease;
use celerythread_engine::maintenance::Machine;
use celerythread_engine::ownership::former::{self, Bound, Terms};
use celerythread_engine::termination;
use celerythread_engine::time::Time;
use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

const CALL_TIMEOUT: Duration = Duration::from_millis(1000);

const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Pause between reads of the jobs' changes.  Messages report them sooner; a delay of half a second
/// is far below what callers are promised.
const JOBS_BATCH_DELAY: Duration = Duration::from_millis(400);

/// Shortest interval between checks for terminated minions while a new owner waits for some.
const MIN_TERMINATED_CHECK_INTERVAL: Duration = Duration::from_millis(400);

/// Interval between two checks whether the minion table is read.
const MINIONS_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Machines in one answer of the platform's list.
const MACHINES_PER_PAGE: usize = 200;

/// Check interval per page that the cells read, when every cell has a new owner at once: half of
/// the platform's 64 reads a second for all of them.
const INTERVAL_PER_LIST_READ: Duration = Duration::from_millis(31);

/// Fences the former owner and reads the cell; returns the version to follow the jobs from.
pub(crate) async fn take_over(owner: &Arc<Owner>) -> Option<u64> {
    claim_ledger(owner).await?;
    loop {
        match read_cell(owner).await {
            Ok(version) => return Some(version),
            Err(error) => {
                owner
                    .node
                    .journal
                    .warn("cell_unread", &[("service", &owner.service), ("reason", &error)]);
                if !owner.pause(RETRY_DELAY).await {
                    return None;
                }
            }
        }
    }
}

/// Writes the ledger with this owner's token; from then on no transaction of a former owner
/// succeeds.
async fn claim_ledger(owner: &Arc<Owner>) -> Option<()> {
    let mut ledger = owner.ledger.lock().await;
    loop {
        let row =
            owner.node.store.get(rows::JOBS, &owner.service, rows::LEDGER_KEY, CALL_TIMEOUT).await;
        owner.node.record_store_result(&row);
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
                    // Read again, because the answer has the store's version, not the row's.
                    continue;
                }
            }
        }
        if !owner.pause(RETRY_DELAY).await {
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
    owner.node.commit(&change, CALL_TIMEOUT).await
}

/// When the leases of everything that the former owner ordered must have expired on minions that
/// don't answer, and by which bound.
fn former_lease_expiry(owner: &Owner) -> Option<(Time, Bound)> {
    let settings = &owner.node.settings;
    let terms = Terms {
        extend_alone: settings.extend_alone.0,
        takeover_after: settings.takeover_after.0,
        run_lease: settings.run_lease.0,
    };
    let (now, store_clock) = (clock::now(), owner.node.store.clock());
    match owner.former {
        FormerOwner::None => None,
        FormerOwner::Stopped { earlier } => {
            Some(former::lease_expiry_after_stop(&terms, earlier, now, &store_clock))
        }
        FormerOwner::Silent { renewed_by_ms, .. } => {
            Some(former::lease_expiry(&terms, renewed_by_ms, now, &store_clock))
        }
    }
}

/// How much longer the longest lease that a minion grants is than the ones that owners ask for.
fn lease_excess(owner: &Owner) -> Duration {
    let settings = &owner.node.settings;
    let limit = lease::max_duration(settings.lease_limit.0);
    limit.saturating_sub(lease::max_duration(settings.run_lease.0))
}

async fn read_cell(owner: &Arc<Owner>) -> Result<u64, Error> {
    let (store, service) = (&owner.node.store, owner.service.as_str());
    let lease_expiry = former_lease_expiry(owner);
    read_emptying(owner).await?;
    let roster = store.get(rows::JOBS, service, rows::ROSTER_KEY, CALL_TIMEOUT).await?;
    let policies = store.get(rows::JOBS, service, rows::POLICIES_KEY, CALL_TIMEOUT).await?;
    let sent = clock::now();
    // Jobs are read first: those accepted later are in the feed, and have no progress yet.
    let jobs = foreign::read_jobs(owner).await?;
    let progress = store.read_partition(rows::PROGRESS, service, "", CALL_TIMEOUT).await?;
    let settings = Settings {
        name: service.into(),
        token: owner.token,
        stop_timeout: owner.node.settings.stop_timeout.0,
        workspace_shares: owner.node.settings.workspace_shares,
        lease_excess: lease_excess(owner),
        retention: owner.node.settings.retention.0 + Duration::from_secs(30),
        ..Settings::default()
    };
    let mut cell = Cell::new(settings, owner.generation, lease_expiry.map(|(expiry, _)| expiry));
    cell.restore_policies(stored_policies(owner, policies), clock::now());
    if let Some(configuration) = owner.node.configuration() {
        owner.configure_cell(&mut cell, &configuration);
    }
    let version = jobs.version;
    owner.jobs_recency.lock().record_read(sent, version);
    let (count, inherited) = add_jobs(owner, &mut cell, jobs, progress);
    let roster: rows::Roster = roster.and_then(|row| decode(&row.value).ok()).unwrap_or_default();
    for minion in roster.minions {
        let id: Arc<str> = minion.into();
        cell.inherit_minion(&id);
        owner.roster.lock().insert(id);
    }
    if !wait_for_minions(owner).await {
        return Err(Error::Refused { reason: "the cell is lost".into() });
    }
    let terminated = find_terminated_minions(owner).await.0;
    // Before that, the end of a minion that is to be emptied or was lost with others would seem to be
    // a crash by a task that the former owner had just started there.
    owner.update_minions(&mut cell);
    mark_terminated(&mut cell, terminated);
    *owner.cell.lock() = Some(cell);
    // It may have changed since the cell was created.
    if let Some(configuration) = owner.node.configuration() {
        owner.configure(&configuration);
    }
    let wait = lease_expiry.map_or(Duration::ZERO, |(expiry, _)| expiry.since(clock::now()));
    let bound = lease_expiry.map_or(Bound::Takeover, |(_, bound)| bound);
    if bound == Bound::StoreClock {
        owner.node.metrics.count(Counter::WaitsByStoreClock);
    }
    owner.node.journal.info(
        "cell_loaded",
        &[
            ("service", &service),
            ("token", &owner.token),
            ("former", &owner.former),
            ("earlier_owners", &owner.former.earlier()),
            ("jobs", &count),
            ("inherited", &inherited),
            ("wait_ms", &wait.as_millis()),
            ("bound", &bound),
            ("version", &version),
        ],
    );
    Ok(version)
}

/// The policies that a former owner stored; none, with a log line, if their row can't be read.
fn stored_policies(owner: &Owner, row: Option<Row>) -> Stored {
    let Some(row) = row else { return Stored::default() };
    decode(&row.value)
        .inspect_err(|error| {
            let fields: [(&'static str, &dyn std::fmt::Display); 2] =
                [("service", &owner.service), ("reason", error)];
            owner.node.journal.warn("policies_unreadable", &fields);
        })
        .unwrap_or_default()
}

/// Waits until the minion table is read, which entries without cells don't follow; false if the
/// cell is lost.  A listed minion that isn't known yet would count as terminated.
async fn wait_for_minions(owner: &Owner) -> bool {
    while !owner.node.minions_read.load(Ordering::SeqCst) {
        if !owner.pause(MINIONS_POLL_INTERVAL).await {
            return false;
        }
    }
    true
}

/// Reads which machines are to be emptied without waiting for the feed.  A fleet controller to
/// which the former owner reported a machine as empty may order it down at any time, so nothing may
/// be started there.
async fn read_emptying(owner: &Owner) -> Result<(), Error> {
    let node = &owner.node;
    let page =
        node.store.read_partition(rows::CONTROL, "", rows::EMPTYING_PREFIX, CALL_TIMEOUT).await?;
    let mut view = node.view.write();
    for row in page.rows {
        if let Some(machine) = row.key.strip_prefix(rows::EMPTYING_PREFIX) {
            let minion = String::from_utf8_lossy(&row.value).into_owned();
            view.emptying.insert(machine.into(), minion);
        }
    }
    Ok(())
}

/// Checks for terminated minions until all others have answered.
///
/// The lists show a termination only some time later: a machine that was ordered down while its
/// cell changed hands was still listed with its minion when the cell was read.
pub(crate) async fn mark_terminated_until_settled(owner: Arc<Owner>) {
    let mut interval = MIN_TERMINATED_CHECK_INTERVAL;
    while owner.pause(interval).await {
        if owner.with(|cell| cell.is_takeover_complete(clock::now())).unwrap_or(true) {
            return;
        }
        let (terminated, machines) = find_terminated_minions(&owner).await;
        owner.with(|cell| mark_terminated(cell, terminated));
        let cells = owner.node.view.read().holdings.len();
        let reads = cells * machines.div_ceil(MACHINES_PER_PAGE);
        interval = MIN_TERMINATED_CHECK_INTERVAL.max(INTERVAL_PER_LIST_READ * reads as u32);
        owner.plan_wake.wake();
    }
}

fn mark_terminated(cell: &mut Cell, minions: Vec<Arc<str>>) {
    for id in minions {
        cell.remove_terminated_minion(&id, clock::now());
    }
}

/// Minions of the roster that have terminated, and the number of machines.
async fn find_terminated_minions(owner: &Owner) -> (Vec<Arc<str>>, usize) {
    let node = &owner.node;
    let Some(client) = &node.machines else { return (Vec::new(), 0) };
    let sent = clock::now();
    // A machine that can't be read may be the one with a minion that no other machine has.
    let list = fleet::list::fetch(node, client).await.filter(|list| list.unreadable == 0);
    let Some(list) = list else { return (Vec::new(), 0) };
    let reading = fleet::list::reading(&list, sent);
    let machines: BTreeMap<String, Machine> =
        list.machines.iter().map(fleet::maintenance::machine_view).collect();
    let inherited: Vec<Arc<str>> = owner.roster.lock().iter().cloned().collect();
    let mut absence = owner.absence.lock();
    let on_machines: HashSet<&str> =
        machines.values().filter_map(|machine| machine.minion.as_deref()).collect();
    absence.record(inherited.iter().map(|id| &**id), |id| on_machines.contains(id), reading);
    let view = node.view.read();
    let minions = node.minions.read();
    let has_terminated = |id: &Arc<str>| {
        let mut emptied = view.emptying.iter();
        let machine = emptied.find(|(_, minion)| **minion == **id).map(|(name, _)| name.as_str());
        termination::has_terminated(id, &machines, &absence, minions.contains_key(id), machine)
    };
    let terminated: Vec<Arc<str>> = inherited.into_iter().filter(has_terminated).collect();
    for id in &terminated {
        let incarnation = minions.get(id).and_then(|entry| entry.listing.incarnation);
        if owner.terminated_minions.lock().insert(id.clone(), incarnation) {
            node.journal.info("minion_over", &[("minion", id)]);
        }
    }
    (terminated, machines.len())
}

/// Adds stored jobs to a cell; returns how many, and how many of them a former owner may have
/// started.
fn add_jobs(owner: &Owner, cell: &mut Cell, jobs: Page, progress: Page) -> (usize, usize) {
    let progress: BTreeMap<String, Progress> = progress
        .rows
        .into_iter()
        .filter_map(|row| Some((row.key.clone(), decode_progress(&owner.node, &row)?)))
        .collect();
    let (now, wall) = (clock::now(), clock::wall_ms());
    let (mut count, mut inherited_count) = (0, 0);
    for row in &jobs.rows {
        let Some(id) = rows::job_id(row, rows::JOB_PREFIX) else { continue };
        let accepted = match Accepted::decode(&row.value) {
            Ok(accepted) => accepted,
            Err(error) => {
                owner.node.journal.warn("job_unreadable", &[("job", &id), ("reason", &error)]);
                continue;
            }
        };
        let partition = rows::partition_of(row).unwrap_or(&owner.service);
        if accepted.service(partition) != owner.service {
            continue;
        }
        owner.foreign.record_job(id, partition, &owner.service);
        let age = Duration::from_millis(wall.saturating_sub(accepted.at_ms));
        let progress = progress.get(&id.to_string());
        let inherited = match owner.former {
            FormerOwner::Silent { known_version, .. } => {
                former::is_inherited(known_version, row.version, progress.is_some())
            }
            _ => owner.generation > 0,
        };
        count += 1;
        if inherited {
            inherited_count += 1;
        } else if owner.generation > 0 {
            owner.node.metrics.count(Counter::JobsNotInherited);
        }
        cell.add_job(id, accepted, progress, inherited, age, now);
    }
    for row in &jobs.rows {
        if let Some(id) = rows::job_id(row, rows::CANCEL_PREFIX) {
            let notice = ReceivedCancellation::read(owner, &id, &row.value, row.version);
            let effect = cell.apply_cancellation(&id, &notice.cancellation, notice.version, now);
            cancellation::log(owner, &id, Source::Takeover, &notice, effect);
        }
    }
    (count, inherited_count)
}

/// Decodes a job's progress; none, with a log line, if its row can't be read.
pub(crate) fn decode_progress(node: &Node, row: &Row) -> Option<Progress> {
    Progress::decode(&row.value)
        .inspect_err(|error| {
            node.journal.warn("progress_unreadable", &[("job", &row.key), ("reason", error)]);
        })
        .ok()
}

/// Sink for the rows of this cell's jobs.
pub(crate) struct JobSink(pub(crate) Arc<Owner>);

impl Sink for JobSink {
    fn replace(&self, rows: Vec<Row>, _: u64) {
        self.apply(&rows, Source::FullRead);
    }

    fn apply_changes(&self, rows: Vec<Row>) {
        self.apply(&rows, Source::Feed);
    }

    fn read_applied(&self, sent: Time, version: u64) {
        self.0.jobs_recency.lock().record_read(sent, version);
        if self.0.are_starts_held.load(Ordering::SeqCst) {
            self.0.plan_wake.wake();
        }
    }
}

impl JobSink {
    fn apply(&self, rows: &[Row], source: Source) {
        let owner = &self.0;
        for row in rows.iter().filter(|row| owner.foreign.concerns(row, &owner.service)) {
            let cancelled = rows::job_id(row, rows::CANCEL_PREFIX);
            if row.deleted {
                // A later owner doesn't read it, so it must not apply to a job any more.
                owner.with(|cell| cancelled.map(|id| cell.forget_cancellation(&id, row.version)));
            } else if let Some(id) = rows::job_id(row, rows::JOB_PREFIX) {
                owner.add_job(id, &row.value, rows::partition_of(row));
            } else if let Some(id) = cancelled {
                let notice = ReceivedCancellation::read(owner, &id, &row.value, row.version);
                owner.cancel_job(id, source, &notice);
            }
        }
    }
}

/// Follows the jobs that entries accept.  Entries also notify the owner at once; this finds the
/// jobs whose message was lost.
pub(crate) async fn follow_jobs(owner: Arc<Owner>, version: u64) {
    use stop_token::future::FutureExt;
    let table = Table {
        name: rows::JOBS,
        has_partitions: true,
        has_row_per_entry: false,
        batch_delay: JOBS_BATCH_DELAY,
        need: Need::Always,
        max_wait: owner.node.settings.jobs_feed_wait(),
    };
    let sink = JobSink(owner.clone());
    let mut version = version;
    let following = follow::follow_from(&owner.node, &table, &sink, &mut version);
    // Ends when the cell is lost.
    let _ = following.timeout_at(owner.stopped.clone()).await;
}
