//! Settings of a cell, and the policies of its queues.

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
            retention: Duration::from_secs(150),
            stall_factor: 1.0,
            min_stall: Duration::from_millis(1500),
            quarantine: Duration::from_millis(2000),
        }
    }
}

/// How the jobs of a queue are treated, from the configuration in force.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// 0 is the most urgent.
    pub priority: u32,
    /// Runs of a task that may fail before its job fails.
    pub attempts: u32,
    /// The objective of a job is this multiple of its critical path ...
    pub stretch: f64,
    /// ... plus this many milliseconds.
    pub target_ms: u64,
    /// Whether starting a task requires a ticket.
    pub needs_ticket: bool,
    /// Whether callers need no API key.
    pub public: bool,
}

impl Default for Queue {
    fn default() -> Self {
        Self {
            priority: 1,
            attempts: 3,
            stretch: 2.0,
            target_ms: 1000,
            needs_ticket: false,
            public: false,
        }
    }
}
