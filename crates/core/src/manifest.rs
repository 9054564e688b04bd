//! The manifest, which operators publish: workspaces, request kinds, models, services
//! and engine policies.
//!
//! A manifest is a set of keyed entries. A change names the entries that it replaces
//! or removes, each with the revision that it is based on.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{EngineId, KindName, Millis, ModelName, ServiceName, WeightsVersion, WorkspaceId};

/// Share, limits and API keys of a customer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Share of engine time relative to other workspaces. Must be above zero.
    #[serde(default = "default_weight")]
    pub weight: f64,
    /// Hexadecimal SHA-256 hashes of the keys that its callers present.
    #[serde(default)]
    pub key_hashes: Vec<String>,
    /// Maximum number of requests per second over all entry instances; none means no
    /// limit.
    #[serde(default)]
    pub request_rate: Option<f64>,
    /// Maximum number of requests in flight over all entry instances; none means no
    /// limit.
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

/// How requests of one kind are handled.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestKind {
    /// Model or service that handles the requests.
    pub target: Target,
    /// Priority within a workspace; larger values are served first.
    #[serde(default)]
    pub priority: u8,
    /// Maximum wait for the first token of a model, or for the whole answer of a service.
    pub deadline_ms: u64,
    /// False when a request may run at most once.
    #[serde(default = "default_repeatable")]
    pub repeatable: bool,
}

fn default_repeatable() -> bool {
    true
}

impl RequestKind {
    /// The deadline as a duration.
    pub fn deadline(&self) -> Millis {
        Millis(self.deadline_ms)
    }
}

/// A model and the weights that its engines should load.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Version that engines should serve.
    pub weights: WeightsVersion,
    /// Adapters that engines should load in addition.
    #[serde(default)]
    pub adapters: Vec<String>,
    /// Additional cost of a recomputed token relative to its prefill time: 0 considers
    /// only latency, 1 counts a recomputed token twice.
    #[serde(default)]
    pub recompute_price: f64,
}

/// A service that is not a model engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Instances that run the service, by their names in the platform's list;
    /// empty means every instance of kind `service`.
    #[serde(default)]
    pub endpoints: Vec<String>,
    /// Path of the look-up by call id at the service, with the placeholder `{id}`.
    #[serde(default)]
    pub lookup_path: Option<String>,
}

/// How an engine handles orders.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EnginePolicy {
    /// True when the engine rejects an order with an outdated fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
}

/// All entries at one offset of the control stream.
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
    /// Engine policies by engine name. An engine without a policy does not check fencing
    /// numbers.
    pub engines: BTreeMap<EngineId, EnginePolicy>,
}
