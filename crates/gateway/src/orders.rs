//! Orders to engines and questions for their reports, as calls.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::header::HOST;

use crate::clock::now;
use crate::control::{Event, Handle};
use crate::dialect::{Dialect, OrderOutcome, WeightsOrder};
use crate::endpoint::{Endpoint, EndpointKey};
use crate::http_client::{CallError, Connection, call};

/// Longest time for an order or a report.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// Longest time to connect to an engine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Largest answer in bytes.
const MAX_RESPONSE_BYTES: usize = 64 * 1024;

/// Largest answer with cache events in bytes.
const MAX_EVENTS_BYTES: usize = 2 * 1024 * 1024;

/// Gives an order, unless its time is over.
pub async fn send_order(dialect: &'static Dialect, handle: Handle, order: Box<WeightsOrder>) {
    let outcome = try_order(dialect, &order).await;
    handle.send(Event::OrderAnswered(order, outcome));
}

async fn try_order(dialect: &'static Dialect, order: &WeightsOrder) -> OrderOutcome {
    let Ok(connection) = Connection::open(order.engine.address, CONNECT_TIMEOUT).await else {
        return OrderOutcome::NotSent;
    };
    // The node may have been stopped while it connected.
    if now() >= order.not_after {
        return OrderOutcome::NotSent;
    }
    let request = (dialect.order_request)(order);
    match call(
        &mut Some(connection),
        order.engine.address,
        request,
        CALL_TIMEOUT,
        MAX_RESPONSE_BYTES,
    )
    .await
    {
        Ok((status, _)) => (dialect.parse_order_response)(status),
        Err(CallError::NotSent) => OrderOutcome::NotSent,
        Err(error) => {
            log::warn!(engine = &*order.engine.id, error:% = error; "order without an answer");
            OrderOutcome::Unknown
        }
    }
}

/// Asks an engine for its report.
pub async fn fetch_report(dialect: &'static Dialect, handle: Handle, engine: Arc<Endpoint>) {
    let request = (dialect.report_request)(&engine);
    let result = call(
        &mut None,
        engine.address,
        request,
        CALL_TIMEOUT,
        MAX_RESPONSE_BYTES,
    )
    .await;
    let report = match result {
        Ok((status, body)) => (dialect.parse_report_response)(status, &body)
            .map_err(
                |error| log::warn!(engine = &*engine.id, error:% = error; "report cannot be read"),
            )
            .ok(),
        Err(error) => {
            log::warn!(engine = &*engine.id, error:% = error; "no report");
            None
        }
    };
    handle.send(Event::EngineReported(engine.key(), report));
}

/// Asks an engine, or the store of kept KV cache, what it holds.
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
    let held = match call(&mut None, address, request, CALL_TIMEOUT, MAX_EVENTS_BYTES).await {
        Ok((status, body)) => (dialect.parse_cache_response)(status, &body),
        Err(error) => {
            log::info!(address:% = address, error:% = error; "cached parts not learnt");
            return;
        }
    };
    match held {
        Ok(held) => handle.send(Event::CacheListed { endpoint, held }),
        Err(error) => log::info!(address:% = address, error:% = error; "cached parts not learnt"),
    }
}
