//! Moving machines between pools with the decisions of the engine.

use crate::clock;
use crate::fleet::{CALL_LIMIT, drop_emptying, order_allowed, write_emptying};
use crate::metrics::Counter;
use crate::node::Node;
use crate::owner::Owner;
use crate::peers;
use celerythread_adapter::machine::{self, Authority, State};
use celerythread_engine::pools::{Load, Machine, Move, Planner};
use celerythread_engine::upkeep;
use celerythread_wire::job::Question;
use futures::future::join_all;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Moves machines as the demand asks for.
pub(crate) async fn step(
    owner: &Arc<Owner>,
    client: &machine::Client,
    planner: &mut Planner,
    waves: &upkeep::Planner,
    machines: &[machine::Machine],
    loads: &BTreeMap<String, Load>,
) {
    let node = &owner.node;
    if machines.is_empty() || !order_allowed(owner) {
        return;
    }
    let Some(configuration) = node.configuration() else { return };
    let spare = configuration.services.iter().find(|service| service.spare);
    let spare = spare.map(|service| service.name.as_str());
    let machines: BTreeMap<String, Machine> =
        machines.iter().map(|machine| seen(machine, waves)).collect();
    let moves = planner.plan(&machines, loads, spare, clock::now());
    release(node, planner, &moves).await;
    order_ready(owner, client, planner, loads).await;
    give_up_overdue(node, planner).await;
}

fn seen(machine: &machine::Machine, waves: &upkeep::Planner) -> (String, Machine) {
    let seen = Machine {
        pool: machine.pool.clone(),
        minion: machine.minion.clone().filter(|id| !id.is_empty()),
        up: machine.state == State::Up,
        pinned: waves.is_emptying(&machine.name),
    };
    (machine.name.clone(), seen)
}

/// Has machines emptied: by a row first, so that a later owner knows it too, then by a message,
/// so that this one knows it at once.
async fn release(node: &Node, planner: &mut Planner, moves: &[Move]) {
    let mut by_pool: BTreeMap<&str, Vec<(String, String)>> = BTreeMap::new();
    for plan in moves {
        if let Some(minion) = &plan.minion {
            let machine = (plan.machine.clone(), minion.clone());
            by_pool.entry(&plan.from).or_default().push(machine);
        }
    }
    for (pool, machines) in by_pool {
        if !write_emptying(node, &machines).await {
            machines.iter().for_each(|(machine, _)| planner.abandon(machine));
            continue;
        }
        let question = Question::Release { service: pool.into(), machines };
        // Without an answer the owner learns it from the row.
        peers::ask_owner(node, pool, question).await;
    }
}

/// Orders the moves of machines that are empty by now.
async fn order_ready(
    owner: &Arc<Owner>,
    client: &machine::Client,
    planner: &mut Planner,
    loads: &BTreeMap<String, Load>,
) {
    let is_ready = |plan: &&Move| match &plan.minion {
        None => true,
        Some(minion) => loads.get(&plan.from).is_some_and(|load| load.empty.contains(minion)),
    };
    let ready: Vec<Move> = planner.pending().filter(is_ready).cloned().collect();
    let orders = ready.iter().map(|plan| order(owner, client, plan));
    let moved = join_all(orders).await;
    let mut refused = Vec::new();
    for (plan, moved) in ready.iter().zip(moved) {
        match moved {
            // Its row stays until the list shows another minion, so that nothing is started on
            // the old one, which may be listed for some seconds more.
            Some(true) => planner.ordered(&plan.machine, clock::now()),
            Some(false) => {
                planner.abandon(&plan.machine);
                refused.push(plan.machine.clone());
            }
            None => {}
        }
    }
    drop_emptying(&owner.node, &refused).await;
}

/// Orders one move; none when it isn't certain, so that it is ordered again.
async fn order(owner: &Arc<Owner>, client: &machine::Client, plan: &Move) -> Option<bool> {
    let node = &owner.node;
    if !order_allowed(owner) {
        return None;
    }
    let by = Authority { holder: node.me.clone(), token: owner.token };
    owner.ordered_machine();
    let answer = client.change_pool(&plan.machine, &plan.to, &by, CALL_LIMIT).await;
    owner.ordered_machine();
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
            ("token", &owner.token),
            ("waited_ms", &clock::now().since(plan.since).as_millis()),
            ("outcome", &outcome),
        ],
    );
    moved
}

async fn give_up_overdue(node: &Node, planner: &mut Planner) {
    let overdue = planner.overdue(clock::now());
    let mut rows = Vec::new();
    for plan in &overdue {
        planner.abandon(&plan.machine);
        node.journal.note("move_given_up", &[("machine", &plan.machine), ("to", &plan.to)]);
        rows.push(plan.machine.clone());
    }
    drop_emptying(node, &rows).await;
}
