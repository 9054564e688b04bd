//! Which prefixes are kept in the store of KV cache, and when they are loaded back.
//!
//! Exporting pays for prefixes that are long and hot: the saved time is the chance
//! of another use times the time to compute the prefix again. Importing pays when
//! reading a prefix from the store is cheaper than computing it.

use std::collections::{BTreeMap, BTreeSet};

use crate::levels::Level;
use crate::prefix::BLOCK_TOKENS;
use crate::prefix_tree::HeatLevel;
use crate::prelude::*;

/// Names one kept prefix with everything that makes cache entries incompatible.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StoredPrefixKey {
    /// Identity of workspace, model, weights version and adapter.
    pub seed: PrefixSeed,
    /// The prefix.
    pub level: Level,
}

impl StoredPrefixKey {
    /// The key as text for the store's URL.
    pub fn to_text(&self) -> String {
        let Level { blocks, hash } = self.level;
        format!("{}-{:016x}-{blocks}", self.seed.to_hex(), hash.0)
    }

    /// Reads what [`StoredPrefixKey::to_text`] wrote; `None` for anything else.
    pub fn from_text(text: &str) -> Option<Self> {
        let mut parts = text.split('-');
        let seed = PrefixSeed::from_hex(parts.next()?)?;
        let hash = BlockHash(u64::from_str_radix(parts.next()?, 16).ok()?);
        let blocks = parts.next()?.parse().ok()?;
        let key = Self {
            seed,
            level: Level { blocks, hash },
        };
        // Exactly one spelling of each key is accepted.
        (key.to_text() == text).then_some(key)
    }
}

/// A prefix that is worth thinking about.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HotPrefix {
    /// Its identity.
    pub key: StoredPrefixKey,
    /// Load in engines of the requests that use it.
    pub load: f64,
}

impl HotPrefix {
    /// A prefix of the tree under the seed of its prompts.
    pub fn new(seed: PrefixSeed, heat: &HeatLevel) -> Self {
        let level = heat.level;
        Self {
            key: StoredPrefixKey { seed, level },
            load: heat.load,
        }
    }
}

/// Costs of computing and of moving cache blocks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefixStoreCosts {
    /// Prefill rate of the engine, in tokens a second.
    pub prefill_rate: f64,
    /// Extra cost of a recomputed token relative to its prefill time.
    pub price: f64,
    /// Time to begin an import, in milliseconds.
    pub import_ms: f64,
    /// Time to read one block from the store, in milliseconds.
    pub block_ms: f64,
}

impl PrefixStoreCosts {
    /// Cost of computing `blocks` blocks, in milliseconds.
    pub fn compute(&self, blocks: u32) -> f64 {
        let tokens = f64::from(blocks) * BLOCK_TOKENS as f64;
        tokens * 1000.0 / self.prefill_rate.max(1.0) * (1.0 + self.price)
    }

    /// Time to import `blocks` blocks, in milliseconds.
    pub fn import(&self, blocks: u32) -> f64 {
        self.import_ms + self.block_ms * f64::from(blocks)
    }
}

/// Bounds of what is kept.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefixStoreOptions {
    /// Shortest prefix that is kept, in blocks.
    pub min_blocks: u32,
    /// Smallest load that makes a prefix worth keeping.
    pub min_load: f64,
    /// Blocks that the store should hold at most.
    pub store_blocks: u64,
}

impl Default for PrefixStoreOptions {
    fn default() -> Self {
        Self {
            min_blocks: 32,
            min_load: 0.02,
            store_blocks: 100_000,
        }
    }
}

/// A change of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreChange {
    /// Have an engine that holds the prefix export it.
    Export(StoredPrefixKey),
    /// Delete a prefix that is worth less than what needs its room.
    Delete(StoredPrefixKey),
}

/// Decides what to export and what to delete for it, most valuable first. `stored`
/// is what the store lists; prefixes there that are not in `hot` count as cold.
pub fn plan_store_changes(
    hot: &[HotPrefix],
    stored: &BTreeSet<StoredPrefixKey>,
    costs: &PrefixStoreCosts,
    options: &PrefixStoreOptions,
) -> Vec<StoreChange> {
    let loads: BTreeMap<StoredPrefixKey, f64> =
        hot.iter().map(|prefix| (prefix.key, prefix.load)).collect();
    let value = |key: &StoredPrefixKey| {
        let load = loads.get(key).copied().unwrap_or(0.0);
        load * costs.compute(key.level.blocks)
    };
    let wanted = hot
        .iter()
        .filter(|prefix| prefix.load >= options.min_load && is_worthwhile(prefix, costs, options))
        .map(|prefix| prefix.key);
    let mut ranked: Vec<StoredPrefixKey> = stored.iter().copied().chain(wanted).collect();
    ranked.sort_unstable();
    ranked.dedup();
    // A stored prefix wins over a new one of the same value: moving costs.
    ranked.sort_by(|a, b| {
        let by_value = value(b).total_cmp(&value(a));
        by_value.then(stored.contains(b).cmp(&stored.contains(a)))
    });
    let mut room = options.store_blocks;
    let mut changes = Vec::new();
    for key in ranked {
        let blocks = u64::from(key.level.blocks);
        let fits = blocks <= room;
        if fits {
            room -= blocks;
        }
        match (fits, stored.contains(&key)) {
            (true, false) => changes.push(StoreChange::Export(key)),
            (false, true) => changes.push(StoreChange::Delete(key)),
            (true, true) | (false, false) => {}
        }
    }
    changes
}

fn is_worthwhile(
    prefix: &HotPrefix,
    costs: &PrefixStoreCosts,
    options: &PrefixStoreOptions,
) -> bool {
    let blocks = prefix.key.level.blocks;
    blocks >= options.min_blocks && costs.import(blocks) < costs.compute(blocks)
}

/// Decides what an engine should import, most valuable first. `kept` are prefixes
/// in the store that the engine's weights can use, with their load; `cached` returns
/// how many leading blocks of a prefix the engine holds. Imports that take longer
/// than `budget_ms` together are left out.
pub fn plan_imports(
    kept: &[HotPrefix],
    cached: impl Fn(&StoredPrefixKey) -> u32,
    costs: &PrefixStoreCosts,
    budget_ms: f64,
) -> Vec<StoredPrefixKey> {
    let mut worth: Vec<(f64, StoredPrefixKey)> = kept
        .iter()
        .filter_map(|prefix| {
            Some((
                import_value(prefix, cached(&prefix.key), costs)?,
                prefix.key,
            ))
        })
        .collect();
    worth.sort_by(|a, b| b.0.total_cmp(&a.0));
    let mut left_ms = budget_ms;
    worth.retain(|(_, key)| {
        let time_ms = costs.import(key.level.blocks);
        let fits = time_ms <= left_ms;
        if fits {
            left_ms -= time_ms;
        }
        fits
    });
    worth.into_iter().map(|(_, key)| key).collect()
}

/// Saved time weighted with the load; `None` when computing is cheaper.
fn import_value(prefix: &HotPrefix, cached: u32, costs: &PrefixStoreCosts) -> Option<f64> {
    let blocks = prefix.key.level.blocks;
    let saved = costs.compute(blocks.saturating_sub(cached)) - costs.import(blocks);
    (saved > 0.0).then_some(saved * prefix.load)
}
