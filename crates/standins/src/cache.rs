//! The prefix cache of an engine: bounded blocks, least recently used first out.

use std::collections::BTreeMap;

use flamingolock_core::prelude::*;

/// What a cached block was computed under.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Origin {
    pub(crate) salt: PrefixSeed,
    pub(crate) incarnation: Incarnation,
    pub(crate) weights: WeightsVersion,
}

struct Entry {
    origin: Origin,
    used: u64,
}

/// Cached blocks in the order of their use.
pub(crate) struct PrefixCache {
    capacity: usize,
    entries: BTreeMap<BlockHash, Entry>,
    by_use: BTreeMap<u64, BlockHash>,
    clock: u64,
}

impl PrefixCache {
    pub(crate) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            entries: BTreeMap::new(),
            by_use: BTreeMap::new(),
            clock: 0,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// The origins of the leading blocks that are cached.
    pub(crate) fn matching<'a>(
        &'a self,
        blocks: &'a [BlockHash],
    ) -> impl Iterator<Item = &'a Origin> {
        blocks
            .iter()
            .map_while(|block| self.entries.get(block))
            .map(|entry| &entry.origin)
    }

    pub(crate) fn contains(&self, block: BlockHash) -> bool {
        self.entries.contains_key(&block)
    }

    /// Marks the blocks as just used. The first block counts as the most recent
    /// one, since the later blocks are useless without it.
    pub(crate) fn touch(&mut self, blocks: &[BlockHash]) {
        for block in blocks.iter().rev() {
            if let Some(entry) = self.entries.get_mut(block) {
                self.by_use.remove(&entry.used);
                self.clock += 1;
                entry.used = self.clock;
                self.by_use.insert(self.clock, *block);
            }
        }
    }

    /// Adds a block unless it is there.
    pub(crate) fn insert(&mut self, block: BlockHash, origin: &Origin) {
        if self.contains(block) {
            return;
        }
        self.clock += 1;
        let entry = Entry {
            origin: origin.clone(),
            used: self.clock,
        };
        self.entries.insert(block, entry);
        self.by_use.insert(self.clock, block);
    }

    /// Drops blocks beyond the capacity and returns them.
    pub(crate) fn shrink(&mut self) -> Vec<BlockHash> {
        let mut evicted = Vec::new();
        while self.entries.len() > self.capacity {
            let Some((_, block)) = self.by_use.pop_first() else {
                break;
            };
            self.entries.remove(&block);
            evicted.push(block);
        }
        evicted
    }

    pub(crate) fn clear(&mut self) {
        self.entries.clear();
        self.by_use.clear();
    }
}
