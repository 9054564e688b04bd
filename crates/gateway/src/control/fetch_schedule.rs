//! When a node fetches copies from other nodes: one fetch at a time, and less often
//! after each failure.

use rand::Rng;

use crate::clock::Millis;

/// Pause after the first failed fetch, in ms; a random time of up to the same length is
/// added.
const RETRY_MIN_MS: Millis = 250;

/// Maximum pause after a failed fetch, in ms.
const RETRY_MAX_MS: Millis = 4_000;

/// State of this node's fetches.
#[derive(Debug, Default)]
pub struct FetchSchedule {
    in_progress: bool,
    failures: u32,
    not_before: Millis,
}

impl FetchSchedule {
    /// True if a fetch may start now.
    pub fn may_start(&self, now: Millis) -> bool {
        !self.in_progress && now >= self.not_before
    }

    /// True while a fetch is in progress.
    pub fn in_progress(&self) -> bool {
        self.in_progress
    }

    /// Records the start of a fetch.
    pub fn started(&mut self) {
        self.in_progress = true;
    }

    /// Records that the fetch returned copies.
    pub fn succeeded(&mut self) {
        *self = Self::default();
    }

    /// Records that the fetch failed. Returns the pause until the next one, in ms.
    pub fn failed(&mut self, now: Millis) -> Millis {
        let pause = (RETRY_MIN_MS << self.failures.min(8)).min(RETRY_MAX_MS);
        let pause = pause + rand::rng().random_range(0..=pause);
        self.in_progress = false;
        self.failures += 1;
        self.not_before = now + pause;
        pause
    }
}
