//! Settings of a cell.

use std::time::Duration;

/// Time limits and weights of a cell.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the cell, which is that of its service.
    pub name: Box<str>,
    /// Fencing token of its owner.
    pub token: u64,
    /// Whether workspaces share the pool's capacity by weight while it is short.
    pub workspace_shares: bool,
    /// Longest time that a minion takes to stop a run.
    pub stop_timeout: Duration,
    /// How much longer than the leases that owners ask for one may last that a restarted minion grants
    /// to a call to its former incarnation.
    pub lease_excess: Duration,
    /// How long an ended job is retained for queries by its caller.
    pub retention: Duration,
    /// A run without progress for this multiple of its estimate, and at least
    /// [`Settings::min_stall`], is stalled.  Declared times are off by a fifth, and slow minions
    /// take six times as long while still progressing, so only a run that makes no progress at all
    /// counts.
    pub stall_factor: f64,
    /// See [`Settings::stall_factor`].
    pub min_stall: Duration,
    /// First quarantine of a minion that failed tasks of two jobs in a row; doubles each time.
    pub quarantine: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            name: "cell".into(),
            token: 1,
            workspace_shares: false,
            stop_timeout: Duration::from_millis(900),
            lease_excess: Duration::ZERO,
            retention: Duration::from_secs(150),
            stall_factor: 1.0,
            min_stall: Duration::from_millis(1500),
            quarantine: Duration::from_millis(2000),
        }
    }
}
