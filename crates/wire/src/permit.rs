//! Messages between the entry node of a request and the homes of engines.

use prost::{Enumeration, Message};

/// Probes that go to one home together.
#[derive(Clone, PartialEq, Message)]
pub struct ProbeBatch {
    /// The probes.
    #[prost(message, repeated, tag = "1")]
    pub probes: Vec<Probe>,
}

/// Asks how soon an engine would give a request its first token.
#[derive(Clone, PartialEq, Message)]
pub struct Probe {
    /// Identifies the probe on this connection.
    #[prost(uint32, tag = "1")]
    pub id: u32,
    /// The engine.
    #[prost(string, tag = "2")]
    pub engine: String,
    /// The workspace that waits.
    #[prost(string, tag = "3")]
    pub workspace: String,
    /// Priority within the workspace.
    #[prost(uint32, tag = "4")]
    pub priority: u32,
    /// Tokens of the prompt.
    #[prost(uint32, tag = "5")]
    pub tokens: u32,
    /// Block hashes at the level boundaries, or of the whole chain.
    #[prost(fixed64, repeated, tag = "6")]
    pub blocks: Vec<u64>,
    /// Number of the block that each of `blocks` ends, counted from 1; empty when
    /// `blocks` is the whole chain.
    #[prost(uint32, repeated, tag = "7")]
    pub lengths: Vec<u32>,
    /// Expected cost in tokens, the answer included.
    #[prost(uint32, tag = "8")]
    pub cost: u32,
}

/// Answers to probes.
#[derive(Clone, PartialEq, Message)]
pub struct ProbeAnswers {
    /// The answers; a probe about an engine that the sender is not home of has none.
    #[prost(message, repeated, tag = "1")]
    pub answers: Vec<ProbeAnswer>,
}

/// Answer to one probe.
#[derive(Clone, PartialEq, Message)]
pub struct ProbeAnswer {
    /// Id of the probe.
    #[prost(uint32, tag = "1")]
    pub id: u32,
    /// Wait in the queue as this workspace would see it.
    #[prost(uint32, tag = "2")]
    pub wait_ms: u32,
    /// Prompt tokens that the engine would compute.
    #[prost(uint32, tag = "3")]
    pub missing_tokens: u32,
    /// Expected time to first token, wait included.
    #[prost(uint32, tag = "4")]
    pub expected_ms: u32,
    /// Incarnation of the engine.
    #[prost(uint64, tag = "5")]
    pub incarnation: u64,
}

/// Asks the home of an engine for a permit.
#[derive(Clone, PartialEq, Message)]
pub struct PermitRequest {
    /// The request; one request holds at most one permit of an engine.
    #[prost(string, tag = "1")]
    pub request: String,
    /// The engine.
    #[prost(string, tag = "2")]
    pub engine: String,
    /// Incarnation of the engine that the choice was made for; 0 when unknown.
    #[prost(uint64, tag = "3")]
    pub engine_incarnation: u64,
    /// The workspace that waits.
    #[prost(string, tag = "4")]
    pub workspace: String,
    /// Weight of the workspace.
    #[prost(double, tag = "5")]
    pub weight: f64,
    /// Priority within the workspace.
    #[prost(uint32, tag = "6")]
    pub priority: u32,
    /// Tokens of the prompt.
    #[prost(uint32, tag = "7")]
    pub prompt_tokens: u32,
    /// Block hashes of the prompt.
    #[prost(fixed64, repeated, tag = "8")]
    pub blocks: Vec<u64>,
    /// Expected tokens of the answer.
    #[prost(uint32, tag = "9")]
    pub answer_tokens: u32,
    /// Time left until the request's deadline.
    #[prost(uint64, tag = "10")]
    pub deadline_ms: u64,
    /// Number of the block that each of `blocks` ends, counted from 1; empty when
    /// `blocks` is the whole chain.
    #[prost(uint32, repeated, tag = "11")]
    pub lengths: Vec<u32>,
}

/// The home has the permit request and will answer it.
#[derive(Clone, PartialEq, Message)]
pub struct PermitQueued {
    /// The request.
    #[prost(string, tag = "1")]
    pub request: String,
}

/// What a request met at its engine, known with its first token.
#[derive(Clone, PartialEq, Message)]
pub struct PermitFirstToken {
    /// The permit.
    #[prost(uint64, tag = "1")]
    pub permit: u64,
    /// The engine.
    #[prost(string, tag = "2")]
    pub engine: String,
    /// Tokens of the prompt.
    #[prost(uint32, tag = "3")]
    pub prompt_tokens: u32,
    /// Prompt tokens that the engine found in its cache.
    #[prost(uint32, tag = "4")]
    pub cached_tokens: u32,
    /// Time from dispatch to the first token.
    #[prost(uint32, tag = "5")]
    pub first_token_ms: u32,
}

/// The engine has room for the request.
#[derive(Clone, PartialEq, Message)]
pub struct PermitGrant {
    /// The request.
    #[prost(string, tag = "1")]
    pub request: String,
    /// Identifies the permit at the home's incarnation.
    #[prost(uint64, tag = "2")]
    pub permit: u64,
    /// Prompt tokens expected in the engine's cache.
    #[prost(uint32, tag = "3")]
    pub cached_tokens: u32,
    /// Incarnation of the engine.
    #[prost(uint64, tag = "4")]
    pub engine_incarnation: u64,
    /// The engine.
    #[prost(string, tag = "5")]
    pub engine: String,
}

/// The home gives no permit.
#[derive(Clone, PartialEq, Message)]
pub struct PermitRefuse {
    /// The request.
    #[prost(string, tag = "1")]
    pub request: String,
    /// Why.
    #[prost(enumeration = "RefusalReason", tag = "2")]
    pub reason: i32,
    /// Earliest sensible time of another attempt.
    #[prost(uint64, tag = "3")]
    pub retry_after_ms: u64,
    /// The engine.
    #[prost(string, tag = "4")]
    pub engine: String,
}

/// Why a home gives no permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum RefusalReason {
    /// A reason that the reader does not know.
    Unspecified = 0,
    /// The deadline cannot be met.
    Deadline = 1,
    /// The queue is full.
    QueueFull = 2,
    /// The workspace is over its limit.
    WorkspaceLimit = 3,
    /// The receiver is not the home of the engine.
    NotHome = 4,
    /// The engine restarted since the choice was made.
    EngineRestarted = 5,
    /// The engine is leaving, suspected or unknown.
    EngineGone = 6,
}

/// The caller of a permit request has gone, or was served elsewhere.
#[derive(Clone, PartialEq, Message)]
pub struct PermitCancel {
    /// The request.
    #[prost(string, tag = "1")]
    pub request: String,
    /// The engine.
    #[prost(string, tag = "2")]
    pub engine: String,
}

/// A permit is no longer used.
#[derive(Clone, PartialEq, Message)]
pub struct PermitRelease {
    /// The permit.
    #[prost(uint64, tag = "1")]
    pub permit: u64,
    /// The engine.
    #[prost(string, tag = "2")]
    pub engine: String,
    /// How the request ended.
    #[prost(enumeration = "PermitOutcome", tag = "3")]
    pub outcome: i32,
    /// Time from the grant to the first token; 0 when there was none.
    #[prost(uint32, tag = "4")]
    pub first_token_ms: u32,
    /// Prompt tokens that the engine found in its cache.
    #[prost(uint32, tag = "5")]
    pub cached_tokens: u32,
}

/// How the use of a permit ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum PermitOutcome {
    /// An outcome that the reader does not know.
    Unspecified = 0,
    /// The whole answer arrived.
    Completed = 1,
    /// The caller went away.
    Cancelled = 2,
    /// The engine failed or refused.
    Failed = 3,
    /// The permit was not used.
    Unused = 4,
}

/// Permits of one engine that the sender uses.
#[derive(Clone, PartialEq, Message)]
pub struct LivePermits {
    /// The engine.
    #[prost(string, tag = "1")]
    pub engine: String,
    /// The permits.
    #[prost(message, repeated, tag = "2")]
    pub permits: Vec<LivePermit>,
}

/// One permit in use.
#[derive(Clone, PartialEq, Message)]
pub struct LivePermit {
    /// The request that uses it.
    #[prost(string, tag = "1")]
    pub request: String,
    /// The permit as numbered by the previous home; 0 when it came from the
    /// sender's own reserve.
    #[prost(uint64, tag = "2")]
    pub permit: u64,
    /// The workspace.
    #[prost(string, tag = "3")]
    pub workspace: String,
    /// Incarnation of the engine.
    #[prost(uint64, tag = "4")]
    pub engine_incarnation: u64,
    /// Tokens of the prompt.
    #[prost(uint32, tag = "5")]
    pub prompt_tokens: u32,
    /// Expected tokens of the answer.
    #[prost(uint32, tag = "6")]
    pub answer_tokens: u32,
    /// Time since the grant.
    #[prost(uint64, tag = "7")]
    pub age_ms: u64,
}

/// Load of the engines that the sender is home of.
#[derive(Clone, PartialEq, Message)]
pub struct EngineDigest {
    /// One entry for each engine.
    #[prost(message, repeated, tag = "1")]
    pub engines: Vec<EngineLoad>,
}

/// Load of one engine.
#[derive(Clone, PartialEq, Message)]
pub struct EngineLoad {
    /// The engine.
    #[prost(string, tag = "1")]
    pub engine: String,
    /// Its incarnation.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Wait in its queue.
    #[prost(uint32, tag = "3")]
    pub wait_ms: u32,
    /// Learnt prefill rate.
    #[prost(uint32, tag = "4")]
    pub prefill_tokens_per_s: u32,
    /// Requests in its queue.
    #[prost(uint32, tag = "5")]
    pub queued: u32,
    /// Requests that it runs.
    #[prost(uint32, tag = "6")]
    pub running: u32,
    /// Requests that it can run at once.
    #[prost(uint32, tag = "7")]
    pub slots: u32,
    /// Whether it takes new work.
    #[prost(bool, tag = "8")]
    pub serving: bool,
    /// Slots without a request.
    #[prost(uint32, tag = "9")]
    pub free: u32,
}
