//! What the head of a response tells of its request: whether it is the response to that one, and
//! whether the request has run.

use http::StatusCode;

use crate::control::{Grant, RunEnd};
use crate::dialect::ResponseHead;
use crate::exchange::Exchange;
use crate::http_client::Connection;

/// Why a response may belong to another request: faulty endpoints write some responses twice,
/// the second time where the next response on the connection is expected. None if it belongs
/// to this request.
pub fn doubt(
    exchange: &Exchange,
    status: StatusCode,
    head: &ResponseHead,
    connection: &Connection,
) -> Option<&'static str> {
    match (&head.request_id, &exchange.head.request_id) {
        (Some(found), Some(sent)) if found != sent => Some("it bears another id"),
        (Some(_), None) if connection.is_reused() => Some("it bears an id"),
        // Refusals bear none at times; `Connection::record_refusal` keeps their copies apart.
        (None, Some(_)) if connection.is_reused() && !proves_not_run(status, head) => {
            Some("it bears no id")
        }
        _ => None,
    }
}

/// True if the response proves that the request did not run.
pub fn proves_not_run(status: StatusCode, head: &ResponseHead) -> bool {
    status == StatusCode::MISDIRECTED_REQUEST
        || (head.not_run && matches!(status.as_u16(), 408 | 429 | 503))
}

/// Why an endpoint did not run the request, given the head of its refusal.
pub fn not_run_reason(
    status: StatusCode,
    head: &ResponseHead,
    grant: &Grant,
    exchange: &Exchange,
) -> RunEnd {
    if status == StatusCode::MISDIRECTED_REQUEST {
        let same = head
            .instance
            .as_deref()
            .is_none_or(|id| id == &*grant.endpoint.id);
        return if same && grant.weights.is_some() {
            RunEnd::WrongWeights(
                head.weights
                    .filter(|version| Some(*version) != grant.weights),
            )
        } else {
            RunEnd::WrongInstance
        };
    }
    if exchange.head.model.is_some() {
        RunEnd::Reloading
    } else {
        RunEnd::Full
    }
}
