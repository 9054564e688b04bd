//! Budget that keeps retries a small part of all requests.
//!
//! Retries multiply load just when there is too much of it. Every request earns a
//! fraction of a retry, so a fleet in trouble sees at most that fraction on top.

/// Retries that one request earns.
const DEPOSIT_PER_REQUEST: f64 = 0.1;

/// Most retries that can be saved up.
const MAX_BALANCE: f64 = 20.0;

/// Retries that a node may make before it has served any request.
const INITIAL_BALANCE: f64 = 2.0;

/// Retries that one node may still make.
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
    /// Counts a request of a caller; retries do not count.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + DEPOSIT_PER_REQUEST).min(MAX_BALANCE);
    }

    /// Takes one retry from the budget; false when there is none.
    #[must_use]
    pub fn try_withdraw(&mut self) -> bool {
        // The sum of ten tenths is a little less than one.
        let enough = self.balance > 1.0 - 1e-9;
        if enough {
            self.balance -= 1.0;
        }
        enough
    }
}
