//! Messages to and from the home of an engine.

use serde::{Deserialize, Serialize};

use crate::levels::Level;
use crate::permit::{EntryRef, LivePermit, PermitId, PrefillStats};
use crate::prefix_model::CacheEvent;
use crate::prelude::*;

/// The properties of a prompt that routing depends on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Prompt {
    /// Levels of its block chain, shortest first.
    pub levels: Vec<Level>,
    /// Tokens in the whole prompt.
    pub tokens: u32,
}

/// A request for a permit on an engine; also sent as a probe.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// The entry node that sends the request.
    pub entry: EntryRef,
    /// Id of the request to run.
    #[serde(rename = "request")]
    pub id: RequestId,
    /// The workspace that the work is charged to.
    pub workspace: WorkspaceId,
    /// Weight of the workspace relative to others.
    pub weight: f64,
    /// Requests with a higher value go first within the workspace.
    pub priority: u8,
    /// The prompt.
    pub prompt: Prompt,
    /// Expected tokens of the answer.
    pub answer_tokens: u32,
    /// Time left until the first token is due.
    pub within: Millis,
}

/// State that an engine reports, with a lag.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Incarnation of the engine.
    pub incarnation: Incarnation,
    /// Weights that the engine serves.
    pub weights: WeightsVersion,
    /// Requests that the engine runs concurrently.
    pub slots: u32,
    /// Capacity of its cache, in blocks.
    pub capacity_blocks: u32,
    /// Prefill rate that the engine reports, in tokens per second.
    pub prefill_rate: f64,
    /// True while the engine drains and accepts no new work.
    pub draining: bool,
}

/// Input to a home.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// A node considers the engine for a request.
    Probe(PermitRequest),
    /// A node requests a permit.
    PermitRequest(PermitRequest),
    /// The first token of a request arrived at its entry node.
    FirstToken {
        /// The permit that the request runs under.
        permit: PermitId,
        /// Token counts and latency of its prefill.
        observed: PrefillStats,
    },
    /// A request ended, successfully or not.
    Release {
        /// The permit that it ran under.
        permit: PermitId,
        /// Token counts and latency of its prefill; `None` if it ended before its first
        /// token.
        observed: Option<PrefillStats>,
    },
    /// A node no longer wants a permit for the request, granted or not.
    Cancel {
        /// The node that sent the request.
        entry: EntryRef,
        /// The request.
        request: RequestId,
    },
    /// The engine reported its state.
    Load(EngineLoad),
    /// The engine reported changes of its cache.
    CacheEvents {
        /// Incarnation of the engine that reported them.
        incarnation: Incarnation,
        /// The changes, ordered by sequence number.
        events: Vec<CacheEvent>,
    },
    /// The engine was observed in this incarnation, for instance in a response header.
    EngineSeen(Incarnation),
    /// The engine is lost.
    EngineGone,
    /// The engine is leaving: it finishes its work and accepts no more.
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
    /// False if the engine is leaving or lost.
    pub available: bool,
    /// Wait before the prefill begins, in milliseconds.
    pub wait_ms: u32,
    /// Tokens of the prompt that must be computed.
    pub missing_tokens: u32,
    /// Expected time to the first token, in milliseconds.
    pub expected_ms: u32,
}

/// Why a permit was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The first token would be too late.
    Deadline,
    /// The engine accepts no more work.
    Leaving,
    /// The engine is lost.
    Gone,
    /// Too many requests wait.
    Full,
    /// Another node holds or waits for a permit for the same request.
    Duplicate,
    /// A later incarnation of the entry node is known.
    OldEntry,
}

/// A permit for one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The node that sent the request.
    pub entry: EntryRef,
    /// The request.
    pub request: RequestId,
    /// The permit.
    pub permit: PermitId,
    /// Incarnation of the engine that the permit is for.
    pub incarnation: Incarnation,
    /// Tokens that the engine is expected to find in its cache.
    pub cached_tokens: u32,
}

/// A refused request for a permit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// The node that sent the request.
    pub entry: EntryRef,
    /// The request.
    pub request: RequestId,
    /// Why the permit was refused.
    pub reason: RefusalReason,
    /// Time after which a retry may succeed.
    pub retry_after: Millis,
}

/// Message that the node of a home sends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Answer to a probe.
    Probe {
        /// The node that sent the probe.
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
