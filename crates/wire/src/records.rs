//! Messages that transfer log records and snapshots between nodes.

use prost::Message;

/// Requests log records.
#[derive(Clone, PartialEq, Message)]
pub struct RecordsRequest {
    /// The stream.
    #[prost(string, tag = "1")]
    pub stream: String,
    /// Offset of the first requested record.
    #[prost(uint64, tag = "2")]
    pub from: u64,
    /// Maximum number of records in the response.
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
    /// Time at which the platform accepted it, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "3")]
    pub time_ms: u64,
    /// Its body, as JSON text.
    #[prost(bytes = "bytes", tag = "4")]
    pub body: bytes::Bytes,
}

/// Response without records: the sender has used up its budget for serving them, or
/// does not have them.
#[derive(Clone, PartialEq, Message)]
pub struct RecordsUnavailable {
    /// The stream.
    #[prost(string, tag = "1")]
    pub stream: String,
    /// Time to wait before the next attempt, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub retry_after_ms: u64,
}

/// Requests a snapshot of the state that the records of a stream fold to.
#[derive(Clone, PartialEq, Message)]
pub struct SnapshotRequest {
    /// The stream.
    #[prost(string, tag = "1")]
    pub stream: String,
}

/// Part of a snapshot. All parts of one snapshot have the same offset.
#[derive(Clone, PartialEq, Message)]
pub struct Snapshot {
    /// The stream.
    #[prost(string, tag = "1")]
    pub stream: String,
    /// Offset after the last record that the snapshot covers.
    #[prost(uint64, tag = "2")]
    pub offset: u64,
    /// Index of this part, counted from 0.
    #[prost(uint32, tag = "3")]
    pub part: u32,
    /// Number of parts of the snapshot.
    #[prost(uint32, tag = "4")]
    pub parts: u32,
    /// Content of this part.
    #[prost(bytes = "bytes", tag = "5")]
    pub bytes: bytes::Bytes,
}
