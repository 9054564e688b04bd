//! Gossip datagrams between nodes: their state and the requests that they send to
//! endpoints.

use prost::Message;

/// One datagram. Runs that do not fit are sent in further datagrams.
#[derive(Clone, PartialEq, Message)]
pub struct Gossip {
    /// The sender.
    #[prost(message, optional, tag = "1")]
    pub sender: Option<NodeState>,
    /// Updates on the sender's runs since its last datagram, and on runs that it relays.
    #[prost(message, repeated, tag = "2")]
    pub runs: Vec<Run>,
    /// Engines that are reserved for loading weights or are loading them; originates at
    /// the lease holder.
    #[prost(message, repeated, tag = "3")]
    pub reloads: Vec<Reload>,
    /// Endpoints that recently failed.
    #[prost(message, repeated, tag = "4")]
    pub faults: Vec<Fault>,
    /// True if the sender is a hub and relays updates of other nodes.
    #[prost(bool, tag = "5")]
    pub relayed: bool,
    /// Nodes to which the sender relays, as it heard them itself, and those that other hubs told
    /// of; some of them, and only now and then.
    #[prost(message, repeated, tag = "6")]
    pub heard: Vec<NodeState>,
    /// State of the sender's copy of the operator topic; absent if not reported now.
    #[prost(message, optional, tag = "7")]
    pub operator: Option<TopicCopyState>,
    /// State of the sender's copy of the endpoint entries; absent if not reported now.
    #[prost(message, optional, tag = "8")]
    pub endpoints: Option<TopicCopyState>,
    /// Resumable streams that began since the sender's last datagram, and those that it
    /// relays. To a node that has just started, all that the sender knows.
    #[prost(message, repeated, tag = "9")]
    pub streams: Vec<BegunStream>,
    /// Software versions that were listed recently; only to a node that has started, or
    /// was out of reach.
    #[prost(message, optional, tag = "10")]
    pub builds: Option<BuildHistory>,
    /// News of prompt parts that may crash engines. To a node that has just started, all
    /// that the sender knows.
    #[prost(message, repeated, tag = "11")]
    pub suspects: Vec<SuspectRecord>,
    /// News of the limits that endpoints state. To a node that has just started, all that
    /// the sender knows.
    #[prost(message, repeated, tag = "12")]
    pub limits: Vec<EndpointLimit>,
    /// Asks for a permit. Such a datagram has no sender.
    #[prost(message, optional, tag = "13")]
    pub permit_request: Option<PermitRequest>,
    /// Answers a request for a permit. Such a datagram has no sender.
    #[prost(message, optional, tag = "14")]
    pub permit_answer: Option<PermitAnswer>,
    /// News of requests that may crash endpoints, like that of prompt parts.
    #[prost(message, repeated, tag = "15")]
    pub suspect_requests: Vec<SuspectRecord>,
    /// What the sender knows of the duration of loads. The lease holder tells it when it
    /// has changed; to a node that has just started, all nodes do.
    #[prost(message, repeated, tag = "16")]
    pub load_times: Vec<LoadTimeRecord>,
    /// Versions of weights that the operator named; only to a node that has started, or was
    /// out of reach.
    #[prost(message, repeated, tag = "24")]
    pub named_weights: Vec<NamedWeightsRecord>,
    /// What endpoints stated of the refusals a second that they bear, as `limits`.
    #[prost(message, repeated, tag = "17")]
    pub brittle: Vec<EndpointLimit>,
    /// Brittle endpoints that refused a request for want of room.
    #[prost(message, repeated, tag = "18")]
    pub full: Vec<FullEndpoint>,
    /// Asks for a part of a workspace's quota. Such a datagram has no sender.
    #[prost(message, optional, tag = "19")]
    pub quota_request: Option<QuotaRequest>,
    /// Answers a request for quota. Such a datagram has no sender.
    #[prost(message, optional, tag = "20")]
    pub quota_answer: Option<QuotaAnswer>,
    /// Returns a grant of quota that was not used. Such a datagram has no sender.
    #[prost(message, optional, tag = "21")]
    pub quota_return: Option<QuotaReturn>,
    /// When the datagram was sent, on the sender's boot-time clock, in milliseconds; 0 if it
    /// does not tell.
    #[prost(uint64, tag = "25")]
    pub sent_at_ms: u64,
    /// Incarnations of nodes that are alive and whose states the sender has told lately.
    #[prost(fixed64, repeated, tag = "26")]
    pub alive: Vec<u64>,
    /// True if it tells a node that has started, or was out of reach, what the others know.
    #[prost(bool, tag = "27")]
    pub is_history: bool,
}

/// Asks an owner of a workspace's token bucket for the cost of one request.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct QuotaRequest {
    /// Number of the ask at its node.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Name of the workspace.
    #[prost(string, tag = "2")]
    pub workspace: String,
    /// Cost of the request, in the unit of the quota.
    #[prost(uint32, tag = "3")]
    pub cost: u32,
    /// Longest time until the grant is usable, in milliseconds.
    #[prost(uint32, tag = "4")]
    pub max_wait_ms: u32,
    /// Slot of the bucket: 0 or 1.
    #[prost(uint32, tag = "5")]
    pub slot: u32,
}

/// Answer of the owner of a bucket. Neither field is set if the node does not own it.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct QuotaAnswer {
    /// Number of the ask.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Time after which the grant is usable, in milliseconds; absent if there is none.
    #[prost(uint32, optional, tag = "2")]
    pub usable_after_ms: Option<u32>,
    /// Time after which there is quota for the refused request, in milliseconds.
    #[prost(uint32, optional, tag = "3")]
    pub refused_for_ms: Option<u32>,
}

/// Returns a grant that was not used.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct QuotaReturn {
    /// Number of the ask.
    #[prost(uint64, tag = "1")]
    pub number: u64,
}

/// A version of a model's weights that the operator named.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct NamedWeightsRecord {
    /// Name of the model.
    #[prost(string, tag = "1")]
    pub model: String,
    /// The version.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// Time since it was named, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub age_ms: u64,
    /// True if the sender does not know when it was named and assumes that time.
    #[prost(bool, tag = "4")]
    pub is_assumed: bool,
}

/// A brittle endpoint that refused a request for want of room.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct FullEndpoint {
    /// The endpoint.
    #[prost(fixed64, tag = "1")]
    pub endpoint: u64,
    /// Time for which it gets no request from any node, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub pause_ms: u32,
}

/// How long the engines of a service take to load weights.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct LoadTimeRecord {
    /// Name of the service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Time after which engines were still loading, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub at_least_ms: u64,
    /// Time after which engines served again, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub at_most_ms: u64,
    /// Number of engines that may load at once.
    #[prost(uint32, tag = "4")]
    pub window: u32,
    /// True if more loads at once were found to slow each other down.
    #[prost(bool, tag = "5")]
    pub slows: bool,
    /// Time since the last load from which this was learnt, in milliseconds.
    #[prost(uint64, tag = "6")]
    pub age_ms: u64,
}

/// Asks the issuer for a permit to send one request to an endpoint.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct PermitRequest {
    /// Number of the ask at its node.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The endpoint.
    #[prost(fixed64, tag = "2")]
    pub endpoint: u64,
    /// Number of requests of the node that run there.
    #[prost(uint32, tag = "3")]
    pub running: u32,
}

/// Answer of the issuer.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct PermitAnswer {
    /// Number of the ask.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The endpoint.
    #[prost(fixed64, tag = "2")]
    pub endpoint: u64,
    /// Time after which the node may ask again, in milliseconds; absent if the permit is
    /// granted.
    #[prost(uint32, optional, tag = "3")]
    pub wait_ms: Option<u32>,
}

/// What one incarnation of an endpoint states about the requests that it takes from all
/// nodes together.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct EndpointLimit {
    /// The endpoint.
    #[prost(fixed64, tag = "1")]
    pub endpoint: u64,
    /// Start time of the incarnation, in Unix milliseconds.
    #[prost(uint64, tag = "2")]
    pub start_time_ms: u64,
    /// Requests a second, or refusals a second that it bears; absent if there is no limit
    /// any more.
    #[prost(double, optional, tag = "3")]
    pub per_second: Option<f64>,
    /// Time since the endpoint stated it, in milliseconds.
    #[prost(uint32, tag = "4")]
    pub age_ms: u32,
}

/// What nodes keep in the store of prompt parts and requests that are stopped, or that
/// several crashes speak against. Ages count from the last crash of each.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct RecordedSuspects {
    /// The prompt parts.
    #[prost(message, repeated, tag = "1")]
    pub parts: Vec<SuspectRecord>,
    /// The requests.
    #[prost(message, repeated, tag = "2")]
    pub requests: Vec<SuspectRecord>,
}

/// A prompt part or a request with which runs ended when their endpoint crashed.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct SuspectRecord {
    /// Id of the part, or fingerprint of the request.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    /// The crashes.
    #[prost(message, repeated, tag = "2")]
    pub crashes: Vec<CrashRecord>,
}

/// A crash of one incarnation of an endpoint that ended a run with the suspect.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct CrashRecord {
    /// Identifies the incarnation of the endpoint.
    #[prost(fixed64, tag = "1")]
    pub engine: u64,
    /// Time since the crash, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
    /// Time from the sending of the request to the crash, in milliseconds.
    #[prost(uint32, tag = "3")]
    pub sent_before_ms: u32,
    /// How much it speaks against the suspect.
    #[prost(uint32, tag = "4")]
    pub evidence: u32,
    /// True if a run with the suspect has brought an event since.
    #[prost(bool, tag = "5")]
    pub cleared: bool,
}

/// Software versions of endpoints that a node saw listed.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct BuildHistory {
    /// The versions.
    #[prost(message, repeated, tag = "1")]
    pub builds: Vec<ListedBuild>,
    /// Time for which no other version can have been listed, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub complete_ms: u64,
    /// Longest time for which callers may resume a stream that began under a configuration
    /// that the sender had, in milliseconds; 0 if it is not stated.
    #[prost(uint64, tag = "3")]
    pub memory_ms: u64,
    /// Time after which that no longer holds, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub memory_left_ms: u64,
}

/// A software version of a service's endpoints.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ListedBuild {
    /// Name of the service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The version.
    #[prost(string, tag = "2")]
    pub build: String,
    /// Time since it was last listed, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub age_ms: u64,
}

/// A stream that began at an engine.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct BegunStream {
    /// Key of the caller's request.
    #[prost(fixed64, tag = "1")]
    pub request: u64,
    /// Software version of the engine; empty if it is not clear.
    #[prost(string, tag = "2")]
    pub build: String,
    /// Time since its first event, in milliseconds.
    #[prost(uint32, tag = "3")]
    pub age_ms: u32,
    /// Timeout of its route when it began, in milliseconds; 0 if it is not stated.
    #[prost(uint32, tag = "4")]
    pub timeout_ms: u32,
    /// Incarnation of the engine as its entry stated it, shortened; 0 if it is not stated.
    #[prost(fixed32, tag = "5")]
    pub engine: u32,
}

/// Streams that began, as nodes record them in the store.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct BegunStreamList {
    /// The streams.
    #[prost(message, repeated, tag = "1")]
    pub streams: Vec<BegunStream>,
}

/// State of a node's copy of one topic of the store.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct TopicCopyState {
    /// Identifies the content of the copy.
    #[prost(fixed64, tag = "1")]
    pub mark: u64,
    /// Time since the copy was last known to be current, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub age_ms: u32,
}

/// State of a node.
#[allow(clippy::struct_excessive_bools, reason = "the flags are independent")]
#[derive(Clone, PartialEq, Message)]
pub struct NodeState {
    /// Random number that identifies this start of the node.
    #[prost(fixed64, tag = "1")]
    pub incarnation: u64,
    /// Address of its callers' port.
    #[prost(string, tag = "2")]
    pub callers: String,
    /// Its availability zone.
    #[prost(string, tag = "3")]
    pub zone: String,
    /// True once it has begun its shutdown.
    #[prost(bool, tag = "4")]
    pub leaving: bool,
    /// True once it has a configuration.
    #[prost(bool, tag = "5")]
    pub ready: bool,
    /// Offset after its last lease record; 0 if it has never held the lease.
    #[prost(uint64, tag = "6")]
    pub lease_end: u64,
    /// Name of the node.
    #[prost(string, tag = "7")]
    pub name: String,
    /// Address from which it sends its datagrams.
    #[prost(string, tag = "8")]
    pub gossip: String,
    /// CPU share of its machine in thousandths of a core.
    #[prost(uint32, tag = "9")]
    pub capacity: u32,
    /// True while it can reach the store.
    #[prost(bool, tag = "10")]
    pub store_reachable: bool,
    /// Port at which it sends its copies of the topics to other nodes; 0 if there is none.
    #[prost(uint32, tag = "11")]
    pub control_port: u32,
    /// True if it may issue permits for endpoints that state a limit of requests.
    #[prost(bool, tag = "12")]
    pub issues_permits: bool,
    /// Services of which it reaches less than half of the endpoints.
    #[prost(string, repeated, tag = "13")]
    pub cut_off: Vec<String>,
    /// True if it takes requests that other nodes hand on, at its control port.
    #[prost(bool, tag = "14")]
    pub takes_requests: bool,
    /// True if it may own token buckets of workspaces' quotas.
    #[prost(bool, tag = "15")]
    pub grants_quota: bool,
    /// True if it started a moment ago.
    #[prost(bool, tag = "16")]
    pub just_started: bool,
    /// Number of its requests that wait for shorter queues at the engines.
    #[prost(uint32, tag = "17")]
    pub deferred: u32,
    /// True if it knows that a zone may have several hubs.
    #[prost(bool, tag = "18")]
    pub several_hubs: bool,
}

/// An update on a run, which is one request at one endpoint.
#[derive(Clone, PartialEq, Message)]
pub struct Run {
    /// Number of the run at its node.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Endpoint that executes it.
    #[prost(fixed64, tag = "2")]
    pub endpoint: u64,
    /// 0 sent, 1 first token, 2 ended, 3 failed.
    #[prost(uint32, tag = "3")]
    pub step: u32,
    /// Expected prefill time, in microseconds.
    #[prost(uint32, tag = "4")]
    pub prefill_us: u32,
    /// KV cache memory that it takes, in tokens.
    #[prost(uint32, tag = "5")]
    pub tokens: u32,
    /// Keys of the shareable parts of its prompt, unique within their namespace.
    #[prost(fixed64, repeated, tag = "6")]
    pub parts: Vec<u64>,
    /// True if the parts are also written to the KV cache store.
    #[prost(bool, tag = "7")]
    pub is_stored: bool,
    /// Incarnation of the node that the run belongs to; 0 for the sender.
    #[prost(fixed64, tag = "9")]
    pub node: u64,
    /// True if the answer is long enough for pauses within it to be detected.
    #[prost(bool, tag = "8")]
    pub is_long_answer: bool,
    /// True if it was sent without a permit, in the place of a run of the same node that
    /// has ended.
    #[prost(bool, tag = "10")]
    pub reuses_place: bool,
    /// Priority with which the endpoint queues it, 0 being the most urgent; absent if the
    /// node does not tell.
    #[prost(uint32, optional, tag = "11")]
    pub priority: Option<u32>,
    /// Version of the weights that it asks for; absent if it asks for none or the node does
    /// not tell.
    #[prost(uint64, optional, tag = "12")]
    pub weights: Option<u64>,
    /// Time by which this news was late at the nodes that passed it on, in milliseconds.
    #[prost(uint32, tag = "13")]
    pub late_ms: u32,
}

/// An engine that is reserved for loading weights, or is loading them.
#[derive(Clone, PartialEq, Message)]
pub struct Reload {
    /// The engine.
    #[prost(fixed64, tag = "1")]
    pub endpoint: u64,
    /// The model.
    #[prost(string, tag = "2")]
    pub model: String,
    /// Version of the weights that it loads.
    #[prost(uint64, tag = "3")]
    pub version: u64,
    /// Expected time until it serves again, in milliseconds; 0 if it is only reserved and
    /// the load command has not been sent.
    #[prost(uint32, tag = "4")]
    pub remaining_ms: u32,
    /// Time since it accepted the order, in milliseconds.
    #[prost(uint32, tag = "5")]
    pub elapsed_ms: u32,
    /// Largest number of engines that were loading at the same time.
    #[prost(uint32, tag = "6")]
    pub concurrent: u32,
    /// Time after the order after which it is surely done, in milliseconds; 0 if it is not
    /// known.
    #[prost(uint32, tag = "8")]
    pub sure_ms: u32,
    /// True if the engine is done with the load and serves.
    #[prost(bool, tag = "7")]
    pub is_done: bool,
}

/// An endpoint that failed.
#[derive(Clone, PartialEq, Message)]
pub struct Fault {
    /// The endpoint.
    #[prost(fixed64, tag = "1")]
    pub endpoint: u64,
    /// Time for which it should be avoided, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub avoid_ms: u32,
    /// True if it is an engine that refused a request because it is loading weights.
    #[prost(bool, tag = "3")]
    pub is_loading: bool,
    /// Incarnation of the node whose request failed; 0 for the sender.
    #[prost(fixed64, tag = "4")]
    pub node: u64,
    /// Time since the start of the load that the refusal speaks of, in milliseconds; 0 if the
    /// node knows of none.
    #[prost(uint32, tag = "5")]
    pub busy_ms: u32,
}
