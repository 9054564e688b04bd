//! Choice of the node that gets the requests for a service that this node is cut off from.

use rand::seq::IteratorRandom;

use super::{Control, QueuedRequest};
use crate::clock::Millis;
use crate::control::handovers::OtherNode;
use crate::control::peers::Peer;
use crate::control::{BuildRule, PlacementRequest, Refusal};
use crate::endpoint::Endpoint;

/// Number of nodes drawn at random, of which the least busy one is chosen.
const CHOICES: usize = 2;

impl Control {
    /// True if this node does not place the request, because another one reaches the
    /// endpoints of its service and this one does not.
    pub(super) fn goes_elsewhere(&self, request: &PlacementRequest) -> bool {
        request.may_hand_over && self.cut_services.contains(&request.service)
    }

    /// Answers a request with the node that gets it, or refuses it. One that another node
    /// handed on goes back to that node. Returns a request that no other node takes if this
    /// one reaches some endpoints of its service.
    pub(super) fn send_elsewhere(
        &mut self,
        queued: QueuedRequest,
        now: Millis,
    ) -> Option<QueuedRequest> {
        if queued.reply.is_closed() {
            return None;
        }
        let request = &queued.request;
        let node = if request.is_handed {
            None
        } else {
            self.choose_node(request, now)
        };
        let may_stay = !request.is_handed && self.may_place_here(request);
        if node.is_none() && may_stay {
            return Some(queued);
        }
        let until = now + request.target.as_millis() as Millis;
        let refusal = node.map_or(Refusal::CutOff { until }, Refusal::AtOtherNode);
        self.refuse(request, refusal, queued.reply);
        None
    }

    /// True if this node reaches an endpoint of the service, and the software version that
    /// may serve the request is known.
    fn may_place_here(&self, request: &PlacementRequest) -> bool {
        let is_resolved = !matches!(request.build_rule, BuildRule::SameAs(_));
        let mut endpoints = self.fleet.values().map(|state| &state.endpoint);
        is_resolved
            && endpoints.any(|endpoint| {
                endpoint.service == request.service && !self.is_out_of_reach(endpoint)
            })
    }

    /// True if this node is cut off from the endpoint's service and from the endpoint.
    pub(super) fn is_out_of_reach(&self, endpoint: &Endpoint) -> bool {
        self.cut_services.contains(&endpoint.service)
            && self.reach.is_unreachable(&endpoint.service, endpoint.key())
    }

    /// Chooses a node that reaches the service: one of this zone, if any has room.
    fn choose_node(&mut self, request: &PlacementRequest, now: Millis) -> Option<OtherNode> {
        let nodes: Vec<&Peer> = self.nodes_reaching(&request.service, now).collect();
        let most = self.max_handed(&request.service, nodes.len());
        let with_room = nodes.into_iter().filter_map(|peer| {
            let incarnation = peer.state.incarnation;
            let address = peer.control().filter(|_| peer.state.takes_requests)?;
            let is_open = !request.tried_nodes.contains(&incarnation)
                && self.handovers.count(incarnation, &request.service) < most;
            let is_far = peer.state.zone != self.settings.zone;
            is_open.then_some((is_far, incarnation, address))
        });
        let with_room: Vec<_> = with_room.collect();
        let is_far = with_room.iter().all(|(is_far, ..)| *is_far);
        let (_, incarnation, address) = with_room
            .into_iter()
            .filter(|node| node.0 == is_far)
            .choose_multiple(&mut rand::rng(), CHOICES)
            .into_iter()
            .min_by_key(|(_, incarnation, _)| {
                self.handovers.count(*incarnation, &request.service)
            })?;
        Some(OtherNode {
            number: self.handovers.begin(incarnation, &request.service, now),
            incarnation,
            address,
        })
    }

    /// Maximum number of requests for a service that this node hands to each other node at
    /// the same time: twice its slots, divided among the nodes that reach it.
    fn max_handed(&self, service: &str, nodes: usize) -> usize {
        let endpoints = self.fleet.values().map(|state| &state.endpoint);
        let slots: u32 = endpoints
            .filter(|endpoint| &*endpoint.service == service && !endpoint.leaving)
            .map(|endpoint| endpoint.slots)
            .sum();
        (2 * slots as usize).div_ceil(nodes.max(1)).max(2)
    }
}
