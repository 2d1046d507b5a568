//! Limits periodic log lines: only changed values are logged, at most once a second.

use celerythread_engine::time::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// Shortest time between two rounds of log lines.
const ROUND_INTERVAL: Duration = Duration::from_secs(1);

/// The last logged value of each key: a pool or a wave.
pub(crate) struct LogLimiter<K, V> {
    last_round: Option<Time>,
    last_logged: BTreeMap<K, V>,
}

impl<K, V> Default for LogLimiter<K, V> {
    fn default() -> Self {
        Self { last_round: None, last_logged: BTreeMap::new() }
    }
}

impl<K: Ord, V: PartialEq + Copy> LogLimiter<K, V> {
    /// Begins a round if one is due; returns whether it did.
    pub(crate) fn begin_round_if_due(&mut self, now: Time) -> bool {
        let due = self.last_round.is_none_or(|last_round| now.since(last_round) >= ROUND_INTERVAL);
        if due {
            self.last_round = Some(now);
        }
        due
    }

    /// Records a value; returns whether it differs from the last logged one.
    pub(crate) fn record_change(&mut self, key: K, value: V) -> bool {
        self.last_logged.insert(key, value) != Some(value)
    }
}
