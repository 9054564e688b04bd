//! Requests to place work on an engine, and the permits that answer them.

use std::net::SocketAddr;
use std::sync::Arc;

use crossbeam::channel::Sender;
use flamingolock_core::permit::{PermitId, PrefillStats};
use flamingolock_core::prelude::*;
use serde::Serialize;
use tokio::sync::oneshot;

use crate::control::Event;

/// What a traffic thread asks for.
#[derive(Clone, Debug)]
pub struct RouteRequest {
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
    /// Longest answer in tokens.
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
    /// Weights that the engine serves.
    pub weights: WeightsVersion,
    /// Salt of the engine's cache keys.
    pub seed: PrefixSeed,
    /// Identifier at the engine's home.
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
        // The control thread is gone only when the node has stopped.
        let _ = self.events.send(event);
    }

    /// Notes that the engine did not answer.
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

/// Answer to a [`RouteRequest`].
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

/// Where an admission goes.
pub type AdmissionSender = oneshot::Sender<Admission>;

/// Takes a request out of the control thread when its caller leaves early.
pub struct AbandonGuard {
    events: Sender<Event>,
    request: Option<RequestId>,
}

impl AbandonGuard {
    /// Guards the wait for the admission of `request`.
    pub fn new(events: Sender<Event>, request: RequestId) -> Self {
        Self {
            events,
            request: Some(request),
        }
    }

    /// The admission came; nothing has to be taken back.
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

/// A request that counts against the limits of its workspace until dropped.
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
