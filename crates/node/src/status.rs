//! The state of a node, as operators read it.

use std::net::SocketAddr;

use flamingolock_core::prelude::*;
use serde::{Deserialize, Serialize};

use crate::decisions::Decision;
use crate::view::ListedInstance;

/// One engine as a node knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineView {
    /// Name of the engine.
    pub name: EngineId,
    /// Address for requests.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Zone,
    /// True when it answered when last asked; otherwise the fields from
    /// `incarnation` to `slots` mean nothing.
    pub answering: bool,
    /// True when the platform lists it as leaving.
    pub leaving: bool,
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
    /// Requests that run on it, from all nodes.
    pub running: u32,
    /// Requests that wait at it, from all nodes.
    pub waiting: u32,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Requests of this node that are on it.
    pub inflight: u32,
    /// Node that keeps its queue.
    pub home: InstanceId,
}

/// What `GET /status` answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// Name of the node.
    pub name: InstanceId,
    /// Availability zone.
    pub zone: Zone,
    /// Life of the node process.
    pub incarnation: Incarnation,
    /// Time since the start.
    pub uptime: Millis,
    /// True once a manifest has been read.
    pub ready: bool,
    /// True while the node is shutting down.
    pub leaving: bool,
    /// Log offset of the manifest in force, when known.
    pub manifest_offset: Option<u64>,
    /// Engines, at most a second old.
    pub engines: Vec<EngineView>,
    /// Instances of the platform's list.
    pub instances: Vec<ListedInstance>,
}

/// What `GET /readyz` answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Readiness {
    /// True when the node should get traffic.
    pub ready: bool,
    /// What is missing.
    pub missing: Vec<UnreadyReason>,
}

/// A reason not to send traffic to a node.
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

/// What `GET /explain/{request}` answers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Explanation {
    /// Decisions about the request, oldest first.
    pub decisions: Vec<Decision>,
}
