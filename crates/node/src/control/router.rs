//! Routes requests to engines, in cooperation with the routers of the other nodes.
//!
//! The router of the node that received a request (its entry node) makes a shortlist of
//! engines, probes their homes, chooses the engine with the least expected cost and
//! requests a permit from that engine's home. If the home does not respond, it grants
//! itself a permit from a small reserve.

mod baseline;
mod peer;
mod reports;
mod rounds;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crossbeam::channel::Sender;
use flamingolock_core::heat::HeatOptions;
use flamingolock_core::home::HomeOptions;
use flamingolock_core::home_message::{Grant, Input, Output, ProbeAnswer, RefusalReason};
use flamingolock_core::permit::{EntryRef, PermitId, PrefillStats};
use flamingolock_core::prefix_model::CacheEvent;
use flamingolock_core::prefix_tree::{HeatLevel, PrefixTree};
use flamingolock_core::prelude::*;
use flamingolock_core::rendezvous;
use flamingolock_core::reserve::Reserve;
use flamingolock_wire::message::{self as wire, Payload};

use crate::control::Event;
use crate::control::admission::{PromptsByWeights, Stage, WaitingRequest};
use crate::control::context::Context;
use crate::control::engines::{EngineStatus, Engines, StatusChange};
use crate::control::homes::{Homes, Outputs};
use crate::control::messages::{self, RequestNumber};
use crate::control::permit::{AdmissionSender, RouteRequest};
use crate::settings::{Mechanism, Policy, RoutingSettings, Settings, TimingSettings};
use crate::view::ListedInstance;

/// Maximum number of engines probed in one round.
const PROBES_PER_ROUND: usize = 4;

/// Capacity of the tree of recent prompts, in blocks.
const PREFIX_TREE_BLOCKS: usize = 200_000;

/// Minimum interval between broadcasts of load digests, in milliseconds.
const MIN_DIGEST_INTERVAL_MS: u64 = 250;

/// Minimum interval between broadcasts of load digests per live node, in milliseconds:
/// with `n` nodes the interval is at least `n` times as long. This keeps the rate of
/// digest bytes that each node receives constant.
const DIGEST_INTERVAL_PER_NODE_MS: u64 = 30;

/// Interval between reports of the permits in use to their homes, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 1_000;

/// Fraction of a prompt that an engine usually has to compute; the rest is cached.
/// Counting whole prompts as heat would create replicas of prefixes that evict each
/// other from the caches.
const UNCACHED_FRACTION: f64 = 0.12;

/// Price of cache evictions, relative to the time of the prefill that causes them: each
/// computed block evicts another one, which later requests have to compute again.
const EVICTION_PRICE: f64 = 16.0;

/// Load of a prefix, in engines, at which the price of another replica is halved, since
/// later requests will find the replica.
const HALF_PRICE_LOAD: f64 = 0.05;

/// Retry-after time returned to callers when no engine accepts the request.
const NO_ENGINE_RETRY_AFTER: Millis = Millis(1_000);

/// A permit that this node holds.
#[derive(Clone, Debug)]
struct HeldPermit {
    request_number: RequestNumber,
    incarnation: Incarnation,
    /// True if the permit came from this node's reserve.
    reserved: bool,
}

/// Reply of a home to a request of this node.
enum HomeReply {
    ProbeAnswer {
        request_number: RequestNumber,
        engine: EngineId,
        answer: ProbeAnswer,
    },
    Queued {
        request_number: RequestNumber,
        from: InstanceId,
    },
    NotHome {
        request_number: RequestNumber,
        engine: EngineId,
    },
    Grant {
        request_number: RequestNumber,
        engine: EngineId,
        permit: PermitId,
        incarnation: Incarnation,
    },
    Refuse {
        request_number: RequestNumber,
        engine: EngineId,
        reason: RefusalReason,
        retry_after: Millis,
    },
}

/// Router of one node; see the module documentation.
pub struct Router {
    local_entry: EntryRef,
    routing: RoutingSettings,
    timing: TimingSettings,
    /// Engines known to this node.
    pub engines: Engines,
    homes: Homes,
    prefix_tree: PrefixTree,
    reserve: Reserve,
    waiting: BTreeMap<RequestNumber, WaitingRequest>,
    request_numbers: BTreeMap<RequestId, RequestNumber>,
    held_permits: BTreeMap<(EngineId, PermitId), HeldPermit>,
    reported_engines: BTreeSet<EngineId>,
    home_replies: VecDeque<HomeReply>,
    events: Sender<Event>,
    next_request_number: u32,
    round_robin_count: usize,
    next_digests_at: Millis,
    next_report_at: Millis,
}

impl Router {
    /// Creates a router that knows no engine yet.
    pub fn new(settings: &Settings, incarnation: Incarnation, events: Sender<Event>) -> Self {
        let local_entry = EntryRef {
            instance: settings.node.name.clone(),
            incarnation,
        };
        let options = HomeOptions {
            shared_prefill: settings.routing.uses(Mechanism::SharedPrefill),
            ..HomeOptions::default()
        };
        let seed = rendezvous::key(&format!("{}#{incarnation}#reserve", settings.node.name));
        Self {
            homes: Homes::new(local_entry.clone(), options),
            local_entry,
            routing: settings.routing.clone(),
            timing: settings.timing.clone(),
            engines: Engines::new(settings.node.zone.clone()),
            prefix_tree: PrefixTree::new(PREFIX_TREE_BLOCKS, HeatOptions::default()),
            reserve: Reserve::new(seed),
            waiting: BTreeMap::new(),
            request_numbers: BTreeMap::new(),
            held_permits: BTreeMap::new(),
            reported_engines: BTreeSet::new(),
            home_replies: VecDeque::new(),
            events,
            next_request_number: 0,
            round_robin_count: 0,
            next_digests_at: Millis(0),
            next_report_at: Millis(0),
        }
    }

    /// Returns the home node of `engine`.
    pub fn home_of(&self, engine: &EngineId) -> InstanceId {
        self.homes.home_of(engine)
    }

    /// Starts the routing of a request. The admission is sent to `reply`, often later.
    pub fn admit(
        &mut self,
        ctx: &mut Context<'_>,
        route_request: RouteRequest,
        reply: AdmissionSender,
    ) {
        if self.routing.policy != Policy::Flamingolock {
            self.admit_baseline(ctx, &route_request, reply);
            return;
        }
        self.next_request_number = (self.next_request_number + 1) & messages::MAX_REQUEST_NUMBER;
        let request_number = RequestNumber(self.next_request_number);
        let view = ctx.view.load();
        let weight = view
            .manifest
            .workspaces
            .get(&route_request.workspace)
            .map_or(1.0, |w| w.weight);
        let model = view.manifest.models.get(&route_request.model);
        let price = model.map_or(0.0, |model| model.recompute_price);
        let weights = model.map(|model| model.weights.clone()).unwrap_or_default();
        let mut prompts = PromptsByWeights::default();
        let cost_ms = prefill_ms(&route_request);
        let heat = prompts.record(
            &mut self.prefix_tree,
            &route_request,
            &weights,
            cost_ms,
            ctx.now,
        );
        let price = price + replication_price(&heat);
        let candidates = self.candidates(&route_request, &heat, price, ctx.now);
        self.request_numbers
            .insert(route_request.request.clone(), request_number);
        let waiting = WaitingRequest {
            route_request,
            reply,
            request_number,
            weight,
            price,
            candidates,
            probed: Vec::new(),
            answers: BTreeMap::new(),
            scored: Vec::new(),
            stage: Stage::Probing {
                until: ctx.now + Millis(self.timing.probe_ms),
            },
            rounds: 0,
            heat,
            prompts,
        };
        self.waiting.insert(request_number, waiting);
        self.begin_round(ctx, request_number);
        self.process_home_replies(ctx);
    }

    /// Cancels a waiting request whose caller has disconnected.
    pub fn abandon(&mut self, ctx: &mut Context<'_>, request: &RequestId) {
        if let Some(request_number) = self.request_numbers.get(request).copied() {
            self.cancel_permit_request(ctx, request_number);
            self.remove_waiting(request_number);
        }
        self.process_home_replies(ctx);
    }

    /// Reports the first token of a request to the home of the engine.
    pub fn handle_first_token(
        &mut self,
        ctx: &mut Context<'_>,
        engine: &EngineId,
        permit: PermitId,
        observed: PrefillStats,
    ) {
        let home = self.homes.home_of(engine);
        if home == self.local_entry.instance {
            let outputs = self
                .homes
                .step(engine, Input::FirstToken { permit, observed }, ctx.now);
            self.dispatch(ctx, outputs);
        } else {
            ctx.send(&home, messages::permit_first(engine, permit, observed));
        }
        self.process_home_replies(ctx);
    }

    /// Releases a permit of this node.
    pub fn release(
        &mut self,
        ctx: &mut Context<'_>,
        engine: &EngineId,
        permit: PermitId,
        failed: bool,
    ) {
        if let Some(engine) = self.engines.get_mut(engine) {
            engine.inflight = engine.inflight.saturating_sub(1);
        }
        let held = self.held_permits.remove(&(engine.clone(), permit));
        if held.is_some_and(|held| held.reserved) {
            self.reserve.release(engine, permit);
        }
        self.release_at_home(ctx, engine, permit, failed);
        self.process_home_replies(ctx);
    }

    fn release_at_home(
        &mut self,
        ctx: &mut Context<'_>,
        engine: &EngineId,
        permit: PermitId,
        failed: bool,
    ) {
        let home = self.homes.home_of(engine);
        if home == self.local_entry.instance {
            let input = Input::Release {
                permit,
                observed: None,
            };
            let outputs = self.homes.step(engine, input, ctx.now);
            self.dispatch(ctx, outputs);
            return;
        }
        let outcome = if failed {
            wire::PermitOutcome::Failed
        } else {
            wire::PermitOutcome::Completed
        };
        let release = wire::PermitRelease {
            permit: permit.0,
            engine: engine.to_string(),
            outcome: outcome as i32,
            first_token_ms: 0,
            cached_tokens: 0,
        };
        ctx.send(&home, Payload::PermitRelease(release));
    }

    /// Applies the instance list, and informs or closes the homes of engines that have
    /// begun to leave or were removed.
    pub fn update_instances(
        &mut self,
        ctx: &mut Context<'_>,
        instances: &BTreeMap<String, ListedInstance>,
    ) {
        for engine in self.engines.update_instances(instances) {
            let outputs = if self.engines.get(&engine).is_some() {
                self.homes.step(&engine, Input::EngineLeaving, ctx.now)
            } else {
                self.reserve.forget(&engine);
                self.homes.close(&engine, ctx.now)
            };
            self.dispatch(ctx, outputs);
        }
        self.process_home_replies(ctx);
    }

    /// Handles the result of an engine's status poll; `None` if it did not answer.
    pub fn handle_engine_status(
        &mut self,
        ctx: &mut Context<'_>,
        engine: &EngineId,
        status: Option<EngineStatus>,
    ) {
        let load = status.as_ref().map(EngineStatus::load);
        let change = self.engines.record_status(engine, status);
        let outputs = match (change, load) {
            (StatusChange::Lost, _) => self.homes.close(engine, ctx.now),
            (_, Some(load)) => {
                let mut outputs = self.homes.update_load(engine, load, ctx.now);
                if self
                    .engines
                    .get(engine)
                    .is_some_and(|engine| engine.leaving)
                {
                    outputs.extend(self.homes.step(engine, Input::EngineLeaving, ctx.now));
                }
                outputs
            }
            (_, None) => Outputs::new(),
        };
        self.dispatch(ctx, outputs);
        let answering = self.engines.answering();
        if ctx.view.load().answering != answering {
            ctx.publish(|view| view.answering = answering);
        }
        self.process_home_replies(ctx);
    }

    /// Passes changes of an engine's prefix cache to its home.
    pub fn handle_cache_events(
        &mut self,
        ctx: &mut Context<'_>,
        engine: &EngineId,
        incarnation: Incarnation,
        events: Vec<CacheEvent>,
    ) {
        let input = Input::CacheEvents {
            incarnation,
            events,
        };
        let outputs = self.homes.step(engine, input, ctx.now);
        self.dispatch(ctx, outputs);
        self.process_home_replies(ctx);
    }

    /// Assigns homes to another set of nodes.
    pub fn set_nodes(&mut self, ctx: &mut Context<'_>, nodes: BTreeSet<InstanceId>) {
        if *self.homes.nodes() == nodes || nodes.is_empty() {
            return;
        }
        let before: BTreeMap<EngineId, InstanceId> = self
            .engines
            .iter()
            .map(|(name, _)| (name.clone(), self.homes.home_of(name)))
            .collect();
        let outputs = self.homes.set_nodes(nodes, ctx.now);
        self.dispatch(ctx, outputs);
        let moved: Vec<EngineId> = before
            .into_iter()
            .filter(|(engine, home)| self.homes.home_of(engine) != *home)
            .map(|(engine, _)| engine)
            .collect();
        for engine in &moved {
            self.set_up_new_home(ctx, engine);
        }
        self.reissue_permit_requests(ctx, &moved);
        self.process_home_replies(ctx);
    }

    /// Releases what a lost incarnation of an entry node holds at the homes on this node.
    pub fn entry_gone(&mut self, ctx: &mut Context<'_>, entry: &EntryRef) {
        let outputs = self.homes.entry_gone(entry, ctx.now);
        self.dispatch(ctx, outputs);
        self.process_home_replies(ctx);
    }

    /// Runs the timers of homes and waiting requests, and sends digests and reports that
    /// are due.
    pub fn tick(&mut self, ctx: &mut Context<'_>) {
        let outputs = self.homes.tick(ctx.now);
        self.dispatch(ctx, outputs);
        self.expire_waiting(ctx);
        if ctx.now >= self.next_digests_at {
            let nodes = self.homes.nodes().len() as u64;
            self.next_digests_at =
                ctx.now + Millis(MIN_DIGEST_INTERVAL_MS.max(nodes * DIGEST_INTERVAL_PER_NODE_MS));
            self.broadcast_digests(ctx);
        }
        if ctx.now >= self.next_report_at {
            self.next_report_at = ctx.now + Millis(REPORT_INTERVAL_MS);
            self.report_all_permits(ctx);
        }
        self.process_home_replies(ctx);
    }

    /// Returns the next time that homes or waiting requests need [`Router::tick`] if no
    /// event comes before.
    pub fn next_tick(&self, now: Millis) -> Option<Millis> {
        let waiting = self.waiting.values().map(|waiting| match &waiting.stage {
            Stage::Probing { until } => *until,
            Stage::AwaitingPermit {
                home_timeout_at, ..
            } => home_timeout_at.unwrap_or(waiting.route_request.deadline),
        });
        [self.homes.next_tick(now), waiting.min()]
            .into_iter()
            .flatten()
            .min()
    }

    fn expire_waiting(&mut self, ctx: &mut Context<'_>) {
        let mut due = Vec::new();
        for waiting in self.waiting.values() {
            let timed_out = match &waiting.stage {
                Stage::Probing { until } => *until <= ctx.now,
                Stage::AwaitingPermit {
                    home_timeout_at, ..
                } => home_timeout_at.is_some_and(|at| at <= ctx.now),
            };
            if timed_out || waiting.route_request.deadline <= ctx.now {
                due.push(waiting.request_number);
            }
        }
        for request_number in due {
            self.expire(ctx, request_number);
        }
    }

    fn expire(&mut self, ctx: &mut Context<'_>, request_number: RequestNumber) {
        let Some(waiting) = self.waiting.get(&request_number) else {
            return;
        };
        if waiting.route_request.deadline <= ctx.now {
            self.cancel_permit_request(ctx, request_number);
            self.refuse(ctx, request_number, "deadline", NO_ENGINE_RETRY_AFTER);
            return;
        }
        match waiting.stage.clone() {
            Stage::Probing { .. } => self.choose_engine(ctx, request_number),
            Stage::AwaitingPermit { engine, .. } => {
                self.grant_from_reserve(ctx, request_number, &engine);
            }
        }
    }

    /// Sends outputs of homes to the entry nodes that they are for, and queues those for
    /// this node.
    fn dispatch(&mut self, ctx: &mut Context<'_>, outputs: Outputs) {
        for (engine, output) in outputs {
            if let Some((to, payload)) = messages::home_output_message(&engine, &output)
                && to != self.local_entry.instance
            {
                ctx.send(&to, payload);
                continue;
            }
            if let Some(message) = home_reply(engine, output) {
                self.home_replies.push_back(message);
            }
        }
    }

    /// Handles queued replies of homes until the queue is empty.
    fn process_home_replies(&mut self, ctx: &mut Context<'_>) {
        while let Some(message) = self.home_replies.pop_front() {
            match message {
                HomeReply::ProbeAnswer {
                    request_number,
                    engine,
                    answer,
                } => {
                    self.handle_probe_answer(ctx, request_number, engine, answer);
                }
                HomeReply::NotHome {
                    request_number,
                    engine,
                } => {
                    if self.awaits_permit_on(request_number, &engine) {
                        self.grant_from_reserve(ctx, request_number, &engine);
                    }
                }
                HomeReply::Queued {
                    request_number,
                    from,
                } => self.handle_queued(request_number, &from),
                HomeReply::Grant {
                    request_number,
                    engine,
                    permit,
                    incarnation,
                } => {
                    self.handle_grant(ctx, request_number, &engine, permit, incarnation);
                }
                HomeReply::Refuse {
                    request_number,
                    engine,
                    reason,
                    retry_after,
                } => {
                    self.handle_refusal(ctx, request_number, &engine, reason, retry_after);
                }
            }
        }
    }
}

fn home_reply(engine: EngineId, output: Output) -> Option<HomeReply> {
    Some(match output {
        Output::Probe {
            request, answer, ..
        } => HomeReply::ProbeAnswer {
            request_number: RequestNumber::from_request_id(&request)?,
            engine,
            answer,
        },
        Output::Grant(Grant {
            request,
            permit,
            incarnation,
            ..
        }) => HomeReply::Grant {
            request_number: RequestNumber::from_request_id(&request)?,
            engine,
            permit,
            incarnation,
        },
        Output::Refuse(refusal) => HomeReply::Refuse {
            request_number: RequestNumber::from_request_id(&refusal.request)?,
            engine,
            reason: refusal.reason,
            retry_after: refusal.retry_after,
        },
    })
}

/// Returns the price of computing a prompt on an engine that does not cache its prefix,
/// relative to the time of the prefill. It is small for prefixes with enough load to
/// make use of another replica.
fn replication_price(heat: &[HeatLevel]) -> f64 {
    let shared = heat.iter().rev().find(|level| level.replicas > 0);
    let load = shared.map_or(0.0, |level| level.load);
    EVICTION_PRICE / (1.0 + load / HALF_PRICE_LOAD)
}

/// Estimates the prefill time of a prompt, with the usual part of it cached.
fn prefill_ms(route_request: &RouteRequest) -> f64 {
    let tokens =
        route_request.prompt.len() as f64 / flamingolock_core::prefix::BYTES_PER_TOKEN as f64;
    UNCACHED_FRACTION * tokens * 1000.0 / flamingolock_core::prefill_rate::DEFAULT_RATE
}
