//! Limits that endpoints state.

use super::Control;
use crate::clock::Millis;
use crate::control::stated_limits::Statement;
use crate::endpoint::Endpoint;

impl Control {
    /// Handles what an endpoint stated in a response to this node.
    pub(super) fn limit_stated(&mut self, endpoint: &Endpoint, limit: Option<f64>, now: Millis) {
        let statement = Statement {
            start_time_ms: endpoint.start_time_ms,
            per_second: limit,
            at: now,
        };
        if self.limits.record(endpoint.key(), statement) {
            log::info!(endpoint = &*endpoint.id, limit; "endpoint stated a limit of requests, or none any more");
            self.metrics.set_limited_endpoints(self.limits.count());
        }
    }
}
