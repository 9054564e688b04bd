//! Hash ring that selects the peers to which a node sends heartbeats.
//!
//! Nodes are placed on a ring by the hash of their names. Each node monitors its
//! successor, so that every node is monitored, and a few chords to points that depend
//! only on its own name. Due to the chords, news reaches all nodes in a number of hops
//! that grows with the logarithm of the fleet size. An instance that joins or leaves
//! changes only the neighbours next to it, even if the views of two nodes differ.

use std::collections::BTreeSet;

use crate::prelude::*;
use crate::rendezvous;

/// Number of neighbours in addition to the successor.
pub const CHORDS: u64 = 2;

/// Nodes ordered by their positions on the ring.
#[derive(Clone, Debug, Default)]
pub struct Ring {
    positions: BTreeSet<(u64, InstanceId)>,
}

impl Ring {
    /// Adds a node.
    pub fn insert(&mut self, name: &InstanceId) {
        self.positions.insert(position(name));
    }

    /// Removes a node.
    pub fn remove(&mut self, name: &InstanceId) {
        self.positions.remove(&position(name));
    }

    /// Returns the neighbours of `name`, which need not be on the ring: its successor and
    /// the first nodes after its chord points, without duplicates.
    pub fn neighbours(&self, name: &InstanceId) -> BTreeSet<InstanceId> {
        let chords = (1..=CHORDS).map(|chord| rendezvous::weight(chord, name.as_str()));
        let points = std::iter::once(rendezvous::key(name.as_str())).chain(chords);
        let mut chosen = BTreeSet::new();
        for point in points {
            if let Some(next) = self.next(point, |other| other != name && !chosen.contains(other)) {
                chosen.insert(next.clone());
            }
        }
        chosen
    }

    fn next<F>(&self, point: u64, is_match: F) -> Option<&InstanceId>
    where
        F: Fn(&InstanceId) -> bool,
    {
        let start = (point, InstanceId::default());
        let tail = self.positions.range(&start..);
        let head = self.positions.range(..&start);
        tail.chain(head)
            .map(|(_, name)| name)
            .find(|name| is_match(name))
    }
}

fn position(name: &InstanceId) -> (u64, InstanceId) {
    (rendezvous::key(name.as_str()), name.clone())
}
