//! Terms of jobs: the policies by which the configuration treats the jobs of a queue and of a
//! workspace.

use crate::job::Resources;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// How the jobs of a queue are treated.
///
/// [`Terms`] are stored, so new fields may only be appended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// 0 is the most urgent.
    pub priority: u32,
    /// Runs of a task that may fail before its job fails.
    pub attempts: u32,
    /// The objective of a job is this multiple of its critical path ...
    pub stretch: f64,
    /// ... plus this many milliseconds.
    pub target_ms: u64,
    /// Whether callers need no API key.
    pub public: bool,
    /// How long the advice service takes for a query; `None` if starts need no ticket.
    pub advice: Option<AdviceLatency>,
}

impl Default for Queue {
    fn default() -> Self {
        Self {
            priority: 1,
            attempts: 3,
            stretch: 2.0,
            target_ms: 1000,
            public: false,
            advice: None,
        }
    }
}

/// The declared latency of the advice service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AdviceLatency {
    /// Time per query.
    pub per_query: Duration,
    /// Additional time per minion in the query.
    pub per_minion: Duration,
}

impl AdviceLatency {
    /// Time that a query about `minions` takes.
    pub fn of_query(&self, minions: usize) -> Duration {
        let minions = u32::try_from(minions).unwrap_or(u32::MAX);
        self.per_query.saturating_add(self.per_minion.saturating_mul(minions))
    }
}

/// How the jobs of a workspace are treated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Workspace {
    /// The resources that its tasks may use on all minions together.
    pub limit: Resources,
    /// Its share relative to the other workspaces' while capacity is short.
    pub weight: u64,
}

/// The policies of a job in the configuration by which it was accepted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Terms {
    /// Version of that configuration.
    pub configuration: u64,
    /// The policy of the job's workspace; `None` if it has none.
    pub workspace: Option<Workspace>,
    /// The policy of the job's queue.
    pub queue: Queue,
}
