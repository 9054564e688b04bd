//! Order and completeness of one streamed answer.
//!
//! Engines number the events of an answer. The cursor decides whether each event is
//! delivered. After a connection failure, it decides whether the stream is resumed at
//! the same engine, continued by another engine or ended with an error.

use serde::{Deserialize, Serialize};

use crate::ids::Incarnation;

/// Maximum number of connection failures of a stream before it ends with an error.
pub const MAX_BREAKS: u32 = 6;

/// Event that an engine sent on a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamInput<'a> {
    /// One chunk of the answer.
    Chunk {
        /// Id of the attempt that the event belongs to.
        id: &'a str,
        /// Position of the chunk in the whole answer.
        index: u32,
    },
    /// The end of the answer.
    End {
        /// Id of the attempt that the event belongs to.
        id: &'a str,
        /// Number of chunks in the whole answer.
        count: u32,
    },
}

/// What to do with an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamStep {
    /// Deliver the chunk to the caller.
    Deliver,
    /// Drop the chunk, which the caller already has.
    Skip,
    /// The answer is complete.
    Finish,
    /// The event is not a valid continuation of the answer; close the connection.
    Reject(StreamFault),
}

/// Why an event was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StreamFault {
    /// The event belongs to another request.
    Foreign,
    /// Chunks before this one are missing.
    Gap,
    /// The number of chunks at the end differs from the number delivered.
    WrongCount,
}

/// How to recover after a connection broke or fell silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recovery {
    /// Request the stream from this index from the same engine incarnation.
    Resume {
        /// Index of the first missing chunk.
        from: u32,
    },
    /// Let another engine continue the answer from this index.
    Continue {
        /// Index of the first missing chunk.
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
    /// A cursor at chunk `from` of the answer, with the engine incarnation that runs
    /// `attempt`.
    pub fn new(attempt: String, incarnation: Incarnation, from: u32) -> Self {
        Self {
            attempt,
            incarnation,
            next: from,
            breaks: 0,
        }
    }

    /// Index of the first chunk that the caller does not have.
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

    /// Decides on one event, and advances when it is the next chunk.
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

    /// Decides how to recover from a connection failure. `alive` is the current
    /// incarnation of the engine, or `None` when the engine is gone or unreachable.
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

    /// Continues the answer with a new attempt at another engine.
    pub fn rebind(&mut self, attempt: String, incarnation: Incarnation) {
        self.attempt = attempt;
        self.incarnation = incarnation;
    }
}
