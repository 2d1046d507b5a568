//! Pool sizes: decides when a minion should move to another pool.
//!
//! A move costs a drain and a reboot, so moves are rare: a shortage has to persist, a cooldown
//! follows each move, and a pool donates only what it can spare.

use crate::time::Moment;
use celerythread_model::id;
use std::collections::BTreeMap;
use std::time::Duration;

/// Share of slots in use above which a pool is short.
const SHORTAGE_UTILISATION: f64 = 0.85;

/// Share of slots in use up to which a pool can donate, calculated without the donated minion.
const MAX_DONOR_UTILISATION: f64 = 0.6;

/// A pool, as the sizing sees it.
#[derive(Clone, Debug)]
pub struct Pool {
    /// Its service.
    pub service: id::Service,
    /// Minions that serve.
    pub serving: u32,
    /// Target number of minions.
    pub wanted: u32,
    /// Minimum number of minions.
    pub floor: u32,
    /// Share of its slots in use, as a moving average computed by the caller of this module.
    pub utilisation: f64,
    /// Whether it donates even when it has no more minions than its target.
    pub lends: bool,
}

impl Pool {
    /// The pool's shortage, not positive if it has none.  Pools below the floor rank first, then
    /// those below the target, then those with a high load.
    fn shortage(&self) -> f64 {
        if self.serving < self.floor {
            return 100.0 + f64::from(self.floor - self.serving);
        }
        if self.serving < self.wanted && self.utilisation > MAX_DONOR_UTILISATION {
            return 10.0 + f64::from(self.wanted - self.serving) + self.utilisation;
        }
        self.utilisation - SHORTAGE_UTILISATION
    }

    /// A rank for the pool as a donor, higher is better; none if it can't donate.
    fn surplus(&self) -> Option<f64> {
        let after = f64::from(self.serving.saturating_sub(1)).max(1.0);
        let utilisation = self.utilisation * f64::from(self.serving) / after;
        let above_floor = self.serving > self.floor;
        let above_wanted = self.serving > self.wanted;
        let can_give =
            above_floor && (above_wanted || self.lends) && utilisation <= MAX_DONOR_UTILISATION;
        can_give.then(|| f64::from(u32::from(above_wanted)) + 1.0 - utilisation)
    }
}

/// A move of one minion.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Move {
    /// The donor.
    pub from: id::Service,
    /// The recipient.
    pub to: id::Service,
}

/// Limits on how often minions are moved.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// How long a shortage must persist before a move.
    pub min_shortage_duration: Duration,
    /// Minimum time between two moves.
    pub cooldown: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self { min_shortage_duration: Duration::from_secs(120), cooldown: Duration::from_secs(300) }
    }
}

/// Decides moves and remembers since when each pool has been short.
#[derive(Clone, Debug, Default)]
pub struct Sizer {
    short_since: BTreeMap<id::Service, Moment>,
    last_move: Option<Moment>,
}

impl Sizer {
    /// Decides at most one move.
    pub fn decide(&mut self, pools: &[Pool], now: Moment, settings: Settings) -> Option<Move> {
        self.short_since.retain(|service, _| {
            pools.iter().any(|pool| pool.service == *service && pool.shortage() > 0.0)
        });
        for pool in pools.iter().filter(|pool| pool.shortage() > 0.0) {
            self.short_since.entry(pool.service.clone()).or_insert(now);
        }
        if self.last_move.is_some_and(|last| now.since(last) < settings.cooldown) {
            return None;
        }
        let persistent = pools.iter().filter(|pool| {
            let since = self.short_since.get(&pool.service);
            since.is_some_and(|since| now.since(*since) >= settings.min_shortage_duration)
        });
        let neediest = persistent.max_by(|a, b| a.shortage().total_cmp(&b.shortage()))?;
        let donors = pools.iter().filter(|pool| pool.service != neediest.service);
        let donor = donors
            .filter_map(|pool| Some((pool.surplus()?, pool)))
            .max_by(|a, b| a.0.total_cmp(&b.0))?
            .1;
        self.last_move = Some(now);
        Some(Move { from: donor.service.clone(), to: neediest.service.clone() })
    }
}
