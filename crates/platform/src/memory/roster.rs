//! The in-memory list of instances, with a lag.

use crate::message::{Instance, Listing};
use crate::{Error, traits};
use async_trait::async_trait;
use parking_lot::Mutex;
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

/// A list of instances whose changes become visible after a lag.
#[derive(Default)]
pub struct Roster {
    history: Mutex<History>,
}

#[derive(Default)]
struct History {
    lag: Duration,
    current: State,
    /// Earlier states of the list, oldest first, each with the time of its replacement.
    previous: VecDeque<(Instant, State)>,
}

/// One state of the list.
#[derive(Clone, Default)]
struct State {
    version: u64,
    instances: BTreeMap<String, Instance>,
}

impl History {
    fn apply_change(&mut self, change: impl FnOnce(&mut BTreeMap<String, Instance>)) {
        if !self.lag.is_zero() {
            self.previous.push_back((Instant::now(), self.current.clone()));
        }
        self.current.version += 1;
        change(&mut self.current.instances);
    }

    /// The list as it was `lag` ago.
    fn visible(&mut self) -> &State {
        while self.previous.front().is_some_and(|(replaced, _)| replaced.elapsed() >= self.lag) {
            self.previous.pop_front();
        }
        self.previous.front().map_or(&self.current, |(_, state)| state)
    }
}

impl Roster {
    /// Sets the lag of the list.
    pub fn set_lag(&self, lag: Duration) {
        self.history.lock().lag = lag;
    }

    /// Adds or replaces an instance.
    pub fn put(&self, instance: Instance) {
        self.history.lock().apply_change(|list| {
            list.insert(instance.name.clone(), instance);
        });
    }

    /// Removes an instance.
    pub fn remove(&self, name: &str) {
        self.history.lock().apply_change(|list| {
            list.remove(name);
        });
    }

    /// The list without the lag.
    pub fn current(&self) -> Vec<Instance> {
        self.history.lock().current.instances.values().cloned().collect()
    }
}

#[async_trait]
impl traits::Roster for Roster {
    async fn list(&self, known: &str) -> Result<Option<Listing>, Error> {
        let mut history = self.history.lock();
        let lag_ms = history.lag.as_millis() as u64;
        let state = history.visible();
        let version = state.version.to_string();
        if version == known {
            return Ok(None);
        }
        let instances = state.instances.values().cloned().collect();
        Ok(Some(Listing { version, instances, lag_ms }))
    }

    async fn reboot(&self, name: &str, boot: u64) -> Result<(), Error> {
        let mut history = self.history.lock();
        let Some(instance) = history.current.instances.get(name) else {
            return Err(Error::Refused { reason: format!("no instance {name}") });
        };
        if instance.boot == boot {
            history.apply_change(|list| {
                if let Some(instance) = list.get_mut(name) {
                    instance.boot = boot + 1;
                }
            });
        }
        Ok(())
    }
}
