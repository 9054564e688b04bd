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
use crate::http_client::{CONNECT_TIMEOUT, CallError, CallLimits, Connection, call, call_over};

/// Timeout of a call to an engine.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// Maximum size of a response, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 * 1024;

/// Maximum size of a response with cache events, in bytes.
const MAX_EVENTS_BYTES: usize = 2 * 1024 * 1024;

/// Sends an order unless its `not_after` has passed, and reports the outcome to the
/// control thread.
pub async fn send_order(dialect: &'static Dialect, handle: Handle, order: Box<WeightsOrder>) {
    let outcome = try_order(dialect, &handle, &order).await;
    handle.send(Event::OrderAnswered(order, outcome));
}

async fn try_order(
    dialect: &'static Dialect,
    handle: &Handle,
    order: &WeightsOrder,
) -> OrderOutcome {
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
        Ok(response) => {
            if says_leaving(dialect, &response) {
                let engine = Arc::new(order.engine.clone());
                handle.send(Event::Noticed(engine, Notice::Leaving));
            }
            (dialect.parse_order_response)(response.status().as_u16())
        }
        Err(CallError::NotSent) => OrderOutcome::NotSent,
        Err(error) => {
            log::warn!(engine = &*order.engine.id, error:% = error; "no response to an order");
            OrderOutcome::Unknown
        }
    }
}

/// Fetches an engine's report and passes it to the control thread.
pub async fn fetch_report(dialect: &'static Dialect, handle: Handle, engine: Arc<Endpoint>) {
    let report = read_report(dialect, &handle, &engine).await;
    handle.send(Event::EngineReported(engine.key(), report));
}

/// What a call shows of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Liveness {
    /// It has not restarted since its entry was written.
    Same,
    /// It responds, but does not state when it started.
    Responds,
    /// It does not respond, or another incarnation or endpoint does.
    Gone,
}

/// True if the endpoint responds to a call and is not known to have restarted since its
/// entry was written.
pub async fn still_runs(dialect: &Dialect, endpoint: &Endpoint) -> bool {
    liveness(dialect, endpoint, None).await != Liveness::Gone
}

/// Calls an endpoint, over this connection alone if there is one.
pub async fn liveness(
    dialect: &Dialect,
    endpoint: &Endpoint,
    connection: Option<Connection>,
) -> Liveness {
    match call_report(dialect, endpoint, connection).await {
        Some(response) => liveness_of(dialect, endpoint, &response),
        None => Liveness::Gone,
    }
}

/// What a response to a request for its report shows of an endpoint.
fn liveness_of(dialect: &Dialect, endpoint: &Endpoint, response: &Response<Bytes>) -> Liveness {
    // Another endpoint may have taken over the address.
    if response.status() == StatusCode::MISDIRECTED_REQUEST {
        return Liveness::Gone;
    }
    let report = (dialect.parse_report_response)(response.status().as_u16(), response.body());
    match report {
        Ok(report) if report.born == endpoint.start_time_ms && report.born != 0 => Liveness::Same,
        Ok(report) if report.born != 0 => Liveness::Gone,
        // Application servers reject the call.
        Ok(_) | Err(_) => Liveness::Responds,
    }
}

/// Asks an endpoint whether it is leaving, which it says in all its responses, and passes
/// the answer of this incarnation to the control thread.
pub async fn ask_leaving(dialect: &'static Dialect, handle: Handle, endpoint: Arc<Endpoint>) {
    let Some(response) = call_report(dialect, &endpoint, None).await else {
        return;
    };
    if liveness_of(dialect, &endpoint, &response) == Liveness::Gone {
        return;
    }
    let notice = if says_leaving(dialect, &response) {
        Notice::Leaving
    } else {
        Notice::Staying
    };
    handle.send(Event::Noticed(endpoint, notice));
}

/// True if the endpoint itself says in a response that it is leaving. Another one that has taken
/// over the address rejects the call.
fn says_leaving(dialect: &Dialect, response: &Response<Bytes>) -> bool {
    response.status() != StatusCode::MISDIRECTED_REQUEST
        && (dialect.response_head)(response.headers()).leaving
}

async fn read_report(
    dialect: &Dialect,
    handle: &Handle,
    engine: &Arc<Endpoint>,
) -> Option<EngineReport> {
    let response = call_report(dialect, engine, None).await?;
    let is_own = liveness_of(dialect, engine, &response) != Liveness::Gone;
    if is_own && says_leaving(dialect, &response) {
        handle.send(Event::Noticed(engine.clone(), Notice::Leaving));
    }
    (dialect.parse_report_response)(response.status().as_u16(), response.body())
        .map_err(
            |error| log::warn!(engine = &*engine.id, error:% = error; "cannot decode an engine's report"),
        )
        .ok()
}

async fn call_report(
    dialect: &Dialect,
    endpoint: &Endpoint,
    connection: Option<Connection>,
) -> Option<Response<Bytes>> {
    let request = (dialect.report_request)(endpoint);
    let limits = CallLimits::within(CALL_TIMEOUT, MAX_RESPONSE_BYTES);
    let response = match connection {
        Some(connection) => call_over(connection, request, limits).await,
        None => call(&mut None, endpoint.address, request, limits).await,
    };
    response
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
