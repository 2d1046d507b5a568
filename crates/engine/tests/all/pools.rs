//! Moves of machines between pools.

use celerythread_engine::pools::{Load, Machine, Move, Planner, Settings};
use celerythread_engine::time::Time;
use std::collections::BTreeMap;
use std::time::Duration;

const CORES: u64 = 16_000;

/// Nine machines in each of the pools `a` and `b`, two in the spare pool.
fn machines() -> BTreeMap<String, Machine> {
    let mut machines = BTreeMap::new();
    for (pool, count) in [("a", 9), ("b", 9), ("spare", 2)] {
        for number in 0..count {
            let name = format!("{pool}-{number}");
            let minion = (pool != "spare").then(|| format!("minion-{name}"));
            let machine = Machine { pool: pool.into(), minion, up: true, ..Machine::default() };
            machines.insert(name, machine);
        }
    }
    machines
}

/// A pool with nine free minions and this much waiting.
fn load(pool: &str, waiting_core_s: u64) -> Load {
    Load {
        waiting: waiting_core_s * 1000,
        minion_cpu: CORES,
        free: (0..9).map(|number| (format!("minion-{pool}-{number}"), 0)).collect(),
        minions: 9,
        ..Load::default()
    }
}

fn loads(a: u64, b: u64) -> BTreeMap<String, Load> {
    BTreeMap::from([("a".into(), load("a", a)), ("b".into(), load("b", b))])
}

/// One queue asks for 240 cores of 144 while the other asks for nothing.
#[test]
fn a_burst_gets_idle_machines_before_spare_ones() {
    let mut planner = Planner::new(Settings::default());
    let moves = planner.plan(&machines(), &loads(240, 0), Some("spare"), Time(0));
    assert!(moves.iter().all(|plan| plan.to == "a"), "{moves:?}");
    let idle = moves.iter().filter(|plan| plan.from == "b").count();
    assert_eq!(idle, 6, "all machines that pool a lacks come from pool b");
}

#[test]
fn spare_machines_move_when_none_is_idle() {
    let mut planner = Planner::new(Settings::default());
    let moves = planner.plan(&machines(), &loads(200, 200), Some("spare"), Time(0));
    assert_eq!(moves.iter().filter(|plan| plan.from == "spare").count(), 2);
    assert_eq!(moves.len(), 2);
}

#[test]
fn pending_and_arriving_machines_count() {
    let mut planner = Planner::new(Settings::default());
    let first = planner.plan(&machines(), &loads(240, 0), Some("spare"), Time(0));
    assert!(!first.is_empty());
    assert!(planner.plan(&machines(), &loads(240, 0), Some("spare"), Time(100)).is_empty());
    for plan in &first {
        planner.record_order(&plan.machine, Time(200));
    }
    assert!(planner.plan(&machines(), &loads(240, 0), Some("spare"), Time(300)).is_empty());
}

/// A minion with a long-running task isn't among the free ones, and one due for maintenance is
/// pinned.
#[test]
fn machines_that_must_stay_are_not_moved() {
    let mut planner = Planner::new(Settings::default());
    let mut machines = machines();
    machines.values_mut().for_each(|machine| machine.pinned = true);
    assert!(planner.plan(&machines, &loads(240, 0), Some("spare"), Time(0)).is_empty());
    machines.values_mut().for_each(|machine| machine.pinned = false);
    let mut loads = loads(240, 0);
    loads.get_mut("b").unwrap().free.clear();
    let moves = planner.plan(&machines, &loads, None, Time(0));
    assert_eq!(moves, Vec::<Move>::new());
}

/// Two queues with alternating bursts must not make machines move back and forth before they have
/// run any tasks.
#[test]
fn a_machine_stays_for_a_while() {
    let mut planner = Planner::new(Settings::default());
    let mut machines = machines();
    for plan in planner.plan(&machines, &loads(240, 0), None, Time(0)) {
        planner.record_order(&plan.machine, Time(0));
        machines.get_mut(&plan.machine).unwrap().pool = "a".into();
    }
    let back = |planner: &mut Planner, at| {
        planner
            .plan(&machines, &loads(0, 400), None, Time(at))
            .iter()
            .any(|m| m.machine.starts_with('b'))
    };
    assert!(!back(&mut planner, 1000));
    assert!(!back(&mut planner, 2900));
}

#[test]
fn a_move_that_takes_too_long_is_overdue() {
    let mut planner = Planner::new(Settings::default());
    let first = planner.plan(&machines(), &loads(240, 0), None, Time(0));
    assert!(planner.overdue_moves(Time(1000)).is_empty());
    let timeout = Settings::default().order_timeout + Duration::from_millis(1);
    assert_eq!(planner.overdue_moves(Time(0) + timeout).len(), first.len());
}

/// A service runs at most one task on each of five machines.  If its other machines moved away, a
/// task whose machine goes down could not be placed, although cores are free.
#[test]
fn a_pool_keeps_the_machines_over_which_lasting_tasks_are_spread() {
    let mut planner = Planner::new(Settings::default());
    let mut loads = loads(400, 0);
    loads.get_mut("b").unwrap().min_minions = 5;
    let moves = planner.plan(&machines(), &loads, None, Time(0));
    assert_eq!(moves.len(), 3, "nine less five and one in reserve");
}

/// An outage leaves one pool with a backlog for eighty machines.  When another queue's turn begins,
/// its callers would wait for five seconds with one machine if all idle machines went to the
/// largest shortfall.
#[test]
fn a_pool_with_a_large_remainder_does_not_take_all() {
    let mut machines = machines();
    machines.retain(|name, _| !name.starts_with("b-") || name == "b-0");
    for number in 0..14 {
        let name = format!("c-{number}");
        let minion = Some(format!("minion-{name}"));
        machines.insert(name, Machine { pool: "c".into(), minion, up: true, ..Machine::default() });
    }
    let mut loads = loads(1300, 160);
    loads.insert("c".into(), load("c", 0));
    let moves = Planner::new(Settings::default()).plan(&machines, &loads, None, Time(0));
    let to = |pool: &str| moves.iter().filter(|plan| plan.to == pool).count();
    assert!(to("b") >= 1, "one of ten before nine of eighty-two: {moves:?}");
    assert!(to("a") >= 5, "the larger shortfall gets its part: {moves:?}");
}

/// A wave empties machines that count as present.  If others moved away meanwhile, the service had
/// none left that accept tasks.
#[test]
fn a_pool_gives_only_machines_that_it_can_do_without_in_service() {
    let mut machines = machines();
    let emptied = machines.iter_mut().filter(|(name, _)| name.starts_with("b-")).take(6);
    for (_, machine) in emptied {
        (machine.pinned, machine.out_of_service) = (true, true);
    }
    let moves = Planner::new(Settings::default()).plan(&machines, &loads(400, 0), None, Time(0));
    assert_eq!(moves.len(), 1, "three in service less two: {moves:?}");
}

/// The tasks of a machine that doesn't become empty have nowhere to move.
#[test]
fn a_pool_whose_machine_does_not_empty_gets_another() {
    let mut machines = machines();
    machines.retain(|name, _| !name.starts_with("b-") || name == "b-0" || name == "b-1");
    let plan = |machines: &BTreeMap<String, Machine>| {
        Planner::new(Settings::default()).plan(machines, &loads(0, 0), None, Time(0))
    };
    assert_eq!(plan(&machines), []);
    let emptied = machines.get_mut("b-0").unwrap();
    (emptied.pinned, emptied.out_of_service, emptied.overdue) = (true, true, true);
    let moves = plan(&machines);
    assert_eq!(moves.len(), 1);
    assert_eq!(moves[0].to, "b");
}
