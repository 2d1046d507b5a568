//! A limit on the memory held by request bodies over all connections of the process.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// The bytes that can still be reserved.
#[derive(Clone, Debug)]
pub(crate) struct MemoryBudget(Arc<AtomicU64>);

/// Reserved bytes, released on drop.
#[derive(Debug)]
pub(crate) struct Reservation {
    budget: MemoryBudget,
    bytes: u64,
}

impl MemoryBudget {
    pub(crate) fn new(bytes: u64) -> Self {
        Self(Arc::new(AtomicU64::new(bytes)))
    }

    /// Reserves `bytes`; none when fewer are available.
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
