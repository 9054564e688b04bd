//! Rollout of weights and adapters: computes the orders that bring engines to the
//! state that the manifest specifies.
//!
//! An engine is drained before its weights change and serves again afterwards. At
//! most two engines load weights at once, and the last engine that serves a model is
//! not drained. The caller holds the lease, and its fencing number is part of every
//! order. A new lease holder does not know the orders of its predecessor: it must
//! first wait until none of them can still run, and then read the state of the
//! engines again.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::manifest::Model;
use crate::prelude::*;

/// Maximum number of engines that load weights at once; the weight store slows down
/// with more.
pub const MAX_LOADS: usize = 2;

/// A reported state may be older than the time at which it was read by this much.
const STATUS_LAG: Millis = Millis(500);

/// Time after which an unanswered order is sent again. Orders are idempotent.
const ORDER_TIMEOUT: Millis = Millis(10_000);

/// Whether an engine accepts requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// It accepts new requests.
    Serve,
    /// It finishes the requests in flight and accepts no new ones.
    Drain,
}

/// State that an engine reported.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// Loaded model.
    pub model: ModelName,
    /// Incarnation of the engine.
    pub incarnation: Incarnation,
    /// Loaded weights.
    pub weights: WeightsVersion,
    /// Loaded adapters.
    pub adapters: BTreeSet<String>,
    /// Whether it accepts requests.
    pub role: Role,
    /// Requests that run or wait on the engine.
    pub requests: u32,
    /// True if the instance list says that it is leaving.
    pub leaving: bool,
    /// When the state was read.
    pub read_at: Millis,
}

/// A change of one engine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// Load this version of the weights.
    LoadWeights(WeightsVersion),
    /// Load this adapter.
    LoadAdapter(String),
    /// Accept requests, or stop accepting them.
    SetRole(Role),
}

/// An order that changes one engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The engine.
    pub engine: EngineId,
    /// Incarnation of the engine that the order is meant for.
    pub incarnation: Incarnation,
    /// Fencing number of the lease under which the order is sent.
    pub fencing: Offset,
    /// The change.
    pub change: Change,
}

/// An order whose effect the reported state of the engine may not show yet.
#[derive(Clone, Debug)]
struct PendingOrder {
    incarnation: Incarnation,
    change: Change,
    at: Millis,
    /// When the engine confirmed the order.
    confirmed_at: Option<Millis>,
}

/// Tracks the orders sent under one lease.
#[derive(Clone, Debug, Default)]
pub struct Placement {
    pending: BTreeMap<EngineId, PendingOrder>,
}

impl Placement {
    /// Starts without any pending order.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the orders to send now: at most one for each engine, and none for an
    /// engine with a pending order. `engines` holds the engines that answer.
    pub fn next_orders(
        &mut self,
        models: &BTreeMap<ModelName, Model>,
        engines: &BTreeMap<EngineId, EngineStatus>,
        fencing: Offset,
        now: Millis,
    ) -> Vec<Order> {
        self.pending
            .retain(|engine, pending| pending.is_pending(engines.get(engine), now));
        let mut orders = Vec::new();
        for (engine, status) in engines {
            let Some(model) = models.get(&status.model) else {
                continue;
            };
            if status.leaving || self.pending.contains_key(engine) {
                continue;
            }
            let Some(change) = next_change(status, model) else {
                continue;
            };
            if !self.is_allowed(&change, engine, status, engines) {
                continue;
            }
            self.issue(engine, status, &change, now);
            orders.push(Order {
                engine: engine.clone(),
                incarnation: status.incarnation,
                fencing,
                change,
            });
        }
        orders
    }

    /// Records that the engine confirmed its last order.
    pub fn confirm(&mut self, engine: &EngineId, now: Millis) {
        if let Some(pending) = self.pending.get_mut(engine) {
            pending.confirmed_at = Some(now);
        }
    }

    /// Records that the engine refused its last order, which had no effect.
    pub fn refuse(&mut self, engine: &EngineId) {
        self.pending.remove(engine);
    }

    fn issue(&mut self, engine: &EngineId, status: &EngineStatus, change: &Change, now: Millis) {
        let pending = PendingOrder {
            incarnation: status.incarnation,
            change: change.clone(),
            at: now,
            confirmed_at: None,
        };
        self.pending.insert(engine.clone(), pending);
    }

    fn is_allowed(
        &self,
        change: &Change,
        engine: &EngineId,
        status: &EngineStatus,
        engines: &BTreeMap<EngineId, EngineStatus>,
    ) -> bool {
        match change {
            Change::LoadWeights(_) => self.pending_loads() < MAX_LOADS,
            Change::SetRole(Role::Drain) => {
                let others = engines.iter().filter(|(other, _)| *other != engine);
                let serving = others
                    .clone()
                    .any(|(other, s)| s.model == status.model && self.is_serving(other, s));
                let draining = others
                    .filter(|(other, s)| self.is_draining(other, s))
                    .count();
                // Engines drained beyond the number that can load at once would idle.
                serving && draining < MAX_LOADS
            }
            Change::LoadAdapter(_) | Change::SetRole(Role::Serve) => true,
        }
    }

    /// Number of weight loads that may be running.
    fn pending_loads(&self) -> usize {
        self.pending
            .values()
            .filter(|pending| matches!(pending.change, Change::LoadWeights(_)))
            .filter(|pending| pending.confirmed_at.is_none())
            .count()
    }

    /// True if the engine accepts requests whether or not its pending order has taken
    /// effect.
    fn is_serving(&self, engine: &EngineId, status: &EngineStatus) -> bool {
        let pending_change = self.pending.get(engine).map(|pending| &pending.change);
        let stays_serving = !matches!(
            pending_change,
            Some(Change::SetRole(_) | Change::LoadWeights(_))
        );
        status.role == Role::Serve && !status.leaving && stays_serving
    }

    /// True if the engine may be out of service for a change.
    fn is_draining(&self, engine: &EngineId, status: &EngineStatus) -> bool {
        !status.leaving && !self.is_serving(engine, status)
    }
}

impl PendingOrder {
    /// True while the reported state may be older than the effect of the order.
    fn is_pending(&self, status: Option<&EngineStatus>, now: Millis) -> bool {
        let restarted = status.is_some_and(|status| status.incarnation != self.incarnation);
        if restarted {
            return false;
        }
        match (self.confirmed_at, status) {
            (Some(confirmed_at), Some(status)) => status.read_at < confirmed_at + STATUS_LAG,
            // An engine that does not answer may still be loading.
            _ => now.since(self.at) < ORDER_TIMEOUT,
        }
    }
}

/// Returns the next change that brings an engine closer to the specified state;
/// `None` if it has reached that state or must finish its requests first.
fn next_change(status: &EngineStatus, model: &Model) -> Option<Change> {
    if status.weights != model.weights {
        return match status.role {
            Role::Serve => Some(Change::SetRole(Role::Drain)),
            Role::Drain if status.requests > 0 => None,
            Role::Drain => Some(Change::LoadWeights(model.weights.clone())),
        };
    }
    let missing = model
        .adapters
        .iter()
        .find(|adapter| !status.adapters.contains(*adapter));
    if let Some(adapter) = missing {
        return Some(Change::LoadAdapter(adapter.clone()));
    }
    (status.role == Role::Drain).then_some(Change::SetRole(Role::Serve))
}
