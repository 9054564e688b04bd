//! Answers to callers that ask which node to connect to, and to the platform's
//! question whether the node is ready.

use std::net::SocketAddr;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HeaderValue};
use http::{Request, Response, StatusCode};

use crate::attempt::ProxyContext;
use crate::control::View;
use crate::dialect::ResolveQuery;
use crate::response::{ResponseBody, full_body};

/// How long callers may keep the answer, in s. Short, since a node that is lost
/// stays in it for as long.
const RESOLVE_TTL_S: u64 = 2;

/// Nodes of the caller's own zone below which those of others are named too.
const MIN_ZONE_NODES: usize = 2;

/// Most addresses in one answer.
const MAX_ADDRESSES: usize = 64;

/// Answers a request to the directory or the readiness port.
pub fn respond<B>(request: &Request<B>, context: &ProxyContext) -> Response<ResponseBody> {
    let path = request.uri().path();
    let view = context.handle.view();
    if (context.dialect.is_ready_path)(path) {
        return empty_response(if is_ready(&view) {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        });
    }
    if !(context.dialect.is_resolve_path)(path) {
        return empty_response(StatusCode::NOT_FOUND);
    }
    let caller = (context.dialect.parse_resolve_query)(request.uri().query());
    let addresses = addresses(&view, &caller);
    if addresses.is_empty() {
        return empty_response(StatusCode::SERVICE_UNAVAILABLE);
    }
    let mut response = Response::new(full_body((context.dialect.resolve_body)(
        &addresses,
        RESOLVE_TTL_S,
    )));
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

fn empty_response(status: StatusCode) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// True when the node has a configuration and stays.
pub fn is_ready(view: &View) -> bool {
    view.catalog.is_some() && view.shutdown_at.is_none()
}

/// Nodes for a caller: those of its own zone, if there are enough.
pub fn addresses(view: &View, caller: &ResolveQuery) -> Vec<SocketAddr> {
    let near = view
        .nodes
        .iter()
        .filter(|(_, zone)| caller.zone.as_ref() == Some(zone));
    let mut addresses: Vec<SocketAddr> = near.map(|(address, _)| *address).collect();
    if addresses.len() < MIN_ZONE_NODES {
        addresses = view.nodes.iter().map(|(address, _)| *address).collect();
    }
    addresses.truncate(MAX_ADDRESSES);
    addresses
}
