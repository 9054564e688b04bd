//! HTTP server for operators: metrics, health, readiness, status and decisions.
//!
//! It has its own thread, so that it responds while the traffic threads are busy.

use std::convert::Infallible;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use flamingolock_core::prelude::*;
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::Serialize;
use serde_json::json;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;
use tokio::net::TcpStream;
use tokio::runtime::Runtime;
use tokio::sync::{Semaphore, oneshot};

use crate::api::{ApiResponse, full_body};
use crate::control;
use crate::decisions::DecisionLog;
use crate::metrics::{CONTENT_TYPE, Metrics};
use crate::node::NodeError;
use crate::settings::Settings;
use crate::status::{Explanation, NodeStatus, Readiness, UnreadyReason};
use crate::view::{SharedView, View};
use crate::write_timeout::WriteTimeout;

/// Largest number of concurrent connections.
const MAX_CONNECTIONS: usize = 64;

/// Largest accepted request head, in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// Timeout for reading a request head, and for a write that makes no progress.
const IO_TIMEOUT: Duration = Duration::from_secs(5);

/// Delay after a failed accept, which in most cases means too many open files.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Time without an iteration of the control thread after which the health check
/// fails.
const CONTROL_STALL_LIMIT: Millis = Millis(10_000);

/// State that the operators' server reads.
pub struct OperatorState {
    /// Settings of the node.
    pub settings: Arc<Settings>,
    /// Incarnation of the node.
    pub incarnation: Incarnation,
    /// Latest view that the control thread published.
    pub view: SharedView,
    /// Recent decisions.
    pub decisions: Arc<DecisionLog>,
    /// Metrics of the node.
    pub metrics: Arc<Metrics>,
    /// Start time of the node.
    pub started: Millis,
}

/// A running server. Dropping it stops the server and joins its thread.
pub struct OperatorServer {
    address: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl OperatorServer {
    /// Starts the server on the configured address, or returns `None` if there is none.
    ///
    /// # Errors
    ///
    /// Returns an error if the port is in use or a thread cannot be created.
    pub fn start(state: OperatorState) -> Result<Option<Self>, NodeError> {
        let Some(configured) = state.settings.operators.listen else {
            return Ok(None);
        };
        let listen_error = |source| NodeError::Listen {
            key: "operators.listen",
            address: configured,
            source,
        };
        let listener = TcpListener::bind(configured).map_err(listen_error)?;
        listener.set_nonblocking(true).map_err(listen_error)?;
        let address = listener.local_addr().map_err(listen_error)?;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let (stop, stopped) = oneshot::channel();
        let thread = std::thread::Builder::new()
            .name("operators".to_owned())
            .spawn(move || run(&runtime, listener, &Arc::new(state), stopped))?;
        log::info!("serving operators on {address}");
        Ok(Some(Self {
            address,
            stop: Some(stop),
            thread: Some(thread),
        }))
    }

    /// Address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for OperatorServer {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn run(
    runtime: &Runtime,
    listener: TcpListener,
    state: &Arc<OperatorState>,
    stopped: oneshot::Receiver<()>,
) {
    runtime.block_on(async {
        match tokio::net::TcpListener::from_std(listener) {
            Ok(listener) => tokio::select! {
                () = accept(&listener, state) => {}
                _ = stopped => {}
            },
            Err(error) => log::error!("cannot serve the operators' port: {error}"),
        }
    });
}

async fn accept(listener: &tokio::net::TcpListener, state: &Arc<OperatorState>) {
    let connection_limit = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        // Connections beyond the limit are closed immediately.
        let Ok(connection_permit) = Arc::clone(&connection_limit).try_acquire_owned() else {
            continue;
        };
        let state = Arc::clone(state);
        tokio::spawn(async move {
            serve_connection(stream, state).await;
            drop(connection_permit);
        });
    }
}

async fn serve_connection(stream: TcpStream, state: Arc<OperatorState>) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let response = state.handle(&request);
        async move { Ok::<_, Infallible>(response) }
    });
    let stream = TokioIo::new(WriteTimeout::new(stream, IO_TIMEOUT));
    let served = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IO_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(stream, service)
        .await;
    if let Err(error) = served {
        log::debug!("operator connection failed: {error}");
    }
}

impl OperatorState {
    fn handle(&self, request: &Request<Incoming>) -> ApiResponse {
        if !matches!(*request.method(), Method::GET | Method::HEAD) {
            let message = "this port answers GET and HEAD";
            return error(
                StatusCode::METHOD_NOT_ALLOWED,
                "method_not_allowed",
                message,
            );
        }
        match request.uri().path() {
            "/healthz" => self.health(),
            "/readyz" => self.readiness(),
            path if self.authorised(request) => self.handle_authorised(path),
            _ => {
                let message = "send the token as `Authorization: Bearer TOKEN`";
                let mut response = error(StatusCode::UNAUTHORIZED, "bad_token", message);
                let scheme = HeaderValue::from_static("Bearer");
                response
                    .headers_mut()
                    .insert(header::WWW_AUTHENTICATE, scheme);
                response
            }
        }
    }

    fn handle_authorised(&self, path: &str) -> ApiResponse {
        match path {
            "/metrics" => {
                let text = self.metrics.encode(&self.view.load());
                respond(StatusCode::OK, CONTENT_TYPE, text)
            }
            "/status" => json_response(StatusCode::OK, &self.status()),
            path => match path.strip_prefix("/explain/") {
                Some(request) => {
                    let decisions = self.decisions.explain(request);
                    json_response(StatusCode::OK, &Explanation { decisions })
                }
                None => error(StatusCode::NOT_FOUND, "no_such_path", "nothing here"),
            },
        }
    }

    /// Checks the bearer token. Compares digests, so that the time depends neither on
    /// the content nor on the length of the token.
    fn authorised(&self, request: &Request<Incoming>) -> bool {
        let given = request
            .headers()
            .get(header::AUTHORIZATION)
            .and_then(|value| value.as_bytes().strip_prefix(b"Bearer "))
            .unwrap_or_default();
        let expected = Sha256::digest(self.settings.operators.token.as_bytes());
        bool::from(Sha256::digest(given).ct_eq(&expected))
    }

    fn health(&self) -> ApiResponse {
        let seen = self.metrics.last_control_step().max(self.started);
        let silence = control::now().since(seen);
        if silence > CONTROL_STALL_LIMIT {
            let message = format!("the control thread is silent since {} ms", silence.0);
            return error(StatusCode::SERVICE_UNAVAILABLE, "control_silent", &message);
        }
        json_response(StatusCode::OK, &json!({ "alive": true }))
    }

    fn readiness(&self) -> ApiResponse {
        let readiness = readiness(&self.view.load());
        let status = if readiness.ready {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        json_response(status, &readiness)
    }

    fn status(&self) -> NodeStatus {
        let view = self.view.load();
        NodeStatus {
            name: self.settings.node.name.clone(),
            zone: self.settings.node.zone.clone(),
            incarnation: self.incarnation,
            uptime: control::now().since(self.started),
            ready: view.ready,
            leaving: view.leaving(),
            manifest_offset: view.manifest_offset(),
            engines: view.engines.to_vec(),
            instances: view.instances.values().cloned().collect(),
        }
    }
}

fn readiness(view: &View) -> Readiness {
    let checks = [
        (UnreadyReason::Manifest, view.ready),
        (UnreadyReason::Engines, view.answering > 0),
        (UnreadyReason::Leaving, !view.leaving()),
    ];
    let missing: Vec<UnreadyReason> = checks
        .into_iter()
        .filter(|(_, passed)| !passed)
        .map(|(missing, _)| missing)
        .collect();
    Readiness {
        ready: missing.is_empty(),
        missing,
    }
}

fn json_response<T: Serialize>(status: StatusCode, body: &T) -> ApiResponse {
    let text = serde_json::to_string(body).unwrap_or_default();
    respond(status, "application/json", text)
}

fn error(status: StatusCode, code: &str, message: &str) -> ApiResponse {
    let body = json!({ "error": { "code": code, "message": message } });
    json_response(status, &body)
}

fn respond(status: StatusCode, content_type: &'static str, body: String) -> ApiResponse {
    let mut response = Response::new(full_body(body));
    *response.status_mut() = status;
    let value = HeaderValue::from_static(content_type);
    response.headers_mut().insert(header::CONTENT_TYPE, value);
    response
}
