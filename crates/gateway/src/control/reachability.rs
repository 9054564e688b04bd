//! Which nodes reach an endpoint.
//!
//! A failure to reach an endpoint is an observation of one node: its own link may be the
//! cause. What other nodes tell counts only as far as it cannot be a fault of theirs.

use std::collections::BTreeMap;

use crate::clock::Millis;

/// Time for which a node remembers that it did not reach an endpoint, in ms.
const MEMORY_MS: Millis = 15_000;

/// Time after a response for which a node takes it that it reaches the endpoint, in ms.
const REACHED_MS: Millis = 2_000;

/// Time within which news may still arrive of responses that came before a failure, in ms.
const NEWS_DELAY_MS: Millis = 500;

/// Number of nodes that have to tell of failures of an endpoint.
const MIN_TELLERS: usize = 2;

/// Observations of one incarnation of an endpoint.
#[derive(Clone, Debug, Default)]
pub struct Reachability {
    /// When this node last failed to reach it; none once it has answered since.
    unreached_at: Option<Millis>,
    /// When it last answered this node.
    answered_at: Option<Millis>,
    /// When it last answered another node, as far as is known.
    answered_others_at: Option<Millis>,
    /// Until when other nodes that failed to use it avoid it, by incarnation. None of them
    /// was told of a response since.
    told: BTreeMap<u64, Millis>,
}

impl Reachability {
    /// Records that this node did not reach the endpoint.
    pub fn failed(&mut self, now: Millis) {
        self.unreached_at = Some(now);
    }

    /// Records a response to this node.
    pub fn answered(&mut self, now: Millis) {
        self.unreached_at = None;
        self.answered_at = Some(now);
        self.told.clear();
    }

    /// Records a response to another node.
    pub fn answered_other(&mut self, now: Millis) {
        self.answered_others_at = Some(now);
        self.told.clear();
    }

    /// Records that a node tells of failures, and avoids the endpoint until then.
    pub fn tell(&mut self, node: u64, until: Millis, now: Millis) {
        self.told.retain(|_, until| now < *until);
        self.told.insert(node, until);
    }

    /// Forgets what a node told.
    pub fn disregard(&mut self, node: u64) {
        self.told.remove(&node);
    }

    /// True if this node told of failures, and still avoids the endpoint.
    pub fn is_told_by(&self, node: u64, now: Millis) -> bool {
        self.told.get(&node).is_some_and(|until| now < *until)
    }

    /// True if so many nodes tell of failures that the endpoint is the likely cause.
    pub fn is_told_down(&self, now: Millis) -> bool {
        let tellers = self.told.values().filter(|until| now < **until);
        tellers.count() >= MIN_TELLERS
    }

    /// True if this node has failed to reach the endpoint a moment ago.
    pub fn is_unreached(&self, now: Millis) -> bool {
        self.unreached_at.is_some_and(|at| now < at + MEMORY_MS)
    }

    /// True if this node does not reach the endpoint though others do.
    pub fn is_cut(&self, now: Millis) -> bool {
        let Some(failed_at) = self.unreached_at.filter(|at| now < at + MEMORY_MS) else {
            return false;
        };
        self.answered_others_at
            .is_some_and(|at| at > failed_at + NEWS_DELAY_MS)
    }

    /// True if the endpoint has answered this node a moment ago.
    pub fn is_reached(&self, now: Millis) -> bool {
        self.unreached_at.is_none() && self.answered_at.is_some_and(|at| now < at + REACHED_MS)
    }
}
