//! Copies of the store's topics, for a node that cannot read the store.

use prost::Message;

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
    /// Records of the operator topic that are in force.
    #[prost(message, repeated, tag = "1")]
    pub operator: Vec<Record>,
    /// Offset after the last record of the operator topic that was read.
    #[prost(uint64, tag = "2")]
    pub operator_end: u64,
    /// Endpoint entries.
    #[prost(message, repeated, tag = "3")]
    pub endpoints: Vec<Record>,
    /// Time since the copy of the entries was last known to be current, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub endpoints_age_ms: u64,
}

/// A record with a key.
#[derive(Clone, PartialEq, Message)]
pub struct Record {
    /// Its key.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Its value, unchanged from the store.
    #[prost(bytes = "bytes", tag = "2")]
    pub value: bytes::Bytes,
    /// Its offset.
    #[prost(uint64, tag = "3")]
    pub offset: u64,
}
