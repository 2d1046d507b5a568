//! Memory held by request bodies, bounded over all connections of the process.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// The bytes that are left.
#[derive(Clone, Debug)]
pub(crate) struct Pool(Arc<AtomicU64>);

/// Bytes taken out of the pool, until it is dropped.
#[derive(Debug)]
pub(crate) struct Share {
    pool: Pool,
    bytes: u64,
}

impl Pool {
    pub(crate) fn new(bytes: u64) -> Self {
        Self(Arc::new(AtomicU64::new(bytes)))
    }

    /// Takes `bytes` out, or nothing when they are not there.
    pub(crate) fn take(&self, bytes: u64) -> Option<Share> {
        let taken = self
            .0
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |left| left.checked_sub(bytes));
        taken.ok().map(|_| Share { pool: self.clone(), bytes })
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.pool.0.fetch_add(self.bytes, Ordering::Relaxed);
    }
}
