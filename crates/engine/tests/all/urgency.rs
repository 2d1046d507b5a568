//! Machines of a fleet that is smaller than what its pools ask for together.

use celerythread_engine::pools::{Load, Machine, Move, Planner, Settings};
use celerythread_engine::time::Time;
use std::collections::BTreeMap;

const CORES: u64 = 16_000;

/// A pool with this many machines, all of them at work, which asks for `timely` cores for jobs that
/// can meet their objective and `late` cores for others.
struct Pool {
    name: &'static str,
    machines: usize,
    timely: u64,
    late: u64,
    /// Time until each machine is empty; 0 for an idle one.
    busy_ms: u64,
}

impl Pool {
    fn load(&self) -> Load {
        let held = self.machines as u64 * CORES;
        let asked = (self.timely + self.late) * 1000;
        let late = self.late * 1000;
        let ids = || (0..self.machines).map(|number| format!("minion-{}-{number}", self.name));
        let working = held.min(asked);
        let late_working = late.min(working);
        Load {
            working,
            late_working,
            waiting: asked - working,
            late_waiting: late - late_working,
            minion_cpu: CORES,
            free: ids().map(|id| (id, CORES)).collect(),
            busy: ids().map(|id| (id, self.busy_ms)).collect(),
            minions: self.machines,
            ..Load::default()
        }
    }
}

fn machines(pools: &[Pool]) -> BTreeMap<String, Machine> {
    let machine = |pool: &str, number: usize| {
        let minion = Some(format!("minion-{pool}-{number}"));
        let machine = Machine { pool: pool.into(), minion, up: true, ..Machine::default() };
        (format!("{pool}-{number}"), machine)
    };
    pools.iter().flat_map(|pool| (0..pool.machines).map(|n| machine(pool.name, n))).collect()
}

fn plan(pools: &[Pool], settings: Settings) -> Vec<Move> {
    let loads = pools.iter().map(|pool| (pool.name.to_owned(), pool.load())).collect();
    Planner::new(settings).plan(&machines(pools), &loads, None, Time(0))
}

fn sharing() -> Settings {
    Settings { share_by_urgency: true, max_moves_per_pool: 100, ..Settings::default() }
}

fn moved(moves: &[Move], from: &str, to: &str) -> usize {
    moves.iter().filter(|plan| plan.from == from && plan.to == to).count()
}

/// Guards against a pool with a backlog of late jobs that keeps most of the fleet, while callers of
/// the pool whose demand has just risen wait with a tenth of the machines that they need.
#[test]
fn a_pool_with_late_jobs_gives_machines_to_one_whose_jobs_can_be_in_time() {
    let pools = || {
        [
            Pool { name: "late", machines: 260, timely: 300, late: 8000, busy_ms: 900 },
            Pool { name: "rising", machines: 30, timely: 2400, late: 0, busy_ms: 900 },
        ]
    };
    let moves = plan(&pools(), sharing());
    assert_eq!(moved(&moves, "late", "rising"), 100, "as many as may be chosen at a time");
    assert!(plan(&pools(), Settings::default()).is_empty(), "only where settings ask for it");
}

/// Guards against a pool that gets all machines because it asks for most: demand that can be in
/// time is divided in proportion.
#[test]
fn timely_demand_beyond_the_fleet_is_divided_in_proportion() {
    let pools = [
        Pool { name: "a", machines: 90, timely: 3200, late: 0, busy_ms: 500 },
        Pool { name: "b", machines: 10, timely: 3200, late: 0, busy_ms: 500 },
    ];
    let moves = plan(&pools, sharing());
    assert_eq!(moved(&moves, "a", "b"), 40);
    assert_eq!(moved(&moves, "b", "a"), 0);
}

/// Guards against machines that move back and forth between two pools that are both short, for
/// small changes of demand.
#[test]
fn pools_near_their_share_keep_their_machines() {
    let pools = [
        Pool { name: "a", machines: 52, timely: 3200, late: 0, busy_ms: 500 },
        Pool { name: "b", machines: 48, timely: 3200, late: 0, busy_ms: 500 },
    ];
    assert!(plan(&pools, sharing()).is_empty());
}

/// Guards against late jobs that are never served: what timely demand leaves goes to them.
#[test]
fn late_jobs_get_the_machines_that_timely_demand_leaves() {
    let pools = [
        Pool { name: "late", machines: 40, timely: 0, late: 3200, busy_ms: 500 },
        Pool { name: "calm", machines: 60, timely: 160, late: 0, busy_ms: 0 },
    ];
    let moves = plan(&pools, sharing());
    assert!(moved(&moves, "calm", "late") >= 40, "{}", moves.len());
    assert_eq!(moved(&moves, "late", "calm"), 0);
}

/// Guards against sharing where there is enough for all: nothing moves by urgency then.
#[test]
fn a_fleet_that_is_large_enough_is_not_shared() {
    let pools = [
        Pool { name: "late", machines: 60, timely: 0, late: 900, busy_ms: 500 },
        Pool { name: "calm", machines: 40, timely: 320, late: 0, busy_ms: 500 },
    ];
    assert_eq!(plan(&pools, sharing()), plan(&pools, Settings::default()));
}

/// Guards against machines that are emptied in vain: a machine whose tasks last longer than a move
/// may wait gets no tasks until its move is given up.
#[test]
fn machines_that_are_empty_soonest_move_first() {
    let pools = [
        Pool { name: "a", machines: 20, timely: 16, late: 0, busy_ms: 0 },
        Pool { name: "b", machines: 5, timely: 400, late: 0, busy_ms: 0 },
    ];
    let mut loads: BTreeMap<String, Load> =
        pools.iter().map(|pool| (pool.name.to_owned(), pool.load())).collect();
    let a = loads.get_mut("a").expect("a pool");
    for (number, (_, ms)) in a.busy.iter_mut().enumerate() {
        *ms = 300 * number as u64;
    }
    let settings = Settings { max_moves_per_pool: 5, ..Settings::default() };
    let mut planner = Planner::new(settings);
    let first = planner.plan(&machines(&pools), &loads, None, Time(0));
    let names: Vec<&str> = first.iter().map(|plan| plan.machine.as_str()).collect();
    assert_eq!(names, ["a-0", "a-1", "a-2", "a-3", "a-4"]);
    let settings = Settings { max_moves_per_pool: 20, ..Settings::default() };
    let all = Planner::new(settings).plan(&machines(&pools), &loads, None, Time(0));
    assert_eq!(all.len(), 7, "the others take more than two seconds");
}

fn inherited(startable_in_ms: u64) -> BTreeMap<String, Load> {
    let load = |pool: &Pool| (pool.name.to_owned(), pool.load());
    let taken_over = Pool { name: "a", machines: 40, timely: 0, late: 0, busy_ms: 0 };
    let other = Pool { name: "b", machines: 10, timely: 640, late: 0, busy_ms: 0 };
    let mut loads = BTreeMap::from([load(&taken_over), load(&other)]);
    let a = loads.get_mut("a").expect("a pool");
    a.inherited = 900 * 1000;
    a.inherited_ms = startable_in_ms;
    loads
}

fn fifty_machines() -> BTreeMap<String, Machine> {
    let pool = |name, machines| Pool { name, machines, timely: 0, late: 0, busy_ms: 0 };
    machines(&[pool("a", 40), pool("b", 10)])
}

/// Guards against a pool that gives its machines away while its new owner may not start the jobs
/// that it inherited: 140 machines went away from 1,300 waiting jobs, and back.
#[test]
fn a_pool_keeps_its_machines_while_its_cell_is_taken_over() {
    let mut planner = Planner::new(Settings::default());
    let moves = planner.plan(&fifty_machines(), &inherited(6000), None, Time(0));
    assert!(moves.is_empty(), "57 machines are needed for 40: {moves:?}");
}

/// Guards against the same where pools share machines: inherited jobs that can still be in time
/// claim machines like any others.
#[test]
fn a_pool_keeps_its_share_while_its_cell_is_taken_over() {
    let mut planner = Planner::new(sharing());
    let moves = planner.plan(&fifty_machines(), &inherited(6000), None, Time(0));
    assert_eq!(moved(&moves, "a", "b"), 10, "30 of 50 machines for 57 of 97");
}

/// Guards against machines that arrive after the tasks that need them could start, and against
/// machines that idle for long before.
#[test]
fn machines_for_inherited_jobs_move_when_these_may_start_on_arrival() {
    let mut machines = fifty_machines();
    for number in 0..30 {
        let name = format!("spare-{number}");
        machines.insert(name, Machine { pool: "spare".into(), up: true, ..Machine::default() });
    }
    let moves_to_a = |ms| {
        let mut loads = inherited(ms);
        loads.get_mut("b").expect("a pool").working = 0;
        loads.get_mut("b").expect("a pool").waiting = 0;
        let mut planner = Planner::new(Settings::default());
        let moves = planner.plan(&machines, &loads, Some("spare"), Time(0));
        moves.iter().filter(|plan| plan.to == "a").count()
    };
    assert_eq!(moves_to_a(6000), 0);
    assert_eq!(moves_to_a(1500), 16, "as many as may be chosen at a time");
}

/// Guards against a takeover that looks like the end of a turn and the beginning of another one:
/// the next pool would get its machines.
#[test]
fn a_takeover_during_a_turn_is_no_new_turn() {
    let mut planner = Planner::new(Settings::default());
    let machines = fifty_machines();
    let mut at = 0;
    let mut step = |load: Load| {
        at += 200;
        let loads = BTreeMap::from([("a".into(), load)]);
        planner.plan(&machines, &loads, None, Time(at));
        planner.history().turns.len()
    };
    let busy = || Load { working: 640_000, minion_cpu: CORES, ..Load::default() };
    let taken_over = || Load { inherited: 640_000, minion_cpu: CORES, ..Load::default() };
    for load in [busy, taken_over, busy] {
        for _ in 0..20 {
            step(load());
        }
    }
    assert_eq!(step(busy()), 1);
}

/// Guards against a turn whose size is underestimated: twice the demand so far asked for its
/// machines in four rounds, while demand rose by 1,000 cores a second.
#[test]
fn a_turn_that_begins_is_expected_to_reach_the_peaks_of_the_others() {
    let machines_ahead = |expect_equal_peaks| {
        let settings = Settings {
            expect_equal_peaks,
            max_moves_per_pool: 100,
            min_stay: std::time::Duration::ZERO,
            ..Settings::default()
        };
        let mut planner = Planner::new(settings);
        let names: Vec<String> = ["a", "b", "c"]
            .iter()
            .flat_map(|pool| (0..20).map(move |number| format!("{pool}-{number}")))
            .collect();
        let machines: BTreeMap<String, Machine> = names
            .iter()
            .map(|name| {
                let minion = Some(format!("minion-{name}"));
                let pool = name[..1].to_owned();
                (name.clone(), Machine { pool, minion, up: true, ..Machine::default() })
            })
            .collect();
        let load = |pool: &str, cores: u64| {
            let mine = names.iter().filter(|name| name.starts_with(pool));
            let free = mine.map(|name| (format!("minion-{name}"), 0)).collect();
            let load = Load { working: cores * 1000, minion_cpu: CORES, free, ..Load::default() };
            (pool.to_owned(), load)
        };
        let mut ahead = 0;
        // A turn of `a` that asks for 50 machines, then the first second of a turn of `b`.
        for round in 1..=45_u64 {
            let (a, b) = match round {
                1..=20 => (800, 0),
                21..=35 => (0, 0),
                _ => (0, 130),
            };
            let loads = BTreeMap::from([load("a", a), load("b", b), load("c", 0)]);
            let moves = planner.plan(&machines, &loads, None, Time(round * 200));
            for plan in &moves {
                planner.cancel_move(&plan.machine);
            }
            if round == 45 {
                ahead = moves.iter().filter(|plan| plan.to == "b").count();
            }
        }
        ahead
    };
    assert_eq!(machines_ahead(false), 0, "20 are there, and 17 are expected");
    assert_eq!(machines_ahead(true), 30, "50 are expected");
}

/// Plans rounds of 200 ms for pools with these demands in cores; returns the moves of all rounds.
fn rounds(demands: &[(u64, u64)], settings: Settings, spare: usize) -> Vec<Move> {
    let names = ["a", "b"].iter().flat_map(|pool| (0..30).map(move |n| format!("{pool}-{n}")));
    let off = (0..spare).map(|number| format!("spare-{number}"));
    let mut machines: BTreeMap<String, Machine> = names
        .chain(off)
        .map(|name| {
            let pool = name.split('-').next().expect("a pool").to_owned();
            let minion = (pool != "spare").then(|| format!("minion-{name}"));
            (name, Machine { pool, minion, up: true, ..Machine::default() })
        })
        .collect();
    let mut planner = Planner::new(settings);
    let mut all = Vec::new();
    for (number, (a, b)) in demands.iter().enumerate() {
        let now = Time(200 * number as u64);
        let load = |pool: &str, cores: u64| {
            let mine = machines.values().filter(|machine| machine.pool == pool);
            let free = mine.filter_map(|machine| Some((machine.minion.clone()?, 0))).collect();
            let load = Load { working: cores * 1000, minion_cpu: CORES, free, ..Load::default() };
            (pool.to_owned(), load)
        };
        let loads = BTreeMap::from([load("a", *a), load("b", *b)]);
        let moves = planner.plan(&machines, &loads, Some("spare"), now);
        for plan in &moves {
            planner.record_order(&plan.machine, now);
            let machine = machines.get_mut(&plan.machine).expect("a machine");
            machine.pool = plan.to.clone();
            machine.minion = Some(format!("minion-{}", plan.machine));
        }
        all.extend(moves);
    }
    all
}

/// Guards against the backlog of a turn that counts as another rise while the next turn begins
/// below it: 37 machines went back to the pool whose turn was over.
#[test]
fn the_backlog_of_a_turn_draws_no_machines_from_the_next_one() {
    let mut demands = vec![(800, 0); 20];
    demands.extend([(400, 20), (380, 40), (360, 80), (340, 120), (320, 160), (300, 200)]);
    demands.extend([(280, 220), (270, 230), (260, 240), (250, 245), (240, 250), (230, 260)]);
    let beginning = demands.len();
    demands.extend([(220, 280); 10]);
    let before = rounds(&demands[..20], Settings::default(), 0);
    let moves = rounds(&demands, Settings::default(), 0);
    let back = moves[before.len()..].iter().filter(|plan| plan.to == "a").count();
    assert_eq!(back, 0, "after {beginning} rounds: {moves:?}");
}

/// Guards against machines that stay off although a turn has begun which will need them: they were
/// ordered two seconds later, once the demand exceeded what was in service.
#[test]
fn machines_that_are_off_move_as_soon_as_a_turn_has_begun() {
    let mut demands = vec![(900, 0); 15];
    demands.extend([(320, 0); 10]);
    let second = Time(200 * demands.len() as u64);
    demands.extend([(320, 240); 6]);
    let count = |expect_equal_peaks| {
        let settings =
            Settings { expect_equal_peaks, max_moves_per_pool: 100, ..Settings::default() };
        let moves = rounds(&demands, settings, 20);
        let is_on = |plan: &&Move| plan.from == "spare" && plan.decided_at >= second;
        (
            moves.iter().filter(|plan| plan.from == "spare").count(),
            moves.iter().filter(is_on).count(),
        )
    };
    assert_eq!(count(false), (0, 0));
    assert_eq!(count(true), (17, 17), "57 machines are expected, of 40 that are free");
}
