//! The configuration in force: routes, services, workspaces and limits.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How often a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestKind {
    /// Any number of times.
    Safe,
    /// At most once for each attempt of the caller.
    Once,
    /// A stream of events; at most once unless the route is resumable.
    Stream,
}

/// One share of a route's traffic.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Backend {
    /// Service that takes the share.
    pub service: Arc<str>,
    /// Size of the share relative to the others.
    pub weight: u32,
}

/// What happens to requests of one host and path prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name, for logs.
    pub name: String,
    /// Host that it applies to.
    pub host: String,
    /// Prefix of the path, with a slash at both ends.
    pub prefix: String,
    /// Services that share its traffic.
    pub backends: Vec<Backend>,
    /// How often a request may run.
    #[serde(rename = "repeat")]
    pub kind: RequestKind,
    /// True when a stream may go on at another engine after a given event.
    pub resumable: bool,
    /// Longest time that a request may be kept.
    pub timeout: Duration,
    /// Time to the first byte that callers aim at.
    pub target: Duration,
    /// Endpoints that may run one request.
    pub max_attempts: u32,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// True when no key is needed.
    pub public: bool,
}

impl Route {
    /// True when a request may run again after it may have run.
    pub fn is_retryable(&self) -> bool {
        match self.kind {
            RequestKind::Safe => true,
            RequestKind::Once => false,
            RequestKind::Stream => self.resumable,
        }
    }

    /// The service for a request, given a random number.
    pub fn select_service(&self, random: u32) -> Option<&Arc<str>> {
        let total: u64 = self.backends.iter().map(|b| u64::from(b.weight)).sum();
        let mut left = u64::from(random) % total.max(1);
        for backend in &self.backends {
            let weight = u64::from(backend.weight);
            if left < weight {
                return Some(&backend.service);
            }
            left -= weight;
        }
        self.backends.first().map(|b| &b.service)
    }
}

/// What is known about the engines of a service.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineSpec {
    /// Tokens that fit into an engine's memory.
    pub memory_tokens: u64,
    /// Bytes of memory that one token takes.
    pub token_bytes: f64,
    /// Speed of an engine's link for moving memory, in Mbit/s.
    pub link_mbps: f64,
}

/// What kind of endpoints a service has.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum ServiceKind {
    /// Application servers.
    Plain,
    /// Model engines.
    Engines(EngineSpec),
    /// A store of kept KV cache.
    #[serde(rename = "Keep")]
    KvStore {
        /// Where engines reach it.
        address: SocketAddr,
    },
}

/// A group of endpoints that serve the same requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name that routes and endpoints refer to.
    pub name: Arc<str>,
    /// What its endpoints are.
    pub kind: ServiceKind,
    /// Connections that one endpoint takes from all nodes together.
    pub max_conns: u32,
}

/// A customer whose requests are told apart by keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    /// Name that endpoints see.
    pub name: String,
    /// Rank that goes before the route's, if set.
    pub priority: Option<u8>,
    /// True when no cache may be shared with other workspaces.
    pub isolated: bool,
}

/// What a caller may send and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub header_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time for a head to arrive.
    pub header_time: Duration,
    /// Time that a connection may stay idle.
    pub idle_time: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            header_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}

/// One configuration in full.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Catalog {
    /// Grows with each change.
    pub version: u64,
    /// Routes in no particular order.
    pub routes: Vec<Arc<Route>>,
    /// Services by name.
    pub services: BTreeMap<Arc<str>, Arc<Service>>,
    /// Workspaces by key; none when requests need no key.
    pub keys: Option<BTreeMap<String, Arc<Workspace>>>,
    /// What callers may send.
    pub limits: CallerLimits,
}

impl Catalog {
    /// The route with the longest prefix of `path` among those of `host`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        self.routes
            .iter()
            .filter(|route| {
                route.host.eq_ignore_ascii_case(host) && path.starts_with(&route.prefix)
            })
            .max_by_key(|route| route.prefix.len())
    }

    /// Address of the store of kept KV cache, if there is one.
    pub fn kv_store(&self) -> Option<SocketAddr> {
        self.services
            .values()
            .find_map(|service| match service.kind {
                ServiceKind::KvStore { address } => Some(address),
                _ => None,
            })
    }
}
