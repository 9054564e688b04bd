//! Placement of requests: selects an endpoint and builds the grant for it.

use std::collections::BTreeMap;
use std::sync::Arc;

use flamingolock_wire::gossip::{Fault, Run};
use rand::Rng;
use tokio::sync::oneshot;

use super::engine_memory::{memory_refusal, shorter, wait_end};
use super::limits::PermitStep;
use super::quota::QuotaStep;
use super::{Control, QueuedRequest};
use crate::catalog::{Service, ServiceKind};
use crate::clock::Millis;
use crate::control::cache_index::{FetchSource, namespace, salt};
use crate::control::fleet::{Estimate, EstimateContext};
use crate::control::notices::Acceptance;
use crate::control::quota_asks::RequestQuota;
use crate::control::{BuildRule, Grant, Placement, PlacementRequest, Refusal, RunEnd};
use crate::endpoint::EndpointKey;
use crate::metrics::EventKind;
use crate::workspaces::{Sharing, Workspaces};

/// Fraction of an endpoint's connection limit that all nodes together use.
const CONNECTION_SHARE: f64 = 0.8;

/// Nodes counted in addition to the known ones, to allow for nodes that are
/// starting.
const STARTING_NODES: usize = 2;

/// Part of the bound for new weights that is left when superseded ones are no longer used: an
/// engine may fall silent meanwhile and then begin what has reached it.
const WEIGHTS_MARGIN_SHARE: Millis = 8;

/// Range of the random value that breaks ties, in ms.
const TIE_BREAK_MS: f64 = 0.8;

/// Bonus of the engine that all nodes prefer for a prompt, in ms.
const PREFERRED_ENGINE_MS: f64 = 200.0;

/// Maximum ratio of a prompt's own tokens to its shared tokens missing from the KV
/// cache store at which the prompt is still written there.
const STORE_OWN_RATIO: f64 = 1.0;

/// Number of output tokens from which on stalls of an answer are noticeable.
const LONG_ANSWER_TOKENS: u32 = 16;

/// Largest part of the target for the first token that a prompt itself may take before it
/// counts as late by itself.
const MAX_OWN_SHARE: f64 = 0.5;

/// Result of the selection of an endpoint.
enum Selection {
    Endpoint(EndpointKey, Estimate),
    /// The request waits for the answer of the issuer of permits.
    AwaitPermit,
    Refused(Refusal),
}

/// True if waiting until its deadline may help a refused request. Engines of a software
/// version that is not listed any more do not come back soon.
fn may_change(refusal: Refusal, queued: &QueuedRequest) -> bool {
    match refusal {
        Refusal::NoEndpoint => queued.request.build_rule == BuildRule::Any,
        Refusal::AllPaused { until } => until < queued.deadline,
        Refusal::StoppedPart { .. } | Refusal::StoppedRequest { .. } | Refusal::ExceedsMemory => {
            false
        }
        _ => true,
    }
}

/// True if the queue ahead of a request makes its response late. Refusing such requests
/// keeps the queue so short that the others are in time. A long prompt is late by itself, so
/// no more than a part of the target counts for it. A stream that goes on is not refused:
/// its caller already has a part of it, and few engines may continue it.
fn starts_too_late(request: &PlacementRequest, estimate: &Estimate) -> bool {
    if request.build_rule != BuildRule::Any {
        return false;
    }
    let target_ms = request.target.as_millis() as f64;
    estimate.queue_ms + own_share_ms(estimate, target_ms) > target_ms
}

/// Time from the start of a request to its first token, as far as it counts against its target,
/// in ms.
pub(super) fn own_share_ms(estimate: &Estimate, target_ms: f64) -> f64 {
    estimate.own_ms.min(target_ms * MAX_OWN_SHARE)
}

/// When the engine of an estimate can begin a request in time. Callers are spread over as
/// long again.
pub(super) fn free_again(estimate: &Estimate, now: Millis) -> Millis {
    let queue_ms = estimate.queue_ms.max(1.0) as Millis;
    now + rand::rng().random_range(queue_ms..=2 * queue_ms)
}

impl Control {
    /// Returns the time after which superseded weights must not be used, in ms.
    pub(super) fn max_weights_age(&self) -> Millis {
        let bound = self.settings.weights_bound.as_millis() as Millis;
        bound - bound / WEIGHTS_MARGIN_SHARE
    }

    pub(super) fn handle_placement(
        &mut self,
        mut request: Box<PlacementRequest>,
        reply: oneshot::Sender<Placement>,
        now: Millis,
    ) {
        if let Err(refusal) = self.admit(&mut request, now) {
            self.refuse(&request, refusal, reply);
            return;
        }
        let deadline = now + request.max_wait.as_millis() as Millis;
        let queued = QueuedRequest {
            request,
            reply,
            asked_at: now,
            deadline,
            place: None,
            is_deferred: false,
            quota: RequestQuota::default(),
        };
        let is_scarce = self.limits.count() > 0
            || !self.brittle_services.is_empty()
            || self.has_deferred(&queued);
        if is_scarce && !self.queue.is_empty() {
            // Those that are more urgent get the next permits.
            self.enqueue(queued);
            self.retry_queued(now);
        } else if let Some(queued) = self.try_place(queued, 0, now) {
            self.enqueue(queued);
        }
    }

    /// Finds out which software version a resumed stream needs, and counts the request.
    fn admit(&mut self, request: &mut PlacementRequest, now: Millis) -> Result<(), Refusal> {
        self.check_engine_size(request)?;
        let is_elsewhere = self.goes_elsewhere(request);
        if let BuildRule::SameAs(begun_by) = request.build_rule
            && !is_elsewhere
        {
            let build = self.build_of_stream(begun_by, request, now);
            request.build_rule = BuildRule::Only(build.ok_or(Refusal::UnknownBuild)?);
        }
        if matches!(request.build_rule, BuildRule::Only(_)) && self.is_unclear(&request.id) {
            return Err(Refusal::UnknownBuild);
        }
        // One that another node handed on may have reached an endpoint before.
        if request.is_retry {
            return if self.may_retry(request, now) {
                Ok(())
            } else {
                Err(Refusal::Budget)
            };
        }
        // The node that places it counts it.
        if request.tried.is_empty() && request.tried_nodes.is_empty() && !is_elsewhere {
            self.budget.record_request(&request.service, now);
        }
        Ok(())
    }

    /// Takes a retry from the budget; returns false if there is none left.
    fn may_retry(&mut self, request: &PlacementRequest, now: Millis) -> bool {
        let share = self.slack_share(now);
        let decision = self.budget.try_retry(&request.service, share, now);
        let message = if decision.granted {
            "retry granted"
        } else {
            "retry refused: budget exhausted"
        };
        log::info!(request = &*request.id, service = &*request.service, requests = decision.requests,
            retries = decision.retries, allowed = decision.allowed, slack = decision.slack,
            nodes = share.nodes.unwrap_or(0), is_new = share.is_new, counted_ms = now - share.counts_since; "{message}");
        self.metrics.count_retry(&request.service, decision.granted);
        decision.granted
    }

    /// Adds a request to the queue: more urgent ones come first, and among the others
    /// workspaces take turns.
    fn enqueue(&mut self, mut queued: QueuedRequest) {
        if self.queue.is_empty() {
            self.dispatch.queue_emptied();
        }
        queued.place = Some(self.dispatch.next_place(&queued.request));
        let at = self
            .queue
            .partition_point(|other| other.place <= queued.place);
        self.queue.insert(at, queued);
    }

    pub(super) fn retry_queued(&mut self, now: Millis) {
        let mut waiting: BTreeMap<Arc<str>, usize> = BTreeMap::new();
        self.dispatch.begin_pass();
        for _ in 0..self.queue.len() {
            let Some(queued) = self.queue.pop_front() else {
                return;
            };
            if queued.reply.is_closed() {
                continue;
            }
            if self.dispatch.waits_behind(&queued, now) {
                self.queue.push_back(queued);
                continue;
            }
            let ahead = waiting.entry(queued.request.service.clone()).or_default();
            if let Some(queued) = self.try_place(queued, *ahead, now) {
                *ahead += 1;
                self.queue.push_back(queued);
            }
        }
    }

    /// Places or refuses a request that `ahead` others of its service precede. Returns it
    /// if it has to wait.
    pub(super) fn try_place(
        &mut self,
        queued: QueuedRequest,
        ahead: usize,
        now: Millis,
    ) -> Option<QueuedRequest> {
        let mut queued = if self.goes_elsewhere(&queued.request) {
            self.send_elsewhere(queued, now)?
        } else {
            queued
        };
        if let Some(refusal) = self.refusal_of_suspects(&queued.request, now) {
            self.refuse(&queued.request, refusal, queued.reply);
            return None;
        }
        if let Some(estimate) = self.waits_for_quota(&queued, now) {
            return self.defer(queued, &estimate, now);
        }
        match self.quota_step(&mut queued, now) {
            QuotaStep::Place => {}
            QuotaStep::Wait => return Some(queued),
            QuotaStep::Refuse(refusal) => {
                self.refuse(&queued.request, refusal, queued.reply);
                return None;
            }
        }
        match self.select_permitted(&queued.request, now) {
            Selection::Endpoint(key, estimate)
                if self.is_over_limit(&queued, key, &estimate, now) =>
            {
                self.defer(queued, &estimate, now)
            }
            Selection::Endpoint(_, estimate) if starts_too_late(&queued.request, &estimate) => {
                let queue_ms = estimate.queue_ms as u64;
                let until = free_again(&estimate, now);
                let refusal = Refusal::Overloaded { until, queue_ms };
                self.refuse(&queued.request, refusal, queued.reply);
                None
            }
            Selection::Endpoint(key, estimate) => {
                self.dispatch.sent(&queued, now);
                let grant = self.grant(&queued.request, key, &estimate, now);
                let number = grant.run_number;
                self.quota_sent(&mut queued.quota, number);
                if queued.request.is_retry {
                    let service = &queued.request.service;
                    self.budget.record_sent(service, queued.asked_at, now);
                }
                self.metrics.count(EventKind::Placement, "granted");
                if queued.reply.send(Ok(grant)).is_err() {
                    // Nothing was sent, so its quota is returned.
                    self.quota_run_ended(number, &RunEnd::NeverConnected);
                    self.run_ended(key, number, &RunEnd::CallerLeft, None, now);
                }
                None
            }
            Selection::AwaitPermit => Some(queued),
            Selection::Refused(Refusal::AllLimited { .. }) => {
                self.wait_for_turn(queued, ahead, now)
            }
            Selection::Refused(refusal)
                if now < wait_end(refusal, &queued) && may_change(refusal, &queued) =>
            {
                Some(queued)
            }
            Selection::Refused(refusal) => {
                self.refuse(&queued.request, refusal, queued.reply);
                None
            }
        }
    }

    /// Selects the best endpoint for which this node has a permit, if it needs one.
    fn select_permitted(&mut self, request: &PlacementRequest, now: Millis) -> Selection {
        // Each round without a permit closes one more endpoint.
        loop {
            let (key, estimate) = match self.select_endpoint(request, now) {
                Ok(selected) => selected,
                Err(refusal) => return Selection::Refused(refusal),
            };
            match self.permit_step(request, key, now) {
                PermitStep::Send => return Selection::Endpoint(key, estimate),
                PermitStep::Wait => return Selection::AwaitPermit,
                PermitStep::SelectAgain => {}
            }
        }
    }

    /// Returns a request that begins before its deadline though all endpoints have limits;
    /// refuses any other at once.
    fn wait_for_turn(
        &mut self,
        queued: QueuedRequest,
        ahead: usize,
        now: Millis,
    ) -> Option<QueuedRequest> {
        let start = self.expected_start(&queued.request, ahead, now);
        if start < queued.deadline {
            return Some(queued);
        }
        let until = self.return_time(&queued.request.service, start, now);
        self.refuse(&queued.request, Refusal::AllLimited { until }, queued.reply);
        None
    }

    pub(super) fn refuse(
        &self,
        request: &PlacementRequest,
        refusal: Refusal,
        reply: oneshot::Sender<Placement>,
    ) {
        self.metrics.count(EventKind::Placement, refusal.as_str());
        let message = match refusal {
            // Logged with what the decision is based on.
            Refusal::Budget => None,
            Refusal::AtOtherNode(_) => Some("request goes to another node"),
            _ => Some("no endpoint available for request"),
        };
        if let Some(message) = message {
            log::info!(request = &*request.id, service = &*request.service, refusal:? = refusal,
                builds:? = request.build_rule; "{message}");
        }
        // The caller may have left in the meantime.
        let _ = reply.send(Err(refusal));
    }

    /// Returns with whom a request shares cached parts. It may have waited, or come from
    /// another node: the configuration in force when it is placed counts.
    fn sharing<'a>(&self, request: &'a PlacementRequest) -> Sharing<'a> {
        let workspace = request.workspace.as_deref();
        match &self.catalog {
            Some(catalog) => catalog.workspaces.sharing(workspace),
            None => Workspaces::default().sharing(workspace),
        }
    }

    /// Returns the endpoint with the lowest estimated cost.
    pub(super) fn select_endpoint(
        &self,
        request: &PlacementRequest,
        now: Millis,
    ) -> Result<(EndpointKey, Estimate), Refusal> {
        let service = self.service(&request.service);
        let kind = service.map_or(ServiceKind::Plain, |service| service.kind);
        let model = request.model.as_deref();
        let context = EstimateContext {
            now,
            zone: &self.settings.zone,
            versions: model.map_or(&[], |model| self.rollout.named.versions(model)),
            max_weights_age: self.max_weights_age(),
            sharing: self.sharing(request),
        };
        let is_available = |key: EndpointKey| {
            self.fleet
                .get(&key)
                .is_some_and(|state| !state.endpoint.leaving && !state.is_avoided(now))
        };
        let preferred = self.preferred_engine(request, now);
        let mut rng = rand::rng();
        let mut best: Option<(EndpointKey, Estimate)> = None;
        let mut any = false;
        let mut paused_until: Option<Millis> = None;
        let mut limited_until: Option<Millis> = None;
        let mut full_ms: Option<Millis> = None;
        for (key, state) in &self.fleet {
            let endpoint = &state.endpoint;
            if endpoint.service != request.service
                || endpoint.leaving
                || request.tried.contains(key)
                || (request.may_hand_over && self.is_out_of_reach(endpoint))
                || matches!(&request.build_rule, BuildRule::Only(build) if *build != endpoint.build)
            {
                continue;
            }
            match self.notices.acceptance(endpoint, now) {
                Acceptance::Accepts => {}
                Acceptance::Leaving => continue,
                Acceptance::Paused(until) => {
                    paused_until = Some(paused_until.map_or(until, |first| first.min(until)));
                    continue;
                }
            }
            if let Some(until) = self.closed_until(endpoint, now) {
                limited_until = Some(limited_until.map_or(until, |first| first.min(until)));
                continue;
            }
            if !self.has_engine_memory(state, &kind, request) {
                full_ms = Some(shorter(full_ms, state.mean_run_ms()));
                continue;
            }
            any = true;
            let estimate = match &kind {
                ServiceKind::Engines(traits) => {
                    state.estimate_engine(request, traits, &self.parts, is_available, &context)
                }
                _ => Some(state.estimate_server(request, &context)),
            };
            let Some(mut estimate) = estimate else {
                continue;
            };
            estimate.score += rng.random_range(0.0..TIE_BREAK_MS);
            if preferred == Some(*key) {
                estimate.score -= PREFERRED_ENGINE_MS;
            }
            if best
                .as_ref()
                .is_none_or(|(_, other)| estimate.score < other.score)
            {
                best = Some((*key, estimate));
            }
        }
        best.ok_or_else(|| match (limited_until, paused_until) {
            _ if full_ms.is_some() => memory_refusal(full_ms, now),
            _ if any => Refusal::AllReloading,
            (Some(until), _) => Refusal::AllLimited { until },
            (None, Some(until)) => Refusal::AllPaused { until },
            (None, None) => Refusal::NoEndpoint,
        })
    }

    /// Returns the engine that all nodes prefer for a prompt, chosen by rendezvous
    /// hashing. Two nodes that place requests with the same new part concurrently then
    /// prefill it only once. An engine with a limit cannot take all of them.
    pub(super) fn preferred_engine(
        &self,
        request: &PlacementRequest,
        now: Millis,
    ) -> Option<EndpointKey> {
        let shared = request.parts.len().checked_sub(2)?;
        let id = request.parts[shared].id;
        self.fleet
            .iter()
            .filter(|(_, state)| {
                state.endpoint.service == request.service
                    && !state.endpoint.leaving
                    && self.notices.acceptance(&state.endpoint, now) == Acceptance::Accepts
                    && self.limits.limit_of(&state.endpoint).is_none()
                    && !self.is_brittle(&state.endpoint)
                    && now >= state.loading_until
                    && now >= state.reserved_until
            })
            .max_by_key(|(_, state)| flamingolock_core::rendezvous::weight(id, &state.endpoint.id))
            .map(|(key, _)| *key)
    }

    pub(super) fn grant(
        &mut self,
        request: &PlacementRequest,
        key: EndpointKey,
        estimate: &Estimate,
        now: Millis,
    ) -> Grant {
        let number = self.next_run;
        self.next_run += 1;
        let catalog = self.catalog.clone();
        let store = catalog.as_ref().and_then(|catalog| catalog.kv_store());
        let shared = &estimate.parts;
        let shared_tokens: u32 = shared.iter().map(|(_, tokens)| tokens).sum();
        let missing: u32 = shared
            .iter()
            .filter(|(part, _)| !self.parts.is_stored(*part, now))
            .map(|(_, tokens)| tokens)
            .sum();
        // The request's own part is written to the store as well and evicts others.
        let own = request.prompt_tokens.saturating_sub(shared_tokens);
        let kv_sink =
            store.filter(|_| missing > 0 && f64::from(own) <= f64::from(missing) * STORE_OWN_RATIO);
        let is_available = |key: EndpointKey| {
            self.fleet
                .get(&key)
                .is_some_and(|state| !state.is_avoided(now) && now >= state.loading_until)
        };
        let kv_source = match self.parts.fetch_source(shared, key, is_available, now) {
            Some(FetchSource::Engine(source)) => {
                self.fleet.get(&source).map(|state| state.endpoint.address)
            }
            // A node that just started does not know what the store holds, and a cache
            // miss is cheap.
            Some(FetchSource::Store) | None => store.filter(|_| !shared.is_empty()),
        };
        let reuses_place = self.reusable_place.take_if(|place| *place == key).is_some();
        let run = Run {
            number,
            endpoint: key,
            step: 0,
            prefill_us: (estimate.prefill_ms * 1000.0) as u32,
            tokens: request.prompt_tokens + request.output_tokens,
            parts: shared.iter().map(|(part, _)| *part).collect(),
            is_stored: kv_sink.is_some(),
            node: 0,
            is_long_answer: request.output_tokens >= LONG_ANSWER_TOKENS,
            reuses_place,
            priority: Some(u32::from(request.priority)),
            weights: estimate.version,
            late_ms: 0,
        };
        let endpoint = self.fleet[&key].endpoint.clone();
        let limit = self.limits.limit_of(&endpoint);
        let is_brittle = self.is_brittle(&endpoint);
        log::info!(request = &*request.id, endpoint = &*endpoint.id, build = &*endpoint.build, run = number, score = estimate.score as i64,
            read_ms = estimate.prefill_ms as i64, weights = estimate.version.unwrap_or(0), tries = request.tried.len(),
            unread = estimate.uncached_tokens, reread = estimate.duplicate_tokens,
            fetch = kv_source.is_some(), brittle = is_brittle, limit = limit.map(|limit| limit.per_second),
            limit_age_ms = limit.map(|limit| now.saturating_sub(limit.stated_at)); "request placed");
        let run_id = (self.incarnation, number);
        if let Some(state) = self.fleet.get_mut(&key) {
            state.run_sent(run_id, &run, now, 0);
            state.expect_wait(run_id, &request.id, estimate.expected_ms());
        }
        let due_at = now + request.target.as_millis() as Millis;
        self.reach
            .run_sent(&request.service, key, number, (now, due_at));
        self.permit_issuer.record_sent(key, now);
        if !reuses_place {
            self.places.record_sent(key);
        }
        self.parts.mark_prefilling(key, &run.parts, now);
        self.queue_run_update(run, now);
        let salt = estimate
            .version
            .zip(request.model.as_deref())
            .map(|(version, model)| {
                salt(version, namespace(model, version, self.sharing(request)))
            });
        Grant {
            run_number: number,
            endpoint,
            expected_ms: estimate.expected_ms(),
            weights: estimate.version,
            salt,
            kv_source,
            kv_sink,
            limit,
            is_brittle,
            max_connections: self.max_connections(&request.service, now),
        }
    }

    /// A service of the configuration, or of an earlier one that listed it.
    pub(super) fn service(&self, name: &str) -> Option<&Arc<Service>> {
        let catalog = self.catalog.as_ref();
        let listed = catalog.and_then(|catalog| catalog.services.get(name));
        listed.or_else(|| self.dropped_services.get(name))
    }

    /// Maximum number of connections that this node may keep to each endpoint of a service.
    pub(super) fn max_connections(&self, service: &str, now: Millis) -> usize {
        let nodes = self.max_nodes_sharing(now) + STARTING_NODES;
        let service = self.service(service);
        let connections = service.map_or(8.0, |service| {
            f64::from(service.max_conns) * CONNECTION_SHARE
        }) / nodes as f64;
        (connections as usize).max(1)
    }

    pub(super) fn run_ended(
        &mut self,
        endpoint: EndpointKey,
        number: u64,
        end: &RunEnd,
        model: Option<&str>,
        now: Millis,
    ) {
        self.streams_ended((endpoint, number));
        let end = &self.end_at_brittle(endpoint, end, now);
        self.metrics.count(EventKind::RunEnd, end.as_str());
        self.note_run_end(endpoint, number, end, now);
        self.quota_run_ended(number, end);
        if let Some(state) = self.fleet.get_mut(&endpoint) {
            let is_whole = *end == RunEnd::Complete;
            state.record_run_time((self.incarnation, number), is_whole, now);
            let unfinished = state.run_ended((self.incarnation, number));
            if let (RunEnd::WrongWeights(Some(version)), Some(model)) = (end, model) {
                state.weights.insert(model.to_owned(), *version);
            }
            if let Some(avoid_ms) = state.record_outcome(end, now) {
                log::warn!(endpoint = &*state.endpoint.id, cause:? = end, avoid_ms; "endpoint avoided");
                // The others may well reach what this node does not.
                let is_own = end.may_be_cut() && self.reach.is_suspected(&state.endpoint.service);
                if !is_own {
                    self.outgoing_faults.push(Fault {
                        endpoint,
                        avoid_ms: avoid_ms as u32,
                        is_loading: *end == RunEnd::Reloading,
                        node: 0,
                        busy_ms: state.busy_ms() as u32,
                    });
                }
            }
            self.parts.clear_prefilling(endpoint, &unfinished);
        }
        let step = if *end == RunEnd::Complete { 2 } else { 3 };
        self.queue_run_update(
            Run {
                number,
                endpoint,
                step,
                ..Run::default()
            },
            now,
        );
        self.reuse_place(endpoint, end, now);
    }
}
