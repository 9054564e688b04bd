//! The exchange of heartbeats with each neighbour.

use std::collections::{BTreeMap, BTreeSet};

use crate::prelude::*;

/// Silence after which a fresh connection is tried.
pub const ANSWER_TIMEOUT: Millis = Millis(2500);

#[derive(Clone, Copy, Debug, Default)]
struct HeartbeatState {
    /// When the first heartbeat without an answer was sent.
    unanswered_since: Option<Millis>,
    /// The neighbour's last digest.
    digest: Option<u64>,
}

/// The neighbours of one node.
#[derive(Clone, Debug, Default)]
pub struct Neighbours {
    map: BTreeMap<InstanceId, HeartbeatState>,
}

impl Neighbours {
    /// Names of all neighbours.
    pub fn names(&self) -> impl Iterator<Item = &InstanceId> {
        self.map.keys()
    }

    /// Replaces the neighbours and keeps the state of those that stay.
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

    /// Notes that a neighbour was asked for an answer.
    pub fn record_request(&mut self, name: &InstanceId, now: Millis) {
        if let Some(state) = self.map.get_mut(name) {
            state.unanswered_since.get_or_insert(now);
        }
    }

    /// Notes that a peer was heard.
    pub fn record_answer(&mut self, name: &InstanceId) {
        if let Some(state) = self.map.get_mut(name) {
            state.unanswered_since = None;
        }
    }

    /// Notes the digest of a peer.
    pub fn set_digest(&mut self, name: &InstanceId, digest: u64) {
        if let Some(state) = self.map.get_mut(name) {
            state.digest = Some(digest);
        }
    }

    /// The last digest of a neighbour.
    pub fn digest(&self, name: &InstanceId) -> Option<u64> {
        self.map.get(name)?.digest
    }

    /// Neighbours that have not answered for long.
    pub fn unresponsive(&self, now: Millis) -> Vec<InstanceId> {
        let overdue = |state: &HeartbeatState| {
            state
                .unanswered_since
                .is_some_and(|unanswered_since| now.since(unanswered_since) >= ANSWER_TIMEOUT)
        };
        self.map
            .iter()
            .filter(|(_, state)| overdue(state))
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Forgets since when answers are missing.
    pub fn reset_timeouts(&mut self) {
        for state in self.map.values_mut() {
            state.unanswered_since = None;
        }
    }
}
