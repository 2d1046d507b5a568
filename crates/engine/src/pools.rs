//! Which machine moves to which pool.
//!
//! The pattern it answers: the queues' demand rises by turns, each for some seconds to several
//! times its mean and to more than its pool holds, while the other pools idle.  A machine that
//! works through a turn's remainder earns some fifty times what its move costs (16 cores for
//! 3 s are 48 core-seconds, worth about 4.5 at the users' prices; a move costs 0.1), so
//! machines follow the demand, and only those are left where they are whose loss would hurt:
//! with lasting tasks on them, due for maintenance, or needed by their own pool.
//!
//! [`turns`] tells which pool's turn comes next, so that machines which idle are there before it.

mod turns;

use crate::time::Time;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;
use strum::Display;
pub use turns::History;
use turns::Turns;

/// Machines kept beyond those that spread lasting tasks need, so that a task whose minion is lost
/// finds another one at once and not after a move.
const SPREAD_RESERVE_MACHINES: usize = 1;

/// In what time a pool should be able to work off what waits.  About the slack that jobs have within
/// their objective (some 2 s), less the time that a move takes.
pub const BACKLOG_HORIZON: Duration = Duration::from_millis(1000);

/// Weights and limits.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Machines that a pool keeps whatever its demand: one may fail.
    pub min_machines: usize,
    /// A move that isn't ordered after this time is given up, and its machine used again.
    pub order_timeout: Duration,
    /// A machine stays at least this long after it came: twice the time of a move.
    pub min_stay: Duration,
    /// Machines chosen for one pool at a time, or a third of it if that is more: a burst asks several
    /// times what the pool holds.  At four looks a second this is to be all of the orders a second that
    /// the platform takes.
    pub max_moves_per_pool: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            min_machines: 2,
            order_timeout: Duration::from_millis(2500),
            min_stay: Duration::from_millis(3000),
            max_moves_per_pool: 16,
        }
    }
}

/// What an owner tells of its cell.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Core-milliseconds of waiting tasks that could be worked on within [`BACKLOG_HORIZON`].  Here and below
    /// a task counts for the cores that it keeps from others, by its memory or accelerators if those
    /// are scarcer.
    pub waiting: u64,
    /// Thousandths of cores in use by tasks that end.
    pub working: u64,
    /// Thousandths of cores in use by lasting tasks.
    #[serde(rename = "lasting")]
    pub long_running: u64,
    /// Thousandths of cores of a minion, on average.
    pub minion_cpu: u64,
    /// Minions without lasting tasks, and what is in use on each in thousandths of cores.
    pub free: Vec<(String, u64)>,
    /// Minions that are to be emptied and are empty.
    pub empty: Vec<String>,
    /// Minions that take work.
    pub minions: usize,
    /// Minions that the lasting tasks need so that no more of a step are together than allowed.
    #[serde(rename = "least")]
    pub min_minions: usize,
}

/// A machine as the platform lists it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Machine {
    /// The pool that it is in.
    pub pool: String,
    /// The id of its minion, if it has one.
    pub minion: Option<String>,
    /// Whether it serves or could.
    pub up: bool,
    /// Whether it must stay where it is: due for maintenance, for one.
    pub pinned: bool,
}

/// Why a machine moves.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// Its new pool asks for more than it has.
    Shortage,
    /// Its new pool will, by the turns seen so far.
    Ahead,
}

/// A move.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Move {
    /// The machine.
    pub machine: String,
    /// Its minion, to be emptied first.
    pub minion: Option<String>,
    /// The pool that it leaves.
    pub from: String,
    /// The pool that it goes to.
    pub to: String,
    /// Why.
    pub reason: Reason,
    /// When it was decided.
    pub decided_at: Time,
}

/// What a pool asks for and has, for the log and for other duties.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Balance {
    /// Cores that its tasks ask for, but for lasting ones.
    pub demand: u64,
    /// Cores in use by lasting tasks.
    pub long_running: u64,
    /// Machines in it that stay.
    pub present: usize,
    /// Machines that are to come.
    pub arriving: usize,
    /// Machines that it needs.
    pub needed: usize,
    /// Minions without any task.
    pub idle: usize,
}

impl Balance {
    /// Machines that it can do without.
    pub fn surplus(&self) -> usize {
        (self.present + self.arriving).saturating_sub(self.needed)
    }
}

/// What one round of planning goes by, and what it has decided.
struct Round<'a> {
    machines: &'a BTreeMap<String, Machine>,
    loads: &'a BTreeMap<String, Load>,
    spare: Option<&'a str>,
    now: Time,
    /// Machines that each pool can do without.
    surplus: BTreeMap<&'a str, usize>,
    moves: Vec<Move>,
}

impl Round<'_> {
    /// Whether the machine's pool can do without one more.
    fn can_spare(&self, machine: &str) -> bool {
        let pool = self.machines[machine].pool.as_str();
        self.spare == Some(pool) || self.surplus.get(pool).is_some_and(|left| *left > 0)
    }
}

/// A pool that needs more machines than it has.
struct Shortfall<'a> {
    pool: &'a str,
    present: usize,
    needed: usize,
}

impl Shortfall<'_> {
    /// How much it has of what it needs, in thousandths.
    fn satisfied_permille(&self) -> usize {
        self.present * 1000 / self.needed.max(1)
    }
}

/// The state of all pools.
#[derive(Debug, Default)]
pub struct Planner {
    settings: Settings,
    /// Moves that are decided and not ordered.
    pending: BTreeMap<String, Move>,
    /// Machines on their way, with their pool and when they were ordered to it.
    arriving: BTreeMap<String, (String, Time)>,
    /// When each machine came to its pool, and why.
    arrivals: BTreeMap<String, (Time, Reason)>,
    /// Whose turn it is, and whose is next.
    turns: Turns,
}

impl Planner {
    /// A planner without moves.
    pub fn new(settings: Settings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// The turns seen so far, to be kept for the next holder of the duty.
    pub fn history(&self) -> &History {
        self.turns.history()
    }

    /// Goes on from the turns that a former holder saw.
    pub fn restore_history(&mut self, history: History) {
        self.turns.restore(history);
    }

    /// Goes on from a turn that a former holder saw begin.
    pub fn resume_turn(&mut self, began: Time) {
        self.turns.resume(began);
    }

    /// Moves that are decided and not ordered.
    pub fn pending(&self) -> impl Iterator<Item = &Move> {
        self.pending.values()
    }

    /// Whether moves are under way.
    pub fn has_moves_under_way(&self) -> bool {
        !self.pending.is_empty() || !self.arriving.is_empty()
    }

    /// Whether a machine's move is decided and not ordered.
    pub fn is_pending(&self, machine: &str) -> bool {
        self.pending.contains_key(machine)
    }

    /// Whether a machine is about to move, or on its way.
    pub fn is_moving(&self, machine: &str) -> bool {
        self.is_pending(machine) || self.arriving.contains_key(machine)
    }

    /// Notes that a move was ordered.
    pub fn record_order(&mut self, machine: &str, now: Time) {
        if let Some(done) = self.pending.remove(machine) {
            self.arriving.insert(machine.into(), (done.to, now));
            self.arrivals.insert(machine.into(), (now, done.reason));
        }
    }

    /// Gives a move up.
    pub fn cancel_move(&mut self, machine: &str) {
        self.pending.remove(machine);
    }

    /// Moves that have waited too long, to be given up.
    pub fn overdue_moves(&self, now: Time) -> Vec<Move> {
        let is_overdue = |plan: &&Move| now.since(plan.decided_at) > self.settings.order_timeout;
        self.pending.values().filter(is_overdue).cloned().collect()
    }

    /// What each pool asks for, has and needs.
    pub fn balances(
        &self,
        machines: &BTreeMap<String, Machine>,
        loads: &BTreeMap<String, Load>,
    ) -> BTreeMap<String, Balance> {
        let balance = |(pool, load): (&String, &Load)| {
            let arriving = self.arriving.values().filter(|(to, _)| to == pool).count()
                + self.pending.values().filter(|plan| plan.to == *pool).count();
            let balance = Balance {
                demand: self.finite_demand(load) / 1000,
                long_running: load.long_running / 1000,
                present: self.machine_count(pool, machines) - arriving,
                arriving,
                needed: self.machines_needed(load),
                idle: load.free.iter().filter(|(_, cpu)| *cpu == 0).count(),
            };
            (pool.clone(), balance)
        };
        loads.iter().map(balance).collect()
    }

    /// Decides on further moves.  `spare` is the pool whose machines are off.
    pub fn plan(
        &mut self,
        machines: &BTreeMap<String, Machine>,
        loads: &BTreeMap<String, Load>,
        spare: Option<&str>,
        now: Time,
    ) -> Vec<Move> {
        self.remove_arrived(machines, now);
        let demands = loads.iter().map(|(pool, load)| (pool.as_str(), self.finite_demand(load)));
        let machine = loads.values().map(|load| load.minion_cpu).max().unwrap_or(0);
        self.turns.observe(&demands.collect(), machine * machines.len() as u64, now);
        let mut surplus: BTreeMap<&str, usize> = BTreeMap::new();
        let mut shortfalls = Vec::new();
        for (pool, load) in loads {
            let (present, needed) =
                (self.machine_count(pool, machines), self.machines_needed(load));
            if needed > present {
                shortfalls.push(Shortfall { pool, present, needed });
            } else {
                surplus.insert(pool, present - needed);
            }
        }
        let mut round = Round { machines, loads, spare, now, surplus, moves: Vec::new() };
        self.fill_shortfalls(&mut round, shortfalls, Reason::Shortage);
        self.plan_ahead(&mut round);
        let moves = round.moves;
        for plan in &moves {
            self.pending.insert(plan.machine.clone(), plan.clone());
        }
        moves
    }

    /// Sends machines that idle where the next demand is expected.  Machines that are off stay so:
    /// they cost nothing until the demand is there.
    fn plan_ahead(&self, round: &mut Round<'_>) {
        let pools: Vec<&str> = round.loads.keys().map(String::as_str).collect();
        round.spare = None;
        let mut shortfalls = Vec::new();
        for (pool, cores) in self.turns.expected_demand(&pools, round.now) {
            let Some((pool, load)) = round.loads.get_key_value(&pool) else { continue };
            let chosen = round.moves.iter().filter(|plan| plan.to == *pool).count();
            let present = self.machine_count(pool, round.machines) + chosen;
            let needed = (cores + load.long_running).div_ceil(load.minion_cpu.max(1000)) as usize;
            if let Some(left) = round.surplus.get_mut(pool.as_str()) {
                *left = (*left).min(present.saturating_sub(needed));
            }
            shortfalls.push(Shortfall { pool, present, needed });
        }
        self.fill_shortfalls(round, shortfalls, Reason::Ahead);
    }

    /// Chooses machines to go to pools that lack some, one after the other to the pool that has least
    /// of what it needs.
    ///
    /// Given to the one that lacks most, all went to a pool with a large remainder from an outage, and
    /// the callers of another one, whose turn had begun, waited for five seconds with two machines.
    fn fill_shortfalls<'a>(
        &self,
        round: &mut Round<'a>,
        shortfalls: Vec<Shortfall<'a>>,
        reason: Reason,
    ) {
        let mut shortfalls: Vec<(Shortfall<'_>, usize)> = shortfalls
            .into_iter()
            .map(|shortfall| {
                let pending =
                    self.pending.values().filter(|plan| plan.to == shortfall.pool).count();
                let chosen = round.moves.iter().filter(|plan| plan.to == shortfall.pool).count();
                let max = self
                    .settings
                    .max_moves_per_pool
                    .max(self.machine_count(shortfall.pool, round.machines) / 3);
                (shortfall, max.saturating_sub(pending + chosen))
            })
            .collect();
        // Sorted once: what a machine's move costs doesn't depend on where it goes, and a pool that can
        // do without no more machines never can again in this round.
        let mut candidates = self.candidates(round, reason);
        candidates.sort_unstable();
        let mut candidates = candidates.into_iter();
        loop {
            shortfalls
                .retain(|(shortfall, room)| *room > 0 && shortfall.needed > shortfall.present);
            let Some((shortfall, room)) =
                shortfalls.iter_mut().min_by_key(|(shortfall, _)| shortfall.satisfied_permille())
            else {
                return;
            };
            let Some((_, machine)) = candidates.find(|(_, name)| round.can_spare(name)) else {
                return;
            };
            (shortfall.present, *room) = (shortfall.present + 1, *room - 1);
            let source = &round.machines[machine];
            if let Some(left) = round.surplus.get_mut(source.pool.as_str()) {
                *left = left.saturating_sub(1);
            }
            round.moves.push(Move {
                machine: machine.into(),
                minion: source.minion.clone(),
                from: source.pool.clone(),
                to: shortfall.pool.into(),
                reason,
                decided_at: round.now,
            });
        }
    }

    /// Machines that could be moved, with what they cost: first those without any work.
    fn candidates<'a>(&self, round: &Round<'a>, reason: Reason) -> Vec<(u64, &'a str)> {
        let Round { machines, loads, spare, now, moves, .. } = round;
        let chosen: BTreeSet<&str> = moves.iter().map(|plan| plan.machine.as_str()).collect();
        let settled = |name: &str| match self.arrivals.get(name) {
            // What came ahead of a demand that shows elsewhere has nothing to do here.
            Some((_, Reason::Ahead)) if reason == Reason::Shortage => true,
            Some((arrived, _)) => now.since(*arrived) >= self.settings.min_stay,
            None => true,
        };
        let free = |name: &str| {
            !chosen.contains(name)
                && !self.pending.contains_key(name)
                && !self.arriving.contains_key(name)
                && settled(name)
        };
        let in_use: HashMap<&str, u64> = loads
            .values()
            .flat_map(|load| load.free.iter().map(|(minion, cpu)| (minion.as_str(), *cpu)))
            .collect();
        let cost = |machine: &Machine| {
            if *spare == Some(machine.pool.as_str()) {
                // Costs its time in a pool besides the move, so after machines that idle.
                return Some(1);
            }
            in_use.get(machine.minion.as_deref()?).map(|cpu| 2 * cpu)
        };
        machines
            .iter()
            .filter(|(name, machine)| machine.up && !machine.pinned && free(name))
            .filter_map(|(name, machine)| Some((cost(machine)?, name.as_str())))
            .collect()
    }

    /// Machines that a pool has or will have.
    fn machine_count(&self, pool: &str, machines: &BTreeMap<String, Machine>) -> usize {
        let leaves = |name: &str| self.pending.contains_key(name);
        let here = machines
            .iter()
            .filter(|(name, machine)| {
                machine.pool == pool
                    && machine.up
                    && !leaves(name)
                    && !self.arriving.contains_key(*name)
            })
            .count();
        let arriving = self.arriving.values().filter(|(to, _)| to == pool).count();
        let pending = self.pending.values().filter(|plan| plan.to == pool).count();
        here + arriving + pending
    }

    /// Thousandths of cores that a pool's tasks ask for, but for lasting ones.
    fn finite_demand(&self, load: &Load) -> u64 {
        let horizon = BACKLOG_HORIZON.as_millis() as u64;
        load.working + load.waiting / horizon * 1000 + load.waiting % horizon * 1000 / horizon
    }

    /// Machines that a pool needs.
    fn machines_needed(&self, load: &Load) -> usize {
        let cores = self.finite_demand(load) + load.long_running;
        let machine = load.minion_cpu.max(1000);
        let min = self.settings.min_machines.max(load.min_minions + SPREAD_RESERVE_MACHINES);
        (cores.div_ceil(machine) as usize).max(min)
    }

    fn remove_arrived(&mut self, machines: &BTreeMap<String, Machine>, now: Time) {
        let timeout = self.settings.order_timeout * 2;
        self.arriving.retain(|name, (to, since)| {
            let there = machines.get(name).is_some_and(|machine| {
                machine.pool == *to && machine.up && machine.minion.is_some()
            });
            !there && now.since(*since) < timeout
        });
        self.pending.retain(|name, _| machines.get(name).is_some_and(|machine| machine.up));
    }
}
