//! Roll-out of new model weights: decides which engine loads them next.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::clock::Millis;
use crate::control::engine_progress::{EngineProgress, RETRY_MS, UNSENT_RETRY_MS};
use crate::control::fleet::EndpointState;
use crate::control::lease::LeaseStep;
use crate::control::load::Load;
use crate::control::load_report::{FIRST_REPORT_MS, Meaning, REPORT_AGE_MS, meaning};
use crate::control::load_times::{FleetLoad, LoadTimes};
use crate::control::load_window::{Backlog, DueLoads};
use crate::control::named_weights::{NamedWeights, WriteTime, replaced_at};
use crate::control::rollout_status::{ServiceStatus, StatusLog};
use crate::control::service_loads::{
    LoadCandidate, ServiceLoads, awaits_report, has_failed, is_loading, load_in_progress,
};
use crate::dialect::{EngineReport, OrderOutcome, WeightsOrder};
use crate::endpoint::{Endpoint, EndpointKey};

/// Longest time for which an engine that is about to load finishes its runs while others
/// are preferred, relative to the duration of a load.
const RESERVE_SHARE: f64 = 0.6;

/// The same while that duration is not known, in ms.
const FIRST_RESERVE_MS: Millis = 200;

/// Time for which an engine is closed while an order or a request for its report is on its
/// way, in ms.
const ORDER_MS: Millis = 400;

/// Time for which an engine is closed after it accepted an order if the duration of loads
/// is not known, in ms. Its reports extend it.
const UNKNOWN_LOAD_MS: Millis = 1_000;

/// Time for which the reservation of an engine holds unless it is renewed, in ms.
const RESERVED_MS: Millis = 200;

/// Part of the time within which new weights must be in use that a roll-out should take.
const BOUND_PER_ROLLOUT: Millis = 2;

/// Part of that time within which engines should load that have not done so in half of it.
const BOUND_PER_LATE: Millis = 8;

/// Time without progress after which another node takes over the roll-out, in ms.
const TAKEOVER_MS: Millis = 1_500;

/// Additional delay per rank among the nodes that may take over, in ms.
const TAKEOVER_STAGGER_MS: Millis = 300;

/// Engines with outdated weights, as far as this node may send them orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PendingLoads {
    /// There are none.
    None,
    /// This node does not reach any of them, though others do.
    Unreached,
    /// This node may reach some.
    Reachable,
}

/// Action for the lease holder.
#[derive(Clone, Debug, PartialEq)]
pub enum Task {
    /// Send an order to an engine.
    Order(Box<WeightsOrder>),
    /// Request the engine's report.
    Report(EndpointKey),
}

/// What an engine with outdated weights needs next.
enum Step {
    /// Nothing for now.
    Wait,
    /// A request for its report.
    Report,
    /// An order, after so many that it has accepted.
    Order(u64),
}

/// What all orders of a lease holder have in common.
struct OrderTerms<'a> {
    holder: &'a str,
    fencing: u64,
    /// Time after which no order may be sent.
    until: Millis,
}

impl OrderTerms<'_> {
    fn task(&self, candidate: LoadCandidate, engine: &Endpoint, accepted: u64) -> Task {
        Task::Order(Box::new(WeightsOrder {
            engine: engine.clone(),
            model: candidate.model,
            version: candidate.version,
            holder: self.holder.to_owned(),
            fencing_token: self.fencing,
            accepted,
            not_after: self.until,
        }))
    }
}

/// State of the roll-out.
#[derive(Debug, Default)]
pub struct Rollout {
    /// Versions of the weights that the operator named.
    pub named: NamedWeights,
    engines: BTreeMap<EndpointKey, EngineProgress>,
    progressed_at: Millis,
    /// Since when this node's orders and requests for reports have brought nothing about.
    unanswered_since: Option<Millis>,
    /// Time within which new weights must be in use, in ms.
    bound: Millis,
    /// Duration of loads, by service.
    pub load_times: LoadTimes,
    /// Engines whose loads are done since the last datagram.
    pub loaded: Vec<EndpointKey>,
    /// True if the durations of loads have changed since the last datagram.
    pub has_learnt: bool,
    /// What was last logged.
    pub status_log: StatusLog,
}

type Fleet = BTreeMap<EndpointKey, EndpointState>;

impl Rollout {
    /// A roll-out of weights that must be in use after `bound` ms.
    pub fn new(bound: Millis) -> Self {
        Self {
            bound,
            ..Self::default()
        }
    }

    /// Records a version that the operator named. Returns true if it is newer than all known
    /// versions.
    pub fn name_version(
        &mut self,
        model: &str,
        version: u64,
        named: WriteTime,
        now: Millis,
    ) -> bool {
        let is_newer = self.named.name(model, version, named);
        if is_newer {
            self.progressed_at = now;
            self.unanswered_since = None;
        }
        is_newer
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
        self.named.models().find_map(|model| {
            let (version, newest) = (*state.weights.get(model)?, self.named.newest(model)?);
            (version < newest).then_some((model.as_str(), newest))
        })
    }

    /// Returns which engines have outdated weights. An engine that only other nodes reach needs
    /// one of them to send the order.
    pub fn pending_loads(&self, fleet: &Fleet, now: Millis) -> PendingLoads {
        let outdated = |state: &&EndpointState| self.missing_weights(state).is_some();
        let mut pending = fleet.values().filter(outdated).peekable();
        if pending.peek().is_none() {
            PendingLoads::None
        } else if pending.any(|state| !state.reachability.is_cut(now)) {
            PendingLoads::Reachable
        } else {
            PendingLoads::Unreached
        }
    }

    /// Returns true if no engine has answered an order or loaded weights for so long, and some
    /// did not answer, that another node should try.
    pub fn is_stalled(&self, patience: Millis, now: Millis) -> bool {
        self.unanswered_since
            .is_some_and(|since| now > since + patience)
    }

    /// Forgets that engines did not answer, when the node begins or ceases to send orders.
    pub fn forget_stall(&mut self) {
        self.unanswered_since = None;
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
        let order = OrderTerms {
            holder,
            fencing,
            until,
        };
        let mut tasks = Vec::new();
        self.watch_loads(fleet, now);
        for (service, mut loads) in self.service_loads(fleet, now) {
            self.learn_from_progress(&service, &loads, fleet);
            let engines = loads.status.engines;
            let most = self.load_times.max_concurrent(&service, engines);
            self.log_status(&service, &loads, most, now);
            let reserve_ms = self.reserve_ms(&service);
            loads.candidates.sort_unstable();
            for candidate in std::mem::take(&mut loads.candidates).into_iter().take(most) {
                let Some(state) = fleet.get_mut(&candidate.key) else {
                    continue;
                };
                match self.next_step(&candidate, state, loads.are_full(most), reserve_ms, now) {
                    Step::Wait => {}
                    Step::Report => tasks.push(Task::Report(candidate.key)),
                    Step::Order(accepted) => {
                        loads.loading.push(candidate.key);
                        self.mark_ordered(state, loads.loading.len(), now);
                        tasks.push(order.task(candidate, &state.endpoint, accepted));
                    }
                }
            }
            self.note_concurrent(fleet, &loads.loading);
        }
        tasks
    }

    /// Reserves an engine with outdated weights, and returns what it needs next.
    fn next_step(
        &mut self,
        candidate: &LoadCandidate,
        state: &mut EndpointState,
        is_full: bool,
        reserve_ms: Millis,
        now: Millis,
    ) -> Step {
        let Some(progress) = self.engines.get_mut(&candidate.key) else {
            return Step::Wait;
        };
        let since = *progress.reserved_at.get_or_insert(now);
        state.reserved_until = now + RESERVED_MS;
        let Some(accepted) = progress.accepted else {
            progress.in_flight = true;
            return Step::Report;
        };
        let is_drained = now >= since + reserve_ms || state.running() == 0;
        if is_full || !is_drained {
            return Step::Wait;
        }
        Step::Order(accepted)
    }

    /// Records that an order is sent to an engine, so that `concurrent` engines load.
    fn mark_ordered(&mut self, state: &mut EndpointState, concurrent: usize, now: Millis) {
        state.loading_until = now + ORDER_MS;
        if let Some(progress) = self.engines.get_mut(&state.endpoint.key()) {
            progress.in_flight = true;
            progress.reserved_at = None;
            progress.ordered_at = now;
            progress.concurrent = concurrent;
        }
    }

    /// Records at the loads in progress how many there are.
    fn note_concurrent(&self, fleet: &mut Fleet, loading: &[EndpointKey]) {
        for key in loading {
            let Some(state) = fleet.get_mut(key) else {
                continue;
            };
            if load_in_progress(state, self.engines.get(key)).is_some()
                && let Some(load) = state.load.as_mut()
            {
                load.concurrent = load.concurrent.max(loading.len());
            }
        }
    }

    fn learn_from_progress(&mut self, service: &str, loads: &ServiceLoads, fleet: &Fleet) {
        let in_progress = loads
            .loading
            .iter()
            .filter_map(|key| load_in_progress(fleet.get(key)?, self.engines.get(key)));
        self.load_times.note_all_progress(service, in_progress);
    }

    fn log_status(&mut self, service: &Arc<str>, loads: &ServiceLoads, window: usize, now: Millis) {
        let status = ServiceStatus {
            candidates: loads.candidates.len(),
            loading: loads.loading.len(),
            window,
            ..loads.status.clone()
        };
        let expected = self.load_times.expected(service);
        self.status_log.service(service, status, expected, now);
    }

    /// Time for which an engine that is about to load may finish its runs, in ms.
    fn reserve_ms(&self, service: &str) -> Millis {
        let expected = self.load_times.expected(service);
        expected.map_or(FIRST_RESERVE_MS, |expected| {
            (expected as f64 * RESERVE_SHARE) as Millis
        })
    }

    /// Counts the engines of each service, and lists those that could load.
    fn service_loads(
        &mut self,
        fleet: &mut Fleet,
        now: Millis,
    ) -> BTreeMap<Arc<str>, ServiceLoads> {
        let mut services: BTreeMap<Arc<str>, ServiceLoads> = BTreeMap::new();
        for (key, state) in fleet.iter_mut() {
            if state.weights.is_empty() {
                continue;
            }
            let service = state.endpoint.service.clone();
            let failed_after = self.load_times.failed_after(&service, self.bound);
            let loads = services.entry(service.clone()).or_default();
            loads.status.engines += 1;
            if is_loading(state, self.engines.get(key), now) {
                if has_failed(state, self.engines.get(key), failed_after, now) {
                    loads.status.failed += 1;
                } else {
                    loads.loading.push(*key);
                }
                continue;
            }
            loads.unreported += usize::from(awaits_report(state, self.engines.get(key)));
            loads.status.closed += usize::from(now < state.loading_until);
            let Some((model, version)) = self.missing_weights(state) else {
                continue;
            };
            let (model, has) = (model.to_owned(), state.weights.get(model).copied());
            let progress = self.progress_of(*key, state.endpoint.start_time_ms);
            if progress.in_flight {
                loads.status.in_flight += 1;
            } else if now < progress.retry_at {
                loads.status.delayed += 1;
            } else if now < state.avoid_until && state.reachability.is_unreached(now) {
                loads.status.avoided += 1;
            } else {
                loads.candidates.push(LoadCandidate {
                    is_silent: progress.failures > 0,
                    is_unreserved: progress.reserved_at.is_none(),
                    loaded_version: has,
                    tokens: state.memory_tokens(),
                    key: *key,
                    model,
                    version,
                });
            }
        }
        services
    }

    /// Schedules requests for the reports of engines that should be done with a load by now:
    /// those that another node ordered, or whose end was not seen.
    fn watch_loads(&mut self, fleet: &Fleet, now: Millis) {
        for (key, state) in fleet {
            let load = state.load.as_ref().filter(|load| !load.is_done());
            let is_due = load.is_some_and(|load| {
                load.version.is_some() && load.elapsed(now) > load.sure_ms + REPORT_AGE_MS
            });
            if !is_due || now < state.loading_until {
                continue;
            }
            let progress = self.progress_of(*key, state.endpoint.start_time_ms);
            if !progress.in_flight && now >= progress.retry_at {
                progress.confirm_at.get_or_insert(now);
            }
        }
    }

    /// State of the orders to an incarnation of an engine.
    fn progress_of(&mut self, key: EndpointKey, start_time_ms: u64) -> &mut EngineProgress {
        let progress = self.engines.entry(key).or_default();
        if progress.start_time_ms != start_time_ms {
            *progress = EngineProgress {
                start_time_ms,
                ..EngineProgress::default()
            };
        }
        progress
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
        if matches!(outcome, OrderOutcome::Accepted | OrderOutcome::Holds) {
            self.progressed_at = now;
            self.unanswered_since = None;
        }
        let Some(state) = fleet.get_mut(&key) else {
            return false;
        };
        if state.endpoint.start_time_ms != order.engine.start_time_ms {
            return false;
        }
        match outcome {
            OrderOutcome::NotSent => state.reachability.failed(now),
            OrderOutcome::Unknown => {}
            _ => {
                progress.answered();
                state.reachability.answered(now);
            }
        }
        if matches!(outcome, OrderOutcome::NotSent | OrderOutcome::Unknown) {
            self.unanswered_since.get_or_insert(now);
        }
        match outcome {
            OrderOutcome::Accepted => {
                progress.accepted = Some(order.accepted + 1);
                let mut load = Load::new(Some(order.version), progress.concurrent, now);
                load.ordered_at = progress.ordered_at;
                let sure = self.load_times.sure(&state.endpoint.service);
                load.sure_ms = sure.unwrap_or(0);
                state.load = Some(load);
                let expected = self.load_times.expected(&state.endpoint.service);
                state.loading_until = now + expected.unwrap_or(UNKNOWN_LOAD_MS);
                progress.confirm_at =
                    Some(now + expected.map_or(FIRST_REPORT_MS, |ms| ms + REPORT_AGE_MS));
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
                state.loading_until = now + RETRY_MS;
            }
            OrderOutcome::Rejected => {
                progress.accepted = None;
                progress.retry_at = now + RETRY_MS;
                state.loading_until = now;
            }
            OrderOutcome::Unknown => {
                progress.accepted = None;
                progress.failed(RETRY_MS, now);
            }
            OrderOutcome::NotSent => {
                progress.failed(UNSENT_RETRY_MS, now);
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
        let (Some(progress), Some(state)) = (self.engines.get_mut(&key), fleet.get_mut(&key))
        else {
            return;
        };
        progress.in_flight = false;
        let Some(report) = report else {
            self.unanswered_since.get_or_insert(now);
            state.reachability.failed(now);
            let is_loading = state.load.as_ref().is_some_and(|load| !load.is_done());
            let retry_at = progress.failed(RETRY_MS, now);
            progress.confirm_at = is_loading.then_some(retry_at);
            return;
        };
        progress.answered();
        state.reachability.answered(now);
        let (told, known) = (report.born, state.endpoint.start_time_ms);
        if told != 0 && known != 0 && told != known {
            progress.retry_at = now + RETRY_MS;
            return;
        }
        progress.accepted = Some(report.accepted);
        match meaning(report, state.load.as_ref(), now) {
            Meaning::Outdated(delay) => progress.confirm_at = Some(now + delay),
            Meaning::Loading(delay) => {
                let load = state.load.get_or_insert_with(|| Load::new(None, 0, now));
                load.done_at = None;
                load.saw_report(load.elapsed(now).saturating_sub(REPORT_AGE_MS));
                state.loading_until = state.loading_until.max(now + delay + ORDER_MS);
                progress.confirm_at = Some(now + delay);
            }
            Meaning::Loaded(took) => {
                state.weights.clone_from(&report.weights);
                self.load_done(fleet, key, took, now);
            }
            Meaning::NotLoaded => {
                state.weights.clone_from(&report.weights);
                state.load = None;
            }
            Meaning::NoLoad => state.weights.clone_from(&report.weights),
        }
    }

    /// Counts a service's engines, and those with outdated weights by the time in which they
    /// should have loaded newer ones.
    fn fleet_load(&self, fleet: &Fleet, service: &str, now: Millis) -> FleetLoad {
        let states = fleet
            .values()
            .filter(|state| &*state.endpoint.service == service);
        let due = states.clone().filter_map(|state| {
            let (model, _) = self.missing_weights(state)?;
            let versions = self.named.versions(model);
            let outdated_at = replaced_at(versions, *state.weights.get(model)?)?;
            let due_at = outdated_at + self.bound / BOUND_PER_ROLLOUT;
            Some(DueLoads {
                engines: 1,
                within_ms: due_at.saturating_sub(now).max(self.bound / BOUND_PER_LATE),
            })
        });
        FleetLoad {
            engines: states.clone().count(),
            backlog: Backlog::new(due.collect()),
        }
    }

    /// Records at the lease holder that an engine was done with its load after `took` ms at
    /// the latest.
    pub fn load_done(&mut self, fleet: &mut Fleet, key: EndpointKey, took: Millis, now: Millis) {
        let Some(service) = fleet.get(&key).map(|state| state.endpoint.service.clone()) else {
            return;
        };
        let size = self.fleet_load(fleet, &service, now);
        let Some(state) = fleet.get_mut(&key) else {
            return;
        };
        let Some(load) = state.load_done(now) else {
            return;
        };
        self.progressed_at = now;
        self.unanswered_since = None;
        self.loaded.push(key);
        if self.load_times.learn(&service, &load, took, &size, now) {
            self.has_learnt = true;
            log::info!(engine = &*state.endpoint.id, service = &*service, took_ms = took,
                reported_ms = load.reported_ms, refused_ms = load.refused_ms,
                concurrent = load.concurrent, expected_ms = self.load_times.expected(&service),
                window = self.load_times.max_concurrent(&service, size.engines); "engine has loaded weights");
        }
    }

    /// Removes the state of engines that left the fleet.
    pub fn retain(&mut self, fleet: &Fleet) {
        self.engines.retain(|key, _| fleet.contains_key(key));
    }
}
