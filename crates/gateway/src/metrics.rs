//! Prometheus metrics of a node.

use std::collections::BTreeSet;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

use crate::catalog::{RequestKind, Route};
use crate::control::wait_error::{MAX_PRIORITY, WaitError};
use crate::response::ErrorReason;

/// Maximum number of workspaces with a label of their own.
const MAX_QUOTA_LABELS: usize = 128;

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
    /// An ask for a workspace's quota, or a message about one.
    Quota,
    /// A change of the belief that the node is cut off from a service.
    Reach,
    /// A connection closed or refused because its port has as many as it may.
    Connection,
    /// A streamed answer that its caller did not read.
    UnreadStream,
    /// A large body for whose connection there is no wide receive buffer.
    ReceiveBuffer,
    /// How an endpoint left the connection that ended a response without a marked end.
    UnmarkedEnd,
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

/// Labels of an ask for quota: its workspace, and its outcome.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct QuotaLabels {
    workspace: String,
    outcome: &'static str,
}

/// Label of what was learnt about a service's engines.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct ServiceLabel {
    service: String,
}

/// Labels of waits for the first token.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct WaitLabels {
    service: String,
    priority: u32,
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
    quota: Family<QuotaLabels, Counter>,
    /// Workspaces with a label of their own.
    quota_workspaces: Mutex<BTreeSet<String>>,
    limited_endpoints: Gauge,
    live_nodes: Gauge,
    datagrams: Family<DatagramLabels, Counter>,
    datagram_bytes: Family<DatagramLabels, Counter>,
    datagram_delay: Histogram,
    round_time: Histogram,
    load_ms: Family<ServiceLabel, Gauge>,
    concurrent_loads: Family<ServiceLabel, Gauge>,
    expected_wait: Family<WaitLabels, Histogram>,
    actual_wait: Family<WaitLabels, Histogram>,
    wait_ratio: Family<WaitLabels, Gauge<f64, AtomicU64>>,
    wait_factor: Family<WaitLabels, Gauge<f64, AtomicU64>>,
}

/// What became of a datagram to or from another node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DatagramStep {
    /// The socket accepted it.
    Sent,
    /// The socket did not accept it.
    NotSent,
    /// It arrived.
    Received,
}

/// Label of datagrams.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct DatagramLabels {
    step: &'static str,
}

fn delay_histogram() -> Histogram {
    // 1 ms to 4 s.
    Histogram::new(exponential_buckets(0.001, 2.0, 13))
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
            quota: Family::default(),
            quota_workspaces: Mutex::default(),
            limited_endpoints: Gauge::default(),
            live_nodes: Gauge::default(),
            datagrams: Family::default(),
            datagram_bytes: Family::default(),
            datagram_delay: delay_histogram(),
            round_time: delay_histogram(),
            load_ms: Family::default(),
            concurrent_loads: Family::default(),
            expected_wait: Family::new_with_constructor(first_byte_histogram as fn() -> Histogram),
            actual_wait: Family::new_with_constructor(first_byte_histogram as fn() -> Histogram),
            wait_ratio: Family::default(),
            wait_factor: Family::default(),
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
                "quota",
                "Asks for quota by workspace and outcome",
                metrics.quota.clone(),
            );
            registry.register(
                "limited_endpoints",
                "Endpoints that state a limit of requests",
                metrics.limited_endpoints.clone(),
            );
            metrics.register_node_traffic(&mut registry);
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
            registry.register(
                "expected_wait_seconds",
                "Time to the first token that was expected when a request was placed at an engine",
                metrics.expected_wait.clone(),
            );
            registry.register(
                "actual_wait_seconds",
                "Time from sending a request to an engine to its first token",
                metrics.actual_wait.clone(),
            );
            registry.register(
                "wait_error_ratio",
                "Moving mean of actual by expected wait",
                metrics.wait_ratio.clone(),
            );
            registry.register(
                "wait_safety_factor",
                "Multiple of the expected wait that holds in 95 of 100 cases",
                metrics.wait_factor.clone(),
            );
        }
        metrics
    }
}

impl Metrics {
    /// Registers what tells how news travels between the nodes, and how long the control
    /// thread takes for it.
    fn register_node_traffic(&self, registry: &mut Registry) {
        registry.register(
            "live_nodes",
            "Nodes that this one takes to be alive, with itself",
            self.live_nodes.clone(),
        );
        registry.register(
            "datagrams",
            "Datagrams sent to other nodes, not accepted by the socket, and received",
            self.datagrams.clone(),
        );
        registry.register(
            "datagram_bytes",
            "Bytes of these datagrams",
            self.datagram_bytes.clone(),
        );
        registry.register(
            "datagram_delay_seconds",
            "Time that a received datagram took longer than the fastest recent one of its sender",
            self.datagram_delay.clone(),
        );
        registry.register(
            "control_round_seconds",
            "Time from the first event that the control thread handles to the end of the tick after it",
            self.round_time.clone(),
        );
    }

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
            EventKind::Quota => "quota",
            EventKind::Reach => "reach",
            EventKind::Connection => "connection",
            EventKind::UnreadStream => "unread_stream",
            EventKind::ReceiveBuffer => "receive_buffer",
            EventKind::UnmarkedEnd => "unmarked_end",
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

    /// Records the expected and the actual wait of a request in ms, and the error since.
    pub fn record_wait(
        &self,
        service: &str,
        priority: u8,
        (expected_ms, actual_ms): (f64, f64),
        error: &WaitError,
    ) {
        let labels = WaitLabels {
            service: service.to_owned(),
            priority: u32::from(priority.min(MAX_PRIORITY)),
        };
        let expected = self.expected_wait.get_or_create(&labels);
        expected.observe(expected_ms / 1000.0);
        let actual = self.actual_wait.get_or_create(&labels);
        actual.observe(actual_ms / 1000.0);
        self.wait_ratio.get_or_create(&labels).set(error.mean);
        let factor = self.wait_factor.get_or_create(&labels);
        factor.set(error.safety_factor());
    }

    /// Counts an ask for quota of a workspace. The number of labels is bounded.
    pub fn count_quota(&self, workspace: &str, outcome: &'static str) {
        let has_label = self.quota_workspaces.lock().is_ok_and(|mut known| {
            known.contains(workspace)
                || known.len() < MAX_QUOTA_LABELS && known.insert(workspace.to_owned())
        });
        let label = if has_label { workspace } else { "other" };
        let labels = QuotaLabels {
            workspace: label.to_owned(),
            outcome,
        };
        self.quota.get_or_create(&labels).inc();
    }

    /// Sets the number of endpoints that state a limit of requests.
    pub fn set_limited_endpoints(&self, count: usize) {
        self.limited_endpoints
            .set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Sets the number of nodes that are taken to be alive.
    pub fn set_live_nodes(&self, count: usize) {
        self.live_nodes
            .set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Counts datagrams of the same size.
    pub fn count_datagrams(&self, step: DatagramStep, datagrams: u64, size: usize) {
        if datagrams == 0 {
            return;
        }
        let step = match step {
            DatagramStep::Sent => "sent",
            DatagramStep::NotSent => "not_sent",
            DatagramStep::Received => "received",
        };
        let labels = DatagramLabels { step };
        self.datagrams.get_or_create(&labels).inc_by(datagrams);
        let bytes = datagrams * size as u64;
        self.datagram_bytes.get_or_create(&labels).inc_by(bytes);
    }

    /// Records the delay of a received datagram, in ms.
    pub fn record_datagram_delay(&self, delay_ms: u64) {
        self.datagram_delay.observe(delay_ms as f64 / 1000.0);
    }

    /// Records how long the control thread took for the events that it handled at once.
    pub fn record_round(&self, took: Duration) {
        self.round_time.observe(took.as_secs_f64());
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
