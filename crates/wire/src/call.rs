//! Messages that forward calls of plain services.

use prost::{Enumeration, Message};

/// A call, forwarded to the node that is responsible for its idempotency key.
#[derive(Clone, PartialEq, Message)]
pub struct CallForward {
    /// Id of the call, the same on every hop.
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
    /// HTTP path and query string.
    #[prost(string, tag = "5")]
    pub path: String,
    /// HTTP headers in order.
    #[prost(message, repeated, tag = "6")]
    pub headers: Vec<Header>,
    /// HTTP body.
    #[prost(bytes = "bytes", tag = "7")]
    pub body: bytes::Bytes,
    /// Time left until the call's deadline, in milliseconds.
    #[prost(uint64, tag = "8")]
    pub deadline_ms: u64,
    /// Incarnation of the receiver that the call is addressed to.
    #[prost(uint64, tag = "9")]
    pub incarnation: u64,
}

/// One HTTP header.
#[derive(Clone, PartialEq, Message)]
pub struct Header {
    /// Name, in lower case.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Value; not necessarily valid UTF-8.
    #[prost(bytes = "bytes", tag = "2")]
    pub value: bytes::Bytes,
}

/// Response to a forwarded call.
#[derive(Clone, PartialEq, Message)]
pub struct CallAnswer {
    /// Id of the call.
    #[prost(string, tag = "1")]
    pub call: String,
    /// HTTP status; 0 if the service did not answer.
    #[prost(uint32, tag = "2")]
    pub status: u32,
    /// HTTP headers in order.
    #[prost(message, repeated, tag = "3")]
    pub headers: Vec<Header>,
    /// HTTP body.
    #[prost(bytes = "bytes", tag = "4")]
    pub body: bytes::Bytes,
    /// Outcome of the call.
    #[prost(enumeration = "CallOutcome", tag = "5")]
    pub outcome: i32,
    /// True if the sender rejected the call because it was addressed to another
    /// incarnation.
    #[prost(bool, tag = "6")]
    pub refused: bool,
}

/// Outcome of a call.
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
