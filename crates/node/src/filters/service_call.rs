//! Serves calls of plain services.

use bytes::Bytes;
use flamingolock_core::call_key::{body_digest, service_call_id};
use flamingolock_core::call_outcome::{NotRunReason, Outcome, UnknownReason};
use flamingolock_core::entry_token::EntryToken;
use flamingolock_core::prelude::*;
use flamingolock_core::record::CallId;
use flamingolock_core::rendezvous;
use http::{HeaderMap, HeaderValue, Method, Request, StatusCode, header};
use http_body_util::Full;

use crate::api::{ApiError, ApiResponse, CallOutcome, ErrorKind, json_response};
use crate::call_task::{self, CallTarget};
use crate::control::calls::CallRequest;
use crate::control::now;
use crate::endpoint_client::{Connection, EndpointClient, EndpointError, MAX_RESPONSE_BYTES};
use crate::filters::TrafficContext;
use crate::filters::classify::{Classified, classify_call};
use crate::filters::limit::acquire_inflight_guard;
use crate::view::View;

/// Header with the call id; the service echoes it in its response.
pub const CALL_ID_HEADER: &str = "x-call-id";

/// Header with the caller's idempotency key.
pub const KEY_HEADER: &str = "idempotency-key";

/// A call as received from the caller.
pub struct IncomingCall {
    /// Identifier of the request.
    pub id: RequestId,
    /// Workspace of the caller.
    pub workspace: WorkspaceId,
    /// HTTP method.
    pub method: Method,
    /// Request kind and the rest of the path.
    pub path: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Serves `/v1/calls/{kind}[/rest]`.
///
/// # Errors
///
/// Returns the final error of the call, with the outcome of an at-most-once call.
pub async fn serve(
    traffic: &TrafficContext,
    incoming: IncomingCall,
) -> Result<ApiResponse, ApiError> {
    let view = traffic.view.load_full();
    let _inflight_guard = acquire_inflight_guard(traffic, &incoming.workspace)
        .await
        .map_err(not_run)?;
    let name = incoming.path.split('/').next().unwrap_or_default();
    let (classified, service) = classify_call(&view, &incoming.headers, name).map_err(not_run)?;
    if classified.kind.repeatable {
        return serve_repeatable(traffic, &view, &incoming, &classified, &service).await;
    }
    let key = match incoming.headers.get(KEY_HEADER) {
        Some(value) => value.to_str().unwrap_or_default().to_owned(),
        None => generate_key(traffic)?,
    };
    let lookup = view
        .manifest
        .services
        .get(&service)
        .and_then(|s| s.lookup_path.clone());
    let deadline = now() + classified.kind.deadline();
    let target = CallTarget {
        service,
        lookup,
        deadline,
    };
    let request = CallRequest {
        workspace: incoming.workspace.clone(),
        key,
        method: incoming.method.to_string(),
        path: incoming.path.clone(),
        body: incoming.body.clone(),
    };
    let (call, outcome) = call_task::run(traffic, request, target, false).await?;
    outcome_response(&call, &incoming.body, outcome)
}

/// Generates an idempotency key for a caller that sent none. The caller cannot retry
/// under this key, but the call is still sent at most once.
fn generate_key(traffic: &TrafficContext) -> Result<String, ApiError> {
    let token = EntryToken {
        owner: traffic.node.clone(),
        made_at: now(),
        nonce: rand::random(),
    };
    let minted = traffic
        .keys
        .mint(&token)
        .map_err(|error| not_run(ApiError::unavailable("no_token", error.to_string(), 1000)))?;
    Ok(format!("e.{minted}.own"))
}

fn outcome_response(call: &CallId, body: &[u8], outcome: Outcome) -> Result<ApiResponse, ApiError> {
    match outcome {
        Outcome::Answered(answered) => {
            let status = StatusCode::from_u16(answered.status).unwrap_or(StatusCode::BAD_GATEWAY);
            let mut answer = json_response(status, answered.body.clone());
            let headers = answer.headers_mut();
            if let Ok(value) = HeaderValue::from_str(&answered.content_type) {
                headers.insert(header::CONTENT_TYPE, value);
            }
            let label = HeaderValue::from_static(CallOutcome::Answered.label());
            headers.insert("x-call-outcome", label);
            let id = service_call_id(call, &body_digest(body));
            if let Ok(value) = HeaderValue::from_str(&id) {
                headers.insert(CALL_ID_HEADER, value);
            }
            Ok(answer)
        }
        Outcome::NotRun {
            reason,
            retry_after,
        } => {
            let wait = retry_after.map_or(1_000, |wait| wait.0);
            let message = format!("the call did not run: {reason}");
            Err(not_run(ApiError::unavailable(
                not_run_code(reason),
                message,
                wait,
            )))
        }
        Outcome::Unknown(reason) => {
            let message = format!("nobody knows whether the call ran: {reason}");
            let code = unknown_code(reason);
            let error = ApiError::new(StatusCode::BAD_GATEWAY, ErrorKind::Upstream, code, message);
            Err(error.with_outcome(CallOutcome::Unknown))
        }
        Outcome::Conflict => {
            let message = "another body came under this idempotency key before";
            let error = ApiError::new(
                StatusCode::CONFLICT,
                ErrorKind::InvalidRequest,
                "idempotency_conflict",
                message,
            );
            Err(not_run(error))
        }
    }
}

fn unknown_code(reason: UnknownReason) -> &'static str {
    match reason {
        UnknownReason::AnswerLost => "answer_lost",
        UnknownReason::Pending => "pending",
        UnknownReason::AnswerDropped => "answer_dropped",
        UnknownReason::OwnerSilent => "owner_silent",
        UnknownReason::OwnerLost => "owner_lost",
        UnknownReason::ClaimantLost => "claimant_lost",
        UnknownReason::NotClaimed => "not_claimed",
        UnknownReason::Expired => "key_expired",
        UnknownReason::Early => "key_early",
        UnknownReason::Busy => "overloaded",
        UnknownReason::Unsettled => "unsettled",
    }
}

fn not_run_code(reason: NotRunReason) -> &'static str {
    match reason {
        NotRunReason::Busy => "overloaded",
        NotRunReason::Deadline => "deadline",
        NotRunReason::LogDown => "log_down",
        NotRunReason::ClaimVoid => "claim_void",
        NotRunReason::OwnerClosed => "owner_closed",
        NotRunReason::Unsent => "not_sent",
    }
}

/// Serves a repeatable call: if an instance fails, the next one is tried.
async fn serve_repeatable(
    traffic: &TrafficContext,
    view: &View,
    incoming: &IncomingCall,
    classified: &Classified,
    service: &ServiceName,
) -> Result<ApiResponse, ApiError> {
    let instances = view.service_instances(service);
    let names = instances.iter().map(|listed| listed.name.as_str());
    let ranked = rendezvous::top(
        rendezvous::key(incoming.id.as_str()),
        names,
        instances.len(),
    );
    let deadline = now() + classified.kind.deadline();
    let mut last = ApiError::unavailable(
        "no_endpoint",
        format!("no instance of the service `{service}` is live"),
        1000,
    );
    for listed in ranked
        .into_iter()
        .filter_map(|name| view.instances.get(name))
    {
        let wait = deadline.since(now()).0;
        if wait == 0 {
            break;
        }
        match try_instance(traffic, incoming, &listed.address.to_string(), wait).await {
            Ok(answer) => return Ok(answer),
            Err(error) => last = ApiError::unavailable("endpoint_failed", error.to_string(), 1000),
        }
    }
    Err(last)
}

async fn try_instance(
    traffic: &TrafficContext,
    incoming: &IncomingCall,
    address: &str,
    wait: u64,
) -> Result<ApiResponse, EndpointError> {
    let outgoing = Request::builder()
        .method(incoming.method.clone())
        .uri(format!("http://{address}/{}", incoming.path))
        .header(CALL_ID_HEADER, incoming.id.as_str())
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(incoming.body.clone()))?;
    let response = traffic
        .http
        .send(outgoing, Connection::Unpooled, wait)
        .await?;
    let status = response.status();
    let echoed_id = response
        .headers()
        .get(CALL_ID_HEADER)
        .map(HeaderValue::as_bytes);
    if echoed_id != Some(incoming.id.as_str().as_bytes()) {
        return Err(EndpointError::Body {
            address: address.to_owned(),
            source: "the answer belongs to another call".into(),
        });
    }
    let body = EndpointClient::read(address, response, MAX_RESPONSE_BYTES, wait).await?;
    let mut answer = json_response(status, body);
    if let Ok(id) = HeaderValue::from_str(incoming.id.as_str()) {
        answer.headers_mut().insert(CALL_ID_HEADER, id);
    }
    Ok(answer)
}

fn not_run(error: ApiError) -> ApiError {
    error.with_outcome(CallOutcome::NotRun)
}
