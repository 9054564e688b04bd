//! Messages that hand on log records and snapshots.

use prost::Message;

/// Asks for log records.
#[derive(Clone, PartialEq, Message)]
pub struct RecordsRequest {
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
pub struct RecordsUnavailable {
    /// The stream.
    #[prost(string, tag = "1")]
    pub stream: String,
    /// Earliest sensible time of another attempt.
    #[prost(uint64, tag = "2")]
    pub retry_after_ms: u64,
}

/// Asks for a snapshot of what a stream's records fold to.
#[derive(Clone, PartialEq, Message)]
pub struct SnapshotRequest {
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
