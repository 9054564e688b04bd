//! Permits: the right of an entry node to run one request on one engine.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::prelude::*;

/// Identifies a permit; unique over all nodes that issue permits.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct PermitId(pub u64);

/// Issues permit identifiers.
#[derive(Clone, Debug)]
pub struct PermitIds {
    next: u64,
}

impl PermitIds {
    /// Identifiers for one issuer; issuers with different seeds do not collide.
    pub fn new(seed: u64) -> Self {
        // Half of the range is left above the start, so that counting never wraps.
        let next = xxh3_64(&seed.to_le_bytes()) >> 1;
        Self { next }
    }

    /// The next identifier; later ones are larger.
    pub fn issue(&mut self) -> PermitId {
        self.next += 1;
        PermitId(self.next)
    }
}

/// One life of an entry node.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EntryRef {
    /// Instance that the node runs on.
    pub instance: InstanceId,
    /// Life of the node; a permit ends with it.
    pub incarnation: Incarnation,
}

/// A permit in use, as its entry node reports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LivePermit {
    /// The permit.
    pub permit: PermitId,
    /// The request that runs under it.
    pub request: RequestId,
    /// Life of the engine that the permit is for.
    pub incarnation: Incarnation,
}

/// What a request met at its engine, known with its first token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefillStats {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the prompt that were in the engine's cache.
    pub cached_tokens: u32,
    /// Span from dispatch to the first token.
    pub first_token: Millis,
}

impl PrefillStats {
    /// Tokens that the engine had to compute.
    pub fn computed_tokens(&self) -> u32 {
        self.prompt_tokens.saturating_sub(self.cached_tokens)
    }
}
