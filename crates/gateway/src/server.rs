//! HTTP servers of a node.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

use crate::catalog::CallerLimits;
use crate::directory;
use crate::exchange::{Origin, ProxyContext};
use crate::metrics::Metrics;
use crate::request_handler;
use crate::response::ResponseBody;

/// Listen backlog.
const BACKLOG: u32 = 1_024;

/// Margin by which a connection is kept beyond the idle timeout, so that the caller
/// closes it first.
const IDLE_MARGIN: Duration = Duration::from_secs(1);

/// `TCP_USER_TIMEOUT`: time after which unacknowledged data closes the connection.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(6);

/// Minimum buffer size that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

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

/// Opens a listening socket.
///
/// # Errors
///
/// If the address cannot be bound.
pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => tokio::net::TcpSocket::new_v4()?,
        SocketAddr::V6(_) => tokio::net::TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
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
    context: ProxyContext,
    metrics: Arc<Metrics>,
    connections: ConnectionCount,
    shutdown: watch::Receiver<bool>,
) {
    loop {
        let stream = accept(&listener).await;
        let context = context.clone();
        let metrics = metrics.clone();
        let guard = connections.enter();
        let limits = caller_limits(&context);
        let handler = move |request: Request<Incoming>| {
            let context = context.clone();
            let metrics = metrics.clone();
            async move { request_handler::serve(request, Origin::Caller, context, metrics).await }
        };
        tokio::spawn(serve_connection(
            stream,
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

/// Serves one connection until it is closed. Once `shutdown` is true, it is closed as soon
/// as it is idle.
pub async fn serve_connection<F, R>(
    stream: TcpStream,
    limits: CallerLimits,
    handler: F,
    mut shutdown: watch::Receiver<bool>,
    guard: ConnectionGuard,
) where
    F: Fn(Request<Incoming>) -> R,
    R: Future<Output = Response<ResponseBody>>,
{
    let _guard = guard;
    let service = service_fn(|request| {
        let response = handler(request);
        async move { Ok::<_, Infallible>(response.await) }
    });
    let keep_alive = !*shutdown.borrow();
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .keep_alive(keep_alive)
        .header_read_timeout(limits.idle_time + IDLE_MARGIN)
        .max_buf_size((limits.header_bytes * 2).max(MIN_BUFFER_BYTES))
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
pub async fn serve_directory(listener: TcpListener, context: ProxyContext) {
    loop {
        let stream = accept(&listener).await;
        let context = context.clone();
        let service = service_fn(move |request: Request<Incoming>| {
            let response = directory::respond(&request, &context);
            async move { Ok::<_, Infallible>(response) }
        });
        tokio::spawn(serve_internal_connection(stream, service));
    }
}

/// Serves the metrics port.
pub async fn serve_metrics(listener: TcpListener, metrics: Arc<Metrics>) {
    loop {
        let stream = accept(&listener).await;
        let metrics = metrics.clone();
        let service = service_fn(move |_: Request<Incoming>| {
            let response = Response::new(crate::response::full_body(metrics.text().into()));
            async move { Ok::<_, Infallible>(response) }
        });
        tokio::spawn(serve_internal_connection(stream, service));
    }
}

async fn serve_internal_connection<S>(stream: TcpStream, service: S)
where
    S: hyper::service::Service<
            Request<Incoming>,
            Response = Response<ResponseBody>,
            Error = Infallible,
        >,
{
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(CallerLimits::default().idle_time)
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(error) = served {
        log::debug!(error:% = error; "connection failed");
    }
}
