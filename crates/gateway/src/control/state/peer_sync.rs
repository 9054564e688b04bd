//! Exchange of topic copies between nodes, used by nodes that cannot reach the
//! store.

use std::net::SocketAddr;

use flamingolock_wire::topic_copies::{Record, TopicCopies};
use rand::seq::SliceRandom;

use super::Control;
use crate::clock::Millis;
use crate::control::Effect;
use crate::dialect::KeyedRecord;

/// Maximum number of nodes that one fetch asks in turn.
const MAX_SOURCES: usize = 2;

fn to_wire(record: &KeyedRecord) -> Record {
    Record {
        key: record.key.clone(),
        value: record.value.clone().unwrap_or_default(),
        offset: record.offset,
    }
}

fn from_wire(record: Record) -> KeyedRecord {
    KeyedRecord {
        key: record.key,
        value: Some(record.value),
        offset: record.offset,
    }
}

impl Control {
    /// Returns this node's copies of the topics.
    pub(super) fn topic_copies(&self, now: Millis) -> TopicCopies {
        TopicCopies {
            operator: self.operator_records.values().map(to_wire).collect(),
            operator_end: self.operator_end,
            endpoints: self.endpoint_records.values().map(to_wire).collect(),
            endpoints_age_ms: self
                .endpoints_copy
                .report(0, now)
                .map_or(Millis::MAX, |report| report.age),
        }
    }

    /// Applies the parts of another node's copies that are newer than this node's.
    pub(super) fn apply_topic_copies(&mut self, copies: TopicCopies, now: Millis) {
        let named_at = now.saturating_sub(self.assumed_weights_age());
        for record in copies.operator {
            self.apply_operator_record(&from_wire(record), named_at, now);
        }
        self.operator_end = self.operator_end.max(copies.operator_end);
        let at = now.saturating_sub(copies.endpoints_age_ms);
        if self.endpoints_copy.is_older_than(at) && !copies.endpoints.is_empty() {
            let records: Vec<KeyedRecord> = copies.endpoints.into_iter().map(from_wire).collect();
            self.apply_endpoint_snapshot(&records, now);
            self.endpoints_copy.synced(at);
        }
    }

    /// Requests the copies of other nodes if the store is unreachable and this node's
    /// copies are missing or outdated.
    pub(super) fn request_peer_sync(&mut self, now: Millis) {
        let is_outdated = self.catalog.is_none()
            || self.operator_copy.is_behind()
            || self.endpoints_copy.is_behind();
        if !self.store_unreachable || !is_outdated || !self.fetches.may_start(now) {
            return;
        }
        let Some(own_address) = self.settings.control else {
            return;
        };
        // All nodes use the same port for this exchange.
        let mut nodes: Vec<SocketAddr> = self
            .peers
            .alive(now)
            .filter(|peer| peer.state.ready)
            .map(|peer| SocketAddr::new(peer.callers.ip(), own_address.port()))
            .chain(self.settings.seeds.iter().copied())
            .filter(|node| *node != own_address)
            .collect();
        nodes.sort_unstable();
        nodes.dedup();
        nodes.shuffle(&mut rand::rng());
        nodes.truncate(MAX_SOURCES);
        if !nodes.is_empty() {
            self.fetches.started();
            self.effects.push(Effect::SyncFromPeers(nodes));
        }
    }
}
