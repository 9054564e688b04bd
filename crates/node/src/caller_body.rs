//! Reads request bodies of callers, bounded in size, time and shared memory.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, StatusCode, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::Semaphore;

use crate::api::{ApiError, ErrorKind};
use crate::scope::RequestScope;
use crate::settings::Settings;

/// Time limit for reading the rest of the body of a rejected request, so that the
/// caller gets the response instead of a connection reset.
const DISCARD_MS: u64 = 500;

/// Reads a complete body. Its size counts against `memory` until `scope` is dropped.
///
/// # Errors
///
/// Returns an error if the body is too large, late or truncated, or if the memory
/// for bodies is exhausted.
pub async fn read(
    settings: &Settings,
    memory: &Arc<Semaphore>,
    scope: &RequestScope,
    headers: &HeaderMap,
    body: &mut Incoming,
) -> Result<Bytes, ApiError> {
    let limit = settings.limits.body_bytes;
    if declared_length(headers).is_some_and(|bytes| bytes > limit) {
        return Err(body_too_large(limit));
    }
    let wait = Duration::from_millis(settings.timing.body_ms);
    let reading = collect_body(limit, memory, scope, body);
    tokio::time::timeout(wait, reading).await.map_err(|_| {
        ApiError::new(
            StatusCode::REQUEST_TIMEOUT,
            ErrorKind::InvalidRequest,
            "body_late",
            "the body did not arrive in time",
        )
    })?
}

async fn collect_body(
    limit: usize,
    memory: &Arc<Semaphore>,
    scope: &RequestScope,
    body: &mut Incoming,
) -> Result<Bytes, ApiError> {
    let mut buffer = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| ApiError::invalid("body_cut", error.to_string()))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if buffer.len() + data.len() > limit {
            return Err(body_too_large(limit));
        }
        let bytes = u32::try_from(data.len()).unwrap_or(u32::MAX);
        let Ok(permit) = Arc::clone(memory).try_acquire_many_owned(bytes) else {
            let message = "the node holds as many bodies as it may";
            return Err(ApiError::unavailable("busy", message, 1000));
        };
        scope.hold(permit);
        buffer.extend_from_slice(&data);
    }
    Ok(buffer.freeze())
}

/// Reads and drops the rest of an unused body, up to `limit` bytes.
pub async fn discard(body: &mut Incoming, limit: usize) {
    let draining = async {
        let mut dropped = 0;
        while let Some(Ok(frame)) = body.frame().await {
            dropped += frame.data_ref().map_or(0, Bytes::len);
            if dropped > limit {
                return;
            }
        }
    };
    let _ = tokio::time::timeout(Duration::from_millis(DISCARD_MS), draining).await;
}

fn declared_length(headers: &HeaderMap) -> Option<usize> {
    let text = headers.get(header::CONTENT_LENGTH)?.to_str().ok()?;
    text.parse().ok()
}

fn body_too_large(limit: usize) -> ApiError {
    ApiError::new(
        StatusCode::PAYLOAD_TOO_LARGE,
        ErrorKind::InvalidRequest,
        "body_too_large",
        format!("the body has more than {limit} bytes"),
    )
}
