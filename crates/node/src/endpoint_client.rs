//! HTTP client for engines and services.

use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::de::{DeserializeOwned, IgnoredAny};
use thiserror::Error;

/// Largest accepted response body of an endpoint that is read in full.
pub const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// Time after which an idle connection is closed.
const POOL_IDLE_TIMEOUT_MS: u64 = 5_000;

/// Reason why an endpoint gave no usable response.
#[derive(Debug, Error)]
pub enum EndpointError {
    /// The connection could not be established, so nothing was sent.
    #[error("cannot connect to {address}: {source}")]
    Connect {
        /// Address of the endpoint.
        address: String,
        /// Error of the connector.
        source: hyper_util::client::legacy::Error,
    },
    /// The connection failed after the request may have been sent.
    #[error("connection to {address} failed: {source}")]
    ConnectionLost {
        /// Address of the endpoint.
        address: String,
        /// Error of the HTTP client.
        source: hyper_util::client::legacy::Error,
    },
    /// No response arrived before the timeout.
    #[error("no answer from {address} within {ms} ms")]
    Timeout {
        /// Address of the endpoint.
        address: String,
        /// Timeout in milliseconds.
        ms: u64,
    },
    /// The response body cannot be read or decoded.
    #[error("unreadable answer from {address}: {source}")]
    Body {
        /// Address of the endpoint.
        address: String,
        /// Error of the body reader or decoder.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// The request cannot be built.
    #[error("cannot form a request: {0}")]
    InvalidRequest(#[from] http::Error),
}

impl EndpointError {
    /// Returns true if the request certainly never left this process.
    pub fn not_sent(&self) -> bool {
        matches!(
            self,
            EndpointError::Connect { .. } | EndpointError::InvalidRequest(_)
        )
    }
}

/// Client for engines, with kept-alive connections, and for calls that may run
/// at most once, with a fresh connection each.
#[derive(Clone)]
pub struct EndpointClient {
    pooled: Client<HttpConnector, Full<Bytes>>,
    unpooled: Client<HttpConnector, Full<Bytes>>,
}

/// Connection policy of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Connection {
    /// Reuses a pooled connection or opens one.
    Pooled,
    /// Opens a new connection for this request alone.
    Unpooled,
}

impl EndpointClient {
    /// Creates a client with a connect timeout of `connect_ms`.
    pub fn new(connect_ms: u64) -> Self {
        let build_client = |idle_connections| {
            let mut connector = HttpConnector::new();
            connector.set_connect_timeout(Some(Duration::from_millis(connect_ms)));
            connector.set_nodelay(true);
            Client::builder(TokioExecutor::new())
                .pool_timer(TokioTimer::new())
                .pool_idle_timeout(Duration::from_millis(POOL_IDLE_TIMEOUT_MS))
                .pool_max_idle_per_host(idle_connections)
                // A retry by the client could run an at-most-once call twice.
                .retry_canceled_requests(false)
                .build(connector)
        };
        Self {
            pooled: build_client(64),
            unpooled: build_client(0),
        }
    }

    /// Sends a request and waits at most `wait_ms` for the response headers.
    ///
    /// # Errors
    ///
    /// [`EndpointError::not_sent`] tells whether the request may have been sent.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
        connection: Connection,
        wait_ms: u64,
    ) -> Result<Response<Incoming>, EndpointError> {
        let address = request
            .uri()
            .authority()
            .map_or_else(String::new, ToString::to_string);
        let client = match connection {
            Connection::Pooled => &self.pooled,
            Connection::Unpooled => &self.unpooled,
        };
        let answer = client.request(request);
        match tokio::time::timeout(Duration::from_millis(wait_ms), answer).await {
            Err(_) => Err(EndpointError::Timeout {
                address,
                ms: wait_ms,
            }),
            Ok(Err(source)) if source.is_connect() => {
                Err(EndpointError::Connect { address, source })
            }
            Ok(Err(source)) => Err(EndpointError::ConnectionLost { address, source }),
            Ok(Ok(response)) => Ok(response),
        }
    }

    /// Reads the complete body of a response, of at most `max_bytes`, within `wait_ms`.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is truncated, too large or late. A body whose end
    /// is not marked is whole if it is JSON.
    pub async fn read(
        address: &str,
        response: Response<Incoming>,
        max_bytes: usize,
        wait_ms: u64,
    ) -> Result<Bytes, EndpointError> {
        let end_marked = marks_end(&response);
        let body = Limited::new(response.into_body(), max_bytes).collect();
        let unreadable = |source| EndpointError::Body {
            address: address.to_owned(),
            source,
        };
        let body = tokio::time::timeout(Duration::from_millis(wait_ms), body)
            .await
            .map_err(|_| EndpointError::Timeout {
                address: address.to_owned(),
                ms: wait_ms,
            })?
            .map_err(unreadable)?
            .to_bytes();
        if !end_marked {
            serde_json::from_slice::<IgnoredAny>(&body)
                .map_err(|error| unreadable(error.into()))?;
        }
        Ok(body)
    }

    /// Fetches a JSON document with `GET`.
    ///
    /// # Errors
    ///
    /// Returns an error if no response arrives within `wait_ms` or it does not decode
    /// as `T`.
    pub async fn get_json<T: DeserializeOwned>(
        &self,
        address: &str,
        path: &str,
        wait_ms: u64,
    ) -> Result<T, EndpointError> {
        let request = Request::get(format!("http://{address}{path}")).body(Full::default())?;
        let response = self.send(request, Connection::Pooled, wait_ms).await?;
        let body = Self::read(address, response, MAX_RESPONSE_BYTES, wait_ms).await?;
        serde_json::from_slice(&body).map_err(|source| EndpointError::Body {
            address: address.to_owned(),
            source: Box::new(source),
        })
    }
}

/// True if the end of the body is marked. Otherwise it ends with the connection, also
/// when the endpoint breaks off.
fn marks_end(response: &Response<Incoming>) -> bool {
    let length = response.body().size_hint().exact();
    length.is_some() || response.headers().contains_key(header::TRANSFER_ENCODING)
}

/// Builds a `POST` request with a JSON body.
///
/// # Errors
///
/// Returns an error if the address or path is not valid in a URL.
pub fn post_json(
    address: &str,
    path: &str,
    body: Vec<u8>,
) -> Result<Request<Full<Bytes>>, http::Error> {
    Request::post(format!("http://{address}{path}"))
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body)))
}
