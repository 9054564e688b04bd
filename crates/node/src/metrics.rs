//! Metrics of one node.
//!
//! No series has a workspace label: the number of workspaces grows with every
//! customer, and each would multiply the buckets of every histogram. The decision
//! log has the individual requests instead. All label values are request kinds of
//! the manifest or constants of the program.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use flamingolock_core::prelude::*;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

use crate::view::View;

/// Kind label of requests that ended before their kind was known.
pub const NO_KIND: &str = "none";

/// Content type of the output of [`Metrics::encode`].
pub const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Upper bound of the first bucket of each histogram, in seconds.
const FIRST_BUCKET_S: f64 = 0.001;

/// Ratio between the bounds of adjacent buckets.
const BUCKET_RATIO: f64 = 2.0;

/// Number of buckets of each histogram; the last ends at 65 seconds.
const BUCKETS: u16 = 17;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum RequestOutcome {
    /// The caller got the complete response.
    Answered,
    /// The request was rejected before an endpoint ran it.
    Refused,
    /// The response could not be completed.
    Failed,
    /// The caller closed the connection or stopped reading.
    CallerLeft,
    /// An at-most-once call did not run.
    NotRun,
    /// An at-most-once call may or may not have run.
    Unknown,
}

/// An event of a stream other than a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum StreamEvent {
    /// An engine refused or failed before the first token, and another was tried.
    Retry,
    /// The connection to the engine failed or stalled.
    Break,
    /// The same engine continued the stream over another connection.
    Resume,
    /// Another engine continued the stream.
    Continue,
    /// The engine was told to stop since the caller had left.
    Cancel,
    /// The stream ended with an error event.
    Error,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RequestLabels {
    kind: String,
    outcome: RequestOutcome,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct KindLabel {
    kind: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CodeLabel {
    code: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StreamEventLabel {
    event: StreamEvent,
}

/// All metrics of one node.
pub struct Metrics {
    registry: Registry,
    requests: Family<RequestLabels, Counter>,
    errors: Family<CodeLabel, Counter>,
    first_token: Family<KindLabel, Histogram>,
    token_gap: Histogram,
    prompt_tokens: Counter,
    cached_tokens: Counter,
    stream_events: Family<StreamEventLabel, Counter>,
    control_busy: Counter<f64, AtomicU64>,
    control_steps: Counter,
    permits: Gauge,
    engines: Gauge,
    manifest_offset: Gauge,
    ready: Gauge,
    leaving: Gauge,
    /// Time of the last iteration of the control thread's loop, in milliseconds.
    last_control_step: AtomicU64,
}

fn histogram() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET_S, BUCKET_RATIO, BUCKETS))
}

impl Default for Metrics {
    fn default() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("flamingolock"),
            requests: Family::default(),
            errors: Family::default(),
            first_token: Family::new_with_constructor(histogram),
            token_gap: histogram(),
            prompt_tokens: Counter::default(),
            cached_tokens: Counter::default(),
            stream_events: Family::default(),
            control_busy: Counter::default(),
            control_steps: Counter::default(),
            permits: Gauge::default(),
            engines: Gauge::default(),
            manifest_offset: Gauge::default(),
            ready: Gauge::default(),
            leaving: Gauge::default(),
            last_control_step: AtomicU64::new(0),
        };
        metrics.register_traffic();
        metrics.register_state();
        metrics
    }
}

impl Metrics {
    fn register_traffic(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "requests",
            "Requests that ended, by kind and outcome",
            self.requests.clone(),
        );
        registry.register(
            "errors",
            "Errors sent to callers, by code",
            self.errors.clone(),
        );
        registry.register(
            "first_token_seconds",
            "Time from the request's arrival to its first token",
            self.first_token.clone(),
        );
        registry.register(
            "token_gap_seconds",
            "Time between two tokens of a stream",
            self.token_gap.clone(),
        );
        registry.register(
            "prompt_tokens",
            "Prompt tokens of answered requests",
            self.prompt_tokens.clone(),
        );
        registry.register(
            "cached_prompt_tokens",
            "Prompt tokens of answered requests that the engine's cache held",
            self.cached_tokens.clone(),
        );
        registry.register(
            "stream_events",
            "Breaks of streams and what followed",
            self.stream_events.clone(),
        );
    }

    fn register_state(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "control_busy_seconds",
            "Time that the control thread spent on events",
            self.control_busy.clone(),
        );
        registry.register(
            "control_steps",
            "Rounds of the control thread's loop",
            self.control_steps.clone(),
        );
        registry.register(
            "permits_held",
            "Requests of this node that are on an engine",
            self.permits.clone(),
        );
        registry.register(
            "engines_answering",
            "Engines that answered when last asked",
            self.engines.clone(),
        );
        registry.register(
            "manifest_offset",
            "Log offset of the manifest in force; -1 while it is not known",
            self.manifest_offset.clone(),
        );
        registry.register(
            "ready",
            "1 once a manifest has been read",
            self.ready.clone(),
        );
        registry.register(
            "leaving",
            "1 while the node is shutting down",
            self.leaving.clone(),
        );
    }

    /// Counts a request that ended.
    pub fn count_request(&self, kind: &str, outcome: RequestOutcome) {
        let labels = RequestLabels {
            kind: kind.to_owned(),
            outcome,
        };
        self.requests.get_or_create(&labels).inc();
    }

    /// Counts an error that was sent to a caller.
    pub fn count_error(&self, code: &'static str) {
        self.errors.get_or_create(&CodeLabel { code }).inc();
    }

    /// Records the time to the first token of a request.
    pub fn observe_first_token(&self, kind: &str, elapsed: Duration) {
        let label = KindLabel {
            kind: kind.to_owned(),
        };
        self.first_token
            .get_or_create(&label)
            .observe(elapsed.as_secs_f64());
    }

    /// Records the time between two tokens.
    pub fn observe_token_gap(&self, elapsed: Duration) {
        self.token_gap.observe(elapsed.as_secs_f64());
    }

    /// Counts the prompt tokens of an answered request.
    pub fn count_prompt(&self, tokens: u32, cached: u32) {
        self.prompt_tokens.inc_by(u64::from(tokens));
        self.cached_tokens.inc_by(u64::from(cached));
    }

    /// Counts a stream event.
    pub fn count_stream_event(&self, event: StreamEvent) {
        self.stream_events
            .get_or_create(&StreamEventLabel { event })
            .inc();
    }

    /// Records an iteration of the control thread's loop that ended at `now`.
    pub fn control_step(&self, busy: Duration, now: Millis) {
        self.control_busy.inc_by(busy.as_secs_f64());
        self.control_steps.inc();
        self.last_control_step.store(now.0, Ordering::Relaxed);
    }

    /// Returns the time of the last iteration of the control thread's loop; 0 before
    /// the first.
    pub fn last_control_step(&self) -> Millis {
        Millis(self.last_control_step.load(Ordering::Relaxed))
    }

    /// Encodes the metrics as text, with the gauges set from `view`.
    pub fn encode(&self, view: &View) -> String {
        let permits: u32 = view.engines.iter().map(|engine| engine.inflight).sum();
        self.permits.set(i64::from(permits));
        self.engines
            .set(i64::try_from(view.answering).unwrap_or(i64::MAX));
        let offset = view.manifest_offset();
        let offset = offset.map_or(-1, |offset| i64::try_from(offset).unwrap_or(i64::MAX));
        self.manifest_offset.set(offset);
        self.ready.set(i64::from(view.ready));
        self.leaving.set(i64::from(view.leaving()));
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = prometheus_client::encoding::text::encode(&mut text, &self.registry);
        text
    }
}
