//! The platform's list of instances.  The list lags, so an absence is tracked until it proves
//! that the instance has terminated.

use crate::node::Node;
use celerythread_platform::message::{Instance, Role};
use celerythread_policy::time::Moment;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// Added to the list's lag before an absent instance counts as terminated.
const ABSENCE_MARGIN: Duration = Duration::from_millis(500);

/// The list as last read, and since when each absent name has been missing.
#[derive(Default)]
pub(crate) struct Roster {
    instances: BTreeMap<String, Instance>,
    absent_since: HashMap<String, Moment>,
    lag: Duration,
    version: String,
    loaded: bool,
}

impl Roster {
    /// Reads the list.  Returns whether it could be read.
    pub(crate) async fn refresh(&mut self, node: &Node) -> bool {
        let Ok(listing) = node.platform.roster.list(&self.version).await else { return false };
        let Some(listing) = listing else { return true };
        self.version = listing.version;
        self.lag = Duration::from_millis(listing.lag_ms);
        self.instances = listing.instances.into_iter().map(|i| (i.name.clone(), i)).collect();
        self.loaded = true;
        true
    }

    /// The instance, if it is listed.
    pub(crate) fn get(&self, name: &str) -> Option<&Instance> {
        self.instances.get(name)
    }

    /// Listed instances of a role.
    pub(crate) fn with_role(&self, role: Role) -> impl Iterator<Item = &Instance> {
        self.instances.values().filter(move |instance| instance.role == role)
    }

    /// Whether an instance has certainly terminated: absent for longer than the list lags.
    ///
    /// A new instance isn't listed until the lag has passed, so a single absence proves nothing.
    /// The time is measured on this process's clock from the first query for the name.
    pub(crate) fn is_gone(&mut self, name: &str, now: Moment) -> bool {
        if !self.loaded || self.instances.contains_key(name) {
            self.absent_since.remove(name);
            return false;
        }
        let since = *self.absent_since.entry(name.into()).or_insert(now);
        now.since(since) > self.lag + ABSENCE_MARGIN
    }
}
