//! Calls to engines: orders, reports and cache contents.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::HOST;
use http::{Response, StatusCode};

use crate::clock::now;
use crate::control::notices::Notice;
use crate::control::{Event, Handle};
use crate::dialect::{Dialect, EngineReport, OrderOutcome, WeightsOrder};
use crate::endpoint::{Endpoint, EndpointKey};
use crate::http_client::{CallError, CallLimits, Connection, call};

/// Timeout of a call to an engine.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// Timeout for connecting to an engine before an order.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Maximum size of a response, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 * 1024;

/// Maximum size of a response with cache events, in bytes.
const MAX_EVENTS_BYTES: usize = 2 * 1024 * 1024;

/// Sends an order unless its `not_after` has passed, and reports the outcome to the
/// control thread.
pub async fn send_order(dialect: &'static Dialect, handle: Handle, order: Box<WeightsOrder>) {
    let outcome = try_order(dialect, &order).await;
    handle.send(Event::OrderAnswered(order, outcome));
}

async fn try_order(dialect: &'static Dialect, order: &WeightsOrder) -> OrderOutcome {
    let Ok(connection) = Connection::open(order.engine.address, CONNECT_TIMEOUT).await else {
        return OrderOutcome::NotSent;
    };
    // The process may have been suspended while connecting.
    if now() >= order.not_after {
        return OrderOutcome::NotSent;
    }
    let request = (dialect.order_request)(order);
    match call(
        &mut Some(connection),
        order.engine.address,
        request,
        CallLimits::within(CALL_TIMEOUT, MAX_RESPONSE_BYTES),
    )
    .await
    {
        Ok(response) => (dialect.parse_order_response)(response.status().as_u16()),
        Err(CallError::NotSent) => OrderOutcome::NotSent,
        Err(error) => {
            log::warn!(engine = &*order.engine.id, error:% = error; "no response to an order");
            OrderOutcome::Unknown
        }
    }
}

/// Fetches an engine's report and passes it to the control thread.
pub async fn fetch_report(dialect: &'static Dialect, handle: Handle, engine: Arc<Endpoint>) {
    let report = read_report(dialect, &engine).await;
    handle.send(Event::EngineReported(engine.key(), report));
}

/// True if the endpoint responds to a call and has not restarted since its entry was
/// written.
pub async fn still_runs(dialect: &Dialect, endpoint: &Endpoint) -> bool {
    let response = call_report(dialect, endpoint).await;
    response.is_some_and(|response| is_of_incarnation(dialect, endpoint, &response))
}

/// True if this incarnation of the endpoint sent the response to a request for its report.
fn is_of_incarnation(dialect: &Dialect, endpoint: &Endpoint, response: &Response<Bytes>) -> bool {
    // Another endpoint may have taken over the address.
    if response.status() == StatusCode::MISDIRECTED_REQUEST {
        return false;
    }
    // Application servers reject the call. They, and engines that state no start time,
    // have another id after a restart.
    let report = (dialect.parse_report_response)(response.status().as_u16(), response.body());
    report.map_or(true, |report| {
        report.born == 0 || report.born == endpoint.start_time_ms
    })
}

/// Asks an endpoint whether it is leaving, which it says in all its responses, and passes
/// the answer of this incarnation to the control thread.
pub async fn ask_leaving(dialect: &'static Dialect, handle: Handle, endpoint: Arc<Endpoint>) {
    let Some(response) = call_report(dialect, &endpoint).await else {
        return;
    };
    if !is_of_incarnation(dialect, &endpoint, &response) {
        return;
    }
    let is_leaving = (dialect.response_head)(response.headers()).leaving;
    let notice = if is_leaving {
        Notice::Leaving
    } else {
        Notice::Staying
    };
    handle.send(Event::Noticed(endpoint, notice));
}

async fn read_report(dialect: &Dialect, engine: &Endpoint) -> Option<EngineReport> {
    let response = call_report(dialect, engine).await?;
    (dialect.parse_report_response)(response.status().as_u16(), response.body())
        .map_err(
            |error| log::warn!(engine = &*engine.id, error:% = error; "cannot decode an engine's report"),
        )
        .ok()
}

async fn call_report(dialect: &Dialect, endpoint: &Endpoint) -> Option<Response<Bytes>> {
    let request = (dialect.report_request)(endpoint);
    call(
        &mut None,
        endpoint.address,
        request,
        CallLimits::within(CALL_TIMEOUT, MAX_RESPONSE_BYTES),
    )
    .await
    .map_err(
        |error| log::warn!(engine = &*endpoint.id, error:% = error; "cannot fetch an engine's report"),
    )
    .ok()
}

/// Fetches the list of parts that an engine or the KV cache store has cached and
/// passes it to the control thread. `endpoint` is none for the store.
pub async fn fetch_cached_parts(
    dialect: &'static Dialect,
    handle: Handle,
    address: SocketAddr,
    endpoint: Option<EndpointKey>,
) {
    let mut request = (dialect.cache_request)();
    if let Ok(host) = address.to_string().parse() {
        request.headers_mut().insert(HOST, host);
    }
    let limits = CallLimits::within(CALL_TIMEOUT, MAX_EVENTS_BYTES);
    let held = match call(&mut None, address, request, limits).await {
        Ok(response) => (dialect.parse_cache_response)(response.status().as_u16(), response.body()),
        Err(error) => {
            log::info!(address:% = address, error:% = error; "cannot fetch the list of cached parts");
            return;
        }
    };
    match held {
        Ok(held) => handle.send(Event::CacheListed { endpoint, held }),
        Err(error) => {
            log::info!(address:% = address, error:% = error; "cannot fetch the list of cached parts");
        }
    }
}
