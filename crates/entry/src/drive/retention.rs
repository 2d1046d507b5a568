//! Clearing away claims that are older than the configuration keeps them.

use super::fenced;
use crate::duty::Duty;
use crate::node::Node;
use celerythread_model::table::{Row, Space};
use celerythread_model::unit::Revision;
use celerythread_platform::message::Transaction;
use celerythread_policy::claim::Claim;
use celerythread_policy::lease::Held;
use celerythread_policy::time::Moment;
use std::sync::Arc;
use std::time::Duration;

/// Time between two looks when there was nothing to clear.
const SCAN_INTERVAL: Duration = Duration::from_secs(60);

/// Most claims cleared in one transaction.
const MAX_BATCH_CLAIMS: usize = 100;

/// How far the claims were looked through.
///
/// The table gives its rows in the order of their last write, so the first young one ends a
/// look, and the next begins where this one stopped.
#[derive(Default)]
pub(crate) struct Retention {
    scanned_to: Revision,
    scanned_at: Option<Moment>,
}

impl Retention {
    /// Clears a batch of old claims, if it is time to look.
    pub(crate) async fn step(&mut self, node: &Arc<Node>, held: Held) {
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
            // A claim that changed meanwhile is looked at again.
            if node.platform.table.commit(transaction).await.is_err() {
                return;
            }
        }
        self.scanned_to = upto;
        self.scanned_at = if more { None } else { Some(now) };
    }

    /// The rows to clear, up to where the look came, and whether more may be old.
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
