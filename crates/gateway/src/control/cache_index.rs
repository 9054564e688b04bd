//! Index of the engines and the KV cache store that are believed to hold each part
//! of a prompt.
//!
//! Nodes fill it from their own runs and from gossip, so it may be out of date.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::clock::Millis;
use crate::dialect::PromptPart;
use crate::endpoint::EndpointKey;
use crate::workspaces::Sharing;

/// Time after its last use for which a part is assumed to stay in an engine's
/// cache, in ms.
const ENGINE_TTL_MS: Millis = 10_000;

/// Time after its last use for which a part is assumed to stay in the KV cache
/// store, in ms.
const STORE_TTL_MS: Millis = 10_000;

/// Time after which a part that is still being prefilled is no longer expected from
/// that engine, in ms.
const PREFILL_TIMEOUT_MS: Millis = 4_000;

/// Identifies a prompt part within its namespace and after the parts that precede
/// it.
pub type PartKey = u64;

/// Seed that keeps namespaces that several workspaces share apart from those of one.
const COMMON_SEED: u64 = 1;

/// Hash of the namespace of cached parts: the model, the version of its weights, and with
/// whom they are shared.
pub fn namespace(model: &str, version: u64, sharing: Sharing) -> u64 {
    let seed = xxh3_64_with_seed(model.as_bytes(), version);
    match sharing {
        Sharing::Common { isolation_key: 0 } => seed,
        Sharing::Common { isolation_key } => {
            let key = xxh3_64_with_seed(&isolation_key.to_be_bytes(), COMMON_SEED);
            xxh3_64_with_seed(&key.to_be_bytes(), seed)
        }
        Sharing::Alone(workspace) => xxh3_64_with_seed(workspace.as_bytes(), seed),
    }
}

/// Returns the key of a part within a namespace.
pub fn key(namespace: u64, id: u64) -> PartKey {
    xxh3_64_with_seed(&id.to_be_bytes(), namespace)
}

/// Formats the cache salt that is sent to engines: the version of the weights and
/// the namespace.
pub fn salt(version: u64, namespace: u64) -> String {
    format!("{version}-{namespace:x}")
}

/// Returns the namespace of a salt, or none if the salt does not have the format of
/// [`salt`].
pub fn namespace_of(salt: &str) -> Option<u64> {
    u64::from_str_radix(salt.split_once('-')?.1, 16).ok()
}

/// Keys and token counts of the shared parts of a prompt: all but the last, which
/// is specific to the request.
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

/// Where a part is available, relative to one engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartLocation {
    /// The engine has it in its cache.
    Cached,
    /// The engine is prefilling it.
    Prefilling,
    /// Another engine or the KV cache store has it.
    CachedElsewhere,
    /// Another engine is prefilling it.
    PrefillingElsewhere,
    /// No engine or store is known to have it.
    Uncached,
}

/// Source from which cached parts can be fetched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FetchSource {
    /// Another engine.
    Engine(EndpointKey),
    /// The KV cache store.
    Store,
}

/// Known locations of all parts.
#[derive(Debug, Default)]
pub struct CacheIndex {
    parts: BTreeMap<PartKey, PartState>,
    swept_at: Millis,
}

impl CacheIndex {
    /// Records that a run which uses `keys` was sent to `engine`.
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

    /// Records that the engine holds all of `keys`, and that it sent them to the KV
    /// cache store if `is_stored`.
    pub fn mark_cached(
        &mut self,
        engine: EndpointKey,
        keys: &[PartKey],
        is_stored: bool,
        now: Millis,
    ) {
        for key in keys {
            let part = self.parts.entry(*key).or_default();
            part.engines.insert(
                engine,
                EngineCopy {
                    prefilled: true,
                    last_used: now,
                },
            );
            if is_stored || part.stored_at.is_some_and(|at| now <= at + STORE_TTL_MS) {
                part.stored_at = Some(now);
            }
        }
    }

    /// Records that the engine did not finish prefilling `keys`. Parts that it already
    /// holds are unaffected.
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

    /// Removes all entries of an engine, because it restarted, is gone or dropped its
    /// cache.
    pub fn remove_engine(&mut self, engine: EndpointKey) {
        for part in self.parts.values_mut() {
            part.engines.remove(&engine);
        }
    }

    /// Records that the KV cache store listed `key`.
    pub fn mark_stored(&mut self, key: PartKey, now: Millis) {
        self.parts.entry(key).or_default().stored_at = Some(now);
    }

    /// Returns where a part is available, relative to `engine`. `is_available` tells
    /// which engines parts can be fetched from.
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

    /// Returns the source other than `engine` that holds the longest prefix of `keys`.
    /// An engine is preferred to the store if both hold the same number of parts.
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

    /// Returns true if the KV cache store is assumed to hold the part.
    pub fn is_stored(&self, key: PartKey, now: Millis) -> bool {
        self.parts
            .get(&key)
            .and_then(|part| part.stored_at)
            .is_some_and(|at| now <= at + STORE_TTL_MS)
    }

    /// Removes expired entries, at most once every [`STORE_TTL_MS`].
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
