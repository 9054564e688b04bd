//! What a hub relays: the updates of its nodes to all others, and those of other hubs to its
//! nodes.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use flamingolock_wire::gossip::{Gossip, NodeState};

use super::Control;
use crate::clock::Millis;
use crate::control::told_states::Telling;

/// Additional time for which a hub batches updates that it relays, in ms.
const HUB_BATCH_MS: Millis = 8;

/// True if a message holds something that is to be relayed at once. That nodes are alive can
/// wait for the next datagram.
fn is_news(gossip: &Gossip) -> bool {
    !(gossip.runs.is_empty()
        && gossip.reloads.is_empty()
        && gossip.faults.is_empty()
        && gossip.full.is_empty()
        && gossip.streams.is_empty()
        && gossip.load_times.is_empty()
        && gossip.heard.is_empty())
}

/// Names the node that runs and faults are from, unless a hub has done so.
fn name_origin(gossip: &mut Gossip, node: u64) {
    for run in gossip.runs.iter_mut().filter(|run| run.node == 0) {
        run.node = node;
    }
    for fault in gossip.faults.iter_mut().filter(|fault| fault.node == 0) {
        fault.node = node;
    }
}

/// Updates from other hubs that a hub relays to its nodes.
#[derive(Default)]
pub(super) struct RelayedUpdates {
    /// All but the states of nodes.
    news: Gossip,
    /// States of nodes, by incarnation.
    states: BTreeMap<u64, NodeState>,
    /// Incarnations of nodes that are alive.
    alive: BTreeSet<u64>,
}

impl RelayedUpdates {
    /// True if there is nothing to relay.
    pub(super) fn is_empty(&self) -> bool {
        !is_news(&self.news) && self.states.is_empty() && self.alive.is_empty()
    }

    /// Adds what another hub told.
    fn add(&mut self, gossip: Gossip) {
        self.news.runs.extend(gossip.runs);
        self.news.faults.extend(gossip.faults);
        self.news.full.extend(gossip.full);
        self.news.reloads.extend(gossip.reloads);
        self.news.streams.extend(gossip.streams);
        self.news.load_times.extend(gossip.load_times);
        let states = gossip.heard.into_iter();
        self.states
            .extend(states.map(|state| (state.incarnation, state)));
        self.alive.extend(gossip.alive);
    }

    /// The message that the hub sends to its nodes.
    pub(super) fn into_message(self, hub: NodeState) -> Gossip {
        Gossip {
            sender: Some(hub),
            relayed: true,
            heard: self.states.into_values().collect(),
            alive: self.alive.into_iter().collect(),
            ..self.news
        }
    }
}

impl Control {
    /// Returns the states of the nodes that this one relays to as a hub, as far as they are to be
    /// told now, and the incarnations of others that are alive.
    pub(super) fn tell_members(
        &mut self,
        members: &[SocketAddr],
        now: Millis,
    ) -> (Vec<NodeState>, Vec<u64>) {
        let (mut states, mut alive) = (Vec::new(), Vec::new());
        for state in self.peers.states_of(members) {
            match self.told_states.tell(state, now) {
                Telling::State => states.push(state.clone()),
                Telling::Alive => alive.push(state.incarnation),
                Telling::Nothing => {}
            }
        }
        (states, alive)
    }

    /// Queues updates for relay by this node as a hub: those of the nodes that it relays to for
    /// all its recipients, and those of other hubs for these nodes only.
    pub(super) fn relay(&mut self, mut gossip: Gossip, node: u64, zone: &str, now: Millis) {
        let is_news = is_news(&gossip);
        name_origin(&mut gossip, node);
        if gossip.relayed {
            if let Some(hub) = gossip.sender.take() {
                self.relay_hub(hub, now);
            }
            self.relayed.add(gossip);
        } else if zone == self.settings.zone {
            self.relay_member(gossip);
        } else {
            return;
        }
        if is_news {
            self.gossip_pending_at.get_or_insert(now + HUB_BATCH_MS);
        }
    }

    fn relay_member(&mut self, gossip: Gossip) {
        self.outgoing_runs.extend(gossip.runs);
        self.outgoing_faults.extend(gossip.faults);
        self.outgoing_full.extend(gossip.full);
        self.outgoing_reloads.extend(gossip.reloads);
        self.outgoing_streams.extend(gossip.streams);
        self.outgoing_load_times.extend(gossip.load_times);
    }

    /// Queues the state of another hub for the nodes that this one relays to.
    fn relay_hub(&mut self, hub: NodeState, now: Millis) {
        match self.told_states.tell(&hub, now) {
            Telling::State => {
                self.relayed.states.insert(hub.incarnation, hub);
            }
            Telling::Alive => {
                self.relayed.alive.insert(hub.incarnation);
            }
            Telling::Nothing => {}
        }
    }
}
