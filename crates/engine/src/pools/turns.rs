//! Which pool's turn comes next, and how many machines it will want.
//!
//! The pattern it answers: the queues' demand rises by turns.  One pool at a time asks for most of
//! the fleet during some seconds, the others for a twentieth of their mean, and the turns repeat in
//! the same order.  A machine that is sent for when the demand shows works some 2 s later (0.2 s to
//! see it, 1.5 s to move, the rest to be listed and greeted), which is the first fifth of a turn.
//! Machines that idle meanwhile can be in the next pool before its turn begins, for a move that they
//! would make in any case.
//!
//! What is known of the order comes from the turns that were seen: after the pool that followed the
//! present one the last time, or, before that is known, after those that have not had a turn yet.

use crate::time::Time;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// How long a pool must ask for most before that counts as its turn: shorter peaks come from single
/// large jobs.
const LEAST_TURN: Duration = Duration::from_millis(400);

/// Cores that a pool must ask for to have a turn, in thousandths: two machines'.  Between turns the
/// twentieth part of a queue's mean and its largest jobs stay below.
const LEAST_DEMAND: u64 = 32_000;

/// A pool whose demand fell below this share of its turn's peak won't need more machines in this
/// turn: demand rises once and falls once in a turn.
const DECLINING: f64 = 0.6;

/// A pool that asked for less than this share of its turn's peak, and then for as much as in a turn
/// again, has another one.
const OVER: f64 = 0.3;

/// Times its demand so far that a pool is expected to ask for in its first turn.  A turn's demand
/// doubles from its second second to its peak.
const FIRST_RISE: u64 = 2;

/// Turns that are remembered: several rounds of the pools that take turns at today's sizes.
const MAX_HISTORY: usize = 64;

/// The turns seen so far, oldest first; kept, so that the next holder of the duty knows them, too.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct History {
    /// The pools in the order of their turns.
    pub turns: Vec<String>,
    /// The most that each pool asked for in its last turn, in thousandths of cores.
    pub peaks: BTreeMap<String, u64>,
}

/// What is known and observed of the turns.
#[derive(Debug, Default)]
pub(crate) struct Turns {
    history: History,
    /// A pool that asks for most and didn't before, and since when.
    rising: Option<(String, Time)>,
    /// What the pool whose turn it is asked for when it was seen last.
    demand: u64,
    /// The most that it asked for since its turn began.
    highest: u64,
    /// Whether it asked for so little since that its turn is over.
    over: bool,
}

impl Turns {
    /// Goes on from a kept history.  How high the present turn rose isn't kept; that it rose as
    /// high as usual lets a low demand count as its end.
    pub(crate) fn restore(&mut self, history: History) {
        self.history = history;
        self.highest = self.history.turns.last().map_or(0, |present| self.peak(present));
    }

    pub(crate) fn history(&self) -> &History {
        &self.history
    }

    /// Takes in what each pool asks for now, in thousandths of cores.
    pub(crate) fn observe(&mut self, demands: &BTreeMap<&str, u64>, now: Time) {
        if let Some(present) = self.history.turns.last() {
            self.demand = demands.get(present.as_str()).copied().unwrap_or(self.demand);
            self.highest = self.highest.max(self.demand);
            self.over |= self.is_below(OVER);
        }
        // What is left of a turn that is ending doesn't hide the next one's beginning.
        let present = self.history.turns.last().map(String::as_str);
        let left_out = if self.is_below(DECLINING) { present } else { None };
        let rivals = demands.iter().filter(|(pool, _)| Some(**pool) != left_out);
        let total: u64 = rivals.clone().map(|(_, demand)| *demand).sum();
        let most = rivals.max_by_key(|(_, demand)| **demand);
        let most = most.filter(|(_, demand)| **demand >= LEAST_DEMAND && **demand * 2 > total);
        let again = self.over && !self.is_below(DECLINING);
        match most {
            Some((pool, _)) if again || present != Some(*pool) => self.rise(pool, now),
            _ => self.rising = None,
        }
    }

    /// Whether the present turn's demand is below a share of its peak.
    fn is_below(&self, share: f64) -> bool {
        (self.demand as f64) < self.highest as f64 * share
    }

    fn rise(&mut self, pool: &str, now: Time) {
        match &self.rising {
            Some((rising, since)) if rising == pool => {
                if now.since(*since) >= LEAST_TURN {
                    self.begin(pool);
                }
            }
            _ => self.rising = Some((pool.into(), now)),
        }
    }

    fn begin(&mut self, pool: &str) {
        self.rising = None;
        if let Some(present) = self.history.turns.last() {
            self.history.peaks.insert(present.clone(), self.highest);
        }
        (self.highest, self.over) = (0, false);
        if self.history.turns.len() >= MAX_HISTORY {
            self.history.turns.remove(0);
        }
        self.history.turns.push(pool.into());
    }

    /// What pools are expected to ask for soon, in thousandths of cores: the present turn's pool
    /// until its demand falls, then those that may come next, each an equal share of one turn.
    pub(crate) fn expected(&self, pools: &[&str]) -> Vec<(String, u64)> {
        let Some(present) = self.history.turns.last() else { return Vec::new() };
        if !self.is_below(DECLINING) {
            let known = self.history.peaks.get(present).copied();
            let expected = known.unwrap_or(self.highest * FIRST_RISE).max(self.highest);
            return vec![(present.clone(), expected)];
        }
        let next = self.next(present, pools);
        let count = next.len().max(1) as u64;
        next.into_iter().map(|pool| (pool.to_owned(), self.peak(pool) / count)).collect()
    }

    /// The most that a pool asked for in a turn; for one without a turn, the most of any.
    fn peak(&self, pool: &str) -> u64 {
        let known = self.history.peaks.get(pool).copied();
        let any = self.history.peaks.values().max().copied().unwrap_or(0).max(self.highest);
        known.unwrap_or(any)
    }

    /// Pools whose turn may come after `present`.
    fn next<'a>(&'a self, present: &str, pools: &[&'a str]) -> Vec<&'a str> {
        let turns = &self.history.turns;
        let followed = turns.windows(2).rev().find(|pair| pair[0] == present);
        if let Some(pair) = followed {
            return vec![pair[1].as_str()];
        }
        let fresh = |pool: &&&str| !turns.iter().any(|turn| turn == **pool);
        let waiting: Vec<&str> = pools.iter().filter(fresh).copied().collect();
        if !waiting.is_empty() {
            return waiting;
        }
        // Everybody had a turn and nobody followed the present one: a round begins anew.
        turns.first().map(String::as_str).filter(|first| *first != present).into_iter().collect()
    }
}
