//! Messages that hand on calls of plain services.

use prost::{Enumeration, Message};

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
