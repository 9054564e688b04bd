//! Endpoints that state a limit of requests: what this node and others were told, and the
//! permits with which all nodes together keep to it.
//!
//! One node issues all permits for an endpoint, chosen by rendezvous hashing among the
//! nodes that are able to. A request waits for its permit where it arrived; where the issuer
//! says that it takes longer, another endpoint takes the request, or it is refused.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use flamingolock_core::rendezvous;
use flamingolock_wire::gossip::{EndpointLimit, Gossip, PermitAnswer, PermitRequest};
use prost::Message;
use rand::Rng;

use super::Control;
use crate::clock::Millis;
use crate::control::permit_issuer::PermitDecision;
use crate::control::permits::Access;
use crate::control::stated_limits::{Limit, Statement};
use crate::control::{Effect, PlacementRequest};
use crate::endpoint::{Endpoint, EndpointKey};
use crate::metrics::EventKind;

/// Time in ms after its start, or after it stood still, for which a node issues no permits,
/// so that it knows the other nodes.
const ISSUER_DELAY_MS: Millis = 2_000;

/// Time in ms after which a node asks again that found no issuer.
const NO_ISSUER_PAUSE_MS: Millis = 100;

/// Maximum time in ms after which a refused caller is asked to return.
const MAX_RETURN_MS: Millis = 3_000;

/// Node that issues the permits for an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Issuer {
    This,
    Other(SocketAddr),
}

/// How to go on with a request for which an endpoint was selected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PermitStep {
    /// Send it.
    Send,
    /// Wait for the issuer's answer.
    Wait,
    /// Select again: there is no permit for this endpoint now.
    SelectAgain,
}

impl Control {
    /// Handles what an endpoint stated in a response to this node.
    pub(super) fn limit_stated(&mut self, endpoint: &Endpoint, limit: Option<f64>, now: Millis) {
        let statement = Statement {
            start_time_ms: endpoint.start_time_ms,
            per_second: limit,
            at: now,
        };
        if self.limits.record(endpoint.key(), statement) {
            self.limit_changed(endpoint.key(), limit, "response");
        }
        if self.limits.has_news() {
            self.gossip_pending_at.get_or_insert(now);
        }
    }

    /// Merges what other nodes were told, from a message that was written at this time.
    pub(super) fn merge_limits(&mut self, limits: &[EndpointLimit], written_at: Millis) {
        for limit in limits {
            if self.limits.merge(limit, self.role.is_hub(), written_at) {
                self.limit_changed(limit.endpoint, limit.per_second, "node");
            }
        }
        if self.limits.has_news() {
            self.gossip_pending_at.get_or_insert(written_at);
        }
    }

    fn limit_changed(&mut self, key: EndpointKey, limit: Option<f64>, source: &str) {
        log::info!(endpoint = self.id_of(key), limit, source;
            "endpoint stated a limit of requests, or none any more");
        if limit.is_none() {
            self.permits.remove(key);
            self.permit_issuer.remove(key);
        }
        self.metrics.set_limited_endpoints(self.limits.count());
    }

    /// Id of an endpoint, for logs.
    pub(super) fn id_of(&self, key: EndpointKey) -> &str {
        let state = self.fleet.get(&key);
        state.map_or("unlisted", |state| &state.endpoint.id)
    }

    /// True if this node may issue permits.
    pub(super) fn issues_permits(&self, now: Millis) -> bool {
        let knows_nodes = |since: Millis| now >= since + ISSUER_DELAY_MS;
        let stalled_at = self.last_stall.1;
        self.catalog.is_some()
            && self.shutdown_at.is_none()
            && !self.is_cut_off()
            && self.started_at.is_some_and(knows_nodes)
            && (stalled_at == 0 || knows_nodes(stalled_at))
    }

    /// Returns the node that issues permits for an endpoint, if any is able to.
    fn issuer_of(&self, endpoint: EndpointKey, now: Millis) -> Option<Issuer> {
        let own = self
            .issues_permits(now)
            .then_some((self.settings.node.as_str(), Issuer::This));
        let others = self.peers.alive(now).filter_map(|peer| {
            let state = &peer.state;
            let able = state.issues_permits && !state.leaving;
            let address = state.gossip.parse().ok()?;
            able.then_some((state.name.as_str(), Issuer::Other(address)))
        });
        let nodes = own.into_iter().chain(others);
        nodes
            .max_by_key(|(name, _)| (rendezvous::weight(endpoint, name), *name))
            .map(|(_, issuer)| issuer)
    }

    /// When this node may ask for a permit for an endpoint, if that is later.
    pub(super) fn closed_until(&self, endpoint: &Endpoint, now: Millis) -> Option<Millis> {
        if self.limits.limit_of(endpoint).is_none() && !self.is_brittle(endpoint) {
            return None;
        }
        let closed = match self.permits.access(endpoint.key(), now) {
            Access::Closed(until) => Some(until),
            Access::Held | Access::MayAsk | Access::Asked => None,
        };
        closed.max(self.full_until(endpoint, now))
    }

    /// Takes a permit for a request to the endpoint if it needs one, or asks for it.
    pub(super) fn permit_step(
        &mut self,
        request: &PlacementRequest,
        key: EndpointKey,
        now: Millis,
    ) -> PermitStep {
        let endpoint = self.fleet[&key].endpoint.clone();
        let limit = self.limits.limit_of(&endpoint);
        if limit.is_none() && !self.is_brittle(&endpoint) {
            return PermitStep::Send;
        }
        if self.permits.take(key, now) {
            self.metrics.count(EventKind::Permit, "used");
            return PermitStep::Send;
        }
        match self.permits.access(key, now) {
            Access::MayAsk => self.ask_for_permit(request, &endpoint, limit, now),
            Access::Asked => PermitStep::Wait,
            Access::Held | Access::Closed(_) => PermitStep::SelectAgain,
        }
    }

    fn ask_for_permit(
        &mut self,
        request: &PlacementRequest,
        endpoint: &Endpoint,
        limit: Option<Limit>,
        now: Millis,
    ) -> PermitStep {
        let key = endpoint.key();
        let issuer = self.issuer_of(key, now);
        let number = self.permits.begin_ask(key, now);
        log::info!(request = &*request.id, endpoint = &*endpoint.id, limit = limit.map(|limit| limit.per_second),
            limit_age_ms = limit.map(|limit| now.saturating_sub(limit.stated_at)), issuer:? = issuer; "request needs a permit");
        match issuer {
            Some(Issuer::This) => {
                let per_second = limit.map(|limit| limit.per_second);
                let decision = self.decide_permit(key, per_second, now);
                self.permit_answered(key, number, decision, now);
                PermitStep::SelectAgain
            }
            Some(Issuer::Other(address)) => {
                let running = self.fleet[&key].running_of(self.incarnation);
                let gossip = Gossip {
                    limits: self.limits.get(key, now).into_iter().collect(),
                    brittle: self.brittle.get(key, now).into_iter().collect(),
                    permit_request: Some(PermitRequest {
                        number,
                        endpoint: key,
                        running: running as u32,
                    }),
                    ..Gossip::default()
                };
                self.send_permit_message(address, &gossip);
                PermitStep::Wait
            }
            None => {
                let decision = PermitDecision::Wait(NO_ISSUER_PAUSE_MS);
                self.permit_answered(key, number, decision, now);
                PermitStep::SelectAgain
            }
        }
    }

    fn send_permit_message(&mut self, to: SocketAddr, gossip: &Gossip) {
        let bytes = Bytes::from(gossip.encode_to_vec());
        self.effects.push(Effect::SendDatagram(vec![to], bytes));
    }

    /// Decides as the issuer. While nodes are missing, others may issue permits on their
    /// side of a partition, so this node issues only the share of those that it hears.
    fn decide_permit(
        &mut self,
        endpoint: EndpointKey,
        per_second: Option<f64>,
        now: Millis,
    ) -> PermitDecision {
        let share = self.peers.share_heard(now);
        let no_place = self.refuse_place(endpoint, now);
        let decision = match (no_place, per_second) {
            (Some(refusal), _) => refusal,
            (None, Some(per_second)) => {
                self.permit_issuer.decide(endpoint, per_second * share, now)
            }
            (None, None) => PermitDecision::Granted,
        };
        if decision == PermitDecision::Granted {
            self.places.hand_out(endpoint, now);
        }
        let outcome = match decision {
            PermitDecision::Granted => "issued",
            PermitDecision::Wait(_) => "refused",
        };
        self.metrics.count(EventKind::Permit, outcome);
        decision
    }

    /// Answers another node that asks for a permit.
    pub(super) fn answer_permit_request(
        &mut self,
        from: SocketAddr,
        request: PermitRequest,
        now: Millis,
    ) {
        let known = self.limits.get(request.endpoint, now);
        let per_second = known.and_then(|limit| limit.per_second);
        let node = self.peers.incarnation_at(from);
        let state = self.fleet.get_mut(&request.endpoint);
        if let (Some(node), Some(state)) = (node, state) {
            state.drop_ended_runs_of(node, request.running as usize, now);
        }
        let state = self.fleet.get(&request.endpoint);
        let is_brittle = state.is_some_and(|state| self.is_brittle(&state.endpoint));
        let decision = if per_second.is_none() && !is_brittle {
            PermitDecision::Granted
        } else if self.issuer_of(request.endpoint, now) == Some(Issuer::This) {
            self.decide_permit(request.endpoint, per_second, now)
        } else {
            PermitDecision::Wait(NO_ISSUER_PAUSE_MS)
        };
        log::info!(node:% = from, number = request.number, endpoint = self.id_of(request.endpoint), limit = per_second, decision:? = decision;
            "decided on a permit for another node");
        let wait_ms = match decision {
            PermitDecision::Granted => None,
            PermitDecision::Wait(time) => Some(u32::try_from(time).unwrap_or(u32::MAX)),
        };
        let gossip = Gossip {
            limits: known.into_iter().collect(),
            brittle: self
                .brittle
                .get(request.endpoint, now)
                .into_iter()
                .collect(),
            permit_answer: Some(PermitAnswer {
                number: request.number,
                endpoint: request.endpoint,
                wait_ms,
            }),
            ..Gossip::default()
        };
        self.send_permit_message(from, &gossip);
    }

    /// Handles the issuer's answer, and the requests that wait for it.
    pub(super) fn permit_answer_received(&mut self, answer: PermitAnswer, now: Millis) {
        let decision = answer.wait_ms.map_or(PermitDecision::Granted, |time| {
            PermitDecision::Wait(Millis::from(time))
        });
        self.permit_answered(answer.endpoint, answer.number, decision, now);
        self.retry_queued(now);
    }

    fn permit_answered(
        &mut self,
        endpoint: EndpointKey,
        number: u64,
        decision: PermitDecision,
        now: Millis,
    ) {
        let Some(took_ms) = self.permits.answered(endpoint, number, decision, now) else {
            return;
        };
        let outcome = match decision {
            PermitDecision::Granted => "granted",
            PermitDecision::Wait(_) => "denied",
        };
        self.metrics.count(EventKind::Permit, outcome);
        log::info!(endpoint = self.id_of(endpoint), number, decision:? = decision, took_ms; "permit granted or denied");
    }

    /// Gives up asks for permits whose issuer does not answer.
    pub(super) fn give_up_asks(&mut self, now: Millis) {
        for endpoint in self.permits.give_up_asks(now) {
            self.metrics.count(EventKind::Permit, "unanswered");
            let issuer = self.issuer_of(endpoint, now);
            log::warn!(endpoint = self.id_of(endpoint), issuer:? = issuer; "issuer of permits does not answer");
        }
    }

    /// When a request begins that `ahead` others of its service precede at this node, if
    /// all endpoints left to it have limits.
    pub(super) fn expected_start(
        &self,
        request: &PlacementRequest,
        ahead: usize,
        now: Millis,
    ) -> Millis {
        let mut turns: Vec<Millis> = self
            .limited_endpoints(&request.service)
            .filter(|(endpoint, _)| !request.tried.contains(&endpoint.key()))
            .map(|(endpoint, _)| self.closed_until(endpoint, now).unwrap_or(now))
            .collect();
        turns.sort_unstable();
        let Some(last) = turns.last().copied() else {
            return now;
        };
        // Each turn serves one request.
        let beyond = (ahead + 1).saturating_sub(turns.len());
        let interval = self.own_interval_ms(&request.service, now);
        let turn = turns.get(ahead).copied().unwrap_or(last);
        turn.saturating_add((beyond as f64 * interval) as Millis)
    }

    /// When a caller whose request is refused may return. Callers are spread over the time
    /// that their requests need.
    pub(super) fn return_time(&mut self, service: &Arc<str>, start: Millis, now: Millis) -> Millis {
        let interval = self.own_interval_ms(service, now) as Millis;
        let earliest = start.min(now + MAX_RETURN_MS);
        let latest = self.return_times.entry(service.clone()).or_default();
        *latest = (*latest).max(earliest) + interval.max(1);
        *latest = (*latest).min(earliest + MAX_RETURN_MS);
        rand::rng().random_range(earliest..=*latest)
    }

    /// Mean time in ms between two requests of this node to the endpoints of a service, if
    /// all nodes send as much as they are allowed to.
    fn own_interval_ms(&self, service: &str, now: Millis) -> f64 {
        let limits = self.limited_endpoints(service);
        let per_second: f64 = limits.map(|(_, per_second)| per_second).sum();
        let nodes = self.max_nodes_sharing(now) as f64;
        (1_000.0 * nodes / per_second).min(MAX_RETURN_MS as f64)
    }

    /// Endpoints of a service that have limits or are brittle, and the requests a second
    /// that they take.
    fn limited_endpoints(&self, service: &str) -> impl Iterator<Item = (&Endpoint, f64)> {
        let listed = self.fleet.values().map(|state| &*state.endpoint);
        listed
            .filter(move |endpoint| &*endpoint.service == service && !endpoint.leaving)
            .filter_map(|endpoint| {
                let limit = self.limits.limit_of(endpoint);
                let per_second = [
                    limit.map(|limit| limit.per_second),
                    self.places_per_second(endpoint),
                ];
                let least = per_second.into_iter().flatten().reduce(f64::min)?;
                Some((endpoint, least))
            })
    }

    /// Forgets limits and permits of endpoints that are gone.
    pub(super) fn forget_limits(&mut self, now: Millis) {
        let is_listed = |key: EndpointKey| self.fleet.contains_key(&key);
        self.limits.forget_old(is_listed, now);
        self.permits.retain(is_listed);
        self.permit_issuer.forget_old(now);
        self.metrics.set_limited_endpoints(self.limits.count());
    }
}
