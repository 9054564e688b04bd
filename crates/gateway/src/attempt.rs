//! A single attempt to serve a request at one endpoint.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::response::Parts;
use http::{HeaderMap, Request, StatusCode, Uri};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::body_end::Witness;
use crate::catalog::RequestKind;
use crate::clock::{Millis, now};
use crate::connection_pool::ConnectionUse;
use crate::control::{Event, Grant, RunEnd};
use crate::dialect::{EndpointHead, ResponseHead};
use crate::endpoint::Endpoint;
use crate::endpoint_statements::{pass_on_leaving, pass_on_limits, pass_on_pause};
use crate::exchange::{Exchange, ProxyContext};
use crate::http_client::{BodyFraming, CallError, Connection};
use crate::limited_log::LimitedLog;
use crate::payload::Payload;
use crate::response_body::{BodyError, discard, read_whole};
use crate::run_guard::RunGuard;
use crate::run_verdict::{doubt, not_run_reason, proves_not_run};

/// Fraction of a connection's idle timeout after which it is no longer reused for
/// requests that must not be retried: closer to the timeout, the endpoint may
/// close the connection just as the request is sent.
const NON_RETRYABLE_IDLE_SHARE: f64 = 0.5;

/// Timeout for draining an unneeded response body so that the connection can be reused.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(100);

/// A streamed response whose first chunk has arrived, or whose body is empty.
#[derive(Debug)]
pub struct OpenedStream {
    /// Response status.
    pub status: StatusCode,
    /// Response headers.
    pub headers: HeaderMap,
    /// First chunk of the body; none if the body is empty.
    pub first: Option<Bytes>,
    /// Remaining body.
    pub rest: Incoming,
    /// Connection that carries the response.
    pub connection: Connection,
    /// Reports the end of the run.
    pub guard: RunGuard,
    /// Placement of the run.
    pub grant: Grant,
}

/// A response whose body is still to be read.
#[derive(Debug)]
struct UnreadResponse {
    parts: Parts,
    body: Incoming,
    connection: Connection,
    head: ResponseHead,
    /// When the request was sent.
    sent_at: Millis,
}

/// A response whose body was read to its end.
#[derive(Debug)]
pub struct BufferedResponse {
    /// Response status.
    pub status: StatusCode,
    /// Response headers.
    pub headers: HeaderMap,
    /// Response body.
    pub body: Payload,
    /// Endpoint that sent it.
    pub endpoint: Arc<Endpoint>,
}

/// Result of an attempt.
#[derive(Debug)]
pub enum AttemptOutcome {
    /// A complete response.
    Response(BufferedResponse),
    /// A complete response that reports a failure of the endpoint; another
    /// endpoint may succeed.
    ErrorResponse(BufferedResponse),
    /// A streamed response has started.
    Stream(Box<OpenedStream>),
    /// The endpoint did not run the request and never will.
    NotRun(RunEnd),
    /// The request may have run, but there is no usable response.
    NoResponse(RunEnd),
    /// The request's deadline has passed; it may have run.
    DeadlineExceeded,
}

/// Sends the request to the endpoint of `grant`. To resume a stream, `resume_after`
/// is the id of the last event that the caller has. `first_byte_timeout` limits the
/// time until the first byte of the response.
pub async fn attempt(
    exchange: &Exchange,
    context: &ProxyContext,
    grant: Grant,
    resume_after: Option<u64>,
    first_byte_timeout: Option<Duration>,
) -> AttemptOutcome {
    let mut guard = RunGuard::new(context, &grant, exchange, resume_after.is_some());
    let first_byte_deadline =
        first_byte_timeout.map_or(exchange.deadline, |timeout| Instant::now() + timeout);
    let limit = first_byte_deadline.min(exchange.deadline);
    let sent_at = now();
    let sending = timeout_at(limit, send(exchange, context, &grant, resume_after));
    let Some(outcome) = before_expiry(exchange, context, &grant, sending).await else {
        return expired(exchange, &grant, guard);
    };
    let (response, mut connection) = match outcome {
        Ok(Ok(sent)) => sent,
        Ok(Err(error)) => return request_failed(exchange, &grant, guard, &error),
        Err(_) => return first_byte_timed_out(exchange, guard),
    };
    guard.response_begun();
    let head = (context.dialect.response_head)(response.headers());
    if let Some(doubt) = doubt(exchange, response.status(), &head, &connection) {
        log::warn!(request = &*exchange.request_id, endpoint = &*grant.endpoint.id, cause = doubt,
            status = response.status().as_u16(), found = head.request_id.as_deref().unwrap_or("");
            "response may be that of another request; dropped");
        pass_on_leaving(context, &grant, response.status(), &head);
        guard.end(RunEnd::Broken);
        return AttemptOutcome::NoResponse(RunEnd::Broken);
    }
    if head.request_id.is_none() && !proves_not_run(response.status(), &head) {
        connection.record_unnamed();
    }
    let (parts, body) = response.into_parts();
    pass_on_pause(context, &grant, parts.status, &head);
    pass_on_leaving(context, &grant, parts.status, &head);
    pass_on_limits(exchange, context, &grant, parts.status, &head);
    if proves_not_run(parts.status, &head) {
        let end = not_run_reason(parts.status, &head, &grant, exchange);
        log::info!(request = &*exchange.request_id, endpoint = &*grant.endpoint.id, status = parts.status.as_u16(),
            cause = end.as_str(); "endpoint did not run the request");
        let is_named = head.request_id.is_some();
        connection.record_refusal(&exchange.request_id, exchange.deadline, is_named);
        // Else only requests that may run twice could use it, and there are no others here.
        if is_named || exchange.route.may_run_twice() {
            drain_body(context, &grant, connection, body, &head).await;
        }
        guard.end(end.clone());
        return AttemptOutcome::NotRun(end);
    }
    if parts.status.is_success() && !head.signed {
        guard.end(RunEnd::Broken);
        return AttemptOutcome::NoResponse(RunEnd::Broken);
    }
    let response = UnreadResponse {
        parts,
        body,
        connection,
        head,
        sent_at,
    };
    if response.parts.status.is_success() && exchange.route.kind == RequestKind::Stream {
        return open_stream(exchange, context, grant, guard, response, limit).await;
    }
    read_response(exchange, context, &grant, guard, response).await
}

/// Waits for a step before the first event of a stream; none if the weights of its engine
/// expire first. Responses that are no streams do not tell when they begin.
async fn before_expiry<T>(
    exchange: &Exchange,
    context: &ProxyContext,
    grant: &Grant,
    step: impl Future<Output = T>,
) -> Option<T> {
    if exchange.route.kind != RequestKind::Stream {
        return Some(step.await);
    }
    tokio::select! {
        done = step => Some(done),
        () = weights_expired(exchange, context, grant) => None,
    }
}

/// Completes when the weights of the engine must no longer be used. Those that are the newest
/// ones now may be superseded at any time.
async fn weights_expired(exchange: &Exchange, context: &ProxyContext, grant: &Grant) {
    let (Some(model), Some(version)) = (&exchange.head.model, grant.weights) else {
        return std::future::pending().await;
    };
    loop {
        let view = context.handle.view();
        let now = now();
        let left = view
            .weights_expire_at(model, version)
            .map_or(view.max_weights_age, |at| at.saturating_sub(now));
        if left == 0 {
            return;
        }
        sleep(Duration::from_millis(left)).await;
    }
}

/// Ends a run that has not begun, so that it does not begin on weights that have expired.
fn expired(exchange: &Exchange, grant: &Grant, guard: RunGuard) -> AttemptOutcome {
    log::info!(request = &*exchange.request_id, endpoint = &*grant.endpoint.id, weights = grant.weights;
        "run not begun when the weights of its engine expired; ended");
    guard.end(RunEnd::Expired);
    AttemptOutcome::NoResponse(RunEnd::Expired)
}

async fn send(
    exchange: &Exchange,
    context: &ProxyContext,
    grant: &Grant,
    resume_after: Option<u64>,
) -> Result<(http::Response<Incoming>, Connection), CallError> {
    let purpose = ConnectionUse {
        request_id: &exchange.request_id,
        may_run_twice: exchange.route.may_run_twice(),
        idle_share: if exchange.route.is_retryable() {
            1.0
        } else {
            NON_RETRYABLE_IDLE_SHARE
        },
    };
    let key = grant.endpoint.key();
    let build = || build_request(exchange, context, grant, resume_after);
    // The response says nothing of the path that a new connection would have by then.
    let opened = || context.handle.send(Event::EndpointConnected(key));
    context
        .pool
        .send(key, grant.endpoint.address, &purpose, build, opened)
        .await
}

fn build_request(
    exchange: &Exchange,
    context: &ProxyContext,
    grant: &Grant,
    resume_after: Option<u64>,
) -> Request<Payload> {
    let workspace = exchange.workspace.as_ref();
    let priority = workspace
        .and_then(|workspace| workspace.priority)
        .unwrap_or(exchange.route.priority);
    let head = EndpointHead {
        instance: grant.endpoint.id.clone(),
        timeout: exchange.deadline.saturating_duration_since(Instant::now()),
        workspace: workspace.map(|workspace| workspace.name.clone()),
        priority: exchange.head.model.is_some().then_some(priority),
        weights: grant.weights,
        salt: grant.salt.clone(),
        kv_source: grant.kv_source,
        kv_sink: grant.kv_sink,
        resume_after,
    };
    let mut request = Request::new(exchange.body.clone());
    *request.method_mut() = exchange.method.clone();
    *request.uri_mut() = Uri::from(exchange.target.clone());
    *request.headers_mut() = (context.dialect.endpoint_headers)(&exchange.headers, &head);
    request
}

fn request_failed(
    exchange: &Exchange,
    grant: &Grant,
    guard: RunGuard,
    error: &CallError,
) -> AttemptOutcome {
    log::info!(request = &*exchange.request_id, endpoint = &*grant.endpoint.id,
        fingerprint = exchange.fingerprint().as_str(), parts = exchange.shared_parts().as_str(), error:% = error; "request to the endpoint failed");
    match error {
        CallError::Connect(_) | CallError::ConnectTimeout | CallError::NotSent => {
            guard.end(RunEnd::NeverConnected);
            AttemptOutcome::NotRun(RunEnd::NeverConnected)
        }
        _ => {
            guard.broken();
            AttemptOutcome::NoResponse(RunEnd::Broken)
        }
    }
}

fn first_byte_timed_out(exchange: &Exchange, guard: RunGuard) -> AttemptOutcome {
    if Instant::now() >= exchange.deadline {
        guard.end(RunEnd::Silent);
        return AttemptOutcome::DeadlineExceeded;
    }
    guard.end(RunEnd::Silent);
    AttemptOutcome::NoResponse(RunEnd::Silent)
}

async fn open_stream(
    exchange: &Exchange,
    context: &ProxyContext,
    grant: Grant,
    guard: RunGuard,
    response: UnreadResponse,
    limit: Instant,
) -> AttemptOutcome {
    let UnreadResponse {
        parts,
        mut body,
        mut connection,
        head,
        ..
    } = response;
    connection.set_keep_alive(head.keep_alive);
    let first = timeout_at(limit, first_chunk(&mut body));
    let Some(first) = before_expiry(exchange, context, &grant, first).await else {
        return expired(exchange, &grant, guard);
    };
    let first = match first {
        Ok(Ok(first)) => first,
        Ok(Err(error)) => {
            log::info!(request = &*exchange.request_id, endpoint = &*grant.endpoint.id,
                fingerprint = exchange.fingerprint().as_str(), parts = exchange.shared_parts().as_str(), error:% = error; "stream failed before its first event");
            guard.broken();
            return AttemptOutcome::NoResponse(RunEnd::Broken);
        }
        Err(_) => return first_byte_timed_out(exchange, guard),
    };
    match &first {
        Some(_) => guard.first_token(head.weights),
        None if BodyFraming::of(&parts.headers) == BodyFraming::UntilClose => {
            log::info!(request = &*exchange.request_id, endpoint = &*grant.endpoint.id,
                fingerprint = exchange.fingerprint().as_str(), parts = exchange.shared_parts().as_str(); "connection closed before the first event");
            guard.broken();
            return AttemptOutcome::NoResponse(RunEnd::Broken);
        }
        None => {}
    }
    AttemptOutcome::Stream(Box::new(OpenedStream {
        status: parts.status,
        headers: parts.headers,
        first,
        rest: body,
        connection,
        guard,
        grant,
    }))
}

/// Reads the first bytes of a body; none if it is empty.
async fn first_chunk(body: &mut Incoming) -> Result<Option<Bytes>, hyper::Error> {
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data()
            && !data.is_empty()
        {
            return Ok(Some(data));
        }
    }
    Ok(None)
}

async fn read_response(
    exchange: &Exchange,
    context: &ProxyContext,
    grant: &Grant,
    mut guard: RunGuard,
    response: UnreadResponse,
) -> AttemptOutcome {
    let UnreadResponse {
        parts,
        mut body,
        connection,
        head,
        sent_at,
    } = response;
    let has_body = !body.is_end_stream();
    let target = exchange.route.target;
    let witness = Witness::open(&parts.headers, &grant.endpoint, sent_at, target);
    let read = read_whole(&mut body, &context.memory);
    let body = match timeout_at(exchange.deadline, read).await {
        Ok(Ok(body)) => body,
        Ok(Err(error @ BodyError::NoMemory(_))) => {
            log_no_memory(exchange, &grant.endpoint, &error);
            guard.end(RunEnd::NoMemory);
            return AttemptOutcome::NoResponse(RunEnd::NoMemory);
        }
        Ok(Err(error)) => {
            log::info!(request = &*exchange.request_id, endpoint = &*grant.endpoint.id,
                fingerprint = exchange.fingerprint().as_str(), error:% = error; "response body failed");
            guard.broken();
            return AttemptOutcome::NoResponse(RunEnd::Broken);
        }
        Err(_) => {
            guard.end(RunEnd::Silent);
            return AttemptOutcome::DeadlineExceeded;
        }
    };
    let reusable = match witness.filter(|_| has_body) {
        None => Some(connection),
        Some(witness) => {
            let end = witness.check(exchange, context, &grant.endpoint, connection);
            if let Err(cause) = end.await {
                log::info!(request = &*exchange.request_id, endpoint = &*grant.endpoint.id,
                    fingerprint = exchange.fingerprint().as_str(), error:% = cause; "response body failed");
                guard.broken();
                return AttemptOutcome::NoResponse(RunEnd::Broken);
            }
            None
        }
    };
    let buffered = BufferedResponse {
        status: parts.status,
        headers: parts.headers,
        body,
        endpoint: grant.endpoint.clone(),
    };
    if let Some(mut connection) = reusable
        && !closes_connection(&buffered.headers)
    {
        connection.set_keep_alive(head.keep_alive);
        context
            .pool
            .put(grant.endpoint.key(), connection, grant.max_connections);
    }
    if buffered.status.is_server_error() || matches!(buffered.status.as_u16(), 408 | 429) {
        guard.end(RunEnd::ErrorAnswer);
        return AttemptOutcome::ErrorResponse(buffered);
    }
    guard.answered();
    guard.end(RunEnd::Complete);
    AttemptOutcome::Response(buffered)
}

/// Logs that the process has no memory for a response. Clients and endpoints can cause this.
fn log_no_memory(exchange: &Exchange, endpoint: &Endpoint, error: &BodyError) {
    static LOG: LimitedLog = LimitedLog::new();
    if let Some(suppressed) = LOG.due() {
        log::warn!(request = &*exchange.request_id, endpoint = &*endpoint.id, suppressed, error:% = error;
            "no memory for a response");
    }
}

/// True if the endpoint closes the connection after this response.
pub fn closes_connection(headers: &HeaderMap) -> bool {
    headers
        .get_all(http::header::CONNECTION)
        .iter()
        .any(|value| {
            value
                .to_str()
                .is_ok_and(|value| value.to_ascii_lowercase().contains("close"))
        })
}

/// Reads and discards the rest of a response body so that the connection can be
/// reused.
async fn drain_body(
    context: &ProxyContext,
    grant: &Grant,
    mut connection: Connection,
    body: Incoming,
    head: &ResponseHead,
) {
    if matches!(timeout(DRAIN_TIMEOUT, discard(body)).await, Ok(Ok(()))) {
        connection.set_keep_alive(head.keep_alive);
        context
            .pool
            .put(grant.endpoint.key(), connection, grant.max_connections);
    }
}
