//! What an engine's home is told and what it answers.

use serde::{Deserialize, Serialize};

use crate::levels::Level;
use crate::permit::{EntryRef, LivePermit, PermitId, PrefillStats};
use crate::prefix_model::CacheEvent;
use crate::prelude::*;

/// A prompt as far as routing needs to know it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Prompt {
    /// Levels of its block chain, shortest first.
    pub levels: Vec<Level>,
    /// Tokens in the whole prompt.
    pub tokens: u32,
}

/// A request that probes an engine or asks for a permit on it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ask {
    /// The node that asks.
    pub entry: EntryRef,
    /// The request.
    pub request: RequestId,
    /// The workspace that the work is accounted to.
    pub workspace: WorkspaceId,
    /// Share of the workspace relative to others.
    pub weight: f64,
    /// Larger goes first within the workspace.
    pub priority: u8,
    /// The prompt.
    pub prompt: Prompt,
    /// Expected tokens of the answer.
    pub answer_tokens: u32,
    /// Time left for the first token.
    pub within: Millis,
}

/// State that an engine reports of itself, with a lag.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Life of the engine.
    pub incarnation: Incarnation,
    /// Weights that it serves.
    pub weights: WeightsVersion,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Blocks that its cache holds.
    pub capacity_blocks: u32,
    /// Prefill rate that it claims, in tokens a second.
    pub prefill_rate: f64,
    /// True when it drains and takes no new work.
    pub draining: bool,
}

/// Input of a home.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// A node considers the engine for a request.
    Probe(Ask),
    /// A node asks for a permit.
    Ask(Ask),
    /// The first token of a request arrived at its entry node.
    FirstToken {
        /// The permit that the request runs under.
        permit: PermitId,
        /// What the request met.
        observed: PrefillStats,
    },
    /// A request ended, well or not.
    Release {
        /// The permit that it ran under.
        permit: PermitId,
        /// What it met; `None` if it ended before its first token.
        observed: Option<PrefillStats>,
    },
    /// A node no longer wants a permit for the request, granted or not.
    Cancel {
        /// The node that asked.
        entry: EntryRef,
        /// The request.
        request: RequestId,
    },
    /// The engine reported its state.
    Load(EngineLoad),
    /// The engine reported changes of its cache.
    CacheEvents {
        /// Life of the engine that reported them.
        incarnation: Incarnation,
        /// The changes in order of their sequence numbers.
        events: Vec<CacheEvent>,
    },
    /// The engine was seen in this incarnation, for instance in an answer's header.
    EngineSeen(Incarnation),
    /// The engine is lost.
    EngineGone,
    /// The engine is leaving: it finishes its work and takes no more.
    EngineLeaving,
    /// An entry node, in this or an earlier incarnation, is lost.
    EntryGone(EntryRef),
    /// An entry node reports its permits on the engine to a new home.
    Rebuild {
        /// The node that holds the permits.
        entry: EntryRef,
        /// The permits.
        permits: Vec<LivePermit>,
    },
    /// Time passed.
    Tick,
}

/// Answer to a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbeAnswer {
    /// False when the engine is leaving or lost.
    pub available: bool,
    /// Wait before the prefill begins, in milliseconds.
    pub wait_ms: u32,
    /// Tokens of the prompt that must be computed.
    pub missing_tokens: u32,
    /// Time to the first token, in milliseconds.
    pub expected_ms: u32,
}

/// Why a permit was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The first token would come too late.
    Deadline,
    /// The engine takes no more work.
    Leaving,
    /// The engine is lost.
    Gone,
    /// Too many requests wait.
    Full,
    /// Another node holds or awaits a permit for the same request.
    Duplicate,
    /// A later incarnation of the entry node is known.
    OldEntry,
}

/// A permit for one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The node that asked.
    pub entry: EntryRef,
    /// The request.
    pub request: RequestId,
    /// The permit.
    pub permit: PermitId,
    /// Life of the engine that the permit is for.
    pub incarnation: Incarnation,
    /// Tokens that the engine is expected to find in its cache.
    pub cached_tokens: u32,
}

/// A refused request for a permit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// The node that asked.
    pub entry: EntryRef,
    /// The request.
    pub request: RequestId,
    /// Why.
    pub reason: RefusalReason,
    /// Time after which asking again may succeed.
    pub retry_after: Millis,
}

/// What a home asks its node to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Answer to a probe.
    Probe {
        /// The node that probed.
        entry: EntryRef,
        /// The request.
        request: RequestId,
        /// The answer.
        answer: ProbeAnswer,
    },
    /// A granted permit.
    Grant(Grant),
    /// A refused permit.
    Refuse(Refusal),
}
