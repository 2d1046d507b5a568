//! Requests that wait for a slot: urgent before patient, and patient never starved.

use crate::time::Moment;
use celerythread_model::config::Ratio;
use celerythread_model::request::Class;
use std::collections::VecDeque;
use std::time::Duration;

/// Weight of the newest interval in the drain rate.
const INTERVAL_EWMA_WEIGHT: f64 = 0.1;

/// Assumed time between two slots becoming free before any was measured.
const INITIAL_INTERVAL_MS: f64 = 20.0;

/// Longest time that a caller is told to wait before it comes back.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// A request that is to wait.
#[derive(Debug)]
pub struct QueuedRequest<T> {
    /// What waits.
    pub item: T,
    /// How urgent it is.
    pub class: Class,
    /// When it must have been answered.
    pub deadline: Moment,
}

/// The bounds of a queue, by the configuration in force.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Most requests that wait.
    pub limit: usize,
    /// Patient work's share of the turns while urgent work waits too.
    pub patient_share: Ratio,
}

/// Why a request may not wait.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// When to come back.
    pub retry_after: Duration,
}

/// A queue of one service at one entry.
#[derive(Debug)]
pub struct Queue<T> {
    urgent: VecDeque<QueuedRequest<T>>,
    patient: VecDeque<QueuedRequest<T>>,
    /// Parts of a turn that patient work has saved up while urgent work went first.
    patient_credit: f64,
    /// Smoothed milliseconds between two departures while there was work waiting.
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
    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.urgent.len() + self.patient.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Whether an urgent request waits.
    pub fn has_urgent(&self) -> bool {
        !self.urgent.is_empty()
    }

    /// The wait that a new request of a class must expect.
    pub fn expected_wait(&self, class: Class, patient_share: Ratio) -> Duration {
        let ahead = match class {
            // Patient work takes its share of the turns in between.
            Class::Urgent => self.urgent.len() as f64 / (1.0 - patient_share.0).max(0.1),
            Class::Patient => self.len() as f64,
        };
        Duration::from_millis((ahead * self.interval_ms) as u64)
    }

    /// Adds a request, or refuses it at once when its wait is known to exceed its deadline or
    /// the queue is at its limit.
    ///
    /// `jitter` is a random number from nought to one; it spreads the refused callers out over
    /// the time that it takes to work off what is here.
    ///
    /// # Errors
    /// The refusal, with when to come back.
    pub fn push(
        &mut self,
        waiting: QueuedRequest<T>,
        now: Moment,
        bounds: Bounds,
        jitter: f64,
    ) -> Result<(), Refusal> {
        let wait = self.expected_wait(waiting.class, bounds.patient_share);
        // Patient work must not keep urgent work out of the queue.
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

    /// When a refused caller should come back.
    pub fn retry_after(&self, jitter: f64) -> Duration {
        let drain = (self.len() as f64 + 1.0) * self.interval_ms;
        let millis = drain * (0.5 + jitter.clamp(0.0, 1.0)) + 50.0;
        Duration::from_millis(millis as u64).min(MAX_RETRY_AFTER)
    }

    /// Takes the next request out for a free slot.
    ///
    /// Urgent requests go first.  While both classes wait, patient work saves up its share of
    /// each turn and goes when that makes a whole one, so it always moves.
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
            // An idle queue says nothing about how fast slots become free.
            self.last_departure = None;
            return;
        }
        if let Some(last) = self.last_departure {
            let interval = now.since(last).as_millis() as f64;
            self.interval_ms += INTERVAL_EWMA_WEIGHT * (interval - self.interval_ms);
        }
        self.last_departure = Some(now);
    }

    /// Takes out what can no longer be started by its deadline.
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

    /// Takes everything out, for a queue whose service has gone.
    pub fn drain(&mut self) -> Vec<T> {
        let all = self.urgent.drain(..).chain(self.patient.drain(..));
        all.map(|waiting| waiting.item).collect()
    }

    /// Takes out every request that `unwanted` picks, for example those whose caller has gone.
    pub fn remove(&mut self, unwanted: impl Fn(&T) -> bool) -> usize {
        let before = self.len();
        self.urgent.retain(|waiting| !unwanted(&waiting.item));
        self.patient.retain(|waiting| !unwanted(&waiting.item));
        before - self.len()
    }
}
