//! Membership of the other nodes, derived from their gossip datagrams.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use flamingolock_wire::gossip::NodeState;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::clock::Millis;

/// Time without a datagram after which a node counts as dead, in ms.
const PEER_TIMEOUT_MS: Millis = 1_200;

/// The same for a node that is known through the hub of its zone, in ms. It is
/// longer because another node has to take over first if that hub dies.
pub const RELAYED_PEER_TIMEOUT_MS: Millis = 3_000;

/// Maximum number of live peers with which each node gossips with all others (full
/// mesh). In larger fleets some nodes of each zone, its hubs, relay gossip.
const MAX_FULL_MESH_PEERS: usize = 16;

/// Mean number of nodes of its zone that a hub relays to, at most: what it sends grows with it.
const MAX_HUB_MEMBERS: usize = 20;

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
    /// Time of its own last datagram.
    heard_at: Option<Millis>,
    /// Time at which a hub last told of it.
    relayed_at: Option<Millis>,
}

impl Peer {
    /// Address at which it sends its copies of the topics to other nodes.
    pub fn control(&self) -> Option<SocketAddr> {
        let port = u16::try_from(self.state.control_port).ok()?;
        (port > 0).then(|| SocketAddr::new(self.callers.ip(), port))
    }

    /// Time of the last news of it.
    fn last_heard(&self) -> Millis {
        self.heard_at.max(self.relayed_at).unwrap_or(0)
    }

    /// True if its own datagrams reach this node.
    fn is_heard(&self, now: Millis) -> bool {
        self.heard_at.is_some_and(|at| now <= at + PEER_TIMEOUT_MS)
    }

    fn is_alive(&self, now: Millis) -> bool {
        let is_relayed = || {
            let at = self.relayed_at;
            at.is_some_and(|at| now <= at + RELAYED_PEER_TIMEOUT_MS)
        };
        self.is_heard(now) || is_relayed()
    }
}

/// Order of the nodes of a zone by which its hubs are chosen: those with the largest processor
/// share; the incarnation breaks ties.
type HubRank = (u32, u64);

fn hub_rank(state: &NodeState) -> HubRank {
    (state.capacity, state.incarnation)
}

/// A node that is a hub, or may become one.
#[derive(Clone, Copy, Debug)]
struct Hub {
    rank: HubRank,
    /// None for this node itself.
    address: Option<SocketAddr>,
}

/// The address of the hub that relays to a node: the one with the highest hash with it, so that
/// few nodes change their hub when one comes or goes.
fn hub_of(node: u64, hubs: &[Hub]) -> Option<SocketAddr> {
    let weight = |hub: &&Hub| {
        let (_, incarnation) = hub.rank;
        xxh3_64_with_seed(&node.to_le_bytes(), incarnation)
    };
    hubs.iter().max_by_key(weight)?.address
}

/// Live nodes of a zone.
#[derive(Default)]
struct ZoneNodes {
    nodes: usize,
    /// True if a node among them knows of one hub only.
    lacks_several: bool,
    candidates: Vec<Hub>,
}

impl ZoneNodes {
    /// Returns the hubs, highest rank first.
    fn into_hubs(mut self) -> Vec<Hub> {
        let count = if self.lacks_several {
            1
        } else {
            self.nodes.div_ceil(MAX_HUB_MEMBERS)
        };
        self.candidates
            .sort_unstable_by_key(|hub| Reverse(hub.rank));
        self.candidates.truncate(count);
        self.candidates
    }
}

/// Part of a node in the relaying of gossip.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Role {
    /// It relays nothing.
    #[default]
    Member,
    /// It is a hub of its zone.
    Hub,
    /// It is the hub with the highest rank, which reads the store for its zone.
    FirstHub,
}

impl Role {
    /// True if the node relays gossip.
    pub fn is_hub(self) -> bool {
        self != Self::Member
    }
}

/// Destinations of a node's datagrams.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Targets {
    /// Recipients of the updates of this node and, at a hub, of its zone.
    pub local: Vec<SocketAddr>,
    /// Recipients of the updates that other hubs relay: the nodes that this one relays to;
    /// empty unless this node is a hub.
    pub members: Vec<SocketAddr>,
    /// Part of this node.
    pub role: Role,
}

/// All known other nodes.
#[derive(Debug)]
pub struct Peers {
    /// Time for which a silent node shares limits, in ms.
    share_ttl: Millis,
    /// True once the registry was read.
    has_list: bool,
    by_address: BTreeMap<SocketAddr, Option<Peer>>,
    by_incarnation: BTreeMap<u64, SocketAddr>,
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
            by_incarnation: BTreeMap::new(),
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
        let same = before.filter(|before| before.state.incarnation == state.incarnation);
        let mut peer = Peer {
            state: state.clone(),
            callers,
            heard_at: same.and_then(|before| before.heard_at),
            relayed_at: same.and_then(|before| before.relayed_at),
        };
        if via_hub {
            peer.relayed_at = Some(now);
        } else {
            peer.heard_at = Some(now);
        }
        let before = self.by_address.insert(from, Some(peer)).flatten();
        self.by_incarnation.insert(state.incarnation, from);
        let replaced = before
            .map(|before| before.state.incarnation)
            .filter(|incarnation| *incarnation != state.incarnation);
        if let Some(replaced) = replaced {
            self.by_incarnation.remove(&replaced);
        }
        replaced
    }

    /// Records that a hub told of a node that it is alive. Its state must be known.
    pub fn confirm(&mut self, incarnation: u64, now: Millis) {
        let Some(address) = self.by_incarnation.get(&incarnation) else {
            return;
        };
        if let Some(Some(peer)) = self.by_address.get_mut(address) {
            peer.relayed_at = Some(now);
        }
    }

    /// Returns true if the node at this address is alive.
    pub fn is_alive_at(&self, address: SocketAddr, now: Millis) -> bool {
        self.by_address
            .get(&address)
            .and_then(Option::as_ref)
            .is_some_and(|peer| peer.is_alive(now))
    }

    /// Returns when an incarnation at this address was last heard or told of.
    pub fn last_news_of(&self, address: SocketAddr, incarnation: u64) -> Option<Millis> {
        let peer = self.by_address.get(&address)?.as_ref()?;
        (peer.state.incarnation == incarnation).then(|| peer.last_heard())
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
        self.alive(now).nth(MAX_FULL_MESH_PEERS).is_none()
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
        let hubs = self.hubs(me, now);
        let own_rank = hub_rank(me);
        let zone_hubs = hubs.get(me.zone.as_str()).map_or(&[][..], Vec::as_slice);
        targets.role = match zone_hubs.iter().position(|hub| hub.rank == own_rank) {
            None => Role::Member,
            Some(0) => Role::FirstHub,
            Some(_) => Role::Hub,
        };
        if !targets.role.is_hub() {
            targets.local.extend(hub_of(me.incarnation, zone_hubs));
            return targets;
        }
        let other_hubs: BTreeSet<SocketAddr> = hubs
            .values()
            .flatten()
            .filter_map(|hub| hub.address)
            .collect();
        let is_member = |address: &SocketAddr, peer: &Peer| {
            peer.state.zone == me.zone && peer.is_heard(now) && !other_hubs.contains(address)
        };
        let members = alive
            .iter()
            .filter(|(address, peer)| is_member(address, peer));
        targets.members = members.map(|(address, _)| *address).collect();
        targets.local.extend(&targets.members);
        targets.local.extend(&other_hubs);
        targets
    }

    /// Returns the hubs of each zone, highest rank first.
    fn hubs<'a>(&'a self, me: &'a NodeState, now: Millis) -> BTreeMap<&'a str, Vec<Hub>> {
        let others = self.by_address.iter().filter_map(|(address, peer)| {
            let peer = peer.as_ref().filter(|peer| peer.is_alive(now))?;
            Some((&peer.state, Some(*address)))
        });
        let mut zones: BTreeMap<&str, ZoneNodes> = BTreeMap::new();
        for (state, address) in others.chain([(me, None)]) {
            let zone = zones.entry(&state.zone).or_default();
            zone.nodes += 1;
            zone.lacks_several |= !state.several_hubs;
            if !state.leaving {
                let rank = hub_rank(state);
                zone.candidates.push(Hub { rank, address });
            }
        }
        zones
            .into_iter()
            .map(|(zone, nodes)| (zone, nodes.into_hubs()))
            .collect()
    }

    /// Returns the states of the nodes at these addresses.
    pub fn states_of(&self, addresses: &[SocketAddr]) -> impl Iterator<Item = &NodeState> {
        let peers = addresses
            .iter()
            .filter_map(|address| self.by_address.get(address)?.as_ref());
        peers.map(|peer| &peer.state)
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
            let heard = peer.as_ref().map(Peer::last_heard);
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
            heard += usize::from(now <= peer.last_heard() + self.share_ttl);
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
        for peer in staying.filter(|peer| now <= peer.last_heard() + self.share_ttl) {
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
            let last_heard = peer.as_ref().map(Peer::last_heard);
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
