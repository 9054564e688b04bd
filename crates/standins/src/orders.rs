//! Control-plane orders to an engine: weights, adapters and role.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use flamingolock_core::prelude::*;
use http::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use crate::client::send_request;
use crate::engine_state::Engine;
use crate::server::lock;

/// Maximum number of orders in the oracle report; later ones are not recorded.
const MAX_RECORDED_ORDERS: usize = 1000;

/// Whether an engine accepts new requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Accepts requests.
    #[default]
    Serve,
    /// Finishes its running and queued requests and rejects new ones.
    Drain,
}

/// Action requested by an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Order {
    /// Replace the weights.
    LoadWeights {
        /// Version to load.
        version: WeightsVersion,
    },
    /// Load an additional adapter.
    LoadAdapter {
        /// Name of the adapter.
        name: String,
    },
    /// Change the role.
    SetRole {
        /// New role.
        role: Role,
    },
}

/// An order with its id and fencing number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRequest {
    /// Unique id of the order.
    pub id: String,
    /// Fencing number; increases with each new holder of the lease.
    pub fencing: u64,
    /// Requested action.
    pub order: Order,
}

/// Record of an executed order in the oracle report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRecord {
    /// The order.
    pub request: OrderRequest,
    /// True if an order with a larger fencing number had been accepted before.
    pub stale: bool,
    /// Requests that it interrupted because the engine was not drained.
    pub cut: u64,
}

/// Outcome of an order.
pub(crate) enum OrderOutcome {
    Done,
    StaleFencing,
    StoreBusy,
    StoreFailed,
    /// The engine crashed in the meantime; the caller gets no response.
    Lost,
}

/// Executes one order; orders run one at a time.
pub(crate) async fn execute_order(engine: Arc<Engine>, request: OrderRequest) -> OrderOutcome {
    let incarnation = lock(&engine.state).engine_cache.incarnation;
    let _guard = engine.order_lock.lock().await;
    if !engine.is_alive(incarnation) {
        return OrderOutcome::Lost;
    }
    let Some(record) = check_fencing(&engine, &request) else {
        return OrderOutcome::StaleFencing;
    };
    match request.order {
        Order::SetRole { role } => {
            lock(&engine.state).role = role;
            record_order(&engine, record);
            OrderOutcome::Done
        }
        Order::LoadAdapter { name } => load_adapter(&engine, record, incarnation, name).await,
        Order::LoadWeights { version } => load_weights(&engine, record, incarnation, version).await,
    }
}

fn check_fencing(engine: &Engine, request: &OrderRequest) -> Option<OrderRecord> {
    let mut state = lock(&engine.state);
    let is_stale = request.fencing < state.fencing;
    if is_stale && engine.options.checks_fencing {
        return None;
    }
    state.fencing = state.fencing.max(request.fencing);
    Some(OrderRecord {
        request: request.clone(),
        stale: is_stale,
        cut: 0,
    })
}

fn record_order(engine: &Engine, record: OrderRecord) {
    let mut state = lock(&engine.state);
    if state.engine_cache.report.orders.len() < MAX_RECORDED_ORDERS {
        state.engine_cache.report.orders.push(record);
    }
    drop(state);
    engine.work_ready.notify_one();
}

async fn load_adapter(
    engine: &Engine,
    record: OrderRecord,
    incarnation: Incarnation,
    name: String,
) -> OrderOutcome {
    sleep(Duration::from_millis(engine.options.load_ms)).await;
    engine.wait_until_unfrozen().await;
    if !engine.is_alive(incarnation) {
        return OrderOutcome::Lost;
    }
    let mut state = lock(&engine.state);
    if !state.adapters.contains(&name) {
        state.adapters.push(name);
    }
    drop(state);
    record_order(engine, record);
    OrderOutcome::Done
}

async fn load_weights(
    engine: &Engine,
    mut record: OrderRecord,
    incarnation: Incarnation,
    version: WeightsVersion,
) -> OrderOutcome {
    if lock(&engine.state).engine_cache.weights == version {
        record_order(engine, record);
        return OrderOutcome::Done;
    }
    record.cut = engine.begin_load();
    let fetched = fetch_weights(engine, &version).await;
    engine.wait_until_unfrozen().await;
    if !engine.is_alive(incarnation) {
        return OrderOutcome::Lost;
    }
    if let OrderOutcome::Done = fetched {
        engine.end_load(Some(version));
        record_order(engine, record);
    } else {
        engine.end_load(None);
    }
    fetched
}

/// Fetches weights from the store, which responds when the load is complete.
/// Without a store the load takes `load_ms`.
async fn fetch_weights(engine: &Engine, version: &WeightsVersion) -> OrderOutcome {
    let Some(store) = &engine.options.weight_store else {
        sleep(Duration::from_millis(engine.options.load_ms)).await;
        return OrderOutcome::Done;
    };
    let url = format!("{store}/weights/{version}");
    match send_request(Method::GET, &url, Bytes::new()).await {
        Ok((StatusCode::OK, _)) => OrderOutcome::Done,
        Ok((StatusCode::TOO_MANY_REQUESTS, _)) => OrderOutcome::StoreBusy,
        Ok(_) | Err(_) => OrderOutcome::StoreFailed,
    }
}
