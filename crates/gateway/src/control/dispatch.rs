//! Bounds what waits at engines, so that urgent requests go ahead of less urgent ones.
//!
//! An engine takes requests into its batch in order of arrival, so a priority counts only for
//! those that have not been sent. Less urgent requests, and long prompts among them, therefore
//! wait at the node while the queues at the engines are long.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use crate::catalog::Catalog;
use crate::clock::Millis;

/// Part of the smallest target of equally or more urgent requests that the queue at an engine
/// may take before less urgent ones wait. The rest is for their own prompt and its first token.
const QUEUE_SHARE: f64 = 0.25;

/// Time in which the dispatched requests are counted, in ms.
const RATE_WINDOW_MS: Millis = 1_000;

/// Time for which a request must have waited before the rate of dispatches is known, in ms.
const MIN_HISTORY_MS: f64 = 200.0;

/// Queue that each priority of a service leaves at an engine.
#[derive(Debug, Default)]
pub struct DispatchLimits {
    /// Smallest target of the routes with each priority, by service.
    targets: BTreeMap<Arc<str>, BTreeMap<u8, Duration>>,
}

impl DispatchLimits {
    /// Limits that follow from the routes of a configuration.
    pub fn of(catalog: &Catalog) -> Self {
        let mut limits = Self::default();
        for route in catalog.routes.iter() {
            for backend in &route.backends {
                let targets = limits.targets.entry(backend.service.clone()).or_default();
                let target = targets.entry(route.priority).or_insert(route.target);
                *target = (*target).min(route.target);
            }
        }
        limits
    }

    /// Longest queue at an engine to which a request with this target is sent, in ms; none unless
    /// more urgent requests of the service have smaller targets. One with the same target would
    /// miss it by waiting, which gains no more than it costs.
    pub fn queue_ms(&self, service: &str, priority: u8, target: Duration) -> Option<f64> {
        let targets = self.targets.get(service)?;
        let smallest = targets.range(..priority).map(|(_, target)| target).min()?;
        (*smallest < target).then_some(smallest.as_millis() as f64 * QUEUE_SHARE)
    }
}

/// Turns of the workspaces whose requests of one service and priority wait at this node.
///
/// A workspace gets one turn for each request after the other, but none before the turn that is
/// served now, so that it neither loses nor saves any while it sends nothing.
#[derive(Debug, Default)]
pub struct Turns {
    last: BTreeMap<Option<String>, u64>,
    current: u64,
}

impl Turns {
    /// Returns the turn of a workspace's next request.
    pub fn next(&mut self, workspace: Option<&str>) -> u64 {
        let last = self.last.entry(workspace.map(ToOwned::to_owned));
        *last
            .and_modify(|last| *last = self.current.max(*last + 1))
            .or_insert(self.current)
    }

    /// Records that a request with this turn is sent.
    pub fn serve(&mut self, turn: u64) {
        self.current = self.current.max(turn);
    }
}

/// Room in the queues at the engines for requests that wait at several nodes.
#[derive(Clone, Copy, Debug)]
pub struct Room {
    /// Time by which the queues may grow, in ms.
    pub left_ms: f64,
    /// Time that a request adds to one, in ms.
    pub cost_ms: f64,
    /// Number of requests that wait at this node.
    pub own: u32,
    /// Number of requests that wait at all nodes.
    pub all: u64,
}

impl Room {
    /// Probability with which this node sends a request, so that all nodes together fill the
    /// room until they hear of each other. Without it, they would all send to an engine that
    /// becomes free. Any room takes one request, however large that is.
    pub fn send_probability(&self) -> f64 {
        if self.left_ms <= 0.0 {
            return 0.0;
        }
        let fits = (self.left_ms / self.cost_ms.max(1.0)).max(1.0);
        (fits * f64::from(self.own) / self.all.max(1) as f64).min(1.0)
    }
}

/// Requests of a service that wait at this node and go ahead of another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Waiting {
    /// Number of requests.
    pub count: usize,
    /// Time for which the first one has waited, in ms.
    pub oldest_ms: Millis,
}

/// Recent dispatches of requests that had waited, with their priority.
#[derive(Debug, Default)]
pub struct DispatchRate(VecDeque<(Millis, u8)>);

impl DispatchRate {
    /// Records that a request was sent which had waited.
    pub fn record(&mut self, priority: u8, now: Millis) {
        self.forget_old(now);
        self.0.push_back((now, priority));
    }

    fn forget_old(&mut self, now: Millis) {
        let is_old = |(at, _): &(Millis, u8)| at + RATE_WINDOW_MS <= now;
        while self.0.front().is_some_and(is_old) {
            self.0.pop_front();
        }
    }

    /// Expected time until a request of this priority is sent that comes after these, in ms.
    pub fn wait_ms(&mut self, priority: u8, ahead: Waiting, now: Millis) -> f64 {
        self.forget_old(now);
        let waited_ms = ahead.oldest_ms as f64;
        if waited_ms < MIN_HISTORY_MS {
            return waited_ms;
        }
        // They wait for less than the window, so earlier dispatches are none of theirs.
        let counted_ms = ahead.oldest_ms.min(RATE_WINDOW_MS);
        let counts = |(at, other): &&(Millis, u8)| *other <= priority && at + counted_ms > now;
        // Without any, all that is known is that one takes at least as long as was counted. A node
        // with few callers often has none for some time.
        let dispatched = self.0.iter().filter(counts).count().max(1);
        let wait_ms = ahead.count as f64 * counted_ms as f64 / dispatched as f64;
        waited_ms.max(wait_ms)
    }
}
