//! Identity of prompt prefixes as chained block hashes.
//!
//! A prompt is cut into blocks of a fixed number of bytes. The hash of a block
//! covers the hash of the one before it, and the first block covers a seed made
//! from everything that makes cache entries incompatible: workspace, model,
//! weights version and adapter. Equal hashes therefore imply equal prefixes with equal
//! seeds.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::{ModelName, WeightsVersion, WorkspaceId};

/// Bytes of prompt text that count as one token where no tokenizer is available.
pub const BYTES_PER_TOKEN: usize = 4;

/// Tokens in one cache block.
pub const BLOCK_TOKENS: usize = 16;

/// Bytes in one cache block.
pub const BLOCK_BYTES: usize = BYTES_PER_TOKEN * BLOCK_TOKENS;

/// Hash of a prefix that ends at a block boundary.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct BlockHash(pub u64);

/// Seed of a block hash chain; also sent to engines as cache salt, so that their caches
/// are not shared between workspaces or versions.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PrefixSeed([u8; 16]);

impl PrefixSeed {
    /// Derives the seed for a workspace, model, weights version and adapter.
    pub fn new(
        workspace: &WorkspaceId,
        model: &ModelName,
        weights: &WeightsVersion,
        adapter: Option<&str>,
    ) -> Self {
        let mut sha = Sha256::new();
        let parts = [
            workspace.as_str(),
            model.as_str(),
            weights.as_str(),
            adapter.unwrap_or(""),
        ];
        for part in parts {
            // The length prefix distinguishes ("ab", "c") from ("a", "bc").
            sha.update((part.len() as u64).to_be_bytes());
            sha.update(part.as_bytes());
        }
        let mut seed = [0; 16];
        seed.copy_from_slice(&sha.finalize()[..16]);
        Self(seed)
    }

    /// Formats the seed as 32 hexadecimal digits, as sent to engines.
    pub fn to_hex(self) -> String {
        hex::encode(self.0)
    }

    /// Parses the output of [`PrefixSeed::to_hex`].
    pub fn from_hex(text: &str) -> Option<Self> {
        let mut seed = [0; 16];
        hex::decode_to_slice(text, &mut seed).ok()?;
        Some(Self(seed))
    }

    fn start(self) -> u64 {
        xxh3_64_with_seed(&self.0, 0)
    }
}

impl fmt::Debug for PrefixSeed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "PrefixSeed({})", self.to_hex())
    }
}

/// Block hashes of one prompt, in order. A partial last block is not hashed, because
/// engines cache only whole blocks.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PrefixChain {
    /// One hash per whole block.
    pub blocks: Vec<BlockHash>,
    /// Tokens in the whole prompt, including the partial block.
    pub tokens: u32,
}

impl PrefixChain {
    /// Hashes `prompt`, starting from `seed`.
    pub fn new(seed: PrefixSeed, prompt: &[u8]) -> Self {
        let mut parent = seed.start();
        let mut blocks = Vec::with_capacity(prompt.len() / BLOCK_BYTES);
        for block in prompt.chunks_exact(BLOCK_BYTES) {
            parent = xxh3_64_with_seed(block, parent);
            blocks.push(BlockHash(parent));
        }
        let tokens = prompt.len().div_ceil(BYTES_PER_TOKEN) as u32;
        Self { blocks, tokens }
    }

    /// Number of tokens after the first `cached` blocks.
    pub fn missing_tokens(&self, cached: usize) -> u32 {
        self.tokens.saturating_sub((cached * BLOCK_TOKENS) as u32)
    }
}
