//! Effects of prefill on the prefix cache, its events and the oracle counters.

use std::sync::Arc;

use flamingolock_core::prefix::BLOCK_TOKENS;
use flamingolock_core::prelude::*;
use tokio::time::Instant;

use crate::batch::Job;
use crate::cache::{Origin, PrefixCache};
use crate::events::{EventKind, EventLog};
use crate::oracle::{FleetOracle, OracleReport};

/// The prefix cache with the state that changes along with it.
pub(crate) struct EngineCache {
    pub(crate) cache: PrefixCache,
    pub(crate) events: EventLog,
    pub(crate) report: OracleReport,
    pub(crate) fleet: Arc<FleetOracle>,
    pub(crate) incarnation: Incarnation,
    pub(crate) weights: WeightsVersion,
}

impl EngineCache {
    /// Looks up the prefix of a request, counts hits and computed tokens, and
    /// returns the number of cached tokens.
    pub(crate) fn start_prefill(&mut self, job: &Job, now: Instant) -> u32 {
        let origin = self.origin(job.salt);
        let (mut hits, mut bad) = (0, 0);
        for found in self.cache.cached_prefix(&job.chain.blocks) {
            hits += 1;
            bad += u64::from(*found != origin);
        }
        self.cache.touch(&job.chain.blocks[..hits], now);
        let cached = (hits * BLOCK_TOKENS) as u32;
        if hits > 0 {
            let salt = job.salt.to_hex();
            *self.report.hits.entry(salt).or_default() += hits as u64;
        }
        self.report.bad_hits += bad;
        self.report.prompt_tokens += u64::from(job.chain.tokens);
        self.report.cached_tokens += u64::from(cached);
        self.report.computed_tokens += u64::from(job.chain.missing_tokens(hits));
        for block in &job.chain.blocks[hits..] {
            if self.fleet.record(*block) {
                self.report.recomputed_tokens += BLOCK_TOKENS as u64;
            }
        }
        cached
    }

    /// Stores the blocks of a prefilled prefix.
    pub(crate) fn finish_prefill(&mut self, job: &Job, now: Instant) {
        let origin = self.origin(job.salt);
        self.store(&job.chain.blocks, &origin, now);
    }

    /// Stores blocks; returns the number that were not cached before.
    pub(crate) fn store(&mut self, blocks: &[BlockHash], origin: &Origin, now: Instant) -> usize {
        let mut stored = Vec::new();
        for block in blocks {
            if self.cache.insert(*block, origin, now) {
                stored.push(*block);
            }
        }
        self.cache.touch(blocks, now);
        let count = stored.len();
        self.events.record(EventKind::Stored, stored, now);
        self.evict(now);
        count
    }

    /// Evicts the blocks that exceed the capacity or have expired.
    pub(crate) fn evict(&mut self, now: Instant) {
        let evicted = self.cache.evict(now);
        self.report.evicted += evicted.len() as u64;
        self.events.record(EventKind::Evicted, evicted, now);
    }

    /// Drops all blocks, as a weights change requires.
    pub(crate) fn clear(&mut self, now: Instant) {
        self.cache.clear();
        self.events.record(EventKind::Cleared, Vec::new(), now);
    }

    fn origin(&self, salt: PrefixSeed) -> Origin {
        Origin {
            salt,
            incarnation: self.incarnation,
            weights: self.weights.clone(),
        }
    }
}
