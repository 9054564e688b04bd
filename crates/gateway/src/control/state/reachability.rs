//! What this node makes of failures to reach endpoints, its own and those of others.

use flamingolock_wire::gossip::Fault;

use super::Control;
use crate::clock::Millis;
use crate::control::fleet::EndpointState;

/// Endpoints are avoided because of what others tell only while at most one in this many of
/// their service is. A node that tells of more has lost its own links.
const ENDPOINTS_PER_TOLD: usize = 2;

impl Control {
    /// Handles a failure that another node tells of.
    pub(super) fn apply_fault(&mut self, node: u64, fault: &Fault, now: Millis) {
        let Some(state) = self.fleet.get_mut(&fault.endpoint) else {
            return;
        };
        if fault.is_loading {
            // The news may be old by now: it tells of the time at which it was written.
            state.refused_while_loading(Some(fault.busy_ms.into()), now);
            return;
        }
        let until = now + Millis::from(fault.avoid_ms);
        state.reachability.tell(node, until, now);
        let service = state.endpoint.service.clone();
        let alike = |state: &&EndpointState| state.endpoint.service == service;
        let count = |is_counted: &dyn Fn(&EndpointState) -> bool| {
            let endpoints = self.fleet.values().filter(alike);
            endpoints.filter(|state| is_counted(state)).count()
        };
        let all = count(&|_| true);
        let told = count(&|state| state.reachability.is_told_by(node, now));
        let down = count(&|state| state.reachability.is_told_down(now));
        if told * ENDPOINTS_PER_TOLD > all {
            let states = self.fleet.values_mut();
            states.for_each(|state| state.reachability.disregard(node));
        } else if down * ENDPOINTS_PER_TOLD > all
            && let Some(state) = self.fleet.get_mut(&fault.endpoint)
        {
            state.reachability.disregard(node);
        }
    }
}
