//! Home of one engine: the node that decides which requests run on the engine, and
//! when.
//!
//! The home grants a permit when the engine has a free slot and is about to run out
//! of prompts to compute. Requests therefore wait here in fair order instead of in
//! the engine in order of arrival.
//!
//! Every request for a permit ends in exactly one grant, refusal or cancellation.

use std::collections::BTreeMap;

use crate::digest::EngineDigest;
use crate::engine_state::{Availability, EngineState, Estimate};
use crate::fair_queue::{FairQueue, PushOutcome, QueuedRequest};
use crate::home_message::{
    EngineLoad, Grant, Input, Output, PermitRequest, ProbeAnswer, Refusal, RefusalReason,
};
use crate::permit::EntryRef;
use crate::permit_table::is_same_or_earlier;
use crate::prefills::SharedPrefill;
use crate::prefix::BLOCK_TOKENS;
use crate::prelude::*;
use crate::probe_reservations::ProbeReservations;

/// Maximum number of requests that wait at one home.
pub const MAX_WAITING: usize = 4096;

/// Minimum time before a refused request may be retried.
const MIN_RETRY_MS: u64 = 100;

/// Settings of a home.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HomeOptions {
    /// Cost of an expected answer token relative to a computed prompt token.
    pub answer_weight: f64,
    /// Whether requests wait for a prefill in progress that they share.
    pub shared_prefill: bool,
    /// How long a new home waits for entry nodes to report their permits before it
    /// grants any.
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

/// State of an engine and of the requests for it.
#[derive(Clone, Debug)]
pub struct Home {
    engine: EngineId,
    options: HomeOptions,
    state: EngineState,
    queue: FairQueue,
    /// All unanswered requests: those in the queue and those that await a shared
    /// prefill.
    waiting: BTreeMap<RequestId, PermitRequest>,
    /// Requests that left the queue and await a shared prefill.
    awaiting_prefill: BTreeMap<RequestId, SharedPrefill>,
    reservations: ProbeReservations,
    entry_incarnations: BTreeMap<InstanceId, Incarnation>,
    rebuild_until: Millis,
}

impl Home {
    /// Creates the home of an engine from the state that the engine reported last.
    /// `seed` must differ between all homes ever created; it makes permits unique.
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
            awaiting_prefill: BTreeMap::new(),
            reservations: ProbeReservations::default(),
            entry_incarnations: BTreeMap::new(),
            rebuild_until: now + options.rebuild_wait,
        }
    }

    /// The engine.
    pub fn engine(&self) -> &EngineId {
        &self.engine
    }

    /// State of the engine.
    pub fn state(&self) -> &EngineState {
        &self.state
    }

    /// Number of requests that wait for a permit.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Handles an input and returns what to send. Any input, even a probe, may result in
    /// grants and refusals for earlier requests.
    pub fn step(&mut self, input: Input, now: Millis) -> Vec<Output> {
        let mut out = Vec::new();
        self.expire(now, &mut out);
        match input {
            Input::Probe(request) => out.push(self.probe(&request, now)),
            Input::PermitRequest(request) => out.extend(self.request_permit(request, now)),
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
            Input::EngineGone => self.state.set_lost(),
            Input::EngineLeaving => self.state.set_leaving(),
            Input::EntryGone(entry) => self.entry_gone(&entry, now),
            Input::Rebuild { entry, permits } => {
                self.record_entry(&entry, now);
                self.state.adopt(&entry, &permits, now);
            }
            Input::Tick => {}
        }
        self.refuse_all(&mut out);
        self.grant_all(now, &mut out);
        out
    }

    /// When [`Input::Tick`] is due next if no other input arrives before.
    pub fn next_tick(&self, now: Millis) -> Option<Millis> {
        let dispatch = (!self.queue.is_empty())
            .then(|| self.state.next_dispatch(now).max(self.rebuild_until))
            .filter(|&at| at > now);
        let prefill_ready = self
            .awaiting_prefill
            .values()
            .map(|shared| shared.ready)
            .min();
        let times = [
            dispatch,
            prefill_ready.filter(|_| self.state.free_slots() > 0),
            self.queue.next_deadline(),
            self.state.prefills().next_expiry(),
        ];
        let earliest = times.into_iter().flatten().min()?;
        Some(earliest.max(now + Millis(1)))
    }

    /// Summary for other nodes.
    pub fn digest(&self, now: Millis) -> EngineDigest {
        let new_workspace = WorkspaceId::default();
        let no_request = RequestId::default();
        EngineDigest {
            engine: self.engine.clone(),
            incarnation: self.state.incarnation(),
            serving: self.state.availability() == Availability::Serving,
            wait_ms: self.wait_ms(&new_workspace, 1.0, 0, &no_request, now) as u32,
            prefill_rate: self.state.rate().per_second() as f32,
            free_slots: self.state.free_slots() as u32,
            made_at: now,
        }
    }

    /// Estimates the wait and the prefill of a request that arrives now.
    pub fn estimate(&self, request: &PermitRequest, now: Millis) -> Estimate {
        let wait_ms = self.wait_ms(
            &request.workspace,
            request.weight,
            request.priority,
            &request.id,
            now,
        );
        let cached = self.state.cached_blocks(&request.prompt);
        let separate = self.state.estimate(&request.prompt, cached, wait_ms);
        let Some(shared) = self.shared_prefill(request, cached) else {
            return separate;
        };
        let ready_ms = shared.ready.since(now).0 as f64;
        let joined_wait = wait_ms.max(ready_ms);
        let joined = self
            .state
            .estimate(&request.prompt, shared.blocks, joined_wait);
        if joined.expected_ms <= separate.expected_ms {
            joined
        } else {
            separate
        }
    }

    /// Wait of a new request of the workspace before its prefill begins, in
    /// milliseconds.
    fn wait_ms(
        &self,
        workspace: &WorkspaceId,
        weight: f64,
        priority: u8,
        id: &RequestId,
        now: Millis,
    ) -> f64 {
        let ahead = self.queue.work_ahead(workspace, weight, priority);
        let claimed = self.reservations.cost_besides(id);
        let work_ms = self.state.rate().millis_for(ahead.cost + claimed);
        let slot_ms = self
            .state
            .slot_wait_ms(ahead.requests + self.awaiting_prefill.len() as f64);
        let rebuild_ms = self.rebuild_until.since(now).0 as f64;
        (self.state.prefill_queue_ms(now) + work_ms)
            .max(slot_ms)
            .max(rebuild_ms)
    }

    fn shared_prefill(&self, request: &PermitRequest, cached: u32) -> Option<SharedPrefill> {
        if !self.options.shared_prefill {
            return None;
        }
        self.state.shared_prefill(&request.prompt, cached)
    }

    fn probe(&mut self, request: &PermitRequest, now: Millis) -> Output {
        let estimate = self.estimate(request, now);
        let available = self.state.availability() == Availability::Serving;
        if available {
            let cost = f64::from(estimate.missing_tokens);
            self.reservations.add(&request.id, cost, now);
        }
        Output::Probe {
            entry: request.entry.clone(),
            request: request.id.clone(),
            answer: ProbeAnswer {
                available,
                wait_ms: estimate.wait_ms as u32,
                missing_tokens: estimate.missing_tokens,
                expected_ms: estimate.expected_ms as u32,
            },
        }
    }

    /// Queues a request; returns an answer if it can be answered immediately.
    fn request_permit(&mut self, request: PermitRequest, now: Millis) -> Option<Output> {
        self.reservations.remove(&request.id);
        if self.is_stale_entry(&request.entry) {
            return Some(refuse(&request, RefusalReason::OldEntry, Millis(0)));
        }
        self.record_entry(&request.entry, now);
        if let Some(known) = self.waiting.get(&request.id) {
            return (known.entry != request.entry)
                .then(|| refuse(&request, RefusalReason::Duplicate, Millis(0)));
        }
        if let Some(answer) = self.existing_grant(&request) {
            return Some(answer);
        }
        if let Some(refusal) = self.refusal(&request, now) {
            return Some(refusal);
        }
        self.enqueue(request, now);
        None
    }

    /// Answer to a request that already has a permit: its entry node may repeat the
    /// request if the first answer was lost.
    fn existing_grant(&self, request: &PermitRequest) -> Option<Output> {
        let (permit, record) = self.state.permits().of_request(&request.id)?;
        if record.entry != request.entry {
            return Some(refuse(request, RefusalReason::Duplicate, Millis(0)));
        }
        Some(Output::Grant(Grant {
            entry: request.entry.clone(),
            request: request.id.clone(),
            permit,
            incarnation: self.state.incarnation(),
            cached_tokens: record.model_blocks * BLOCK_TOKENS as u32,
        }))
    }

    fn refusal(&self, request: &PermitRequest, now: Millis) -> Option<Output> {
        if let Some(reason) = self.unavailable_reason() {
            return Some(refuse(request, reason, Millis(0)));
        }
        let expected = Millis(self.estimate(request, now).expected_ms as u64);
        let retry_after = expected.since(request.within).max(Millis(MIN_RETRY_MS));
        if self.waiting.len() >= MAX_WAITING {
            return Some(refuse(request, RefusalReason::Full, retry_after));
        }
        // An idle engine accepts every request: the prefill rate may be wrong, and only
        // requests that run can correct it.
        let idle = self.state.permits().is_empty() && self.waiting.is_empty();
        let late = expected > request.within && !idle;
        late.then(|| refuse(request, RefusalReason::Deadline, retry_after))
    }

    /// Why the engine accepts no work; `None` if it accepts work.
    fn unavailable_reason(&self) -> Option<RefusalReason> {
        match self.state.availability() {
            Availability::Serving => None,
            Availability::Leaving => Some(RefusalReason::Leaving),
            Availability::Gone => Some(RefusalReason::Gone),
        }
    }

    fn enqueue(&mut self, request: PermitRequest, now: Millis) {
        let cached = self.state.cached_blocks(&request.prompt);
        let plan = self.state.estimate(&request.prompt, cached, 0.0);
        // A permit is useless once the prefill can no longer end in time.
        let prefill = Millis(plan.expected_ms as u64);
        let deadline = match request.within.since(prefill) {
            Millis(0) => now + request.within,
            slack => now + slack,
        };
        let pushed = self.queue.push(QueuedRequest {
            request: request.id.clone(),
            workspace: request.workspace.clone(),
            weight: request.weight,
            priority: request.priority,
            cost: cost(&self.state, &self.options, &request),
            deadline,
        });
        debug_assert_eq!(
            pushed,
            PushOutcome::Added,
            "a queued request is also waiting"
        );
        self.waiting.insert(request.id.clone(), request);
    }

    fn cancel(&mut self, entry: &EntryRef, id: &RequestId, now: Millis) {
        self.reservations.remove(id);
        let waits = self
            .waiting
            .get(id)
            .is_some_and(|request| request.entry == *entry);
        if waits {
            self.remove_waiting(id);
            return;
        }
        let permit = self.state.permits().of_request(id);
        let permit = permit.filter(|(_, record)| record.entry == *entry);
        if let Some((permit, _)) = permit {
            self.state.release(permit, None, now);
        }
    }

    /// Removes a waiting request.
    fn remove_waiting(&mut self, id: &RequestId) -> Option<PermitRequest> {
        self.queue.cancel(id);
        self.awaiting_prefill.remove(id);
        self.waiting.remove(id)
    }

    fn entry_gone(&mut self, entry: &EntryRef, now: Millis) {
        let ids: Vec<RequestId> = self
            .waiting
            .values()
            .filter(|request| is_same_or_earlier(&request.entry, entry))
            .map(|request| request.id.clone())
            .collect();
        for id in ids {
            self.remove_waiting(&id);
        }
        self.state.release_entry(entry, now);
    }

    /// True if a later incarnation of the node is known.
    fn is_stale_entry(&self, entry: &EntryRef) -> bool {
        let known = self.entry_incarnations.get(&entry.instance);
        known.is_some_and(|&incarnation| incarnation > entry.incarnation)
    }

    /// Records the node's incarnation; a later one ends the permits and requests of
    /// earlier ones.
    fn record_entry(&mut self, entry: &EntryRef, now: Millis) {
        let known = self
            .entry_incarnations
            .insert(entry.instance.clone(), entry.incarnation);
        let Some(incarnation) = known.filter(|&known| known != entry.incarnation) else {
            return;
        };
        let instance = entry.instance.clone();
        if incarnation > entry.incarnation {
            self.entry_incarnations.insert(instance, incarnation);
            return;
        }
        let earlier = EntryRef {
            instance,
            incarnation,
        };
        self.entry_gone(&earlier, now);
    }

    fn expire(&mut self, now: Millis, out: &mut Vec<Output>) {
        self.reservations.expire(now);
        self.state.expire(now);
        if self.state.prefills().is_empty() {
            self.queue.end_busy_period();
        }
        for item in self.queue.expire(now) {
            let Some(request) = self.waiting.remove(&item.request) else {
                continue;
            };
            let wait = self.wait_ms(
                &request.workspace,
                request.weight,
                request.priority,
                &request.id,
                now,
            );
            let retry_after = Millis(wait as u64).max(Millis(MIN_RETRY_MS));
            out.push(refuse(&request, RefusalReason::Deadline, retry_after));
        }
    }

    /// Refuses all waiting requests if the engine accepts no more work.
    fn refuse_all(&mut self, out: &mut Vec<Output>) {
        let Some(reason) = self.unavailable_reason() else {
            return;
        };
        self.queue = FairQueue::new();
        self.awaiting_prefill.clear();
        self.reservations.clear();
        let waiting = std::mem::take(&mut self.waiting);
        out.extend(
            waiting
                .values()
                .map(|request| refuse(request, reason, Millis(0))),
        );
    }

    fn grant_all(&mut self, now: Millis, out: &mut Vec<Output>) {
        if now < self.rebuild_until {
            return;
        }
        self.grant_awaiting_prefill(now, out);
        while self.state.has_room(self.awaiting_prefill.len(), now) {
            let Some(item) = self.pop() else {
                return;
            };
            match self.prefill_to_await(&item.request, now) {
                Some(shared) => {
                    self.awaiting_prefill.insert(item.request, shared);
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
        // A prefix that was missing when the request arrived may be cached by now.
        queue.pop_charging(|item| match waiting.get(&item.request) {
            Some(request) => cost(state, options, request),
            None => item.cost,
        })
    }

    /// Grants requests whose shared prefill has ended or is due to have ended.
    fn grant_awaiting_prefill(&mut self, now: Millis, out: &mut Vec<Output>) {
        let ready: Vec<RequestId> = self
            .awaiting_prefill
            .iter()
            .filter(|(_, shared)| {
                shared.ready <= now || !self.state.prefills().contains(shared.permit)
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in ready {
            if self.state.free_slots() == 0 {
                return;
            }
            self.awaiting_prefill.remove(&id);
            out.extend(self.grant(&id, now));
        }
    }

    /// Returns the prefill in progress that the request should wait for, if the first
    /// token comes no later than with computing the prefix again.
    fn prefill_to_await(&self, id: &RequestId, now: Millis) -> Option<SharedPrefill> {
        let request = self.waiting.get(id)?;
        let cached = self.state.cached_blocks(&request.prompt);
        let shared = self.shared_prefill(request, cached)?;
        let prefill_queue_ms = self.state.prefill_queue_ms(now);
        let ready_ms = shared.ready.since(now).0 as f64;
        let joined = self.state.estimate(
            &request.prompt,
            shared.blocks,
            prefill_queue_ms.max(ready_ms),
        );
        let separate = self
            .state
            .estimate(&request.prompt, cached, prefill_queue_ms);
        (ready_ms > 0.0 && joined.expected_ms <= separate.expected_ms).then_some(shared)
    }

    fn grant(&mut self, id: &RequestId, now: Millis) -> Option<Output> {
        let request = self.waiting.remove(id)?;
        Some(Output::Grant(self.state.grant(&request, now)))
    }
}

/// Cost charged to the workspace of a request, in tokens.
fn cost(state: &EngineState, options: &HomeOptions, request: &PermitRequest) -> f64 {
    let cached = state.blocks_after_prefills(&request.prompt);
    let missing = state.estimate(&request.prompt, cached, 0.0).missing_tokens;
    let answer = f64::from(request.answer_tokens) * options.answer_weight;
    (f64::from(missing) + answer).max(1.0)
}

fn refuse(request: &PermitRequest, reason: RefusalReason, retry_after: Millis) -> Output {
    Output::Refuse(Refusal {
        entry: request.entry.clone(),
        request: request.id.clone(),
        reason,
        retry_after,
    })
}
