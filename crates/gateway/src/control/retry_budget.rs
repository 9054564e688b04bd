//! The node's part of the fleet's budget for sending requests a second time.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Millis;

/// Part of the allowed share that the nodes use, so that counting errors at the
/// edges of a window do not exceed it.
const SAFETY_FACTOR: f64 = 0.7;

/// Length of one counting interval in ms.
const INTERVAL_MS: Millis = 500;

#[derive(Clone, Copy, Debug)]
struct Interval {
    start: Millis,
    requests: u32,
    retries: u32,
}

/// Requests and retries of one window, for each service.
#[derive(Debug)]
pub struct RetryBudget {
    ratio: f64,
    window: Millis,
    slack: f64,
    services: BTreeMap<Arc<str>, VecDeque<Interval>>,
}

impl RetryBudget {
    /// A budget of `ratio` of the requests in `window`, and `slack` for all nodes.
    pub fn new(ratio: f64, window: Duration, slack: f64) -> Self {
        Self {
            ratio,
            window: window.as_millis() as Millis,
            slack,
            services: BTreeMap::new(),
        }
    }

    fn current_interval(&mut self, service: &Arc<str>, now: Millis) -> &mut Interval {
        let intervals = self.services.entry(service.clone()).or_default();
        let oldest = now.saturating_sub(self.window);
        while intervals
            .front()
            .is_some_and(|interval| interval.start < oldest)
        {
            intervals.pop_front();
        }
        let start = now - now % INTERVAL_MS;
        if intervals
            .back()
            .is_none_or(|interval| interval.start < start)
        {
            intervals.push_back(Interval {
                start,
                requests: 0,
                retries: 0,
            });
        }
        intervals.back_mut().expect("an interval was just added")
    }

    /// Counts a request of a caller.
    pub fn record_request(&mut self, service: &Arc<str>, now: Millis) {
        self.current_interval(service, now).requests += 1;
    }

    /// Takes one retry; false when the node's part is used up. `nodes` is the
    /// largest number of nodes that may share the slack.
    #[must_use]
    pub fn try_retry(&mut self, service: &Arc<str>, nodes: usize, now: Millis) -> bool {
        self.current_interval(service, now);
        let intervals = &self.services[service];
        let requests: u32 = intervals.iter().map(|interval| interval.requests).sum();
        let retries: u32 = intervals.iter().map(|interval| interval.retries).sum();
        let slack = self.slack / nodes.max(1) as f64;
        let allowed = SAFETY_FACTOR * (self.ratio * f64::from(requests) + slack);
        let granted = f64::from(retries) + 1.0 <= allowed;
        if granted {
            self.current_interval(service, now).retries += 1;
        }
        granted
    }
}
