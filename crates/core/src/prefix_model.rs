//! Estimate of the prefixes that one engine holds in its cache.
//!
//! The model is a guess: it assumes that a dispatched prompt is cached after its
//! prefill, and cache events of the engine correct it. It is bounded by the
//! engine's capacity in blocks and evicts the least recently used entry, the end
//! of a chain before its beginning. An entry belongs to one incarnation of the
//! engine and one weights version; a change of either forgets everything.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::levels::Level;
use crate::prelude::*;

/// Marks the absence of a neighbour in the recency list.
const NIL: u32 = u32::MAX;

/// Share of the confidence that remains after each lost event.
const LOSS_RETAINED: f64 = 0.98;

/// Part of the missing confidence that an event in sequence restores.
const EVENT_RECOVERY: f64 = 0.01;

/// Weight of one observed request against the confidence so far.
const OBSERVED_WEIGHT: f64 = 0.2;

/// Confidence never falls below this, so that warm engines stay distinguishable.
const MIN_CONFIDENCE: f64 = 0.1;

/// What happened to blocks in an engine's cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheChange {
    /// The blocks can be hit from now on.
    Stored,
    /// The blocks were dropped.
    Evicted,
    /// The whole cache was dropped.
    Cleared,
}

/// One event of an engine's cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Position in the engine's sequence of events; later is larger.
    pub seq: u64,
    /// What happened.
    pub kind: CacheChange,
    /// Blocks concerned, in chain order.
    pub blocks: Vec<BlockHash>,
}

/// Whether events concerned the life of the engine that the model describes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The model took the events in.
    Current,
    /// The events are from another incarnation and were ignored.
    OtherIncarnation,
}

/// An entry of the recency list.
#[derive(Clone, Copy, Debug)]
struct LruNode {
    hash: BlockHash,
    newer: u32,
    older: u32,
    /// Blocks that the entry stands for: those since the level before, or one
    /// when the engine reported the block itself.
    span: u32,
}

/// Which block hashes one engine likely holds.
#[derive(Clone, Debug)]
pub struct PrefixModel {
    incarnation: Incarnation,
    weights: WeightsVersion,
    capacity: u32,
    used: u32,
    index: BTreeMap<BlockHash, u32>,
    nodes: Vec<LruNode>,
    free_list: Vec<u32>,
    newest: u32,
    oldest: u32,
    last_seq: Option<u64>,
    confidence: f64,
}

impl PrefixModel {
    /// An empty model of an engine that caches up to `capacity` blocks.
    pub fn new(incarnation: Incarnation, weights: WeightsVersion, capacity: u32) -> Self {
        Self {
            incarnation,
            weights,
            capacity,
            used: 0,
            index: BTreeMap::new(),
            nodes: Vec::new(),
            free_list: Vec::new(),
            newest: NIL,
            oldest: NIL,
            last_seq: None,
            confidence: 1.0,
        }
    }

    /// The life of the engine that the model describes.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// The weights version that the entries were computed with.
    pub fn weights(&self) -> &WeightsVersion {
        &self.weights
    }

    /// Blocks that the entries stand for.
    pub fn used_blocks(&self) -> u32 {
        self.used
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.index.len()
    }

    /// True when the model holds no entry.
    pub fn is_empty(&self) -> bool {
        self.index.is_empty()
    }

    /// Ratio from 0 to 1 by which the model is believed.
    pub fn confidence(&self) -> f64 {
        self.confidence
    }

    /// Binds the model to an incarnation and a weights version, and forgets
    /// everything if either differs from before.
    pub fn rebind(&mut self, incarnation: Incarnation, weights: &WeightsVersion) {
        if self.incarnation == incarnation && self.weights == *weights {
            return;
        }
        // Events go on in sequence when only the weights change.
        let last_seq = (self.incarnation == incarnation)
            .then_some(self.last_seq)
            .flatten();
        *self = Self {
            last_seq,
            ..Self::new(incarnation, weights.clone(), self.capacity)
        };
    }

    /// Changes the capacity and evicts what no longer fits.
    pub fn set_capacity(&mut self, blocks: u32) {
        self.capacity = blocks;
        self.evict_excess();
    }

    /// True when the model holds the block.
    pub fn contains(&self, hash: BlockHash) -> bool {
        self.index.contains_key(&hash)
    }

    /// Number of leading blocks of the chain that are held.
    pub fn longest_prefix(&self, chain: &PrefixChain) -> usize {
        chain
            .blocks
            .iter()
            .take_while(|&&hash| self.contains(hash))
            .count()
    }

    /// Blocks in the longest of the levels that is held with all levels before it.
    pub fn longest_level(&self, levels: &[Level]) -> u32 {
        levels
            .iter()
            .take_while(|level| self.contains(level.hash))
            .last()
            .map_or(0, |level| level.blocks)
    }

    /// Blocks that the engine is expected to find in its cache, which is the
    /// longest held level lowered by the confidence.
    pub fn expected_blocks(&self, levels: &[Level]) -> u32 {
        (f64::from(self.longest_level(levels)) * self.confidence) as u32
    }

    /// Records that the engine computes or uses the prompt with these levels.
    pub fn insert(&mut self, levels: &[Level]) {
        // The beginning of a chain becomes the most recent, so that eviction
        // takes the end first and no useless end outlives its beginning.
        for (position, level) in levels.iter().enumerate().rev() {
            let before = position.checked_sub(1).map_or(0, |p| levels[p].blocks);
            self.touch(level.hash, level.blocks.saturating_sub(before).max(1));
        }
        self.evict_excess();
    }

    /// Corrects the model by events of the engine's cache.
    pub fn apply(&mut self, incarnation: Incarnation, events: &[CacheEvent]) -> ApplyOutcome {
        if incarnation != self.incarnation {
            return ApplyOutcome::OtherIncarnation;
        }
        for event in events {
            if self.in_sequence(event.seq) {
                self.apply_change(event);
            }
        }
        self.evict_excess();
        ApplyOutcome::Current
    }

    /// Adjusts the confidence by what one request found: `expected` blocks were
    /// held by the model, `found` were in the engine's cache.
    pub fn observe(&mut self, expected: u32, found: u32) {
        if expected == 0 {
            return;
        }
        let ratio = f64::from(found.min(expected)) / f64::from(expected);
        let moved = self.confidence + OBSERVED_WEIGHT * (ratio - self.confidence);
        self.confidence = moved.max(MIN_CONFIDENCE);
    }

    /// Advances the sequence; false for an event that is older than one applied.
    fn in_sequence(&mut self, seq: u64) -> bool {
        let Some(newest) = self.last_seq else {
            self.last_seq = Some(seq);
            return true;
        };
        if seq <= newest {
            return false;
        }
        let lost = seq - newest - 1;
        self.last_seq = Some(seq);
        if lost == 0 {
            self.confidence += EVENT_RECOVERY * (1.0 - self.confidence);
        } else {
            let factor = LOSS_RETAINED.powf(lost as f64);
            self.confidence = (self.confidence * factor).max(MIN_CONFIDENCE);
        }
        true
    }

    fn apply_change(&mut self, event: &CacheEvent) {
        match event.kind {
            CacheChange::Stored => {
                for &hash in event.blocks.iter().rev() {
                    self.touch(hash, 1);
                }
            }
            CacheChange::Evicted => {
                for hash in &event.blocks {
                    self.remove(*hash);
                }
            }
            CacheChange::Cleared => self.clear(),
        }
    }

    fn clear(&mut self) {
        self.index.clear();
        self.nodes.clear();
        self.free_list.clear();
        self.newest = NIL;
        self.oldest = NIL;
        self.used = 0;
    }

    /// Makes the entry the most recent one; adds it when it is new.
    fn touch(&mut self, hash: BlockHash, span: u32) {
        if let Some(&at) = self.index.get(&hash) {
            self.unlink(at);
            let node = &mut self.nodes[at as usize];
            // The finer of two cuts is right: the rest has entries of its own.
            let finer = node.span.min(span);
            self.used -= node.span - finer;
            node.span = finer;
            self.link_newest(at);
            return;
        }
        let at = self.allocate(LruNode {
            hash,
            newer: NIL,
            older: NIL,
            span,
        });
        self.index.insert(hash, at);
        self.used += span;
        self.link_newest(at);
    }

    fn remove(&mut self, hash: BlockHash) {
        let Some(at) = self.index.remove(&hash) else {
            return;
        };
        self.unlink(at);
        self.used -= self.nodes[at as usize].span;
        self.free_list.push(at);
    }

    fn evict_excess(&mut self) {
        while self.used > self.capacity && self.oldest != NIL {
            self.remove(self.nodes[self.oldest as usize].hash);
        }
    }

    fn allocate(&mut self, node: LruNode) -> u32 {
        if let Some(at) = self.free_list.pop() {
            self.nodes[at as usize] = node;
            return at;
        }
        self.nodes.push(node);
        self.nodes.len() as u32 - 1
    }

    fn link_newest(&mut self, at: u32) {
        let previous = self.newest;
        let node = &mut self.nodes[at as usize];
        node.newer = NIL;
        node.older = previous;
        match self.nodes.get_mut(previous as usize) {
            Some(second) => second.newer = at,
            None => self.oldest = at,
        }
        self.newest = at;
    }

    fn unlink(&mut self, at: u32) {
        let LruNode { newer, older, .. } = self.nodes[at as usize];
        match self.nodes.get_mut(newer as usize) {
            Some(node) => node.older = older,
            None => self.newest = older,
        }
        match self.nodes.get_mut(older as usize) {
            Some(node) => node.newer = newer,
            None => self.oldest = newer,
        }
    }
}
