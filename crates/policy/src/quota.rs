//! Limits each team's requests in flight at one entry.

use celerythread_model::config::Document;
use celerythread_model::id;
use std::collections::HashMap;

/// Requests in flight by team.
#[derive(Debug, Default)]
pub struct Quota {
    in_flight: HashMap<id::Team, u32>,
}

impl Quota {
    /// Counts a new request, or returns false if its team's quota is used up.  A team that isn't
    /// configured has no limit.
    pub fn try_acquire(&mut self, team: &id::Team, document: &Document) -> bool {
        let limit = document.teams.get(team).map_or(u32::MAX, |team| team.requests);
        let in_flight = self.in_flight.entry(team.clone()).or_default();
        if *in_flight >= limit {
            return false;
        }
        *in_flight += 1;
        true
    }

    /// Counts a request as finished.
    pub fn release(&mut self, team: &id::Team) {
        if let Some(in_flight) = self.in_flight.get_mut(team) {
            *in_flight -= 1;
            if *in_flight == 0 {
                self.in_flight.remove(team);
            }
        }
    }
}
