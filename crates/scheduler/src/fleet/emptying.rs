//! Machines that are emptied: the rows that say so, and asking their owners.

use super::{CALL_TIMEOUT, Controller};
use crate::clock;
use crate::node::Node;
use crate::peers;
use crate::rows;
use celerythread_adapter::store::{MAX_ENTRIES, Transaction};
use celerythread_wire::job::{Answer, Question};
use futures::future::join_all;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

/// A machine that is to be emptied.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    /// The machine.
    pub(crate) machine: String,
    /// Its pool.
    pub(crate) pool: String,
    /// Its minion; empty for a machine that is off.
    pub(crate) minion: String,
}

/// Has machines emptied: by a row first, so that a later owner and a later holder of the duty
/// know it too, then by a message, so that the present owner knows it at once and tells which
/// are empty already.  Returns the machines whose row could not be written.
pub(crate) async fn request(controller: &Controller, targets: Vec<Target>) -> BTreeSet<String> {
    let written = write_rows(controller.node(), &targets).await;
    let (written_targets, unwritten): (Vec<Target>, Vec<Target>) =
        targets.into_iter().partition(|target| written.contains(&target.machine));
    let mut by_pool: BTreeMap<String, Vec<(String, String)>> = BTreeMap::new();
    for target in written_targets.into_iter().filter(|target| !target.minion.is_empty()) {
        controller.state.lock().record_emptying(&target.minion);
        by_pool.entry(target.pool).or_default().push((target.machine, target.minion));
    }
    let ask = async |(pool, machines): (String, Vec<(String, String)>)| {
        // In the millisecond of the writing it can't be told what came first.
        async_std::task::sleep(Duration::from_millis(1)).await;
        let sent = clock::now();
        let question = Question::Release { service: pool.clone(), machines };
        // Without an answer the owner learns it from the row.
        if let Some(Answer::Load(load)) = peers::ask_owner(controller.node(), &pool, question).await
        {
            controller.state.lock().record_load(pool, load, sent);
        }
    };
    join_all(by_pool.into_iter().map(ask)).await;
    unwritten.into_iter().map(|target| target.machine).collect()
}

/// Writes that machines are to be emptied; returns those of which it is written.
async fn write_rows(node: &Node, targets: &[Target]) -> BTreeSet<String> {
    let row = |target: &Target| {
        let name = rows::control(rows::EMPTYING_PREFIX, &target.machine);
        (name, target.minion.as_bytes().to_vec())
    };
    let mut written = BTreeSet::new();
    for chunk in targets.chunks(MAX_ENTRIES) {
        let writes = chunk.iter().map(row).collect();
        let change = Transaction { writes, ..Transaction::default() };
        if let Err(error) = node.commit(&change, CALL_TIMEOUT).await {
            let machines = chunk.len();
            node.journal.warn("emptying_unwritten", &[("machines", &machines), ("reason", &error)]);
            break;
        }
        let mut view = node.view.write();
        for Target { machine, minion, .. } in chunk {
            view.emptying.insert(machine.clone(), minion.clone());
            node.journal.note("machine_emptying", &[("machine", machine), ("minion", minion)]);
            written.insert(machine.clone());
        }
    }
    written
}

/// Drops the rows of machines that no longer are to be emptied.
///
/// Until it is certain nobody plans with them: their owners may start something there as soon as the
/// rows are gone, while the demand as last told still lists them as empty.
pub(crate) async fn drop_rows(controller: &Controller, machines: &[String]) {
    controller.state.lock().dropping_rows.extend(machines.iter().cloned());
    drop_in_chunks(controller.node(), machines).await;
    controller.state.lock().dropping_rows.retain(|machine| !machines.contains(machine));
}

/// The rows are independent of each other, so many go in several transactions: after an outage more
/// were settled than one may hold, it was refused each time, and no row was dropped any more.
async fn drop_in_chunks(node: &Node, machines: &[String]) {
    let row = |machine: &String| rows::control(rows::EMPTYING_PREFIX, machine);
    for chunk in machines.chunks(MAX_ENTRIES) {
        let change =
            Transaction { drops: chunk.iter().map(row).collect(), ..Transaction::default() };
        if let Err(error) = node.commit(&change, CALL_TIMEOUT).await {
            // Looked at again with the next list of machines.
            let left = machines.len();
            node.journal.warn("emptying_left", &[("machines", &left), ("reason", &error)]);
            return;
        }
        let mut view = node.view.write();
        for machine in chunk {
            view.emptying.remove(machine);
        }
    }
}

/// Drops the rows of machines that nobody is about to order any more: they have another
/// minion, or a former holder asked for them, and its orders are over.
pub(crate) async fn drop_stale_rows(controller: &Controller) {
    let stale_rows = stale_rows(controller);
    if !stale_rows.is_empty() {
        drop_rows(controller, &stale_rows).await;
    }
}

fn stale_rows(controller: &Controller) -> Vec<String> {
    let now = clock::now();
    let view = controller.node().view.read();
    let mut state = controller.state.lock();
    let listed: HashMap<&str, &str> = state
        .list
        .machines
        .iter()
        .map(|machine| (machine.name.as_str(), machine.minion.as_deref().unwrap_or_default()))
        .collect();
    let is_planned_for = |name: &str, minion: &str| {
        listed.get(name).is_some_and(|now| *now == minion) && state.is_planned(name)
    };
    let is_lease_over = |name: &str| state.order_leases.get(name).is_none_or(|until| now >= *until);
    let rows = view.emptying.iter();
    let stale_rows = rows
        .filter(|(name, minion)| is_lease_over(name) && !is_planned_for(name, minion))
        .map(|(name, _)| name.clone())
        .collect();
    state.expire_order_leases();
    stale_rows
}
