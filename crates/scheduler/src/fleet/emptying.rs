//! Emptying of machines: the rows that request it, and the messages to the owners.

use super::{CALL_TIMEOUT, Controller};
use crate::clock;
use crate::node::Node;
use crate::peers;
use crate::rows;
use celerythread_adapter::store::{MAX_TRANSACTION_ENTRIES, Transaction};
use celerythread_wire::job::{Answer, Question};
use futures::future::join_all;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

/// A machine to empty.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    /// Its name.
    pub(crate) machine: String,
    /// Its pool.
    pub(crate) pool: String,
    /// Its minion; empty for a machine that is off.
    pub(crate) minion: String,
}

/// Requests that machines are emptied.  First writes a row for each, so that later owners and later
/// fleet controllers know it too; then sends a message to the present owner, which answers at once
/// which minions are already empty.  Returns the machines whose row could not be written.
pub(crate) async fn request(controller: &Controller, targets: Vec<Target>) -> BTreeSet<String> {
    let written = if controller.standing().is_alone() {
        BTreeSet::new()
    } else {
        write_rows(controller.node(), &targets).await
    };
    let (written_targets, unwritten): (Vec<Target>, Vec<Target>) =
        targets.into_iter().partition(|target| written.contains(&target.machine));
    let mut by_pool: BTreeMap<String, Vec<(String, String)>> = BTreeMap::new();
    for target in written_targets.into_iter().filter(|target| !target.minion.is_empty()) {
        controller.state.lock().record_emptying(&target.minion);
        by_pool.entry(target.pool).or_default().push((target.machine, target.minion));
    }
    let ask = async |(pool, machines): (String, Vec<(String, String)>)| {
        // Times have a resolution of 1 ms.  Within the millisecond of the write, the times don't
        // show whether the request was sent after it.
        async_std::task::sleep(Duration::from_millis(1)).await;
        let sent = clock::now();
        let token = controller.owner.token;
        let question =
            Question::Release { service: pool.clone(), machines, token, without_row: false };
        // If the message is lost, the owner learns it from the row.
        if let Some(Answer::Load(load)) = peers::ask_owner(controller.node(), &pool, question).await
        {
            controller.state.lock().record_load(pool, load, sent);
        }
    };
    join_all(by_pool.into_iter().map(ask)).await;
    unwritten.into_iter().map(|target| target.machine).collect()
}

/// Writes the rows of machines to empty; returns the machines whose row was written.
async fn write_rows(node: &Node, targets: &[Target]) -> BTreeSet<String> {
    let row = |target: &Target| {
        let name = rows::control(rows::EMPTYING_PREFIX, &target.machine);
        (name, target.minion.as_bytes().to_vec())
    };
    let mut written = BTreeSet::new();
    for chunk in targets.chunks(MAX_TRANSACTION_ENTRIES) {
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
            node.journal.info("machine_emptying", &[("machine", machine), ("minion", minion)]);
            written.insert(machine.clone());
        }
    }
    written
}

/// Deletes the rows of machines that need not be emptied any more.
///
/// No plan includes these machines until the outcome is certain.  Their owners may start tasks on
/// them as soon as the rows are deleted, while the last reported demand still lists them as empty.
pub(crate) async fn delete_rows(controller: &Controller, machines: &[String]) {
    controller.state.lock().deleting_rows.extend(machines.iter().cloned());
    delete_in_chunks(controller.node(), machines).await;
    controller.state.lock().deleting_rows.retain(|machine| !machines.contains(machine));
}

/// Deletes the rows in several transactions of at most [`MAX_TRANSACTION_ENTRIES`]; the rows are
/// independent of each other.  After an outage there can be more stale rows than one transaction
/// may hold.  In a single transaction they were refused each time, and no row was deleted any more.
async fn delete_in_chunks(node: &Node, machines: &[String]) {
    let row = |machine: &String| rows::control(rows::EMPTYING_PREFIX, machine);
    for chunk in machines.chunks(MAX_TRANSACTION_ENTRIES) {
        let change =
            Transaction { deletes: chunk.iter().map(row).collect(), ..Transaction::default() };
        if let Err(error) = node.commit(&change, CALL_TIMEOUT).await {
            // Retried with the next list of machines.
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

/// Deletes the rows of machines that are not about to be ordered: they have another minion by now,
/// or a former holder requested the emptying and the lease of its orders has expired.
pub(crate) async fn delete_stale_rows(controller: &Controller) {
    let stale_rows = stale_rows(controller);
    if !stale_rows.is_empty() {
        delete_rows(controller, &stale_rows).await;
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
    let is_lease_expired =
        |name: &str| state.order_leases.get(name).is_none_or(|until| now >= *until);
    let rows = view.emptying.iter();
    let stale_rows = rows
        .filter(|(name, minion)| is_lease_expired(name) && !is_planned_for(name, minion))
        .map(|(name, _)| name.clone())
        .collect();
    state.expire_order_leases();
    stale_rows
}
