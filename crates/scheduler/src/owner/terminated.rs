//! Minions that have terminated although they may still be listed.

use celerythread_engine::cell::Incarnation;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Minions that have terminated, with the incarnation that ended, if known.
#[derive(Default)]
pub(crate) struct TerminatedMinions(BTreeMap<Arc<str>, Option<Incarnation>>);

impl TerminatedMinions {
    /// Adds a minion; false if it was already present with this incarnation.
    pub(crate) fn insert(&mut self, id: Arc<str>, incarnation: Option<Incarnation>) -> bool {
        self.0.insert(id, incarnation) != Some(incarnation)
    }

    /// Whether the listed incarnation has terminated.  A listing without an incarnation is assumed
    /// to be the terminated one's.
    pub(crate) fn contains(&self, id: &str, listed: Option<Incarnation>) -> bool {
        self.0.get(id).is_some_and(|ended| listed.is_none() || *ended == listed)
    }
}
