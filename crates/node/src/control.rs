//! The control thread, which owns this node's copy of all state shared between nodes.
//!
//! Controllers are plain structs that handle events and request I/O by pushing
//! [`Effect`]s to their [`Context`]. This module defines the events and the thread's
//! event loop, which performs the effects after each step.

pub mod admission;
pub mod calls;
pub mod context;
pub mod controllers;
pub mod engines;
pub mod homes;
pub mod ledger;
pub mod members;
pub mod messages;
pub mod permit;
pub mod router;
mod status;

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crossbeam::channel::{Receiver, RecvTimeoutError, Sender};
use flamingolock_core::permit::{EntryRef, PermitId, PrefillStats};
use flamingolock_core::prefix_model::CacheEvent;
use flamingolock_core::prelude::*;
use flamingolock_wire::message::PeerFrame;
use tokio::sync::{mpsc, oneshot};

use crate::control::calls::{CallEvent, ForwardedCall};
use crate::control::context::{Context, Effect};
use crate::control::controllers::{Controllers, LocalNode};
use crate::control::engines::EngineStatus;
use crate::control::ledger::{LogCursors, LogEvent};
use crate::control::permit::{AdmissionSender, InflightGuard, Refusal, RouteRequest};
use crate::decisions::DecisionLog;
use crate::metrics::Metrics;
use crate::peers::{self, LinkState, PeerCommand, PeerSender};
use crate::platform::AppendJob;
use crate::settings::Settings;
use crate::view::{ListedInstance, SharedView};

/// Longest time the control thread waits for an event before it runs its timers, in
/// milliseconds.
const MAX_POLL_TIMEOUT_MS: u64 = 10;

/// Input of the control thread.
#[derive(Debug)]
pub enum Event {
    /// A request of a workspace arrived; the sender receives the decision to admit it.
    RequestStarted(WorkspaceId, oneshot::Sender<Result<InflightGuard, Refusal>>),
    /// A request of a workspace ended.
    RequestEnded(WorkspaceId),
    /// A traffic thread requests a permit to send a request to an engine.
    Admit(RouteRequest, AdmissionSender),
    /// The caller disconnected before its request was granted or refused.
    Abandon(RequestId),
    /// An engine returned the first token of a request.
    FirstToken {
        /// Engine that sent it.
        engine: EngineId,
        /// Permit that the request runs under.
        permit: PermitId,
        /// Prompt and cache statistics, and the time to the first token.
        observed: PrefillStats,
    },
    /// A permit was dropped.
    Release {
        /// Engine that the permit was for.
        engine: EngineId,
        /// The permit.
        permit: PermitId,
        /// True if the engine failed to answer the request.
        failed: bool,
    },
    /// The instance list was read from the platform.
    InstancesListed(Vec<ListedInstance>),
    /// An event of a call that may run at most once.
    Call(CallEvent),
    /// A platform thread read from the log or completed an append.
    Log(LogEvent),
    /// Result of a status poll; `None` if the engine did not answer.
    EngineStatus(EngineId, Option<EngineStatus>),
    /// An engine reported changes to its prefix cache.
    CacheEvents {
        /// The engine.
        engine: EngineId,
        /// Incarnation of the engine.
        incarnation: Incarnation,
        /// The changes.
        events: Vec<CacheEvent>,
    },
    /// Another node sent a message.
    Peer {
        /// The node, as authenticated by the handshake.
        from: EntryRef,
        /// The message.
        frame: Box<PeerFrame>,
    },
    /// The connection to another node was established or failed.
    PeerLink {
        /// The node.
        to: InstanceId,
        /// State of the connection.
        state: LinkState,
    },
    /// A node answered at a seed address from the settings.
    SeedFound {
        /// The node.
        name: InstanceId,
        /// Its address for connections from other nodes.
        address: SocketAddr,
    },
    /// The process was asked to shut down gracefully.
    ShutdownRequested,
    /// Stops the control thread.
    Stop,
}

/// Returns the wall-clock time since the Unix epoch.
pub fn now() -> Millis {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Millis(since.as_millis() as u64)
}

/// Channels from the control thread to the threads and tasks that perform I/O.
pub struct IoChannels {
    /// Commands to the task that manages connections to other nodes.
    pub peers: PeerSender,
    /// Calls forwarded by peers, to be run by traffic threads.
    pub forwarded: mpsc::UnboundedSender<ForwardedCall>,
    /// Appends, to be performed by the log writers.
    pub appends: Sender<AppendJob>,
    /// Next offset to read of each stream, shared with the log readers.
    pub cursors: Arc<LogCursors>,
}

/// Handle to the control thread, which is stopped and joined on drop.
pub struct ControlHandle {
    /// Sender of the thread's event queue.
    pub events: Sender<Event>,
    thread: Option<JoinHandle<()>>,
}

impl ControlHandle {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system cannot create a thread.
    pub fn start(
        settings: &Settings,
        local_node: LocalNode,
        view: SharedView,
        decisions: Arc<DecisionLog>,
        channels: IoChannels,
        metrics: Arc<Metrics>,
    ) -> std::io::Result<Self> {
        let (events, inbox) = crossbeam::channel::unbounded();
        let cursors = Arc::clone(&channels.cursors);
        let mut control = ControlLoop {
            controllers: Controllers::new(settings, local_node, cursors, events.clone(), now()),
            view,
            decisions,
            effects: Vec::new(),
            channels,
            metrics,
            last_status_at: Millis(0),
        };
        let thread = std::thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || control.run(&inbox))?;
        Ok(Self {
            events,
            thread: Some(thread),
        })
    }
}

impl Drop for ControlHandle {
    fn drop(&mut self) {
        let _ = self.events.send(Event::Stop);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

struct ControlLoop {
    controllers: Controllers,
    view: SharedView,
    decisions: Arc<DecisionLog>,
    effects: Vec<Effect>,
    channels: IoChannels,
    metrics: Arc<Metrics>,
    last_status_at: Millis,
}

impl ControlLoop {
    fn run(&mut self, inbox: &Receiver<Event>) {
        loop {
            let received = inbox.recv_timeout(self.poll_timeout());
            let started = Instant::now();
            match received {
                Ok(Event::Stop) | Err(RecvTimeoutError::Disconnected) => return,
                Ok(event) => self.step(|controllers, ctx| handle(controllers, ctx, event)),
                Err(RecvTimeoutError::Timeout) => {}
            }
            self.step(Controllers::tick);
            self.run_effects();
            self.publish_status();
            self.metrics.control_step(started.elapsed(), now());
        }
    }

    fn poll_timeout(&self) -> Duration {
        let now = now();
        let due = self
            .controllers
            .next_tick(now)
            .map_or(Millis(MAX_POLL_TIMEOUT_MS), |at| at.since(now));
        Duration::from_millis(due.0.clamp(1, MAX_POLL_TIMEOUT_MS))
    }

    fn step(&mut self, step: impl FnOnce(&mut Controllers, &mut Context<'_>)) {
        let mut ctx = Context {
            now: now(),
            effects: &mut self.effects,
            decisions: &self.decisions,
            view: &self.view,
        };
        step(&mut self.controllers, &mut ctx);
    }

    fn run_effects(&mut self) {
        let leaving = self.controllers.is_leaving();
        for effect in self.effects.drain(..) {
            // A send fails only when its receiver has exited because the node stops.
            match effect {
                Effect::Send { to, payload } => {
                    let frame = peers::frame(payload, leaving);
                    let _ = self.channels.peers.send(PeerCommand::Send { to, frame });
                }
                Effect::SetPeerAddresses(addresses) => {
                    let _ = self.channels.peers.send(PeerCommand::Addresses(addresses));
                }
                Effect::Reconnect(to) => {
                    let _ = self.channels.peers.send(PeerCommand::Reconnect(to));
                }
                Effect::RunForwardedCall(call) => {
                    let _ = self.channels.forwarded.send(*call);
                }
                Effect::Append {
                    stream,
                    batch,
                    records,
                } => {
                    let _ = self.channels.appends.send(AppendJob {
                        stream,
                        batch,
                        records,
                    });
                }
            }
        }
    }
}

fn handle(controllers: &mut Controllers, ctx: &mut Context<'_>, event: Event) {
    match event {
        Event::RequestStarted(workspace, reply) => {
            let presence = controllers.start_request(ctx, workspace);
            // An undelivered guard is dropped, which ends the request.
            let _ = reply.send(presence);
        }
        Event::RequestEnded(workspace) => controllers.end_request(ctx, &workspace),
        Event::Admit(route_request, reply) => controllers.router.admit(ctx, route_request, reply),
        Event::Abandon(request) => controllers.router.abandon(ctx, &request),
        Event::FirstToken {
            engine,
            permit,
            observed,
        } => {
            controllers
                .router
                .handle_first_token(ctx, &engine, permit, observed);
        }
        Event::Release {
            engine,
            permit,
            failed,
        } => {
            controllers.router.release(ctx, &engine, permit, failed);
        }
        Event::InstancesListed(listed) => controllers.update_instances(ctx, &listed, true),
        Event::Call(event) => controllers.handle_call_event(ctx, event),
        Event::Log(event) => controllers.handle_log_event(ctx, event),
        Event::EngineStatus(engine, status) => controllers
            .router
            .handle_engine_status(ctx, &engine, status),
        Event::CacheEvents {
            engine,
            incarnation,
            events,
        } => {
            controllers
                .router
                .handle_cache_events(ctx, &engine, incarnation, events);
        }
        Event::Peer { from, frame } => {
            if let Some(payload) = &frame.payload {
                controllers.handle_peer_message(ctx, &from, frame.leaving, payload);
            }
        }
        Event::PeerLink { to, state } => controllers.handle_link_state(ctx, &to, state),
        Event::SeedFound { name, address } => controllers.add_seed_node(ctx, &name, address),
        Event::ShutdownRequested => controllers.begin_shutdown(ctx),
        Event::Stop => {}
    }
}
