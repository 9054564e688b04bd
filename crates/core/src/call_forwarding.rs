//! Calls that another node may send, as the desk handles them.

use std::sync::Arc;

use crate::call_coordinator::CallCoordinator;
use crate::call_key::KeyKind;
use crate::call_message::{CallContext, CallOutput, Submission, SubmissionId};
use crate::call_outcome::{CallAnswer, NotRunReason, Outcome, UnknownReason};
use crate::call_submissions::Stage;
use crate::claim_fold::{HeldClaim, LostCall};
use crate::record::{CallId, NodeIncarnation};

impl CallCoordinator {
    /// Passes an attempt on to the incarnation that claimed its call.
    pub(crate) fn follow(
        &mut self,
        submit: &Submission,
        held: &HeldClaim,
        context: &CallContext<'_>,
    ) {
        if held.digest != submit.digest {
            self.answer(submit.submission_id, Outcome::Conflict);
        } else if !self.forward(submit, &held.owner, context) {
            self.look_up(submit, UnknownReason::ClaimantLost);
        }
    }

    /// Passes an attempt on if its owner lives; false when it was not passed on.
    pub(crate) fn forward(
        &mut self,
        submit: &Submission,
        to: &NodeIncarnation,
        context: &CallContext<'_>,
    ) -> bool {
        if submit.forwarded || *to == self.me || !(context.is_live)(to) {
            return false;
        }
        self.submissions
            .set_stage(submit.submission_id, Stage::Forwarded);
        self.outputs.push(CallOutput::Forward {
            submission_id: submit.submission_id,
            to: to.clone(),
        });
        true
    }

    pub(crate) fn forward_answered(&mut self, submission_id: SubmissionId, outcome: Outcome) {
        if self.submissions.stage(submission_id) == Some(&Stage::Forwarded) {
            self.answer(submission_id, outcome);
        }
    }

    pub(crate) fn forward_failed(
        &mut self,
        submission_id: SubmissionId,
        context: &CallContext<'_>,
    ) {
        if self.submissions.stage(submission_id) != Some(&Stage::Forwarded) {
            return;
        }
        let Some(submit) = self.submissions.get(submission_id).cloned() else {
            return;
        };
        match &submit.key.kind {
            KeyKind::Journalled { owner } if !(context.is_live)(owner) => {
                self.judge_lost(&submit, owner, context);
            }
            _ => self.look_up(&submit, UnknownReason::OwnerSilent),
        }
    }

    /// A journalled call of an incarnation that is lost.
    pub(crate) fn judge_lost(
        &mut self,
        submit: &Submission,
        owner: &NodeIncarnation,
        context: &CallContext<'_>,
    ) {
        let submission_id = submit.submission_id;
        match context.fold.lost_call(&submit.key, owner) {
            LostCall::Claimed(held) if held.digest != submit.digest => {
                self.answer(submission_id, Outcome::Conflict);
            }
            LostCall::Claimed(_) => self.look_up(submit, UnknownReason::ClaimantLost),
            LostCall::NeverRun => {
                let reason = NotRunReason::OwnerClosed;
                let retry_after = None;
                let outcome = Outcome::NotRun {
                    reason,
                    retry_after,
                };
                self.answer(submission_id, outcome);
            }
            LostCall::NeedsClosing if submit.forwarded => {
                self.unknown(submission_id, UnknownReason::OwnerLost);
            }
            LostCall::NeedsClosing => self.wait_closing(submit, owner),
            LostCall::Expired => self.unknown(submission_id, UnknownReason::Expired),
            LostCall::Unsettled => self.unknown(submission_id, UnknownReason::Unsettled),
        }
    }

    fn wait_closing(&mut self, submit: &Submission, owner: &NodeIncarnation) {
        let stage = Stage::Closing(owner.clone());
        let asked = !self.submissions.at_stage(&stage).is_empty();
        self.submissions.set_stage(submit.submission_id, stage);
        if !asked {
            self.outputs.push(CallOutput::Close(owner.clone()));
        }
    }

    pub(crate) fn closed(&mut self, node: &NodeIncarnation, context: &CallContext<'_>) {
        for submit in self.submissions.at_stage(&Stage::Closing(node.clone())) {
            self.submissions
                .set_stage(submit.submission_id, Stage::Local);
            self.judge_lost(&submit, node, context);
        }
    }

    /// Asks the service for a call that another node may have sent.
    pub(crate) fn look_up(&mut self, submit: &Submission, reason: UnknownReason) {
        if submit.lookup && !submit.forwarded {
            let stage = Stage::LookingUp(reason);
            self.submissions.set_stage(submit.submission_id, stage);
            self.push_lookup(submit);
        } else {
            self.unknown(submit.submission_id, reason);
        }
    }

    pub(crate) fn push_lookup(&mut self, submit: &Submission) {
        self.outputs.push(CallOutput::Lookup {
            call: submit.key.id.clone(),
            submission_id: submit.submission_id,
            digest: submit.digest.clone(),
        });
    }

    pub(crate) fn resolve_remote_lookups(
        &mut self,
        call: &CallId,
        digest: &str,
        found: Option<&Arc<CallAnswer>>,
    ) {
        for (submission_id, reason) in self.submissions.awaiting_lookup(call, digest) {
            let outcome = match found {
                Some(answer) => Outcome::Answered(Arc::clone(answer)),
                None => Outcome::Unknown(reason),
            };
            self.answer(submission_id, outcome);
        }
    }
}
