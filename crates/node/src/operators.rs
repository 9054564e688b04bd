//! The operators' port: metrics, health, status and explanations.
//!
//! The server has no way to stop: its thread ends only with the process. It holds
//! the node's state weakly, so that a node that is dropped answers no more and
//! keeps no memory.

use std::net::{SocketAddr, TcpListener};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::{Arc, Weak};
use std::time::Duration;

use astra::{Body, Request, Response, ResponseBuilder, Server};
use flamingolock_core::prelude::*;
use http::{Method, StatusCode, header};
use serde::Serialize;
use serde_json::json;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::control;
use crate::decisions::DecisionLog;
use crate::metrics::{CONTENT_TYPE, Metrics};
use crate::node::NodeError;
use crate::settings::Settings;
use crate::status::{Explanation, Missing, NodeStatus, Readiness};
use crate::view::{SharedView, View};

/// Connections that are served at once, with a thread each.
const MAX_THREADS: usize = 32;

/// Largest head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// Pause before the server is started again after it ended by itself.
const RESTART_MS: u64 = 500;

/// Silence of the control thread after which the node no longer counts as alive.
const CONTROL_SILENCE: Millis = Millis(10_000);

/// What the operators' port reads.
pub struct OperatorState {
    /// Settings of the node.
    pub settings: Arc<Settings>,
    /// Life of the node process.
    pub incarnation: Incarnation,
    /// Newest published view.
    pub view: SharedView,
    /// Memory of decisions.
    pub decisions: Arc<DecisionLog>,
    /// Metrics of the node.
    pub metrics: Arc<Metrics>,
    /// When the node started.
    pub started: Millis,
}

/// The port while its node lives.
pub struct OperatorPort {
    address: SocketAddr,
    _state: Arc<OperatorState>,
}

impl OperatorPort {
    /// Listens where the settings say; none when they name no address.
    ///
    /// # Errors
    ///
    /// When the port is taken or no thread can be had.
    pub fn start(state: OperatorState) -> Result<Option<Self>, NodeError> {
        let Some(address) = state.settings.operators.listen else {
            return Ok(None);
        };
        let server = bind(address).map_err(|source| NodeError::Listen {
            key: "operators.listen",
            address,
            source,
        })?;
        let address = server.local_addr()?;
        log::info!("operators are served on {address}");
        let state = Arc::new(state);
        let weak = Arc::downgrade(&state);
        std::thread::Builder::new()
            .name("operators".to_owned())
            .spawn(move || serve(server, address, &weak))?;
        Ok(Some(Self {
            address,
            _state: state,
        }))
    }

    /// Address of the port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

/// The library panics when it cannot listen, so the address is tried before.
fn bind(address: SocketAddr) -> std::io::Result<Server> {
    if address.port() != 0 {
        drop(TcpListener::bind(address)?);
    }
    catch_unwind(AssertUnwindSafe(|| Server::bind(address)))
        .map(|server| {
            server
                .http1_only()
                .http1_max_buf_size(MAX_HEAD_BYTES)
                .max_workers(MAX_THREADS)
        })
        .map_err(|_| std::io::ErrorKind::AddrInUse.into())
}

/// Serves until the node is gone; one failed accept ends the library's loop.
fn serve(server: Server, address: SocketAddr, state: &Weak<OperatorState>) {
    let mut next = Some(server);
    while state.strong_count() > 0 {
        if let Some(server) = next.take() {
            let state = state.clone();
            let ended = server.serve(move |request: Request, _| answer(&state, &request));
            log::warn!("the operators' port at {address} ended: {ended:?}");
        }
        std::thread::sleep(Duration::from_millis(RESTART_MS));
        next = bind(address).ok();
    }
}

fn answer(state: &Weak<OperatorState>, request: &Request) -> Response {
    let Some(state) = state.upgrade() else {
        return error(StatusCode::SERVICE_UNAVAILABLE, "stopped", "no node here");
    };
    if !matches!(*request.method(), Method::GET | Method::HEAD) {
        let message = "this port answers GET and HEAD";
        return error(
            StatusCode::METHOD_NOT_ALLOWED,
            "method_not_allowed",
            message,
        );
    }
    match request.uri().path() {
        "/healthz" => state.health(),
        "/readyz" => state.readiness(),
        path if state.authorised(request) => state.guarded(path),
        _ => {
            let message = "send the token as `Authorization: Bearer TOKEN`";
            let mut answer = error(StatusCode::UNAUTHORIZED, "bad_token", message);
            let scheme = http::HeaderValue::from_static("Bearer");
            answer
                .headers_mut()
                .insert(header::WWW_AUTHENTICATE, scheme);
            answer
        }
    }
}

impl OperatorState {
    fn guarded(&self, path: &str) -> Response {
        match path {
            "/metrics" => {
                let text = self.metrics.encode(&self.view.load());
                respond(StatusCode::OK, CONTENT_TYPE, text)
            }
            "/status" => json_answer(StatusCode::OK, &self.status()),
            path => match path.strip_prefix("/explain/") {
                Some(request) => {
                    let decisions = self.decisions.explain(request);
                    json_answer(StatusCode::OK, &Explanation { decisions })
                }
                None => error(StatusCode::NOT_FOUND, "no_such_path", "nothing here"),
            },
        }
    }

    /// Digests are compared, so that neither content nor length takes more or
    /// less time.
    fn authorised(&self, request: &Request) -> bool {
        let given = request
            .headers()
            .get(header::AUTHORIZATION)
            .and_then(|value| value.as_bytes().strip_prefix(b"Bearer "))
            .unwrap_or_default();
        let expected = Sha256::digest(self.settings.operators.token.as_bytes());
        bool::from(Sha256::digest(given).ct_eq(&expected))
    }

    fn health(&self) -> Response {
        let seen = self.metrics.control_seen().max(self.started);
        let silence = control::now().since(seen);
        if silence > CONTROL_SILENCE {
            let message = format!("the control thread is silent since {} ms", silence.0);
            return error(StatusCode::SERVICE_UNAVAILABLE, "control_silent", &message);
        }
        json_answer(StatusCode::OK, &json!({ "alive": true }))
    }

    fn readiness(&self) -> Response {
        let readiness = readiness(&self.view.load());
        let status = if readiness.ready {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        json_answer(status, &readiness)
    }

    fn status(&self) -> NodeStatus {
        let view = self.view.load();
        NodeStatus {
            name: self.settings.node.name.clone(),
            zone: self.settings.node.zone.clone(),
            incarnation: self.incarnation,
            uptime: control::now().since(self.started),
            ready: view.ready,
            leaving: view.leaving,
            manifest_offset: view.manifest_offset,
            engines: view.engines.to_vec(),
            instances: view.instances.values().cloned().collect(),
        }
    }
}

fn readiness(view: &View) -> Readiness {
    let checks = [
        (Missing::Manifest, view.ready),
        (Missing::Engines, view.answering > 0),
        (Missing::Leaving, !view.leaving),
    ];
    let missing: Vec<Missing> = checks
        .into_iter()
        .filter(|(_, holds)| !holds)
        .map(|(missing, _)| missing)
        .collect();
    Readiness {
        ready: missing.is_empty(),
        missing,
    }
}

fn json_answer<T: Serialize>(status: StatusCode, body: &T) -> Response {
    let text = serde_json::to_string(body).unwrap_or_default();
    respond(status, "application/json", text)
}

fn error(status: StatusCode, code: &str, message: &str) -> Response {
    let body = json!({ "error": { "code": code, "message": message } });
    json_answer(status, &body)
}

fn respond(status: StatusCode, content_type: &str, body: String) -> Response {
    ResponseBuilder::new()
        .status(status)
        .header(header::CONTENT_TYPE, content_type)
        .body(Body::new(body))
        .unwrap_or_else(|_| Response::new(Body::empty()))
}
