//! Which pool's turn comes next, and how many machines it will want.
//!
//! The pattern it answers: the queues' demand rises by turns.  One pool at a time asks for most of
//! the fleet during some seconds, the others for a twentieth of their mean, and the turns repeat in
//! the same order.  A machine that is sent for when the demand shows works some 2 s later (0.2 s to
//! see it, 1.5 s to move, the rest to be listed and greeted), which is the first fifth of a turn.
//! Machines that idle meanwhile can be in the next pool before its turn begins, for a move that they
//! would make in any case.
//!
//! What is known of the order comes from the turns that were seen.  In the first round those come next
//! that have not had one; later the one whose turn is longest ago.
//!
//! What a turn leaves waiting hides its end: its pool goes on asking for most of its peak when the next
//! turn's callers are there already.  So the time between the turns' beginnings is learnt, and when the
//! next one is due, machines that the present pool doesn't need now go ahead of it.
//!
//! Not everything that looks like a turn is one.  What is left of a turn flickers up again seconds after
//! it, and between two turns a single large job is the most that any pool asks for.  Counted as turns,
//! they hid which pool had not had its own yet: on one day with four turns eleven were noted, and the pool
//! of the last one got no machine ahead.  So a turn is one only from an eighth of
//! the fleet on, and a pool that had one must have rested before its next.

use crate::time::Time;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// How long a pool must ask for most before that counts: shorter peaks come from single large jobs.
const MIN_RISE: Duration = Duration::from_millis(400);

/// Cores that a pool must ask for to be the one that asks for most, in thousandths.  Between turns the
/// twentieth part of a queue's mean and its largest jobs stay below.
const MIN_LEADING_DEMAND_MILLICORES: u64 = 32_000;

/// The part of the fleet's cores that a pool must ask for before it has a turn.  A turn asks for more
/// than its pool holds, so for a quarter where four take turns; half of that, for those that ask for less.
const MIN_TURN_FLEET_DIVISOR: u64 = 8;

/// The part of the fleet's cores below which a pool rests.  A queue asks for a twentieth of its mean
/// then, which is a hundredth of what it asks for in its turn.
const REST_FLEET_DIVISOR: u64 = 32;

/// How long a pool must have rested before it can have a turn again: longer than the tasks at hand last
/// on average, which leave gaps in a remainder, and far shorter than the others' turns.
const MIN_REST: Duration = Duration::from_millis(1500);

/// A pool whose demand fell below this share of its turn's peak won't need more machines in this
/// turn: demand rises once and falls once in a turn.
const DECLINING_PEAK_SHARE: f64 = 0.6;

/// A pool that asked for less than this share of its turn's peak, and then for as much as in a turn
/// again, rises anew.
const ENDED_PEAK_SHARE: f64 = 0.3;

/// Times its demand so far that a pool is expected to ask for in its first turn.  A turn's demand
/// doubles from its second second to its peak.
const FIRST_TURN_PEAK_MULTIPLIER: u64 = 2;

/// How long before the next turn is expected to be noted machines go ahead of it: the 2 s in which they
/// come, and the 1.5 s that pass from a turn's first callers until it asks for an eighth of the fleet.
const LEAD_TIME: Duration = Duration::from_millis(3500);

/// Turns that are remembered: several rounds of the pools that take turns at today's sizes.
const MAX_HISTORY_TURNS: usize = 64;

/// The turns seen so far, oldest first; kept, so that the next holder of the duty knows them, too.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct History {
    /// The pools in the order of their turns.
    pub turns: Vec<String>,
    /// The most that each pool asked for in its last turn, in thousandths of cores.
    pub peaks: BTreeMap<String, u64>,
    /// Milliseconds between the beginnings of two turns, on average; 0 before the second one.
    pub gap_ms: u64,
    /// When the last one began, by the time of day in milliseconds since 1970; set by whoever keeps it.
    pub began_ms: u64,
}

/// How long a pool has asked for hardly anything.
#[derive(Debug, Default)]
struct Rest {
    since: Option<Time>,
    /// Whether that was long enough for another turn.
    is_sufficient: bool,
}

/// The pool that asks for most, and didn't before.
#[derive(Debug, Default)]
struct Busiest {
    pool: String,
    /// What it asked for when it was seen last.
    demand: u64,
    /// The most that it asked for.
    peak: u64,
    /// Whether it asked for so little since that it may rise anew.
    has_ended: bool,
    /// Whether this is noted as its turn.
    is_turn: bool,
}

impl Busiest {
    /// Whether its demand is below a share of its peak.
    fn is_below(&self, share: f64) -> bool {
        (self.demand as f64) < self.peak as f64 * share
    }
}

/// What is known and observed of the turns.
#[derive(Debug, Default)]
pub(crate) struct Turns {
    history: History,
    /// A pool that asks for most and didn't before, and since when.
    candidate: Option<(String, Time)>,
    busiest: Option<Busiest>,
    /// When the last turn was noted.
    last_began: Option<Time>,
    rests: BTreeMap<String, Rest>,
}

impl Turns {
    /// Goes on from a kept history.  How high the present turn rose isn't kept; that it rose as
    /// high as usual lets a low demand count as its end.
    pub(crate) fn restore(&mut self, history: History) {
        self.busiest = history.turns.last().map(|pool| {
            let peak = history.peaks.get(pool).copied().unwrap_or(0);
            Busiest { pool: pool.clone(), peak, is_turn: true, ..Busiest::default() }
        });
        self.history = history;
    }

    /// Goes on from a turn that a former holder saw begin.
    pub(crate) fn resume(&mut self, began: Time) {
        self.last_began = Some(began);
    }

    pub(crate) fn history(&self) -> &History {
        &self.history
    }

    /// Takes in what each pool asks for now, in thousandths of cores; `fleet` is what all machines
    /// have.
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
        // What is left of a turn that is ending doesn't hide the next one's beginning.
        let left_out = if declines { busiest } else { None };
        let rivals = demands.iter().filter(|(pool, _)| Some(**pool) != left_out);
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

    /// Notes the present pool's turn once it asks for enough, if it isn't the remainder of its last one.
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

    /// Whether the next turn should begin soon, or should have begun lately.
    fn is_next_due(&self, now: Time) -> bool {
        let gap = Duration::from_millis(self.history.gap_ms);
        // Turns that follow each other faster than machines do are left to the demand.
        let Some(began) = self.last_began.filter(|_| gap > LEAD_TIME * 2) else { return false };
        let passed = now.since(began);
        passed + LEAD_TIME >= gap && passed < gap + gap / 2
    }

    /// What pools are expected to ask for soon, in thousandths of cores: the present turn's pool
    /// until its demand falls or the next turn is due, then those that may come next, each an equal share of one turn.
    pub(crate) fn expected_demand(&self, pools: &[&str], now: Time) -> Vec<(String, u64)> {
        let Some(busiest) = &self.busiest else { return Vec::new() };
        let ends = busiest.is_turn && self.is_next_due(now);
        let rises = !ends && !busiest.is_below(DECLINING_PEAK_SHARE);
        let first_turn_peak = busiest.peak * FIRST_TURN_PEAK_MULTIPLIER;
        if busiest.is_turn && rises {
            let known = self.history.peaks.get(&busiest.pool).copied();
            let expected = known.unwrap_or(first_turn_peak).max(busiest.peak);
            return vec![(busiest.pool.clone(), expected)];
        }
        let next = self.next_pools(pools);
        let count = next.len().max(1) as u64;
        let share = |pool: &str| self.expected_peak(pool) / count;
        if rises {
            // Whether a turn begins or a single job is large: what idles goes where something waits.
            let ahead = if next.contains(&&*busiest.pool) { share(&busiest.pool) } else { 0 };
            return vec![(busiest.pool.clone(), first_turn_peak.max(ahead))];
        }
        next.into_iter().map(|pool| (pool.to_owned(), share(pool))).collect()
    }

    /// The most that a pool asked for in a turn; for one without a turn, the most of any.
    fn expected_peak(&self, pool: &str) -> u64 {
        let known = self.history.peaks.get(pool).copied();
        let busiest = self.busiest.as_ref().filter(|busiest| busiest.is_turn);
        let peak = busiest.map_or(0, |busiest| busiest.peak);
        let any = self.history.peaks.values().max().copied().unwrap_or(0).max(peak);
        known.unwrap_or(any)
    }

    /// Pools whose turn may come after the last one.
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
