//! New weights: which engine loads them next.

use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::control::fleet::EndpointState;
use crate::control::lease::LeaseStep;
use crate::dialect::{EngineReport, OrderOutcome, WeightsOrder};
use crate::endpoint::EndpointKey;

/// Engines that may load at once whatever the size of the fleet.
const MIN_CONCURRENT_LOADS: usize = 2;

/// One engine in this many may load at once.
const ENGINES_PER_LOAD: usize = 5;

/// Part of the fleet that must not load at the same time: one engine in this many.
const MIN_ENGINES_PER_LOAD: usize = 2;

/// Time that a load takes, in ms.
const LOAD_MS: Millis = 330;

/// Time for which an engine gets no new requests before it loads, in ms.
const RESERVE_MS: Millis = 200;

/// Time after an order at which the engine's report shows what became of it, in ms.
const CONFIRM_MS: Millis = 700;

/// Pause before an order is given again, in ms.
const RETRY_MS: Millis = 400;

/// Pause before an order that could not be sent is tried again, in ms.
const UNSENT_RETRY_MS: Millis = 150;

/// Time without progress after which another node takes over, in ms.
const TAKEOVER_MS: Millis = 1_500;

/// Pause between the nodes that may take over, in ms.
const TAKEOVER_STAGGER_MS: Millis = 300;

/// What is known of the orders to one engine.
#[derive(Clone, Debug, Default)]
struct EngineProgress {
    born: u64,
    /// Orders that it accepted; none when that is in doubt.
    accepted: Option<u64>,
    in_flight: bool,
    reserved_at: Option<Millis>,
    retry_at: Millis,
    confirm_at: Option<Millis>,
}

/// An engine that lacks weights. The least goes first: those that get no new
/// requests already, then those with the oldest weights, then the emptiest.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct LoadCandidate {
    is_unreserved: bool,
    loaded_version: Option<u64>,
    tokens: u64,
    key: EndpointKey,
    model: String,
    version: u64,
}

/// What the node that holds the lease has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Task {
    /// Give an order.
    Order(Box<WeightsOrder>),
    /// Ask for the engine's report.
    Report(EndpointKey),
}

/// When the weights of `version` were replaced, given the versions that were named.
pub fn replaced_at(versions: &[NamedVersion], version: u64) -> Option<Millis> {
    let newer = versions.iter().find(|named| named.version > version);
    newer.map(|named| named.named_at)
}

/// Weights that the operator named.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NamedVersion {
    /// Their version.
    pub version: u64,
    /// When this node learnt of them.
    pub named_at: Millis,
}

/// Named versions of a model that are remembered.
const MAX_VERSIONS: usize = 16;

/// State of the roll-out of weights.
#[derive(Debug, Default)]
pub struct Rollout {
    /// Versions of each model, the newest last.
    named: BTreeMap<String, Vec<NamedVersion>>,
    engines: BTreeMap<EndpointKey, EngineProgress>,
    progressed_at: Millis,
}

/// Engines of a fleet that may load at once; some always serve.
pub fn max_concurrent_loads(engines: usize) -> usize {
    MIN_CONCURRENT_LOADS
        .max(engines / ENGINES_PER_LOAD)
        .min(engines / MIN_ENGINES_PER_LOAD)
        .max(1)
}

type Fleet = BTreeMap<EndpointKey, EndpointState>;

impl Rollout {
    /// Takes weights that the operator named some time ago, `named`. True if they
    /// are new.
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
            // What is replaced by the oldest one stays replaced since then.
            versions.remove(1);
        }
        versions.push(NamedVersion { version, named_at });
        self.progressed_at = now;
        true
    }

    /// The versions of a model, the newest last.
    pub fn versions(&self, model: &str) -> &[NamedVersion] {
        self.named.get(model).map_or(&[], Vec::as_slice)
    }

    fn newest(&self, model: &str) -> Option<u64> {
        self.versions(model).last().map(|named| named.version)
    }

    /// Notes that the roll-out goes on, here or at another node.
    pub fn note_progress(&mut self, now: Millis) {
        self.progressed_at = now;
    }

    /// The model and version that an engine lacks.
    fn missing_weights(&self, state: &EndpointState) -> Option<(&str, u64)> {
        if state.endpoint.leaving || state.removal_due_at.is_some() {
            return None;
        }
        self.named.keys().find_map(|model| {
            let (version, newest) = (*state.weights.get(model)?, self.newest(model)?);
            (version < newest).then_some((model.as_str(), newest))
        })
    }

    /// True when an engine lacks weights.
    pub fn has_pending_loads(&self, fleet: &Fleet) -> bool {
        fleet
            .values()
            .any(|state| self.missing_weights(state).is_some())
    }

    /// True when it is this node's turn to seek the lease. `rank` is its place
    /// among the nodes, `holder_alive` whether another node that is alive was the
    /// last holder.
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

    /// Tasks for the holder of the lease. Marks engines as reserved and loading.
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
                if progress.born != state.endpoint.born {
                    *progress = EngineProgress {
                        born: state.endpoint.born,
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
                fencing,
                accepted,
                not_after: until,
            })));
        }
        tasks
    }

    /// Engines whose report shows by now whether an order took effect.
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

    /// An engine answered an order, or did not. True when it drops what it held.
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
        if state.endpoint.born != order.engine.born {
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

    /// An engine reported, or did not answer.
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
        if report.born != 0 && state.endpoint.born != 0 && report.born != state.endpoint.born {
            progress.retry_at = now + RETRY_MS;
            return;
        }
        progress.accepted = Some(report.accepted);
        if report.busy {
            state.loading_until = state.loading_until.max(now + 80);
            progress.confirm_at = Some(now + 150);
        } else {
            // What was assumed after an order gives way to what the engine says.
            state.weights.clone_from(&report.weights);
        }
    }

    /// Forgets engines that are gone.
    pub fn retain(&mut self, fleet: &Fleet) {
        self.engines.retain(|key, _| fleet.contains_key(key));
    }
}
