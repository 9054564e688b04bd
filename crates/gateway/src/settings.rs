//! Settings of one node.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Part of the grace period that is reserved for exiting.
const GRACE_MARGIN: Duration = Duration::from_millis(250);

/// Part of the time from its start to the contact of a node for which it may use weights that
/// have been superseded for an unknown time. The rest is for the start of the process itself.
const START_GRACE_SHARE: f64 = 0.8;

/// Settings that a node needs at startup.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// Name of the node.
    pub node: String,
    /// Its availability zone.
    pub zone: String,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address of the readiness check.
    pub ready: SocketAddr,
    /// Address of the node address lookup.
    pub directory: SocketAddr,
    /// UDP address for datagrams of other nodes.
    pub gossip: SocketAddr,
    /// Address at which other nodes fetch this node's copies of the store's topics;
    /// none disables these transfers.
    pub control: Option<SocketAddr>,
    /// Nodes from which copies of the store's topics may be fetched; they may be stale
    /// or down.
    pub seeds: Vec<SocketAddr>,
    /// Address of the metrics.
    pub metrics: SocketAddr,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Writing calls a second that the store takes from all nodes together, if it is stated.
    pub store_writes: Option<f64>,
    /// Retry budget: ratio of retries to requests.
    pub retry_ratio: f64,
    /// Time window of the retry budget.
    pub retry_window: Duration,
    /// Number of retries that all nodes together have in addition to the ratio.
    pub retry_slack: f64,
    /// Time window in which the cost of a workspace's requests is bounded by its quota.
    pub quota_window: Duration,
    /// Cost that a window may hold in addition to the quota, in its unit.
    pub quota_slack: f64,
    /// Minimum time between orders of two different nodes.
    pub lease: Duration,
    /// Time within which new weights must be in use.
    pub weights_bound: Duration,
    /// Time after its start from which a node counts as in touch with the platform, if it is
    /// stated.
    pub contact_time: Option<Duration>,
    /// Grace period between SIGTERM and SIGKILL.
    pub grace: Duration,
    /// Time within which draining endpoints must get no more requests.
    pub drain_bound: Duration,
    /// Time within which a new configuration must be active.
    pub catalog_bound: Duration,
    /// CPU share of the node in thousandths of a core.
    pub capacity: u32,
    /// Memory limit of the process in MB; 0 when unknown.
    pub memory_mb: u64,
    /// Maximum number of open descriptors; 0 when unknown.
    pub max_fds: u64,
    /// True if an engine crashes when the requests that it holds exceed its memory.
    pub bounds_engine_memory: bool,
    /// All availability zones.
    pub zones: Vec<String>,
}

impl Settings {
    /// Time after its start for which a node may use weights that have been superseded for an
    /// unknown time.
    pub fn start_grace(&self) -> Duration {
        let contact = self.contact_time.unwrap_or(self.weights_bound / 2);
        contact.min(self.weights_bound).mul_f64(START_GRACE_SHARE)
    }

    /// Longest time from the start of a shutdown to the end of the process.
    pub fn shutdown_time(&self) -> Duration {
        self.grace.saturating_sub(GRACE_MARGIN)
    }
}
