//! State of an engine as its home tracks it: the permits in flight and the prefills in
//! progress, which are exact, and estimates of the cache and the prefill rate.

use std::collections::BTreeSet;

use crate::home_message::{EngineLoad, Grant, PermitRequest, Prompt};
use crate::permit::{EntryRef, LivePermit, PermitId, PermitIds, PrefillStats};
use crate::permit_table::{Permit, PermitTable};
use crate::prefill_rate::PrefillRate;
use crate::prefills::{Prefills, SharedPrefill};
use crate::prefix::BLOCK_TOKENS;
use crate::prefix_model::{CacheEvent, PrefixModel};
use crate::prelude::*;

/// Prefill work that is dispatched in advance, so that the engine is not idle while a
/// grant and a prompt are in transit.
const DISPATCH_AHEAD_MS: u64 = 20;

/// Maximum number of prefills in progress, that is of dispatched prompts whose first
/// token is still expected.
const MAX_PREFILLS: usize = 8;

/// Weight of the duration of one permit in the moving average.
const DURATION_WEIGHT: f64 = 0.05;

/// Permit duration assumed before any permit has ended, in milliseconds.
const INITIAL_DURATION_MS: f64 = 1000.0;

/// Age from which a permit must appear in the reports of its node.
const REPORT_AGE_MS: u64 = 2_000;

/// Whether the engine accepts new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// It accepts new work.
    Serving,
    /// It finishes its work and accepts no more.
    Leaving,
    /// It is lost.
    Gone,
}

/// Estimate of how the engine serves a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// Wait before the prefill begins, in milliseconds.
    pub wait_ms: f64,
    /// Blocks of the prompt that are cached when the prefill begins.
    pub cached_blocks: u32,
    /// Tokens of the prompt that must be computed.
    pub missing_tokens: u32,
    /// Expected time to the first token, in milliseconds.
    pub expected_ms: f64,
}

/// State of one engine in its current incarnation.
#[derive(Clone, Debug)]
pub struct EngineState {
    availability: Availability,
    slots: u32,
    model: PrefixModel,
    rate: PrefillRate,
    prefills: Prefills,
    /// When the last prefill ended.
    prefill_end: Millis,
    mean_duration_ms: f64,
    permits: PermitTable,
    ids: PermitIds,
}

impl EngineState {
    /// Creates the state from a report of the engine, without any permit.
    pub fn new(load: &EngineLoad, seed: u64, now: Millis) -> Self {
        let mut state = Self {
            availability: Availability::Serving,
            slots: load.slots,
            model: PrefixModel::new(load.incarnation, load.weights.clone(), load.capacity_blocks),
            rate: PrefillRate::new(load.prefill_rate),
            prefills: Prefills::default(),
            prefill_end: now,
            mean_duration_ms: INITIAL_DURATION_MS,
            permits: PermitTable::default(),
            ids: PermitIds::new(seed),
        };
        state.set_load(load);
        state
    }

    /// Whether the engine accepts new work.
    pub fn availability(&self) -> Availability {
        self.availability
    }

    /// The incarnation of the engine that permits are granted for.
    pub fn incarnation(&self) -> Incarnation {
        self.model.incarnation()
    }

    /// Number of requests that the engine runs concurrently.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Number of slots without a permit.
    pub fn free_slots(&self) -> usize {
        (self.slots as usize).saturating_sub(self.permits.len())
    }

    /// Permits in flight.
    pub fn permits(&self) -> &PermitTable {
        &self.permits
    }

    /// Estimate of the cache contents.
    pub fn model(&self) -> &PrefixModel {
        &self.model
    }

    /// Estimate of the prefill rate.
    pub fn rate(&self) -> &PrefillRate {
        &self.rate
    }

    /// Prefills in progress.
    pub fn prefills(&self) -> &Prefills {
        &self.prefills
    }

    /// Updates the state from a report of the engine. Reports from earlier incarnations
    /// are ignored.
    pub fn set_load(&mut self, load: &EngineLoad) {
        if load.incarnation < self.incarnation() {
            return;
        }
        self.set_incarnation(load.incarnation);
        self.model.rebind(load.incarnation, &load.weights);
        self.model.set_capacity(load.capacity_blocks);
        self.rate.set_reported(load.prefill_rate);
        self.slots = load.slots;
        if load.draining {
            self.availability = Availability::Leaving;
        } else if self.availability == Availability::Gone {
            self.availability = Availability::Serving;
        }
    }

    /// Records the incarnation of the engine; a later one than before ends all permits
    /// and clears the estimate of the cache.
    pub fn set_incarnation(&mut self, incarnation: Incarnation) {
        if incarnation <= self.incarnation() {
            return;
        }
        let weights = self.model.weights().clone();
        self.model.rebind(incarnation, &weights);
        self.clear_in_flight();
        self.availability = Availability::Serving;
    }

    /// Records that the engine finishes its work and accepts no more.
    pub fn set_leaving(&mut self) {
        self.availability = Availability::Leaving;
    }

    /// Records that the engine is lost, along with all permits and prefills on it.
    pub fn set_lost(&mut self) {
        self.availability = Availability::Gone;
        self.clear_in_flight();
    }

    /// Corrects the estimate of the cache by events that the engine reported.
    pub fn cache_events(&mut self, incarnation: Incarnation, events: &[CacheEvent]) {
        self.model.apply(incarnation, events);
    }

    /// Number of blocks of the prompt expected in the cache.
    pub fn cached_blocks(&self, prompt: &Prompt) -> u32 {
        self.model.expected_blocks(&prompt.levels)
    }

    /// Number of blocks of the prompt expected in the cache once the prefills dispatched
    /// so far have ended.
    pub fn blocks_after_prefills(&self, prompt: &Prompt) -> u32 {
        let cached = self.cached_blocks(prompt);
        let shared = self.shared_prefill(prompt, cached);
        shared.map_or(cached, |shared| shared.blocks)
    }

    /// Estimates a prefill that starts after `wait_ms` with `cached_blocks` blocks in the
    /// cache.
    pub fn estimate(&self, prompt: &Prompt, cached_blocks: u32, wait_ms: f64) -> Estimate {
        let cached = cached_blocks.saturating_mul(BLOCK_TOKENS as u32);
        let missing_tokens = prompt.tokens.saturating_sub(cached);
        Estimate {
            wait_ms,
            cached_blocks,
            missing_tokens,
            expected_ms: wait_ms + self.rate.millis_for(f64::from(missing_tokens)),
        }
    }

    /// Returns the longest prefix of the prompt that a prefill in progress computes, if it
    /// is longer than `cached` blocks.
    pub fn shared_prefill(&self, prompt: &Prompt, cached: u32) -> Option<SharedPrefill> {
        let shared = self.prefills.longest(&prompt.levels)?;
        (shared.blocks > cached).then_some(shared)
    }

    /// Time until the prefills in progress have ended, in milliseconds.
    pub fn prefill_queue_ms(&self, now: Millis) -> f64 {
        self.prefills.free_at(now).since(now).0 as f64
    }

    /// Wait for a slot after `ahead` other requests, in milliseconds.
    pub fn slot_wait_ms(&self, ahead: f64) -> f64 {
        let missing_slots = ahead + 1.0 - self.free_slots() as f64;
        if missing_slots <= 0.0 {
            return 0.0;
        }
        // Slots become free at an even rate over the mean duration of a permit.
        missing_slots * self.mean_duration_ms / f64::from(self.slots.max(1))
    }

    /// Earliest time at which the queue of prefills is short enough for the next one.
    pub fn next_dispatch(&self, now: Millis) -> Millis {
        (self.prefills.free_at(now) - Millis(DISPATCH_AHEAD_MS)).max(now)
    }

    /// True if the engine has a free slot in addition to `reserved` ones and can be sent
    /// another prompt.
    pub fn has_room(&self, reserved: usize, now: Millis) -> bool {
        self.availability == Availability::Serving
            && self.free_slots() > reserved
            && self.prefills.len() < MAX_PREFILLS
            && self.next_dispatch(now) <= now
    }

    /// Grants a permit and adds its prefill to those in progress.
    pub fn grant(&mut self, request: &PermitRequest, now: Millis) -> Grant {
        let permit = self.ids.issue();
        let plan = self.estimate(
            &request.prompt,
            self.blocks_after_prefills(&request.prompt),
            0.0,
        );
        self.prefills
            .begin(permit, &request.prompt.levels, plan.expected_ms, now);
        let record = Permit {
            entry: request.entry.clone(),
            request: request.id.clone(),
            since: now,
            model_blocks: self.model.longest_level(&request.prompt.levels),
        };
        self.permits.insert(permit, record);
        Grant {
            entry: request.entry.clone(),
            request: request.id.clone(),
            permit,
            incarnation: self.incarnation(),
            cached_tokens: plan.cached_blocks * BLOCK_TOKENS as u32,
        }
    }

    /// Records the first token of a request: its prefill has ended.
    pub fn first_token(&mut self, permit: PermitId, observed: PrefillStats, now: Millis) {
        let Some(levels) = self.prefills.end(permit, now) else {
            return;
        };
        self.model.insert(&levels);
        let Some(record) = self.permits.get(permit) else {
            return;
        };
        let found_blocks = observed.cached_tokens / BLOCK_TOKENS as u32;
        self.model.observe(record.model_blocks, found_blocks);
        // The prefill began when it was dispatched or when the previous one ended,
        // whichever was later.
        let began = record.since.max(self.prefill_end);
        let span = now.since(began).min(observed.first_token);
        self.rate.add_sample(observed.computed_tokens(), span);
        self.prefill_end = now;
    }

    /// Releases a permit. Unknown permits, for instance those of an earlier incarnation,
    /// are ignored.
    pub fn release(&mut self, permit: PermitId, observed: Option<PrefillStats>, now: Millis) {
        match observed {
            Some(observed) => self.first_token(permit, observed, now),
            None => drop(self.prefills.end(permit, now)),
        }
        let Some(record) = self.permits.remove(permit) else {
            return;
        };
        let duration = now.since(record.since).0 as f64;
        self.mean_duration_ms += DURATION_WEIGHT * (duration - self.mean_duration_ms);
    }

    /// Releases the permits of an entry node that is lost.
    pub fn release_entry(&mut self, entry: &EntryRef, now: Millis) {
        for permit in self.permits.remove_entry(entry) {
            self.prefills.end(permit, now);
        }
    }

    /// Adds permits that a node holds from an earlier home or from its reserve, and
    /// releases those that it no longer reports, because the message that released them
    /// was lost.
    pub fn adopt(&mut self, entry: &EntryRef, permits: &[LivePermit], now: Millis) {
        self.release_unreported(entry, permits, now);
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

    fn release_unreported(&mut self, entry: &EntryRef, permits: &[LivePermit], now: Millis) {
        let reported: BTreeSet<PermitId> = permits.iter().map(|live| live.permit).collect();
        // A more recent permit may have been in transit when the report was made.
        let unreported = self
            .permits
            .older_than(entry, now - Millis(REPORT_AGE_MS))
            .into_iter()
            .filter(|permit| !reported.contains(permit));
        for permit in unreported {
            self.release(permit, None, now);
        }
    }

    /// Ends prefills whose first token is long overdue. Their prefixes are assumed to be
    /// cached.
    pub fn expire(&mut self, now: Millis) {
        for levels in self.prefills.expire(now) {
            self.model.insert(&levels);
        }
    }

    fn clear_in_flight(&mut self) {
        self.permits.clear();
        self.prefills.clear();
    }
}
