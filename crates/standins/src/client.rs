//! Minimal HTTP client for the calls from engines to the stores.

use bytes::Bytes;
use http::header::HOST;
use http::{Method, Request, StatusCode, Uri};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::net::TcpStream;

/// Why a call got no response.
#[derive(Debug, Error)]
pub(crate) enum CallError {
    #[error("not an http URL with a host and port")]
    Url,
    #[error("cannot connect")]
    Connect(#[from] std::io::Error),
    #[error("the connection broke")]
    Http(#[from] hyper::Error),
}

/// Sends one request over a new connection and reads the full response.
pub(crate) async fn send_request(
    method: Method,
    url: &str,
    body: Bytes,
) -> Result<(StatusCode, Bytes), CallError> {
    let uri: Uri = url.parse().map_err(|_| CallError::Url)?;
    let authority = uri.authority().ok_or(CallError::Url)?.as_str();
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(HOST, authority)
        .body(Full::new(body))
        .map_err(|_| CallError::Url)?;
    let tcp = TcpStream::connect(authority).await?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(tcp)).await?;
    let exchange = async {
        let response = sender.send_request(request).await?;
        let status = response.status();
        let bytes = response.into_body().collect().await?.to_bytes();
        Ok((status, bytes))
    };
    tokio::pin!(exchange);
    tokio::select! {
        result = &mut exchange => result,
        // The connection may end first, with the response already buffered.
        _ = connection => exchange.await,
    }
}
