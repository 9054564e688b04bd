//! Token bucket that limits a rate.

use tokio::time::Instant;

/// Seconds of the rate that may be used at once.
const BURST_S: f64 = 0.1;

/// Allows a rate on average and a short burst above it.
pub(crate) struct RateLimit {
    rate: f64,
    tokens: f64,
    refilled: Instant,
}

impl RateLimit {
    /// A full bucket that refills with `rate` tokens a second.
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

    /// Whether `count` more fit; more than a full bucket fit into a full one.
    pub(crate) fn allows(&mut self, count: f64, now: Instant) -> bool {
        self.refill(now);
        self.tokens >= count.min(Self::capacity(self.rate))
    }

    /// Uses `count` tokens, into debt if need be.
    pub(crate) fn consume(&mut self, count: f64) {
        self.tokens -= count;
    }
}
