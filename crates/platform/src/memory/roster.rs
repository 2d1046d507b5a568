//! The lagging list of instances in memory.

use crate::message::{Instance, Listing};
use crate::{Error, traits};
use async_trait::async_trait;
use parking_lot::Mutex;
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

/// A list of instances that is shown some time late.
#[derive(Default)]
pub struct Roster {
    history: Mutex<History>,
}

#[derive(Default)]
struct History {
    lag: Duration,
    now: State,
    /// Earlier states of the list, oldest first, each with the time it was replaced.
    shown: VecDeque<(Instant, State)>,
}

/// One state of the list.
#[derive(Clone, Default)]
struct State {
    version: u64,
    instances: BTreeMap<String, Instance>,
}

impl History {
    fn change(&mut self, change: impl FnOnce(&mut BTreeMap<String, Instance>)) {
        if !self.lag.is_zero() {
            self.shown.push_back((Instant::now(), self.now.clone()));
        }
        self.now.version += 1;
        change(&mut self.now.instances);
    }

    /// The list as it was `lag` ago.
    fn lagging(&mut self) -> &State {
        while self.shown.front().is_some_and(|(replaced, _)| replaced.elapsed() >= self.lag) {
            self.shown.pop_front();
        }
        self.shown.front().map_or(&self.now, |(_, state)| state)
    }
}

impl Roster {
    /// Sets how late the list is.
    pub fn set_lag(&self, lag: Duration) {
        self.history.lock().lag = lag;
    }

    /// Adds or replaces an instance.
    pub fn put(&self, instance: Instance) {
        self.history.lock().change(|list| {
            list.insert(instance.name.clone(), instance);
        });
    }

    /// Removes an instance.
    pub fn remove(&self, name: &str) {
        self.history.lock().change(|list| {
            list.remove(name);
        });
    }

    /// The list as it really is.
    pub fn now(&self) -> Vec<Instance> {
        self.history.lock().now.instances.values().cloned().collect()
    }
}

#[async_trait]
impl traits::Roster for Roster {
    async fn list(&self, known: &str) -> Result<Option<Listing>, Error> {
        let mut history = self.history.lock();
        let lag_ms = history.lag.as_millis() as u64;
        let state = history.lagging();
        let version = state.version.to_string();
        if version == known {
            return Ok(None);
        }
        let instances = state.instances.values().cloned().collect();
        Ok(Some(Listing { version, instances, lag_ms }))
    }

    async fn reboot(&self, name: &str, boot: u64) -> Result<(), Error> {
        let mut history = self.history.lock();
        let Some(instance) = history.now.instances.get(name) else {
            return Err(Error::Refused { reason: format!("no instance {name}") });
        };
        if instance.boot == boot {
            history.change(|list| {
                if let Some(instance) = list.get_mut(name) {
                    instance.boot = boot + 1;
                }
            });
        }
        Ok(())
    }
}
