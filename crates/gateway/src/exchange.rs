//! A caller's request while it is handled, and what its handlers share.

use std::net::SocketAddr;
use std::sync::Arc;

use http::uri::PathAndQuery;
use http::{HeaderMap, Method};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::catalog::Route;
use crate::connection_pool::Pool;
use crate::control::Handle;
use crate::control::suspects::RunSubjects;
use crate::dialect::{Dialect, RequestHead};
use crate::fingerprint::Fingerprints;
use crate::memory_budget::MemoryBudget;
use crate::metrics::Metrics;
use crate::payload::Payload;
use crate::receive_buffer::WideBuffers;
use crate::workspaces::Workspace;

/// Who sent a request to this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// A caller.
    Caller,
    /// Another node, which hands on the request of one of its callers.
    Node {
        /// Number of attempts that may have run it before.
        possible_runs: u32,
    },
}

/// A caller's request with its whole body and everything known about it.
#[derive(Debug)]
pub struct Exchange {
    /// Request id, for logs.
    pub request_id: Arc<str>,
    /// Method sent by the caller.
    pub method: Method,
    /// Path and query sent by the caller.
    pub target: PathAndQuery,
    /// Headers sent by the caller.
    pub headers: HeaderMap,
    /// Request body.
    pub body: Payload,
    /// Values parsed from the headers.
    pub head: RequestHead,
    /// What its repeats have in common.
    pub fingerprints: Fingerprints,
    /// Route that the request matched.
    pub route: Arc<Route>,
    /// Service selected from the route's backends.
    pub service: Arc<str>,
    /// Workspace of the API key, if the request has a key.
    pub workspace: Option<Arc<Workspace>>,
    /// Who sent the request to this node.
    pub origin: Origin,
    /// Address from which it was sent, for logs.
    pub client: Option<SocketAddr>,
    /// Version of the configuration under which it is handled.
    pub catalog_version: u64,
    /// When the request head arrived.
    pub started: Instant,
    /// When the request is given up: after the caller's or the route's timeout,
    /// whichever is shorter.
    pub deadline: Instant,
}

impl Exchange {
    /// Ids of the prompt parts that other requests may share.
    pub fn shared_part_ids(&self) -> Vec<u64> {
        let parts = self.head.parts.split_last();
        parts.map_or_else(Vec::new, |(_, shared)| {
            shared.iter().map(|part| part.id).collect()
        })
    }

    /// What crashes of endpoints may speak against.
    pub fn subjects(&self) -> RunSubjects {
        RunSubjects {
            parts: self.shared_part_ids(),
            requests: self.fingerprints.ids(),
        }
    }

    /// Ids of the shared parts, for logs.
    pub fn shared_parts(&self) -> String {
        let ids = self.shared_part_ids();
        let ids: Vec<String> = ids.iter().map(|id| format!("{id:x}")).collect();
        ids.join(",")
    }

    /// Fingerprint of the request without its prompt, for logs.
    pub fn fingerprint(&self) -> String {
        format!("{:016x}", self.fingerprints.request)
    }

    /// True if the caller resumes a stream that it lost.
    pub fn resumes_stream(&self) -> bool {
        self.route.resumable && self.head.last_event.is_some()
    }
}

/// Tells when the process is about to end, so that what is still open must be answered now.
#[derive(Clone, Debug)]
pub struct ProcessEnd(watch::Receiver<bool>);

impl ProcessEnd {
    /// Creates it with a sender that announces the end.
    pub fn channel() -> (watch::Sender<bool>, Self) {
        let (sender, receiver) = watch::channel(false);
        (sender, Self(receiver))
    }

    /// Completes when the process is about to end.
    pub async fn announced(&self) {
        let mut receiver = self.0.clone();
        if receiver.wait_for(|ends| *ends).await.is_err() {
            // Nobody is left to announce it.
            std::future::pending::<()>().await;
        }
    }
}

/// Shared state that request handlers need.
#[derive(Clone, Debug)]
pub struct ProxyContext {
    /// Handle of the control thread.
    pub handle: Handle,
    /// Encoding and decoding of the platform's API.
    pub dialect: &'static Dialect,
    /// Idle connections to endpoints.
    pub pool: Pool,
    /// Idle connections to other nodes, by their incarnations.
    pub node_pool: Pool,
    /// The end of the process.
    pub process_end: ProcessEnd,
    /// Metrics of the node.
    pub metrics: Arc<Metrics>,
    /// Memory for data that is held for clients.
    pub memory: MemoryBudget,
    /// Memory for wide receive buffers of clients' connections.
    pub wide_buffers: WideBuffers,
}
