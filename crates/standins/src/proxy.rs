//! TCP proxy that injects faults between a client and a target.
//!
//! [`start`] forwards one route. [`start_control`] serves many routes from one
//! process, over HTTP:
//!
//! - `POST /standin/routes` with `{"listen","target"}` answers `{"listen"}`, and
//!   `GET /standin/routes` lists all routes
//! - `PUT /standin/routes/{listen}/faults` replaces the [`Faults`] of a route
//! - `POST /standin/routes/{listen}/silence` and `…/cut` stop the traffic of the
//!   existing connections or close them
//! - `DELETE /standin/routes/{listen}`

use std::future::pending;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt, ReadHalf, WriteHalf, split};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, sleep_until};
use tokio_util::sync::CancellationToken;

use crate::error::StandinError;
use crate::faults::{ChunkAction, ConnectionFaults, RouteFaults};
pub use crate::faults::{Direction, DirectionFaults, Faults, NewConnections};
pub use crate::proxy_control::{ControlHandle, start_control};

/// Maximum number of bytes of one read.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Maximum number of chunks queued per direction of a connection.
const MAX_QUEUED_CHUNKS: usize = 256;

/// Handle of a running route; dropping it closes the socket and all connections.
pub struct Handle {
    addr: SocketAddr,
    target: SocketAddr,
    route: Arc<RouteFaults>,
    stop: CancellationToken,
}

impl Handle {
    /// The listen address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// The address that connections are forwarded to.
    pub fn target(&self) -> SocketAddr {
        self.target
    }

    /// Number of connections accepted so far.
    pub fn accepted(&self) -> u64 {
        self.route.accepted()
    }

    /// The current faults.
    pub fn faults(&self) -> Faults {
        self.route.faults()
    }

    /// Replaces all faults; the default is none.
    pub fn set_faults(&self, faults: Faults) {
        self.route.set(faults);
    }

    /// Changes some of the faults.
    pub fn change_faults(&self, change: impl FnOnce(&mut Faults)) {
        self.route.change(change);
    }

    /// Keeps existing connections open but permanently stops their traffic.
    pub fn silence_existing(&self) {
        self.route.silence_existing();
    }

    /// Resets existing connections, so that the client sees an error.
    pub fn reset_existing(&self) {
        self.route.reset_existing();
    }

    /// Closes existing connections, which the client sees as a regular end.
    pub fn cut_existing(&self) {
        self.route.cut_existing();
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
    let route = Arc::new(RouteFaults::new());
    tokio::spawn(accept(listener, target, route.clone(), stop.clone()));
    Ok(Handle {
        addr,
        target,
        route,
        stop,
    })
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    route: Arc<RouteFaults>,
    stop: CancellationToken,
) {
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((client, _)) = accepted else {
            continue;
        };
        if let Some(faults) = route.admit() {
            let (route, stop) = (route.clone(), stop.clone());
            // A second descriptor keeps the socket open until it is reset.
            let socket = SockRef::from(&client).try_clone();
            tokio::spawn(async move {
                let reset = tokio::select! {
                    () = stop.cancelled() => false,
                    () = faults.cut.cancelled() => false,
                    () = faults.reset.cancelled() => true,
                    () = forward(client, target, &route, &faults) => false,
                };
                if reset && let Ok(socket) = socket {
                    // Closing a socket without lingering resets it.
                    let _ = socket.set_linger(Some(Duration::ZERO));
                }
            });
        }
    }
}

async fn forward(
    client: TcpStream,
    target: SocketAddr,
    route: &RouteFaults,
    faults: &ConnectionFaults,
) {
    if faults.endless_head {
        send_endless_head(client).await;
        return;
    }
    let Ok(upstream) = TcpStream::connect(target).await else {
        return;
    };
    // If TCP_NODELAY can't be set, small writes are only delayed.
    let _ = client.set_nodelay(true);
    let _ = upstream.set_nodelay(true);
    let (client_read, client_write) = split(client);
    let (target_read, target_write) = split(upstream);
    let pump = |direction| Pump {
        direction,
        route,
        silence: faults.silence.clone(),
    };
    let (up, down) = (pump(Direction::Up), pump(Direction::Down));
    let up = up.run(client_read, target_write);
    let down = down.run(target_read, client_write);
    // An error in either direction closes both; an end of file closes only its own.
    let _ = tokio::try_join!(up, down);
}

/// Waits for a request and sends header lines until the client closes the connection.
async fn send_endless_head(mut client: TcpStream) {
    if !matches!(client.read(&mut [0]).await, Ok(1)) {
        return;
    }
    let line = b"padding: these bytes are no response\r\n";
    let mut sent = client.write_all(b"HTTP/1.1 200 OK\r\n").await;
    while sent.is_ok() {
        sent = client.write_all(line).await;
        tokio::task::yield_now().await;
    }
}

/// Error that closes both directions of a connection.
struct Closed;

/// Forwards one direction of a connection.
struct Pump<'a> {
    direction: Direction,
    route: &'a RouteFaults,
    silence: watch::Receiver<bool>,
}

impl Pump<'_> {
    async fn run(&self, from: ReadHalf<TcpStream>, to: WriteHalf<TcpStream>) -> Result<(), Closed> {
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_CHUNKS);
        tokio::try_join!(self.receive(from, sender), self.send(receiver, to))?;
        Ok(())
    }

    /// Reads chunks and queues them with the time at which they are due.
    async fn receive(
        &self,
        mut from: ReadHalf<TcpStream>,
        chunks: mpsc::Sender<(Instant, Bytes)>,
    ) -> Result<(), Closed> {
        let mut buffer = vec![0; READ_BUFFER_BYTES];
        loop {
            let len = from.read(&mut buffer).await;
            self.block_if_silenced().await;
            let len = len.map_err(|_| Closed)?;
            if len == 0 {
                return Ok(());
            }
            let due = Instant::now() + self.route.delay(self.direction);
            let chunk = Bytes::copy_from_slice(&buffer[..len]);
            chunks.send((due, chunk)).await.map_err(|_| Closed)?;
        }
    }

    /// Sends queued chunks when they are due, then shuts the write side down.
    async fn send(
        &self,
        mut chunks: mpsc::Receiver<(Instant, Bytes)>,
        mut to: WriteHalf<TcpStream>,
    ) -> Result<(), Closed> {
        let mut bytes_sent = 0;
        while let Some((due, chunk)) = chunks.recv().await {
            sleep_until(due).await;
            self.block_if_silenced().await;
            let len = chunk.len() as u64;
            let (bytes, cut) = match self.route.apply_faults(self.direction, chunk, bytes_sent) {
                ChunkAction::Send(bytes) => (bytes, false),
                ChunkAction::SendAndCut(bytes) => (bytes, true),
                ChunkAction::Await(swapped_chunk) => {
                    (swapped_chunk.await.map_err(|_| Closed)?, false)
                }
            };
            sleep(self.route.transfer_time(self.direction, bytes.len())).await;
            self.block_if_silenced().await;
            let written = to.write_all(&bytes).await;
            self.block_if_silenced().await;
            written.map_err(|_| Closed)?;
            if cut {
                return Err(Closed);
            }
            bytes_sent += len;
        }
        self.block_if_silenced().await;
        to.shutdown().await.map_err(|_| Closed)
    }

    /// Never returns on a silenced connection, so that its sockets stay open and
    /// neither end notices that the other one has closed.
    async fn block_if_silenced(&self) {
        if *self.silence.borrow() {
            pending::<()>().await;
        }
    }
}
