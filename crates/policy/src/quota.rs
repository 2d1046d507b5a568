//! A team's requests in flight at one entry.

use celerythread_model::config::Document;
use celerythread_model::id;
use std::collections::HashMap;

/// Counts per team.
#[derive(Debug, Default)]
pub struct Quota {
    flying: HashMap<id::Team, u32>,
}

impl Quota {
    /// Counts a request in, unless its team's quota is used up.  A team that is not configured
    /// has none to use up.
    pub fn enter(&mut self, team: &id::Team, document: &Document) -> bool {
        let limit = document.teams.get(team).map_or(u32::MAX, |team| team.requests);
        let flying = self.flying.entry(team.clone()).or_default();
        if *flying >= limit {
            return false;
        }
        *flying += 1;
        true
    }

    /// Counts a request out.
    pub fn leave(&mut self, team: &id::Team) {
        if let Some(flying) = self.flying.get_mut(team) {
            *flying -= 1;
            if *flying == 0 {
                self.flying.remove(team);
            }
        }
    }
}
