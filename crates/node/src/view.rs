//! What the control thread publishes for traffic threads to read.

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

/// What an instance of the platform's list does.
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
    /// About to go.
    Leaving,
}

/// One instance of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// Name of the instance.
    pub name: String,
    /// What it does.
    pub kind: ListedKind,
    /// Address for requests.
    pub address: SocketAddr,
    /// Address for other nodes; only entries have one.
    #[serde(default)]
    pub peer_address: Option<SocketAddr>,
    /// Availability zone.
    pub zone: Zone,
    /// Whether it is about to go.
    pub state: ListedState,
}

/// Where the shutdown of a node stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DrainPhase {
    /// Not begun.
    #[default]
    Running,
    /// Not listed any more, still serving.
    Unlisted,
    /// Refuses new requests; those in progress go on.
    Finishing,
    /// Ends what is still in progress.
    Ending,
}

/// Immutable picture of what the control thread knows.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Manifest in force.
    pub manifest: Arc<Manifest>,
    /// What the manifest refers to, among it the workspace of each key hash.
    pub index: Arc<ManifestIndex>,
    /// Next offset of the control stream; all before it is in force.
    pub offset: Offset,
    /// Instances by name.
    pub instances: Arc<BTreeMap<String, ListedInstance>>,
    /// Nodes that callers may use.
    pub entries: Arc<Vec<Instance>>,
    /// Engines as they were at most a second ago.
    pub engines: Arc<Vec<EngineView>>,
    /// Engines that answered when last asked.
    pub answering: usize,
    /// True once a manifest has been read.
    pub ready: bool,
    /// Where the node's own shutdown stands.
    pub phase: DrainPhase,
}

impl View {
    /// True once the node has begun its shutdown.
    pub fn leaving(&self) -> bool {
        self.phase != DrainPhase::Running
    }

    /// Offset of the newest record that is in force.
    pub fn manifest_offset(&self) -> Option<u64> {
        self.offset.0.checked_sub(1)
    }

    /// Services' instances that take new work, in order of name.
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

/// The newest view; cheap to read from any thread.
pub type SharedView = Arc<ArcSwap<View>>;
