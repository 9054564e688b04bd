//! Inputs and outputs of [`crate::call_coordinator`].

use std::sync::Arc;

use crate::call_key::CallKey;
use crate::call_outcome::{CallAnswer, Outcome, SendFailure};
use crate::claim_fold::{ClaimFold, Verdict};
use crate::prelude::*;
use crate::record::{CallId, Claim, NodeIncarnation};

/// Settings of a call coordinator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallSettings {
    /// Maximum number of remembered calls.
    pub max_calls: usize,
    /// Maximum number of calls that are being claimed, sent or looked up.
    pub max_active: usize,
    /// Maximum size of stored answers in bytes; the oldest are dropped first.
    pub answer_bytes: usize,
    /// Maximum number of attempts to connect for one call.
    pub max_attempts: u32,
    /// Delay that a rejected caller is asked to wait.
    pub retry_after: Millis,
}

impl Default for CallSettings {
    fn default() -> Self {
        Self {
            max_calls: 100_000,
            max_active: 2_000,
            answer_bytes: 64 << 20,
            max_attempts: 3,
            retry_after: Millis(1_000),
        }
    }
}

/// Identifies one submission of a call at this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SubmissionId(pub u64);

/// One submission of a call by a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Submission {
    /// Id of this submission, unique at this node.
    pub id: SubmissionId,
    /// Idempotency key.
    pub key: CallKey,
    /// Digest of the body.
    pub digest: String,
    /// Time at which the caller stops waiting.
    pub deadline: Millis,
    /// True when the service offers a look-up by call id.
    pub lookup: bool,
    /// True when another node forwarded it. It is not forwarded again.
    pub forwarded: bool,
}

/// Input of the call coordinator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallInput {
    /// A caller submits a call.
    Submit(Box<Submission>),
    /// The fold decided on a claim of this node incarnation.
    ClaimDecided {
        /// The call.
        call: CallId,
        /// Decision on the claim.
        verdict: Verdict,
    },
    /// A claim was not appended to the log and will not be.
    ClaimRefused {
        /// The call.
        call: CallId,
    },
    /// A claim may have been appended to the log or may still be.
    ClaimInDoubt {
        /// The call.
        call: CallId,
    },
    /// The fold applied a closing of this node incarnation.
    Closed {
        /// The closed node incarnation.
        node: NodeIncarnation,
    },
    /// The service answered.
    Answered {
        /// The call.
        call: CallId,
        /// Its answer.
        answer: Arc<CallAnswer>,
    },
    /// The call failed without an answer.
    SendFailed {
        /// The call.
        call: CallId,
        /// Attempt number from [`CallOutput::Send`].
        attempt: u32,
        /// Whether the request may have reached the service.
        failure: SendFailure,
    },
    /// The look-up ended, with the answer if the service had one.
    LookedUp {
        /// The call.
        call: CallId,
        /// Digest from [`CallOutput::Lookup`].
        digest: String,
        /// The answer, when the service has run the call.
        found: Option<Arc<CallAnswer>>,
    },
    /// The node that a submission was forwarded to has answered.
    ForwardAnswered {
        /// The submission.
        submission_id: SubmissionId,
        /// Outcome that the node reported.
        outcome: Outcome,
    },
    /// The node that a submission was forwarded to did not answer or did not accept it.
    ForwardFailed {
        /// The submission.
        submission_id: SubmissionId,
    },
    /// Time has passed.
    Tick,
}

/// Output of the call coordinator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutput {
    /// Append this claim for this node incarnation.
    Claim(Claim),
    /// Append a closing of the node incarnation.
    Close(NodeIncarnation),
    /// Send the call with the body of this submission, on a connection that is new or
    /// known to be alive. The time is checked again right before the first byte: from
    /// `send_by` on, the call is not sent, and reported as [`SendFailure::NeverSent`].
    Send {
        /// The call.
        call: CallId,
        /// The submission whose body is sent.
        submission_id: SubmissionId,
        /// Digest of the body, part of the call's identity towards the service.
        digest: String,
        /// Number of the attempt to connect, to be passed back with a failure.
        attempt: u32,
        /// Time from which on the call must not be sent.
        send_by: Millis,
    },
    /// Forward the submission to this node incarnation, once.
    Forward {
        /// The submission.
        submission_id: SubmissionId,
        /// The receiver. Another incarnation of the node at the same address must reject
        /// the submission.
        to: NodeIncarnation,
    },
    /// Look up the call at the service of this submission.
    Lookup {
        /// The call.
        call: CallId,
        /// The submission that names the service.
        submission_id: SubmissionId,
        /// Digest of the body, part of the call's identity towards the service.
        digest: String,
    },
    /// Report an outcome to the caller of this submission.
    Answer {
        /// The submission.
        submission_id: SubmissionId,
        /// The outcome.
        outcome: Outcome,
    },
}

/// What the coordinator reads in addition to its own state.
pub struct CallContext<'a> {
    /// The claims stream as far as this node has read it.
    pub fold: &'a ClaimFold,
    /// Whether a node incarnation is believed to be live. A wrong answer affects only
    /// availability, not the at-most-once guarantee.
    pub is_live: &'a dyn Fn(&NodeIncarnation) -> bool,
}
