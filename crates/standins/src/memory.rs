//! What prefill does to the prefix cache, and how the oracle counts it.

use flamingolock_core::prefix::BLOCK_TOKENS;
use flamingolock_core::prelude::*;

use crate::batch::Job;
use crate::cache::{Origin, PrefixCache};
use crate::oracle::{FleetOracle, OracleReport};

/// The parts of an engine that a prefill changes.
pub(crate) struct Memory<'a> {
    pub(crate) cache: &'a mut PrefixCache,
    pub(crate) report: &'a mut OracleReport,
    pub(crate) fleet: &'a FleetOracle,
    pub(crate) incarnation: Incarnation,
    pub(crate) weights: &'a WeightsVersion,
}

impl Memory<'_> {
    /// Looks the prefix up and returns the number of cached tokens.
    pub(crate) fn begin(&mut self, job: &Job) -> u32 {
        let origin = self.origin(job);
        let (mut hits, mut bad) = (0, 0);
        for found in self.cache.matching(&job.chain.blocks) {
            hits += 1;
            bad += u64::from(*found != origin);
        }
        self.cache.touch(&job.chain.blocks[..hits]);
        let cached = (hits * BLOCK_TOKENS) as u32;
        let missing = job.chain.missing_tokens(hits);
        if hits > 0 {
            let salt = job.salt.to_hex();
            *self.report.hits.entry(salt).or_default() += hits as u64;
        }
        self.report.bad_hits += bad;
        self.report.prompt_tokens += u64::from(job.chain.tokens);
        self.report.cached_tokens += u64::from(cached);
        self.report.computed_tokens += u64::from(missing);
        for block in &job.chain.blocks[hits..] {
            if self.fleet.record(*block) {
                self.report.recomputed_tokens += BLOCK_TOKENS as u64;
            }
        }
        cached
    }

    /// Stores the blocks of a prefilled prefix.
    pub(crate) fn end(&mut self, job: &Job) -> u32 {
        let origin = self.origin(job);
        for block in &job.chain.blocks {
            self.cache.insert(*block, &origin);
        }
        self.cache.touch(&job.chain.blocks);
        self.report.evicted += self.cache.shrink().len() as u64;
        job.chain.tokens
    }

    fn origin(&self, job: &Job) -> Origin {
        Origin {
            salt: job.salt,
            incarnation: self.incarnation,
            weights: self.weights.clone(),
        }
    }
}
