//! Brittle endpoints: what nodes were told of them, and the places there that all nodes
//! share.
//!
//! The engines of a service become brittle together, so what one states holds for all of
//! them that have not stated otherwise.

use std::collections::BTreeSet;
use std::sync::Arc;

use flamingolock_wire::gossip::{EndpointLimit, FullEndpoint};
use rand::Rng;

use super::Control;
use crate::clock::Millis;
use crate::control::RunEnd;
use crate::control::fleet::EndpointState;
use crate::control::permit_issuer::PermitDecision;
use crate::control::stated_limits::Statement;
use crate::endpoint::{Endpoint, EndpointKey};

/// Time in ms in which the refusals of an endpoint are counted, and for which it gets
/// nothing after one.
const REFUSAL_WINDOW_MS: Millis = 1_000;

/// Share of the places of requests that have ended which the same node uses again.
const REUSE_SHARE: f64 = 0.75;

impl Control {
    /// Handles what an endpoint stated in a response to this node: the refusals a second
    /// that it bears, or that it is not brittle.
    pub(super) fn brittleness_stated(
        &mut self,
        endpoint: &Endpoint,
        refusals: Option<f64>,
        now: Millis,
    ) {
        let statement = Statement {
            start_time_ms: endpoint.start_time_ms,
            per_second: refusals,
            at: now,
        };
        if self.brittle.record(endpoint.key(), statement) {
            self.brittleness_changed(endpoint.key(), refusals, "response");
        }
        if self.brittle.has_news() {
            self.gossip_pending_at.get_or_insert(now);
        }
    }

    /// Merges what other nodes were told, from a message that was written at this time.
    pub(super) fn merge_brittleness(&mut self, statements: &[EndpointLimit], written_at: Millis) {
        for statement in statements {
            if self
                .brittle
                .merge(statement, self.role.is_hub(), written_at)
            {
                self.brittleness_changed(statement.endpoint, statement.per_second, "node");
            }
        }
        if self.brittle.has_news() {
            self.gossip_pending_at.get_or_insert(written_at);
        }
    }

    fn brittleness_changed(&mut self, key: EndpointKey, refusals: Option<f64>, source: &str) {
        log::info!(endpoint = self.id_of(key), refusals, source;
            "endpoint stated that it is brittle, or that it is not");
        self.list_brittle_services();
    }

    fn list_brittle_services(&mut self) {
        let listed = self.fleet.values().map(|state| &*state.endpoint);
        let services: BTreeSet<Arc<str>> = listed
            .filter(|endpoint| self.brittle.limit_of(endpoint).is_some())
            .map(|endpoint| endpoint.service.clone())
            .collect();
        if services != self.brittle_services {
            log::info!(services:? = services; "services with brittle endpoints changed");
        }
        self.brittle_services = services;
    }

    /// True if the endpoint falls over when it has to refuse many requests.
    pub(super) fn is_brittle(&self, endpoint: &Endpoint) -> bool {
        self.brittle_services.contains(&endpoint.service) && !self.brittle.is_lifted(endpoint)
    }

    /// Time until which a brittle endpoint gets nothing because it refused a request.
    pub(super) fn full_until(&self, endpoint: &Endpoint, now: Millis) -> Option<Millis> {
        let until = self.full_endpoints.get(&endpoint.key()).copied()?;
        (now < until && self.is_brittle(endpoint)).then_some(until)
    }

    /// Returns the end of a run as it is to be understood: a brittle engine that is not
    /// known to load weights refuses a request because it has no room.
    pub(super) fn end_at_brittle(&mut self, key: EndpointKey, end: &RunEnd, now: Millis) -> RunEnd {
        let is_full = |state: &&EndpointState| match end {
            RunEnd::Full => true,
            RunEnd::Reloading => !state.is_loading(),
            _ => false,
        };
        let state = self.fleet.get(&key).filter(is_full);
        let Some(state) = state.filter(|state| self.is_brittle(&state.endpoint)) else {
            return end.clone();
        };
        log::warn!(endpoint = &*state.endpoint.id, running = state.running(), slots = state.endpoint.slots;
            "brittle endpoint refused a request; it gets none for a while");
        self.full_endpoints.insert(key, now + REFUSAL_WINDOW_MS);
        self.outgoing_full.push(FullEndpoint {
            endpoint: key,
            pause_ms: REFUSAL_WINDOW_MS as u32,
        });
        self.gossip_pending_at.get_or_insert(now);
        RunEnd::Full
    }

    /// Merges which brittle endpoints refused requests of other nodes.
    pub(super) fn merge_full(&mut self, full: &[FullEndpoint], now: Millis) {
        for endpoint in full {
            let until = now + Millis::from(endpoint.pause_ms).min(REFUSAL_WINDOW_MS);
            self.full_endpoints.insert(endpoint.endpoint, until);
        }
    }

    /// Decides as the issuer when a node may ask again that wants a place at a brittle
    /// endpoint; none if there is a place. While nodes are missing, others may hand out
    /// places on their side of a partition, so this node hands out only its share.
    pub(super) fn refuse_place(&mut self, key: EndpointKey, now: Millis) -> Option<PermitDecision> {
        let state = self.fleet.get(&key)?;
        if !self.is_brittle(&state.endpoint) {
            return None;
        }
        if let Some(until) = self.full_until(&state.endpoint, now) {
            return Some(PermitDecision::Wait(until - now));
        }
        let share = self.peers.share_heard(now);
        let slots = (f64::from(state.endpoint.slots) * share).max(1.0) as usize;
        if self.places.is_free(key, state.running(), slots, now) {
            return None;
        }
        Some(PermitDecision::Wait(self.places.turn(key, now)))
    }

    /// Lets a waiting request take the place of one of this node that has ended, without an
    /// ask: the issuer hears of both at once. Now and then the place goes back, so that all
    /// nodes get some.
    pub(super) fn reuse_place(&mut self, key: EndpointKey, end: &RunEnd, now: Millis) {
        if *end != RunEnd::Complete || self.queue.is_empty() {
            return;
        }
        let state = self.fleet.get(&key);
        let is_brittle = state.is_some_and(|state| self.is_brittle(&state.endpoint));
        if is_brittle && rand::rng().random_bool(REUSE_SHARE) {
            self.permits.add_momentary(key, now);
            self.reusable_place = Some(key);
            self.retry_queued(now);
            self.reusable_place = None;
        }
    }

    /// Requests a second that a brittle endpoint runs, if the time that they take is known.
    pub(super) fn places_per_second(&self, endpoint: &Endpoint) -> Option<f64> {
        if !self.is_brittle(endpoint) {
            return None;
        }
        let run_ms = self.fleet.get(&endpoint.key())?.mean_run_ms()?;
        Some(1_000.0 * f64::from(endpoint.slots) / run_ms.max(1.0))
    }

    /// Forgets what endpoints that are gone stated.
    pub(super) fn forget_brittleness(&mut self, now: Millis) {
        let is_listed = |key: EndpointKey| self.fleet.contains_key(&key);
        self.brittle.forget_old(is_listed, now);
        self.places.forget_old(now);
        self.full_endpoints.retain(|_, until| now < *until);
        self.list_brittle_services();
    }
}
