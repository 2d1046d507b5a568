//! Noticing that this process stood still, and not blaming others for it.
//!
//! A process that is stopped for seconds wakes up with everybody else's last sign of life as old
//! as its own pause.  Judged by that, all peers are lost: it would take their minions over while
//! they serve, and every drain would wait for the former owners' work to run into its deadline.
//! So silence counts only from the end of the last pause on.

use crate::time::Moment;
use std::time::Duration;

/// Watches for gaps between observations that are made at short, regular intervals.
#[derive(Debug)]
pub struct Detector {
    threshold: Duration,
    last_observation: Moment,
    resumed_at: Moment,
}

impl Detector {
    /// A watch that takes a gap of `limit` or more for a pause.
    pub fn new(threshold: Duration) -> Self {
        Self { threshold, last_observation: Moment::default(), resumed_at: Moment::default() }
    }

    /// Notes that the process runs; true if it has stood still since the last time.
    pub fn observe(&mut self, now: Moment) -> bool {
        let paused = now.since(self.last_observation) >= self.threshold;
        if paused {
            self.resumed_at = now;
        }
        self.last_observation = now;
        paused
    }

    /// For how long a peer could have been heard and wasn't.
    pub fn silence(&self, heard: Moment, now: Moment) -> Duration {
        now.since(heard.max(self.resumed_at))
    }
}
