//! What a node knows of the store's topics, for one that cannot read them.

use prost::Message;

/// A node's copies of both topics.
#[derive(Clone, PartialEq, Message)]
pub struct Knowledge {
    /// Records of the operator that are in force.
    #[prost(message, repeated, tag = "1")]
    pub operator: Vec<Record>,
    /// Offset behind the last record of the operator that was read.
    #[prost(uint64, tag = "2")]
    pub operator_end: u64,
    /// Entries of endpoints.
    #[prost(message, repeated, tag = "3")]
    pub endpoints: Vec<Record>,
    /// Milliseconds since the store is known to have held no newer entries.
    #[prost(uint64, tag = "4")]
    pub endpoints_age_ms: u64,
}

/// A record with a key.
#[derive(Clone, PartialEq, Message)]
pub struct Record {
    /// Its key.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Its value as it stands in the store.
    #[prost(bytes = "bytes", tag = "2")]
    pub value: bytes::Bytes,
    /// Its offset.
    #[prost(uint64, tag = "3")]
    pub offset: u64,
}
