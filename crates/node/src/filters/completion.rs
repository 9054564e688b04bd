//! Serves text and chat completions: parses, admits and relays them.

use std::sync::Arc;

use bytes::Bytes;
use flamingolock_core::prelude::*;
use flamingolock_core::stream_position::StreamPosition;
use http::{HeaderMap, HeaderValue};

use crate::api::{ApiError, ApiResponse, json_response};
use crate::completion_request::{CompletionRequest, parse_chat, parse_text};
use crate::control;
use crate::control::permit::RouteRequest;
use crate::filters::TrafficContext;
use crate::filters::classify::{Classified, classify_completion};
use crate::filters::limit::acquire_inflight_guard;
use crate::relay::{self, CompletionFormat, Job, Resume};
use crate::scope::RequestScope;

/// Serves `POST /v1/completions` and `POST /v1/chat/completions` for an
/// authenticated caller.
///
/// # Errors
///
/// Returns the final error of the request.
pub async fn serve(
    traffic: &TrafficContext,
    scope: &RequestScope,
    request: RequestId,
    workspace: WorkspaceId,
    headers: &HeaderMap,
    body: &Bytes,
    format: CompletionFormat,
) -> Result<ApiResponse, ApiError> {
    let started = control::now();
    let view = traffic.view.load_full();
    let parsed = match format {
        CompletionFormat::Text => parse_text(body)?,
        CompletionFormat::Chat => parse_chat(body)?,
    };
    let classified = classify_completion(&view, headers, &parsed.model)?;
    scope.set_kind(&classified.name);
    let inflight_guard = acquire_inflight_guard(traffic, &workspace).await?;
    let resume = resume_point(traffic, headers, &workspace, &parsed)?;
    let job = Job {
        route_request: route_request(request, workspace, &parsed, &classified, started),
        format,
        sampling: parsed.sampling,
        include_usage: parsed.include_usage,
        started,
        inflight_guard,
        resume,
        scope: scope.clone(),
    };
    let mut answer = if parsed.stream {
        relay::stream(traffic, job).await?
    } else {
        let whole = relay::collect(traffic, job).await?;
        scope.answered();
        json_response(http::StatusCode::OK, whole)
    };
    answer
        .headers_mut()
        .insert("x-request-kind", header_value(classified.name.as_str()));
    Ok(answer)
}

/// Returns the position to resume from, if the request has a `last-event-id`.
fn resume_point(
    traffic: &TrafficContext,
    headers: &HeaderMap,
    workspace: &WorkspaceId,
    parsed: &CompletionRequest,
) -> Result<Option<Resume>, ApiError> {
    let Some(value) = headers.get("last-event-id") else {
        return Ok(None);
    };
    let refuse = |message: String| ApiError::invalid("bad_last_event_id", message);
    let text = value
        .to_str()
        .map_err(|_| refuse("it is no text".to_owned()))?;
    let position = StreamPosition::verify(&traffic.keys, workspace, text)
        .map_err(|error| refuse(format!("last-event-id: {error}")))?;
    if !parsed.stream {
        return Err(refuse(
            "only streams can be resumed; set `stream`".to_owned(),
        ));
    }
    Ok(Some(Resume {
        position,
        answer: parsed.answer_so_far.clone(),
    }))
}

fn header_value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).unwrap_or_else(|_| HeaderValue::from_static("unprintable"))
}

fn route_request(
    request: RequestId,
    workspace: WorkspaceId,
    parsed: &CompletionRequest,
    classified: &Classified,
    started: Millis,
) -> RouteRequest {
    RouteRequest {
        request,
        workspace,
        model: ModelName::from(parsed.model.as_str()),
        priority: classified.kind.priority,
        prompt: Arc::from(parsed.prompt.as_bytes()),
        answer_tokens: parsed.max_tokens,
        deadline: started + classified.kind.deadline(),
        avoid: Vec::new(),
    }
}
