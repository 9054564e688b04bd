//! This node's paths to endpoints: probes, and the belief that it is cut off from a service.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use flamingolock_wire::gossip::Run;

use super::Control;
use crate::clock::Millis;
use crate::control::peers::Peer;
use crate::control::{Effect, RunEnd};
use crate::endpoint::EndpointKey;
use crate::metrics::EventKind;

impl Control {
    /// True if this node is cut off from most endpoints of a service that another node
    /// reaches.
    pub fn is_cut_off(&self) -> bool {
        !self.cut_services.is_empty()
    }

    /// Handles the outcome of a connect without a request.
    pub(super) fn endpoint_probed(&mut self, endpoint: EndpointKey, reached: bool, now: Millis) {
        let outcome = if reached { "reached" } else { "failed" };
        self.metrics.count(EventKind::Probe, outcome);
        self.connect_ended(endpoint, reached, now);
    }

    /// Records the outcome of a connect to an endpoint.
    pub(super) fn connect_ended(&mut self, endpoint: EndpointKey, reached: bool, now: Millis) {
        let Some(state) = self.fleet.get(&endpoint) else {
            return;
        };
        let service = state.endpoint.service.clone();
        if reached {
            self.reach.connected(&service, endpoint, now);
        } else {
            self.reach.connect_failed(&service, endpoint, now);
        }
        self.update_reach(now);
        if !reached && self.cut_services.contains(&service) {
            self.withdraw_unstarted_runs(&service, endpoint, now);
        }
    }

    /// Records what the end of a run says of the path to its endpoint.
    pub(super) fn note_run_end(
        &mut self,
        endpoint: EndpointKey,
        run: u64,
        end: &RunEnd,
        now: Millis,
    ) {
        let Some(service) = self.service_of(endpoint) else {
            return;
        };
        match end {
            RunEnd::NeverConnected => {
                self.reach.run_ended(&service, run);
                self.connect_ended(endpoint, false, now);
            }
            RunEnd::Broken | RunEnd::Silent => {
                self.reach.run_ended(&service, run);
                self.reach.doubted(&service, endpoint);
            }
            RunEnd::CallerLeft | RunEnd::Expired | RunEnd::NoMemory => {
                self.reach.run_ended(&service, run);
            }
            _ => {
                self.reach.heard(&service, run, now);
                self.reach.answered(&service, endpoint, now);
            }
        }
    }

    /// Records that the response to a run has begun.
    pub(super) fn note_first_token(&mut self, endpoint: EndpointKey, run: u64, now: Millis) {
        if let Some(service) = self.service_of(endpoint) {
            self.reach.heard(&service, run, now);
            self.reach.answered(&service, endpoint, now);
        }
    }

    fn service_of(&self, endpoint: EndpointKey) -> Option<Arc<str>> {
        let state = self.fleet.get(&endpoint)?;
        Some(state.endpoint.service.clone())
    }

    /// Sends the probes that are due, and updates the belief about each service.
    pub(super) fn update_reach(&mut self, now: Millis) {
        if !self.reach.is_active(now) && self.cut_services.is_empty() {
            return;
        }
        let mut listed: BTreeMap<Arc<str>, BTreeSet<EndpointKey>> = BTreeMap::new();
        for service in self.reach.services() {
            listed.entry(service).or_default();
        }
        for (key, state) in &self.fleet {
            let endpoint = &state.endpoint;
            if !endpoint.leaving
                && let Some(keys) = listed.get_mut(&endpoint.service)
            {
                keys.insert(*key);
            }
        }
        for (service, keys) in &listed {
            let step = self.reach.update(service, keys, now);
            for key in step.probes {
                self.probe(key, now);
            }
            match step.is_cut {
                Some(true) => self.cut_declared(service, keys, now),
                Some(false) => {
                    log::warn!(service = &**service; "reaches the endpoints of a service again");
                    self.metrics.count(EventKind::Reach, "restored");
                    self.gossip_pending_at.get_or_insert(now);
                }
                None => {}
            }
        }
        self.update_cut_services(now);
    }

    fn probe(&mut self, endpoint: EndpointKey, now: Millis) {
        let Some(state) = self.fleet.get(&endpoint) else {
            return;
        };
        let endpoint = state.endpoint.clone();
        let max_idle = self.max_connections(&endpoint.service, now);
        self.effects.push(Effect::ProbeEndpoint(endpoint, max_idle));
    }

    fn cut_declared(&mut self, service: &Arc<str>, keys: &BTreeSet<EndpointKey>, now: Millis) {
        let unreachable = keys
            .iter()
            .filter(|key| self.reach.is_unreachable(service, **key))
            .count();
        log::warn!(service = &**service, unreachable, listed = keys.len();
            "cut off from the endpoints of a service");
        self.metrics.count(EventKind::Reach, "cut_off");
        self.gossip_pending_at.get_or_insert(now);
    }

    /// Ends for all nodes the runs of this node that an endpoint has not begun if nothing
    /// was heard of it since they were sent: they wait on the way to it, and not in its
    /// queue.
    fn withdraw_unstarted_runs(&mut self, service: &str, endpoint: EndpointKey, now: Millis) {
        let heard_at = self.reach.heard_at(service, endpoint);
        let Some(state) = self.fleet.get_mut(&endpoint) else {
            return;
        };
        for (number, parts) in state.withdraw_runs_of(self.incarnation, heard_at) {
            self.parts.clear_prefilling(endpoint, &parts);
            let run = Run {
                number,
                endpoint,
                step: 3,
                ..Run::default()
            };
            self.queue_run_update(run, now);
        }
    }

    /// Updates the services that this node is cut off from while another one reaches them.
    fn update_cut_services(&mut self, now: Millis) {
        let cut = self.reach.cut_services();
        let elsewhere: BTreeSet<Arc<str>> = cut
            .into_iter()
            .filter(|service| self.nodes_reaching(service, now).next().is_some())
            .collect();
        if elsewhere != self.cut_services {
            log::info!(services = elsewhere.len(), before = self.cut_services.len();
                "services that only other nodes reach changed");
            let before = std::mem::replace(&mut self.cut_services, elsewhere);
            self.withdraw_since(&before, now);
            self.publish(now);
        }
    }

    /// Withdraws runs at unreachable endpoints of the services that were not cut before.
    fn withdraw_since(&mut self, before: &BTreeSet<Arc<str>>, now: Millis) {
        let unreachable: Vec<(Arc<str>, EndpointKey)> = self
            .fleet
            .iter()
            .map(|(key, state)| (state.endpoint.service.clone(), *key))
            .filter(|(service, _)| self.cut_services.contains(service) && !before.contains(service))
            .filter(|(service, key)| self.reach.is_unreachable(service, *key))
            .collect();
        for (service, key) in unreachable {
            self.withdraw_unstarted_runs(&service, key, now);
        }
    }

    /// Address and zone of each node that callers may use. Nodes that are cut off from a
    /// service are left out as long as at least half of all are left.
    pub(super) fn nodes_for_callers(&self, now: Millis) -> Vec<(SocketAddr, String)> {
        let others = self
            .peers
            .alive(now)
            .filter(|peer| peer.state.ready && !peer.state.leaving)
            .map(|peer| {
                let is_cut = !peer.state.cut_off.is_empty();
                (is_cut, (peer.callers, peer.state.zone.clone()))
            });
        let is_serving = self.shutdown_at.is_none() && self.catalog.is_some();
        let own = is_serving.then(|| {
            let is_cut = !self.reach.cut_services().is_empty();
            (is_cut, (self.settings.callers, self.settings.zone.clone()))
        });
        let all: Vec<(bool, (SocketAddr, String))> = others.chain(own).collect();
        let reaching = all.iter().filter(|(is_cut, _)| !is_cut).count();
        let leaves_out = reaching * 2 >= all.len();
        all.into_iter()
            .filter(|(is_cut, _)| !(*is_cut && leaves_out))
            .map(|(_, node)| node)
            .collect()
    }

    /// Other nodes that serve callers and have not said that they are cut off from the
    /// service.
    pub(super) fn nodes_reaching(&self, service: &str, now: Millis) -> impl Iterator<Item = &Peer> {
        self.peers.alive(now).filter(move |peer| {
            let state = &peer.state;
            state.ready && !state.leaving && state.cut_off.iter().all(|name| name != service)
        })
    }
}
