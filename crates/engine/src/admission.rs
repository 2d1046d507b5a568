//! Whether an entry has memory for another job of the cells that it owns.
//!
//! A job's memory is promised before the job is stored, so that entries that accept jobs at the same
//! time don't exceed the owner's memory together.  A later owner reads all stored jobs, so this
//! bounds its memory, too.

use crate::job::Id;
use crate::time::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// How long memory is promised to a job that isn't known yet: longer than storing it takes while
/// the store is slow.
const PROMISE_TERM: Duration = Duration::from_secs(5);

/// A job is large if it takes more than the limit divided by this.
const LARGE_DIVISOR: u64 = 128;

/// Large jobs leave the limit divided by this to small ones.
const SMALL_SHARE_DIVISOR: u64 = 4;

/// The memory is nearly used up from the limit divided by this.
const NEARLY_FULL_DIVISOR: u64 = 2;

/// How long entries ask before they store any job after the owner has reported that its memory is
/// nearly used up.
const ASK_FIRST_TERM: Duration = Duration::from_secs(5);

/// Memory for the jobs of the cells that an entry owns.
#[derive(Debug)]
pub struct Admission {
    limit: u64,
    /// Memory of jobs that were admitted and aren't known yet, and until when it is promised.
    promises: BTreeMap<Id, (u64, Time)>,
}

impl Admission {
    /// An entry with memory for `limit` bytes of jobs.
    pub fn new(limit: u64) -> Self {
        Self { limit, promises: BTreeMap::new() }
    }

    /// The limit in bytes.
    pub fn limit(&self) -> u64 {
        self.limit
    }

    /// Whether a job is so large that its owner is asked before it is stored.
    pub fn is_large(&self, bytes: u64) -> bool {
        bytes > self.limit / LARGE_DIVISOR
    }

    /// Promises memory to a job beside `held` bytes of known jobs; false if too little is left.
    pub fn admit(&mut self, id: Id, bytes: u64, held: u64, now: Time) -> bool {
        self.promises.retain(|_, (_, until)| now < *until);
        let own = self.promises.get(&id).map_or(0, |(bytes, _)| *bytes);
        let promised: u64 = self.promises.values().map(|(bytes, _)| *bytes).sum();
        let others = held.saturating_add(promised - own);
        let reserve = if self.is_large(bytes) { self.limit / SMALL_SHARE_DIVISOR } else { 0 };
        let is_admitted = others.saturating_add(bytes) <= self.limit - reserve;
        if is_admitted {
            self.promises.insert(id, (bytes, now + PROMISE_TERM));
        }
        is_admitted
    }

    /// Records that a job is known, so that its memory is among what is held.
    pub fn record_known(&mut self, id: &Id) {
        self.promises.remove(id);
    }

    /// Whether other entries must ask before they store any job.
    pub fn is_nearly_full(&self, held: u64) -> bool {
        held >= self.limit / NEARLY_FULL_DIVISOR
    }
}

/// Services whose owner's memory for jobs is nearly used up, as far as another entry knows.
#[derive(Debug, Default)]
pub struct NearlyFull {
    until: BTreeMap<String, Time>,
}

impl NearlyFull {
    /// Records that a service's owner has reported it.
    pub fn record(&mut self, service: &str, now: Time) {
        self.until.retain(|_, until| now < *until);
        self.until.insert(service.into(), now + ASK_FIRST_TERM);
    }

    /// Whether a service's owner must be asked before any job is stored.
    pub fn contains(&self, service: &str, now: Time) -> bool {
        self.until.get(service).is_some_and(|until| now < *until)
    }
}
