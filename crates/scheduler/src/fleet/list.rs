//! The platform's list of machines, read periodically.

use super::{CALL_TIMEOUT, Controller, emptying};
use crate::clock;
use crate::node::Node;
use celerythread_adapter::machine;
use celerythread_engine::absence::Reading;
use celerythread_engine::time::Time;
use std::collections::HashSet;
use std::time::Duration;

/// Age at which the list is read again while machines are being emptied, moved or maintained.
const BUSY_REFRESH_INTERVAL: Duration = Duration::from_millis(350);

/// Age at which the list is read again otherwise.
const IDLE_REFRESH_INTERVAL: Duration = Duration::from_secs(3);

/// Interval between two checks of the list's age.  It is short because a move or a wave may begin
/// at any moment.
const DUE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The machines as last read.
#[derive(Default)]
pub(crate) struct MachineList {
    pub(crate) machines: Vec<machine::Machine>,
    read_at: Option<Time>,
}

/// Reads the list periodically until this entry loses the cell.
pub(crate) async fn read_forever(controller: &Controller) {
    while !controller.owner.is_stopped() {
        if is_due(controller) && read(controller).await && !controller.standing().is_alone() {
            emptying::delete_stale_rows(controller).await;
        }
        if !controller.owner.pause(DUE_CHECK_INTERVAL).await {
            return;
        }
    }
}

fn is_due(controller: &Controller) -> bool {
    let is_emptying = !controller.node().view.read().emptying.is_empty();
    let state = controller.state.lock();
    let busy = is_emptying || state.waves.has_open_waves() || state.pools.has_moves_under_way();
    let limit = if busy { BUSY_REFRESH_INTERVAL } else { IDLE_REFRESH_INTERVAL };
    state.list.read_at.is_none_or(|read_at| clock::now().since(read_at) >= limit)
}

/// Reads the list; true on success.
async fn read(controller: &Controller) -> bool {
    let sent = clock::now();
    let Some(list) = fetch(controller.node(), &controller.client).await else { return false };
    let reading = reading(&list, sent);
    let names: HashSet<&str> = list.machines.iter().map(|machine| machine.name.as_str()).collect();
    let mut state = controller.state.lock();
    state.waves.record_list(|name| names.contains(name), reading);
    state.list = MachineList { machines: list.machines, read_at: Some(clock::now()) };
    drop(state);
    controller.record_foreign_moves();
    true
}

/// What a list requested at `sent` shows about machines that it lacks.
pub(crate) fn reading(list: &machine::List, sent: Time) -> Reading {
    // A list without machines is taken for an incomplete one.
    let is_complete = list.unreadable == 0 && !list.machines.is_empty();
    Reading { sent, pages: list.pages, is_complete }
}

/// Fetches the platform's list; none if that fails.  Logs the number of unreadable machines in it.
pub(crate) async fn fetch(node: &Node, client: &machine::Client) -> Option<machine::List> {
    match client.list(CALL_TIMEOUT).await {
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
