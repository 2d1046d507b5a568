//! Minions with clocks of their own that execute calls to their former incarnations.

use super::{Fault, LEASE_LIMIT, Minion, START_TIME, Simulation};
use crate::model::owner::{Call, Owner};
use celerythread_engine::lease::MAX_FORMER_CALLS_AGE;
use std::collections::BTreeMap;
use std::time::Duration;

/// Duration of a network partition that outlasts the longest lease.
const LONG_PARTITION_DURATION: Duration = Duration::from_secs(14);

impl Simulation {
    /// Like [`Self::with_kept_ids`], but a minion also executes calls that were sent to its former
    /// incarnation.
    pub(crate) fn with_former_calls(faults: BTreeMap<usize, Fault>) -> Self {
        let mut simulation = Self::with_kept_ids(faults);
        simulation.executes_former_calls = true;
        simulation.partition_duration = LONG_PARTITION_DURATION;
        simulation.owners = simulation.owners.into_iter().map(Owner::with_minion_clocks).collect();
        let age = MAX_FORMER_CALLS_AGE;
        let began = |minion: Minion| minion.with_clock(START_TIME - age, LEASE_LIMIT);
        simulation.minions = simulation.minions.into_iter().map(began).collect();
        simulation
    }

    /// Lets an owner learn from the list of minions which of them have restarted recently.
    pub(super) fn report_recent_restarts(&mut self, index: usize) {
        if !self.executes_former_calls {
            return;
        }
        let is_recent = |minion: &&Minion| {
            let age = Duration::from_millis(minion.clock_ms(self.now));
            age < MAX_FORMER_CALLS_AGE
        };
        for minion in self.minions.iter().filter(is_recent) {
            self.owners[index].cell.record_recent_restart(&minion.id);
        }
    }

    /// Lets an owner read a minion's clock in its answer to a call.
    pub(super) fn record_clock(&mut self, index: usize, call: &Call) {
        let now = self.now;
        let Some(name) = call.minion() else { return };
        let Some(minion) = self.minions.iter().find(|minion| minion.id == name) else { return };
        let clock_ms = minion.clock_ms(now);
        let age = Duration::from_millis(clock_ms);
        self.owners[index].record_clock(call, clock_ms, age, now);
    }
}
