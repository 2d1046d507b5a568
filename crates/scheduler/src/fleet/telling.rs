//! Telling in the log what the holder believes: on change, and at most once a second.

use celerythread_engine::time::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// Shortest time between two rounds of lines.
const INTERVAL: Duration = Duration::from_secs(1);

/// What was told last of each pool, or of each wave.
pub(crate) struct Telling<K, V> {
    round: Option<Time>,
    told: BTreeMap<K, V>,
}

impl<K, V> Default for Telling<K, V> {
    fn default() -> Self {
        Self { round: None, told: BTreeMap::new() }
    }
}

impl<K: Ord, V: PartialEq + Copy> Telling<K, V> {
    /// Whether another round is due; if so, it begins.
    pub(crate) fn is_due(&mut self, now: Time) -> bool {
        let due = self.round.is_none_or(|round| now.since(round) >= INTERVAL);
        if due {
            self.round = Some(now);
        }
        due
    }

    /// Whether something else is believed than was told last.
    pub(crate) fn is_news(&mut self, key: K, value: V) -> bool {
        self.told.insert(key, value) != Some(value)
    }
}
