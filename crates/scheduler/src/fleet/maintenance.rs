//! Carrying maintenance waves with the decisions of the engine.

use crate::clock;
use crate::fleet::{CALL_LIMIT, Fleet, order_allowed, write_emptying};
use crate::metrics::Counter;
use crate::node::Node;
use crate::rows;
use celerythread_adapter::machine::{self, Authority};
use celerythread_adapter::store::{self, Name, Transaction};
use celerythread_adapter::wave;
use celerythread_engine::job::{decode, encode};
use celerythread_engine::maintenance::{Machine, Planner, Step, Wave};
use celerythread_engine::pools::Load;
use std::collections::{BTreeMap, BTreeSet};

/// Reads how far waves were under a former holder.
pub(crate) async fn load(node: &Node, planner: &mut Planner) -> bool {
    let page = node.store.all(rows::CONTROL, "", rows::WAVE_PREFIX, CALL_LIMIT).await;
    node.store_result(&page);
    let Ok(page) = page else { return false };
    for row in &page.rows {
        let number = row.key.strip_prefix(rows::WAVE_PREFIX).and_then(|key| key.parse().ok());
        if let (Some(number), Ok(wave)) = (number, decode::<Wave>(&row.value)) {
            planner.add(number, wave);
        }
    }
    true
}

/// Takes in waves that operators have asked for since.
pub(crate) async fn take_new(node: &Node, planner: &mut Planner) {
    let waves: Vec<wave::Wave> = node.waves.read().values().cloned().collect();
    for wave in waves {
        if planner.wave(wave.number).is_none() {
            let fresh = Wave {
                machines: wave.machines.clone(),
                at_once: wave.at_once.max(1),
                ..Wave::default()
            };
            planner.add(wave.number, fresh);
            report(node, wave.number, wave::State::Running).await;
        }
    }
}

/// Takes open waves a step further.
pub(crate) async fn step(fleet: &mut Fleet, loads: &BTreeMap<String, Load>) {
    let node = fleet.owner.node.clone();
    let machines: BTreeMap<String, Machine> = fleet.machines().iter().map(seen).collect();
    let emptying: BTreeSet<String> = node.view.read().emptying.values().cloned().collect();
    let empty: BTreeSet<String> =
        loads.values().flat_map(|load| load.empty.iter().cloned()).collect();
    for step in fleet.waves.plan(&machines, &emptying, &empty, clock::now()) {
        match step {
            Step::Empty { machine, minion } => {
                write_emptying(&node, &[(machine, minion)]).await;
            }
            Step::Begin { machine, wave } => begin(fleet, &machine, wave).await,
            Step::Complete { wave } => {
                if report(&node, wave, wave::State::Completed).await {
                    fleet.waves.completed(wave);
                    keep(&node, &fleet.waves, wave).await;
                }
            }
        }
    }
}

/// A machine as the engine sees it, with its name.
pub(crate) fn seen(machine: &machine::Machine) -> (String, Machine) {
    let seen = Machine {
        minion: machine.minion.clone().filter(|id| !id.is_empty()),
        up: machine.state == machine::State::Up,
        in_maintenance: machine.state == machine::State::Upkeep,
    };
    (machine.name.clone(), seen)
}

async fn begin(fleet: &mut Fleet, machine: &str, wave: u64) {
    let node = fleet.owner.node.clone();
    if fleet.is_held_back(machine) || !order_allowed(&fleet.owner) {
        return;
    }
    fleet.note_order(machine);
    fleet.waves.ordered(machine, clock::now());
    let token = fleet.owner.token;
    let by = Authority { holder: node.me.clone(), token };
    let answer = fleet.client.upkeep(machine, wave, &by, CALL_LIMIT).await;
    let outcome = match &answer {
        Ok(Ok(())) => "begun".to_owned(),
        Ok(Err(reason)) => reason.to_string(),
        Err(failure) => failure.to_string(),
    };
    node.journal.note(
        "maintenance_ordered",
        &[("machine", &machine), ("wave", &wave), ("token", &token), ("outcome", &outcome)],
    );
    if !matches!(answer, Ok(Ok(()))) {
        return;
    }
    node.metrics.count(Counter::Maintenances);
    fleet.waves.begun(wave, machine);
    keep(&node, &fleet.waves, wave).await;
}

/// Keeps how far a wave is.
async fn keep(node: &Node, planner: &Planner, number: u64) {
    let Some(wave) = planner.wave(number) else { return };
    let name = rows::control(rows::WAVE_PREFIX, &number.to_string());
    let change = Transaction { writes: vec![(name, encode(wave))], ..Transaction::default() };
    // If this is lost, a later holder asks for the same maintenance again, which changes nothing.
    let _ = node.commit(&change, CALL_LIMIT).await;
}

/// Tells operators how far a wave is; true if it is written.
async fn report(node: &Node, number: u64, state: wave::State) -> bool {
    let name = Name::new(store::STATUS_TABLE, "", format!("{}{number}", wave::KEY_PREFIX));
    let change =
        Transaction { writes: vec![(name, wave::status(number, state))], ..Transaction::default() };
    let written = node.commit(&change, CALL_LIMIT).await.is_ok();
    if written {
        node.journal
            .note("wave_reported", &[("wave", &number), ("state", &format_args!("{state:?}"))]);
    }
    written
}
