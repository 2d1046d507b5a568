//! Machines that are emptied: the rows that say so, and asking their owners.

use super::{CALL_LIMIT, Fleet};
use crate::clock;
use crate::node::Node;
use crate::peers;
use crate::rows;
use celerythread_adapter::store::{MAX_TRANSACTION_ENTRIES, Transaction};
use celerythread_wire::job::{Answer, Question};
use futures::future::join_all;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

/// A machine that is to be emptied.
#[derive(Clone, Debug)]
pub(crate) struct Leaver {
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
pub(crate) async fn begin(fleet: &Fleet, leavers: Vec<Leaver>) -> BTreeSet<String> {
    let written = write(fleet.node(), &leavers).await;
    let (asked, left): (Vec<Leaver>, Vec<Leaver>) =
        leavers.into_iter().partition(|leaver| written.contains(&leaver.machine));
    let mut by_pool: BTreeMap<String, Vec<(String, String)>> = BTreeMap::new();
    for leaver in asked.into_iter().filter(|leaver| !leaver.minion.is_empty()) {
        fleet.state.lock().note_named(&leaver.minion);
        by_pool.entry(leaver.pool).or_default().push((leaver.machine, leaver.minion));
    }
    let ask = async |(pool, machines): (String, Vec<(String, String)>)| {
        // In the millisecond of the writing it can't be told what came first.
        async_std::task::sleep(Duration::from_millis(1)).await;
        let sent = clock::now();
        let question = Question::Release { service: pool.clone(), machines };
        // Without an answer the owner learns it from the row.
        if let Some(Answer::Load(load)) = peers::ask_owner(fleet.node(), &pool, question).await {
            fleet.state.lock().note_load(pool, load, sent);
        }
    };
    join_all(by_pool.into_iter().map(ask)).await;
    left.into_iter().map(|leaver| leaver.machine).collect()
}

/// Writes that machines are to be emptied; returns those of which it is written.
async fn write(node: &Node, leavers: &[Leaver]) -> BTreeSet<String> {
    let row = |leaver: &Leaver| {
        let name = rows::control(rows::EMPTYING_PREFIX, &leaver.machine);
        (name, leaver.minion.as_bytes().to_vec())
    };
    let mut written = BTreeSet::new();
    for chunk in leavers.chunks(MAX_TRANSACTION_ENTRIES) {
        let writes = chunk.iter().map(row).collect();
        let change = Transaction { writes, ..Transaction::default() };
        if let Err(error) = node.commit(&change, CALL_LIMIT).await {
            let machines = chunk.len();
            node.journal.warn("emptying_unwritten", &[("machines", &machines), ("reason", &error)]);
            break;
        }
        let mut view = node.view.write();
        for Leaver { machine, minion, .. } in chunk {
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
pub(crate) async fn drop_rows(fleet: &Fleet, machines: &[String]) {
    fleet.state.lock().dropping.extend(machines.iter().cloned());
    drop_each(fleet.node(), machines).await;
    fleet.state.lock().dropping.retain(|machine| !machines.contains(machine));
}

/// The rows are independent of each other, so many go in several transactions: after an outage more
/// were settled than one may hold, it was refused each time, and no row was dropped any more.
async fn drop_each(node: &Node, machines: &[String]) {
    let row = |machine: &String| rows::control(rows::EMPTYING_PREFIX, machine);
    for chunk in machines.chunks(MAX_TRANSACTION_ENTRIES) {
        let change =
            Transaction { deletes: chunk.iter().map(row).collect(), ..Transaction::default() };
        if let Err(error) = node.commit(&change, CALL_LIMIT).await {
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
pub(crate) async fn drop_settled(fleet: &Fleet) {
    let settled = settled(fleet);
    if !settled.is_empty() {
        drop_rows(fleet, &settled).await;
    }
}

fn settled(fleet: &Fleet) -> Vec<String> {
    let now = clock::now();
    let view = fleet.node().view.read();
    let mut state = fleet.state.lock();
    let listed: HashMap<&str, &str> = state
        .list
        .machines
        .iter()
        .map(|machine| (machine.name.as_str(), machine.minion.as_deref().unwrap_or_default()))
        .collect();
    let keeps = |name: &str, minion: &str| {
        listed.get(name).is_some_and(|now| *now == minion) && state.is_planned(name)
    };
    let over = |name: &str| state.ordered.get(name).is_none_or(|until| now >= *until);
    let rows = view.emptying.iter();
    let settled = rows
        .filter(|(name, minion)| over(name) && !keeps(name, minion))
        .map(|(name, _)| name.clone())
        .collect();
    state.forget_orders();
    settled
}
