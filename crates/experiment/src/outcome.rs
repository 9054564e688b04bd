//! What became of one request, as its caller saw it.

use flamingolock_core::prelude::*;
use serde::{Deserialize, Serialize};

/// End of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// The whole answer came, and it is the right one.
    Answered,
    /// The system said that it will not serve the request.
    Refused {
        /// Status of the answer.
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
    /// The stream ended in an explicit error.
    Failed {
        /// Machine-readable reason.
        code: String,
    },
    /// The answer belongs to another request, or is out of order.
    Mixed,
    /// The answer ended short, without an error.
    Incomplete,
    /// No outcome at all, at any entry.
    Lost,
}

impl End {
    /// Machine-readable reason of an end that the system explained.
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

/// One request and what became of it.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Number within the load.
    pub number: u64,
    /// Time of arrival from the start of the load.
    pub at: Millis,
    /// Workspace that asked.
    pub workspace: WorkspaceId,
    /// Request kind.
    pub kind: KindName,
    /// End of the request.
    pub end: End,
    /// Time to the first token, or to the answer of a call, in microseconds.
    pub response_us: u64,
    /// Largest gap between two tokens, in microseconds.
    pub max_gap_us: u64,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens that came from a cache.
    pub cached_tokens: u32,
    /// Body of a call that may run at most once.
    pub at_most_once_body: Option<String>,
}
