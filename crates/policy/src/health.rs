//! Judging a minion by its answers, in comparison with its siblings.

use crate::time::Moment;
use std::time::Duration;

/// Weight of the newest answer in the failure rate.
const FAILURE_RATE_EWMA_WEIGHT: f64 = 0.15;

/// Failures in a row before a minion can be set aside.
const MIN_CONSECUTIVE_FAILURES: u32 = 4;

/// A minion is suspected when it fails this much more often than its siblings.
const MIN_EXCESS_FAILURE_RATE: f64 = 0.4;

/// How long each failure in a row makes other minions preferable.
const AVOIDANCE_PER_FAILURE: Duration = Duration::from_millis(250);

/// First wait before a minion that was set aside is tried again; doubles up to the last.
const MIN_EJECTION_TIME: Duration = Duration::from_secs(1);
const MAX_EJECTION_TIME: Duration = Duration::from_secs(30);

/// Weight of the newest service time in the typical one.
const LATENCY_EWMA_WEIGHT: f64 = 0.1;

/// What is known of one minion.
#[derive(Clone, Debug)]
pub struct Health {
    failure_rate: f64,
    consecutive_failures: u32,
    last_failure: Moment,
    latency_ms: f64,
    state: State,
    ejection_time: Duration,
}

/// Whether a minion gets work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// It does.
    Healthy,
    /// Not before this moment.
    Ejected(Moment),
    /// It gets one request at a time until one succeeds.
    Probing,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            failure_rate: 0.0,
            consecutive_failures: 0,
            last_failure: Moment(0),
            latency_ms: 0.0,
            state: State::Healthy,
            ejection_time: MIN_EJECTION_TIME,
        }
    }
}

impl Health {
    /// Whether it gets work now.
    pub fn state(&self, now: Moment) -> State {
        match self.state {
            State::Ejected(until) if until <= now => State::Probing,
            state => state,
        }
    }

    /// Failures in a row, forgotten after a while: a minion that is left out because it failed
    /// once could otherwise never show that it works again.
    pub fn recent_failures(&self, now: Moment) -> u32 {
        let avoidance = AVOIDANCE_PER_FAILURE * self.consecutive_failures;
        if now.since(self.last_failure) < avoidance { self.consecutive_failures } else { 0 }
    }

    /// The smoothed share of failures.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Notes a success that took `took`.  Tells whether the minion is trusted anew.
    pub fn record_success(&mut self, latency: Duration) -> bool {
        let millis = latency.as_millis() as f64;
        let weight = if self.latency_ms == 0.0 { 1.0 } else { LATENCY_EWMA_WEIGHT };
        self.latency_ms += weight * (millis - self.latency_ms);
        self.failure_rate -= FAILURE_RATE_EWMA_WEIGHT * self.failure_rate;
        self.consecutive_failures = 0;
        let readmitted = self.state != State::Healthy;
        if readmitted {
            self.state = State::Healthy;
            self.ejection_time = MIN_EJECTION_TIME;
            self.failure_rate = 0.0;
        }
        readmitted
    }

    /// Notes a failure.  `siblings` is the others' failure rate: when all fail alike the cause
    /// lies elsewhere, and setting one after the other aside would empty the service.  Tells
    /// whether the minion is set aside by it; `may_eject` is false at the service's floor.
    pub fn record_failure(
        &mut self,
        now: Moment,
        sibling_failure_rate: f64,
        may_eject: bool,
    ) -> bool {
        self.failure_rate += FAILURE_RATE_EWMA_WEIGHT * (1.0 - self.failure_rate);
        self.consecutive_failures += 1;
        self.last_failure = now;
        match self.state(now) {
            State::Probing => {
                self.ejection_time = (self.ejection_time * 2).min(MAX_EJECTION_TIME);
                self.state = State::Ejected(now + self.ejection_time);
                false
            }
            State::Ejected(_) => false,
            State::Healthy => {
                let is_outlier = self.consecutive_failures >= MIN_CONSECUTIVE_FAILURES
                    && self.failure_rate > sibling_failure_rate + MIN_EXCESS_FAILURE_RATE;
                if is_outlier && may_eject {
                    self.state = State::Ejected(now + self.ejection_time);
                }
                is_outlier && may_eject
            }
        }
    }

    /// How long a failed request still occupies its slot.
    ///
    /// A minion that fails everything at once would otherwise be free again at once and draw
    /// all the work; occupied for as long as a success takes, it draws no more than its share.
    pub fn penalty(&self, elapsed: Duration, sibling_latency: Duration) -> Duration {
        let own = Duration::from_millis(self.latency_ms as u64);
        own.max(sibling_latency).saturating_sub(elapsed)
    }

    /// The smoothed time that a success takes.
    pub fn latency(&self) -> Duration {
        Duration::from_millis(self.latency_ms as u64)
    }
}
