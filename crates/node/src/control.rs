//! The control thread: owner of all state that nodes share.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crossbeam::channel::{Receiver, RecvTimeoutError, Sender};
use flamingolock_core::manifest::Manifest;
use flamingolock_core::prelude::*;
use flamingolock_core::rendezvous;
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

use crate::decisions::DecisionLog;
use crate::settings::{Policy, Settings};
use crate::view::{Listed, ListedKind, ListedState, SharedView, View};

/// Longest sleep of the control thread without an event.
const TICK_MS: u64 = 10;

/// What an engine reports of itself.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineStatus {
    /// Name of the engine.
    pub engine: EngineId,
    /// Life of the engine process.
    pub incarnation: Incarnation,
    /// Model that is loaded.
    pub model: ModelName,
    /// Version of the loaded weights.
    pub weights: WeightsVersion,
    /// Adapters that are loaded.
    pub adapters: Vec<String>,
    /// `serve` or `drain`.
    pub role: String,
    /// Requests that run at once.
    pub slots: u32,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Prompt tokens that wait.
    pub queued_tokens: u64,
    /// Blocks in the prefix cache.
    pub cached_blocks: u64,
    /// Blocks that the prefix cache can hold.
    pub capacity_blocks: u64,
    /// Speed of prefill.
    pub prefill_tokens_per_s: f64,
}

/// What a traffic thread asks for.
#[derive(Debug)]
pub struct Ask {
    /// Request to place.
    pub request: RequestId,
    /// Workspace that it belongs to.
    pub workspace: WorkspaceId,
    /// Model that it needs.
    pub model: ModelName,
    /// Larger goes first within the workspace.
    pub priority: u8,
    /// Prompt.
    pub prompt: Arc<[u8]>,
    /// Longest answer.
    pub answer_tokens: u32,
    /// When the first token has to be there.
    pub deadline: Millis,
    /// Engines that already failed this request.
    pub avoid: Vec<EngineId>,
}

/// Leave to send one request to one engine. Dropping it gives the place back.
#[derive(Debug)]
pub struct Permit {
    /// Engine to send to.
    pub engine: EngineId,
    /// Address of the engine.
    pub address: SocketAddr,
    /// Life of the engine that the permit holds for.
    pub incarnation: Incarnation,
    /// Salt of the engine's cache keys.
    pub seed: PrefixSeed,
    events: Sender<Event>,
    outcome: PermitOutcome,
}

/// How the use of a permit ended.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PermitOutcome {
    /// Time from sending to the first token; absent when none came.
    pub first_token: Option<Millis>,
    /// Prompt tokens that the engine took from its cache.
    pub cached_tokens: Option<u32>,
    /// True when the engine did not answer.
    pub failed: bool,
}

impl Permit {
    /// Notes what was observed; reported when the permit is dropped.
    pub fn observe(&mut self, outcome: PermitOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let released = Event::Release {
            engine: self.engine.clone(),
            outcome: self.outcome,
        };
        // The control thread is gone only when the node has stopped.
        let _ = self.events.send(released);
    }
}

/// Answer to an [`Ask`].
#[derive(Debug)]
pub enum Admission {
    /// Send the request.
    Granted(Permit),
    /// Refuse the request.
    Refused(Refusal),
}

/// Why a request is refused, and when to come back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Refusal {
    /// Machine-readable reason.
    pub code: &'static str,
    /// When to come back.
    pub retry_after: Millis,
}

/// Everything that the control thread reacts to.
#[derive(Debug)]
pub enum Event {
    /// A traffic thread wants to place a request.
    Admit(Ask, oneshot::Sender<Admission>),
    /// A permit is over.
    Release {
        /// Engine that the permit was for.
        engine: EngineId,
        /// What was observed.
        outcome: PermitOutcome,
    },
    /// The platform's list was read.
    Listed(Vec<Listed>),
    /// A manifest came into force.
    Manifest(Box<Manifest>),
    /// An engine reported, or did not answer.
    Status(EngineId, Option<EngineStatus>),
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
        view: SharedView,
        decisions: Arc<DecisionLog>,
    ) -> std::io::Result<Self> {
        let (events, inbox) = crossbeam::channel::unbounded();
        let mut control = Control::new(settings, view, decisions, events.clone());
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

#[derive(Debug, Default)]
struct EngineState {
    status: EngineStatus,
    inflight: u32,
    answers: bool,
}

struct Control {
    policy: Policy,
    view: SharedView,
    decisions: Arc<DecisionLog>,
    events: Sender<Event>,
    engines: BTreeMap<EngineId, EngineState>,
    turn: usize,
}

impl Control {
    fn new(
        settings: &Settings,
        view: SharedView,
        decisions: Arc<DecisionLog>,
        events: Sender<Event>,
    ) -> Self {
        Self {
            policy: settings.routing.policy,
            view,
            decisions,
            events,
            engines: BTreeMap::new(),
            turn: 0,
        }
    }

    fn run(&mut self, inbox: &Receiver<Event>) {
        loop {
            match inbox.recv_timeout(Duration::from_millis(TICK_MS)) {
                Ok(Event::Stop) | Err(RecvTimeoutError::Disconnected) => return,
                Ok(event) => self.handle(event),
                Err(RecvTimeoutError::Timeout) => {}
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Admit(ask, reply) => {
                let admission = self.admit(&ask);
                // The caller may have left; the permit's drop gives the place back.
                let _ = reply.send(admission);
            }
            Event::Release { engine, .. } => {
                if let Some(state) = self.engines.get_mut(&engine) {
                    state.inflight = state.inflight.saturating_sub(1);
                }
            }
            Event::Listed(listed) => self.publish_instances(listed),
            Event::Manifest(manifest) => self.publish_manifest(*manifest),
            Event::Status(engine, status) => self.note_status(engine, status),
            Event::Leaving => self.publish(|view| view.leaving = true),
            Event::Stop => {}
        }
    }

    fn admit(&mut self, ask: &Ask) -> Admission {
        let view = self.view.load_full();
        let candidates = self.candidates(&view, ask);
        let Some(engine) = self.choose(ask, &candidates) else {
            let refusal = Refusal {
                code: "no_engine",
                retry_after: Millis(1000),
            };
            self.decisions.record(
                now(),
                &ask.request,
                "refuse",
                "",
                refusal.code,
                serde_json::Value::Null,
            );
            return Admission::Refused(refusal);
        };
        let Some(listed) = view.instances.get(engine.as_str()) else {
            return Admission::Refused(Refusal {
                code: "no_engine",
                retry_after: Millis(1000),
            });
        };
        let state = self.engines.entry(engine.clone()).or_default();
        state.inflight += 1;
        let seed = PrefixSeed::new(&ask.workspace, &ask.model, &state.status.weights, None);
        self.decisions.record(
            now(),
            &ask.request,
            "route",
            engine.as_str(),
            "chosen by policy",
            serde_json::json!(candidates),
        );
        Admission::Granted(Permit {
            address: listed.address,
            incarnation: state.status.incarnation,
            seed,
            engine,
            events: self.events.clone(),
            outcome: PermitOutcome::default(),
        })
    }

    fn candidates(&self, view: &View, ask: &Ask) -> Vec<EngineId> {
        view.instances
            .values()
            .filter(|listed| listed.kind == ListedKind::Engine)
            .filter(|listed| listed.state == ListedState::Live)
            .map(|listed| EngineId::from(listed.name.as_str()))
            .filter(|name| !ask.avoid.contains(name))
            .filter(|name| {
                self.engines
                    .get(name)
                    .is_some_and(|state| state.answers && state.status.model == ask.model)
            })
            .collect()
    }

    fn choose(&mut self, ask: &Ask, candidates: &[EngineId]) -> Option<EngineId> {
        if candidates.is_empty() {
            return None;
        }
        match self.policy {
            Policy::RoundRobin => {
                self.turn += 1;
                candidates.get(self.turn % candidates.len()).cloned()
            }
            Policy::LeastLoaded => candidates
                .iter()
                .min_by_key(|name| self.engines.get(*name).map_or(0, |state| state.inflight))
                .cloned(),
            Policy::PrefixHash | Policy::Flamingolock => {
                let head = &ask.prompt[..ask.prompt.len().min(1024)];
                let text = String::from_utf8_lossy(head);
                let key = rendezvous::key(&text);
                let names = candidates.iter().map(EngineId::as_str);
                rendezvous::top(key, names, 1)
                    .first()
                    .map(|name| EngineId::from(*name))
            }
        }
    }

    fn note_status(&mut self, engine: EngineId, status: Option<EngineStatus>) {
        let state = self.engines.entry(engine).or_default();
        state.answers = status.is_some();
        if let Some(status) = status {
            state.status = status;
        }
        let answering = self.engines.values().filter(|state| state.answers).count();
        if self.view.load().answering != answering {
            self.publish(|view| view.answering = answering);
        }
    }

    fn publish_instances(&self, listed: Vec<Listed>) {
        let instances = listed
            .into_iter()
            .map(|listed| (listed.name.clone(), listed))
            .collect();
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
