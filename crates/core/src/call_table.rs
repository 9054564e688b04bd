//! Calls that this node may send or has sent, until their keys expire.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::call_key::{CallKey, KeyKind};
use crate::call_message::SubmissionId;
use crate::call_outcome::{CallAnswer, Outcome, UnknownReason};
use crate::claim_fold::ClaimRules;
use crate::prelude::*;
use crate::record::CallId;

/// Bytes that a remembered answer takes besides its body.
const ANSWER_OVERHEAD: usize = 256;

/// How far a call has come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum State {
    /// A claim is under way and callers wait for it.
    Claiming,
    /// A claim was or is under way and nobody waits any more. Nothing was sent.
    Doubtful,
    /// The claim is won, nobody waits and nothing was sent.
    Reserved {
        /// Number of the next attempt to connect. It goes on counting, so that
        /// an old report is never taken for one on a new attempt.
        attempt: u32,
    },
    /// The call is with its service, or may be.
    Sending {
        /// The attempt whose body was sent.
        submission_id: SubmissionId,
        /// Counts the attempts to connect.
        attempt: u32,
    },
    /// The answer was lost and the service is asked for it.
    LookingUp,
    /// The outcome is remembered.
    Done(Outcome),
}

impl State {
    /// True while a claim, a send or a look-up is under way.
    pub fn is_active(&self) -> bool {
        matches!(
            self,
            Self::Claiming | Self::Sending { .. } | Self::LookingUp
        )
    }

    /// True while the call waits for the verdict on a claim.
    pub fn is_unclaimed(&self) -> bool {
        matches!(self, Self::Claiming | Self::Doubtful)
    }
}

/// A call of this node.
#[derive(Clone, Debug)]
pub struct Call {
    /// Its key.
    pub key: CallKey,
    /// Digest of its body.
    pub digest: String,
    /// Attempts that wait for its outcome.
    pub waiters: Vec<SubmissionId>,
    /// How far it has come.
    pub state: State,
}

impl Call {
    /// True when another node may claim the call as well.
    pub fn is_plain(&self) -> bool {
        self.key.kind == KeyKind::Plain
    }
}

/// The calls by identity, with bounds on age and size.
#[derive(Clone, Debug)]
pub struct CallTable {
    rules: ClaimRules,
    answer_limit: usize,
    calls: BTreeMap<CallId, Call>,
    ends: BTreeSet<(Millis, CallId)>,
    answers: VecDeque<(CallId, usize)>,
    answer_bytes: usize,
    active: usize,
}

impl CallTable {
    /// A table that keeps at most `answer_limit` bytes of answers.
    pub fn new(rules: ClaimRules, answer_limit: usize) -> Self {
        Self {
            rules,
            answer_limit,
            calls: BTreeMap::new(),
            ends: BTreeSet::new(),
            answers: VecDeque::new(),
            answer_bytes: 0,
            active: 0,
        }
    }

    /// Number of calls.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// True when no call is remembered.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Number of calls with something under way.
    pub fn active(&self) -> usize {
        self.active
    }

    /// The call of that identity.
    pub fn get(&self, id: &CallId) -> Option<&Call> {
        self.calls.get(id)
    }

    /// Adds a call for which nothing was sent and nobody waits.
    pub fn insert(&mut self, key: &CallKey, digest: &str) {
        let end = key.made_at + self.rules.window;
        self.ends.insert((end, key.id.clone()));
        let call = Call {
            key: key.clone(),
            digest: digest.to_owned(),
            waiters: Vec::new(),
            state: State::Doubtful,
        };
        self.calls.insert(key.id.clone(), call);
    }

    /// Drops a call that was never sent; returns who waits for it.
    pub fn remove(&mut self, id: &CallId) -> Vec<SubmissionId> {
        let Some(call) = self.calls.remove(id) else {
            return Vec::new();
        };
        self.active -= usize::from(call.state.is_active());
        let end = call.key.made_at + self.rules.window;
        self.ends.remove(&(end, id.clone()));
        call.waiters
    }

    /// Moves a call on.
    pub fn set_state(&mut self, id: &CallId, state: State) {
        if let Some(call) = self.calls.get_mut(id) {
            self.active += usize::from(state.is_active());
            self.active -= usize::from(call.state.is_active());
            call.state = state;
        }
    }

    /// Lets an attempt wait for the call.
    pub fn add_waiter(&mut self, id: &CallId, submission_id: SubmissionId) {
        if let Some(call) = self.calls.get_mut(id) {
            call.waiters.push(submission_id);
        }
    }

    /// Lets an attempt wait no longer.
    pub fn remove_waiter(&mut self, id: &CallId, submission_id: SubmissionId) {
        if let Some(call) = self.calls.get_mut(id) {
            call.waiters.retain(|waiter| *waiter != submission_id);
        }
    }

    /// Takes everybody who waits for the call.
    pub fn take_waiters(&mut self, id: &CallId) -> Vec<SubmissionId> {
        let call = self.calls.get_mut(id);
        call.map(|call| std::mem::take(&mut call.waiters))
            .unwrap_or_default()
    }

    /// Counts an answer that is kept from now on, and drops the oldest ones
    /// beyond the limit.
    pub fn keep_answer(&mut self, id: &CallId, answer: &CallAnswer) {
        let bytes = answer.body.len() + ANSWER_OVERHEAD;
        self.answers.push_back((id.clone(), bytes));
        self.answer_bytes += bytes;
        while self.answer_bytes > self.answer_limit {
            let Some((old, bytes)) = self.answers.pop_front() else {
                return;
            };
            self.answer_bytes -= bytes;
            self.drop_answer(&old);
        }
    }

    fn drop_answer(&mut self, id: &CallId) {
        let is_answered =
            |call: &&mut Call| matches!(call.state, State::Done(Outcome::Answered(_)));
        if let Some(call) = self.calls.get_mut(id).filter(is_answered) {
            call.state = State::Done(Outcome::Unknown(UnknownReason::AnswerDropped));
        }
    }

    /// Forgets the calls whose keys are refused by now.
    pub fn forget(&mut self, clock: Millis) {
        while self.ends.first().is_some_and(|(end, _)| *end < clock) {
            let Some((_, id)) = self.ends.pop_first() else {
                return;
            };
            let call = self.calls.get(&id);
            if call.is_some_and(|call| call.state.is_active()) {
                self.ends.insert((clock + self.rules.skew, id));
            } else {
                self.calls.remove(&id);
            }
        }
    }
}
