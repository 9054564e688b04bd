//! The engine's HTTP paths.

use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use flamingolock_core::prelude::*;
use futures_util::stream;
use http::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderName, HeaderValue};
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::Deserialize;
use serde_json::{Value, json};

use crate::answer::ExpectedAnswer;
use crate::batch::{Job, Phase, Progress};
use crate::engine::{Engine, Reader};
use crate::http::{
    Aborted, Body, Reply, empty, error, ok, parse_json, query_u64, read_body, retry_later, streamed,
};
use crate::server::lock;

const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
const ENGINE_INCARNATION: HeaderName = HeaderName::from_static("x-engine-incarnation");

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

/// Answers one request.
pub(crate) async fn handle(engine: Arc<Engine>, request: Request<Incoming>) -> Reply {
    let method = request.method().clone();
    let uri = request.uri().clone();
    let body = read_body(request).await?;
    let path: Vec<&str> = uri.path().trim_start_matches('/').split('/').collect();
    match (method, path.as_slice()) {
        (Method::GET, ["v1", "status"]) => Ok(ok(&engine.status())),
        (Method::POST, ["v1", "completions"]) => complete(&engine, &body).await,
        (Method::GET, ["v1", "streams", id]) => {
            let from = query_u64(&uri, "from", 0) as u32;
            Ok(match engine.resume(id) {
                Some(reader) => stream_response(reader, from),
                None => unknown_stream(),
            })
        }
        (Method::DELETE, ["v1", "streams", id]) => Ok(if engine.cancel(id) {
            empty(StatusCode::NO_CONTENT)
        } else {
            unknown_stream()
        }),
        (Method::GET, ["standin", "oracle"]) => Ok(ok(&lock(&engine.state).report)),
        (Method::POST, ["standin", action]) => {
            let span = Duration::from_millis(query_u64(&uri, "ms", 0));
            Ok(control(&engine, action, span))
        }
        _ => Ok(error(StatusCode::NOT_FOUND, "not_found", "no such path")),
    }
}

fn control(engine: &Engine, action: &str, span: Duration) -> Response<Body> {
    match action {
        "crash" => engine.crash(),
        "freeze" => engine.freeze(span),
        "silence" => engine.connections.silence(),
        "cut" => engine.connections.cut(),
        _ => return error(StatusCode::NOT_FOUND, "not_found", "no such control"),
    }
    empty(StatusCode::NO_CONTENT)
}

fn unknown_stream() -> Response<Body> {
    error(StatusCode::NOT_FOUND, "unknown_stream", "no such stream")
}

fn bad_request(code: &str, message: &str) -> Response<Body> {
    error(StatusCode::BAD_REQUEST, code, message)
}

async fn complete(engine: &Arc<Engine>, body: &[u8]) -> Reply {
    let request: CompletionRequest = match parse_json(body) {
        Ok(request) => request,
        Err(response) => return Ok(*response),
    };
    let streams = request.stream;
    let job = match job_of(engine, request) {
        Ok(job) => job,
        Err(response) => return Ok(*response),
    };
    let first = job.first;
    let Ok(reader) = engine.submit(job) else {
        let message = "the waiting line is full";
        let status = StatusCode::TOO_MANY_REQUESTS;
        return Ok(retry_later(status, "line_full", message));
    };
    if streams {
        return Ok(stream_response(reader, first));
    }
    whole_response(reader).await
}

fn job_of(engine: &Engine, request: CompletionRequest) -> Result<Job, Box<Response<Body>>> {
    let refuse = |code, message| Err(Box::new(bad_request(code, message)));
    if request.model != engine.options.model {
        return refuse("unknown_model", "this engine does not serve the model");
    }
    let Some(salt) = PrefixSeed::from_hex(&request.cache_salt) else {
        return refuse("bad_salt", "cache_salt is not 32 hexadecimal digits");
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
        first: request.start_index,
        count: request.max_tokens,
    })
}

fn with_stream_headers(mut response: Response<Body>, reader: &Reader) -> Response<Body> {
    let headers = response.headers_mut();
    if let Ok(id) = HeaderValue::from_str(&reader.job.request_id) {
        headers.insert(REQUEST_ID, id);
    }
    headers.insert(ENGINE_INCARNATION, HeaderValue::from(reader.incarnation.0));
    response
}

fn usage(job: &Job, progress: Progress) -> Value {
    json!({
        "prompt_tokens": job.prompt_tokens,
        "completion_tokens": job.count,
        "cached_tokens": progress.cached_tokens,
    })
}

async fn whole_response(mut reader: Reader) -> Reply {
    let outcome = reader.progress.wait_for(|p| p.phase != Phase::Running);
    let progress = *outcome.await.map_err(|_| Aborted)?;
    if progress.phase != Phase::Finished {
        return Err(Aborted);
    }
    let job = &reader.job;
    let text: String = (job.first..job.count)
        .map(|i| job.answer.token(i))
        .collect();
    let response = ok(&json!({
        "id": job.request_id,
        "text": text,
        "count": job.count,
        "finish": "length",
        "usage": usage(job, progress),
    }));
    Ok(with_stream_headers(response, &reader))
}

fn stream_response(reader: Reader, from: u32) -> Response<Body> {
    let mut response = Response::new(Body::default());
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    let response = with_stream_headers(response, &reader);
    let cursor = Cursor {
        next: from.max(reader.job.first),
        reader,
    };
    response.map(|_| streamed(stream::unfold(Some(cursor), next_events)))
}

/// Where a reader stands in its stream.
struct Cursor {
    reader: Reader,
    next: u32,
}

/// Waits for events that the reader has not seen and writes them out.
async fn next_events(cursor: Option<Cursor>) -> Option<(Result<Bytes, Aborted>, Option<Cursor>)> {
    let mut cursor = cursor?;
    let next = cursor.next;
    let seen = |p: &Progress| p.next > next || p.phase != Phase::Running;
    let progress = match cursor.reader.progress.wait_for(seen).await {
        Ok(progress) => *progress,
        Err(_) => return Some((Err(Aborted), None)),
    };
    if matches!(progress.phase, Phase::Cancelled | Phase::Cut) {
        return Some((Err(Aborted), None));
    }
    let mut text = String::new();
    for index in cursor.next..progress.next {
        write_token(&mut text, &cursor.reader.job, index);
    }
    cursor.next = cursor.next.max(progress.next);
    if progress.phase == Phase::Running {
        return Some((Ok(text.into()), Some(cursor)));
    }
    write_end(&mut text, &cursor.reader.job, progress);
    Some((Ok(text.into()), None))
}

fn write_token(text: &mut String, job: &Job, index: u32) {
    let token = job.answer.token(index);
    let data = json!({ "id": job.request_id, "index": index, "text": token });
    write!(text, "id: {index}\ndata: {data}\n\n").expect("writing to a string succeeds");
}

fn write_end(text: &mut String, job: &Job, progress: Progress) {
    let data = json!({
        "id": job.request_id,
        "finish": "length",
        "count": job.count,
        "usage": usage(job, progress),
    });
    write!(text, "data: {data}\n\ndata: [DONE]\n\n").expect("writing to a string succeeds");
}

impl Engine {
    fn status(&self) -> Value {
        let options = &self.options;
        let state = lock(&self.state);
        json!({
            "engine": options.engine,
            "incarnation": state.incarnation,
            "model": options.model,
            "weights": state.weights,
            "adapters": options.adapters,
            "role": "serve",
            "slots": options.slots,
            "running": state.batch.running(),
            "waiting": state.batch.waiting(),
            "queued_tokens": state.batch.queued_tokens(),
            "cached_blocks": state.cache.len(),
            "capacity_blocks": options.capacity_blocks,
            "prefill_tokens_per_s": options.prefill_tokens_per_s,
            "fencing": options.checks_fencing,
        })
    }
}
