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
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    lag: Duration,
    now: BTreeMap<String, Instance>,
    /// Earlier states of the list, oldest first, each with the time it was replaced.
    shown: VecDeque<(Instant, BTreeMap<String, Instance>)>,
}

impl State {
    fn change(&mut self, change: impl FnOnce(&mut BTreeMap<String, Instance>)) {
        self.shown.push_back((Instant::now(), self.now.clone()));
        change(&mut self.now);
    }

    /// The list as it was `lag` ago.
    fn lagging(&mut self) -> BTreeMap<String, Instance> {
        while self.shown.front().is_some_and(|(replaced, _)| replaced.elapsed() >= self.lag) {
            self.shown.pop_front();
        }
        self.shown.front().map_or_else(|| self.now.clone(), |(_, list)| list.clone())
    }
}

impl Roster {
    /// Sets how late the list is.
    pub fn set_lag(&self, lag: Duration) {
        self.state.lock().lag = lag;
    }

    /// Adds or replaces an instance.
    pub fn put(&self, instance: Instance) {
        self.state.lock().change(|list| {
            list.insert(instance.name.clone(), instance);
        });
    }

    /// Removes an instance.
    pub fn remove(&self, name: &str) {
        self.state.lock().change(|list| {
            list.remove(name);
        });
    }

    /// The list as it really is.
    pub fn now(&self) -> Vec<Instance> {
        self.state.lock().now.values().cloned().collect()
    }
}

#[async_trait]
impl traits::Roster for Roster {
    async fn list(&self) -> Result<Listing, Error> {
        let mut state = self.state.lock();
        let instances = state.lagging().into_values().collect();
        Ok(Listing { instances, lag_ms: state.lag.as_millis() as u64 })
    }

    async fn reboot(&self, name: &str, boot: u64) -> Result<(), Error> {
        let mut state = self.state.lock();
        let Some(instance) = state.now.get(name) else {
            return Err(Error::Refused { reason: format!("no instance {name}") });
        };
        if instance.boot == boot {
            state.change(|list| {
                if let Some(instance) = list.get_mut(name) {
                    instance.boot = boot + 1;
                }
            });
        }
        Ok(())
    }
}
