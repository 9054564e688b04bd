//! HTTP servers of a node.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

use crate::catalog::CallerLimits;
use crate::connection_limit::{ConnectionLimit, Entered, RequestMark, Slot};
use crate::directory;
use crate::exchange::{Origin, ProxyContext};
use crate::limited_log::LimitedLog;
use crate::memory_plan::{MemoryPlan, Port};
use crate::metrics::{EventKind, Metrics};
use crate::receive_buffer;
use crate::request_handler;
use crate::response::{IncompleteBody, ResponseBody};

/// Margin by which a connection is kept beyond the idle timeout, so that the caller
/// closes it first.
const IDLE_MARGIN: Duration = Duration::from_secs(1);

/// `TCP_USER_TIMEOUT`: time after which unacknowledged data closes the connection.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(6);

/// Minimum buffer size that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

/// Send buffer of a connection, in bytes.
const SEND_BUFFER_BYTES: usize = 256 * 1024;

/// Maximum size of the buffers of a connection to an internal port, in bytes.
const INTERNAL_BUFFER_BYTES: usize = 16 * 1024;

/// Log of connections that are closed or refused because there are too many.
static CONNECTION_LOG: LimitedLog = LimitedLog::new();

/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Counter of the open connections of callers.
#[derive(Clone, Debug, Default)]
pub struct ConnectionCount(Arc<AtomicUsize>);

impl ConnectionCount {
    /// Number of open connections.
    pub fn count(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }

    /// Counts a connection until the guard is dropped.
    pub fn enter(&self) -> ConnectionGuard {
        self.0.fetch_add(1, Ordering::Relaxed);
        ConnectionGuard(self.clone())
    }
}

/// Guard of a counted connection.
#[derive(Debug)]
pub struct ConnectionGuard(ConnectionCount);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// An open connection of a client, among those that its port may have.
#[derive(Debug)]
pub struct Client {
    slot: Slot,
    address: Option<SocketAddr>,
}

impl Client {
    /// Completes when the connection must be closed in favor of another one.
    pub async fn closed(&self) {
        self.slot.closed().await;
    }

    /// Notes that the connection must not be closed in favor of another one.
    pub fn running(&self) {
        self.slot.request(self.address).running();
    }
}

/// Takes a place for a new connection. None if all others are in use, so that it must be closed.
/// `read_buffer` is the size in bytes to which its read buffer may grow.
pub fn enter(
    limit: &ConnectionLimit,
    read_buffer: usize,
    stream: &TcpStream,
    metrics: &Metrics,
) -> Option<Client> {
    let address = stream.peer_addr().ok();
    let (slot, outcome) = match limit.enter(read_buffer) {
        Entered::Free(slot) => {
            return Some(Client { slot, address });
        }
        Entered::Replaced(slot) => (Some(slot), "closed_idle"),
        Entered::Full => (None, "refused"),
    };
    metrics.count(EventKind::Connection, outcome);
    if let Some(suppressed) = CONNECTION_LOG.due() {
        log::warn!(client:? = address, port = limit.port(), outcome, suppressed; "too many connections");
    }
    Some(Client {
        slot: slot?,
        address,
    })
}

/// Response body that marks its connection as idle once it has been sent.
struct MarkedBody {
    body: ResponseBody,
    mark: RequestMark,
}

impl Body for MarkedBody {
    type Data = Bytes;
    type Error = IncompleteBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteBody>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for MarkedBody {
    fn drop(&mut self) {
        self.mark.ended();
    }
}

/// Opens the listening socket of a port. Connections wait to be accepted with a small receive
/// buffer.
///
/// # Errors
///
/// If the address cannot be bound.
pub fn listen(address: SocketAddr, port: Port, plan: MemoryPlan) -> std::io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => tokio::net::TcpSocket::new_v4()?,
        SocketAddr::V6(_) => tokio::net::TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.set_recv_buffer_size(port.unaccepted_buffer() as u32)?;
    socket.set_send_buffer_size(SEND_BUFFER_BYTES as u32)?;
    socket.bind(address)?;
    socket.listen(plan.backlog(port) as u32)
}

/// Accepts the next connection, retrying after errors.
pub async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                // The options are not essential; the connection works without them.
                let _ = stream.set_nodelay(true);
                let _ = SockRef::from(&stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT));
                return stream;
            }
            Err(error) => {
                log::warn!(error:% = error; "cannot accept a connection");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Serves callers until the process ends. Once `shutdown` is true, connections are
/// closed as soon as they are idle.
pub async fn serve_callers(
    listener: TcpListener,
    limit: ConnectionLimit,
    context: ProxyContext,
    metrics: Arc<Metrics>,
    connections: ConnectionCount,
    shutdown: watch::Receiver<bool>,
) {
    loop {
        let stream = accept(&listener).await;
        let limits = caller_limits(&context);
        let Some(client) = enter(&limit, read_buffer(&limits), &stream, &metrics) else {
            continue;
        };
        let context = context.clone();
        let metrics = metrics.clone();
        let guard = connections.enter();
        let stream = receive_buffer::observe(stream, context.wide_buffers.clone());
        let handler = move |request: Request<Incoming>| {
            let context = context.clone();
            let metrics = metrics.clone();
            async move { request_handler::serve(request, Origin::Caller, context, metrics).await }
        };
        tokio::spawn(serve_connection(
            stream,
            client,
            limits,
            handler,
            shutdown.clone(),
            guard,
        ));
    }
}

/// Limits of callers under the current configuration.
pub fn caller_limits(context: &ProxyContext) -> CallerLimits {
    let view = context.handle.view();
    let catalog = view.catalog.as_ref();
    catalog.map(|catalog| catalog.limits).unwrap_or_default()
}

/// Size in bytes to which the read buffer of a connection may grow under these limits.
pub fn read_buffer(limits: &CallerLimits) -> usize {
    (limits.header_bytes * 2).max(MIN_BUFFER_BYTES)
}

/// Serves one connection until it is closed. Once `shutdown` is true, it is closed as soon
/// as it is idle.
pub async fn serve_connection<S, F, R>(
    stream: S,
    client: Client,
    limits: CallerLimits,
    handler: F,
    mut shutdown: watch::Receiver<bool>,
    guard: ConnectionGuard,
) where
    S: AsyncRead + AsyncWrite + Unpin,
    F: Fn(Request<Incoming>) -> R,
    R: Future<Output = Response<ResponseBody>>,
{
    let _guard = guard;
    let service = service_fn(|mut request: Request<Incoming>| {
        let mark = client.slot.request(client.address);
        request.extensions_mut().insert(mark.clone());
        let response = handler(request);
        async move {
            let response = response.await;
            Ok::<_, Infallible>(response.map(|body| MarkedBody { body, mark }))
        }
    });
    let keep_alive = !*shutdown.borrow();
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .keep_alive(keep_alive)
        .header_read_timeout(limits.idle_time + IDLE_MARGIN)
        .max_buf_size(read_buffer(&limits))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let mut watching = keep_alive;
    loop {
        tokio::select! {
            result = connection.as_mut() => {
                if let Err(error) = result {
                    log::debug!(error:% = error; "connection of a caller or node failed");
                }
                return;
            }
            () = client.slot.closed() => return,
            changed = shutdown.changed(), if watching => {
                watching = false;
                if changed.is_ok() {
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
    }
}

/// Serves the directory port or the readiness port.
pub async fn serve_directory(listener: TcpListener, limit: ConnectionLimit, context: ProxyContext) {
    loop {
        let stream = accept(&listener).await;
        let Some(client) = enter(&limit, INTERNAL_BUFFER_BYTES, &stream, &context.metrics) else {
            continue;
        };
        let context = context.clone();
        let service = service_fn(move |request: Request<Incoming>| {
            let response = directory::respond(&request, &context);
            async move { Ok::<_, Infallible>(response) }
        });
        tokio::spawn(serve_internal_connection(stream, client, service));
    }
}

/// Serves the metrics port.
pub async fn serve_metrics(listener: TcpListener, limit: ConnectionLimit, metrics: Arc<Metrics>) {
    loop {
        let stream = accept(&listener).await;
        let Some(client) = enter(&limit, INTERNAL_BUFFER_BYTES, &stream, &metrics) else {
            continue;
        };
        let metrics = metrics.clone();
        let service = service_fn(move |_: Request<Incoming>| {
            let response = Response::new(crate::response::full_body(Bytes::from(metrics.text())));
            async move { Ok::<_, Infallible>(response) }
        });
        tokio::spawn(serve_internal_connection(stream, client, service));
    }
}

async fn serve_internal_connection<S>(stream: TcpStream, client: Client, service: S)
where
    S: hyper::service::Service<
            Request<Incoming>,
            Response = Response<ResponseBody>,
            Error = Infallible,
        >,
{
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(CallerLimits::default().idle_time)
        .max_buf_size(INTERNAL_BUFFER_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let served = tokio::select! {
        served = connection => served,
        () = client.slot.closed() => return,
    };
    if let Err(error) = served {
        log::debug!(error:% = error; "connection failed");
    }
}
