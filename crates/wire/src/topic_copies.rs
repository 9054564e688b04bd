//! Copies of the store's topics, which nodes get from each other.

use prost::Message;

/// What a node asks of another one.
#[derive(Clone, PartialEq, Message)]
pub struct CopiesRequest {
    /// Records of the operator topic that the asking node has in force.
    #[prost(message, repeated, tag = "1")]
    pub known: Vec<KnownRecord>,
    /// True if it wants the endpoint entries as well.
    #[prost(bool, tag = "2")]
    pub endpoints: bool,
}

/// A record that a node has.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct KnownRecord {
    /// Its key.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Its offset.
    #[prost(uint64, tag = "2")]
    pub offset: u64,
}

/// What a node sends before its copies.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct CopiesHead {
    /// Size of the encoded [`TopicCopies`] that follow, in bytes.
    #[prost(uint64, tag = "1")]
    pub bytes: u64,
    /// True if none follow because the node serves too many others now.
    #[prost(bool, tag = "2")]
    pub busy: bool,
}

/// A node's copies of the operator topic and the endpoint entries.
#[derive(Clone, PartialEq, Message)]
pub struct TopicCopies {
    /// Records of the operator topic that are in force and newer than those that the
    /// asking node has.
    #[prost(message, repeated, tag = "1")]
    pub operator: Vec<Record>,
    /// Offset after the last record of the operator topic that was read.
    #[prost(uint64, tag = "2")]
    pub operator_end: u64,
    /// Endpoint entries, if they were asked for.
    #[prost(message, repeated, tag = "3")]
    pub endpoints: Vec<Record>,
    /// Time since the copy of the entries was last known to be current, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub endpoints_age_ms: u64,
    /// The same for the operator topic.
    #[prost(uint64, tag = "5")]
    pub operator_age_ms: u64,
}

/// A record with a key.
#[derive(Clone, PartialEq, Message)]
pub struct Record {
    /// Its key.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Its value, unchanged from the store unless `packing` says otherwise.
    #[prost(bytes = "bytes", tag = "2")]
    pub value: bytes::Bytes,
    /// Its offset.
    #[prost(uint64, tag = "3")]
    pub offset: u64,
    /// How the value is compressed; absent if it is not.
    #[prost(message, optional, tag = "4")]
    pub packing: Option<Packing>,
}

/// Compression of a value with zstd.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Packing {
    /// Offset of the record of the same key whose value is the base; absent if there is
    /// none.
    #[prost(uint64, optional, tag = "1")]
    pub base: Option<u64>,
}
