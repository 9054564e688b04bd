//! What endpoints say of themselves in the heads of their responses, passed on to the control thread.

use http::StatusCode;

use crate::control::notices::Notice;
use crate::control::{Event, Grant};
use crate::dialect::{LimitStatement, ResponseHead};
use crate::exchange::{Exchange, ProxyContext};

/// True unless another endpoint at the address may have refused the request.
fn is_own(grant: &Grant, status: StatusCode, head: &ResponseHead) -> bool {
    status != StatusCode::MISDIRECTED_REQUEST
        || head.instance.as_deref() == Some(&*grant.endpoint.id)
}

/// Tells the control thread that the endpoint wants a pause, if it does.
pub fn pass_on_pause(
    context: &ProxyContext,
    grant: &Grant,
    status: StatusCode,
    head: &ResponseHead,
) {
    if let Some(pause) = head
        .retry_after
        .filter(|_| status == StatusCode::SERVICE_UNAVAILABLE)
    {
        let endpoint = grant.endpoint.clone();
        context
            .handle
            .send(Event::Noticed(endpoint, Notice::Pause(pause)));
    }
}

/// Tells the control thread that the endpoint is leaving, if it says so. It does in all its
/// responses, also in one to another request.
pub fn pass_on_leaving(
    context: &ProxyContext,
    grant: &Grant,
    status: StatusCode,
    head: &ResponseHead,
) {
    if head.leaving && is_own(grant, status, head) {
        let endpoint = grant.endpoint.clone();
        context
            .handle
            .send(Event::Noticed(endpoint, Notice::Leaving));
    }
}

/// Tells the control thread what the endpoint states about its limits. A response that
/// states none counts only if the request was sent under a limit.
pub fn pass_on_limits(
    exchange: &Exchange,
    context: &ProxyContext,
    grant: &Grant,
    status: StatusCode,
    head: &ResponseHead,
) {
    if !is_own(grant, status, head) || !(head.signed || head.not_run) {
        return;
    }
    let statements: [(_, _, fn(_, _) -> _); 2] = [
        (head.limit, grant.limit.is_some(), Event::LimitStated),
        (head.brittle, grant.is_brittle, Event::BrittlenessStated),
    ];
    for (statement, was_known, event) in statements {
        let limit = match statement {
            LimitStatement::PerSecond(limit) => Some(limit),
            LimitStatement::Absent if was_known => None,
            LimitStatement::Absent => continue,
            LimitStatement::Unreadable => {
                log::warn!(request = &*exchange.request_id, endpoint = &*grant.endpoint.id; "endpoint states an unreadable limit; ignored");
                continue;
            }
        };
        context.handle.send(event(grant.endpoint.clone(), limit));
    }
}
