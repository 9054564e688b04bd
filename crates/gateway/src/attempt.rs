//! One attempt to have one endpoint serve a request.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::uri::PathAndQuery;
use http::{HeaderMap, Method, Request, StatusCode, Uri};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use tokio::time::{Instant, timeout, timeout_at};

use crate::catalog::{Repeat, Route, Workspace};
use crate::control::{Event, Grant, Handle, RunEnd};
use crate::dialect::{AnswerHead, CallerHead, Dialect, EndpointHead};
use crate::endpoint::EndpointKey;
use crate::http_client::{CallError, Connection, Pool};

/// Longest time to connect to an endpoint.
const CONNECT: Duration = Duration::from_millis(250);

/// Share of a connection's idle time up to which it carries calls that may not
/// be repeated; later the endpoint may close it just as the request is sent.
const FRESH_SHARE: f64 = 0.5;

/// Largest answer that is read in full before it goes on.
const WHOLE_BYTES: usize = 4 * 1024 * 1024;

/// Time for a rest of an answer that nobody needs.
const DISCARD: Duration = Duration::from_millis(100);

/// A request of a caller, read in full.
#[derive(Debug)]
pub struct Exchange {
    /// Id for logs.
    pub request: Arc<str>,
    /// Method as the caller sent it.
    pub method: Method,
    /// Path and query as the caller sent them.
    pub target: PathAndQuery,
    /// Headers as the caller sent them.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// What the headers say.
    pub head: CallerHead,
    /// Route that it takes.
    pub route: Arc<Route>,
    /// Service that serves it.
    pub service: Arc<str>,
    /// Workspace that it belongs to.
    pub workspace: Option<Arc<Workspace>>,
    /// When its head had arrived.
    pub started: Instant,
    /// When the caller or the route gives it up.
    pub expires: Instant,
}

/// Everything that attempts need besides the request.
#[derive(Clone, Debug)]
pub struct Means {
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
pub struct Opened {
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
pub struct Whole {
    /// Status of the answer.
    pub status: StatusCode,
    /// Headers of the answer.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

/// What became of an attempt.
#[derive(Debug)]
pub enum Outcome {
    /// An answer in full.
    Whole(Whole),
    /// An answer in full that reports a failure of the endpoint; another
    /// endpoint may do better.
    Error(Whole),
    /// A stream has begun.
    Stream(Box<Opened>),
    /// The endpoint did not run it, and never will.
    NotRun(RunEnd),
    /// It may have run, but there is no answer.
    Lost(RunEnd),
    /// The time of the request is over; it may have run.
    Expired,
}

/// Sends the request to the endpoint of `grant`. `resume_after` is the last event
/// that the caller has, where a stream goes on. `silence` is how long the first
/// byte may take.
pub async fn attempt(
    exchange: &Exchange,
    means: &Means,
    grant: Grant,
    resume_after: Option<u64>,
    silence: Option<Duration>,
) -> Outcome {
    let guard = RunGuard::new(&means.handle, &grant, exchange.head.model.clone());
    let silent_at = silence.map_or(exchange.expires, |silence| Instant::now() + silence);
    let limit = silent_at.min(exchange.expires);
    let sent = timeout_at(limit, send(exchange, means, &grant, resume_after)).await;
    let (answer, connection) = match sent {
        Ok(Ok(sent)) => sent,
        Ok(Err(error)) => return not_answered(exchange, &grant, guard, &error),
        Err(_) => return no_byte_in_time(exchange, guard),
    };
    let head = (means.dialect.answer_head)(answer.headers());
    if head.request_id.is_some()
        && exchange.head.request_id.is_some()
        && head.request_id != exchange.head.request_id
    {
        log::warn!(request = &*exchange.request, endpoint = &*grant.endpoint.id,
            found = head.request_id.as_deref().unwrap_or(""); "answer to another request dropped");
        guard.end(RunEnd::Broken);
        return Outcome::Lost(RunEnd::Broken);
    }
    let (parts, body) = answer.into_parts();
    if refused(parts.status, &head) {
        let end = why_refused(parts.status, &head, &grant, exchange);
        log::info!(request = &*exchange.request, endpoint = &*grant.endpoint.id, status = parts.status.as_u16(),
            cause = end.label(); "endpoint did not run the request");
        discard(means, &grant, connection, body, &head).await;
        guard.end(end.clone());
        return Outcome::NotRun(end);
    }
    if parts.status.is_success() && !head.signed {
        guard.end(RunEnd::Broken);
        return Outcome::Lost(RunEnd::Broken);
    }
    if parts.status.is_success() && exchange.route.repeat == Repeat::Stream {
        return open_stream(
            exchange, grant, guard, parts, body, connection, &head, limit,
        )
        .await;
    }
    read_whole(
        exchange, means, &grant, guard, parts, body, connection, &head,
    )
    .await
}

/// True when the answer proves that the request did not run.
fn refused(status: StatusCode, head: &AnswerHead) -> bool {
    status == StatusCode::MISDIRECTED_REQUEST
        || (head.not_run && matches!(status.as_u16(), 408 | 429 | 503))
}

fn why_refused(
    status: StatusCode,
    head: &AnswerHead,
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
    means: &Means,
    grant: &Grant,
    resume_after: Option<u64>,
) -> Result<(http::Response<Incoming>, Connection), CallError> {
    let share = if exchange.route.repeatable() {
        1.0
    } else {
        FRESH_SHARE
    };
    if let Some(mut connection) = means.pool.take(grant.endpoint.key(), share) {
        match connection
            .send(request(exchange, means, grant, resume_after))
            .await
        {
            Ok(answer) => return Ok((answer, connection)),
            Err(CallError::NotSent) => {}
            Err(error) => return Err(error),
        }
    }
    let mut connection = Connection::open(grant.endpoint.address, CONNECT).await?;
    let answer = connection
        .send(request(exchange, means, grant, resume_after))
        .await?;
    Ok((answer, connection))
}

fn request(
    exchange: &Exchange,
    means: &Means,
    grant: &Grant,
    resume_after: Option<u64>,
) -> Request<Full<Bytes>> {
    let workspace = exchange.workspace.as_ref();
    let priority = workspace
        .and_then(|workspace| workspace.priority)
        .unwrap_or(exchange.route.priority);
    let head = EndpointHead {
        instance: grant.endpoint.id.clone(),
        patience: exchange.expires.saturating_duration_since(Instant::now()),
        workspace: workspace.map(|workspace| workspace.name.clone()),
        priority: exchange.head.model.is_some().then_some(priority),
        weights: grant.weights,
        salt: grant.salt.clone(),
        fetch: grant.fetch_from,
        keep: grant.store_to,
        resume_after,
    };
    let mut request = Request::new(Full::new(exchange.body.clone()));
    *request.method_mut() = exchange.method.clone();
    *request.uri_mut() = Uri::from(exchange.target.clone());
    *request.headers_mut() = (means.dialect.endpoint_headers)(&exchange.headers, &head);
    request
}

fn not_answered(exchange: &Exchange, grant: &Grant, guard: RunGuard, error: &CallError) -> Outcome {
    log::info!(request = &*exchange.request, endpoint = &*grant.endpoint.id, error:% = error; "endpoint gave no answer");
    match error {
        CallError::Connect(_) | CallError::ConnectTimeout | CallError::NotSent => {
            guard.end(RunEnd::NeverConnected);
            Outcome::NotRun(RunEnd::NeverConnected)
        }
        _ => {
            guard.end(RunEnd::Broken);
            Outcome::Lost(RunEnd::Broken)
        }
    }
}

fn no_byte_in_time(exchange: &Exchange, guard: RunGuard) -> Outcome {
    if Instant::now() >= exchange.expires {
        guard.end(RunEnd::Silent);
        return Outcome::Expired;
    }
    guard.end(RunEnd::Silent);
    Outcome::Lost(RunEnd::Silent)
}

#[expect(clippy::too_many_arguments, reason = "the parts of one answer")]
async fn open_stream(
    exchange: &Exchange,
    grant: Grant,
    guard: RunGuard,
    parts: http::response::Parts,
    mut body: Incoming,
    mut connection: Connection,
    head: &AnswerHead,
    limit: Instant,
) -> Outcome {
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
                return Outcome::Stream(Box::new(Opened {
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
                return Outcome::Stream(Box::new(Opened {
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
                log::info!(request = &*exchange.request, endpoint = &*grant.endpoint.id, error:% = error;
                    "stream broke before its first event");
                guard.end(RunEnd::Broken);
                return Outcome::Lost(RunEnd::Broken);
            }
            Err(_) => return no_byte_in_time(exchange, guard),
        }
    }
}

#[expect(clippy::too_many_arguments, reason = "the parts of one answer")]
async fn read_whole(
    exchange: &Exchange,
    means: &Means,
    grant: &Grant,
    guard: RunGuard,
    parts: http::response::Parts,
    body: Incoming,
    mut connection: Connection,
    head: &AnswerHead,
) -> Outcome {
    let collected = timeout_at(exchange.expires, Limited::new(body, WHOLE_BYTES).collect()).await;
    let body = match collected {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) => {
            log::info!(request = &*exchange.request, endpoint = &*grant.endpoint.id, error:% = error; "answer broke off");
            guard.end(RunEnd::Broken);
            return Outcome::Lost(RunEnd::Broken);
        }
        Err(_) => {
            guard.end(RunEnd::Silent);
            return Outcome::Expired;
        }
    };
    let whole = Whole {
        status: parts.status,
        headers: parts.headers,
        body,
    };
    connection.set_idle(head.idle);
    if !closes(&whole.headers) {
        means
            .pool
            .put(grant.endpoint.key(), connection, grant.max_connections);
    }
    if whole.status.is_server_error() || matches!(whole.status.as_u16(), 408 | 429) {
        guard.end(RunEnd::ErrorAnswer);
        return Outcome::Error(whole);
    }
    guard.end(RunEnd::Complete);
    Outcome::Whole(whole)
}

/// True when the endpoint closes the connection after this answer.
pub fn closes(headers: &HeaderMap) -> bool {
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
async fn discard(
    means: &Means,
    grant: &Grant,
    mut connection: Connection,
    body: Incoming,
    head: &AnswerHead,
) {
    let rest = Limited::new(body, WHOLE_BYTES).collect();
    if matches!(timeout(DISCARD, rest).await, Ok(Ok(_))) {
        connection.set_idle(head.idle);
        means
            .pool
            .put(grant.endpoint.key(), connection, grant.max_connections);
    }
}
