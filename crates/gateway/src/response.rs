//! Responses that the node generates itself, instead of relaying an endpoint's.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use http::{Response, StatusCode};
use http_body_util::BodyExt;
use http_body_util::combinators::UnsyncBoxBody;

use crate::endpoint::Endpoint;
use crate::payload::Payload;

/// A response body that ended before it was complete.
#[derive(Debug, thiserror::Error)]
#[error("response body ended early")]
pub struct IncompleteBody;

/// Body of any response to a caller.
pub type ResponseBody = UnsyncBoxBody<Bytes, IncompleteBody>;

/// Endpoint that sent a response that is passed on; among the extensions of the response.
#[derive(Clone, Debug)]
pub struct SentBy(pub Arc<Endpoint>);

/// Builds a body from bytes that are all in memory.
pub fn full_body(payload: impl Into<Payload>) -> ResponseBody {
    let payload: Payload = payload.into();
    payload.map_err(|never| match never {}).boxed_unsync()
}

/// Reason for an error response that the node generates itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorReason {
    /// The node has not received a configuration yet.
    NotReady,
    /// The node is shutting down and accepts no new streams.
    Leaving,
    /// No route matches the request.
    NoRoute,
    /// The API key is missing or unknown.
    NoKey,
    /// The request has not run: its route or key is not in the node's copy of the configuration,
    /// which may be out of date.
    OldCatalog,
    /// The caller's version of HTTP has no chunks, so it cannot tell a broken stream
    /// from a complete one.
    NoChunks,
    /// The request body exceeds the configured limit.
    TooLarge,
    /// The request has not run: it needs more memory than any engine has.
    ExceedsMemory,
    /// The request body was incomplete.
    BodyBroken,
    /// The request body made no progress for too long, or did not arrive by the deadline.
    BodyStalled,
    /// The memory for clients is exhausted, and the request's body held too much of it for
    /// too long, or found none left.
    MemoryFull,
    /// The request has not run: no endpoint can take it now.
    NotRun,
    /// The request has not run, and will not: it crashed the endpoints that ran it before.
    CrashesEndpoints,
    /// The request has not run: this node is cut off from its service.
    CutOff,
    /// The request has not run: its workspace has used up its quota.
    OverQuota,
    /// The request may have run, but no endpoint returned a usable response.
    Failed,
    /// The request may have run, and its deadline has passed.
    TimedOut,
}

impl ErrorReason {
    /// HTTP status of the response. 429 and 503 are used only for requests
    /// that have not run.
    pub fn status(self) -> StatusCode {
        match self {
            Self::NotReady
            | Self::OldCatalog
            | Self::Leaving
            | Self::NotRun
            | Self::MemoryFull
            | Self::ExceedsMemory
            | Self::CrashesEndpoints
            | Self::CutOff => StatusCode::SERVICE_UNAVAILABLE,
            Self::OverQuota => StatusCode::TOO_MANY_REQUESTS,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::NoKey => StatusCode::UNAUTHORIZED,
            Self::NoChunks => StatusCode::HTTP_VERSION_NOT_SUPPORTED,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyStalled => StatusCode::REQUEST_TIMEOUT,
            Self::BodyBroken => StatusCode::BAD_REQUEST,
            Self::Failed => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// String form for logs, metrics and response bodies.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotReady => "not_ready",
            Self::Leaving => "leaving",
            Self::NoRoute => "no_route",
            Self::NoKey => "no_key",
            Self::OldCatalog => "old_configuration",
            Self::NoChunks => "no_chunks",
            Self::TooLarge => "too_large",
            Self::ExceedsMemory => "exceeds_memory",
            Self::BodyBroken => "body_broken",
            Self::BodyStalled => "body_stalled",
            Self::MemoryFull => "memory_full",
            Self::NotRun => "not_run",
            Self::CrashesEndpoints => "crashes_endpoints",
            Self::CutOff => "cut_off",
            Self::OverQuota => "over_quota",
            Self::Failed => "failed",
            Self::TimedOut => "timed_out",
        }
    }
}

/// Builds an error response; `retry_after` is sent in the `Retry-After` header. The reason
/// is among its extensions.
pub fn error_response(
    reason: ErrorReason,
    retry_after: Option<Duration>,
) -> Response<ResponseBody> {
    let body = format!("{{\"error\":\"{}\"}}", reason.as_str());
    let mut response = Response::new(full_body(Bytes::from(body)));
    *response.status_mut() = reason.status();
    response.extensions_mut().insert(reason);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(retry_after) = retry_after
        && let Ok(value) = format!("{:.2}", retry_after.as_secs_f64()).parse()
    {
        headers.insert(RETRY_AFTER, value);
    }
    response
}
