//! Conversions between wire messages and core types.

use flamingolock_core::prelude::*;

use crate::message::{Payload, PeerFrame};

/// Block hashes as they travel.
pub fn hash_words(blocks: &[BlockHash]) -> Vec<u64> {
    blocks.iter().map(|block| block.0).collect()
}

/// Block hashes from what arrived.
pub fn block_hashes(words: &[u64]) -> Vec<BlockHash> {
    words.iter().copied().map(BlockHash).collect()
}

/// The prefix chain that a permit request or a probe with a whole chain carries.
pub fn prefix_chain(words: &[u64], tokens: u32) -> PrefixChain {
    PrefixChain {
        blocks: block_hashes(words),
        tokens,
    }
}

/// A span as a 32-bit number of milliseconds, capped at the largest one.
pub fn millis_u32(span: Millis) -> u32 {
    u32::try_from(span.0).unwrap_or(u32::MAX)
}

impl From<Payload> for PeerFrame {
    fn from(payload: Payload) -> Self {
        Self {
            leaving: false,
            payload: Some(payload),
        }
    }
}
