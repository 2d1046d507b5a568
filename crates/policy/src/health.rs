//! Judging a minion by its answers, in comparison with its siblings.

use crate::time::Moment;
use std::time::Duration;

/// Weight of the newest answer in the failure rate.
const WEIGHT: f64 = 0.15;

/// Failures in a row before a minion can be set aside.
const MIN_STREAK: u32 = 4;

/// A minion is suspected when it fails this much more often than its siblings.
const MARGIN: f64 = 0.4;

/// How long each failure in a row makes other minions preferable.
const SUSPICION: Duration = Duration::from_millis(250);

/// First wait before a minion that was set aside is tried again; doubles up to the last.
const FIRST_REST: Duration = Duration::from_secs(1);
const LAST_REST: Duration = Duration::from_secs(30);

/// Weight of the newest service time in the typical one.
const TIME_WEIGHT: f64 = 0.1;

/// What is known of one minion.
#[derive(Clone, Debug)]
pub struct Health {
    failure_rate: f64,
    streak: u32,
    last_failure: Moment,
    typical_ms: f64,
    state: State,
    rest: Duration,
}

/// Whether a minion gets work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// It does.
    Trusted,
    /// Not before this moment.
    Resting(Moment),
    /// It gets one request at a time until one succeeds.
    Probing,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            failure_rate: 0.0,
            streak: 0,
            last_failure: Moment(0),
            typical_ms: 0.0,
            state: State::Trusted,
            rest: FIRST_REST,
        }
    }
}

impl Health {
    /// Whether it gets work now.
    pub fn state(&self, now: Moment) -> State {
        match self.state {
            State::Resting(until) if until <= now => State::Probing,
            state => state,
        }
    }

    /// Failures in a row, forgotten after a while: a minion that is left out because it failed
    /// once could otherwise never show that it works again.
    pub fn suspicion(&self, now: Moment) -> u32 {
        let lasts = SUSPICION * self.streak;
        if now.since(self.last_failure) < lasts { self.streak } else { 0 }
    }

    /// The smoothed share of failures.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Notes a success that took `took`.  Tells whether the minion is trusted anew.
    pub fn succeed(&mut self, took: Duration) -> bool {
        let millis = took.as_millis() as f64;
        let weight = if self.typical_ms == 0.0 { 1.0 } else { TIME_WEIGHT };
        self.typical_ms += weight * (millis - self.typical_ms);
        self.failure_rate -= WEIGHT * self.failure_rate;
        self.streak = 0;
        let anew = self.state != State::Trusted;
        if anew {
            self.state = State::Trusted;
            self.rest = FIRST_REST;
            self.failure_rate = 0.0;
        }
        anew
    }

    /// Notes a failure.  `siblings` is the others' failure rate: when all fail alike the cause
    /// lies elsewhere, and setting one after the other aside would empty the service.  Tells
    /// whether the minion is set aside by it; `may_eject` is false at the service's floor.
    pub fn fail(&mut self, now: Moment, siblings: f64, may_eject: bool) -> bool {
        self.failure_rate += WEIGHT * (1.0 - self.failure_rate);
        self.streak += 1;
        self.last_failure = now;
        match self.state(now) {
            State::Probing => {
                self.rest = (self.rest * 2).min(LAST_REST);
                self.state = State::Resting(now + self.rest);
                false
            }
            State::Resting(_) => false,
            State::Trusted => {
                let suspect = self.streak >= MIN_STREAK && self.failure_rate > siblings + MARGIN;
                if suspect && may_eject {
                    self.state = State::Resting(now + self.rest);
                }
                suspect && may_eject
            }
        }
    }

    /// How long a failed request still occupies its slot.
    ///
    /// A minion that fails everything at once would otherwise be free again at once and draw
    /// all the work; occupied for as long as a success takes, it draws no more than its share.
    pub fn penalty(&self, took: Duration, sibling_typical: Duration) -> Duration {
        let own = Duration::from_millis(self.typical_ms as u64);
        own.max(sibling_typical).saturating_sub(took)
    }

    /// The smoothed time that a success takes.
    pub fn typical(&self) -> Duration {
        Duration::from_millis(self.typical_ms as u64)
    }
}
