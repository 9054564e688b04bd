//! Stand-in of a model engine: continuous batching, a prefix cache, orders and an oracle.
//!
//! Besides the engine's API it serves the controls `GET /standin/oracle` and
//! `POST /standin/crash`, `freeze?ms=`, `silence` and `cut`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use flamingolock_core::prelude::*;
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep_until};

use crate::engine_http::handle;
use crate::engine_state::Engine;
use crate::error::{StandinError, check_options, is_positive};
use crate::oracle::{FleetOracle, OracleReport};
pub use crate::orders::{Order, OrderRecord, OrderRequest, Role};
use crate::server::{Connections, Server, lock};

/// Configuration of a stand-in engine.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineOptions {
    /// Name of the engine in the instance list.
    pub engine: EngineId,
    /// Model that the engine serves.
    pub model: ModelName,
    /// Weights loaded at start.
    pub weights: WeightsVersion,
    /// Adapters loaded at start.
    pub adapters: Vec<String>,
    /// Maximum number of requests in the batch.
    pub slots: usize,
    /// Maximum number of requests that wait for a slot; more are rejected.
    pub max_waiting: usize,
    /// Prefill throughput.
    pub prefill_tokens_per_s: f64,
    /// Duration of one decode step.
    pub decode_ms: f64,
    /// Capacity of the prefix cache.
    pub capacity_blocks: usize,
    /// Time after which an unused block expires; 0 disables expiry.
    pub block_ttl_ms: u64,
    /// Time to export or import one block of KV cache.
    pub block_ms: f64,
    /// Time that a stream without a reader keeps running, or stays resumable after
    /// its end.
    pub remember_ms: u64,
    /// Age of the state shown by status reports.
    pub status_lag_ms: u64,
    /// Delay from a cache change until its event can be read.
    pub event_delay_ms: u64,
    /// Probability that a cache event is lost, leaving a gap in the sequence.
    pub event_gap: f64,
    /// Number of recent cache events that are retained.
    pub event_ring: usize,
    /// Time from a crash until the engine accepts connections again.
    pub cold_start_ms: u64,
    /// Whether a crash resets the weights to those loaded at start.
    pub forgets_weights: bool,
    /// Base URL of the platform's weight store; `None` loads without a store.
    pub weight_store: Option<String>,
    /// Time to load an adapter, or weights if there is no weight store.
    pub load_ms: u64,
    /// Whether orders with a stale fencing number are rejected.
    pub checks_fencing: bool,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Record of the blocks computed by all engines that share it.
    #[serde(skip)]
    pub fleet: Option<Arc<FleetOracle>>,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            engine: "engine-1".into(),
            model: "model".into(),
            weights: "w1".into(),
            adapters: Vec::new(),
            slots: 8,
            max_waiting: 64,
            prefill_tokens_per_s: 20_000.0,
            decode_ms: 10.0,
            capacity_blocks: 4096,
            block_ttl_ms: 0,
            block_ms: 0.1,
            remember_ms: 10_000,
            status_lag_ms: 100,
            event_delay_ms: 50,
            event_gap: 0.0,
            event_ring: 4096,
            cold_start_ms: 500,
            forgets_weights: false,
            weight_store: None,
            load_ms: 300,
            checks_fencing: true,
            seed: 0,
            fleet: None,
        }
    }
}

impl EngineOptions {
    fn check(&self) -> Result<(), StandinError> {
        check_options(&[
            ("slots", self.slots > 0),
            (
                "prefill_tokens_per_s",
                is_positive(self.prefill_tokens_per_s),
            ),
            ("decode_ms", is_positive(self.decode_ms)),
            (
                "block_ms",
                self.block_ms == 0.0 || is_positive(self.block_ms),
            ),
            ("event_gap", (0.0..=1.0).contains(&self.event_gap)),
        ])
    }
}

/// Handle of a running engine; dropping it stops the engine.
pub struct Handle {
    server: Server,
    engine: Arc<Engine>,
}

impl Handle {
    /// The listen address.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Ground truth of what the engine has done so far.
    pub fn oracle(&self) -> OracleReport {
        lock(&self.engine.state).engine_cache.report.clone()
    }

    /// The current incarnation.
    pub fn incarnation(&self) -> Incarnation {
        lock(&self.engine.state).engine_cache.incarnation
    }

    /// The currently loaded weights.
    pub fn weights(&self) -> WeightsVersion {
        lock(&self.engine.state).engine_cache.weights.clone()
    }

    /// Simulates a crash: closes all connections, drops the cache, and accepts
    /// connections again with a larger incarnation after the cold start.
    pub fn crash(&self) {
        self.engine.crash();
    }

    /// Stops computing and sending for `span`; connections stay open.
    pub fn freeze(&self, span: Duration) {
        self.engine.freeze(span);
    }

    /// Keeps existing connections open but permanently stops their traffic.
    pub fn silence_connections(&self) {
        self.engine.connections.silence();
    }

    /// Closes all existing connections.
    pub fn cut_connections(&self) {
        self.engine.connections.cut();
    }
}

/// Starts an engine on `listen`.
///
/// # Errors
///
/// Fails when `listen` cannot be bound or an option is out of its range.
pub async fn start(options: EngineOptions, listen: SocketAddr) -> Result<Handle, StandinError> {
    options.check()?;
    let connections = Connections::new();
    let engine = Arc::new(Engine::new(options, connections.clone()));
    let shared = engine.clone();
    let handler = move |request| handle(shared.clone(), request);
    let stop = connections.stop_token();
    let server = Server::start(listen, connections, handler).await?;
    let batch_engine = engine.clone();
    tokio::spawn(async move {
        tokio::select! {
            () = stop.cancelled() => {}
            () = run_batch(&batch_engine) => {}
        }
    });
    Ok(Handle { server, engine })
}

/// Steps the batch whenever work is due. Never returns.
async fn run_batch(engine: &Engine) {
    loop {
        let next = engine.step(Instant::now());
        let work = engine.work_ready.notified();
        match next {
            None => work.await,
            Some(due) => tokio::select! {
                () = work => {}
                () = sleep_until(due) => {}
            },
        }
    }
}
