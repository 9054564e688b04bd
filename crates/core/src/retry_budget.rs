//! Retry budget that limits retries to a small fraction of all requests.
//!
//! Retries multiply load exactly when the system is overloaded. Every request deposits a
//! fraction of a retry, so retries add at most that fraction to the load.

/// Retries deposited by one request.
const DEPOSIT_PER_REQUEST: f64 = 0.1;

/// Maximum balance, in retries.
const MAX_BALANCE: f64 = 20.0;

/// Balance of a node that has not served any request yet, in retries.
const INITIAL_BALANCE: f64 = 2.0;

/// Number of retries that one node may still make.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    balance: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            balance: INITIAL_BALANCE,
        }
    }
}

impl RetryBudget {
    /// Records a request of a caller; must not be called for retries.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + DEPOSIT_PER_REQUEST).min(MAX_BALANCE);
    }

    /// Withdraws one retry from the budget; false if the balance is too low.
    #[must_use]
    pub fn try_withdraw(&mut self) -> bool {
        // In floating point the sum of ten tenths is slightly less than one.
        let enough = self.balance > 1.0 - 1e-9;
        if enough {
            self.balance -= 1.0;
        }
        enough
    }
}
