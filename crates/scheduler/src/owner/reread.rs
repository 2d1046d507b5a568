//! Reads the cell's jobs while their feed lags behind.
//!
//! An owner with an old view of the jobs starts nothing, and doesn't stop what was cancelled
//! meanwhile.  The feed alone may be late: a call that was under way when the store or a connection
//! failed waits for its timeout, and after lost history the jobs of all cells are read.

use crate::clock;
use crate::follow::Sink;
use crate::owner::Owner;
use crate::owner::foreign;
use crate::owner::load::JobSink;
use std::sync::Arc;
use std::time::Duration;

/// Interval between two checks of the view's age.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Longest wait for one call of a read.
const READ_TIMEOUT: Duration = Duration::from_millis(400);

/// Shortest pause after a read.
const MIN_PAUSE: Duration = Duration::from_millis(1000);

/// Pause after a read, as a multiple of its duration.  An owner on a thin link or with little
/// processor time has an old view for as long as it is overloaded, and must not spend all of both on
/// reads of a thousand jobs.
const PAUSE_FACTOR: u32 = 4;

/// Reads the cell's jobs whenever the view of them is too old to start tasks, until the cell is lost.
pub(crate) async fn reread_forever(owner: Arc<Owner>) {
    while owner.pause(CHECK_INTERVAL).await {
        let age = owner.jobs_age();
        if age <= owner.node.settings.max_jobs_age() || owner.node.is_outage_suspected() {
            continue;
        }
        let began = clock::now();
        reread(&owner, age).await;
        let took = clock::now().since(began);
        if !owner.pause(MIN_PAUSE.max(took * PAUSE_FACTOR)).await {
            return;
        }
    }
}

async fn reread(owner: &Arc<Owner>, age: Duration) {
    let sent = clock::now();
    let result = foreign::read_known_partitions(owner, READ_TIMEOUT).await;
    owner.node.record_store_result(&result);
    let outcome = match result {
        Ok(page) => {
            let (sink, count) = (JobSink(owner.clone()), page.rows.len());
            sink.replace(page.rows, page.version);
            sink.read_applied(sent, page.version);
            format!("{count} rows")
        }
        Err(error) => error.to_string(),
    };
    let fields: [(&'static str, &dyn std::fmt::Display); 3] =
        [("service", &owner.service), ("jobs_age_ms", &age.as_millis()), ("outcome", &outcome)];
    owner.node.journal.warn("jobs_reread", &fields);
}
