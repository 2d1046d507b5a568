//! When an entry gives a submission back to its caller.
//!
//! The pattern it answers: an availability zone is cut off from the platform's store.  Its callers
//! still reach its entries, which can't write anything.  Held until its deadline, a submission is
//! lost: the caller asks another entry with some 100 ms left.  Given back early, it is asked again
//! while there is time, and within three seconds the balancer sends it to another zone.  A store that
//! is only slow answers reads, so what is on its way there is elapsed for.

use std::time::Duration;

/// How long a submission is tried that was certainly not written.  A store that turns calls away for
/// a moment takes them again within some 100 ms; after that another entry may do better.
const UNWRITTEN_RETRY_LIMIT: Duration = Duration::from_millis(400);

/// How long a submission is tried that may have been written, while the store is silent here.  Four
/// tries of this length fit into the three seconds that callers have, so an outage that ends
/// meanwhile still lets one of them in.
const UNRESPONSIVE_STORE_RETRY_LIMIT: Duration = Duration::from_millis(650);

/// Longest wait for one write while the store is silent here: some forty times its usual answer, so
/// a store that is back shows it.
const UNRESPONSIVE_STORE_WRITE_TIMEOUT: Duration = Duration::from_millis(250);

/// The largest part of a caller's time that is kept for the answer's way back, and the most of it.
const RESPONSE_MARGIN_DIVISOR: u32 = 5;

/// See [`RESPONSE_MARGIN_DIVISOR`]: an instance that is slowed down writes its answer this late.
const MAX_RESPONSE_MARGIN: Duration = Duration::from_millis(150);

/// A caller with less time than this doesn't come back after a second, the smallest step in which it
/// can be told to wait, so it is better told to ask another entry at once.
const MIN_TIME_FOR_RETRY_AFTER: Duration = Duration::from_millis(1300);

/// How far a submission has come.
#[derive(Clone, Copy, Debug, Default)]
pub struct Attempt {
    /// How long it has been tried.
    pub elapsed: Duration,
    /// What is left of its caller's time.
    pub remaining: Duration,
    /// Whether the store doesn't answer this entry.
    pub is_store_unresponsive: bool,
    /// Whether some other entry could be asked to write it.
    pub has_peers: bool,
    /// Whether any write may have been carried out.
    pub unanswered: bool,
}

impl Attempt {
    /// Whether it is given back now.
    pub fn should_give_up(&self) -> bool {
        if self.remaining.is_zero() {
            return true;
        }
        if self.has_peers {
            return false;
        }
        match self.unanswered {
            true => self.is_store_unresponsive && self.elapsed >= UNRESPONSIVE_STORE_RETRY_LIMIT,
            false => self.elapsed >= UNWRITTEN_RETRY_LIMIT,
        }
    }

    /// How long one write here may take.
    pub fn write_timeout(&self) -> Duration {
        if self.is_store_unresponsive {
            self.remaining.min(UNRESPONSIVE_STORE_WRITE_TIMEOUT)
        } else {
            self.remaining
        }
    }
}

/// The part of a caller's time in which its answer must be decided.
///
/// A fixed margin refused callers who had come back with less than it, although a write takes some
/// 10 ms.
pub fn usable_time(deadline: Duration) -> Duration {
    deadline - (deadline / RESPONSE_MARGIN_DIVISOR).min(MAX_RESPONSE_MARGIN)
}

/// In how many seconds a refused caller with this much time left should come back.
pub fn retry_after_s(left: Duration) -> u64 {
    if left >= MIN_TIME_FOR_RETRY_AFTER { 1 } else { 0 }
}
