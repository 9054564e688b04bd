//! Starts and shuts down a node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use flamingolock_core::entry_token::{FleetKeys, TokenError};
use flamingolock_core::members::Instance;
use flamingolock_core::prelude::*;
use flamingolock_core::record::NodeIncarnation;
use flamingolock_wire::handshake::{FleetKey, Identity, KeyTooShort};
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::runtime::Runtime;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;

use crate::call_task;
use crate::control::controllers::LocalNode;
use crate::control::ledger::LogCursors;
use crate::control::{self, ControlHandle, Event, IoChannels};
use crate::decisions::DecisionLog;
use crate::endpoint_client::EndpointClient;
use crate::engine_poll::poll_engines;
use crate::filters::TrafficContext;
use crate::metrics::Metrics;
use crate::operators::{OperatorServer, OperatorState};
use crate::peers::{self, LinkIdentity, PeerCommand};
use crate::platform::PlatformThreads;
use crate::server;
use crate::settings::Settings;
use crate::view::{DrainPhase, SharedView, View};

/// Interval at which a shutdown polls the drain phase.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Timeout for sending the final events of streams that are aborted when the drain
/// reaches its time limit.
const FINAL_EVENTS_TIMEOUT: Duration = Duration::from_secs(1);

/// Reason why a node could not start.
#[derive(Debug, Error)]
pub enum NodeError {
    /// A listening socket cannot be bound.
    #[error("cannot listen on {address}: {source}; choose a free address in `{key}`")]
    Listen {
        /// Settings key of the address.
        key: &'static str,
        /// Configured address.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The fleet key is too short for the handshake between nodes.
    #[error("fleet.key: {0}; set a longer one")]
    Key(#[from] KeyTooShort),
    /// The fleet key cannot be used to sign tokens.
    #[error("fleet.key: {0}; set a longer one")]
    Token(#[from] TokenError),
    /// A thread or a runtime cannot be created.
    #[error("cannot start a thread: {0}")]
    Thread(#[from] std::io::Error),
}

/// A running node. Dropping it stops it immediately; [`Node::shutdown`] drains it first.
pub struct Node {
    address: SocketAddr,
    peer_address: SocketAddr,
    operators: Option<OperatorServer>,
    view: SharedView,
    stop: watch::Sender<bool>,
    abort_streams: watch::Sender<bool>,
    server: Option<JoinHandle<()>>,
    control: ControlHandle,
    _threads: PlatformThreads,
    runtime: Option<Runtime>,
}

impl Node {
    /// Starts a node with validated settings.
    ///
    /// # Errors
    ///
    /// Returns an error if a port is in use, the fleet key is unusable or a thread
    /// cannot be created.
    pub fn start(settings: Settings) -> Result<Self, NodeError> {
        let settings = Arc::new(settings);
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(settings.node.threads)
            .thread_name("traffic")
            .enable_all()
            .build()?;
        let (listener, address) = listen(&runtime, "node.listen", settings.node.listen)?;
        let (peer_listener, peer_address) =
            listen(&runtime, "node.peer_listen", settings.node.peer_listen)?;
        let view = Arc::new(ArcSwap::from_pointee(View::default()));
        let decisions = Arc::new(DecisionLog::new(settings.node.name.clone()));
        let incarnation = Incarnation(control::now().0);
        let metrics = Arc::new(Metrics::default());
        let (peers, commands) = mpsc::unbounded_channel();
        let (forwarded, forwarded_calls) = mpsc::unbounded_channel();
        let (appends, jobs) = crossbeam::channel::unbounded();
        let cursors = Arc::new(LogCursors::default());
        let row = Instance {
            name: settings.node.name.clone(),
            address,
            peer_address,
            zone: settings.node.zone.clone(),
            leaving: false,
        };
        let control = ControlHandle::start(
            &settings,
            LocalNode { row, incarnation },
            Arc::clone(&view),
            Arc::clone(&decisions),
            IoChannels {
                peers,
                forwarded,
                appends,
                cursors: Arc::clone(&cursors),
            },
            Arc::clone(&metrics),
        )?;
        let identity = Identity {
            name: settings.node.name.clone(),
            incarnation,
        };
        start_peer_links(
            &runtime,
            &settings,
            identity,
            peer_listener,
            commands,
            &control,
        )?;
        let threads = PlatformThreads::start(&settings.platform, &control.events, &cursors, &jobs)?;
        let (abort_streams, abort_signal) = watch::channel(false);
        let http = EndpointClient::new(settings.timing.connect_ms);
        let traffic = TrafficContext {
            settings: Arc::clone(&settings),
            view: Arc::clone(&view),
            http: http.clone(),
            events: control.events.clone(),
            node: NodeIncarnation {
                instance: settings.node.name.clone(),
                incarnation,
            },
            keys: Arc::new(FleetKeys::new(vec![
                settings.fleet.key.clone().into_bytes(),
            ])?),
            decisions: Arc::clone(&decisions),
            metrics: Arc::clone(&metrics),
            abort_signal,
        };
        let (stop, stopping) = watch::channel(false);
        runtime.spawn(call_task::serve_forwarded(traffic.clone(), forwarded_calls));
        let server = runtime.spawn(server::serve(listener, traffic, stopping));
        runtime.spawn(poll_engines(
            Arc::clone(&view),
            http,
            settings.timing.clone(),
            control.events.clone(),
        ));
        let state = OperatorState {
            settings: Arc::clone(&settings),
            incarnation,
            view: Arc::clone(&view),
            decisions,
            metrics,
            started: control::now(),
        };
        let operators = OperatorServer::start(state)?;
        log::info!("node {} serves callers on {address}", settings.node.name);
        Ok(Self {
            address,
            peer_address,
            operators,
            view,
            stop,
            abort_streams,
            server: Some(server),
            control,
            _threads: threads,
            runtime: Some(runtime),
        })
    }

    /// Address on which callers are served.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Address on which peers are accepted.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Address of the operators' port, if one is configured.
    pub fn operator_address(&self) -> Option<SocketAddr> {
        self.operators.as_ref().map(OperatorServer::address)
    }

    /// Returns true if a manifest is in force and at least `engines` engines answer.
    pub fn ready(&self, engines: usize) -> bool {
        let view = self.view.load();
        view.ready && view.answering >= engines
    }

    /// Shuts the node down gracefully: withdraws it from the entries, keeps serving
    /// callers that still have older entries, waits for requests in progress, and stops.
    pub fn shutdown(mut self) {
        let _ = self.control.events.send(Event::ShutdownRequested);
        self.wait_for_phase(DrainPhase::Finishing);
        let _ = self.stop.send(true);
        let Some(runtime) = self.runtime.take() else {
            return;
        };
        if let Some(server) = self.server.take() {
            runtime.block_on(self.drain_server(server));
        }
        runtime.shutdown_timeout(Duration::from_millis(200));
    }

    /// Waits for requests in progress. When the drain reaches its time limit, the
    /// remaining streams are ended with an error event.
    async fn drain_server(&self, mut server: JoinHandle<()>) {
        while self.view.load().phase < DrainPhase::Ending {
            if tokio::time::timeout(POLL_INTERVAL, &mut server)
                .await
                .is_ok()
            {
                return;
            }
        }
        let _ = self.abort_streams.send(true);
        let _ = tokio::time::timeout(FINAL_EVENTS_TIMEOUT, &mut server).await;
    }

    fn wait_for_phase(&self, phase: DrainPhase) {
        while self.view.load().phase < phase {
            std::thread::sleep(POLL_INTERVAL);
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

fn start_peer_links(
    runtime: &Runtime,
    settings: &Settings,
    identity: Identity,
    listener: TcpListener,
    commands: mpsc::UnboundedReceiver<PeerCommand>,
    control: &ControlHandle,
) -> Result<(), NodeError> {
    let key = FleetKey::new(settings.fleet.key.as_bytes())?;
    let me = Arc::new(LinkIdentity { identity, key });
    let events = &control.events;
    runtime.spawn(peers::accept(listener, Arc::clone(&me), events.clone()));
    let seeds = settings.fleet.seeds.clone();
    runtime.spawn(peers::contact_seeds(seeds, Arc::clone(&me), events.clone()));
    runtime.spawn(peers::run(commands, me, events.clone()));
    Ok(())
}

fn listen(
    runtime: &Runtime,
    key: &'static str,
    address: SocketAddr,
) -> Result<(TcpListener, SocketAddr), NodeError> {
    let listen_error = |source| NodeError::Listen {
        key,
        address,
        source,
    };
    let listener = runtime
        .block_on(TcpListener::bind(address))
        .map_err(listen_error)?;
    let bound = listener.local_addr().map_err(listen_error)?;
    Ok((listener, bound))
}
