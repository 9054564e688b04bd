//! Outcome of a request as observed by its caller.

use flamingolock_core::prelude::*;
use serde::{Deserialize, Serialize};

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// The answer is complete and correct.
    Answered,
    /// The system refused the request.
    Refused {
        /// HTTP status of the response.
        status: u16,
        /// Machine-readable reason.
        code: String,
    },
    /// The call did not run.
    NotRun {
        /// Machine-readable reason.
        code: String,
    },
    /// The call may have run.
    Unknown {
        /// Machine-readable reason.
        code: String,
    },
    /// The stream ended with an explicit error.
    Failed {
        /// Machine-readable reason.
        code: String,
    },
    /// The answer belongs to another request, or is out of order.
    Mixed,
    /// The answer is incomplete and ended without an error.
    Incomplete,
    /// No entry returned an outcome.
    Lost,
}

impl End {
    /// Returns the machine-readable reason, if the system gave one.
    pub fn code(&self) -> Option<&str> {
        match self {
            End::Refused { code, .. }
            | End::NotRun { code }
            | End::Unknown { code }
            | End::Failed { code } => Some(code),
            End::Answered | End::Mixed | End::Incomplete | End::Lost => None,
        }
    }
}

/// One request and its outcome.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Sequence number within the load.
    pub number: u64,
    /// Arrival time, relative to the start of the load.
    pub at: Millis,
    /// Workspace that sent the request.
    pub workspace: WorkspaceId,
    /// Request kind.
    pub kind: KindName,
    /// How the request ended.
    pub end: End,
    /// Time to the first token of a completion, or to the answer of a call, in
    /// microseconds.
    pub response_us: u64,
    /// Largest gap between two tokens, in microseconds.
    pub max_gap_us: u64,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Prompt tokens that were cached.
    pub cached_tokens: u32,
    /// Body of a call that must not be executed more than once; none for other requests.
    pub at_most_once_body: Option<String>,
}
