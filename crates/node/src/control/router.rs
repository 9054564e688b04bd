//! Places requests on engines together with the routers of the other nodes.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crossbeam::channel::Sender;
use flamingolock_core::choice::{self, Choice};
use flamingolock_core::heat::HeatOptions;
use flamingolock_core::home::HomeOptions;
use flamingolock_core::home_message::{Grant, Input, Output, ProbeAnswer, Reason};
use flamingolock_core::permit::{EntryRef, LivePermit, Observed, PermitId};
use flamingolock_core::prefix_model::CacheEvent;
use flamingolock_core::prefix_tree::{HeatLevel, PrefixTree};
use flamingolock_core::prelude::*;
use flamingolock_core::rendezvous;
use flamingolock_core::reserve::Reserve;
use flamingolock_core::shortlist::{self, Candidate};
use flamingolock_wire::message::{self as wire, Payload};
use serde_json::json;

use crate::control::Event;
use crate::control::admission::{MAX_ROUNDS, Prompts, Stage, Waiting};
use crate::control::context::Context;
use crate::control::engines::{EngineStatus, Engines, StatusChange};
use crate::control::homes::{Homes, Outputs};
use crate::control::messages::{self, Ticket};
use crate::control::permit::{Admission, Permit, Refusal, Reply, RouteAsk};
use crate::settings::{Mechanism, Policy, RoutingSettings, Settings, TimingSettings};
use crate::view::Listed;

/// Engines that are probed for one request.
const PROBES: usize = 4;

/// Blocks in the memory of recent prompts.
const TREE_BLOCKS: usize = 200_000;

/// Shortest time between two broadcasts of digests.
const DIGEST_MS: u64 = 250;

/// Time between broadcasts grows by this with every node, which keeps the bytes
/// that each node receives constant.
const DIGEST_NODE_MS: u64 = 30;

/// Time between reports of live permits to remote homes.
const REPORT_MS: u64 = 1_000;

/// Part of a prompt that an engine usually has to compute; the rest is cached. Heat
/// that counted whole prompts would ask for copies that push each other out.
const COMPUTED_PART: f64 = 0.12;

/// Price of a prefill's time for what it does to the cache: each computed block
/// pushes out another one, which later requests have to compute again.
const EVICTION_PRICE: f64 = 16.0;

/// Load in engines at which half of a copy's price is won back, since later
/// requests find the copy.
const SHARED_LOAD: f64 = 0.05;

/// What a caller is asked to wait when no engine takes work.
const NO_ENGINE_RETRY: Millis = Millis(1_000);

/// A permit that this node holds.
#[derive(Clone, Debug)]
struct Held {
    ticket: Ticket,
    incarnation: Incarnation,
    /// True when it came from this node's own reserve.
    reserved: bool,
}

/// What homes tell this node about its own requests.
enum ToEntry {
    Probe {
        ticket: Ticket,
        engine: EngineId,
        answer: ProbeAnswer,
    },
    Queued {
        ticket: Ticket,
        from: InstanceId,
    },
    NotHome {
        ticket: Ticket,
        engine: EngineId,
    },
    Grant {
        ticket: Ticket,
        engine: EngineId,
        permit: PermitId,
        incarnation: Incarnation,
    },
    Refuse {
        ticket: Ticket,
        engine: EngineId,
        reason: Reason,
        retry_after: Millis,
    },
}

/// The router of one node. See the module's description.
pub struct Router {
    me: EntryRef,
    routing: RoutingSettings,
    timing: TimingSettings,
    /// Engines by name.
    pub engines: Engines,
    homes: Homes,
    tree: PrefixTree,
    reserve: Reserve,
    waiting: BTreeMap<Ticket, Waiting>,
    tickets: BTreeMap<RequestId, Ticket>,
    held: BTreeMap<(EngineId, PermitId), Held>,
    reported: BTreeSet<EngineId>,
    to_entry: VecDeque<ToEntry>,
    events: Sender<Event>,
    next_ticket: u32,
    turn: usize,
    digests_at: Millis,
    report_at: Millis,
}

impl Router {
    /// A router that knows no engine yet.
    pub fn new(settings: &Settings, incarnation: Incarnation, events: Sender<Event>) -> Self {
        let me = EntryRef {
            instance: settings.node.name.clone(),
            incarnation,
        };
        let options = HomeOptions {
            shared_prefill: settings.routing.uses(Mechanism::SharedPrefill),
            ..HomeOptions::default()
        };
        let seed = rendezvous::key(&format!("{}#{incarnation}#reserve", settings.node.name));
        Self {
            homes: Homes::new(me.clone(), options),
            me,
            routing: settings.routing.clone(),
            timing: settings.timing.clone(),
            engines: Engines::new(settings.node.zone.clone()),
            tree: PrefixTree::new(TREE_BLOCKS, HeatOptions::default()),
            reserve: Reserve::new(seed),
            waiting: BTreeMap::new(),
            tickets: BTreeMap::new(),
            held: BTreeMap::new(),
            reported: BTreeSet::new(),
            to_entry: VecDeque::new(),
            events,
            next_ticket: 0,
            turn: 0,
            digests_at: Millis(0),
            report_at: Millis(0),
        }
    }

    /// The node that is home of `engine`.
    pub fn home_of(&self, engine: &EngineId) -> InstanceId {
        self.homes.home_of(engine)
    }

    /// Places a request; the admission goes to `reply` once it is known.
    pub fn admit(&mut self, ctx: &mut Context<'_>, ask: RouteAsk, reply: Reply) {
        if self.routing.policy != Policy::Flamingolock {
            self.admit_baseline(ctx, &ask, reply);
            return;
        }
        self.next_ticket = (self.next_ticket + 1) & messages::MAX_TICKET;
        let ticket = Ticket(self.next_ticket);
        let view = ctx.view.load();
        let weight = view
            .manifest
            .workspaces
            .get(&ask.workspace)
            .map_or(1.0, |w| w.weight);
        let model = view.manifest.models.get(&ask.model);
        let price = model.map_or(0.0, |model| model.recompute_price);
        let weights = model.map(|model| model.weights.clone()).unwrap_or_default();
        let mut prompts = Prompts::default();
        let cost_ms = prefill_ms(&ask);
        let heat = prompts.record(&mut self.tree, &ask, &weights, cost_ms, ctx.now);
        let price = price + copy_price(&heat);
        let candidates = self.candidates(&ask, &heat, price, ctx.now);
        self.tickets.insert(ask.request.clone(), ticket);
        let waiting = Waiting {
            ask,
            reply,
            ticket,
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
        self.waiting.insert(ticket, waiting);
        self.begin_round(ctx, ticket);
        self.settle(ctx);
    }

    /// The caller of a waiting request has left.
    pub fn abandon(&mut self, ctx: &mut Context<'_>, request: &RequestId) {
        if let Some(ticket) = self.tickets.get(request).copied() {
            self.take_back(ctx, ticket);
            self.forget(ticket);
        }
        self.settle(ctx);
    }

    /// The first token of a request came.
    pub fn first_token(
        &mut self,
        ctx: &mut Context<'_>,
        engine: &EngineId,
        permit: PermitId,
        observed: Observed,
    ) {
        let home = self.homes.home_of(engine);
        if home == self.me.instance {
            let outputs = self
                .homes
                .step(engine, Input::FirstToken { permit, observed }, ctx.now);
            self.dispatch(ctx, outputs);
        } else {
            ctx.send(&home, messages::permit_first(engine, permit, observed));
        }
        self.settle(ctx);
    }

    /// A permit of this node is over.
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
        let held = self.held.remove(&(engine.clone(), permit));
        if held.is_some_and(|held| held.reserved) {
            self.reserve.release(engine, permit);
        }
        self.release_at_home(ctx, engine, permit, failed);
        self.settle(ctx);
    }

    fn release_at_home(
        &mut self,
        ctx: &mut Context<'_>,
        engine: &EngineId,
        permit: PermitId,
        failed: bool,
    ) {
        let home = self.homes.home_of(engine);
        if home == self.me.instance {
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

    /// The platform's list was read.
    pub fn listed(&mut self, ctx: &mut Context<'_>, instances: &BTreeMap<String, Listed>) {
        for engine in self.engines.listed(instances) {
            let outputs = if self.engines.get(&engine).is_some() {
                self.homes.step(&engine, Input::EngineLeaving, ctx.now)
            } else {
                self.reserve.forget(&engine);
                self.homes.close(&engine, ctx.now)
            };
            self.dispatch(ctx, outputs);
        }
        self.settle(ctx);
    }

    /// An engine reported its state, or did not answer.
    pub fn status(
        &mut self,
        ctx: &mut Context<'_>,
        engine: &EngineId,
        status: Option<EngineStatus>,
    ) {
        let load = status.as_ref().map(EngineStatus::load);
        let change = self.engines.note_status(engine, status);
        let outputs = match (change, load) {
            (StatusChange::Lost, _) => self.homes.close(engine, ctx.now),
            (_, Some(load)) => {
                let mut outputs = self.homes.load(engine, load, ctx.now);
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
        self.settle(ctx);
    }

    /// An engine reported changes of its cache.
    pub fn cache_events(
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
        self.settle(ctx);
    }

    /// Homes are shared among these nodes from now on.
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
            self.adopt(ctx, engine);
        }
        self.ask_again(ctx, &moved);
        self.settle(ctx);
    }

    /// Tells the new home of an engine what this node holds there.
    fn adopt(&mut self, ctx: &mut Context<'_>, engine: &EngineId) {
        if self.homes.is_mine(engine) {
            let load = self
                .engines
                .get(engine)
                .and_then(|engine| engine.status.as_ref());
            if let Some(load) = load.map(EngineStatus::load) {
                let outputs = self.homes.load(engine, load, ctx.now);
                self.dispatch(ctx, outputs);
            }
        }
        self.report(ctx, engine);
    }

    /// Asks the new homes of engines for the permits that the old ones still owed.
    fn ask_again(&mut self, ctx: &mut Context<'_>, moved: &[EngineId]) {
        let again: Vec<(Ticket, EngineId)> = self
            .waiting
            .values()
            .filter_map(|waiting| match &waiting.stage {
                Stage::Asked { engine, .. } if moved.contains(engine) => {
                    Some((waiting.ticket, engine.clone()))
                }
                _ => None,
            })
            .collect();
        for (ticket, engine) in again {
            self.ask_home(ctx, ticket, &engine);
        }
    }

    /// A life of a node is lost.
    pub fn entry_gone(&mut self, ctx: &mut Context<'_>, entry: &EntryRef) {
        let outputs = self.homes.entry_gone(entry, ctx.now);
        self.dispatch(ctx, outputs);
        self.settle(ctx);
    }

    /// A message about permits came from another node.
    pub fn peer(&mut self, ctx: &mut Context<'_>, from: &EntryRef, payload: &Payload) {
        match payload {
            Payload::ProbeBatch(batch) => self.answer_probes(ctx, from, batch),
            Payload::PermitAsk(ask) => self.peer_ask(ctx, from, ask),
            Payload::PermitCancel(cancel) => {
                if let Ok(number) = cancel.request.parse() {
                    let request = Ticket(number).request(&from.instance);
                    let input = Input::Cancel {
                        entry: from.clone(),
                        request,
                    };
                    self.step_home(ctx, &cancel.engine, input);
                }
            }
            Payload::PermitRelease(release) => {
                let permit = PermitId(release.permit);
                let input = Input::Release {
                    permit,
                    observed: None,
                };
                self.step_home(ctx, &release.engine, input);
            }
            Payload::PermitFirst(first) => {
                let permit = PermitId(first.permit);
                let observed = messages::read_observed(first);
                self.step_home(ctx, &first.engine, Input::FirstToken { permit, observed });
            }
            Payload::PermitsLive(report) => {
                let permits = messages::read_permits_live(from, report);
                let input = Input::Rebuild {
                    entry: from.clone(),
                    permits,
                };
                self.step_home(ctx, &report.engine, input);
            }
            Payload::EngineDigest(message) => {
                for digest in messages::read_digests(message, ctx.now) {
                    self.engines.note_digest(digest);
                }
            }
            _ => self.peer_answer(ctx, from, payload),
        }
        self.settle(ctx);
    }

    fn answer_probes(&mut self, ctx: &mut Context<'_>, from: &EntryRef, batch: &wire::ProbeBatch) {
        let view = ctx.view.load();
        let mut answers = Vec::with_capacity(batch.probes.len());
        for probe in &batch.probes {
            let workspace = view.manifest.workspaces.get(probe.workspace.as_str());
            let weight = workspace.map_or(1.0, |workspace| workspace.weight);
            let ask = messages::probe_ask(from, probe, weight);
            let engine = EngineId::from(probe.engine.as_str());
            for (engine, output) in self.homes.step(&engine, Input::Probe(ask), ctx.now) {
                match output {
                    Output::Probe { answer, .. } => {
                        answers.push(messages::probe_answer(probe.id, answer));
                    }
                    other => self.dispatch(ctx, vec![(engine, other)]),
                }
            }
        }
        if !answers.is_empty() {
            let answers = wire::ProbeAnswers { answers };
            ctx.send(&from.instance, Payload::ProbeAnswers(answers));
        }
    }

    fn step_home(&mut self, ctx: &mut Context<'_>, engine: &str, input: Input) {
        let outputs = self.homes.step(&EngineId::from(engine), input, ctx.now);
        self.dispatch(ctx, outputs);
    }

    fn peer_ask(&mut self, ctx: &mut Context<'_>, from: &EntryRef, message: &wire::PermitAsk) {
        let Some(ask) = messages::read_permit_ask(from, message) else {
            return;
        };
        let engine = EngineId::from(message.engine.as_str());
        if self.homes.get(&engine).is_none() {
            let refusal = wire::PermitRefuse {
                request: message.request.clone(),
                reason: wire::RefuseReason::NotHome as i32,
                retry_after_ms: 0,
                engine: message.engine.clone(),
            };
            ctx.send(&from.instance, Payload::PermitRefuse(refusal));
            return;
        }
        let queued = wire::PermitQueued {
            request: message.request.clone(),
        };
        ctx.send(&from.instance, Payload::PermitQueued(queued));
        let outputs = self.homes.step(&engine, Input::Ask(ask), ctx.now);
        self.dispatch(ctx, outputs);
    }

    fn peer_answer(&mut self, ctx: &mut Context<'_>, from: &EntryRef, payload: &Payload) {
        match payload {
            Payload::ProbeAnswers(answers) => {
                for answer in &answers.answers {
                    let (ticket, place) = messages::read_probe_id(answer.id);
                    let waiting = self.waiting.get(&ticket);
                    let Some(engine) = waiting.and_then(|waiting| waiting.probed.get(place)) else {
                        continue;
                    };
                    self.to_entry.push_back(ToEntry::Probe {
                        ticket,
                        engine: engine.clone(),
                        answer: messages::read_probe_answer(answer),
                    });
                }
            }
            Payload::PermitQueued(queued) => {
                if let Ok(number) = queued.request.parse() {
                    let from = from.instance.clone();
                    self.to_entry.push_back(ToEntry::Queued {
                        ticket: Ticket(number),
                        from,
                    });
                }
            }
            Payload::PermitGrant(grant) => {
                let engine = EngineId::from(grant.engine.as_str());
                let permit = PermitId(grant.permit);
                match grant.request.parse() {
                    Ok(number) => self.to_entry.push_back(ToEntry::Grant {
                        ticket: Ticket(number),
                        engine,
                        permit,
                        incarnation: Incarnation(grant.engine_incarnation),
                    }),
                    Err(_) => self.release_at_home(ctx, &engine, permit, false),
                }
            }
            Payload::PermitRefuse(refusal) => {
                let Ok(number) = refusal.request.parse() else {
                    return;
                };
                let ticket = Ticket(number);
                let engine = EngineId::from(refusal.engine.as_str());
                // The other node shares out homes by an older or newer list.
                if refusal.reason() == wire::RefuseReason::NotHome {
                    self.to_entry.push_back(ToEntry::NotHome { ticket, engine });
                    return;
                }
                self.to_entry.push_back(ToEntry::Refuse {
                    ticket,
                    engine,
                    reason: messages::read_reason(refusal.reason),
                    retry_after: Millis(refusal.retry_after_ms),
                });
            }
            _ => {}
        }
    }

    /// Time passed.
    pub fn tick(&mut self, ctx: &mut Context<'_>) {
        let outputs = self.homes.tick(ctx.now);
        self.dispatch(ctx, outputs);
        self.expire_waiting(ctx);
        if ctx.now >= self.digests_at {
            let nodes = self.homes.nodes().len() as u64;
            self.digests_at = ctx.now + Millis(DIGEST_MS.max(nodes * DIGEST_NODE_MS));
            self.spread_digests(ctx);
        }
        if ctx.now >= self.report_at {
            self.report_at = ctx.now + Millis(REPORT_MS);
            self.report_all(ctx);
        }
        self.settle(ctx);
    }

    /// When [`Router::tick`] is due if nothing else happens.
    pub fn next_tick(&self, now: Millis) -> Option<Millis> {
        let waiting = self.waiting.values().map(|waiting| match &waiting.stage {
            Stage::Probing { until } => *until,
            Stage::Asked { silent_at, .. } => silent_at.unwrap_or(waiting.ask.deadline),
        });
        [self.homes.next_tick(now), waiting.min()]
            .into_iter()
            .flatten()
            .min()
    }

    fn expire_waiting(&mut self, ctx: &mut Context<'_>) {
        let mut due = Vec::new();
        for waiting in self.waiting.values() {
            let silent = match &waiting.stage {
                Stage::Probing { until } => *until <= ctx.now,
                Stage::Asked { silent_at, .. } => silent_at.is_some_and(|at| at <= ctx.now),
            };
            if silent || waiting.ask.deadline <= ctx.now {
                due.push(waiting.ticket);
            }
        }
        for ticket in due {
            self.expire(ctx, ticket);
        }
    }

    fn expire(&mut self, ctx: &mut Context<'_>, ticket: Ticket) {
        let Some(waiting) = self.waiting.get(&ticket) else {
            return;
        };
        if waiting.ask.deadline <= ctx.now {
            self.take_back(ctx, ticket);
            self.refuse(ctx, ticket, "deadline", NO_ENGINE_RETRY);
            return;
        }
        match waiting.stage.clone() {
            Stage::Probing { .. } => self.choose(ctx, ticket),
            Stage::Asked { engine, .. } => self.use_reserve(ctx, ticket, &engine),
        }
    }

    fn spread_digests(&mut self, ctx: &mut Context<'_>) {
        let digests = self.homes.digests(ctx.now);
        if digests.is_empty() {
            return;
        }
        let payload = messages::digests(&digests);
        for node in self.homes.nodes() {
            if *node != self.me.instance {
                ctx.send(node, payload.clone());
            }
        }
        for digest in digests {
            self.engines.note_digest(digest);
        }
    }

    /// Reports live permits, so that homes notice releases that were lost. An
    /// engine is reported once more after its last permit ended.
    fn report_all(&mut self, ctx: &mut Context<'_>) {
        let mut engines: BTreeSet<EngineId> =
            self.held.keys().map(|(engine, _)| engine.clone()).collect();
        let last = std::mem::replace(&mut self.reported, engines.clone());
        engines.extend(last);
        for engine in &engines {
            self.report(ctx, engine);
        }
    }

    fn report(&mut self, ctx: &mut Context<'_>, engine: &EngineId) {
        let live: Vec<(Ticket, LivePermit)> = self
            .held
            .iter()
            .filter(|((name, _), _)| name == engine)
            .map(|((_, permit), held)| {
                let request = held.ticket.request(&self.me.instance);
                let live = LivePermit {
                    permit: *permit,
                    request,
                    incarnation: held.incarnation,
                };
                (held.ticket, live)
            })
            .collect();
        let home = self.homes.home_of(engine);
        if home != self.me.instance {
            ctx.send(&home, messages::permits_live(engine, &live));
            return;
        }
        let permits = live.into_iter().map(|(_, live)| live).collect();
        let input = Input::Rebuild {
            entry: self.me.clone(),
            permits,
        };
        let outputs = self.homes.step(engine, input, ctx.now);
        self.dispatch(ctx, outputs);
    }

    fn candidates(
        &mut self,
        ask: &RouteAsk,
        heat: &[HeatLevel],
        price: f64,
        now: Millis,
    ) -> Vec<Candidate> {
        let mut levels = heat.to_vec();
        if !self.routing.uses(Mechanism::Replicas) {
            for level in &mut levels {
                level.replicas = level.replicas.min(1);
            }
        }
        let tokens = ask
            .prompt
            .len()
            .div_ceil(flamingolock_core::prefix::BYTES_PER_TOKEN) as u32;
        let seed = rendezvous::key(ask.request.as_str()) ^ now.0;
        let fleet = self.engines.fleet(&ask.model, now);
        let wanted = PROBES + ask.avoid.len();
        let mut found = shortlist::shortlist(fleet, tokens, &levels, price, wanted, seed, now);
        found.retain(|candidate| !ask.avoid.contains(&candidate.engine));
        found.truncate(PROBES);
        found
    }

    /// Sends the probes of a round, or chooses at once where there are none.
    fn begin_round(&mut self, ctx: &mut Context<'_>, ticket: Ticket) {
        if !self.routing.uses(Mechanism::Probes) {
            self.choose(ctx, ticket);
            return;
        }
        let Some(mut waiting) = self.waiting.remove(&ticket) else {
            return;
        };
        let engines: Vec<EngineId> = waiting
            .candidates
            .iter()
            .map(|candidate| candidate.engine.clone())
            .collect();
        let mut remote: BTreeMap<InstanceId, Vec<wire::Probe>> = BTreeMap::new();
        waiting.probed.clone_from(&engines);
        for (place, engine) in engines.iter().enumerate() {
            let weights = self.weights_of(engine);
            let ask = waiting.home_ask(&self.me, &weights, ctx.now);
            let home = self.homes.home_of(engine);
            if home == self.me.instance {
                let outputs = self.homes.step(engine, Input::Probe(ask), ctx.now);
                self.dispatch(ctx, outputs);
            } else {
                remote
                    .entry(home)
                    .or_default()
                    .push(messages::probe(ticket, place, engine, &ask));
            }
        }
        self.waiting.insert(ticket, waiting);
        for (home, probes) in remote {
            ctx.send(&home, Payload::ProbeBatch(wire::ProbeBatch { probes }));
        }
        if engines.is_empty() {
            self.choose(ctx, ticket);
        }
    }

    fn weights_of(&self, engine: &EngineId) -> WeightsVersion {
        let status = self
            .engines
            .get(engine)
            .and_then(|engine| engine.status.as_ref());
        status
            .map(|status| status.weights.clone())
            .unwrap_or_default()
    }

    fn choose(&mut self, ctx: &mut Context<'_>, ticket: Ticket) {
        let Some(waiting) = self.waiting.get_mut(&ticket) else {
            return;
        };
        let answers = &waiting.answers;
        let answer = |engine: &EngineId| answers.get(engine).copied();
        let Some(choice) = choice::choose(&waiting.candidates, answer, waiting.price) else {
            self.refuse(ctx, ticket, "no_engine", NO_ENGINE_RETRY);
            return;
        };
        let Choice {
            engine, candidates, ..
        } = choice;
        waiting.scored = candidates;
        waiting.rounds += 1;
        if self.routing.uses(Mechanism::Permits) {
            self.ask_home(ctx, ticket, &engine);
        } else {
            self.grant_own(ctx, ticket, &engine, PermitId(0), false, "without permits");
        }
    }

    fn ask_home(&mut self, ctx: &mut Context<'_>, ticket: Ticket, engine: &EngineId) {
        let home = self.homes.home_of(engine);
        let weights = self.weights_of(engine);
        let status = self
            .engines
            .get(engine)
            .and_then(|engine| engine.status.as_ref());
        let incarnation = status.map(|status| status.incarnation).unwrap_or_default();
        let local = home == self.me.instance;
        let silent_at = (!local).then(|| ctx.now + Millis(self.timing.home_ms));
        let Some(waiting) = self.waiting.get_mut(&ticket) else {
            return;
        };
        let ask = waiting.home_ask(&self.me, &weights, ctx.now);
        waiting.stage = Stage::Asked {
            engine: engine.clone(),
            home: home.clone(),
            silent_at,
        };
        if local {
            if self.homes.get(engine).is_none() {
                self.use_reserve(ctx, ticket, engine);
                return;
            }
            let outputs = self.homes.step(engine, Input::Ask(ask), ctx.now);
            self.dispatch(ctx, outputs);
        } else {
            ctx.send(
                &home,
                messages::permit_ask(ticket, engine, incarnation, &ask),
            );
        }
    }

    /// The home did not answer in time: goes on without it, within bounds.
    fn use_reserve(&mut self, ctx: &mut Context<'_>, ticket: Ticket, engine: &EngineId) {
        self.take_back(ctx, ticket);
        let Some(status) = self
            .engines
            .get(engine)
            .and_then(|engine| engine.status.clone())
        else {
            self.next_round(ctx, ticket, engine, "no_engine", NO_ENGINE_RETRY);
            return;
        };
        let size = Reserve::size(status.slots, self.homes.nodes().len() as u32);
        let request = ticket.request(&self.me.instance);
        match self
            .reserve
            .take(engine, status.incarnation, size, &request)
        {
            Some(live) => {
                self.grant_own(
                    ctx,
                    ticket,
                    engine,
                    live.permit,
                    true,
                    "home silent, reserve",
                );
            }
            None => self.next_round(ctx, ticket, engine, "reserve_full", Millis(200)),
        }
    }

    /// Goes on to the next best engine, or refuses after enough rounds.
    fn next_round(
        &mut self,
        ctx: &mut Context<'_>,
        ticket: Ticket,
        failed: &EngineId,
        code: &'static str,
        retry_after: Millis,
    ) {
        let Some(waiting) = self.waiting.get_mut(&ticket) else {
            return;
        };
        waiting.scored.retain(|scored| scored.engine != *failed);
        waiting
            .candidates
            .retain(|candidate| candidate.engine != *failed);
        waiting.rounds += 1;
        if waiting.rounds >= MAX_ROUNDS {
            self.refuse(ctx, ticket, code, retry_after);
            return;
        }
        match waiting.scored.first().map(|scored| scored.engine.clone()) {
            Some(engine) => self.ask_home(ctx, ticket, &engine),
            None => self.start_over(ctx, ticket),
        }
    }

    /// Draws a new shortlist: what is known of the engines has changed meanwhile.
    fn start_over(&mut self, ctx: &mut Context<'_>, ticket: Ticket) {
        let Some(mut waiting) = self.waiting.remove(&ticket) else {
            return;
        };
        let heat = waiting.heat.clone();
        waiting.candidates = self.candidates(&waiting.ask, &heat, waiting.price, ctx.now);
        waiting.answers.clear();
        waiting.stage = Stage::Probing {
            until: ctx.now + Millis(self.timing.probe_ms),
        };
        self.waiting.insert(ticket, waiting);
        self.begin_round(ctx, ticket);
    }

    /// Withdraws what a home was asked for.
    fn take_back(&mut self, ctx: &mut Context<'_>, ticket: Ticket) {
        let Some(Stage::Asked { engine, home, .. }) = self
            .waiting
            .get(&ticket)
            .map(|waiting| waiting.stage.clone())
        else {
            return;
        };
        if home == self.me.instance {
            let request = ticket.request(&self.me.instance);
            let input = Input::Cancel {
                entry: self.me.clone(),
                request,
            };
            let outputs = self.homes.step(&engine, input, ctx.now);
            self.dispatch(ctx, outputs);
            return;
        }
        let cancel = wire::PermitCancel {
            request: ticket.0.to_string(),
            engine: engine.to_string(),
        };
        ctx.send(&home, Payload::PermitCancel(cancel));
    }

    /// Sends what homes say to the entries that it is for.
    fn dispatch(&mut self, ctx: &mut Context<'_>, outputs: Outputs) {
        for (engine, output) in outputs {
            if let Some((to, payload)) = messages::output(&engine, &output)
                && to != self.me.instance
            {
                ctx.send(&to, payload);
                continue;
            }
            if let Some(message) = to_entry(engine, output) {
                self.to_entry.push_back(message);
            }
        }
    }

    /// Handles what homes told this node, until nothing is left.
    fn settle(&mut self, ctx: &mut Context<'_>) {
        while let Some(message) = self.to_entry.pop_front() {
            match message {
                ToEntry::Probe {
                    ticket,
                    engine,
                    answer,
                } => {
                    self.probed(ctx, ticket, engine, answer);
                }
                ToEntry::NotHome { ticket, engine } => {
                    if self.has_asked(ticket, &engine) {
                        self.use_reserve(ctx, ticket, &engine);
                    }
                }
                ToEntry::Queued { ticket, from } => self.queued(ticket, &from),
                ToEntry::Grant {
                    ticket,
                    engine,
                    permit,
                    incarnation,
                } => {
                    self.granted(ctx, ticket, &engine, permit, incarnation);
                }
                ToEntry::Refuse {
                    ticket,
                    engine,
                    reason,
                    retry_after,
                } => {
                    self.refused(ctx, ticket, &engine, reason, retry_after);
                }
            }
        }
    }

    fn probed(
        &mut self,
        ctx: &mut Context<'_>,
        ticket: Ticket,
        engine: EngineId,
        answer: ProbeAnswer,
    ) {
        let Some(waiting) = self.waiting.get_mut(&ticket) else {
            return;
        };
        waiting.answers.insert(engine, answer);
        let probing = matches!(waiting.stage, Stage::Probing { .. });
        if probing && waiting.is_answered() {
            self.choose(ctx, ticket);
        }
    }

    fn queued(&mut self, ticket: Ticket, from: &InstanceId) {
        let Some(waiting) = self.waiting.get_mut(&ticket) else {
            return;
        };
        if let Stage::Asked {
            home, silent_at, ..
        } = &mut waiting.stage
            && home == from
        {
            *silent_at = None;
        }
    }

    fn granted(
        &mut self,
        ctx: &mut Context<'_>,
        ticket: Ticket,
        engine: &EngineId,
        permit: PermitId,
        incarnation: Incarnation,
    ) {
        let expected = self.has_asked(ticket, engine);
        let known = self
            .engines
            .get(engine)
            .and_then(|engine| engine.status.as_ref());
        let current = known.is_none_or(|status| status.incarnation <= incarnation);
        if !expected || !current {
            self.release_at_home(ctx, engine, permit, false);
            if expected {
                self.next_round(ctx, ticket, engine, "engine_restarted", Millis(200));
            }
            return;
        }
        self.grant_own(ctx, ticket, engine, permit, false, "granted by home");
    }

    fn refused(
        &mut self,
        ctx: &mut Context<'_>,
        ticket: Ticket,
        engine: &EngineId,
        reason: Reason,
        retry_after: Millis,
    ) {
        let asked = self.has_asked(ticket, engine);
        if !asked {
            return;
        }
        match reason {
            Reason::Deadline => self.refuse(ctx, ticket, "deadline", retry_after),
            Reason::Full => self.next_round(ctx, ticket, engine, "overloaded", retry_after),
            Reason::Leaving | Reason::Gone | Reason::Duplicate | Reason::OldEntry => {
                self.next_round(ctx, ticket, engine, "no_engine", NO_ENGINE_RETRY);
            }
        }
    }

    /// True while the request waits for a permit on `engine`.
    fn has_asked(&self, ticket: Ticket, engine: &EngineId) -> bool {
        self.waiting.get(&ticket).is_some_and(
            |waiting| matches!(&waiting.stage, Stage::Asked { engine: asked, .. } if asked == engine),
        )
    }

    /// Gives the request its permit.
    fn grant_own(
        &mut self,
        ctx: &mut Context<'_>,
        ticket: Ticket,
        engine: &EngineId,
        permit: PermitId,
        reserved: bool,
        reason: &str,
    ) {
        let Some(waiting) = self.forget(ticket) else {
            self.release_at_home(ctx, engine, permit, false);
            return;
        };
        waiting.prompts.dispatched(&mut self.tree, engine);
        let candidates = json!(waiting.scored);
        let request = &waiting.ask.request;
        ctx.decisions.record(
            ctx.now,
            request,
            "route",
            engine.as_str(),
            reason,
            candidates,
        );
        let Some(granted) = self.permit(&waiting.ask, engine, permit) else {
            self.release_at_home(ctx, engine, permit, false);
            let refusal = Refusal {
                code: "no_engine",
                retry_after: NO_ENGINE_RETRY,
            };
            let _ = waiting.reply.send(Admission::Refused(refusal));
            return;
        };
        let held = Held {
            ticket,
            incarnation: granted.incarnation,
            reserved,
        };
        if permit != PermitId(0) {
            self.held.insert((engine.clone(), permit), held);
        }
        // The drop of an undelivered permit releases it.
        let _ = waiting.reply.send(Admission::Granted(granted));
    }

    fn permit(&mut self, ask: &RouteAsk, name: &EngineId, permit: PermitId) -> Option<Permit> {
        let engine = self.engines.get_mut(name)?;
        let status = engine.status.as_ref()?;
        engine.inflight += 1;
        Some(Permit {
            engine: name.clone(),
            address: engine.address,
            incarnation: status.incarnation,
            weights: status.weights.clone(),
            seed: PrefixSeed::new(&ask.workspace, &ask.model, &status.weights, None),
            permit,
            events: self.events.clone(),
            failed: false,
        })
    }

    fn refuse(
        &mut self,
        ctx: &mut Context<'_>,
        ticket: Ticket,
        code: &'static str,
        retry_after: Millis,
    ) {
        let Some(waiting) = self.forget(ticket) else {
            return;
        };
        let candidates = json!(waiting.scored);
        ctx.decisions.record(
            ctx.now,
            &waiting.ask.request,
            "refuse",
            "",
            code,
            candidates,
        );
        let _ = waiting
            .reply
            .send(Admission::Refused(Refusal { code, retry_after }));
    }

    fn forget(&mut self, ticket: Ticket) -> Option<Waiting> {
        let waiting = self.waiting.remove(&ticket)?;
        self.tickets.remove(&waiting.ask.request);
        Some(waiting)
    }

    /// Places a request by one of the policies that serve for comparison.
    fn admit_baseline(&mut self, ctx: &mut Context<'_>, ask: &RouteAsk, reply: Reply) {
        let fleet = self.engines.fleet(&ask.model, ctx.now);
        let names: Vec<EngineId> = (0..fleet.len())
            .filter_map(|position| fleet.get(position))
            .map(|engine| engine.engine.clone())
            .filter(|engine| !ask.avoid.contains(engine))
            .collect();
        let chosen = self.choose_baseline(ask, &names);
        let granted = chosen.and_then(|engine| self.permit(ask, &engine, PermitId(0)));
        let Some(permit) = granted else {
            let refusal = Refusal {
                code: "no_engine",
                retry_after: NO_ENGINE_RETRY,
            };
            let _ = reply.send(Admission::Refused(refusal));
            return;
        };
        let chosen = permit.engine.as_str();
        ctx.decisions.record(
            ctx.now,
            &ask.request,
            "route",
            chosen,
            "policy for comparison",
            json!(names),
        );
        let _ = reply.send(Admission::Granted(permit));
    }

    fn choose_baseline(&mut self, ask: &RouteAsk, names: &[EngineId]) -> Option<EngineId> {
        if names.is_empty() {
            return None;
        }
        match self.routing.policy {
            Policy::RoundRobin => {
                self.turn += 1;
                names.get(self.turn % names.len()).cloned()
            }
            Policy::LeastLoaded => names
                .iter()
                .min_by_key(|name| self.engines.get(name).map_or(0, |engine| engine.inflight))
                .cloned(),
            Policy::PrefixHash | Policy::Flamingolock => {
                let seed =
                    PrefixSeed::new(&ask.workspace, &ask.model, &WeightsVersion::default(), None);
                let chain = PrefixChain::new(seed, &ask.prompt);
                // The first level that differs between requests of one workspace.
                let place = (chain.blocks.len() / 2).checked_sub(1)?;
                let key = chain.blocks[place].0;
                let best = rendezvous::top(key, names.iter().map(EngineId::as_str), 1);
                best.first().map(|name| EngineId::from(*name))
            }
        }
    }
}

fn to_entry(engine: EngineId, output: Output) -> Option<ToEntry> {
    Some(match output {
        Output::Probe {
            request, answer, ..
        } => ToEntry::Probe {
            ticket: Ticket::of_request(&request)?,
            engine,
            answer,
        },
        Output::Grant(Grant {
            request,
            permit,
            incarnation,
            ..
        }) => ToEntry::Grant {
            ticket: Ticket::of_request(&request)?,
            engine,
            permit,
            incarnation,
        },
        Output::Refuse(refusal) => ToEntry::Refuse {
            ticket: Ticket::of_request(&refusal.request)?,
            engine,
            reason: refusal.reason,
            retry_after: refusal.retry_after,
        },
    })
}

/// Price of computing a prompt once more where its prefix is not cached: small for
/// prefixes that are hot enough to use another copy.
fn copy_price(heat: &[HeatLevel]) -> f64 {
    let shared = heat.iter().rev().find(|level| level.replicas > 0);
    let load = shared.map_or(0.0, |level| level.load);
    EVICTION_PRICE / (1.0 + load / SHARED_LOAD)
}

/// Engine time that the prefill of the prompt usually takes.
fn prefill_ms(ask: &RouteAsk) -> f64 {
    let tokens = ask.prompt.len() as f64 / flamingolock_core::prefix::BYTES_PER_TOKEN as f64;
    COMPUTED_PART * tokens * 1000.0 / flamingolock_core::prefill_rate::DEFAULT_RATE
}
