//! Submissions of callers that wait at this node for an outcome.

use std::collections::{BTreeMap, BTreeSet};

use crate::call_message::{Submission, SubmissionId};
use crate::call_outcome::UnknownReason;
use crate::prelude::*;
use crate::record::{CallId, NodeIncarnation};

/// What a submission waits for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Stage {
    /// A call of this node.
    Local,
    /// The node that it was forwarded to.
    Forwarded,
    /// The closing of this node incarnation.
    Closing(NodeIncarnation),
    /// A look-up of another node's call. The reason is reported if it finds nothing.
    LookingUp(UnknownReason),
}

#[derive(Clone, Debug)]
struct PendingSubmission {
    submission: Submission,
    stage: Stage,
    /// Whether it was ever forwarded to another node, which may then run the call.
    forwarded: bool,
}

/// All waiting submissions, by id and by deadline.
#[derive(Clone, Debug, Default)]
pub struct Submissions {
    by_id: BTreeMap<SubmissionId, PendingSubmission>,
    deadlines: BTreeSet<(Millis, SubmissionId)>,
}

impl Submissions {
    /// Adds a submission that waits for a call of this node.
    pub fn insert(&mut self, submission: &Submission) {
        self.deadlines.insert((submission.deadline, submission.id));
        let pending = PendingSubmission {
            submission: submission.clone(),
            stage: Stage::Local,
            forwarded: false,
        };
        self.by_id.insert(submission.id, pending);
    }

    /// Removes a submission. Returns false when it does not wait.
    pub fn remove(&mut self, submission_id: SubmissionId) -> bool {
        let Some(pending) = self.by_id.remove(&submission_id) else {
            return false;
        };
        self.deadlines
            .remove(&(pending.submission.deadline, submission_id));
        true
    }

    /// The submission with this id.
    pub fn get(&self, submission_id: SubmissionId) -> Option<&Submission> {
        self.by_id
            .get(&submission_id)
            .map(|pending| &pending.submission)
    }

    /// What the submission waits for.
    pub fn stage(&self, submission_id: SubmissionId) -> Option<&Stage> {
        self.by_id.get(&submission_id).map(|pending| &pending.stage)
    }

    /// Changes what the submission waits for.
    pub fn set_stage(&mut self, submission_id: SubmissionId, stage: Stage) {
        if let Some(pending) = self.by_id.get_mut(&submission_id) {
            pending.forwarded |= stage == Stage::Forwarded;
            pending.stage = stage;
        }
    }

    /// True when the submission was ever forwarded to another node.
    pub fn was_forwarded(&self, submission_id: SubmissionId) -> bool {
        let pending = self.by_id.get(&submission_id);
        pending.is_some_and(|pending| pending.forwarded)
    }

    /// All submissions at `stage`.
    pub fn at_stage(&self, stage: &Stage) -> Vec<Submission> {
        let there = self.by_id.values().filter(|a| a.stage == *stage);
        there.map(|pending| pending.submission.clone()).collect()
    }

    /// Submissions that wait for a look-up of this call and digest, with their reasons.
    pub fn awaiting_lookup(
        &self,
        call: &CallId,
        digest: &str,
    ) -> Vec<(SubmissionId, UnknownReason)> {
        let reason = |pending: &PendingSubmission| match pending.stage {
            Stage::LookingUp(reason) => {
                let submission = &pending.submission;
                let same = submission.key.id == *call && submission.digest == digest;
                same.then_some((submission.id, reason))
            }
            _ => None,
        };
        self.by_id.values().filter_map(reason).collect()
    }

    /// The earliest deadline.
    pub fn next_deadline(&self) -> Option<Millis> {
        self.deadlines.first().map(|(at, _)| *at)
    }

    /// A submission whose deadline has passed, with its stage.
    pub fn overdue(&self, clock: Millis) -> Option<(Submission, Stage)> {
        let (_, submission_id) = self.deadlines.first().filter(|(at, _)| *at <= clock)?;
        let pending = self.by_id.get(submission_id)?;
        Some((pending.submission.clone(), pending.stage.clone()))
    }
}
