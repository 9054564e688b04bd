//! State machine that handles at-most-once calls at one node.
//!
//! The coordinator decides which node may send a call, stores outcomes and reports to
//! callers only what is certain. The guarantee rests on these rules:
//!
//! - A node sends a call only if the key names it as the owner, or after it has read
//!   its winning claim from the log.
//! - A node remembers every call that it may send until the key has expired, and
//!   rejects the key after that.
//! - A call is sent again only if the previous attempt provably sent nothing.

use std::sync::Arc;

use crate::call_key::{CallKey, KeyKind};
use crate::call_message::{
    CallContext, CallInput, CallOutput, CallSettings, Submission, SubmissionId,
};
use crate::call_outcome::{CallAnswer, NotRunReason, Outcome, SendFailure, UnknownReason};
use crate::call_submissions::{Stage, Submissions};
use crate::call_table::{Call, CallTable, State};
use crate::claim_fold::{ClaimRules, HeldClaim, Verdict};
use crate::prelude::*;
use crate::record::{CallId, Claim, NodeIncarnation};

/// The calls of one node incarnation. See the module documentation.
#[derive(Clone, Debug)]
pub struct CallCoordinator {
    pub(crate) me: NodeIncarnation,
    rules: ClaimRules,
    settings: CallSettings,
    /// Latest time of an input; it never decreases.
    clock: Millis,
    calls: CallTable,
    pub(crate) submissions: Submissions,
    pub(crate) outputs: Vec<CallOutput>,
}

impl CallCoordinator {
    /// The coordinator of the node incarnation `me`, without calls.
    pub fn new(me: NodeIncarnation, rules: ClaimRules, settings: CallSettings) -> Self {
        Self {
            me,
            rules,
            settings,
            clock: Millis(0),
            calls: CallTable::new(rules, settings.answer_bytes),
            submissions: Submissions::default(),
            outputs: Vec::new(),
        }
    }

    /// The calls that this node remembers.
    pub fn calls(&self) -> &CallTable {
        &self.calls
    }

    /// Time of the next required [`CallInput::Tick`] if no other input comes before.
    pub fn next_tick(&self) -> Option<Millis> {
        self.submissions.next_deadline()
    }

    /// Processes an input and returns what to do next. The time is taken from each
    /// input, so the first one after a pause of the process already sends nothing past
    /// its deadline.
    pub fn step(
        &mut self,
        now: Millis,
        input: CallInput,
        context: &CallContext<'_>,
    ) -> Vec<CallOutput> {
        self.clock = self.clock.max(now);
        match input {
            CallInput::Submit(submission) => {
                self.submissions.insert(&submission);
                self.route(&submission, context);
            }
            CallInput::ClaimDecided { call, verdict } => {
                self.claim_decided(&call, verdict, context);
            }
            CallInput::ClaimRefused { call } => self.claim_failed(&call, false),
            CallInput::ClaimInDoubt { call } => self.claim_failed(&call, true),
            CallInput::Closed { node } => self.closed(&node, context),
            CallInput::Answered { call, answer } => self.answered(&call, &answer),
            CallInput::SendFailed {
                call,
                attempt,
                failure,
            } => self.send_failed(&call, attempt, failure),
            CallInput::LookedUp {
                call,
                digest,
                found,
            } => self.looked_up(&call, &digest, found),
            CallInput::ForwardAnswered {
                submission_id,
                outcome,
            } => {
                self.forward_answered(submission_id, outcome);
            }
            CallInput::ForwardFailed { submission_id } => {
                self.forward_failed(submission_id, context);
            }
            CallInput::Tick => {}
        }
        self.answer_overdue();
        self.calls.forget(self.clock);
        std::mem::take(&mut self.outputs)
    }

    /// Decides which node may send the call of a new submission.
    fn route(&mut self, submission: &Submission, context: &CallContext<'_>) {
        if self.calls.get(&submission.key.id).is_some() {
            self.join_call(submission);
            return;
        }
        let made_at = submission.key.made_at;
        if self.rules.is_expired(made_at, self.clock) {
            self.unknown(submission.id, UnknownReason::Expired);
            return;
        }
        if self.rules.is_early(made_at, self.clock) {
            self.unknown(submission.id, UnknownReason::Early);
            return;
        }
        match &submission.key.kind {
            KeyKind::Entry { owner } | KeyKind::Journalled { owner } if *owner == self.me => {
                self.start_call(submission);
            }
            KeyKind::Entry { owner } => {
                if !self.forward(submission, owner, context) {
                    self.look_up(submission, UnknownReason::OwnerLost);
                }
            }
            KeyKind::Journalled { owner } => {
                if !self.forward(submission, owner, context) {
                    self.resolve_lost_owner(submission, owner, context);
                }
            }
            KeyKind::Plain => match context.fold.claim(&submission.key.id) {
                Some(held) if held.digest != submission.digest => {
                    self.answer(submission.id, Outcome::Conflict);
                }
                // If this node holds the claim and has dropped the call, it never sent
                // the call.
                Some(held) if held.owner != self.me => {
                    self.forward_to_claimant(submission, held, context);
                }
                _ => self.start_call(submission),
            },
        }
    }

    /// Handles a submission of a call that this node remembers.
    fn join_call(&mut self, submission: &Submission) {
        let id = &submission.key.id;
        let Some(call) = self.calls.get(id) else {
            return;
        };
        if call.digest != submission.digest {
            self.answer(submission.id, Outcome::Conflict);
            return;
        }
        match call.state.clone() {
            State::Done(Outcome::Unknown(_)) if submission.lookup => {
                self.calls.add_waiter(id, submission.id);
                self.start_lookup(submission);
            }
            State::Done(outcome) => self.answer(submission.id, outcome),
            State::Claiming | State::Sending { .. } | State::LookingUp => {
                self.calls.add_waiter(id, submission.id);
            }
            State::ClaimUnresolved => {
                self.calls.add_waiter(id, submission.id);
                self.claim(&submission.key, &submission.digest);
            }
            State::ClaimWon { attempt } => {
                self.calls.add_waiter(id, submission.id);
                self.send(id, attempt);
            }
        }
    }

    /// Starts a call that only this node may send or that it will try to claim.
    fn start_call(&mut self, submission: &Submission) {
        let key = &submission.key;
        let full = self.calls.len() >= self.settings.max_calls;
        let busy = self.calls.active() >= self.settings.max_active;
        // `NotRun` is final, so it must not be reported for a call that this node does
        // not remember, nor for a plain key, which another node may have claimed.
        if full || busy && key.kind == KeyKind::Plain {
            self.unknown(submission.id, UnknownReason::Busy);
            return;
        }
        self.calls.insert(key, &submission.digest);
        self.calls.add_waiter(&key.id, submission.id);
        if busy {
            self.not_run(&key.id, NotRunReason::Busy);
        } else if matches!(key.kind, KeyKind::Entry { .. }) {
            self.send(&key.id, 0);
        } else {
            self.claim(key, &submission.digest);
        }
    }

    fn claim(&mut self, key: &CallKey, digest: &str) {
        self.calls.set_state(&key.id, State::Claiming);
        self.outputs.push(CallOutput::Claim(Claim {
            call: key.id.clone(),
            digest: digest.to_owned(),
            made_at: key.made_at,
        }));
    }

    /// Sends the call with the body of the waiting caller that has the latest deadline,
    /// provided that the deadline has not passed.
    fn send(&mut self, id: &CallId, attempt: u32) {
        let Some(call) = self.calls.get(id) else {
            return;
        };
        let waiting = |submission_id: &SubmissionId| {
            let deadline = self.submissions.get(*submission_id)?.deadline;
            (self.clock < deadline).then_some((deadline, *submission_id))
        };
        let latest = call.waiters.iter().filter_map(waiting).max();
        let digest = call.digest.clone();
        if let Some((send_by, submission_id)) = latest {
            self.calls.set_state(
                id,
                State::Sending {
                    submission_id,
                    attempt,
                },
            );
            self.outputs.push(CallOutput::Send {
                call: id.clone(),
                submission_id,
                digest,
                attempt,
                send_by,
            });
        } else if call.is_plain() {
            self.calls.set_state(id, State::ClaimWon { attempt });
        } else {
            self.not_run(id, NotRunReason::Deadline);
        }
    }

    fn claim_decided(&mut self, id: &CallId, verdict: Verdict, context: &CallContext<'_>) {
        let call = self.calls.get(id);
        if !call.is_some_and(|call| call.state.awaits_verdict()) {
            return;
        }
        match verdict {
            Verdict::Won => self.send(id, 0),
            Verdict::Held(held) => self.claim_lost(id, &held, context),
            Verdict::Closed => self.claim_void(id, UnknownReason::NotClaimed),
            Verdict::Expired => self.claim_void(id, UnknownReason::Expired),
            Verdict::Early => self.claim_void(id, UnknownReason::Early),
            Verdict::Unsettled => self.claim_void(id, UnknownReason::Unsettled),
        }
    }

    /// Another node incarnation claimed the call first.
    fn claim_lost(&mut self, id: &CallId, held: &HeldClaim, context: &CallContext<'_>) {
        for submission_id in self.calls.remove(id) {
            if let Some(submission) = self.submissions.get(submission_id).cloned() {
                self.forward_to_claimant(&submission, held, context);
            }
        }
    }

    /// The claim is in the log but does not allow this node to send the call.
    fn claim_void(&mut self, id: &CallId, reason: UnknownReason) {
        if self.calls.get(id).is_some_and(|call| !call.is_plain()) {
            self.not_run(id, NotRunReason::ClaimVoid);
            return;
        }
        for submission_id in self.calls.remove(id) {
            self.unknown(submission_id, reason);
        }
    }

    /// Appending the claim failed. If `in_doubt` is set, it may still be in the log.
    fn claim_failed(&mut self, id: &CallId, in_doubt: bool) {
        let call = self.calls.get(id);
        let Some(call) = call.filter(|call| call.state.awaits_verdict()) else {
            return;
        };
        if !call.is_plain() {
            // Only this node may send the call, and it will not.
            self.not_run(id, NotRunReason::LogDown);
            return;
        }
        let waiters = if in_doubt {
            self.calls.set_state(id, State::ClaimUnresolved);
            self.calls.take_waiters(id)
        } else {
            self.calls.remove(id)
        };
        for submission_id in waiters {
            self.unknown(submission_id, UnknownReason::NotClaimed);
        }
    }

    fn answered(&mut self, id: &CallId, answer: &Arc<CallAnswer>) {
        let Some(call) = self.calls.get(id) else {
            return;
        };
        // A late answer still settles a call whose outcome was unknown.
        let awaits_answer = matches!(
            call.state,
            State::Sending { .. } | State::LookingUp | State::Done(Outcome::Unknown(_))
        );
        if awaits_answer {
            self.finish(id, &Outcome::Answered(Arc::clone(answer)));
            self.calls.keep_answer(id, answer);
        }
    }

    fn send_failed(&mut self, id: &CallId, failed: u32, failure: SendFailure) {
        let Some(call) = self.calls.get(id) else {
            return;
        };
        let State::Sending {
            submission_id,
            attempt,
        } = call.state
        else {
            return;
        };
        // The report may be on an earlier attempt, which says nothing about this one.
        if attempt != failed {
            return;
        }
        match failure {
            SendFailure::NeverSent if attempt + 1 < self.settings.max_attempts => {
                self.send(id, attempt + 1);
            }
            SendFailure::NeverSent => self.not_run(id, NotRunReason::Unsent),
            SendFailure::Unknown => match self.submissions.get(submission_id).cloned() {
                Some(submission) if submission.lookup => self.start_lookup(&submission),
                _ => self.finish(id, &Outcome::Unknown(UnknownReason::AnswerLost)),
            },
        }
    }

    /// Looks up a call at its service that this node has sent.
    fn start_lookup(&mut self, submission: &Submission) {
        self.calls.set_state(&submission.key.id, State::LookingUp);
        self.push_lookup(submission);
    }

    fn looked_up(&mut self, id: &CallId, digest: &str, found: Option<Arc<CallAnswer>>) {
        self.resolve_remote_lookups(id, digest, found.as_ref());
        let call = self.calls.get(id).filter(|call| call.digest == digest);
        if !call.is_some_and(|call| call.state == State::LookingUp) {
            return;
        }
        match found {
            Some(answer) => self.answered(id, &answer),
            // The request may still arrive and run later.
            None => self.finish(id, &Outcome::Unknown(UnknownReason::AnswerLost)),
        }
    }

    fn not_run(&mut self, id: &CallId, reason: NotRunReason) {
        let retry_after = Some(self.settings.retry_after);
        let outcome = Outcome::NotRun {
            reason,
            retry_after,
        };
        self.finish(id, &outcome);
    }

    fn finish(&mut self, id: &CallId, outcome: &Outcome) {
        self.calls.set_state(id, State::Done(outcome.clone()));
        for submission_id in self.calls.take_waiters(id) {
            self.answer(submission_id, outcome.clone());
        }
    }

    pub(crate) fn answer(&mut self, submission_id: SubmissionId, outcome: Outcome) {
        let forwarded = self.submissions.was_forwarded(submission_id);
        let outcome = match outcome {
            // The other node may run the call even though this node sent nothing.
            Outcome::Unknown(reason) if forwarded && reason.is_unsent() => {
                Outcome::Unknown(UnknownReason::OwnerSilent)
            }
            outcome => outcome,
        };
        if self.submissions.remove(submission_id) {
            self.outputs.push(CallOutput::Answer {
                submission_id,
                outcome,
            });
        }
    }

    pub(crate) fn unknown(&mut self, submission_id: SubmissionId, reason: UnknownReason) {
        self.answer(submission_id, Outcome::Unknown(reason));
    }

    /// Answers submissions whose deadline has passed with what is known.
    fn answer_overdue(&mut self) {
        while let Some((submission, stage)) = self.submissions.overdue(self.clock) {
            let submission_id = submission.id;
            match stage {
                Stage::Local => self.time_out(&submission.key.id, submission_id),
                Stage::Forwarded => self.unknown(submission_id, UnknownReason::OwnerSilent),
                Stage::Closing(_) => self.unknown(submission_id, UnknownReason::OwnerLost),
                Stage::LookingUp(reason) => self.unknown(submission_id, reason),
            }
        }
    }

    fn time_out(&mut self, id: &CallId, submission_id: SubmissionId) {
        let last_waiter = self.calls.get(id).filter(|call| {
            let last = call.waiters == [submission_id];
            last && call.state == State::Claiming
        });
        match last_waiter.map(Call::is_plain) {
            // Only this node may send the call, and it will not.
            Some(false) => self.not_run(id, NotRunReason::Deadline),
            Some(true) => {
                self.calls.remove_waiter(id, submission_id);
                self.calls.set_state(id, State::ClaimUnresolved);
                self.unknown(submission_id, UnknownReason::NotClaimed);
            }
            None => {
                self.calls.remove_waiter(id, submission_id);
                self.unknown(submission_id, UnknownReason::Pending);
            }
        }
    }
}
