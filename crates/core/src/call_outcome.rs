//! What a caller learns about a call that may run at most once.

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

/// Why a call did not run and never will under its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "snake_case")]
pub enum NotRunReason {
    /// The node has too many such calls under way.
    #[error("too many calls are under way")]
    Busy,
    /// The deadline passed before the call could be sent.
    #[error("the deadline passed before the call was sent")]
    Deadline,
    /// The claim could not be written, and nobody else may send the call.
    #[error("the log could not take the claim")]
    LogDown,
    /// The claim was void, and nobody else may send the call.
    #[error("the claim was void")]
    ClaimVoid,
    /// Its owner was closed before it claimed the call.
    #[error("its node was closed before it claimed the call")]
    OwnerClosed,
    /// No connection to the service could be made.
    #[error("the service could not be reached")]
    Unsent,
}

/// Why nobody knows whether a call ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "snake_case")]
pub enum UnknownReason {
    /// The call was sent and its answer was lost.
    #[error("the answer was lost")]
    AnswerLost,
    /// The call is still under way at the deadline.
    #[error("the call is still under way")]
    Pending,
    /// The call was answered, and the answer is no longer kept.
    #[error("the call ran and its answer is no longer kept")]
    AnswerDropped,
    /// The call was passed on to its owner, who did not tell what became of it.
    #[error("the node that owns the call did not tell what became of it")]
    OwnerSilent,
    /// The node that alone may send the call is lost.
    #[error("the node that owns the call is lost")]
    OwnerLost,
    /// The node that claimed the call is lost.
    #[error("the node that claimed the call is lost")]
    ClaimantLost,
    /// The claim could not be written or is in doubt.
    #[error("the claim could not be written")]
    NotClaimed,
    /// The key is older than what the system remembers.
    #[error("the key has expired")]
    Expired,
    /// The key is from a clock that is too far ahead.
    #[error("the key is from the future")]
    Early,
    /// The node remembers too many calls.
    #[error("too many calls are remembered")]
    Busy,
    /// The node has not read enough of the log.
    #[error("the node has not read enough of the log")]
    Unsettled,
}

impl UnknownReason {
    /// True when this very attempt sent nothing and handed the call to nobody.
    /// A caller that used the key for the first time then knows that the call
    /// did not run; only an earlier attempt can have run it.
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

/// What a caller is told.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The call ran, and this is its answer.
    Answered(Arc<CallAnswer>),
    /// The call did not run and never will under this key.
    NotRun {
        /// Why.
        reason: NotRunReason,
        /// When another attempt with a new key makes sense.
        retry_after: Option<Millis>,
    },
    /// Nobody knows whether the call ran or still will.
    Unknown(UnknownReason),
    /// Another body came under the same key. This attempt ran nothing.
    Conflict,
}

/// Whether a call that failed may have reached its service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendFailure {
    /// Not one byte of the request left this node.
    NeverSent,
    /// Some of it may have arrived.
    Unknown,
}
