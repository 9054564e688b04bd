//! Attempts of callers that wait at this node for an outcome.

use std::collections::{BTreeMap, BTreeSet};

use crate::call_message::{Submission, SubmissionId};
use crate::call_outcome::UnknownReason;
use crate::prelude::*;
use crate::record::{CallId, NodeIncarnation};

/// Where an attempt waits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Stage {
    /// For a call of this node.
    Local,
    /// For the node that it was passed on to.
    Forwarded,
    /// For the closing of this incarnation.
    Closing(NodeIncarnation),
    /// For a look-up of another node's call; the reason holds if it finds nothing.
    LookingUp(UnknownReason),
}

#[derive(Clone, Debug)]
struct PendingSubmission {
    submit: Submission,
    stage: Stage,
    /// Another node has it as well and may run it.
    forwarded: bool,
}

/// All attempts that wait, by submission id and by deadline.
#[derive(Clone, Debug, Default)]
pub struct Submissions {
    by_ticket: BTreeMap<SubmissionId, PendingSubmission>,
    deadlines: BTreeSet<(Millis, SubmissionId)>,
}

impl Submissions {
    /// Lets an attempt wait for a call of this node.
    pub fn insert(&mut self, submit: &Submission) {
        self.deadlines
            .insert((submit.deadline, submit.submission_id));
        let pending = PendingSubmission {
            submit: submit.clone(),
            stage: Stage::Local,
            forwarded: false,
        };
        self.by_ticket.insert(submit.submission_id, pending);
    }

    /// Ends the wait; false when the attempt does not wait.
    pub fn remove(&mut self, submission_id: SubmissionId) -> bool {
        let Some(pending) = self.by_ticket.remove(&submission_id) else {
            return false;
        };
        self.deadlines
            .remove(&(pending.submit.deadline, submission_id));
        true
    }

    /// What the caller submitted.
    pub fn get(&self, submission_id: SubmissionId) -> Option<&Submission> {
        self.by_ticket
            .get(&submission_id)
            .map(|pending| &pending.submit)
    }

    /// Where the attempt waits.
    pub fn stage(&self, submission_id: SubmissionId) -> Option<&Stage> {
        self.by_ticket
            .get(&submission_id)
            .map(|pending| &pending.stage)
    }

    /// Lets the attempt wait elsewhere.
    pub fn set_stage(&mut self, submission_id: SubmissionId, stage: Stage) {
        if let Some(pending) = self.by_ticket.get_mut(&submission_id) {
            pending.forwarded |= stage == Stage::Forwarded;
            pending.stage = stage;
        }
    }

    /// True when the attempt was ever passed on to another node.
    pub fn was_forwarded(&self, submission_id: SubmissionId) -> bool {
        let pending = self.by_ticket.get(&submission_id);
        pending.is_some_and(|pending| pending.forwarded)
    }

    /// What waits at `stage`.
    pub fn at_stage(&self, stage: &Stage) -> Vec<Submission> {
        let there = self.by_ticket.values().filter(|a| a.stage == *stage);
        there.map(|pending| pending.submit.clone()).collect()
    }

    /// Attempts that wait for this very look-up, and their reasons.
    pub fn awaiting_lookup(
        &self,
        call: &CallId,
        digest: &str,
    ) -> Vec<(SubmissionId, UnknownReason)> {
        let reason = |pending: &PendingSubmission| match pending.stage {
            Stage::LookingUp(reason) => {
                let submit = &pending.submit;
                let same = submit.key.id == *call && submit.digest == digest;
                same.then_some((submit.submission_id, reason))
            }
            _ => None,
        };
        self.by_ticket.values().filter_map(reason).collect()
    }

    /// The earliest deadline.
    pub fn next_deadline(&self) -> Option<Millis> {
        self.deadlines.first().map(|(at, _)| *at)
    }

    /// An attempt whose deadline has come, with its stage.
    pub fn overdue(&self, clock: Millis) -> Option<(Submission, Stage)> {
        let (_, submission_id) = self.deadlines.first().filter(|(at, _)| *at <= clock)?;
        let pending = self.by_ticket.get(submission_id)?;
        Some((pending.submit.clone(), pending.stage.clone()))
    }
}
