//! The other nodes, as far as their datagrams tell.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use flamingolock_wire::gossip::NodeState;

use crate::clock::Millis;

/// Silence after which a node counts as gone.
const SILENT_MS: Millis = 1_200;

/// Silence after which a node no longer counts for shared limits.
const FORGOTTEN_MS: Millis = 12_000;

/// Pause between datagrams to an address that does not answer.
const PROBE_MS: Millis = 1_500;

/// Another node.
#[derive(Clone, Debug)]
pub struct Peer {
    /// What it says of itself.
    pub state: NodeState,
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// When it was heard last.
    pub heard: Millis,
}

/// All other nodes.
#[derive(Debug, Default)]
pub struct Peers {
    known: BTreeMap<SocketAddr, Option<Peer>>,
    probed: BTreeMap<SocketAddr, Millis>,
}

impl Peers {
    /// Adds an address from the registry.
    pub fn registered(&mut self, address: SocketAddr) {
        self.known.entry(address).or_insert(None);
    }

    /// Takes the state that a datagram carries. Returns the incarnation that it
    /// replaces at this address, if any.
    pub fn heard(&mut self, from: SocketAddr, state: &NodeState, now: Millis) -> Option<u64> {
        let Ok(callers) = state.callers.parse() else {
            log::warn!(from:% = from, callers = state.callers.as_str(); "datagram without a caller address ignored");
            return None;
        };
        let peer = Peer {
            state: state.clone(),
            callers,
            heard: now,
        };
        let before = self.known.insert(from, Some(peer)).flatten();
        before
            .map(|before| before.state.incarnation)
            .filter(|incarnation| *incarnation != state.incarnation)
    }

    /// Nodes that were heard lately.
    pub fn alive(&self, now: Millis) -> impl Iterator<Item = &Peer> {
        self.known
            .values()
            .flatten()
            .filter(move |peer| now <= peer.heard + SILENT_MS)
    }

    /// True when the node of this incarnation was heard lately.
    pub fn is_alive(&self, incarnation: u64, now: Millis) -> bool {
        self.alive(now)
            .any(|peer| peer.state.incarnation == incarnation)
    }

    /// True when the node with this name was heard lately and stays.
    pub fn is_named_alive(&self, name: &str, now: Millis) -> bool {
        self.alive(now)
            .any(|peer| peer.state.name == name && !peer.state.leaving)
    }

    /// The largest number of nodes that may share a limit now, this one included.
    pub fn sharing(&self, now: Millis) -> usize {
        1 + self
            .known
            .values()
            .flatten()
            .filter(|peer| now <= peer.heard + FORGOTTEN_MS)
            .count()
    }

    /// Addresses to send the next datagram to. Silent ones get few.
    pub fn addresses(&mut self, now: Millis) -> Vec<SocketAddr> {
        let mut addresses = Vec::new();
        for (address, peer) in &self.known {
            let alive = peer
                .as_ref()
                .is_some_and(|peer| now <= peer.heard + SILENT_MS);
            let probed = self.probed.entry(*address).or_insert(0);
            if alive || now >= *probed + PROBE_MS {
                *probed = now;
                addresses.push(*address);
            }
        }
        addresses
    }
}
