//! Tree of the prompts that an entry node saw lately, with the heat of each branch.
//!
//! The tree finds the levels of prompts: the blocks at which prompts branch. A node
//! of the tree is a run of blocks without a branch. Block hashes are chained, so one
//! comparison at the end of a run decides whether a prompt contains all of it.

use std::collections::{BTreeMap, BTreeSet};

use crate::heat::{Heat, HeatOptions};
use crate::levels::Level;
use crate::prelude::*;

/// Most levels reported for a prompt; the shortest are left out.
pub const MAX_LEVELS: usize = 16;

/// Parent of the runs that begin a prompt.
const ROOT: u32 = u32::MAX;

/// Engines remembered for each run.
const RECENT_ENGINES: usize = 3;

/// A level of a prompt with its use.
#[derive(Clone, Debug, PartialEq)]
pub struct HeatLevel {
    /// The level.
    pub level: Level,
    /// Load in engines.
    pub load: f64,
    /// Replicas that it should have; zero if no earlier prompt had the level, so
    /// that no engine can hold it.
    pub replicas: u32,
    /// Engines that prompts with the level were sent to, latest first.
    pub recent: Vec<EngineId>,
}

/// A run of blocks without a branch.
#[derive(Clone, Debug)]
struct Run {
    parent: u32,
    /// Blocks before the run.
    start: u32,
    blocks: Vec<BlockHash>,
    children: BTreeMap<BlockHash, u32>,
    heat: Heat,
    used: Millis,
    /// Prompts that had the run.
    prompts: u64,
    /// Engines that these were sent to, latest first.
    recent: Vec<EngineId>,
}

impl Run {
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

    fn end(&self) -> u32 {
        self.start + self.blocks.len() as u32
    }

    /// Number of leading blocks of the run that `blocks` begins with.
    fn common(&self, blocks: &[BlockHash]) -> usize {
        let length = self.blocks.len().min(blocks.len());
        if length > 0 && self.blocks[length - 1] == blocks[length - 1] {
            return length;
        }
        // Chained hashes differ at and after the first difference.
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

/// Recent prompts as a tree; bounded in blocks.
#[derive(Clone, Debug)]
pub struct PrefixTree {
    options: HeatOptions,
    capacity: usize,
    stored: usize,
    runs: BTreeMap<u32, Run>,
    first: BTreeMap<BlockHash, u32>,
    /// Runs without children, least recently used first.
    leaves: BTreeSet<(Millis, u32)>,
    next: u32,
}

impl PrefixTree {
    /// An empty tree that holds up to `capacity` blocks.
    pub fn new(capacity: usize, options: HeatOptions) -> Self {
        Self {
            options,
            capacity,
            stored: 0,
            runs: BTreeMap::new(),
            first: BTreeMap::new(),
            leaves: BTreeSet::new(),
            next: 0,
        }
    }

    /// Blocks held.
    pub fn blocks(&self) -> usize {
        self.stored
    }

    /// Runs held.
    pub fn runs(&self) -> usize {
        self.runs.len()
    }

    /// Records a request that takes `cost_ms` of engine time and returns the levels
    /// of its prompt, shortest first. Where several entry nodes share the requests
    /// of a workspace, each multiplies the cost by their number.
    pub fn record(&mut self, chain: &PrefixChain, cost_ms: f64, now: Millis) -> Vec<HeatLevel> {
        let path = self.insert(&chain.blocks, now);
        let mut levels = Vec::with_capacity(path.len());
        for id in path {
            let Some(run) = self.runs.get_mut(&id) else {
                continue;
            };
            run.heat.add(cost_ms, &self.options, now);
            run.prompts += 1;
            levels.extend(self.level_of(id, now));
        }
        self.evict_excess();
        let excess = levels.len().saturating_sub(MAX_LEVELS);
        levels.split_off(excess)
    }

    /// Remembers that a prompt was sent to an engine.
    pub fn dispatched(&mut self, chain: &PrefixChain, engine: &EngineId) {
        let mut parent = ROOT;
        let mut at = 0;
        while let Some(&first) = chain.blocks.get(at) {
            let Some(id) = self.child(parent, first) else {
                return;
            };
            let Some(run) = self.runs.get_mut(&id) else {
                return;
            };
            run.recent.retain(|known| known != engine);
            run.recent.insert(0, engine.clone());
            run.recent.truncate(RECENT_ENGINES);
            at = run.end() as usize;
            parent = id;
        }
    }

    /// The levels with at least `min_blocks` blocks and some load, hottest first.
    pub fn hottest(&self, min_blocks: u32, count: usize, now: Millis) -> Vec<HeatLevel> {
        let mut levels: Vec<HeatLevel> = self
            .runs
            .iter()
            .filter(|(_, run)| run.end() >= min_blocks)
            .filter_map(|(&id, _)| self.level_of(id, now))
            .collect();
        levels.sort_by(|a, b| b.load.total_cmp(&a.load));
        levels.truncate(count);
        levels
    }

    fn level_of(&self, id: u32, now: Millis) -> Option<HeatLevel> {
        let run = self.runs.get(&id)?;
        let level = Level {
            blocks: run.end(),
            hash: *run.blocks.last()?,
        };
        Some(HeatLevel {
            level,
            load: run.heat.load(&self.options, now),
            replicas: match run.prompts {
                0 | 1 => 0,
                _ => run.heat.replicas(&self.options, now),
            },
            recent: run.recent.clone(),
        })
    }

    /// Adds a prompt and returns its runs from the first block on.
    fn insert(&mut self, blocks: &[BlockHash], now: Millis) -> Vec<u32> {
        let mut found = Vec::new();
        let mut parent = ROOT;
        let mut at = 0;
        while at < blocks.len() {
            let rest = &blocks[at..];
            let id = match self.child(parent, rest[0]) {
                Some(child) => self.split(child, rest, now),
                None => self.add_run(Run::new(parent, at as u32, rest.to_vec(), now)),
            };
            self.mark_used(id, now);
            at = self
                .runs
                .get(&id)
                .map_or(blocks.len(), |run| run.end() as usize);
            found.push(id);
            parent = id;
        }
        found
    }

    fn child(&self, parent: u32, first: BlockHash) -> Option<u32> {
        let children = match self.runs.get(&parent) {
            Some(run) => &run.children,
            None => &self.first,
        };
        children.get(&first).copied()
    }

    /// Cuts the run where `rest` leaves it and returns the part that is common.
    fn split(&mut self, id: u32, rest: &[BlockHash], now: Millis) -> u32 {
        let Some(run) = self.runs.get_mut(&id) else {
            return id;
        };
        let common = run.common(rest);
        if common == run.blocks.len() {
            return id;
        }
        let tail = run.blocks.split_off(common);
        let common_blocks = std::mem::replace(&mut run.blocks, tail);
        let upper = Run {
            heat: run.heat,
            prompts: run.prompts,
            recent: run.recent.clone(),
            ..Run::new(run.parent, run.start, common_blocks, now)
        };
        run.start = upper.end();
        self.stored -= common;
        let upper = self.add_run(upper);
        self.adopt(upper, id);
        upper
    }

    fn add_run(&mut self, run: Run) -> u32 {
        self.next += 1;
        let id = self.next;
        let parent = run.parent;
        self.stored += run.blocks.len();
        self.leaves.insert((run.used, id));
        self.runs.insert(id, run);
        self.adopt(parent, id);
        id
    }

    /// Makes a run the child of another, which is no longer a leaf then.
    fn adopt(&mut self, parent: u32, child: u32) {
        let Some(run) = self.runs.get_mut(&child) else {
            return;
        };
        run.parent = parent;
        let Some(&first) = run.blocks.first() else {
            return;
        };
        match self.runs.get_mut(&parent) {
            Some(upper) => {
                upper.children.insert(first, child);
                self.leaves.remove(&(upper.used, parent));
            }
            None => {
                self.first.insert(first, child);
            }
        }
    }

    fn mark_used(&mut self, id: u32, now: Millis) {
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        if self.leaves.remove(&(run.used, id)) {
            self.leaves.insert((now, id));
        }
        run.used = now;
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
        let Some(run) = self.runs.remove(&id) else {
            return;
        };
        self.stored -= run.blocks.len();
        let Some(first) = run.blocks.first() else {
            return;
        };
        match self.runs.get_mut(&run.parent) {
            Some(parent) => {
                parent.children.remove(first);
                if parent.children.is_empty() {
                    self.leaves.insert((parent.used, run.parent));
                }
            }
            None => {
                self.first.remove(first);
            }
        }
    }
}
