//! Endpoints as their own entries in the platform describe them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Short name of an endpoint between nodes: a hash of its id.
pub type EndpointKey = u64;

/// One life of one endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Id that the endpoint answers to.
    pub id: Arc<str>,
    /// Unix milliseconds of its start; tells lives with one id apart.
    #[serde(rename = "born")]
    pub start_time_ms: u64,
    /// Service that it belongs to.
    pub service: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// True when it is about to leave.
    pub leaving: bool,
    /// Version of the weights of each model.
    pub weights: BTreeMap<String, u64>,
}

impl Endpoint {
    /// The short name of an id.
    pub fn key_of(id: &str) -> EndpointKey {
        xxh3_64(id.as_bytes())
    }

    /// The short name of this endpoint.
    pub fn key(&self) -> EndpointKey {
        Self::key_of(&self.id)
    }
}
