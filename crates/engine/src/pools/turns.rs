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
const LEAST_RISE: Duration = Duration::from_millis(400);

/// Cores that a pool must ask for to be the one that asks for most, in thousandths.  Between turns the
/// twentieth part of a queue's mean and its largest jobs stay below.
const LEAST_DEMAND: u64 = 32_000;

/// The part of the fleet's cores that a pool must ask for before it has a turn.  A turn asks for more
/// than its pool holds, so for a quarter where four take turns; half of that, for those that ask for less.
const LEAST_TURN: u64 = 8;

/// The part of the fleet's cores below which a pool rests.  A queue asks for a twentieth of its mean
/// then, which is a hundredth of what it asks for in its turn.
const RESTS: u64 = 32;

/// How long a pool must have rested before it can have a turn again: longer than the tasks at hand last
/// on average, which leave gaps in a remainder, and far shorter than the others' turns.
const LEAST_REST: Duration = Duration::from_millis(1500);

/// A pool whose demand fell below this share of its turn's peak won't need more machines in this
/// turn: demand rises once and falls once in a turn.
const DECLINING: f64 = 0.6;

/// A pool that asked for less than this share of its turn's peak, and then for as much as in a turn
/// again, rises anew.
const OVER: f64 = 0.3;

/// Times its demand so far that a pool is expected to ask for in its first turn.  A turn's demand
/// doubles from its second second to its peak.
const FIRST_RISE: u64 = 2;

/// How long before the next turn is expected to be noted machines go ahead of it: the 2 s in which they
/// come, and the 1.5 s that pass from a turn's first callers until it asks for an eighth of the fleet.
const LEAD: Duration = Duration::from_millis(3500);

/// Turns that are remembered: several rounds of the pools that take turns at today's sizes.
const MAX_HISTORY: usize = 64;

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
    enough: bool,
}

/// The pool that asks for most, and didn't before.
#[derive(Debug, Default)]
struct Present {
    pool: String,
    /// What it asked for when it was seen last.
    demand: u64,
    /// The most that it asked for.
    highest: u64,
    /// Whether it asked for so little since that it may rise anew.
    over: bool,
    /// Whether this is noted as its turn.
    is_turn: bool,
}

impl Present {
    /// Whether its demand is below a share of its peak.
    fn is_below(&self, share: f64) -> bool {
        (self.demand as f64) < self.highest as f64 * share
    }
}

/// What is known and observed of the turns.
#[derive(Debug, Default)]
pub(crate) struct Turns {
    history: History,
    /// A pool that asks for most and didn't before, and since when.
    rising: Option<(String, Time)>,
    present: Option<Present>,
    /// When the last turn was noted.
    began: Option<Time>,
    rests: BTreeMap<String, Rest>,
}

impl Turns {
    /// Goes on from a kept history.  How high the present turn rose isn't kept; that it rose as
    /// high as usual lets a low demand count as its end.
    pub(crate) fn restore(&mut self, history: History) {
        self.present = history.turns.last().map(|pool| {
            let highest = history.peaks.get(pool).copied().unwrap_or(0);
            Present { pool: pool.clone(), highest, is_turn: true, ..Present::default() }
        });
        self.history = history;
    }

    /// Goes on from a turn that a former holder saw begin.
    pub(crate) fn resume(&mut self, began: Time) {
        self.began = Some(began);
    }

    pub(crate) fn history(&self) -> &History {
        &self.history
    }

    /// Takes in what each pool asks for now, in thousandths of cores; `fleet` is what all machines
    /// have.
    pub(crate) fn observe(&mut self, demands: &BTreeMap<&str, u64>, fleet: u64, now: Time) {
        self.note_rests(demands, fleet, now);
        if let Some(present) = &mut self.present {
            present.demand = demands.get(present.pool.as_str()).copied().unwrap_or(present.demand);
            present.highest = present.highest.max(present.demand);
            present.over |= present.is_below(OVER);
        }
        let declines = self.present.as_ref().is_some_and(|present| present.is_below(DECLINING));
        let present = self.present.as_ref().map(|present| present.pool.as_str());
        // What is left of a turn that is ending doesn't hide the next one's beginning.
        let left_out = if declines { present } else { None };
        let rivals = demands.iter().filter(|(pool, _)| Some(**pool) != left_out);
        let total: u64 = rivals.clone().map(|(_, demand)| *demand).sum();
        let most = rivals.max_by_key(|(_, demand)| **demand);
        let most = most.filter(|(_, demand)| **demand >= LEAST_DEMAND && **demand * 2 > total);
        let again = !declines && self.present.as_ref().is_some_and(|present| present.over);
        match most {
            Some((pool, _)) if again || present != Some(*pool) => self.rise(pool, now),
            _ => self.rising = None,
        }
        self.note_turn(fleet, now);
    }

    fn note_rests(&mut self, demands: &BTreeMap<&str, u64>, fleet: u64, now: Time) {
        for (pool, demand) in demands {
            let rest = self.rests.entry((*pool).to_owned()).or_default();
            if *demand >= fleet / RESTS {
                rest.since = None;
                continue;
            }
            let since = *rest.since.get_or_insert(now);
            rest.enough |= now.since(since) >= LEAST_REST;
        }
    }

    fn rise(&mut self, pool: &str, now: Time) {
        match &self.rising {
            Some((rising, since)) if rising == pool => {
                if now.since(*since) >= LEAST_RISE {
                    self.begin(pool);
                }
            }
            _ => self.rising = Some((pool.into(), now)),
        }
    }

    fn begin(&mut self, pool: &str) {
        self.rising = None;
        let fresh = Present { pool: pool.into(), ..Present::default() };
        if let Some(last) = self.present.replace(fresh).filter(|last| last.is_turn) {
            self.history.peaks.insert(last.pool, last.highest);
        }
    }

    /// Notes the present pool's turn once it asks for enough, if it isn't the remainder of its last one.
    fn note_turn(&mut self, fleet: u64, now: Time) {
        let Some(present) = &mut self.present else { return };
        if present.is_turn || present.demand < fleet / LEAST_TURN {
            return;
        }
        let rest = self.rests.entry(present.pool.clone()).or_default();
        if self.history.turns.contains(&present.pool) && !rest.enough {
            return;
        }
        rest.enough = false;
        present.is_turn = true;
        if self.history.turns.len() >= MAX_HISTORY {
            self.history.turns.remove(0);
        }
        self.history.turns.push(present.pool.clone());
        if let Some(last) = self.began.replace(now) {
            let gap = now.since(last).as_millis() as u64;
            let known = self.history.gap_ms;
            self.history.gap_ms = if known == 0 { gap } else { (known + gap) / 2 };
        }
    }

    /// Whether the next turn should begin soon, or should have begun lately.
    fn is_next_due(&self, now: Time) -> bool {
        let gap = Duration::from_millis(self.history.gap_ms);
        // Turns that follow each other faster than machines do are left to the demand.
        let Some(began) = self.began.filter(|_| gap > LEAD * 2) else { return false };
        let passed = now.since(began);
        passed + LEAD >= gap && passed < gap + gap / 2
    }

    /// What pools are expected to ask for soon, in thousandths of cores: the present turn's pool
    /// until its demand falls or the next turn is due, then those that may come next, each an equal share of one turn.
    pub(crate) fn expected(&self, pools: &[&str], now: Time) -> Vec<(String, u64)> {
        let Some(present) = &self.present else { return Vec::new() };
        let ends = present.is_turn && self.is_next_due(now);
        let rises = !ends && !present.is_below(DECLINING);
        let rise = present.highest * FIRST_RISE;
        if present.is_turn && rises {
            let known = self.history.peaks.get(&present.pool).copied();
            let expected = known.unwrap_or(rise).max(present.highest);
            return vec![(present.pool.clone(), expected)];
        }
        let next = self.next(pools);
        let count = next.len().max(1) as u64;
        let share = |pool: &str| self.peak(pool) / count;
        if rises {
            // Whether a turn begins or a single job is large: what idles goes where something waits.
            let ahead = if next.contains(&&*present.pool) { share(&present.pool) } else { 0 };
            return vec![(present.pool.clone(), rise.max(ahead))];
        }
        next.into_iter().map(|pool| (pool.to_owned(), share(pool))).collect()
    }

    /// The most that a pool asked for in a turn; for one without a turn, the most of any.
    fn peak(&self, pool: &str) -> u64 {
        let known = self.history.peaks.get(pool).copied();
        let present = self.present.as_ref().filter(|present| present.is_turn);
        let highest = present.map_or(0, |present| present.highest);
        let any = self.history.peaks.values().max().copied().unwrap_or(0).max(highest);
        known.unwrap_or(any)
    }

    /// Pools whose turn may come after the last one.
    fn next<'a>(&'a self, pools: &[&'a str]) -> Vec<&'a str> {
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
