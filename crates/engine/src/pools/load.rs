//! The load of a cell, and what it asks for.

use super::BACKLOG_HORIZON;
use serde::{Deserialize, Serialize};

/// Time from an order until the moved machine can run tasks of its new pool: 1.5 s for the move, and
/// the rest until it is listed and its owner has contacted it.
const MOVE_TIME_MS: u64 = 2000;

/// The load of a cell as its owner reports it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Core-milliseconds of waiting tasks that could be done within [`BACKLOG_HORIZON`].  Here and
    /// below a task counts for the cores that others can't use because of it, which its memory or
    /// accelerators determine if those are scarcer.
    pub waiting: u64,
    /// Millicores in use by finite tasks.
    pub working: u64,
    /// Millicores in use by long-running tasks.
    #[serde(rename = "lasting")]
    pub long_running: u64,
    /// Millicores of a minion, on average.
    pub minion_cpu: u64,
    /// Minions without long-running tasks, with the millicores in use on each.
    pub free: Vec<(String, u64)>,
    /// Minions that were asked to empty and are empty.
    pub empty: Vec<String>,
    /// Minions that accept tasks.
    pub minions: usize,
    /// Least number of minions on which the long-running tasks keep within each step's limit per
    /// minion.
    #[serde(rename = "least")]
    pub min_minions: usize,
    /// The part of `waiting` that belongs to jobs which can't meet their objective any more.
    pub late_waiting: u64,
    /// The part of `working` that belongs to such jobs.
    pub late_working: u64,
    /// Core-milliseconds, as in `waiting`, of tasks that may not start yet because a former owner
    /// may have started them.
    pub inherited: u64,
    /// The part of `inherited` that belongs to jobs which can't meet their objective any more.
    pub late_inherited: u64,
    /// Longest time until they may start, in milliseconds.
    pub inherited_ms: u64,
    /// The minions of `free` that have runs, with the milliseconds until the last of these should
    /// have ended.
    pub busy: Vec<(String, u64)>,
    /// Minions that accept no tasks for other reasons than that they were asked to empty.
    pub unavailable: Vec<String>,
}

impl Load {
    /// Millicores that its finite tasks ask for.
    pub(super) fn demand(&self) -> u64 {
        self.working + rate(self.waiting)
    }

    /// The part of the demand, inherited or not, of jobs which can still meet their objective.
    pub(super) fn timely_demand(&self) -> u64 {
        let waiting = self.waiting.saturating_sub(self.late_waiting);
        let inherited = self.inherited.saturating_sub(self.late_inherited);
        self.working.saturating_sub(self.late_working) + rate(waiting + inherited)
    }

    /// Millicores that tasks ask for which may not start yet.
    pub(super) fn inherited_demand(&self) -> u64 {
        rate(self.inherited)
    }

    /// The part of [`Load::inherited_demand`] that machines ordered now could work on.
    pub(super) fn imminent_demand(&self) -> u64 {
        if self.inherited_ms <= MOVE_TIME_MS { self.inherited_demand() } else { 0 }
    }

    /// Millicores of a machine.
    pub(super) fn machine_cpu(&self) -> u64 {
        self.minion_cpu.max(1000)
    }
}

/// Millicores that do this many core-milliseconds of work within [`BACKLOG_HORIZON`].
fn rate(core_ms: u64) -> u64 {
    let horizon = BACKLOG_HORIZON.as_millis() as u64;
    core_ms / horizon * 1000 + core_ms % horizon * 1000 / horizon
}
