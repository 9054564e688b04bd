//! Membership of the other nodes, derived from their gossip datagrams.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use flamingolock_wire::gossip::NodeState;

use crate::clock::Millis;

/// Time without a datagram after which a node counts as dead, in ms.
const PEER_TIMEOUT_MS: Millis = 1_200;

/// The same for a node that is known through the hub of its zone, in ms. It is
/// longer because another node has to take over first if that hub dies.
const RELAYED_PEER_TIMEOUT_MS: Millis = 3_000;

/// Maximum number of live peers with which each node gossips with all others (full
/// mesh). In larger fleets one node per zone, its hub, relays gossip.
const MAX_FULL_MESH_PEERS: usize = 16;

/// Time without a datagram after which a node no longer counts as sharing limits, relative to
/// the window of the retry budget: what it sent last has left the window by then.
const LIMIT_SHARE_WINDOWS: f64 = 1.2;

/// Time for which a silent node counts as one that may grant quota behind a partition, in ms.
/// The share of a node that is gone is unused for as long; in longer partitions a quota may be
/// exceeded.
const SILENT_NODE_MS: Millis = 10 * 60 * 1_000;

/// Interval of datagrams to an address that does not answer, in ms.
const PROBE_INTERVAL_MS: Millis = 1_500;

/// Another node of the fleet.
#[derive(Clone, Debug)]
pub struct Peer {
    /// State that the node reported of itself.
    pub state: NodeState,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Time of the last datagram with its state.
    pub last_heard: Millis,
    /// True if its state was relayed by a hub.
    pub via_hub: bool,
}

impl Peer {
    /// Address at which it sends its copies of the topics to other nodes.
    pub fn control(&self) -> Option<SocketAddr> {
        let port = u16::try_from(self.state.control_port).ok()?;
        (port > 0).then(|| SocketAddr::new(self.callers.ip(), port))
    }

    fn is_alive(&self, now: Millis) -> bool {
        let silent = if self.via_hub {
            RELAYED_PEER_TIMEOUT_MS
        } else {
            PEER_TIMEOUT_MS
        };
        now <= self.last_heard + silent
    }
}

/// Destinations of a node's datagrams.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Targets {
    /// Recipients of the updates of this node and, at a hub, of its zone.
    pub local: Vec<SocketAddr>,
    /// Recipients of the updates of other zones; empty unless this node is a hub.
    pub cross_zone: Vec<SocketAddr>,
    /// True if this node is the hub of its zone.
    pub is_hub: bool,
}

/// All known other nodes.
#[derive(Debug)]
pub struct Peers {
    /// Time for which a silent node shares limits, in ms.
    share_ttl: Millis,
    /// True once the registry was read.
    has_list: bool,
    by_address: BTreeMap<SocketAddr, Option<Peer>>,
    /// When each address was first listed in the registry.
    listed_at: BTreeMap<SocketAddr, Millis>,
    probed_at: BTreeMap<SocketAddr, Millis>,
}

impl Peers {
    /// Creates a list of no nodes; `window` is that of the retry budget.
    pub fn new(window: Duration) -> Self {
        Self {
            share_ttl: window.mul_f64(LIMIT_SHARE_WINDOWS).as_millis() as Millis,
            has_list: false,
            by_address: BTreeMap::new(),
            listed_at: BTreeMap::new(),
            probed_at: BTreeMap::new(),
        }
    }

    /// Records the gossip addresses of the other nodes in the registry.
    pub fn list(&mut self, addresses: impl Iterator<Item = SocketAddr>, now: Millis) {
        self.has_list = true;
        for address in addresses {
            self.by_address.entry(address).or_insert(None);
            self.listed_at.entry(address).or_insert(now);
        }
    }

    /// Records the state of a node, received directly or through a hub. Returns the
    /// incarnation that it replaces at this address, if any.
    pub fn update(
        &mut self,
        from: SocketAddr,
        state: &NodeState,
        via_hub: bool,
        now: Millis,
    ) -> Option<u64> {
        let Ok(callers) = state.callers.parse() else {
            log::warn!(from:% = from, callers = state.callers.as_str(); "ignoring node state with an invalid caller address");
            return None;
        };
        let before = self.by_address.get(&from).and_then(Option::as_ref);
        let direct = before.is_some_and(|before| {
            via_hub
                && !before.via_hub
                && before.is_alive(now)
                && before.state.incarnation == state.incarnation
        });
        let peer = Peer {
            state: state.clone(),
            callers,
            last_heard: now,
            via_hub: via_hub && !direct,
        };
        let before = self.by_address.insert(from, Some(peer)).flatten();
        before
            .map(|before| before.state.incarnation)
            .filter(|incarnation| *incarnation != state.incarnation)
    }

    /// Returns true if the node at this address is alive.
    pub fn is_alive_at(&self, address: SocketAddr, now: Millis) -> bool {
        self.by_address
            .get(&address)
            .and_then(Option::as_ref)
            .is_some_and(|peer| peer.is_alive(now))
    }

    /// Returns the control address of the node that sends from this address.
    pub fn control_of(&self, address: SocketAddr) -> Option<SocketAddr> {
        self.by_address.get(&address)?.as_ref()?.control()
    }

    /// Returns the incarnation of the node that sends from this address.
    pub fn incarnation_at(&self, address: SocketAddr) -> Option<u64> {
        let peer = self.by_address.get(&address)?.as_ref()?;
        Some(peer.state.incarnation)
    }

    /// Returns the nodes that are alive.
    pub fn alive(&self, now: Millis) -> impl Iterator<Item = &Peer> {
        self.by_address
            .values()
            .flatten()
            .filter(move |peer| peer.is_alive(now))
    }

    /// Returns true if the fleet is small enough for each node to gossip with all
    /// others.
    pub fn is_full_mesh(&self, now: Millis) -> bool {
        self.alive(now).count() <= MAX_FULL_MESH_PEERS
    }

    /// Returns the recipients of the next datagrams, given this node's own state.
    pub fn targets(&mut self, me: &NodeState, now: Millis) -> Targets {
        let silent = self.due_probes(now);
        let alive: Vec<(SocketAddr, &Peer)> = self
            .by_address
            .iter()
            .filter_map(|(address, peer)| {
                Some((*address, peer.as_ref().filter(|peer| peer.is_alive(now))?))
            })
            .collect();
        let mut targets = Targets {
            local: silent,
            ..Targets::default()
        };
        if alive.len() <= MAX_FULL_MESH_PEERS {
            targets
                .local
                .extend(alive.iter().map(|(address, _)| *address));
            return targets;
        }
        // The node with the largest processor share is the hub; the incarnation breaks
        // ties.
        let rank = |state: &NodeState| (state.capacity, state.incarnation);
        let mut hubs: BTreeMap<&str, ((u32, u64), Option<SocketAddr>)> = BTreeMap::new();
        if !me.leaving {
            hubs.insert(&me.zone, (rank(me), None));
        }
        for (address, peer) in alive.iter().filter(|(_, peer)| !peer.state.leaving) {
            let candidate = (rank(&peer.state), Some(*address));
            let hub = hubs.entry(&peer.state.zone).or_insert(candidate);
            if candidate.0 > hub.0 {
                *hub = candidate;
            }
        }
        targets.is_hub = hubs
            .get(me.zone.as_str())
            .is_some_and(|(_, address)| address.is_none());
        if targets.is_hub {
            let zone = alive
                .iter()
                .filter(|(_, peer)| peer.state.zone == me.zone)
                .map(|(address, _)| *address);
            targets.cross_zone = zone.collect();
            targets.local.extend(&targets.cross_zone);
            targets
                .local
                .extend(hubs.values().filter_map(|(_, address)| *address));
        } else {
            targets
                .local
                .extend(hubs.get(me.zone.as_str()).and_then(|(_, address)| *address));
        }
        targets
    }

    /// Returns the states of the nodes of a zone that were received directly. A hub
    /// reports these to other nodes.
    pub fn heard_directly_in(&self, zone: &str, now: Millis) -> Vec<NodeState> {
        self.alive(now)
            .filter(|peer| !peer.via_hub && peer.state.zone == zone)
            .map(|peer| peer.state.clone())
            .collect()
    }

    /// Returns true if the node with this name is alive and not shutting down.
    pub fn is_named_alive(&self, name: &str, now: Millis) -> bool {
        self.alive(now)
            .any(|peer| peer.state.name == name && !peer.state.leaving)
    }

    /// Returns the largest number of nodes that may share a limit now, including this
    /// one. A node that was listed a moment ago counts though it has not been heard yet.
    pub fn max_nodes_sharing(&self, now: Millis) -> usize {
        let others = self.by_address.iter().filter(|(address, peer)| {
            let heard = peer.as_ref().map(|peer| peer.last_heard);
            let since = heard.or(self.listed_at.get(*address).copied());
            since.is_some_and(|since| now <= since + self.share_ttl)
        });
        1 + others.count()
    }

    /// Returns the largest number of nodes that may use the slack of the retry budget,
    /// including this one; none if the registry was not read. That is the number that share
    /// limits, but a node that hears no more than half of those that it has heard before may
    /// be cut off from the others, which go on: then the silent ones keep their share.
    pub fn max_nodes_with_slack(&self, now: Millis) -> Option<usize> {
        if !self.has_list {
            return None;
        }
        let (mut heard, mut known) = (1, 1);
        for peer in self.by_address.values().flatten() {
            if peer.state.leaving {
                continue;
            }
            known += 1;
            heard += usize::from(now <= peer.last_heard + self.share_ttl);
        }
        let sharing = self.max_nodes_sharing(now);
        Some(if 2 * heard > known {
            sharing
        } else {
            sharing.max(known)
        })
    }

    /// Returns the share of the nodes that may be running, including this one, that are
    /// alive for this one. Nodes that announced their shutdown do not count.
    pub fn share_heard(&self, now: Millis) -> f64 {
        let staying = self.by_address.values().flatten();
        let staying = staying.filter(|peer| !peer.state.leaving);
        let (mut heard, mut all) = (1.0, 1.0);
        for peer in staying.filter(|peer| now <= peer.last_heard + self.share_ttl) {
            all += 1.0;
            heard += f64::from(u8::from(peer.is_alive(now)));
        }
        heard / all
    }

    /// True if the registry was read.
    pub fn has_list(&self) -> bool {
        self.has_list
    }

    /// Returns the share of the known nodes, including this one, that are alive for this one;
    /// none if the registry was not read. Unlike in [`Self::share_heard`], silent nodes count
    /// for longer than most partitions last, as they may go on behind one. Nodes that
    /// announced their shutdown, or have started again elsewhere, do not count.
    pub fn share_of_known(&self, now: Millis) -> Option<f64> {
        if !self.has_list {
            return None;
        }
        let names: BTreeSet<&str> = self.alive(now).map(|peer| &*peer.state.name).collect();
        let (mut heard, mut known) = (1.0, 1.0);
        for (address, peer) in &self.by_address {
            let state = peer.as_ref().map(|peer| &peer.state);
            if state.is_some_and(|state| state.leaving) {
                continue;
            }
            if peer.as_ref().is_some_and(|peer| peer.is_alive(now)) {
                heard += 1.0;
                known += 1.0;
                continue;
            }
            let is_elsewhere = state.is_some_and(|state| names.contains(&*state.name));
            let last_heard = peer.as_ref().map(|peer| peer.last_heard);
            let since = last_heard.or(self.listed_at.get(address).copied());
            if !is_elsewhere && since.is_some_and(|since| now <= since + SILENT_NODE_MS) {
                known += 1.0;
            }
        }
        Some(heard / known)
    }

    /// Returns the addresses without a live node that are due to be probed again.
    fn due_probes(&mut self, now: Millis) -> Vec<SocketAddr> {
        let mut due = Vec::new();
        for (address, peer) in &self.by_address {
            let alive = peer.as_ref().is_some_and(|peer| peer.is_alive(now));
            let probed = self.probed_at.entry(*address).or_insert(0);
            if !alive && now >= *probed + PROBE_INTERVAL_MS {
                *probed = now;
                due.push(*address);
            }
        }
        due
    }
}
