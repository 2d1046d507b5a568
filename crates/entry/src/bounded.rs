//! Memory held by request bodies, bounded over all connections of the process.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// The bytes that are left.
#[derive(Clone, Debug)]
pub(crate) struct MemoryBudget(Arc<AtomicU64>);

/// Bytes taken out of the pool, until it is dropped.
#[derive(Debug)]
pub(crate) struct Reservation {
    budget: MemoryBudget,
    bytes: u64,
}

impl MemoryBudget {
    pub(crate) fn new(bytes: u64) -> Self {
        Self(Arc::new(AtomicU64::new(bytes)))
    }

    /// Takes `bytes` out, or nothing when they are not there.
    pub(crate) fn reserve(&self, bytes: u64) -> Option<Reservation> {
        let taken = self
            .0
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |left| left.checked_sub(bytes));
        taken.ok().map(|_| Reservation { budget: self.clone(), bytes })
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.0.fetch_add(self.bytes, Ordering::Relaxed);
    }
}
