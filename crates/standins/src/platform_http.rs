//! HTTP API of the platform.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use flamingolock_core::prelude::*;
use http::{Method, Request, Response, StatusCode, Uri};
use hyper::body::Incoming;
use serde::Deserialize;
use serde_json::json;
use tokio::time::{Instant, sleep, sleep_until};

use crate::http::{
    Aborted, Body, HandlerResult, control_connections, empty_response, error_response,
    json_response, ok_response, parse_json, query_param, query_u64, read_body, retry_later,
};
use crate::instances::{Instance, InstanceState};
use crate::log_service::{AppendOutcome, deadline_after};
use crate::log_stream::NewRecord;
use crate::outage::{Admission, OutageMode, Part};
use crate::platform::Platform;
use crate::server::lock;

/// Maximum number of records that a read without a `max` parameter returns.
const DEFAULT_READ_MAX: u64 = 1000;

#[derive(Deserialize)]
struct AppendRequest {
    records: Vec<NewRecord>,
}

/// Dispatches one request.
pub(crate) async fn handle(platform: Arc<Platform>, request: Request<Incoming>) -> HandlerResult {
    let method = request.method().clone();
    let uri = request.uri().clone();
    let body = read_body(request).await?;
    let path: Vec<&str> = uri.path().trim_start_matches('/').split('/').collect();
    if let ["standin", rest @ ..] = path.as_slice() {
        return Ok(control(&platform, &method, rest, &uri, &body));
    }
    let Some(part) = part_for_path(&path) else {
        return Ok(error_response(
            StatusCode::NOT_FOUND,
            "not_found",
            "no such path",
        ));
    };
    if let Some(refused) = platform.check_outage(part).await? {
        return Ok(refused);
    }
    if let (&Method::POST, ["log", stream]) = (&method, path.as_slice()) {
        let append = append(platform.clone(), (*stream).to_owned(), body);
        // Run as a task of its own, so that the append is applied even if the
        // writer disconnects.
        return tokio::spawn(append).await.map_err(|_| Aborted)?;
    }
    platform.delay(part).await;
    match (&method, path.as_slice()) {
        (&Method::GET, ["log", stream]) => read(&platform, stream, &uri).await,
        (&Method::GET, ["instances"]) => Ok(list(&platform)),
        (&Method::GET, ["weights", version]) => Ok(platform.weights.load(version).await),
        (method, ["kv", key @ ..]) => Ok(platform.kv.handle(method, &key.join("/"), body)),
        _ => Ok(empty_response(StatusCode::METHOD_NOT_ALLOWED)),
    }
}

fn part_for_path(path: &[&str]) -> Option<Part> {
    match path {
        ["log", _] => Some(Part::Log),
        ["instances"] => Some(Part::Instances),
        ["weights", _] => Some(Part::Weights),
        ["kv", ..] => Some(Part::Kv),
        _ => None,
    }
}

impl Platform {
    /// Returns the error response for a part that is out of service, if it is.
    async fn check_outage(&self, part: Part) -> Result<Option<Response<Body>>, Aborted> {
        let admission = lock(&self.outages).admit(part, Instant::now());
        match admission {
            Admission::Serve => Ok(None),
            Admission::Refuse => {
                let message = "this part of the platform is down";
                let status = StatusCode::SERVICE_UNAVAILABLE;
                Ok(Some(retry_later(status, "outage", message)))
            }
            Admission::Hang(until) => {
                sleep_until(until).await;
                Err(Aborted)
            }
        }
    }

    /// Waits for the configured delay of a part.
    async fn delay(&self, part: Part) {
        let delay = lock(&self.outages).delay(part);
        if !delay.is_zero() {
            sleep(delay).await;
        }
    }
}

async fn append(platform: Arc<Platform>, stream: String, body: Bytes) -> HandlerResult {
    let request: AppendRequest = match parse_json(&body) {
        Ok(request) => request,
        Err(response) => return Ok(*response),
    };
    platform.delay(Part::Log).await;
    match platform.log.append(&stream, request.records) {
        AppendOutcome::Done { first, count } => Ok(ok_response(
            &json!({ "first_offset": first, "count": count }),
        )),
        AppendOutcome::AnswerLost => Err(Aborted),
        AppendOutcome::RateExceeded => {
            let message = "the append rate is exceeded";
            let status = StatusCode::TOO_MANY_REQUESTS;
            Ok(retry_later(status, "append_rate", message))
        }
    }
}

async fn read(platform: &Platform, stream: &str, uri: &Uri) -> HandlerResult {
    let from = Offset(query_u64(uri, "from", 0));
    let max = query_u64(uri, "max", DEFAULT_READ_MAX) as usize;
    let until = deadline_after(query_u64(uri, "wait_ms", 0));
    let page = platform.log.read(stream, from, max, until).await;
    // An outage may have started while the reader waited.
    if let Some(refused) = platform.check_outage(Part::Log).await? {
        return Ok(refused);
    }
    let (start, end) = (page.start, page.end);
    let Some(records) = page.records else {
        let bounds = json!({ "start": start, "end": end });
        return Ok(json_response(StatusCode::GONE, &bounds));
    };
    Ok(ok_response(
        &json!({ "start": start, "end": end, "records": records }),
    ))
}

fn list(platform: &Platform) -> Response<Body> {
    let lag = *lock(&platform.list_lag);
    let mut instances = lock(&platform.instances);
    ok_response(&json!({ "instances": instances.list_at(Instant::now(), lag) }))
}

fn control(
    platform: &Platform,
    method: &Method,
    path: &[&str],
    uri: &Uri,
    body: &[u8],
) -> Response<Body> {
    let span = Duration::from_millis(query_u64(uri, "ms", 0));
    match (method, path) {
        (&Method::GET, ["report"]) => return ok_response(&platform.report()),
        (&Method::PUT, ["instances", name]) => return put_instance(platform, name, body),
        (&Method::DELETE, ["instances", name]) => {
            lock(&platform.instances).remove(name, Instant::now());
        }
        (&Method::POST, ["instances", name, state]) => return set_state(platform, name, state),
        (&Method::POST, ["list_lag"]) => *lock(&platform.list_lag) = span,
        (&Method::POST, ["outage" | "slow"]) => {
            return set_outage_or_delay(platform, path[0], uri, span);
        }
        (&Method::POST, ["lose"]) => {
            platform.log.lose_next(query_u64(uri, "next", 0));
            if let Some(Ok(probability)) = query_param(uri, "probability").map(str::parse) {
                platform.log.set_lose_probability(probability);
            }
        }
        (&Method::POST, ["log", stream]) => return inject(platform, stream, body),
        (&Method::POST, [action]) => {
            return control_connections(&platform.connections, action, span);
        }
        _ => return error_response(StatusCode::NOT_FOUND, "not_found", "no such control"),
    }
    empty_response(StatusCode::NO_CONTENT)
}

/// Starts an outage of some parts, or sets the delay of calls to them.
fn set_outage_or_delay(
    platform: &Platform,
    action: &str,
    uri: &Uri,
    span: Duration,
) -> Response<Body> {
    let parts = Part::from_name(query_param(uri, "part").unwrap_or("log"));
    let mode = OutageMode::from_name(query_param(uri, "mode").unwrap_or("refuse"));
    let (Some(parts), Some(mode)) = (parts, mode) else {
        return error_response(StatusCode::BAD_REQUEST, "bad_name", "no such part or mode");
    };
    let mut outages = lock(&platform.outages);
    for part in parts {
        match action {
            "outage" => outages.begin(*part, mode, Instant::now() + span),
            _ => outages.set_delay(*part, span),
        }
    }
    empty_response(StatusCode::NO_CONTENT)
}

fn put_instance(platform: &Platform, name: &str, body: &[u8]) -> Response<Body> {
    match parse_json::<Instance>(body) {
        Ok(mut instance) => {
            name.clone_into(&mut instance.name);
            lock(&platform.instances).put(instance, Instant::now());
            empty_response(StatusCode::NO_CONTENT)
        }
        Err(response) => *response,
    }
}

fn set_state(platform: &Platform, name: &str, state: &str) -> Response<Body> {
    let state = match state {
        "live" => InstanceState::Live,
        "leaving" => InstanceState::Leaving,
        _ => return error_response(StatusCode::BAD_REQUEST, "bad_state", "no such state"),
    };
    if lock(&platform.instances).set_state(name, state, Instant::now()) {
        empty_response(StatusCode::NO_CONTENT)
    } else {
        error_response(StatusCode::NOT_FOUND, "not_found", "no such instance")
    }
}

fn inject(platform: &Platform, stream: &str, body: &[u8]) -> Response<Body> {
    match parse_json::<NewRecord>(body) {
        Ok(record) => {
            let offset = platform.log.inject(stream, record);
            ok_response(&json!({ "offset": offset }))
        }
        Err(response) => *response,
    }
}
