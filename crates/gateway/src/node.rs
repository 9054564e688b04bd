//! Startup, main loop and shutdown of a node.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep};

use crate::connection_limit::ConnectionLimit;
use crate::connection_pool::Pool;
use crate::control::{self, Event, FollowedTopic, Handle};
use crate::dialect::Dialect;
use crate::exchange::{ProcessEnd, ProxyContext};
use crate::gossip;
use crate::memory_budget::MemoryBudget;
use crate::memory_plan::{MemoryPlan, Port};
use crate::metrics::Metrics;
use crate::node_port;
use crate::receive_buffer::WideBuffers;
use crate::server::{self, ConnectionCount};
use crate::settings::Settings;
use crate::store;

/// Minimum time between SIGTERM and exit, during which callers may still use the
/// node's address.
const MIN_SHUTDOWN_TIME: Duration = Duration::from_millis(2_500);

/// Interval for checking whether connections are still open.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Time before the end of the process at which what is still open is answered.
const ANSWER_TIME: Duration = Duration::from_millis(100);

/// Error that keeps a node from starting.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// A socket cannot be opened.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// Address from the settings.
        address: SocketAddr,
        /// Error of the system.
        source: io::Error,
    },
    /// A thread or a signal handler cannot be started.
    #[error("cannot start: {0}")]
    Resource(#[from] io::Error),
}

/// Runs a node until SIGTERM or SIGINT and a graceful shutdown. `reload` is called on
/// SIGHUP and returns whether the settings file is still valid.
///
/// # Errors
///
/// If a port cannot be opened or a thread cannot be started.
pub fn run(
    settings: Settings,
    dialect: &'static Dialect,
    reload: impl Fn() -> Result<(), String>,
) -> Result<(), StartError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(serve(settings, dialect, reload))
}

async fn serve(
    settings: Settings,
    dialect: &'static Dialect,
    reload: impl Fn() -> Result<(), String>,
) -> Result<(), StartError> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let (effects, effect_receiver) = mpsc::unbounded_channel();
    let socket = gossip::bind(settings.gossip)
        .await
        .map_err(|source| listen_error(settings.gossip, source))?;
    let metrics = Arc::new(Metrics::default());
    let handle = control::start(settings.clone(), dialect, metrics.clone(), effects)?;
    let (end_sender, process_end) = ProcessEnd::channel();
    let plan = MemoryPlan::of_memory(settings.memory_mb);
    let context = ProxyContext {
        process_end,
        handle: handle.clone(),
        dialect,
        pool: Pool::default(),
        node_pool: Pool::default(),
        metrics: metrics.clone(),
        memory: MemoryBudget::of_memory(settings.memory_mb),
        wide_buffers: WideBuffers::with_limit(plan.wide_buffers(), metrics.clone()),
    };
    let limit = |port| ConnectionLimit::of(port, settings.max_fds, settings.memory_mb);
    let connections = ConnectionCount::default();
    let (shutdown_sender, shutdown) = watch::channel(false);
    let caller_listener = listen(settings.callers, Port::Callers, plan)?;
    serve_internal_ports(&settings, &context)?;
    if let Some(address) = settings.control {
        let listener = listen(address, Port::Nodes, plan)?;
        tokio::spawn(node_port::serve(
            listener,
            limit(Port::Nodes),
            context.clone(),
            metrics.clone(),
            connections.clone(),
            shutdown.clone(),
        ));
    }
    tokio::spawn(gossip::receive(
        socket.clone(),
        handle.clone(),
        metrics.clone(),
    ));
    let read_requests = [FollowedTopic::Operator, FollowedTopic::Endpoints].map(|topic| {
        let (sender, receiver) = mpsc::unbounded_channel();
        tokio::spawn(store::follow(
            settings.clone(),
            dialect,
            handle.clone(),
            topic,
            receiver,
        ));
        sender
    });
    let (registrations, lost_registrations) = mpsc::unbounded_channel();
    tokio::spawn(gossip::run_effects(
        socket,
        settings.clone(),
        context.clone(),
        read_requests,
        registrations,
        effect_receiver,
    ));
    tokio::spawn(store::keep_registered(
        settings.clone(),
        dialect,
        handle.clone(),
        lost_registrations,
    ));
    recover_records(&settings, dialect, &handle);
    tokio::spawn(server::serve_callers(
        caller_listener,
        limit(Port::Callers),
        context,
        metrics,
        connections.clone(),
        shutdown,
    ));
    log::info!(node = settings.node.as_str(), zone = settings.zone.as_str(), callers:% = settings.callers,
        store:% = settings.store; "node started");
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => match reload() {
                Ok(()) => log::info!("settings read again"),
                Err(error) => log::warn!(error = error.as_str(); "settings not read again, the old ones stay"),
            },
        }
    }
    let signals = ShutdownSignals {
        started: shutdown_sender,
        ends: end_sender,
    };
    shut_down(&settings, &handle, &signals, &connections).await;
    Ok(())
}

/// Opens and serves the directory, readiness and metrics ports.
fn serve_internal_ports(settings: &Settings, context: &ProxyContext) -> Result<(), StartError> {
    let plan = MemoryPlan::of_memory(settings.memory_mb);
    let limit = |port| ConnectionLimit::of(port, settings.max_fds, settings.memory_mb);
    let ports = [
        (settings.directory, Port::Directory),
        (settings.ready, Port::Internal),
    ];
    for (address, port) in ports {
        tokio::spawn(server::serve_directory(
            listen(address, port, plan)?,
            limit(port),
            context.clone(),
        ));
    }
    tokio::spawn(server::serve_metrics(
        listen(settings.metrics, Port::Internal, plan)?,
        limit(Port::Internal),
        context.metrics.clone(),
    ));
    Ok(())
}

/// Reads what the nodes recorded before all of them ended.
fn recover_records(settings: &Settings, dialect: &'static Dialect, handle: &Handle) {
    tokio::spawn(recover_streams(settings.clone(), dialect, handle.clone()));
    tokio::spawn(recover_suspects(settings.clone(), dialect, handle.clone()));
}

/// Reads the record of the suspects.
async fn recover_suspects(settings: Settings, dialect: &'static Dialect, handle: Handle) {
    store::read_record(
        settings,
        dialect,
        handle.clone(),
        dialect.topics.suspects,
        Event::SuspectsRead,
    )
    .await;
    handle.send(Event::SuspectsRecovered);
}

/// Reads the records of streams and of software versions. The versions come last: with them
/// the node takes it that it knows which one began a stream that is not recorded.
async fn recover_streams(settings: Settings, dialect: &'static Dialect, handle: Handle) {
    let topics = &dialect.topics;
    store::read_log(
        settings.clone(),
        dialect,
        handle.clone(),
        topics.streams,
        Event::StreamsRead,
    )
    .await;
    store::read_record(
        settings,
        dialect,
        handle.clone(),
        topics.builds,
        Event::BuildsRead,
    )
    .await;
    handle.send(Event::BuildsRecovered);
}

fn listen(address: SocketAddr, port: Port, plan: MemoryPlan) -> Result<TcpListener, StartError> {
    server::listen(address, port, plan).map_err(|source| listen_error(address, source))
}

fn listen_error(address: SocketAddr, source: io::Error) -> StartError {
    StartError::Listen { address, source }
}

/// Tell the servers about a shutdown. Sending fails only if there is no receiver left, that is,
/// no connection.
struct ShutdownSignals {
    /// It has begun.
    started: watch::Sender<bool>,
    /// The process is about to end.
    ends: watch::Sender<bool>,
}

/// Announces the shutdown to the other nodes and waits for open connections to end,
/// at least [`MIN_SHUTDOWN_TIME`] and within the grace period. What is still open just before
/// its end is answered then.
async fn shut_down(
    settings: &Settings,
    handle: &Handle,
    signals: &ShutdownSignals,
    connections: &ConnectionCount,
) {
    log::info!(open = connections.count(); "shutting down");
    let started = Instant::now();
    handle.send(Event::ShutdownStarted);
    let _ = signals.started.send(true);
    let last = settings.shutdown_time();
    let answers_due = last.saturating_sub(ANSWER_TIME);
    while started.elapsed() < last
        && (started.elapsed() < MIN_SHUTDOWN_TIME || connections.count() > 0)
    {
        if started.elapsed() >= answers_due && !*signals.ends.borrow() {
            log::info!(open = connections.count(); "answering what is still open");
            let _ = signals.ends.send(true);
        }
        sleep(SHUTDOWN_POLL_INTERVAL).await;
    }
    log::info!(open = connections.count(), took_ms = started.elapsed().as_millis() as u64; "stopped");
}
