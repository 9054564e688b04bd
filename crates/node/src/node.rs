//! Starts and stops the parts of a node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use flamingolock_core::prelude::*;
use flamingolock_wire::handshake::{FleetKey, Identity, KeyTooShort};
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::runtime::Runtime;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;

use crate::control::{self, ControlHandle, Event};
use crate::decisions::DecisionLog;
use crate::endpoint_http::EndpointHttp;
use crate::engine_poll::poll_engines;
use crate::filters::Traffic;
use crate::metrics::Metrics;
use crate::operators::{OperatorPort, OperatorState};
use crate::peers::{self, LinkIdentity};
use crate::platform::PlatformReaders;
use crate::server;
use crate::settings::Settings;
use crate::view::{SharedView, View};

/// Why a node could not start.
#[derive(Debug, Error)]
pub enum NodeError {
    /// A port cannot be listened on.
    #[error("cannot listen on {address}: {source}; choose a free address in `{key}`")]
    Listen {
        /// Key of the settings.
        key: &'static str,
        /// Address that was asked for.
        address: SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
    /// The fleet key protects nothing.
    #[error("fleet.key: {0}; set a longer one")]
    Key(#[from] KeyTooShort),
    /// The system gives no further thread.
    #[error("cannot start a thread: {0}")]
    Thread(#[from] std::io::Error),
}

/// A running node. Dropping it stops it at once; see [`Node::shutdown`].
pub struct Node {
    address: SocketAddr,
    peer_address: SocketAddr,
    operators: Option<OperatorPort>,
    settings: Arc<Settings>,
    view: SharedView,
    stop: watch::Sender<bool>,
    server: Option<JoinHandle<()>>,
    control: ControlHandle,
    _readers: PlatformReaders,
    runtime: Option<Runtime>,
}

impl Node {
    /// Starts a node with settings that have been checked.
    ///
    /// # Errors
    ///
    /// When a port is taken or no thread can be had.
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
        let control = ControlHandle::start(
            &settings,
            incarnation,
            Arc::clone(&view),
            Arc::clone(&decisions),
            peers,
            Arc::clone(&metrics),
        )?;
        let me = Arc::new(LinkIdentity {
            identity: Identity {
                name: settings.node.name.clone(),
                incarnation,
            },
            key: FleetKey::new(settings.fleet.key.as_bytes())?,
        });
        runtime.spawn(peers::accept(
            peer_listener,
            Arc::clone(&me),
            control.events.clone(),
        ));
        runtime.spawn(peers::run(commands, me, control.events.clone()));
        let readers = PlatformReaders::start(&settings.platform, &control.events)?;
        let http = EndpointHttp::new(settings.timing.connect_ms);
        let traffic = Traffic {
            settings: Arc::clone(&settings),
            view: Arc::clone(&view),
            http: http.clone(),
            events: control.events.clone(),
            decisions: Arc::clone(&decisions),
            metrics: Arc::clone(&metrics),
        };
        let (stop, stopping) = watch::channel(false);
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
        let operators = OperatorPort::start(state)?;
        log::info!("node {} serves callers on {address}", settings.node.name);
        Ok(Self {
            address,
            peer_address,
            operators,
            settings,
            view,
            stop,
            server: Some(server),
            control,
            _readers: readers,
            runtime: Some(runtime),
        })
    }

    /// Address of the callers' port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Address of the port for other nodes.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Address of the operators' port, when there is one.
    pub fn operator_address(&self) -> Option<SocketAddr> {
        self.operators.as_ref().map(OperatorPort::address)
    }

    /// True once a manifest is in force and `engines` engines are known.
    pub fn ready(&self, engines: usize) -> bool {
        let view = self.view.load();
        view.ready && view.answering >= engines
    }

    /// Stops listing the node, finishes what is in progress, then stops.
    pub fn shutdown(mut self) {
        let _ = self.control.events.send(Event::Leaving);
        let _ = self.stop.send(true);
        let Some(runtime) = self.runtime.take() else {
            return;
        };
        if let Some(server) = self.server.take() {
            let limit = Duration::from_millis(self.settings.timing.drain_ms);
            let _ = runtime.block_on(async { tokio::time::timeout(limit, server).await });
        }
        runtime.shutdown_timeout(Duration::from_millis(200));
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

fn listen(
    runtime: &Runtime,
    key: &'static str,
    address: SocketAddr,
) -> Result<(TcpListener, SocketAddr), NodeError> {
    let refuse = |source| NodeError::Listen {
        key,
        address,
        source,
    };
    let listener = runtime
        .block_on(TcpListener::bind(address))
        .map_err(refuse)?;
    let bound = listener.local_addr().map_err(refuse)?;
    Ok((listener, bound))
}
