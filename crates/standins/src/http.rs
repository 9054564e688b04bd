//! HTTP helpers shared by the stand-ins.

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

/// Error that closes the connection before the response is complete.
#[derive(Clone, Copy, Debug, Error)]
#[error("connection closed on purpose")]
pub(crate) struct Aborted;

pub(crate) type Body = UnsyncBoxBody<Bytes, Aborted>;

/// A response, or an error that closes the connection without one.
pub(crate) type HandlerResult = Result<Response<Body>, Aborted>;

/// A body with known content.
pub(crate) fn full_body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// A response without a body.
pub(crate) fn empty_response(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(full_body(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// A JSON response.
pub(crate) fn json_response(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    let text = serde_json::to_vec(value).expect("response types serialise to JSON");
    let mut response = Response::new(full_body(text));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// A JSON response with status 200.
pub(crate) fn ok_response(value: &impl Serialize) -> Response<Body> {
    json_response(StatusCode::OK, value)
}

/// An error response in the JSON format that all stand-ins share.
pub(crate) fn error_response(status: StatusCode, code: &str, message: &str) -> Response<Body> {
    let value = json!({ "error": { "code": code, "message": message } });
    json_response(status, &value)
}

/// An error response that asks the caller to retry after one second.
pub(crate) fn retry_later(status: StatusCode, code: &str, message: &str) -> Response<Body> {
    let mut response = error_response(status, code, message);
    response
        .headers_mut()
        .insert(RETRY_AFTER, HeaderValue::from_static("1"));
    response
}

/// A body whose chunks are sent as the stream yields them.
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

/// Parses a JSON body, or returns a 400 response with the parse error.
pub(crate) fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, Box<Response<Body>>> {
    serde_json::from_slice(body).map_err(|e| {
        let response = error_response(StatusCode::BAD_REQUEST, "invalid_json", &e.to_string());
        Box::new(response)
    })
}

/// The value of a query parameter, without percent-decoding.
pub(crate) fn query_param<'a>(uri: &'a Uri, name: &str) -> Option<&'a str> {
    let pairs = uri.query()?.split('&');
    pairs
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}

/// A numeric query parameter, or `default` if it is absent or not a number.
pub(crate) fn query_u64(uri: &Uri, name: &str, default: u64) -> u64 {
    query_param(uri, name)
        .and_then(|value| value.parse().ok())
        .unwrap_or(default)
}

/// Executes one of the connection controls that all stand-ins share.
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
