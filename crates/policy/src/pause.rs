//! Detects pauses of this process, so that peers aren't blamed for them.
//!
//! After a process was stopped for seconds, the last message of every peer is as old as the pause.
//! Judged by that, all peers are lost: the process would take over their minions while they serve,
//! and each drain would wait until the former owners' requests reach their deadlines.  Therefore
//! silence counts only from the end of the last pause.

use crate::time::Moment;
use std::time::Duration;

/// Detects gaps between observations that are made at short, regular intervals.
#[derive(Debug)]
pub struct Detector {
    threshold: Duration,
    last_observation: Moment,
    resumed_at: Moment,
}

impl Detector {
    /// A detector that treats a gap of `threshold` or more as a pause.
    pub fn new(threshold: Duration) -> Self {
        Self { threshold, last_observation: Moment::default(), resumed_at: Moment::default() }
    }

    /// Records that the process runs.  Returns whether it was paused since the last call.
    pub fn observe(&mut self, now: Moment) -> bool {
        let paused = now.since(self.last_observation) >= self.threshold;
        if paused {
            self.resumed_at = now;
        }
        self.last_observation = now;
        paused
    }

    /// How long a peer last heard at `heard` has been silent while this process ran.
    pub fn silence(&self, heard: Moment, now: Moment) -> Duration {
        now.since(heard.max(self.resumed_at))
    }
}
