//! The active configuration: routes, services, workspaces and limits.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Bound;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::workspaces::{Workspace, Workspaces};

/// Kind of a request, which decides how often it may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestKind {
    /// Any number of times.
    Safe,
    /// At most once per attempt of the caller.
    Once,
    /// An event stream; at most once unless the route is resumable.
    Stream,
}

/// A service that receives part of a route's traffic.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Backend {
    /// Name of the service.
    pub service: Arc<str>,
    /// Weight relative to the route's other backends.
    pub weight: u32,
}

/// Handling of requests with a given host and path prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Route name, for logs.
    pub name: String,
    /// Host that the route matches.
    pub host: String,
    /// Path prefix that the route matches, with a slash at both ends.
    pub prefix: String,
    /// Services that share the route's traffic.
    pub backends: Vec<Backend>,
    /// Kind of the route's requests.
    #[serde(rename = "repeat")]
    pub kind: RequestKind,
    /// True if another engine can resume a stream after a given event.
    pub resumable: bool,
    /// Timeout of a request.
    pub timeout: Duration,
    /// Target for the time to the first byte.
    pub target: Duration,
    /// Maximum number of endpoints that may run one request.
    pub max_attempts: u32,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// True if requests need no API key.
    pub public: bool,
}

impl Route {
    /// True if a request that may already have run may be sent again.
    pub fn is_retryable(&self) -> bool {
        match self.kind {
            RequestKind::Safe => true,
            RequestKind::Once => false,
            RequestKind::Stream => self.resumable,
        }
    }

    /// True if a request may run at two endpoints at the same time. A stream that may be resumed
    /// may not: it runs at one engine after the other.
    pub fn may_run_twice(&self) -> bool {
        self.kind == RequestKind::Safe
    }

    /// Selects a service by backend weight, given an evenly distributed number.
    pub fn select_service(&self, number: u64) -> Option<&Arc<str>> {
        let total: u64 = self.backends.iter().map(|b| u64::from(b.weight)).sum();
        let mut left = number % total.max(1);
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

/// Routes by host and prefix.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RouteTable {
    /// Hosts in lower case.
    hosts: BTreeMap<String, BTreeMap<String, Arc<Route>>>,
    longest_stream: Duration,
}

impl RouteTable {
    /// Adds a route. It replaces one with the same host and prefix.
    pub fn insert(&mut self, route: Route) {
        if route.resumable {
            self.longest_stream = self.longest_stream.max(route.timeout);
        }
        let prefixes = self.hosts.entry(route.host.to_ascii_lowercase());
        prefixes
            .or_default()
            .insert(route.prefix.clone(), Arc::new(route));
    }

    /// All routes.
    pub fn iter(&self) -> impl Iterator<Item = &Route> {
        let routes = self.hosts.values().flat_map(BTreeMap::values);
        routes.map(|route| &**route)
    }

    /// Number of routes.
    pub fn len(&self) -> usize {
        self.hosts.values().map(BTreeMap::len).sum()
    }

    /// True if there is no route.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    /// Longest timeout of a resumable stream.
    pub fn longest_stream(&self) -> Duration {
        self.longest_stream
    }

    /// Returns the route of `host` with the longest prefix of `path`. A port in
    /// `host` is ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let prefixes = self.hosts.get(&host.to_ascii_lowercase())?;
        let mut longest = path;
        loop {
            let range = (Bound::Unbounded, Bound::Included(longest));
            let (prefix, route) = prefixes.range::<str, _>(range).next_back()?;
            if path.starts_with(prefix) {
                return Some(route);
            }
            // A longer prefix of the path than what both share would lie between them.
            longest = &path[..shared_length(path, prefix)];
        }
    }
}

impl FromIterator<Route> for RouteTable {
    fn from_iter<T: IntoIterator<Item = Route>>(routes: T) -> Self {
        let mut table = Self::default();
        for route in routes {
            table.insert(route);
        }
        table
    }
}

/// Length of the longest common prefix, in bytes.
fn shared_length(a: &str, b: &str) -> usize {
    let pairs = a.char_indices().zip(b.chars());
    let differing = pairs
        .into_iter()
        .find(|((_, in_a), in_b)| in_a != in_b)
        .map(|((at, _), _)| at);
    differing.unwrap_or(a.len().min(b.len()))
}

/// Properties of a service's engines.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineSpec {
    /// Number of tokens whose KV cache fits into an engine's memory.
    pub memory_tokens: u64,
    /// Bytes of KV cache per token.
    pub token_bytes: f64,
    /// Bandwidth of an engine's link for KV cache transfers, in Mbit/s.
    pub link_mbps: f64,
}

/// Kind of a service's endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum ServiceKind {
    /// Application servers.
    Plain,
    /// Model engines.
    Engines(EngineSpec),
    /// A KV cache store.
    #[serde(rename = "Keep")]
    KvStore {
        /// Address that engines connect to.
        address: SocketAddr,
    },
}

/// A group of endpoints that serve the same requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name that routes and endpoints refer to.
    pub name: Arc<str>,
    /// Kind of its endpoints.
    pub kind: ServiceKind,
    /// Maximum number of connections to one endpoint, from all nodes together.
    pub max_conns: u32,
}

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Timeout for receiving a request head.
    pub header_time: Duration,
    /// Idle timeout of a connection.
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

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Catalog {
    /// Version number; increases with each change.
    pub version: u64,
    /// Routes.
    pub routes: RouteTable,
    /// Services by name.
    pub services: BTreeMap<Arc<str>, Arc<Service>>,
    /// Workspaces by API key; none if requests need no key.
    pub keys: Option<BTreeMap<String, Arc<Workspace>>>,
    /// All workspaces, also those without a key.
    pub workspaces: Workspaces,
    /// Limits on callers.
    pub limits: CallerLimits,
}

impl Catalog {
    /// Address of the KV cache store, if there is one.
    pub fn kv_store(&self) -> Option<SocketAddr> {
        self.services
            .values()
            .find_map(|service| match service.kind {
                ServiceKind::KvStore { address } => Some(address),
                _ => None,
            })
    }
}
