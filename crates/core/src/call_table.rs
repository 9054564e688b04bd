//! Table of the calls that this node may send or has sent, until their keys expire.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::call_key::{CallKey, KeyKind};
use crate::call_message::SubmissionId;
use crate::call_outcome::{CallAnswer, Outcome, UnknownReason};
use crate::claim_fold::ClaimRules;
use crate::prelude::*;
use crate::record::CallId;

/// Bytes that a stored answer occupies in addition to its body.
const ANSWER_OVERHEAD: usize = 256;

/// Progress of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum State {
    /// A claim is being appended and callers wait for its verdict.
    Claiming,
    /// A claim may be in the log or may still be appended, and no caller waits. Nothing
    /// was sent.
    ClaimUnresolved,
    /// The claim won, no caller waits, and nothing was sent.
    ClaimWon {
        /// Number of the next attempt to connect. The count continues from earlier
        /// attempts, so that a late report on one of them is recognised.
        attempt: u32,
    },
    /// The call is being sent, or was sent and its answer is awaited.
    Sending {
        /// The submission whose body is sent.
        submission_id: SubmissionId,
        /// Number of the attempt to connect.
        attempt: u32,
    },
    /// The answer was lost, and the call is looked up at its service.
    LookingUp,
    /// The outcome is known.
    Done(Outcome),
}

impl State {
    /// True while a claim, a send or a look-up is in progress.
    pub fn is_active(&self) -> bool {
        matches!(
            self,
            Self::Claiming | Self::Sending { .. } | Self::LookingUp
        )
    }

    /// True while the call waits for the verdict on a claim.
    pub fn awaits_verdict(&self) -> bool {
        matches!(self, Self::Claiming | Self::ClaimUnresolved)
    }
}

/// A call of this node.
#[derive(Clone, Debug)]
pub struct Call {
    /// Idempotency key.
    pub key: CallKey,
    /// Digest of the request body.
    pub digest: String,
    /// Submissions that wait for the outcome.
    pub waiters: Vec<SubmissionId>,
    /// Progress of the call.
    pub state: State,
}

impl Call {
    /// True when the key does not name an owner, so that any node may claim the call.
    pub fn is_plain(&self) -> bool {
        self.key.kind == KeyKind::Plain
    }
}

/// Calls by id. Calls are removed when their keys have expired, and the total size of
/// stored answers is bounded.
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
    /// An empty table that stores at most `answer_limit` bytes of answers.
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

    /// True when there are no calls.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Number of calls in an active state (see [`State::is_active`]).
    pub fn active(&self) -> usize {
        self.active
    }

    /// The call with this id.
    pub fn get(&self, id: &CallId) -> Option<&Call> {
        self.calls.get(id)
    }

    /// Adds a call for which nothing was sent and no submission waits.
    pub fn insert(&mut self, key: &CallKey, digest: &str) {
        let end = key.made_at + self.rules.window;
        self.ends.insert((end, key.id.clone()));
        let call = Call {
            key: key.clone(),
            digest: digest.to_owned(),
            waiters: Vec::new(),
            state: State::ClaimUnresolved,
        };
        self.calls.insert(key.id.clone(), call);
    }

    /// Removes a call that was never sent and returns the submissions that wait for it.
    pub fn remove(&mut self, id: &CallId) -> Vec<SubmissionId> {
        let Some(call) = self.calls.remove(id) else {
            return Vec::new();
        };
        self.active -= usize::from(call.state.is_active());
        let end = call.key.made_at + self.rules.window;
        self.ends.remove(&(end, id.clone()));
        call.waiters
    }

    /// Sets the state of a call.
    pub fn set_state(&mut self, id: &CallId, state: State) {
        if let Some(call) = self.calls.get_mut(id) {
            self.active += usize::from(state.is_active());
            self.active -= usize::from(call.state.is_active());
            call.state = state;
        }
    }

    /// Adds a submission that waits for the outcome of the call.
    pub fn add_waiter(&mut self, id: &CallId, submission_id: SubmissionId) {
        if let Some(call) = self.calls.get_mut(id) {
            call.waiters.push(submission_id);
        }
    }

    /// Removes a waiting submission from the call.
    pub fn remove_waiter(&mut self, id: &CallId, submission_id: SubmissionId) {
        if let Some(call) = self.calls.get_mut(id) {
            call.waiters.retain(|waiter| *waiter != submission_id);
        }
    }

    /// Removes and returns all submissions that wait for the call.
    pub fn take_waiters(&mut self, id: &CallId) -> Vec<SubmissionId> {
        let call = self.calls.get_mut(id);
        call.map(|call| std::mem::take(&mut call.waiters))
            .unwrap_or_default()
    }

    /// Accounts for a stored answer and drops the oldest answers beyond the limit.
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

    /// Removes calls whose keys have expired. Active calls are kept for at least another
    /// `skew`.
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
