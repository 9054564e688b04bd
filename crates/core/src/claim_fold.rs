//! Deterministic fold of the claims stream.
//!
//! The first claim of a call by offset wins. A closing voids all later claims of its
//! node incarnation. Every verdict depends only on the time of the record itself and
//! on records within a bounded time before it. A reader that starts in the middle of
//! the stream therefore reaches the same verdicts as all others once it has read
//! [`ClaimRules::horizon`] of the stream.

use std::collections::{BTreeMap, BTreeSet};

use crate::call_key::CallKey;
use crate::prelude::*;
use crate::record::{CallId, Claim, ClaimBatch, LogEntry, NodeIncarnation, Record, Unreadable};

/// Time limits of claims. They must be equal on all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimRules {
    /// Maximum age of a key; older keys are rejected.
    pub window: Millis,
    /// Maximum difference between two clocks, and maximum step back of log time.
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
    /// How long a closing voids claims. By then, all keys made up to `skew` after the
    /// closing have expired.
    pub fn closing_lifetime(&self) -> Millis {
        self.window + self.skew + self.skew
    }

    /// How much of the stream a reader has to read before its verdicts agree with those
    /// of all other readers. The log has to retain records for longer.
    pub fn horizon(&self) -> Millis {
        self.window + self.skew + self.closing_lifetime() + self.skew
    }

    /// True when a key made at `made_at` is too old at `at`.
    pub fn is_expired(&self, made_at: Millis, at: Millis) -> bool {
        at > made_at + self.window
    }

    /// True when a key made at `made_at` is too far in the future at `at`.
    pub fn is_early(&self, made_at: Millis, at: Millis) -> bool {
        made_at > at + self.skew
    }
}

/// A claim that won.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldClaim {
    /// The only node incarnation that may send the call.
    pub owner: NodeIncarnation,
    /// Digest of the request body.
    pub digest: String,
    /// Offset of the record with the claim.
    pub offset: Offset,
}

/// Decision on one claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The owner may send the call.
    Won,
    /// Another node incarnation claimed the call earlier.
    Held(HeldClaim),
    /// The owner was closed earlier.
    Closed,
    /// The key had expired at the time of the record.
    Expired,
    /// The key was too far in the future at the time of the record.
    Early,
    /// This reader has not read enough of the stream to decide.
    Unsettled,
}

/// A claim of a record together with its verdict.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimVerdict {
    /// The call.
    pub call: CallId,
    /// The claiming node incarnation.
    pub owner: NodeIncarnation,
    /// Decision on the claim.
    pub verdict: Verdict,
}

/// Effect of a record on the fold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimsApplied {
    /// Claims were decided.
    Decided(Vec<ClaimVerdict>),
    /// A node incarnation was closed.
    Closed(NodeIncarnation),
    /// A record that belongs to another stream; nothing changed.
    WrongStream,
    /// A record that this version cannot decode; nothing changed.
    Unreadable(Unreadable),
    /// The record was applied before; the fold did not advance.
    AlreadyApplied,
    /// Records before this one are missing; the fold did not advance.
    Gap {
        /// The next offset to apply.
        expected: Offset,
    },
}

/// What the log says about a call whose owner is lost.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LostCall {
    /// The owner claimed it and may have sent it.
    Claimed(HeldClaim),
    /// The owner was closed without having claimed it: it did not run and never will.
    NeverRun,
    /// The owner has to be closed before the log can answer.
    NeedsClosing,
    /// The key has expired, so its claim may be forgotten already.
    Expired,
    /// This reader has not read enough of the stream to decide.
    Unsettled,
}

/// State of the claims stream at one offset.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimFold {
    rules: ClaimRules,
    next: Offset,
    clock: Millis,
    /// The fold has read every record after this time; none when it started at the
    /// first record of the stream.
    since: Option<Millis>,
    claims: BTreeMap<CallId, HeldClaim>,
    claim_ends: BTreeSet<(Millis, CallId)>,
    /// Log time of the latest closing of each node incarnation.
    closings: BTreeMap<NodeIncarnation, Millis>,
    closing_ends: BTreeSet<(Millis, NodeIncarnation)>,
}

impl ClaimFold {
    /// A fold that reads the stream from its first record.
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

    /// A fold that starts at `start`, in the middle of the stream. `since` is a time
    /// such that no record before `start` was written after it: the time of the oldest
    /// retained record or, if earlier, the current time of the log's clock less the
    /// retention. Without the latter, a log that was idle for long would look
    /// incomplete. The clock of a node must not be used, since it may be behind.
    pub fn starting_at(rules: ClaimRules, start: Offset, since: Millis) -> Self {
        Self {
            next: start,
            since: (start > Offset(0)).then_some(since),
            ..Self::new(rules)
        }
    }

    /// The next offset to apply; every record before it is applied.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// The time limits.
    pub fn rules(&self) -> &ClaimRules {
        &self.rules
    }

    /// Number of stored claims and closings.
    pub fn len(&self) -> usize {
        self.claims.len() + self.closings.len()
    }

    /// True when no claims and closings are stored.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// True once the verdicts agree with those of all other readers.
    pub fn is_settled(&self) -> bool {
        let horizon = self.rules.horizon();
        self.since.is_none_or(|since| self.clock > since + horizon)
    }

    /// The claim that won a call.
    pub fn claim(&self, call: &CallId) -> Option<&HeldClaim> {
        self.claims.get(call)
    }

    /// True while a closing of this node incarnation is stored.
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

    /// What the log says about a journalled call whose owner is lost.
    pub fn lost_call(&self, key: &CallKey, owner: &NodeIncarnation) -> LostCall {
        if let Some(claim) = self.claims.get(&key.id) {
            return LostCall::Claimed(claim.clone());
        }
        if self.rules.is_expired(key.made_at, self.clock) {
            // There may have been a claim that is already forgotten.
            return LostCall::Expired;
        }
        // A closing much older than the key would end before the key expires, and
        // the owner could claim the call after that.
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
        let mut verdicts = Vec::with_capacity(batch.claims.len());
        for claim in &batch.claims {
            let verdict = self.decide(entry, &batch.owner, claim);
            // An unsettled reader may have missed an earlier claim or closing.
            let verdict = if settled { verdict } else { Verdict::Unsettled };
            verdicts.push(ClaimVerdict {
                call: claim.call.clone(),
                owner: batch.owner.clone(),
                verdict,
            });
        }
        verdicts
    }

    fn decide(&mut self, entry: &LogEntry, owner: &NodeIncarnation, claim: &Claim) -> Verdict {
        let rules = self.rules;
        if rules.is_expired(claim.made_at, entry.time) {
            return Verdict::Expired;
        }
        if rules.is_early(claim.made_at, entry.time) {
            return Verdict::Early;
        }
        let voids = |closed: &Millis| entry.time <= *closed + rules.closing_lifetime();
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
        let lifetime = self.rules.closing_lifetime() + self.rules.skew;
        let old = self.closings.get(node).copied();
        // Log time may step back by up to the skew; a closing is never shortened.
        let at = old.map_or(entry.time, |old| entry.time.max(old));
        if let Some(old) = old {
            self.closing_ends.remove(&(old + lifetime, node.clone()));
        }
        self.closings.insert(node.clone(), at);
        self.closing_ends.insert((at + lifetime, node.clone()));
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
