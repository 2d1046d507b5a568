//! Outlier detection: ejects a minion or worker that fails more often than its siblings.

use crate::time::Moment;
use std::time::Duration;

/// Weight of the newest answer in the moving average of the failure rate.
const FAILURE_RATE_EWMA_WEIGHT: f64 = 0.15;

/// Consecutive failures before a minion can be ejected.
const MIN_CONSECUTIVE_FAILURES: u32 = 4;

/// A minion is an outlier when its failure rate exceeds that of its siblings by this much.
const MIN_EXCESS_FAILURE_RATE: f64 = 0.4;

/// How long each consecutive failure makes other minions preferred.
const AVOIDANCE_PER_FAILURE: Duration = Duration::from_millis(250);

/// Bounds of the time for which a minion is ejected; it doubles with each failed probe.
const MIN_EJECTION_TIME: Duration = Duration::from_secs(1);
const MAX_EJECTION_TIME: Duration = Duration::from_secs(30);

/// Weight of the newest latency in the moving average.
const LATENCY_EWMA_WEIGHT: f64 = 0.1;

/// The health of one minion, derived from its answers.
#[derive(Clone, Debug)]
pub struct Health {
    failure_rate: f64,
    consecutive_failures: u32,
    last_failure: Moment,
    latency_ms: f64,
    state: State,
    ejection_time: Duration,
}

/// Whether a minion gets requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// It gets requests.
    Healthy,
    /// It gets none until this moment.
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
    /// The state at `now`.
    pub fn state(&self, now: Moment) -> State {
        match self.state {
            State::Ejected(until) if until <= now => State::Probing,
            state => state,
        }
    }

    /// Consecutive failures, or zero once the last one is old enough.  Without this expiry a minion
    /// that is avoided because it failed once might never get a request that shows it works again.
    pub fn recent_failures(&self, now: Moment) -> u32 {
        let avoidance = AVOIDANCE_PER_FAILURE * self.consecutive_failures;
        if now.since(self.last_failure) < avoidance { self.consecutive_failures } else { 0 }
    }

    /// The moving average of the failure rate.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Records a success and its latency.  Returns whether the minion was readmitted by it.
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

    /// Records a failure and returns whether the minion is ejected by it.
    ///
    /// `sibling_failure_rate` is the failure rate of its siblings: when all fail alike, the cause
    /// lies elsewhere, and ejecting one after another would leave the service without minions.
    /// With `may_eject` false the minion stays in use.
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

    /// How long a failed request keeps occupying its slot.
    ///
    /// A minion that fails requests immediately would otherwise be free again at once and attract
    /// all requests.  With its slot occupied for as long as a success takes, it gets no more than
    /// its share.
    pub fn penalty(&self, elapsed: Duration, sibling_latency: Duration) -> Duration {
        let own = Duration::from_millis(self.latency_ms as u64);
        own.max(sibling_latency).saturating_sub(elapsed)
    }

    /// The moving average of the latency of successful requests.
    pub fn latency(&self) -> Duration {
        Duration::from_millis(self.latency_ms as u64)
    }
}
