//! Whether the end of a response's body, as its connection reports it, is that of the
//! response.

use std::time::Duration;

use http::HeaderMap;
use tokio::task::JoinHandle;

use crate::clock::{Millis, now};
use crate::connection_end::ConnectionEnd;
use crate::endpoint::Endpoint;
use crate::exchange::{Exchange, ProxyContext};
use crate::http_client::{BodyFraming, CONNECT_TIMEOUT, CallError, Connection};
use crate::metrics::EventKind;
use crate::orders::{self, Liveness};

/// Multiple of the route's latency target from the sending of a request, after which the
/// head of its response may have been held up until after a restart of the endpoint.
const MAX_HEAD_TARGETS: f64 = 3.5;

/// Why a body that ended without an error of its connection is not whole.
#[derive(Debug, thiserror::Error)]
pub enum EarlyEnd {
    /// Its last bytes are no complete event.
    #[error("it ended inside an event")]
    InsideEvent,
    /// Nothing marks its end, and the endpoint no longer responds or has restarted.
    #[error("its end is not marked and its endpoint no longer runs")]
    EndpointGone,
    /// Nothing marks its end, and the endpoint may have restarted while the process stood
    /// still.
    #[error("its end is not marked and the process stood still")]
    StoodStill,
    /// Nothing marks its end, and the request had not been written to its end.
    #[error("its end is not marked and the request was not written to its end")]
    RequestUnwritten,
    /// Nothing marks its end, and the endpoint closed the connection before it had read the
    /// request.
    #[error("its end is not marked and its endpoint did not read the request to its end")]
    RequestUnread,
    /// Nothing marks its end, and the endpoint may not have read the request.
    #[error("its end is not marked and its endpoint may not have read the request to its end")]
    RequestInDoubt,
    /// Nothing marks its end, and it began so late that the endpoint may have restarted
    /// before.
    #[error("its end is not marked and it began late")]
    BegunLate,
}

/// A second connection to the endpoint of a response whose end nothing marks, opened as
/// soon as the response begins. It does not outlive the endpoint, so it shows whether the
/// endpoint was still there at the end, also if that end was held up until after a restart.
#[derive(Debug)]
pub struct Witness {
    connection: JoinHandle<Result<Connection, CallError>>,
    /// When the request was sent.
    sent_at: Millis,
    /// True if the response began late.
    is_late: bool,
}

impl Witness {
    /// Opens the connection if the end of this response, which has just begun, is not
    /// marked. `target` is the latency target of its route.
    pub fn open(
        headers: &HeaderMap,
        endpoint: &Endpoint,
        sent_at: Millis,
        target: Duration,
    ) -> Option<Self> {
        if BodyFraming::of(headers) != BodyFraming::UntilClose {
            return None;
        }
        let took_ms = now().saturating_sub(sent_at) as f64;
        Some(Self {
            connection: tokio::spawn(Connection::open(endpoint.address, CONNECT_TIMEOUT)),
            sent_at,
            is_late: took_ms > target.as_millis() as f64 * MAX_HEAD_TARGETS,
        })
    }

    /// Checks that the endpoint has read the request and has outlived its response, which came
    /// over `connection`.
    ///
    /// # Errors
    ///
    /// If it has not, or that cannot be told.
    pub async fn check(
        self,
        exchange: &Exchange,
        context: &ProxyContext,
        endpoint: &Endpoint,
        connection: Connection,
    ) -> Result<(), EarlyEnd> {
        if !connection.has_written() {
            return Err(EarlyEnd::RequestUnwritten);
        }
        let Ok(Ok(witness)) = self.connection.await else {
            return Err(EarlyEnd::EndpointGone);
        };
        match orders::liveness(context.dialect, endpoint, Some(witness)).await {
            Liveness::Gone => return Err(EarlyEnd::EndpointGone),
            // The connection may have been opened after a restart in these cases.
            Liveness::Responds if self.is_late => return Err(EarlyEnd::BegunLate),
            Liveness::Responds if context.handle.may_have_stood_still(self.sent_at).await => {
                return Err(EarlyEnd::StoodStill);
            }
            Liveness::Same | Liveness::Responds => {}
        }
        check_read(exchange, context, endpoint, connection).await
    }
}

/// Checks that the body of a stream is whole, given the headers of its response and the number
/// of bytes after its last complete event. Returns its connection unless the body ended with it.
///
/// # Errors
///
/// If it is not whole. A connection ends in the same way at the end of an unframed body and when
/// its endpoint crashes or gives up, so such a body needs an endpoint that still runs and has
/// read the request.
pub async fn check(
    exchange: &Exchange,
    context: &ProxyContext,
    endpoint: &Endpoint,
    headers: &HeaderMap,
    partial_bytes: usize,
    connection: Connection,
) -> Result<Option<Connection>, EarlyEnd> {
    if partial_bytes > 0 {
        return Err(EarlyEnd::InsideEvent);
    }
    if BodyFraming::of(headers) != BodyFraming::UntilClose {
        return Ok(Some(connection));
    }
    if !connection.has_written() {
        return Err(EarlyEnd::RequestUnwritten);
    }
    if !orders::still_runs(context.dialect, endpoint).await {
        return Err(EarlyEnd::EndpointGone);
    }
    check_read(exchange, context, endpoint, connection).await?;
    Ok(None)
}

/// Checks that the endpoint had read the request when it closed the connection.
async fn check_read(
    exchange: &Exchange,
    context: &ProxyContext,
    endpoint: &Endpoint,
    connection: Connection,
) -> Result<(), EarlyEnd> {
    let Some(end) = connection.end().await else {
        return Ok(());
    };
    log::info!(request = &*exchange.request_id, endpoint = &*endpoint.id, end = end.as_str(),
        sent_bytes = exchange.body.len(); "response without a marked end has ended");
    context.metrics.count(EventKind::UnmarkedEnd, end.as_str());
    match end {
        ConnectionEnd::Closed => Ok(()),
        ConnectionEnd::Reset => Err(EarlyEnd::RequestUnread),
        ConnectionEnd::HalfOpen | ConnectionEnd::Unknown => Err(EarlyEnd::RequestInDoubt),
    }
}
