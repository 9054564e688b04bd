//! Measurement of the latency that nodes add to the time to first token.
//!
//! Requests to the nodes and requests sent directly to the engines alternate within one
//! run, so that both are measured under the same conditions.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use flamingolock_core::prelude::*;
use flamingolock_node::endpoint_client::{Connection, EndpointClient, post_json};
use flamingolock_node::sse::SseReader;
use flamingolock_standins::engine::{self, EngineOptions};
use http::{HeaderValue, Request, StatusCode, header};
use http_body_util::Full;
use serde::Serialize;
use serde_json::json;
use tokio::task::JoinSet;

use crate::fleet::{Fleet, FleetError, FleetOptions};
use crate::report::Percentiles;
use crate::workload::{MODEL, Profile, WEIGHTS, workspace_key};

/// Timeout for the response head and for each event of the stream.
const ANSWER_TIMEOUT_MS: u64 = 10_000;

/// Requests per path that are excluded from the report, so that connections are
/// established before the measurement.
const WARM_UP_REQUESTS: u32 = 100;

/// Tokens of each answer.
const ANSWER_TOKENS: u32 = 8;

/// Number of words that all prompts have in common at their start.
const SHARED_WORDS: usize = 400;

/// Options of a run.
#[derive(Clone, Debug)]
pub struct OverheadOptions {
    /// Duration of the measurement in seconds.
    pub seconds: f64,
    /// Requests per second to the nodes; the engines get the same rate directly.
    pub rate: f64,
    /// Number of nodes.
    pub nodes: usize,
    /// Number of engines.
    pub engines: usize,
}

/// Results of a run.
#[derive(Clone, Debug, Serialize)]
pub struct OverheadReport {
    /// Measured requests per path.
    pub requests: u32,
    /// Requests without a complete answer, on both paths together.
    pub failed: u32,
    /// Time to first token of direct requests to the engines.
    pub direct_ms: Percentiles,
    /// Time to first token of requests through the nodes.
    pub node_ms: Percentiles,
    /// Difference between the 99th percentiles of both paths.
    pub added_p99_ms: f64,
}

/// Path of a request to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Path {
    Direct,
    Node,
}

struct Targets {
    http: EndpointClient,
    nodes: Vec<SocketAddr>,
    engines: Vec<SocketAddr>,
    bearer: String,
    preamble: String,
}

struct Sample {
    path: Path,
    number: u32,
    first: Option<Duration>,
}

/// Starts a fleet and measures both paths.
///
/// # Errors
///
/// Fails if the fleet cannot start.
pub fn run(options: &OverheadOptions) -> Result<OverheadReport, FleetError> {
    let profile = Profile::mixed(options.rate);
    let fleet = Fleet::start(FleetOptions {
        nodes: options.nodes,
        engines: options.engines,
        engine: engine_options(),
        ..FleetOptions::default()
    })?;
    let mut manifest = profile.manifest();
    for workspace in manifest.workspaces.values_mut() {
        workspace.request_rate = None;
        workspace.max_inflight = None;
    }
    fleet.publish(&manifest)?;
    let key = workspace_key(&profile.workspaces[0].id);
    let targets = Arc::new(Targets {
        http: EndpointClient::new(1_000),
        nodes: fleet.entry_addresses(),
        engines: fleet.engines.values().map(engine::Handle::addr).collect(),
        bearer: format!("Bearer {key}"),
        preamble: "preamble ".repeat(SHARED_WORDS),
    });
    let count = WARM_UP_REQUESTS + (options.seconds * options.rate) as u32;
    let gap = Duration::from_secs_f64(1.0 / (2.0 * options.rate));
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .thread_name("load")
        .enable_all()
        .build()?;
    let samples = runtime.block_on(send_all(&targets, count, gap));
    Ok(report(&samples, count))
}

/// Returns the options of fast engines with spare slots, so that the latency added by
/// the nodes is not hidden by that of the engines.
fn engine_options() -> EngineOptions {
    EngineOptions {
        model: ModelName::from(MODEL),
        weights: WeightsVersion::from(WEIGHTS),
        slots: 256,
        prefill_tokens_per_s: 1_000_000.0,
        decode_ms: 5.0,
        ..EngineOptions::default()
    }
}

async fn send_all(targets: &Arc<Targets>, count: u32, gap: Duration) -> Vec<Sample> {
    let started = Instant::now();
    let mut tasks = JoinSet::new();
    for index in 0..2 * count {
        let due = started + gap * index;
        tokio::time::sleep_until(due.into()).await;
        let path = if index % 2 == 0 {
            Path::Node
        } else {
            Path::Direct
        };
        let targets = Arc::clone(targets);
        tasks.spawn(async move { targets.sample(path, index / 2).await });
    }
    tasks.join_all().await
}

fn report(samples: &[Sample], count: u32) -> OverheadReport {
    let counted = || {
        samples
            .iter()
            .filter(|sample| sample.number >= WARM_UP_REQUESTS)
    };
    let times = |path| {
        let micros = |first: Duration| first.as_micros() as u64;
        Percentiles::from_micros(
            counted()
                .filter(move |sample| sample.path == path)
                .filter_map(move |sample| sample.first.map(micros)),
        )
    };
    let (direct_ms, node_ms) = (times(Path::Direct), times(Path::Node));
    let failed = counted().filter(|sample| sample.first.is_none()).count();
    OverheadReport {
        requests: count - WARM_UP_REQUESTS,
        failed: failed as u32,
        direct_ms,
        node_ms,
        added_p99_ms: node_ms.p99 - direct_ms.p99,
    }
}

impl Targets {
    async fn sample(&self, path: Path, number: u32) -> Sample {
        let first = match path {
            Path::Direct => self.direct_request(number),
            Path::Node => self.node_request(number),
        };
        let first = match first {
            Ok(request) => self.first_token(request).await,
            Err(_) => None,
        };
        Sample {
            path,
            number,
            first,
        }
    }

    fn prompt(&self, number: u32) -> String {
        format!("{}question {number}", self.preamble)
    }

    fn direct_request(&self, number: u32) -> Result<Request<Full<Bytes>>, http::Error> {
        let engine = self.engines[number as usize % self.engines.len()];
        let seed = PrefixSeed::new(
            &WorkspaceId::from("direct"),
            &ModelName::from(MODEL),
            &WeightsVersion::from(WEIGHTS),
            None,
        );
        let body = json!({
            "model": MODEL, "prompt": self.prompt(number), "max_tokens": ANSWER_TOKENS,
            "stream": true, "cache_salt": seed.to_hex(), "request_id": format!("direct-{number}"),
        });
        let body = body.to_string().into_bytes();
        post_json(&engine.to_string(), "/v1/completions", body)
    }

    fn node_request(&self, number: u32) -> Result<Request<Full<Bytes>>, http::Error> {
        let node = self.nodes[number as usize % self.nodes.len()];
        let body = json!({
            "model": MODEL, "prompt": self.prompt(number), "max_tokens": ANSWER_TOKENS,
            "stream": true,
        });
        let body = body.to_string().into_bytes();
        let mut request = post_json(&node.to_string(), "/v1/completions", body)?;
        let bearer = HeaderValue::from_str(&self.bearer)?;
        request.headers_mut().insert(header::AUTHORIZATION, bearer);
        Ok(request)
    }

    /// Returns the time to first token; none if the answer is not complete.
    async fn first_token(&self, request: Request<Full<Bytes>>) -> Option<Duration> {
        let started = Instant::now();
        let sent = self
            .http
            .send(request, Connection::Pooled, ANSWER_TIMEOUT_MS);
        let response = sent.await.ok()?;
        if response.status() != StatusCode::OK {
            return None;
        }
        let mut reader = SseReader::new(response.into_body());
        reader.next().await.ok()??;
        let first = started.elapsed();
        loop {
            let wait = Duration::from_millis(ANSWER_TIMEOUT_MS);
            let data = tokio::time::timeout(wait, reader.next()).await.ok()?;
            if data.ok()?? == "[DONE]" {
                return Some(first);
            }
        }
    }
}
