//! How many minions of a service can be taken out without violating its availability budget.

use celerythread_model::config::Service;
use celerythread_model::fleet::{Disruption, Minion, State};
use celerythread_model::id;
use std::collections::BTreeMap;

/// The number of serving minions of a service, compared with its floor.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Availability {
    /// Minions that serve.
    pub serving: u32,
    /// Minions that must serve.
    pub floor: u32,
    /// Minions taken out on purpose, for a move or for maintenance.
    pub out: u32,
    /// Minions that failed, are ejected by their owner or are leaving.
    pub failed: u32,
    /// Serving minions by rack: how many the loss of one rack costs.
    pub by_rack: BTreeMap<id::Rack, u32>,
}

impl Availability {
    /// Counts a service's minions.  `healthy` returns whether a minion is in the platform's list,
    /// not leaving and not ejected by its owner.
    pub fn count<'a>(
        service: &Service,
        minions: impl Iterator<Item = &'a Minion>,
        disruption: &Disruption,
        healthy: impl Fn(&id::Minion) -> bool,
    ) -> Self {
        let mut availability = Availability { floor: service.floor, ..Availability::default() };
        for minion in minions {
            // A minion that the platform is removing is in `out` too, but without an errand it
            // never returns, so it counts as failed.
            if disruption.out.contains_key(&minion.minion) && minion.errand.is_some() {
                availability.out += 1;
            } else if minion.state == State::Active && healthy(&minion.minion) {
                availability.serving += 1;
                *availability.by_rack.entry(minion.rack.clone()).or_default() += 1;
            } else {
                availability.failed += 1;
            }
        }
        availability
    }

    /// Minions that may be taken out now.  Failed minions no longer count as serving, so each
    /// failure uses up the budget: a wave stops when something fails during it.
    pub fn spare(&self) -> u32 {
        self.serving.saturating_sub(self.floor)
    }

    /// The largest number of serving minions in one rack.
    pub fn max_serving_per_rack(&self) -> u32 {
        self.by_rack.values().copied().max().unwrap_or(0)
    }
}
