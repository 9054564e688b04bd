//! HTTP API of the engine.

use std::sync::Arc;
use std::time::Duration;

use flamingolock_core::prelude::*;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::Deserialize;
use serde_json::json;
use tokio::time::Instant;

use crate::answer::ExpectedAnswer;
use crate::batch::Job;
use crate::engine_sse::{buffered_response, stream_response};
use crate::engine_state::{Engine, Refusal};
use crate::http::{
    Aborted, Body, HandlerResult, control_connections, empty_response, error_response, ok_response,
    parse_json, query_u64, read_body, retry_later,
};
use crate::orders::{OrderOutcome, OrderRequest, execute_order};
use crate::server::lock;
use crate::transfer::{TransferError, export, import};

#[derive(Deserialize)]
struct CompletionRequest {
    model: ModelName,
    prompt: String,
    max_tokens: u32,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    priority: u8,
    cache_salt: String,
    request_id: String,
    #[serde(default)]
    start_index: u32,
    #[serde(default)]
    answer_so_far: String,
}

/// Dispatches one request.
pub(crate) async fn handle(engine: Arc<Engine>, request: Request<Incoming>) -> HandlerResult {
    let method = request.method().clone();
    let uri = request.uri().clone();
    let body = read_body(request).await?;
    let path: Vec<&str> = uri.path().trim_start_matches('/').split('/').collect();
    match (method, path.as_slice()) {
        (Method::GET, ["v1", "status"]) => Ok(ok_response(&engine.status())),
        (Method::POST, ["v1", "completions"]) => handle_completion(&engine, &body).await,
        (Method::GET, ["v1", "streams", id]) => {
            let from = query_u64(&uri, "from", 0) as u32;
            Ok(match engine.resume(id) {
                Some(reader) => stream_response(reader, from),
                None => unknown_stream(),
            })
        }
        (Method::DELETE, ["v1", "streams", id]) => Ok(if engine.cancel(id) {
            empty_response(StatusCode::NO_CONTENT)
        } else {
            unknown_stream()
        }),
        (Method::GET, ["v1", "events"]) => {
            let after = query_u64(&uri, "after", 0);
            let wait = Duration::from_millis(query_u64(&uri, "wait_ms", 0));
            Ok(ok_response(
                &engine.events(after, Instant::now() + wait).await,
            ))
        }
        (Method::POST, ["v1", "orders"]) => handle_order(engine, &body).await,
        (Method::POST, ["v1", "kv", direction]) => handle_transfer(engine, direction, &body).await,
        (Method::GET, ["standin", "oracle"]) => {
            Ok(ok_response(&lock(&engine.state).engine_cache.report))
        }
        (Method::POST, ["standin", action]) => {
            let span = Duration::from_millis(query_u64(&uri, "ms", 0));
            Ok(control(&engine, action, span))
        }
        _ => Ok(error_response(
            StatusCode::NOT_FOUND,
            "not_found",
            "no such path",
        )),
    }
}

fn control(engine: &Engine, action: &str, span: Duration) -> Response<Body> {
    match action {
        "crash" => engine.crash(),
        "freeze" => engine.freeze(span),
        _ => return control_connections(&engine.connections, action, span),
    }
    empty_response(StatusCode::NO_CONTENT)
}

async fn handle_order(engine: Arc<Engine>, body: &[u8]) -> HandlerResult {
    let request: OrderRequest = match parse_json(body) {
        Ok(request) => request,
        Err(response) => return Ok(*response),
    };
    // Run as a task of its own, so that the order completes even if the caller
    // disconnects.
    let outcome = tokio::spawn(execute_order(engine, request));
    match outcome.await.map_err(|_| Aborted)? {
        OrderOutcome::Done => Ok(ok_response(&json!({ "done": true }))),
        OrderOutcome::StaleFencing => {
            let message = "an order with a larger fencing number came before";
            Ok(error_response(
                StatusCode::CONFLICT,
                "stale_fencing",
                message,
            ))
        }
        OrderOutcome::StoreBusy => {
            let message = "the weight store limits its rate";
            let status = StatusCode::SERVICE_UNAVAILABLE;
            Ok(retry_later(status, "weight_store_busy", message))
        }
        OrderOutcome::StoreFailed => {
            let message = "the weight store does not answer";
            let status = StatusCode::SERVICE_UNAVAILABLE;
            Ok(retry_later(status, "weight_store_failed", message))
        }
        OrderOutcome::Lost => Err(Aborted),
    }
}

async fn handle_transfer(engine: Arc<Engine>, direction: &str, body: &[u8]) -> HandlerResult {
    let (count, label) = match direction {
        "export" => match parse_json(body) {
            Ok(request) => (export(&engine, request).await, "exported"),
            Err(response) => return Ok(*response),
        },
        "import" => match parse_json(body) {
            Ok(request) => (import(&engine, request).await, "imported"),
            Err(response) => return Ok(*response),
        },
        _ => {
            return Ok(error_response(
                StatusCode::NOT_FOUND,
                "not_found",
                "no such path",
            ));
        }
    };
    match count {
        Ok(count) => Ok(ok_response(&json!({ label: count }))),
        Err(TransferError::BadSalt) => Ok(bad_salt()),
        Err(TransferError::BadBlock) => {
            let message = "a block is not 16 hexadecimal digits";
            Ok(bad_request("bad_block", message))
        }
        Err(TransferError::SaltMismatch) => {
            let message = "the kept blocks belong to another salt";
            Ok(bad_request("other_salt", message))
        }
        Err(TransferError::KeyNotFound) => {
            let message = "the store has no such key";
            Ok(error_response(StatusCode::NOT_FOUND, "not_found", message))
        }
        Err(TransferError::Store) => {
            let message = "the store does not answer as it should";
            let status = StatusCode::SERVICE_UNAVAILABLE;
            Ok(retry_later(status, "store_failed", message))
        }
        Err(TransferError::Lost) => Err(Aborted),
    }
}

fn bad_salt() -> Response<Body> {
    bad_request("bad_salt", "cache_salt is not 32 hexadecimal digits")
}

fn unknown_stream() -> Response<Body> {
    error_response(StatusCode::NOT_FOUND, "unknown_stream", "no such stream")
}

fn bad_request(code: &str, message: &str) -> Response<Body> {
    error_response(StatusCode::BAD_REQUEST, code, message)
}

async fn handle_completion(engine: &Arc<Engine>, body: &[u8]) -> HandlerResult {
    let request: CompletionRequest = match parse_json(body) {
        Ok(request) => request,
        Err(response) => return Ok(*response),
    };
    let streams = request.stream;
    let job = match build_job(engine, request) {
        Ok(job) => job,
        Err(response) => return Ok(*response),
    };
    let first = job.first_index;
    let reader = match engine.submit(job) {
        Ok(reader) => reader,
        Err(refusal) => return Ok(refusal_response(&refusal)),
    };
    if streams {
        return Ok(stream_response(reader, first));
    }
    buffered_response(reader).await
}

fn refusal_response(refusal: &Refusal) -> Response<Body> {
    match refusal {
        Refusal::QueueFull => {
            let message = "the waiting line is full";
            retry_later(StatusCode::TOO_MANY_REQUESTS, "line_full", message)
        }
        Refusal::Loading => {
            let message = "the weights are being loaded";
            error_response(StatusCode::CONFLICT, "weights_not_loaded", message)
        }
        Refusal::Draining => {
            let message = "the engine finishes what it has";
            error_response(StatusCode::CONFLICT, "draining", message)
        }
    }
}

fn build_job(engine: &Engine, request: CompletionRequest) -> Result<Job, Box<Response<Body>>> {
    let refuse = |code, message| Err(Box::new(bad_request(code, message)));
    if request.model != engine.options.model {
        return refuse("unknown_model", "this engine does not serve the model");
    }
    let Some(salt) = PrefixSeed::from_hex(&request.cache_salt) else {
        return Err(Box::new(bad_salt()));
    };
    if request.max_tokens <= request.start_index {
        return refuse("bad_length", "max_tokens does not exceed start_index");
    }
    let answer = ExpectedAnswer::new(request.prompt.as_bytes());
    if answer.text(request.start_index) != request.answer_so_far {
        return refuse("bad_answer", "answer_so_far does not belong to the prompt");
    }
    let prompt_tokens = PrefixChain::new(salt, request.prompt.as_bytes()).tokens;
    let prefix = request.prompt + &request.answer_so_far;
    Ok(Job {
        request_id: request.request_id,
        answer,
        salt,
        chain: PrefixChain::new(salt, prefix.as_bytes()),
        prompt_tokens,
        priority: request.priority,
        first_index: request.start_index,
        token_count: request.max_tokens,
    })
}
