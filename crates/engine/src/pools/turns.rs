//! Predicts which pool's demand peaks next, and how many machines it will need.
//!
//! The queues' demand peaks in turns: for some seconds one pool asks for most of the fleet and the
//! others for a twentieth of their mean, and the turns repeat in the same order.  A machine that is
//! moved once the demand is observed starts work some 2 s later (0.2 s to observe it, 1.5 s to
//! move, the rest until it is listed and its owner has contacted it), which is the first fifth of a
//! turn.  Idle machines can be moved to the next pool before its turn begins, at the cost of a move
//! that they would make anyway.
//!
//! The order is derived from the turns observed so far.  In the first round, the pools that have
//! not had a turn are expected next; later, the pool whose turn is longest ago.
//!
//! The backlog of a turn hides its end: its pool still asks for most of its peak when the callers
//! of the next turn arrive.  So the mean time between the beginnings of turns is measured, and when
//! the next turn is due, machines that the current pool doesn't need now are moved ahead of it.
//!
//! Not every peak is a turn.  The backlog of a turn can rise again seconds after it, and between
//! two turns a single large job can be the highest demand.  When such peaks counted as turns,
//! eleven turns were recorded on a day with four, which hid the pool that had not had one yet, and
//! it got no machines ahead of its turn.  So a turn must reach an eighth of the fleet, and a pool
//! that had one must have rested before its next.

use crate::time::Time;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// How long a pool's demand must be the highest before it counts: single large jobs cause shorter
/// peaks.
const MIN_RISE: Duration = Duration::from_millis(400);

/// Least demand that counts as the highest.  Between turns, a twentieth of a queue's mean and its
/// largest jobs stay below it.
const MIN_LEADING_DEMAND_MILLICORES: u64 = 32_000;

/// Divisor of the fleet's cores: a pool must ask for this part of them to have a turn.  A turn asks
/// for more than its pool holds, which is a quarter of the fleet with four pools; half of that
/// covers smaller turns.
const MIN_TURN_FLEET_DIVISOR: u64 = 8;

/// Divisor of the fleet's cores: a pool that asks for less than this part of them is at rest.  A
/// queue at rest asks for a twentieth of its mean, which is a hundredth of its demand in a turn.
const REST_FLEET_DIVISOR: u64 = 32;

/// How long a pool must have rested before its next turn: longer than running tasks last on
/// average, since their ends leave gaps in the demand of a backlog, and far shorter than the
/// others' turns.
const MIN_REST: Duration = Duration::from_millis(1500);

/// A pool whose demand has fallen below this share of its turn's peak won't need more machines in
/// this turn, because demand rises and falls only once in a turn.
const DECLINING_PEAK_SHARE: f64 = 0.6;

/// Once a pool's demand has fallen below this share of its turn's peak, another rise can begin a
/// new turn.
const ENDED_PEAK_SHARE: f64 = 0.3;

/// Multiple of its highest demand so far that a pool is expected to reach in its first turn.
/// Demand doubles between the second second of a turn and its peak.
const FIRST_TURN_PEAK_MULTIPLIER: u64 = 2;

/// How long before the next turn is expected to be recorded machines are moved ahead of it: the 2 s
/// that they take, and the 1.5 s from a turn's first callers until it asks for an eighth of the
/// fleet.
const LEAD_TIME: Duration = Duration::from_millis(3500);

/// Covers several rounds of turns with the pools of current deployments.
const MAX_HISTORY_TURNS: usize = 64;

/// The turns observed so far, oldest first; stored for the next fleet controller.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct History {
    /// The pools in the order of their turns.
    pub turns: Vec<String>,
    /// The highest demand of each pool in its last turn, in millicores.
    pub peaks: BTreeMap<String, u64>,
    /// Mean time between the beginnings of two turns, in milliseconds; 0 before the second one.
    pub gap_ms: u64,
    /// When the last one began, in milliseconds since the Unix epoch; set by the code that stores
    /// it.
    pub began_ms: u64,
}

/// The time that a pool has been at rest.
#[derive(Debug, Default)]
struct Rest {
    since: Option<Time>,
    /// Whether the pool has rested long enough for another turn.
    is_sufficient: bool,
}

/// The pool whose demand has risen to be the highest.
#[derive(Debug, Default)]
struct Busiest {
    pool: String,
    /// Its demand when last observed, in millicores.
    demand: u64,
    /// Its highest demand, in millicores.
    peak: u64,
    /// Whether its demand has fallen so low that another rise can begin a new turn.
    has_ended: bool,
    /// Whether this is recorded as its turn.
    is_turn: bool,
}

impl Busiest {
    /// Whether its demand is below a share of its peak.
    fn is_below(&self, share: f64) -> bool {
        (self.demand as f64) < self.peak as f64 * share
    }
}

/// Detector and predictor of turns.
#[derive(Debug, Default)]
pub(crate) struct Turns {
    /// Whether a pool's first turn is expected to reach the peaks of the others.
    expect_equal_peaks: bool,
    history: History,
    /// A pool whose demand has become the highest, and since when.
    candidate: Option<(String, Time)>,
    busiest: Option<Busiest>,
    /// When the last turn was recorded.
    last_began: Option<Time>,
    rests: BTreeMap<String, Rest>,
}

impl Turns {
    pub(crate) fn new(expect_equal_peaks: bool) -> Self {
        Self { expect_equal_peaks, ..Self::default() }
    }

    /// Continues from a stored history.  It doesn't contain the peak of the current turn, so the
    /// pool's last peak is assumed, by which low demand counts as the turn's end.
    pub(crate) fn restore(&mut self, history: History) {
        self.busiest = history.turns.last().map(|pool| {
            let peak = history.peaks.get(pool).copied().unwrap_or(0);
            Busiest { pool: pool.clone(), peak, is_turn: true, ..Busiest::default() }
        });
        self.history = history;
    }

    /// Continues a turn whose beginning an earlier fleet controller observed.
    pub(crate) fn resume(&mut self, began: Time) {
        self.last_began = Some(began);
    }

    pub(crate) fn history(&self) -> &History {
        &self.history
    }

    /// Records the current demand of each pool; `fleet` is the capacity of all machines.  Both are
    /// in millicores.
    pub(crate) fn observe(&mut self, demands: &BTreeMap<&str, u64>, fleet: u64, now: Time) {
        self.update_rests(demands, fleet, now);
        if let Some(busiest) = &mut self.busiest {
            busiest.demand = demands.get(busiest.pool.as_str()).copied().unwrap_or(busiest.demand);
            busiest.peak = busiest.peak.max(busiest.demand);
            busiest.has_ended |= busiest.is_below(ENDED_PEAK_SHARE);
        }
        let declines =
            self.busiest.as_ref().is_some_and(|busiest| busiest.is_below(DECLINING_PEAK_SHARE));
        let busiest = self.busiest.as_ref().map(|busiest| busiest.pool.as_str());
        // The backlog of a turn that is ending must not hide the beginning of the next one.
        let excluded = if declines { busiest } else { None };
        let is_rival =
            |pool: &str, demand| Some(pool) != excluded && !self.is_remainder(pool, demand);
        let rivals = demands.iter().filter(|(pool, demand)| is_rival(pool, **demand));
        let total: u64 = rivals.clone().map(|(_, demand)| *demand).sum();
        let leader = rivals.max_by_key(|(_, demand)| **demand);
        let leader = leader.filter(|(_, demand)| {
            **demand >= MIN_LEADING_DEMAND_MILLICORES && **demand * 2 > total
        });
        let again = !declines && self.busiest.as_ref().is_some_and(|busiest| busiest.has_ended);
        match leader {
            Some((pool, _)) if again || busiest != Some(*pool) => self.track_candidate(pool, now),
            _ => self.candidate = None,
        }
        self.record_turn(fleet, now);
    }

    /// Whether a pool's demand is what is left of an earlier turn.
    ///
    /// While the next turn rises, it may be the higher demand of both.  When it counted as a rise, it
    /// drew machines away from the next turn's pool.
    fn is_remainder(&self, pool: &str, demand: u64) -> bool {
        let has_rested = self.rests.get(pool).is_none_or(|rest| rest.is_sufficient);
        let is_busiest = self.busiest.as_ref().is_some_and(|busiest| busiest.pool == pool);
        let peak = self.history.peaks.get(pool).copied().unwrap_or(0);
        !has_rested && !is_busiest && (demand as f64) < peak as f64 * DECLINING_PEAK_SHARE
    }

    /// Whether a turn is in progress whose demand hasn't begun to fall, after others that show how
    /// high it may rise.
    pub(crate) fn is_rising_as_known(&self) -> bool {
        let is_rising =
            |busiest: &Busiest| busiest.is_turn && !busiest.is_below(DECLINING_PEAK_SHARE);
        !self.history.peaks.is_empty() && self.busiest.as_ref().is_some_and(is_rising)
    }

    fn update_rests(&mut self, demands: &BTreeMap<&str, u64>, fleet: u64, now: Time) {
        for (pool, demand) in demands {
            let rest = self.rests.entry((*pool).to_owned()).or_default();
            if *demand >= fleet / REST_FLEET_DIVISOR {
                rest.since = None;
                continue;
            }
            let since = *rest.since.get_or_insert(now);
            rest.is_sufficient |= now.since(since) >= MIN_REST;
        }
    }

    fn track_candidate(&mut self, pool: &str, now: Time) {
        match &self.candidate {
            Some((candidate, since)) if candidate == pool => {
                if now.since(*since) >= MIN_RISE {
                    self.set_busiest(pool);
                }
            }
            _ => self.candidate = Some((pool.into(), now)),
        }
    }

    fn set_busiest(&mut self, pool: &str) {
        self.candidate = None;
        let fresh = Busiest { pool: pool.into(), ..Busiest::default() };
        if let Some(last) = self.busiest.replace(fresh).filter(|last| last.is_turn) {
            self.history.peaks.insert(last.pool, last.peak);
        }
    }

    /// Records a turn of the busiest pool once its demand is high enough, unless that is the
    /// backlog of its last turn.
    fn record_turn(&mut self, fleet: u64, now: Time) {
        let Some(busiest) = &mut self.busiest else { return };
        if busiest.is_turn || busiest.demand < fleet / MIN_TURN_FLEET_DIVISOR {
            return;
        }
        let rest = self.rests.entry(busiest.pool.clone()).or_default();
        if self.history.turns.contains(&busiest.pool) && !rest.is_sufficient {
            return;
        }
        rest.is_sufficient = false;
        busiest.is_turn = true;
        if self.history.turns.len() >= MAX_HISTORY_TURNS {
            self.history.turns.remove(0);
        }
        self.history.turns.push(busiest.pool.clone());
        if let Some(last) = self.last_began.replace(now) {
            let gap = now.since(last).as_millis() as u64;
            let known = self.history.gap_ms;
            self.history.gap_ms = if known == 0 { gap } else { (known + gap) / 2 };
        }
    }

    /// Whether the next turn should begin soon or should have begun recently.
    fn is_next_due(&self, now: Time) -> bool {
        let gap = Duration::from_millis(self.history.gap_ms);
        // Machines can't be moved ahead of turns that follow each other this fast.
        let Some(began) = self.last_began.filter(|_| gap > LEAD_TIME * 2) else { return false };
        let passed = now.since(began);
        passed + LEAD_TIME >= gap && passed < gap + gap / 2
    }

    /// The expected demand of pools, in millicores: that of the current turn's pool until its
    /// demand falls or the next turn is due, then an equal share of one turn for each pool that may
    /// be next.
    pub(crate) fn expected_demand(&self, pools: &[&str], now: Time) -> Vec<(String, u64)> {
        let Some(busiest) = &self.busiest else { return Vec::new() };
        let ends = busiest.is_turn && self.is_next_due(now);
        let rises = !ends && !busiest.is_below(DECLINING_PEAK_SHARE);
        let first_turn_peak = busiest.peak * FIRST_TURN_PEAK_MULTIPLIER;
        if busiest.is_turn && rises {
            let known = self.history.peaks.get(&busiest.pool).copied();
            let others =
                if self.expect_equal_peaks { self.expected_peak(&busiest.pool) } else { 0 };
            let expected = known.unwrap_or(first_turn_peak.max(others)).max(busiest.peak);
            return vec![(busiest.pool.clone(), expected)];
        }
        let next = self.next_pools(pools);
        let count = next.len().max(1) as u64;
        let share = |pool: &str| self.expected_peak(pool) / count;
        if rises {
            // This may be a turn or a single large job; either way idle machines go where tasks
            // wait.
            let ahead = if next.contains(&&*busiest.pool) { share(&busiest.pool) } else { 0 };
            return vec![(busiest.pool.clone(), first_turn_peak.max(ahead))];
        }
        next.into_iter().map(|pool| (pool.to_owned(), share(pool))).collect()
    }

    /// The peak demand expected of a pool: that of its last turn, or the highest of any pool if it
    /// has had none.
    fn expected_peak(&self, pool: &str) -> u64 {
        let known = self.history.peaks.get(pool).copied();
        let busiest = self.busiest.as_ref().filter(|busiest| busiest.is_turn);
        let peak = busiest.map_or(0, |busiest| busiest.peak);
        let any = self.history.peaks.values().max().copied().unwrap_or(0).max(peak);
        known.unwrap_or(any)
    }

    /// Pools that may have the next turn.
    fn next_pools<'a>(&'a self, pools: &[&'a str]) -> Vec<&'a str> {
        let turns = &self.history.turns;
        let Some(last) = turns.last() else { return Vec::new() };
        let repeats = turns.iter().enumerate().any(|(at, turn)| turns[..at].contains(turn));
        let fresh = |pool: &&&str| !turns.iter().any(|turn| turn == **pool);
        let waiting: Vec<&str> = pools.iter().filter(fresh).copied().collect();
        if !repeats && !waiting.is_empty() {
            return waiting;
        }
        let ago = |pool: &str| turns.iter().rev().position(|turn| turn == pool);
        let had = pools.iter().copied().filter(|pool| pool != last && ago(pool).is_some());
        had.max_by_key(|pool| ago(pool)).into_iter().collect()
    }
}
