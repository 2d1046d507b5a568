//! Carrying maintenance waves with the decisions of the engine.

use super::emptying::{self, Leaver};
use super::telling::Telling;
use super::{CALL_LIMIT, Fleet, Ordered, State, order_all};
use crate::clock;
use crate::metrics::Counter;
use crate::node::Node;
use crate::rows;
use celerythread_adapter::machine;
use celerythread_adapter::store::{self, MAX_TRANSACTION_ENTRIES, Name, Transaction};
use celerythread_adapter::wave;
use celerythread_engine::job::{decode, encode};
use celerythread_engine::maintenance::{Extent, Machine, Occupation, Step, Wave};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

/// Time between two steps of the waves: a fraction of the two seconds that a machine is down.
const TICK: Duration = Duration::from_millis(150);

/// Reads how far waves were under a former holder; true if it is read.
pub(crate) async fn load(fleet: &Fleet) -> bool {
    let node = fleet.node();
    let waves = node.store.read_partition(rows::FLEET, "", rows::WAVE_PREFIX, CALL_LIMIT).await;
    node.store_result(&waves);
    let begun = node.store.read_partition(rows::FLEET, "", rows::BEGUN_PREFIX, CALL_LIMIT).await;
    node.store_result(&begun);
    let (Ok(waves), Ok(begun)) = (waves, begun) else { return false };
    let mut state = fleet.state.lock();
    for row in &waves.rows {
        let number = row.key.strip_prefix(rows::WAVE_PREFIX).and_then(|key| key.parse().ok());
        if let (Some(number), Ok(wave)) = (number, decode::<Wave>(&row.value)) {
            state.waves.add(number, wave);
        }
    }
    for (number, machine) in begun.rows.iter().filter_map(|row| rows::begun_machine(&row.key)) {
        state.waves.begun(number, machine);
    }
    true
}

/// Carries waves until the duty is lost.
pub(crate) async fn carry_forever(fleet: &Fleet) {
    let mut told = Telling::default();
    while !fleet.owner.is_stopped() {
        take_new(fleet).await;
        if fleet.state.lock().waves.is_busy() {
            step(fleet).await;
            keep_begun(fleet).await;
            tell(fleet, &mut told);
        }
        if !fleet.owner.pause(TICK).await {
            return;
        }
    }
}

/// Takes in waves that operators have asked for since.
async fn take_new(fleet: &Fleet) {
    let node = fleet.node();
    let waves: Vec<wave::Wave> = node.waves.read().values().cloned().collect();
    for wave in waves {
        if fleet.state.lock().waves.wave(wave.number).is_some() {
            continue;
        }
        let fresh = Wave {
            machines: wave.machines.clone(),
            at_once: wave.at_once.max(1),
            window_ms: (wave.duration_s.max(0.0) * 1000.0) as u64,
            seen_ms: clock::wall_ms(),
            ..Wave::default()
        };
        fleet.state.lock().waves.add(wave.number, fresh);
        keep(fleet, wave.number).await;
        report(node, wave.number, wave::State::Running).await;
    }
}

/// Takes open waves a step further.
async fn step(fleet: &Fleet) {
    if fleet.state.lock().list.machines.is_empty() {
        return;
    }
    let node = fleet.node();
    let view: BTreeSet<String> = node.view.read().emptying.values().cloned().collect();
    let (mut leavers, mut downs, mut complete) = (Vec::new(), Vec::new(), Vec::new());
    for step in plan(&mut fleet.state.lock(), &view) {
        match step {
            Step::Empty { machine, minion } => leavers.push((machine, minion)),
            Step::Begin { machine, wave } => downs.push((machine, wave)),
            Step::Complete { wave } => complete.push(wave),
        }
    }
    // A machine that is off needs no emptying, but a later holder must know of its order, too.
    let unnamed: Vec<(String, String)> = {
        let view = node.view.read();
        let named = |machine: &String| view.emptying.contains_key(machine);
        let machines = downs.iter().map(|(machine, _)| machine.clone());
        machines.filter(|machine| !named(machine)).map(|machine| (machine, String::new())).collect()
    };
    let unwritten = empty(fleet, unnamed).await;
    downs.retain(|(machine, _)| !unwritten.contains(machine));
    let orders = downs.into_iter();
    let orders = orders.map(|(machine, wave)| async move { begin(fleet, &machine, wave).await });
    futures::join!(order_all(orders), empty(fleet, leavers));
    for wave in complete {
        if report(node, wave, wave::State::Completed).await {
            fleet.state.lock().waves.completed(wave);
            keep(fleet, wave).await;
        }
    }
}

fn plan(state: &mut State, emptying: &BTreeSet<String>) -> Vec<Step> {
    let machines = seen_all(state);
    let empty = state.empty_minions();
    state.waves.plan(&machines, emptying, &empty, clock::now(), clock::wall_ms())
}

/// All machines as the engine sees them.
///
/// One that is about to move, or on its way, is not up for a wave: its callers wait for it, and it is
/// looked at again where it arrives.  Nor is one that was ordered lately: emptied now, it would stand
/// empty until it may be ordered again.
fn seen_all(state: &State) -> BTreeMap<String, Machine> {
    let mut work = Work::new(state);
    let see = |machine: &machine::Machine| {
        let (name, mut seen) = seen(machine);
        seen.occupation = work.occupation(machine);
        let waits = state.is_held_back(&name) || state.dropping.contains(&name);
        seen.up &= !waits && !state.pools.is_underway(&name);
        (name, seen)
    };
    state.list.machines.iter().map(see).collect()
}

/// A machine as the platform lists it, with its name.
pub(crate) fn seen(machine: &machine::Machine) -> (String, Machine) {
    let seen = Machine {
        minion: machine.minion.clone(),
        up: machine.state == machine::State::Up,
        in_maintenance: machine.state == machine::State::Upkeep,
        ..Machine::default()
    };
    (machine.name.clone(), seen)
}

/// What the owners tell of the machines' work.
struct Work<'a> {
    /// Thousandths of cores in use on minions without lasting tasks.
    in_use: HashMap<&'a str, u64>,
    /// Machines that each pool can do without.
    surplus: BTreeMap<String, usize>,
}

impl<'a> Work<'a> {
    fn new(state: &'a State) -> Self {
        let free = state.loads.values().flat_map(|load| &load.free);
        let balances = state.pools.balances(&super::pools::seen_all(state), &state.loads);
        Self {
            in_use: free.map(|(minion, cpu)| (minion.as_str(), *cpu)).collect(),
            surplus: balances.into_iter().map(|(pool, one)| (pool, one.surplus())).collect(),
        }
    }

    fn occupation(&mut self, machine: &machine::Machine) -> Occupation {
        let Some(minion) = machine.minion.as_deref() else {
            return Occupation::Idle;
        };
        match self.in_use.get(minion) {
            None => Occupation::Lasting,
            Some(0) => match self.surplus.get_mut(&machine.pool).filter(|left| **left > 0) {
                Some(left) => {
                    *left -= 1;
                    Occupation::Idle
                }
                None => Occupation::Working(0),
            },
            Some(cpu) => Occupation::Working(*cpu),
        }
    }
}

/// Has machines emptied, each named with its minion.  Returns those whose row could not be written;
/// they are chosen again.
async fn empty(fleet: &Fleet, machines: Vec<(String, String)>) -> BTreeSet<String> {
    if machines.is_empty() {
        return BTreeSet::new();
    }
    let pools: HashMap<String, String> = {
        let state = fleet.state.lock();
        let machines = state.list.machines.iter();
        machines.map(|machine| (machine.name.clone(), machine.pool.clone())).collect()
    };
    let leaver = |(machine, minion): (String, String)| {
        let pool = pools.get(&machine).cloned().unwrap_or_default();
        Leaver { machine, pool, minion }
    };
    let left = emptying::begin(fleet, machines.into_iter().map(leaver).collect()).await;
    let mut state = fleet.state.lock();
    left.iter().for_each(|machine| state.waves.not_asked(machine));
    left
}

/// Orders a machine down.
async fn begin(fleet: &Fleet, machine: &str, wave: u64) {
    let node = fleet.node();
    if !fleet.may_order() || fleet.state.lock().is_held_back(machine) {
        return;
    }
    fleet.note_order(machine);
    fleet.state.lock().waves.ordered(machine, clock::now());
    let by = fleet.authority();
    let answer = fleet.client.start_upkeep(machine, wave, &by, CALL_LIMIT).await;
    let (ordered, outcome) = Ordered::read(answer);
    node.journal.note(
        "maintenance_ordered",
        &[("machine", &machine), ("wave", &wave), ("token", &by.token), ("outcome", &outcome)],
    );
    let mut state = fleet.state.lock();
    match ordered {
        Ordered::Done => {
            node.metrics.count(Counter::Maintenances);
            state.waves.begun(wave, machine);
            state.unkept.insert((wave, machine.into()));
        }
        Ordered::PutOff => state.release_order(machine),
        // Ordered again when the list has had time to show it.
        Ordered::Refused | Ordered::Unknown => {}
    }
}

/// Keeps which machines' maintenance has begun.
///
/// If this is lost, a later holder asks for the same maintenance again, which changes nothing.
async fn keep_begun(fleet: &Fleet) {
    let unkept: Vec<(u64, String)> = fleet.state.lock().unkept.iter().cloned().collect();
    for chunk in unkept.chunks(MAX_TRANSACTION_ENTRIES) {
        let row = |(wave, machine): &(u64, String)| (rows::begun(*wave, machine), Vec::new());
        let writes = chunk.iter().map(row).collect();
        let change = Transaction { writes, ..Transaction::default() };
        if let Err(error) = fleet.node().commit(&change, CALL_LIMIT).await {
            let machines = unkept.len();
            let fields: [(&'static str, &dyn std::fmt::Display); 2] =
                [("machines", &machines), ("reason", &error)];
            fleet.node().journal.warn("maintenance_unkept", &fields);
            return;
        }
        let mut state = fleet.state.lock();
        state.unkept.retain(|begun| !chunk.contains(begun));
    }
}

/// Keeps a wave itself; which of its machines have begun has rows of its own.
async fn keep(fleet: &Fleet, number: u64) {
    let wave = fleet.state.lock().waves.wave(number).cloned();
    let Some(wave) = wave else { return };
    let wave = Wave { begun: BTreeSet::new(), ..wave };
    let name = Name::new(rows::FLEET, "", format!("{}{number}", rows::WAVE_PREFIX));
    let change = Transaction { writes: vec![(name, encode(&wave))], ..Transaction::default() };
    if let Err(error) = fleet.node().commit(&change, CALL_LIMIT).await {
        // A later holder takes the wave from the operators again, with a new window.
        fleet.node().journal.warn("wave_unkept", &[("wave", &number), ("reason", &error)]);
    }
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

/// Writes a line for each wave that got further.
fn tell(fleet: &Fleet, told: &mut Telling<u64, Extent>) {
    let now = clock::now();
    if !told.is_due(now) {
        return;
    }
    let state = fleet.state.lock();
    let machines: BTreeMap<String, Machine> = state.list.machines.iter().map(seen).collect();
    for number in state.waves.open() {
        let extent = state.waves.extent(number, &machines, now);
        if !told.is_news(number, extent) {
            continue;
        }
        let left_ms = state
            .waves
            .wave(number)
            .map_or(0, |wave| (wave.seen_ms + wave.window_ms).saturating_sub(clock::wall_ms()));
        fleet.node().journal.note(
            "wave_progress",
            &[
                ("wave", &number),
                ("left", &extent.left),
                ("emptying", &extent.emptying),
                ("down", &extent.down),
                ("left_ms", &left_ms),
            ],
        );
    }
}
