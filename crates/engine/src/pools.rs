//! Decides which machines move between pools.
//!
//! The queues' demand peaks in turns: one queue at a time rises for some seconds to several times
//! its mean, beyond the capacity of its pool, while the other pools are idle.  A machine that works
//! off a backlog earns about fifty times the cost of its move (16 cores for 3 s are 48
//! core-seconds, worth about 4.5 at the users' prices; a move costs 0.1).  So machines follow the
//! demand, except those with long-running tasks, due for maintenance, or needed by their own pool.
//!
//! [`turns`] predicts which pool's turn comes next, so that idle machines can move there before it.

mod balance;
mod load;
mod share;
mod turns;

use crate::time::Time;
pub use balance::Balance;
pub use load::Load;
use share::Claim;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;
use strum::Display;
pub use turns::History;
use turns::Turns;

/// Machines kept beyond those over which long-running tasks are spread, so that a task whose minion
/// is lost finds another one at once and not after a move.
const SPREAD_RESERVE_MACHINES: usize = 1;

/// Time within which a pool should be able to work off its backlog: about the slack that jobs have
/// within their latency objective (some 2 s), less the time that a move takes.
pub const BACKLOG_HORIZON: Duration = Duration::from_millis(1000);

/// Limits of moves.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Machines that a pool keeps whatever its demand, because one may fail.
    pub min_machines: usize,
    /// Time after which a move that has not been ordered is cancelled and its machine used again.
    pub order_timeout: Duration,
    /// Longest time that a machine may be expected to take until it is empty: less than
    /// [`Settings::order_timeout`], since durations of tasks are estimates.
    pub max_emptying: Duration,
    /// Least time that a machine stays in a pool after it was ordered there: twice the time of a
    /// move.
    pub min_stay: Duration,
    /// Machines chosen for one pool at a time, or a third of the pool if that is more, because a
    /// burst asks for several times what the pool holds.  With four rounds of planning a second,
    /// this should match the rate of orders that the platform accepts.
    pub max_moves_per_pool: usize,
    /// Whether pools that lack machines give some to pools whose demand can still be in time.
    pub share_by_urgency: bool,
    /// Whether the first turn of a pool is expected to reach the peaks of the others.
    pub expect_equal_peaks: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            min_machines: 2,
            order_timeout: Duration::from_millis(2500),
            max_emptying: Duration::from_millis(2000),
            min_stay: Duration::from_millis(3000),
            max_moves_per_pool: 16,
            share_by_urgency: false,
            expect_equal_peaks: false,
        }
    }
}

/// A machine as the platform lists it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Machine {
    /// The pool that it is in.
    pub pool: String,
    /// The id of its minion, if it has one.
    pub minion: Option<String>,
    /// Whether it is in service or ready for it.
    pub up: bool,
    /// Whether it must stay in its pool, for example because it is due for maintenance.
    pub pinned: bool,
    /// Whether it accepts no tasks: it is silent, quarantined, or being emptied for maintenance.
    pub out_of_service: bool,
    /// Whether it has been emptying for so long that its pool needs another machine in its place.
    pub overdue: bool,
}

/// Why a machine moves.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// The demand of its new pool exceeds the pool's capacity.
    Shortage,
    /// Its new pool has its turn, and the demand is expected to rise beyond the pool's capacity.
    Turn,
    /// Its new pool may have the next turn.
    Ahead,
}

/// A move of a machine to another pool.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Move {
    /// The machine.
    pub machine: String,
    /// Its minion, which is emptied first.
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

/// Input and result of one round of planning.
struct Round<'a> {
    machines: &'a BTreeMap<String, Machine>,
    loads: &'a BTreeMap<String, Load>,
    spare: Option<&'a str>,
    now: Time,
    /// Machines of each pool beyond those that it needs.
    surplus: BTreeMap<&'a str, usize>,
    moves: Vec<Move>,
}

impl Round<'_> {
    /// Whether the machine's pool has another machine to spare.
    fn can_spare(&self, machine: &str) -> bool {
        let pool = self.machines[machine].pool.as_str();
        self.spare == Some(pool) || self.surplus.get(pool).is_some_and(|left| *left > 0)
    }
}

/// A pool with fewer machines than it needs.
struct Shortfall<'a> {
    pool: &'a str,
    present: usize,
    needed: usize,
}

impl Shortfall<'_> {
    /// The share of the needed machines that are present, in thousandths.
    fn satisfied_permille(&self) -> usize {
        self.present * 1000 / self.needed.max(1)
    }
}

/// The state of all pools.
#[derive(Debug, Default)]
pub struct Planner {
    settings: Settings,
    /// Moves that are decided but not yet ordered, by machine.
    pending: BTreeMap<String, Move>,
    /// Machines on their way, with their new pool and the time of the order.
    arriving: BTreeMap<String, (String, Time)>,
    /// When each machine was last ordered to another pool, and why.
    last_orders: BTreeMap<String, (Time, Reason)>,
    turns: Turns,
}

impl Planner {
    /// A planner without moves.
    pub fn new(settings: Settings) -> Self {
        let turns = Turns::new(settings.expect_equal_peaks);
        Self { settings, turns, ..Self::default() }
    }

    /// The turns observed so far, to be stored for the next fleet controller.
    pub fn history(&self) -> &History {
        self.turns.history()
    }

    /// Continues from the turns that an earlier fleet controller observed.
    pub fn restore_history(&mut self, history: History) {
        self.turns.restore(history);
    }

    /// Continues a turn whose beginning an earlier fleet controller observed.
    pub fn resume_turn(&mut self, began: Time) {
        self.turns.resume(began);
    }

    /// Moves that are decided but not yet ordered.
    pub fn pending(&self) -> impl Iterator<Item = &Move> {
        self.pending.values()
    }

    /// Whether moves are under way.
    pub fn has_moves_under_way(&self) -> bool {
        !self.pending.is_empty() || !self.arriving.is_empty()
    }

    /// Whether a machine's move is decided but not yet ordered.
    pub fn is_pending(&self, machine: &str) -> bool {
        self.pending.contains_key(machine)
    }

    /// Whether a machine is about to move, or on its way.
    pub fn is_moving(&self, machine: &str) -> bool {
        self.is_pending(machine) || self.arriving.contains_key(machine)
    }

    /// Records that a move was ordered.
    pub fn record_order(&mut self, machine: &str, now: Time) {
        if let Some(done) = self.pending.remove(machine) {
            self.arriving.insert(machine.into(), (done.to, now));
            self.last_orders.insert(machine.into(), (now, done.reason));
        }
    }

    /// Cancels a move that has not been ordered.
    pub fn cancel_move(&mut self, machine: &str) {
        self.pending.remove(machine);
    }

    /// Moves that have waited too long to be ordered and should be cancelled.
    pub fn overdue_moves(&self, now: Time) -> Vec<Move> {
        let is_overdue = |plan: &&Move| now.since(plan.decided_at) > self.settings.order_timeout;
        self.pending.values().filter(is_overdue).cloned().collect()
    }

    /// The balance of each pool that has a load.
    pub fn balances(
        &self,
        machines: &BTreeMap<String, Machine>,
        loads: &BTreeMap<String, Load>,
    ) -> BTreeMap<String, Balance> {
        let balance = |(pool, load): (&String, &Load)| {
            let arriving = self.arriving.values().filter(|(to, _)| to == pool).count()
                + self.pending.values().filter(|plan| plan.to == *pool).count();
            let balance = Balance {
                demand: (load.demand() + load.inherited_demand()) / 1000,
                long_running: load.long_running / 1000,
                present: self.machine_count(pool, machines) - arriving,
                arriving,
                needed: self.claim(load).total,
                timely: self.claim(load).timely,
                idle: load.free.iter().filter(|(_, cpu)| *cpu == 0).count(),
            };
            (pool.clone(), balance)
        };
        loads.iter().map(balance).collect()
    }

    /// Decides on further moves.  `spare` is the pool of machines that are switched off.
    pub fn plan(
        &mut self,
        machines: &BTreeMap<String, Machine>,
        loads: &BTreeMap<String, Load>,
        spare: Option<&str>,
        now: Time,
    ) -> Vec<Move> {
        self.remove_arrived(machines, now);
        let demand = |load: &Load| load.demand() + load.inherited_demand();
        let demands = loads.iter().map(|(pool, load)| (pool.as_str(), demand(load)));
        let machine = loads.values().map(|load| load.minion_cpu).max().unwrap_or(0);
        self.turns.observe(&demands.collect(), machine * machines.len() as u64, now);
        let mut surplus: BTreeMap<&str, usize> = BTreeMap::new();
        let mut shortfalls = Vec::new();
        for (pool, load, entitlement) in self.entitlements(machines, loads, spare) {
            let present = self.machine_count(pool, machines);
            let overdue = machines.values().filter(|one| one.pool == pool && one.overdue).count();
            let present = present.saturating_sub(overdue);
            let needed = entitlement.min(self.machines_usable(load));
            let tolerance = self.tolerance(load, entitlement);
            if needed > present + tolerance {
                shortfalls.push(Shortfall { pool, present, needed });
            } else if present > entitlement + tolerance {
                let in_service = self.in_service_count(pool, machines);
                let spared = in_service.saturating_sub(self.claim(load).min);
                surplus.insert(pool, spared.min(present - entitlement));
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

    /// Each pool with the machines that it may have: all that it asks for, or its share of a fleet
    /// that is too small.
    fn entitlements<'a>(
        &self,
        machines: &BTreeMap<String, Machine>,
        loads: &'a BTreeMap<String, Load>,
        spare: Option<&str>,
    ) -> Vec<(&'a str, &'a Load, usize)> {
        let claims: Vec<Claim> = loads.values().map(|load| self.claim(load)).collect();
        let pools = loads.keys().map(String::as_str).chain(spare);
        let available = pools.map(|pool| self.machine_count(pool, machines)).sum();
        let amounts = if self.settings.share_by_urgency {
            share::entitlements(&claims, available)
        } else {
            claims.iter().map(|claim| claim.total).collect()
        };
        let amounts = loads.iter().zip(amounts);
        amounts.map(|((pool, load), amount)| (pool.as_str(), load, amount)).collect()
    }

    /// How far a pool may be from its entitlement: not at all unless that is a share.
    fn tolerance(&self, load: &Load, entitlement: usize) -> usize {
        let is_share = entitlement < self.claim(load).total;
        if is_share { share::tolerance(entitlement) } else { 0 }
    }

    /// Moves idle machines to where further demand is expected.  Machines that are off stay off
    /// unless a turn is in progress, since they cost nothing until the demand rises.
    fn plan_ahead(&self, round: &mut Round<'_>) {
        let pools: Vec<&str> = round.loads.keys().map(String::as_str).collect();
        let is_certain = self.settings.expect_equal_peaks && self.turns.is_rising_as_known();
        let reason = if is_certain { Reason::Turn } else { Reason::Ahead };
        if !is_certain {
            round.spare = None;
        }
        let mut shortfalls = Vec::new();
        for (pool, cores) in self.turns.expected_demand(&pools, round.now) {
            let Some((pool, load)) = round.loads.get_key_value(&pool) else { continue };
            let chosen = round.moves.iter().filter(|plan| plan.to == *pool).count();
            let present = self.machine_count(pool, round.machines) + chosen;
            let needed = (cores + load.long_running).div_ceil(load.machine_cpu()) as usize;
            if let Some(left) = round.surplus.get_mut(pool.as_str()) {
                *left = (*left).min(present.saturating_sub(needed));
            }
            shortfalls.push(Shortfall { pool, present, needed });
        }
        self.fill_shortfalls(round, shortfalls, reason);
    }

    /// Chooses machines for pools with a shortfall, each for the pool that has the smallest share
    /// of what it needs.
    ///
    /// If the largest shortfall came first, a pool with a large backlog from an outage would get
    /// all machines: callers of another pool, whose turn had begun, waited five seconds with two
    /// machines.
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
        // Sorted once: the cost of a move doesn't depend on its destination, and a pool that has no
        // more machines to spare won't have any again in this round.
        let mut candidates = self.candidates(round, reason);
        candidates.sort_unstable();
        let mut candidates = candidates.into_iter();
        loop {
            shortfalls.retain(|(shortfall, moves_left)| {
                *moves_left > 0 && shortfall.needed > shortfall.present
            });
            let Some((shortfall, moves_left)) =
                shortfalls.iter_mut().min_by_key(|(shortfall, _)| shortfall.satisfied_permille())
            else {
                return;
            };
            let Some((_, machine)) = candidates.find(|(_, name)| round.can_spare(name)) else {
                return;
            };
            (shortfall.present, *moves_left) = (shortfall.present + 1, *moves_left - 1);
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

    /// Machines that could be moved, with the cost of their moves: the time until they are empty, in
    /// which they accept no tasks, then the cores in use.
    fn candidates<'a>(&self, round: &Round<'a>, reason: Reason) -> Vec<((u64, u64), &'a str)> {
        let Round { machines, loads, spare, now, moves, .. } = round;
        let chosen: BTreeSet<&str> = moves.iter().map(|plan| plan.machine.as_str()).collect();
        let settled = |name: &str| match self.last_orders.get(name) {
            // A machine that was moved ahead of demand isn't needed here if the demand rises
            // elsewhere.
            Some((_, Reason::Ahead)) if reason != Reason::Ahead => true,
            Some((ordered_at, _)) => now.since(*ordered_at) >= self.settings.min_stay,
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
        let busy: HashMap<&str, u64> = loads
            .values()
            .flat_map(|load| load.busy.iter().map(|(minion, ms)| (minion.as_str(), *ms)))
            .collect();
        let max_busy = self.settings.max_emptying.as_millis() as u64;
        let cost = |machine: &Machine| {
            if *spare == Some(machine.pool.as_str()) {
                // Its time in a pool costs something besides the move, so it ranks after idle
                // machines.
                return Some((0, 1));
            }
            let minion = machine.minion.as_deref()?;
            let busy_ms = busy.get(minion).copied().unwrap_or(0);
            let in_use = in_use.get(minion)?;
            (busy_ms <= max_busy).then_some((busy_ms, 2 * in_use))
        };
        machines
            .iter()
            .filter(|(name, machine)| machine.up && !machine.pinned && free(name))
            .filter_map(|(name, machine)| Some((cost(machine)?, name.as_str())))
            .collect()
    }

    /// The number of machines that a pool has or will have.
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

    /// The number of machines in a pool that accept tasks and stay.
    fn in_service_count(&self, pool: &str, machines: &BTreeMap<String, Machine>) -> usize {
        let is_in_service = |(name, machine): &(&String, &Machine)| {
            let is_usable = machine.up && !machine.out_of_service && machine.minion.is_some();
            machine.pool == pool && is_usable && !self.pending.contains_key(*name)
        };
        machines.iter().filter(is_in_service).count()
    }

    /// What a pool asks for, including demand that can't be worked on yet: machines that were given
    /// away would have to be moved back.
    fn claim(&self, load: &Load) -> Claim {
        Claim {
            min: self.machines_for(load, 0),
            timely: self.machines_for(load, load.timely_demand()),
            total: self.machines_for(load, load.demand() + load.inherited_demand()),
        }
    }

    /// The number of machines that a pool could use by the time that they arrive.
    fn machines_usable(&self, load: &Load) -> usize {
        self.machines_for(load, load.demand() + load.imminent_demand())
    }

    /// The number of machines that a pool needs for finite tasks with this demand.
    fn machines_for(&self, load: &Load, demand: u64) -> usize {
        let cores = demand + load.long_running;
        let min = self.settings.min_machines.max(load.min_minions + SPREAD_RESERVE_MACHINES);
        (cores.div_ceil(load.machine_cpu()) as usize).max(min)
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
