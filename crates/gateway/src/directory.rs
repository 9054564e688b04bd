//! Answers to callers that ask which node to connect to, and to the platform's
//! question whether the node is ready.

use std::net::SocketAddr;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HeaderValue};
use http::{Request, Response, StatusCode};

use crate::answer::{AnswerBody, whole};
use crate::attempt::Means;
use crate::control::View;
use crate::dialect::Whereabouts;

/// How long callers may keep the answer, in s. Short, since a node that is lost
/// stays in it for as long.
const LIFETIME_S: u64 = 2;

/// Nodes of the caller's own zone below which those of others are named too.
const ZONE_NODES: usize = 2;

/// Most addresses in one answer.
const ADDRESSES: usize = 64;

/// Answers a request to the directory or the readiness port.
pub fn answer<B>(request: &Request<B>, means: &Means) -> Response<AnswerBody> {
    let path = request.uri().path();
    let view = means.handle.view();
    if (means.dialect.is_ready)(path) {
        return status(if is_ready(&view) {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        });
    }
    if !(means.dialect.is_resolve)(path) {
        return status(StatusCode::NOT_FOUND);
    }
    let caller = (means.dialect.whereabouts)(request.uri().query());
    let addresses = addresses(&view, &caller);
    if addresses.is_empty() {
        return status(StatusCode::SERVICE_UNAVAILABLE);
    }
    let mut response = Response::new(whole((means.dialect.resolved)(&addresses, LIFETIME_S)));
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

fn status(status: StatusCode) -> Response<AnswerBody> {
    let mut response = Response::new(whole(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// True when the node has a configuration and stays.
pub fn is_ready(view: &View) -> bool {
    view.catalog.is_some() && view.shutdown_at.is_none()
}

/// Nodes for a caller: those of its own zone, if there are enough.
pub fn addresses(view: &View, caller: &Whereabouts) -> Vec<SocketAddr> {
    let near = view
        .nodes
        .iter()
        .filter(|(_, zone)| caller.zone.as_ref() == Some(zone));
    let mut addresses: Vec<SocketAddr> = near.map(|(address, _)| *address).collect();
    if addresses.len() < ZONE_NODES {
        addresses = view.nodes.iter().map(|(address, _)| *address).collect();
    }
    addresses.truncate(ADDRESSES);
    addresses
}
