//! Keeping the view up to date: from the table, or from peers during an outage of the table.

use crate::node::Node;
use crate::peers;
use celerythread_model::event::{Clock, Kind};
use celerythread_model::fleet::State;
use celerythread_model::table::{Row, Space};
use celerythread_model::unit::Revision;
use celerythread_policy::queue::Bounds;
use std::collections::HashMap;
use std::sync::Arc;

/// Follows the table until the process ends.
pub(crate) async fn follow_forever(node: Arc<Node>) {
    loop {
        if refresh_view(&node).await.is_err() {
            peers::fetch_missing_rows(&node).await;
        }
        node.wake.wait(node.settings.poll_interval.0).await;
        if !node.sleep_unless_stopped(std::time::Duration::ZERO).await {
            return;
        }
    }
}

/// Reads all changes since the last refresh into the view.
///
/// # Errors
/// When a read of the table fails.
pub(crate) async fn refresh_view(node: &Arc<Node>) -> Result<(), celerythread_platform::Error> {
    loop {
        let since = node.view.read().upto();
        let changes = node.platform.table.changes(Space::Fleet, since).await?;
        apply_rows(node, &changes.rows, changes.upto);
        if !changes.more {
            return Ok(());
        }
    }
}

/// Applies rows to the view and acts on what changed.
pub(crate) fn apply_rows(node: &Node, rows: &[Row], upto: Revision) {
    node.timeline.witness(Clock::at_revision(upto));
    let before = node.view.read().config_number();
    let changed = node.view.write().apply(rows, upto);
    if changed.config {
        apply_config(node, before);
    }
    if changed.fleet || changed.config {
        refresh_slots(node);
    }
}

fn apply_config(node: &Node, before: Revision) {
    let document = node.view.read().document().clone();
    let bounds: HashMap<_, _> = document
        .services
        .values()
        .map(|service| {
            let limit = service.queue_per_slot as usize;
            (service.service.clone(), Bounds { limit, patient_share: service.patient_share })
        })
        .collect();
    node.router.lock().set_bounds(bounds);
    let number = node.view.read().config_number();
    if number > before {
        node.record_event(Kind::ConfigInForce { number });
    }
}

/// Updates the slots of owned minions from the view: state, epoch, pool, address and count.
pub(crate) fn refresh_slots(node: &Node) {
    let view = node.view.read();
    let mut router = node.router.lock();
    let owned: Vec<_> = router.ledger.owned().cloned().collect();
    for name in owned {
        let ours =
            view.owners().get(&name).is_some_and(|row| row.owner.as_ref() == Some(&node.entry_id));
        match view.minions().get(&name) {
            Some(minion) if ours => {
                let active = minion.state == State::Active;
                let spec = crate::owner::minion_spec(&view, minion, active);
                router.ledger.upsert_minion(name, spec, None);
            }
            _ => router.ledger.remove_minion(&name),
        }
    }
    router.tick(node.clock.now());
}
