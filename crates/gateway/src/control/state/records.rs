//! Handling of records from the store: configuration, weights and endpoint entries.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use flamingolock_wire::gossip::NamedWeightsRecord;

use super::Control;
use crate::catalog::Catalog;
use crate::clock::Millis;
use crate::control::Effect;
use crate::control::cache_index::{key, namespace_of};
use crate::control::fleet::{EndpointState, first_guess};
use crate::control::named_weights::WriteTime;
use crate::control::notices::Notice;
use crate::control::operator_records::OperatorUpdate;
use crate::dialect::{CachedPart, DecodeError, KeyedRecord, OperatorRecord};
use crate::endpoint::{Endpoint, EndpointKey};

/// Time after the store became reachable again within which live endpoints rewrite
/// entries that lapsed in the meantime, in ms.
const REREGISTRATION_MS: Millis = 2_300;

/// Time after its start during which a node asks engines and the KV cache store
/// which parts they hold, in ms.
const CACHE_QUERY_WINDOW_MS: Millis = 3_000;

/// Maximum number of engines that a node asks at its start. In larger fleets it
/// relies on the list of the KV cache store alone.
const CACHE_QUERY_MAX_ENGINES: usize = 24;

/// Maximum size of an endpoint's entry, in bytes. Larger ones are of another writer.
const MAX_ENTRY_BYTES: usize = 64 * 1024;

impl Control {
    /// When records of the operator are taken to have been written of which nothing is known:
    /// so long ago that the weights they supersede may be used for the start-up grace after
    /// `since` and no longer.
    fn assumed_write_time(&self, since: Millis) -> WriteTime {
        let until = since + self.settings.start_grace().as_millis() as Millis;
        WriteTime::assumed(until.saturating_sub(self.max_weights_age()))
    }

    /// When the records that a node finds in the store were written. The grace counts from the
    /// start of the process, or from the end of an outage of the store.
    pub(super) fn snapshot_write_time(&self, now: Millis) -> WriteTime {
        if self.operator_copy.current_at().is_some() {
            return WriteTime::known(self.earliest_write_time(now));
        }
        let started_at = self.running_since.unwrap_or(now);
        self.assumed_write_time(if self.store_unreachable {
            now
        } else {
            started_at.max(self.store_recovered_at)
        })
    }

    /// When the records that another node sent were written.
    pub(super) fn copies_write_time(&self, now: Millis) -> WriteTime {
        let assumed = self.assumed_write_time(now);
        if self.operator_copy.current_at().is_none() {
            return assumed;
        }
        let earliest = self.earliest_write_time(now);
        if earliest < assumed.at {
            assumed
        } else {
            WriteTime::known(earliest)
        }
    }

    /// Takes over since when versions of the weights count, as another node tells.
    pub(super) fn merge_named_weights(&mut self, records: &[NamedWeightsRecord], now: Millis) {
        let learnt = self.rollout.named.merge(records, now);
        if learnt > 0 {
            log::info!(learnt, told = records.len(); "another node told when weights were named");
            self.publish(now);
        }
    }

    /// Applies a record of the operator topic that was written at `written`.
    pub(super) fn apply_operator_update(
        &mut self,
        update: OperatorUpdate,
        written: WriteTime,
        now: Millis,
    ) {
        let OperatorUpdate { record, content } = update;
        let Some(content) = content.filter(|_| !self.operator_records.contains(&record)) else {
            return;
        };
        match content {
            Ok(OperatorRecord::Catalog(catalog)) => {
                if self.apply_catalog(catalog, record.offset, now) {
                    self.operator_records.insert(record);
                }
            }
            Ok(OperatorRecord::Weights { model, version }) => {
                if self.rollout.name_version(&model, version, written, now) {
                    log::info!(model = model.as_str(), version, offset = record.offset, age_ms = now.saturating_sub(written.at),
                        is_assumed = written.is_assumed; "operator named new weights");
                    self.operator_records.insert(record);
                    self.abstains_until = 0;
                    self.publish(now);
                }
            }
            Ok(OperatorRecord::Other) => {}
            Err(error) => {
                log::warn!(key = record.key.as_str(), offset = record.offset, error:% = error;
                    "operator's record ignored, the last good one stays in force");
            }
        }
    }

    /// Applies a configuration if it is newer than the current one. Returns true if it
    /// was applied.
    pub(super) fn apply_catalog(&mut self, catalog: Catalog, offset: u64, now: Millis) -> bool {
        let current = self.catalog.as_ref().map_or(0, |catalog| catalog.version);
        if self.catalog.is_some() && catalog.version <= current {
            return false;
        }
        log::info!(version = catalog.version, before = current, offset, routes = catalog.routes.len(),
            isolated = catalog.workspaces.isolated_count(), sharing:? = catalog.workspaces.sharing(None);
            "applied new configuration");
        let kv_store = catalog.kv_store();
        let first = self.catalog.is_none();
        self.keep_stream_memory(now);
        self.dispatch.apply_catalog(&catalog);
        self.keep_dropped_services(&catalog);
        self.catalog = Some(Arc::new(catalog));
        if let Some(kv_store) = kv_store.filter(|_| first) {
            self.query_cache(kv_store, None, now);
        }
        self.publish(now);
        true
    }

    /// Keeps the services that a new configuration no longer lists: their streams go on at their
    /// endpoints.
    fn keep_dropped_services(&mut self, new: &Catalog) {
        if let Some(current) = &self.catalog {
            let services = current.services.iter();
            let services = services.map(|(name, service)| (name.clone(), service.clone()));
            self.dropped_services.extend(services);
        }
        let served: BTreeSet<&str> = self
            .fleet
            .values()
            .map(|state| &*state.endpoint.service)
            .collect();
        self.dropped_services
            .retain(|name, _| !new.services.contains_key(name) && served.contains(&**name));
    }

    /// Applies all entries, as read from the store.
    pub(super) fn endpoints_read(&mut self, records: &[KeyedRecord], now: Millis) {
        let current_at = self.endpoints_copy.current_at();
        let unread_ms = current_at.map(|at| now.saturating_sub(at));
        self.listed_builds.entries_read(unread_ms, now);
        self.apply_endpoint_snapshot(records, now);
    }

    pub(super) fn apply_endpoint_snapshot(&mut self, records: &[KeyedRecord], now: Millis) {
        let listed: BTreeSet<EndpointKey> = records
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

    fn decode_entry(&self, key: &str, value: &[u8]) -> Result<Endpoint, DecodeError> {
        if value.len() > MAX_ENTRY_BYTES {
            let reason = format!("an entry of {} bytes", value.len());
            return Err(DecodeError::Encoding(reason));
        }
        (self.dialect.endpoint_entry)(key, value)
    }

    pub(super) fn apply_endpoint_record(&mut self, record: &KeyedRecord, now: Millis) {
        let Some(id) = (self.dialect.endpoint_id)(&record.key) else {
            log::warn!(key = record.key.as_str(), offset = record.offset; "entry ignored, its key names no endpoint");
            return;
        };
        let key = Endpoint::key_of(id);
        let Some(value) = &record.value else {
            self.endpoint_removed(key, now);
            return;
        };
        let entry = match self.decode_entry(&record.key, value) {
            Ok(entry) => entry,
            Err(error) => {
                log::warn!(endpoint = id, offset = record.offset, error:% = error; "removing endpoint with an invalid entry");
                self.drop_endpoint(key, "invalid entry", now);
                return;
            }
        };
        // Older entries are read when the store comes back from a copy.
        let known = self.fleet.get(&key);
        let is_outdated = known.is_some_and(|state| entry.is_older_than(&state.endpoint));
        if !is_outdated {
            self.endpoint_records.insert(key, record.clone());
        }
        // It stays so though the store comes back from a copy in which it is not.
        if entry.leaving && !is_outdated {
            self.notices.record(&entry, Notice::Leaving, now);
        }
        if !is_outdated && self.notices.entry_read(&entry, now) {
            log::info!(endpoint = id, born = entry.start_time_ms; "asking a restarted endpoint whether it is leaving");
            self.effects
                .push(Effect::AskLeaving(Arc::new(entry.clone())));
        }
        match self.fleet.get_mut(&key) {
            Some(_) if is_outdated => {}
            Some(state) if entry.start_time_ms == state.endpoint.start_time_ms => {
                if entry.leaving && !state.endpoint.leaving {
                    log::info!(endpoint = id, offset = record.offset; "endpoint is leaving");
                }
                state.update(entry);
            }
            _ => {
                log::info!(endpoint = id, build = &*entry.build, born = entry.start_time_ms, address:% = entry.address, offset = record.offset;
                    "endpoint listed");
                self.doubt_streams(&entry, now);
                self.parts.remove_engine(key);
                let others = self.fleet.values();
                let alike = others.filter(|state| state.endpoint.service == entry.service);
                let slowdown = first_guess(alike.filter_map(EndpointState::learned_slowdown));
                if !entry.weights.is_empty() && self.fleet.len() < CACHE_QUERY_MAX_ENGINES {
                    self.query_cache(entry.address, Some(key), now);
                }
                let state = EndpointState::with_slowdown(entry, slowdown);
                if let Some(replaced) = self.fleet.insert(key, state) {
                    self.listed_builds.endpoint_dropped(&replaced.endpoint, now);
                }
            }
        }
    }

    /// Asks the endpoints again of which it is not known whether they are leaving.
    pub(super) fn ask_unproven(&mut self) {
        let listed = self.fleet.values().map(|state| &state.endpoint);
        let unproven = listed.filter(|endpoint| self.notices.is_unproven(endpoint));
        self.effects
            .extend(unproven.cloned().map(Effect::AskLeaving));
    }

    /// Handles the list of parts held by an engine, or by the KV cache store if
    /// `endpoint` is none.
    pub(super) fn apply_cache_list(
        &mut self,
        endpoint: Option<EndpointKey>,
        held: &[CachedPart],
        now: Millis,
    ) {
        let keys: Vec<_> = held
            .iter()
            .filter_map(|part| Some(key(namespace_of(&part.salt)?, part.id)))
            .collect();
        log::info!(endpoint = endpoint.unwrap_or(0), parts = keys.len(); "received list of cached parts");
        match endpoint {
            Some(endpoint) => self.parts.mark_cached(endpoint, &keys, false, now),
            None => keys
                .iter()
                .for_each(|key| self.parts.mark_stored(*key, now)),
        }
    }

    /// Asks an engine or the KV cache store which parts it holds, if this node started
    /// recently. Later on the node knows this from gossip.
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

    /// Handles the removal of an entry. An entry that lapsed while the store was
    /// unreachable is expected to be rewritten soon, so its endpoint is kept until
    /// then.
    pub(super) fn endpoint_removed(&mut self, key: EndpointKey, now: Millis) {
        let removal_due_at = self.store_recovered_at + REREGISTRATION_MS;
        if self.store_recovered_at > 0 && now < removal_due_at {
            if let Some(state) = self.fleet.get_mut(&key) {
                state.removal_due_at.get_or_insert(removal_due_at);
            }
            return;
        }
        self.drop_endpoint(key, "entry removed", now);
    }

    pub(super) fn drop_endpoint(&mut self, key: EndpointKey, reason: &str, now: Millis) {
        self.endpoint_records.remove(&key);
        if let Some(state) = self.fleet.remove(&key) {
            log::info!(endpoint = &*state.endpoint.id, reason; "endpoint dropped");
            self.listed_builds.endpoint_dropped(&state.endpoint, now);
            self.parts.remove_engine(key);
            self.removed_engines.insert(key, (state.endpoint, now));
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
            self.drop_endpoint(
                key,
                "entry was not rewritten after the store recovered",
                now,
            );
        }
    }
}
