//! Clearing away claims that are older than the configuration keeps them.

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

/// Time between two looks when there was nothing to clear.
const INTERVAL: Duration = Duration::from_secs(60);

/// Most claims cleared in one transaction.
const BATCH: usize = 100;

/// How far the claims were looked through.
///
/// The table gives its rows in the order of their last write, so the first young one ends a
/// look, and the next begins where this one stopped.
#[derive(Default)]
pub(crate) struct Retention {
    cleared: Revision,
    looked: Option<Moment>,
}

impl Retention {
    /// Clears a batch of old claims, if it is time to look.
    pub(crate) async fn step(&mut self, node: &Arc<Node>, held: HeldLease) {
        let now = node.clock.now();
        if self.looked.is_some_and(|looked| now.since(looked) < INTERVAL) {
            return;
        }
        let changes = node.platform.table.changes(Space::Claim, self.cleared).await;
        let Ok(changes) = changes else { return };
        let (old, upto, more) = self.split(node, &changes.rows);
        if !old.is_empty() {
            let mut transaction = fenced(Duty::Fleet, held);
            for row in old {
                transaction = clear(transaction, row);
            }
            // A claim that changed meanwhile is looked at again.
            if node.platform.table.commit(transaction).await.is_err() {
                return;
            }
        }
        self.cleared = upto;
        self.looked = if more { None } else { Some(now) };
    }

    /// The rows to clear, up to where the look came, and whether more may be old.
    fn split<'a>(&self, node: &Node, rows: &'a [Row]) -> (Vec<&'a Row>, Revision, bool) {
        let kept = node.view.read().document().claim_retention.0.as_millis() as u64;
        let oldest = node.clock.wall_ms().saturating_sub(kept);
        let mut old = Vec::new();
        let mut upto = self.cleared;
        for row in rows {
            if old.len() == BATCH {
                return (old, upto, true);
            }
            if let Some(claim) = row.decode::<Claim>() {
                if claim.made_at > oldest {
                    return (old, upto, false);
                }
                old.push(row);
            }
            upto = row.revision;
        }
        let more = !old.is_empty();
        (old, upto, more)
    }
}

fn clear(transaction: Transaction, row: &Row) -> Transaction {
    let transaction = transaction.check(Space::Claim, &*row.key, row.revision);
    transaction.delete(Space::Claim, &*row.key)
}
