//! Protocol buffer messages between nodes.
//!
//! Field numbers are part of the protocol: a number is never reused for another
//! meaning, and a removed field leaves a gap. A reader ignores fields that it does
//! not know, and a frame whose payload is unknown decodes to a frame without one.
//! Spans are in milliseconds and relative to arrival, since clocks differ between
//! instances. Value 0 of each enumeration is also what an unknown value reads as,
//! so it never claims more than the sender said.

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
    PermitRequest(PermitRequest),
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
    LivePermits(LivePermits),
    /// Load of the engines that the sender is home of.
    #[prost(message, tag = "11")]
    EngineDigest(EngineDigest),
    /// Request for log records.
    #[prost(message, tag = "12")]
    RecordsRequest(RecordsRequest),
    /// Log records.
    #[prost(message, tag = "13")]
    Records(Records),
    /// Request for a snapshot.
    #[prost(message, tag = "14")]
    SnapshotRequest(SnapshotRequest),
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
    RecordsUnavailable(RecordsUnavailable),
    /// The caller of a queued permit request has gone.
    #[prost(message, tag = "19")]
    PermitCancel(PermitCancel),
    /// Request for the instances that the receiver knows.
    #[prost(message, tag = "20")]
    InstancesRequest(InstancesRequest),
    /// The instances that the sender knows.
    #[prost(message, tag = "21")]
    Instances(Instances),
    /// A permit request has arrived and waits.
    #[prost(message, tag = "22")]
    PermitQueued(PermitQueued),
    /// The first token of a request that runs under a permit.
    #[prost(message, tag = "23")]
    PermitFirstToken(PermitFirstToken),
}
