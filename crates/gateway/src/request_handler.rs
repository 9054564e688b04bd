//! Handles a caller's request: route lookup, authentication and limits, before it
//! is forwarded to an endpoint.

use std::sync::Arc;
use std::time::Duration;

use http::header::HOST;
use http::request::Parts;
use http::uri::PathAndQuery;
use http::{Request, Response, Version};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::time::{Instant, timeout_at};

use crate::catalog::{CallerLimits, Catalog, RequestKind, Route};
use crate::clock::{Millis, now};
use crate::connection_limit::RequestMark;
use crate::control::View;
use crate::control::begun_streams::request_key;
use crate::dialect::RequestHead;
use crate::exchange::{Exchange, Origin, ProxyContext};
use crate::fingerprint::{Content, Fingerprints};
use crate::forward::forward;
use crate::limited_log::LimitedLog;
use crate::memory_budget::{BodyBuffer, BudgetExhausted};
use crate::metrics::Metrics;
use crate::payload::Payload;
use crate::response::{ErrorReason, ResponseBody, error_response};
use crate::server::read_buffer;
use crate::workspaces::Workspace;

/// `Retry-After` of a node that has no configuration yet.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(700);

/// `Retry-After` of a node that is shutting down; another node can take the request.
pub const SHUTDOWN_RETRY_AFTER: Duration = Duration::from_millis(20);

/// Time after the start of a shutdown, in ms, from which on new streams are
/// rejected because they might not end before the process does.
const STREAM_CUTOFF_MS: Millis = 2_000;

/// Part of the time until the process ends after which they are, if that is sooner.
const STREAM_CUTOFF_SHARE: Millis = 4;

/// Time after the timeout of a request by which its caller has its answer.
const ANSWER_MARGIN: Duration = Duration::from_millis(100);

/// Part of the bound for a new configuration after which a caller may return whose route or key a
/// node does not know that may lack the newest one.
const OLD_CATALOG_RETRY_SHARE: u32 = 4;

/// `Retry-After` of a request for whose body there is no memory.
const MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Log of bodies that are refused because of their size or memory, or for want of progress.
static BODY_LOG: LimitedLog = LimitedLog::new();

/// Timeout of a request whose caller sends no deadline.
const DEFAULT_TIMEOUT: Duration = Duration::from_mins(1);

/// Handles one request, sent by a caller or handed on by another node.
pub async fn serve(
    request: Request<Incoming>,
    origin: Origin,
    context: ProxyContext,
    metrics: Arc<Metrics>,
) -> Response<ResponseBody> {
    let started = Instant::now();
    let (parts, body) = request.into_parts();
    let head = (context.dialect.request_head)(&parts.headers);
    let id: Arc<str> = head.request_id.as_deref().unwrap_or("-").into();
    let view = context.handle.view();
    let Some(catalog) = view.catalog.clone() else {
        return refuse(
            &id,
            &metrics,
            ErrorReason::NotReady,
            Some(NOT_READY_RETRY_AFTER),
        );
    };
    let Some(route) = find_route(&catalog, &parts) else {
        return refuse_unknown(&id, &metrics, &view, ErrorReason::NoRoute);
    };
    let workspace = match authenticate(&catalog, &route, &head) {
        Ok(workspace) => workspace,
        Err(reason) => return refuse_unknown(&id, &metrics, &view, reason),
    };
    if route.kind == RequestKind::Stream && parts.version < Version::HTTP_11 {
        return refuse(&id, &metrics, ErrorReason::NoChunks, None);
    }
    let time_limit = head.timeout.unwrap_or(DEFAULT_TIMEOUT).min(route.timeout);
    let deadline = started + time_limit;
    if must_go_elsewhere(&view, route.kind, deadline) {
        return refuse_leaving(&id, &metrics);
    }
    let mark = parts.extensions.get::<RequestMark>();
    let client = mark.and_then(RequestMark::client);
    let buffer = context.memory.body(client);
    let body = tokio::select! {
        body = read_body(body, buffer, mark, &catalog.limits, deadline) => body,
        () = context.process_end.announced() => return refuse_leaving(&id, &metrics),
    };
    let body = match body {
        Ok(body) => body,
        Err(reason @ ErrorReason::MemoryFull) => {
            return refuse(&id, &metrics, reason, Some(MEMORY_RETRY_AFTER));
        }
        Err(reason) => return refuse(&id, &metrics, reason, None),
    };
    if let Some(mark) = mark {
        mark.running();
    }
    // The body may have taken a while.
    if must_go_elsewhere(&context.handle.view(), route.kind, deadline) {
        return refuse_leaving(&id, &metrics);
    }
    let Some(service) = route.select_service(service_number(&head)).cloned() else {
        return refuse(&id, &metrics, ErrorReason::NoRoute, None);
    };
    let target = parts
        .uri
        .path_and_query()
        .cloned()
        .unwrap_or_else(|| PathAndQuery::from_static("/"));
    let fingerprints = Fingerprints::of(&Content {
        method: &parts.method,
        host: host(&parts).unwrap_or_default(),
        target: &target,
        workspace: workspace.as_ref().map(|workspace| workspace.name.as_str()),
        body: &body,
        model: head.model.as_deref(),
        parts: &head.parts,
    });
    let exchange = Exchange {
        request_id: id,
        method: parts.method,
        target,
        headers: parts.headers,
        body,
        head,
        fingerprints,
        route: route.clone(),
        service,
        workspace,
        origin,
        client,
        catalog_version: catalog.version,
        started,
        deadline,
    };
    let response = forward(exchange, context).await;
    metrics.count_response(&route, response.status().as_u16(), started.elapsed());
    response
}

/// Number by which the request's service is selected. A resumed stream has that of the
/// request that began it.
fn service_number(head: &RequestHead) -> u64 {
    let stream = head.resumes.as_ref().or(head.request_id.as_ref());
    stream.map_or_else(rand::random, |id| request_key(id))
}

/// True if this node is shutting down and a request that has not been sent to an endpoint might
/// not be answered before the process ends.
pub fn must_go_elsewhere(view: &View, kind: RequestKind, deadline: Instant) -> bool {
    match kind {
        RequestKind::Stream => past_stream_cutoff(view, now()),
        RequestKind::Safe | RequestKind::Once => {
            let left = deadline.saturating_duration_since(Instant::now());
            may_outlast(view, left, now())
        }
    }
}

/// True if a stream that starts now might not end before the process does.
pub fn past_stream_cutoff(view: &View, now: Millis) -> bool {
    let Some((started_at, ends_at)) = view.shutdown_at.zip(view.ends_at) else {
        return false;
    };
    let share = ends_at.saturating_sub(started_at) / STREAM_CUTOFF_SHARE;
    now >= started_at + share.min(STREAM_CUTOFF_MS)
}

/// True if a request that may take this long might not be answered before the process
/// ends.
pub fn may_outlast(view: &View, time_limit: Duration, now: Millis) -> bool {
    let latest = now + (time_limit + ANSWER_MARGIN).as_millis() as Millis;
    view.ends_at.is_some_and(|end| latest > end)
}

fn refuse_leaving(id: &str, metrics: &Metrics) -> Response<ResponseBody> {
    refuse(
        id,
        metrics,
        ErrorReason::Leaving,
        Some(SHUTDOWN_RETRY_AFTER),
    )
}

fn refuse(
    id: &str,
    metrics: &Metrics,
    reason: ErrorReason,
    retry_after: Option<Duration>,
) -> Response<ResponseBody> {
    log::info!(request = id, reason = reason.as_str(), status = reason.status().as_u16(); "request refused");
    metrics.count_refused(reason);
    error_response(reason, retry_after)
}

/// Refuses a request whose route or key the configuration does not have. If the copy of the
/// configuration is older than it may be, the newest one may have it, and the caller may return.
fn refuse_unknown(
    id: &str,
    metrics: &Metrics,
    view: &View,
    reason: ErrorReason,
) -> Response<ResponseBody> {
    if !view.may_lack_changes(now()) {
        return refuse(id, metrics, reason, None);
    }
    let retry_after = view.catalog_bound / OLD_CATALOG_RETRY_SHARE;
    refuse(id, metrics, ErrorReason::OldCatalog, Some(retry_after))
}

fn host(parts: &Parts) -> Option<&str> {
    let host = parts.headers.get(HOST);
    host.and_then(|host| host.to_str().ok())
        .or_else(|| parts.uri.host())
}

fn find_route(catalog: &Catalog, parts: &Parts) -> Option<Arc<Route>> {
    let host = host(parts)?;
    catalog.routes.find(host, parts.uri.path()).cloned()
}

/// Returns the workspace of a request's API key; none if the configuration has no
/// keys, or if the route is public and the key is missing or unknown.
fn authenticate(
    catalog: &Catalog,
    route: &Route,
    head: &RequestHead,
) -> Result<Option<Arc<Workspace>>, ErrorReason> {
    let Some(keys) = &catalog.keys else {
        return Ok(None);
    };
    match head.key.as_ref().and_then(|key| keys.get(key)) {
        Some(workspace) => Ok(Some(workspace.clone())),
        None if route.public => Ok(None),
        None => Err(ErrorReason::NoKey),
    }
}

/// Reads a body. A body that is too large is refused as soon as that is known.
async fn read_body(
    mut body: Incoming,
    mut buffer: BodyBuffer,
    mark: Option<&RequestMark>,
    limits: &CallerLimits,
    deadline: Instant,
) -> Result<Payload, ErrorReason> {
    let result = receive(&mut body, &mut buffer, mark, limits, deadline).await;
    match result {
        Ok(()) => Ok(buffer.finish()),
        Err(reason) => {
            if let Some(suppressed) = BODY_LOG.due() {
                log::warn!(client:? = buffer.client(), reason = reason.as_str(), bytes = buffer.len(), suppressed;
                    "request body refused");
            }
            Err(reason)
        }
    }
}

/// Size of the buffers from which a body is read, beside the one that holds its head.
fn read_buffers(body: &Incoming, limits: &CallerLimits) -> usize {
    let buffers = 2 * read_buffer(limits);
    let upper = body.size_hint().upper().unwrap_or(u64::MAX);
    buffers.min(usize::try_from(upper).unwrap_or(usize::MAX))
}

/// Waits until the deadline for a step that needs memory for a body.
async fn find_memory(
    deadline: Instant,
    step: impl Future<Output = Result<(), BudgetExhausted>>,
) -> Result<(), ErrorReason> {
    match timeout_at(deadline, step).await {
        Ok(Ok(())) => Ok(()),
        Ok(Err(BudgetExhausted)) | Err(_) => Err(ErrorReason::MemoryFull),
    }
}

async fn receive(
    body: &mut Incoming,
    buffer: &mut BodyBuffer,
    mark: Option<&RequestMark>,
    limits: &CallerLimits,
    deadline: Instant,
) -> Result<(), ErrorReason> {
    if body.size_hint().lower() > limits.body_bytes as u64 {
        return Err(ErrorReason::TooLarge);
    }
    if body.is_end_stream() {
        return Ok(());
    }
    let reading = buffer.start_reading(read_buffers(body, limits));
    find_memory(deadline, reading).await?;
    loop {
        let stalled = (Instant::now() + limits.idle_time).min(deadline);
        let frame = tokio::select! {
            frame = timeout_at(stalled, body.frame()) => frame,
            () = buffer.refused() => return Err(ErrorReason::MemoryFull),
        };
        let data = match frame {
            Ok(None) => return Ok(()),
            Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            Ok(Some(Err(_))) => return Err(ErrorReason::BodyBroken),
            Err(_) => return Err(ErrorReason::BodyStalled),
        };
        if buffer.len() + data.len() > limits.body_bytes {
            return Err(ErrorReason::TooLarge);
        }
        find_memory(deadline, buffer.push(&data, limits.body_bytes)).await?;
        if let Some(mark) = mark {
            mark.progress();
        }
    }
}
