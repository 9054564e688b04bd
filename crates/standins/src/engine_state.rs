//! State of an engine, and how requests, faults and orders change it.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use flamingolock_core::prelude::*;
use serde_json::{Value, json};
use tokio::sync::{Mutex as AsyncMutex, Notify, watch};
use tokio::time::{Instant, sleep_until};

use crate::batch::{Batch, BatchLimits, Job, Phase, PrefillEvent, Progress, StreamKey};
use crate::cache::PrefixCache;
use crate::clock::unix_now;
use crate::engine::EngineOptions;
use crate::engine_cache::EngineCache;
use crate::events::{EventLog, EventOptions, EventPage};
use crate::oracle::OracleReport;
use crate::orders::Role;
use crate::server::{Connections, lock};
use crate::status::StatusHistory;

pub(crate) struct State {
    pub(crate) engine_cache: EngineCache,
    pub(crate) adapters: Vec<String>,
    pub(crate) role: Role,
    /// Whether weights are being loaded; requests are rejected meanwhile.
    loading: bool,
    /// Largest fencing number of any accepted order.
    pub(crate) fencing: u64,
    pub(crate) batch: Batch,
    status_history: StatusHistory,
    /// When the current freeze ends.
    frozen_until: Option<Instant>,
}

/// An engine, shared by its connections and the task that steps its batch.
pub(crate) struct Engine {
    pub(crate) options: EngineOptions,
    pub(crate) state: Mutex<State>,
    pub(crate) connections: Connections,
    /// Wakes the task that steps the batch.
    pub(crate) work_ready: Notify,
    /// Incremented by every step, to wake readers that wait for cache events.
    steps: watch::Sender<u64>,
    /// Held while an order is executed, so that orders run one at a time.
    pub(crate) order_lock: AsyncMutex<()>,
}

/// Why a request was rejected.
pub(crate) enum Refusal {
    QueueFull,
    Loading,
    Draining,
}

impl Engine {
    pub(crate) fn new(options: EngineOptions, connections: Connections) -> Self {
        let now = Instant::now();
        let limits = BatchLimits {
            slots: options.slots,
            max_waiting: options.max_waiting,
            prefill_rate: options.prefill_tokens_per_s,
            decode_step: Duration::from_secs_f64(options.decode_ms / 1000.0),
            retention: Duration::from_millis(options.remember_ms),
        };
        let event_options = EventOptions {
            delay: Duration::from_millis(options.event_delay_ms),
            loss_probability: options.event_gap,
            capacity: options.event_ring,
        };
        let ttl = Duration::from_millis(options.block_ttl_ms);
        let ttl = (!ttl.is_zero()).then_some(ttl);
        let engine_cache = EngineCache {
            cache: PrefixCache::new(options.capacity_blocks, ttl),
            events: EventLog::new(event_options, options.seed),
            report: OracleReport::default(),
            fleet: options.fleet.clone().unwrap_or_default(),
            incarnation: Incarnation(unix_now().0),
            weights: options.weights.clone(),
        };
        let state = State {
            engine_cache,
            adapters: options.adapters.clone(),
            role: Role::Serve,
            loading: false,
            fencing: 0,
            batch: Batch::new(limits, now),
            status_history: StatusHistory::default(),
            frozen_until: None,
        };
        Self {
            options,
            state: Mutex::new(state),
            connections,
            work_ready: Notify::new(),
            steps: watch::Sender::new(0),
            order_lock: AsyncMutex::new(()),
        }
    }

    /// Does all work that is due and returns when to call it again.
    pub(crate) fn step(&self, now: Instant) -> Option<Instant> {
        let mut guard = lock(&self.state);
        let state = &mut *guard;
        if let Some(until) = state.frozen_until {
            if now < until {
                return Some(until);
            }
            state.frozen_until = None;
        }
        let engine_cache = &mut state.engine_cache;
        engine_cache.evict(now);
        let (next, ended) = state.batch.step(now, |prefill, job| match prefill {
            PrefillEvent::Started => engine_cache.start_prefill(job, now),
            PrefillEvent::Finished => {
                engine_cache.finish_prefill(job, now);
                0
            }
        });
        for phase in ended {
            count_ended_stream(&mut state.engine_cache.report, phase);
        }
        self.record_status(state, now);
        let expiry = state.engine_cache.cache.next_expiry();
        drop(guard);
        self.steps.send_modify(|n| *n += 1);
        next.into_iter().chain(expiry).min()
    }

    /// Submits a request and returns its first reader.
    pub(crate) fn submit(self: &Arc<Self>, job: Job) -> Result<Reader, Refusal> {
        let id = job.request_id.clone();
        let mut state = lock(&self.state);
        if state.loading {
            return Err(Refusal::Loading);
        }
        if state.role == Role::Drain {
            return Err(Refusal::Draining);
        }
        let key = state.batch.submit(job, Instant::now());
        let key = key.map_err(|_| Refusal::QueueFull)?;
        state.engine_cache.report.started += 1;
        *state.engine_cache.report.executions.entry(id).or_default() += 1;
        let reader = self.add_reader(&mut state, key);
        drop(state);
        self.work_ready.notify_one();
        Ok(reader.expect("a stream that was just submitted exists"))
    }

    /// Adds a reader to the most recent stream with this request id.
    pub(crate) fn resume(self: &Arc<Self>, request_id: &str) -> Option<Reader> {
        let mut state = lock(&self.state);
        let key = state.batch.find(request_id)?;
        self.add_reader(&mut state, key)
    }

    fn add_reader(self: &Arc<Self>, state: &mut State, key: StreamKey) -> Option<Reader> {
        let job = state.batch.job(key)?.clone();
        let progress = state.batch.add_reader(key)?;
        let guard = ReaderGuard {
            engine: self.clone(),
            key,
        };
        Some(Reader {
            job,
            progress,
            incarnation: state.engine_cache.incarnation,
            _guard: guard,
        })
    }

    /// Cancels the most recent stream with this request id; false if there is none.
    pub(crate) fn cancel(&self, request_id: &str) -> bool {
        let mut state = lock(&self.state);
        let Some(key) = state.batch.find(request_id) else {
            return false;
        };
        if state.batch.end(key, Phase::Cancelled, Instant::now()) {
            count_ended_stream(&mut state.engine_cache.report, Phase::Cancelled);
        }
        drop(state);
        self.work_ready.notify_one();
        true
    }

    /// Simulates a crash: interrupts all streams, drops the cache, its events and the
    /// role, and refuses connections for the cold start. The incarnation increases.
    pub(crate) fn crash(&self) {
        let mut state = lock(&self.state);
        let cut = state.batch.interrupt_all(Instant::now());
        state.engine_cache.report.cut += cut;
        state.batch.clear();
        state.engine_cache.cache.clear();
        state.engine_cache.events.restart();
        state.status_history.clear();
        state.loading = false;
        state.role = Role::Serve;
        state.adapters.clone_from(&self.options.adapters);
        if self.options.forgets_weights {
            state.engine_cache.weights.clone_from(&self.options.weights);
        }
        state.frozen_until = None;
        let next = state.engine_cache.incarnation.0 + 1;
        state.engine_cache.incarnation = Incarnation(unix_now().0.max(next));
        drop(state);
        let downtime = Duration::from_millis(self.options.cold_start_ms);
        self.connections.cut_for(downtime);
        self.work_ready.notify_one();
    }

    /// Suspends the batch and all traffic for `span`.
    pub(crate) fn freeze(&self, span: Duration) {
        let mut state = lock(&self.state);
        let now = Instant::now();
        let end = now + span;
        let begin = state.frozen_until.map_or(now, |until| until.max(now));
        state.batch.delay(end.saturating_duration_since(begin));
        state.frozen_until = Some(end.max(begin));
        drop(state);
        self.work_ready.notify_one();
        self.connections.freeze_for(span);
    }

    /// Waits until the engine is not frozen.
    pub(crate) async fn wait_until_unfrozen(&self) {
        loop {
            let until = lock(&self.state).frozen_until;
            match until {
                Some(until) if Instant::now() < until => sleep_until(until).await,
                _ => return,
            }
        }
    }

    /// Whether the engine has not crashed since it had the given incarnation.
    pub(crate) fn is_alive(&self, incarnation: Incarnation) -> bool {
        lock(&self.state).engine_cache.incarnation == incarnation
    }

    /// Stops serving in order to load weights; returns the number of requests that
    /// this interrupted.
    pub(crate) fn begin_load(&self) -> u64 {
        let mut state = lock(&self.state);
        state.loading = true;
        let cut = state.batch.interrupt_all(Instant::now());
        state.engine_cache.report.cut += cut;
        cut
    }

    /// Serves again. `Some` sets the new weights and clears the cache; `None` means
    /// that the load failed.
    pub(crate) fn end_load(&self, loaded: Option<WeightsVersion>) {
        let mut state = lock(&self.state);
        state.loading = false;
        if let Some(weights) = loaded {
            state.engine_cache.weights = weights;
            state.engine_cache.clear(Instant::now());
        }
    }

    /// Long-polls the cache events after sequence number `after` until `until`.
    pub(crate) async fn events(&self, after: u64, until: Instant) -> Value {
        let mut steps = self.steps.subscribe();
        loop {
            let now = Instant::now();
            let (incarnation, page) = self.read_events(after, now);
            if !page.events.is_empty() || now >= until {
                return json!({
                    "incarnation": incarnation,
                    "events": page.events,
                    "last_seq": page.last_seq,
                });
            }
            let wake = page
                .next_visible_at
                .map_or(until, |visible| visible.min(until));
            tokio::select! {
                () = sleep_until(wake) => {}
                // Can't fail: the sender lives as long as the engine.
                _ = steps.changed() => {}
            }
        }
    }

    fn read_events(&self, after: u64, now: Instant) -> (Incarnation, EventPage) {
        let state = lock(&self.state);
        (
            state.engine_cache.incarnation,
            state.engine_cache.events.read(after, now),
        )
    }

    /// The status as it was `status_lag_ms` ago.
    pub(crate) fn status(&self) -> Value {
        let now = Instant::now();
        let mut state = lock(&self.state);
        if self.options.status_lag_ms == 0 {
            return self.status_of(&state);
        }
        self.record_status(&mut state, now);
        let sample = state.status_history.sample_at(now, self.status_lag());
        sample.cloned().expect("a status was just recorded")
    }

    fn status_lag(&self) -> Duration {
        Duration::from_millis(self.options.status_lag_ms)
    }

    fn record_status(&self, state: &mut State, now: Instant) {
        if self.options.status_lag_ms > 0 {
            let status = self.status_of(state);
            state.status_history.record(status, now, self.status_lag());
        }
    }

    fn status_of(&self, state: &State) -> Value {
        let options = &self.options;
        json!({
            "engine": options.engine,
            "incarnation": state.engine_cache.incarnation,
            "model": options.model,
            "weights": state.engine_cache.weights,
            "adapters": state.adapters,
            "role": state.role,
            "slots": options.slots,
            "running": state.batch.running(),
            "waiting": state.batch.waiting(),
            "queued_tokens": state.batch.queued_tokens(),
            "cached_blocks": state.engine_cache.cache.len(),
            "capacity_blocks": options.capacity_blocks,
            "prefill_tokens_per_s": options.prefill_tokens_per_s,
            "fencing": options.checks_fencing,
        })
    }
}

fn count_ended_stream(report: &mut OracleReport, phase: Phase) {
    match phase {
        Phase::Running => {}
        Phase::Finished => report.finished += 1,
        Phase::Cancelled => report.cancelled += 1,
        Phase::Interrupted => report.cut += 1,
    }
}

/// A reader of one stream.
pub(crate) struct Reader {
    pub(crate) job: Arc<Job>,
    pub(crate) progress: watch::Receiver<Progress>,
    pub(crate) incarnation: Incarnation,
    _guard: ReaderGuard,
}

/// Removes the reader from the stream when dropped.
struct ReaderGuard {
    engine: Arc<Engine>,
    key: StreamKey,
}

impl Drop for ReaderGuard {
    fn drop(&mut self) {
        let mut state = lock(&self.engine.state);
        state.batch.remove_reader(self.key, Instant::now());
    }
}
