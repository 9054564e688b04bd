//! Prometheus metrics of a node.

use std::sync::Mutex;
use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

use crate::catalog::{RequestKind, Route};
use crate::response::ErrorReason;

/// Labels of a response: kind of the request and status.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct ResponseLabels {
    kind: String,
    status: u32,
}

/// Label of a request that was refused before it reached an endpoint.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct RefusalLabels {
    reason: String,
}

/// Label of a latency histogram: kind of the request.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct KindLabel {
    kind: String,
}

/// Kind of a counted event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventKind {
    /// A request for a placement at an endpoint.
    Placement,
    /// The end of a run at an endpoint.
    RunEnd,
    /// An order to an engine.
    Order,
    /// A call to the store.
    StoreCall,
    /// A transfer of topic copies with another node.
    Copies,
    /// A verdict on a prompt part.
    PromptPart,
    /// A verdict on a request that may crash endpoints.
    CrashingRequest,
    /// A permit for an endpoint that states a limit of requests.
    Permit,
    /// A probe of the path to an endpoint.
    Probe,
    /// A request that another node handed on.
    Handover,
    /// A change of the belief that the node is cut off from a service.
    Reach,
    /// A connection closed or refused because its port has as many as it may.
    Connection,
    /// A streamed answer that its caller did not read.
    UnreadStream,
}

/// Labels of a counted event.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct EventLabels {
    event: &'static str,
    outcome: &'static str,
}

/// Labels of a retry: its service, and whether the budget allowed it.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct RetryLabels {
    service: String,
    outcome: &'static str,
}

/// Label of what was learnt about a service's engines.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct ServiceLabel {
    service: String,
}

/// All metrics of a node.
#[derive(Debug)]
pub struct Metrics {
    registry: Mutex<Registry>,
    answered: Family<ResponseLabels, Counter>,
    refused: Family<RefusalLabels, Counter>,
    first_byte: Family<KindLabel, Histogram>,
    events: Family<EventLabels, Counter>,
    retries: Family<RetryLabels, Counter>,
    limited_endpoints: Gauge,
    load_ms: Family<ServiceLabel, Gauge>,
    concurrent_loads: Family<ServiceLabel, Gauge>,
}

fn first_byte_histogram() -> Histogram {
    // 5 ms to 20 s.
    Histogram::new(exponential_buckets(0.005, 2.0, 13))
}

impl Default for Metrics {
    fn default() -> Self {
        let metrics = Self {
            registry: Mutex::new(Registry::with_prefix("flamingolock")),
            answered: Family::default(),
            refused: Family::default(),
            first_byte: Family::new_with_constructor(first_byte_histogram as fn() -> Histogram),
            events: Family::default(),
            retries: Family::default(),
            limited_endpoints: Gauge::default(),
            load_ms: Family::default(),
            concurrent_loads: Family::default(),
        };
        if let Ok(mut registry) = metrics.registry.lock() {
            registry.register(
                "requests",
                "Requests by kind and status",
                metrics.answered.clone(),
            );
            registry.register(
                "refused",
                "Requests refused by the node, by reason",
                metrics.refused.clone(),
            );
            registry.register(
                "events",
                "Placements, ends of runs, orders, store calls, transfers, verdicts on prompt parts and requests, permits",
                metrics.events.clone(),
            );
            registry.register(
                "retries",
                "Retries by service, granted or refused by the budget",
                metrics.retries.clone(),
            );
            registry.register(
                "limited_endpoints",
                "Endpoints that state a limit of requests",
                metrics.limited_endpoints.clone(),
            );
            registry.register(
                "load_milliseconds",
                "Expected duration of a load of weights, by service",
                metrics.load_ms.clone(),
            );
            registry.register(
                "concurrent_loads",
                "Engines that may load weights at once, by service",
                metrics.concurrent_loads.clone(),
            );
            registry.register(
                "first_byte_seconds",
                "Time from a request's head to the head of its answer",
                metrics.first_byte.clone(),
            );
        }
        metrics
    }
}

impl Metrics {
    /// Counts a response and records the time to its head.
    pub fn count_response(&self, route: &Route, status: u16, took: Duration) {
        let kind = match route.kind {
            RequestKind::Safe => "safe",
            RequestKind::Once => "once",
            RequestKind::Stream => "stream",
        };
        let labels = ResponseLabels {
            kind: kind.to_owned(),
            status: u32::from(status),
        };
        self.answered.get_or_create(&labels).inc();
        let labels = KindLabel {
            kind: kind.to_owned(),
        };
        self.first_byte
            .get_or_create(&labels)
            .observe(took.as_secs_f64());
    }

    /// Counts a request that was refused before it reached an endpoint.
    pub fn count_refused(&self, reason: ErrorReason) {
        let labels = RefusalLabels {
            reason: reason.as_str().to_owned(),
        };
        self.refused.get_or_create(&labels).inc();
    }

    /// Counts an event by its outcome.
    pub fn count(&self, topic: EventKind, outcome: &'static str) {
        let event = match topic {
            EventKind::Placement => "placement",
            EventKind::RunEnd => "run_end",
            EventKind::Order => "order",
            EventKind::StoreCall => "store_call",
            EventKind::Copies => "copies",
            EventKind::PromptPart => "prompt_part",
            EventKind::CrashingRequest => "crashing_request",
            EventKind::Permit => "permit",
            EventKind::Probe => "probe",
            EventKind::Handover => "handover",
            EventKind::Reach => "reach",
            EventKind::Connection => "connection",
            EventKind::UnreadStream => "unread_stream",
        };
        self.events
            .get_or_create(&EventLabels { event, outcome })
            .inc();
    }

    /// Counts a retry that the budget granted or refused.
    pub fn count_retry(&self, service: &str, granted: bool) {
        let labels = RetryLabels {
            service: service.to_owned(),
            outcome: if granted { "granted" } else { "refused" },
        };
        self.retries.get_or_create(&labels).inc();
    }

    /// Sets the number of endpoints that state a limit of requests.
    pub fn set_limited_endpoints(&self, count: usize) {
        self.limited_endpoints
            .set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Sets what is known of the loads of a service's engines.
    pub fn set_loads(&self, service: &str, expected_ms: u64, concurrent: usize) {
        let label = ServiceLabel {
            service: service.to_owned(),
        };
        let gauge = |family: &Family<ServiceLabel, Gauge>, value: i64| {
            family.get_or_create(&label).set(value);
        };
        gauge(
            &self.load_ms,
            i64::try_from(expected_ms).unwrap_or(i64::MAX),
        );
        gauge(
            &self.concurrent_loads,
            i64::try_from(concurrent).unwrap_or(i64::MAX),
        );
    }

    /// Encodes all metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        let mut text = String::new();
        if let Ok(registry) = self.registry.lock()
            && let Err(error) = encode(&mut text, &registry)
        {
            log::warn!(error:% = error; "cannot encode metrics");
        }
        text
    }
}
