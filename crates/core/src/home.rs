//! Home of one engine: decides which request may run on it, and when.
//!
//! The home grants a permit when the engine has a free slot and is about to run out
//! of prompts to compute, so requests wait here in fair order and not in the engine
//! in order of arrival.
//!
//! Every request for a permit ends in exactly one grant, refusal or cancellation.

use std::collections::BTreeMap;

use crate::claims::Claims;
use crate::digest::EngineDigest;
use crate::engine_state::{Availability, EngineState, Estimate};
use crate::fair_queue::{FairQueue, PushOutcome, QueuedRequest};
use crate::home_message::{
    Ask, EngineLoad, Grant, Input, Output, ProbeAnswer, Refusal, RefusalReason,
};
use crate::permit::EntryRef;
use crate::permit_table::belongs_to;
use crate::prefills::SharedPrefill;
use crate::prefix::BLOCK_TOKENS;
use crate::prelude::*;

/// Most requests that wait at one home.
pub const MAX_WAITING: usize = 4096;

/// Shortest time after which a refused request may try again.
const MIN_RETRY_MS: u64 = 100;

/// Settings of a home.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HomeOptions {
    /// Cost of an expected answer token relative to a computed prompt token.
    pub answer_weight: f64,
    /// Whether requests wait for a prefill in progress that they share.
    pub shared_prefill: bool,
    /// How long a new home waits for entry nodes to report their permits.
    pub rebuild_wait: Millis,
}

impl Default for HomeOptions {
    fn default() -> Self {
        Self {
            answer_weight: 0.25,
            shared_prefill: true,
            rebuild_wait: Millis(20),
        }
    }
}

/// The state that a home keeps of its engine and of the requests for it.
#[derive(Clone, Debug)]
pub struct Home {
    engine: EngineId,
    options: HomeOptions,
    state: EngineState,
    queue: FairQueue,
    /// All requests without an answer: those in the queue and those held.
    waiting: BTreeMap<RequestId, Ask>,
    /// Requests whose turn came and that wait for a shared prefill.
    held: BTreeMap<RequestId, SharedPrefill>,
    claims: Claims,
    entries: BTreeMap<InstanceId, Incarnation>,
    rebuild_until: Millis,
}

impl Home {
    /// A new home of an engine in the state that it reported last. `seed` must
    /// differ between all homes there ever are; it makes permits unique.
    pub fn new(
        engine: EngineId,
        load: &EngineLoad,
        options: HomeOptions,
        seed: u64,
        now: Millis,
    ) -> Self {
        Self {
            engine,
            options,
            state: EngineState::new(load, seed, now),
            queue: FairQueue::new(),
            waiting: BTreeMap::new(),
            held: BTreeMap::new(),
            claims: Claims::default(),
            entries: BTreeMap::new(),
            rebuild_until: now + options.rebuild_wait,
        }
    }

    /// The engine.
    pub fn engine(&self) -> &EngineId {
        &self.engine
    }

    /// What is known of the engine itself.
    pub fn state(&self) -> &EngineState {
        &self.state
    }

    /// Requests that wait for a permit.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Takes an input and returns what to send. Any input, also a probe, may bring
    /// grants and refusals for requests that asked before.
    pub fn step(&mut self, input: Input, now: Millis) -> Vec<Output> {
        let mut out = Vec::new();
        self.expire(now, &mut out);
        match input {
            Input::Probe(ask) => out.push(self.probe(&ask, now)),
            Input::Ask(ask) => out.extend(self.ask(ask, now)),
            Input::FirstToken { permit, observed } => {
                self.state.first_token(permit, observed, now);
            }
            Input::Release { permit, observed } => self.state.release(permit, observed, now),
            Input::Cancel { entry, request } => self.cancel(&entry, &request, now),
            Input::Load(load) => self.state.set_load(&load),
            Input::CacheEvents {
                incarnation,
                events,
            } => self.state.cache_events(incarnation, &events),
            Input::EngineSeen(incarnation) => self.state.set_incarnation(incarnation),
            Input::EngineGone => self.state.set_gone(),
            Input::EngineLeaving => self.state.set_leaving(),
            Input::EntryGone(entry) => self.entry_gone(&entry, now),
            Input::Rebuild { entry, permits } => {
                self.note_entry(&entry, now);
                self.state.adopt(&entry, &permits, now);
            }
            Input::Tick => {}
        }
        self.refuse_all(&mut out);
        self.grant_all(now, &mut out);
        out
    }

    /// When [`Input::Tick`] is due next if nothing else happens.
    pub fn next_tick(&self, now: Millis) -> Option<Millis> {
        let dispatch = (!self.queue.is_empty())
            .then(|| self.state.next_dispatch(now).max(self.rebuild_until))
            .filter(|&at| at > now);
        let held = self.held.values().map(|shared| shared.ready).min();
        let times = [
            dispatch,
            held.filter(|_| self.state.free_slots() > 0),
            self.queue.next_deadline(),
            self.state.prefills().next_expiry(),
        ];
        let earliest = times.into_iter().flatten().min()?;
        Some(earliest.max(now + Millis(1)))
    }

    /// Summary for other nodes.
    pub fn digest(&self, now: Millis) -> EngineDigest {
        let newcomer = WorkspaceId::default();
        let nobody = RequestId::default();
        EngineDigest {
            engine: self.engine.clone(),
            incarnation: self.state.incarnation(),
            serving: self.state.availability() == Availability::Serving,
            wait_ms: self.wait_ms(&newcomer, 1.0, 0, &nobody, now) as u32,
            prefill_rate: self.state.rate().per_second() as f32,
            free_slots: self.state.free_slots() as u32,
            made_at: now,
        }
    }

    /// What the request would meet if it asked now.
    pub fn estimate(&self, ask: &Ask, now: Millis) -> Estimate {
        let wait_ms = self.wait_ms(&ask.workspace, ask.weight, ask.priority, &ask.request, now);
        let cached = self.state.cached_blocks(&ask.prompt);
        let own = self.state.plan(&ask.prompt, cached, wait_ms);
        let Some(shared) = self.shared_prefill(ask, cached) else {
            return own;
        };
        let ready_ms = shared.ready.since(now).0 as f64;
        let joint_wait = wait_ms.max(ready_ms);
        let joint = self.state.plan(&ask.prompt, shared.blocks, joint_wait);
        if joint.expected_ms <= own.expected_ms {
            joint
        } else {
            own
        }
    }

    /// Wait of a new request of the workspace before its prefill begins.
    fn wait_ms(
        &self,
        workspace: &WorkspaceId,
        weight: f64,
        priority: u8,
        request: &RequestId,
        now: Millis,
    ) -> f64 {
        let ahead = self.queue.work_ahead(workspace, weight, priority);
        let claimed = self.claims.cost_besides(request);
        let work_ms = self.state.rate().millis_for(ahead.cost + claimed);
        let slot_ms = self
            .state
            .slot_wait_ms(ahead.requests + self.held.len() as f64);
        let rebuild_ms = self.rebuild_until.since(now).0 as f64;
        (self.state.line_ms(now) + work_ms)
            .max(slot_ms)
            .max(rebuild_ms)
    }

    fn shared_prefill(&self, ask: &Ask, cached: u32) -> Option<SharedPrefill> {
        if !self.options.shared_prefill {
            return None;
        }
        self.state.shared_prefill(&ask.prompt, cached)
    }

    fn probe(&mut self, ask: &Ask, now: Millis) -> Output {
        let estimate = self.estimate(ask, now);
        let available = self.state.availability() == Availability::Serving;
        if available {
            let cost = f64::from(estimate.missing_tokens);
            self.claims.add(&ask.request, cost, now);
        }
        Output::Probe {
            entry: ask.entry.clone(),
            request: ask.request.clone(),
            answer: ProbeAnswer {
                available,
                wait_ms: estimate.wait_ms as u32,
                missing_tokens: estimate.missing_tokens,
                expected_ms: estimate.expected_ms as u32,
            },
        }
    }

    /// Queues a request; returns an answer if there is one at once.
    fn ask(&mut self, ask: Ask, now: Millis) -> Option<Output> {
        self.claims.remove(&ask.request);
        if self.is_old(&ask.entry) {
            return Some(refuse(&ask, RefusalReason::OldEntry, Millis(0)));
        }
        self.note_entry(&ask.entry, now);
        if let Some(known) = self.waiting.get(&ask.request) {
            return (known.entry != ask.entry)
                .then(|| refuse(&ask, RefusalReason::Duplicate, Millis(0)));
        }
        if let Some(answer) = self.granted_before(&ask) {
            return Some(answer);
        }
        if let Some(refusal) = self.refusal(&ask, now) {
            return Some(refusal);
        }
        self.enqueue(ask, now);
        None
    }

    /// Answer to a request that has a permit already: its entry node may ask again
    /// when the first answer was lost.
    fn granted_before(&self, ask: &Ask) -> Option<Output> {
        let (permit, record) = self.state.permits().of_request(&ask.request)?;
        if record.entry != ask.entry {
            return Some(refuse(ask, RefusalReason::Duplicate, Millis(0)));
        }
        Some(Output::Grant(Grant {
            entry: ask.entry.clone(),
            request: ask.request.clone(),
            permit,
            incarnation: self.state.incarnation(),
            cached_tokens: record.model_blocks * BLOCK_TOKENS as u32,
        }))
    }

    fn refusal(&self, ask: &Ask, now: Millis) -> Option<Output> {
        if let Some(reason) = self.closed() {
            return Some(refuse(ask, reason, Millis(0)));
        }
        let expected = Millis(self.estimate(ask, now).expected_ms as u64);
        let retry_after = expected.since(ask.within).max(Millis(MIN_RETRY_MS));
        if self.waiting.len() >= MAX_WAITING {
            return Some(refuse(ask, RefusalReason::Full, retry_after));
        }
        // An idle engine always takes the request: the rate may be wrong, and only
        // requests that run can correct it.
        let idle = self.state.permits().is_empty() && self.waiting.is_empty();
        let late = expected > ask.within && !idle;
        late.then(|| refuse(ask, RefusalReason::Deadline, retry_after))
    }

    /// Why the engine takes no work, if it takes none.
    fn closed(&self) -> Option<RefusalReason> {
        match self.state.availability() {
            Availability::Serving => None,
            Availability::Leaving => Some(RefusalReason::Leaving),
            Availability::Gone => Some(RefusalReason::Gone),
        }
    }

    fn enqueue(&mut self, ask: Ask, now: Millis) {
        let cached = self.state.cached_blocks(&ask.prompt);
        let plan = self.state.plan(&ask.prompt, cached, 0.0);
        // A permit is useless when the prefill can no longer end in time.
        let prefill = Millis(plan.expected_ms as u64);
        let deadline = match ask.within.since(prefill) {
            Millis(0) => now + ask.within,
            slack => now + slack,
        };
        let pushed = self.queue.push(QueuedRequest {
            request: ask.request.clone(),
            workspace: ask.workspace.clone(),
            weight: ask.weight,
            priority: ask.priority,
            cost: cost(&self.state, &self.options, &ask),
            deadline,
        });
        debug_assert_eq!(
            pushed,
            PushOutcome::Added,
            "a queued request is also waiting"
        );
        self.waiting.insert(ask.request.clone(), ask);
    }

    fn cancel(&mut self, entry: &EntryRef, request: &RequestId, now: Millis) {
        self.claims.remove(request);
        let waits = self
            .waiting
            .get(request)
            .is_some_and(|ask| ask.entry == *entry);
        if waits {
            self.forget(request);
            return;
        }
        let permit = self.state.permits().of_request(request);
        let permit = permit.filter(|(_, record)| record.entry == *entry);
        if let Some((permit, _)) = permit {
            self.state.release(permit, None, now);
        }
    }

    /// Removes a request that waits.
    fn forget(&mut self, request: &RequestId) -> Option<Ask> {
        self.queue.cancel(request);
        self.held.remove(request);
        self.waiting.remove(request)
    }

    fn entry_gone(&mut self, entry: &EntryRef, now: Millis) {
        let lost: Vec<RequestId> = self
            .waiting
            .values()
            .filter(|ask| belongs_to(&ask.entry, entry))
            .map(|ask| ask.request.clone())
            .collect();
        for request in lost {
            self.forget(&request);
        }
        self.state.release_entry(entry, now);
    }

    /// True when a later incarnation of the node is known.
    fn is_old(&self, entry: &EntryRef) -> bool {
        let known = self.entries.get(&entry.instance);
        known.is_some_and(|&incarnation| incarnation > entry.incarnation)
    }

    /// Remembers the node's incarnation; a later one ends what earlier ones held.
    fn note_entry(&mut self, entry: &EntryRef, now: Millis) {
        let known = self
            .entries
            .insert(entry.instance.clone(), entry.incarnation);
        let Some(incarnation) = known.filter(|&known| known != entry.incarnation) else {
            return;
        };
        let instance = entry.instance.clone();
        if incarnation > entry.incarnation {
            self.entries.insert(instance, incarnation);
            return;
        }
        let earlier = EntryRef {
            instance,
            incarnation,
        };
        self.entry_gone(&earlier, now);
    }

    fn expire(&mut self, now: Millis, out: &mut Vec<Output>) {
        self.claims.expire(now);
        self.state.expire(now);
        if self.state.prefills().is_empty() {
            self.queue.end_busy_period();
        }
        for item in self.queue.expire(now) {
            let Some(ask) = self.waiting.remove(&item.request) else {
                continue;
            };
            let wait = self.wait_ms(&ask.workspace, ask.weight, ask.priority, &ask.request, now);
            let retry_after = Millis(wait as u64).max(Millis(MIN_RETRY_MS));
            out.push(refuse(&ask, RefusalReason::Deadline, retry_after));
        }
    }

    /// Refuses all that waits when the engine takes no more work.
    fn refuse_all(&mut self, out: &mut Vec<Output>) {
        let Some(reason) = self.closed() else {
            return;
        };
        self.queue = FairQueue::new();
        self.held.clear();
        self.claims.clear();
        let waiting = std::mem::take(&mut self.waiting);
        out.extend(waiting.values().map(|ask| refuse(ask, reason, Millis(0))));
    }

    fn grant_all(&mut self, now: Millis, out: &mut Vec<Output>) {
        if now < self.rebuild_until {
            return;
        }
        self.grant_held(now, out);
        while self.state.has_room(self.held.len(), now) {
            let Some(item) = self.pop() else {
                return;
            };
            match self.shared_wait(&item.request, now) {
                Some(shared) => {
                    self.held.insert(item.request, shared);
                }
                None => out.extend(self.grant(&item.request, now)),
            }
        }
    }

    fn pop(&mut self) -> Option<QueuedRequest> {
        let Self {
            queue,
            waiting,
            state,
            options,
            ..
        } = self;
        // A prefix that was missing when the request came may be cached by now.
        queue.pop_charging(|item| match waiting.get(&item.request) {
            Some(ask) => cost(state, options, ask),
            None => item.cost,
        })
    }

    /// Grants held requests whose shared prefill has ended or is overdue.
    fn grant_held(&mut self, now: Millis, out: &mut Vec<Output>) {
        let ready: Vec<RequestId> = self
            .held
            .iter()
            .filter(|(_, shared)| {
                shared.ready <= now || !self.state.prefills().contains(shared.permit)
            })
            .map(|(request, _)| request.clone())
            .collect();
        for request in ready {
            if self.state.free_slots() == 0 {
                return;
            }
            self.held.remove(&request);
            out.extend(self.grant(&request, now));
        }
    }

    /// The prefill in progress that the request should wait for, if that is sooner
    /// than computing the prefix again.
    fn shared_wait(&self, request: &RequestId, now: Millis) -> Option<SharedPrefill> {
        let ask = self.waiting.get(request)?;
        let cached = self.state.cached_blocks(&ask.prompt);
        let shared = self.shared_prefill(ask, cached)?;
        let line_ms = self.state.line_ms(now);
        let ready_ms = shared.ready.since(now).0 as f64;
        let joint = self
            .state
            .plan(&ask.prompt, shared.blocks, line_ms.max(ready_ms));
        let own = self.state.plan(&ask.prompt, cached, line_ms);
        (ready_ms > 0.0 && joint.expected_ms <= own.expected_ms).then_some(shared)
    }

    fn grant(&mut self, request: &RequestId, now: Millis) -> Option<Output> {
        let ask = self.waiting.remove(request)?;
        Some(Output::Grant(self.state.grant(&ask, now)))
    }
}

/// Cost of a request to its workspace, in tokens.
fn cost(state: &EngineState, options: &HomeOptions, ask: &Ask) -> f64 {
    let cached = state.dispatch_blocks(&ask.prompt);
    let missing = state.plan(&ask.prompt, cached, 0.0).missing_tokens;
    let answer = f64::from(ask.answer_tokens) * options.answer_weight;
    (f64::from(missing) + answer).max(1.0)
}

fn refuse(ask: &Ask, reason: RefusalReason, retry_after: Millis) -> Output {
    Output::Refuse(Refusal {
        entry: ask.entry.clone(),
        request: ask.request.clone(),
        reason,
        retry_after,
    })
}
