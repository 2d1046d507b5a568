//! Writes progress to the store before ended runs are acknowledged.

use crate::clock;
use crate::metrics::{Counter, Timing};
use crate::owner::Owner;
use crate::owner::events;
use crate::owner::load::write_ledger;
use crate::rows;
use celerythread_adapter::store::{self, Error, Name, Transaction};
use celerythread_engine::cell::Batch;
use celerythread_engine::job::{Id, Progress, decode, encode};
use std::sync::Arc;
use std::time::Duration;

/// Maximum number of jobs in one transaction.  A transaction is limited to a hundred rows, two of
/// which may be the ledger's and that of the policies.
const MAX_ROWS: usize = 90;

/// Most bytes of one batch's rows; the rest of a transaction is for the ledger's row.
const MAX_BYTES: usize = store::MAX_TRANSACTION_BYTES - 4096;

/// How long ended runs are collected for one transaction.  Every transaction costs a call to the
/// store, and ended runs that complete no job can wait this long without anybody noticing.
const BATCH_WINDOW: Duration = Duration::from_millis(80);

/// The same when a job has ended, because its caller waits for it.
const URGENT_BATCH_WINDOW: Duration = Duration::from_millis(8);

/// Pause after a failed transaction.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Time between checks for jobs whose retention has passed.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(5);

/// Persists progress and deletes expired jobs until the cell is lost.
pub(crate) async fn persist_forever(owner: Arc<Owner>) {
    let mut expired_at = clock::now();
    while !owner.is_stopped() {
        owner.persist_wake.wait(Duration::from_millis(500)).await;
        let Some(unpersisted) = owner.with(|cell| cell.has_unpersisted()) else { continue };
        if unpersisted {
            wait_for_batch(&owner).await;
            persist_all(&owner).await;
        }
        if clock::now().since(expired_at) > EXPIRY_INTERVAL {
            expired_at = clock::now();
            delete_expired(&owner).await;
        }
    }
}

async fn wait_for_batch(owner: &Owner) {
    let began = clock::now();
    while clock::now().since(began) < BATCH_WINDOW {
        owner.pause(URGENT_BATCH_WINDOW).await;
        let urgent = owner.with(|cell| cell.is_persisting_urgent()).unwrap_or(false);
        if urgent || owner.is_stopped() {
            return;
        }
    }
}

/// Persists all pending progress; true if all of it is persisted.
///
/// A batch is taken from the cell only under the ledger's lock.  Two calls that took their batches
/// before it could write in the other order, and the older progress would replace the newer one
/// after its ended runs were acknowledged.  A later owner would then run completed tasks again.
pub(crate) async fn persist_all(owner: &Owner) -> bool {
    loop {
        {
            let mut ledger = owner.ledger.lock().await;
            let Some((batch, change)) = next_batch(owner) else { return true };
            if owner.is_stopped() {
                return false;
            }
            // The owner may be stopped, or lost, before its next plan.
            events::log_events(owner);
            if batch.is_write_free() || commit_locked(owner, &mut ledger, change).await {
                finish_batch(owner, &batch);
                continue;
            }
        }
        if !owner.pause(RETRY_DELAY).await {
            return false;
        }
    }
}

/// The progress to persist now and its transaction; none if everything is persisted.
fn next_batch(owner: &Owner) -> Option<(Batch, Transaction)> {
    let mut max_rows = MAX_ROWS;
    loop {
        let batch = owner.with(|cell| cell.unpersisted_batch(max_rows))??;
        let change = progress_transaction(owner, &batch);
        if change.bytes() <= MAX_BYTES || batch.rows.len() <= 1 {
            return Some((batch, change));
        }
        max_rows = batch.rows.len() / 2;
    }
}

fn progress_transaction(owner: &Owner, batch: &Batch) -> Transaction {
    let max_len = owner.node.settings.row_bytes as usize;
    let row = |(id, _, progress): &(Id, u64, Progress)| {
        (rows::progress(&owner.service, id), progress.encode(max_len))
    };
    let policies = batch.policies.iter().map(|policies| {
        (Name::new(rows::JOBS, &owner.service, rows::POLICIES_KEY), encode(policies))
    });
    Transaction {
        writes: batch.rows.iter().map(row).chain(policies).collect(),
        ..Transaction::default()
    }
}

/// Commits a change under the ledger; true if it is certain to be committed.
pub(crate) async fn commit_fenced(owner: &Owner, change: Transaction) -> bool {
    let mut ledger = owner.ledger.lock().await;
    commit_locked(owner, &mut ledger, change).await
}

/// Commits a change under the locked ledger; true if it is certain to be committed.
///
/// After an unanswered commit the ledger's version is unknown.  If that commit was carried out, the
/// next one conflicts and returns the version to continue from.
async fn commit_locked(owner: &Owner, ledger: &mut u64, change: Transaction) -> bool {
    match write_ledger(owner, *ledger, change).await {
        Ok(version) => {
            *ledger = version;
            owner.node.metrics.count(Counter::Keeps);
            true
        }
        Err(Error::Conflict { rows: found }) => {
            let row = found.iter().find(|row| row.key == rows::LEDGER_KEY);
            let token = row
                .and_then(|row| decode::<rows::Ledger>(&row.value).ok())
                .map_or(u64::MAX, |ledger| ledger.token);
            if token == owner.token {
                *ledger = row.map_or(0, |row| row.version);
            } else {
                let service = &owner.service;
                owner.node.journal.warn("ledger_lost", &[("service", service), ("token", &token)]);
                owner.stop();
            }
            false
        }
        Err(_) => false,
    }
}

fn finish_batch(owner: &Owner, batch: &Batch) {
    owner.with(|cell| cell.record_persisted(batch));
    if let Some(policies) = &batch.policies {
        let fields: [(&'static str, &dyn std::fmt::Display); 3] = [
            ("service", &owner.service),
            ("queues", &policies.queues.len()),
            ("workspaces", &policies.workspaces.len()),
        ];
        owner.node.journal.info("policies_stored", &fields);
    }
    for (id, change, progress) in &batch.rows {
        if let Some(outcome) = progress.outcome {
            let age =
                owner.with(|cell| cell.job(id).map(|job| clock::now().since(job.accepted_at)));
            owner.node.metrics.time(Timing::Job, age.flatten().unwrap_or_default());
            let service = &owner.service;
            owner.node.journal.info(
                "job_ended",
                &[("job", id), ("service", service), ("state", &outcome), ("change", change)],
            );
        }
    }
    let supervisors = owner.supervisors.lock();
    for cursor in &batch.ends {
        if let Some(supervisor) = supervisors.get(&cursor.minion) {
            supervisor.poll_wake.wake();
        }
    }
}

async fn delete_expired(owner: &Owner) {
    let expired = owner.with(|cell| cell.remove_expired_jobs(clock::now())).unwrap_or_default();
    for chunk in expired.chunks(MAX_ROWS / 3) {
        let deletes = chunk
            .iter()
            .flat_map(|id| {
                let service = &owner.service;
                let home = owner.foreign.partition(id, service);
                [rows::job(&home, id), rows::cancel(&home, id), rows::progress(service, id)]
            })
            .collect();
        let change = Transaction { deletes, across_parts: true, ..Transaction::default() };
        if commit_fenced(owner, change).await {
            owner.with(|cell| cell.record_deleted_rows(chunk, clock::now()));
            owner.foreign.forget_jobs(chunk);
        } else {
            // The rows stay until the next owner finds them expired.
            owner.node.journal.warn("rows_left", &[("jobs", &chunk.len())]);
        }
    }
}
