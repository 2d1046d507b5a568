//! Expiry of leases whose deadlines are given on a minion's clock.
//!
//! A minion that restarts under its id executes calls that were sent to its former incarnation, seconds
//! late at times.  Their deadlines lie far ahead on its clock, which starts anew, and it shortens
//! them to the longest lease that it grants.  So after a restart leases may last that long after any
//! call, until the minion has answered a call with a higher fencing token than all calls before the
//! restart: from then on it refuses those.

use crate::cell::Incarnation;
use crate::time::Time;
use std::time::Duration;

/// Lowest rate of a minion's clock relative to the owner's.
const MIN_CLOCK_RATE: f64 = 0.98;

/// Allowance for calls in transit.
const EXPIRY_MARGIN: Duration = Duration::from_millis(150);

/// Longest time on the owner's clock that a lease of this term can last.
pub fn max_duration(term: Duration) -> Duration {
    term.div_f64(MIN_CLOCK_RATE) + EXPIRY_MARGIN
}

/// The last reading of a minion's clock.
#[derive(Clone, Copy, Debug)]
pub struct MinionClock {
    /// The minion's time, in milliseconds.
    read_ms: u64,
    /// When the answer with the reading arrived.
    at: Time,
}

impl MinionClock {
    /// A clock that read `read_ms` in an answer that arrived at `at`.
    pub fn new(read_ms: u64, at: Time) -> Self {
        Self { read_ms, at }
    }

    /// Estimates the minion's current time, ignoring the transit time of the answer.
    pub fn now_ms(&self, now: Time) -> u64 {
        self.read_ms + now.since(self.at).as_millis() as u64
    }

    /// The latest time at which the clock passes `deadline_ms`, given its lowest rate.
    pub fn latest_time_of(&self, deadline_ms: u64) -> Time {
        self.at + max_duration(Duration::from_millis(deadline_ms.saturating_sub(self.read_ms)))
    }

    /// Whether a reading, in the answer to a call sent at `sent`, is from another process.
    ///
    /// The clock of a process is monotonic.  Answers to concurrent calls can arrive out of order: a
    /// call that was sent before the last reading arrived may have been executed that much earlier.
    pub fn is_reset(&self, read_ms: u64, sent: Time) -> bool {
        let overlap_ms = max_duration(self.at.since(sent)).as_millis() as u64;
        let slack_ms = if sent > self.at { 0 } else { overlap_ms };
        read_ms < self.read_ms.saturating_sub(slack_ms)
    }
}

/// Age from which an incarnation no longer executes calls that were sent to its former one, and has no
/// leases by them: the longest lease, and the longest delay with which minions execute calls.
pub const MAX_FORMER_CALLS_AGE: Duration = Duration::from_secs(30);

/// Durations of leases.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// The term that is asked for.
    pub term: Duration,
    /// The longest lease that a minion grants.
    pub limit: Duration,
}

/// A lease to ask for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Grant {
    /// Its deadline on the minion's clock.
    pub deadline_ms: u64,
    /// When it must have expired.
    pub expiry: Time,
}

/// An answer of a minion.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    /// The minion's time when it answered.
    pub clock_ms: u64,
    /// The fencing token of the call.
    pub token: u64,
    /// When the call was sent.
    pub sent: Time,
    /// When the answer arrived.
    pub received: Time,
    /// The incarnation that answered, if the answer names it.
    pub incarnation: Option<Incarnation>,
    /// The age of the incarnation, if it is known.
    pub age: Option<Duration>,
}

/// Whether calls of before a restart may still be executed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Fence {
    /// There was no restart, or they are refused.
    #[default]
    Settled,
    /// They have the token that is in use.
    Due,
    /// They have a lower token than the one in use, which the minion hasn't answered yet.
    Raised,
}

/// The leases and the fencing token of an owner on one minion.
#[derive(Clone, Debug)]
pub struct Grants {
    terms: Terms,
    /// Whether another owner may have made calls to the minion before.
    has_predecessor: bool,
    token: u64,
    clock: Option<MinionClock>,
    incarnation: Option<Incarnation>,
    fence: Fence,
}

impl Grants {
    /// Those of an owner with a fencing token.
    pub fn new(terms: Terms, token: u64, has_predecessor: bool) -> Self {
        let fence = Fence::Settled;
        Self { terms, has_predecessor, token, clock: None, incarnation: None, fence }
    }

    /// The fencing token for calls to the minion.
    pub fn token(&self) -> u64 {
        self.token
    }

    /// The next lease; none while the minion's clock is unknown.
    pub fn next(&self, now: Time) -> Option<Grant> {
        let clock = self.clock?;
        let deadline_ms = clock.now_ms(now) + self.terms.term.as_millis() as u64;
        Some(Grant { deadline_ms, expiry: clock.latest_time_of(deadline_ms) })
    }

    /// Records an answer.  Returns until when leases may last that this owner didn't grant, if any may.
    pub fn record_answer(&mut self, answer: &Answer) -> Option<Time> {
        let is_reset = self.clock.is_some_and(|clock| clock.is_reset(answer.clock_ms, answer.sent));
        // The next clock may also read more, but less than the deadlines that were given before.
        let is_other = |known| answer.incarnation.is_some_and(|incarnation| incarnation != known);
        let is_reset = is_reset || self.incarnation.is_some_and(is_other);
        self.incarnation = answer.incarnation.or(self.incarnation);
        let is_older = self.clock.is_some_and(|clock| answer.clock_ms < clock.read_ms);
        let is_first = self.clock.is_none();
        if is_reset || !is_older {
            self.clock = Some(MinionClock::new(answer.clock_ms, answer.received));
        }
        if is_reset {
            self.fence = Fence::Due;
        } else if is_first && self.has_predecessor {
            let is_recent = answer.age.is_some_and(|age| age < MAX_FORMER_CALLS_AGE);
            // The token of this owner is higher than those of its predecessors.
            self.fence = if is_recent { Fence::Raised } else { Fence::Settled };
        }
        if self.fence == Fence::Settled {
            return None;
        }
        if self.fence == Fence::Raised && answer.token == self.token {
            self.fence = Fence::Settled;
        }
        Some(answer.received + max_duration(self.terms.limit))
    }

    /// Uses a version of the store at which this owner still held its cell as the fencing token, if a
    /// restart calls for another one.  It is lower than the tokens of all later owners.  Returns
    /// whether the token was raised.
    pub fn raise_token(&mut self, version: u64) -> bool {
        let is_raised = self.fence == Fence::Due && version > self.token;
        if is_raised {
            self.token = version;
            self.fence = Fence::Raised;
        }
        is_raised
    }
}
