//! Moving machines between pools with the decisions of the engine.

use crate::clock;
use crate::fleet::{CALL_LIMIT, Fleet, drop_emptying, order_allowed, write_emptying};
use crate::metrics::Counter;
use crate::node::Node;
use crate::owner::Owner;
use crate::peers;
use crate::rows;
use celerythread_adapter::machine::{self, Authority, State};
use celerythread_adapter::store::{Name, Transaction};
use celerythread_engine::job::{decode, encode};
use celerythread_engine::pools::{History, Load, Machine, Move, Planner};
use celerythread_wire::job::{Answer, Question};
use futures::future::join_all;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Reads whose turns a former holder saw; true if they are read, or there are none.
pub(crate) async fn load(node: &Node, planner: &mut Planner) -> bool {
    let row = node.store.get(rows::CONTROL, "", rows::TURNS_KEY, CALL_LIMIT).await;
    node.store_result(&row);
    match row.map(|row| row.map(|row| decode::<History>(&row.value))) {
        Ok(Some(Ok(history))) => planner.restore(history),
        Ok(Some(Err(error))) => node.journal.warn("turns_unreadable", &[("reason", &error)]),
        Ok(None) => {}
        Err(_) => return false,
    }
    true
}

/// Keeps the turns as they are now, for the next holder.
async fn keep_turns(node: &Node, planner: &Planner) {
    let history = planner.history();
    let pool = history.turns.last().map(String::as_str).unwrap_or_default();
    node.journal.note("turn_began", &[("pool", &pool), ("turns", &history.turns.len())]);
    let name = Name::new(rows::CONTROL, "", rows::TURNS_KEY);
    let change = Transaction { writes: vec![(name, encode(history))], ..Transaction::default() };
    // If this is lost, the next holder knows one turn less, until it has seen it itself.
    if let Err(error) = node.commit(&change, CALL_LIMIT).await {
        node.journal.warn("turns_unkept", &[("reason", &error)]);
    }
}

/// Moves machines as the demand asks for.
pub(crate) async fn step(fleet: &mut Fleet, loads: &BTreeMap<String, Load>) {
    let owner = fleet.owner.clone();
    let node = &owner.node;
    if fleet.machines().is_empty() || !order_allowed(&owner) {
        return;
    }
    let Some(configuration) = node.configuration() else { return };
    let machines: BTreeMap<String, Machine> =
        fleet.machines().iter().map(|machine| seen(machine, fleet)).collect();
    let turns = fleet.pools.history().turns.clone();
    let moves = fleet.pools.plan(&machines, loads, configuration.spare_pool(), clock::now());
    if fleet.pools.history().turns != turns {
        keep_turns(node, &fleet.pools).await;
    }
    let mut loads = loads.clone();
    release(fleet, &moves, &mut loads).await;
    order_ready(fleet, &loads).await;
    give_up_overdue(fleet).await;
}

fn seen(machine: &machine::Machine, fleet: &Fleet) -> (String, Machine) {
    let name = machine.name.clone();
    let seen = Machine {
        pool: machine.pool.clone(),
        minion: machine.minion.clone().filter(|id| !id.is_empty()),
        up: machine.state == State::Up,
        pinned: fleet.waves.is_emptying(&name) || fleet.is_held_back(&name),
    };
    (name, seen)
}

/// Has machines emptied: by a row first, so that a later owner and a later holder of the duty
/// know it too, then by a message, so that the present owner knows it at once and tells which
/// are empty already.
async fn release(fleet: &mut Fleet, moves: &[Move], loads: &mut BTreeMap<String, Load>) {
    let node = fleet.owner.node.clone();
    let mut by_pool: BTreeMap<&str, Vec<(String, String)>> = BTreeMap::new();
    for plan in moves {
        let minion = plan.minion.clone().unwrap_or_default();
        by_pool.entry(&plan.from).or_default().push((plan.machine.clone(), minion));
    }
    for (pool, machines) in by_pool {
        if !write_emptying(&node, &machines).await {
            machines.iter().for_each(|(machine, _)| fleet.pools.abandon(machine));
            continue;
        }
        let question = Question::Release { service: pool.into(), machines };
        // Without an answer the owner learns it from the row.
        if let Some(Answer::Load(load)) = peers::ask_owner(&node, pool, question).await {
            loads.insert(pool.into(), load);
        }
    }
}

/// Orders the moves of machines that are empty by now.
async fn order_ready(fleet: &mut Fleet, loads: &BTreeMap<String, Load>) {
    let is_ready = |plan: &&Move| match &plan.minion {
        None => true,
        Some(minion) => loads.get(&plan.from).is_some_and(|load| load.empty.contains(minion)),
    };
    let ready: Vec<Move> = fleet.pools.pending().filter(is_ready).cloned().collect();
    ready.iter().for_each(|plan| fleet.note_order(&plan.machine));
    let orders = ready.iter().map(|plan| order(&fleet.owner, &fleet.client, plan));
    let moved = join_all(orders).await;
    for (plan, moved) in ready.iter().zip(moved) {
        match moved {
            // Its row stays for the lease, and until the list shows another minion, so that
            // nothing is started on the old one, which may be listed for some seconds more.
            Some(true) => fleet.pools.ordered(&plan.machine, clock::now()),
            Some(false) => fleet.pools.abandon(&plan.machine),
            None => {}
        }
    }
}

/// Orders one move; none when it isn't certain, so that it is ordered again.
async fn order(owner: &Arc<Owner>, client: &machine::Client, plan: &Move) -> Option<bool> {
    let node = &owner.node;
    if !order_allowed(owner) {
        return None;
    }
    let by = Authority { holder: node.me.clone(), token: owner.token };
    let answer = client.change_pool(&plan.machine, &plan.to, &by, CALL_LIMIT).await;
    let (outcome, moved) = match &answer {
        Ok(Ok(())) => ("moving".to_owned(), Some(true)),
        Ok(Err(machine::Refusal::Rate | machine::Refusal::Unavailable)) => ("put off".into(), None),
        Ok(Err(reason)) => (reason.to_string(), Some(false)),
        Err(failure) => (failure.to_string(), None),
    };
    if moved == Some(true) {
        node.metrics.count(Counter::Moves);
    }
    node.journal.note(
        "move_ordered",
        &[
            ("machine", &plan.machine),
            ("from", &plan.from),
            ("to", &plan.to),
            ("reason", &plan.reason),
            ("token", &owner.token),
            ("waited_ms", &clock::now().since(plan.since).as_millis()),
            ("outcome", &outcome),
        ],
    );
    moved
}

async fn give_up_overdue(fleet: &mut Fleet) {
    let node = fleet.owner.node.clone();
    let mut rows = Vec::new();
    for plan in fleet.pools.overdue(clock::now()) {
        fleet.pools.abandon(&plan.machine);
        node.journal.note("move_given_up", &[("machine", &plan.machine), ("to", &plan.to)]);
        // One that may have been ordered keeps its row for the lease.
        if !fleet.is_held_back(&plan.machine) {
            rows.push(plan.machine.clone());
        }
    }
    drop_emptying(&node, &rows).await;
}
