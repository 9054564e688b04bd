//! The exchange of heartbeats with each neighbour.

use std::collections::{BTreeMap, BTreeSet};

use crate::prelude::*;

/// Silence after which a fresh connection is tried.
pub const SILENT_AFTER: Millis = Millis(2500);

#[derive(Clone, Copy, Debug, Default)]
struct Exchange {
    /// When the first heartbeat without an answer was sent.
    asked: Option<Millis>,
    /// The neighbour's last digest.
    digest: Option<u64>,
}

/// The neighbours of one node.
#[derive(Clone, Debug, Default)]
pub struct Neighbours {
    map: BTreeMap<InstanceId, Exchange>,
}

impl Neighbours {
    /// Names of all neighbours.
    pub fn names(&self) -> impl Iterator<Item = &InstanceId> {
        self.map.keys()
    }

    /// Replaces the neighbours and keeps the state of those that stay.
    pub fn choose(&mut self, names: BTreeSet<InstanceId>) {
        let mut old = std::mem::take(&mut self.map);
        self.map = names
            .into_iter()
            .map(|name| {
                let exchange = old.remove(&name).unwrap_or_default();
                (name, exchange)
            })
            .collect();
    }

    /// Notes that a neighbour was asked for an answer.
    pub fn ask(&mut self, name: &InstanceId, now: Millis) {
        if let Some(exchange) = self.map.get_mut(name) {
            exchange.asked.get_or_insert(now);
        }
    }

    /// Notes that a peer was heard.
    pub fn hear(&mut self, name: &InstanceId) {
        if let Some(exchange) = self.map.get_mut(name) {
            exchange.asked = None;
        }
    }

    /// Notes the digest of a peer.
    pub fn set_digest(&mut self, name: &InstanceId, digest: u64) {
        if let Some(exchange) = self.map.get_mut(name) {
            exchange.digest = Some(digest);
        }
    }

    /// The last digest of a neighbour.
    pub fn digest(&self, name: &InstanceId) -> Option<u64> {
        self.map.get(name)?.digest
    }

    /// Neighbours that have not answered for long.
    pub fn silent(&self, now: Millis) -> Vec<InstanceId> {
        let overdue = |exchange: &Exchange| {
            exchange
                .asked
                .is_some_and(|asked| now.since(asked) >= SILENT_AFTER)
        };
        self.map
            .iter()
            .filter(|(_, exchange)| overdue(exchange))
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Forgets since when answers are missing.
    pub fn restart_clocks(&mut self) {
        for exchange in self.map.values_mut() {
            exchange.asked = None;
        }
    }
}
