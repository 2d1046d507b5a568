//! Limits how many starts of a cell are ordered and not yet answered.
//!
//! An owner that has too little processor time sends orders more slowly than its plans give them.
//! Without a limit, the orders wait for seconds in front of idle minions, and all jobs are late.
//! With it, tasks wait in the cell instead, where each plan starts the most valuable ones.

use crate::delegation::{Meter, Rate};
use crate::time::Time;
use std::time::Duration;

/// Starts that may be unanswered at any rate.
const MIN_UNANSWERED_STARTS: usize = 400;

/// Time in which a start should be answered, including its wait in the owner.
const MAX_ANSWER_TIME: Duration = Duration::from_millis(100);

/// The limit, which follows the rate of answers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Window {
    answers: Meter,
}

impl Window {
    /// Records that a start was answered or given up.
    pub fn record_answer(&mut self, now: Time) {
        self.answers.record(now);
    }

    /// How many starts may be ordered while `unanswered` are.
    pub fn available(&mut self, unanswered: usize, now: Time) -> usize {
        let Rate(rate) = self.answers.rate(now);
        let limit = (rate * MAX_ANSWER_TIME.as_secs_f64()) as usize;
        limit.max(MIN_UNANSWERED_STARTS).saturating_sub(unanswered)
    }
}
