//! The platform's log service: streams, append rate limits, retention and lost
//! responses.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Duration;

use flamingolock_core::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::time::{Instant, timeout_at};

use crate::clock::unix_now;
use crate::log_stream::{LogRecord, LogStream, NewRecord, ReadOutcome};
use crate::rate_limit::RateLimit;
use crate::server::lock;

/// Counters of the log service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogReport {
    /// Appends that were applied.
    pub appends: u64,
    /// Records that were written.
    pub records: u64,
    /// Appends that were rejected by a rate limit.
    pub refused: u64,
    /// Appends that were applied but whose response was dropped.
    pub lost_answers: u64,
}

/// Rate limits and retention of the log service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LogLimits {
    pub(crate) appends_per_s: f64,
    pub(crate) records_per_s: f64,
    pub(crate) max_records: usize,
    pub(crate) max_age: Millis,
}

/// Outcome of an append.
pub(crate) enum AppendOutcome {
    Done {
        first: Offset,
        count: usize,
    },
    /// Applied, but the response must be dropped.
    AnswerLost,
    RateExceeded,
}

/// One page of a stream.
pub(crate) struct LogPage {
    pub(crate) start: Offset,
    pub(crate) end: Offset,
    /// `None` if the requested offset has been trimmed.
    pub(crate) records: Option<Vec<LogRecord>>,
}

struct State {
    streams: BTreeMap<String, LogStream>,
    appends: RateLimit,
    records: RateLimit,
    rng: ChaCha8Rng,
    /// Number of upcoming appends whose responses are dropped.
    lose_next: u64,
    lose_probability: f64,
    report: LogReport,
}

/// A log service with any number of streams.
pub(crate) struct LogService {
    limits: LogLimits,
    state: Mutex<State>,
    /// Incremented by every append, to wake waiting readers.
    appended: watch::Sender<u64>,
}

impl LogService {
    pub(crate) fn new(limits: LogLimits, lose_probability: f64, seed: u64) -> Self {
        let now = Instant::now();
        let state = State {
            streams: BTreeMap::new(),
            appends: RateLimit::new(limits.appends_per_s, now),
            records: RateLimit::new(limits.records_per_s, now),
            rng: ChaCha8Rng::seed_from_u64(seed),
            lose_next: 0,
            lose_probability,
            report: LogReport::default(),
        };
        Self {
            limits,
            state: Mutex::new(state),
            appended: watch::Sender::new(0),
        }
    }

    pub(crate) fn report(&self) -> LogReport {
        lock(&self.state).report
    }

    /// Drops the responses of the next `count` appends.
    pub(crate) fn lose_next(&self, count: u64) {
        lock(&self.state).lose_next = count;
    }

    /// Drops the response of each append with this probability.
    pub(crate) fn set_lose_probability(&self, probability: f64) {
        lock(&self.state).lose_probability = probability.clamp(0.0, 1.0);
    }

    /// Appends records if both rate limits allow it.
    pub(crate) fn append(&self, stream: &str, records: Vec<NewRecord>) -> AppendOutcome {
        let now = Instant::now();
        let count = records.len();
        let mut state = lock(&self.state);
        let allowed = state.appends.allows(1.0, now) && state.records.allows(count as f64, now);
        if !allowed {
            state.report.refused += 1;
            return AppendOutcome::RateExceeded;
        }
        state.appends.consume(1.0);
        state.records.consume(count as f64);
        let first = self.write(&mut state, stream, records);
        if state.loses_answer() {
            state.report.lost_answers += 1;
            return AppendOutcome::AnswerLost;
        }
        AppendOutcome::Done { first, count }
    }

    /// Appends a record, bypassing the rate limits.
    pub(crate) fn inject(&self, stream: &str, record: NewRecord) -> Offset {
        self.write(&mut lock(&self.state), stream, vec![record])
    }

    fn write(&self, state: &mut State, stream: &str, records: Vec<NewRecord>) -> Offset {
        state.report.appends += 1;
        state.report.records += records.len() as u64;
        let log = state.streams.entry(stream.to_owned()).or_default();
        let first = log.append(records, unix_now());
        self.trim(log);
        self.appended.send_modify(|n| *n += 1);
        first
    }

    fn trim(&self, log: &mut LogStream) {
        let oldest = unix_now() - self.limits.max_age;
        log.trim(self.limits.max_records, oldest);
    }

    /// Reads a page. Waits up to `until` for a record if the page is empty.
    pub(crate) async fn read(
        &self,
        stream: &str,
        from: Offset,
        max: usize,
        until: Instant,
    ) -> LogPage {
        let mut appended = self.appended.subscribe();
        loop {
            let page = self.page(stream, from, max);
            let found = page.records.as_ref().is_none_or(|list| !list.is_empty());
            if found || Instant::now() >= until {
                return page;
            }
            // Neither error matters: the sender lives as long as the log, and after
            // a timeout the next iteration returns the page.
            let _ = timeout_at(until, appended.changed()).await;
        }
    }

    fn page(&self, stream: &str, from: Offset, max: usize) -> LogPage {
        let mut state = lock(&self.state);
        let log = state.streams.entry(stream.to_owned()).or_default();
        self.trim(log);
        let records = match log.read(from, max) {
            ReadOutcome::Records(records) => Some(records),
            ReadOutcome::Trimmed => None,
        };
        LogPage {
            start: log.start(),
            end: log.end(),
            records,
        }
    }
}

impl State {
    fn loses_answer(&mut self) -> bool {
        if self.lose_next > 0 {
            self.lose_next -= 1;
            return true;
        }
        self.rng.random_bool(self.lose_probability)
    }
}

/// The instant `wait_ms` from now.
pub(crate) fn deadline_after(wait_ms: u64) -> Instant {
    Instant::now() + Duration::from_millis(wait_ms)
}
