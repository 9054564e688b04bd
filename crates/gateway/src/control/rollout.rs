//! Roll-out of new model weights: decides which engine loads them next.

use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::control::fleet::EndpointState;
use crate::control::lease::LeaseStep;
use crate::dialect::{EngineReport, OrderOutcome, WeightsOrder};
use crate::endpoint::EndpointKey;

/// Number of engines that may load weights concurrently in a fleet of any size.
const MIN_CONCURRENT_LOADS: usize = 2;

/// Fleet size per engine that may load concurrently.
const ENGINES_PER_LOAD: usize = 5;

/// At most one engine in this many may load concurrently, so that the rest of the
/// fleet keeps serving.
const MIN_ENGINES_PER_LOAD: usize = 2;

/// Expected duration of a load, in ms.
const LOAD_MS: Millis = 330;

/// Time for which an engine gets no new requests before it loads, in ms.
const RESERVE_MS: Millis = 200;

/// Delay after an order at which the engine's report shows the result, in ms.
const CONFIRM_MS: Millis = 700;

/// Delay before an order is retried, in ms.
const RETRY_MS: Millis = 400;

/// Delay before an order that was not sent is retried, in ms.
const UNSENT_RETRY_MS: Millis = 150;

/// Time without progress after which another node takes over the roll-out, in ms.
const TAKEOVER_MS: Millis = 1_500;

/// Additional delay per rank among the nodes that may take over, in ms.
const TAKEOVER_STAGGER_MS: Millis = 300;

/// State of the orders to one engine.
#[derive(Clone, Debug, Default)]
struct EngineProgress {
    start_time_ms: u64,
    /// Number of orders that the engine has accepted since its start; none if it has to
    /// be read from the engine's report.
    accepted: Option<u64>,
    in_flight: bool,
    reserved_at: Option<Millis>,
    retry_at: Millis,
    confirm_at: Option<Millis>,
}

/// Engine with outdated weights. The field order defines the order of loading:
/// engines that are already reserved, then those with the oldest weights, then
/// those whose requests take the least memory.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct LoadCandidate {
    is_unreserved: bool,
    loaded_version: Option<u64>,
    tokens: u64,
    key: EndpointKey,
    model: String,
    version: u64,
}

/// Action for the lease holder.
#[derive(Clone, Debug, PartialEq)]
pub enum Task {
    /// Send an order to an engine.
    Order(Box<WeightsOrder>),
    /// Request the engine's report.
    Report(EndpointKey),
}

/// Returns when the weights of `version` were superseded, given all versions that
/// the operator named.
pub fn replaced_at(versions: &[NamedVersion], version: u64) -> Option<Millis> {
    let newer = versions.iter().find(|named| named.version > version);
    newer.map(|named| named.named_at)
}

/// Version of a model's weights that the operator named.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NamedVersion {
    /// Version of the weights.
    pub version: u64,
    /// Time at which the operator is assumed to have named it.
    pub named_at: Millis,
}

/// Number of named versions that are kept per model.
const MAX_VERSIONS: usize = 16;

/// State of the roll-out.
#[derive(Debug, Default)]
pub struct Rollout {
    /// Named versions of each model, newest last.
    named: BTreeMap<String, Vec<NamedVersion>>,
    engines: BTreeMap<EndpointKey, EngineProgress>,
    progressed_at: Millis,
}

/// Number of engines of a fleet that may load weights concurrently. With two
/// engines or more, at least half keep serving.
pub fn max_concurrent_loads(engines: usize) -> usize {
    MIN_CONCURRENT_LOADS
        .max(engines / ENGINES_PER_LOAD)
        .min(engines / MIN_ENGINES_PER_LOAD)
        .max(1)
}

type Fleet = BTreeMap<EndpointKey, EndpointState>;

impl Rollout {
    /// Records a version that the operator named at `named_at`. Returns true if it is
    /// newer than all known versions.
    pub fn name_version(
        &mut self,
        model: &str,
        version: u64,
        named_at: Millis,
        now: Millis,
    ) -> bool {
        let versions = self.named.entry(model.to_owned()).or_default();
        if versions.last().is_some_and(|last| last.version >= version) {
            return false;
        }
        if versions.len() == MAX_VERSIONS {
            // The oldest version stays in the list because it determines since when the
            // versions before it count as superseded. The next one now does so for it.
            let removed = versions.remove(1);
            versions[1].named_at = removed.named_at;
        }
        versions.push(NamedVersion { version, named_at });
        self.progressed_at = now;
        true
    }

    /// Returns the named versions of a model, newest last.
    pub fn versions(&self, model: &str) -> &[NamedVersion] {
        self.named.get(model).map_or(&[], Vec::as_slice)
    }

    fn newest(&self, model: &str) -> Option<u64> {
        self.versions(model).last().map(|named| named.version)
    }

    /// Records progress of the roll-out at this or another node.
    pub fn note_progress(&mut self, now: Millis) {
        self.progressed_at = now;
    }

    /// Returns a model whose weights are outdated at the engine, and the newest
    /// version.
    fn missing_weights(&self, state: &EndpointState) -> Option<(&str, u64)> {
        if state.endpoint.leaving || state.removal_due_at.is_some() {
            return None;
        }
        self.named.keys().find_map(|model| {
            let (version, newest) = (*state.weights.get(model)?, self.newest(model)?);
            (version < newest).then_some((model.as_str(), newest))
        })
    }

    /// Returns true if any engine has outdated weights.
    pub fn has_pending_loads(&self, fleet: &Fleet) -> bool {
        fleet
            .values()
            .any(|state| self.missing_weights(state).is_some())
    }

    /// Returns true if this node may try to acquire the lease. `rank` is its rank among
    /// the nodes; `holder_alive` tells whether the last holder is another node that is
    /// alive.
    pub fn may_seek_lease(
        &self,
        rank: usize,
        was_holder: bool,
        holder_alive: bool,
        now: Millis,
    ) -> bool {
        let wait = match (was_holder, holder_alive) {
            (true, _) => 0,
            (false, true) => TAKEOVER_MS + TAKEOVER_STAGGER_MS * rank as Millis,
            (false, false) => TAKEOVER_STAGGER_MS * rank as Millis,
        };
        now >= self.progressed_at + wait
    }

    /// Returns the tasks of the lease holder and marks the affected engines as reserved
    /// or loading.
    pub fn plan(
        &mut self,
        fleet: &mut Fleet,
        lease: LeaseStep,
        holder: &str,
        now: Millis,
    ) -> Vec<Task> {
        let LeaseStep::Hold { fencing, until } = lease else {
            return Vec::new();
        };
        let mut tasks = Vec::new();
        let mut engines = 0;
        let mut loading = 0;
        let mut candidates: Vec<LoadCandidate> = Vec::new();
        for (key, state) in fleet.iter() {
            if state.weights.is_empty() {
                continue;
            }
            engines += 1;
            if now < state.loading_until {
                loading += 1;
            } else if let Some((model, version)) = self.missing_weights(state) {
                let (model, has) = (model.to_owned(), state.weights.get(model).copied());
                let progress = self.engines.entry(*key).or_default();
                if progress.start_time_ms != state.endpoint.start_time_ms {
                    *progress = EngineProgress {
                        start_time_ms: state.endpoint.start_time_ms,
                        ..EngineProgress::default()
                    };
                }
                if !progress.in_flight && now >= progress.retry_at && now >= state.avoid_until {
                    candidates.push(LoadCandidate {
                        is_unreserved: progress.reserved_at.is_none(),
                        loaded_version: has,
                        tokens: state.memory_tokens(),
                        key: *key,
                        model,
                        version,
                    });
                }
            }
        }
        let max_loads = max_concurrent_loads(engines);
        candidates.sort_unstable();
        for engine in candidates.into_iter().take(max_loads) {
            let key = engine.key;
            let (Some(state), Some(progress)) = (fleet.get_mut(&key), self.engines.get_mut(&key))
            else {
                continue;
            };
            let since = *progress.reserved_at.get_or_insert(now);
            state.reserved_until = now + RESERVE_MS;
            let Some(accepted) = progress.accepted else {
                progress.in_flight = true;
                tasks.push(Task::Report(key));
                continue;
            };
            let drained = now >= since + RESERVE_MS || state.running() == 0;
            if loading >= max_loads || !drained {
                continue;
            }
            loading += 1;
            progress.in_flight = true;
            progress.reserved_at = None;
            state.loading_until = now + LOAD_MS;
            tasks.push(Task::Order(Box::new(WeightsOrder {
                engine: (*state.endpoint).clone(),
                model: engine.model,
                version: engine.version,
                holder: holder.to_owned(),
                fencing_token: fencing,
                accepted,
                not_after: until,
            })));
        }
        tasks
    }

    /// Returns requests for the reports of engines whose last order should have taken
    /// effect by now.
    pub fn due_reports(&mut self, fleet: &Fleet, now: Millis) -> Vec<Task> {
        let mut tasks = Vec::new();
        for (key, progress) in &mut self.engines {
            if progress.confirm_at.is_some_and(|at| now >= at)
                && !progress.in_flight
                && fleet.contains_key(key)
            {
                progress.confirm_at = None;
                progress.in_flight = true;
                tasks.push(Task::Report(*key));
            }
        }
        tasks
    }

    /// Handles the outcome of an order. Returns true if the engine has newer weights,
    /// and so has dropped its cache.
    pub fn order_answered(
        &mut self,
        fleet: &mut Fleet,
        order: &WeightsOrder,
        outcome: OrderOutcome,
        now: Millis,
    ) -> bool {
        let key = order.engine.key();
        let Some(progress) = self.engines.get_mut(&key) else {
            return false;
        };
        progress.in_flight = false;
        self.progressed_at = now;
        let Some(state) = fleet.get_mut(&key) else {
            return false;
        };
        if state.endpoint.start_time_ms != order.engine.start_time_ms {
            return false;
        }
        match outcome {
            OrderOutcome::Accepted => {
                progress.accepted = Some(order.accepted + 1);
                progress.confirm_at = Some(now + CONFIRM_MS);
                state.loading_until = now + LOAD_MS;
                return state.update_weights(&order.model, order.version);
            }
            OrderOutcome::Holds => {
                progress.accepted = None;
                state.loading_until = now;
                return state.update_weights(&order.model, order.version);
            }
            OrderOutcome::Conflict => {
                progress.accepted = None;
                progress.retry_at = now + RETRY_MS;
                state.loading_until = now + LOAD_MS;
            }
            OrderOutcome::Rejected => {
                progress.accepted = None;
                progress.retry_at = now + RETRY_MS;
                state.loading_until = now;
            }
            OrderOutcome::Unknown => {
                progress.accepted = None;
                progress.retry_at = now + RETRY_MS;
            }
            OrderOutcome::NotSent => {
                progress.retry_at = now + UNSENT_RETRY_MS;
                state.loading_until = now;
            }
        }
        false
    }

    /// Handles an engine's report, or its absence.
    pub fn report_received(
        &mut self,
        fleet: &mut Fleet,
        key: EndpointKey,
        report: Option<&EngineReport>,
        now: Millis,
    ) {
        let Some(progress) = self.engines.get_mut(&key) else {
            return;
        };
        progress.in_flight = false;
        let Some(state) = fleet.get_mut(&key) else {
            return;
        };
        let Some(report) = report else {
            progress.retry_at = now + RETRY_MS;
            return;
        };
        if report.born != 0
            && state.endpoint.start_time_ms != 0
            && report.born != state.endpoint.start_time_ms
        {
            progress.retry_at = now + RETRY_MS;
            return;
        }
        progress.accepted = Some(report.accepted);
        if report.busy {
            state.loading_until = state.loading_until.max(now + 80);
            progress.confirm_at = Some(now + 150);
        } else {
            // The report supersedes what was assumed after an order.
            state.weights.clone_from(&report.weights);
        }
    }

    /// Removes the state of engines that left the fleet.
    pub fn retain(&mut self, fleet: &Fleet) {
        self.engines.retain(|key, _| fleet.contains_key(key));
    }
}
