//! Handling of calls that another node may send: forwarding, lost owners and look-ups.

use std::sync::Arc;

use crate::call_coordinator::CallCoordinator;
use crate::call_key::KeyKind;
use crate::call_message::{CallContext, CallOutput, Submission, SubmissionId};
use crate::call_outcome::{CallAnswer, NotRunReason, Outcome, UnknownReason};
use crate::call_submissions::Stage;
use crate::claim_fold::{HeldClaim, LostCall};
use crate::record::{CallId, NodeIncarnation};

impl CallCoordinator {
    /// Forwards a submission to the node incarnation that claimed its call.
    pub(crate) fn forward_to_claimant(
        &mut self,
        submission: &Submission,
        held: &HeldClaim,
        context: &CallContext<'_>,
    ) {
        if held.digest != submission.digest {
            self.answer(submission.id, Outcome::Conflict);
        } else if !self.forward(submission, &held.owner, context) {
            self.look_up(submission, UnknownReason::ClaimantLost);
        }
    }

    /// Forwards a submission if the owner is live. Returns whether it was forwarded.
    pub(crate) fn forward(
        &mut self,
        submission: &Submission,
        to: &NodeIncarnation,
        context: &CallContext<'_>,
    ) -> bool {
        if submission.forwarded || *to == self.me || !(context.is_live)(to) {
            return false;
        }
        self.submissions.set_stage(submission.id, Stage::Forwarded);
        self.outputs.push(CallOutput::Forward {
            submission_id: submission.id,
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
        let Some(submission) = self.submissions.get(submission_id).cloned() else {
            return;
        };
        match &submission.key.kind {
            KeyKind::Journalled { owner } if !(context.is_live)(owner) => {
                self.resolve_lost_owner(&submission, owner, context);
            }
            _ => self.look_up(&submission, UnknownReason::OwnerSilent),
        }
    }

    /// Resolves a journalled call whose owner is lost.
    pub(crate) fn resolve_lost_owner(
        &mut self,
        submission: &Submission,
        owner: &NodeIncarnation,
        context: &CallContext<'_>,
    ) {
        let submission_id = submission.id;
        match context.fold.lost_call(&submission.key, owner) {
            LostCall::Claimed(held) if held.digest != submission.digest => {
                self.answer(submission_id, Outcome::Conflict);
            }
            LostCall::Claimed(_) => self.look_up(submission, UnknownReason::ClaimantLost),
            LostCall::NeverRun => {
                let reason = NotRunReason::OwnerClosed;
                let retry_after = None;
                let outcome = Outcome::NotRun {
                    reason,
                    retry_after,
                };
                self.answer(submission_id, outcome);
            }
            LostCall::NeedsClosing if submission.forwarded => {
                self.unknown(submission_id, UnknownReason::OwnerLost);
            }
            LostCall::NeedsClosing => self.await_closing(submission, owner),
            LostCall::Expired => self.unknown(submission_id, UnknownReason::Expired),
            LostCall::Unsettled => self.unknown(submission_id, UnknownReason::Unsettled),
        }
    }

    fn await_closing(&mut self, submission: &Submission, owner: &NodeIncarnation) {
        let stage = Stage::Closing(owner.clone());
        let asked = !self.submissions.at_stage(&stage).is_empty();
        self.submissions.set_stage(submission.id, stage);
        if !asked {
            self.outputs.push(CallOutput::Close(owner.clone()));
        }
    }

    pub(crate) fn closed(&mut self, node: &NodeIncarnation, context: &CallContext<'_>) {
        for submission in self.submissions.at_stage(&Stage::Closing(node.clone())) {
            self.submissions.set_stage(submission.id, Stage::Local);
            self.resolve_lost_owner(&submission, node, context);
        }
    }

    /// Looks up a call at its service that another node may have sent.
    pub(crate) fn look_up(&mut self, submission: &Submission, reason: UnknownReason) {
        if submission.lookup && !submission.forwarded {
            let stage = Stage::LookingUp(reason);
            self.submissions.set_stage(submission.id, stage);
            self.push_lookup(submission);
        } else {
            self.unknown(submission.id, reason);
        }
    }

    pub(crate) fn push_lookup(&mut self, submission: &Submission) {
        self.outputs.push(CallOutput::Lookup {
            call: submission.key.id.clone(),
            submission_id: submission.id,
            digest: submission.digest.clone(),
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
