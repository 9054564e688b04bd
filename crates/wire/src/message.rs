//! Protocol buffer messages between nodes.
//!
//! Field numbers are part of the protocol: a number is never reused for another
//! meaning, and the number of a removed field stays unused. A receiver ignores
//! unknown fields, and a frame with an unknown payload decodes to a frame without
//! one. Durations are in milliseconds and relative to the arrival of the message,
//! since clocks differ between instances. An unknown value of an enumeration decodes
//! as value 0, which is therefore the variant that asserts the least.

use prost::{Message, Oneof};

pub use crate::call::{CallAnswer, CallForward, CallOutcome, Header};
pub use crate::heartbeat::{
    Heartbeat, InstanceRow, Instances, InstancesRequest, Leaving, MemberReport, Standing,
};
pub use crate::permit::{
    EngineDigest, EngineLoad, LivePermit, LivePermits, PermitCancel, PermitFirstToken, PermitGrant,
    PermitOutcome, PermitQueued, PermitRefuse, PermitRelease, PermitRequest, Probe, ProbeAnswer,
    ProbeAnswers, ProbeBatch, RefusalReason,
};
pub use crate::records::{
    LogRecord, Records, RecordsRequest, RecordsUnavailable, Snapshot, SnapshotRequest,
};

/// One message on a connection between two nodes.
#[derive(Clone, PartialEq, Message)]
pub struct PeerFrame {
    /// True once the sender has begun its shutdown. The flag is part of every frame,
    /// so it reaches the receiver with the next message of any kind.
    #[prost(bool, tag = "1")]
    pub leaving: bool,
    /// The message; absent if this node does not know its kind.
    #[prost(
        oneof = "Payload",
        tags = "2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23"
    )]
    pub payload: Option<Payload>,
}

/// The kinds of message. Frequent ones have field numbers below 16, which encode in
/// one byte.
#[derive(Clone, PartialEq, Oneof)]
pub enum Payload {
    /// Liveness of the sender, digest of its membership view, and relayed reports.
    #[prost(message, tag = "2")]
    Heartbeat(Heartbeat),
    /// Announces the sender's shutdown.
    #[prost(message, tag = "3")]
    Leaving(Leaving),
    /// Load queries about engines whose home is the receiver.
    #[prost(message, tag = "4")]
    ProbeBatch(ProbeBatch),
    /// Answers to probes.
    #[prost(message, tag = "5")]
    ProbeAnswers(ProbeAnswers),
    /// Requests a permit.
    #[prost(message, tag = "6")]
    PermitRequest(PermitRequest),
    /// Grants a permit.
    #[prost(message, tag = "7")]
    PermitGrant(PermitGrant),
    /// Refuses a permit, with the reason.
    #[prost(message, tag = "8")]
    PermitRefuse(PermitRefuse),
    /// Releases a permit.
    #[prost(message, tag = "9")]
    PermitRelease(PermitRelease),
    /// Permits in use, from which a new home rebuilds its state.
    #[prost(message, tag = "10")]
    LivePermits(LivePermits),
    /// Load of the engines whose home is the sender.
    #[prost(message, tag = "11")]
    EngineDigest(EngineDigest),
    /// Requests log records.
    #[prost(message, tag = "12")]
    RecordsRequest(RecordsRequest),
    /// Log records.
    #[prost(message, tag = "13")]
    Records(Records),
    /// Requests a snapshot.
    #[prost(message, tag = "14")]
    SnapshotRequest(SnapshotRequest),
    /// Part of a snapshot.
    #[prost(message, tag = "15")]
    Snapshot(Snapshot),
    /// Forwards a call to the node that is responsible for its key.
    #[prost(message, tag = "16")]
    CallForward(CallForward),
    /// Response to a forwarded call.
    #[prost(message, tag = "17")]
    CallAnswer(CallAnswer),
    /// The sender cannot serve records at the moment.
    #[prost(message, tag = "18")]
    RecordsUnavailable(RecordsUnavailable),
    /// Cancels a queued permit request.
    #[prost(message, tag = "19")]
    PermitCancel(PermitCancel),
    /// Requests the instances that the receiver knows.
    #[prost(message, tag = "20")]
    InstancesRequest(InstancesRequest),
    /// The instances that the sender knows.
    #[prost(message, tag = "21")]
    Instances(Instances),
    /// Acknowledges a permit request that is now queued.
    #[prost(message, tag = "22")]
    PermitQueued(PermitQueued),
    /// Reports the first token of a request that holds a permit.
    #[prost(message, tag = "23")]
    PermitFirstToken(PermitFirstToken),
}
