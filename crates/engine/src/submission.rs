//! When an entry stops retrying a submission and answers its caller.
//!
//! If an availability zone is disconnected from the platform's store, its callers still reach its
//! entries, but these can't write.  An entry that retried until the deadline would leave the caller
//! some 100 ms for another entry, and the submission would be lost.  Answering early lets the
//! caller retry in time; within three seconds the load balancer routes it to another zone.  A store
//! that is only slow still answers reads, so pending writes to it are waited for.

use std::time::Duration;

/// How long an entry retries a submission that was certainly not written.  A store that briefly
/// refuses calls accepts them again within some 100 ms; if it doesn't, another entry may succeed.
const UNWRITTEN_RETRY_LIMIT: Duration = Duration::from_millis(400);

/// How long an entry retries a submission that may have been written while the store is
/// unresponsive.  Four attempts of this length fit into the three seconds that callers wait, so one
/// of them succeeds if the outage ends in that time.
const UNRESPONSIVE_STORE_RETRY_LIMIT: Duration = Duration::from_millis(650);

/// Timeout of one write while the store is unresponsive.  It is some forty times the usual latency,
/// so that a store which has recovered is noticed.
const UNRESPONSIVE_STORE_WRITE_TIMEOUT: Duration = Duration::from_millis(250);

/// The reciprocal of the largest share of a caller's time that is reserved for sending the
/// response.
const RESPONSE_MARGIN_DIVISOR: u32 = 5;

/// Maximum time that is reserved for sending the response: a slowed-down instance writes its
/// response this late.
const MAX_RESPONSE_MARGIN: Duration = Duration::from_millis(150);

/// Longest time that a request is given, however long its caller waits.
const MAX_DEADLINE: Duration = Duration::from_secs(60);

/// Minimum remaining time of a caller that is asked to wait before its retry.  The wait is at least
/// one second, the unit of `retry-after`; a caller with less time than this should ask another
/// entry immediately.
const MIN_TIME_FOR_RETRY_AFTER: Duration = Duration::from_millis(1300);

/// The state of an attempt to write a submission.
#[derive(Clone, Copy, Debug, Default)]
pub struct Attempt {
    /// Time since the first try.
    pub elapsed: Duration,
    /// Time until the caller's deadline.
    pub remaining: Duration,
    /// Whether the store doesn't respond to this entry.
    pub is_store_unresponsive: bool,
    /// Whether there is another entry that can be asked to write the submission.
    pub has_peers: bool,
    /// Whether a write is unanswered and may have been carried out.
    pub unanswered: bool,
}

impl Attempt {
    /// Whether to stop trying and answer the caller.
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

    /// Timeout of one write by this entry.
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
/// The rest is reserved for sending the response.  It is at most a share of the time, because a
/// fixed margin refused callers that retried with less time than the margin, although a write takes
/// only some 10 ms.
pub fn usable_time(deadline: Duration) -> Duration {
    let deadline = deadline.min(MAX_DEADLINE);
    deadline - (deadline / RESPONSE_MARGIN_DIVISOR).min(MAX_RESPONSE_MARGIN)
}

/// Seconds that a refused caller with this remaining time should wait before its retry.
pub fn retry_after_s(left: Duration) -> u64 {
    if left >= MIN_TIME_FOR_RETRY_AFTER { 1 } else { 0 }
}
