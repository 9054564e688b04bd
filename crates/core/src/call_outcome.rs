//! Outcomes of at-most-once calls, as reported to callers.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Answer of a service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallAnswer {
    /// HTTP status.
    pub status: u16,
    /// Media type of the body.
    pub content_type: String,
    /// The body.
    pub body: Vec<u8>,
}

/// Why a call did not run and never will run under its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "snake_case")]
pub enum NotRunReason {
    /// The node has too many at-most-once calls in progress.
    #[error("too many calls are under way")]
    Busy,
    /// The deadline passed before the call could be sent.
    #[error("the deadline passed before the call was sent")]
    Deadline,
    /// The claim could not be appended to the log, and no other node may send the call.
    #[error("the log could not take the claim")]
    LogDown,
    /// The claim was void, and no other node may send the call.
    #[error("the claim was void")]
    ClaimVoid,
    /// The owner was closed before it claimed the call.
    #[error("its node was closed before it claimed the call")]
    OwnerClosed,
    /// No connection to the service could be established.
    #[error("the service could not be reached")]
    Unsent,
}

/// Why it is unknown whether a call ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "snake_case")]
pub enum UnknownReason {
    /// The call was sent, and its answer was lost.
    #[error("the answer was lost")]
    AnswerLost,
    /// The call is still in progress at the deadline.
    #[error("the call is still under way")]
    Pending,
    /// The call was answered, and the answer is no longer stored.
    #[error("the call ran and its answer is no longer kept")]
    AnswerDropped,
    /// The call was forwarded to its owner, which did not report an outcome.
    #[error("the node that owns the call did not tell what became of it")]
    OwnerSilent,
    /// The only node that may send the call is lost.
    #[error("the node that owns the call is lost")]
    OwnerLost,
    /// The node that claimed the call is lost.
    #[error("the node that claimed the call is lost")]
    ClaimantLost,
    /// The claim could not be appended to the log, it is unknown whether it was, or it is
    /// void because this node was closed.
    #[error("the claim could not be written")]
    NotClaimed,
    /// The key has expired, so calls under it are no longer remembered.
    #[error("the key has expired")]
    Expired,
    /// The key was made by a clock that is too far ahead.
    #[error("the key is from the future")]
    Early,
    /// The node remembers too many calls or has too many in progress.
    #[error("too many calls are remembered")]
    Busy,
    /// The node has not read enough of the log.
    #[error("the node has not read enough of the log")]
    Unsettled,
}

impl UnknownReason {
    /// True when this submission neither sent the call nor forwarded it. A caller that
    /// used the key for the first time then knows that the call did not run; only an
    /// earlier submission can have run it.
    pub fn is_unsent(self) -> bool {
        match self {
            Self::AnswerLost | Self::Pending | Self::AnswerDropped | Self::OwnerSilent => false,
            Self::OwnerLost
            | Self::ClaimantLost
            | Self::NotClaimed
            | Self::Expired
            | Self::Early
            | Self::Busy
            | Self::Unsettled => true,
        }
    }
}

/// Outcome of a call, as reported to a caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The call ran and returned this answer.
    Answered(Arc<CallAnswer>),
    /// The call did not run and never will under this key.
    NotRun {
        /// Why it did not run.
        reason: NotRunReason,
        /// Delay after which the caller may try again with a new key.
        retry_after: Option<Millis>,
    },
    /// It is unknown whether the call ran or will still run.
    Unknown(UnknownReason),
    /// The key was used with a different body before. This submission ran nothing.
    Conflict,
}

/// Whether a call that failed may have reached its service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendFailure {
    /// No byte of the request was sent.
    NeverSent,
    /// Some bytes of the request may have arrived.
    Unknown,
}
