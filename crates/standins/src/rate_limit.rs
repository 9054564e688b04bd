//! Token bucket rate limiter.

use tokio::time::Instant;

/// Capacity of the bucket, in seconds at the configured rate.
const BURST_S: f64 = 0.1;

/// Limits an average rate and allows a short burst above it.
pub(crate) struct RateLimit {
    rate: f64,
    tokens: f64,
    refilled: Instant,
}

impl RateLimit {
    /// Creates a full bucket that refills at `rate` tokens per second.
    pub(crate) fn new(rate: f64, now: Instant) -> Self {
        Self {
            rate,
            tokens: Self::capacity(rate),
            refilled: now,
        }
    }

    fn capacity(rate: f64) -> f64 {
        (rate * BURST_S).max(1.0)
    }

    fn refill(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.refilled).as_secs_f64();
        self.tokens = (self.tokens + passed * self.rate).min(Self::capacity(self.rate));
        self.refilled = now;
    }

    /// Whether `count` tokens may be consumed. A count above the capacity is allowed
    /// when the bucket is full.
    pub(crate) fn allows(&mut self, count: f64, now: Instant) -> bool {
        self.refill(now);
        self.tokens >= count.min(Self::capacity(self.rate))
    }

    /// Consumes `count` tokens; the balance may become negative.
    pub(crate) fn consume(&mut self, count: f64) {
        self.tokens -= count;
    }
}
