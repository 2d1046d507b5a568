//! Writing progress before ends are acknowledged.

use crate::clock;
use crate::metrics::{Counter, Timing};
use crate::owner::Owner;
use crate::owner::load::write_ledger;
use crate::rows;
use celerythread_adapter::store::{Error, Transaction};
use celerythread_engine::cell::Batch;
use celerythread_engine::job::{Id, Progress, decode, encode};
use std::sync::Arc;
use std::time::Duration;

/// Jobs of one transaction; a transaction takes a hundred entries, one of them the ledger.
const MAX_ROWS: usize = 90;

/// Gathers ends for one transaction.  Every transaction costs a call to the store, and ends
/// that end no job can wait this long without anybody noticing.
const GATHER: Duration = Duration::from_millis(80);

/// The same when a job has ended, for which its caller waits.
const GATHER_URGENT: Duration = Duration::from_millis(8);

/// Pause after a failed transaction.
const RETRY: Duration = Duration::from_millis(150);

/// Time between two looks for jobs whose retention is over.
const EXPIRE: Duration = Duration::from_secs(5);

/// Keeps whatever is to be kept until the cell is lost.
pub(crate) async fn keep_forever(owner: Arc<Owner>) {
    let mut expired = clock::now();
    while !owner.is_stopped() {
        owner.keep_wake.wait(Duration::from_millis(500)).await;
        let Some(unkept) = owner.with(|cell| cell.has_unkept()) else { continue };
        if unkept {
            gather(&owner).await;
            keep_all(&owner).await;
        }
        if clock::now().since(expired) > EXPIRE {
            expired = clock::now();
            drop_expired(&owner).await;
        }
    }
}

async fn gather(owner: &Owner) {
    let began = clock::now();
    while clock::now().since(began) < GATHER {
        owner.pause(GATHER_URGENT).await;
        let urgent = owner.with(|cell| cell.is_keeping_urgent()).unwrap_or(false);
        if urgent || owner.is_stopped() {
            return;
        }
    }
}

/// Keeps everything that is to be kept now; true if it is all kept.
///
/// What is written is taken from the cell only under the ledger's lock: two callers that took it
/// before could write in the other order, and the older progress would replace the newer one
/// after its ends were acknowledged.  A later owner would then run done tasks again.
pub(crate) async fn keep_all(owner: &Owner) -> bool {
    loop {
        {
            let mut ledger = owner.ledger.lock().await;
            let Some(Some(batch)) = owner.with(|cell| cell.unkept(MAX_ROWS)) else { return true };
            if owner.is_stopped() {
                return false;
            }
            if batch.rows.is_empty() || commit(owner, &mut ledger, changes(owner, &batch)).await {
                finish(owner, &batch);
                continue;
            }
        }
        if !owner.pause(RETRY).await {
            return false;
        }
    }
}

fn changes(owner: &Owner, batch: &Batch) -> Transaction {
    let row = |(id, _, progress): &(Id, u64, Progress)| {
        (rows::progress(&owner.service, id), encode(progress))
    };
    Transaction { writes: batch.rows.iter().map(row).collect(), ..Transaction::default() }
}

/// Commits a change under the ledger; true if it is certain to be done.
pub(crate) async fn write(owner: &Owner, change: Transaction) -> bool {
    let mut ledger = owner.ledger.lock().await;
    commit(owner, &mut ledger, change).await
}

/// Commits a change under the locked ledger; true if it is certain to be done.
///
/// After an unanswered one the ledger's version is not known.  The next one then conflicts if
/// the lost one was carried out, and tells the version to go on from.
async fn commit(owner: &Owner, ledger: &mut u64, change: Transaction) -> bool {
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

fn finish(owner: &Owner, batch: &Batch) {
    owner.with(|cell| cell.kept(batch));
    for (id, change, progress) in &batch.rows {
        if let Some(outcome) = progress.outcome {
            let age = owner.with(|cell| cell.job(id).map(|job| clock::now().since(job.since)));
            owner.node.metrics.time(Timing::Job, age.flatten().unwrap_or_default());
            let service = &owner.service;
            owner.node.journal.note(
                "job_ended",
                &[("job", id), ("service", service), ("state", &outcome), ("change", change)],
            );
        }
    }
    let attendants = owner.attendants.lock();
    for cursor in &batch.ends {
        if let Some(attendant) = attendants.get(&cursor.minion) {
            attendant.kick.wake();
        }
    }
}

async fn drop_expired(owner: &Owner) {
    let expired = owner.with(|cell| cell.expire(clock::now())).unwrap_or_default();
    for chunk in expired.chunks(MAX_ROWS / 3) {
        let deletes = chunk
            .iter()
            .flat_map(|id| {
                let service = &owner.service;
                [rows::job(service, id), rows::cancel(service, id), rows::progress(service, id)]
            })
            .collect();
        let change = Transaction { deletes, across_parts: true, ..Transaction::default() };
        if !write(owner, change).await {
            // The rows stay until the next owner finds them expired.
            owner.node.journal.warn("rows_left", &[("jobs", &chunk.len())]);
        }
    }
}
