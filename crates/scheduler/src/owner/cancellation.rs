//! Cancellations that an owner learns of.

use crate::clock;
use crate::owner::Owner;
use crate::rows;
use celerythread_adapter::store::Row;
use celerythread_engine::job::Id;
use std::fmt::Display;
use strum::Display as Name;

/// How an owner learned of a cancellation.
#[derive(Clone, Copy, Debug, Eq, Name, PartialEq)]
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
}

impl Owner {
    /// Cancels a job; `row` is that of the cancellation, if it was read.
    pub(crate) fn cancel_job(&self, id: Id, source: Source, row: Option<&Row>) {
        let known = self.with(|cell| {
            let is_cancelled = cell.job(&id).map(|job| job.cancelled);
            cell.cancel(&id, clock::now());
            is_cancelled
        });
        if known.flatten() != Some(true) {
            log(self, &id, source, row, known.flatten().is_some());
        }
        self.plan_wake.wake();
    }
}

/// Logs that an owner learned of a cancellation.  The age is the time since its row was written, by the
/// clocks of both entries; 0 if that is unknown.
pub(crate) fn log(owner: &Owner, id: &Id, source: Source, row: Option<&Row>, is_job_known: bool) {
    let written = row.and_then(|row| rows::Cancellation::decode(&row.value).ok());
    let at_ms = written.map_or(0, |cancellation| cancellation.at_ms);
    let age_ms = if at_ms == 0 { 0 } else { clock::wall_ms().saturating_sub(at_ms) };
    let version = row.map_or(0, |row| row.version);
    let fields: [(&'static str, &dyn Display); 6] = [
        ("job", id),
        ("service", &owner.service),
        ("source", &source),
        ("version", &version),
        ("age_ms", &age_ms),
        ("job_known", &is_job_known),
    ];
    owner.node.journal.info("cancellation_known", &fields);
}
