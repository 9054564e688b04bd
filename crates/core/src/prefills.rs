//! Prefills in progress on one engine.
//!
//! An engine computes prompts one after the other, so the prefills form a line
//! whose end says when the next one can begin. A later request with the same
//! prefix may wait for its computation instead of repeating it.

use std::collections::BTreeMap;

use crate::levels::Level;
use crate::permit::PermitId;
use crate::prelude::*;

/// A prefill whose first token is overdue by this is no longer waited for.
const GRACE_MS: u64 = 250;

/// One prompt that an engine is computing or about to compute.
#[derive(Clone, Debug)]
struct Prefill {
    /// Prefixes that become available at the end.
    levels: Vec<Level>,
    /// Time that the computation takes, in milliseconds.
    span_ms: f64,
    /// Expected end.
    finish: Millis,
}

/// A prefix that a prefill in progress will make available.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SharedPrefill {
    /// Blocks in the prefix.
    pub blocks: u32,
    /// Expected end of its computation.
    pub ready: Millis,
    /// The permit that computes it.
    pub permit: PermitId,
}

/// Prefills of one engine in the order in which they were dispatched.
#[derive(Clone, Debug, Default)]
pub struct Prefills {
    line: BTreeMap<PermitId, Prefill>,
    by_hash: BTreeMap<BlockHash, PermitId>,
}

impl Prefills {
    /// Number of prefills in progress.
    pub fn len(&self) -> usize {
        self.line.len()
    }

    /// True when no prefill is in progress.
    pub fn is_empty(&self) -> bool {
        self.line.is_empty()
    }

    /// True when the permit's first token is still expected.
    pub fn contains(&self, permit: PermitId) -> bool {
        self.line.contains_key(&permit)
    }

    /// When the last prefill is expected to end; `now` when there is none.
    pub fn free_at(&self, now: Millis) -> Millis {
        let last = self.line.values().map(|prefill| prefill.finish).max();
        last.map_or(now, |finish| finish.max(now))
    }

    /// Adds a prefill of `span_ms` milliseconds that makes `levels` available.
    /// Returns its expected end.
    pub fn begin(
        &mut self,
        permit: PermitId,
        levels: &[Level],
        span_ms: f64,
        now: Millis,
    ) -> Millis {
        let finish = after(self.free_at(now), span_ms);
        for level in levels {
            self.by_hash.entry(level.hash).or_insert(permit);
        }
        let prefill = Prefill {
            levels: levels.to_vec(),
            span_ms,
            finish,
        };
        self.line.insert(permit, prefill);
        finish
    }

    /// Removes a prefill that ended or was given up, and moves the later ones up.
    /// Returns its levels if it was in progress.
    pub fn end(&mut self, permit: PermitId, now: Millis) -> Option<Vec<Level>> {
        let prefill = self.line.remove(&permit)?;
        for level in &prefill.levels {
            if self.by_hash.get(&level.hash) == Some(&permit) {
                self.by_hash.remove(&level.hash);
            }
        }
        let before = self.line.range(..permit).next_back();
        let mut cursor = before.map_or(now, |(_, prefill)| prefill.finish.max(now));
        for (_, later) in self.line.range_mut(permit..) {
            cursor = after(cursor, later.span_ms);
            // A batching engine may have begun it already.
            later.finish = later.finish.min(cursor);
            cursor = later.finish.max(now);
        }
        Some(prefill.levels)
    }

    /// The longest of the levels that is being computed.
    pub fn longest(&self, levels: &[Level]) -> Option<SharedPrefill> {
        levels.iter().rev().find_map(|level| {
            let permit = *self.by_hash.get(&level.hash)?;
            let prefill = self.line.get(&permit)?;
            Some(SharedPrefill {
                blocks: level.blocks,
                ready: prefill.finish,
                permit,
            })
        })
    }

    /// Removes prefills whose first token is long overdue and returns their levels.
    /// Their entry node may have failed to report it.
    pub fn expire(&mut self, now: Millis) -> Vec<Vec<Level>> {
        let overdue: Vec<PermitId> = self
            .line
            .iter()
            .filter(|(_, prefill)| expiry(prefill) <= now)
            .map(|(permit, _)| *permit)
            .collect();
        overdue
            .into_iter()
            .filter_map(|permit| self.end(permit, now))
            .collect()
    }

    /// When the next prefill becomes overdue.
    pub fn next_expiry(&self) -> Option<Millis> {
        self.line.values().map(expiry).min()
    }

    /// Removes all prefills.
    pub fn clear(&mut self) {
        self.line.clear();
        self.by_hash.clear();
    }
}

/// A long prefill may be late in proportion.
fn expiry(prefill: &Prefill) -> Millis {
    after(prefill.finish, prefill.span_ms) + Millis(GRACE_MS)
}

/// The point `span_ms` after `start`, to the nearest millisecond.
fn after(start: Millis, span_ms: f64) -> Millis {
    start + Millis(span_ms.max(0.0).round() as u64)
}
