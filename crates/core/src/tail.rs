//! The latest records of one log stream, kept in memory for peers.

use std::collections::VecDeque;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Most records in a tail.
pub const TAIL_RECORDS: usize = 10_000;

/// Most record bytes in a tail.
pub const TAIL_BYTES: usize = 4 * 1024 * 1024;

/// Most record bytes in one batch, unless a single record is longer.
pub const BATCH_BYTES: usize = 256 * 1024;

/// Bytes of a record beside its id and body.
const RECORD_OVERHEAD: usize = 32;

/// One record of the platform's log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Its position.
    pub offset: Offset,
    /// When the platform took it.
    pub time: Millis,
    /// Its unique id.
    pub id: Arc<str>,
    /// Its body as JSON text.
    pub body: Arc<str>,
}

impl Record {
    /// Approximate size in memory and on the wire.
    pub fn bytes(&self) -> usize {
        self.id.len() + self.body.len() + RECORD_OVERHEAD
    }
}

/// Answer to a request for records.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Batch {
    /// Consecutive records, at least one.
    Records(Vec<Record>),
    /// The first wanted record is no longer held.
    TooOld,
    /// The first wanted record is not there yet.
    NotYet,
}

/// Consecutive records up to the next offset.
#[derive(Clone, Debug)]
pub struct LogTail {
    next: Offset,
    records: VecDeque<Record>,
    bytes: usize,
}

impl LogTail {
    /// No records before `next`.
    pub fn new(next: Offset) -> Self {
        Self {
            next,
            records: VecDeque::new(),
            bytes: 0,
        }
    }

    /// The offset after the last record.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Takes the records that follow without a gap, and returns them. Known ones are
    /// skipped, and everything after a gap is left out.
    pub fn append(&mut self, records: Vec<Record>) -> Vec<Record> {
        let mut taken = Vec::new();
        for record in records {
            if record.offset < self.next {
                continue;
            }
            if record.offset > self.next {
                break;
            }
            self.next = record.offset.next();
            self.bytes += record.bytes();
            self.records.push_back(record.clone());
            taken.push(record);
        }
        self.trim();
        taken
    }

    /// Moves to a later offset without the records in between; false when the offset
    /// is not later.
    pub fn advance_to(&mut self, next: Offset) -> bool {
        if next <= self.next {
            return false;
        }
        *self = Self::new(next);
        true
    }

    /// Up to `max` records from `from` on.
    pub fn batch(&self, from: Offset, max: u32) -> Batch {
        if from >= self.next {
            return Batch::NotYet;
        }
        let Some(skip) = self
            .records
            .front()
            .and_then(|first| from.0.checked_sub(first.offset.0))
        else {
            return Batch::TooOld;
        };
        let mut bytes = 0;
        let wanted = self.records.iter().skip(skip as usize);
        let records = wanted
            .take(max.max(1) as usize)
            .take_while(|record| {
                let fits = bytes == 0 || bytes + record.bytes() <= BATCH_BYTES;
                bytes += record.bytes();
                fits
            })
            .cloned()
            .collect();
        Batch::Records(records)
    }

    fn trim(&mut self) {
        while self.records.len() > TAIL_RECORDS || self.bytes > TAIL_BYTES {
            let Some(oldest) = self.records.pop_front() else {
                return;
            };
            self.bytes -= oldest.bytes();
        }
    }
}
