//! Moving machines between pools with the decisions of the engine.

use super::emptying::{self, Leaver};
use super::telling::Telling;
use super::{CALL_LIMIT, Fleet, Ordered, State, order_all};
use crate::clock;
use crate::metrics::Counter;
use crate::node::Node;
use crate::peers;
use crate::rows;
use celerythread_adapter::machine;
use celerythread_adapter::store::{Name, Transaction};
use celerythread_engine::job::{decode, encode};
use celerythread_engine::pools::{Balance, History, Machine, Move};
use celerythread_wire::job::{Answer, Question};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Shortest time between two looks at the pools' demand.  A burst that lasts some seconds must
/// be seen well within its first one.
const TICK: Duration = Duration::from_millis(200);

/// Added to a tick for each pool, so that asking many of them takes at most fifty questions a
/// second, some 10 ms of processor time.
const TICK_PER_POOL: Duration = Duration::from_millis(20);

/// Longest wait for the owners' answers before moves are planned with those that came: ten times what an
/// exchange takes as a rule.
const GATHER: Duration = Duration::from_millis(100);

/// Reads whose turns a former holder saw; true if they are read, or there are none.
pub(crate) async fn load(fleet: &Fleet) -> bool {
    let node = fleet.node();
    let row = node.store.get(rows::FLEET, "", rows::TURNS_KEY, CALL_LIMIT).await;
    node.store_result(&row);
    match row.map(|row| row.map(|row| decode::<History>(&row.value))) {
        Ok(Some(Ok(history))) => {
            let ago = Duration::from_millis(clock::wall_ms().saturating_sub(history.began_ms));
            let mut state = fleet.state.lock();
            state.pools.resume_turn(clock::now() - ago);
            state.pools.restore(history);
        }
        Ok(Some(Err(error))) => node.journal.warn("turns_unreadable", &[("reason", &error)]),
        Ok(None) => {}
        Err(_) => return false,
    }
    true
}

/// Keeps the turns as they are now, for the next holder.
async fn keep_turns(node: &Node, history: &History) {
    let pool = history.turns.last().map(String::as_str).unwrap_or_default();
    node.journal.note("turn_began", &[("pool", &pool), ("turns", &history.turns.len())]);
    let name = Name::new(rows::FLEET, "", rows::TURNS_KEY);
    let change = Transaction { writes: vec![(name, encode(history))], ..Transaction::default() };
    // If this is lost, the next holder knows one turn less, until it has seen it itself.
    if let Err(error) = node.commit(&change, CALL_LIMIT).await {
        node.journal.warn("turns_unkept", &[("reason", &error)]);
    }
}

/// Moves machines until the duty is lost.
pub(crate) async fn move_forever(fleet: &Arc<Fleet>) {
    let mut told = Telling::default();
    while !fleet.owner.is_stopped() {
        let services = services(fleet.node());
        ask_loads(fleet, &services).await;
        step(fleet).await;
        tell(fleet, &mut told);
        if !fleet.owner.pause(TICK.max(TICK_PER_POOL * services.len() as u32)).await {
            return;
        }
    }
}

/// The services that have minions.
fn services(node: &Node) -> Vec<String> {
    let Some(configuration) = node.configuration() else { return Vec::new() };
    configuration.serving_pools().map(Into::into).collect()
}

/// Asks the owners of all pools for their demand, and waits a moment for the answers.
///
/// An owner that answers late is waited for beside the next steps: waited for here, it would keep all
/// other pools' machines where they are.
async fn ask_loads(fleet: &Arc<Fleet>, services: &[String]) {
    for service in services {
        if fleet.state.lock().asking.insert(service.clone()) {
            async_std::task::spawn(ask_load(fleet.clone(), service.clone()));
        }
    }
    let until = clock::now() + GATHER;
    while clock::now() < until && !fleet.state.lock().asking.is_empty() {
        fleet.answered.wait(GATHER).await;
    }
    fleet.state.lock().forget_loads();
}

async fn ask_load(fleet: Arc<Fleet>, service: String) {
    let asked = clock::now();
    let question = Question::Load { service: service.clone() };
    let answer = peers::ask_owner(fleet.node(), &service, question).await;
    let mut state = fleet.state.lock();
    state.asking.remove(&service);
    if let Some(Answer::Load(load)) = answer {
        state.note_load(service, load, asked);
    }
    drop(state);
    fleet.answered.wake();
}

/// Moves machines as the demand asks for.
async fn step(fleet: &Fleet) {
    let node = fleet.node();
    if fleet.state.lock().list.machines.is_empty() || !fleet.may_order() {
        return;
    }
    let Some(configuration) = node.configuration() else { return };
    let (moves, turn) = plan(&mut fleet.state.lock(), configuration.spare_pool());
    if let Some(history) = turn {
        keep_turns(node, &history).await;
    }
    release(fleet, &moves).await;
    order_ready(fleet).await;
    give_up_overdue(fleet).await;
}

/// Further moves, and the turns if another one began.
fn plan(state: &mut State, spare: Option<&str>) -> (Vec<Move>, Option<History>) {
    let machines = seen_all(state);
    let turns = state.pools.history().turns.clone();
    let moves = state.pools.plan(&machines, &state.loads, spare, clock::now());
    let history = state.pools.history();
    let began_ms = clock::wall_ms();
    let began = (history.turns != turns).then(|| History { began_ms, ..history.clone() });
    (moves, began)
}

/// All machines as the engine sees them.
pub(crate) fn seen_all(state: &State) -> BTreeMap<String, Machine> {
    state.list.machines.iter().map(|machine| seen(machine, state)).collect()
}

fn seen(machine: &machine::Machine, state: &State) -> (String, Machine) {
    let name = machine.name.clone();
    let seen = Machine {
        pool: machine.pool.clone(),
        minion: machine.minion.clone(),
        up: machine.state == machine::State::Up,
        pinned: state.waves.is_emptying(&name)
            || state.is_held_back(&name)
            || state.dropping.contains(&name),
    };
    (name, seen)
}

/// Has machines emptied; the moves of those that couldn't be asked are given up.
async fn release(fleet: &Fleet, moves: &[Move]) {
    if moves.is_empty() {
        return;
    }
    let leaver = |plan: &Move| Leaver {
        machine: plan.machine.clone(),
        pool: plan.from.clone(),
        minion: plan.minion.clone().unwrap_or_default(),
    };
    let left = emptying::begin(fleet, moves.iter().map(leaver).collect()).await;
    let mut state = fleet.state.lock();
    left.iter().for_each(|machine| state.pools.abandon(machine));
}

/// Orders the moves of machines that are empty by now.
async fn order_ready(fleet: &Fleet) {
    let ready = ready(&fleet.state.lock());
    order_all(ready.into_iter().map(|plan| async move { order(fleet, &plan).await })).await;
}

fn ready(state: &State) -> Vec<Move> {
    let empty = state.empty_minions();
    let is_ready = |plan: &&Move| plan.minion.as_ref().is_none_or(|minion| empty.contains(minion));
    state.pools.pending().filter(is_ready).cloned().collect()
}

/// Orders one move.
async fn order(fleet: &Fleet, plan: &Move) {
    let node = fleet.node();
    if !fleet.may_order() {
        return;
    }
    fleet.note_order(&plan.machine);
    let by = fleet.authority();
    let answer = fleet.client.change_pool(&plan.machine, &plan.to, &by, CALL_LIMIT).await;
    let (ordered, outcome) = Ordered::read(answer);
    let waited = clock::now().since(plan.since);
    node.journal.note(
        "move_ordered",
        &[
            ("machine", &plan.machine),
            ("from", &plan.from),
            ("to", &plan.to),
            ("reason", &plan.reason),
            ("token", &by.token),
            ("waited_ms", &waited.as_millis()),
            ("outcome", &outcome),
        ],
    );
    let mut state = fleet.state.lock();
    match ordered {
        // Its row stays for the lease, and until the list shows another minion, so that
        // nothing is started on the old one, which may be listed for some seconds more.
        Ordered::Done => {
            node.metrics.count(Counter::Moves);
            state.pools.ordered(&plan.machine, clock::now());
        }
        Ordered::Refused | Ordered::Unknown => state.pools.abandon(&plan.machine),
        // Ordered again with the next step.
        Ordered::PutOff => {}
    }
}

async fn give_up_overdue(fleet: &Fleet) {
    let node = fleet.node();
    let overdue = fleet.state.lock().pools.overdue(clock::now());
    let mut rows = Vec::new();
    for plan in overdue {
        let mut state = fleet.state.lock();
        state.pools.abandon(&plan.machine);
        node.journal.note("move_given_up", &[("machine", &plan.machine), ("to", &plan.to)]);
        // One that may have been ordered keeps its row for the lease.
        if !state.is_held_back(&plan.machine) {
            rows.push(plan.machine.clone());
        }
    }
    emptying::drop_rows(fleet, &rows).await;
}

/// Writes a line for each pool of which something else is believed.
fn tell(fleet: &Fleet, told: &mut Telling<String, Balance>) {
    let state = fleet.state.lock();
    if state.list.machines.is_empty() || !told.is_due(clock::now()) {
        return;
    }
    for (pool, balance) in state.pools.balances(&seen_all(&state), &state.loads) {
        if !told.is_news(pool.clone(), balance) {
            continue;
        }
        fleet.node().journal.note(
            "pool_balance",
            &[
                ("pool", &pool),
                ("asked", &balance.asked),
                ("lasting", &balance.lasting),
                ("has", &balance.has),
                ("on_their_way", &balance.on_their_way),
                ("needs", &balance.needs),
                ("idle", &balance.idle),
            ],
        );
    }
}
