//! Exchange of topic copies between nodes: a node that lacks records gets them from a
//! node that has them.

use std::net::SocketAddr;

use flamingolock_wire::topic_copies::CopiesRequest;
use rand::seq::SliceRandom;

use super::Control;
use crate::clock::Millis;
use crate::control::Effect;
use crate::control::peers::Peer;
use crate::copies::{Copies, Offer};
use crate::metrics::EventKind;
use crate::peer_sync::Fetch;

/// Maximum number of nodes that one fetch asks in turn.
const MAX_SOURCES: usize = 2;

impl Control {
    /// Returns what this node has to offer to one that sent the request.
    pub(super) fn offer_copies(&self, request: &CopiesRequest, now: Millis) -> Offer {
        self.metrics.count(EventKind::Copies, "offered");
        let endpoints = self.endpoint_records.values().filter(|_| request.endpoints);
        Offer {
            operator: self.operator_records.newer_than(&request.known),
            operator_end: self.operator_end,
            operator_age: self.operator_copy.age(now),
            endpoints: endpoints.cloned().collect(),
            endpoints_age: self.endpoints_copy.age(now),
        }
    }

    /// Applies the parts of another node's copies that are newer than this node's.
    pub(super) fn apply_copies(&mut self, copies: Copies, now: Millis) {
        self.fetches.succeeded();
        self.metrics.count(EventKind::Copies, "received");
        // The earliest time at which the other node may have told the ages.
        let offered_at = copies.requested_at.min(now);
        let written = self.copies_write_time(now);
        for update in copies.operator {
            self.apply_operator_update(update, written, now);
        }
        self.operator_end = self.operator_end.max(copies.operator_end);
        if self.operator_copy.current_at().is_some() {
            let at = offered_at.saturating_sub(copies.operator_age);
            self.operator_copy.synced(at);
        }
        let at = offered_at.saturating_sub(copies.endpoints_age);
        if self.endpoints_copy.is_older_than(at) && !copies.endpoints.is_empty() {
            let current_at = self.endpoints_copy.current_at();
            let unread_ms = current_at.map(|current_at| at.saturating_sub(current_at));
            self.listed_builds.entries_read(unread_ms, at);
            self.apply_endpoint_snapshot(&copies.endpoints, now);
            self.endpoints_copy.synced(at);
        }
        if self.copy_marks() != self.reported_marks {
            self.gossip_pending_at.get_or_insert(now);
        }
    }

    /// Handles the end of a fetch that returned no copies.
    pub(super) fn fetch_failed(&mut self, now: Millis) {
        let pause_ms = self.fetches.failed(now);
        self.metrics.count(EventKind::Copies, "failed");
        log::info!(pause_ms; "no node sent its topic copies");
    }

    /// Starts a fetch of the operator's records from the node that reported newer ones.
    /// Returns false if there is none to ask now.
    pub(super) fn fetch_from_reporter(&mut self, now: Millis) -> bool {
        if !self.fetches.may_start(now) {
            return false;
        }
        let Some(reporter) = self.operator_reporter.take() else {
            return false;
        };
        self.start_fetch(vec![reporter], false, now)
    }

    /// Requests the copies of other nodes if the store is unreachable and this node's
    /// copies are missing or outdated.
    pub(super) fn request_peer_sync(&mut self, now: Millis) {
        let is_outdated = self.catalog.is_none()
            || self.operator_copy.is_behind()
            || self.endpoints_copy.is_behind();
        if !self.store_unreachable || !is_outdated {
            return;
        }
        let peers = self.peers.alive(now).filter(|peer| peer.state.ready);
        let mut nodes: Vec<SocketAddr> = peers
            .filter_map(Peer::control)
            .chain(self.settings.seeds.iter().copied())
            .collect();
        nodes.shuffle(&mut rand::rng());
        let reporter = self.operator_reporter.take();
        let nodes = reporter.into_iter().chain(nodes).collect();
        self.start_fetch(nodes, true, now);
    }

    /// Starts a fetch from the first of these nodes that returns its copies, given their
    /// control addresses. Returns false if none is to be asked now.
    fn start_fetch(&mut self, nodes: Vec<SocketAddr>, endpoints: bool, now: Millis) -> bool {
        if !self.fetches.may_start(now) {
            return false;
        }
        let mut sources: Vec<SocketAddr> = Vec::new();
        for node in nodes {
            if Some(node) != self.settings.control && !sources.contains(&node) {
                sources.push(node);
            }
        }
        sources.truncate(MAX_SOURCES);
        if sources.is_empty() {
            return false;
        }
        self.fetches.started();
        let request = CopiesRequest {
            known: self.operator_records.known(),
            endpoints,
        };
        self.effects.push(Effect::FetchCopies(Fetch {
            sources,
            request,
            bases: self.operator_records.iter().cloned().collect(),
        }));
        true
    }
}
