//! TCP proxy that injects faults between two ends.

use std::net::SocketAddr;

use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use crate::error::StandinError;

/// A running proxy; dropping it closes the socket and all connections.
pub struct Handle {
    addr: SocketAddr,
    stop: CancellationToken,
}

impl Handle {
    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

/// Starts a proxy that forwards connections on `listen` to `target`.
///
/// # Errors
///
/// Fails when `listen` cannot be bound.
pub async fn start(listen: SocketAddr, target: SocketAddr) -> Result<Handle, StandinError> {
    let listen_error = |source| StandinError::Listen {
        addr: listen,
        source,
    };
    let listener = TcpListener::bind(listen).await.map_err(listen_error)?;
    let addr = listener.local_addr().map_err(listen_error)?;
    let stop = CancellationToken::new();
    tokio::spawn(accept(listener, target, stop.clone()));
    Ok(Handle { addr, stop })
}

async fn accept(listener: TcpListener, target: SocketAddr, stop: CancellationToken) {
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        if let Ok((client, _)) = accepted {
            tokio::spawn(forward(client, target, stop.clone()));
        }
    }
}

async fn forward(mut client: TcpStream, target: SocketAddr, stop: CancellationToken) {
    let Ok(mut upstream) = TcpStream::connect(target).await else {
        return;
    };
    // Failing to switch off Nagle's algorithm only delays small writes.
    let _ = client.set_nodelay(true);
    let _ = upstream.set_nodelay(true);
    tokio::select! {
        () = stop.cancelled() => {}
        // A failure of either end closes both, which is what the ends see too.
        _ = copy_bidirectional(&mut client, &mut upstream) => {}
    }
}
