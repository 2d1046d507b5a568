//! Requests that wait for a slot: urgent ones first, without starving patient ones.

use crate::time::Moment;
use celerythread_model::config::Ratio;
use celerythread_model::request::Class;
use std::collections::VecDeque;
use std::time::Duration;

/// Weight of the newest interval in the moving average of the time between departures.
const INTERVAL_EWMA_WEIGHT: f64 = 0.1;

/// Assumed interval between departures before any was measured.
const INITIAL_INTERVAL_MS: f64 = 20.0;

/// Upper bound of the retry delay given to a refused caller.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// A request in the queue, or to be added to it.
#[derive(Debug)]
pub struct QueuedRequest<T> {
    /// The request.
    pub item: T,
    /// Its class.
    pub class: Class,
    /// When it must have been answered.
    pub deadline: Moment,
}

/// The limits of a queue, from the configuration in force.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Maximum number of waiting requests.
    pub limit: usize,
    /// Share of the departures that patient requests get while urgent ones wait too.
    pub patient_share: Ratio,
}

/// A refusal to queue a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Delay after which the caller should retry.
    pub retry_after: Duration,
}

/// The queue of one service at one entry.
#[derive(Debug)]
pub struct Queue<T> {
    urgent: VecDeque<QueuedRequest<T>>,
    patient: VecDeque<QueuedRequest<T>>,
    /// Fraction of a departure that patient requests have accumulated while urgent ones went first.
    patient_credit: f64,
    /// Moving average of the milliseconds between departures while requests were waiting.
    interval_ms: f64,
    last_departure: Option<Moment>,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self {
            urgent: VecDeque::new(),
            patient: VecDeque::new(),
            patient_credit: 0.0,
            interval_ms: INITIAL_INTERVAL_MS,
            last_departure: None,
        }
    }
}

impl<T> Queue<T> {
    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.urgent.len() + self.patient.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Whether an urgent request waits.
    pub fn has_urgent(&self) -> bool {
        !self.urgent.is_empty()
    }

    /// The expected wait of a new request of this class.
    pub fn expected_wait(&self, class: Class, patient_share: Ratio) -> Duration {
        let ahead = match class {
            // Patient requests take their share of the departures in between.
            Class::Urgent => self.urgent.len() as f64 / (1.0 - patient_share.0).max(0.1),
            Class::Patient => self.len() as f64,
        };
        Duration::from_millis((ahead * self.interval_ms) as u64)
    }

    /// Adds a request, or refuses it immediately if its expected wait exceeds its deadline or the
    /// queue is full.
    ///
    /// `jitter` is a random number between zero and one.  It spreads the retries of refused callers
    /// over the time that it takes to drain the queue.
    ///
    /// # Errors
    ///
    /// The refusal, with the delay before a retry.
    pub fn push(
        &mut self,
        waiting: QueuedRequest<T>,
        now: Moment,
        bounds: Bounds,
        jitter: f64,
    ) -> Result<(), Refusal> {
        let wait = self.expected_wait(waiting.class, bounds.patient_share);
        // Patient requests must not keep urgent ones out of the queue.
        let occupied = match waiting.class {
            Class::Urgent => self.urgent.len(),
            Class::Patient => self.len(),
        };
        if occupied >= bounds.limit || now + wait > waiting.deadline {
            return Err(Refusal { retry_after: self.retry_after(jitter) });
        }
        match waiting.class {
            Class::Urgent => self.urgent.push_back(waiting),
            Class::Patient => self.patient.push_back(waiting),
        }
        Ok(())
    }

    /// The delay after which a refused caller should retry.
    pub fn retry_after(&self, jitter: f64) -> Duration {
        let drain = (self.len() as f64 + 1.0) * self.interval_ms;
        let millis = drain * (0.5 + jitter.clamp(0.0, 1.0)) + 50.0;
        Duration::from_millis(millis as u64).min(MAX_RETRY_AFTER)
    }

    /// Removes and returns the next request for a free slot.
    ///
    /// Urgent requests go first.  While both classes wait, patient requests accumulate their share
    /// of each departure and go when it adds up to a whole one, so they always progress.
    pub fn pop(&mut self, now: Moment, patient_share: Ratio) -> Option<T> {
        self.record_departure(now);
        let both = !self.urgent.is_empty() && !self.patient.is_empty();
        if both {
            self.patient_credit += patient_share.0;
        }
        let patient_turn = self.urgent.is_empty() || (both && self.patient_credit >= 1.0);
        if patient_turn && both {
            self.patient_credit -= 1.0;
        }
        let queue = if patient_turn { &mut self.patient } else { &mut self.urgent };
        queue.pop_front().map(|waiting| waiting.item)
    }

    fn record_departure(&mut self, now: Moment) {
        if self.is_empty() {
            // An empty queue gives no information about how fast slots become free.
            self.last_departure = None;
            return;
        }
        if let Some(last) = self.last_departure {
            let interval = now.since(last).as_millis() as f64;
            self.interval_ms += INTERVAL_EWMA_WEIGHT * (interval - self.interval_ms);
        }
        self.last_departure = Some(now);
    }

    /// Removes and returns the requests whose deadline has passed.
    pub fn remove_expired(&mut self, now: Moment) -> Vec<T> {
        let mut expired = Vec::new();
        for queue in [&mut self.urgent, &mut self.patient] {
            let mut kept = VecDeque::with_capacity(queue.len());
            for waiting in queue.drain(..) {
                if waiting.deadline <= now {
                    expired.push(waiting.item);
                } else {
                    kept.push_back(waiting);
                }
            }
            *queue = kept;
        }
        expired
    }

    /// Removes and returns all requests, for a service that no longer exists.
    pub fn drain(&mut self) -> Vec<T> {
        let all = self.urgent.drain(..).chain(self.patient.drain(..));
        all.map(|waiting| waiting.item).collect()
    }

    /// Removes the requests that `unwanted` selects, for example those whose caller has
    /// disconnected.  Returns their number.
    pub fn remove(&mut self, unwanted: impl Fn(&T) -> bool) -> usize {
        let before = self.len();
        self.urgent.retain(|waiting| !unwanted(&waiting.item));
        self.patient.retain(|waiting| !unwanted(&waiting.item));
        before - self.len()
    }
}
