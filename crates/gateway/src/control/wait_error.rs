//! Error of the expected wait for the first token, by service and priority.

use std::collections::BTreeMap;
use std::sync::Arc;

/// Least urgent priority; the number of series is bounded by it.
pub const MAX_PRIORITY: u8 = 9;

/// Weight of the newest ratio in the moving mean.
const MEAN_SMOOTHING: f64 = 0.05;

/// Share of the requests whose wait the high quantile covers.
const COVERED_SHARE: f64 = 0.95;

/// Step of the high quantile, as a natural logarithm. It falls by a twentieth of this, 1 %,
/// with each wait below it, so that it halves within 70 requests.
const QUANTILE_STEP: f64 = 0.2;

/// Bound of a ratio of waits: beyond it the expectation was not about this wait.
const MAX_RATIO: f64 = 64.0;

/// Shortest wait that is compared, in ms: the clock has a resolution of 1 ms.
const MIN_WAIT_MS: f64 = 1.0;

/// Moving error of the expected waits of one service and priority.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WaitError {
    /// Moving mean of actual by expected wait.
    pub mean: f64,
    /// Natural logarithm of the estimated quantile of actual by expected wait.
    quantile_ln: f64,
}

impl Default for WaitError {
    fn default() -> Self {
        Self {
            mean: 1.0,
            quantile_ln: 0.0,
        }
    }
}

impl WaitError {
    /// Records the actual wait of a request.
    pub fn record(&mut self, expected_ms: f64, actual_ms: f64) {
        let ratio = actual_ms.max(MIN_WAIT_MS) / expected_ms.max(MIN_WAIT_MS);
        let ratio = ratio.clamp(1.0 / MAX_RATIO, MAX_RATIO);
        self.mean += MEAN_SMOOTHING * (ratio - self.mean);
        // Up and down balance if the quantile covers the share.
        let step = if ratio.ln() > self.quantile_ln {
            COVERED_SHARE
        } else {
            COVERED_SHARE - 1.0
        };
        let bound = MAX_RATIO.ln();
        self.quantile_ln = (self.quantile_ln + QUANTILE_STEP * step).clamp(-bound, bound);
    }

    /// Factor by which an expected wait has to be multiplied to hold in 95 of 100 cases.
    pub fn safety_factor(&self) -> f64 {
        self.quantile_ln.exp()
    }
}

/// Errors of all services and priorities.
#[derive(Debug, Default)]
pub struct WaitErrors(BTreeMap<Arc<str>, [WaitError; MAX_PRIORITY as usize + 1]>);

impl WaitErrors {
    /// Records the actual wait of a request, and returns the error since.
    pub fn record(
        &mut self,
        service: &Arc<str>,
        priority: u8,
        expected_ms: f64,
        actual_ms: f64,
    ) -> WaitError {
        if !self.0.contains_key(service) {
            self.0.insert(service.clone(), Default::default());
        }
        let place = usize::from(priority.min(MAX_PRIORITY));
        let Some(errors) = self.0.get_mut(service) else {
            return WaitError::default();
        };
        errors[place].record(expected_ms, actual_ms);
        errors[place]
    }

    /// Factor by which an expected wait has to be multiplied to hold in 95 of 100 cases; 1
    /// while nothing is known.
    pub fn safety_factor(&self, service: &str, priority: u8) -> f64 {
        let errors = self.0.get(service);
        errors.map_or(1.0, |errors| {
            errors[usize::from(priority.min(MAX_PRIORITY))].safety_factor()
        })
    }
}
