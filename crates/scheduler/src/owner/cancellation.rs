//! Cancellations that an owner learns of.

use crate::clock;
use crate::owner::Owner;
use crate::rows;
use celerythread_adapter::store::{Error, Row, Transaction};
use celerythread_engine::cell::cancellation::Effect;
use celerythread_engine::job::{Cancellation, Id};
use std::fmt::Display;
use std::sync::Arc;
use std::time::Duration;
use strum::Display as DisplayName;

/// Maximum number of rows that one transaction deletes.  Each takes two conditions and a deletion, and
/// a transaction has at most a hundred of them.
const MAX_DELETIONS: usize = 33;

/// Time between checks for cancellations whose retention has passed.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(5);

/// Longest wait for such a transaction.
const DELETE_TIMEOUT: Duration = Duration::from_millis(1000);

/// How an owner learned of a cancellation.
#[derive(Clone, Copy, Debug, DisplayName, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Source {
    /// From the entry that accepted it.
    Message,
    /// From the changes of the table of jobs.
    Feed,
    /// From a read of the whole table, after its history was lost.
    FullRead,
    /// From the read of the cell at its takeover.
    Takeover,
    /// From the conflict of a transaction that would have deleted an older row.
    Conflict,
}

/// What an owner learned of a cancellation.
#[derive(Clone, Debug)]
pub(crate) struct ReceivedCancellation {
    pub(crate) cancellation: Cancellation,
    /// The version of its row; 0 if that isn't known.
    pub(crate) version: u64,
}

impl ReceivedCancellation {
    /// A cancellation of a stored job whose row wasn't read.
    pub(crate) fn of_stored_job() -> Self {
        Self { cancellation: Cancellation::of_stored_job(0), version: 0 }
    }

    /// A cancellation that was read.  One that can't be decoded counts as that of a stored job.
    pub(crate) fn read(owner: &Owner, id: &Id, value: &[u8], version: u64) -> Self {
        let decoded = Cancellation::decode(value).inspect_err(|error| {
            let fields: [(&'static str, &dyn Display); 2] = [("job", id), ("reason", error)];
            owner.node.journal.warn("cancellation_unreadable", &fields);
        });
        Self { cancellation: decoded.unwrap_or_default(), version }
    }
}

impl Owner {
    /// Cancels a job, or keeps its cancellation.
    pub(crate) fn cancel_job(&self, id: Id, source: Source, notice: &ReceivedCancellation) {
        let apply = |cell: &mut celerythread_engine::cell::Cell| {
            cell.apply_cancellation(&id, &notice.cancellation, notice.version, clock::now())
        };
        let Some(effect) = self.with(apply) else { return };
        log(self, &id, source, notice, effect);
        self.plan_wake.wake();
    }
}

/// Logs that an owner learned of a cancellation, unless it was known.  The age is the time since its
/// row was written, by the clocks of both entries; 0 if that is unknown.
pub(crate) fn log(
    owner: &Owner,
    id: &Id,
    source: Source,
    notice: &ReceivedCancellation,
    effect: Effect,
) {
    if effect == Effect::Known {
        return;
    }
    let at_ms = notice.cancellation.at_ms;
    let age_ms = if at_ms == 0 { 0 } else { clock::wall_ms().saturating_sub(at_ms) };
    let fields: [(&'static str, &dyn Display); 7] = [
        ("job", id),
        ("service", &owner.service),
        ("source", &source),
        ("version", &notice.version),
        ("age_ms", &age_ms),
        ("job_known", &(effect != Effect::Kept)),
        ("effect", &effect),
    ];
    owner.node.journal.info("cancellation_known", &fields);
}

/// Deletes the rows of cancellations whose job was not accepted within the retention, until the cell is
/// lost.
pub(crate) async fn delete_expired_forever(owner: Arc<Owner>) {
    while owner.pause(EXPIRY_INTERVAL).await {
        delete_expired(&owner).await;
    }
}

/// Deletes the rows of expired cancellations.
///
/// The conditions alone guard against deleting what is still of use: a former owner may delete the
/// same rows, and so may a transaction that the store executes late.
async fn delete_expired(owner: &Owner) {
    let expired = owner.with(|cell| cell.expired_cancellations(clock::now())).unwrap_or_default();
    for chunk in expired.chunks(MAX_DELETIONS) {
        let service = &owner.service;
        let conditions = chunk.iter().flat_map(|(id, version)| {
            [(rows::job(service, id), 0), (rows::cancel(service, id), *version)]
        });
        let change = Transaction {
            conditions: conditions.collect(),
            deletes: chunk.iter().map(|(id, _)| rows::cancel(service, id)).collect(),
            across_parts: true,
            ..Transaction::default()
        };
        match owner.node.commit(&change, DELETE_TIMEOUT).await {
            Ok(_) => {
                owner.with(|cell| {
                    chunk.iter().for_each(|(id, version)| cell.forget_cancellation(id, *version))
                });
            }
            Err(Error::Conflict { rows }) => resolve(owner, &rows),
            Err(error) => {
                // They are tried again with the next ones, or by the next owner.
                let fields: [(&'static str, &dyn Display); 2] =
                    [("cancellations", &expired.len()), ("reason", &error)];
                owner.node.journal.warn("rows_left", &fields);
                return;
            }
        }
    }
}

/// Applies the rows that a conflicting deletion returned.
fn resolve(owner: &Owner, rows: &[Row]) {
    let exists = |row: &Row| row.version > 0 && !row.deleted;
    for row in rows {
        let Some(id) = rows::job_id(row, rows::CANCEL_PREFIX) else { continue };
        if exists(row) {
            let notice = ReceivedCancellation::read(owner, &id, &row.value, row.version);
            owner.cancel_job(id, Source::Conflict, &notice);
        } else {
            owner.with(|cell| cell.forget_cancellation(&id, u64::MAX));
        }
    }
    for row in rows.iter().filter(|row| exists(row)) {
        let Some(id) = rows::job_id(row, rows::JOB_PREFIX) else { continue };
        // Cancels the job if the cancellation applies to it.  The row is deleted with the job's.
        owner.add_job(id, &row.value, rows::partition_of(row));
        owner.with(|cell| cell.forget_cancellation(&id, u64::MAX));
    }
}
