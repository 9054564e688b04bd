//! Status reports that lag behind the actual state.

use std::collections::VecDeque;
use std::time::Duration;

use serde_json::Value;
use tokio::time::Instant;

/// Samples closer together than this are merged, which bounds their number.
const MIN_SAMPLE_INTERVAL: Duration = Duration::from_millis(10);

/// Recent status samples of an engine, oldest first.
#[derive(Default)]
pub(crate) struct StatusHistory {
    samples: VecDeque<(Instant, Value)>,
}

impl StatusHistory {
    /// Records the status at `now` and drops samples that are no longer needed to
    /// report with this `lag`.
    pub(crate) fn record(&mut self, value: Value, now: Instant, lag: Duration) {
        match self.samples.back_mut() {
            Some((time, last)) if now.duration_since(*time) < MIN_SAMPLE_INTERVAL => *last = value,
            _ => self.samples.push_back((now, value)),
        }
        while self
            .samples
            .get(1)
            .is_some_and(|(time, _)| *time + lag <= now)
        {
            self.samples.pop_front();
        }
    }

    /// The status as it was `lag` ago, or the oldest sample.
    pub(crate) fn sample_at(&self, now: Instant, lag: Duration) -> Option<&Value> {
        let sample = self
            .samples
            .iter()
            .rev()
            .find(|(time, _)| *time + lag <= now);
        sample.or(self.samples.front()).map(|(_, value)| value)
    }

    pub(crate) fn clear(&mut self) {
        self.samples.clear();
    }
}
