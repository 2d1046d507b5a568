//! What of a service can be taken out without breaking its availability budget.

use celerythread_model::config::Service;
use celerythread_model::fleet::{Disruption, Minion, State};
use celerythread_model::id;
use std::collections::BTreeMap;

/// How a service stands against its floor.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Availability {
    /// Minions that serve.
    pub serving: u32,
    /// Minions that must serve.
    pub floor: u32,
    /// Minions out by intent.
    pub out: u32,
    /// Minions that failed, were set aside or are leaving.
    pub failed: u32,
    /// Serving minions by rack: what one rack's failure would cost.
    pub by_rack: BTreeMap<id::Rack, u32>,
}

impl Availability {
    /// Counts a service's minions.  `healthy` tells whether one is in the platform's list, not
    /// leaving and not set aside by its owner.
    pub fn count<'a>(
        service: &Service,
        minions: impl Iterator<Item = &'a Minion>,
        disruption: &Disruption,
        healthy: impl Fn(&id::Minion) -> bool,
    ) -> Self {
        let mut availability = Availability { floor: service.floor, ..Availability::default() };
        for minion in minions {
            // What the platform takes away is out too, but without an errand it never returns.
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

    /// Minions that may be taken out now.  Failures have used the budget already, because they
    /// no longer count as serving: that is what stops a wave when something fails inside it.
    pub fn spare(&self) -> u32 {
        self.serving.saturating_sub(self.floor)
    }

    /// The most serving minions in one rack.
    pub fn max_serving_per_rack(&self) -> u32 {
        self.by_rack.values().copied().max().unwrap_or(0)
    }
}
