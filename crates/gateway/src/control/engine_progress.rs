//! State of the orders to one engine to load weights.

use super::load::Load;
use crate::clock::Millis;

/// Delay before an order is retried, in ms.
pub const RETRY_MS: Millis = 400;

/// Delay before an order that was not sent is retried, in ms.
pub const UNSENT_RETRY_MS: Millis = 150;

/// Number of times that the delay of retries doubles.
const MAX_DOUBLINGS: u32 = 3;

/// State of the orders to one engine.
#[derive(Clone, Debug, Default)]
pub struct EngineProgress {
    /// Start time of the incarnation that it is about, in Unix milliseconds.
    pub start_time_ms: u64,
    /// Number of orders that the engine has accepted since its start; none if it has to
    /// be read from the engine's report.
    pub accepted: Option<u64>,
    /// True while an order, or a request for its report, has no answer.
    pub in_flight: bool,
    /// When the last order was sent to it.
    pub ordered_at: Millis,
    /// Number of engines that were loading when the last order was sent to it.
    pub concurrent: usize,
    /// Since when it finishes its runs before it loads; none if it is not reserved.
    pub reserved_at: Option<Millis>,
    /// When it may be asked again.
    pub retry_at: Millis,
    /// When its report is due; none if none is.
    pub confirm_at: Option<Millis>,
    /// Orders and requests for its report in turn that brought no answer.
    pub failures: u32,
}

impl EngineProgress {
    /// Records that the engine answered.
    pub fn answered(&mut self) {
        self.failures = 0;
    }

    /// True if an order that was sent after the load began has no answer. What is known of the
    /// load then does not tell whether the engine loads.
    pub fn is_ordered_since(&self, load: &Load) -> bool {
        self.in_flight && self.ordered_at > load.ordered_at
    }

    /// True if a report is due from the engine, which has answered so far.
    pub fn awaits_report(&self) -> bool {
        self.failures == 0 && (self.in_flight || self.confirm_at.is_some())
    }

    /// Records that the engine did not answer. Returns when it may be asked again, `delay`
    /// ms after the first failure and ever later after the next ones.
    pub fn failed(&mut self, delay: Millis, now: Millis) -> Millis {
        self.retry_at = now + (delay << self.failures.min(MAX_DOUBLINGS));
        self.failures += 1;
        self.retry_at
    }
}
