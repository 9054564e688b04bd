//! Prefix cache of an engine: a bounded LRU cache of blocks.

use std::collections::BTreeMap;
use std::time::Duration;

use flamingolock_core::prelude::*;
use tokio::time::Instant;

/// The salt, engine incarnation and weights that a cached block was computed with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Origin {
    pub(crate) salt: PrefixSeed,
    pub(crate) incarnation: Incarnation,
    pub(crate) weights: WeightsVersion,
}

struct Entry {
    origin: Origin,
    /// Key of this entry in `by_recency`.
    use_seq: u64,
    last_used: Instant,
}

/// LRU cache of blocks.
pub(crate) struct PrefixCache {
    capacity: usize,
    /// Time after which an unused block expires; `None` disables expiry.
    ttl: Option<Duration>,
    entries: BTreeMap<BlockHash, Entry>,
    by_recency: BTreeMap<u64, BlockHash>,
    last_use_seq: u64,
}

impl PrefixCache {
    pub(crate) fn new(capacity: usize, ttl: Option<Duration>) -> Self {
        Self {
            capacity,
            ttl,
            entries: BTreeMap::new(),
            by_recency: BTreeMap::new(),
            last_use_seq: 0,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(crate) fn get(&self, block: BlockHash) -> Option<&Origin> {
        self.entries.get(&block).map(|entry| &entry.origin)
    }

    /// The origins of the longest cached prefix of `blocks`.
    pub(crate) fn cached_prefix(&self, blocks: &[BlockHash]) -> impl Iterator<Item = &Origin> {
        blocks.iter().map_while(|block| self.get(*block))
    }

    /// Marks the blocks as just used. The first block becomes the most recently
    /// used one, because the later blocks can't be hit without it.
    pub(crate) fn touch(&mut self, blocks: &[BlockHash], now: Instant) {
        for block in blocks.iter().rev() {
            if let Some(entry) = self.entries.get_mut(block) {
                self.by_recency.remove(&entry.use_seq);
                self.last_use_seq += 1;
                entry.use_seq = self.last_use_seq;
                entry.last_used = now;
                self.by_recency.insert(self.last_use_seq, *block);
            }
        }
    }

    /// Adds a block; false if it is already cached.
    pub(crate) fn insert(&mut self, block: BlockHash, origin: &Origin, now: Instant) -> bool {
        if self.entries.contains_key(&block) {
            return false;
        }
        self.last_use_seq += 1;
        let entry = Entry {
            origin: origin.clone(),
            use_seq: self.last_use_seq,
            last_used: now,
        };
        self.entries.insert(block, entry);
        self.by_recency.insert(self.last_use_seq, block);
        true
    }

    /// Evicts blocks beyond the capacity and expired ones, and returns them.
    pub(crate) fn evict(&mut self, now: Instant) -> Vec<BlockHash> {
        let mut evicted = Vec::new();
        while self.entries.len() > self.capacity || self.next_expiry().is_some_and(|e| e <= now) {
            let Some((_, block)) = self.by_recency.pop_first() else {
                break;
            };
            self.entries.remove(&block);
            evicted.push(block);
        }
        evicted
    }

    /// When the least recently used block expires.
    pub(crate) fn next_expiry(&self) -> Option<Instant> {
        let (_, block) = self.by_recency.first_key_value()?;
        Some(self.entries.get(block)?.last_used + self.ttl?)
    }

    pub(crate) fn clear(&mut self) {
        self.entries.clear();
        self.by_recency.clear();
    }
}
