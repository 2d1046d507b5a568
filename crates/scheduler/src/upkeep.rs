//! Carrying maintenance waves: one entry at a time, with the decisions of the engine.

use crate::clock;
use crate::metrics::Counter;
use crate::node::Node;
use crate::owner::{Former, Owner};
use crate::rows;
use celerythread_adapter::machine::{self, Authority, State};
use celerythread_adapter::store::{self, Name, Transaction};
use celerythread_adapter::wave;
use celerythread_engine::job::{decode, encode};
use celerythread_engine::upkeep::{Machine, Planner, Settings, Step, Wave};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// Time between two steps while a wave is open; each reads the list of machines.
const STEP: Duration = Duration::from_millis(350);

/// Time between two looks for new waves.
const IDLE: Duration = Duration::from_millis(500);

/// Longest wait for a call.
const CALL_LIMIT: Duration = Duration::from_millis(1000);

/// A holder whose last renewal is older gives no order: another one may have taken over when
/// it has been silent for the takeover time, and then waits the lease before its own orders.
const FRESH_RENEWAL: Duration = Duration::from_millis(1500);

/// Carries the duty until it is lost.
pub(crate) async fn carry(owner: Arc<Owner>) {
    let node = owner.node.clone();
    // Where the platform doesn't compare tokens, an order that the former holder has sent may
    // still come; two holders taking turns within the lease would break the promise of one.
    if owner.former != Former::None && !owner.pause(node.settings.upkeep_lease.0).await {
        return;
    }
    let settings = Settings { duration: node.settings.upkeep_duration.0, ..Settings::default() };
    let mut planner = Planner::new(settings);
    while !load(&node, &mut planner).await {
        if !owner.pause(IDLE).await {
            return;
        }
    }
    loop {
        take_new(&node, &mut planner).await;
        let pause = if planner.is_busy() {
            step(&owner, &mut planner).await;
            STEP
        } else {
            IDLE
        };
        if !owner.pause(pause).await {
            return;
        }
    }
}

/// Reads how far waves were under a former holder.
async fn load(node: &Node, planner: &mut Planner) -> bool {
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

async fn take_new(node: &Node, planner: &mut Planner) {
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

async fn step(owner: &Arc<Owner>, planner: &mut Planner) {
    let node = &owner.node;
    let Some(client) = &node.machines else { return };
    let machines = match client.list(CALL_LIMIT).await {
        Ok(machines) => machines,
        Err(failure) => {
            node.journal.warn("machines_unread", &[("reason", &failure)]);
            return;
        }
    };
    let machines: BTreeMap<String, Machine> = machines.into_iter().map(seen).collect();
    let (emptying, empty) = {
        let view = node.view.read();
        let emptying: BTreeSet<String> = view.emptying.values().cloned().collect();
        (emptying, view.empty.clone())
    };
    for step in planner.plan(&machines, &emptying, &empty, clock::now()) {
        match step {
            Step::Empty { machine, minion } => write_emptying(node, &machine, &minion).await,
            Step::Begin { machine, wave } => {
                let minion = machines.get(&machine).and_then(|machine| machine.minion.clone());
                begin(owner, client, planner, &machine, minion, wave).await;
            }
            Step::Complete { wave } => {
                if report(node, wave, wave::State::Completed).await {
                    planner.completed(wave);
                    keep(node, planner, wave, Vec::new()).await;
                }
            }
        }
    }
}

fn seen(machine: machine::Machine) -> (String, Machine) {
    let seen = Machine {
        minion: machine.minion.filter(|id| !id.is_empty()),
        up: machine.state == State::Up,
        in_upkeep: machine.state == State::Upkeep,
    };
    (machine.name, seen)
}

async fn begin(
    owner: &Arc<Owner>,
    client: &machine::Client,
    planner: &mut Planner,
    machine: &str,
    minion: Option<String>,
    wave: u64,
) {
    let node = &owner.node;
    if owner.is_stopped() || node.is_stopping() || node.since_renewal() > FRESH_RENEWAL {
        return;
    }
    planner.ordered(machine, clock::now());
    let by = Authority { holder: node.me.clone(), token: owner.token };
    let answer = client.upkeep(machine, wave, &by, CALL_LIMIT).await;
    let outcome = match &answer {
        Ok(Ok(())) => "begun".to_owned(),
        Ok(Err(reason)) => reason.to_string(),
        Err(failure) => failure.to_string(),
    };
    node.journal.note(
        "upkeep_ordered",
        &[("machine", &machine), ("wave", &wave), ("token", &owner.token), ("outcome", &outcome)],
    );
    if !matches!(answer, Ok(Ok(()))) {
        return;
    }
    node.metrics.count(Counter::Upkeeps);
    planner.begun(wave, machine);
    let mut drops = vec![rows::control(rows::EMPTYING_PREFIX, machine)];
    drops.extend(minion.map(|minion| rows::control(rows::EMPTY_PREFIX, &minion)));
    keep(node, planner, wave, drops).await;
}

/// Keeps how far a wave is.
async fn keep(node: &Node, planner: &Planner, number: u64, drops: Vec<Name>) {
    let Some(wave) = planner.wave(number) else { return };
    let name = rows::control(rows::WAVE_PREFIX, &number.to_string());
    let change =
        Transaction { writes: vec![(name, encode(wave))], drops, ..Transaction::default() };
    // If this is lost, a later holder asks for the same upkeep again, which changes nothing.
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

async fn write_emptying(node: &Node, machine: &str, minion: &str) {
    let name = rows::control(rows::EMPTYING_PREFIX, machine);
    let change =
        Transaction { writes: vec![(name, minion.as_bytes().to_vec())], ..Transaction::default() };
    if node.commit(&change, CALL_LIMIT).await.is_ok() {
        node.journal.note("machine_emptying", &[("machine", &machine), ("minion", &minion)]);
    }
}

/// Writes that minions which are to be emptied are empty.
pub(crate) async fn write_empty(node: &Node, minions: &[Arc<str>]) {
    let writes: Vec<_> =
        minions.iter().map(|id| (rows::control(rows::EMPTY_PREFIX, id), vec![1])).collect();
    let change = Transaction { writes, ..Transaction::default() };
    if node.commit(&change, CALL_LIMIT).await.is_ok() {
        let mut view = node.view.write();
        for id in minions {
            view.empty.insert(id.to_string());
            node.journal.note("minion_empty", &[("minion", id)]);
        }
    }
}
