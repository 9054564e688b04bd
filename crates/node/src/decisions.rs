//! Logs routing and placement decisions and keeps the most recent ones in memory.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Mutex, PoisonError};

use flamingolock_core::prelude::*;
use serde::{Deserialize, Serialize};

/// Number of requests whose decisions are kept in memory.
const MAX_REMEMBERED_REQUESTS: usize = 20_000;

/// One decision about a request or an engine.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Decision {
    /// Time of the decision.
    pub time: Millis,
    /// Node that made the decision.
    pub node: InstanceId,
    /// Identifier of the request, or of the order for an engine.
    pub request: RequestId,
    /// Action, such as `route`, `resume`, `refuse` or `order`.
    pub action: String,
    /// Chosen candidate.
    pub chosen: String,
    /// Reason for the choice.
    pub reason: String,
    /// Candidates that were considered.
    #[serde(default, skip_serializing_if = "serde_json::Value::is_null")]
    pub candidates: serde_json::Value,
}

/// Writes decisions to the log and keeps the most recent ones in memory.
pub struct DecisionLog {
    node: InstanceId,
    recent: Mutex<RecentDecisions>,
}

#[derive(Default)]
struct RecentDecisions {
    insertion_order: VecDeque<RequestId>,
    requests: BTreeMap<RequestId, Vec<Decision>>,
}

impl DecisionLog {
    /// Creates an empty decision log for `node`.
    pub fn new(node: InstanceId) -> Self {
        Self {
            node,
            recent: Mutex::default(),
        }
    }

    /// Logs a decision and keeps it in memory.
    pub fn record(
        &self,
        time: Millis,
        request: &RequestId,
        action: &str,
        chosen: &str,
        reason: &str,
        candidates: serde_json::Value,
    ) {
        let decision = Decision {
            time,
            node: self.node.clone(),
            request: request.clone(),
            action: action.to_owned(),
            chosen: chosen.to_owned(),
            reason: reason.to_owned(),
            candidates,
        };
        if log::log_enabled!(target: "decision", log::Level::Info) {
            let line = serde_json::to_string(&decision).unwrap_or_default();
            log::info!(target: "decision", "{line}");
        }
        let mut recent = self.recent.lock().unwrap_or_else(PoisonError::into_inner);
        recent.push(decision);
    }

    /// Returns the decisions about a request, oldest first.
    pub fn explain(&self, request: &str) -> Vec<Decision> {
        let recent = self.recent.lock().unwrap_or_else(PoisonError::into_inner);
        recent.requests.get(request).cloned().unwrap_or_default()
    }
}

impl RecentDecisions {
    fn push(&mut self, decision: Decision) {
        if !self.requests.contains_key(decision.request.as_str()) {
            self.insertion_order.push_back(decision.request.clone());
        }
        self.requests
            .entry(decision.request.clone())
            .or_default()
            .push(decision);
        if self.insertion_order.len() <= MAX_REMEMBERED_REQUESTS {
            return;
        }
        if let Some(oldest) = self.insertion_order.pop_front() {
            self.requests.remove(&oldest);
        }
    }
}
