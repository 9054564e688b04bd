//! Prefix levels: a few block boundaries that represent the whole chain of a prompt.
//!
//! Nodes exchange levels instead of all block hashes, which keeps probes small. A list
//! of levels is ordered from the shortest prefix to the longest. A list with one level
//! for each block is exact and valid wherever levels are accepted.

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Maximum number of levels that [`geometric`] returns.
pub const MAX_LEVELS: usize = 16;

/// A prefix of a prompt that ends at a block boundary.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Level {
    /// Blocks in the prefix.
    pub blocks: u32,
    /// Hash of the last block, which covers all blocks before it.
    pub hash: BlockHash,
}

/// Returns a level for every block of the chain.
pub fn all(chain: &PrefixChain) -> Vec<Level> {
    (1..=chain.blocks.len() as u32)
        .filter_map(|blocks| at(chain, blocks))
        .collect()
}

/// Returns levels at powers of two and at the end of the chain, shortest first. If there
/// are more than [`MAX_LEVELS`], the shortest ones are dropped.
pub fn geometric(chain: &PrefixChain) -> Vec<Level> {
    let length = chain.blocks.len() as u32;
    let mut levels: Vec<Level> = (0..u32::BITS)
        .map(|power| 1u32 << power)
        .take_while(|&blocks| blocks < length)
        .filter_map(|blocks| at(chain, blocks))
        .collect();
    levels.extend(at(chain, length));
    let excess = levels.len().saturating_sub(MAX_LEVELS);
    levels.split_off(excess)
}

/// Returns the level that ends after `blocks` blocks; `None` if the chain has no such
/// block.
pub fn at(chain: &PrefixChain, blocks: u32) -> Option<Level> {
    let last = blocks.checked_sub(1)?;
    let hash = *chain.blocks.get(last as usize)?;
    Some(Level { blocks, hash })
}
