//! Shortlist of the engines that are worth a probe for one request.
//!
//! For every prefix level rendezvous hashing names the engines that should hold it,
//! as many as the level has replicas. Two random engines are added, so that work
//! can leave an overloaded set. Digests, which may be a second old, rank them.

use serde::{Deserialize, Serialize};

use crate::fleet::{Fleet, FleetEngine, mix};
use crate::home_message::Prompt;
use crate::levels::Level;
use crate::prefill_rate::DEFAULT_RATE;
use crate::prefix::BLOCK_TOKENS;
use crate::prelude::*;

/// Levels that are looked up, from the longest on.
pub const MAX_LEVELS: usize = 6;

/// Random engines in each shortlist.
const RANDOM_ENGINES: u64 = 2;

/// Wait that is assumed of an engine without a digest, in milliseconds.
const UNKNOWN_WAIT_MS: f64 = 20.0;

/// Milliseconds of wait that are assumed for each second of a digest's age.
const AGE_MS_PER_S: f64 = 10.0;

/// Largest wait that is assumed for the age of a digest, in milliseconds.
const MAX_AGE_MS: f64 = 100.0;

/// Why an engine was considered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Source {
    /// Rendezvous hashing assigns it a prefix of this many blocks.
    Level(u32),
    /// It was drawn at random.
    Random,
}

/// An engine that is worth a probe.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Candidate {
    /// The engine.
    pub engine: EngineId,
    /// Why it was considered.
    pub source: Source,
    /// Wait before the prefill begins by the digest, in milliseconds.
    pub wait_ms: f64,
    /// Tokens to compute if it holds the prefix that it is assigned.
    pub missing_tokens: u32,
    /// Time to compute them, in milliseconds.
    pub prefill_ms: f64,
    /// Time to the engine and back, in milliseconds.
    pub hop_ms: f64,
}

impl Candidate {
    /// Expected time to the first token plus the price of computing tokens again.
    pub fn cost_ms(&self, price: f64) -> f64 {
        self.wait_ms + self.hop_ms + self.prefill_ms * (1.0 + price)
    }
}

/// Returns up to `count` engines for the prompt, best first. `replicas` says how
/// many engines should hold a level; `price` is the cost of recomputation relative
/// to its time; `seed` draws the random engines.
pub fn shortlist(
    fleet: &Fleet,
    prompt: &Prompt,
    replicas: impl Fn(&Level) -> usize,
    price: f64,
    count: usize,
    seed: u64,
    now: Millis,
) -> Vec<Candidate> {
    let mut found: Vec<(usize, Source)> = Vec::new();
    for level in prompt.levels.iter().rev().take(MAX_LEVELS) {
        for position in fleet.top(level.hash.0, replicas(level).max(1)) {
            add(&mut found, position, Source::Level(level.blocks));
        }
    }
    let drawn = (0..RANDOM_ENGINES).filter_map(|draw| fleet.pick(mix(seed, draw)));
    for position in drawn {
        add(&mut found, position, Source::Random);
    }
    let mut ranked: Vec<Ranked> = found
        .into_iter()
        .filter_map(|(position, source)| rank(fleet.get(position)?, source, prompt, price, now))
        .collect();
    ranked.sort_by(|a, b| a.cost_ms.total_cmp(&b.cost_ms));
    ranked.truncate(count);
    ranked.iter().map(Ranked::candidate).collect()
}

/// An engine under consideration; borrows to avoid copies of those not taken.
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

/// Adds an engine unless a longer level has named it already.
fn add(found: &mut Vec<(usize, Source)>, position: usize, source: Source) {
    if !found.iter().any(|&(known, _)| known == position) {
        found.push((position, source));
    }
}

fn rank<'a>(
    engine: &'a FleetEngine,
    source: Source,
    prompt: &Prompt,
    price: f64,
    now: Millis,
) -> Option<Ranked<'a>> {
    let held = match source {
        Source::Level(blocks) => blocks.saturating_mul(BLOCK_TOKENS as u32),
        Source::Random => 0,
    };
    let missing_tokens = prompt.tokens.saturating_sub(held);
    let (wait_ms, rate) = match &engine.digest {
        Some(digest) => {
            let age_ms = (digest.age(now).as_secs_f64() * AGE_MS_PER_S).min(MAX_AGE_MS);
            (
                f64::from(digest.wait_ms) + age_ms,
                f64::from(digest.prefill_rate),
            )
        }
        None => (UNKNOWN_WAIT_MS, DEFAULT_RATE),
    };
    let prefill_ms = f64::from(missing_tokens) * 1000.0 / rate.max(1.0);
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
