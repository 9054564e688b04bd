//! Messages between the entry node of a request and the homes of engines. The home of
//! an engine is the node that issues permits for it.

use prost::{Enumeration, Message};

/// Batch of probes for one home.
#[derive(Clone, PartialEq, Message)]
pub struct ProbeBatch {
    /// The probes.
    #[prost(message, repeated, tag = "1")]
    pub probes: Vec<Probe>,
}

/// Asks how soon an engine would return the first token of a request.
#[derive(Clone, PartialEq, Message)]
pub struct Probe {
    /// Id of the probe, unique on this connection.
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
    /// Expected cost in tokens, including the answer.
    #[prost(uint32, tag = "8")]
    pub cost: u32,
}

/// Responses to probes.
#[derive(Clone, PartialEq, Message)]
pub struct ProbeAnswers {
    /// The responses. Probes for engines whose home is another node get none.
    #[prost(message, repeated, tag = "1")]
    pub answers: Vec<ProbeAnswer>,
}

/// Response to one probe.
#[derive(Clone, PartialEq, Message)]
pub struct ProbeAnswer {
    /// Id of the probe.
    #[prost(uint32, tag = "1")]
    pub id: u32,
    /// Expected wait in the queue for the probe's workspace, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub wait_ms: u32,
    /// Prompt tokens that the engine would have to compute.
    #[prost(uint32, tag = "3")]
    pub missing_tokens: u32,
    /// Expected time to the first token in milliseconds, including the wait.
    #[prost(uint32, tag = "4")]
    pub expected_ms: u32,
    /// Incarnation of the engine.
    #[prost(uint64, tag = "5")]
    pub incarnation: u64,
}

/// Requests a permit from the home of an engine.
#[derive(Clone, PartialEq, Message)]
pub struct PermitRequest {
    /// Id of the request; one request holds at most one permit per engine.
    #[prost(string, tag = "1")]
    pub request: String,
    /// The engine.
    #[prost(string, tag = "2")]
    pub engine: String,
    /// Incarnation of the engine that the sender chose; 0 if unknown.
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
    /// Time left until the request's deadline, in milliseconds.
    #[prost(uint64, tag = "10")]
    pub deadline_ms: u64,
    /// Number of the block that each of `blocks` ends, counted from 1; empty when
    /// `blocks` is the whole chain.
    #[prost(uint32, repeated, tag = "11")]
    pub lengths: Vec<u32>,
}

/// Acknowledges a permit request that the home has queued and will answer.
#[derive(Clone, PartialEq, Message)]
pub struct PermitQueued {
    /// The request.
    #[prost(string, tag = "1")]
    pub request: String,
}

/// Prefill statistics of a request, sent when its first token has arrived.
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
    /// Time from dispatch to the first token, in milliseconds.
    #[prost(uint32, tag = "5")]
    pub first_token_ms: u32,
}

/// Grants a permit for a request.
#[derive(Clone, PartialEq, Message)]
pub struct PermitGrant {
    /// The request.
    #[prost(string, tag = "1")]
    pub request: String,
    /// Id of the permit, unique within the home's incarnation.
    #[prost(uint64, tag = "2")]
    pub permit: u64,
    /// Prompt tokens that are expected to be in the engine's cache.
    #[prost(uint32, tag = "3")]
    pub cached_tokens: u32,
    /// Incarnation of the engine.
    #[prost(uint64, tag = "4")]
    pub engine_incarnation: u64,
    /// The engine.
    #[prost(string, tag = "5")]
    pub engine: String,
}

/// Refuses a permit.
#[derive(Clone, PartialEq, Message)]
pub struct PermitRefuse {
    /// The request.
    #[prost(string, tag = "1")]
    pub request: String,
    /// Reason of the refusal.
    #[prost(enumeration = "RefusalReason", tag = "2")]
    pub reason: i32,
    /// Time to wait before the next attempt, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub retry_after_ms: u64,
    /// The engine.
    #[prost(string, tag = "4")]
    pub engine: String,
}

/// Why a home refuses a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum RefusalReason {
    /// A reason that the receiver does not know.
    Unspecified = 0,
    /// The deadline cannot be met.
    Deadline = 1,
    /// The queue is full.
    QueueFull = 2,
    /// The workspace has reached its limit.
    WorkspaceLimit = 3,
    /// The receiver is not the home of the engine.
    NotHome = 4,
    /// The engine has restarted since the sender chose it.
    EngineRestarted = 5,
    /// The engine is leaving, suspected or unknown.
    EngineGone = 6,
}

/// Cancels a permit request whose caller disconnected or was served elsewhere.
#[derive(Clone, PartialEq, Message)]
pub struct PermitCancel {
    /// The request.
    #[prost(string, tag = "1")]
    pub request: String,
    /// The engine.
    #[prost(string, tag = "2")]
    pub engine: String,
}

/// Releases a permit.
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
    /// Time from the grant to the first token in milliseconds; 0 if there was none.
    #[prost(uint32, tag = "4")]
    pub first_token_ms: u32,
    /// Prompt tokens that the engine found in its cache.
    #[prost(uint32, tag = "5")]
    pub cached_tokens: u32,
}

/// How a request with a permit ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum PermitOutcome {
    /// An outcome that the receiver does not know.
    Unspecified = 0,
    /// The whole answer arrived.
    Completed = 1,
    /// The caller disconnected.
    Cancelled = 2,
    /// The engine failed or refused the request.
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
    /// Id of the permit at the previous home; 0 if it came from the sender's own
    /// reserve.
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
    /// Time since the grant, in milliseconds.
    #[prost(uint64, tag = "7")]
    pub age_ms: u64,
}

/// Load of the engines whose home is the sender.
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
    /// Expected wait in its queue, in milliseconds.
    #[prost(uint32, tag = "3")]
    pub wait_ms: u32,
    /// Estimated prefill rate, in tokens per second.
    #[prost(uint32, tag = "4")]
    pub prefill_tokens_per_s: u32,
    /// Requests in its queue.
    #[prost(uint32, tag = "5")]
    pub queued: u32,
    /// Requests that it runs.
    #[prost(uint32, tag = "6")]
    pub running: u32,
    /// Requests that it can run concurrently.
    #[prost(uint32, tag = "7")]
    pub slots: u32,
    /// True if it accepts new requests.
    #[prost(bool, tag = "8")]
    pub serving: bool,
    /// Unused slots.
    #[prost(uint32, tag = "9")]
    pub free: u32,
}
