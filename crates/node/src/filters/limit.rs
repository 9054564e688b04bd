//! Enforces the request limits of workspaces.

use flamingolock_core::prelude::*;
use http::StatusCode;
use tokio::sync::oneshot;

use crate::api::{ApiError, ErrorKind};
use crate::control::Event;
use crate::control::permit::{InflightGuard, Refusal};
use crate::filters::TrafficContext;

/// Counts a request against the limits of `workspace` until the returned guard is
/// dropped.
///
/// # Errors
///
/// Returns 429 with a retry delay if a limit is reached, and 503 if the node does not
/// accept requests of this workspace.
pub async fn acquire_inflight_guard(
    traffic: &TrafficContext,
    workspace: &WorkspaceId,
) -> Result<InflightGuard, ApiError> {
    let (reply, inflight_guard) = oneshot::channel();
    let stopped = || ApiError::unavailable("stopping", "the node is stopping", 1000);
    let event = Event::RequestStarted(workspace.clone(), reply);
    traffic.events.send(event).map_err(|_| stopped())?;
    let inflight_guard = inflight_guard.await.map_err(|_| stopped())?;
    inflight_guard.map_err(|refusal| match refusal.code {
        "leaving" | "unknown_workspace" => {
            let message = "this node takes no requests; use another entry";
            ApiError::unavailable(refusal.code, message, refusal.retry_after.0)
        }
        _ => rate_limited(&refusal),
    })
}

fn rate_limited(refusal: &Refusal) -> ApiError {
    ApiError {
        retry_after: Some(refusal.retry_after.0),
        ..ApiError::new(
            StatusCode::TOO_MANY_REQUESTS,
            ErrorKind::RateLimit,
            refusal.code,
            "a limit of the workspace is reached",
        )
    }
}
