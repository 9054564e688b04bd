//! Calls that may run at most once, as one node handles them.
//!
//! The desk decides who may send a call, remembers outcomes and tells callers no
//! more than is known. It sends a call only as the owner named in its key, or
//! after its claim was read back from the log; it remembers every call that it
//! may ever send until the key has expired, and refuses the key from then on.
//! It never sends a call a second time unless the first attempt provably sent
//! nothing.

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

/// The calls of one node incarnation. See the module's description.
#[derive(Clone, Debug)]
pub struct CallCoordinator {
    pub(crate) me: NodeIncarnation,
    rules: ClaimRules,
    settings: CallSettings,
    /// Latest time seen; it never steps back.
    clock: Millis,
    calls: CallTable,
    pub(crate) submissions: Submissions,
    pub(crate) outputs: Vec<CallOutput>,
}

impl CallCoordinator {
    /// The desk of a node that has just started as `me`.
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

    /// The calls that are remembered.
    pub fn calls(&self) -> &CallTable {
        &self.calls
    }

    /// When the desk wants its next tick, if nothing else happens before.
    pub fn next_tick(&self) -> Option<Millis> {
        self.submissions.next_deadline()
    }

    /// Takes an input and says what to do next. After a pause the first input
    /// already sees the later time, so nothing is sent past its deadline.
    pub fn step(
        &mut self,
        now: Millis,
        input: CallInput,
        context: &CallContext<'_>,
    ) -> Vec<CallOutput> {
        self.clock = self.clock.max(now);
        match input {
            CallInput::Submit(submit) => {
                self.submissions.insert(&submit);
                self.place(&submit, context);
            }
            CallInput::ClaimDecided { call, verdict } => self.judged(&call, verdict, context),
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
        self.pass_deadlines();
        self.calls.forget(self.clock);
        std::mem::take(&mut self.outputs)
    }

    /// Finds out who may send the call of a new attempt.
    fn place(&mut self, submit: &Submission, context: &CallContext<'_>) {
        if self.calls.get(&submit.key.id).is_some() {
            self.join(submit);
            return;
        }
        let made_at = submit.key.made_at;
        if self.rules.is_expired(made_at, self.clock) {
            self.unknown(submit.submission_id, UnknownReason::Expired);
            return;
        }
        if self.rules.is_early(made_at, self.clock) {
            self.unknown(submit.submission_id, UnknownReason::Early);
            return;
        }
        match &submit.key.kind {
            KeyKind::Entry { owner } | KeyKind::Journalled { owner } if *owner == self.me => {
                self.open(submit);
            }
            KeyKind::Entry { owner } => {
                if !self.forward(submit, owner, context) {
                    self.look_up(submit, UnknownReason::OwnerLost);
                }
            }
            KeyKind::Journalled { owner } => {
                if !self.forward(submit, owner, context) {
                    self.judge_lost(submit, owner, context);
                }
            }
            KeyKind::Plain => match context.fold.claim(&submit.key.id) {
                Some(held) if held.digest != submit.digest => {
                    self.answer(submit.submission_id, Outcome::Conflict);
                }
                // A claim of this node that it has dropped was never sent.
                Some(held) if held.owner != self.me => self.follow(submit, held, context),
                _ => self.open(submit),
            },
        }
    }

    /// An attempt at a call that this node remembers.
    fn join(&mut self, submit: &Submission) {
        let id = &submit.key.id;
        let Some(call) = self.calls.get(id) else {
            return;
        };
        if call.digest != submit.digest {
            self.answer(submit.submission_id, Outcome::Conflict);
            return;
        }
        match call.state.clone() {
            State::Done(Outcome::Unknown(_)) if submit.lookup => {
                self.calls.add_waiter(id, submit.submission_id);
                self.start_lookup(submit);
            }
            State::Done(outcome) => self.answer(submit.submission_id, outcome),
            State::Claiming | State::Sending { .. } | State::LookingUp => {
                self.calls.add_waiter(id, submit.submission_id);
            }
            State::Doubtful => {
                self.calls.add_waiter(id, submit.submission_id);
                self.claim(&submit.key, &submit.digest);
            }
            State::Reserved { attempt } => {
                self.calls.add_waiter(id, submit.submission_id);
                self.send(id, attempt);
            }
        }
    }

    /// Takes a call in that this node alone may send, or wants to claim.
    fn open(&mut self, submit: &Submission) {
        let key = &submit.key;
        let full = self.calls.len() >= self.settings.max_calls;
        let busy = self.calls.active() >= self.settings.max_active;
        // What is not remembered may not be called not run. Neither may a plain
        // key, which another node may have claimed.
        if full || busy && key.kind == KeyKind::Plain {
            self.unknown(submit.submission_id, UnknownReason::Busy);
            return;
        }
        self.calls.insert(key, &submit.digest);
        self.calls.add_waiter(&key.id, submit.submission_id);
        if busy {
            self.not_run(&key.id, NotRunReason::Busy);
        } else if matches!(key.kind, KeyKind::Entry { .. }) {
            self.send(&key.id, 0);
        } else {
            self.claim(key, &submit.digest);
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

    /// Sends the call with the body of a caller that still waits in time.
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
            self.calls.set_state(id, State::Reserved { attempt });
        } else {
            self.not_run(id, NotRunReason::Deadline);
        }
    }

    fn judged(&mut self, id: &CallId, verdict: Verdict, context: &CallContext<'_>) {
        let call = self.calls.get(id);
        if !call.is_some_and(|call| call.state.is_unclaimed()) {
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

    /// Another incarnation claimed the call first.
    fn claim_lost(&mut self, id: &CallId, held: &HeldClaim, context: &CallContext<'_>) {
        for submission_id in self.calls.remove(id) {
            if let Some(submit) = self.submissions.get(submission_id).cloned() {
                self.follow(&submit, held, context);
            }
        }
    }

    /// The claim is in the log and does not count.
    fn claim_void(&mut self, id: &CallId, reason: UnknownReason) {
        if self.calls.get(id).is_some_and(|call| !call.is_plain()) {
            self.not_run(id, NotRunReason::ClaimVoid);
            return;
        }
        for submission_id in self.calls.remove(id) {
            self.unknown(submission_id, reason);
        }
    }

    /// The claim is not in the log, or nobody knows.
    fn claim_failed(&mut self, id: &CallId, in_doubt: bool) {
        let call = self.calls.get(id);
        let Some(call) = call.filter(|call| call.state.is_unclaimed()) else {
            return;
        };
        if !call.is_plain() {
            // Only this node may send the call, and it no longer will.
            self.not_run(id, NotRunReason::LogDown);
            return;
        }
        let waiters = if in_doubt {
            self.calls.set_state(id, State::Doubtful);
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
        // A late answer still tells what became of a call whose fate was unknown.
        let may_answer = matches!(
            call.state,
            State::Sending { .. } | State::LookingUp | State::Done(Outcome::Unknown(_))
        );
        if may_answer {
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
        // A report on an earlier attempt says nothing about this one.
        if attempt != failed {
            return;
        }
        match failure {
            SendFailure::NeverSent if attempt + 1 < self.settings.max_attempts => {
                self.send(id, attempt + 1);
            }
            SendFailure::NeverSent => self.not_run(id, NotRunReason::Unsent),
            SendFailure::Unknown => match self.submissions.get(submission_id).cloned() {
                Some(submit) if submit.lookup => self.start_lookup(&submit),
                _ => self.finish(id, &Outcome::Unknown(UnknownReason::AnswerLost)),
            },
        }
    }

    /// Asks the service for a call that this node has sent.
    fn start_lookup(&mut self, submit: &Submission) {
        self.calls.set_state(&submit.key.id, State::LookingUp);
        self.push_lookup(submit);
    }

    fn looked_up(&mut self, id: &CallId, digest: &str, found: Option<Arc<CallAnswer>>) {
        self.resolve_remote_lookups(id, digest, found.as_ref());
        let call = self.calls.get(id).filter(|call| call.digest == digest);
        if !call.is_some_and(|call| call.state == State::LookingUp) {
            return;
        }
        match found {
            Some(answer) => self.answered(id, &answer),
            // The request may still be on its way, so that it can run yet.
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
            // The other node may run it even if this one sent nothing.
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

    /// Tells callers whose deadline has come what is known by then.
    fn pass_deadlines(&mut self) {
        while let Some((submit, stage)) = self.submissions.overdue(self.clock) {
            let submission_id = submit.submission_id;
            match stage {
                Stage::Local => self.stop_waiting(&submit.key.id, submission_id),
                Stage::Forwarded => self.unknown(submission_id, UnknownReason::OwnerSilent),
                Stage::Closing(_) => self.unknown(submission_id, UnknownReason::OwnerLost),
                Stage::LookingUp(reason) => self.unknown(submission_id, reason),
            }
        }
    }

    fn stop_waiting(&mut self, id: &CallId, submission_id: SubmissionId) {
        let alone = self.calls.get(id).filter(|call| {
            let last = call.waiters == [submission_id];
            last && call.state == State::Claiming
        });
        match alone.map(Call::is_plain) {
            // Only this node may send the call, and it no longer will.
            Some(false) => self.not_run(id, NotRunReason::Deadline),
            Some(true) => {
                self.calls.remove_waiter(id, submission_id);
                self.calls.set_state(id, State::Doubtful);
                self.unknown(submission_id, UnknownReason::NotClaimed);
            }
            None => {
                self.calls.remove_waiter(id, submission_id);
                self.unknown(submission_id, UnknownReason::Pending);
            }
        }
    }
}
