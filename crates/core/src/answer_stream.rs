//! Order and completeness of one streamed answer.
//!
//! Engines number the events of an answer. The cursor decides for each event
//! whether it is delivered, and after a break whether the same engine can go on,
//! another engine has to continue, or the stream ends in an error.

use serde::{Deserialize, Serialize};

use crate::ids::Incarnation;

/// Breaks after which a stream is given up.
pub const MAX_BREAKS: u32 = 6;

/// What an engine sent on a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamInput<'a> {
    /// One piece of the answer.
    Chunk {
        /// Attempt that the event names.
        id: &'a str,
        /// Position of the piece in the whole answer.
        index: u32,
    },
    /// The end of the answer.
    End {
        /// Attempt that the event names.
        id: &'a str,
        /// Pieces in the whole answer.
        count: u32,
    },
}

/// What to do with an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamStep {
    /// Pass the piece on to the caller.
    Deliver,
    /// Drop the piece: the caller has it.
    Skip,
    /// The answer is complete.
    Finish,
    /// The connection carries something that does not belong here; close it.
    Reject(StreamFault),
}

/// Why an event was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StreamFault {
    /// The event belongs to another request.
    Foreign,
    /// Pieces are missing before this one.
    Gap,
    /// The end names another number of pieces than were delivered.
    WrongCount,
}

/// How to go on after a connection broke or fell silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recovery {
    /// Ask the same engine incarnation for the stream from this index.
    Resume {
        /// First piece that is still missing.
        from: u32,
    },
    /// Let another engine continue the answer from this index.
    Continue {
        /// First piece that is still missing.
        from: u32,
    },
    /// End the stream with an explicit error.
    GiveUp,
}

/// Position within one answer.
#[derive(Clone, Debug)]
pub struct StreamCursor {
    attempt: String,
    incarnation: Incarnation,
    next: u32,
    breaks: u32,
}

impl StreamCursor {
    /// Starts at `from` with the engine incarnation that runs `attempt`.
    pub fn new(attempt: String, incarnation: Incarnation, from: u32) -> Self {
        Self {
            attempt,
            incarnation,
            next: from,
            breaks: 0,
        }
    }

    /// First piece that the caller does not have.
    pub fn next_index(&self) -> u32 {
        self.next
    }

    /// Engine incarnation that runs the current attempt.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Identifier of the current attempt.
    pub fn attempt(&self) -> &str {
        &self.attempt
    }

    /// Judges one event and moves on when it is the next piece.
    pub fn accept(&mut self, input: StreamInput<'_>) -> StreamStep {
        match input {
            StreamInput::Chunk { id, .. } | StreamInput::End { id, .. } if id != self.attempt => {
                StreamStep::Reject(StreamFault::Foreign)
            }
            StreamInput::Chunk { index, .. } if index < self.next => StreamStep::Skip,
            StreamInput::Chunk { index, .. } if index > self.next => {
                StreamStep::Reject(StreamFault::Gap)
            }
            StreamInput::Chunk { .. } => {
                self.next += 1;
                StreamStep::Deliver
            }
            StreamInput::End { count, .. } if count == self.next => StreamStep::Finish,
            StreamInput::End { .. } => StreamStep::Reject(StreamFault::WrongCount),
        }
    }

    /// Decides how to go on after a break. `alive` is the incarnation that the
    /// engine is known to have now, or `None` when it is gone or unreachable.
    pub fn recover(&mut self, alive: Option<Incarnation>) -> Recovery {
        self.breaks += 1;
        if self.breaks > MAX_BREAKS {
            return Recovery::GiveUp;
        }
        // A first break is most often the connection; a second one without the
        // same incarnation answering means that the engine is gone.
        if alive == Some(self.incarnation) {
            return Recovery::Resume { from: self.next };
        }
        Recovery::Continue { from: self.next }
    }

    /// Binds the cursor to a new attempt on another engine.
    pub fn rebind(&mut self, attempt: String, incarnation: Incarnation) {
        self.attempt = attempt;
        self.incarnation = incarnation;
    }
}
