//! Status documents that the operators' server returns.

use std::net::SocketAddr;

use flamingolock_core::prelude::*;
use serde::{Deserialize, Serialize};

use crate::decisions::Decision;
use crate::view::ListedInstance;

/// A node's view of an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineView {
    /// Name of the engine.
    pub name: EngineId,
    /// Address for requests.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Zone,
    /// Whether it answered the last poll. If not, the fields from `incarnation` to
    /// `slots` are meaningless.
    pub answering: bool,
    /// Whether the platform lists it as leaving.
    pub leaving: bool,
    /// Incarnation of the engine process.
    pub incarnation: Incarnation,
    /// Loaded model.
    pub model: ModelName,
    /// Version of the loaded weights.
    pub weights: WeightsVersion,
    /// Loaded adapters.
    pub adapters: Vec<String>,
    /// `serve` or `drain`.
    pub role: String,
    /// Number of requests of all nodes that run on it.
    pub running: u32,
    /// Number of requests of all nodes that wait on it.
    pub waiting: u32,
    /// Number of requests that it can run concurrently.
    pub slots: u32,
    /// Number of requests of this node that are on it.
    pub inflight: u32,
    /// Node that manages its queue.
    pub home: InstanceId,
}

/// Response of `GET /status`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// Name of the node.
    pub name: InstanceId,
    /// Availability zone.
    pub zone: Zone,
    /// Incarnation of the node process.
    pub incarnation: Incarnation,
    /// Time since the node started.
    pub uptime: Millis,
    /// Whether a manifest has been read.
    pub ready: bool,
    /// Whether the node is shutting down.
    pub leaving: bool,
    /// Log offset of the manifest in force, if known.
    pub manifest_offset: Option<u64>,
    /// Engines, in a state that is at most a second old.
    pub engines: Vec<EngineView>,
    /// Instances in the platform's list.
    pub instances: Vec<ListedInstance>,
}

/// Response of `GET /readyz`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Readiness {
    /// Whether the node should receive traffic.
    pub ready: bool,
    /// Conditions that are not met.
    pub missing: Vec<UnreadyReason>,
}

/// A reason why a node should not receive traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UnreadyReason {
    /// No manifest has been read.
    Manifest,
    /// No engine answers.
    Engines,
    /// The node is shutting down.
    Leaving,
}

/// Response of `GET /explain/{request}`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Explanation {
    /// Decisions about the request, oldest first.
    pub decisions: Vec<Decision>,
}
