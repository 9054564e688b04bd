//! Datagrams between nodes: who is there, and what they send to endpoints.

use prost::Message;

/// One datagram. Parts that do not fit go into the next one.
#[derive(Clone, PartialEq, Message)]
pub struct Gossip {
    /// The sender.
    #[prost(message, optional, tag = "1")]
    pub sender: Option<NodeState>,
    /// What the sender did since its last datagram.
    #[prost(message, repeated, tag = "2")]
    pub runs: Vec<Run>,
    /// Engines that the sender, as holder of the lease, is about to reload.
    #[prost(message, repeated, tag = "3")]
    pub reloads: Vec<Reload>,
    /// Endpoints that failed the sender just now.
    #[prost(message, repeated, tag = "4")]
    pub faults: Vec<Fault>,
    /// True when the sender passes on, for its zone, what other nodes did.
    #[prost(bool, tag = "5")]
    pub relayed: bool,
    /// Nodes of the sender's zone that it heard itself.
    #[prost(message, repeated, tag = "6")]
    pub heard: Vec<NodeState>,
    /// The sender's copy of the operator's records.
    #[prost(message, optional, tag = "7")]
    pub operator: Option<TopicCopy>,
    /// The sender's copy of the endpoints' entries.
    #[prost(message, optional, tag = "8")]
    pub endpoints: Option<TopicCopy>,
}

/// How a node's copy of a topic of the store is.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct TopicCopy {
    /// Stands for the content.
    #[prost(fixed64, tag = "1")]
    pub mark: u64,
    /// Milliseconds since the store is known to have held nothing newer.
    #[prost(uint32, tag = "2")]
    pub age_ms: u32,
}

/// State of a node.
#[derive(Clone, PartialEq, Message)]
pub struct NodeState {
    /// Random number of this life of the node.
    #[prost(fixed64, tag = "1")]
    pub incarnation: u64,
    /// Where callers connect.
    #[prost(string, tag = "2")]
    pub callers: String,
    /// Its availability zone.
    #[prost(string, tag = "3")]
    pub zone: String,
    /// True once it has begun its shutdown.
    #[prost(bool, tag = "4")]
    pub leaving: bool,
    /// True when it has a configuration.
    #[prost(bool, tag = "5")]
    pub ready: bool,
    /// Offset behind its last lease record; 0 when it never had the lease.
    #[prost(uint64, tag = "6")]
    pub lease_end: u64,
    /// Name of the node.
    #[prost(string, tag = "7")]
    pub name: String,
    /// Where its datagrams come from.
    #[prost(string, tag = "8")]
    pub gossip: String,
    /// Processor share of its machine in thousandths of a core.
    #[prost(uint32, tag = "9")]
    pub capacity: u32,
    /// True while the store answers it.
    #[prost(bool, tag = "10")]
    pub reaches_store: bool,
}

/// A step of a request at an endpoint.
#[derive(Clone, PartialEq, Message)]
pub struct Run {
    /// Number of the run at its node.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Endpoint that runs it.
    #[prost(fixed64, tag = "2")]
    pub endpoint: u64,
    /// 0 sent, 1 first token, 2 ended, 3 failed.
    #[prost(uint32, tag = "3")]
    pub step: u32,
    /// Time that reading the prompt is expected to take, in microseconds.
    #[prost(uint32, tag = "4")]
    pub read_us: u32,
    /// Tokens of memory that it takes.
    #[prost(uint32, tag = "5")]
    pub tokens: u32,
    /// Shared parts of the prompt, within their name space.
    #[prost(fixed64, repeated, tag = "6")]
    pub parts: Vec<u64>,
    /// True when the parts go to the store of kept KV cache as well.
    #[prost(bool, tag = "7")]
    pub kept: bool,
    /// Incarnation of the node that has the run; 0 for the sender.
    #[prost(fixed64, tag = "9")]
    pub node: u64,
    /// True when the answer is long enough to notice pauses.
    #[prost(bool, tag = "8")]
    pub long: bool,
}

/// An engine that is about to load weights, or loads them.
#[derive(Clone, PartialEq, Message)]
pub struct Reload {
    /// The engine.
    #[prost(fixed64, tag = "1")]
    pub endpoint: u64,
    /// The model.
    #[prost(string, tag = "2")]
    pub model: String,
    /// Version that it gets.
    #[prost(uint64, tag = "3")]
    pub version: u64,
    /// Milliseconds until it is expected to serve again; 0 before the order is sent.
    #[prost(uint32, tag = "4")]
    pub left_ms: u32,
}

/// An endpoint that failed.
#[derive(Clone, PartialEq, Message)]
pub struct Fault {
    /// The endpoint.
    #[prost(fixed64, tag = "1")]
    pub endpoint: u64,
    /// Milliseconds for which it had better be avoided.
    #[prost(uint32, tag = "2")]
    pub avoid_ms: u32,
}
