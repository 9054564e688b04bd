//! Shortlist of the engines to probe for one request.
//!
//! For every prefix level the candidates are the engines that prompts with the level
//! were recently sent to, and those that rendezvous hashing selects, as many as the
//! level has replicas. The former probably have the prefix cached, the latter are the
//! same on all nodes. Two random engines are added, so that work can leave an
//! overloaded set. All candidates are ranked by their digests, which may be a second
//! old.

use serde::{Deserialize, Serialize};

use crate::choice::prefill_price;
use crate::fleet::{Fleet, FleetEngine, mix};
use crate::prefill_rate::DEFAULT_RATE;
use crate::prefix::BLOCK_TOKENS;
use crate::prefix_tree::HeatLevel;
use crate::prelude::*;

/// Maximum number of levels looked up, longest first.
pub const MAX_LEVELS: usize = 6;

/// Candidates beyond the requested count after which no shorter level is looked up.
const SPARE_ENGINES: usize = 2;

/// Random engines added to the candidates of each shortlist.
const RANDOM_ENGINES: u64 = 2;

/// Separates the random numbers of the ranking from those that select engines.
const JITTER_SALT: u64 = 0x5bd1_e995_7b93_1a6d;

/// Wait assumed for an engine without a digest, in milliseconds.
const UNKNOWN_WAIT_MS: f64 = 20.0;

/// Milliseconds by which the wait in a fresh digest may be wrong. A random part of the
/// error is added in the ranking, so that the nodes do not all probe the same few
/// engines until the next digest.
const FRESH_ERROR_MS: f64 = 20.0;

/// Milliseconds by which the wait in a digest may be wrong for each second of its age.
const AGED_ERROR_MS: f64 = 20.0;

/// Maximum error assumed for the wait in a digest, in milliseconds.
const MAX_ERROR_MS: f64 = 100.0;

/// Why an engine is a candidate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Source {
    /// A prompt with a common prefix of this many blocks was sent there.
    Recent(u32),
    /// Rendezvous hashing assigns it a prefix of this many blocks.
    Level(u32),
    /// It was selected at random.
    Random,
}

/// An engine to probe.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Candidate {
    /// The engine.
    pub engine: EngineId,
    /// Why it is a candidate.
    pub source: Source,
    /// Wait before the prefill begins according to the digest, in milliseconds.
    pub wait_ms: f64,
    /// Tokens to compute if the engine holds the prefix of its source.
    pub missing_tokens: u32,
    /// Time to compute them, in milliseconds.
    pub prefill_ms: f64,
    /// Network round-trip time to the engine, in milliseconds.
    pub hop_ms: f64,
}

impl Candidate {
    /// Expected time to the first token plus the price of recomputing tokens.
    pub fn cost_ms(&self, price: f64) -> f64 {
        self.wait_ms + self.hop_ms + self.prefill_ms * (1.0 + price)
    }
}

/// Returns up to `count` engines for a prompt, best first. `levels` are those of the
/// prompt, shortest first; `price` is the cost of recomputation relative to its time;
/// `seed` selects the random engines.
pub fn shortlist(
    fleet: &Fleet,
    tokens: u32,
    levels: &[HeatLevel],
    price: f64,
    count: usize,
    seed: u64,
    now: Millis,
) -> Vec<Candidate> {
    let mut candidates: Vec<(usize, Source)> = Vec::new();
    let cached_levels = levels.iter().rev().filter(|level| level.replicas > 0);
    for level in cached_levels.take(MAX_LEVELS) {
        // Engines of shorter levels have more tokens to compute and rarely rank first.
        if candidates.len() >= count + SPARE_ENGINES {
            break;
        }
        let blocks = level.level.blocks;
        let recent = level
            .recent
            .iter()
            .filter_map(|engine| fleet.position(engine));
        for position in recent {
            add_once(&mut candidates, position, Source::Recent(blocks));
        }
        // Engines that served the level certainly hold it, so hashing only selects
        // the missing replicas, but at least one engine: the one that nodes which
        // have not seen the level select as well.
        let missing_replicas = (level.replicas as usize)
            .saturating_sub(level.recent.len())
            .max(1);
        for (order, position) in fleet
            .top(level.level.hash.0, missing_replicas)
            .into_iter()
            .enumerate()
        {
            let holds = order == 0 || level.recent.is_empty();
            let source = if holds {
                Source::Level(blocks)
            } else {
                Source::Random
            };
            add_once(&mut candidates, position, source);
        }
    }
    let random = (0..RANDOM_ENGINES).filter_map(|draw| fleet.pick(mix(seed, draw)));
    for position in random {
        add_once(&mut candidates, position, Source::Random);
    }
    let mut ranked: Vec<Ranked> = candidates
        .into_iter()
        .filter_map(|(position, source)| {
            let jitter = unit_interval(mix(seed ^ JITTER_SALT, position as u64));
            let mut ranked = rank(fleet.get(position)?, source, tokens, price)?;
            ranked.cost_ms += jitter * wait_error_ms(ranked.engine, now);
            Some(ranked)
        })
        .collect();
    ranked.sort_by(|a, b| a.cost_ms.total_cmp(&b.cost_ms));
    ranked.truncate(count);
    ranked.iter().map(Ranked::candidate).collect()
}

/// Removes the engines on which the request failed before. If it failed on all of
/// them, all are kept, because one of them may have recovered.
pub fn without_failed(mut candidates: Vec<Candidate>, failed: &[EngineId]) -> Vec<Candidate> {
    if candidates
        .iter()
        .any(|candidate| !failed.contains(&candidate.engine))
    {
        candidates.retain(|candidate| !failed.contains(&candidate.engine));
    }
    candidates
}

/// A candidate during ranking; borrows the engine so that only selected ones are
/// copied.
struct Ranked<'a> {
    engine: &'a FleetEngine,
    source: Source,
    wait_ms: f64,
    missing_tokens: u32,
    prefill_ms: f64,
    cost_ms: f64,
}

impl Ranked<'_> {
    fn candidate(&self) -> Candidate {
        Candidate {
            engine: self.engine.engine.clone(),
            source: self.source,
            wait_ms: self.wait_ms,
            missing_tokens: self.missing_tokens,
            prefill_ms: self.prefill_ms,
            hop_ms: self.engine.hop_ms,
        }
    }
}

/// Adds an engine unless it was added before, by a longer level.
fn add_once(candidates: &mut Vec<(usize, Source)>, position: usize, source: Source) {
    if !candidates.iter().any(|&(known, _)| known == position) {
        candidates.push((position, source));
    }
}

fn rank(engine: &FleetEngine, source: Source, tokens: u32, price: f64) -> Option<Ranked<'_>> {
    let held = match source {
        Source::Recent(blocks) | Source::Level(blocks) => {
            blocks.saturating_mul(BLOCK_TOKENS as u32)
        }
        Source::Random => 0,
    };
    let missing_tokens = tokens.saturating_sub(held);
    let (wait_ms, rate) = match &engine.digest {
        Some(digest) => (f64::from(digest.wait_ms), f64::from(digest.prefill_rate)),
        None => (UNKNOWN_WAIT_MS, DEFAULT_RATE),
    };
    let prefill_ms = f64::from(missing_tokens) * 1000.0 / rate.max(1.0);
    let price = prefill_price(price, wait_ms);
    let cost_ms = wait_ms + engine.hop_ms + prefill_ms * (1.0 + price);
    cost_ms.is_finite().then_some(Ranked {
        engine,
        source,
        wait_ms,
        missing_tokens,
        prefill_ms,
        cost_ms,
    })
}

/// Milliseconds by which the wait in the engine's digest may be wrong.
fn wait_error_ms(engine: &FleetEngine, now: Millis) -> f64 {
    let age = engine
        .digest
        .as_ref()
        .map_or(0.0, |digest| digest.age(now).as_secs_f64());
    (FRESH_ERROR_MS + AGED_ERROR_MS * age).min(MAX_ERROR_MS)
}

/// Maps a random number to the unit interval.
fn unit_interval(random: u64) -> f64 {
    random as f64 / u64::MAX as f64
}
