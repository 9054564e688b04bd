//! Requests that nodes hand on to each other: a node that is cut off from the endpoints of
//! a service passes its callers' requests to a node that reaches them.
//!
//! The request goes on as its caller sent it, with the time that is left. The receiving
//! node treats it as any other, but never hands it on again. It proves that a node sent
//! it by the receiver's incarnation, which only nodes know.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream::unfold;
use http::header::{HOST, HeaderName, HeaderValue};
use http::{HeaderMap, Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Body, Frame, Incoming};
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

use crate::attempt::closes_connection;
use crate::catalog::RequestKind;
use crate::connection_pool::ConnectionUse;
use crate::control::handovers::OtherNode;
use crate::control::{Event, Handle, View};
use crate::dialect::Dialect;
use crate::endpoint::Endpoint;
use crate::exchange::{Exchange, Origin, ProxyContext};
use crate::forward::elapsed_ms;
use crate::http_client::{BodyFraming, CallError, Connection};
use crate::metrics::{EventKind, Metrics};
use crate::payload::Payload;
use crate::request_handler;
use crate::response::{ErrorReason, IncompleteBody, ResponseBody, SentBy, full_body};
use crate::response_body::read_whole;

/// Incarnation of the node that is meant, in hexadecimal.
const NODE_KEY: HeaderName = HeaderName::from_static("flamingolock-node-key");

/// Version of the configuration that the sending node has.
const CATALOG_VERSION: HeaderName = HeaderName::from_static("flamingolock-catalog-version");

/// Number of attempts that may have run the request before.
const POSSIBLE_RUNS: HeaderName = HeaderName::from_static("flamingolock-possible-runs");

/// Set in a response if another node should get the request, which has not run.
const REFUSED: HeaderName = HeaderName::from_static("flamingolock-refused");

/// Set in a response whose endpoint says that it is leaving: the start time of its incarnation
/// and its id.
const LEAVING_ENDPOINT: HeaderName = HeaderName::from_static("flamingolock-leaving-endpoint");

/// Maximum number of idle connections to one node.
const MAX_IDLE_CONNECTIONS: usize = 16;

/// Fraction of a connection's idle timeout up to which it is used again.
const IDLE_SHARE: f64 = 0.5;

/// Interval at which the other node's life is checked while its response is awaited.
const LIVENESS_INTERVAL: Duration = Duration::from_millis(100);

/// Result of a hand-over.
#[derive(Debug)]
pub enum HandoverOutcome {
    /// The other node's response.
    Response(Box<Response<ResponseBody>>),
    /// The other node did not run the request and never will.
    NotRun,
    /// The request may have run, but there is no usable response.
    NoResponse,
    /// The request's deadline has passed; it may have run.
    DeadlineExceeded,
}

/// Error of a hand-over.
#[derive(Debug, thiserror::Error)]
pub enum HandoverError {
    /// The connection failed, or the request could not be sent over it.
    #[error(transparent)]
    Call(#[from] CallError),
    /// The other node refused the request.
    #[error("refused with status {0}")]
    Refused(StatusCode),
    /// The response broke off, or is too large.
    #[error("cannot read the response: {0}")]
    Response(String),
    /// The other node is no longer heard.
    #[error("the node is no longer heard")]
    NodeLost,
    /// The deadline passed.
    #[error("deadline exceeded")]
    TimedOut,
}

impl HandoverError {
    fn outcome(&self) -> HandoverOutcome {
        match self {
            Self::Refused(_)
            | Self::Call(CallError::Connect(_) | CallError::ConnectTimeout | CallError::NotSent) => {
                HandoverOutcome::NotRun
            }
            Self::Call(_) | Self::Response(_) | Self::NodeLost => HandoverOutcome::NoResponse,
            Self::TimedOut => HandoverOutcome::DeadlineExceeded,
        }
    }
}

/// Reports the end of a hand-over to the control thread.
#[derive(Debug)]
struct HandoverGuard {
    handle: Handle,
    number: u64,
}

impl Drop for HandoverGuard {
    fn drop(&mut self) {
        self.handle.send(Event::HandoverEnded(self.number));
    }
}

/// A response of another node that is passed on.
struct OpenResponse {
    body: Incoming,
    /// Connection that carries it; none once it is complete.
    connection: Option<Connection>,
    keeps_connection: bool,
    node: OtherNode,
    deadline: Instant,
    context: ProxyContext,
    request: Arc<str>,
    _guard: HandoverGuard,
}

/// Hands a request to another node and returns its response. `possible_runs` is the number
/// of attempts that may have run it.
pub async fn hand_over(
    exchange: &Exchange,
    context: &ProxyContext,
    node: OtherNode,
    possible_runs: u32,
) -> HandoverOutcome {
    let guard = HandoverGuard {
        handle: context.handle.clone(),
        number: node.number,
    };
    log::info!(request = &*exchange.request_id, service = &*exchange.service, node:% = node.address,
        ran = possible_runs, took_ms = elapsed_ms(exchange); "request handed to another node");
    let result = exchange_with(exchange, context, node, possible_runs, guard).await;
    match result {
        Ok(response) => {
            log::info!(request = &*exchange.request_id, node:% = node.address, status = response.status().as_u16(),
                took_ms = elapsed_ms(exchange); "request answered by another node");
            HandoverOutcome::Response(Box::new(response))
        }
        Err(error) => {
            log::info!(request = &*exchange.request_id, node:% = node.address, error:% = error,
                took_ms = elapsed_ms(exchange); "hand-over failed");
            error.outcome()
        }
    }
}

async fn exchange_with(
    exchange: &Exchange,
    context: &ProxyContext,
    node: OtherNode,
    possible_runs: u32,
    guard: HandoverGuard,
) -> Result<Response<ResponseBody>, HandoverError> {
    let (response, connection) = tokio::select! {
        sent = send(exchange, context, node, possible_runs) => sent?,
        () = lost(context, node), if exchange.route.is_retryable() => {
            return Err(HandoverError::NodeLost);
        }
        () = sleep_until(exchange.deadline) => return Err(HandoverError::TimedOut),
    };
    let (mut parts, body) = response.into_parts();
    if let Some(leaving) = parts.headers.remove(LEAVING_ENDPOINT) {
        note_leaving(context, &leaving);
    }
    if parts.headers.contains_key(REFUSED) {
        return Err(HandoverError::Refused(parts.status));
    }
    if BodyFraming::of(&parts.headers) == BodyFraming::UntilClose && !body.is_end_stream() {
        return Err(HandoverError::Response("no length".to_owned()));
    }
    let open = OpenResponse {
        body,
        connection: Some(connection),
        keeps_connection: !closes_connection(&parts.headers),
        node,
        deadline: exchange.deadline,
        context: context.clone(),
        request: exchange.request_id.clone(),
        _guard: guard,
    };
    let body = if exchange.route.kind == RequestKind::Stream && parts.status.is_success() {
        pass_on(open)
    } else {
        read(open).await?
    };
    let mut response = Response::new(body);
    *response.status_mut() = parts.status;
    *response.headers_mut() = (context.dialect.response_headers)(&parts.headers);
    Ok(response)
}

/// Waits until the node is no longer heard.
async fn lost(context: &ProxyContext, node: OtherNode) {
    while context.handle.view().live_nodes.contains(&node.incarnation) {
        sleep(LIVENESS_INTERVAL).await;
    }
}

async fn send(
    exchange: &Exchange,
    context: &ProxyContext,
    node: OtherNode,
    possible_runs: u32,
) -> Result<(Response<Incoming>, Connection), CallError> {
    let build = || build_request(exchange, context, node, possible_runs);
    let purpose = ConnectionUse {
        request_id: &exchange.request_id,
        may_run_twice: exchange.route.may_run_twice(),
        idle_share: IDLE_SHARE,
    };
    context
        .node_pool
        .send(node.incarnation, node.address, &purpose, build, || {})
        .await
}

fn build_request(
    exchange: &Exchange,
    context: &ProxyContext,
    node: OtherNode,
    possible_runs: u32,
) -> Request<Payload> {
    let left = exchange.deadline.saturating_duration_since(Instant::now());
    let mut headers = (context.dialect.handover_headers)(&exchange.headers, left);
    if !headers.contains_key(HOST)
        && let Ok(host) = HeaderValue::from_str(&exchange.route.host)
    {
        headers.insert(HOST, host);
    }
    if let Ok(key) = HeaderValue::from_str(&encode_key(node.incarnation)) {
        headers.insert(NODE_KEY, key);
    }
    headers.insert(CATALOG_VERSION, exchange.catalog_version.into());
    headers.insert(POSSIBLE_RUNS, possible_runs.into());
    let mut request = Request::new(exchange.body.clone());
    *request.method_mut() = exchange.method.clone();
    *request.uri_mut() = Uri::from(exchange.target.clone());
    *request.headers_mut() = headers;
    request
}

fn encode_key(incarnation: u64) -> String {
    format!("{incarnation:016x}")
}

/// Reads a response to its end.
async fn read(mut open: OpenResponse) -> Result<ResponseBody, HandoverError> {
    let collected = read_whole(&mut open.body, &open.context.memory);
    match timeout_at(open.deadline, collected).await {
        Ok(Ok(payload)) => {
            open.complete();
            Ok(full_body(payload))
        }
        Ok(Err(error)) => Err(HandoverError::Response(error.to_string())),
        Err(_) => Err(HandoverError::TimedOut),
    }
}

/// Passes a response on as it arrives. If it breaks off, so does the caller's.
fn pass_on(open: OpenResponse) -> ResponseBody {
    let frames = unfold(Some(open), |open| async {
        let mut open = open?;
        match timeout_at(open.deadline, open.body.frame()).await {
            Ok(Some(Ok(frame))) => Some((Ok(frame), Some(open))),
            Ok(None) => {
                open.complete();
                None
            }
            Ok(Some(Err(error))) => {
                log::info!(request = &*open.request, node:% = open.node.address, error:% = error;
                    "stream of another node ended early");
                Some((Err(IncompleteBody), None))
            }
            Err(_) => Some((Err(IncompleteBody), None)),
        }
    });
    let frames: futures_util::stream::BoxStream<'static, Result<Frame<Bytes>, IncompleteBody>> =
        Box::pin(frames);
    StreamBody::new(frames).boxed_unsync()
}

impl OpenResponse {
    /// Keeps the connection for other requests.
    fn complete(&mut self) {
        if let Some(connection) = self.connection.take().filter(|_| self.keeps_connection) {
            let pool = &self.context.node_pool;
            pool.put(self.node.incarnation, connection, MAX_IDLE_CONNECTIONS);
        }
    }
}

/// Serves a request that another node hands on.
pub async fn receive(
    mut request: Request<Incoming>,
    context: ProxyContext,
    metrics: Arc<Metrics>,
) -> Response<ResponseBody> {
    let origin = match check(request.headers(), &context.handle.view()) {
        Ok(origin) => origin,
        Err(status) => {
            log::info!(status = status.as_u16(); "handed request refused");
            metrics.count(EventKind::Handover, "refused");
            return refusal(status);
        }
    };
    metrics.count(EventKind::Handover, "received");
    for name in [NODE_KEY, CATALOG_VERSION, POSSIBLE_RUNS] {
        request.headers_mut().remove(name);
    }
    let dialect = context.dialect;
    let mut response = request_handler::serve(request, origin, context, metrics).await;
    for name in [REFUSED, LEAVING_ENDPOINT] {
        response.headers_mut().remove(name);
    }
    if let Some(leaving) = leaving_endpoint(dialect, &response) {
        response.headers_mut().insert(LEAVING_ENDPOINT, leaving);
    }
    // The node that sent the request may find another one for it.
    let may_run_elsewhere = matches!(
        response.extensions().get(),
        Some(ErrorReason::NotReady | ErrorReason::Leaving | ErrorReason::CutOff)
    );
    if may_run_elsewhere {
        let headers = response.headers_mut();
        headers.insert(REFUSED, HeaderValue::from_static("1"));
    }
    response
}

/// Names the endpoint of a response if that says that it is leaving. The node that handed the
/// request on passes this on to a caller, so it must not use the endpoint any more either.
fn leaving_endpoint(dialect: &Dialect, response: &Response<ResponseBody>) -> Option<HeaderValue> {
    let SentBy(endpoint) = response.extensions().get()?;
    let says_leaving = (dialect.response_head)(response.headers()).leaving;
    let text = format!("{} {}", endpoint.start_time_ms, endpoint.id);
    says_leaving.then(|| HeaderValue::from_str(&text).ok())?
}

/// Tells the control thread of the endpoint that a response of another node names.
fn note_leaving(context: &ProxyContext, leaving: &HeaderValue) {
    let named = leaving.to_str().ok().and_then(|text| text.split_once(' '));
    let start_time_ms = named.and_then(|(start, _)| start.parse().ok());
    match named.zip(start_time_ms) {
        Some(((_, id), start_time_ms)) => context.handle.send(Event::LeavingElsewhere {
            endpoint: Endpoint::key_of(id),
            start_time_ms,
        }),
        None => {
            log::warn!(leaving:? = leaving; "unreadable name of a leaving endpoint; ignored");
        }
    }
}

/// Checks that a node sent the request, and that this one knows as much as that one.
fn check(headers: &HeaderMap, view: &View) -> Result<Origin, StatusCode> {
    let text = |name: HeaderName| headers.get(name)?.to_str().ok();
    let known = view.incarnation.map(encode_key);
    if known.is_none() || text(NODE_KEY) != known.as_deref() {
        return Err(StatusCode::FORBIDDEN);
    }
    let number = |name: HeaderName| text(name)?.parse::<u64>().ok();
    let version = view.catalog.as_ref().map(|catalog| catalog.version);
    if version.is_none() || version < number(CATALOG_VERSION) {
        return Err(StatusCode::SERVICE_UNAVAILABLE);
    }
    let runs = number(POSSIBLE_RUNS).unwrap_or(0);
    Ok(Origin::Node {
        possible_runs: u32::try_from(runs).unwrap_or(u32::MAX),
    })
}

fn refusal(status: StatusCode) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(Payload::default()));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(REFUSED, HeaderValue::from_static("1"));
    response
}
