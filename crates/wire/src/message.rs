//! Protocol buffer messages between nodes.
//!
//! Field numbers are part of the protocol: a number is never reused for another
//! meaning, and a removed field leaves a gap. A reader ignores fields that it does
//! not know, and a frame whose payload is unknown decodes to a frame without one.
//! Spans are in milliseconds and relative to arrival, since clocks differ between
//! instances. Value 0 of each enumeration is also what an unknown value reads as,
//! so it never claims more than the sender said.

use prost::{Enumeration, Message, Oneof};

/// One message on a connection between two nodes.
#[derive(Clone, PartialEq, Message)]
pub struct PeerFrame {
    /// True once the sender has begun its shutdown; set on every frame, so that
    /// the flag travels with whatever is sent next.
    #[prost(bool, tag = "1")]
    pub leaving: bool,
    /// The message; absent when the sender speaks a newer protocol.
    #[prost(
        oneof = "Payload",
        tags = "2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23"
    )]
    pub payload: Option<Payload>,
}

/// The kinds of message. Frequent ones have numbers below 16, which encode in one
/// byte.
#[derive(Clone, PartialEq, Oneof)]
pub enum Payload {
    /// Liveness, view digest and relayed reports.
    #[prost(message, tag = "2")]
    Heartbeat(Heartbeat),
    /// The sender shuts down.
    #[prost(message, tag = "3")]
    Leaving(Leaving),
    /// Questions about the engines that the receiver is home of.
    #[prost(message, tag = "4")]
    ProbeBatch(ProbeBatch),
    /// Answers to probes.
    #[prost(message, tag = "5")]
    ProbeAnswers(ProbeAnswers),
    /// Request for a permit.
    #[prost(message, tag = "6")]
    PermitAsk(PermitAsk),
    /// A permit.
    #[prost(message, tag = "7")]
    PermitGrant(PermitGrant),
    /// No permit, and why.
    #[prost(message, tag = "8")]
    PermitRefuse(PermitRefuse),
    /// End of a permit.
    #[prost(message, tag = "9")]
    PermitRelease(PermitRelease),
    /// Permits in use, for a home that starts without state.
    #[prost(message, tag = "10")]
    PermitsLive(PermitsLive),
    /// Load of the engines that the sender is home of.
    #[prost(message, tag = "11")]
    EngineDigest(EngineDigest),
    /// Request for log records.
    #[prost(message, tag = "12")]
    RecordsWanted(RecordsWanted),
    /// Log records.
    #[prost(message, tag = "13")]
    Records(Records),
    /// Request for a snapshot.
    #[prost(message, tag = "14")]
    SnapshotWanted(SnapshotWanted),
    /// Part of a snapshot.
    #[prost(message, tag = "15")]
    Snapshot(Snapshot),
    /// A call that the receiver's keys belong to.
    #[prost(message, tag = "16")]
    CallForward(CallForward),
    /// Answer to a forwarded call.
    #[prost(message, tag = "17")]
    CallAnswer(CallAnswer),
    /// The sender serves no records now.
    #[prost(message, tag = "18")]
    RecordsBusy(RecordsBusy),
    /// The caller of a queued permit request has gone.
    #[prost(message, tag = "19")]
    PermitCancel(PermitCancel),
    /// Request for the instances that the receiver knows.
    #[prost(message, tag = "20")]
    InstancesWanted(InstancesWanted),
    /// The instances that the sender knows.
    #[prost(message, tag = "21")]
    Instances(Instances),
    /// A permit request has arrived and waits.
    #[prost(message, tag = "22")]
    PermitQueued(PermitQueued),
    /// The first token of a request that runs under a permit.
    #[prost(message, tag = "23")]
    PermitFirst(PermitFirst),
}

/// Liveness of the sender, what it holds, and what it heard of others.
#[derive(Clone, PartialEq, Message)]
pub struct Heartbeat {
    /// Incarnation of the sender.
    #[prost(uint64, tag = "1")]
    pub incarnation: u64,
    /// Refutation counter of the sender within its incarnation.
    #[prost(uint32, tag = "2")]
    pub counter: u32,
    /// True once the sender has begun its shutdown.
    #[prost(bool, tag = "3")]
    pub leaving: bool,
    /// Digest of the sender's view of all members.
    #[prost(fixed64, tag = "4")]
    pub digest: u64,
    /// Next offset that the sender needs of the control stream.
    #[prost(uint64, tag = "5")]
    pub control_offset: u64,
    /// Next offset that the sender needs of the claims stream.
    #[prost(uint64, tag = "6")]
    pub claims_offset: u64,
    /// What the sender knows of others; bounded.
    #[prost(message, repeated, tag = "7")]
    pub reports: Vec<MemberReport>,
    /// True when the receiver should answer with a heartbeat.
    #[prost(bool, tag = "8")]
    pub wants_answer: bool,
    /// An instance that the receiver should try to reach; empty for none.
    #[prost(string, tag = "9")]
    pub check: String,
}

/// What is known of one instance; the order of two reports is by incarnation,
/// counter, then standing.
#[derive(Clone, PartialEq, Message)]
pub struct MemberReport {
    /// Name of the instance.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// Its incarnation.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Its refutation counter.
    #[prost(uint32, tag = "3")]
    pub counter: u32,
    /// Its standing.
    #[prost(enumeration = "Standing", tag = "4")]
    pub standing: i32,
}

/// Standing of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum Standing {
    /// Nothing speaks against it.
    Live = 0,
    /// Silent on an open and on a fresh connection.
    Suspected = 1,
    /// In shutdown.
    Leaving = 2,
}

/// The sender shuts down and takes no new requests after a while.
#[derive(Clone, PartialEq, Message)]
pub struct Leaving {
    /// Incarnation of the sender.
    #[prost(uint64, tag = "1")]
    pub incarnation: u64,
    /// Time until the sender refuses new requests.
    #[prost(uint64, tag = "2")]
    pub serves_ms: u64,
}

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
pub struct PermitAsk {
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
pub struct PermitFirst {
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
    #[prost(enumeration = "RefuseReason", tag = "2")]
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
pub enum RefuseReason {
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
pub struct PermitsLive {
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

/// Asks for log records.
#[derive(Clone, PartialEq, Message)]
pub struct RecordsWanted {
    /// The stream.
    #[prost(string, tag = "1")]
    pub stream: String,
    /// Offset of the first record wanted.
    #[prost(uint64, tag = "2")]
    pub from: u64,
    /// Most records in one answer.
    #[prost(uint32, tag = "3")]
    pub max: u32,
}

/// Log records in the order of their offsets.
#[derive(Clone, PartialEq, Message)]
pub struct Records {
    /// The stream.
    #[prost(string, tag = "1")]
    pub stream: String,
    /// Offset that the request asked from. Offsets of a stream are consecutive, so
    /// a gap between this and the first record means that records are missing.
    #[prost(uint64, tag = "2")]
    pub first: u64,
    /// The records.
    #[prost(message, repeated, tag = "3")]
    pub records: Vec<LogRecord>,
}

/// One record of the platform's log.
#[derive(Clone, PartialEq, Message)]
pub struct LogRecord {
    /// Its position.
    #[prost(uint64, tag = "1")]
    pub offset: u64,
    /// Its unique id.
    #[prost(string, tag = "2")]
    pub id: String,
    /// When the platform took it, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "3")]
    pub time_ms: u64,
    /// Its body as JSON text.
    #[prost(bytes = "bytes", tag = "4")]
    pub body: bytes::Bytes,
}

/// No records now: the sender has given out its budget, or does not have them.
#[derive(Clone, PartialEq, Message)]
pub struct RecordsBusy {
    /// The stream.
    #[prost(string, tag = "1")]
    pub stream: String,
    /// Earliest sensible time of another attempt.
    #[prost(uint64, tag = "2")]
    pub retry_after_ms: u64,
}

/// Asks for a snapshot of what a stream's records fold to.
#[derive(Clone, PartialEq, Message)]
pub struct SnapshotWanted {
    /// The stream.
    #[prost(string, tag = "1")]
    pub stream: String,
}

/// Part of a snapshot; parts of one snapshot have equal offsets.
#[derive(Clone, PartialEq, Message)]
pub struct Snapshot {
    /// The stream.
    #[prost(string, tag = "1")]
    pub stream: String,
    /// Next offset after the records that the snapshot holds.
    #[prost(uint64, tag = "2")]
    pub offset: u64,
    /// Number of this part, from 0.
    #[prost(uint32, tag = "3")]
    pub part: u32,
    /// Number of all parts.
    #[prost(uint32, tag = "4")]
    pub parts: u32,
    /// The bytes of this part.
    #[prost(bytes = "bytes", tag = "5")]
    pub bytes: bytes::Bytes,
}

/// A call handed to the node that its key belongs to.
#[derive(Clone, PartialEq, Message)]
pub struct CallForward {
    /// Identifies the call on every hop.
    #[prost(string, tag = "1")]
    pub call: String,
    /// The workspace of the caller.
    #[prost(string, tag = "2")]
    pub workspace: String,
    /// The caller's idempotency key.
    #[prost(string, tag = "3")]
    pub key: String,
    /// HTTP method.
    #[prost(string, tag = "4")]
    pub method: String,
    /// HTTP path with query.
    #[prost(string, tag = "5")]
    pub path: String,
    /// HTTP headers in order.
    #[prost(message, repeated, tag = "6")]
    pub headers: Vec<Header>,
    /// HTTP body.
    #[prost(bytes = "bytes", tag = "7")]
    pub body: bytes::Bytes,
    /// Time left until the call's deadline.
    #[prost(uint64, tag = "8")]
    pub deadline_ms: u64,
    /// Incarnation of the receiver that the call is meant for.
    #[prost(uint64, tag = "9")]
    pub incarnation: u64,
}

/// One HTTP header.
#[derive(Clone, PartialEq, Message)]
pub struct Header {
    /// Name in lower case.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Value; not always text.
    #[prost(bytes = "bytes", tag = "2")]
    pub value: bytes::Bytes,
}

/// Answer to a forwarded call.
#[derive(Clone, PartialEq, Message)]
pub struct CallAnswer {
    /// The call.
    #[prost(string, tag = "1")]
    pub call: String,
    /// HTTP status; 0 unless answered.
    #[prost(uint32, tag = "2")]
    pub status: u32,
    /// HTTP headers in order.
    #[prost(message, repeated, tag = "3")]
    pub headers: Vec<Header>,
    /// HTTP body.
    #[prost(bytes = "bytes", tag = "4")]
    pub body: bytes::Bytes,
    /// What became of the call.
    #[prost(enumeration = "CallOutcome", tag = "5")]
    pub outcome: i32,
    /// True when the sender did not take the call, because it was meant for another
    /// incarnation.
    #[prost(bool, tag = "6")]
    pub refused: bool,
}

/// What became of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum CallOutcome {
    /// It may or may not have run.
    Unknown = 0,
    /// The service answered.
    Answered = 1,
    /// It was never sent and never will be.
    NotRun = 2,
}

/// Asks for the instances that the receiver knows.
#[derive(Clone, PartialEq, Message)]
pub struct InstancesWanted {
    /// The sender, which the platform's list may not show yet.
    #[prost(message, optional, tag = "1")]
    pub sender: Option<InstanceRow>,
}

/// The entry instances that the sender knows, for nodes that started while the
/// platform's instance list was out of reach.
#[derive(Clone, PartialEq, Message)]
pub struct Instances {
    /// The instances.
    #[prost(message, repeated, tag = "1")]
    pub instances: Vec<InstanceRow>,
    /// The platform's list as the sender read it last, as JSON.
    #[prost(bytes = "bytes", tag = "2")]
    pub listed: bytes::Bytes,
}

/// One entry instance.
#[derive(Clone, PartialEq, Message)]
pub struct InstanceRow {
    /// Its name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Address for callers as `ip:port`.
    #[prost(string, tag = "2")]
    pub address: String,
    /// Address for nodes as `ip:port`.
    #[prost(string, tag = "3")]
    pub peer_address: String,
    /// Its availability zone.
    #[prost(string, tag = "4")]
    pub zone: String,
    /// Whether the list shows it as leaving.
    #[prost(bool, tag = "5")]
    pub leaving: bool,
}
