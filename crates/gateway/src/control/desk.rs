//! All control state and its reactions to events.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use arc_swap::ArcSwap;
use bytes::Bytes;
use flamingolock_wire::gossip::{Fault, Gossip, NodeState, Reload, Run};
use prost::Message;
use rand::Rng;
use tokio::sync::oneshot;

use crate::catalog::{Catalog, ServiceKind};
use crate::clock::Millis;
use crate::control::budget::Budget;
use crate::control::fleet::{EndpointState, Estimate, Moment};
use crate::control::lease::{Lease, LeaseStep};
use crate::control::parts::{Parts, Source, key, salt, scope, scope_of};
use crate::control::peers::Peers;
use crate::control::rollout::{Rollout, Task};
use crate::control::{Ask, Effect, Event, Grant, Placement, Refusal, RunEnd, View};
use crate::dialect::{Dialect, HeldPart, KeyedRecord, OperatorRecord};
use crate::endpoint::{Endpoint, EndpointKey};
use crate::settings::Settings;

/// Longest pause between two datagrams, in ms.
const BEACON_MS: Millis = 250;

/// Time for which news is gathered into one datagram, in ms.
const GATHER_MS: Millis = 4;

/// Time beyond that for which a hub gathers what others said, in ms.
const HUB_GATHER_MS: Millis = 8;

/// Runs in one datagram, so that it stays below the usual packet size.
const DATAGRAM_RUNS: usize = 24;

/// Longest sleep of the control thread, in ms.
const TICK_MS: Millis = 50;

/// Pause between looks at waiting requests, in ms.
const WAITING_TICK_MS: Millis = 8;

/// Time after the store's return within which entries that lapsed meanwhile are
/// put back by endpoints that live, in ms.
const RETURN_MS: Millis = 2_300;

/// Share of an endpoint's connections that all nodes together use.
const CONNS_SHARE: f64 = 0.8;

/// Nodes counted beyond those that are known, for nodes that start.
const SPARE_NODES: usize = 2;

/// Margin before the bound at which replaced weights are no longer used, in ms.
const WEIGHTS_MARGIN_MS: Millis = 700;

/// Spread of the random number that breaks ties, in ms.
const TIE_MS: f64 = 0.8;

/// Time after its start within which a node asks what is cached, in ms.
const LEARN_CACHE_MS: Millis = 3_000;

/// Engines that a node asks at its start. In larger fleets the store's own list
/// has to do.
const LEARN_CACHE_ENGINES: usize = 24;

/// Own tokens of a prompt, for each shared token that the store lacks, up to which
/// the prompt is worth keeping there.
const KEEP_OWN_RATIO: f64 = 1.0;

/// Tokens of an answer from which on pauses in it are noticed.
const LONG_ANSWER_TOKENS: u32 = 16;

/// Advantage of the engine that all nodes prefer for parts nobody holds, in ms.
const FIRST_READER_MS: f64 = 30.0;

/// News of other zones that a hub passes on to its own.
#[derive(Default)]
struct Foreign {
    runs: Vec<Run>,
    reloads: Vec<Reload>,
    faults: Vec<Fault>,
    heard: Vec<NodeState>,
}

struct Waiting {
    ask: Box<Ask>,
    reply: oneshot::Sender<Placement>,
    until: Millis,
}

/// State of the control thread.
pub struct Control {
    settings: Settings,
    dialect: Dialect,
    incarnation: u64,
    view: Arc<ArcSwap<View>>,
    catalog: Option<Arc<Catalog>>,
    fleet: BTreeMap<EndpointKey, EndpointState>,
    parts: Parts,
    peers: Peers,
    budget: Budget,
    rollout: Rollout,
    lease: Lease,
    waiting: VecDeque<Waiting>,
    next_run: u64,
    runs: Vec<Run>,
    faults: Vec<Fault>,
    relayed_reloads: Vec<Reload>,
    foreign: Foreign,
    is_hub: bool,
    heard_at: Millis,
    greet: Vec<SocketAddr>,
    news_at: Option<Millis>,
    sent_at: Millis,
    store_away: bool,
    store_back_at: Millis,
    started: Option<Millis>,
    left_at: Option<Millis>,
    /// What is to be done outside; taken by the caller after each tick.
    pub effects: Vec<Effect>,
}

impl Control {
    /// The state of a node that knows nothing yet.
    pub fn new(
        settings: Settings,
        dialect: Dialect,
        incarnation: u64,
        view: Arc<ArcSwap<View>>,
    ) -> Self {
        Self {
            budget: Budget::new(
                settings.retry_ratio,
                settings.retry_window,
                settings.retry_slack,
            ),
            lease: Lease::new(&settings.node, settings.lease),
            settings,
            dialect,
            incarnation,
            view,
            catalog: None,
            fleet: BTreeMap::new(),
            parts: Parts::default(),
            peers: Peers::default(),
            rollout: Rollout::default(),
            waiting: VecDeque::new(),
            next_run: 0,
            runs: Vec::new(),
            faults: Vec::new(),
            relayed_reloads: Vec::new(),
            foreign: Foreign::default(),
            is_hub: false,
            heard_at: 0,
            greet: Vec::new(),
            news_at: None,
            sent_at: 0,
            store_away: false,
            store_back_at: 0,
            started: None,
            left_at: None,
            effects: Vec::new(),
        }
    }

    /// Takes one event.
    pub fn handle(&mut self, event: Event, now: Millis) {
        match event {
            Event::Ask(ask, reply) => self.asked(ask, reply, now),
            Event::FirstToken {
                endpoint,
                number,
                weights,
                model,
            } => {
                self.first_token(endpoint, number, now);
                if let (Some(state), Some(version), Some(model)) =
                    (self.fleet.get_mut(&endpoint), weights, model)
                {
                    if state.learn_weights(&model, version) {
                        self.parts.forget(endpoint);
                    }
                }
            }
            Event::Ended {
                endpoint,
                number,
                end,
                model,
            } => self.ended(endpoint, number, &end, model.as_deref(), now),
            Event::OperatorSnapshot(records) | Event::Operator(records) => {
                for record in &records {
                    self.operator(record, now);
                }
            }
            Event::EndpointSnapshot(records) => self.endpoint_snapshot(&records, now),
            Event::Endpoints(records) => {
                for record in &records {
                    self.endpoint(record, now);
                }
            }
            Event::Registry(addresses) => {
                for address in addresses {
                    if address != self.settings.gossip {
                        self.peers.registered(address);
                    }
                }
                self.news_at.get_or_insert(now);
            }
            Event::StoreFailed => {
                if !self.store_away {
                    self.store_away = true;
                    log::warn!("store does not answer");
                }
            }
            Event::StoreAnswered => {
                if self.store_away {
                    self.store_away = false;
                    self.store_back_at = now;
                    log::info!("store answers again");
                }
            }
            Event::Datagram(from, bytes) => self.datagram(from, bytes, now),
            Event::LeaseRead(end, last) => self.lease.read(end, last.as_deref(), now),
            Event::LeaseTrimmed(first) => self.lease.trimmed(first),
            Event::LeaseAppended(offset) => {
                self.lease.appended(offset);
                log::info!(fencing = offset; "lease for orders renewed");
            }
            Event::LeaseFailed => self.lease.failed(now),
            Event::Ordered(order, outcome) => {
                log::info!(engine = &*order.engine.id, model = order.model.as_str(), version = order.version,
                    fencing = order.fencing, accepted = order.accepted, outcome:? = outcome; "order to load weights");
                if self.rollout.ordered(&mut self.fleet, &order, outcome, now) {
                    self.parts.forget(order.engine.key());
                }
                self.news_at.get_or_insert(now);
            }
            Event::Reported(key, report) => {
                log::info!(engine = key, report:? = report; "report of engine");
                self.rollout
                    .reported(&mut self.fleet, key, report.as_ref(), now);
            }
            Event::CacheListed { endpoint, held } => self.cache_listed(endpoint, &held, now),
            Event::Leaving => {
                self.left_at = Some(now);
                self.lease.give_up();
                self.news_at = Some(now);
                self.publish(now);
            }
            Event::Stop => {}
        }
    }

    /// Does what is due. Returns when to be called again at the latest.
    pub fn tick(&mut self, now: Millis) -> Millis {
        self.settle_lapsed(now);
        self.serve_waiting(now);
        self.roll_out(now);
        if self.news_at.is_some_and(|at| now >= at + GATHER_MS) || now >= self.sent_at + BEACON_MS {
            self.send_gossip(now);
            self.publish(now);
        }
        let mut wake = now + TICK_MS;
        if let Some(at) = self.news_at {
            wake = wake.min(at + GATHER_MS);
        }
        if !self.waiting.is_empty() {
            wake = wake.min(now + WAITING_TICK_MS);
        }
        wake.max(now + 1)
    }

    fn operator(&mut self, record: &KeyedRecord, now: Millis) {
        let Some(value) = &record.value else { return };
        match (self.dialect.operator_record)(&record.key, value) {
            Ok(OperatorRecord::Catalog(catalog)) => self.new_catalog(catalog, record.offset, now),
            Ok(OperatorRecord::Weights { model, version }) => {
                if self.rollout.name(&model, version, now) {
                    log::info!(model = model.as_str(), version, offset = record.offset; "new weights named");
                }
            }
            Ok(OperatorRecord::Other) => {}
            Err(error) => {
                log::warn!(key = record.key.as_str(), offset = record.offset, error:% = error;
                    "operator's record ignored, the last good one stays in force");
            }
        }
    }

    /// A configuration never gives way to an older one.
    fn new_catalog(&mut self, catalog: Catalog, offset: u64, now: Millis) {
        let current = self.catalog.as_ref().map_or(0, |catalog| catalog.version);
        if self.catalog.is_some() && catalog.version <= current {
            return;
        }
        log::info!(version = catalog.version, before = current, offset, routes = catalog.routes.len();
            "configuration in force");
        let keep = catalog.keep();
        let first = self.catalog.is_none();
        self.catalog = Some(Arc::new(catalog));
        if let Some(keep) = keep.filter(|_| first) {
            self.ask_for_cache(keep, None, now);
        }
        self.publish(now);
    }

    fn endpoint_snapshot(&mut self, records: &[KeyedRecord], now: Millis) {
        let listed: Vec<EndpointKey> = records
            .iter()
            .filter_map(|record| (self.dialect.endpoint_id)(&record.key).map(Endpoint::key_of))
            .collect();
        let missing: Vec<EndpointKey> = self
            .fleet
            .keys()
            .filter(|key| !listed.contains(key))
            .copied()
            .collect();
        for key in missing {
            self.endpoint_gone(key, now);
        }
        for record in records {
            self.endpoint(record, now);
        }
    }

    fn endpoint(&mut self, record: &KeyedRecord, now: Millis) {
        let Some(id) = (self.dialect.endpoint_id)(&record.key) else {
            return;
        };
        let key = Endpoint::key_of(id);
        let Some(value) = &record.value else {
            self.endpoint_gone(key, now);
            return;
        };
        let entry = match (self.dialect.endpoint_entry)(&record.key, value) {
            Ok(entry) => entry,
            Err(error) => {
                log::warn!(endpoint = id, offset = record.offset, error:% = error; "entry names no endpoint");
                self.drop_endpoint(key, "unreadable entry");
                return;
            }
        };
        match self.fleet.get_mut(&key) {
            Some(state) if entry.born < state.endpoint.born => {}
            Some(state) if entry.born == state.endpoint.born => {
                if entry.leaving && !state.endpoint.leaving {
                    log::info!(endpoint = id, offset = record.offset; "endpoint is leaving");
                }
                state.update(entry);
            }
            _ => {
                log::info!(endpoint = id, born = entry.born, address:% = entry.address, offset = record.offset;
                    "endpoint listed");
                self.parts.forget(key);
                if !entry.weights.is_empty() && self.fleet.len() < LEARN_CACHE_ENGINES {
                    self.ask_for_cache(entry.address, Some(key), now);
                }
                self.fleet.insert(key, EndpointState::new(entry));
                self.rollout.moved(now);
            }
        }
    }

    /// Takes what an engine, or the store if `endpoint` is none, says it holds.
    fn cache_listed(&mut self, endpoint: Option<EndpointKey>, held: &[HeldPart], now: Millis) {
        let keys: Vec<_> = held
            .iter()
            .filter_map(|part| Some(key(scope_of(&part.salt)?, part.id)))
            .collect();
        log::info!(endpoint = endpoint.unwrap_or(0), parts = keys.len(); "cached parts learnt");
        match endpoint {
            Some(endpoint) => self.parts.read(endpoint, &keys, false, now),
            None => keys
                .iter()
                .for_each(|key| self.parts.listed_in_store(*key, now)),
        }
    }

    /// A node that just started asks what is cached; one that has run for a
    /// while knows it from the other nodes.
    fn ask_for_cache(&mut self, address: SocketAddr, endpoint: Option<EndpointKey>, now: Millis) {
        let started = *self.started.get_or_insert(now);
        if now < started + LEARN_CACHE_MS {
            self.effects.push(Effect::ReadCache(address, endpoint));
        }
    }

    /// An entry that lapsed while the store was away may come back at once.
    fn endpoint_gone(&mut self, key: EndpointKey, now: Millis) {
        let settled_at = self.store_back_at + RETURN_MS;
        if self.store_back_at > 0 && now < settled_at {
            if let Some(state) = self.fleet.get_mut(&key) {
                state.lapses_at.get_or_insert(settled_at);
            }
            return;
        }
        self.drop_endpoint(key, "entry removed");
    }

    fn drop_endpoint(&mut self, key: EndpointKey, reason: &str) {
        if let Some(state) = self.fleet.remove(&key) {
            log::info!(endpoint = &*state.endpoint.id, reason; "endpoint dropped");
            self.parts.forget(key);
            self.rollout.retain(&self.fleet);
        }
    }

    fn settle_lapsed(&mut self, now: Millis) {
        let lapsed: Vec<EndpointKey> = self
            .fleet
            .iter()
            .filter(|(_, state)| state.lapses_at.is_some_and(|at| now >= at))
            .map(|(key, _)| *key)
            .collect();
        for key in lapsed {
            self.drop_endpoint(key, "entry did not come back with the store");
        }
    }

    fn asked(&mut self, ask: Box<Ask>, reply: oneshot::Sender<Placement>, now: Millis) {
        if ask.tried.is_empty() {
            self.budget.earn(&ask.service, now);
        } else if !self.budget.spend(&ask.service, self.nodes(now), now) {
            log::info!(request = &*ask.request, service = &*ask.service; "second try refused by the budget");
            let _ = reply.send(Err(Refusal::Budget));
            return;
        }
        let until = now + ask.hold.as_millis() as Millis;
        let waiting = Waiting { ask, reply, until };
        if let Some(waiting) = self.try_place(waiting, now) {
            self.waiting.push_back(waiting);
        }
    }

    fn serve_waiting(&mut self, now: Millis) {
        for _ in 0..self.waiting.len() {
            let Some(waiting) = self.waiting.pop_front() else {
                return;
            };
            if waiting.reply.is_closed() {
                continue;
            }
            if let Some(waiting) = self.try_place(waiting, now) {
                self.waiting.push_back(waiting);
            }
        }
    }

    /// Places a request or refuses it; gives it back when it has to wait.
    fn try_place(&mut self, waiting: Waiting, now: Millis) -> Option<Waiting> {
        match self.choose(&waiting.ask, now) {
            Ok((key, estimate)) => {
                let grant = self.grant(&waiting.ask, key, &estimate, now);
                let number = grant.number;
                if waiting.reply.send(Ok(grant)).is_err() {
                    self.ended(key, number, &RunEnd::Left, None, now);
                }
                None
            }
            Err(_) if now < waiting.until => Some(waiting),
            Err(refusal) => {
                log::info!(request = &*waiting.ask.request, service = &*waiting.ask.service, refusal:? = refusal;
                    "request gets no endpoint");
                let _ = waiting.reply.send(Err(refusal));
                None
            }
        }
    }

    /// The endpoint with the least expected delay.
    fn choose(&self, ask: &Ask, now: Millis) -> Result<(EndpointKey, Estimate), Refusal> {
        let service = self
            .catalog
            .as_ref()
            .and_then(|catalog| catalog.services.get(&ask.service));
        let kind = service.map_or(ServiceKind::Plain, |service| service.kind);
        let newest = ask
            .model
            .as_deref()
            .and_then(|model| self.rollout.newest(model));
        let moment = Moment {
            now,
            zone: &self.settings.zone,
            newest: newest.map(|named| (named.version, named.learnt)),
            weights_limit: (self.settings.weights_bound.as_millis() as Millis)
                .saturating_sub(WEIGHTS_MARGIN_MS),
        };
        let alive = |key: EndpointKey| {
            self.fleet
                .get(&key)
                .is_some_and(|state| !state.endpoint.leaving && now >= state.avoid_until)
        };
        let preferred = self.first_reader(ask, now);
        let mut rng = rand::rng();
        let mut best: Option<(EndpointKey, Estimate)> = None;
        let mut any = false;
        for (key, state) in &self.fleet {
            let endpoint = &state.endpoint;
            if endpoint.service != ask.service || endpoint.leaving || ask.tried.contains(key) {
                continue;
            }
            any = true;
            let estimate = match &kind {
                ServiceKind::Engines(traits) => {
                    state.engine(ask, traits, &self.parts, alive, &moment)
                }
                _ => Some(state.plain(&moment)),
            };
            let Some(mut estimate) = estimate else {
                continue;
            };
            estimate.score += rng.random_range(0.0..TIE_MS);
            if preferred == Some(*key) {
                estimate.score -= FIRST_READER_MS;
            }
            if best
                .as_ref()
                .is_none_or(|(_, other)| estimate.score < other.score)
            {
                best = Some((*key, estimate));
            }
        }
        best.ok_or(if any {
            Refusal::AllReloading
        } else {
            Refusal::NoEndpoint
        })
    }

    /// The engine that all nodes prefer for a prompt, so that two nodes which
    /// place a new part at the same moment have it read only once.
    fn first_reader(&self, ask: &Ask, now: Millis) -> Option<EndpointKey> {
        let shared = ask.parts.len().checked_sub(2)?;
        let id = ask.parts[shared].id;
        self.fleet
            .iter()
            .filter(|(_, state)| {
                state.endpoint.service == ask.service
                    && !state.endpoint.leaving
                    && now >= state.loading_until
                    && now >= state.reserved_until
            })
            .max_by_key(|(_, state)| flamingolock_core::rendezvous::weight(id, &state.endpoint.id))
            .map(|(key, _)| *key)
    }

    fn grant(&mut self, ask: &Ask, key: EndpointKey, estimate: &Estimate, now: Millis) -> Grant {
        let number = self.next_run;
        self.next_run += 1;
        let nodes = self.nodes(now) + SPARE_NODES;
        let catalog = self.catalog.clone();
        let service = catalog
            .as_ref()
            .and_then(|catalog| catalog.services.get(&ask.service));
        let conns = service.map_or(8.0, |service| f64::from(service.max_conns) * CONNS_SHARE)
            / nodes as f64;
        let store = catalog.as_ref().and_then(|catalog| catalog.keep());
        let shared = &estimate.parts;
        let shared_tokens: u32 = shared.iter().map(|(_, tokens)| tokens).sum();
        let missing: u32 = shared
            .iter()
            .filter(|(part, _)| !self.parts.stored(*part, now))
            .map(|(_, tokens)| tokens)
            .sum();
        // The request's own part goes to the store as well and pushes others out.
        let own = ask.prompt_tokens.saturating_sub(shared_tokens);
        let keep =
            store.filter(|_| missing > 0 && f64::from(own) <= f64::from(missing) * KEEP_OWN_RATIO);
        let alive = |key: EndpointKey| {
            self.fleet
                .get(&key)
                .is_some_and(|state| now >= state.avoid_until && now >= state.loading_until)
        };
        let fetch = match self.parts.source(shared, key, alive, now) {
            Some(Source::Engine(source)) => {
                self.fleet.get(&source).map(|state| state.endpoint.address)
            }
            // A node that just started knows of no holder; a miss costs little.
            Some(Source::Store) | None => store.filter(|_| !shared.is_empty()),
        };
        let run = Run {
            number,
            endpoint: key,
            step: 0,
            read_us: (estimate.read_ms * 1000.0) as u32,
            tokens: ask.prompt_tokens + ask.output_tokens,
            parts: shared.iter().map(|(part, _)| *part).collect(),
            kept: keep.is_some(),
            node: 0,
            long: ask.output_tokens >= LONG_ANSWER_TOKENS,
        };
        let endpoint = self.fleet[&key].endpoint.clone();
        log::info!(request = &*ask.request, endpoint = &*endpoint.id, run = number, score = estimate.score as i64,
            read_ms = estimate.read_ms as i64, weights = estimate.version.unwrap_or(0), tries = ask.tried.len(),
            unread = estimate.unread, reread = estimate.reread,
            fetch = fetch.is_some(); "request placed");
        let name = (self.incarnation, number);
        if let Some(state) = self.fleet.get_mut(&key) {
            state.sent(name, &run, now);
        }
        self.parts.sent(key, &run.parts, now);
        self.tell(run, now);
        let salt = estimate
            .version
            .zip(ask.model.as_deref())
            .map(|(version, model)| salt(version, scope(model, version, ask.wall.as_deref())));
        Grant {
            number,
            endpoint,
            weights: estimate.version,
            salt,
            fetch,
            keep,
            conns: (conns as usize).max(1),
        }
    }

    fn first_token(&mut self, endpoint: EndpointKey, number: u64, now: Millis) {
        let Some(state) = self.fleet.get_mut(&endpoint) else {
            return;
        };
        if let Some((parts, kept)) = state.first_token((self.incarnation, number), now) {
            self.parts.read(endpoint, &parts, kept, now);
            self.tell(
                Run {
                    number,
                    endpoint,
                    step: 1,
                    ..Run::default()
                },
                now,
            );
        }
    }

    fn ended(
        &mut self,
        endpoint: EndpointKey,
        number: u64,
        end: &RunEnd,
        model: Option<&str>,
        now: Millis,
    ) {
        if let Some(state) = self.fleet.get_mut(&endpoint) {
            let unread = state.ended((self.incarnation, number));
            if let (RunEnd::WrongWeights(Some(version)), Some(model)) = (end, model) {
                state.weights.insert(model.to_owned(), *version);
            }
            if let Some(avoid_ms) = state.learn(end, now) {
                log::warn!(endpoint = &*state.endpoint.id, cause:? = end, avoid_ms; "endpoint avoided");
                self.faults.push(Fault {
                    endpoint,
                    avoid_ms: avoid_ms as u32,
                });
            }
            self.parts.failed(endpoint, &unread);
        }
        let step = if *end == RunEnd::Complete { 2 } else { 3 };
        self.tell(
            Run {
                number,
                endpoint,
                step,
                ..Run::default()
            },
            now,
        );
    }

    fn tell(&mut self, run: Run, now: Millis) {
        self.runs.push(run);
        self.news_at.get_or_insert(now);
    }

    fn nodes(&self, now: Millis) -> usize {
        self.peers.sharing(now)
    }

    fn state(&self) -> NodeState {
        NodeState {
            incarnation: self.incarnation,
            callers: self.settings.callers.to_string(),
            zone: self.settings.zone.clone(),
            leaving: self.left_at.is_some(),
            ready: self.catalog.is_some(),
            lease_end: self.lease.own_end(),
            name: self.settings.node.clone(),
            gossip: self.settings.gossip.to_string(),
            capacity: self.settings.capacity,
        }
    }

    fn send_gossip(&mut self, now: Millis) {
        self.news_at = None;
        self.sent_at = now;
        let me = self.state();
        let mut targets = self.peers.targets(&me, now);
        self.is_hub = targets.hub;
        targets.own.append(&mut self.greet);
        let mut reloads = self.reloads(now);
        reloads.append(&mut self.relayed_reloads);
        let tells_heard = targets.hub && now >= self.heard_at + BEACON_MS;
        if tells_heard {
            self.heard_at = now;
        }
        let own = Gossip {
            sender: Some(me.clone()),
            runs: std::mem::take(&mut self.runs),
            reloads,
            faults: std::mem::take(&mut self.faults),
            relayed: targets.hub,
            heard: if tells_heard {
                self.peers.heard_in(&me.zone, now)
            } else {
                Vec::new()
            },
        };
        let foreign = std::mem::take(&mut self.foreign);
        self.send(own, &targets.own);
        let silent =
            foreign.runs.is_empty() && foreign.reloads.is_empty() && foreign.heard.is_empty();
        if !silent || !foreign.faults.is_empty() {
            let gossip = Gossip {
                sender: Some(me),
                runs: foreign.runs,
                reloads: foreign.reloads,
                faults: foreign.faults,
                relayed: true,
                heard: foreign.heard,
            };
            self.send(gossip, &targets.foreign);
        }
    }

    /// Sends a message in as many datagrams as its runs need.
    fn send(&mut self, mut gossip: Gossip, addresses: &[SocketAddr]) {
        if addresses.is_empty() {
            return;
        }
        let mut runs = std::mem::take(&mut gossip.runs);
        loop {
            let rest = runs.split_off(runs.len().min(DATAGRAM_RUNS));
            gossip.runs = runs;
            let bytes = Bytes::from(gossip.encode_to_vec());
            self.effects
                .push(Effect::Datagram(addresses.to_vec(), bytes));
            if rest.is_empty() {
                return;
            }
            gossip.reloads.clear();
            gossip.faults.clear();
            gossip.heard.clear();
            runs = rest;
        }
    }

    /// Reloads that this node, as holder of the lease, drives.
    fn reloads(&self, now: Millis) -> Vec<Reload> {
        if !self.lease.held_by_me() {
            return Vec::new();
        }
        let mut reloads = Vec::new();
        for (key, state) in &self.fleet {
            if now >= state.loading_until && now >= state.reserved_until {
                continue;
            }
            for (model, version) in &state.weights {
                reloads.push(Reload {
                    endpoint: *key,
                    model: model.clone(),
                    version: *version,
                    left_ms: state.loading_until.saturating_sub(now) as u32,
                });
            }
        }
        reloads
    }

    fn datagram(&mut self, from: SocketAddr, bytes: Bytes, now: Millis) {
        let gossip = match Gossip::decode(bytes) {
            Ok(gossip) => gossip,
            Err(error) => {
                log::warn!(from:% = from, error:% = error; "datagram cannot be read");
                return;
            }
        };
        let Some(sender) = &gossip.sender else {
            return;
        };
        if sender.incarnation == self.incarnation {
            return;
        }
        if !self.peers.knows(from, now) {
            // It may not know this node yet either.
            self.greet.push(from);
            self.news_at.get_or_insert(now);
        }
        self.heard(from, sender, false, now);
        for state in &gossip.heard {
            if let Ok(address) = state.gossip.parse()
                && state.incarnation != self.incarnation
            {
                self.heard(address, state, true, now);
            }
        }
        let (node, zone) = (sender.incarnation, sender.zone.clone());
        for run in &gossip.runs {
            let node = if run.node == 0 { node } else { run.node };
            if node != self.incarnation {
                self.peer_run(node, run, now);
            }
        }
        for reload in &gossip.reloads {
            self.reload(reload, now);
        }
        for fault in &gossip.faults {
            if let Some(state) = self.fleet.get_mut(&fault.endpoint) {
                state.avoid_until = state.avoid_until.max(now + Millis::from(fault.avoid_ms));
            }
        }
        if self.is_hub {
            self.pass_on(gossip, node, &zone, now);
        }
    }

    fn heard(&mut self, from: SocketAddr, state: &NodeState, behind_hub: bool, now: Millis) {
        if let Some(old) = self.peers.heard(from, state, behind_hub, now) {
            for endpoint in self.fleet.values_mut() {
                endpoint.drop_node(old);
            }
        }
        self.lease.heard(&state.name, state.lease_end, now);
    }

    fn reload(&mut self, reload: &Reload, now: Millis) {
        self.rollout.moved(now);
        let Some(state) = self.fleet.get_mut(&reload.endpoint) else {
            return;
        };
        if reload.left_ms == 0 {
            state.reserved_until = now + BEACON_MS;
            return;
        }
        state.loading_until = state.loading_until.max(now + Millis::from(reload.left_ms));
        if state.learn_weights(&reload.model, reload.version) {
            self.parts.forget(reload.endpoint);
        }
    }

    /// Passes on, as hub, what a node of this zone or the hub of another one
    /// said. What was passed on within the zone goes no further.
    fn pass_on(&mut self, gossip: Gossip, node: u64, zone: &str, now: Millis) {
        let mut runs = gossip.runs;
        for run in &mut runs {
            if run.node == 0 {
                run.node = node;
            }
        }
        if zone == self.settings.zone {
            if gossip.relayed {
                return;
            }
            self.runs.append(&mut runs);
            self.faults.extend(gossip.faults);
            self.relayed_reloads.extend(gossip.reloads);
        } else if gossip.relayed {
            self.foreign.runs.append(&mut runs);
            self.foreign.faults.extend(gossip.faults);
            self.foreign.reloads.extend(gossip.reloads);
            self.foreign.heard.extend(gossip.sender);
            self.foreign.heard.extend(gossip.heard);
        }
        self.news_at.get_or_insert(now + HUB_GATHER_MS);
    }

    fn peer_run(&mut self, node: u64, run: &Run, now: Millis) {
        let Some(state) = self.fleet.get_mut(&run.endpoint) else {
            return;
        };
        let name = (node, run.number);
        match run.step {
            0 => {
                state.sent(name, run, now);
                self.parts.sent(run.endpoint, &run.parts, now);
            }
            1 => {
                if let Some((parts, kept)) = state.first_token(name, now) {
                    self.parts.read(run.endpoint, &parts, kept, now);
                }
            }
            _ => {
                let unread = state.ended(name);
                self.parts.failed(run.endpoint, &unread);
            }
        }
    }

    fn roll_out(&mut self, now: Millis) {
        if self.left_at.is_some() || self.catalog.is_none() {
            return;
        }
        let pending = self.rollout.pending(&self.fleet);
        let rank = self.rank(now);
        let holder_alive = self.lease.held_by_other()
            && self
                .lease
                .holder()
                .is_some_and(|name| self.peers.is_named_alive(name, now));
        let turn = self
            .rollout
            .my_turn(rank, self.lease.held_by_me(), holder_alive, now);
        let step = self.lease.step(pending && turn, now);
        match step {
            LeaseStep::Read(from) => self.effects.push(Effect::LeaseRead(from)),
            LeaseStep::Append(at) => self.effects.push(Effect::LeaseAppend(at)),
            LeaseStep::Hold { .. } | LeaseStep::Wait => {}
        }
        let mut tasks = self.rollout.due_reports(&self.fleet, now);
        tasks.extend(
            self.rollout
                .plan(&mut self.fleet, step, &self.settings.node, now),
        );
        for task in tasks {
            self.news_at.get_or_insert(now);
            match task {
                Task::Order(order) => self.effects.push(Effect::Order(order)),
                Task::Report(key) => {
                    if let Some(state) = self.fleet.get(&key) {
                        self.effects.push(Effect::Report(state.endpoint.clone()));
                    }
                }
            }
        }
    }

    /// Place of this node among those that may give orders.
    fn rank(&self, now: Millis) -> usize {
        self.peers
            .alive(now)
            .filter(|peer| {
                peer.state.ready && !peer.state.leaving && peer.state.incarnation < self.incarnation
            })
            .count()
    }

    fn publish(&self, now: Millis) {
        let mut nodes: Vec<(SocketAddr, String)> = self
            .peers
            .alive(now)
            .filter(|peer| peer.state.ready && !peer.state.leaving)
            .map(|peer| (peer.callers, peer.state.zone.clone()))
            .collect();
        if self.left_at.is_none() && self.catalog.is_some() {
            nodes.push((self.settings.callers, self.settings.zone.clone()));
        }
        nodes.sort();
        self.view.store(Arc::new(View {
            catalog: self.catalog.clone(),
            nodes,
            left_at: self.left_at,
        }));
    }
}
