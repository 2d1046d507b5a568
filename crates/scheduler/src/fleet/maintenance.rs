//! Runs maintenance waves according to the decisions of the engine.

use super::emptying::{self, Target};
use super::log_limiter::LogLimiter;
use super::{CALL_TIMEOUT, Controller, OrderOutcome, State, order_all};
use crate::clock;
use crate::metrics::Counter;
use crate::rows;
use celerythread_adapter::machine;
use celerythread_adapter::store::{self, MAX_TRANSACTION_ENTRIES, Name, Transaction};
use celerythread_adapter::wave;
use celerythread_engine::job::{decode, encode};
use celerythread_engine::maintenance::{Action, Machine, Occupation, Progress, Wave};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::time::Duration;

/// Interval between two steps of the waves, short against the two seconds that a machine is down.
const STEP_INTERVAL: Duration = Duration::from_millis(150);

/// Reads the progress of waves that a former holder stored; true on success.
pub(crate) async fn restore(controller: &Controller) -> bool {
    let node = controller.node();
    let waves = node.store.read_partition(rows::FLEET, "", rows::WAVE_PREFIX, CALL_TIMEOUT).await;
    node.record_store_result(&waves);
    let begun = node.store.read_partition(rows::FLEET, "", rows::BEGUN_PREFIX, CALL_TIMEOUT).await;
    node.record_store_result(&begun);
    let (Ok(waves), Ok(begun)) = (waves, begun) else { return false };
    let mut state = controller.state.lock();
    for row in &waves.rows {
        let number = row.key.strip_prefix(rows::WAVE_PREFIX).and_then(|key| key.parse().ok());
        if let (Some(number), Ok(wave)) = (number, decode::<Wave>(&row.value)) {
            state.waves.add_wave(number, wave, clock::now());
        }
    }
    for (number, machine) in begun.rows.iter().filter_map(|row| rows::begun_machine(&row.key)) {
        state.waves.record_start(number, machine);
    }
    true
}

/// Runs waves until this entry loses the cell.
pub(crate) async fn run_forever(controller: &Controller) {
    let mut limiter = LogLimiter::default();
    while !controller.owner.is_stopped() {
        add_new_waves(controller).await;
        if controller.state.lock().waves.has_open_waves() {
            advance_waves(controller).await;
            save_starts(controller).await;
            log_progress(controller, &mut limiter);
        }
        if !controller.owner.pause(STEP_INTERVAL).await {
            return;
        }
    }
}

/// Adds the waves that operators have requested since the last step.
async fn add_new_waves(controller: &Controller) {
    let node = controller.node();
    let waves: Vec<wave::Wave> = node.waves.read().values().cloned().collect();
    for wave in waves {
        if controller.state.lock().waves.wave(wave.number).is_some() {
            continue;
        }
        let fresh = Wave {
            machines: wave.machines.clone(),
            at_once: wave.at_once.max(1),
            window_ms: (wave.duration_s.max(0.0) * 1000.0) as u64,
            seen_ms: clock::wall_ms(),
            ..Wave::default()
        };
        controller.state.lock().waves.add_wave(wave.number, fresh, clock::now());
        save_wave(controller, wave.number).await;
        report_wave(controller, wave.number, wave::State::Running).await;
    }
}

/// Carries out the next steps of all open waves.
async fn advance_waves(controller: &Controller) {
    let must_wait = {
        let state = controller.state.lock();
        state.list.machines.is_empty() || state.unrecorded.has_orders()
    };
    if must_wait {
        return;
    }
    let node = controller.node();
    let emptying_minions: BTreeSet<String> = node.view.read().emptying.values().cloned().collect();
    let (mut targets, mut starts, mut complete) = (Vec::new(), Vec::new(), Vec::new());
    let mut kept = Vec::new();
    for step in plan_steps(&mut controller.state.lock(), &emptying_minions) {
        match step {
            Action::Empty { machine, minion } => targets.push((machine, minion)),
            Action::Keep { machine, minion } => {
                node.journal
                    .info("emptying_cancelled", &[("machine", &machine), ("minion", &minion)]);
                kept.push(machine);
            }
            Action::Begin { machine, wave } => starts.push((machine, wave)),
            Action::Complete { wave } => complete.push(wave),
        }
    }
    emptying::delete_rows(controller, &kept).await;
    // A machine that is off need not be emptied, but a later holder must know of its order too.
    let without_row: Vec<(String, String)> = {
        let view = node.view.read();
        let has_row = |machine: &String| view.emptying.contains_key(machine);
        let machines = starts.iter().map(|(machine, _)| machine.clone());
        machines
            .filter(|machine| !has_row(machine))
            .map(|machine| (machine, String::new()))
            .collect()
    };
    let unwritten = request_emptying(controller, without_row).await;
    starts.retain(|(machine, _)| !unwritten.contains(machine));
    let orders = starts.into_iter();
    let orders = orders
        .map(|(machine, wave)| async move { order_maintenance(controller, &machine, wave).await });
    futures::join!(order_all(orders), request_emptying(controller, targets));
    for wave in complete {
        if report_wave(controller, wave, wave::State::Completed).await {
            controller.state.lock().waves.record_completion(wave);
            save_wave(controller, wave).await;
        }
    }
}

fn plan_steps(state: &mut State, emptying: &BTreeSet<String>) -> Vec<Action> {
    let machines = machine_views(state);
    let empty = state.empty_minions();
    state.waves.plan(&machines, emptying, &empty, clock::now(), clock::wall_ms())
}

/// All machines as the engine sees them.
///
/// A machine that is about to move, or is moving, does not count as up: the callers of its new pool
/// wait for it, and it is considered again once it has arrived.  Neither does one with a recent
/// order: emptied now, it would stay empty until it may be ordered again.
fn machine_views(state: &State) -> BTreeMap<String, Machine> {
    let mut workload = Workload::new(state);
    let view_of = |machine: &machine::Machine| {
        let (name, mut machine_view) = machine_view(machine);
        machine_view.occupation = workload.occupation(machine);
        machine_view.time_to_empty = workload.time_to_empty(machine);
        let is_moving = state.pools.is_moving(&name);
        let is_recent = state.has_recent_order(&name);
        let waits = is_recent || state.deleting_rows.contains(&name);
        machine_view.up &= !waits && !is_moving;
        machine_view.may_be_down = is_recent && !is_moving;
        // A minion that has just come up may not have been contacted by its owner yet.
        machine_view.out_of_service = is_moving || is_recent || workload.is_unavailable(machine);
        (name, machine_view)
    };
    state.list.machines.iter().map(view_of).collect()
}

/// The name of a listed machine, and the machine as the engine sees it.
pub(crate) fn machine_view(machine: &machine::Machine) -> (String, Machine) {
    let machine_view = Machine {
        minion: machine.minion.clone(),
        pool: machine.pool.clone(),
        up: machine.state == machine::State::Up,
        in_maintenance: machine.state == machine::State::Upkeep,
        ..Machine::default()
    };
    (machine.name.clone(), machine_view)
}

/// The machines' work as their owners reported it.
struct Workload<'a> {
    /// Millicores in use, by minion, for minions without long-running tasks.
    cpu_in_use: HashMap<&'a str, u64>,
    /// Milliseconds until the runs of such minions should have ended, unless nothing runs there.
    busy_ms: HashMap<&'a str, u64>,
    /// Minions that accept no tasks.
    unavailable: HashSet<&'a str>,
    /// Number of machines that each pool can spare.
    surplus: BTreeMap<String, usize>,
}

impl<'a> Workload<'a> {
    fn new(state: &'a State) -> Self {
        let free = state.loads.values().flat_map(|load| &load.free);
        let busy = state.loads.values().flat_map(|load| &load.busy);
        let balances = state.pools.balances(&super::pools::machine_views(state), &state.loads);
        Self {
            busy_ms: busy.map(|(minion, ms)| (minion.as_str(), *ms)).collect(),
            unavailable: state.unavailable_minions(),
            cpu_in_use: free.map(|(minion, cpu)| (minion.as_str(), *cpu)).collect(),
            surplus: balances.into_iter().map(|(pool, one)| (pool, one.surplus())).collect(),
        }
    }

    /// Time until a machine's tasks should have ended; `None` if unknown, or if it has long-running
    /// ones.
    fn time_to_empty(&self, machine: &machine::Machine) -> Option<Duration> {
        let minion = machine.minion.as_deref().filter(|id| self.cpu_in_use.contains_key(id))?;
        Some(Duration::from_millis(self.busy_ms.get(minion).copied().unwrap_or(0)))
    }

    fn is_unavailable(&self, machine: &machine::Machine) -> bool {
        machine.minion.as_deref().is_some_and(|id| self.unavailable.contains(id))
    }

    fn occupation(&mut self, machine: &machine::Machine) -> Occupation {
        let Some(minion) = machine.minion.as_deref() else {
            return Occupation::Idle;
        };
        match self.cpu_in_use.get(minion) {
            None => Occupation::LongRunning,
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

/// Requests the emptying of machines, given with their minions.  Returns the machines whose row
/// could not be written; the planner chooses them again.
async fn request_emptying(
    controller: &Controller,
    machines: Vec<(String, String)>,
) -> BTreeSet<String> {
    if machines.is_empty() {
        return BTreeSet::new();
    }
    let pools: HashMap<String, String> = {
        let state = controller.state.lock();
        let machines = state.list.machines.iter();
        machines.map(|machine| (machine.name.clone(), machine.pool.clone())).collect()
    };
    let target = |(machine, minion): (String, String)| {
        let pool = pools.get(&machine).cloned().unwrap_or_default();
        Target { machine, pool, minion }
    };
    let unwritten = emptying::request(controller, machines.into_iter().map(target).collect()).await;
    let mut state = controller.state.lock();
    unwritten.iter().for_each(|machine| state.waves.cancel_emptying(machine));
    unwritten
}

/// Orders the maintenance of a machine.
async fn order_maintenance(controller: &Controller, machine: &str, wave: u64) {
    let node = controller.node();
    if !controller.may_order() || controller.state.lock().has_recent_order(machine) {
        return;
    }
    controller.record_order(machine);
    controller.state.lock().waves.record_order(machine, clock::now());
    let by = controller.authority();
    let answer = controller.client.start_upkeep(machine, wave, &by, CALL_TIMEOUT).await;
    let (ordered, outcome) = OrderOutcome::from_answer(answer);
    node.journal.info(
        "maintenance_ordered",
        &[("machine", &machine), ("wave", &wave), ("token", &by.token), ("outcome", &outcome)],
    );
    let mut state = controller.state.lock();
    match ordered {
        OrderOutcome::Done => {
            node.metrics.count(Counter::Maintenances);
            state.waves.record_start(wave, machine);
            state.unsaved_starts.insert((wave, machine.into()));
        }
        OrderOutcome::Deferred => state.revert_order(machine),
        // Ordered again once the list has had time to show the maintenance.
        OrderOutcome::Refused | OrderOutcome::Unknown => {}
    }
}

/// Stores which machines' maintenance has begun.
///
/// If this is lost, a later holder orders the same maintenance again, which has no effect.
async fn save_starts(controller: &Controller) {
    let unsaved_starts: Vec<(u64, String)> =
        controller.state.lock().unsaved_starts.iter().cloned().collect();
    for chunk in unsaved_starts.chunks(MAX_TRANSACTION_ENTRIES) {
        let row = |(wave, machine): &(u64, String)| (rows::begun(*wave, machine), Vec::new());
        let writes = chunk.iter().map(row).collect();
        let change = Transaction { writes, ..Transaction::default() };
        if let Err(error) = controller.node().commit(&change, CALL_TIMEOUT).await {
            let machines = unsaved_starts.len();
            let fields: [(&'static str, &dyn std::fmt::Display); 2] =
                [("machines", &machines), ("reason", &error)];
            controller.node().journal.warn("maintenance_unkept", &fields);
            return;
        }
        let mut state = controller.state.lock();
        state.unsaved_starts.retain(|begun| !chunk.contains(begun));
    }
}

/// Stores a wave without its begun machines, which have rows of their own.
async fn save_wave(controller: &Controller, number: u64) {
    let wave = controller.state.lock().waves.wave(number).cloned();
    let Some(wave) = wave else { return };
    let wave = Wave { begun: BTreeSet::new(), ..wave };
    let name = Name::new(rows::FLEET, "", format!("{}{number}", rows::WAVE_PREFIX));
    let change = as_holder(controller, vec![(name, encode(&wave))]);
    if let Err(error) = controller.node().commit(&change, CALL_TIMEOUT).await {
        // A later holder reads the operators' request again, and the window restarts.
        controller.node().journal.warn("wave_unkept", &[("wave", &number), ("reason", &error)]);
    }
}

/// Writes that are carried out only while this entry holds the fleet's cell.  A former holder that
/// was paused would otherwise put the state of a completed wave back to running.
fn as_holder(controller: &Controller, writes: Vec<(Name, Vec<u8>)>) -> Transaction {
    let conditions = vec![(rows::cell(rows::FLEET_CELL), controller.owner.token)];
    Transaction { across_parts: true, conditions, writes, ..Transaction::default() }
}

/// Writes a wave's state for operators; true on success.
async fn report_wave(controller: &Controller, number: u64, state: wave::State) -> bool {
    let node = controller.node();
    let name = Name::new(store::STATUS_TABLE, "", format!("{}{number}", wave::KEY_PREFIX));
    let change = as_holder(controller, vec![(name, wave::status(number, state))]);
    let written = node.commit(&change, CALL_TIMEOUT).await.is_ok();
    if written {
        node.journal
            .info("wave_reported", &[("wave", &number), ("state", &format_args!("{state:?}"))]);
    }
    written
}

/// Logs each open wave whose progress has changed.
fn log_progress(controller: &Controller, limiter: &mut LogLimiter<u64, Progress>) {
    let now = clock::now();
    if !limiter.begin_round_if_due(now) {
        return;
    }
    let state = controller.state.lock();
    let machines: BTreeMap<String, Machine> =
        state.list.machines.iter().map(machine_view).collect();
    for number in state.waves.open_waves() {
        let progress = state.waves.progress(number, &machines, now);
        if !limiter.record_change(number, progress) {
            continue;
        }
        let left_ms = state
            .waves
            .wave(number)
            .map_or(0, |wave| (wave.seen_ms + wave.window_ms).saturating_sub(clock::wall_ms()));
        controller.node().journal.info(
            "wave_progress",
            &[
                ("wave", &number),
                ("left", &progress.left),
                ("emptying", &progress.emptying),
                ("down", &progress.down),
                ("held_back", &progress.held_back),
                ("left_ms", &left_ms),
            ],
        );
    }
}
