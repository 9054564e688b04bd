//! Estimate of the prefixes that one engine holds in its cache.
//!
//! The model assumes that a dispatched prompt is cached after its prefill; cache events
//! of the engine correct it. It is bounded by the capacity of the engine in blocks and
//! evicts the least recently used entry, the end of a chain before its beginning.
//! Entries belong to one incarnation of the engine and one weights version; a change of
//! either clears the model.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::levels::Level;
use crate::prelude::*;

/// Marks the absence of a link in the LRU list.
const NIL: u32 = u32::MAX;

/// Factor applied to the confidence for each lost event.
const LOSS_RETAINED: f64 = 0.98;

/// Part of the missing confidence that each event without a gap restores.
const EVENT_RECOVERY: f64 = 0.01;

/// Weight of one observed request in the moving average of the confidence.
const OBSERVED_WEIGHT: f64 = 0.2;

/// Lower bound of the confidence, so that engines with cached prefixes remain
/// distinguishable from others.
const MIN_CONFIDENCE: f64 = 0.1;

/// Kind of a change to the cache of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheChange {
    /// The blocks were stored and can be hit from now on.
    Stored,
    /// The blocks were evicted.
    Evicted,
    /// The whole cache was cleared.
    Cleared,
}

/// One cache event of an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number among the events of the engine; later events have larger numbers.
    pub seq: u64,
    /// Kind of the change.
    pub kind: CacheChange,
    /// Affected blocks, in chain order.
    pub blocks: Vec<BlockHash>,
}

/// Whether events belonged to the incarnation of the engine that the model describes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The events were applied.
    Current,
    /// The events belong to another incarnation and were ignored.
    OtherIncarnation,
}

/// A node of the doubly linked LRU list.
#[derive(Clone, Copy, Debug)]
struct LruNode {
    hash: BlockHash,
    newer: u32,
    older: u32,
    /// Number of blocks that the entry represents: those after the previous level, or one
    /// if the engine reported the block itself.
    span: u32,
}

/// Block hashes that one engine probably has cached.
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
    /// Creates an empty model of an engine that caches up to `capacity` blocks.
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

    /// The incarnation of the engine that the model describes.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// The weights version that the entries were computed with.
    pub fn weights(&self) -> &WeightsVersion {
        &self.weights
    }

    /// Number of blocks that the entries represent.
    pub fn used_blocks(&self) -> u32 {
        self.used
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.index.len()
    }

    /// True if the model has no entries.
    pub fn is_empty(&self) -> bool {
        self.index.is_empty()
    }

    /// Confidence in the model, from 0 to 1.
    pub fn confidence(&self) -> f64 {
        self.confidence
    }

    /// Binds the model to an incarnation and a weights version, and clears it if either
    /// differs from before.
    pub fn rebind(&mut self, incarnation: Incarnation, weights: &WeightsVersion) {
        if self.incarnation == incarnation && self.weights == *weights {
            return;
        }
        // The sequence of events continues if only the weights change.
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

    /// True if the model contains the block.
    pub fn contains(&self, hash: BlockHash) -> bool {
        self.index.contains_key(&hash)
    }

    /// Number of leading blocks of the chain that the model contains.
    pub fn longest_prefix(&self, chain: &PrefixChain) -> usize {
        chain
            .blocks
            .iter()
            .take_while(|&&hash| self.contains(hash))
            .count()
    }

    /// Number of blocks in the longest level that the model contains together with all
    /// levels before it.
    pub fn longest_level(&self, levels: &[Level]) -> u32 {
        levels
            .iter()
            .take_while(|level| self.contains(level.hash))
            .last()
            .map_or(0, |level| level.blocks)
    }

    /// Number of blocks that the engine is expected to find in its cache: the longest
    /// level in the model, scaled by the confidence.
    pub fn expected_blocks(&self, levels: &[Level]) -> u32 {
        (f64::from(self.longest_level(levels)) * self.confidence) as u32
    }

    /// Records that the engine computes or uses the prompt with these levels.
    pub fn insert(&mut self, levels: &[Level]) {
        // The beginning of a chain becomes the most recent entry, so that eviction
        // removes the end first: an end without its beginning is useless.
        for (position, level) in levels.iter().enumerate().rev() {
            let before = position.checked_sub(1).map_or(0, |p| levels[p].blocks);
            self.touch(level.hash, level.blocks.saturating_sub(before).max(1));
        }
        self.evict_excess();
    }

    /// Corrects the model by cache events of the engine.
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

    /// Adjusts the confidence by the result of one request: `expected` blocks were in the
    /// model, `found` were in the cache of the engine.
    pub fn observe(&mut self, expected: u32, found: u32) {
        if expected == 0 {
            return;
        }
        let ratio = f64::from(found.min(expected)) / f64::from(expected);
        let moved = self.confidence + OBSERVED_WEIGHT * (ratio - self.confidence);
        self.confidence = moved.max(MIN_CONFIDENCE);
    }

    /// Advances the sequence number; false for an event that is not newer than the last
    /// applied one.
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

    /// Marks the entry as most recently used; adds it if it is new.
    fn touch(&mut self, hash: BlockHash, span: u32) {
        if let Some(&at) = self.index.get(&hash) {
            self.unlink(at);
            let node = &mut self.nodes[at as usize];
            // The smaller span is correct: the remaining blocks have entries of their
            // own.
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
