//! HTTP server for callers.

use std::sync::Arc;
use std::time::Duration;

use flamingolock_core::entries::{self, Caller, EntriesAnswer};
use flamingolock_core::entry_token::EntryToken;
use flamingolock_core::prelude::*;
use http::request::Parts;
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio_util::task::TaskTracker;

use crate::api::{ApiError, ApiResponse, ErrorKind, full_body, json_response};
use crate::caller_body;
use crate::control::controllers::workspace_share;
use crate::control::now;
use crate::filters::authenticate::authenticate;
use crate::filters::{TrafficContext, completion, service_call};
use crate::relay::CompletionFormat;
use crate::scope::RequestScope;
use crate::view::DrainPhase;
use crate::write_timeout::WriteTimeout;

/// Header with the identifier of a request.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// Delay after a failed accept, which in most cases means too many open files.
const ACCEPT_PAUSE_MS: u64 = 20;

/// Size limit of a request head and of the read buffer for bodies.
const READ_BUFFER_BYTES: usize = 32 << 10;

/// State that all connections share.
struct CallerServer {
    traffic: TrafficContext,
    /// Limits the number of requests in progress.
    request_slots: Arc<Semaphore>,
    /// Limits the bytes of bodies of requests in progress.
    body_memory: Arc<Semaphore>,
}

/// Route of a request path.
enum Route<'a> {
    Completion(CompletionFormat),
    Entries,
    Models,
    Model(&'a str),
    Call(&'a str),
    Unknown,
}

/// Serves callers until `stop` becomes true, then waits for requests in progress.
pub async fn serve(listener: TcpListener, traffic: TrafficContext, stop: watch::Receiver<bool>) {
    let limits = &traffic.settings.limits;
    let connections = Arc::new(Semaphore::new(limits.connections));
    let server = Arc::new(CallerServer {
        request_slots: Arc::new(Semaphore::new(limits.inflight)),
        body_memory: Arc::new(Semaphore::new(limits.memory_bytes)),
        traffic,
    });
    let tasks = TaskTracker::new();
    let mut stopping = stop.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopping.wait_for(|stop| *stop) => break,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
            continue;
        };
        // Connections beyond the limit are closed immediately, which callers can detect.
        let Ok(connection) = Arc::clone(&connections).try_acquire_owned() else {
            continue;
        };
        let (server, stop) = (Arc::clone(&server), stop.clone());
        tasks.spawn(async move {
            serve_connection(stream, server, stop).await;
            drop(connection);
        });
    }
    // From here on, new connections are refused instead of waiting in the backlog.
    drop(listener);
    tasks.close();
    tasks.wait().await;
}

async fn serve_connection(
    stream: TcpStream,
    server: Arc<CallerServer>,
    mut stop: watch::Receiver<bool>,
) {
    let _ = stream.set_nodelay(true);
    let timing = &server.traffic.settings.timing;
    let head = Duration::from_millis(timing.head_ms);
    let stream = WriteTimeout::new(stream, Duration::from_millis(timing.caller_ms));
    let service = service_fn(move |request| {
        let server = Arc::clone(&server);
        async move { Ok::<_, std::convert::Infallible>(server.handle(request).await) }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(head)
        .max_buf_size(READ_BUFFER_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => return,
        _ = stop.wait_for(|stop| *stop) => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}

impl CallerServer {
    async fn handle(&self, request: Request<Incoming>) -> ApiResponse {
        let id = RequestId::from(ulid::Ulid::new().to_string());
        let scope = RequestScope::new(Arc::clone(&self.traffic.metrics));
        let (parts, mut body) = request.into_parts();
        let served = self.dispatch(&scope, id.clone(), &parts, &mut body).await;
        let mut response = match served {
            Ok(response) => response,
            Err(error) => {
                scope.failed(&error);
                let limit = self.traffic.settings.limits.body_bytes;
                caller_body::discard(&mut body, limit).await;
                error.into_response()
            }
        };
        if let Ok(value) = HeaderValue::from_str(id.as_str()) {
            response.headers_mut().insert(REQUEST_ID_HEADER, value);
        }
        response
    }

    async fn dispatch(
        &self,
        scope: &RequestScope,
        id: RequestId,
        parts: &Parts,
        body: &mut Incoming,
    ) -> Result<ApiResponse, ApiError> {
        let path = parts.uri.path();
        let route = route(path);
        let allowed = allowed(&route);
        if parts.method == Method::OPTIONS && !allowed.is_empty() {
            scope.answered();
            return Ok(options_response(allowed));
        }
        if !allowed.is_empty() && !allowed.split(", ").any(|name| name == parts.method) {
            let error = method_not_allowed(&parts.method, path, allowed);
            scope.failed(&error);
            return Ok(with_allow(error.into_response(), allowed));
        }
        match route {
            Route::Completion(format) => self.complete(scope, id, parts, body, format).await,
            Route::Call(rest) => self.call(scope, id, parts, body, rest).await,
            Route::Entries => {
                let response = entries(&self.traffic, parts)?;
                scope.answered();
                Ok(response)
            }
            Route::Models => {
                authenticate(&self.traffic.view.load(), &parts.headers)?;
                scope.answered();
                Ok(models(&self.traffic))
            }
            Route::Model(name) => {
                authenticate(&self.traffic.view.load(), &parts.headers)?;
                let response = model(&self.traffic, name)?;
                scope.answered();
                Ok(response)
            }
            Route::Unknown => Err(no_such_path(path)),
        }
    }

    async fn complete(
        &self,
        scope: &RequestScope,
        id: RequestId,
        parts: &Parts,
        body: &mut Incoming,
        format: CompletionFormat,
    ) -> Result<ApiResponse, ApiError> {
        // Authenticates first: callers without a key get no memory for their bodies.
        let workspace = authenticate(&self.traffic.view.load(), &parts.headers)?;
        self.acquire_slot(scope)?;
        let body = self.read(scope, parts, body).await?;
        let headers = &parts.headers;
        completion::serve(&self.traffic, scope, id, workspace, headers, &body, format).await
    }

    async fn call(
        &self,
        scope: &RequestScope,
        id: RequestId,
        parts: &Parts,
        body: &mut Incoming,
        rest: &str,
    ) -> Result<ApiResponse, ApiError> {
        let not_run = |error: ApiError| error.with_outcome(crate::api::CallOutcome::NotRun);
        let view = self.traffic.view.load_full();
        let workspace = authenticate(&view, &parts.headers).map_err(not_run)?;
        self.acquire_slot(scope).map_err(not_run)?;
        let body = self.read(scope, parts, body).await.map_err(not_run)?;
        let kind = rest.split('/').next().unwrap_or_default();
        if let Some((kind, _)) = view.manifest.kinds.get_key_value(kind) {
            scope.set_kind(kind);
        }
        let incoming = service_call::IncomingCall {
            id,
            workspace,
            method: parts.method.clone(),
            path: rest.to_owned(),
            headers: parts.headers.clone(),
            body,
        };
        let response = service_call::serve(&self.traffic, incoming).await?;
        scope.answered();
        Ok(response)
    }

    fn acquire_slot(&self, scope: &RequestScope) -> Result<(), ApiError> {
        let Ok(slot) = Arc::clone(&self.request_slots).try_acquire_owned() else {
            let message = "the node serves as many requests as it may";
            return Err(ApiError::unavailable("busy", message, 1000));
        };
        scope.hold(slot);
        Ok(())
    }

    async fn read(
        &self,
        scope: &RequestScope,
        parts: &Parts,
        body: &mut Incoming,
    ) -> Result<bytes::Bytes, ApiError> {
        let settings = &self.traffic.settings;
        caller_body::read(settings, &self.body_memory, scope, &parts.headers, body).await
    }
}

fn route(path: &str) -> Route<'_> {
    match path {
        "/v1/completions" => return Route::Completion(CompletionFormat::Text),
        "/v1/chat/completions" => return Route::Completion(CompletionFormat::Chat),
        "/v1/entries" => return Route::Entries,
        "/v1/models" => return Route::Models,
        _ => {}
    }
    if let Some(name) = path.strip_prefix("/v1/models/") {
        return Route::Model(name);
    }
    path.strip_prefix("/v1/calls/")
        .map_or(Route::Unknown, Route::Call)
}

fn allowed(route: &Route<'_>) -> &'static str {
    match route {
        Route::Completion(_) => "POST, OPTIONS",
        Route::Entries | Route::Models | Route::Model(_) => "GET, HEAD, OPTIONS",
        Route::Call(_) => "GET, POST, OPTIONS",
        Route::Unknown => "",
    }
}

fn options_response(allowed: &'static str) -> ApiResponse {
    let mut response = Response::new(full_body(""));
    *response.status_mut() = StatusCode::NO_CONTENT;
    with_allow(response, allowed)
}

fn with_allow(mut response: ApiResponse, allowed: &'static str) -> ApiResponse {
    let value = HeaderValue::from_static(allowed);
    response.headers_mut().insert(header::ALLOW, value);
    response
}

fn method_not_allowed(method: &Method, path: &str, allowed: &'static str) -> ApiError {
    ApiError::new(
        StatusCode::METHOD_NOT_ALLOWED,
        ErrorKind::InvalidRequest,
        "method_not_allowed",
        format!("`{path}` does not take {method}; it takes {allowed}"),
    )
}

fn no_such_path(path: &str) -> ApiError {
    let message = format!("there is nothing at `{path}`");
    ApiError::new(
        StatusCode::NOT_FOUND,
        ErrorKind::NotFound,
        "no_such_path",
        message,
    )
}

/// Serves `GET /v1/entries[?zone=NAME]`. The API key determines the workspace, and
/// with it the subset of entries. Without a key the response has no token.
fn entries(
    traffic: &TrafficContext,
    parts: &http::request::Parts,
) -> Result<ApiResponse, ApiError> {
    let view = traffic.view.load_full();
    let has_key = parts.headers.contains_key(http::header::AUTHORIZATION);
    let workspace = if has_key {
        Some(authenticate(&view, &parts.headers)?)
    } else {
        None
    };
    let anonymous = WorkspaceId::default();
    let asked = parts
        .uri
        .query()
        .and_then(|query| query.strip_prefix("zone="));
    let zone = asked.map_or_else(|| traffic.settings.node.zone.clone(), Zone::from);
    let caller = Caller {
        workspace: workspace.as_ref().unwrap_or(&anonymous),
        share: workspace
            .as_ref()
            .map_or(0.0, |id| workspace_share(&view.manifest, id)),
        zone: &zone,
        salt: rand::random(),
    };
    let chosen = entries::choose(view.entries.iter(), &caller);
    // Tokens of an entry that is shutting down would outlive it.
    let issues_token = workspace.is_some() && view.phase == DrainPhase::Running;
    let token = EntryToken {
        owner: traffic.node.clone(),
        made_at: now(),
        nonce: rand::random(),
    };
    let token = issues_token
        .then(|| traffic.keys.mint(&token).ok())
        .flatten();
    let response = EntriesAnswer {
        lifetime_ms: traffic.settings.timing.entries_ms,
        ..EntriesAnswer::new(chosen, token)
    };
    let body = serde_json::to_vec(&response).unwrap_or_default();
    Ok(json_response(StatusCode::OK, body))
}

fn models(traffic: &TrafficContext) -> ApiResponse {
    let view = traffic.view.load_full();
    let data: Vec<_> = view
        .manifest
        .models
        .keys()
        .map(|name| model_body(name.as_str()))
        .collect();
    let body = serde_json::json!({ "object": "list", "data": data });
    let mut response: Response<_> = json_response(StatusCode::OK, body.to_string());
    response
        .headers_mut()
        .insert("cache-control", HeaderValue::from_static("no-cache"));
    response
}

fn model(traffic: &TrafficContext, name: &str) -> Result<ApiResponse, ApiError> {
    if traffic.view.load().manifest.models.contains_key(name) {
        let body = model_body(name).to_string();
        return Ok(json_response(StatusCode::OK, body));
    }
    let message = format!("the model `{name}` does not exist");
    Err(ApiError::new(
        StatusCode::NOT_FOUND,
        ErrorKind::NotFound,
        "model_not_found",
        message,
    ))
}

fn model_body(name: &str) -> serde_json::Value {
    // The API requires a creation time, which the manifest does not have.
    serde_json::json!({ "id": name, "object": "model", "created": 0, "owned_by": "operator" })
}
