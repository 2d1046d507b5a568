//! A budget for sending requests again, so that retries cannot multiply an overload.

use celerythread_model::config::Ratio;

/// Retries that are always possible after a quiet time.
const INITIAL_BALANCE: f64 = 3.0;

/// Most retries that can be saved up.
const MAX_BALANCE: f64 = 50.0;

/// A service's budget at one entry: each request earns a part of a retry.
#[derive(Clone, Debug)]
pub struct Budget {
    ratio: f64,
    balance: f64,
}

impl Budget {
    /// A budget with its reserve.
    pub fn new(ratio: Ratio) -> Self {
        Self { ratio: ratio.0, balance: INITIAL_BALANCE }
    }

    /// Sets the share of requests that may be sent again.
    pub fn set_ratio(&mut self, ratio: Ratio) {
        self.ratio = ratio.0;
    }

    /// A first attempt was made.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + self.ratio).min(MAX_BALANCE);
    }

    /// Takes one retry out, if there is one.
    pub fn try_withdraw(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}
