//! Moves machines between pools according to the decisions of the engine.

use super::emptying::{self, Target};
use super::log_limiter::LogLimiter;
use super::without_store;
use super::{CALL_TIMEOUT, Controller, OrderOutcome, State, order_all};
use crate::clock;
use crate::metrics::Counter;
use crate::node::Node;
use crate::peers;
use crate::rows;
use celerythread_adapter::machine;
use celerythread_adapter::store::{Name, Transaction};
use celerythread_engine::job::{decode, encode};
use celerythread_engine::pools::{Balance, History, Machine, Move};
use celerythread_engine::release::{Basis, PERMISSION_TERM, Standing};
use celerythread_wire::job::{Answer, Question};
use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

/// Shortest interval between two requests for the pools' demand.  A burst of some seconds must be
/// noticed well within its first second.
const STEP_INTERVAL: Duration = Duration::from_millis(200);

/// Interval for each pool, which replaces [`STEP_INTERVAL`] when there are many pools.  It limits
/// the requests to fifty a second, which take some 10 ms of processor time.
const STEP_INTERVAL_PER_POOL: Duration = Duration::from_millis(20);

/// Longest wait for the owners' answers before moves are planned with those that arrived: ten times
/// the usual round trip.
const LOAD_ANSWER_TIMEOUT: Duration = Duration::from_millis(100);

/// Reads the turns that a former holder stored; true on success, also if there are none.
pub(crate) async fn restore(controller: &Controller) -> bool {
    let node = controller.node();
    let row = node.store.get(rows::FLEET, "", rows::TURNS_KEY, CALL_TIMEOUT).await;
    node.record_store_result(&row);
    match row.map(|row| row.map(|row| decode::<History>(&row.value))) {
        Ok(Some(Ok(history))) => {
            let ago = Duration::from_millis(clock::wall_ms().saturating_sub(history.began_ms));
            let mut state = controller.state.lock();
            state.pools.resume_turn(clock::now() - ago);
            state.pools.restore_history(history);
        }
        Ok(Some(Err(error))) => node.journal.warn("turns_unreadable", &[("reason", &error)]),
        Ok(None) => {}
        Err(_) => return false,
    }
    true
}

/// Stores the turns for the next holder.
async fn save_turns(controller: &Controller) {
    let node = controller.node();
    let history = {
        let state = controller.state.lock();
        History { began_ms: state.turn_began_ms, ..state.pools.history().clone() }
    };
    let pool = history.turns.last().map(String::as_str).unwrap_or_default();
    node.journal.info("turn_began", &[("pool", &pool), ("turns", &history.turns.len())]);
    let name = Name::new(rows::FLEET, "", rows::TURNS_KEY);
    let change = Transaction { writes: vec![(name, encode(&history))], ..Transaction::default() };
    // If this is lost, the next holder lacks one turn until it has observed it itself.
    if let Err(error) = node.commit(&change, CALL_TIMEOUT).await {
        node.journal.warn("turns_unkept", &[("reason", &error)]);
    }
}

/// Moves machines until this entry loses the cell.
pub(crate) async fn move_forever(controller: &Arc<Controller>) {
    let mut limiter = LogLimiter::default();
    while !controller.owner.is_stopped() {
        let services = services(controller.node());
        request_loads(controller, &services).await;
        advance_moves(controller).await;
        log_balances(controller, &mut limiter);
        if !controller
            .owner
            .pause(STEP_INTERVAL.max(STEP_INTERVAL_PER_POOL * services.len() as u32))
            .await
        {
            return;
        }
    }
}

/// The services that have minions.
fn services(node: &Node) -> Vec<String> {
    let Some(configuration) = node.configuration() else { return Vec::new() };
    configuration.serving_pools().map(Into::into).collect()
}

/// Requests the demand of all pools from their owners, and waits up to [`LOAD_ANSWER_TIMEOUT`].
///
/// Later answers are received in the background during the next steps.  A longer wait for one slow
/// owner would delay the moves between all other pools.
async fn request_loads(controller: &Arc<Controller>, services: &[String]) {
    for service in services {
        if controller.state.lock().awaited_loads.insert(service.clone()) {
            async_std::task::spawn(request_load(controller.clone(), service.clone()));
        }
    }
    let until = clock::now() + LOAD_ANSWER_TIMEOUT;
    while clock::now() < until && !controller.state.lock().awaited_loads.is_empty() {
        controller.load_answered.wait(LOAD_ANSWER_TIMEOUT).await;
    }
    controller.state.lock().expire_loads();
}

async fn request_load(controller: Arc<Controller>, service: String) {
    let asked = clock::now();
    let question = Question::Load { service: service.clone() };
    let answer = peers::ask_owner(controller.node(), &service, question).await;
    let mut state = controller.state.lock();
    state.awaited_loads.remove(&service);
    if let Some(Answer::Load(load)) = answer {
        state.record_load(service, load, asked);
    }
    drop(state);
    controller.load_answered.wake();
}

/// Plans further moves, and carries out those that are due.
async fn advance_moves(controller: &Arc<Controller>) {
    let node = controller.node();
    if controller.state.lock().list.machines.is_empty() {
        return;
    }
    let standing = controller.standing();
    let Some(basis) = standing.basis() else {
        if standing.outage.is_some() {
            without_store::cancel_moves(controller);
        }
        keep_unrecorded_empty(controller).await;
        return;
    };
    // After an outage, nothing is planned before the rows of what was ordered in it are written.
    if !standing.is_alone() && !without_store::write_rows(controller).await {
        keep_unrecorded_empty(controller).await;
        return;
    }
    let Some(configuration) = node.configuration() else { return };
    let moves = plan_moves(&mut controller.state.lock(), configuration.spare_pool(), basis);
    if !standing.is_alone() && std::mem::take(&mut controller.state.lock().has_unsaved_turns) {
        save_turns(controller).await;
    }
    request_emptying(controller, &moves).await;
    if basis == Basis::Permission {
        without_store::request_permissions(controller, true).await;
    } else {
        keep_unrecorded_empty(controller).await;
    }
    order_ready(controller).await;
    cancel_overdue_moves(controller).await;
}

/// Repeats the requests to empty machines without rows, which the owners would forget.
async fn keep_unrecorded_empty(controller: &Arc<Controller>) {
    if !controller.owner.is_stopped() && !controller.state.lock().unrecorded.is_empty() {
        without_store::request_permissions(controller, false).await;
    }
}

/// Plans further moves, and notes if another turn began.
///
/// No owner could permit the move of a machine without a minion, so such a machine stays where it
/// is while orders rest on permissions.
fn plan_moves(state: &mut State, spare: Option<&str>, basis: Basis) -> Vec<Move> {
    let mut machines = machine_views(state);
    for machine in machines.values_mut() {
        machine.pinned |= basis == Basis::Permission && machine.minion.is_none();
    }
    let turns = state.pools.history().turns.clone();
    let moves = state.pools.plan(&machines, &state.loads, spare, clock::now());
    if state.pools.history().turns != turns {
        state.turn_began_ms = clock::wall_ms();
        state.has_unsaved_turns = true;
    }
    moves
}

/// All machines as the engine sees them.
pub(crate) fn machine_views(state: &State) -> BTreeMap<String, Machine> {
    let unavailable = state.unavailable_minions();
    let view = |machine| machine_view(machine, state, &unavailable);
    state.list.machines.iter().map(view).collect()
}

fn machine_view(
    machine: &machine::Machine,
    state: &State,
    unavailable: &HashSet<&str>,
) -> (String, Machine) {
    let name = machine.name.clone();
    let is_emptying = state.waves.is_emptying(&name);
    let is_unavailable = machine.minion.as_deref().is_some_and(|id| unavailable.contains(id));
    let machine_view = Machine {
        pool: machine.pool.clone(),
        minion: machine.minion.clone(),
        up: machine.state == machine::State::Up,
        pinned: is_emptying || state.has_recent_order(&name) || state.deleting_rows.contains(&name),
        out_of_service: is_emptying || is_unavailable,
        overdue: state.waves.is_overdue(&name, clock::now()),
    };
    (name, machine_view)
}

/// Requests the emptying of machines.  Where a row could not be written, the move is continued
/// without it during an outage, and cancelled otherwise.
async fn request_emptying(controller: &Controller, moves: &[Move]) {
    if moves.is_empty() {
        return;
    }
    let target = |plan: &Move| Target {
        machine: plan.machine.clone(),
        pool: plan.from.clone(),
        minion: plan.minion.clone().unwrap_or_default(),
    };
    let unwritten = emptying::request(controller, moves.iter().map(target).collect()).await;
    let is_alone = controller.standing().is_alone();
    let mut state = controller.state.lock();
    for plan in moves.iter().filter(|plan| unwritten.contains(&plan.machine)) {
        if is_alone && plan.minion.is_some() {
            state.unrecorded.insert(plan.machine.clone(), target(plan));
            let minion = plan.minion.as_deref().unwrap_or_default();
            controller.node().journal.info(
                "machine_emptying",
                &[("machine", &plan.machine), ("minion", &minion), ("by", &Basis::Permission)],
            );
        } else {
            state.pools.cancel_move(&plan.machine);
        }
    }
}

/// Orders the moves of machines that are empty.
async fn order_ready(controller: &Controller) {
    let ready_moves = ready_moves(&controller.state.lock(), &controller.standing());
    order_all(
        ready_moves.into_iter().map(|plan| async move { order_move(controller, &plan).await }),
    )
    .await;
}

fn ready_moves(state: &State, standing: &Standing) -> Vec<Move> {
    let empty = state.empty_minions();
    let is_empty = |plan: &Move| plan.minion.as_ref().is_none_or(|minion| empty.contains(minion));
    let is_ready = |plan: &&Move| match order_basis(state, standing, plan) {
        Some((Basis::Row, _)) => is_empty(plan),
        // It was given for a minion that is empty.
        Some((Basis::Permission, _)) => true,
        None => false,
    };
    state.pools.pending().filter(is_ready).cloned().collect()
}

/// What the order for a move rests on, and how long it may take; `None` if it may not be given.
fn order_basis(state: &State, standing: &Standing, plan: &Move) -> Option<(Basis, Duration)> {
    let permission_age = state.permits.age(plan.minion.as_ref(), clock::now());
    let has_row = !state.unrecorded.contains(&plan.machine);
    let basis = standing.may_order(has_row, permission_age)?;
    let timeout = match basis {
        Basis::Row => CALL_TIMEOUT,
        Basis::Permission => PERMISSION_TERM.saturating_sub(permission_age.unwrap_or_default()),
    };
    Some((basis, timeout))
}

/// Orders one move.
async fn order_move(controller: &Controller, plan: &Move) {
    let node = controller.node();
    let standing = controller.standing();
    let basis = {
        let mut state = controller.state.lock();
        let basis = order_basis(&state, &standing, plan);
        if basis.is_some() {
            state.unrecorded.record_order(&plan.machine, clock::now());
        }
        basis
    };
    let Some((basis, timeout)) = basis else { return };
    controller.record_order(&plan.machine);
    let by = controller.authority();
    let answer = controller.client.change_pool(&plan.machine, &plan.to, &by, timeout).await;
    let (ordered, outcome) = OrderOutcome::from_answer(answer);
    let waited = clock::now().since(plan.decided_at);
    node.journal.info(
        "move_ordered",
        &[
            ("machine", &plan.machine),
            ("from", &plan.from),
            ("to", &plan.to),
            ("reason", &plan.reason),
            ("by", &basis),
            ("token", &by.token),
            ("waited_ms", &waited.as_millis()),
            ("outcome", &outcome),
        ],
    );
    let mut state = controller.state.lock();
    match ordered {
        // The machine's row stays for the lease, and until the list shows another minion.  So
        // nothing is started on the old minion, which may stay listed for some seconds.
        OrderOutcome::Done => {
            node.metrics.count(Counter::Moves);
            if basis == Basis::Permission {
                node.metrics.count(Counter::MovesWithoutStore);
            }
            state.pools.record_order(&plan.machine, clock::now());
        }
        OrderOutcome::Unknown => state.pools.cancel_move(&plan.machine),
        OrderOutcome::Refused => {
            state.pools.cancel_move(&plan.machine);
            state.unrecorded.revert_order(&plan.machine);
            state.unrecorded.cancel(&plan.machine);
        }
        // Ordered again with the next step.
        OrderOutcome::Deferred => state.unrecorded.revert_order(&plan.machine),
    }
}

/// Cancels moves whose machines have not become empty in time.
async fn cancel_overdue_moves(controller: &Controller) {
    let node = controller.node();
    let overdue = controller.state.lock().pools.overdue_moves(clock::now());
    let mut rows = Vec::new();
    for plan in overdue {
        let mut state = controller.state.lock();
        state.pools.cancel_move(&plan.machine);
        node.journal.info("move_given_up", &[("machine", &plan.machine), ("to", &plan.to)]);
        let has_row = !state.unrecorded.contains(&plan.machine);
        state.unrecorded.cancel(&plan.machine);
        // A machine that may have been ordered keeps its row for the lease.
        if has_row && !state.has_recent_order(&plan.machine) {
            rows.push(plan.machine.clone());
        }
    }
    // While the store is unavailable the rows stay; they are stale afterwards.
    if !controller.standing().is_alone() {
        emptying::delete_rows(controller, &rows).await;
    }
}

/// Logs each pool whose balance has changed.
fn log_balances(controller: &Controller, limiter: &mut LogLimiter<String, Balance>) {
    let state = controller.state.lock();
    if state.list.machines.is_empty() || !limiter.begin_round_if_due(clock::now()) {
        return;
    }
    for (pool, balance) in state.pools.balances(&machine_views(&state), &state.loads) {
        if !limiter.record_change(pool.clone(), balance) {
            continue;
        }
        controller.node().journal.info(
            "pool_balance",
            &[
                ("pool", &pool),
                ("asked", &balance.demand),
                ("lasting", &balance.long_running),
                ("has", &balance.present),
                ("on_their_way", &balance.arriving),
                ("needs", &balance.needed),
                ("timely", &balance.timely),
                ("idle", &balance.idle),
            ],
        );
    }
}
