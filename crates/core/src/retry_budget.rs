//! Budget that keeps retries a small part of all requests.
//!
//! Retries multiply load just when there is too much of it. Every request earns a
//! fraction of a retry, so a fleet in trouble sees at most that fraction on top.

/// Retries that one request earns.
const EARNED: f64 = 0.1;

/// Most retries that can be saved up.
const MAX_SAVED: f64 = 20.0;

/// Retries that a node may make before it has served any request.
const INITIAL: f64 = 2.0;

/// Retries that one node may still make.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    saved: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { saved: INITIAL }
    }
}

impl RetryBudget {
    /// Counts a request of a caller; retries do not count.
    pub fn earn(&mut self) {
        self.saved = (self.saved + EARNED).min(MAX_SAVED);
    }

    /// Takes one retry from the budget; false when there is none.
    #[must_use]
    pub fn spend(&mut self) -> bool {
        // The sum of ten tenths is a little less than one.
        let enough = self.saved > 1.0 - 1e-9;
        if enough {
            self.saved -= 1.0;
        }
        enough
    }
}
