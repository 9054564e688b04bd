//! What operators publish: workspaces, request kinds, models and services.
//!
//! A manifest is a set of keyed entries. Changes name the entries that they
//! replace or remove together with the revision that they are based on.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{EngineId, KindName, Millis, ModelName, ServiceName, WeightsVersion, WorkspaceId};

/// A customer: share, limits and the keys that its callers present.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Share of engine time relative to other workspaces; above zero.
    #[serde(default = "default_weight")]
    pub weight: f64,
    /// Hexadecimal SHA-256 hashes of the keys that callers present.
    #[serde(default)]
    pub key_hashes: Vec<String>,
    /// Requests a second over all entries; absent means no limit.
    #[serde(default)]
    pub request_rate: Option<f64>,
    /// Requests in flight over all entries; absent means no limit.
    #[serde(default)]
    pub max_inflight: Option<u32>,
}

fn default_weight() -> f64 {
    1.0
}

/// Where requests of a kind go.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Target {
    /// To an engine that serves the model.
    Model(ModelName),
    /// To a plain service.
    Service(ServiceName),
}

/// How requests of one kind are treated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestKind {
    /// Back end of the kind.
    pub target: Target,
    /// Larger goes first within a workspace.
    #[serde(default)]
    pub priority: u8,
    /// Longest wait for the first token, or for the whole answer of a service.
    pub deadline_ms: u64,
    /// False when a request may run at most once.
    #[serde(default = "default_repeatable")]
    pub repeatable: bool,
}

fn default_repeatable() -> bool {
    true
}

impl RequestKind {
    /// The deadline as a span.
    pub fn deadline(&self) -> Millis {
        Millis(self.deadline_ms)
    }
}

/// A model and the weights that its engines should hold.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Version that engines should serve.
    pub weights: WeightsVersion,
    /// Adapters that engines should hold besides.
    #[serde(default)]
    pub adapters: Vec<String>,
    /// Extra cost of a recomputed token relative to its prefill time: 0 weighs
    /// only latency, 1 counts a recomputed token double.
    #[serde(default)]
    pub recompute_price: f64,
}

/// A plain service beside the engines.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Instances that run the service, by their names in the platform's list;
    /// empty means every instance of kind `service`.
    #[serde(default)]
    pub endpoints: Vec<String>,
    /// Path of a look-up by call id at the service, with `{id}` in it.
    #[serde(default)]
    pub lookup_path: Option<String>,
}

/// What is known about an engine's handling of orders.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EnginePolicy {
    /// True when the engine refuses an order with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
}

/// Everything that is in force at one offset.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Manifest {
    /// Workspaces by name.
    pub workspaces: BTreeMap<WorkspaceId, Workspace>,
    /// Request kinds by name.
    pub kinds: BTreeMap<KindName, RequestKind>,
    /// Models by name.
    pub models: BTreeMap<ModelName, Model>,
    /// Services by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// Engine policies by engine name; an absent engine does not check fencing.
    pub engines: BTreeMap<EngineId, EnginePolicy>,
}
