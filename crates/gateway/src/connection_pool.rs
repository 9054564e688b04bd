//! Idle connections to endpoints and other nodes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use http::{Request, Response};
use hyper::body::Incoming;

use crate::clock::now;
use crate::endpoint::EndpointKey;
use crate::http_client::{CONNECT_TIMEOUT, CallError, Connection};
use crate::payload::Payload;

/// Request for which an idle connection is taken.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionUse<'a> {
    /// Id of the request.
    pub request_id: &'a str,
    /// True if the request may run at two endpoints at the same time.
    pub may_run_twice: bool,
    /// Fraction of its idle timeout for which the connection may have been idle.
    pub idle_share: f64,
}

/// Pool of idle connections to endpoints.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    idle: Arc<Mutex<BTreeMap<EndpointKey, Vec<Connection>>>>,
}

impl Pool {
    /// Takes a connection for a request, unless none is suitable.
    fn take(&self, key: EndpointKey, purpose: &ConnectionUse) -> Option<Connection> {
        let now = now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(&key)?;
        connections.retain(|connection| connection.is_usable(1.0, now));
        // The most recently used connection is the least likely to have been closed.
        let place = connections.iter().rposition(|connection| {
            connection.is_usable(purpose.idle_share, now) && !connection.may_mislead(purpose)
        })?;
        Some(connections.remove(place))
    }

    /// Sends a request over an idle connection to the server, or over a new one, and waits for
    /// the head of the response. `opened` is called once a new one is open.
    ///
    /// # Errors
    ///
    /// If no connection can be opened, or the request fails on it.
    pub async fn send(
        &self,
        key: EndpointKey,
        address: SocketAddr,
        purpose: &ConnectionUse<'_>,
        build: impl Fn() -> Request<Payload>,
        opened: impl FnOnce(),
    ) -> Result<(Response<Incoming>, Connection), CallError> {
        if let Some(mut connection) = self.take(key, purpose) {
            match connection.send(build()).await {
                Ok(response) => return Ok((response, connection)),
                Err(CallError::NotSent) => {}
                Err(error) => return Err(error),
            }
        }
        let mut connection = Connection::open(address, CONNECT_TIMEOUT).await?;
        opened();
        let response = connection.send(build()).await?;
        Ok((response, connection))
    }

    /// Drops all connections to the endpoint.
    pub fn remove(&self, key: EndpointKey) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.remove(&key);
    }

    /// Returns a connection to the pool, unless it must not be used again or the pool already
    /// holds `max_idle` usable connections to the endpoint.
    pub fn put(&self, key: EndpointKey, mut connection: Connection, max_idle: usize) {
        if connection.has_unnamed_response() {
            return;
        }
        connection.rest();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(key).or_default();
        let now = now();
        connections.retain(|connection| connection.is_usable(1.0, now));
        if connections.len() < max_idle {
            connections.push(connection);
        }
    }
}
