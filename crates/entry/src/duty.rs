//! Duties: roles that one entry holds at a time, under leases in the table.

use crate::drive;
use crate::node::Node;
use celerythread_model::event::Kind;
use celerythread_model::fleet::{Lease, Row as _};
use celerythread_model::table::Space;
use celerythread_platform::Error;
use celerythread_platform::message::Transaction;
use celerythread_policy::lease::{Action, HeldLease, Observer};
use std::sync::Arc;
use std::time::Duration;
use strum::{Display, VariantArray};

/// Time between two steps of a duty's controller.
const STEP_INTERVAL: Duration = Duration::from_millis(500);

/// Renewals within one lease term.
const RENEWALS_PER_TERM: u32 = 4;

/// A role that one entry holds for all.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, VariantArray)]
#[strum(serialize_all = "lowercase")]
pub(crate) enum Duty {
    /// Keeps the minions' rows and runs waves and moves.
    Fleet,
    /// Places jobs on workers.
    Jobs,
}

impl Duty {
    /// The key of its lease's row.
    pub(crate) fn key(self) -> String {
        format!("{}{self}", Lease::PREFIX)
    }
}

/// Tries to acquire a duty's lease, and runs the duty's controller while the lease is held.
pub(crate) async fn run_forever(node: Arc<Node>, duty: Duty) {
    let mut observer = Observer::default();
    let mut held: Option<HeldLease> = None;
    let mut controller = drive::Controller::new(duty);
    let renewal_interval = node.settings.lease_term.0 / RENEWALS_PER_TERM;
    let mut checked_at = None;
    loop {
        let now = node.clock.now();
        if checked_at.is_none_or(|at| now.since(at) >= renewal_interval) {
            checked_at = Some(now);
            let before = held;
            held = renew_or_acquire(&node, duty, &mut observer, held).await;
            record_lease_change(&node, duty, before, held);
            if before.map(|held| held.token) != held.map(|held| held.token) {
                // Others may have held the duty since, so the controller's state is outdated.
                controller = drive::Controller::new(duty);
            }
        }
        let term = node.settings.lease_term.0;
        if let Some(held) = held.filter(|held| held.is_fresh(node.clock.now(), term)) {
            controller.step(&node, held).await;
        }
        // Without the lease there is nothing to do before the next check of it.
        let delay =
            if held.is_some() { STEP_INTERVAL.min(renewal_interval) } else { renewal_interval };
        if !node.sleep_unless_stopped(delay).await || node.is_stopping() {
            break;
        }
    }
    if let Some(held) = held {
        release(&node, duty, held).await;
    }
}

/// Reads the lease, then renews or acquires it.
async fn renew_or_acquire(
    node: &Arc<Node>,
    duty: Duty,
    observer: &mut Observer,
    held: Option<HeldLease>,
) -> Option<HeldLease> {
    if !node.view.read().entries().contains_key(&node.entry_id) {
        return None;
    }
    let key = duty.key();
    let rows = node.platform.table.read(Space::Lease, std::slice::from_ref(&key)).await;
    let Ok(Some(row)) = rows.map(|rows| rows.into_iter().next()) else { return held };
    let now = node.clock.now();
    let lease: Option<Lease> = row.decode();
    let term = node.settings.lease_term.0;
    let next = match observer.observe(&node.entry_id, lease.as_ref(), row.revision, now, term) {
        Action::Wait => return None,
        Action::Renew(next) | Action::Acquire(next) => next,
    };
    // For an absent row the condition is its absence; a deleted one has a revision of its own.
    let transaction = Transaction::new().replace(Space::Lease, key, row.revision, &next);
    match node.platform.table.commit(transaction).await {
        Ok(revision) => Some(HeldLease { token: next.token, revision, confirmed_at: now }),
        // The next read shows whether it was written.
        Err(Error::Lost { .. } | Error::Unavailable { .. }) => held,
        Err(_) => None,
    }
}

fn record_lease_change(
    node: &Node,
    duty: Duty,
    before: Option<HeldLease>,
    after: Option<HeldLease>,
) {
    let (before, after) = (before.map(|held| held.token), after.map(|held| held.token));
    if before == after {
        return;
    }
    if let Some(token) = before {
        node.record_event(Kind::LeaseLost { duty: duty.to_string(), token });
    }
    if let Some(token) = after {
        node.record_event(Kind::LeaseTaken { duty: duty.to_string(), token });
    }
}

async fn release(node: &Arc<Node>, duty: Duty, held: HeldLease) {
    let row = Lease { holder: None, token: held.token, beat: 0 };
    let transaction = Transaction::new().replace(Space::Lease, duty.key(), held.revision, &row);
    let _ = node.platform.table.commit(transaction).await;
    record_lease_change(node, duty, Some(held), None);
}
