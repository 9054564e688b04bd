//! Which endpoints hold which parts of prompts, as far as the nodes know.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::clock::Millis;
use crate::dialect::PromptPart;
use crate::endpoint::EndpointKey;

/// How long an engine is believed to keep a part after its last use there.
const ENGINE_TTL_MS: Millis = 10_000;

/// How long the store of kept KV cache is believed to hold a part after its last use.
const STORE_TTL_MS: Millis = 10_000;

/// How long a part may be read before its reader is given up.
const PREFILL_TIMEOUT_MS: Millis = 4_000;

/// A part within its name space and behind the parts before it.
pub type PartKey = u64;

/// Hash of the name space of parts: model, version of the weights, and the
/// workspace where that one shares with nobody.
pub fn namespace(model: &str, version: u64, isolated_workspace: Option<&str>) -> u64 {
    let seed = xxh3_64_with_seed(model.as_bytes(), version);
    isolated_workspace.map_or(seed, |workspace| {
        xxh3_64_with_seed(workspace.as_bytes(), seed)
    })
}

/// Key of a part within a name space.
pub fn key(namespace: u64, id: u64) -> PartKey {
    xxh3_64_with_seed(&id.to_be_bytes(), namespace)
}

/// Name space as engines see it: version of the weights and namespace.
pub fn salt(version: u64, namespace: u64) -> String {
    format!("{version}-{namespace:x}")
}

/// The namespace that a salt stands for; none when another system made it.
pub fn namespace_of(salt: &str) -> Option<u64> {
    u64::from_str_radix(salt.split_once('-')?.1, 16).ok()
}

/// Keys of the shared parts of a prompt: all but its own last part.
pub fn shared_keys(namespace: u64, parts: &[PromptPart]) -> Vec<(PartKey, u32)> {
    let count = parts.len().saturating_sub(1);
    parts[..count]
        .iter()
        .map(|part| (key(namespace, part.id), part.tokens))
        .collect()
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct EngineCopy {
    prefilled: bool,
    last_used: Millis,
}

#[derive(Clone, Debug, Default)]
struct PartState {
    engines: BTreeMap<EndpointKey, EngineCopy>,
    stored_at: Option<Millis>,
}

/// What is known of one part with regard to one engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartLocation {
    /// The engine holds it.
    Cached,
    /// The engine is reading it.
    Prefilling,
    /// Another engine or the store holds it.
    CachedElsewhere,
    /// Another engine is reading it.
    PrefillingElsewhere,
    /// Nobody is known to hold it.
    Uncached,
}

/// Where parts can be fetched from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FetchSource {
    /// An engine.
    Engine(EndpointKey),
    /// The store of kept KV cache.
    Store,
}

/// Where parts are.
#[derive(Debug, Default)]
pub struct CacheIndex {
    parts: BTreeMap<PartKey, PartState>,
    swept_at: Millis,
}

impl CacheIndex {
    /// Notes that a run which uses `keys` was sent to `engine`.
    pub fn mark_prefilling(&mut self, engine: EndpointKey, keys: &[PartKey], now: Millis) {
        for key in keys {
            let copy = self
                .parts
                .entry(*key)
                .or_default()
                .engines
                .entry(engine)
                .or_insert(EngineCopy {
                    prefilled: false,
                    last_used: now,
                });
            if copy.prefilled && now > copy.last_used + ENGINE_TTL_MS {
                copy.prefilled = false;
            }
            copy.last_used = now;
        }
        self.sweep(now);
    }

    /// Notes that the engine has read all of `keys`, and sent them to the store
    /// if `kept`.
    pub fn mark_cached(&mut self, engine: EndpointKey, keys: &[PartKey], kept: bool, now: Millis) {
        for key in keys {
            let part = self.parts.entry(*key).or_default();
            part.engines.insert(
                engine,
                EngineCopy {
                    prefilled: true,
                    last_used: now,
                },
            );
            if kept || part.stored_at.is_some_and(|at| now <= at + STORE_TTL_MS) {
                part.stored_at = Some(now);
            }
        }
    }

    /// Notes that the engine did not read `keys` after all.
    pub fn clear_prefilling(&mut self, engine: EndpointKey, keys: &[PartKey]) {
        for key in keys {
            if let Some(part) = self.parts.get_mut(key)
                && part
                    .engines
                    .get(&engine)
                    .is_some_and(|copy| !copy.prefilled)
            {
                part.engines.remove(&engine);
            }
        }
    }

    /// Drops all that is known of an engine: it restarted or is gone.
    pub fn remove_engine(&mut self, engine: EndpointKey) {
        for part in self.parts.values_mut() {
            part.engines.remove(&engine);
        }
    }

    /// Notes that the store holds `key`, by its own account.
    pub fn mark_stored(&mut self, key: PartKey, now: Millis) {
        self.parts.entry(key).or_default().stored_at = Some(now);
    }

    /// Where one part is, as seen from `engine`. `is_available` tells which engines can
    /// be fetched from.
    pub fn location(
        &self,
        key: PartKey,
        engine: EndpointKey,
        is_available: impl Fn(EndpointKey) -> bool,
        now: Millis,
    ) -> PartLocation {
        let Some(part) = self.parts.get(&key) else {
            return PartLocation::Uncached;
        };
        match part.engines.get(&engine) {
            Some(copy) if copy.prefilled && now <= copy.last_used + ENGINE_TTL_MS => {
                return PartLocation::Cached;
            }
            Some(copy) if !copy.prefilled && now <= copy.last_used + PREFILL_TIMEOUT_MS => {
                return PartLocation::Prefilling;
            }
            _ => {}
        }
        if part.stored_at.is_some_and(|at| now <= at + STORE_TTL_MS) {
            return PartLocation::CachedElsewhere;
        }
        let mut reading = false;
        for (other, copy) in &part.engines {
            if *other == engine || !is_available(*other) {
                continue;
            }
            if copy.prefilled && now <= copy.last_used + ENGINE_TTL_MS {
                return PartLocation::CachedElsewhere;
            }
            reading |= !copy.prefilled && now <= copy.last_used + PREFILL_TIMEOUT_MS;
        }
        if reading {
            PartLocation::PrefillingElsewhere
        } else {
            PartLocation::Uncached
        }
    }

    /// Who, other than `engine`, holds most of `keys` from the start. An engine
    /// goes before the store when both hold as much.
    pub fn fetch_source(
        &self,
        keys: &[(PartKey, u32)],
        engine: EndpointKey,
        is_available: impl Fn(EndpointKey) -> bool,
        now: Millis,
    ) -> Option<FetchSource> {
        let depth = |holds: &dyn Fn(PartKey) -> bool| {
            keys.iter().take_while(|(key, _)| holds(*key)).count()
        };
        let first = self.parts.get(&keys.first()?.0)?;
        let best = first
            .engines
            .iter()
            .filter(|(other, _)| **other != engine && is_available(**other))
            .map(|(other, copy)| {
                (
                    depth(&|key| self.is_cached(key, *other, now)),
                    copy.last_used,
                    *other,
                )
            })
            .max();
        let stored = depth(&|key| self.is_stored(key, now));
        match best {
            Some((engines, _, other)) if engines > 0 && engines >= stored => {
                Some(FetchSource::Engine(other))
            }
            _ if stored > 0 => Some(FetchSource::Store),
            _ => None,
        }
    }

    fn is_cached(&self, key: PartKey, engine: EndpointKey, now: Millis) -> bool {
        self.parts
            .get(&key)
            .and_then(|part| part.engines.get(&engine))
            .is_some_and(|copy| copy.prefilled && now <= copy.last_used + ENGINE_TTL_MS)
    }

    /// True when the store is believed to hold the part.
    pub fn is_stored(&self, key: PartKey, now: Millis) -> bool {
        self.parts
            .get(&key)
            .and_then(|part| part.stored_at)
            .is_some_and(|at| now <= at + STORE_TTL_MS)
    }

    /// Drops what nobody holds any more, once in a while.
    fn sweep(&mut self, now: Millis) {
        if now < self.swept_at + STORE_TTL_MS {
            return;
        }
        self.swept_at = now;
        self.parts.retain(|_, part| {
            part.engines
                .retain(|_, copy| now <= copy.last_used + ENGINE_TTL_MS);
            part.stored_at = part.stored_at.filter(|at| now <= at + STORE_TTL_MS);
            !part.engines.is_empty() || part.stored_at.is_some()
        });
    }
}
