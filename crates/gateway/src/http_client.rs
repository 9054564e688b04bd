//! HTTP/1.1 connections to endpoints and to the store.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout};

use crate::clock::{Millis, now};
use crate::connection_end::{ConnectionEnd, EndedConnection};
use crate::connection_pool::ConnectionUse;
use crate::payload::Payload;
use crate::upload::{self, Upload, UploadBody};

/// Maximum size of the buffers of a connection, in bytes; it also bounds the head of a response.
const MAX_BUFFER_BYTES: usize = 64 * 1024;

/// Timeout for connecting to an endpoint or another node.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// `TCP_USER_TIMEOUT`: time after which unacknowledged data closes the connection.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(4);

/// Time in ms for which an idle connection is kept if the server states no
/// keep-alive timeout.
const DEFAULT_IDLE_MS: Millis = 2_500;

/// Time within which a connection has ended once the body that it ends has been read.
const END_TIMEOUT: Duration = Duration::from_millis(100);

/// Margin in ms by which a connection is dropped before the server's keep-alive
/// timeout.
const IDLE_MARGIN_MS: Millis = 700;

/// Statuses of answers. No request asks for an upgrade, and interim responses are skipped.
const ANSWERS: RangeInclusive<u16> = 200..=599;

/// Error of a call.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The connection could not be opened; nothing was sent.
    #[error("cannot connect: {0}")]
    Connect(std::io::Error),
    /// Opening the connection timed out; nothing was sent.
    #[error("connect timed out")]
    ConnectTimeout,
    /// The connection was closed before the request was written.
    #[error("connection closed before the request was written")]
    NotSent,
    /// The connection failed after the request may have been sent.
    #[error("connection failed: {0}")]
    Broken(hyper::Error),
    /// The status of the response is none of an answer; the request may have run.
    #[error("status {0} is none of an answer")]
    OddStatus(StatusCode),
    /// The response body is too large or incomplete.
    #[error("cannot read the response body: {0}")]
    Body(String),
    /// The call timed out before the response was complete.
    #[error("call timed out after {received} bytes of the response body")]
    Timeout {
        /// Number of bytes of the body that had arrived.
        received: usize,
    },
}

/// Limits on a call and its response.
#[derive(Clone, Copy, Debug)]
pub struct CallLimits {
    /// Time until the head of the response, with the connect.
    pub response: Duration,
    /// Time without a byte of the body after which the call fails.
    pub stall: Duration,
    /// Time of the whole call.
    pub whole: Duration,
    /// Size of the body in bytes.
    pub bytes: usize,
}

impl CallLimits {
    /// Limits of a call whose whole response must arrive within `time`.
    pub fn within(time: Duration, bytes: usize) -> Self {
        Self {
            response: time,
            stall: time,
            whole: time,
            bytes,
        }
    }
}

/// How the end of a response body is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// The head states its length.
    Length,
    /// It is sent in chunks; an empty chunk ends it.
    Chunked,
    /// It ends when the server closes the connection.
    UntilClose,
}

impl BodyFraming {
    /// Returns the framing of the body behind these response headers.
    pub fn of(headers: &HeaderMap) -> Self {
        if headers.contains_key(TRANSFER_ENCODING) {
            Self::Chunked
        } else if headers.contains_key(CONTENT_LENGTH) {
            Self::Length
        } else {
            Self::UntilClose
        }
    }

    /// String form for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunked => "chunked",
            Self::UntilClose => "until_close",
        }
    }
}

/// A client connection. Dropping it closes the connection.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<UploadBody>,
    /// How far the last request has been written.
    upload: Upload,
    /// Returns the connection if the server ended its side during a request.
    driver: JoinHandle<Option<EndedConnection>>,
    /// True if the last request had a body.
    has_upload: bool,
    idle_since: Millis,
    keep_alive_ms: Millis,
    /// Requests that the server refused over it, by id, with their deadlines.
    refused: Vec<(Arc<str>, Instant)>,
    /// True if the server sent a refusal over it that names no request.
    has_unnamed_refusal: bool,
    /// True if the server sent another response over it that names no request.
    has_unnamed_response: bool,
    /// Number of requests sent over it.
    requests: u64,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// If the connection cannot be opened within `limit`.
    pub async fn open(address: SocketAddr, limit: Duration) -> Result<Self, CallError> {
        let stream = match timeout(limit, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(CallError::Connect(error)),
            Err(_) => return Err(CallError::ConnectTimeout),
        };
        // The options are not essential: without them the connection is slower and
        // detects loss later.
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!(error:% = error; "cannot set TCP_NODELAY");
        }
        if let Err(error) = SockRef::from(&stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT)) {
            log::debug!(error:% = error; "cannot set TCP_USER_TIMEOUT");
        }
        let upload = Upload::default();
        let stream = upload::observe(stream, upload.clone());
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(CallError::Broken)?;
        let last_request = upload.clone();
        let driver = tokio::spawn(async move {
            // The error is also returned by the pending request.
            let parts = connection.without_shutdown().await.ok()?;
            let stream = parts.io.into_inner().into_inner();
            (!last_request.is_idle()).then(|| EndedConnection::new(stream))
        });
        Ok(Self {
            sender,
            upload,
            driver,
            has_upload: false,
            idle_since: now(),
            keep_alive_ms: DEFAULT_IDLE_MS,
            refused: Vec::new(),
            has_unnamed_refusal: false,
            has_unnamed_response: false,
            requests: 0,
        })
    }

    /// Sends a request and waits for the response head.
    ///
    /// # Errors
    ///
    /// [`CallError::NotSent`] if nothing was written, [`CallError::OddStatus`] if the response is no
    /// answer of the protocol, otherwise [`CallError::Broken`].
    pub async fn send(
        &mut self,
        request: Request<Payload>,
    ) -> Result<Response<Incoming>, CallError> {
        if self.sender.ready().await.is_err() {
            return Err(CallError::NotSent);
        }
        self.requests += 1;
        self.has_upload = !request.body().is_empty();
        let request = request.map(|payload| self.upload.begin(payload));
        let response = self.sender.try_send_request(request).await;
        let response = response.map_err(|mut error| {
            if error.take_message().is_some() {
                CallError::NotSent
            } else {
                CallError::Broken(error.into_error())
            }
        })?;
        match response.status() {
            status if !ANSWERS.contains(&status.as_u16()) => Err(CallError::OddStatus(status)),
            _ => Ok(response),
        }
    }

    /// True if the last request has been written to its end.
    pub fn has_written(&self) -> bool {
        self.upload.is_written()
    }

    /// Finds out how the server left the connection with which a response has ended; none if its
    /// request had no body that could have been left unread.
    pub async fn end(mut self) -> Option<ConnectionEnd> {
        if !self.has_upload {
            return None;
        }
        match timeout(END_TIMEOUT, &mut self.driver).await {
            Ok(Ok(Some(ended))) => Some(ended.left().await),
            _ => Some(ConnectionEnd::Unknown),
        }
    }

    /// Notes that no request is under way, so that the end of the connection closes it.
    pub(crate) fn rest(&mut self) {
        self.upload.finish();
        self.idle_since = now();
    }

    /// Sets the keep-alive timeout that the server stated, if any, less the margin.
    pub fn set_keep_alive(&mut self, keep_alive: Option<Duration>) {
        if let Some(keep_alive) = keep_alive {
            self.keep_alive_ms = (keep_alive.as_millis() as Millis).saturating_sub(IDLE_MARGIN_MS);
        }
    }

    /// Records that the server refused a request that may be sent again until its deadline.
    /// `is_named` is true if the refusal bears the id of the request.
    pub fn record_refusal(&mut self, request_id: &Arc<str>, deadline: Instant, is_named: bool) {
        let now = Instant::now();
        self.refused.retain(|(_, deadline)| *deadline > now);
        self.refused.push((request_id.clone(), deadline));
        self.has_unnamed_refusal |= !is_named;
    }

    /// True if the server sent a response over it, other than a refusal, that names no request.
    pub(crate) fn has_unnamed_response(&self) -> bool {
        self.has_unnamed_response
    }

    /// Records that the server sent a response that names no request. Such a connection is
    /// not used again: nothing would tell a second copy from the next response.
    pub fn record_unnamed(&mut self) {
        self.has_unnamed_response = true;
    }

    /// True if the response to an earlier request may come over it once more.
    pub fn is_reused(&self) -> bool {
        self.requests > 1
    }

    /// True if a second copy of an earlier refusal, where the response to this request is
    /// expected, would be taken for that response.
    pub(crate) fn may_mislead(&self, purpose: &ConnectionUse) -> bool {
        let is_repeat = self
            .refused
            .iter()
            .any(|(id, _)| **id == *purpose.request_id);
        is_repeat || (self.has_unnamed_refusal && !purpose.may_run_twice)
    }

    /// True if the connection is open.
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }

    /// True if the connection is open and has been idle for less than `share` of its
    /// idle timeout.
    pub(crate) fn is_usable(&self, share: f64, now: Millis) -> bool {
        let idle_ms = now.saturating_sub(self.idle_since);
        self.is_open() && (idle_ms as f64) < self.keep_alive_ms as f64 * share
    }
}

/// Sends a request and reads the whole response. The connection is kept in `slot`
/// between calls.
///
/// # Errors
///
/// If no complete response arrives within the limits.
pub async fn call(
    slot: &mut Option<Connection>,
    address: SocketAddr,
    request: Request<Bytes>,
    limits: CallLimits,
) -> Result<Response<Bytes>, CallError> {
    let mut received = 0;
    let whole = async {
        let head = timeout(limits.response, send(slot.take(), address, request, limits));
        let (response, connection) = match head.await {
            Ok(sent) => sent?,
            Err(_) => return Err(CallError::Timeout { received: 0 }),
        };
        let (response, reusable) = collect(response, connection, limits, &mut received).await?;
        *slot = reusable;
        Ok(response)
    };
    match timeout(limits.whole, whole).await {
        Ok(response) => response,
        Err(_) => Err(CallError::Timeout { received }),
    }
}

/// Sends a request over this connection and no other, and reads the whole response.
///
/// # Errors
///
/// If the connection has closed, or no complete response arrives within the limits.
pub async fn call_over(
    mut connection: Connection,
    request: Request<Bytes>,
    limits: CallLimits,
) -> Result<Response<Bytes>, CallError> {
    let mut received = 0;
    let whole = async {
        let response = connection.send(request.map(Payload::from)).await?;
        let (response, _) = collect(response, connection, limits, &mut received).await?;
        Ok(response)
    };
    match timeout(limits.whole, whole).await {
        Ok(response) => response,
        Err(_) => Err(CallError::Timeout { received }),
    }
}

/// Sends a request on an idle connection, or on a new one if there is none.
async fn send(
    idle: Option<Connection>,
    address: SocketAddr,
    request: Request<Bytes>,
    limits: CallLimits,
) -> Result<(Response<Incoming>, Connection), CallError> {
    let mut connection = match idle.filter(|connection| connection.is_usable(1.0, now())) {
        Some(connection) => connection,
        None => Connection::open(address, limits.response).await?,
    };
    let response = connection.send(request.map(Payload::from)).await?;
    Ok((response, connection))
}

/// Reads a response to its end and counts the bytes of its body as they arrive. Returns its
/// connection unless the body ended with it.
async fn collect(
    response: Response<Incoming>,
    mut connection: Connection,
    limits: CallLimits,
    received: &mut usize,
) -> Result<(Response<Bytes>, Option<Connection>), CallError> {
    let (parts, body) = response.into_parts();
    let has_body = !body.is_end_stream();
    let mut body = Limited::new(body, limits.bytes);
    let mut bytes = BytesMut::new();
    loop {
        let frame = match timeout(limits.stall, body.frame()).await {
            Ok(Some(frame)) => frame.map_err(|error| CallError::Body(error.to_string()))?,
            Ok(None) => break,
            Err(_) => {
                return Err(CallError::Timeout {
                    received: bytes.len(),
                });
            }
        };
        if let Ok(data) = frame.into_data() {
            bytes.extend_from_slice(&data);
            *received = bytes.len();
        }
    }
    let response = Response::from_parts(parts, bytes.freeze());
    if !has_body || BodyFraming::of(response.headers()) != BodyFraming::UntilClose {
        connection.rest();
        return Ok((response, Some(connection)));
    }
    if !connection.has_written() {
        let cause = "it ended before the request was written";
        return Err(CallError::Body(cause.to_owned()));
    }
    match connection.end().await {
        None | Some(ConnectionEnd::Closed) => Ok((response, None)),
        Some(end) => Err(CallError::Body(format!(
            "its connection ended as {}",
            end.as_str()
        ))),
    }
}
