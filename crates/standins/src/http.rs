//! Requests and responses as the stand-ins use them.

use std::time::Duration;

use bytes::Bytes;
use futures_util::Stream;
use http::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use http::{Request, Response, StatusCode, Uri};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::json;
use thiserror::Error;

use crate::server::Connections;

/// Ends a connection without the rest of the answer.
#[derive(Clone, Copy, Debug, Error)]
#[error("connection closed on purpose")]
pub(crate) struct Aborted;

pub(crate) type Body = UnsyncBoxBody<Bytes, Aborted>;

/// An answer, or the order to close the connection without one.
pub(crate) type HandlerResult = Result<Response<Body>, Aborted>;

/// A whole body.
pub(crate) fn full_body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// An empty answer.
pub(crate) fn empty_response(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(full_body(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// A JSON answer.
pub(crate) fn json_response(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    let text = serde_json::to_vec(value).expect("answers hold only plain JSON types");
    let mut response = Response::new(full_body(text));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// A JSON answer with status 200.
pub(crate) fn ok_response(value: &impl Serialize) -> Response<Body> {
    json_response(StatusCode::OK, value)
}

/// An error in the shape that all outside systems share.
pub(crate) fn error_response(status: StatusCode, code: &str, message: &str) -> Response<Body> {
    let value = json!({ "error": { "code": code, "message": message } });
    json_response(status, &value)
}

/// An error that asks the caller to come back in a second.
pub(crate) fn retry_later(status: StatusCode, code: &str, message: &str) -> Response<Body> {
    let mut response = error_response(status, code, message);
    response
        .headers_mut()
        .insert(RETRY_AFTER, HeaderValue::from_static("1"));
    response
}

/// A body whose chunks are sent as they are produced.
pub(crate) fn stream_body<S>(chunks: S) -> Body
where
    S: Stream<Item = Result<Bytes, Aborted>> + Send + 'static,
{
    use futures_util::StreamExt;
    StreamBody::new(chunks.map(|chunk| chunk.map(Frame::data))).boxed_unsync()
}

/// Reads a whole request body.
pub(crate) async fn read_body(request: Request<Incoming>) -> Result<Bytes, Aborted> {
    let body = request.into_body().collect().await;
    Ok(body.map_err(|_| Aborted)?.to_bytes())
}

/// Parses a JSON body, or says in a 400 what is wrong with it.
pub(crate) fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, Box<Response<Body>>> {
    serde_json::from_slice(body).map_err(|e| {
        let response = error_response(StatusCode::BAD_REQUEST, "invalid_json", &e.to_string());
        Box::new(response)
    })
}

/// The raw value of one query parameter.
pub(crate) fn query_param<'a>(uri: &'a Uri, name: &str) -> Option<&'a str> {
    let pairs = uri.query()?.split('&');
    pairs
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}

/// A number from the query; absent or unreadable gives `default`.
pub(crate) fn query_u64(uri: &Uri, name: &str, default: u64) -> u64 {
    query_param(uri, name)
        .and_then(|value| value.parse().ok())
        .unwrap_or(default)
}

/// Carries out a control of connections that all stand-ins share.
pub(crate) fn control_connections(
    connections: &Connections,
    action: &str,
    span: Duration,
) -> Response<Body> {
    match action {
        "silence" => connections.silence(),
        "cut" => connections.cut(),
        "freeze" => connections.freeze_for(span),
        _ => return error_response(StatusCode::NOT_FOUND, "not_found", "no such control"),
    }
    empty_response(StatusCode::NO_CONTENT)
}
