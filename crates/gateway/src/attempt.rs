//! One attempt to have one endpoint serve a request.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::uri::PathAndQuery;
use http::{HeaderMap, Method, Request, StatusCode, Uri};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use tokio::time::{Instant, timeout, timeout_at};

use crate::catalog::{RequestKind, Route, Workspace};
use crate::control::{Event, Grant, Handle, RunEnd};
use crate::dialect::{Dialect, EndpointHead, RequestHead, ResponseHead};
use crate::endpoint::EndpointKey;
use crate::http_client::{CallError, Connection, Pool};

/// Longest time to connect to an endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Share of a connection's idle time up to which it carries calls that may not
/// be repeated; later the endpoint may close it just as the request is sent.
const NON_RETRYABLE_IDLE_SHARE: f64 = 0.5;

/// Largest answer that is read in full before it goes on.
const MAX_BUFFERED_BYTES: usize = 4 * 1024 * 1024;

/// Time for a rest of an answer that nobody needs.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(100);

/// A request of a caller, read in full.
#[derive(Debug)]
pub struct Exchange {
    /// Id for logs.
    pub request_id: Arc<str>,
    /// Method as the caller sent it.
    pub method: Method,
    /// Path and query as the caller sent them.
    pub target: PathAndQuery,
    /// Headers as the caller sent them.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// What the headers say.
    pub head: RequestHead,
    /// Route that it takes.
    pub route: Arc<Route>,
    /// Service that serves it.
    pub service: Arc<str>,
    /// Workspace that it belongs to.
    pub workspace: Option<Arc<Workspace>>,
    /// When its head had arrived.
    pub started: Instant,
    /// When the caller or the route gives it up.
    pub deadline: Instant,
}

/// Everything that attempts need besides the request.
#[derive(Clone, Debug)]
pub struct ProxyContext {
    /// The control thread.
    pub handle: Handle,
    /// The platform's spelling.
    pub dialect: &'static Dialect,
    /// Idle connections.
    pub pool: Pool,
}

/// Tells the control thread how a run ended, at the latest when it is dropped.
#[derive(Debug)]
pub struct RunGuard {
    handle: Handle,
    endpoint: EndpointKey,
    number: u64,
    model: Option<String>,
    open: bool,
}

impl RunGuard {
    fn new(handle: &Handle, grant: &Grant, model: Option<String>) -> Self {
        Self {
            handle: handle.clone(),
            endpoint: grant.endpoint.key(),
            number: grant.run_number,
            model,
            open: true,
        }
    }

    /// The first token came.
    pub fn first_token(&self, weights: Option<u64>) {
        self.handle.send(Event::FirstToken {
            endpoint: self.endpoint,
            run_number: self.number,
            weights,
            model: self.model.clone(),
        });
    }

    /// The run is over.
    pub fn end(mut self, end: RunEnd) {
        self.finish(end);
    }

    fn finish(&mut self, end: RunEnd) {
        if std::mem::take(&mut self.open) {
            self.handle.send(Event::RunEnded {
                endpoint: self.endpoint,
                run_number: self.number,
                end,
                model: self.model.take(),
            });
        }
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.finish(RunEnd::CallerLeft);
    }
}

/// A stream whose first bytes are there.
#[derive(Debug)]
pub struct OpenedStream {
    /// Status of the answer.
    pub status: StatusCode,
    /// Headers of the answer.
    pub headers: HeaderMap,
    /// First bytes of the body; none when the body is empty.
    pub first: Option<Bytes>,
    /// The rest.
    pub rest: Incoming,
    /// The connection that carries it.
    pub connection: Connection,
    /// The run.
    pub guard: RunGuard,
    /// Where it runs.
    pub grant: Grant,
}

/// An answer that is there in full.
#[derive(Debug)]
pub struct BufferedResponse {
    /// Status of the answer.
    pub status: StatusCode,
    /// Headers of the answer.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

/// What became of an attempt.
#[derive(Debug)]
pub enum AttemptOutcome {
    /// An answer in full.
    Response(BufferedResponse),
    /// An answer in full that reports a failure of the endpoint; another
    /// endpoint may do better.
    ErrorResponse(BufferedResponse),
    /// A stream has begun.
    Stream(Box<OpenedStream>),
    /// The endpoint did not run it, and never will.
    NotRun(RunEnd),
    /// It may have run, but there is no answer.
    NoResponse(RunEnd),
    /// The time of the request is over; it may have run.
    DeadlineExceeded,
}

/// Sends the request to the endpoint of `grant`. `resume_after` is the last event
/// that the caller has, where a stream goes on. `first_byte_timeout` is how long the first
/// byte may take.
pub async fn attempt(
    exchange: &Exchange,
    context: &ProxyContext,
    grant: Grant,
    resume_after: Option<u64>,
    first_byte_timeout: Option<Duration>,
) -> AttemptOutcome {
    let guard = RunGuard::new(&context.handle, &grant, exchange.head.model.clone());
    let first_byte_deadline =
        first_byte_timeout.map_or(exchange.deadline, |timeout| Instant::now() + timeout);
    let limit = first_byte_deadline.min(exchange.deadline);
    let sent = timeout_at(limit, send(exchange, context, &grant, resume_after)).await;
    let (answer, connection) = match sent {
        Ok(Ok(sent)) => sent,
        Ok(Err(error)) => return request_failed(exchange, &grant, guard, &error),
        Err(_) => return first_byte_timed_out(exchange, guard),
    };
    let head = (context.dialect.response_head)(answer.headers());
    if head.request_id.is_some()
        && exchange.head.request_id.is_some()
        && head.request_id != exchange.head.request_id
    {
        log::warn!(request = &*exchange.request_id, endpoint = &*grant.endpoint.id,
            found = head.request_id.as_deref().unwrap_or(""); "answer to another request dropped");
        guard.end(RunEnd::Broken);
        return AttemptOutcome::NoResponse(RunEnd::Broken);
    }
    let (parts, body) = answer.into_parts();
    if proves_not_run(parts.status, &head) {
        let end = not_run_reason(parts.status, &head, &grant, exchange);
        log::info!(request = &*exchange.request_id, endpoint = &*grant.endpoint.id, status = parts.status.as_u16(),
            cause = end.as_str(); "endpoint did not run the request");
        drain_body(context, &grant, connection, body, &head).await;
        guard.end(end.clone());
        return AttemptOutcome::NotRun(end);
    }
    if parts.status.is_success() && !head.signed {
        guard.end(RunEnd::Broken);
        return AttemptOutcome::NoResponse(RunEnd::Broken);
    }
    if parts.status.is_success() && exchange.route.kind == RequestKind::Stream {
        return open_stream(
            exchange, grant, guard, parts, body, connection, &head, limit,
        )
        .await;
    }
    read_response(
        exchange, context, &grant, guard, parts, body, connection, &head,
    )
    .await
}

/// True when the answer proves that the request did not run.
fn proves_not_run(status: StatusCode, head: &ResponseHead) -> bool {
    status == StatusCode::MISDIRECTED_REQUEST
        || (head.not_run && matches!(status.as_u16(), 408 | 429 | 503))
}

fn not_run_reason(
    status: StatusCode,
    head: &ResponseHead,
    grant: &Grant,
    exchange: &Exchange,
) -> RunEnd {
    if status == StatusCode::MISDIRECTED_REQUEST {
        let same = head
            .instance
            .as_deref()
            .is_none_or(|id| id == &*grant.endpoint.id);
        return if same && grant.weights.is_some() {
            RunEnd::WrongWeights(
                head.weights
                    .filter(|version| Some(*version) != grant.weights),
            )
        } else {
            RunEnd::WrongInstance
        };
    }
    if exchange.head.model.is_some() {
        RunEnd::Reloading
    } else {
        RunEnd::Full
    }
}

async fn send(
    exchange: &Exchange,
    context: &ProxyContext,
    grant: &Grant,
    resume_after: Option<u64>,
) -> Result<(http::Response<Incoming>, Connection), CallError> {
    let share = if exchange.route.is_retryable() {
        1.0
    } else {
        NON_RETRYABLE_IDLE_SHARE
    };
    if let Some(mut connection) = context.pool.take(grant.endpoint.key(), share) {
        match connection
            .send(build_request(exchange, context, grant, resume_after))
            .await
        {
            Ok(answer) => return Ok((answer, connection)),
            Err(CallError::NotSent) => {}
            Err(error) => return Err(error),
        }
    }
    let mut connection = Connection::open(grant.endpoint.address, CONNECT_TIMEOUT).await?;
    let answer = connection
        .send(build_request(exchange, context, grant, resume_after))
        .await?;
    Ok((answer, connection))
}

fn build_request(
    exchange: &Exchange,
    context: &ProxyContext,
    grant: &Grant,
    resume_after: Option<u64>,
) -> Request<Full<Bytes>> {
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
    let mut request = Request::new(Full::new(exchange.body.clone()));
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
    log::info!(request = &*exchange.request_id, endpoint = &*grant.endpoint.id, error:% = error; "endpoint gave no answer");
    match error {
        CallError::Connect(_) | CallError::ConnectTimeout | CallError::NotSent => {
            guard.end(RunEnd::NeverConnected);
            AttemptOutcome::NotRun(RunEnd::NeverConnected)
        }
        _ => {
            guard.end(RunEnd::Broken);
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

#[expect(clippy::too_many_arguments, reason = "the parts of one answer")]
async fn open_stream(
    exchange: &Exchange,
    grant: Grant,
    guard: RunGuard,
    parts: http::response::Parts,
    mut body: Incoming,
    mut connection: Connection,
    head: &ResponseHead,
    limit: Instant,
) -> AttemptOutcome {
    connection.set_idle(head.idle);
    loop {
        match timeout_at(limit, body.frame()).await {
            Ok(Some(Ok(frame))) => {
                let Ok(data) = frame.into_data() else {
                    continue;
                };
                if data.is_empty() {
                    continue;
                }
                guard.first_token(head.weights);
                return AttemptOutcome::Stream(Box::new(OpenedStream {
                    status: parts.status,
                    headers: parts.headers,
                    first: Some(data),
                    rest: body,
                    connection,
                    guard,
                    grant,
                }));
            }
            Ok(None) => {
                return AttemptOutcome::Stream(Box::new(OpenedStream {
                    status: parts.status,
                    headers: parts.headers,
                    first: None,
                    rest: body,
                    connection,
                    guard,
                    grant,
                }));
            }
            Ok(Some(Err(error))) => {
                log::info!(request = &*exchange.request_id, endpoint = &*grant.endpoint.id, error:% = error;
                    "stream broke before its first event");
                guard.end(RunEnd::Broken);
                return AttemptOutcome::NoResponse(RunEnd::Broken);
            }
            Err(_) => return first_byte_timed_out(exchange, guard),
        }
    }
}

#[expect(clippy::too_many_arguments, reason = "the parts of one answer")]
async fn read_response(
    exchange: &Exchange,
    context: &ProxyContext,
    grant: &Grant,
    guard: RunGuard,
    parts: http::response::Parts,
    body: Incoming,
    mut connection: Connection,
    head: &ResponseHead,
) -> AttemptOutcome {
    let collected = timeout_at(
        exchange.deadline,
        Limited::new(body, MAX_BUFFERED_BYTES).collect(),
    )
    .await;
    let body = match collected {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) => {
            log::info!(request = &*exchange.request_id, endpoint = &*grant.endpoint.id, error:% = error; "answer broke off");
            guard.end(RunEnd::Broken);
            return AttemptOutcome::NoResponse(RunEnd::Broken);
        }
        Err(_) => {
            guard.end(RunEnd::Silent);
            return AttemptOutcome::DeadlineExceeded;
        }
    };
    let buffered = BufferedResponse {
        status: parts.status,
        headers: parts.headers,
        body,
    };
    connection.set_idle(head.idle);
    if !closes_connection(&buffered.headers) {
        context
            .pool
            .put(grant.endpoint.key(), connection, grant.max_connections);
    }
    if buffered.status.is_server_error() || matches!(buffered.status.as_u16(), 408 | 429) {
        guard.end(RunEnd::ErrorAnswer);
        return AttemptOutcome::ErrorResponse(buffered);
    }
    guard.end(RunEnd::Complete);
    AttemptOutcome::Response(buffered)
}

/// True when the endpoint closes the connection after this answer.
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

/// Reads the rest of an answer that nobody needs, to keep the connection.
async fn drain_body(
    context: &ProxyContext,
    grant: &Grant,
    mut connection: Connection,
    body: Incoming,
    head: &ResponseHead,
) {
    let rest = Limited::new(body, MAX_BUFFERED_BYTES).collect();
    if matches!(timeout(DRAIN_TIMEOUT, rest).await, Ok(Ok(_))) {
        connection.set_idle(head.idle);
        context
            .pool
            .put(grant.endpoint.key(), connection, grant.max_connections);
    }
}
