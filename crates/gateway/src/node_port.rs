//! The port for other nodes: transfers of topic copies, and requests that they hand on.
//!
//! The first byte tells which: a transfer begins with the length of a short frame, so with
//! a zero byte, and a request with the name of its method.

use std::sync::Arc;
use std::time::Duration;

use http::Request;
use hyper::body::Incoming;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::timeout;

use crate::connection_limit::ConnectionLimit;
use crate::exchange::ProxyContext;
use crate::handover;
use crate::metrics::Metrics;
use crate::peer_sync::Transfers;
use crate::receive_buffer;
use crate::server::{self, Client, ConnectionCount, ConnectionGuard};

/// Time for the first byte of a connection.
const FIRST_BYTE_TIMEOUT: Duration = Duration::from_secs(1);

/// Serves other nodes until the process ends. Once `shutdown` is true, connections are
/// closed as soon as they are idle.
pub async fn serve(
    listener: TcpListener,
    limit: ConnectionLimit,
    context: ProxyContext,
    metrics: Arc<Metrics>,
    connections: ConnectionCount,
    shutdown: watch::Receiver<bool>,
) {
    let transfers = Transfers::new(context.handle.clone());
    loop {
        let stream = server::accept(&listener).await;
        let limits = server::caller_limits(&context);
        let read_buffer = server::read_buffer(&limits);
        let Some(client) = server::enter(&limit, read_buffer, &stream, &metrics) else {
            continue;
        };
        // Connections take part in the bound of transfers until they turn out to be none.
        let place = transfers.place();
        let transfers = transfers.clone();
        let context = context.clone();
        let metrics = metrics.clone();
        let connections = connections.clone();
        let shutdown = shutdown.clone();
        tokio::spawn(async move {
            let byte = tokio::select! {
                byte = first_byte(&stream) => byte,
                () = client.closed() => return,
            };
            match byte {
                Some(byte) if byte != 0 => {
                    drop(place);
                    let guard = connections.enter();
                    serve_requests(stream, client, context, metrics, shutdown, guard).await;
                }
                None if place.is_some() => {
                    log::debug!("connection of a node closed without a byte");
                }
                Some(_) | None => {
                    client.running();
                    transfers.serve(stream, place).await;
                }
            }
        });
    }
}

async fn first_byte(stream: &TcpStream) -> Option<u8> {
    let mut byte = [0];
    let peeked = timeout(FIRST_BYTE_TIMEOUT, stream.peek(&mut byte)).await;
    matches!(peeked, Ok(Ok(1))).then_some(byte[0])
}

async fn serve_requests(
    stream: TcpStream,
    client: Client,
    context: ProxyContext,
    metrics: Arc<Metrics>,
    shutdown: watch::Receiver<bool>,
    guard: ConnectionGuard,
) {
    let limits = server::caller_limits(&context);
    let stream = receive_buffer::observe(stream, context.wide_buffers.clone());
    let handler = move |request: Request<Incoming>| {
        handover::receive(request, context.clone(), metrics.clone())
    };
    server::serve_connection(stream, client, limits, handler, shutdown, guard).await;
}
