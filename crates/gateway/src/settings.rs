//! Settings of one node.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// What a node has to know before it starts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// Name of the node.
    pub node: String,
    /// Its availability zone.
    pub zone: String,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the platform asks whether the node is ready.
    pub ready: SocketAddr,
    /// Where callers ask for addresses.
    pub directory: SocketAddr,
    /// Where datagrams of other nodes arrive.
    pub gossip: SocketAddr,
    /// Where nodes teach each other what the store holds, if they do.
    pub control: Option<SocketAddr>,
    /// Nodes that may know what the store holds; they may be stale or down.
    pub seeds: Vec<SocketAddr>,
    /// Where metrics are served.
    pub metrics: SocketAddr,
    /// The platform's store.
    pub store: SocketAddr,
    /// Share of all requests that may be sent to a second endpoint.
    pub retry_ratio: f64,
    /// Window over which that share counts.
    pub retry_window: Duration,
    /// Retries that all nodes together have on top of the share.
    pub retry_slack: f64,
    /// Pause between the orders of two different nodes.
    pub lease: Duration,
    /// Time within which new weights must be in use.
    pub weights_bound: Duration,
    /// Time between SIGTERM and SIGKILL.
    pub grace: Duration,
    /// Time within which endpoints that leave must get no more requests.
    pub drain_bound: Duration,
    /// Time within which a configuration must be in force.
    pub catalog_bound: Duration,
    /// Processor share of the machine in thousandths of a core.
    pub capacity: u32,
    /// Memory limit of the process in MB; 0 when unknown.
    pub memory_mb: u64,
    /// All availability zones.
    pub zones: Vec<String>,
}
