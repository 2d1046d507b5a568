//! The balance of a pool.

/// Demand and capacity of a pool, for the log and for maintenance.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Balance {
    /// Cores that its finite tasks ask for.
    pub demand: u64,
    /// Cores in use by long-running tasks.
    pub long_running: u64,
    /// Machines that are in it and aren't leaving.
    pub present: usize,
    /// Machines that are moving to it.
    pub arriving: usize,
    /// Machines that it needs.
    pub needed: usize,
    /// Of these, the ones for long-running tasks and for jobs that can meet their objective.
    pub timely: usize,
    /// Minions without any task.
    pub idle: usize,
}

impl Balance {
    /// Machines beyond those that it needs.
    pub fn surplus(&self) -> usize {
        (self.present + self.arriving).saturating_sub(self.needed)
    }
}
