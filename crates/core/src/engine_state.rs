//! What an engine's home knows exactly about the engine: permits in flight and
//! prefills in progress, with the estimate of its cache and the learnt prefill rate.

use std::collections::BTreeSet;

use crate::home_message::{Ask, EngineLoad, Grant, Prompt};
use crate::permit::{EntryRef, LivePermit, PermitId, PermitIds, PrefillStats};
use crate::permit_table::{Permit, PermitTable};
use crate::prefill_rate::PrefillRate;
use crate::prefills::{Prefills, SharedPrefill};
use crate::prefix::BLOCK_TOKENS;
use crate::prefix_model::{CacheEvent, PrefixModel};
use crate::prelude::*;

/// Prefill work that is dispatched ahead, so that the engine is not idle while a
/// grant and a prompt travel.
const AHEAD_MS: u64 = 20;

/// Most prompts dispatched whose first token is still expected.
const MAX_PREFILLS: usize = 8;

/// Weight of one permit's duration against the average so far.
const DURATION_WEIGHT: f64 = 0.05;

/// Permit duration that is assumed before any has ended, in milliseconds.
const INITIAL_DURATION_MS: f64 = 1000.0;

/// Age from which a permit has to appear in its node's reports.
const REPORT_AGE_MS: u64 = 2_000;

/// Whether the engine takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// It does.
    Serving,
    /// It finishes its work and takes no more.
    Leaving,
    /// It is lost.
    Gone,
}

/// What a request would meet at the engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// Wait before the prefill begins, in milliseconds.
    pub wait_ms: f64,
    /// Blocks that will be in the cache when it begins.
    pub cached_blocks: u32,
    /// Tokens of the prompt that must be computed.
    pub missing_tokens: u32,
    /// Time to the first token, in milliseconds.
    pub expected_ms: f64,
}

/// State of one engine in one incarnation.
#[derive(Clone, Debug)]
pub struct EngineState {
    availability: Availability,
    slots: u32,
    model: PrefixModel,
    rate: PrefillRate,
    prefills: Prefills,
    /// When the last prefill ended.
    prefill_end: Millis,
    duration_ms: f64,
    permits: PermitTable,
    ids: PermitIds,
}

impl EngineState {
    /// The state that the engine reported, without any permit.
    pub fn new(load: &EngineLoad, seed: u64, now: Millis) -> Self {
        let mut state = Self {
            availability: Availability::Serving,
            slots: load.slots,
            model: PrefixModel::new(load.incarnation, load.weights.clone(), load.capacity_blocks),
            rate: PrefillRate::new(load.prefill_rate),
            prefills: Prefills::default(),
            prefill_end: now,
            duration_ms: INITIAL_DURATION_MS,
            permits: PermitTable::default(),
            ids: PermitIds::new(seed),
        };
        state.set_load(load);
        state
    }

    /// Whether the engine takes new work.
    pub fn availability(&self) -> Availability {
        self.availability
    }

    /// The life of the engine that permits are granted for.
    pub fn incarnation(&self) -> Incarnation {
        self.model.incarnation()
    }

    /// Requests that the engine runs at once.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Slots without a permit.
    pub fn free_slots(&self) -> usize {
        (self.slots as usize).saturating_sub(self.permits.len())
    }

    /// Permits in flight.
    pub fn permits(&self) -> &PermitTable {
        &self.permits
    }

    /// Estimate of the cache.
    pub fn model(&self) -> &PrefixModel {
        &self.model
    }

    /// Learnt prefill rate.
    pub fn rate(&self) -> &PrefillRate {
        &self.rate
    }

    /// Prefills in progress.
    pub fn prefills(&self) -> &Prefills {
        &self.prefills
    }

    /// Takes in the state that the engine reported. One from an earlier
    /// incarnation is ignored.
    pub fn set_load(&mut self, load: &EngineLoad) {
        if load.incarnation < self.incarnation() {
            return;
        }
        self.set_incarnation(load.incarnation);
        self.model.rebind(load.incarnation, &load.weights);
        self.model.set_capacity(load.capacity_blocks);
        self.rate.claim(load.prefill_rate);
        self.slots = load.slots;
        if load.draining {
            self.availability = Availability::Leaving;
        } else if self.availability == Availability::Gone {
            self.availability = Availability::Serving;
        }
    }

    /// Takes in that the engine runs in this incarnation; a later one than before
    /// ends all permits and forgets the cache.
    pub fn set_incarnation(&mut self, incarnation: Incarnation) {
        if incarnation <= self.incarnation() {
            return;
        }
        let weights = self.model.weights().clone();
        self.model.rebind(incarnation, &weights);
        self.drop_all();
        self.availability = Availability::Serving;
    }

    /// Takes in that the engine finishes its work and takes no more.
    pub fn set_leaving(&mut self) {
        self.availability = Availability::Leaving;
    }

    /// Takes in that the engine is lost with everything on it.
    pub fn set_gone(&mut self) {
        self.availability = Availability::Gone;
        self.drop_all();
    }

    /// Corrects the estimate of the cache.
    pub fn cache_events(&mut self, incarnation: Incarnation, events: &[CacheEvent]) {
        self.model.apply(incarnation, events);
    }

    /// Blocks of the prompt that are expected to be in the cache.
    pub fn cached_blocks(&self, prompt: &Prompt) -> u32 {
        self.model.expected_blocks(&prompt.levels)
    }

    /// Blocks of the prompt that will be in the cache when the prefills dispatched
    /// so far have ended.
    pub fn dispatch_blocks(&self, prompt: &Prompt) -> u32 {
        let cached = self.cached_blocks(prompt);
        let shared = self.shared_prefill(prompt, cached);
        shared.map_or(cached, |shared| shared.blocks)
    }

    /// What a prompt meets that finds `cached_blocks` in the cache after `wait_ms`.
    pub fn plan(&self, prompt: &Prompt, cached_blocks: u32, wait_ms: f64) -> Estimate {
        let cached = cached_blocks.saturating_mul(BLOCK_TOKENS as u32);
        let missing_tokens = prompt.tokens.saturating_sub(cached);
        Estimate {
            wait_ms,
            cached_blocks,
            missing_tokens,
            expected_ms: wait_ms + self.rate.millis_for(f64::from(missing_tokens)),
        }
    }

    /// The longest prefix beyond `cached` blocks that is being computed.
    pub fn shared_prefill(&self, prompt: &Prompt, cached: u32) -> Option<SharedPrefill> {
        let shared = self.prefills.longest(&prompt.levels)?;
        (shared.blocks > cached).then_some(shared)
    }

    /// Time until the prefills in progress have ended, in milliseconds.
    pub fn line_ms(&self, now: Millis) -> f64 {
        self.prefills.free_at(now).since(now).0 as f64
    }

    /// Wait for a slot behind `ahead` other requests, in milliseconds.
    pub fn slot_wait_ms(&self, ahead: f64) -> f64 {
        let short = ahead + 1.0 - self.free_slots() as f64;
        if short <= 0.0 {
            return 0.0;
        }
        // Slots fall free evenly over the mean duration of a permit.
        short * self.duration_ms / f64::from(self.slots.max(1))
    }

    /// When the line of prefills is short enough for the next one.
    pub fn next_dispatch(&self, now: Millis) -> Millis {
        (self.prefills.free_at(now) - Millis(AHEAD_MS)).max(now)
    }

    /// True when the engine has a slot besides `reserved` ones and needs a prompt.
    pub fn has_room(&self, reserved: usize, now: Millis) -> bool {
        self.availability == Availability::Serving
            && self.free_slots() > reserved
            && self.prefills.len() < MAX_PREFILLS
            && self.next_dispatch(now) <= now
    }

    /// Grants a permit and counts its prefill as begun.
    pub fn grant(&mut self, ask: &Ask, now: Millis) -> Grant {
        let permit = self.ids.issue();
        let plan = self.plan(&ask.prompt, self.dispatch_blocks(&ask.prompt), 0.0);
        self.prefills
            .begin(permit, &ask.prompt.levels, plan.expected_ms, now);
        let record = Permit {
            entry: ask.entry.clone(),
            request: ask.request.clone(),
            since: now,
            model_blocks: self.model.longest_level(&ask.prompt.levels),
        };
        self.permits.insert(permit, record);
        Grant {
            entry: ask.entry.clone(),
            request: ask.request.clone(),
            permit,
            incarnation: self.incarnation(),
            cached_tokens: plan.cached_blocks * BLOCK_TOKENS as u32,
        }
    }

    /// Takes in the first token of a request.
    pub fn first_token(&mut self, permit: PermitId, observed: PrefillStats, now: Millis) {
        let Some(levels) = self.prefills.end(permit, now) else {
            return;
        };
        self.model.insert(&levels);
        let Some(record) = self.permits.get(permit) else {
            return;
        };
        let found = observed.cached_tokens / BLOCK_TOKENS as u32;
        self.model.observe(record.model_blocks, found);
        // Its prefill began when it was dispatched or the one before had ended.
        let began = record.since.max(self.prefill_end);
        let span = now.since(began).min(observed.first_token);
        self.rate.learn(observed.computed_tokens(), span);
        self.prefill_end = now;
    }

    /// Takes back a permit. Unknown ones, for instance those of an earlier
    /// incarnation, are ignored.
    pub fn release(&mut self, permit: PermitId, observed: Option<PrefillStats>, now: Millis) {
        match observed {
            Some(observed) => self.first_token(permit, observed, now),
            None => drop(self.prefills.end(permit, now)),
        }
        let Some(record) = self.permits.remove(permit) else {
            return;
        };
        let duration = now.since(record.since).0 as f64;
        self.duration_ms += DURATION_WEIGHT * (duration - self.duration_ms);
    }

    /// Takes back the permits of an entry node that is lost.
    pub fn release_entry(&mut self, entry: &EntryRef, now: Millis) {
        for permit in self.permits.remove_entry(entry) {
            self.prefills.end(permit, now);
        }
    }

    /// Adds permits that a node holds from an earlier home or from its reserve, and
    /// drops those that it no longer reports: their release was lost.
    pub fn adopt(&mut self, entry: &EntryRef, permits: &[LivePermit], now: Millis) {
        self.drop_unreported(entry, permits, now);
        let incarnation = self.incarnation();
        for live in permits
            .iter()
            .filter(|live| live.incarnation == incarnation)
        {
            let record = Permit {
                entry: entry.clone(),
                request: live.request.clone(),
                since: now,
                model_blocks: 0,
            };
            self.permits.insert(live.permit, record);
        }
    }

    fn drop_unreported(&mut self, entry: &EntryRef, permits: &[LivePermit], now: Millis) {
        let reported: BTreeSet<PermitId> = permits.iter().map(|live| live.permit).collect();
        // A younger permit may have been on its way when the report was made.
        let unreported = self
            .permits
            .older_than(entry, now - Millis(REPORT_AGE_MS))
            .into_iter()
            .filter(|permit| !reported.contains(permit));
        for permit in unreported {
            self.release(permit, None, now);
        }
    }

    /// Stops waiting for prefills whose first token is long overdue. Their
    /// prefixes are taken as computed.
    pub fn expire(&mut self, now: Millis) {
        for levels in self.prefills.expire(now) {
            self.model.insert(&levels);
        }
    }

    fn drop_all(&mut self) {
        self.permits.clear();
        self.prefills.clear();
    }
}
