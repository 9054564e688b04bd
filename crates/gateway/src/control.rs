//! The control thread: owner of all state that decisions need.
//!
//! [`Control`] is a plain struct: events go in, effects come out, and the time is
//! an argument. [`start`] runs it on a thread of its own.

pub mod cache_index;
pub mod fleet;
pub mod freshness;
pub mod lease;
pub mod peers;
pub mod retry_budget;
pub mod rollout;
pub mod state;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use bytes::Bytes;
use crossbeam::channel::{Receiver, RecvTimeoutError, Sender, unbounded};
use flamingolock_wire::knowledge::Knowledge;
use tokio::sync::{mpsc, oneshot};

use crate::catalog::Catalog;
use crate::clock::{Millis, now};
use crate::control::state::Control;
use crate::dialect::{
    Dialect, EngineReport, HeldPart, KeyedRecord, OrderOutcome, PromptPart, WeightsOrder,
};
use crate::endpoint::{Endpoint, EndpointKey};
use crate::metrics::Metrics;
use crate::settings::Settings;

/// What a request needs of an endpoint.
#[derive(Clone, Debug)]
pub struct PlacementRequest {
    /// Id of the request, for logs.
    pub id: Arc<str>,
    /// Service that must serve it.
    pub service: Arc<str>,
    /// Model, for engines.
    pub model: Option<String>,
    /// Workspace that shares cache with nobody, if it is one.
    pub isolated_workspace: Option<String>,
    /// Parts of the prompt.
    pub parts: Vec<PromptPart>,
    /// Tokens of the whole prompt.
    pub prompt_tokens: u32,
    /// Most tokens of the answer.
    pub output_tokens: u32,
    /// Endpoints that had it before.
    pub tried: Vec<EndpointKey>,
    /// True when one of them was reached, so that this try draws on the budget.
    pub is_retry: bool,
    /// Longest time to wait for a place.
    pub max_wait: Duration,
}

/// A place for a request.
#[derive(Clone, Debug)]
pub struct Grant {
    /// Number of the run at this node.
    pub run_number: u64,
    /// Where it goes.
    pub endpoint: Arc<Endpoint>,
    /// Version of the weights that must run it.
    pub weights: Option<u64>,
    /// Name space of its cached parts.
    pub salt: Option<String>,
    /// Where parts can be fetched from.
    pub fetch_from: Option<SocketAddr>,
    /// Where parts are kept.
    pub store_to: Option<SocketAddr>,
    /// Connections that this node may open to the endpoint.
    pub max_connections: usize,
}

/// Why a request got no place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No endpoint of the service is known.
    NoEndpoint,
    /// All of them load weights or have old ones.
    AllReloading,
    /// The budget for second tries is used up.
    Budget,
}

impl Refusal {
    /// Word for logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::NoEndpoint => "no_endpoint",
            Self::AllReloading => "all_reloading",
            Self::Budget => "budget",
        }
    }
}

/// The answer to an [`PlacementRequest`].
pub type Placement = Result<Grant, Refusal>;

/// How a run ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// With a whole answer.
    Complete,
    /// With an answer that reports a failure of the endpoint.
    ErrorAnswer,
    /// The endpoint did not accept the connection.
    NeverConnected,
    /// Another endpoint answered at the address.
    WrongInstance,
    /// The answer broke off, or was none.
    Broken,
    /// No answer in time.
    Silent,
    /// The endpoint was full and did not run it.
    Full,
    /// The engine loads weights and did not run it.
    Reloading,
    /// The engine has other weights, of this version where it says so.
    WrongWeights(Option<u64>),
    /// The caller left.
    CallerLeft,
}

impl RunEnd {
    /// Word for logs and metrics.
    pub fn label(&self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::ErrorAnswer => "error_answer",
            Self::NeverConnected => "never_connected",
            Self::WrongInstance => "wrong_instance",
            Self::Broken => "broken",
            Self::Silent => "silent",
            Self::Full => "full",
            Self::Reloading => "reloading",
            Self::WrongWeights(_) => "wrong_weights",
            Self::CallerLeft => "caller_left",
        }
    }
}

/// A topic of the store of which each node has a copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FollowedTopic {
    /// Configuration and weights.
    Operator,
    /// Entries of endpoints.
    Endpoints,
}

/// What the control thread reacts to.
#[derive(Debug)]
pub enum Event {
    /// A request wants a place.
    Place(Box<PlacementRequest>, oneshot::Sender<Placement>),
    /// The first token of a run came.
    FirstToken {
        /// Endpoint that runs it.
        endpoint: EndpointKey,
        /// Number of the run.
        run_number: u64,
        /// Version of the weights that the endpoint named.
        weights: Option<u64>,
        /// The model.
        model: Option<String>,
    },
    /// A run is over.
    RunEnded {
        /// Endpoint that had it.
        endpoint: EndpointKey,
        /// Number of the run.
        run_number: u64,
        /// How it ended.
        end: RunEnd,
        /// The model.
        model: Option<String>,
    },
    /// The topic of the operator was read in full.
    OperatorSnapshot(Vec<KeyedRecord>),
    /// Records of the operator.
    OperatorRecords(Vec<KeyedRecord>),
    /// The topic of the endpoints' entries was read in full.
    EndpointSnapshot(Vec<KeyedRecord>),
    /// Entries of endpoints.
    EndpointRecords(Vec<KeyedRecord>),
    /// Addresses of nodes from the registry.
    NodesListed(Vec<SocketAddr>),
    /// A topic was read.
    TopicRead {
        /// Which.
        topic: FollowedTopic,
        /// Offset behind its last record.
        end: u64,
        /// When the store held nothing newer.
        at: Millis,
    },
    /// A topic could not be read.
    TopicFailed(FollowedTopic),
    /// A call to the store did not succeed.
    StoreFailed,
    /// A call to the store succeeded.
    StoreAnswered,
    /// A datagram of another node.
    Datagram(SocketAddr, Bytes),
    /// The topic of the lease was read: its end, and the last record.
    LeaseRead(u64, Option<String>),
    /// The oldest records of the topic are gone.
    LeaseTrimmed(u64),
    /// A lease record was added.
    LeaseAppended(u64),
    /// A call about the lease did not succeed.
    LeaseFailed,
    /// An engine answered an order.
    OrderAnswered(Box<WeightsOrder>, OrderOutcome),
    /// An engine reported.
    EngineReported(EndpointKey, Option<EngineReport>),
    /// An engine, or the store of kept KV cache, told what it holds.
    CacheListed {
        /// The engine; none for the store.
        endpoint: Option<EndpointKey>,
        /// The parts.
        held: Vec<HeldPart>,
    },
    /// Another node wants to know what this one knows of the topics.
    PeerSyncRequested(oneshot::Sender<Knowledge>),
    /// Another node told what it knows of them.
    PeerSyncReceived(Box<Knowledge>),
    /// The node shuts down.
    ShutdownStarted,
    /// Ends the thread.
    Stop,
}

/// What the control thread wants done.
#[derive(Debug)]
pub enum Effect {
    /// Send a datagram to other nodes.
    SendDatagram(Vec<SocketAddr>, Bytes),
    /// Read what is new in a topic; the store may wait for it for so many ms.
    ReadTopic(FollowedTopic, u64),
    /// Ask one of these nodes what it knows of the topics.
    SyncFromPeers(Vec<SocketAddr>),
    /// Read the lease topic from an offset on.
    LeaseRead(u64),
    /// Add a lease record if the topic ends at the offset.
    LeaseAppend(u64),
    /// Give an order.
    SendOrder(Box<WeightsOrder>),
    /// Ask for a report.
    RequestReport(Arc<Endpoint>),
    /// Ask an engine, or the store if there is no key, what it holds.
    ListCache(SocketAddr, Option<EndpointKey>),
}

/// What traffic may read at any time.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The configuration in force.
    pub catalog: Option<Arc<Catalog>>,
    /// Nodes that take callers: address and zone.
    pub nodes: Vec<(SocketAddr, String)>,
    /// When the node's shutdown began, if it did.
    pub shutdown_at: Option<Millis>,
}

/// The way to the control thread.
#[derive(Clone, Debug)]
pub struct Handle {
    events: Sender<Event>,
    view: Arc<ArcSwap<View>>,
}

impl Handle {
    /// Sends an event. The thread only ends with the process.
    pub fn send(&self, event: Event) {
        if self.events.send(event).is_err() {
            log::error!("control thread is gone");
        }
    }

    /// What is published now.
    pub fn view(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// Asks for a place.
    ///
    /// # Errors
    ///
    /// When there is none.
    pub async fn place(&self, ask: PlacementRequest) -> Placement {
        let (sender, receiver) = oneshot::channel();
        self.send(Event::Place(Box::new(ask), sender));
        receiver.await.unwrap_or(Err(Refusal::NoEndpoint))
    }
}

/// Starts the control thread. Effects arrive at `effects`.
///
/// # Errors
///
/// When no thread can be started.
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
    let control = Control::new(settings, dialect, rand::random(), view, metrics);
    std::thread::Builder::new()
        .name("control".to_owned())
        .stack_size(512 * 1024)
        .spawn(move || run(control, &inbox, &effects))?;
    Ok(handle)
}

fn run(mut control: Control, inbox: &Receiver<Event>, effects: &mpsc::UnboundedSender<Effect>) {
    let mut wake: Millis = now();
    loop {
        let wait = Duration::from_millis(wake.saturating_sub(now()));
        match inbox.recv_timeout(wait) {
            Ok(Event::Stop) | Err(RecvTimeoutError::Disconnected) => return,
            Ok(event) => {
                control.handle(event, now());
                // Whatever came meanwhile is cheaper to take at once.
                while let Ok(event) = inbox.try_recv() {
                    if matches!(event, Event::Stop) {
                        return;
                    }
                    control.handle(event, now());
                }
            }
            Err(RecvTimeoutError::Timeout) => {}
        }
        wake = control.tick(now());
        for effect in control.effects.drain(..) {
            if effects.send(effect).is_err() {
                return;
            }
        }
    }
}
