//! Simulates a load on LRU caches, to determine the best possible hit rate and the
//! engine time that the load requires.

use std::collections::BTreeMap;

use flamingolock_core::prefix::BLOCK_TOKENS;
use flamingolock_core::prelude::*;
use flamingolock_standins::engine::EngineOptions;

use crate::fleet::FleetOptions;
use crate::workload::{Arrival, KindLoad, MODEL, WEIGHTS, Work};

/// LRU cache of blocks.
struct LruBlocks {
    capacity: usize,
    last_uses: BTreeMap<BlockHash, u64>,
    by_last_use: BTreeMap<u64, BlockHash>,
    use_count: u64,
}

impl LruBlocks {
    fn new(capacity: usize) -> Self {
        Self {
            capacity,
            last_uses: BTreeMap::new(),
            by_last_use: BTreeMap::new(),
            use_count: 0,
        }
    }

    /// Accesses the blocks of a prompt and returns how many leading ones were cached.
    fn access(&mut self, blocks: &[BlockHash]) -> usize {
        let present = |block: &&BlockHash| self.last_uses.contains_key(block);
        let hits = blocks.iter().take_while(present).count();
        // Later blocks are useless without the earlier ones. The first block is therefore
        // accessed last, so that it is evicted last.
        for block in blocks.iter().rev() {
            self.use_count += 1;
            if let Some(old) = self.last_uses.insert(*block, self.use_count) {
                self.by_last_use.remove(&old);
            }
            self.by_last_use.insert(self.use_count, *block);
        }
        while self.last_uses.len() > self.capacity {
            let Some((_, oldest)) = self.by_last_use.pop_first() else {
                break;
            };
            self.last_uses.remove(&oldest);
        }
        hits
    }
}

/// Returns the fraction of prompt tokens that a single cache of `blocks` blocks would
/// have hit, counted over the requests from `since` on.
pub fn best_hit_rate(arrivals: &[Arrival], blocks: usize, since: Millis) -> f64 {
    let mut cache = LruBlocks::new(blocks);
    let (mut cached, mut all) = (0_u64, 0_u64);
    for arrival in arrivals {
        let Some(chain) = chain(arrival) else {
            continue;
        };
        let hits = cache.access(&chain.blocks);
        if arrival.at >= since {
            cached += (hits * BLOCK_TOKENS) as u64;
            all += u64::from(chain.tokens);
        }
    }
    cached as f64 / all.max(1) as f64
}

/// Average engine time per request of a load. The average includes requests that don't
/// use an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Prefill time in seconds. An engine runs one prefill at a time.
    pub prefill_s: f64,
    /// Time in seconds for which a batch slot is occupied.
    pub slot_s: f64,
}

impl Demand {
    /// Estimates the demand of a load whose prompts are assigned to engines by the hash of
    /// their second level, with a separate cache per engine. This is what placement by
    /// prefix achieves without replication, so it is a reasonable estimate of the tokens
    /// that are not cached.
    pub fn estimate(arrivals: &[Arrival], kinds: &[KindLoad], fleet: &FleetOptions) -> Self {
        let engine = &fleet.engine;
        let mut caches: Vec<LruBlocks> = (0..fleet.engines)
            .map(|_| LruBlocks::new(engine.capacity_blocks))
            .collect();
        let mut total = Self::default();
        // The first half warms up the caches.
        let half = arrivals.len() / 2;
        for (index, arrival) in arrivals.iter().enumerate() {
            let (Some(chain), Work::Completion { answer_tokens, .. }) =
                (chain(arrival), &arrival.work)
            else {
                continue;
            };
            let cache = &mut caches[engine_index(&chain, arrival, kinds, fleet.engines)];
            let hits = cache.access(&chain.blocks);
            if index >= half {
                total.add(chain.missing_tokens(hits), *answer_tokens, engine);
            }
        }
        let count = (arrivals.len() - half).max(1) as f64;
        Self {
            prefill_s: total.prefill_s / count,
            slot_s: total.slot_s / count,
        }
    }

    fn add(&mut self, missing: u32, answer_tokens: u32, engine: &EngineOptions) {
        let prefill = f64::from(missing.max(1)) / engine.prefill_tokens_per_s;
        self.prefill_s += prefill;
        self.slot_s += prefill + f64::from(answer_tokens) * engine.decode_ms / 1000.0;
    }

    /// Returns the requests per second that bring a fleet to `load`, the utilisation of
    /// its busier resource: prefill or batch slots.
    pub fn rate(&self, load: f64, fleet: &FleetOptions) -> f64 {
        let slots = fleet.engine.slots.max(1) as f64;
        let busiest = self.prefill_s.max(self.slot_s / slots);
        load * fleet.engines as f64 / busiest.max(1e-9)
    }
}

fn engine_index(
    chain: &PrefixChain,
    arrival: &Arrival,
    kinds: &[KindLoad],
    engines: usize,
) -> usize {
    let kind = kinds.iter().find(|kind| kind.name == arrival.kind);
    let tokens = kind.map_or(0, |kind| kind.level_tokens[0] + kind.level_tokens[1]);
    let last = (tokens / BLOCK_TOKENS).saturating_sub(1);
    let hash = chain.blocks.get(last).map_or(0, |block| block.0);
    (hash % engines.max(1) as u64) as usize
}

fn chain(arrival: &Arrival) -> Option<PrefixChain> {
    let Work::Completion { prompt, .. } = &arrival.work else {
        return None;
    };
    let (model, weights) = (ModelName::from(MODEL), WeightsVersion::from(WEIGHTS));
    let seed = PrefixSeed::new(&arrival.workspace, &model, &weights, None);
    Some(PrefixChain::new(seed, prompt.as_bytes()))
}
