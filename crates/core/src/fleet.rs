//! The engines that serve one model, as a node sees them.

use std::collections::BTreeMap;

use crate::digest::EngineDigest;
use crate::prelude::*;
use crate::rendezvous;

/// One engine of a fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetEngine {
    /// The engine.
    pub engine: EngineId,
    /// Time from this node to the engine and back, in milliseconds.
    pub hop_ms: f64,
    /// Latest digest from the engine's home; `None` until one arrives.
    pub digest: Option<EngineDigest>,
}

/// A fleet prepared for ranking engines many times.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    engines: Vec<FleetEngine>,
    hashes: Vec<u64>,
    positions: BTreeMap<EngineId, usize>,
}

impl Fleet {
    /// A fleet of the engines that take new work; the others are left out.
    pub fn new(engines: impl IntoIterator<Item = FleetEngine>) -> Self {
        let engines: Vec<FleetEngine> = engines.into_iter().filter(takes_work).collect();
        let hashes = engines
            .iter()
            .map(|engine| rendezvous::key(engine.engine.as_str()))
            .collect();
        let positions = engines
            .iter()
            .enumerate()
            .map(|(position, engine)| (engine.engine.clone(), position))
            .collect();
        Self {
            engines,
            hashes,
            positions,
        }
    }

    /// Number of engines.
    pub fn len(&self) -> usize {
        self.engines.len()
    }

    /// True when no engine takes work.
    pub fn is_empty(&self) -> bool {
        self.engines.is_empty()
    }

    /// The engine at a position.
    pub fn get(&self, position: usize) -> Option<&FleetEngine> {
        self.engines.get(position)
    }

    /// The position of an engine.
    pub fn position(&self, engine: &EngineId) -> Option<usize> {
        self.positions.get(engine).copied()
    }

    /// Positions of the `count` engines that rendezvous hashing ranks highest for
    /// the key, best first. All nodes that know the same engines agree on them.
    pub fn top(&self, key: u64, count: usize) -> Vec<usize> {
        let mut best: Vec<(u64, usize)> = Vec::with_capacity(count + 1);
        // Weights up to this one cannot be among the best any more.
        let mut bar = 0;
        for (position, &hash) in self.hashes.iter().enumerate() {
            let weight = mix(key, hash);
            if weight <= bar {
                continue;
            }
            let place = best.partition_point(|&(other, _)| other >= weight);
            best.insert(place, (weight, position));
            if best.len() > count {
                best.truncate(count);
            }
            if best.len() == count {
                bar = best.last().map_or(u64::MAX, |&(weight, _)| weight);
            }
        }
        best.into_iter().map(|(_, position)| position).collect()
    }

    /// The position that a random number selects.
    pub fn pick(&self, random: u64) -> Option<usize> {
        let count = self.engines.len() as u128;
        // The high half of the product is uniform over the positions.
        let position = (u128::from(random) * count) >> 64;
        (count > 0).then_some(position as usize)
    }
}

fn takes_work(engine: &FleetEngine) -> bool {
    engine.digest.as_ref().is_none_or(|digest| digest.serving)
}

/// Mixes two numbers that are hashes already into one that depends on all their bits.
pub fn mix(a: u64, b: u64) -> u64 {
    const A: u64 = 0x9e37_79b9_7f4a_7c15;
    const B: u64 = 0xd6e8_feb8_6659_fd93;
    let product = u128::from(a ^ A) * u128::from(b ^ B);
    (product >> 64) as u64 ^ product as u64
}
