//! HTTP/1.1 server whose connections can be closed, silenced and frozen.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use http::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::runtime::Handle;
use tokio::time::{Instant, sleep, sleep_until};
use tokio_util::sync::CancellationToken;

use crate::error::StandinError;
use crate::http::HandlerResult;

/// Delay before the next attempt to rebind the address after a crash, or to
/// accept after an error.
const RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// Listen backlog of the socket that is bound again after a crash.
const LISTEN_BACKLOG: u32 = 1024;

/// Locks a mutex, ignoring poisoning: the data stays valid if a holder panics.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Blocks reads and writes of a set of connections while it is closed.
#[derive(Default)]
struct Gate {
    state: Mutex<GateState>,
}

#[derive(Default)]
struct GateState {
    closed: bool,
    wakers: Vec<Waker>,
}

impl Gate {
    fn close(&self) {
        lock(&self.state).closed = true;
    }

    fn open(&self) {
        let mut state = lock(&self.state);
        state.closed = false;
        state.wakers.drain(..).for_each(Waker::wake);
    }

    fn poll_open(&self, cx: &Context<'_>) -> Poll<()> {
        let mut state = lock(&self.state);
        if !state.closed {
            return Poll::Ready(());
        }
        if !state.wakers.iter().any(|w| w.will_wake(cx.waker())) {
            state.wakers.push(cx.waker().clone());
        }
        Poll::Pending
    }
}

/// A connection that reads and writes only while both gates are open.
struct GatedStream {
    tcp: TcpStream,
    silence: Arc<Gate>,
    freeze: Arc<Gate>,
}

impl GatedStream {
    fn poll_open(&self, cx: &Context<'_>) -> Poll<()> {
        match self.silence.poll_open(cx) {
            Poll::Ready(()) => self.freeze.poll_open(cx),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl AsyncRead for GatedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.poll_open(cx).is_pending() {
            return Poll::Pending;
        }
        Pin::new(&mut self.tcp).poll_read(cx, buf)
    }
}

impl AsyncWrite for GatedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.poll_open(cx).is_pending() {
            return Poll::Pending;
        }
        Pin::new(&mut self.tcp).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.poll_open(cx).is_pending() {
            return Poll::Pending;
        }
        Pin::new(&mut self.tcp).poll_shutdown(cx)
    }
}

/// Fault controls for all connections of one server.
#[derive(Clone)]
pub(crate) struct Connections {
    /// Runs the timers of the controls, which may be called from any thread.
    runtime: Handle,
    stop: CancellationToken,
    freeze: Arc<Gate>,
    state: Arc<Mutex<ConnectionState>>,
}

#[derive(Default)]
struct ConnectionState {
    cut: CancellationToken,
    silence: Arc<Gate>,
    /// How long to refuse connections after the cut in progress.
    downtime: Option<Duration>,
    /// When the longest freeze ends.
    frozen_until: Option<Instant>,
}

impl Connections {
    /// Creates the controls of a server on the current runtime.
    pub(crate) fn new() -> Self {
        Self {
            runtime: Handle::current(),
            stop: CancellationToken::new(),
            freeze: Arc::default(),
            state: Arc::default(),
        }
    }

    /// Token that is cancelled when the server stops.
    pub(crate) fn stop_token(&self) -> CancellationToken {
        self.stop.clone()
    }

    /// Closes all connections; new ones are accepted immediately.
    pub(crate) fn cut(&self) {
        Self::cut_locked(&mut lock(&self.state));
    }

    /// Closes all connections and refuses new ones for `downtime`.
    pub(crate) fn cut_for(&self, downtime: Duration) {
        let mut state = lock(&self.state);
        state.downtime = Some(downtime);
        state.frozen_until = None;
        self.freeze.open();
        Self::cut_locked(&mut state);
    }

    fn cut_locked(state: &mut ConnectionState) {
        state.cut.cancel();
        state.cut = CancellationToken::new();
    }

    /// Keeps existing connections open but permanently stops their traffic.
    pub(crate) fn silence(&self) {
        let mut state = lock(&self.state);
        state.silence.close();
        state.silence = Arc::default();
    }

    /// Stops the traffic of existing and new connections for `span`.
    pub(crate) fn freeze_for(&self, span: Duration) {
        let until = Instant::now() + span;
        let mut state = lock(&self.state);
        state.frozen_until = state.frozen_until.max(Some(until));
        self.freeze.close();
        drop(state);
        let connections = self.clone();
        self.runtime.spawn(async move {
            sleep_until(until).await;
            connections.end_freeze(until);
        });
    }

    /// Ends the freeze unless it has been extended beyond `until`.
    fn end_freeze(&self, until: Instant) {
        let mut state = lock(&self.state);
        if state.frozen_until == Some(until) {
            state.frozen_until = None;
            self.freeze.open();
        }
    }
}

/// A listening server; dropping it closes the socket and all connections.
pub(crate) struct Server {
    addr: SocketAddr,
    connections: Connections,
}

impl Server {
    /// Binds the address and spawns a task that serves requests with `handler`.
    pub(crate) async fn start<H, F>(
        listen: SocketAddr,
        connections: Connections,
        handler: H,
    ) -> Result<Self, StandinError>
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = HandlerResult> + Send + 'static,
    {
        let listen_error = |source| StandinError::Listen {
            addr: listen,
            source,
        };
        let listener = TcpListener::bind(listen).await.map_err(listen_error)?;
        let addr = listener.local_addr().map_err(listen_error)?;
        tokio::spawn(accept(listener, addr, connections.clone(), handler));
        Ok(Self { addr, connections })
    }

    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.connections.stop.cancel();
    }
}

async fn accept<H, F>(
    mut listener: TcpListener,
    addr: SocketAddr,
    connections: Connections,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = HandlerResult> + Send + 'static,
{
    loop {
        let cut = lock(&connections.state).cut.clone();
        let downtime = lock(&connections.state).downtime.take();
        if let Some(downtime) = downtime {
            drop(listener);
            let Some(bound) = rebind_after(addr, downtime, &connections.stop).await else {
                return;
            };
            listener = bound;
        }
        let accepted = tokio::select! {
            () = connections.stop.cancelled() => return,
            () = cut.cancelled() => continue,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((tcp, _)) => spawn_connection(tcp, cut, &connections, handler.clone()),
            // Out of file descriptors or an aborted handshake; a later accept may
            // succeed.
            Err(_) => sleep(RETRY_INTERVAL).await,
        }
    }
}

/// Refuses connections for `downtime`, then listens again. Returns `None` if the
/// server stops in the meantime.
async fn rebind_after(
    addr: SocketAddr,
    downtime: Duration,
    stop: &CancellationToken,
) -> Option<TcpListener> {
    let up = Instant::now() + downtime;
    while !stop.is_cancelled() {
        // A socket that is bound but does not listen refuses connections and
        // prevents another process from taking the port.
        if let Ok(socket) = bind_socket(addr) {
            tokio::select! {
                () = stop.cancelled() => return None,
                () = sleep_until(up) => {}
            }
            if let Ok(listener) = socket.listen(LISTEN_BACKLOG) {
                return Some(listener);
            }
        }
        sleep(RETRY_INTERVAL).await;
    }
    None
}

fn bind_socket(addr: SocketAddr) -> io::Result<TcpSocket> {
    let socket = match addr {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    // Connections of the previous listener may still occupy the port.
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    Ok(socket)
}

fn spawn_connection<H, F>(
    tcp: TcpStream,
    cut: CancellationToken,
    connections: &Connections,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = HandlerResult> + Send + 'static,
{
    // If TCP_NODELAY can't be set, small writes are only delayed.
    let _ = tcp.set_nodelay(true);
    let stream = GatedStream {
        tcp,
        silence: lock(&connections.state).silence.clone(),
        freeze: connections.freeze.clone(),
    };
    let stop = connections.stop.clone();
    tokio::spawn(async move {
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .serve_connection(TokioIo::new(stream), service_fn(handler));
        tokio::select! {
            () = stop.cancelled() => {}
            () = cut.cancelled() => {}
            // An error affects only this client, which sees it as well.
            _ = connection => {}
        }
    });
}
