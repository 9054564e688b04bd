//! Interface to a platform's API, as a table of pure functions.
//!
//! The gateway does all I/O and makes all decisions; a dialect only encodes the
//! gateway's types as the platform's requests, headers and records, and decodes
//! them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, Response};

use crate::catalog::Catalog;
use crate::clock::Millis;
use crate::endpoint::Endpoint;

/// Error from decoding data of the platform.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum DecodeError {
    /// The response has a status that the call does not allow.
    #[error("unexpected status {0}")]
    Status(u16),
    /// A field is missing or has the wrong type.
    #[error("field {field}: {reason}")]
    Field {
        /// Field name on the wire.
        field: &'static str,
        /// Description of the error.
        reason: String,
    },
    /// The bytes are not in the expected encoding.
    #[error("malformed data: {0}")]
    Encoding(String),
}

/// A part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Id of the part's content.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// Values parsed from a caller's request headers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestHead {
    /// Id of the caller's attempt.
    pub request_id: Option<String>,
    /// API key of the workspace.
    pub key: Option<String>,
    /// Time that the caller waits for the response.
    pub timeout: Option<Duration>,
    /// Requested model.
    pub model: Option<String>,
    /// Number of prompt tokens; 0 if the caller does not state it.
    pub prompt_tokens: u32,
    /// Maximum number of output tokens; 0 if the caller does not state it.
    pub output_tokens: u32,
    /// Parts of the prompt in order; the last one is not shared with other requests.
    pub parts: Vec<PromptPart>,
    /// Id of the caller's attempt that brought the first event of the stream that this
    /// request resumes.
    pub resumes: Option<String>,
    /// Id of the last event that the caller has received.
    pub last_event: Option<u64>,
}

/// Values that the gateway adds to the caller's headers for an endpoint.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointHead {
    /// Id of the only endpoint that may run the request.
    pub instance: Arc<str>,
    /// Time left until the deadline.
    pub timeout: Duration,
    /// Workspace of the caller.
    pub workspace: Option<String>,
    /// Priority from 0 to 9; 0 is the highest.
    pub priority: Option<u8>,
    /// Required version of the weights.
    pub weights: Option<u64>,
    /// Namespace of cached parts.
    pub salt: Option<String>,
    /// Address to fetch cached parts from.
    pub kv_source: Option<SocketAddr>,
    /// Address to send the KV cache of new parts to.
    pub kv_sink: Option<SocketAddr>,
    /// Event after which to resume the stream; overrides the caller's value.
    pub resume_after: Option<u64>,
}

/// Values parsed from an endpoint's response headers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseHead {
    /// Id of the request that the response belongs to.
    pub request_id: Option<String>,
    /// True if the response has a signature, which proves that an endpoint ran the
    /// whole request.
    pub signed: bool,
    /// True if the endpoint states that it did not run the request.
    pub not_run: bool,
    /// Id of the responding endpoint, if it states one.
    pub instance: Option<String>,
    /// Version of its weights, if it states one.
    pub weights: Option<u64>,
    /// True if the endpoint states that it is leaving.
    pub leaving: bool,
    /// Time for which the endpoint wants no requests from this node, if it refused this
    /// one.
    pub retry_after: Option<Duration>,
    /// What the endpoint states about its limit of requests.
    pub limit: LimitStatement,
    /// What the endpoint states about the refusals a second that it bears.
    pub brittle: LimitStatement,
    /// Keep-alive timeout after which it closes an idle connection.
    pub keep_alive: Option<Duration>,
}

/// What a response states about the requests that its endpoint takes from all nodes
/// together, or about those that it can refuse.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum LimitStatement {
    /// Nothing: there is no limit.
    #[default]
    Absent,
    /// At most this many a second; finite and not negative.
    PerSecond(f64),
    /// Something that is no limit.
    Unreadable,
}

/// A record of a keyed topic. A record without a value deletes the key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyedRecord {
    /// Key of the record.
    pub key: String,
    /// Value; none if the key was deleted.
    pub value: Option<Bytes>,
    /// Offset of the record.
    pub offset: u64,
}

/// One page of the newest record of each key of a topic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NewestPage {
    /// Records of this page.
    pub records: Vec<KeyedRecord>,
    /// True if more pages follow.
    pub has_more: bool,
    /// Offset after the last record of the topic.
    pub end: u64,
}

/// Result of reading a topic from an offset.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogPage {
    /// Records as stored, in order.
    Records {
        /// Offset after the last record of the topic.
        end: u64,
        /// Records from the requested offset on.
        records: Vec<Bytes>,
    },
    /// The records at the requested offset are no longer kept, or were lost when the store
    /// came back from a copy.
    Trimmed {
        /// Oldest offset that is still kept.
        first: u64,
    },
}

/// Result of an append, which may expect the topic to end at an offset.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendOutcome {
    /// Stored at this offset.
    At(u64),
    /// Not stored: the topic does not end at the expected offset.
    Moved {
        /// Offset at which the topic ends.
        end: u64,
    },
    /// Not stored: the store refused the call.
    Refused,
}

/// A record written by the operator.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorRecord {
    /// New configuration.
    Catalog(Catalog),
    /// New weights of a model.
    Weights {
        /// The model.
        model: String,
        /// Version of the weights.
        version: u64,
    },
    /// A record that the node does not use.
    Other,
}

/// An order to an engine to load weights without interrupting its runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightsOrder {
    /// Engine that must execute the order.
    pub engine: Endpoint,
    /// The model.
    pub model: String,
    /// Version to load.
    pub version: u64,
    /// Node that gives the order, which holds the lease.
    pub holder: String,
    /// Fencing token: the offset of the holder's lease record.
    pub fencing_token: u64,
    /// Number of orders that the engine must have accepted before this one.
    pub accepted: u64,
    /// Time after which the node must not send the order.
    pub not_after: Millis,
}

/// Result of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine accepted the order and is executing it.
    Accepted,
    /// The engine has already loaded these weights.
    Holds,
    /// Another order is in progress, or the count of accepted orders differs.
    Conflict,
    /// The engine will not execute the order.
    Rejected,
    /// No response; the engine may execute the order later.
    Unknown,
    /// The order was not sent.
    NotSent,
}

impl OrderOutcome {
    /// String form for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Holds => "holds",
            Self::Conflict => "conflict",
            Self::Rejected => "rejected",
            Self::Unknown => "unknown",
            Self::NotSent => "not_sent",
        }
    }
}

/// State of an engine from its report, which can be some hundred milliseconds old.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineReport {
    /// Start time of the engine in Unix milliseconds; 0 if it states none.
    pub born: u64,
    /// True while the engine executes an order.
    pub busy: bool,
    /// Number of orders accepted since the start.
    pub accepted: u64,
    /// Version of the weights of each model.
    pub weights: std::collections::BTreeMap<String, u64>,
}

/// A part of a prompt that is cached by an engine or in the KV cache store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CachedPart {
    /// Namespace in which it was cached.
    pub salt: String,
    /// Id of the part's content.
    pub id: u64,
}

/// A request to the store, without connection headers.
pub type StoreRequest = Request<Bytes>;

/// Parsed query of a caller that asks for node addresses.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResolveQuery {
    /// Availability zone of the caller, if stated.
    pub zone: Option<String>,
}

/// Names of the store's topics.
#[derive(Clone, Copy, Debug)]
pub struct Topics {
    /// Configuration and weight versions, written by the operator.
    pub operator: &'static str,
    /// Entries that endpoints write to register themselves.
    pub endpoints: &'static str,
    /// Addresses of the nodes.
    pub nodes: &'static str,
    /// Lease of the node that may give orders.
    pub lease: &'static str,
    /// Software versions of the endpoints that may have begun a stream.
    pub builds: &'static str,
    /// Streams that began while several software versions served. Not keyed.
    pub streams: &'static str,
    /// Prompt parts that crash engines.
    pub suspects: &'static str,
}

/// Encoding and decoding functions of a platform.
///
/// Offsets of the store never go back here: those after the store came back from a copy
/// are greater than all before.
#[derive(Clone, Copy, Debug)]
pub struct Dialect {
    /// Topic names.
    pub topics: Topics,
    /// Parses a caller's request headers.
    pub request_head: fn(&HeaderMap) -> RequestHead,
    /// Builds the headers for an endpoint from the caller's headers.
    pub endpoint_headers: fn(&HeaderMap, &EndpointHead) -> HeaderMap,
    /// Builds the headers with which a caller's request goes on to another node, given the
    /// time left until its deadline.
    pub handover_headers: fn(&HeaderMap, Duration) -> HeaderMap,
    /// Parses an endpoint's response headers.
    pub response_head: fn(&HeaderMap) -> ResponseHead,
    /// Filters an endpoint's response headers for the caller.
    pub response_headers: fn(&HeaderMap) -> HeaderMap,
    /// True if the path is that of the node address lookup.
    pub is_resolve_path: fn(&str) -> bool,
    /// True if the path is that of the readiness check.
    pub is_ready_path: fn(&str) -> bool,
    /// Parses the query string of an address lookup.
    pub parse_resolve_query: fn(Option<&str>) -> ResolveQuery,
    /// Builds the response body of an address lookup from the addresses and their
    /// time to live in seconds.
    pub resolve_body: fn(&[SocketAddr], u64) -> Bytes,
    /// Requests the newest record of each key of a topic, starting after a key.
    pub newest_request: fn(&str, Option<&str>) -> StoreRequest,
    /// Parses its response.
    pub parse_newest_response: fn(&Response<Bytes>) -> Result<NewestPage, DecodeError>,
    /// Requests the records of a topic from an offset on; the store waits up to the
    /// given number of milliseconds for a new record.
    pub read_request: fn(&str, u64, u64) -> StoreRequest,
    /// Parses its response, given the offset of the request; none if it was read from the
    /// start.
    pub parse_read_response: fn(Option<u64>, Response<Bytes>) -> Result<LogPage, DecodeError>,
    /// Splits a record of a keyed topic into key and value, given its offset.
    pub keyed_record: fn(Bytes, u64) -> Result<KeyedRecord, DecodeError>,
    /// Requests to append a record to a topic; with an offset, only if the topic ends
    /// there.
    pub append_request: fn(&str, &[u8], Option<u64>) -> StoreRequest,
    /// Requests to append a record with a key to a topic.
    pub append_keyed_request: fn(&str, &str, &[u8]) -> StoreRequest,
    /// Parses the response to an append.
    pub parse_append_response: fn(&Response<Bytes>) -> Result<AppendOutcome, DecodeError>,
    /// Era of the store: the number of its history, which grows whenever the store comes back from a
    /// copy and has lost the records written since; none if it states none.
    pub store_era: fn(&HeaderMap) -> Option<u64>,
    /// Decodes a record of the operator, given its key and value.
    pub operator_record: fn(&str, &[u8]) -> Result<OperatorRecord, DecodeError>,
    /// Decodes the entry of an endpoint, given its key and value.
    pub endpoint_entry: fn(&str, &[u8]) -> Result<Endpoint, DecodeError>,
    /// Returns the id of the endpoint whose entry has this key.
    pub endpoint_id: fn(&str) -> Option<&str>,
    /// Builds the request that gives an order to its engine.
    pub order_request: fn(&WeightsOrder) -> Request<Bytes>,
    /// Parses the status of the engine's response to an order.
    pub parse_order_response: fn(u16) -> OrderOutcome,
    /// Requests an engine's report.
    pub report_request: fn(&Endpoint) -> Request<Bytes>,
    /// Requests the cache events of an engine or of the KV cache store.
    pub cache_request: fn() -> Request<Bytes>,
    /// Parses the cache events and returns the parts that are cached after all of them.
    pub parse_cache_response: fn(u16, &[u8]) -> Result<Vec<CachedPart>, DecodeError>,
    /// Parses a report.
    pub parse_report_response: fn(u16, &[u8]) -> Result<EngineReport, DecodeError>,
}
