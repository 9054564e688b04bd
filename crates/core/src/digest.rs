//! Summary of one engine that its home spreads about once a second.

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// State of an engine as its home saw it at one point in time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineDigest {
    /// The engine.
    pub engine: EngineId,
    /// Life of the engine.
    pub incarnation: Incarnation,
    /// Whether the engine takes new work.
    pub serving: bool,
    /// Wait of a new request before its prefill begins, in milliseconds.
    pub wait_ms: u32,
    /// Prefill rate in tokens a second.
    pub prefill_rate: f32,
    /// Free slots.
    pub free_slots: u32,
    /// When the home made the digest.
    pub made_at: Millis,
}

impl EngineDigest {
    /// Age at `now`.
    pub fn age(&self, now: Millis) -> Millis {
        now.since(self.made_at)
    }
}
