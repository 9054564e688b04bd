//! The callers' port.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use flamingolock_core::entries::{self, Caller, EntriesAnswer};
use flamingolock_core::entry_token::EntryToken;
use flamingolock_core::prelude::*;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio_util::task::TaskTracker;

use crate::api::{Answer, ApiError, ErrorKind, json_answer};
use crate::control::controllers::workspace_share;
use crate::control::now;
use crate::filters::authenticate::authenticate;
use crate::filters::{Traffic, completion, service_call};
use crate::relay::Shape;
use crate::view::DrainPhase;

/// Header with the identifier of a request.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// Pause after a failed accept, which most often means too many open files.
const ACCEPT_PAUSE_MS: u64 = 20;

/// Serves callers until `stop` turns true, then waits for what is in progress.
pub async fn serve(listener: TcpListener, traffic: Traffic, stop: watch::Receiver<bool>) {
    let places = Arc::new(Semaphore::new(traffic.settings.limits.connections));
    let connections = TaskTracker::new();
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
        // A connection beyond the bound is closed at once, which callers can see.
        let Ok(place) = Arc::clone(&places).try_acquire_owned() else {
            continue;
        };
        let (traffic, stop) = (traffic.clone(), stop.clone());
        connections.spawn(async move {
            serve_connection(stream, traffic, stop).await;
            drop(place);
        });
    }
    // New connections are refused from here on instead of waiting unserved.
    drop(listener);
    connections.close();
    connections.wait().await;
}

async fn serve_connection(stream: TcpStream, traffic: Traffic, mut stop: watch::Receiver<bool>) {
    let _ = stream.set_nodelay(true);
    let head = Duration::from_millis(traffic.settings.timing.head_ms);
    let service = service_fn(move |request| {
        let traffic = traffic.clone();
        async move { Ok::<_, std::convert::Infallible>(answer(&traffic, request).await) }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(head)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => return,
        _ = stop.wait_for(|stop| *stop) => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}

async fn answer(traffic: &Traffic, request: Request<Incoming>) -> Answer {
    let id = RequestId::from(ulid::Ulid::new().to_string());
    let mut answer = match dispatch(traffic, id.clone(), request).await {
        Ok(answer) => answer,
        Err(error) => error.into_answer(),
    };
    if let Ok(value) = HeaderValue::from_str(id.as_str()) {
        answer.headers_mut().insert(REQUEST_ID_HEADER, value);
    }
    answer
}

async fn dispatch(
    traffic: &Traffic,
    id: RequestId,
    request: Request<Incoming>,
) -> Result<Answer, ApiError> {
    let (parts, body) = request.into_parts();
    let path = parts.uri.path().to_owned();
    match (&parts.method, path.as_str()) {
        (&Method::POST, "/v1/completions") => {
            let body = read_body(traffic, &parts.headers, body).await?;
            completion::serve(traffic, id, &parts.headers, &body, Shape::Text).await
        }
        (&Method::POST, "/v1/chat/completions") => {
            let body = read_body(traffic, &parts.headers, body).await?;
            completion::serve(traffic, id, &parts.headers, &body, Shape::Chat).await
        }
        (&Method::GET, "/v1/entries") => entries(traffic, &parts),
        (&Method::GET, "/v1/models") => Ok(models(traffic)),
        (method @ (&Method::POST | &Method::GET), path) => {
            let Some(rest) = path.strip_prefix("/v1/calls/") else {
                return Err(no_such_path(path));
            };
            let body = read_body(traffic, &parts.headers, body).await?;
            let incoming = service_call::Incoming {
                id,
                method: method.clone(),
                path: rest.to_owned(),
                headers: parts.headers.clone(),
                body,
            };
            service_call::serve(traffic, incoming).await
        }
        (_, path) => Err(no_such_path(path)),
    }
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

async fn read_body(
    traffic: &Traffic,
    headers: &HeaderMap,
    body: Incoming,
) -> Result<Bytes, ApiError> {
    let limit = traffic.settings.limits.body_bytes;
    let too_large = || {
        let message = format!("the body has more than {limit} bytes");
        ApiError::new(
            StatusCode::PAYLOAD_TOO_LARGE,
            ErrorKind::InvalidRequest,
            "body_too_large",
            message,
        )
    };
    let announced = headers
        .get(http::header::CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse::<usize>().ok());
    if announced.is_some_and(|bytes| bytes > limit) {
        return Err(too_large());
    }
    let wait = Duration::from_millis(traffic.settings.timing.body_ms);
    match tokio::time::timeout(wait, Limited::new(body, limit).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => Err(too_large()),
        Ok(Err(error)) => Err(ApiError::invalid("body_cut", error.to_string())),
        Err(_) => Err(ApiError::new(
            StatusCode::REQUEST_TIMEOUT,
            ErrorKind::InvalidRequest,
            "body_late",
            "the body did not arrive in time",
        )),
    }
}

/// Serves `GET /v1/entries[?zone=NAME]`. A key decides the workspace, and with it
/// the subset; without one the answer holds no token.
fn entries(traffic: &Traffic, parts: &http::request::Parts) -> Result<Answer, ApiError> {
    let view = traffic.view.load_full();
    let known = parts.headers.contains_key(http::header::AUTHORIZATION);
    let workspace = if known {
        Some(authenticate(&view, &parts.headers)?)
    } else {
        None
    };
    let nobody = WorkspaceId::default();
    let asked = parts
        .uri
        .query()
        .and_then(|query| query.strip_prefix("zone="));
    let zone = asked.map_or_else(|| traffic.settings.node.zone.clone(), Zone::from);
    let caller = Caller {
        workspace: workspace.as_ref().unwrap_or(&nobody),
        share: workspace
            .as_ref()
            .map_or(0.0, |id| workspace_share(&view.manifest, id)),
        zone: &zone,
        salt: rand::random(),
    };
    let chosen = entries::choose(view.entries.iter(), &caller);
    // An entry that is leaving would mint tokens that outlive it.
    let mints = workspace.is_some() && view.phase == DrainPhase::Running;
    let token = EntryToken {
        owner: traffic.me.clone(),
        made_at: now(),
        nonce: rand::random(),
    };
    let token = mints.then(|| traffic.keys.mint(&token).ok()).flatten();
    let answer = EntriesAnswer {
        lifetime_ms: traffic.settings.timing.entries_ms,
        ..EntriesAnswer::new(chosen, token)
    };
    let body = serde_json::to_vec(&answer).unwrap_or_default();
    Ok(json_answer(StatusCode::OK, body))
}

fn models(traffic: &Traffic) -> Answer {
    let view = traffic.view.load_full();
    let data: Vec<_> = view
        .manifest
        .models
        .keys()
        .map(|name| serde_json::json!({ "id": name, "object": "model", "owned_by": "operator" }))
        .collect();
    let body = serde_json::json!({ "object": "list", "data": data });
    let mut answer: Response<_> = json_answer(StatusCode::OK, body.to_string());
    answer
        .headers_mut()
        .insert("cache-control", HeaderValue::from_static("no-cache"));
    answer
}
