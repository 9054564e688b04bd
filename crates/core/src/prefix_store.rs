//! Selects the prefixes to keep in the external KV cache store, and those to import from
//! it.
//!
//! Exporting is worthwhile for prefixes that are long and hot: the expected saving is the
//! probability of another use times the time to compute the prefix again. Importing is
//! worthwhile if reading a prefix from the store is cheaper than computing it.

use std::collections::{BTreeMap, BTreeSet};

use crate::levels::Level;
use crate::prefix::BLOCK_TOKENS;
use crate::prefix_tree::HeatLevel;
use crate::prelude::*;

/// Key of one stored prefix; covers everything that makes cache entries incompatible.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StoredPrefixKey {
    /// Seed derived from workspace, model, weights version and adapter.
    pub seed: PrefixSeed,
    /// The prefix.
    pub level: Level,
}

impl StoredPrefixKey {
    /// Formats the key as used in URLs of the store.
    pub fn to_text(&self) -> String {
        let Level { blocks, hash } = self.level;
        format!("{}-{:016x}-{blocks}", self.seed.to_hex(), hash.0)
    }

    /// Parses the output of [`StoredPrefixKey::to_text`]; `None` for any other text.
    pub fn from_text(text: &str) -> Option<Self> {
        let mut parts = text.split('-');
        let seed = PrefixSeed::from_hex(parts.next()?)?;
        let hash = BlockHash(u64::from_str_radix(parts.next()?, 16).ok()?);
        let blocks = parts.next()?.parse().ok()?;
        let key = Self {
            seed,
            level: Level { blocks, hash },
        };
        // Only the canonical form of each key is accepted.
        (key.to_text() == text).then_some(key)
    }
}

/// A prefix considered for the store, with its load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HotPrefix {
    /// Key of the prefix.
    pub key: StoredPrefixKey,
    /// Load of the requests that use it, in engines.
    pub load: f64,
}

impl HotPrefix {
    /// Creates the entry for a level of the prefix tree; `seed` is that of its prompts.
    pub fn new(seed: PrefixSeed, heat: &HeatLevel) -> Self {
        let level = heat.level;
        Self {
            key: StoredPrefixKey { seed, level },
            load: heat.load,
        }
    }
}

/// Costs of computing and of importing cache blocks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefixStoreCosts {
    /// Prefill rate of the engine, in tokens per second.
    pub prefill_rate: f64,
    /// Additional cost of a recomputed token, relative to its prefill time.
    pub price: f64,
    /// Fixed overhead of an import, in milliseconds.
    pub import_ms: f64,
    /// Time to read one block from the store, in milliseconds.
    pub block_ms: f64,
}

impl PrefixStoreCosts {
    /// Cost to compute `blocks` blocks, in milliseconds.
    pub fn compute(&self, blocks: u32) -> f64 {
        let tokens = f64::from(blocks) * BLOCK_TOKENS as f64;
        tokens * 1000.0 / self.prefill_rate.max(1.0) * (1.0 + self.price)
    }

    /// Time to import `blocks` blocks, in milliseconds.
    pub fn import(&self, blocks: u32) -> f64 {
        self.import_ms + self.block_ms * f64::from(blocks)
    }
}

/// Limits on the contents of the store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefixStoreOptions {
    /// Minimum length of a stored prefix, in blocks.
    pub min_blocks: u32,
    /// Minimum load of a prefix to be exported.
    pub min_load: f64,
    /// Maximum number of blocks in the store.
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

/// A change to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreChange {
    /// An engine that holds the prefix should export it.
    Export(StoredPrefixKey),
    /// Delete the prefix, which is less valuable than those that need its space.
    Delete(StoredPrefixKey),
}

/// Decides which prefixes to export, and which to delete to make room for them; returned
/// in order of value, highest first. `stored` is the list of the store; stored prefixes
/// that are not in `hot` have zero load.
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
    // A stored prefix is preferred to a new one of the same value, because an export has
    // a cost.
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

/// Decides which prefixes an engine should import, most valuable first. `stored` are the
/// prefixes in the store that match the weights of the engine, with their load; `cached`
/// returns how many leading blocks of a prefix the engine holds. An import that does not
/// fit into the rest of `budget_ms` is skipped.
pub fn plan_imports(
    stored: &[HotPrefix],
    cached: impl Fn(&StoredPrefixKey) -> u32,
    costs: &PrefixStoreCosts,
    budget_ms: f64,
) -> Vec<StoredPrefixKey> {
    let mut ranked: Vec<(f64, StoredPrefixKey)> = stored
        .iter()
        .filter_map(|prefix| {
            Some((
                import_value(prefix, cached(&prefix.key), costs)?,
                prefix.key,
            ))
        })
        .collect();
    ranked.sort_by(|a, b| b.0.total_cmp(&a.0));
    let mut left_ms = budget_ms;
    ranked.retain(|(_, key)| {
        let time_ms = costs.import(key.level.blocks);
        let fits = time_ms <= left_ms;
        if fits {
            left_ms -= time_ms;
        }
        fits
    });
    ranked.into_iter().map(|(_, key)| key).collect()
}

/// Time saved by the import, weighted by the load; `None` if computing is not more
/// expensive.
fn import_value(prefix: &HotPrefix, cached: u32, costs: &PrefixStoreCosts) -> Option<f64> {
    let blocks = prefix.key.level.blocks;
    let saved = costs.compute(blocks.saturating_sub(cached)) - costs.import(blocks);
    (saved > 0.0).then_some(saved * prefix.load)
}
