//! Summary of one engine that its home sends to other nodes about once a second.

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// State of an engine as known to its home at one point in time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineDigest {
    /// The engine.
    pub engine: EngineId,
    /// Incarnation of the engine.
    pub incarnation: Incarnation,
    /// Whether the engine accepts new work.
    pub serving: bool,
    /// Wait of a new request before its prefill begins, in milliseconds.
    pub wait_ms: u32,
    /// Prefill rate, in tokens per second.
    pub prefill_rate: f32,
    /// Number of slots without a permit.
    pub free_slots: u32,
    /// When the digest was made, or when it arrived from another node.
    pub made_at: Millis,
}

impl EngineDigest {
    /// Returns the age of the digest at `now`.
    pub fn age(&self, now: Millis) -> Millis {
        now.since(self.made_at)
    }
}
