//! Appends to one stream of the log as a state machine.
//!
//! Records are gathered into few appends under this node's share of the append
//! rate. An answer that was lost leaves open whether the append took effect, so
//! the record is looked for in the tail before it is sent again, and then under
//! the same id, which the folds recognise.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::prelude::*;
use crate::record::{Record, RecordId};

/// Limits of one stream's appends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AppendSettings {
    /// Records in one append.
    pub batch_records: usize,
    /// Longest wait of a record for others to share its append.
    pub linger: Millis,
    /// Appends a second of this node.
    pub rate: f64,
    /// Appends that may follow each other at once after a calm time.
    pub burst: f64,
    /// Appends whose answers are awaited at once.
    pub inflight: usize,
    /// A lost append is taken for absent when the tail was read to its end by a
    /// read that began this long after the loss.
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

/// Names one append of this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BatchId(pub u64);

/// What happens to the appender.
#[derive(Clone, Debug, PartialEq)]
pub enum AppendInput {
    /// A new record under a unique id. After `deadline` it is not sent any more.
    Submit {
        /// Unique id.
        id: RecordId,
        /// The record.
        record: Box<Record>,
        /// When its outcome is no longer waited for.
        deadline: Millis,
    },
    /// The log took the append.
    Acknowledged {
        /// The append.
        batch: BatchId,
        /// Offset of its first record.
        first: Offset,
    },
    /// The log refused the append before it had an effect (status 429, or 503
    /// without any doubt, or the connection was refused).
    Refused {
        /// The append.
        batch: BatchId,
        /// How long the log asks to wait.
        retry_after: Millis,
    },
    /// No answer came; the append may have taken effect or may yet.
    Lost {
        /// The append.
        batch: BatchId,
    },
    /// The tail has this record.
    Observed {
        /// Where it stands.
        offset: Offset,
        /// Its id.
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

/// How a record ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendOutcome {
    /// It stands at this offset. The fold decides what it does there.
    Accepted(Offset),
    /// It was never appended and will not be.
    NotAppended,
    /// Nobody knows whether it was appended; it is not sent again.
    Unknown,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq)]
pub enum AppendOutput {
    /// Append these records.
    Send {
        /// Name of the append, to be given back with its answer.
        batch: BatchId,
        /// The records in order.
        records: Vec<(RecordId, Record)>,
    },
    /// The answer for this record was lost; it is looked for in the tail.
    Unconfirmed(RecordId),
    /// The record has come to its end.
    Settled {
        /// The record.
        id: RecordId,
        /// How it ended.
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
    /// An earlier send may have taken effect, or may yet.
    in_doubt: bool,
}

/// Appends of one stream. See the module's description.
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
    /// An appender with nothing to do.
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

    /// Records that have not come to their end.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// Takes an input and says what to do next.
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

    /// When the appender wants its next tick, if nothing else happens before.
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
        // Reversed, so that the queue keeps the order of submission.
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

    /// Queues the lost records again that the tail shows to be absent so far.
    /// They may still turn up, so they keep their id.
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

    /// Drops ids from the front of the queue that came to their end meanwhile.
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

    /// When the next append may go; none while there is nothing to send or too
    /// many appends are under way.
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
