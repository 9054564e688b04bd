//! Routing requests of traffic threads, and the permits that answer them.

use std::net::SocketAddr;
use std::sync::Arc;

use crossbeam::channel::Sender;
use flamingolock_core::permit::{PermitId, PrefillStats};
use flamingolock_core::prelude::*;
use serde::Serialize;
use tokio::sync::oneshot;

use crate::control::Event;

/// Asks the control thread for a permit to send one request to an engine.
#[derive(Clone, Debug)]
pub struct RouteRequest {
    /// The request to route.
    pub request: RequestId,
    /// Workspace that it belongs to.
    pub workspace: WorkspaceId,
    /// Model that it needs.
    pub model: ModelName,
    /// Priority within the workspace; larger values go first.
    pub priority: u8,
    /// Bytes of the prompt.
    pub prompt: Arc<[u8]>,
    /// Maximum length of the answer, in tokens.
    pub answer_tokens: u32,
    /// Deadline for the first token.
    pub deadline: Millis,
    /// Engines that have failed this request before.
    pub avoid: Vec<EngineId>,
}

/// Right to send one request to one engine; released on drop.
#[derive(Debug)]
pub struct Permit {
    /// The engine.
    pub engine: EngineId,
    /// Address of the engine.
    pub address: SocketAddr,
    /// Incarnation of the engine for which the permit is valid.
    pub incarnation: Incarnation,
    /// Version of the weights that the engine serves.
    pub weights: WeightsVersion,
    /// Seed of the prompt's prefix hashes, also the salt of the engine's cache keys.
    pub seed: PrefixSeed,
    /// Identifies the permit at the engine's home node.
    pub permit: PermitId,
    pub(crate) events: Sender<Event>,
    pub(crate) failed: bool,
}

impl Permit {
    /// Reports the first token.
    pub fn first_token(&self, observed: PrefillStats) {
        let event = Event::FirstToken {
            engine: self.engine.clone(),
            permit: self.permit,
            observed,
        };
        // The send fails only when the control thread has exited with the node.
        let _ = self.events.send(event);
    }

    /// Marks the request as failed by the engine, to be reported on release.
    pub fn fail(&mut self) {
        self.failed = true;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let event = Event::Release {
            engine: self.engine.clone(),
            permit: self.permit,
            failed: self.failed,
        };
        let _ = self.events.send(event);
    }
}

/// Reply to a [`RouteRequest`].
#[derive(Debug)]
pub enum Admission {
    /// The request may be sent under this permit.
    Granted(Permit),
    /// The request is refused.
    Refused(Refusal),
}

/// Why a request is refused, and when to retry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Refusal {
    /// Machine-readable reason.
    pub code: &'static str,
    /// Time to wait before a retry.
    pub retry_after: Millis,
}

/// Channel on which an admission is returned.
pub type AdmissionSender = oneshot::Sender<Admission>;

/// Abandons a routing request on drop, unless its admission has been received.
pub struct AbandonGuard {
    events: Sender<Event>,
    request: Option<RequestId>,
}

impl AbandonGuard {
    /// Creates a guard for the time in which `request` waits for its admission.
    pub fn new(events: Sender<Event>, request: RequestId) -> Self {
        Self {
            events,
            request: Some(request),
        }
    }

    /// Disarms the guard once the admission has been received.
    pub fn disarm(&mut self) {
        self.request = None;
    }
}

impl Drop for AbandonGuard {
    fn drop(&mut self) {
        if let Some(request) = self.request.take() {
            let _ = self.events.send(Event::Abandon(request));
        }
    }
}

/// Counts one request against the limits of its workspace until dropped.
#[derive(Debug)]
pub struct InflightGuard {
    pub(crate) workspace: WorkspaceId,
    pub(crate) events: Sender<Event>,
}

impl Drop for InflightGuard {
    fn drop(&mut self) {
        let _ = self
            .events
            .send(Event::RequestEnded(self.workspace.clone()));
    }
}
