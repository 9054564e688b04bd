//! Radix tree of the prompts that an entry node handled recently, with the heat of
//! each tree node.
//!
//! The tree finds the levels of a prompt: the block boundaries at which prompts
//! diverge. A tree node holds consecutive blocks without a branch. Block hashes are
//! chained, so comparing the last block of a node decides whether a prompt contains
//! all of them.

use std::collections::{BTreeMap, BTreeSet};

use crate::heat::{Heat, HeatOptions};
use crate::levels::Level;
use crate::prelude::*;

/// Maximum levels reported for a prompt; the shortest ones are dropped first.
pub const MAX_LEVELS: usize = 16;

/// Parent id of the tree nodes that hold the first block of a prompt.
const ROOT: u32 = u32::MAX;

/// Recent engines stored per tree node.
const RECENT_ENGINES: usize = 3;

/// A level of a prompt with its load and placement.
#[derive(Clone, Debug, PartialEq)]
pub struct HeatLevel {
    /// The level.
    pub level: Level,
    /// Load in engines: 1 keeps one engine busy.
    pub load: f64,
    /// Target number of replicas; zero if no earlier prompt had the level, so that
    /// no engine can hold it.
    pub replicas: u32,
    /// Engines that prompts with the level were sent to, most recent first.
    pub recent: Vec<EngineId>,
}

/// Consecutive blocks without a branch.
#[derive(Clone, Debug)]
struct TreeNode {
    parent: u32,
    /// Number of blocks that precede the node on its path from the root.
    start: u32,
    blocks: Vec<BlockHash>,
    children: BTreeMap<BlockHash, u32>,
    heat: Heat,
    used: Millis,
    /// Number of recorded prompts that contain the node.
    prompts: u64,
    /// Engines that these prompts were sent to, most recent first.
    recent: Vec<EngineId>,
}

impl TreeNode {
    fn new(parent: u32, start: u32, blocks: Vec<BlockHash>, now: Millis) -> Self {
        Self {
            parent,
            start,
            blocks,
            children: BTreeMap::new(),
            heat: Heat::new(now),
            used: now,
            prompts: 0,
            recent: Vec::new(),
        }
    }

    /// Length in blocks of the prefix that ends with this node.
    fn end(&self) -> u32 {
        self.start + self.blocks.len() as u32
    }

    /// Number of leading blocks that the node and `blocks` have in common.
    fn common_len(&self, blocks: &[BlockHash]) -> usize {
        let length = self.blocks.len().min(blocks.len());
        if length > 0 && self.blocks[length - 1] == blocks[length - 1] {
            return length;
        }
        // Hashes are chained, so they differ from the first difference on and a
        // binary search finds it.
        let pairs: &[BlockHash] = &self.blocks[..length];
        let mut low = 0;
        let mut high = length;
        while low < high {
            let middle = usize::midpoint(low, high);
            if pairs[middle] == blocks[middle] {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        low
    }
}

/// Radix tree of recent prompts, bounded in blocks.
#[derive(Clone, Debug)]
pub struct PrefixTree {
    options: HeatOptions,
    capacity: usize,
    stored: usize,
    nodes: BTreeMap<u32, TreeNode>,
    root_children: BTreeMap<BlockHash, u32>,
    /// Tree nodes without children, least recently used first.
    leaves: BTreeSet<(Millis, u32)>,
    last_id: u32,
}

impl PrefixTree {
    /// Creates an empty tree that holds up to `capacity` blocks.
    pub fn new(capacity: usize, options: HeatOptions) -> Self {
        Self {
            options,
            capacity,
            stored: 0,
            nodes: BTreeMap::new(),
            root_children: BTreeMap::new(),
            leaves: BTreeSet::new(),
            last_id: 0,
        }
    }

    /// Number of blocks stored.
    pub fn blocks(&self) -> usize {
        self.stored
    }

    /// Number of tree nodes.
    pub fn nodes(&self) -> usize {
        self.nodes.len()
    }

    /// Records a request that takes `cost_ms` of engine time and returns the levels
    /// of its prompt, shortest first. When several entry nodes share the requests of
    /// a workspace, each must multiply the cost by their number.
    pub fn record(&mut self, chain: &PrefixChain, cost_ms: f64, now: Millis) -> Vec<HeatLevel> {
        let path = self.insert(&chain.blocks, now);
        let mut levels = Vec::with_capacity(path.len());
        for id in path {
            let Some(node) = self.nodes.get_mut(&id) else {
                continue;
            };
            node.heat.add(cost_ms, &self.options, now);
            node.prompts += 1;
            levels.extend(self.level_of(id, now));
        }
        self.evict_excess();
        let excess = levels.len().saturating_sub(MAX_LEVELS);
        levels.split_off(excess)
    }

    /// Records that a prompt was sent to an engine.
    pub fn record_dispatch(&mut self, chain: &PrefixChain, engine: &EngineId) {
        let mut parent = ROOT;
        let mut at = 0;
        while let Some(&first) = chain.blocks.get(at) {
            let Some(id) = self.child(parent, first) else {
                return;
            };
            let Some(node) = self.nodes.get_mut(&id) else {
                return;
            };
            node.recent.retain(|known| known != engine);
            node.recent.insert(0, engine.clone());
            node.recent.truncate(RECENT_ENGINES);
            at = node.end() as usize;
            parent = id;
        }
    }

    /// The levels with at least `min_blocks` blocks and some load, hottest first.
    pub fn hottest(&self, min_blocks: u32, count: usize, now: Millis) -> Vec<HeatLevel> {
        let mut levels: Vec<HeatLevel> = self
            .nodes
            .iter()
            .filter(|(_, node)| node.end() >= min_blocks)
            .filter_map(|(&id, _)| self.level_of(id, now))
            .collect();
        levels.sort_by(|a, b| b.load.total_cmp(&a.load));
        levels.truncate(count);
        levels
    }

    fn level_of(&self, id: u32, now: Millis) -> Option<HeatLevel> {
        let node = self.nodes.get(&id)?;
        let level = Level {
            blocks: node.end(),
            hash: *node.blocks.last()?,
        };
        Some(HeatLevel {
            level,
            load: node.heat.load(&self.options, now),
            replicas: match node.prompts {
                0 | 1 => 0,
                _ => node.heat.replicas(&self.options, now),
            },
            recent: node.recent.clone(),
        })
    }

    /// Adds a prompt and returns the tree nodes on its path, starting at the root.
    fn insert(&mut self, blocks: &[BlockHash], now: Millis) -> Vec<u32> {
        let mut found = Vec::new();
        let mut parent = ROOT;
        let mut at = 0;
        while at < blocks.len() {
            let rest = &blocks[at..];
            let id = match self.child(parent, rest[0]) {
                Some(child) => self.split(child, rest, now),
                None => self.add_node(TreeNode::new(parent, at as u32, rest.to_vec(), now)),
            };
            self.mark_used(id, now);
            at = self
                .nodes
                .get(&id)
                .map_or(blocks.len(), |node| node.end() as usize);
            found.push(id);
            parent = id;
        }
        found
    }

    fn child(&self, parent: u32, first: BlockHash) -> Option<u32> {
        let children = match self.nodes.get(&parent) {
            Some(node) => &node.children,
            None => &self.root_children,
        };
        children.get(&first).copied()
    }

    /// Splits the node where `rest` diverges from it and returns the upper part, which
    /// holds the common blocks. A node that `rest` contains entirely stays whole.
    fn split(&mut self, id: u32, rest: &[BlockHash], now: Millis) -> u32 {
        let Some(node) = self.nodes.get_mut(&id) else {
            return id;
        };
        let common = node.common_len(rest);
        if common == node.blocks.len() {
            return id;
        }
        let tail = node.blocks.split_off(common);
        let common_blocks = std::mem::replace(&mut node.blocks, tail);
        let upper = TreeNode {
            heat: node.heat,
            prompts: node.prompts,
            recent: node.recent.clone(),
            ..TreeNode::new(node.parent, node.start, common_blocks, now)
        };
        node.start = upper.end();
        self.stored -= common;
        let upper = self.add_node(upper);
        self.set_parent(upper, id);
        upper
    }

    fn add_node(&mut self, node: TreeNode) -> u32 {
        self.last_id += 1;
        let id = self.last_id;
        let parent = node.parent;
        self.stored += node.blocks.len();
        self.leaves.insert((node.used, id));
        self.nodes.insert(id, node);
        self.set_parent(parent, id);
        id
    }

    /// Links `child` below `parent` and removes the parent from the leaves.
    fn set_parent(&mut self, parent: u32, child: u32) {
        let Some(node) = self.nodes.get_mut(&child) else {
            return;
        };
        node.parent = parent;
        let Some(&first) = node.blocks.first() else {
            return;
        };
        match self.nodes.get_mut(&parent) {
            Some(upper) => {
                upper.children.insert(first, child);
                self.leaves.remove(&(upper.used, parent));
            }
            None => {
                self.root_children.insert(first, child);
            }
        }
    }

    fn mark_used(&mut self, id: u32, now: Millis) {
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        if self.leaves.remove(&(node.used, id)) {
            self.leaves.insert((now, id));
        }
        node.used = now;
    }

    fn evict_excess(&mut self) {
        while self.stored > self.capacity {
            let Some((_, id)) = self.leaves.pop_first() else {
                return;
            };
            self.remove_leaf(id);
        }
    }

    fn remove_leaf(&mut self, id: u32) {
        let Some(node) = self.nodes.remove(&id) else {
            return;
        };
        self.stored -= node.blocks.len();
        let Some(first) = node.blocks.first() else {
            return;
        };
        match self.nodes.get_mut(&node.parent) {
            Some(parent) => {
                parent.children.remove(first);
                if parent.children.is_empty() {
                    self.leaves.insert((parent.used, node.parent));
                }
            }
            None => {
                self.root_children.remove(first);
            }
        }
    }
}
