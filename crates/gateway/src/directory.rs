//! Node address lookup for callers and the platform's readiness check.

use std::net::SocketAddr;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HeaderValue};
use http::{Request, Response, StatusCode};

use crate::control::View;
use crate::dialect::ResolveQuery;
use crate::exchange::ProxyContext;
use crate::response::{ResponseBody, full_body};

/// Time in seconds for which callers may cache the response. It is short because
/// callers keep using the address of a lost node for that long.
const RESOLVE_TTL_S: u64 = 2;

/// Minimum number of nodes in the caller's zone; with fewer, nodes of all zones are
/// returned.
const MIN_ZONE_NODES: usize = 2;

/// Maximum number of addresses in a response.
const MAX_ADDRESSES: usize = 64;

/// Responds to a request on the directory or the readiness port.
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

/// True if the node has a configuration and is not shutting down.
pub fn is_ready(view: &View) -> bool {
    view.catalog.is_some() && view.shutdown_at.is_none()
}

/// Returns node addresses for a caller: those of its zone if there are at least
/// `MIN_ZONE_NODES`, otherwise those of all zones.
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
