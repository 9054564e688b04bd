//! Prefill rate of one engine, learnt from observed first tokens.

use crate::prelude::*;

/// Rate that is assumed before anything is known, in tokens a second.
pub const DEFAULT_RATE: f64 = 10_000.0;

/// Weight of one sample against the average so far.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Fewer computed tokens are dominated by overheads and say little of the rate.
const MIN_SAMPLE_TOKENS: u32 = 128;

/// Prefills that end together in a batch are averaged over at least this span.
const MIN_SAMPLE_MS: u64 = 5;

/// One sample moves the rate as if it differed at most by this factor.
const MAX_FACTOR: f64 = 4.0;

/// Exponentially weighted average of tokens a second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefillRate {
    per_second: f64,
    samples: u32,
    pending_tokens: u32,
    pending_span: Millis,
}

impl Default for PrefillRate {
    fn default() -> Self {
        Self::new(DEFAULT_RATE)
    }
}

impl PrefillRate {
    /// Starts from a rate that the engine reports; [`DEFAULT_RATE`] if it is not positive.
    pub fn new(reported: f64) -> Self {
        let per_second = if reported > 0.0 {
            reported
        } else {
            DEFAULT_RATE
        };
        Self {
            per_second,
            samples: 0,
            pending_tokens: 0,
            pending_span: Millis(0),
        }
    }

    /// Takes over the reported rate as long as nothing was learnt.
    pub fn set_reported(&mut self, reported: f64) {
        if self.samples == 0 {
            *self = Self::new(reported);
        }
    }

    /// Learns that `tokens` were computed within `span`, which does not overlap
    /// with the spans reported before.
    pub fn add_sample(&mut self, tokens: u32, span: Millis) {
        if tokens < MIN_SAMPLE_TOKENS {
            return;
        }
        self.pending_tokens = self.pending_tokens.saturating_add(tokens);
        self.pending_span = self.pending_span + span;
        if self.pending_span < Millis(MIN_SAMPLE_MS) {
            return;
        }
        let sample = f64::from(self.pending_tokens) / self.pending_span.as_secs_f64();
        self.pending_tokens = 0;
        self.pending_span = Millis(0);
        self.average(sample);
    }

    fn average(&mut self, sample: f64) {
        let low = self.per_second / MAX_FACTOR;
        let high = self.per_second * MAX_FACTOR;
        // Averaging times rather than rates weighs slow samples fully.
        let time =
            (1.0 - SAMPLE_WEIGHT) / self.per_second + SAMPLE_WEIGHT / sample.clamp(low, high);
        self.per_second = 1.0 / time;
        self.samples = self.samples.saturating_add(1);
    }

    /// Tokens a second.
    pub fn per_second(&self) -> f64 {
        self.per_second
    }

    /// Milliseconds that computing `tokens` takes.
    pub fn millis_for(&self, tokens: f64) -> f64 {
        tokens.max(0.0) * 1000.0 / self.per_second
    }
}
