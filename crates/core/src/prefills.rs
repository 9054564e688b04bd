//! Prefills in progress on one engine.
//!
//! An engine computes prompts one after the other, so the prefills form a queue, and
//! the next one can begin when the last one ends. A later request with the same prefix
//! may wait for its computation instead of repeating it.

use std::collections::BTreeMap;

use crate::levels::Level;
use crate::permit::PermitId;
use crate::prelude::*;

/// Part of the tolerance for a late first token, after which a prefill is removed.
const FIRST_TOKEN_GRACE_MS: u64 = 250;

/// A prompt that an engine computes or will compute next.
#[derive(Clone, Debug)]
struct Prefill {
    /// Prefixes that are available when the prefill ends.
    levels: Vec<Level>,
    /// Duration of the computation, in milliseconds.
    span_ms: f64,
    /// Expected end of the prefill.
    finish: Millis,
}

/// A prefix that a prefill in progress will make available.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SharedPrefill {
    /// Blocks in the prefix.
    pub blocks: u32,
    /// Expected end of its computation.
    pub ready: Millis,
    /// The permit whose prefill computes it.
    pub permit: PermitId,
}

/// Prefills of one engine, in the order in which they were dispatched.
#[derive(Clone, Debug, Default)]
pub struct Prefills {
    queue: BTreeMap<PermitId, Prefill>,
    by_hash: BTreeMap<BlockHash, PermitId>,
}

impl Prefills {
    /// Number of prefills in progress.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// True if no prefill is in progress.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// True if the first token of the permit is still expected.
    pub fn contains(&self, permit: PermitId) -> bool {
        self.queue.contains_key(&permit)
    }

    /// Time at which the last prefill is expected to end; `now` if there is none.
    pub fn free_at(&self, now: Millis) -> Millis {
        let last = self.queue.values().map(|prefill| prefill.finish).max();
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
        let finish = add_span(self.free_at(now), span_ms);
        for level in levels {
            self.by_hash.entry(level.hash).or_insert(permit);
        }
        let prefill = Prefill {
            levels: levels.to_vec(),
            span_ms,
            finish,
        };
        self.queue.insert(permit, prefill);
        finish
    }

    /// Removes a prefill that ended or was abandoned, and moves the expected end of later
    /// ones forward. Returns its levels if it was in progress.
    pub fn end(&mut self, permit: PermitId, now: Millis) -> Option<Vec<Level>> {
        let prefill = self.queue.remove(&permit)?;
        for level in &prefill.levels {
            if self.by_hash.get(&level.hash) == Some(&permit) {
                self.by_hash.remove(&level.hash);
            }
        }
        let before = self.queue.range(..permit).next_back();
        let mut cursor = before.map_or(now, |(_, prefill)| prefill.finish.max(now));
        for (_, later) in self.queue.range_mut(permit..) {
            cursor = add_span(cursor, later.span_ms);
            // An engine that batches prefills may have begun it already, so the expected
            // end never moves back.
            later.finish = later.finish.min(cursor);
            cursor = later.finish.max(now);
        }
        Some(prefill.levels)
    }

    /// Returns the longest of the levels that a prefill in progress computes.
    pub fn longest(&self, levels: &[Level]) -> Option<SharedPrefill> {
        levels.iter().rev().find_map(|level| {
            let permit = *self.by_hash.get(&level.hash)?;
            let prefill = self.queue.get(&permit)?;
            Some(SharedPrefill {
                blocks: level.blocks,
                ready: prefill.finish,
                permit,
            })
        })
    }

    /// Removes prefills whose first token is long overdue and returns their levels. Their
    /// entry nodes may have failed to report the first token.
    pub fn expire(&mut self, now: Millis) -> Vec<Vec<Level>> {
        let overdue: Vec<PermitId> = self
            .queue
            .iter()
            .filter(|(_, prefill)| expiry(prefill) <= now)
            .map(|(permit, _)| *permit)
            .collect();
        overdue
            .into_iter()
            .filter_map(|permit| self.end(permit, now))
            .collect()
    }

    /// Time at which the next prefill becomes overdue.
    pub fn next_expiry(&self) -> Option<Millis> {
        self.queue.values().map(expiry).min()
    }

    /// Removes all prefills.
    pub fn clear(&mut self) {
        self.queue.clear();
        self.by_hash.clear();
    }
}

/// Time at which a prefill is removed without a first token. The tolerance grows with the
/// duration of the prefill.
fn expiry(prefill: &Prefill) -> Millis {
    add_span(prefill.finish, prefill.span_ms) + Millis(FIRST_TOKEN_GRACE_MS)
}

/// Time `span_ms` after `start`, rounded to a millisecond.
fn add_span(start: Millis, span_ms: f64) -> Millis {
    start + Millis(span_ms.max(0.0).round() as u64)
}
