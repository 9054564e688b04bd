//! Continuous batching: a priority queue, serial prefill and shared decode steps.
//!
//! [`Batch::step`] does not read the clock. It takes the current time and returns
//! when it has to be called again.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use flamingolock_core::prelude::*;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::answer::ExpectedAnswer;

/// Identifier of a stream, unique within one engine process.
pub(crate) type StreamKey = u64;

/// Longest interval between two scans for idle streams.
const IDLE_SCAN_INTERVAL: Duration = Duration::from_millis(200);

/// An accepted completion request.
pub(crate) struct Job {
    pub(crate) request_id: String,
    pub(crate) answer: ExpectedAnswer,
    pub(crate) salt: PrefixSeed,
    /// Blocks of the prefix: the prompt and the answer so far.
    pub(crate) chain: PrefixChain,
    pub(crate) prompt_tokens: u32,
    pub(crate) priority: u8,
    /// Index of the first token to generate.
    pub(crate) first_index: u32,
    /// Total number of tokens in the answer, including those before `first_index`.
    pub(crate) token_count: u32,
}

/// Lifecycle phase of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    Running,
    Finished,
    Cancelled,
    Interrupted,
}

/// Progress of a stream, as published to its readers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Progress {
    pub(crate) phase: Phase,
    /// Index of the next token to generate.
    pub(crate) next_index: u32,
    pub(crate) cached_tokens: u32,
}

struct Stream {
    job: Arc<Job>,
    progress: watch::Sender<Progress>,
    readers: u32,
    /// When the stream was assigned a slot.
    admitted_at: Instant,
    /// When a reader last left, or the stream ended.
    idle_since: Instant,
}

/// Capacity and timing of a batch.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BatchLimits {
    pub(crate) slots: usize,
    pub(crate) max_waiting: usize,
    pub(crate) prefill_rate: f64,
    pub(crate) decode_step: Duration,
    /// How long a stream is kept without a reader.
    pub(crate) retention: Duration,
}

/// Prefill transitions that the batch reports to the cache.
pub(crate) enum PrefillEvent {
    /// Prefill starts; the callback returns the number of cached tokens.
    Started,
    /// Prefill has finished and the blocks can be stored.
    Finished,
}

/// Error of [`Batch::submit`] when `max_waiting` requests are already queued.
pub(crate) struct QueueFull;

/// All streams of an engine and their position in the pipeline.
pub(crate) struct Batch {
    limits: BatchLimits,
    streams: BTreeMap<StreamKey, Stream>,
    by_request_id: BTreeMap<String, StreamKey>,
    waiting: BTreeSet<(Reverse<u8>, StreamKey)>,
    prefill_queue: VecDeque<StreamKey>,
    prefilling: Option<(StreamKey, Instant)>,
    /// When the accelerator last finished a prefill, or one was interrupted.
    last_prefill_end: Instant,
    decoding: BTreeSet<StreamKey>,
    next_decode: Instant,
    last_key: StreamKey,
}

impl Batch {
    pub(crate) fn new(limits: BatchLimits, now: Instant) -> Self {
        Self {
            limits,
            streams: BTreeMap::new(),
            by_request_id: BTreeMap::new(),
            waiting: BTreeSet::new(),
            prefill_queue: VecDeque::new(),
            prefilling: None,
            last_prefill_end: now,
            decoding: BTreeSet::new(),
            next_decode: now,
            last_key: 0,
        }
    }

    /// Requests that hold a slot.
    pub(crate) fn running(&self) -> usize {
        self.prefill_queue.len() + usize::from(self.prefilling.is_some()) + self.decoding.len()
    }

    /// Requests without a slot.
    pub(crate) fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Prefix tokens of all requests whose prefill has not finished.
    pub(crate) fn queued_tokens(&self) -> u64 {
        let waiting = self.waiting.iter().map(|(_, key)| key);
        let prefilling = self.prefilling.iter().map(|(key, _)| key);
        let keys = waiting.chain(&self.prefill_queue).chain(prefilling);
        keys.filter_map(|key| self.streams.get(key))
            .map(|stream| u64::from(stream.job.chain.tokens))
            .sum()
    }

    /// Enqueues a request; it waits until [`Batch::step`] assigns it a slot.
    pub(crate) fn submit(&mut self, job: Job, now: Instant) -> Result<StreamKey, QueueFull> {
        if self.waiting.len() >= self.limits.max_waiting {
            return Err(QueueFull);
        }
        self.last_key += 1;
        let key = self.last_key;
        let progress = Progress {
            phase: Phase::Running,
            next_index: job.first_index,
            cached_tokens: 0,
        };
        self.waiting.insert((Reverse(job.priority), key));
        self.by_request_id.insert(job.request_id.clone(), key);
        let stream = Stream {
            job: Arc::new(job),
            progress: watch::Sender::new(progress),
            readers: 0,
            admitted_at: now,
            idle_since: now,
        };
        self.streams.insert(key, stream);
        Ok(key)
    }

    /// The most recent stream with this request id.
    pub(crate) fn find(&self, request_id: &str) -> Option<StreamKey> {
        self.by_request_id.get(request_id).copied()
    }

    pub(crate) fn job(&self, key: StreamKey) -> Option<&Arc<Job>> {
        self.streams.get(&key).map(|stream| &stream.job)
    }

    /// Adds a reader; each call must be paired with [`Batch::remove_reader`].
    pub(crate) fn add_reader(&mut self, key: StreamKey) -> Option<watch::Receiver<Progress>> {
        let stream = self.streams.get_mut(&key)?;
        stream.readers += 1;
        Some(stream.progress.subscribe())
    }

    /// Removes a reader and restarts the idle time of the stream.
    pub(crate) fn remove_reader(&mut self, key: StreamKey, now: Instant) {
        if let Some(stream) = self.streams.get_mut(&key) {
            stream.readers -= 1;
            stream.idle_since = now;
        }
    }

    /// Ends a running stream and frees its slot; false if it is not running.
    pub(crate) fn end(&mut self, key: StreamKey, phase: Phase, now: Instant) -> bool {
        let Some(stream) = self.streams.get_mut(&key) else {
            return false;
        };
        if stream.progress.borrow().phase != Phase::Running {
            return false;
        }
        stream.progress.send_modify(|p| p.phase = phase);
        stream.idle_since = now;
        self.waiting.remove(&(Reverse(stream.job.priority), key));
        self.prefill_queue.retain(|k| *k != key);
        self.decoding.remove(&key);
        if self.prefilling.is_some_and(|(k, _)| k == key) {
            self.prefilling = None;
            self.last_prefill_end = now;
        }
        true
    }

    /// Interrupts all running streams and returns their number.
    pub(crate) fn interrupt_all(&mut self, now: Instant) -> u64 {
        let keys: Vec<StreamKey> = self.streams.keys().copied().collect();
        let cut = keys
            .into_iter()
            .filter(|k| self.end(*k, Phase::Interrupted, now));
        cut.count() as u64
    }

    /// Postpones the pending prefill and the next decode step by `span`.
    pub(crate) fn delay(&mut self, span: Duration) {
        self.next_decode += span;
        if let Some((_, due)) = &mut self.prefilling {
            *due += span;
        }
    }

    /// Removes every stream; its readers see the progress channel close.
    pub(crate) fn clear(&mut self) {
        self.streams.clear();
        self.by_request_id.clear();
    }

    /// Does all work that is due at `now`. Returns when to call it again, and the
    /// final phase of each stream that ended.
    pub(crate) fn step(
        &mut self,
        now: Instant,
        mut prefill: impl FnMut(PrefillEvent, &Job) -> u32,
    ) -> (Option<Instant>, Vec<Phase>) {
        let mut ended = Vec::new();
        self.remove_idle_streams(now, &mut ended);
        loop {
            self.admit(now);
            self.begin_prefill(&mut prefill);
            let prefilled = self.end_prefill(now, &mut prefill, &mut ended);
            let decoded = self.decode(now, &mut ended);
            if !prefilled && !decoded {
                return (self.next_step(now), ended);
            }
        }
    }

    fn admit(&mut self, now: Instant) {
        while self.running() < self.limits.slots {
            let Some((_, key)) = self.waiting.pop_first() else {
                return;
            };
            self.stream_mut(key).admitted_at = now;
            self.prefill_queue.push_back(key);
        }
    }

    fn begin_prefill(&mut self, prefill: &mut impl FnMut(PrefillEvent, &Job) -> u32) {
        if self.prefilling.is_some() {
            return;
        }
        let Some(key) = self.prefill_queue.pop_front() else {
            return;
        };
        let stream = self.stream_mut(key);
        let admitted_at = stream.admitted_at;
        let cached = prefill(PrefillEvent::Started, &stream.job);
        stream.progress.send_modify(|p| p.cached_tokens = cached);
        // The last token is always computed, because it yields the first output token.
        let missing = stream.job.chain.tokens.saturating_sub(cached).max(1);
        let cost = Duration::from_secs_f64(f64::from(missing) / self.limits.prefill_rate);
        // Timers fire late. A prefill that was already queued starts when the
        // previous one ended rather than now, so that the delays don't add up and
        // lower the throughput.
        let begin = self.last_prefill_end.max(admitted_at);
        self.prefilling = Some((key, begin + cost));
    }

    fn end_prefill(
        &mut self,
        now: Instant,
        prefill: &mut impl FnMut(PrefillEvent, &Job) -> u32,
        ended: &mut Vec<Phase>,
    ) -> bool {
        let Some((key, due)) = self.prefilling.filter(|(_, due)| *due <= now) else {
            return false;
        };
        self.prefilling = None;
        self.last_prefill_end = due;
        prefill(PrefillEvent::Finished, &self.stream_mut(key).job);
        if self.decoding.is_empty() {
            self.next_decode = due + self.limits.decode_step;
        }
        self.decoding.insert(key);
        self.emit_token(key, now, ended);
        true
    }

    fn decode(&mut self, now: Instant, ended: &mut Vec<Phase>) -> bool {
        if self.decoding.is_empty() || self.next_decode > now {
            return false;
        }
        self.next_decode += self.limits.decode_step.max(MIN_DECODE);
        let keys: Vec<StreamKey> = self.decoding.iter().copied().collect();
        for key in keys {
            self.emit_token(key, now, ended);
        }
        true
    }

    fn emit_token(&mut self, key: StreamKey, now: Instant, ended: &mut Vec<Phase>) {
        let stream = self.stream_mut(key);
        let count = stream.job.token_count;
        stream
            .progress
            .send_modify(|p| p.next_index = count.min(p.next_index + 1));
        if stream.progress.borrow().next_index == count && self.end(key, Phase::Finished, now) {
            ended.push(Phase::Finished);
        }
    }

    fn remove_idle_streams(&mut self, now: Instant, ended: &mut Vec<Phase>) {
        let retention = self.limits.retention;
        let idle = |stream: &Stream| stream.readers == 0 && now - stream.idle_since >= retention;
        let streams = self.streams.iter();
        let idle: Vec<StreamKey> = streams.filter(|(_, s)| idle(s)).map(|(k, _)| *k).collect();
        for key in idle {
            if self.end(key, Phase::Cancelled, now) {
                ended.push(Phase::Cancelled);
            }
            if let Some(stream) = self.streams.remove(&key)
                && self.by_request_id.get(&stream.job.request_id) == Some(&key)
            {
                self.by_request_id.remove(&stream.job.request_id);
            }
        }
    }

    fn next_step(&self, now: Instant) -> Option<Instant> {
        if self.streams.is_empty() {
            return None;
        }
        let mut next = now + IDLE_SCAN_INTERVAL;
        if let Some((_, due)) = self.prefilling {
            next = next.min(due);
        }
        if !self.decoding.is_empty() {
            next = next.min(self.next_decode);
        }
        Some(next)
    }

    fn stream_mut(&mut self, key: StreamKey) -> &mut Stream {
        let stream = self.streams.get_mut(&key);
        stream.expect("every stream in the pipeline is in the stream table")
    }
}

/// Lower bound of the decode step, so that every step advances the time.
const MIN_DECODE: Duration = Duration::from_micros(10);
