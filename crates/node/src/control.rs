//! The control thread: owner of all state that nodes share.
//!
//! Controllers are plain structs that take events and say what to do. This module
//! holds the events, the thread and its loop.

pub mod admission;
pub mod context;
pub mod engines;
pub mod homes;
pub mod messages;
pub mod permit;
pub mod router;
mod status;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crossbeam::channel::{Receiver, RecvTimeoutError, Sender};
use flamingolock_core::limits::{self, Limits, Share};
use flamingolock_core::manifest::Manifest;
use flamingolock_core::permit::{EntryRef, Observed, PermitId};
use flamingolock_core::prefix_model::CacheEvent;
use flamingolock_core::prelude::*;
use flamingolock_wire::message::PeerFrame;
use tokio::sync::oneshot;

use crate::control::context::{Context, Effect};
use crate::control::engines::EngineStatus;
use crate::control::permit::{Presence, Refusal, Reply, RouteAsk};
use crate::control::router::Router;
use crate::decisions::DecisionLog;
use crate::metrics::Metrics;
use crate::peers::{self, PeerCommand, PeerSender};
use crate::settings::Settings;
use crate::view::{Listed, ListedKind, ListedState, SharedView, View};

/// Longest sleep of the control thread without an event.
const TICK_MS: u64 = 10;

/// Everything that the control thread reacts to.
#[derive(Debug)]
pub enum Event {
    /// A request of a workspace arrived.
    Enter(WorkspaceId, oneshot::Sender<Result<Presence, Refusal>>),
    /// A request of a workspace ended.
    Leave(WorkspaceId),
    /// A traffic thread wants to place a request.
    Admit(RouteAsk, Reply),
    /// The caller of a waiting request left.
    Abandon(RequestId),
    /// The first token of a request came.
    FirstToken {
        /// Engine that sent it.
        engine: EngineId,
        /// Permit that the request runs under.
        permit: PermitId,
        /// What the request met.
        observed: Observed,
    },
    /// A permit is over.
    Release {
        /// Engine that the permit was for.
        engine: EngineId,
        /// The permit.
        permit: PermitId,
        /// True when the engine did not answer.
        failed: bool,
    },
    /// The platform's list was read.
    Listed(Vec<Listed>),
    /// A manifest came into force.
    Manifest(Box<Manifest>),
    /// An engine reported, or did not answer.
    Status(EngineId, Option<EngineStatus>),
    /// An engine reported changes of its cache.
    Cache {
        /// The engine.
        engine: EngineId,
        /// Life of the engine.
        incarnation: Incarnation,
        /// The changes.
        events: Vec<CacheEvent>,
    },
    /// Another node sent a message.
    Peer {
        /// The node, as it proved itself to be.
        from: EntryRef,
        /// The message.
        frame: Box<PeerFrame>,
    },
    /// The connection to another node came about, or failed.
    PeerLink {
        /// The node.
        to: InstanceId,
        /// True when messages can be sent.
        up: bool,
    },
    /// The node is shutting down.
    Leaving,
    /// End the thread.
    Stop,
}

/// The time as the control thread sees it.
pub fn now() -> Millis {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Millis(since.as_millis() as u64)
}

/// Handle to the control thread.
pub struct ControlHandle {
    /// Where events go.
    pub events: Sender<Event>,
    thread: Option<JoinHandle<()>>,
}

impl ControlHandle {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// When the system gives no further thread.
    pub fn start(
        settings: &Settings,
        incarnation: Incarnation,
        view: SharedView,
        decisions: Arc<DecisionLog>,
        peers: PeerSender,
        metrics: Arc<Metrics>,
    ) -> std::io::Result<Self> {
        let (events, inbox) = crossbeam::channel::unbounded();
        let mut control = Control {
            me: settings.node.name.clone(),
            view,
            decisions,
            router: Router::new(settings, incarnation, events.clone()),
            events: events.clone(),
            limits: Limits::default(),
            effects: Vec::new(),
            peers,
            leaving: false,
            metrics,
            status_at: Millis(0),
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

struct Control {
    me: InstanceId,
    view: SharedView,
    decisions: Arc<DecisionLog>,
    events: Sender<Event>,
    router: Router,
    limits: Limits,
    effects: Vec<Effect>,
    peers: PeerSender,
    leaving: bool,
    metrics: Arc<Metrics>,
    status_at: Millis,
}

impl Control {
    fn run(&mut self, inbox: &Receiver<Event>) {
        loop {
            let wait = self.wait();
            let received = inbox.recv_timeout(wait);
            let started = Instant::now();
            match received {
                Ok(Event::Stop) | Err(RecvTimeoutError::Disconnected) => return,
                Ok(event) => self.handle(event),
                Err(RecvTimeoutError::Timeout) => {}
            }
            self.with_context(Router::tick);
            self.perform();
            self.publish_status();
            self.metrics.control_step(started.elapsed(), now());
        }
    }

    fn wait(&self) -> Duration {
        let now = now();
        let due = self
            .router
            .next_tick(now)
            .map_or(Millis(TICK_MS), |at| at.since(now));
        Duration::from_millis(due.0.clamp(1, TICK_MS))
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Enter(workspace, reply) => {
                let presence = self.enter(workspace);
                // The drop of an undelivered presence takes it back.
                let _ = reply.send(presence);
            }
            Event::Leave(workspace) => self.limits.finish(&workspace),
            Event::Admit(ask, reply) => {
                self.with_context(|router, ctx| router.admit(ctx, ask, reply));
            }
            Event::Abandon(request) => {
                self.with_context(|router, ctx| router.abandon(ctx, &request));
            }
            Event::FirstToken {
                engine,
                permit,
                observed,
            } => {
                self.with_context(|router, ctx| router.first_token(ctx, &engine, permit, observed));
            }
            Event::Release {
                engine,
                permit,
                failed,
            } => {
                self.with_context(|router, ctx| router.release(ctx, &engine, permit, failed));
            }
            Event::Listed(listed) => self.listed(listed),
            Event::Manifest(manifest) => self.publish_manifest(*manifest),
            Event::Status(engine, status) => {
                self.with_context(|router, ctx| router.status(ctx, &engine, status));
            }
            Event::Cache {
                engine,
                incarnation,
                events,
            } => {
                self.with_context(|router, ctx| {
                    router.cache_events(ctx, &engine, incarnation, events);
                });
            }
            Event::Peer { from, frame } => self.peer(&from, &frame),
            Event::PeerLink { to, up } => log::debug!("link to {to}: {up}"),
            Event::Leaving => {
                self.leaving = true;
                self.publish(|view| view.leaving = true);
            }
            Event::Stop => {}
        }
    }

    fn with_context(&mut self, step: impl FnOnce(&mut Router, &mut Context<'_>)) {
        let mut ctx = Context {
            now: now(),
            effects: &mut self.effects,
            decisions: &self.decisions,
            view: &self.view,
        };
        step(&mut self.router, &mut ctx);
    }

    fn perform(&mut self) {
        for effect in self.effects.drain(..) {
            let command = match effect {
                Effect::Send { to, payload } => PeerCommand::Send {
                    to,
                    frame: peers::frame(payload, self.leaving),
                },
            };
            // The links are gone only when the node stops.
            let _ = self.peers.send(command);
        }
    }

    fn peer(&mut self, from: &EntryRef, frame: &PeerFrame) {
        let Some(payload) = &frame.payload else {
            return;
        };
        self.with_context(|router, ctx| router.peer(ctx, from, payload));
    }

    fn enter(&mut self, id: WorkspaceId) -> Result<Presence, Refusal> {
        let view = self.view.load();
        let Some(workspace) = view.manifest.workspaces.get(&id) else {
            return Err(Refusal {
                code: "unknown_workspace",
                retry_after: Millis(1000),
            });
        };
        let share = Share {
            entries: 1,
            position: 0,
        };
        match self.limits.admit(&id, workspace, share, now()) {
            limits::Admission::Admitted => Ok(Presence {
                workspace: id,
                events: self.events.clone(),
            }),
            limits::Admission::RateExceeded { retry_after } => Err(Refusal {
                code: "rate_limit",
                retry_after,
            }),
            limits::Admission::InflightExceeded { retry_after } => Err(Refusal {
                code: "inflight_limit",
                retry_after,
            }),
        }
    }

    fn listed(&mut self, listed: Vec<Listed>) {
        let instances: BTreeMap<String, Listed> = listed
            .into_iter()
            .map(|listed| (listed.name.clone(), listed))
            .collect();
        let mut nodes: BTreeSet<InstanceId> = instances
            .values()
            .filter(|listed| listed.kind == ListedKind::Entry)
            .filter(|listed| listed.state == ListedState::Live)
            .map(|listed| InstanceId::from(listed.name.as_str()))
            .collect();
        nodes.insert(self.me.clone());
        let addresses = instances
            .values()
            .filter_map(|listed| {
                Some((InstanceId::from(listed.name.as_str()), listed.peer_address?))
            })
            .filter(|(name, _)| *name != self.me)
            .collect();
        let _ = self.peers.send(PeerCommand::Addresses(addresses));
        self.with_context(|router, ctx| {
            router.listed(ctx, &instances);
            router.set_nodes(ctx, nodes);
        });
        self.publish(|view| view.instances = Arc::new(instances));
    }

    fn publish_manifest(&self, manifest: Manifest) {
        let mut keys = BTreeMap::new();
        for (name, workspace) in &manifest.workspaces {
            for hash in &workspace.key_hashes {
                keys.insert(hash.clone(), name.clone());
            }
        }
        self.publish(|view| {
            view.manifest = Arc::new(manifest);
            view.keys = Arc::new(keys);
            view.ready = true;
        });
    }

    fn publish(&self, change: impl FnOnce(&mut View)) {
        let mut view = View::clone(&self.view.load());
        change(&mut view);
        self.view.store(Arc::new(view));
    }
}
