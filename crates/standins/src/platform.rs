//! The platform: log service, instance list, weight store and KV store.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use flamingolock_core::prelude::*;
use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout_at};

use crate::error::StandinError;
use crate::http::{Reply, empty, error, full, ok, parse_json, query_u64, read_body};
pub use crate::log_stream::{LogRecord, NewRecord};
use crate::log_stream::{LogStream, ReadOutcome};
use crate::server::{Connections, Server, lock};

/// Records that one read returns when the reader names no limit.
const DEFAULT_READ_MAX: u64 = 1000;

/// How a platform behaves.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformOptions {
    /// Records that a stream keeps.
    pub max_records: usize,
    /// Time that a stream keeps a record.
    pub max_age_ms: u64,
    /// Time that one load of weights takes.
    pub load_ms: u64,
}

impl Default for PlatformOptions {
    fn default() -> Self {
        Self {
            max_records: 1_000_000,
            max_age_ms: 3_600_000,
            load_ms: 300,
        }
    }
}

/// What an instance is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceKind {
    /// Runs a node of the router.
    Entry,
    /// Runs a model engine.
    Engine,
    /// Runs a plain service.
    Service,
}

/// Whether an instance takes work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// Takes work.
    #[default]
    Live,
    /// Gets no new work and goes away.
    Leaving,
}

/// One line of the instance list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Unique name; the path of a `PUT` fills it in.
    #[serde(default)]
    pub name: String,
    /// What the instance is for.
    pub kind: InstanceKind,
    /// Where callers or nodes reach it.
    pub address: SocketAddr,
    /// Where other nodes reach it.
    #[serde(default)]
    pub peer_address: Option<SocketAddr>,
    /// Availability zone.
    pub zone: Zone,
    /// Whether it takes work.
    #[serde(default)]
    pub state: InstanceState,
}

#[derive(Deserialize)]
struct AppendRequest {
    records: Vec<NewRecord>,
}

struct State {
    streams: BTreeMap<String, LogStream>,
    instances: BTreeMap<String, Instance>,
    kept: BTreeMap<String, Bytes>,
}

struct Platform {
    options: PlatformOptions,
    state: Mutex<State>,
    /// Rises with every append, for readers that wait.
    appended: watch::Sender<u64>,
}

/// A running platform; dropping it stops the platform.
pub struct Handle {
    server: Server,
    platform: Arc<Platform>,
}

impl Handle {
    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Adds an instance to the list, or replaces the one of the same name.
    pub fn put_instance(&self, instance: Instance) {
        self.platform.put_instance(instance);
    }

    /// Takes an instance off the list.
    pub fn remove_instance(&self, name: &str) {
        self.platform.remove_instance(name);
    }
}

/// Starts a platform on `listen`.
///
/// # Errors
///
/// Fails when `listen` cannot be bound.
pub async fn start(options: PlatformOptions, listen: SocketAddr) -> Result<Handle, StandinError> {
    let platform = Arc::new(Platform {
        options,
        state: Mutex::new(State {
            streams: BTreeMap::new(),
            instances: BTreeMap::new(),
            kept: BTreeMap::new(),
        }),
        appended: watch::Sender::new(0),
    });
    let shared = platform.clone();
    let handler = move |request| handle(shared.clone(), request);
    let server = Server::start(listen, Connections::default(), handler).await?;
    Ok(Handle { server, platform })
}

async fn handle(platform: Arc<Platform>, request: Request<Incoming>) -> Reply {
    let method = request.method().clone();
    let uri = request.uri().clone();
    let body = read_body(request).await?;
    let path: Vec<&str> = uri.path().trim_start_matches('/').split('/').collect();
    match (method, path.as_slice()) {
        (Method::POST, ["log", stream]) => Ok(platform.append(stream, &body)),
        (Method::GET, ["log", stream]) => Ok(platform.read(stream, &uri).await),
        (Method::GET, ["instances"]) => Ok(platform.list()),
        (Method::GET, ["weights", version]) => Ok(platform.weights(version).await),
        (method, ["kv", key @ ..]) => Ok(platform.kept(&method, &key.join("/"), body)),
        (Method::PUT, ["standin", "instances", name]) => Ok(match parse_json::<Instance>(&body) {
            Ok(mut instance) => {
                (*name).clone_into(&mut instance.name);
                platform.put_instance(instance);
                empty(StatusCode::NO_CONTENT)
            }
            Err(response) => *response,
        }),
        (Method::DELETE, ["standin", "instances", name]) => {
            platform.remove_instance(name);
            Ok(empty(StatusCode::NO_CONTENT))
        }
        _ => Ok(error(StatusCode::NOT_FOUND, "not_found", "no such path")),
    }
}

impl Platform {
    fn put_instance(&self, instance: Instance) {
        let mut state = lock(&self.state);
        state.instances.insert(instance.name.clone(), instance);
    }

    fn remove_instance(&self, name: &str) {
        lock(&self.state).instances.remove(name);
    }

    fn append(&self, stream: &str, body: &[u8]) -> http::Response<crate::http::Body> {
        let request: AppendRequest = match parse_json(body) {
            Ok(request) => request,
            Err(response) => return *response,
        };
        let count = request.records.len();
        let mut state = lock(&self.state);
        let log = state.streams.entry(stream.to_owned()).or_default();
        let now = unix_now();
        let first = log.append(request.records, now);
        log.trim(
            self.options.max_records,
            now - Millis(self.options.max_age_ms),
        );
        drop(state);
        self.appended.send_modify(|n| *n += 1);
        ok(&json!({ "first_offset": first, "count": count }))
    }

    async fn read(&self, stream: &str, uri: &http::Uri) -> http::Response<crate::http::Body> {
        let from = Offset(query_u64(uri, "from", 0));
        let max = query_u64(uri, "max", DEFAULT_READ_MAX) as usize;
        let wait = Duration::from_millis(query_u64(uri, "wait_ms", 0));
        let until = Instant::now() + wait;
        let mut appended = self.appended.subscribe();
        loop {
            let (start, end, outcome) = {
                let mut state = lock(&self.state);
                let log = state.streams.entry(stream.to_owned()).or_default();
                (log.start(), log.end(), log.read(from, max))
            };
            match outcome {
                ReadOutcome::Trimmed => {
                    let bounds = json!({ "start": start, "end": end });
                    return crate::http::json_response(StatusCode::GONE, &bounds);
                }
                ReadOutcome::Records(records) => {
                    let waits = records.is_empty() && Instant::now() < until;
                    if !waits {
                        let page = json!({ "start": start, "end": end, "records": records });
                        return ok(&page);
                    }
                }
            }
            // The sender lives as long as the platform, and a timeout ends the
            // wait at the next look.
            let _ = timeout_at(until, appended.changed()).await;
        }
    }

    fn list(&self) -> http::Response<crate::http::Body> {
        let state = lock(&self.state);
        let instances: Vec<&Instance> = state.instances.values().collect();
        ok(&json!({ "instances": instances }))
    }

    async fn weights(&self, version: &str) -> http::Response<crate::http::Body> {
        sleep(Duration::from_millis(self.options.load_ms)).await;
        ok(&json!({ "version": version }))
    }

    fn kept(&self, method: &Method, key: &str, body: Bytes) -> http::Response<crate::http::Body> {
        let mut state = lock(&self.state);
        if key.is_empty() {
            let keys = state.kept.iter();
            let keys: Vec<_> = keys
                .map(|(key, bytes)| json!({ "key": key, "bytes": bytes.len() }))
                .collect();
            return ok(&json!({ "keys": keys }));
        }
        match *method {
            Method::PUT => {
                state.kept.insert(key.to_owned(), body);
                empty(StatusCode::NO_CONTENT)
            }
            Method::DELETE => {
                state.kept.remove(key);
                empty(StatusCode::NO_CONTENT)
            }
            _ => match state.kept.get(key) {
                Some(bytes) => http::Response::new(full(bytes.clone())),
                None => error(StatusCode::NOT_FOUND, "not_found", "no such key"),
            },
        }
    }
}

/// The time of day, as the log stamps records.
fn unix_now() -> Millis {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    Millis(since.unwrap_or_default().as_millis() as u64)
}
