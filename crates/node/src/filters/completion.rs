//! Completions and chat completions: parse, admit, relay.

use std::sync::Arc;

use bytes::Bytes;
use flamingolock_core::prelude::*;
use flamingolock_core::stream_position::StreamPosition;
use http::{HeaderMap, HeaderValue};

use crate::api::{
    Answer, ApiError, ChatRequest, CompletionRequest, DEFAULT_MAX_TOKENS, json_answer,
};
use crate::control;
use crate::control::permit::RouteAsk;
use crate::filters::Traffic;
use crate::filters::authenticate::authenticate;
use crate::filters::classify::{Classified, classify_completion};
use crate::filters::limit::enter;
use crate::relay::{self, Job, Resume, Shape};

/// Largest answer that a caller may ask for, in tokens.
const MAX_ANSWER_TOKENS: u32 = 32_768;

/// Serves `POST /v1/completions` and `POST /v1/chat/completions`.
///
/// # Errors
///
/// The final error of the request.
pub async fn serve(
    traffic: &Traffic,
    request: RequestId,
    headers: &HeaderMap,
    body: &Bytes,
    shape: Shape,
) -> Result<Answer, ApiError> {
    let started = control::now();
    let view = traffic.view.load_full();
    let workspace = authenticate(&view, headers)?;
    let parsed = parse(shape, body)?;
    let classified = classify_completion(&view, headers, &parsed.model)?;
    let presence = enter(traffic, &workspace).await?;
    let ask = ask(request, workspace, &parsed, &classified, started);
    let resume = resume_point(traffic, headers, &ask.workspace, &parsed)?;
    let job = Job {
        ask,
        shape,
        started,
        presence,
        resume,
    };
    let mut answer = if parsed.stream {
        relay::stream(traffic, job).await?
    } else {
        json_answer(http::StatusCode::OK, relay::whole(traffic, job).await?)
    };
    answer
        .headers_mut()
        .insert("x-request-kind", header_value(classified.name.as_str()));
    Ok(answer)
}

/// Where a caller that lost its stream wants to go on.
fn resume_point(
    traffic: &Traffic,
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

fn ask(
    request: RequestId,
    workspace: WorkspaceId,
    parsed: &CompletionRequest,
    classified: &Classified,
    started: Millis,
) -> RouteAsk {
    RouteAsk {
        request,
        workspace,
        model: ModelName::from(parsed.model.as_str()),
        priority: classified.kind.priority,
        prompt: Arc::from(parsed.prompt.as_bytes()),
        answer_tokens: parsed.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
        deadline: started + classified.kind.deadline(),
        avoid: Vec::new(),
    }
}

fn parse(shape: Shape, body: &Bytes) -> Result<CompletionRequest, ApiError> {
    let request = match shape {
        Shape::Text => serde_json::from_slice(body).map_err(|error| bad_json(&error))?,
        Shape::Chat => {
            let chat: ChatRequest =
                serde_json::from_slice(body).map_err(|error| bad_json(&error))?;
            CompletionRequest {
                prompt: chat.prompt(),
                max_tokens: chat.max_completion_tokens.or(chat.max_tokens),
                model: chat.model,
                stream: chat.stream,
                answer_so_far: chat.answer_so_far,
            }
        }
    };
    let tokens = request.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
    if tokens == 0 || tokens > MAX_ANSWER_TOKENS {
        let message = format!("max_tokens must lie between 1 and {MAX_ANSWER_TOKENS}");
        return Err(ApiError::invalid("bad_max_tokens", message));
    }
    Ok(request)
}

fn bad_json(error: &serde_json::Error) -> ApiError {
    ApiError::invalid("bad_json", format!("the body cannot be read: {error}"))
}
