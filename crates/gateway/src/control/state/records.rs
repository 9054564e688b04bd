//! What the store tells: configuration, weights, and entries of endpoints.

use std::net::SocketAddr;
use std::sync::Arc;

use super::Control;
use crate::catalog::Catalog;
use crate::clock::Millis;
use crate::control::Effect;
use crate::control::cache_index::{key, namespace_of};
use crate::control::fleet::EndpointState;
use crate::dialect::{HeldPart, KeyedRecord, OperatorRecord};
use crate::endpoint::{Endpoint, EndpointKey};

/// Time after the store's return within which entries that lapsed meanwhile are
/// put back by endpoints that live, in ms.
const REREGISTRATION_MS: Millis = 2_300;

/// Time after its start from which on a node is held to the bounds of weights, in ms.
const STARTUP_GRACE_MS: Millis = 3_000;

/// Time after its start within which a node asks what is cached, in ms.
const CACHE_QUERY_WINDOW_MS: Millis = 3_000;

/// Engines that a node asks at its start. In larger fleets the store's own list
/// has to do.
const CACHE_QUERY_MAX_ENGINES: usize = 24;

impl Control {
    /// Age that weights are given which were named before this node started: they
    /// may be as old as a node that just started may take them to be.
    pub(super) fn assumed_weights_age(&self) -> Millis {
        self.max_weights_age().saturating_sub(STARTUP_GRACE_MS)
    }

    /// Takes a record that was written some time ago, `written`.
    pub(super) fn apply_operator_record(
        &mut self,
        record: &KeyedRecord,
        written: Millis,
        now: Millis,
    ) {
        let Some(value) = &record.value else { return };
        match (self.dialect.operator_record)(&record.key, value) {
            Ok(OperatorRecord::Catalog(catalog)) => {
                if self.apply_catalog(catalog, record.offset, now) {
                    self.remember_operator_record(record);
                }
            }
            Ok(OperatorRecord::Weights { model, version }) => {
                if self.rollout.name_version(&model, version, written, now) {
                    log::info!(model = model.as_str(), version, offset = record.offset; "new weights named");
                    self.remember_operator_record(record);
                }
            }
            Ok(OperatorRecord::Other) => {}
            Err(error) => {
                log::warn!(key = record.key.as_str(), offset = record.offset, error:% = error;
                    "operator's record ignored, the last good one stays in force");
            }
        }
    }

    fn remember_operator_record(&mut self, record: &KeyedRecord) {
        self.operator_records
            .insert(record.key.clone(), record.clone());
    }

    /// A configuration never gives way to an older one. True if this one is newer.
    pub(super) fn apply_catalog(&mut self, catalog: Catalog, offset: u64, now: Millis) -> bool {
        let current = self.catalog.as_ref().map_or(0, |catalog| catalog.version);
        if self.catalog.is_some() && catalog.version <= current {
            return false;
        }
        log::info!(version = catalog.version, before = current, offset, routes = catalog.routes.len();
            "configuration in force");
        let keep = catalog.keep();
        let first = self.catalog.is_none();
        self.catalog = Some(Arc::new(catalog));
        if let Some(keep) = keep.filter(|_| first) {
            self.query_cache(keep, None, now);
        }
        self.publish(now);
        true
    }

    pub(super) fn apply_endpoint_snapshot(&mut self, records: &[KeyedRecord], now: Millis) {
        let listed: Vec<EndpointKey> = records
            .iter()
            .filter_map(|record| (self.dialect.endpoint_id)(&record.key).map(Endpoint::key_of))
            .collect();
        let missing: Vec<EndpointKey> = self
            .fleet
            .keys()
            .filter(|key| !listed.contains(key))
            .copied()
            .collect();
        for key in missing {
            self.endpoint_removed(key, now);
        }
        for record in records {
            self.apply_endpoint_record(record, now);
        }
    }

    pub(super) fn apply_endpoint_record(&mut self, record: &KeyedRecord, now: Millis) {
        let Some(id) = (self.dialect.endpoint_id)(&record.key) else {
            return;
        };
        let key = Endpoint::key_of(id);
        let Some(value) = &record.value else {
            self.endpoint_removed(key, now);
            return;
        };
        let entry = match (self.dialect.endpoint_entry)(&record.key, value) {
            Ok(entry) => entry,
            Err(error) => {
                log::warn!(endpoint = id, offset = record.offset, error:% = error; "entry names no endpoint");
                self.drop_endpoint(key, "unreadable entry");
                return;
            }
        };
        let is_old = self
            .fleet
            .get(&key)
            .is_some_and(|state| entry.born < state.endpoint.born);
        if !is_old {
            self.endpoint_records.insert(key, record.clone());
        }
        match self.fleet.get_mut(&key) {
            Some(state) if entry.born < state.endpoint.born => {}
            Some(state) if entry.born == state.endpoint.born => {
                if entry.leaving && !state.endpoint.leaving {
                    log::info!(endpoint = id, offset = record.offset; "endpoint is leaving");
                }
                state.update(entry);
            }
            _ => {
                log::info!(endpoint = id, born = entry.born, address:% = entry.address, offset = record.offset;
                    "endpoint listed");
                self.parts.remove_engine(key);
                if !entry.weights.is_empty() && self.fleet.len() < CACHE_QUERY_MAX_ENGINES {
                    self.query_cache(entry.address, Some(key), now);
                }
                self.fleet.insert(key, EndpointState::new(entry));
                self.rollout.note_progress(now);
            }
        }
    }

    /// Takes what an engine, or the store if `endpoint` is none, says it holds.
    pub(super) fn apply_cache_list(
        &mut self,
        endpoint: Option<EndpointKey>,
        held: &[HeldPart],
        now: Millis,
    ) {
        let keys: Vec<_> = held
            .iter()
            .filter_map(|part| Some(key(namespace_of(&part.salt)?, part.id)))
            .collect();
        log::info!(endpoint = endpoint.unwrap_or(0), parts = keys.len(); "cached parts learnt");
        match endpoint {
            Some(endpoint) => self.parts.mark_cached(endpoint, &keys, false, now),
            None => keys
                .iter()
                .for_each(|key| self.parts.mark_stored(*key, now)),
        }
    }

    /// A node that just started asks what is cached; one that has run for a
    /// while knows it from the other nodes.
    pub(super) fn query_cache(
        &mut self,
        address: SocketAddr,
        endpoint: Option<EndpointKey>,
        now: Millis,
    ) {
        let started = *self.started_at.get_or_insert(now);
        if now < started + CACHE_QUERY_WINDOW_MS {
            self.effects.push(Effect::ListCache(address, endpoint));
        }
    }

    /// An entry that lapsed while the store was away may come back at once.
    pub(super) fn endpoint_removed(&mut self, key: EndpointKey, now: Millis) {
        let settled_at = self.store_recovered_at + REREGISTRATION_MS;
        if self.store_recovered_at > 0 && now < settled_at {
            if let Some(state) = self.fleet.get_mut(&key) {
                state.removal_due_at.get_or_insert(settled_at);
            }
            return;
        }
        self.drop_endpoint(key, "entry removed");
    }

    pub(super) fn drop_endpoint(&mut self, key: EndpointKey, reason: &str) {
        self.endpoint_records.remove(&key);
        if let Some(state) = self.fleet.remove(&key) {
            log::info!(endpoint = &*state.endpoint.id, reason; "endpoint dropped");
            self.parts.remove_engine(key);
            self.rollout.retain(&self.fleet);
        }
    }

    pub(super) fn drop_lapsed(&mut self, now: Millis) {
        let lapsed: Vec<EndpointKey> = self
            .fleet
            .iter()
            .filter(|(_, state)| state.removal_due_at.is_some_and(|at| now >= at))
            .map(|(key, _)| *key)
            .collect();
        for key in lapsed {
            self.drop_endpoint(key, "entry did not come back with the store");
        }
    }
}
