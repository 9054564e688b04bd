//! One append-only stream of the platform's log.

use std::collections::VecDeque;

use flamingolock_core::prelude::*;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A record to append.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct NewRecord {
    /// Unique id chosen by the writer.
    pub id: String,
    /// Content, opaque to the log.
    pub body: Value,
}

/// A record of the log.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LogRecord {
    /// Position in the stream.
    pub offset: Offset,
    /// When the record was appended, since the Unix epoch.
    pub time_ms: Millis,
    /// Unique id chosen by the writer.
    pub id: String,
    /// Content, opaque to the log.
    pub body: Value,
}

/// Result of a read.
pub(crate) enum ReadOutcome {
    /// Records from the requested offset on; empty at the end of the stream.
    Records(Vec<LogRecord>),
    /// The requested offset has been trimmed.
    Trimmed,
}

/// The retained records of one stream.
#[derive(Default)]
pub(crate) struct LogStream {
    start: u64,
    records: VecDeque<LogRecord>,
}

impl LogStream {
    /// Oldest retained offset.
    pub(crate) fn start(&self) -> Offset {
        Offset(self.start)
    }

    /// Offset of the next record to be appended.
    pub(crate) fn end(&self) -> Offset {
        Offset(self.start + self.records.len() as u64)
    }

    /// Appends records and returns the offset of the first.
    pub(crate) fn append(&mut self, records: Vec<NewRecord>, now: Millis) -> Offset {
        let first = self.end();
        for record in records {
            let offset = self.end();
            self.records.push_back(LogRecord {
                offset,
                time_ms: now,
                id: record.id,
                body: record.body,
            });
        }
        first
    }

    /// Reads at most `max` records from `from` on.
    pub(crate) fn read(&self, from: Offset, max: usize) -> ReadOutcome {
        let Some(skip) = from.0.checked_sub(self.start) else {
            return ReadOutcome::Trimmed;
        };
        let records = self.records.iter().skip(skip as usize).take(max);
        ReadOutcome::Records(records.cloned().collect())
    }

    /// Drops the oldest records while there are more than `keep` or the first one is
    /// older than `oldest`.
    pub(crate) fn trim(&mut self, keep: usize, oldest: Millis) {
        while let Some(first) = self.records.front() {
            if self.records.len() <= keep && first.time_ms >= oldest {
                return;
            }
            self.records.pop_front();
            self.start += 1;
        }
    }
}
