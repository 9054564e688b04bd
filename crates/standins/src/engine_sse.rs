//! Completion responses of an engine: server-sent events and buffered JSON.

use std::fmt::Write;

use bytes::Bytes;
use futures_util::stream;
use http::Response;
use http::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderName, HeaderValue};
use serde_json::{Value, json};

use crate::batch::{Job, Phase, Progress};
use crate::engine_state::Reader;
use crate::http::{Aborted, Body, HandlerResult, ok_response, stream_body};

const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
const ENGINE_INCARNATION: HeaderName = HeaderName::from_static("x-engine-incarnation");

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
        "completion_tokens": job.token_count,
        "cached_tokens": progress.cached_tokens,
    })
}

/// The complete answer, sent once it has been generated.
pub(crate) async fn buffered_response(mut reader: Reader) -> HandlerResult {
    let outcome = reader.progress.wait_for(|p| p.phase != Phase::Running);
    let progress = *outcome.await.map_err(|_| Aborted)?;
    if progress.phase != Phase::Finished {
        return Err(Aborted);
    }
    let job = &reader.job;
    let text: String = (job.first_index..job.token_count)
        .map(|i| job.answer.token(i))
        .collect();
    let response = ok_response(&json!({
        "id": job.request_id,
        "text": text,
        "count": job.token_count,
        "finish": "length",
        "usage": usage(job, progress),
    }));
    Ok(with_stream_headers(response, &reader))
}

/// The events of a stream starting at token `from`, each sent as it is generated.
pub(crate) fn stream_response(reader: Reader, from: u32) -> Response<Body> {
    let mut response = Response::new(Body::default());
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    let response = with_stream_headers(response, &reader);
    let cursor = Cursor {
        next_index: from.max(reader.job.first_index),
        reader,
    };
    response.map(|_| stream_body(stream::unfold(Some(cursor), next_events)))
}

/// Position of a reader in its stream.
struct Cursor {
    reader: Reader,
    next_index: u32,
}

/// Waits for tokens that the reader has not received and formats their events.
async fn next_events(cursor: Option<Cursor>) -> Option<(Result<Bytes, Aborted>, Option<Cursor>)> {
    let mut cursor = cursor?;
    let next = cursor.next_index;
    let seen = |p: &Progress| p.next_index > next || p.phase != Phase::Running;
    let progress = match cursor.reader.progress.wait_for(seen).await {
        Ok(progress) => *progress,
        Err(_) => return Some((Err(Aborted), None)),
    };
    if matches!(progress.phase, Phase::Cancelled | Phase::Interrupted) {
        return Some((Err(Aborted), None));
    }
    let mut text = String::new();
    for index in cursor.next_index..progress.next_index {
        write_token(&mut text, &cursor.reader.job, index, progress);
    }
    cursor.next_index = cursor.next_index.max(progress.next_index);
    if progress.phase == Phase::Running {
        return Some((Ok(text.into()), Some(cursor)));
    }
    write_end(&mut text, &cursor.reader.job, progress);
    Some((Ok(text.into()), None))
}

/// Every event carries the usage with the number of cached tokens, so that the
/// router learns it from the first token on.
fn write_token(text: &mut String, job: &Job, index: u32, progress: Progress) {
    let token = job.answer.token(index);
    let data = json!({
        "id": job.request_id,
        "index": index,
        "text": token,
        "usage": usage(job, progress),
    });
    write!(text, "id: {index}\ndata: {data}\n\n").expect("writing to a string succeeds");
}

fn write_end(text: &mut String, job: &Job, progress: Progress) {
    let data = json!({
        "id": job.request_id,
        "finish": "length",
        "count": job.token_count,
        "usage": usage(job, progress),
    });
    write!(text, "data: {data}\n\ndata: [DONE]\n\n").expect("writing to a string succeeds");
}
