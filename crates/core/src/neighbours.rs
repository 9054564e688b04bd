//! State of the heartbeat exchange with each neighbour.

use std::collections::{BTreeMap, BTreeSet};

use crate::prelude::*;

/// Time without an answer after which a new connection to the neighbour is opened.
pub const ANSWER_TIMEOUT: Millis = Millis(2500);

#[derive(Clone, Copy, Debug, Default)]
struct HeartbeatState {
    /// When the first unanswered heartbeat was sent.
    unanswered_since: Option<Millis>,
    /// The last digest received from the neighbour.
    digest: Option<u64>,
}

/// The neighbours of one node.
#[derive(Clone, Debug, Default)]
pub struct Neighbours {
    map: BTreeMap<InstanceId, HeartbeatState>,
}

impl Neighbours {
    /// Returns the names of all neighbours.
    pub fn names(&self) -> impl Iterator<Item = &InstanceId> {
        self.map.keys()
    }

    /// Replaces the set of neighbours and keeps the state of those that remain.
    pub fn replace(&mut self, names: BTreeSet<InstanceId>) {
        let mut old = std::mem::take(&mut self.map);
        self.map = names
            .into_iter()
            .map(|name| {
                let state = old.remove(&name).unwrap_or_default();
                (name, state)
            })
            .collect();
    }

    /// Records that a heartbeat that requires an answer was sent to a neighbour.
    pub fn record_request(&mut self, name: &InstanceId, now: Millis) {
        if let Some(state) = self.map.get_mut(name) {
            state.unanswered_since.get_or_insert(now);
        }
    }

    /// Records that a message arrived from a peer.
    pub fn record_message(&mut self, name: &InstanceId) {
        if let Some(state) = self.map.get_mut(name) {
            state.unanswered_since = None;
        }
    }

    /// Records the digest of a peer.
    pub fn set_digest(&mut self, name: &InstanceId, digest: u64) {
        if let Some(state) = self.map.get_mut(name) {
            state.digest = Some(digest);
        }
    }

    /// Returns the last digest of a neighbour.
    pub fn digest(&self, name: &InstanceId) -> Option<u64> {
        self.map.get(name)?.digest
    }

    /// Returns the neighbours that have not answered within [`ANSWER_TIMEOUT`].
    pub fn unresponsive(&self, now: Millis) -> Vec<InstanceId> {
        let overdue = |state: &HeartbeatState| {
            state
                .unanswered_since
                .is_some_and(|since| now.since(since) >= ANSWER_TIMEOUT)
        };
        self.map
            .iter()
            .filter(|(_, state)| overdue(state))
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Clears the timeouts of all neighbours; the next heartbeat starts them again.
    pub fn reset_timeouts(&mut self) {
        for state in self.map.values_mut() {
            state.unanswered_since = None;
        }
    }
}
