//! State machine that appends records to one stream of the log.
//!
//! Records are batched so that a node stays within its share of the append rate.
//! When the response to an append is lost, it is unknown whether the append took
//! effect. The appender then looks for its records in the tail of the stream before
//! it sends them again, and keeps their ids so that the folds detect duplicates.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::prelude::*;
use crate::record::{Record, RecordId};

/// Settings of the appender of one stream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AppendSettings {
    /// Maximum number of records in one append.
    pub batch_records: usize,
    /// Maximum time that a record waits for others to fill its batch.
    pub linger: Millis,
    /// Maximum sustained rate of this node in appends per second.
    pub rate: f64,
    /// Capacity of the token bucket: appends that may be sent back to back after an
    /// idle time.
    pub burst: f64,
    /// Maximum number of appends in flight.
    pub inflight: usize,
    /// An unconfirmed append is taken for absent once the tail was read to its end
    /// without its records, by a read that began this long after the loss.
    pub absence_delay: Millis,
}

impl Default for AppendSettings {
    fn default() -> Self {
        Self {
            batch_records: 256,
            linger: Millis(2),
            rate: 20.0,
            burst: 5.0,
            inflight: 4,
            absence_delay: Millis(500),
        }
    }
}

/// Identifies one append of this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BatchId(pub u64);

/// Input of the appender.
#[derive(Clone, Debug, PartialEq)]
pub enum AppendInput {
    /// A new record under a unique id. After `deadline` it is not sent any more.
    Submit {
        /// Unique id.
        id: RecordId,
        /// The record.
        record: Box<Record>,
        /// Time at which the appender stops waiting for the outcome.
        deadline: Millis,
    },
    /// The log confirmed the append.
    Acknowledged {
        /// The append.
        batch: BatchId,
        /// Offset of its first record.
        first: Offset,
    },
    /// The log rejected the append, and it certainly had no effect (status 429, an
    /// unambiguous 503, or a refused connection).
    Refused {
        /// The append.
        batch: BatchId,
        /// Delay that the log requests before the next append.
        retry_after: Millis,
    },
    /// No response arrived; the append may have taken effect or may still do so.
    Lost {
        /// The append.
        batch: BatchId,
    },
    /// This record was read from the tail of the stream.
    Observed {
        /// Offset of the record.
        offset: Offset,
        /// Id of the record.
        id: RecordId,
    },
    /// The tail was read to its end by a read that began at this time.
    CaughtUp {
        /// Start of the read.
        began: Millis,
    },
    /// Time has passed.
    Tick,
}

/// Outcome of one record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The record is in the log at this offset. The fold decides on its effect.
    Accepted(Offset),
    /// It was never appended and will not be.
    NotAppended,
    /// It is unknown whether it was appended; it is not sent again.
    Unknown,
}

/// Output of the appender.
#[derive(Clone, Debug, PartialEq)]
pub enum AppendOutput {
    /// Append these records.
    Send {
        /// Identifies the append; to be passed back with the response.
        batch: BatchId,
        /// The records in order.
        records: Vec<(RecordId, Record)>,
    },
    /// The response for this record was lost; the appender looks for it in the tail.
    Unconfirmed(RecordId),
    /// The outcome of the record is final.
    Settled {
        /// The record.
        id: RecordId,
        /// Its outcome.
        outcome: AppendOutcome,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Queued,
    InFlight,
    Unconfirmed { lost_at: Millis },
}

#[derive(Clone, Debug)]
struct PendingRecord {
    record: Record,
    deadline: Millis,
    queued_at: Millis,
    stage: Stage,
    /// An earlier attempt to send may have taken effect or may still do so.
    in_doubt: bool,
}

/// Appender of one stream. See the module documentation.
#[derive(Clone, Debug)]
pub struct Appender {
    settings: AppendSettings,
    pending: BTreeMap<RecordId, PendingRecord>,
    expiries: BTreeSet<(Millis, RecordId)>,
    queue: VecDeque<RecordId>,
    batches: BTreeMap<BatchId, Vec<RecordId>>,
    next_batch: u64,
    tokens: f64,
    refilled: Millis,
    resume_at: Millis,
}

impl Appender {
    /// An appender without records.
    pub fn new(settings: AppendSettings, now: Millis) -> Self {
        Self {
            settings,
            pending: BTreeMap::new(),
            expiries: BTreeSet::new(),
            queue: VecDeque::new(),
            batches: BTreeMap::new(),
            next_batch: 0,
            tokens: settings.burst,
            refilled: now,
            resume_at: Millis(0),
        }
    }

    /// Number of records whose outcome is not final.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// Processes an input and returns what to do next.
    pub fn step(&mut self, now: Millis, input: AppendInput) -> Vec<AppendOutput> {
        let mut outputs = Vec::new();
        match input {
            AppendInput::Submit {
                id,
                record,
                deadline,
            } => self.submit(now, id, *record, deadline),
            AppendInput::Acknowledged { batch, first } => {
                self.acknowledged(batch, first, &mut outputs);
            }
            AppendInput::Refused { batch, retry_after } => self.refused(now, batch, retry_after),
            AppendInput::Lost { batch } => self.lost(now, batch, &mut outputs),
            AppendInput::Observed { offset, id } => {
                self.settle(&id, AppendOutcome::Accepted(offset), &mut outputs);
            }
            AppendInput::CaughtUp { began } => self.caught_up(now, began),
            AppendInput::Tick => {}
        }
        self.expire(now, &mut outputs);
        self.send(now, &mut outputs);
        outputs
    }

    /// Time of the next required [`AppendInput::Tick`] if no other input comes before.
    pub fn next_tick(&self, now: Millis) -> Option<Millis> {
        let expiry = self.expiries.first()?.0;
        let ready = self.ready_at(now).unwrap_or(expiry);
        Some(ready.min(expiry))
    }

    fn submit(&mut self, now: Millis, id: RecordId, record: Record, deadline: Millis) {
        if self.pending.contains_key(&id) {
            return;
        }
        let entry = PendingRecord {
            record,
            deadline,
            queued_at: now,
            stage: Stage::Queued,
            in_doubt: false,
        };
        self.pending.insert(id.clone(), entry);
        self.expiries.insert((deadline, id.clone()));
        self.queue.push_back(id);
    }

    fn acknowledged(&mut self, batch: BatchId, first: Offset, outputs: &mut Vec<AppendOutput>) {
        let ids = self.batches.remove(&batch).unwrap_or_default();
        for (id, offset) in ids.iter().zip(first.0..) {
            self.settle(id, AppendOutcome::Accepted(Offset(offset)), outputs);
        }
    }

    fn refused(&mut self, now: Millis, batch: BatchId, retry_after: Millis) {
        self.resume_at = self.resume_at.max(now + retry_after);
        let ids = self.batches.remove(&batch).unwrap_or_default();
        // Pushed to the front in reverse, which keeps the order of submission.
        for id in ids.into_iter().rev() {
            if let Some(entry) = self.pending.get_mut(&id) {
                entry.stage = Stage::Queued;
                self.queue.push_front(id);
            }
        }
    }

    fn lost(&mut self, now: Millis, batch: BatchId, outputs: &mut Vec<AppendOutput>) {
        for id in self.batches.remove(&batch).unwrap_or_default() {
            if let Some(entry) = self.pending.get_mut(&id) {
                entry.stage = Stage::Unconfirmed { lost_at: now };
                entry.in_doubt = true;
                outputs.push(AppendOutput::Unconfirmed(id));
            }
        }
    }

    /// Queues unconfirmed records that the tail does not contain. An earlier append
    /// may still take effect later, so the records keep their ids.
    fn caught_up(&mut self, now: Millis, began: Millis) {
        for (id, entry) in &mut self.pending {
            let Stage::Unconfirmed { lost_at } = entry.stage else {
                continue;
            };
            if began >= lost_at + self.settings.absence_delay {
                entry.stage = Stage::Queued;
                entry.queued_at = now;
                self.queue.push_back(id.clone());
            }
        }
    }

    fn settle(&mut self, id: &RecordId, outcome: AppendOutcome, outputs: &mut Vec<AppendOutput>) {
        let Some(entry) = self.pending.remove(id) else {
            return;
        };
        let id = id.clone();
        self.expiries.remove(&(entry.deadline, id.clone()));
        outputs.push(AppendOutput::Settled { id, outcome });
    }

    fn expire(&mut self, now: Millis, outputs: &mut Vec<AppendOutput>) {
        while let Some((_, id)) = self.expiries.first().filter(|(at, _)| *at <= now).cloned() {
            let in_doubt = |entry: &PendingRecord| entry.in_doubt || entry.stage == Stage::InFlight;
            let outcome = if self.pending.get(&id).is_some_and(in_doubt) {
                AppendOutcome::Unknown
            } else {
                AppendOutcome::NotAppended
            };
            self.settle(&id, outcome, outputs);
        }
    }

    fn send(&mut self, now: Millis, outputs: &mut Vec<AppendOutput>) {
        self.refill(now);
        self.skip_settled();
        while self.ready_at(now).is_some_and(|at| at <= now) {
            self.tokens -= 1.0;
            outputs.push(self.next_send());
            self.skip_settled();
        }
    }

    /// Drops ids from the front of the queue whose outcome has become final.
    fn skip_settled(&mut self) {
        let is_queued = |entry: &PendingRecord| entry.stage == Stage::Queued;
        while let Some(id) = self.queue.front() {
            if self.pending.get(id).is_some_and(is_queued) {
                return;
            }
            self.queue.pop_front();
        }
    }

    fn next_send(&mut self) -> AppendOutput {
        let batch = BatchId(self.next_batch);
        self.next_batch += 1;
        let count = self.queue.len().min(self.settings.batch_records);
        let mut records = Vec::with_capacity(count);
        for id in self.queue.drain(..count) {
            let entry = self.pending.get_mut(&id);
            if let Some(entry) = entry.filter(|entry| entry.stage == Stage::Queued) {
                entry.stage = Stage::InFlight;
                records.push((id, entry.record.clone()));
            }
        }
        let ids = records.iter().map(|(id, _)| id.clone()).collect();
        self.batches.insert(batch, ids);
        AppendOutput::Send { batch, records }
    }

    fn refill(&mut self, now: Millis) {
        let gained = now.since(self.refilled).as_secs_f64() * self.settings.rate;
        self.tokens = (self.tokens + gained).min(self.settings.burst.max(1.0));
        self.refilled = self.refilled.max(now);
    }

    /// Earliest time of the next append; none while there is nothing to send or too
    /// many appends are in flight.
    fn ready_at(&self, now: Millis) -> Option<Millis> {
        let first = self.queue.front().and_then(|id| self.pending.get(id))?;
        if self.batches.len() >= self.settings.inflight {
            return None;
        }
        let lingered = if self.queue.len() >= self.settings.batch_records {
            first.queued_at
        } else {
            first.queued_at + self.settings.linger
        };
        let missing = (1.0 - self.tokens).max(0.0);
        let wait = (missing / self.settings.rate.max(f64::MIN_POSITIVE) * 1000.0).ceil();
        let budget = if missing > 0.0 {
            now + Millis(wait as u64)
        } else {
            now
        };
        Some(lingered.max(budget).max(self.resume_at))
    }
}
