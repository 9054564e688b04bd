//! Prefill rate of one engine, estimated from observed first tokens.

use crate::prelude::*;

/// Rate assumed before anything is known, in tokens per second.
pub const DEFAULT_RATE: f64 = 10_000.0;

/// Weight of one sample in the moving average.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Minimum number of computed tokens in a sample; the time of smaller prefills is
/// dominated by overhead and says little about the rate.
const MIN_SAMPLE_TOKENS: u32 = 128;

/// Minimum time span of a sample; prefills that end together in a batch are combined until
/// they cover it.
const MIN_SAMPLE_MS: u64 = 5;

/// Maximum factor by which a sample may differ from the current rate; larger differences
/// are clamped to it.
const MAX_FACTOR: f64 = 4.0;

/// Exponentially weighted moving average of tokens per second.
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
    /// Starts from the rate that the engine reports, or from [`DEFAULT_RATE`] if that is
    /// not positive.
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

    /// Sets the rate that the engine reports, unless samples were added already.
    pub fn set_reported(&mut self, reported: f64) {
        if self.samples == 0 {
            *self = Self::new(reported);
        }
    }

    /// Adds the observation that `tokens` were computed within `span`, which must not
    /// overlap with earlier spans.
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
        // Averaging times instead of rates gives slow samples their full weight.
        let time =
            (1.0 - SAMPLE_WEIGHT) / self.per_second + SAMPLE_WEIGHT / sample.clamp(low, high);
        self.per_second = 1.0 / time;
        self.samples = self.samples.saturating_add(1);
    }

    /// Estimated rate, in tokens per second.
    pub fn per_second(&self) -> f64 {
        self.per_second
    }

    /// Time to compute `tokens`, in milliseconds.
    pub fn millis_for(&self, tokens: f64) -> f64 {
        tokens.max(0.0) * 1000.0 / self.per_second
    }
}
