//! Connections to endpoints and to the store.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use crate::clock::{Millis, now};
use crate::endpoint::EndpointKey;

/// Time after which unacknowledged bytes end a connection.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(4);

/// Time that an idle connection is kept when the other side names none, in ms.
const DEFAULT_IDLE_MS: Millis = 2_500;

/// Margin before the time that the other side names, in ms.
const IDLE_MARGIN_MS: Millis = 700;

/// A call that came to nothing.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// No connection came about; nothing was sent.
    #[error("no connection: {0}")]
    Connect(std::io::Error),
    /// No connection came about in time; nothing was sent.
    #[error("no connection in time")]
    ConnectTimeout,
    /// The connection was closed before the request was written.
    #[error("closed before the request was written")]
    NotSent,
    /// The connection failed after the request may have been sent.
    #[error("connection failed: {0}")]
    Broken(hyper::Error),
    /// The body of the answer is too large or broke off.
    #[error("answer cannot be read: {0}")]
    Body(String),
    /// No whole answer in time.
    #[error("no answer in time")]
    Timeout,
}

/// One connection. Dropping it closes it.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    idle_since: Millis,
    idle_for: Millis,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// When none comes about within `limit`.
    pub async fn open(address: SocketAddr, limit: Duration) -> Result<Self, CallError> {
        let stream = match timeout(limit, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(CallError::Connect(error)),
            Err(_) => return Err(CallError::ConnectTimeout),
        };
        // Without these options the connection works, only slower to notice loss.
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!(error:% = error; "no-delay not set");
        }
        if let Err(error) = SockRef::from(&stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT)) {
            log::debug!(error:% = error; "user timeout not set");
        }
        let (sender, connection) = http1::Builder::new()
            .handshake(TokioIo::new(stream))
            .await
            .map_err(CallError::Broken)?;
        let driver = tokio::spawn(async move {
            // The user of the connection sees the same error.
            let _ = connection.await;
        });
        Ok(Self {
            sender,
            driver: driver.abort_handle(),
            idle_since: now(),
            idle_for: DEFAULT_IDLE_MS,
        })
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// [`CallError::NotSent`] when nothing was written, else [`CallError::Broken`].
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, CallError> {
        if self.sender.ready().await.is_err() {
            return Err(CallError::NotSent);
        }
        self.sender
            .try_send_request(request)
            .await
            .map_err(|mut error| {
                if error.take_message().is_some() {
                    CallError::NotSent
                } else {
                    CallError::Broken(error.into_error())
                }
            })
    }

    /// Takes over the idle time that the other side named.
    pub fn set_idle(&mut self, idle: Option<Duration>) {
        if let Some(idle) = idle {
            self.idle_for = (idle.as_millis() as Millis).saturating_sub(IDLE_MARGIN_MS);
        }
    }

    /// True when another request may be sent on it.
    fn is_usable(&self, share: f64, now: Millis) -> bool {
        !self.sender.is_closed() && ((now - self.idle_since) as f64) < self.idle_for as f64 * share
    }
}

/// Makes one call on a connection that is kept in `slot` between calls.
///
/// # Errors
///
/// When there is no whole answer of at most `max_bytes` bytes within `limit`.
pub async fn call(
    slot: &mut Option<Connection>,
    address: SocketAddr,
    request: Request<Bytes>,
    limit: Duration,
    max_bytes: usize,
) -> Result<(u16, Bytes), CallError> {
    let whole = async {
        let mut connection = match slot
            .take()
            .filter(|connection| connection.is_usable(1.0, now()))
        {
            Some(connection) => connection,
            None => Connection::open(address, limit).await?,
        };
        let answer = connection.send(request.map(Full::new)).await?;
        let status = answer.status().as_u16();
        let body = Limited::new(answer.into_body(), max_bytes)
            .collect()
            .await
            .map_err(|error| CallError::Body(error.to_string()))?;
        connection.idle_since = now();
        *slot = Some(connection);
        Ok((status, body.to_bytes()))
    };
    timeout(limit, whole)
        .await
        .unwrap_or(Err(CallError::Timeout))
}

/// Idle connections to endpoints.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    idle: Arc<Mutex<BTreeMap<EndpointKey, Vec<Connection>>>>,
}

impl Pool {
    /// An idle connection of which at most `share` of its idle time is over.
    pub fn take(&self, key: EndpointKey, share: f64) -> Option<Connection> {
        let now = now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(&key)?;
        connections.retain(|connection| connection.is_usable(1.0, now));
        // The one used last is the least likely to be closed meanwhile.
        let usable = connections.last()?.is_usable(share, now);
        if usable { connections.pop() } else { None }
    }

    /// Keeps a connection for another request, unless there are `max_idle` already.
    pub fn put(&self, key: EndpointKey, mut connection: Connection, max_idle: usize) {
        connection.idle_since = now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(key).or_default();
        connections
            .retain(|connection| connection.is_usable(1.0, connection.idle_since.max(now())));
        if connections.len() < max_idle {
            connections.push(connection);
        }
    }
}
