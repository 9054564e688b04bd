//! Calls of plain services.

use bytes::Bytes;
use flamingolock_core::prelude::*;
use flamingolock_core::rendezvous;
use http::{HeaderMap, HeaderValue, Method, Request, StatusCode, header};
use http_body_util::Full;

use crate::api::{Answer, ApiError, CallOutcome, ErrorKind, json_answer};
use crate::endpoint_http::{Connection, EndpointError, EndpointHttp};
use crate::filters::Traffic;
use crate::filters::authenticate::authenticate;
use crate::filters::classify::classify_call;

/// Header that carries the call id to the service and back.
pub const CALL_ID_HEADER: &str = "x-call-id";

/// Serves `/v1/calls/{kind}[/rest]`.
///
/// # Errors
///
/// The final error of the call, with its outcome.
pub async fn serve(
    traffic: &Traffic,
    request: RequestId,
    method: Method,
    path: &str,
    headers: &HeaderMap,
    body: Bytes,
) -> Result<Answer, ApiError> {
    let view = traffic.view.load_full();
    authenticate(&view, headers).map_err(not_run)?;
    let name = path.split('/').next().unwrap_or_default();
    let (classified, service) = classify_call(&view, headers, name).map_err(not_run)?;
    let instances = view.service_instances(&service);
    let names = instances.iter().map(|listed| listed.name.as_str());
    let key = rendezvous::key(request.as_str());
    let chosen = rendezvous::top(key, names, 1).first().copied();
    let Some(listed) = chosen.and_then(|name| view.instances.get(name)) else {
        let message = format!("no instance of the service `{service}` is live");
        return Err(not_run(ApiError::unavailable("no_endpoint", message, 1000)));
    };
    let address = listed.address.to_string();
    let outgoing = Request::builder()
        .method(method)
        .uri(format!("http://{address}/{path}"))
        .header(CALL_ID_HEADER, request.as_str())
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(body))
        .map_err(|error| not_run(ApiError::invalid("bad_path", error.to_string())))?;
    let wait = classified.kind.deadline_ms;
    let response = traffic
        .http
        .send(outgoing, Connection::Fresh, wait)
        .await
        .map_err(|error| failed(&error))?;
    let status = response.status();
    let matches = response
        .headers()
        .get(CALL_ID_HEADER)
        .is_some_and(|value| value.as_bytes() == request.as_str().as_bytes());
    if !matches {
        let message = "the service answered another call";
        return Err(unknown(ApiError::new(
            StatusCode::BAD_GATEWAY,
            ErrorKind::Upstream,
            "crossed_answer",
            message,
        )));
    }
    let body = EndpointHttp::read(&address, response, wait)
        .await
        .map_err(|error| failed(&error))?;
    let mut answer = json_answer(status, body);
    let label = HeaderValue::from_static(CallOutcome::Answered.label());
    answer.headers_mut().insert("x-call-outcome", label);
    if let Ok(id) = HeaderValue::from_str(request.as_str()) {
        answer.headers_mut().insert(CALL_ID_HEADER, id);
    }
    Ok(answer)
}

fn failed(error: &EndpointError) -> ApiError {
    if error.never_sent() {
        return not_run(ApiError::unavailable("not_sent", error.to_string(), 1000));
    }
    unknown(ApiError::new(
        StatusCode::BAD_GATEWAY,
        ErrorKind::Upstream,
        "outcome_unknown",
        error.to_string(),
    ))
}

fn not_run(error: ApiError) -> ApiError {
    error.with_outcome(CallOutcome::NotRun)
}

fn unknown(error: ApiError) -> ApiError {
    error.with_outcome(CallOutcome::Unknown)
}
