//! Which endpoints hold which parts of prompts, as far as the nodes know.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::clock::Millis;
use crate::dialect::PromptPart;
use crate::endpoint::EndpointKey;

/// How long an engine is believed to keep a part after its last use there.
const ENGINE_KEEPS_MS: Millis = 10_000;

/// How long the store of kept KV cache is believed to hold a part after its last use.
const STORE_KEEPS_MS: Millis = 10_000;

/// How long a part may be read before its reader is given up.
const READING_MS: Millis = 4_000;

/// A part within its name space and behind the parts before it.
pub type PartKey = u64;

/// Hash of the name space of parts: model, version of the weights, and the
/// workspace where that one shares with nobody.
pub fn scope(model: &str, version: u64, wall: Option<&str>) -> u64 {
    let seed = xxh3_64_with_seed(model.as_bytes(), version);
    wall.map_or(seed, |workspace| {
        xxh3_64_with_seed(workspace.as_bytes(), seed)
    })
}

/// Key of a part within a name space.
pub fn key(scope: u64, id: u64) -> PartKey {
    xxh3_64_with_seed(&id.to_be_bytes(), scope)
}

/// Name space as engines see it: version of the weights and scope.
pub fn salt(version: u64, scope: u64) -> String {
    format!("{version}-{scope:x}")
}

/// The scope that a salt stands for; none when another system made it.
pub fn scope_of(salt: &str) -> Option<u64> {
    u64::from_str_radix(salt.split_once('-')?.1, 16).ok()
}

/// Keys of the shared parts of a prompt: all but its own last part.
pub fn shared(scope: u64, parts: &[PromptPart]) -> Vec<(PartKey, u32)> {
    let count = parts.len().saturating_sub(1);
    parts[..count]
        .iter()
        .map(|part| (key(scope, part.id), part.tokens))
        .collect()
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Holder {
    ready: bool,
    at: Millis,
}

#[derive(Clone, Debug, Default)]
struct Part {
    engines: BTreeMap<EndpointKey, Holder>,
    stored_at: Option<Millis>,
}

/// What is known of one part with regard to one engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// The engine holds it.
    Here,
    /// The engine is reading it.
    Coming,
    /// Another engine or the store holds it.
    Elsewhere,
    /// Another engine is reading it.
    ReadElsewhere,
    /// Nobody is known to hold it.
    Nowhere,
}

/// Where parts can be fetched from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// An engine.
    Engine(EndpointKey),
    /// The store of kept KV cache.
    Store,
}

/// Where parts are.
#[derive(Debug, Default)]
pub struct Parts {
    parts: BTreeMap<PartKey, Part>,
    swept: Millis,
}

impl Parts {
    /// Notes that a run which uses `keys` was sent to `engine`.
    pub fn sent(&mut self, engine: EndpointKey, keys: &[PartKey], now: Millis) {
        for key in keys {
            let holder = self
                .parts
                .entry(*key)
                .or_default()
                .engines
                .entry(engine)
                .or_insert(Holder {
                    ready: false,
                    at: now,
                });
            if holder.ready && now > holder.at + ENGINE_KEEPS_MS {
                holder.ready = false;
            }
            holder.at = now;
        }
        self.sweep(now);
    }

    /// Notes that the engine has read all of `keys`, and sent them to the store
    /// if `kept`.
    pub fn read(&mut self, engine: EndpointKey, keys: &[PartKey], kept: bool, now: Millis) {
        for key in keys {
            let part = self.parts.entry(*key).or_default();
            part.engines.insert(
                engine,
                Holder {
                    ready: true,
                    at: now,
                },
            );
            if kept || part.stored_at.is_some_and(|at| now <= at + STORE_KEEPS_MS) {
                part.stored_at = Some(now);
            }
        }
    }

    /// Notes that the engine did not read `keys` after all.
    pub fn failed(&mut self, engine: EndpointKey, keys: &[PartKey]) {
        for key in keys {
            if let Some(part) = self.parts.get_mut(key)
                && part
                    .engines
                    .get(&engine)
                    .is_some_and(|holder| !holder.ready)
            {
                part.engines.remove(&engine);
            }
        }
    }

    /// Drops all that is known of an engine: it restarted or is gone.
    pub fn forget(&mut self, engine: EndpointKey) {
        for part in self.parts.values_mut() {
            part.engines.remove(&engine);
        }
    }

    /// Notes that the store holds `key`, by its own account.
    pub fn listed_in_store(&mut self, key: PartKey, now: Millis) {
        self.parts.entry(key).or_default().stored_at = Some(now);
    }

    /// Where one part is, as seen from `engine`. `alive` tells which engines can
    /// be fetched from.
    pub fn presence(
        &self,
        key: PartKey,
        engine: EndpointKey,
        alive: impl Fn(EndpointKey) -> bool,
        now: Millis,
    ) -> Presence {
        let Some(part) = self.parts.get(&key) else {
            return Presence::Nowhere;
        };
        match part.engines.get(&engine) {
            Some(holder) if holder.ready && now <= holder.at + ENGINE_KEEPS_MS => {
                return Presence::Here;
            }
            Some(holder) if !holder.ready && now <= holder.at + READING_MS => {
                return Presence::Coming;
            }
            _ => {}
        }
        if part.stored_at.is_some_and(|at| now <= at + STORE_KEEPS_MS) {
            return Presence::Elsewhere;
        }
        let mut reading = false;
        for (other, holder) in &part.engines {
            if *other == engine || !alive(*other) {
                continue;
            }
            if holder.ready && now <= holder.at + ENGINE_KEEPS_MS {
                return Presence::Elsewhere;
            }
            reading |= !holder.ready && now <= holder.at + READING_MS;
        }
        if reading {
            Presence::ReadElsewhere
        } else {
            Presence::Nowhere
        }
    }

    /// Who, other than `engine`, holds most of `keys` from the start. An engine
    /// goes before the store when both hold as much.
    pub fn source(
        &self,
        keys: &[(PartKey, u32)],
        engine: EndpointKey,
        alive: impl Fn(EndpointKey) -> bool,
        now: Millis,
    ) -> Option<Source> {
        let depth = |holds: &dyn Fn(PartKey) -> bool| {
            keys.iter().take_while(|(key, _)| holds(*key)).count()
        };
        let first = self.parts.get(&keys.first()?.0)?;
        let best = first
            .engines
            .iter()
            .filter(|(other, _)| **other != engine && alive(**other))
            .map(|(other, holder)| (depth(&|key| self.held(key, *other, now)), holder.at, *other))
            .max();
        let stored = depth(&|key| self.stored(key, now));
        match best {
            Some((engines, _, other)) if engines > 0 && engines >= stored => {
                Some(Source::Engine(other))
            }
            _ if stored > 0 => Some(Source::Store),
            _ => None,
        }
    }

    fn held(&self, key: PartKey, engine: EndpointKey, now: Millis) -> bool {
        self.parts
            .get(&key)
            .and_then(|part| part.engines.get(&engine))
            .is_some_and(|holder| holder.ready && now <= holder.at + ENGINE_KEEPS_MS)
    }

    /// True when the store is believed to hold the part.
    pub fn stored(&self, key: PartKey, now: Millis) -> bool {
        self.parts
            .get(&key)
            .and_then(|part| part.stored_at)
            .is_some_and(|at| now <= at + STORE_KEEPS_MS)
    }

    /// Drops what nobody holds any more, once in a while.
    fn sweep(&mut self, now: Millis) {
        if now < self.swept + STORE_KEEPS_MS {
            return;
        }
        self.swept = now;
        self.parts.retain(|_, part| {
            part.engines
                .retain(|_, holder| now <= holder.at + ENGINE_KEEPS_MS);
            part.stored_at = part.stored_at.filter(|at| now <= at + STORE_KEEPS_MS);
            !part.engines.is_empty() || part.stored_at.is_some()
        });
    }
}
