//! Deterministic fold of the claims stream.
//!
//! The first claim of a call by offset wins. A closing voids the claims that its
//! incarnation makes after it. Every verdict depends only on the record's own
//! time and on records of a bounded time before it, so that a reader which starts
//! in the middle of the stream agrees with all others once it has read that far.

use std::collections::{BTreeMap, BTreeSet};

use crate::call_key::CallKey;
use crate::prelude::*;
use crate::record::{CallId, Claim, ClaimBatch, LogEntry, NodeIncarnation, Record, Unreadable};

/// Time limits that all nodes share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimRules {
    /// A key is refused when it is older than this.
    pub window: Millis,
    /// How far two clocks may differ, and how far log time may step back.
    pub skew: Millis,
}

impl Default for ClaimRules {
    fn default() -> Self {
        Self {
            window: Millis(10 * 60 * 1000),
            skew: Millis(30 * 1000),
        }
    }
}

impl ClaimRules {
    /// How long a closing voids claims. Keys that were made up to the skew after
    /// the closing have expired by then.
    pub fn closing_life(&self) -> Millis {
        self.window + self.skew + self.skew
    }

    /// How much of the stream a reader needs before its verdicts are those of
    /// all others. The log has to keep records for longer.
    pub fn horizon(&self) -> Millis {
        self.window + self.skew + self.closing_life() + self.skew
    }

    /// True when a key made at `made_at` is refused at `at`.
    pub fn is_expired(&self, made_at: Millis, at: Millis) -> bool {
        at > made_at + self.window
    }

    /// True when a key made at `made_at` comes from a clock too far ahead.
    pub fn is_early(&self, made_at: Millis, at: Millis) -> bool {
        made_at > at + self.skew
    }
}

/// A claim that won.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldClaim {
    /// The only one that may send the call.
    pub owner: NodeIncarnation,
    /// Digest of the request body.
    pub digest: String,
    /// Where the claim stands.
    pub offset: Offset,
}

/// What became of one claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The owner may send the call.
    Won,
    /// Another incarnation claimed it before.
    Held(HeldClaim),
    /// The owner was closed before.
    Closed,
    /// The key was too old for the claim.
    Expired,
    /// The key is from a clock too far ahead.
    Early,
    /// This reader has not read enough of the stream to tell.
    Unsettled,
}

/// The verdict on one claim of a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimVerdict {
    /// The call.
    pub call: CallId,
    /// Who claimed it.
    pub owner: NodeIncarnation,
    /// What became of the claim.
    pub verdict: Verdict,
}

/// What a record did to the fold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimsApplied {
    /// Claims were judged.
    Decided(Vec<ClaimVerdict>),
    /// An incarnation is closed.
    Closed(NodeIncarnation),
    /// A record that does not belong into this stream.
    WrongStream,
    /// A record that this version cannot read; nothing changed.
    Unreadable(Unreadable),
    /// The record was applied before; the fold did not move.
    AlreadyApplied,
    /// Records are missing before this one; the fold did not move.
    Gap {
        /// The offset that is needed next.
        expected: Offset,
    },
}

/// What the log says about a call whose owner is lost.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LostCall {
    /// The owner claimed it and may have sent it.
    Claimed(HeldClaim),
    /// It was not claimed before its owner was closed: it never ran and never will.
    NeverRun,
    /// The owner has to be closed first.
    NeedsClosing,
    /// The key is older than what the log tells.
    Expired,
    /// This reader has not read enough of the stream to tell.
    Unsettled,
}

/// State of the claims stream at one offset.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimFold {
    rules: ClaimRules,
    next: Offset,
    clock: Millis,
    /// Every record after this time was read; none when all were.
    since: Option<Millis>,
    claims: BTreeMap<CallId, HeldClaim>,
    claim_ends: BTreeSet<(Millis, CallId)>,
    /// Log time of the last closing of each incarnation.
    closings: BTreeMap<NodeIncarnation, Millis>,
    closing_ends: BTreeSet<(Millis, NodeIncarnation)>,
}

impl ClaimFold {
    /// A fold that will read the stream from its very first record.
    pub fn new(rules: ClaimRules) -> Self {
        Self {
            rules,
            next: Offset(0),
            clock: Millis(0),
            since: None,
            claims: BTreeMap::new(),
            claim_ends: BTreeSet::new(),
            closings: BTreeMap::new(),
            closing_ends: BTreeSet::new(),
        }
    }

    /// A fold that starts in the middle of the stream. `since` is a time after
    /// which no record before `start` was written: the time of the oldest kept
    /// record or, when that is earlier, the time now by the log's own clock less
    /// its retention. The latter keeps a log that was idle for long from looking
    /// incomplete. A node's clock will not do, since it may be behind.
    pub fn starting_at(rules: ClaimRules, start: Offset, since: Millis) -> Self {
        Self {
            next: start,
            since: (start > Offset(0)).then_some(since),
            ..Self::new(rules)
        }
    }

    /// The offset that is needed next; every record before it is applied.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// The shared time limits.
    pub fn rules(&self) -> &ClaimRules {
        &self.rules
    }

    /// Remembered claims and closings.
    pub fn len(&self) -> usize {
        self.claims.len() + self.closings.len()
    }

    /// True when nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// True once verdicts are those of all other readers.
    pub fn is_settled(&self) -> bool {
        let horizon = self.rules.horizon();
        self.since.is_none_or(|since| self.clock > since + horizon)
    }

    /// The claim that won a call.
    pub fn claim(&self, call: &CallId) -> Option<&HeldClaim> {
        self.claims.get(call)
    }

    /// True when claims of this incarnation are void now.
    pub fn is_closed(&self, node: &NodeIncarnation) -> bool {
        self.closings.contains_key(node)
    }

    /// Applies the next record of the stream.
    pub fn apply(&mut self, entry: &LogEntry) -> ClaimsApplied {
        if entry.offset < self.next {
            return ClaimsApplied::AlreadyApplied;
        }
        if entry.offset > self.next {
            return ClaimsApplied::Gap {
                expected: self.next,
            };
        }
        self.next = entry.offset.next();
        self.clock = self.clock.max(entry.time);
        self.forget();
        match &entry.record {
            Record::Claims(batch) => ClaimsApplied::Decided(self.decide_batch(entry, batch)),
            Record::Closing(closing) => {
                self.close(&closing.node, entry);
                ClaimsApplied::Closed(closing.node.clone())
            }
            Record::Unreadable(unreadable) => ClaimsApplied::Unreadable(unreadable.clone()),
            _ => ClaimsApplied::WrongStream,
        }
    }

    /// What the log says about a journalled call of a lost owner.
    pub fn lost_call(&self, key: &CallKey, owner: &NodeIncarnation) -> LostCall {
        if let Some(claim) = self.claims.get(&key.id) {
            return LostCall::Claimed(claim.clone());
        }
        if self.rules.is_expired(key.made_at, self.clock) {
            // The claim may have been there and be forgotten.
            return LostCall::Expired;
        }
        // A closing that is much older than the key would lapse before the key
        // expires, and then no longer keep its owner from claiming it.
        let covers = |closed: &Millis| key.made_at <= *closed + self.rules.skew;
        if !self.closings.get(owner).is_some_and(covers) {
            return LostCall::NeedsClosing;
        }
        if self.is_settled() {
            LostCall::NeverRun
        } else {
            LostCall::Unsettled
        }
    }

    fn decide_batch(&mut self, entry: &LogEntry, batch: &ClaimBatch) -> Vec<ClaimVerdict> {
        let settled = self.is_settled();
        let mut judged = Vec::with_capacity(batch.claims.len());
        for claim in &batch.claims {
            let verdict = self.decide(entry, &batch.owner, claim);
            // An unsettled reader may have missed an earlier claim or closing.
            let verdict = if settled { verdict } else { Verdict::Unsettled };
            judged.push(ClaimVerdict {
                call: claim.call.clone(),
                owner: batch.owner.clone(),
                verdict,
            });
        }
        judged
    }

    fn decide(&mut self, entry: &LogEntry, owner: &NodeIncarnation, claim: &Claim) -> Verdict {
        let rules = self.rules;
        if rules.is_expired(claim.made_at, entry.time) {
            return Verdict::Expired;
        }
        if rules.is_early(claim.made_at, entry.time) {
            return Verdict::Early;
        }
        let voids = |closed: &Millis| entry.time <= *closed + rules.closing_life();
        if self.closings.get(owner).is_some_and(voids) {
            return Verdict::Closed;
        }
        if let Some(held) = self.claims.get(&claim.call) {
            return if held.owner == *owner {
                Verdict::Won
            } else {
                Verdict::Held(held.clone())
            };
        }
        self.hold(entry.offset, owner, claim);
        Verdict::Won
    }

    fn hold(&mut self, offset: Offset, owner: &NodeIncarnation, claim: &Claim) {
        let end = claim.made_at + self.rules.window + self.rules.skew;
        self.claim_ends.insert((end, claim.call.clone()));
        let held = HeldClaim {
            owner: owner.clone(),
            digest: claim.digest.clone(),
            offset,
        };
        self.claims.insert(claim.call.clone(), held);
    }

    fn close(&mut self, node: &NodeIncarnation, entry: &LogEntry) {
        let life = self.rules.closing_life() + self.rules.skew;
        let old = self.closings.get(node).copied();
        // Log time may step back a little, but a closing never gets shorter.
        let at = old.map_or(entry.time, |old| entry.time.max(old));
        if let Some(old) = old {
            self.closing_ends.remove(&(old + life, node.clone()));
        }
        self.closings.insert(node.clone(), at);
        self.closing_ends.insert((at + life, node.clone()));
    }

    fn forget(&mut self) {
        let clock = self.clock;
        while self.claim_ends.first().is_some_and(|(end, _)| *end < clock) {
            if let Some((_, call)) = self.claim_ends.pop_first() {
                self.claims.remove(&call);
            }
        }
        while self
            .closing_ends
            .first()
            .is_some_and(|(end, _)| *end < clock)
        {
            if let Some((_, node)) = self.closing_ends.pop_first() {
                self.closings.remove(&node);
            }
        }
    }
}
