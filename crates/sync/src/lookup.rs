//! Lookups that tasks share.

use futures::FutureExt;
use futures::future::{BoxFuture, Shared};
use parking_lot::Mutex;
use std::collections::HashMap;
use std::hash::Hash;
use std::time::{Duration, Instant};

/// The outcome of a lookup that several tasks wait for.
type Outcome<V> = Shared<BoxFuture<'static, V>>;

/// A lookup, in progress or ended.
struct Lookup<V> {
    began: Instant,
    outcome: Outcome<V>,
}

/// The recent lookups by key.  However many tasks look a key up, one lookup of it begins in an
/// interval, and all of them get its outcome.
pub struct Lookups<K, V> {
    interval: Duration,
    recent: Mutex<HashMap<K, Lookup<V>>>,
}

impl<K: Eq + Hash, V: Clone + Send + Sync> Lookups<K, V> {
    /// No lookups yet.
    pub fn new(interval: Duration) -> Self {
        Self { interval, recent: Mutex::default() }
    }

    /// The outcome of the lookup of a key that began within the last interval, or else of a new one.
    pub fn get<F>(&self, key: K, start: impl FnOnce() -> F) -> Outcome<V>
    where
        F: Future<Output = V> + Send + 'static,
    {
        let mut recent = self.recent.lock();
        recent.retain(|_, lookup| lookup.began.elapsed() < self.interval);
        let lookup = recent
            .entry(key)
            .or_insert_with(|| Lookup { began: Instant::now(), outcome: start().boxed().shared() });
        lookup.outcome.clone()
    }
}
