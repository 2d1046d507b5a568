//! How many machines of each pool maintenance may take out of service.
//!
//! A wave limits how many machines are down together, not whose they are.  If all machines of a
//! small pool are emptied at once, no job of its service can start, and its long-running tasks have
//! nowhere to move, so the machines never become empty.  So half of a pool stays in service.
//! Machines that are lost, silent, quarantined or about to move count as out of service, whatever
//! took them out.

use super::{Machine, Snapshot};
use std::collections::BTreeMap;
use std::time::Duration;

/// Longest time for which the only machine of a pool is emptied: nothing of its service can start
/// meanwhile.
const MAX_EMPTYING_OF_ONLY_MACHINE: Duration = Duration::from_millis(2000);

/// Least time after which a request to empty a machine is cancelled, longer than it takes to see
/// that an idle machine is empty.
const MIN_EMPTYING: Duration = Duration::from_millis(500);

#[derive(Debug, Default)]
struct Pool {
    /// Machines that it has, in service or not.
    total: usize,
    /// Machines that accept tasks.
    in_service: usize,
    /// Machines due for maintenance.
    due: usize,
}

impl Pool {
    /// The number of machines that may be out of service at once.
    fn max_out(&self) -> usize {
        self.total / 2
    }
}

/// The pools' machines in one round of planning.
#[derive(Debug)]
pub(super) struct Reserve<'a> {
    pools: BTreeMap<&'a str, Pool>,
    /// Number of machines that their pools could not do without.
    refused: usize,
}

impl<'a> Reserve<'a> {
    /// Counts the machines.  `is_order_recent` says whether a machine may be down although it is
    /// listed as up.
    pub(super) fn new(snapshot: &Snapshot<'a>, is_order_recent: impl Fn(&str) -> bool) -> Self {
        let mut pools: BTreeMap<&str, Pool> = BTreeMap::new();
        for (name, machine) in snapshot.machines {
            let pool = pools.entry(machine.pool.as_str()).or_default();
            let is_present = machine.in_maintenance || machine.minion.is_some();
            pool.total += usize::from(is_present);
            let accepts_tasks = !machine.out_of_service
                && !machine.in_maintenance
                && !is_order_recent(name)
                && machine.minion.as_ref().is_some_and(|id| !snapshot.emptying.contains(id));
            pool.in_service += usize::from(accepts_tasks);
        }
        Self { pools, refused: 0 }
    }

    /// Counts a machine that is due for maintenance.
    pub(super) fn add_due(&mut self, machine: &Machine) {
        if let Some(pool) = self.pools.get_mut(machine.pool.as_str()) {
            pool.due += 1;
        }
    }

    /// How many batches the due machines of a machine's pool take.
    pub(super) fn batches(&self, machine: &Machine) -> usize {
        let pool = self.pools.get(machine.pool.as_str());
        pool.map_or(0, |pool| pool.due.div_ceil(pool.max_out().max(1)))
    }

    /// Takes a machine out of service; returns false if its pool can't do without it.
    pub(super) fn take(&mut self, machine: &Machine) -> bool {
        let Some(pool) = self.pools.get_mut(machine.pool.as_str()) else { return false };
        if machine.out_of_service {
            // Whether it is emptied makes no difference to its service.
            return true;
        }
        let is_allowed = if pool.total == 1 {
            let time = machine.time_to_empty;
            time.is_some_and(|time| time <= MAX_EMPTYING_OF_ONLY_MACHINE)
        } else {
            pool.in_service > pool.total - pool.max_out()
        };
        pool.in_service -= usize::from(is_allowed && pool.in_service > 0);
        self.refused += usize::from(!is_allowed);
        is_allowed
    }

    /// Returns the number of machines that were refused since the last call.
    pub(super) fn take_refused(&mut self) -> usize {
        std::mem::take(&mut self.refused)
    }

    /// Puts a machine that was asked to empty some time ago back into service if no other of its
    /// pool accepts tasks; returns whether it did.
    pub(super) fn restore(&mut self, machine: &Machine, asked_for: Duration) -> bool {
        let Some(pool) = self.pools.get_mut(machine.pool.as_str()) else { return false };
        let is_only = pool.total == 1;
        let grace = if is_only { MAX_EMPTYING_OF_ONLY_MACHINE } else { MIN_EMPTYING };
        let is_restored = pool.in_service == 0 && !machine.out_of_service && asked_for >= grace;
        pool.in_service += usize::from(is_restored);
        is_restored
    }
}
