//! A budget for sending requests again, so that retries cannot multiply an overload.

use celerythread_model::config::Ratio;

/// Retries that are always possible after a quiet time.
const RESERVE: f64 = 3.0;

/// Most retries that can be saved up.
const CEILING: f64 = 50.0;

/// A service's budget at one entry: each request earns a part of a retry.
#[derive(Clone, Debug)]
pub struct Budget {
    ratio: f64,
    saved: f64,
}

impl Budget {
    /// A budget with its reserve.
    pub fn new(ratio: Ratio) -> Self {
        Self { ratio: ratio.0, saved: RESERVE }
    }

    /// Sets the share of requests that may be sent again.
    pub fn set_ratio(&mut self, ratio: Ratio) {
        self.ratio = ratio.0;
    }

    /// A first attempt was made.
    pub fn earn(&mut self) {
        self.saved = (self.saved + self.ratio).min(CEILING);
    }

    /// Takes one retry out, if there is one.
    pub fn spend(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
