//! The control thread, which owns all state that placement and roll-out decisions
//! depend on.
//!
//! [`Control`] is a plain state machine: it takes events, emits effects and gets
//! the current time as an argument. [`start`] runs it on a dedicated thread.

pub mod begun_streams;
pub mod cache_index;
pub mod dispatch;
mod engine_progress;
pub mod fetch_schedule;
pub mod fleet;
pub mod freshness;
pub mod handovers;
pub mod known_runs;
pub mod lease;
pub mod listed_builds;
pub mod load;
mod load_report;
pub mod load_times;
pub mod load_window;
pub mod named_weights;
pub mod notices;
pub mod operator_records;
pub mod peers;
pub mod permit_issuer;
pub mod permits;
pub mod places;
pub mod quota_asks;
pub mod quota_buckets;
pub mod reach;
pub mod reachability;
pub mod refusal;
pub mod retry_budget;
pub mod rollout;
pub mod rollout_status;
pub mod run_outcomes;
mod service_loads;
pub mod state;
pub mod stated_limits;
pub mod suspect;
pub mod suspects;
pub mod told_states;
pub mod transit;
pub mod wait_error;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use bytes::Bytes;
use crossbeam::channel::{Receiver, RecvTimeoutError, Sender, unbounded};
use flamingolock_wire::gossip::{BegunStream, BegunStreamList, BuildHistory, RecordedSuspects};
use flamingolock_wire::topic_copies::CopiesRequest;
use tokio::sync::{mpsc, oneshot};

use crate::catalog::Catalog;
use crate::clock::{Millis, now};
use crate::control::named_weights::{NamedVersions, replaced_at};
use crate::control::notices::Notice;
use crate::control::operator_records::OperatorUpdate;
pub use crate::control::refusal::Refusal;
use crate::control::state::Control;
use crate::control::stated_limits::Limit;
use crate::control::suspects::{CrashedRun, RunSubjects};
use crate::copies::{Copies, Offer};
use crate::dialect::{
    CachedPart, Dialect, EngineReport, KeyedRecord, OrderOutcome, PromptPart, WeightsOrder,
};
use crate::endpoint::{Endpoint, EndpointKey};
use crate::metrics::Metrics;
use crate::peer_sync::Fetch;
use crate::settings::Settings;

/// Software versions of the endpoints that may serve a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BuildRule {
    /// Any version.
    Any,
    /// The version that sent the events that the caller has.
    Only(Arc<str>),
    /// The version that began the stream of the request with this key; none if the
    /// caller resumes a stream without naming the request.
    SameAs(Option<u64>),
}

/// Requirements of a request that is to be assigned to an endpoint.
#[derive(Clone, Debug)]
pub struct PlacementRequest {
    /// Id of the request, used in logs.
    pub id: Arc<str>,
    /// Service whose endpoints may serve the request.
    pub service: Arc<str>,
    /// Requested model; set for engine services.
    pub model: Option<String>,
    /// Name of the workspace, if the request has one.
    pub workspace: Option<String>,
    /// Priority of the request; 0 is the most urgent.
    pub priority: u8,
    /// Prompt parts in order; the last one is specific to this request.
    pub parts: Vec<PromptPart>,
    /// Number of tokens in the whole prompt.
    pub prompt_tokens: u32,
    /// Maximum number of tokens in the answer.
    pub output_tokens: u32,
    /// What crashes may speak against.
    pub subjects: RunSubjects,
    /// Software versions that may serve it.
    pub build_rule: BuildRule,
    /// Endpoints that were already tried for this request.
    pub tried: Vec<EndpointKey>,
    /// True if the request reached one of them, in which case this attempt counts
    /// against the retry budget.
    pub is_retry: bool,
    /// True if another node handed it to this one.
    pub is_handed: bool,
    /// True if it may be handed to another node.
    pub may_hand_over: bool,
    /// Incarnations of the nodes that it was handed to.
    pub tried_nodes: Vec<u64>,
    /// Longest time to wait in the queue for an endpoint.
    pub max_wait: Duration,
    /// Time within which the response should begin.
    pub target: Duration,
    /// Time left until its deadline.
    pub time_limit: Duration,
}

/// Assignment of a request to an endpoint.
#[derive(Clone, Debug)]
pub struct Grant {
    /// Number of the run, unique at this node.
    pub run_number: u64,
    /// Endpoint that the request is assigned to.
    pub endpoint: Arc<Endpoint>,
    /// Expected time to the first token, in ms; 0 at an application server.
    pub expected_ms: f64,
    /// Version of the model weights that must serve the request.
    pub weights: Option<u64>,
    /// Salt that names the namespace of the request's cached prompt parts.
    pub salt: Option<String>,
    /// Address of an engine or KV cache store to fetch cached parts from.
    pub kv_source: Option<SocketAddr>,
    /// Address of the KV cache store to which computed parts are written.
    pub kv_sink: Option<SocketAddr>,
    /// Limit of the endpoint, if it had stated one.
    pub limit: Option<Limit>,
    /// True if the endpoint falls over when it has to refuse many requests.
    pub is_brittle: bool,
    /// Maximum number of connections that this node may keep to the endpoint.
    pub max_connections: usize,
}

/// Response to a [`PlacementRequest`].
pub type Placement = Result<Grant, Refusal>;

/// Outcome of a run at an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The endpoint returned a complete answer.
    Complete,
    /// The endpoint returned a complete answer that reports an error.
    ErrorAnswer,
    /// No connection was established, or the request was not sent over it.
    NeverConnected,
    /// A different endpoint answered at the address.
    WrongInstance,
    /// The answer was missing, incomplete or invalid.
    Broken,
    /// The endpoint did not answer in time.
    Silent,
    /// The run had not begun when the weights of its engine expired, and was ended.
    Expired,
    /// An endpoint other than an engine refused the request, which is taken to mean
    /// that it has no free capacity.
    Full,
    /// The engine refused the request, which is taken to mean that it is loading
    /// weights.
    Reloading,
    /// The engine refused the request because it has weights of another version, given
    /// here if the engine reported it.
    WrongWeights(Option<u64>),
    /// The caller disconnected.
    CallerLeft,
    /// This node had no memory for the answer.
    NoMemory,
}

impl RunEnd {
    /// True if a cut between this node and the endpoint ends runs like this.
    pub fn may_be_cut(&self) -> bool {
        matches!(self, Self::NeverConnected | Self::Broken | Self::Silent)
    }

    /// True if the endpoint has not run the request and never will.
    pub fn is_not_run(&self) -> bool {
        matches!(
            self,
            Self::NeverConnected
                | Self::WrongInstance
                | Self::Full
                | Self::Reloading
                | Self::WrongWeights(_)
        )
    }

    /// Label used in logs and metrics.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::ErrorAnswer => "error_answer",
            Self::NeverConnected => "never_connected",
            Self::WrongInstance => "wrong_instance",
            Self::Broken => "broken",
            Self::Silent => "silent",
            Self::Expired => "expired",
            Self::Full => "full",
            Self::Reloading => "reloading",
            Self::WrongWeights(_) => "wrong_weights",
            Self::CallerLeft => "caller_left",
            Self::NoMemory => "no_memory",
        }
    }
}

/// Topic of the store that each node replicates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FollowedTopic {
    /// Configuration and weight versions, written by the operator.
    Operator,
    /// Entries that endpoints write about themselves.
    Endpoints,
}

/// What to read of a topic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadRequest {
    /// The topic.
    pub topic: FollowedTopic,
    /// Time that the store may wait for a new record, in ms.
    pub wait_ms: u64,
    /// Offset before which no record is needed, because another node sent them; 0 if it
    /// is not known.
    pub known_end: u64,
}

/// Input of the control thread.
#[derive(Debug)]
pub enum Event {
    /// A request needs an endpoint.
    Place(Box<PlacementRequest>, oneshot::Sender<Placement>),
    /// The first token of a run arrived.
    FirstToken {
        /// Endpoint of the run.
        endpoint: EndpointKey,
        /// Number of the run at this node.
        run_number: u64,
        /// Version of the weights, if the endpoint reported it.
        weights: Option<u64>,
        /// Model of the request.
        model: Option<String>,
    },
    /// A new connection to an endpoint brought a response.
    EndpointConnected(EndpointKey),
    /// A probe of an endpoint ended; true if it was reached.
    EndpointProbed(EndpointKey, bool),
    /// The hand-over of a request to another node ended.
    HandoverEnded(u64),
    /// A resumable stream has brought its first event.
    StreamBegun(BegunStream),
    /// It runs on at this endpoint until the run with this number ends.
    StreamRuns((EndpointKey, u64), BegunStream),
    /// A run ended.
    RunEnded {
        /// Endpoint of the run.
        endpoint: EndpointKey,
        /// Number of the run at this node.
        run_number: u64,
        /// Outcome of the run.
        end: RunEnd,
        /// Model of the request.
        model: Option<String>,
    },
    /// A run ended with its endpoint before it brought an event.
    RunCrashed(CrashedRun),
    /// A run of this service with these subjects brought an event, or its whole response.
    RunAnswered(Arc<str>, RunSubjects),
    /// An endpoint asked something of this node in a response.
    Noticed(Arc<Endpoint>, Notice),
    /// An endpoint says that it is leaving in a response that another node has passed on.
    LeavingElsewhere {
        /// The endpoint.
        endpoint: EndpointKey,
        /// Start time of its incarnation, in Unix milliseconds.
        start_time_ms: u64,
    },
    /// An endpoint stated in a response how many requests a second it takes; none if it
    /// stated no limit.
    LimitStated(Arc<Endpoint>, Option<f64>),
    /// An endpoint stated in a response how many refusals a second it bears; none if it
    /// stated nothing.
    BrittlenessStated(Arc<Endpoint>, Option<f64>),
    /// The newest record of each key of the operator topic was read.
    OperatorSnapshot(Vec<OperatorUpdate>),
    /// New records of the operator topic.
    OperatorRecords(Vec<OperatorUpdate>),
    /// The newest record of each key of the endpoint topic was read.
    EndpointSnapshot(Vec<KeyedRecord>),
    /// New records of the endpoint topic.
    EndpointRecords(Vec<KeyedRecord>),
    /// The registry held no record of this node's name before the process registered.
    FirstRegistration,
    /// Gossip addresses of the nodes in the registry, with this one's.
    NodesListed(Vec<SocketAddr>),
    /// A read of a topic succeeded.
    TopicRead {
        /// Topic that was read.
        topic: FollowedTopic,
        /// Offset after the last record that was read.
        end: u64,
        /// Latest time at which the store is known to have held no newer record.
        at: Millis,
    },
    /// A read of a topic failed.
    TopicFailed(FollowedTopic),
    /// The store stated its era, the number of its history.
    StoreEra(u64),
    /// A call to the store failed.
    StoreFailed,
    /// A call to the store succeeded.
    StoreAnswered,
    /// A gossip datagram arrived from another node.
    Datagram(SocketAddr, Bytes),
    /// The lease topic was read; carries its end offset and its last record.
    LeaseRead(u64, Option<String>),
    /// The lease topic was trimmed; carries the oldest offset that is kept.
    LeaseTrimmed(u64),
    /// A lease record was appended at this offset.
    LeaseAppended(u64),
    /// A read of the lease topic or an append to it failed.
    LeaseFailed,
    /// The record of the software versions was read when the node started.
    BuildsRead(BuildHistory),
    /// The record of the software versions has been read, whether or not there was one.
    BuildsRecovered,
    /// An append of the record of the software versions ended; true if it is stored.
    BuildsRecorded(bool),
    /// The record of the streams that began was read when the node started.
    StreamsRead(BegunStreamList),
    /// An append to the record of the streams ended; true if it is stored.
    StreamsRecorded(bool),
    /// The record of the stopped suspects was read when the node started.
    SuspectsRead(RecordedSuspects),
    /// The record of the stopped suspects has been read, whether or not there was one.
    SuspectsRecovered,
    /// An append of the record of the stopped suspects ended; true if it is stored.
    SuspectsRecorded(bool),
    /// A weight load order was answered, or its attempt ended without an answer.
    OrderAnswered(Box<WeightsOrder>, OrderOutcome),
    /// A request for an engine's report ended; carries the report, if there is one.
    EngineReported(EndpointKey, Option<EngineReport>),
    /// An engine or the KV cache store listed the parts it holds.
    CacheListed {
        /// Key of the engine; none for the KV cache store.
        endpoint: Option<EndpointKey>,
        /// Parts that it holds.
        held: Vec<CachedPart>,
    },
    /// Another node asked for this node's copies of the topics.
    PeerSyncRequested(CopiesRequest, oneshot::Sender<Offer>),
    /// Another node sent its copies of the topics, which ends the fetch.
    PeerSyncReceived(Box<Copies>),
    /// The fetch of copies ended without any.
    PeerSyncFailed,
    /// Asks whether the process stood still at some time since then.
    StallAsked(Millis, oneshot::Sender<bool>),
    /// The node began its shutdown.
    ShutdownStarted,
    /// Stops the thread.
    Stop,
}

/// Output of the control thread, carried out by other tasks.
#[derive(Debug)]
pub enum Effect {
    /// Send a gossip datagram to these nodes.
    SendDatagram(Vec<SocketAddr>, Bytes),
    /// Read new records of a topic.
    ReadTopic(ReadRequest),
    /// Fetch copies of the topics from another node.
    FetchCopies(Fetch),
    /// Register this node's address again.
    Register,
    /// Read the lease topic starting at this offset.
    LeaseRead(u64),
    /// Append a lease record if the topic ends at this offset.
    LeaseAppend(u64),
    /// Record the software versions that may have begun a stream.
    RecordBuilds(BuildHistory),
    /// Add streams to the record of those that began.
    RecordStreams(BegunStreamList),
    /// Record the prompt parts and requests that crashes speak against.
    RecordSuspects(RecordedSuspects),
    /// Send an order to an engine.
    SendOrder(Box<WeightsOrder>),
    /// Connect to an endpoint, and keep the connection unless there are this many.
    ProbeEndpoint(Arc<Endpoint>, usize),
    /// Request an engine's report.
    RequestReport(Arc<Endpoint>),
    /// Ask an endpoint whether it is leaving.
    AskLeaving(Arc<Endpoint>),
    /// Ask an engine, or the KV cache store if there is no key, which parts it holds.
    ListCache(SocketAddr, Option<EndpointKey>),
}

/// State published by the control thread for lock-free reads by request handlers.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Incarnation of this node.
    pub incarnation: Option<u64>,
    /// Current configuration.
    pub catalog: Option<Arc<Catalog>>,
    /// When the configuration was last known to be the newest.
    pub catalog_current_at: Option<Millis>,
    /// Time within which a new configuration must be active.
    pub catalog_bound: Duration,
    /// Incarnations of the other nodes that are heard.
    pub live_nodes: BTreeSet<u64>,
    /// Address and zone of each node that accepts callers.
    pub nodes: Vec<(SocketAddr, String)>,
    /// Time at which the node's shutdown began.
    pub shutdown_at: Option<Millis>,
    /// Time at which the process ends, once its shutdown has begun.
    pub ends_at: Option<Millis>,
    /// Versions of the weights that the operator named.
    pub named_weights: Arc<NamedVersions>,
    /// Time for which superseded weights may be used, in ms.
    pub max_weights_age: Millis,
}

impl View {
    /// True if a newer configuration may be in force that this node does not know.
    pub fn may_lack_changes(&self, now: Millis) -> bool {
        let bound = self.catalog_bound.as_millis() as Millis;
        let current_at = self.catalog_current_at;
        current_at.is_none_or(|at| now > at + bound)
    }

    /// When a version of a model's weights must no longer be used; none if it is the newest.
    pub fn weights_expire_at(&self, model: &str, version: u64) -> Option<Millis> {
        let versions = self.named_weights.get(model)?;
        Some(replaced_at(versions, version)? + self.max_weights_age)
    }
}

/// Handle for sending events to the control thread and reading its published state.
#[derive(Clone, Debug)]
pub struct Handle {
    events: Sender<Event>,
    view: Arc<ArcSwap<View>>,
}

impl Handle {
    /// Sends an event. The thread normally runs until the process exits, so a failure
    /// is only logged.
    pub fn send(&self, event: Event) {
        if self.events.send(event).is_err() {
            log::error!("control thread has exited; event dropped");
        }
    }

    /// Returns the currently published state.
    pub fn view(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// Requests an endpoint for a request.
    ///
    /// # Errors
    ///
    /// If no endpoint is available in time or the retry budget is exhausted.
    pub async fn place(&self, request: PlacementRequest) -> Placement {
        let (sender, receiver) = oneshot::channel();
        self.send(Event::Place(Box::new(request), sender));
        receiver.await.unwrap_or(Err(Refusal::NoEndpoint))
    }

    /// True if the process may have stood still at some time since then.
    pub async fn may_have_stood_still(&self, since: Millis) -> bool {
        let (sender, receiver) = oneshot::channel();
        self.send(Event::StallAsked(since, sender));
        receiver.await.unwrap_or(true)
    }
}

/// Starts the control thread, which sends its effects to `effects`.
///
/// # Errors
///
/// If the thread cannot be spawned.
pub fn start(
    settings: Settings,
    dialect: &'static Dialect,
    metrics: Arc<Metrics>,
    effects: mpsc::UnboundedSender<Effect>,
) -> std::io::Result<Handle> {
    let (events, inbox) = unbounded();
    let view = Arc::new(ArcSwap::from_pointee(View::default()));
    let handle = Handle {
        events,
        view: view.clone(),
    };
    let control = Control::new(settings, dialect, rand::random(), view, metrics.clone());
    std::thread::Builder::new()
        .name("control".to_owned())
        .stack_size(512 * 1024)
        .spawn(move || run(control, &inbox, &effects, &metrics))?;
    Ok(handle)
}

/// Time for the events of a round, after which its tick is due.
const MAX_ROUND: Duration = Duration::from_millis(20);

/// Time from the first event of a round to the end of its tick from which on the round is
/// logged.
const SLOW_ROUND: Duration = Duration::from_millis(250);

fn run(
    mut control: Control,
    inbox: &Receiver<Event>,
    effects: &mpsc::UnboundedSender<Effect>,
    metrics: &Metrics,
) {
    let mut wake: Millis = now();
    loop {
        let wait = Duration::from_millis(wake.saturating_sub(now()));
        let first = inbox.recv_timeout(wait);
        let started = Instant::now();
        let queued = inbox.len();
        match first {
            Ok(Event::Stop) | Err(RecvTimeoutError::Disconnected) => return,
            Ok(event) => {
                control.handle(event, now());
                // Handling queued events before the tick is cheaper than one tick per event. But
                // only ticks read the store and send gossip.
                while started.elapsed() < MAX_ROUND
                    && let Ok(event) = inbox.try_recv()
                {
                    if matches!(event, Event::Stop) {
                        return;
                    }
                    control.handle(event, now());
                }
            }
            Err(RecvTimeoutError::Timeout) => {}
        }
        wake = control.tick(now());
        let took = started.elapsed();
        metrics.record_round(took);
        if took >= SLOW_ROUND {
            let took_ms = took.as_millis() as u64;
            log::info!(took_ms, queued, queued_now = inbox.len(); "the control thread was slow");
        }
        for effect in control.effects.drain(..) {
            if effects.send(effect).is_err() {
                return;
            }
        }
    }
}
