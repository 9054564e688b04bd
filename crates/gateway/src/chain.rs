//! The filters that a request passes before it is sent to an endpoint.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::HOST;
use http::request::Parts;
use http::uri::PathAndQuery;
use http::{Request, Response};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use tokio::time::{Instant, timeout};

use crate::answer::{AnswerBody, Reason, own};
use crate::attempt::{Exchange, Means};
use crate::catalog::{Catalog, Repeat, Route, Workspace};
use crate::clock::{Millis, now};
use crate::control::View;
use crate::dialect::CallerHead;
use crate::forward::forward;
use crate::metrics::Metrics;

/// When to come back to a node that has no configuration yet.
const NOT_READY_AGAIN: Duration = Duration::from_millis(700);

/// When to come back to another node after one that leaves.
const LEAVING_AGAIN: Duration = Duration::from_millis(20);

/// Time after the begin of a shutdown from which on no new streams are taken, in
/// ms; they might not end before the process does.
const LAST_STREAMS_MS: Millis = 2_000;

/// Longest time that a caller without a deadline is kept.
const NO_DEADLINE: Duration = Duration::from_mins(1);

/// Serves one request of a caller.
pub async fn serve(
    request: Request<Incoming>,
    means: Means,
    metrics: Arc<Metrics>,
) -> Response<AnswerBody> {
    let started = Instant::now();
    let (parts, body) = request.into_parts();
    let head = (means.dialect.caller_head)(&parts.headers);
    let id: Arc<str> = head.request_id.as_deref().unwrap_or("-").into();
    let view = means.handle.view();
    let Some(catalog) = view.catalog.clone() else {
        return refuse(&id, &metrics, Reason::NotReady, Some(NOT_READY_AGAIN));
    };
    let Some(route) = find_route(&catalog, &parts) else {
        return refuse(&id, &metrics, Reason::NoRoute, None);
    };
    let workspace = match authenticate(&catalog, &route, &head) {
        Ok(workspace) => workspace,
        Err(reason) => return refuse(&id, &metrics, reason, None),
    };
    if route.repeat == Repeat::Stream && is_too_late(&view, now()) {
        return refuse(&id, &metrics, Reason::Leaving, Some(LEAVING_AGAIN));
    }
    let patience = head.patience.unwrap_or(NO_DEADLINE).min(route.timeout);
    let body = match read_body(body, &catalog, patience).await {
        Ok(body) => body,
        Err(reason) => return refuse(&id, &metrics, reason, None),
    };
    let Some(service) = route.pick(rand::random()).cloned() else {
        return refuse(&id, &metrics, Reason::NoRoute, None);
    };
    let target = parts
        .uri
        .path_and_query()
        .cloned()
        .unwrap_or_else(|| PathAndQuery::from_static("/"));
    let exchange = Exchange {
        request: id,
        method: parts.method,
        target,
        headers: parts.headers,
        body,
        head,
        route: route.clone(),
        service,
        workspace,
        started,
        expires: started + patience,
    };
    let response = forward(exchange, means).await;
    metrics.answered(&route, response.status().as_u16(), started.elapsed());
    response
}

/// True when a stream that begins now may not end before the process does.
pub fn is_too_late(view: &View, now: Millis) -> bool {
    view.shutdown_at
        .is_some_and(|at| now >= at + LAST_STREAMS_MS)
}

fn refuse(
    id: &str,
    metrics: &Metrics,
    reason: Reason,
    again: Option<Duration>,
) -> Response<AnswerBody> {
    log::info!(request = id, reason = reason.word(), status = reason.status().as_u16(); "request refused");
    metrics.refused(reason);
    own(reason, again)
}

fn find_route(catalog: &Catalog, parts: &Parts) -> Option<Arc<Route>> {
    let host = parts
        .headers
        .get(HOST)
        .and_then(|host| host.to_str().ok())
        .or_else(|| parts.uri.host())?;
    catalog.route(host, parts.uri.path()).cloned()
}

/// The workspace of a request; none where the route or the configuration asks
/// for no key.
fn authenticate(
    catalog: &Catalog,
    route: &Route,
    head: &CallerHead,
) -> Result<Option<Arc<Workspace>>, Reason> {
    let Some(keys) = &catalog.keys else {
        return Ok(None);
    };
    match head.key.as_ref().and_then(|key| keys.get(key)) {
        Some(workspace) => Ok(Some(workspace.clone())),
        None if route.public => Ok(None),
        None => Err(Reason::NoKey),
    }
}

async fn read_body(body: Incoming, catalog: &Catalog, patience: Duration) -> Result<Bytes, Reason> {
    let whole = Limited::new(body, catalog.limits.body_bytes).collect();
    match timeout(patience, whole).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Reason::TooLarge),
        Ok(Err(_)) | Err(_) => Err(Reason::BodyBroken),
    }
}
