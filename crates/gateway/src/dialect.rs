//! What the product needs a platform to spell out, as plain functions.
//!
//! The gateway does all input and output and takes all decisions; a dialect only
//! turns the gateway's types into a platform's calls, headers and records, and
//! back.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request};

use crate::catalog::Catalog;
use crate::clock::Millis;
use crate::endpoint::Endpoint;

/// Something that could not be understood.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum DecodeError {
    /// The status of an answer is not one of those that the call may have.
    #[error("unexpected status {0}")]
    Status(u16),
    /// A field is missing or has another type.
    #[error("field {field}: {reason}")]
    Field {
        /// Name as it stands on the wire.
        field: &'static str,
        /// What is wrong with it.
        reason: String,
    },
    /// The bytes are not in the expected encoding.
    #[error("cannot be read: {0}")]
    Encoding(String),
}

/// One part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identity of the part's content.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// What a caller's headers say.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestHead {
    /// Id of this attempt.
    pub request_id: Option<String>,
    /// Key of the workspace.
    pub key: Option<String>,
    /// How long the caller waits.
    pub timeout: Option<Duration>,
    /// Model that is asked for.
    pub model: Option<String>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Most tokens of the answer.
    pub output_tokens: u32,
    /// Parts of the prompt in order; the last one is the request's own.
    pub parts: Vec<PromptPart>,
    /// Last event that the caller has.
    pub last_event: Option<u64>,
}

/// What the gateway tells an endpoint beside the caller's own headers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointHead {
    /// Only this endpoint may run the request.
    pub instance: Arc<str>,
    /// Time that is left.
    pub timeout: Duration,
    /// Workspace of the caller.
    pub workspace: Option<String>,
    /// Rank from 0 to 9; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Version of the weights that must run it.
    pub weights: Option<u64>,
    /// Name space of cached parts.
    pub salt: Option<String>,
    /// Where to fetch cached parts from.
    pub kv_source: Option<SocketAddr>,
    /// Where to send parts once they are read.
    pub kv_sink: Option<SocketAddr>,
    /// Event after which the stream goes on, in place of the caller's own.
    pub resume_after: Option<u64>,
}

/// What the headers of an endpoint's answer say.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseHead {
    /// Id of the request that is answered.
    pub request_id: Option<String>,
    /// True when the answer proves that a whole request was run by an endpoint.
    pub signed: bool,
    /// True when the endpoint states that it did not run the request.
    pub not_run: bool,
    /// Id of the endpoint that answers, where it says so.
    pub instance: Option<String>,
    /// Version of its weights.
    pub weights: Option<u64>,
    /// Time after which it closes an idle connection.
    pub idle: Option<Duration>,
}

/// A record of a keyed topic; no value when the key was dropped.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyedRecord {
    /// Key of the record.
    pub key: String,
    /// Its value.
    pub value: Option<Bytes>,
    /// Its offset.
    pub offset: u64,
}

/// One page of the newest records of a keyed topic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NewestPage {
    /// The records.
    pub records: Vec<KeyedRecord>,
    /// True when more keys follow.
    pub more: bool,
    /// Offset behind the last record of the topic.
    pub end: u64,
}

/// Records that were read from an offset on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogPage {
    /// The records as stored, in order.
    Records {
        /// Offset behind the last record of the topic.
        end: u64,
        /// The records.
        records: Vec<Bytes>,
    },
    /// The records are gone.
    Trimmed {
        /// Oldest offset that is kept.
        first: u64,
    },
}

/// What became of an append at an expected offset.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendOutcome {
    /// Stored at this offset.
    Stored(u64),
    /// Not stored: the topic ends elsewhere.
    OffsetMismatch {
        /// Where it ends.
        end: u64,
    },
    /// Not stored: the store refused the call.
    Refused,
}

/// What the operator wants.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorRecord {
    /// A configuration.
    Catalog(Catalog),
    /// New weights of a model.
    Weights {
        /// The model.
        model: String,
        /// Their version.
        version: u64,
    },
    /// Something that this node does not need.
    Other,
}

/// An order to an engine to load weights while its runs go on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightsOrder {
    /// Engine that must carry it out.
    pub engine: Endpoint,
    /// The model.
    pub model: String,
    /// Version to load.
    pub version: u64,
    /// Node that gives the order.
    pub holder: String,
    /// Offset of the holder's lease record.
    pub fencing: u64,
    /// Orders that the engine has accepted so far.
    pub accepted: u64,
    /// The order must not leave the node after this.
    pub not_after: Millis,
}

/// What an engine made of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// It is being carried out.
    Accepted,
    /// The engine has these weights already.
    AlreadyLoaded,
    /// Another order is in progress, or the count of orders differs.
    Conflict,
    /// It will not be carried out.
    Rejected,
    /// No answer; it may be carried out later.
    Unknown,
    /// It was never sent.
    NotSent,
}

impl OrderOutcome {
    /// Word for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::AlreadyLoaded => "holds",
            Self::Conflict => "conflict",
            Self::Rejected => "rejected",
            Self::Unknown => "unknown",
            Self::NotSent => "not_sent",
        }
    }
}

/// State of an engine by its own report, some hundred milliseconds old.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineReport {
    /// Unix milliseconds of the engine's start.
    pub start_time_ms: u64,
    /// True while an order is carried out.
    pub busy: bool,
    /// Orders accepted since its start.
    pub accepted: u64,
    /// Version of the weights of each model.
    pub weights: std::collections::BTreeMap<String, u64>,
}

/// A part of a prompt that an engine or the store of kept KV cache holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CachedPart {
    /// Name space that it was read under.
    pub salt: String,
    /// Identity of its content.
    pub id: u64,
}

/// A call to the store, without connection headers.
pub type StoreRequest = Request<Bytes>;

/// What a caller that looks for an address says of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResolveQuery {
    /// Availability zone of the caller.
    pub zone: Option<String>,
}

/// Names of the topics in the store.
#[derive(Clone, Copy, Debug)]
pub struct Topics {
    /// Configuration and weights, written by the operator.
    pub operator: &'static str,
    /// Entries that endpoints write about themselves.
    pub endpoints: &'static str,
    /// Addresses of the nodes.
    pub nodes: &'static str,
    /// Leases of the node that gives orders.
    pub lease: &'static str,
}

/// How a platform spells things.
#[derive(Clone, Copy, Debug)]
pub struct Dialect {
    /// Topics in the store.
    pub topics: Topics,
    /// Reads a caller's headers.
    pub request_head: fn(&HeaderMap) -> RequestHead,
    /// Turns a caller's headers into those for an endpoint.
    pub endpoint_headers: fn(&HeaderMap, &EndpointHead) -> HeaderMap,
    /// Reads the headers of an endpoint's answer.
    pub response_head: fn(&HeaderMap) -> ResponseHead,
    /// Headers of an endpoint's answer that go on to the caller.
    pub response_headers: fn(&HeaderMap) -> HeaderMap,
    /// True when a path asks for the addresses of the nodes.
    pub is_resolve_path: fn(&str) -> bool,
    /// True when a path asks whether the node is ready.
    pub is_ready_path: fn(&str) -> bool,
    /// Reads the query of a caller that looks for an address.
    pub parse_resolve_query: fn(Option<&str>) -> ResolveQuery,
    /// Body of the answer to such a caller: addresses and lifetime in seconds.
    pub resolve_body: fn(&[SocketAddr], u64) -> Bytes,
    /// Asks for the newest record of each key of a topic, after a key.
    pub newest_request: fn(&str, Option<&str>) -> StoreRequest,
    /// Reads its answer.
    pub parse_newest_response: fn(u16, &[u8]) -> Result<NewestPage, DecodeError>,
    /// Asks for records of a topic from an offset on, waiting that many milliseconds.
    pub read_request: fn(&str, u64, u64) -> StoreRequest,
    /// Reads its answer.
    pub parse_read_response: fn(u16, Bytes) -> Result<LogPage, DecodeError>,
    /// Splits a record of a keyed topic, given its offset.
    pub keyed_record: fn(Bytes, u64) -> Result<KeyedRecord, DecodeError>,
    /// Adds a record to a topic; with an offset, only if the topic ends there.
    pub append_request: fn(&str, &[u8], Option<u64>) -> StoreRequest,
    /// Adds a record with a key to a topic.
    pub append_keyed_request: fn(&str, &str, &[u8]) -> StoreRequest,
    /// Reads the answer to an append.
    pub parse_append_response: fn(u16, &[u8]) -> Result<AppendOutcome, DecodeError>,
    /// Reads a record of the operator by key.
    pub operator_record: fn(&str, &[u8]) -> Result<OperatorRecord, DecodeError>,
    /// Reads the entry of an endpoint by key.
    pub endpoint_entry: fn(&str, &[u8]) -> Result<Endpoint, DecodeError>,
    /// The id of the endpoint that a key stands for.
    pub endpoint_id: fn(&str) -> Option<&str>,
    /// An order as a call to the engine.
    pub order_request: fn(&WeightsOrder) -> Request<Bytes>,
    /// Reads the engine's answer to an order.
    pub parse_order_response: fn(u16) -> OrderOutcome,
    /// Asks an engine for its report.
    pub report_request: fn(&Endpoint) -> Request<Bytes>,
    /// Asks an engine, or the store of kept KV cache, for its cache events.
    pub cache_request: fn() -> Request<Bytes>,
    /// Reads the parts that are held after all these events.
    pub parse_cache_response: fn(u16, &[u8]) -> Result<Vec<CachedPart>, DecodeError>,
    /// Reads a report.
    pub parse_report_response: fn(u16, &[u8]) -> Result<EngineReport, DecodeError>,
}
