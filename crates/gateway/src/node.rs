//! A node from start to end.

use std::sync::Arc;
use std::time::Duration;

use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep};

use crate::attempt::Means;
use crate::control::{self, Event, FollowedTopic, Handle};
use crate::dialect::Dialect;
use crate::gossip_link;
use crate::http_client::Pool;
use crate::knowledge_link;
use crate::metrics::Metrics;
use crate::server::{self, Open};
use crate::settings::Settings;
use crate::store;

/// Least time between SIGTERM and the end, while callers still have the address.
const LINGER: Duration = Duration::from_millis(2_500);

/// Part of the grace that is left unused, for the end itself.
const GRACE_MARGIN: Duration = Duration::from_millis(250);

/// Pause between looks at the connections that are left.
const LOOK: Duration = Duration::from_millis(50);

/// Runs a node until SIGTERM and the end of its requests. `reload` is called at
/// SIGHUP and tells whether the settings file can still be read.
///
/// # Errors
///
/// When a port cannot be opened or a thread not started.
pub fn run(
    settings: Settings,
    dialect: &'static Dialect,
    reload: impl Fn() -> Result<(), String>,
) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(serve(settings, dialect, reload))
}

async fn serve(
    settings: Settings,
    dialect: &'static Dialect,
    reload: impl Fn() -> Result<(), String>,
) -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let (effects, wanted) = mpsc::unbounded_channel();
    let socket = gossip_link::bind(settings.gossip).await?;
    let metrics = Arc::new(Metrics::default());
    let handle = control::start(settings.clone(), dialect, metrics.clone(), effects)?;
    let means = Means {
        handle: handle.clone(),
        dialect,
        pool: Pool::default(),
    };
    let open = Open::default();
    let (leave, leaving) = watch::channel(false);
    let callers = server::listen(settings.callers)?;
    let directory = server::listen(settings.directory)?;
    let ready = server::listen(settings.ready)?;
    let measured = server::listen(settings.metrics)?;
    if let Some(address) = settings.control {
        let listener = server::listen(address)?;
        tokio::spawn(knowledge_link::teach(listener, handle.clone()));
    }
    tokio::spawn(gossip_link::receive(socket.clone(), handle.clone()));
    let tails = [FollowedTopic::Operator, FollowedTopic::Endpoints].map(|topic| {
        let (tail, wishes) = mpsc::unbounded_channel();
        tokio::spawn(store::follow(
            settings.clone(),
            dialect,
            handle.clone(),
            topic,
            wishes,
        ));
        tail
    });
    tokio::spawn(gossip_link::carry_out(
        socket,
        settings.clone(),
        dialect,
        handle.clone(),
        tails,
        wanted,
    ));
    tokio::spawn(store::keep_registered(
        settings.clone(),
        dialect,
        handle.clone(),
    ));
    tokio::spawn(server::serve_directory(directory, means.clone()));
    tokio::spawn(server::serve_directory(ready, means.clone()));
    tokio::spawn(server::serve_metrics(measured, metrics.clone()));
    tokio::spawn(server::serve_callers(
        callers,
        means,
        metrics,
        open.clone(),
        leaving,
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
    leave_fleet(&settings, &handle, &leave, &open).await;
    Ok(())
}

/// Tells the others, finishes what is in progress, and stays as long as callers
/// may still connect.
async fn leave_fleet(
    settings: &Settings,
    handle: &Handle,
    leave: &watch::Sender<bool>,
    open: &Open,
) {
    log::info!(open = open.count(); "shutting down");
    let started = Instant::now();
    handle.send(Event::ShutdownStarted);
    // All connections have ended if nobody listens.
    let _ = leave.send(true);
    let last = settings.grace.saturating_sub(GRACE_MARGIN);
    while started.elapsed() < last && (started.elapsed() < LINGER || open.count() > 0) {
        sleep(LOOK).await;
    }
    log::info!(open = open.count(), took_ms = started.elapsed().as_millis() as u64; "stopped");
}
