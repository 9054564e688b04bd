//! Stand-in of a plain HTTP service that counts how often each call was executed.
//!
//! Under `/standin/` it serves `GET executions`, `GET bodies` and, as `POST`,
//! `delay?ms=`, `lose?next=` to drop responses of executed calls, `truncate?next=` to
//! send half of a response without its length and close the connection, `silence`,
//! `cut`, `freeze?ms=` and `crash?ms=`, which closes all connections and refuses new
//! ones for a time.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http::header::{CONTENT_TYPE, HeaderValue};
use http::{Method, Request, Response, StatusCode, Uri, Version};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::time::sleep;
use xxhash_rust::xxh3::xxh3_64;

use crate::error::StandinError;
use crate::http::{
    Aborted, Body, HandlerResult, control_connections, empty_response, error_response, full_body,
    ok_response, query_u64, read_body, stream_body,
};
use crate::server::{Connections, Server, lock};

/// Header with the call id; the response repeats it.
pub const CALL_ID_HEADER: &str = "x-call-id";

/// Configuration of a stand-in service.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceOptions {
    /// Time from the start of a call to its response.
    pub delay_ms: u64,
    /// Path of the look-up of a call's result, containing `{id}`; `None` disables it.
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
    delay: Duration,
    /// Number of upcoming calls whose responses are dropped.
    lose_next: u64,
    /// Number of upcoming calls whose responses are truncated.
    truncate_next: u64,
    executions: BTreeMap<String, u64>,
    bodies: BTreeMap<String, u64>,
    replies: BTreeMap<String, String>,
}

struct Service {
    lookup_path: Option<String>,
    state: Mutex<State>,
    connections: Connections,
}

/// Handle of a running service; dropping it stops the service.
pub struct Handle {
    server: Server,
    service: Arc<Service>,
}

impl Handle {
    /// The listen address.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Number of executions per call id.
    pub fn executions(&self) -> BTreeMap<String, u64> {
        lock(&self.service.state).executions.clone()
    }

    /// Number of executions per request body, over all call ids.
    pub fn bodies(&self) -> BTreeMap<String, u64> {
        lock(&self.service.state).bodies.clone()
    }

    /// Changes the time from the start of a call to its response.
    pub fn set_delay(&self, delay: Duration) {
        lock(&self.service.state).delay = delay;
    }

    /// Drops the responses of the next `count` calls, which are still executed.
    pub fn lose_next(&self, count: u64) {
        lock(&self.service.state).lose_next = count;
    }

    /// Closes all connections and refuses new ones for `downtime`.
    pub fn crash(&self, downtime: Duration) {
        self.service.connections.cut_for(downtime);
    }

    /// Keeps existing connections open but permanently stops their traffic.
    pub fn silence_connections(&self) {
        self.service.connections.silence();
    }

    /// Closes all existing connections.
    pub fn cut_connections(&self) {
        self.service.connections.cut();
    }
}

/// The JSON response body of a call.
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
    let connections = Connections::new();
    let state = State {
        delay: Duration::from_millis(options.delay_ms),
        ..State::default()
    };
    let service = Arc::new(Service {
        lookup_path: options.lookup_path,
        state: Mutex::new(state),
        connections: connections.clone(),
    });
    let shared = service.clone();
    let handler = move |request| handle(shared.clone(), request);
    let server = Server::start(listen, connections, handler).await?;
    Ok(Handle { server, service })
}

async fn handle(service: Arc<Service>, request: Request<Incoming>) -> HandlerResult {
    let path = request.uri().path();
    if let Some(action) = path.strip_prefix("/standin/") {
        return Ok(service.control(action, request.uri()));
    }
    if request.method() == Method::GET
        && let Some(id) = service.lookup_id(path)
    {
        return Ok(service.look_up(id));
    }
    let header = request.headers().get(CALL_ID_HEADER).cloned();
    let Some(header) = header else {
        let message = "the x-call-id header is missing";
        return Ok(error_response(
            StatusCode::BAD_REQUEST,
            "missing_call_id",
            message,
        ));
    };
    let body = read_body(request).await?;
    let id = String::from_utf8_lossy(header.as_bytes()).into_owned();
    // Run as a task of its own, so that the call completes even if the caller
    // disconnects.
    let outcome = tokio::spawn(execute(service, id, body));
    match outcome.await.map_err(|_| Aborted)? {
        Delivery::Whole(reply) => Ok(call_response(header, full_body(reply))),
        Delivery::Truncated(reply) => {
            let half = Bytes::copy_from_slice(&reply.as_bytes()[..reply.len() / 2]);
            let mut response = call_response(header, stream_body(stream::iter([Ok(half)])));
            // A response of this version has no chunks, so it ends with the connection.
            *response.version_mut() = Version::HTTP_10;
            Ok(response)
        }
        Delivery::Lost => Err(Aborted),
    }
}

fn call_response(header: HeaderValue, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    let headers = response.headers_mut();
    headers.insert(CALL_ID_HEADER, header);
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// How the response of an executed call reaches its caller.
enum Delivery {
    Whole(String),
    Truncated(String),
    Lost,
}

/// Executes a call.
async fn execute(service: Arc<Service>, id: String, body: Bytes) -> Delivery {
    let delay = service.record_execution(&id, &body);
    sleep(delay).await;
    let reply = expected_reply(&id, &body);
    let mut state = lock(&service.state);
    state.replies.insert(id, reply.clone());
    if state.lose_next > 0 {
        state.lose_next -= 1;
        return Delivery::Lost;
    }
    if state.truncate_next > 0 {
        state.truncate_next -= 1;
        return Delivery::Truncated(reply);
    }
    Delivery::Whole(reply)
}

impl Service {
    fn record_execution(&self, id: &str, body: &[u8]) -> Duration {
        let text = String::from_utf8_lossy(body).into_owned();
        let mut state = lock(&self.state);
        *state.bodies.entry(text).or_default() += 1;
        *state.executions.entry(id.to_owned()).or_default() += 1;
        state.delay
    }

    fn control(&self, action: &str, uri: &Uri) -> Response<Body> {
        let span = Duration::from_millis(query_u64(uri, "ms", 0));
        match action {
            "executions" => return ok_response(&lock(&self.state).executions),
            "bodies" => return ok_response(&lock(&self.state).bodies),
            "delay" => lock(&self.state).delay = span,
            "lose" => lock(&self.state).lose_next = query_u64(uri, "next", 0),
            "truncate" => lock(&self.state).truncate_next = query_u64(uri, "next", 0),
            "crash" => self.connections.cut_for(span),
            _ => return control_connections(&self.connections, action, span),
        }
        empty_response(StatusCode::NO_CONTENT)
    }

    fn lookup_id<'a>(&self, path: &'a str) -> Option<&'a str> {
        let pattern = self.lookup_path.as_deref()?;
        let (head, tail) = pattern.split_once("{id}")?;
        path.strip_prefix(head)?.strip_suffix(tail)
    }

    fn look_up(&self, id: &str) -> Response<Body> {
        let state = lock(&self.state);
        let Some(reply) = state.replies.get(id) else {
            return error_response(StatusCode::NOT_FOUND, "not_found", "this call never ran");
        };
        let answer: Value = serde_json::from_str(reply).expect("replies are JSON");
        ok_response(&json!({ "call_id": id, "status": "done", "answer": answer }))
    }
}
