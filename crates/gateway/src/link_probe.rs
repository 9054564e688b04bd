//! Probes of the path to an endpoint: a connect without a request.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use crate::connection_pool::Pool;
use crate::control::{Event, Handle};
use crate::endpoint::Endpoint;
use crate::http_client::{CONNECT_TIMEOUT, Connection};

/// Time for which a new connection must stay open: some paths accept connections and
/// reset them at once.
const HOLD_TIME: Duration = Duration::from_millis(50);

/// Connects to an endpoint and reports whether that succeeded. The connection goes to the
/// pool, which keeps up to `max_idle`; if there is none, those in the pool are dropped.
pub async fn probe(handle: Handle, pool: Pool, endpoint: Arc<Endpoint>, max_idle: usize) {
    let key = endpoint.key();
    let connection = open(&endpoint).await;
    let reached = connection.is_some();
    match connection {
        Some(connection) => pool.put(key, connection, max_idle),
        None => pool.remove(key),
    }
    handle.send(Event::EndpointProbed(key, reached));
}

async fn open(endpoint: &Endpoint) -> Option<Connection> {
    let connection = Connection::open(endpoint.address, CONNECT_TIMEOUT).await;
    let connection = connection.ok()?;
    sleep(HOLD_TIME).await;
    connection.is_open().then_some(connection)
}
