//! Endpoints, as described by their entries in the platform's store.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Short identifier of an endpoint, used between nodes: a hash of its id.
pub type EndpointKey = u64;

/// One incarnation of an endpoint, from its start to its end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Id of the endpoint.
    pub id: Arc<str>,
    /// Start time in Unix milliseconds, which distinguishes incarnations with the same
    /// id. Serialised as `born`, like the platform's field.
    #[serde(rename = "born")]
    pub start_time_ms: u64,
    /// Number of the entry, which grows with each one that the incarnation writes; none if
    /// it states none.
    pub heartbeat: Option<u64>,
    /// Service that it belongs to.
    pub service: Arc<str>,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Version of its software.
    pub build: Arc<str>,
    /// Availability zone.
    pub zone: String,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// True if it is draining.
    pub leaving: bool,
    /// Version of the weights of each model.
    pub weights: BTreeMap<String, u64>,
}

impl Endpoint {
    /// Returns the key of the endpoint with this id.
    pub fn key_of(id: &str) -> EndpointKey {
        xxh3_64(id.as_bytes())
    }

    /// Identifies this incarnation of the endpoint.
    pub fn incarnation(&self) -> u64 {
        xxh3_64_with_seed(self.id.as_bytes(), self.start_time_ms)
    }

    /// Shortened identifier of this incarnation, for messages that name many of them.
    pub fn short_incarnation(&self) -> u32 {
        self.incarnation() as u32
    }

    /// True if this entry was written before the other one of the same endpoint.
    pub fn is_older_than(&self, other: &Self) -> bool {
        let heartbeats = self.heartbeat.zip(other.heartbeat);
        self.start_time_ms < other.start_time_ms
            || (self.start_time_ms == other.start_time_ms
                && heartbeats.is_some_and(|(own, other)| own < other))
    }

    /// Returns the key of this endpoint.
    pub fn key(&self) -> EndpointKey {
        Self::key_of(&self.id)
    }
}
