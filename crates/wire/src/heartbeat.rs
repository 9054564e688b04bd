//! Membership messages.

use prost::{Enumeration, Message};

/// State of the sender, its log offsets, and its reports about other instances.
#[derive(Clone, PartialEq, Message)]
pub struct Heartbeat {
    /// Incarnation of the sender.
    #[prost(uint64, tag = "1")]
    pub incarnation: u64,
    /// Counter within the incarnation that the sender increases to refute a suspicion.
    #[prost(uint32, tag = "2")]
    pub counter: u32,
    /// True once the sender has begun its shutdown.
    #[prost(bool, tag = "3")]
    pub leaving: bool,
    /// Digest of the sender's membership view.
    #[prost(fixed64, tag = "4")]
    pub digest: u64,
    /// Next offset of the control stream that the sender needs.
    #[prost(uint64, tag = "5")]
    pub control_offset: u64,
    /// Next offset of the claims stream that the sender needs.
    #[prost(uint64, tag = "6")]
    pub claims_offset: u64,
    /// Reports about other instances; the sender limits their number.
    #[prost(message, repeated, tag = "7")]
    pub reports: Vec<MemberReport>,
    /// True if the receiver should respond with a heartbeat.
    #[prost(bool, tag = "8")]
    pub wants_answer: bool,
    /// Instance that the receiver should check by connecting to it; empty for none.
    #[prost(string, tag = "9")]
    pub check: String,
}

/// State of one instance. Of two reports about an instance, the one with the greater
/// incarnation, counter and standing, compared in this order, takes precedence.
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

/// Standing of an instance in the membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum Standing {
    /// Not suspected and not in shutdown.
    Live = 0,
    /// Does not respond on the open connection nor on a new one.
    Suspected = 1,
    /// Shutting down.
    Leaving = 2,
}

/// Announces that the sender shuts down. It accepts new requests for
/// [`serves_ms`](Self::serves_ms).
#[derive(Clone, PartialEq, Message)]
pub struct Leaving {
    /// Incarnation of the sender.
    #[prost(uint64, tag = "1")]
    pub incarnation: u64,
    /// Time until the sender refuses new requests, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub serves_ms: u64,
}

/// Requests the entry instances that the receiver knows.
#[derive(Clone, PartialEq, Message)]
pub struct InstancesRequest {
    /// The sender, which the platform's instance list may not include yet.
    #[prost(message, optional, tag = "1")]
    pub sender: Option<InstanceRow>,
}

/// The entry instances that the sender knows, for nodes that started while the
/// platform's instance list was unavailable.
#[derive(Clone, PartialEq, Message)]
pub struct Instances {
    /// The instances.
    #[prost(message, repeated, tag = "1")]
    pub instances: Vec<InstanceRow>,
    /// The platform's instance list as last read by the sender, in JSON.
    #[prost(bytes = "bytes", tag = "2")]
    pub listed: bytes::Bytes,
}

/// One entry instance.
#[derive(Clone, PartialEq, Message)]
pub struct InstanceRow {
    /// Its name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Address of its callers' port as `ip:port`.
    #[prost(string, tag = "2")]
    pub address: String,
    /// Address of its peer port as `ip:port`.
    #[prost(string, tag = "3")]
    pub peer_address: String,
    /// Its availability zone.
    #[prost(string, tag = "4")]
    pub zone: String,
    /// True if the platform's instance list shows it as leaving.
    #[prost(bool, tag = "5")]
    pub leaving: bool,
}
