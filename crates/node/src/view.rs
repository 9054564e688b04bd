//! Snapshot of the control thread's state that traffic threads read.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use arc_swap::ArcSwap;
use flamingolock_core::manifest::Manifest;
use flamingolock_core::manifest_index::ManifestIndex;
use flamingolock_core::members::Instance;
use flamingolock_core::prelude::*;
use serde::{Deserialize, Serialize};

use crate::status::EngineView;

/// Kind of an instance in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedKind {
    /// Runs a node.
    Entry,
    /// Runs a model engine.
    Engine,
    /// Runs a plain service.
    Service,
}

/// State of an instance in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedState {
    /// In service.
    Live,
    /// About to shut down.
    Leaving,
}

/// An instance in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// Name of the instance.
    pub name: String,
    /// Kind of the instance.
    pub kind: ListedKind,
    /// Address for requests.
    pub address: SocketAddr,
    /// Address for peers; only entries have one.
    #[serde(default)]
    pub peer_address: Option<SocketAddr>,
    /// Availability zone.
    pub zone: Zone,
    /// State of the instance.
    pub state: ListedState,
}

/// Phase of a node's shutdown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DrainPhase {
    /// The shutdown has not begun.
    #[default]
    Running,
    /// The node is no longer listed, but still serves requests.
    Unlisted,
    /// The node rejects new requests; those in progress continue.
    Finishing,
    /// The node aborts the requests that are still in progress.
    Ending,
}

/// Immutable snapshot of the control thread's state.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Manifest in force.
    pub manifest: Arc<Manifest>,
    /// Lookup tables of the manifest, such as the workspace of each key hash.
    pub index: Arc<ManifestIndex>,
    /// Next offset of the control stream; all records before it are applied.
    pub offset: Offset,
    /// Instances by name.
    pub instances: Arc<BTreeMap<String, ListedInstance>>,
    /// Nodes that accept callers.
    pub entries: Arc<Vec<Instance>>,
    /// Engines, in a state that is at most a second old.
    pub engines: Arc<Vec<EngineView>>,
    /// Number of engines that answered the last poll.
    pub answering: usize,
    /// Whether a manifest has been read.
    pub ready: bool,
    /// Shutdown phase of this node.
    pub phase: DrainPhase,
}

impl View {
    /// Returns true if the node has begun its shutdown.
    pub fn leaving(&self) -> bool {
        self.phase != DrainPhase::Running
    }

    /// Returns the offset of the last applied record.
    pub fn manifest_offset(&self) -> Option<u64> {
        self.offset.0.checked_sub(1)
    }

    /// Returns the live instances of `service`, in the order of their names.
    pub fn service_instances(&self, service: &ServiceName) -> Vec<&ListedInstance> {
        let named = self
            .manifest
            .services
            .get(service)
            .map(|service| &service.endpoints);
        self.instances
            .values()
            .filter(|listed| listed.kind == ListedKind::Service)
            .filter(|listed| listed.state == ListedState::Live)
            .filter(|listed| {
                named.is_none_or(|names| names.is_empty() || names.contains(&listed.name))
            })
            .collect()
    }
}

/// Shared pointer to the latest view; cheap to read from any thread.
pub type SharedView = Arc<ArcSwap<View>>;
