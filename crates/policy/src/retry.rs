//! A retry budget, so that resent requests can't multiply an overload.

use celerythread_model::config::Ratio;

/// Retries that a new budget starts with, so that the first failures of a quiet service can be
/// retried.
const INITIAL_BALANCE: f64 = 3.0;

/// Maximum number of retries that can accumulate.
const MAX_BALANCE: f64 = 50.0;

/// The retry budget of a service at one entry: each request adds a fraction of a retry.
#[derive(Clone, Debug)]
pub struct Budget {
    ratio: f64,
    balance: f64,
}

impl Budget {
    /// A budget with the initial balance.
    pub fn new(ratio: Ratio) -> Self {
        Self { ratio: ratio.0, balance: INITIAL_BALANCE }
    }

    /// Sets the share of requests that may be resent.
    pub fn set_ratio(&mut self, ratio: Ratio) {
        self.ratio = ratio.0;
    }

    /// Adds to the budget for the first attempt of a request.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + self.ratio).min(MAX_BALANCE);
    }

    /// Takes one retry from the budget.  Returns false if there is none.
    pub fn try_withdraw(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}
