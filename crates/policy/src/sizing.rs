//! Pool sizes: when a minion should change pools, and how rarely.
//!
//! A move costs a drain and a reboot, so it must pay: a shortage has to last, one move settles
//! before the next is decided, and a pool only gives what it can spare for as long.

use crate::time::Moment;
use celerythread_model::id;
use std::collections::BTreeMap;
use std::time::Duration;

/// Share of slots in use from which a pool counts as short.
const SHORTAGE_UTILISATION: f64 = 0.85;

/// Share of slots in use up to which a pool can give, reckoned without the minion it gives.
const MAX_DONOR_UTILISATION: f64 = 0.6;

/// A pool as the decision sees it.
#[derive(Clone, Debug)]
pub struct Pool {
    /// Its service.
    pub service: id::Service,
    /// Minions that serve.
    pub serving: u32,
    /// Minions it should have.
    pub wanted: u32,
    /// Minions it must have.
    pub floor: u32,
    /// Share of its slots in use, smoothed by whoever measures it.
    pub utilisation: f64,
    /// Whether it lends beyond what it has too many.
    pub lends: bool,
}

impl Pool {
    /// How short the pool is; nought or less when it is not.  Failures below the floor come
    /// first, then below the wanted size, then load.
    fn shortage(&self) -> f64 {
        if self.serving < self.floor {
            return 100.0 + f64::from(self.floor - self.serving);
        }
        if self.serving < self.wanted && self.utilisation > MAX_DONOR_UTILISATION {
            return 10.0 + f64::from(self.wanted - self.serving) + self.utilisation;
        }
        self.utilisation - SHORTAGE_UTILISATION
    }

    /// Whether the pool can give a minion, and how gladly.
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
    /// From this pool.
    pub from: id::Service,
    /// To this one.
    pub to: id::Service,
}

/// How patient the decision is.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// How long a shortage must last.
    pub min_shortage_duration: Duration,
    /// How long after a move the next may follow.
    pub cooldown: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self { min_shortage_duration: Duration::from_secs(120), cooldown: Duration::from_secs(300) }
    }
}

/// Remembers since when each pool has been short.
#[derive(Clone, Debug, Default)]
pub struct Sizer {
    short_since: BTreeMap<id::Service, Moment>,
    last_move: Option<Moment>,
}

impl Sizer {
    /// Decides about one move.
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
