//! This node's share of the fleet's budget for retries.
//!
//! What a process counts is lost when it ends, so that the next one at its address does not
//! know what was spent. Retries that follow from requests need no such knowledge: each is
//! covered by requests that the same process counted within the window before it, so that
//! those of all processes in a window come from the requests of that window and of the one
//! before. A share of the slack is used only if that is known to be unspent: after a whole
//! window, or if no process has run under the node's name before.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Millis;

/// Part of the ratio that one process uses. Where requests move to other processes, those of
/// the window before are used up as well as those of the window itself.
const RATIO_SHARE: f64 = 0.5;

/// Part of the slack that is used, so that counting errors at the edges of a window do not
/// exceed the limit.
const SLACK_SHARE: f64 = 0.7;

/// Length of a counting interval, in ms.
const INTERVAL_MS: Millis = 50;

#[derive(Clone, Copy, Debug)]
struct Interval {
    start: Millis,
    requests: u32,
    retries: u32,
}

/// What a node knows of those with which it shares the slack.
#[derive(Clone, Copy, Debug)]
pub struct SlackShare {
    /// Largest number of nodes that may share it, including this one; none if the registry
    /// of the nodes was not read.
    pub nodes: Option<usize>,
    /// Time since which this process counts.
    pub counts_since: Millis,
    /// True if no process has run under the node's name before.
    pub is_new: bool,
}

/// Decision on a retry, and what it is based on.
#[derive(Clone, Copy, Debug)]
pub struct RetryDecision {
    /// True if the retry may be sent.
    pub granted: bool,
    /// Requests counted in the window.
    pub requests: u32,
    /// Retries counted in the window before this one.
    pub retries: u32,
    /// Number of retries that this node may send for these requests.
    pub allowed: f64,
    /// Part of the slack that this node may use.
    pub slack: f64,
}

/// Requests and retries of each service within a sliding window.
#[derive(Debug)]
pub struct RetryBudget {
    ratio: f64,
    window: Millis,
    slack: f64,
    services: BTreeMap<Arc<str>, VecDeque<Interval>>,
}

impl RetryBudget {
    /// Creates a budget that allows retries up to `ratio` of the requests in `window`,
    /// plus `slack` retries shared by all nodes.
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
            .is_some_and(|interval| interval.start + INTERVAL_MS <= oldest)
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

    /// Counts the first attempt of a request.
    pub fn record_request(&mut self, service: &Arc<str>, now: Millis) {
        self.current_interval(service, now).requests += 1;
    }

    /// Records that a retry is sent now that was granted at this time, from when it counts.
    pub fn record_sent(&mut self, service: &Arc<str>, granted_at: Millis, now: Millis) {
        let start = granted_at - granted_at % INTERVAL_MS;
        if let Some(intervals) = self.services.get_mut(service)
            && let Some(granted) = intervals.iter_mut().find(|known| known.start == start)
        {
            granted.retries = granted.retries.saturating_sub(1);
        }
        self.current_interval(service, now).retries += 1;
    }

    /// Part of the slack that is known to be unspent.
    fn usable_slack(&self, share: SlackShare, now: Millis) -> f64 {
        let Some(nodes) = share.nodes else { return 0.0 };
        let nodes = nodes.max(1) as f64;
        if now >= share.counts_since + self.window {
            SLACK_SHARE * self.slack / nodes
        } else if share.is_new {
            // The k-th node to register finds at least k nodes, and the sum of 1 / (k (k + 1))
            // is less than 1, however many start one after another.
            SLACK_SHARE * self.slack / (nodes * (nodes + 1.0))
        } else {
            0.0
        }
    }

    /// Takes one retry from the budget, unless this node's share is exhausted.
    #[must_use]
    pub fn try_retry(
        &mut self,
        service: &Arc<str>,
        share: SlackShare,
        now: Millis,
    ) -> RetryDecision {
        self.current_interval(service, now);
        let intervals = &self.services[service];
        // An interval of which only a part is in the window counts with its retries alone.
        let oldest = now.saturating_sub(self.window);
        let whole = intervals.iter().filter(|interval| interval.start >= oldest);
        let requests: u32 = whole.map(|interval| interval.requests).sum();
        let retries: u32 = intervals.iter().map(|interval| interval.retries).sum();
        let slack = self.usable_slack(share, now);
        let allowed = RATIO_SHARE * self.ratio * f64::from(requests) + slack;
        let granted = f64::from(retries) + 1.0 <= allowed;
        if granted {
            self.current_interval(service, now).retries += 1;
        }
        RetryDecision {
            granted,
            requests,
            retries,
            allowed,
            slack,
        }
    }
}
