//! A model engine: completions over a batch, a prefix cache and an oracle.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use flamingolock_core::prelude::*;
use serde::{Deserialize, Serialize};
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep_until};

use crate::batch::{Batch, BatchLimits, Job, LineFull, Phase, Prefill, Progress, StreamKey};
use crate::cache::PrefixCache;
use crate::engine_http::handle;
use crate::error::StandinError;
use crate::memory::Memory;
use crate::oracle::{FleetOracle, OracleReport};
use crate::server::{Connections, Server, lock};

/// How an engine behaves.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineOptions {
    /// Name, as in the instance list.
    pub engine: EngineId,
    /// Model that it serves.
    pub model: ModelName,
    /// Weights that it holds at the start.
    pub weights: WeightsVersion,
    /// Adapters that it holds at the start.
    pub adapters: Vec<String>,
    /// Requests that are in the batch at once.
    pub slots: usize,
    /// Requests that may wait for a slot.
    pub max_waiting: usize,
    /// Prefill speed.
    pub prefill_tokens_per_s: f64,
    /// Time of one decode step.
    pub decode_ms: f64,
    /// Blocks that the prefix cache holds.
    pub capacity_blocks: usize,
    /// Time that a stream goes on, or is remembered, without a reader.
    pub remember_ms: u64,
    /// Time from a crash until the engine accepts connections again.
    pub cold_start_ms: u64,
    /// Whether orders with an old fencing number are refused.
    pub checks_fencing: bool,
    /// Blocks computed by all engines that share it.
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
            remember_ms: 10_000,
            cold_start_ms: 500,
            checks_fencing: true,
            fleet: None,
        }
    }
}

pub(crate) struct State {
    pub(crate) incarnation: Incarnation,
    pub(crate) weights: WeightsVersion,
    pub(crate) batch: Batch,
    pub(crate) cache: PrefixCache,
    pub(crate) report: OracleReport,
    /// When the accelerator goes on after a freeze.
    frozen_until: Option<Instant>,
}

pub(crate) struct Engine {
    pub(crate) options: EngineOptions,
    pub(crate) fleet: Arc<FleetOracle>,
    pub(crate) state: Mutex<State>,
    pub(crate) connections: Connections,
    /// Wakes the task that drives the batch.
    work: Notify,
}

/// A running engine; dropping it stops the engine.
pub struct Handle {
    server: Server,
    engine: Arc<Engine>,
}

impl Handle {
    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// What truly happened so far.
    pub fn oracle(&self) -> OracleReport {
        lock(&self.engine.state).report.clone()
    }

    /// The present incarnation.
    pub fn incarnation(&self) -> Incarnation {
        lock(&self.engine.state).incarnation
    }

    /// Crashes: cuts all connections, loses the cache, and comes back as a larger
    /// incarnation after the cold start.
    pub fn crash(&self) {
        self.engine.crash();
    }

    /// Stops computing and answering for `span`; connections stay open.
    pub fn freeze(&self, span: Duration) {
        self.engine.freeze(span);
    }

    /// Keeps present connections open with nothing passing for good.
    pub fn silence_connections(&self) {
        self.engine.connections.silence();
    }

    /// Closes all present connections.
    pub fn cut_connections(&self) {
        self.engine.connections.cut();
    }
}

/// Starts an engine on `listen`.
///
/// # Errors
///
/// Fails when `listen` cannot be bound.
pub async fn start(options: EngineOptions, listen: SocketAddr) -> Result<Handle, StandinError> {
    let limits = BatchLimits {
        slots: options.slots,
        max_waiting: options.max_waiting,
        prefill_rate: options.prefill_tokens_per_s,
        decode: Duration::from_secs_f64(options.decode_ms / 1000.0),
        remember: Duration::from_millis(options.remember_ms),
    };
    let state = State {
        incarnation: Incarnation(unix_millis()),
        weights: options.weights.clone(),
        batch: Batch::new(limits, Instant::now()),
        cache: PrefixCache::new(options.capacity_blocks),
        report: OracleReport::default(),
        frozen_until: None,
    };
    let connections = Connections::default();
    let engine = Arc::new(Engine {
        fleet: options.fleet.clone().unwrap_or_default(),
        options,
        state: Mutex::new(state),
        connections: connections.clone(),
        work: Notify::new(),
    });
    let stop = connections.stop_token();
    let shared = engine.clone();
    let handler = move |request| handle(shared.clone(), request);
    let server = Server::start(listen, connections, handler).await?;
    let driven = engine.clone();
    tokio::spawn(async move {
        tokio::select! {
            () = stop.cancelled() => {}
            () = drive(&driven) => {}
        }
    });
    Ok(Handle { server, engine })
}

fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}

/// Runs the batch for as long as the engine lives.
async fn drive(engine: &Engine) {
    loop {
        let next = engine.step(Instant::now());
        let work = engine.work.notified();
        match next {
            None => work.await,
            Some(due) => tokio::select! {
                () = work => {}
                () = sleep_until(due) => {}
            },
        }
    }
}

impl Engine {
    fn step(&self, now: Instant) -> Option<Instant> {
        let mut guard = lock(&self.state);
        let state = &mut *guard;
        if let Some(until) = state.frozen_until {
            if now < until {
                return Some(until);
            }
            state.frozen_until = None;
        }
        let mut memory = Memory {
            cache: &mut state.cache,
            report: &mut state.report,
            fleet: &self.fleet,
            incarnation: state.incarnation,
            weights: &state.weights,
        };
        let (next, ended) = state.batch.step(now, |prefill, job| match prefill {
            Prefill::Begin => memory.begin(job),
            Prefill::End => memory.end(job),
        });
        for phase in ended {
            count_end(&mut state.report, phase);
        }
        next
    }

    /// Takes a request in and joins it as its first reader.
    pub(crate) fn submit(self: &Arc<Self>, job: Job) -> Result<Reader, LineFull> {
        let id = job.request_id.clone();
        let mut state = lock(&self.state);
        let key = state.batch.submit(job, Instant::now())?;
        state.report.started += 1;
        *state.report.executions.entry(id).or_default() += 1;
        let joined = self.join(&mut state, key);
        drop(state);
        self.work.notify_one();
        Ok(joined.expect("a stream is remembered right after its start"))
    }

    /// Joins the latest stream of a request id.
    pub(crate) fn resume(self: &Arc<Self>, request_id: &str) -> Option<Reader> {
        let mut state = lock(&self.state);
        let key = state.batch.find(request_id)?;
        self.join(&mut state, key)
    }

    fn join(self: &Arc<Self>, state: &mut State, key: StreamKey) -> Option<Reader> {
        let job = state.batch.job(key)?.clone();
        let progress = state.batch.join(key)?;
        let guard = ReaderGuard {
            engine: self.clone(),
            key,
        };
        Some(Reader {
            job,
            progress,
            incarnation: state.incarnation,
            _guard: guard,
        })
    }

    pub(crate) fn crash(&self) {
        let mut state = lock(&self.state);
        let cut = state.batch.cut_all(Instant::now());
        state.report.cut += cut;
        state.batch.clear();
        state.cache.clear();
        let next = state.incarnation.0 + 1;
        state.incarnation = Incarnation(unix_millis().max(next));
        drop(state);
        let downtime = Duration::from_millis(self.options.cold_start_ms);
        self.connections.cut_for(downtime);
    }

    pub(crate) fn freeze(&self, span: Duration) {
        let mut state = lock(&self.state);
        state.batch.delay(span);
        state.frozen_until = Some(Instant::now() + span);
        drop(state);
        self.work.notify_one();
        self.connections.freeze_for(span);
    }

    /// Cancels the latest stream of a request id; false when there is none.
    pub(crate) fn cancel(&self, request_id: &str) -> bool {
        let mut state = lock(&self.state);
        let Some(key) = state.batch.find(request_id) else {
            return false;
        };
        if state.batch.end(key, Phase::Cancelled, Instant::now()) {
            count_end(&mut state.report, Phase::Cancelled);
        }
        drop(state);
        self.work.notify_one();
        true
    }
}

fn count_end(report: &mut OracleReport, phase: Phase) {
    match phase {
        Phase::Running => {}
        Phase::Finished => report.finished += 1,
        Phase::Cancelled => report.cancelled += 1,
        Phase::Cut => report.cut += 1,
    }
}

/// A reader of one stream.
pub(crate) struct Reader {
    pub(crate) job: Arc<Job>,
    pub(crate) progress: watch::Receiver<Progress>,
    pub(crate) incarnation: Incarnation,
    _guard: ReaderGuard,
}

/// Takes the reader away from the stream when dropped.
struct ReaderGuard {
    engine: Arc<Engine>,
    key: StreamKey,
}

impl Drop for ReaderGuard {
    fn drop(&mut self) {
        let mut state = lock(&self.engine.state);
        state.batch.leave(self.key, Instant::now());
    }
}
