//! Whether the end of a response's body, as its connection reports it, is that of the
//! response.

use http::HeaderMap;

use crate::dialect::Dialect;
use crate::endpoint::Endpoint;
use crate::http_client::BodyFraming;
use crate::orders;

/// Why a body that ended without an error of its connection is not whole.
#[derive(Debug, thiserror::Error)]
pub enum EarlyEnd {
    /// Its last bytes are no complete event.
    #[error("it ended inside an event")]
    InsideEvent,
    /// Nothing marks its end, and the endpoint no longer responds or has restarted.
    #[error("its end is not marked and its endpoint no longer runs")]
    EndpointGone,
}

/// Checks that a body is whole, given the headers of its response and the number of bytes
/// after its last complete event.
///
/// # Errors
///
/// If it is not. A connection ends in the same way at the end of an unframed body and when
/// its endpoint crashes, so such a body needs an endpoint that still runs.
pub async fn check(
    dialect: &Dialect,
    endpoint: &Endpoint,
    headers: &HeaderMap,
    partial_bytes: usize,
) -> Result<(), EarlyEnd> {
    if partial_bytes > 0 {
        return Err(EarlyEnd::InsideEvent);
    }
    if BodyFraming::of(headers) == BodyFraming::UntilClose
        && !orders::still_runs(dialect, endpoint).await
    {
        return Err(EarlyEnd::EndpointGone);
    }
    Ok(())
}
