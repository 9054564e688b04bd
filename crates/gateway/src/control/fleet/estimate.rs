//! Estimated delay of a request at an endpoint.

use super::{EndpointState, FIRST_STEP_MS};
use crate::catalog::EngineSpec;
use crate::clock::Millis;
use crate::control::PlacementRequest;
use crate::control::cache_index::{CacheIndex, PartKey, PartLocation, namespace, shared_keys};
use crate::control::named_weights::{NamedVersion, replaced_at};
use crate::endpoint::EndpointKey;
use crate::workspaces::Sharing;

/// Assumed prefill rate of an engine, in prompt tokens per ms. [`EndpointState`]
/// scales the resulting times by the slowdown measured at each engine.
const PREFILL_TOKENS_PER_MS: f64 = 60.0;

/// Penalty per token of a part that another engine is already prefilling, in ms.
const DUPLICATE_PREFILL_MS_PER_TOKEN: f64 = 0.6;

/// Fixed part of the time to fetch cached parts, in ms.
const FETCH_OVERHEAD_MS: f64 = 4.0;

/// Time that each running request adds to the first token of the next one, in ms.
const RUNNING_REQUEST_MS: f64 = 1.5;

/// Penalty for a server that runs as many requests as it has slots, relative to their
/// target.
const SERVER_LOAD_TARGETS: f64 = 0.05;

/// The same while more run, since they queue.
const SERVER_QUEUE_TARGETS: f64 = 0.25;

/// Uninterrupted prefill time above which streams that the engine is decoding stall
/// noticeably, in ms.
const LONG_PREFILL_MS: f64 = 350.0;

/// Prefill time beyond [`LONG_PREFILL_MS`] at which such a stall is certain, in ms.
const LONG_PREFILL_RANGE_MS: f64 = 250.0;

/// Penalty per stream that would stall, in ms.
const STALLED_STREAM_MS: f64 = 40.0;

/// Penalty for an endpoint in another availability zone, in ms.
const CROSS_ZONE_MS: f64 = 1.0;

/// Penalty for an endpoint that is avoided after failures, in ms.
const SUSPECT_MS: f64 = 5_000.0;

/// Penalty for an engine that is reserved for loading weights, relative to the target for
/// the first token.
const RESERVED_TARGETS: f64 = 0.2;

/// Penalty for weights that were superseded more than [`WEIGHTS_FRESH_MS`] ago, relative to
/// the target for the first token: newer ones serve a request as long as they do so in time.
const OLD_WEIGHTS_TARGETS: f64 = 0.2;

/// Memory utilization above which an engine gets a penalty.
const MEMORY_PRESSURE_SHARE: f64 = 0.8;

/// Delay that an engine with twice the memory in use that it has counts, in ms.
const MEMORY_PRESSURE_MS: f64 = 1_500.0;

/// Time after which superseded weights are avoided, in ms.
const WEIGHTS_FRESH_MS: Millis = 1_100;

/// Penalty for weights that were superseded a moment ago, in ms.
const NEW_WEIGHTS_NAMED_MS: f64 = 25.0;

/// Multiple of the expected time to the start of a request by which it has started: neither
/// its estimate nor the waits of others include more urgent requests that arrive later.
const MAX_START_FACTOR: f64 = 2.0;

/// Part of the time for which superseded weights may be used over which the longest wait of
/// other requests at an engine counts.
const WAITS_SHARE: Millis = 3;

/// Penalty for an endpoint with a failure rate of 1, in ms.
const FAILURE_RATE_MS: f64 = 600.0;

/// Estimated cost of a request at an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct Estimate {
    /// Expected delay including all penalties, in ms.
    pub score: f64,
    /// Expected time to prefill the prompt, in ms.
    pub prefill_ms: f64,
    /// Expected time until the prompts ahead of it are prefilled, in ms.
    pub queue_ms: f64,
    /// Expected time from then to the first token, in ms.
    pub own_ms: f64,
    /// Version of the weights at the engine.
    pub version: Option<u64>,
    /// Shared tokens that would be prefilled although another engine is prefilling
    /// them.
    pub duplicate_tokens: u32,
    /// Shared tokens that would be prefilled because they are not cached anywhere, or
    /// follow tokens that are not.
    pub uncached_tokens: u32,
    /// Keys and token counts of the shared parts.
    pub parts: Vec<(PartKey, u32)>,
}

impl Estimate {
    /// Expected time from the sending of the request to its first token, in ms; 0 at an
    /// application server.
    pub fn expected_ms(&self) -> f64 {
        self.queue_ms + self.own_ms
    }
}

/// Inputs of an estimate that are the same for all endpoints.
#[derive(Clone, Copy, Debug)]
pub struct EstimateContext<'a> {
    /// Current time.
    pub now: Millis,
    /// Availability zone of this node.
    pub zone: &'a str,
    /// Named versions of the request's model, newest last.
    pub versions: &'a [NamedVersion],
    /// Time after which superseded weights must not be used any more, in ms.
    pub max_weights_age: Millis,
    /// With whom the request shares cached parts.
    pub sharing: Sharing<'a>,
}

/// What an engine would have to read and fetch of a prompt.
#[derive(Debug, Default)]
struct Reading {
    /// Time to prefill it at the assumed rate, in ms.
    prefill_ms: f64,
    /// Penalty for fetches, and for what another engine is reading, in ms.
    penalty_ms: f64,
    /// Shared tokens that another engine is reading.
    duplicate_tokens: u32,
    /// Shared tokens that no engine has, or that follow some.
    uncached_tokens: u32,
}

/// Returns what an engine would have to read and fetch of a prompt.
fn reading(
    request: &PlacementRequest,
    traits: &EngineSpec,
    keys: &[(PartKey, u32)],
    location: impl Fn(PartKey) -> PartLocation,
) -> Reading {
    // A bandwidth of 0 is no statement.
    let fetch_ms_per_token = if traits.link_mbps > 0.0 {
        traits.token_bytes * 8.0 / (traits.link_mbps * 1000.0)
    } else {
        0.0
    };
    let shared_tokens: u32 = keys.iter().map(|(_, tokens)| tokens).sum();
    let own = request.prompt_tokens.saturating_sub(shared_tokens);
    let mut reading = Reading {
        prefill_ms: f64::from(own) / PREFILL_TOKENS_PER_MS,
        ..Reading::default()
    };
    let mut fetched = false;
    for (key, count) in keys {
        let tokens = f64::from(*count);
        // A part can only be reused if all preceding parts are cached as well.
        if reading.uncached_tokens + reading.duplicate_tokens > 0 {
            reading.uncached_tokens += count;
            reading.prefill_ms += tokens / PREFILL_TOKENS_PER_MS;
            continue;
        }
        match location(*key) {
            PartLocation::Cached | PartLocation::Prefilling => {}
            PartLocation::CachedElsewhere => {
                fetched = true;
                reading.penalty_ms += tokens * fetch_ms_per_token * 2.0;
            }
            PartLocation::PrefillingElsewhere => {
                reading.duplicate_tokens += count;
                reading.prefill_ms += tokens / PREFILL_TOKENS_PER_MS;
                reading.penalty_ms += tokens * DUPLICATE_PREFILL_MS_PER_TOKEN;
            }
            PartLocation::Uncached => {
                reading.uncached_tokens += count;
                reading.prefill_ms += tokens / PREFILL_TOKENS_PER_MS;
            }
        }
    }
    if fetched {
        reading.penalty_ms += FETCH_OVERHEAD_MS;
    }
    reading
}

impl EndpointState {
    fn health_penalty_ms(&self, now: Millis) -> f64 {
        let suspect = if self.is_avoided(now) {
            SUSPECT_MS
        } else {
            0.0
        };
        suspect + self.failure_rate * FAILURE_RATE_MS
    }

    fn zone_penalty_ms(&self, context: &EstimateContext) -> f64 {
        if self.endpoint.zone == context.zone {
            0.0
        } else {
            CROSS_ZONE_MS
        }
    }

    /// Estimates the delay at an application server.
    pub fn estimate_server(
        &self,
        request: &PlacementRequest,
        context: &EstimateContext,
    ) -> Estimate {
        let slots = f64::from(self.endpoint.slots.max(1));
        let load = self.runs.len() as f64 / slots;
        let targets = if load < 1.0 {
            SERVER_LOAD_TARGETS
        } else {
            SERVER_QUEUE_TARGETS
        };
        let queue = load * targets * request.target.as_millis() as f64;
        Estimate {
            score: queue + self.health_penalty_ms(context.now) + self.zone_penalty_ms(context),
            prefill_ms: 0.0,
            queue_ms: 0.0,
            own_ms: 0.0,
            version: None,
            duplicate_tokens: 0,
            uncached_tokens: 0,
            parts: Vec::new(),
        }
    }

    /// Estimates the delay at an engine. Returns none if the request cannot be sent
    /// there now.
    pub fn estimate_engine(
        &self,
        request: &PlacementRequest,
        traits: &EngineSpec,
        parts: &CacheIndex,
        is_available: impl Fn(EndpointKey) -> bool + Copy,
        context: &EstimateContext,
    ) -> Option<Estimate> {
        let now = context.now;
        if now < self.loading_until || self.awaits_trial(now) {
            return None;
        }
        let model = request.model.as_deref()?;
        let version = *self.weights.get(model)?;
        let keys = shared_keys(namespace(model, version, context.sharing), &request.parts);
        let reading = reading(request, traits, &keys, |key| {
            parts.location(key, self.endpoint.key(), is_available, now)
        });
        let queue_ms = self.prefill_queue_ms(now);
        let read_ms = reading.prefill_ms * self.slowdown;
        let age = replaced_at(context.versions, version).map(|at| now.saturating_sub(at));
        // The request must start before the superseded weights expire.
        let max_age = context.max_weights_age;
        let starts_in_time = |age: Millis| {
            let waits_from = now.saturating_sub(max_age / WAITS_SHARE);
            let wait_ms = queue_ms.max(self.longest_wait_ms(waits_from, now));
            let latest_start_ms = (wait_ms + read_ms) * MAX_START_FACTOR;
            age as f64 + latest_start_ms <= max_age as f64
        };
        if age.is_some_and(|age| !starts_in_time(age)) {
            return None;
        }
        let score = self.health_penalty_ms(now)
            + self.zone_penalty_ms(context)
            + self.weights_penalty_ms(request, age, now)
            + reading.penalty_ms
            + self.memory_penalty_ms(request, traits)
            + self.runs.len() as f64 * RUNNING_REQUEST_MS
            + queue_ms
            + read_ms
            + self.stall_penalty_ms(queue_ms + read_ms);
        Some(Estimate {
            score,
            prefill_ms: reading.prefill_ms,
            queue_ms,
            own_ms: read_ms + FIRST_STEP_MS,
            version: Some(version),
            duplicate_tokens: reading.duplicate_tokens,
            uncached_tokens: reading.uncached_tokens,
            parts: keys,
        })
    }

    /// Penalty for superseded weights, and for an engine that is about to load others.
    fn weights_penalty_ms(
        &self,
        request: &PlacementRequest,
        age: Option<Millis>,
        now: Millis,
    ) -> f64 {
        let target_ms = request.target.as_millis() as f64;
        let superseded = match age {
            Some(age) if age > WEIGHTS_FRESH_MS => OLD_WEIGHTS_TARGETS * target_ms,
            Some(_) => NEW_WEIGHTS_NAMED_MS,
            None => 0.0,
        };
        let reserved = if now < self.reserved_until {
            RESERVED_TARGETS * target_ms
        } else {
            0.0
        };
        superseded + reserved
    }

    fn memory_penalty_ms(&self, request: &PlacementRequest, traits: &EngineSpec) -> f64 {
        let tokens =
            self.memory_tokens() + u64::from(request.prompt_tokens + request.output_tokens);
        let memory = tokens as f64 / traits.memory_tokens.max(1) as f64;
        (memory - MEMORY_PRESSURE_SHARE).max(0.0) * MEMORY_PRESSURE_MS
    }

    /// Penalty for the streams that stall while the engine reads prompts for `busy_ms`.
    fn stall_penalty_ms(&self, busy_ms: f64) -> f64 {
        let long_prefill = ((busy_ms - LONG_PREFILL_MS) / LONG_PREFILL_RANGE_MS).clamp(0.0, 1.5);
        long_prefill * self.decoding_streams() as f64 * STALLED_STREAM_MS
    }
}
