//! Messages about the instances of a fleet.

use prost::{Enumeration, Message};

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

/// Asks for the instances that the receiver knows.
#[derive(Clone, PartialEq, Message)]
pub struct InstancesRequest {
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
