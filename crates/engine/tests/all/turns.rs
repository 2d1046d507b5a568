//! Moves of machines ahead of the next turn's demand.

use celerythread_engine::pools::{Load, Machine, Move, Planner, Settings};
use celerythread_engine::time::Time;
use std::collections::BTreeMap;
use std::time::Duration;

const CORES: u64 = 16_000;
const POOLS: [&str; 4] = ["a", "b", "c", "d"];
/// Time between two rounds of planning.
const PLAN_INTERVAL: Duration = Duration::from_millis(200);

/// A fleet of nine machines in each of four pools, whose moves take no time.
struct Fleet {
    planner: Planner,
    machines: BTreeMap<String, Machine>,
    now: Time,
}

impl Fleet {
    fn new() -> Self {
        let machine = |pool: &str, number| {
            let name = format!("{pool}-{number}");
            let minion = Some(format!("minion-{name}"));
            (name, Machine { pool: pool.into(), minion, up: true, ..Machine::default() })
        };
        let machines =
            POOLS.iter().flat_map(|pool| (0..9).map(|number| machine(pool, number))).collect();
        Self { planner: Planner::new(Settings::default()), machines, now: Time(0) }
    }

    fn in_pool(&self, pool: &str) -> usize {
        self.machines.values().filter(|machine| machine.pool == pool).count()
    }

    fn load(&self, pool: &str, cores: u64) -> Load {
        let mine = self.machines.values().filter(|machine| machine.pool == pool);
        let free = mine.filter_map(|machine| Some((machine.minion.clone()?, 0))).collect();
        Load { working: cores * 1000, minion_cpu: CORES, free, minions: 9, ..Load::default() }
    }

    /// Plans once with a demand of `cores` in the pool `busy` and one core in each other pool.
    fn plan_once(&mut self, busy: &str, cores: u64) -> Vec<Move> {
        self.now = self.now + PLAN_INTERVAL;
        let loads = POOLS
            .iter()
            .map(|pool| {
                let cores = if *pool == busy { cores } else { 1 };
                ((*pool).to_owned(), self.load(pool, cores))
            })
            .collect();
        let moves = self.planner.plan(&self.machines, &loads, None, self.now);
        for plan in &moves {
            self.planner.record_order(&plan.machine, self.now);
            self.machines.get_mut(&plan.machine).expect("listed").pool = plan.to.clone();
        }
        moves
    }

    /// A turn of ten seconds, in which the demand rises to `peak` cores and falls again.
    fn turn(&mut self, pool: &str, peak: u64) -> Vec<Move> {
        let shape = [2, 4, 6, 8, 10, 10, 8, 6, 4, 2];
        let demands = shape.iter().flat_map(|tenths| [peak * tenths / 10; 5]).collect::<Vec<_>>();
        demands.into_iter().flat_map(|cores| self.plan_once(pool, cores)).collect()
    }

    /// A turn of each pool.
    fn round(&mut self) {
        for pool in POOLS {
            self.turn(pool, 300);
            self.idle_gap();
        }
    }

    /// The time between two turns.
    fn idle_gap(&mut self) -> Vec<Move> {
        (0..10).flat_map(|_| self.plan_once("", 1)).collect()
    }
}

/// Guards against moving machines only once demand is observed, although the queues' turns repeat
/// in the same order: the first callers of a turn would wait two seconds for machines that were
/// idle elsewhere.
#[test]
fn machines_are_moved_ahead_of_a_known_turn() {
    let mut fleet = Fleet::new();
    fleet.round();
    fleet.turn("a", 300);
    fleet.idle_gap();
    assert!(fleet.in_pool("b") >= 19, "300 cores need 19 machines: {}", fleet.in_pool("b"));
    let moves = fleet.turn("b", 300);
    assert!(moves.iter().all(|plan| plan.to != "b"), "{moves:?}");
}

/// In the first round it is unknown which pool follows the current turn.  Any pool that has not had
/// one may be next, so each of them gets a share.
#[test]
fn in_the_first_round_pools_without_a_turn_share_idle_machines() {
    let mut fleet = Fleet::new();
    fleet.turn("a", 300);
    fleet.idle_gap();
    fleet.turn("b", 300);
    fleet.idle_gap();
    assert!(
        fleet.in_pool("c") > 9 && fleet.in_pool("d") > 9,
        "{:?}",
        POOLS.map(|p| fleet.in_pool(p))
    );
}

/// A pool whose turn has just begun asks for little.  Its idle machines must stay for its peak and
/// not move on to the next pool.
#[test]
fn a_rising_turn_keeps_the_machines_for_its_peak() {
    let mut fleet = Fleet::new();
    fleet.round();
    fleet.turn("a", 300);
    fleet.idle_gap();
    let moves: Vec<Move> = (0..20).flat_map(|_| fleet.plan_once("b", 120)).collect();
    assert!(moves.iter().all(|plan| plan.from != "b"), "{moves:?}");
}

/// Only one pool ever has turns.  After its first one the others get a share, as any of them may be
/// next; after its second one none is expected, and moving machines away and back would only cost
/// moves.
#[test]
fn a_single_busy_pool_keeps_its_machines() {
    let mut fleet = Fleet::new();
    for _ in 0..2 {
        fleet.turn("a", 300);
        fleet.idle_gap();
    }
    fleet.turn("a", 300);
    let mut moves = fleet.idle_gap();
    moves.extend(fleet.turn("a", 300));
    assert_eq!(moves, Vec::<Move>::new());
}

/// Guards against machines staying idle in the first turn's pool after it has ended: the next
/// turn's callers would find four machines in their pool, and the others would move only as demand
/// rises.
#[test]
fn after_the_first_turn_the_other_pools_share_its_machines() {
    let mut fleet = Fleet::new();
    fleet.turn("a", 500);
    fleet.idle_gap();
    assert!(POOLS[1..].iter().all(|pool| fleet.in_pool(pool) >= 9), "{:?}", fleet.machines);
}

/// A turn begins while the backlog of the last one is still being worked off.  It must be recorded
/// at its beginning, not when its demand exceeds that of the backlog.
#[test]
fn the_backlog_of_a_turn_does_not_hide_the_next_one() {
    let mut fleet = Fleet::new();
    fleet.turn("a", 400);
    fleet.now = fleet.now + PLAN_INTERVAL;
    for _ in 0..4 {
        fleet.now = fleet.now + PLAN_INTERVAL;
        let of = |pool: &str| {
            if pool == "a" {
                200
            } else if pool == "b" {
                80
            } else {
                1
            }
        };
        let loads = POOLS.iter().map(|pool| ((*pool).to_owned(), fleet.load(pool, of(pool))));
        let loads = loads.collect();
        fleet.planner.plan(&fleet.machines, &loads, None, fleet.now);
    }
    assert_eq!(fleet.planner.history().turns, ["a", "b"]);
}

/// A third of the idle machines was moved to a pool whose turn doesn't come.  They have run no
/// tasks there, so the pool with the turn must get them at once, not after the minimum stay of
/// three seconds.
#[test]
fn machines_moved_to_the_wrong_pool_can_leave_at_once() {
    let mut fleet = Fleet::new();
    fleet.turn("a", 500);
    let ahead = loop {
        let moves = fleet.plan_once("a", 40);
        if !moves.is_empty() {
            break moves;
        }
    };
    assert!(ahead.iter().any(|plan| plan.to == "c"), "{ahead:?}");
    let sent: Vec<Move> = (0..4).flat_map(|_| fleet.plan_once("b", 600)).collect();
    let came_ahead = |plan: &&Move| ahead.iter().any(|other| other.machine == plan.machine);
    assert!(sent.iter().any(|plan| came_ahead(&plan)), "{sent:?}");
}

/// When the entry with the fleet controller is lost, the next one must know the turns observed so
/// far.
#[test]
fn a_new_planner_continues_from_the_stored_turns() {
    let mut fleet = Fleet::new();
    fleet.round();
    let history = fleet.planner.history().clone();
    assert_eq!(history.turns, POOLS);
    fleet.planner = Planner::new(Settings::default());
    fleet.planner.restore_history(history);
    fleet.idle_gap();
    assert!(fleet.in_pool("a") >= 19, "a's turn comes after d's: {}", fleet.in_pool("a"));
}

impl Fleet {
    /// Plans for `seconds` with constant demands, in cores; one core in each pool that isn't named.
    fn plan_for(&mut self, seconds: u64, demands: &[(&str, u64)]) {
        for _ in 0..seconds * 5 {
            self.now = self.now + PLAN_INTERVAL;
            let of = |pool: &str| {
                demands.iter().find(|(name, _)| *name == pool).map_or(1, |(_, cores)| *cores)
            };
            let loads = POOLS.iter().map(|pool| ((*pool).to_owned(), self.load(pool, of(pool))));
            let loads = loads.collect();
            let moves = self.planner.plan(&self.machines, &loads, None, self.now);
            for plan in &moves {
                self.planner.record_order(&plan.machine, self.now);
                self.machines.get_mut(&plan.machine).expect("listed").pool = plan.to.clone();
            }
        }
    }
}

/// Guards against counting a single large job as a turn because it is the highest demand between
/// two turns: idle machines would then be moved ahead to the wrong pool, and the last queue's turn
/// would begin without them.
#[test]
fn a_single_large_job_is_no_turn() {
    let mut fleet = Fleet::new();
    fleet.turn("a", 300);
    fleet.plan_for(1, &[("c", 60)]);
    fleet.turn("b", 300);
    fleet.plan_for(1, &[("a", 60)]);
    fleet.turn("c", 300);
    fleet.plan_for(1, &[("a", 60)]);
    fleet.plan_for(1, &[("b", 60)]);
    fleet.idle_gap();
    assert_eq!(fleet.planner.history().turns, ["a", "b", "c"]);
    assert!(fleet.in_pool("d") >= 19, "d alone has had no turn: {}", fleet.in_pool("d"));
}

/// The backlog of a turn becomes the highest demand again when that of the next turn is served.  If
/// this counted as a turn, the next pool would be predicted wrongly.
#[test]
fn a_backlog_that_rises_again_is_no_turn() {
    let mut fleet = Fleet::new();
    fleet.turn("a", 400);
    fleet.plan_for(2, &[("a", 80), ("b", 150)]);
    fleet.plan_for(1, &[("a", 120), ("b", 20)]);
    fleet.turn("b", 300);
    fleet.idle_gap();
    assert_eq!(fleet.planner.history().turns, ["a", "b"]);
}

/// Two queues have turns and two never do.  After the second turn of each the next pool is known,
/// and no machines are kept ready for the others.
#[test]
fn no_machines_are_reserved_for_pools_without_turns() {
    let mut fleet = Fleet::new();
    for _ in 0..2 {
        fleet.turn("a", 300);
        fleet.idle_gap();
        fleet.turn("b", 300);
        fleet.idle_gap();
    }
    assert!(fleet.in_pool("a") >= 19, "a comes after b: {}", fleet.in_pool("a"));
}

/// Turns of pools with very different demand and of different lengths repeat in the same order.
#[test]
fn turns_of_any_length_and_height_are_recognized() {
    let mut fleet = Fleet::new();
    for _ in 0..2 {
        fleet.plan_for(3, &[("c", 90)]);
        fleet.idle_gap();
        fleet.plan_for(20, &[("a", 500)]);
        fleet.idle_gap();
        fleet.plan_for(6, &[("d", 200)]);
        fleet.idle_gap();
    }
    assert_eq!(fleet.planner.history().turns, ["c", "a", "d", "c", "a", "d"]);
    assert!(fleet.in_pool("c") >= 5, "c comes after d: {}", fleet.in_pool("c"));
}

/// Turns follow each other without a pause, and each leaves such a backlog that its pool still asks
/// for most of its peak when the next turn begins.  By the demand alone, machines would move two
/// seconds too late, so they must move ahead when the next turn is due.
#[test]
fn machines_are_moved_ahead_of_a_due_turn_while_the_last_one_has_demand() {
    let mut fleet = Fleet::new();
    for pool in ["a", "b", "c"] {
        for _ in 0..50 {
            fleet.plan_once(pool, 260);
        }
    }
    // The third turn has lasted as long as the others, and its pool's demand has not fallen.
    for _ in 0..5 {
        fleet.plan_once("c", 260);
    }
    assert!(fleet.in_pool("d") >= 14, "{:?}", POOLS.map(|pool| fleet.in_pool(pool)));
    assert!(fleet.in_pool("c") >= 17, "the current pool keeps what it needs");
}
