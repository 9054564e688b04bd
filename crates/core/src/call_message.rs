//! What the desk of non-repeatable calls is told and what it asks for.

use std::sync::Arc;

use crate::call_key::CallKey;
use crate::call_outcome::{CallAnswer, Outcome, SendFailure};
use crate::claim_fold::{ClaimFold, Verdict};
use crate::prelude::*;
use crate::record::{CallId, Claim, NodeIncarnation};

/// Limits of a desk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallSettings {
    /// Calls remembered at once.
    pub max_calls: usize,
    /// Calls claimed or sent and not yet answered.
    pub max_active: usize,
    /// Bytes of remembered answers; the oldest are dropped first.
    pub answer_bytes: usize,
    /// Attempts to connect for one call.
    pub max_attempts: u32,
    /// What a refused caller is asked to wait.
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

/// Names one submission of a call at this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SubmissionId(pub u64);

/// A caller's attempt at a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Submission {
    /// Name of this attempt, unique at this node.
    pub submission_id: SubmissionId,
    /// The key.
    pub key: CallKey,
    /// Digest of the body.
    pub digest: String,
    /// When the caller stops waiting.
    pub deadline: Millis,
    /// True when the service offers a look-up by call id.
    pub lookup: bool,
    /// True when another node passed it on; it is not passed on again.
    pub forwarded: bool,
}

/// What happens to the desk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallInput {
    /// A caller submits a call.
    Submit(Box<Submission>),
    /// The fold judged a claim of this incarnation.
    ClaimDecided {
        /// The call.
        call: CallId,
        /// What became of the claim.
        verdict: Verdict,
    },
    /// A claim was never written and will not be.
    ClaimRefused {
        /// The call.
        call: CallId,
    },
    /// A claim may have been written or may yet be.
    ClaimInDoubt {
        /// The call.
        call: CallId,
    },
    /// The fold has a closing of this incarnation.
    Closed {
        /// The closed incarnation.
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
        /// The number that the send carried.
        attempt: u32,
        /// Whether it may have reached the service.
        failure: SendFailure,
    },
    /// The look-up ended, with the answer if the service had one.
    LookedUp {
        /// The call.
        call: CallId,
        /// The digest that the look-up carried.
        digest: String,
        /// The answer, when the service has run the call.
        found: Option<Arc<CallAnswer>>,
    },
    /// The node that an attempt was passed on to answered.
    ForwardAnswered {
        /// The attempt.
        submission_id: SubmissionId,
        /// What that node says.
        outcome: Outcome,
    },
    /// The node that an attempt was passed on to did not answer.
    ForwardFailed {
        /// The attempt.
        submission_id: SubmissionId,
    },
    /// Time has passed.
    Tick,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutput {
    /// Append this claim of this incarnation.
    Claim(Claim),
    /// Append a closing of the incarnation.
    Close(NodeIncarnation),
    /// Send the call with the body of this attempt, on a connection that is new
    /// or proven alive. The time is checked again right before the first byte:
    /// after `send_by` the call is not sent and reported as never sent.
    Send {
        /// The call.
        call: CallId,
        /// The attempt whose body is sent.
        submission_id: SubmissionId,
        /// Digest of the body, part of the call's identity towards the service.
        digest: String,
        /// Counts the attempts to connect, to be given back with a failure.
        attempt: u32,
        /// Last moment to send it.
        send_by: Millis,
    },
    /// Pass the attempt on to this incarnation, once.
    Forward {
        /// The attempt.
        submission_id: SubmissionId,
        /// The incarnation; another one at the same address must refuse it.
        to: NodeIncarnation,
    },
    /// Ask the service of this attempt for the call.
    Lookup {
        /// The call.
        call: CallId,
        /// The attempt that names the service.
        submission_id: SubmissionId,
        /// Digest of the body, part of the call's identity towards the service.
        digest: String,
    },
    /// Tell the caller of this attempt.
    Answer {
        /// The attempt.
        submission_id: SubmissionId,
        /// What it is told.
        outcome: Outcome,
    },
}

/// What the desk sees besides its own state.
pub struct CallContext<'a> {
    /// The claims stream as far as this node has read it.
    pub fold: &'a ClaimFold,
    /// Whether an incarnation is taken to be alive. A wrong answer costs
    /// availability only.
    pub is_live: &'a dyn Fn(&NodeIncarnation) -> bool,
}
