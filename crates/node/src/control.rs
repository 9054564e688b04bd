//! The control thread: owner of all state that nodes share.
//!
//! Controllers are plain structs that take events and say what to do. This module
//! holds the events, the thread and its loop.

pub mod admission;
pub mod calls;
pub mod context;
pub mod engines;
pub mod homes;
pub mod ledger;
pub mod messages;
pub mod permit;
pub mod router;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crossbeam::channel::{Receiver, RecvTimeoutError, Sender};
use flamingolock_core::limits::{self, Limits, Share};
use flamingolock_core::permit::{EntryRef, Observed, PermitId};
use flamingolock_core::prefix_model::CacheEvent;
use flamingolock_core::prelude::*;
use flamingolock_core::record::NodeIncarnation;
use flamingolock_wire::message::{Payload, PeerFrame};
use tokio::sync::{mpsc, oneshot};

use crate::control::calls::{CallEvent, Calls, ForwardedCall};
use crate::control::context::{Context, Effect};
use crate::control::engines::EngineStatus;
use crate::control::ledger::{Ledger, LogCursors, LogEvent};
use crate::control::permit::{Presence, Refusal, Reply, RouteAsk};
use crate::control::router::Router;
use crate::decisions::DecisionLog;
use crate::peers::{self, PeerCommand, PeerSender};
use crate::platform::AppendJob;
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
    /// Traffic threads report about calls that may run at most once.
    Call(CallEvent),
    /// The threads at the platform report.
    Log(LogEvent),
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

/// Ways from the control thread to the I/O side.
pub struct Wiring {
    /// Links to other nodes.
    pub peers: PeerSender,
    /// Traffic threads that run calls which peers handed on.
    pub forwarded: mpsc::UnboundedSender<ForwardedCall>,
    /// Writers of the log.
    pub appends: Sender<AppendJob>,
    /// Where readers of the log go on.
    pub cursors: Arc<LogCursors>,
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
        wiring: Wiring,
    ) -> std::io::Result<Self> {
        let me = NodeIncarnation {
            instance: settings.node.name.clone(),
            incarnation,
        };
        let (events, inbox) = crossbeam::channel::unbounded();
        let mut control = Control {
            me: settings.node.name.clone(),
            view,
            decisions,
            controllers: Controllers {
                router: Router::new(settings, incarnation, events.clone()),
                calls: Calls::new(me.clone()),
                heard: BTreeMap::new(),
                ledger: Ledger::new(me, &settings.platform, wiring.cursors, now()),
                limits: Limits::default(),
            },
            events: events.clone(),
            effects: Vec::new(),
            peers: wiring.peers,
            appends: wiring.appends,
            forwarded: wiring.forwarded,
            leaving: false,
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
    controllers: Controllers,
    effects: Vec<Effect>,
    peers: PeerSender,
    appends: Sender<AppendJob>,
    forwarded: mpsc::UnboundedSender<ForwardedCall>,
    leaving: bool,
}

/// State of the control thread, by what it is about.
struct Controllers {
    router: Router,
    ledger: Ledger,
    calls: Calls,
    heard: BTreeMap<InstanceId, Incarnation>,
    limits: Limits,
}

impl Control {
    fn run(&mut self, inbox: &Receiver<Event>) {
        loop {
            let wait = self.wait();
            match inbox.recv_timeout(wait) {
                Ok(Event::Stop) | Err(RecvTimeoutError::Disconnected) => return,
                Ok(event) => self.handle(event),
                Err(RecvTimeoutError::Timeout) => {}
            }
            self.step(|all, ctx| {
                all.router.tick(ctx);
                all.ledger.tick(ctx);
                all.tick_calls(ctx);
            });
            self.perform();
        }
    }

    fn wait(&self) -> Duration {
        let now = now();
        let due = self
            .controllers
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
            Event::Leave(workspace) => self.controllers.limits.finish(&workspace),
            Event::Admit(ask, reply) => {
                self.step(|all, ctx| all.router.admit(ctx, ask, reply));
            }
            Event::Abandon(request) => {
                self.step(|all, ctx| all.router.abandon(ctx, &request));
            }
            Event::FirstToken {
                engine,
                permit,
                observed,
            } => {
                self.step(|all, ctx| all.router.first_token(ctx, &engine, permit, observed));
            }
            Event::Release {
                engine,
                permit,
                failed,
            } => {
                self.step(|all, ctx| all.router.release(ctx, &engine, permit, failed));
            }
            Event::Listed(listed) => self.listed(listed),
            Event::Call(event) => self.step(|all, ctx| all.call(ctx, event)),
            Event::Log(event) => self.step(|all, ctx| all.ledger.handle(ctx, event)),
            Event::Status(engine, status) => {
                self.step(|all, ctx| all.router.status(ctx, &engine, status));
            }
            Event::Cache {
                engine,
                incarnation,
                events,
            } => {
                self.step(|all, ctx| {
                    all.router.cache_events(ctx, &engine, incarnation, events);
                });
            }
            Event::Peer { from, frame } => self.peer(&from, &frame),
            Event::PeerLink { to, up } => self.step(|all, ctx| all.link(ctx, &to, up)),
            Event::Leaving => {
                self.leaving = true;
                self.publish(|view| view.leaving = true);
            }
            Event::Stop => {}
        }
    }

    fn step<T>(&mut self, step: impl FnOnce(&mut Controllers, &mut Context<'_>) -> T) -> T {
        let mut ctx = Context {
            now: now(),
            effects: &mut self.effects,
            decisions: &self.decisions,
            view: &self.view,
        };
        step(&mut self.controllers, &mut ctx)
    }

    fn perform(&mut self) {
        for effect in self.effects.drain(..) {
            // The links and writers are gone only when the node stops.
            match effect {
                Effect::Send { to, payload } => {
                    let frame = peers::frame(payload, self.leaving);
                    let _ = self.peers.send(PeerCommand::Send { to, frame });
                }
                Effect::Forwarded(call) => {
                    let _ = self.forwarded.send(*call);
                }
                Effect::Append {
                    stream,
                    batch,
                    records,
                } => {
                    let _ = self.appends.send(AppendJob {
                        stream,
                        batch,
                        records,
                    });
                }
            }
        }
    }

    fn peer(&mut self, from: &EntryRef, frame: &PeerFrame) {
        let Some(payload) = &frame.payload else {
            return;
        };
        self.step(|all, ctx| all.peer(ctx, from, payload));
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
        match self.controllers.limits.admit(&id, workspace, share, now()) {
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
        self.step(|all, ctx| {
            all.router.listed(ctx, &instances);
            all.router.set_nodes(ctx, nodes);
        });
        self.publish(|view| view.instances = Arc::new(instances));
    }

    fn publish(&self, change: impl FnOnce(&mut View)) {
        let mut view = View::clone(&self.view.load());
        change(&mut view);
        self.view.store(Arc::new(view));
    }
}

impl Controllers {
    fn peer(&mut self, ctx: &mut Context<'_>, from: &EntryRef, payload: &Payload) {
        let newest = self.heard.entry(from.instance.clone()).or_default();
        *newest = from.incarnation.max(*newest);
        match payload {
            Payload::CallForward(_) | Payload::CallAnswer(_) => {
                let heard = &self.heard;
                let is_live = |node: &NodeIncarnation| is_live(heard, node);
                self.calls
                    .peer(ctx, self.ledger.claims(), &is_live, from, payload);
            }
            _ => self.router.peer(ctx, from, payload),
        }
    }

    fn link(&mut self, ctx: &mut Context<'_>, to: &InstanceId, up: bool) {
        if up {
            return;
        }
        let heard = &self.heard;
        let is_live = |node: &NodeIncarnation| is_live(heard, node);
        self.calls
            .link_down(ctx, self.ledger.claims(), &is_live, to);
    }

    fn call(&mut self, ctx: &mut Context<'_>, event: CallEvent) {
        let heard = &self.heard;
        let is_live = |node: &NodeIncarnation| is_live(heard, node);
        self.calls
            .handle(ctx, self.ledger.claims(), &is_live, event);
    }

    fn tick_calls(&mut self, ctx: &mut Context<'_>) {
        let heard = &self.heard;
        let is_live = |node: &NodeIncarnation| is_live(heard, node);
        for news in self.ledger.take_news() {
            self.calls.news(ctx, self.ledger.claims(), &is_live, &news);
        }
        self.calls.tick(ctx, &mut self.ledger, &is_live);
    }
}

/// A life of a node counts as live until a later one was heard of.
fn is_live(heard: &BTreeMap<InstanceId, Incarnation>, node: &NodeIncarnation) -> bool {
    heard
        .get(&node.instance)
        .is_none_or(|newest| *newest <= node.incarnation)
}
