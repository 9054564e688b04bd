//! Log lines of routing and placement decisions, and a bounded memory of them.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Mutex, PoisonError};

use flamingolock_core::prelude::*;
use serde::{Deserialize, Serialize};

/// Requests whose decisions are remembered.
const MAX_REMEMBERED_REQUESTS: usize = 20_000;

/// One decision about a request or an engine.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Decision {
    /// When it was taken.
    pub time: Millis,
    /// Node that took it.
    pub node: InstanceId,
    /// Request, or the order for an engine.
    pub request: RequestId,
    /// What was decided, such as `route`, `resume`, `refuse` or `order`.
    pub action: String,
    /// What was chosen.
    pub chosen: String,
    /// Why.
    pub reason: String,
    /// What it was chosen from.
    #[serde(default, skip_serializing_if = "serde_json::Value::is_null")]
    pub candidates: serde_json::Value,
}

/// Writes decisions to the log and remembers the newest.
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
    /// An empty memory for the decisions of `node`.
    pub fn new(node: InstanceId) -> Self {
        Self {
            node,
            recent: Mutex::default(),
        }
    }

    /// Records one decision.
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

    /// Decisions about one request, oldest first.
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
