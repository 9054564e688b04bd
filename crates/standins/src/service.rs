//! A plain service that counts how often each call truly ran.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HeaderValue};
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::time::sleep;
use xxhash_rust::xxh3::xxh3_64;

use crate::error::StandinError;
use crate::http::{Aborted, Body, Reply, error, full, ok, read_body};
use crate::server::{Connections, Server, lock};

/// Header that names a call and that the answer repeats.
pub const CALL_ID: &str = "x-call-id";

/// How a service behaves.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceOptions {
    /// Time from the start of a call to its answer.
    pub delay_ms: u64,
    /// Path of the look-up, with `{id}` in it; absent means there is none.
    pub lookup_path: Option<String>,
}

impl Default for ServiceOptions {
    fn default() -> Self {
        Self {
            delay_ms: 0,
            lookup_path: Some("/lookup/{id}".to_owned()),
        }
    }
}

#[derive(Default)]
struct State {
    executions: BTreeMap<String, u64>,
    bodies: BTreeMap<String, u64>,
    replies: BTreeMap<String, String>,
}

struct Service {
    options: ServiceOptions,
    state: Mutex<State>,
}

/// A running service; dropping it stops the service.
pub struct Handle {
    server: Server,
    service: Arc<Service>,
}

impl Handle {
    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// How often each call id has run.
    pub fn executions(&self) -> BTreeMap<String, u64> {
        lock(&self.service.state).executions.clone()
    }

    /// How often each body has run, under whatever call id.
    pub fn bodies(&self) -> BTreeMap<String, u64> {
        lock(&self.service.state).bodies.clone()
    }
}

/// The JSON text that the service answers to a call.
pub fn expected_reply(call_id: &str, body: &[u8]) -> String {
    let mut input = call_id.as_bytes().to_vec();
    input.push(0);
    input.extend_from_slice(body);
    let answer = format!("{:016x}", xxh3_64(&input));
    json!({ "call_id": call_id, "answer": answer }).to_string()
}

/// Starts a service on `listen`.
///
/// # Errors
///
/// Fails when `listen` cannot be bound.
pub async fn start(options: ServiceOptions, listen: SocketAddr) -> Result<Handle, StandinError> {
    let service = Arc::new(Service {
        options,
        state: Mutex::default(),
    });
    let shared = service.clone();
    let handler = move |request| handle(shared.clone(), request);
    let server = Server::start(listen, Connections::default(), handler).await?;
    Ok(Handle { server, service })
}

async fn handle(service: Arc<Service>, request: Request<Incoming>) -> Reply {
    let path = request.uri().path();
    if path == "/standin/executions" {
        return Ok(ok(&lock(&service.state).executions));
    }
    if path == "/standin/bodies" {
        return Ok(ok(&lock(&service.state).bodies));
    }
    if request.method() == Method::GET
        && let Some(id) = service.lookup_id(path)
    {
        return Ok(service.look_up(id));
    }
    let header = request.headers().get(CALL_ID).cloned();
    let Some(header) = header else {
        let message = "the x-call-id header is missing";
        return Ok(error(StatusCode::BAD_REQUEST, "missing_call_id", message));
    };
    let body = read_body(request).await?;
    let id = String::from_utf8_lossy(header.as_bytes()).into_owned();
    // A call runs to its end even when its caller leaves.
    let reply = tokio::spawn(execute(service, id, body));
    let reply = reply.await.map_err(|_| Aborted)?;
    Ok(call_response(header, reply))
}

fn call_response(header: HeaderValue, reply: String) -> Response<Body> {
    let mut response = Response::new(full(reply));
    let headers = response.headers_mut();
    headers.insert(CALL_ID, header);
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

async fn execute(service: Arc<Service>, id: String, body: Bytes) -> String {
    service.count(&id, &body);
    sleep(Duration::from_millis(service.options.delay_ms)).await;
    let reply = expected_reply(&id, &body);
    lock(&service.state).replies.insert(id, reply.clone());
    reply
}

impl Service {
    fn count(&self, id: &str, body: &[u8]) {
        let text = String::from_utf8_lossy(body).into_owned();
        let mut state = lock(&self.state);
        *state.executions.entry(id.to_owned()).or_default() += 1;
        *state.bodies.entry(text).or_default() += 1;
    }

    fn lookup_id<'a>(&self, path: &'a str) -> Option<&'a str> {
        let pattern = self.options.lookup_path.as_deref()?;
        let (head, tail) = pattern.split_once("{id}")?;
        path.strip_prefix(head)?.strip_suffix(tail)
    }

    fn look_up(&self, id: &str) -> Response<Body> {
        let state = lock(&self.state);
        let Some(reply) = state.replies.get(id) else {
            return error(StatusCode::NOT_FOUND, "not_found", "this call never ran");
        };
        let answer: Value = serde_json::from_str(reply).expect("replies are JSON");
        ok(&json!({ "call_id": id, "status": "done", "answer": answer }))
    }
}
