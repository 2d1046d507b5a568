//! The platform's machines, as last listed.

use super::{CALL_LIMIT, Fleet, emptying};
use crate::clock;
use crate::node::Node;
use celerythread_adapter::machine;
use celerythread_engine::time::Time;
use std::time::Duration;

/// Age at which the list is read again while something is under way.
const BUSY: Duration = Duration::from_millis(350);

/// The same otherwise.
const IDLE: Duration = Duration::from_secs(3);

/// Time between two looks whether the list is too old: what is under way may begin at any moment.
const LOOK: Duration = Duration::from_millis(100);

/// The machines as last read.
#[derive(Default)]
pub(crate) struct MachineList {
    pub(crate) machines: Vec<machine::Machine>,
    read: Option<Time>,
}

/// Reads the list again and again until the duty is lost.
pub(crate) async fn read_forever(fleet: &Fleet) {
    while !fleet.owner.is_stopped() {
        if is_due(fleet) && read(fleet).await {
            emptying::drop_settled(fleet).await;
        }
        if !fleet.owner.pause(LOOK).await {
            return;
        }
    }
}

fn is_due(fleet: &Fleet) -> bool {
    let empties = !fleet.node().view.read().emptying.is_empty();
    let state = fleet.state.lock();
    let busy = empties || state.waves.has_open_waves() || state.pools.has_moves_under_way();
    let limit = if busy { BUSY } else { IDLE };
    state.list.read.is_none_or(|read| clock::now().since(read) >= limit)
}

/// Reads the list; true if it is read.
async fn read(fleet: &Fleet) -> bool {
    let Some(list) = fetch(fleet.node(), &fleet.client).await else { return false };
    let read = Some(clock::now());
    fleet.state.lock().list = MachineList { machines: list.machines, read };
    true
}

/// The platform's list; none if it can't be read.  What can't be read of it is noted.
pub(crate) async fn fetch(node: &Node, client: &machine::Client) -> Option<machine::List> {
    match client.list(CALL_LIMIT).await {
        Ok(list) => {
            if list.unreadable > 0 {
                node.journal.warn("machines_unreadable", &[("machines", &list.unreadable)]);
            }
            Some(list)
        }
        Err(failure) => {
            node.journal.warn("machines_unread", &[("reason", &failure)]);
            None
        }
    }
}
