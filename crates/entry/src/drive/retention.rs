//! Deleting claims older than the configured retention.

use super::fenced;
use crate::duty::Duty;
use crate::node::Node;
use celerythread_model::table::{Row, Space};
use celerythread_model::unit::Revision;
use celerythread_platform::message::Transaction;
use celerythread_policy::claim::Claim;
use celerythread_policy::lease::HeldLease;
use celerythread_policy::time::Moment;
use std::sync::Arc;
use std::time::Duration;

/// Time between two scans once no expired claim is left.
const SCAN_INTERVAL: Duration = Duration::from_secs(60);

/// Most claims deleted in one transaction.
const MAX_BATCH_CLAIMS: usize = 100;

/// The position of the scan for expired claims.
///
/// The table returns rows in the order of their last write, so a scan ends at the first claim
/// that has not expired, and the next one continues there.
#[derive(Default)]
pub(crate) struct Retention {
    scanned_to: Revision,
    scanned_at: Option<Moment>,
}

impl Retention {
    /// Deletes a batch of expired claims if a scan is due.
    pub(crate) async fn step(&mut self, node: &Arc<Node>, held: HeldLease) {
        let now = node.clock.now();
        if self.scanned_at.is_some_and(|scanned_at| now.since(scanned_at) < SCAN_INTERVAL) {
            return;
        }
        let changes = node.platform.table.changes(Space::Claim, self.scanned_to).await;
        let Ok(changes) = changes else { return };
        let (expired, upto, more) = self.select_expired(node, &changes.rows);
        if !expired.is_empty() {
            let mut transaction = fenced(Duty::Fleet, held);
            for row in expired {
                transaction = delete_claim(transaction, row);
            }
            // The transaction fails if a claim changed meanwhile; the next step scans again.
            if node.platform.table.commit(transaction).await.is_err() {
                return;
            }
        }
        self.scanned_to = upto;
        self.scanned_at = if more { None } else { Some(now) };
    }

    /// The rows to delete, the revision that the scan reached, and whether more may have expired.
    fn select_expired<'a>(&self, node: &Node, rows: &'a [Row]) -> (Vec<&'a Row>, Revision, bool) {
        let retention_ms = node.view.read().document().claim_retention.0.as_millis() as u64;
        let cutoff_ms = node.clock.wall_ms().saturating_sub(retention_ms);
        let mut expired = Vec::new();
        let mut upto = self.scanned_to;
        for row in rows {
            if expired.len() == MAX_BATCH_CLAIMS {
                return (expired, upto, true);
            }
            if let Some(claim) = row.decode::<Claim>() {
                if claim.made_at > cutoff_ms {
                    return (expired, upto, false);
                }
                expired.push(row);
            }
            upto = row.revision;
        }
        let more = !expired.is_empty();
        (expired, upto, more)
    }
}

fn delete_claim(transaction: Transaction, row: &Row) -> Transaction {
    let transaction = transaction.check(Space::Claim, &*row.key, row.revision);
    transaction.delete(Space::Claim, &*row.key)
}
