//! A load of weights by one engine, and what is known of its duration.

use crate::clock::Millis;

/// A load of weights by one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Load {
    /// Version of the weights; none if the order is not known.
    pub version: Option<u64>,
    /// Time at which the order was sent: the load has not begun before.
    pub ordered_at: Millis,
    /// Time at which the engine was known to have accepted the order: the load had begun.
    pub started_at: Millis,
    /// Largest number of engines that were loading at the same time, including this one.
    pub concurrent: usize,
    /// Time since its start after which it is surely done unless the engine says otherwise, in
    /// ms; 0 if it is not known. Until then it holds its place, and one request tries it.
    pub sure_ms: Millis,
    /// Time since its start as of which the engine last reported that it was loading, in ms.
    pub reported_ms: Millis,
    /// Time since its start at which the engine last refused a request as it would while it
    /// loads, in ms.
    pub refused_ms: Millis,
    /// When the engine was known to have served a request with the new weights, or to have
    /// reported them; none while it loads.
    pub done_at: Option<Millis>,
    /// True once it was taken to have failed.
    pub failed: bool,
    /// True if it was not watched all the time, so that it says nothing about the duration
    /// of loads.
    pub unwatched: bool,
}

impl Load {
    /// A load that begins now.
    pub fn new(version: Option<u64>, concurrent: usize, now: Millis) -> Self {
        Self {
            version,
            ordered_at: now,
            started_at: now,
            concurrent,
            sure_ms: 0,
            reported_ms: 0,
            refused_ms: 0,
            done_at: None,
            failed: false,
            unwatched: false,
        }
    }

    /// Time since the load began, in ms.
    pub fn elapsed(&self, now: Millis) -> Millis {
        now.saturating_sub(self.started_at)
    }

    /// Longest time since the load can have begun, in ms.
    pub fn most_elapsed(&self, now: Millis) -> Millis {
        now.saturating_sub(self.ordered_at)
    }

    /// True once the engine is known to be done.
    pub fn is_done(&self) -> bool {
        self.done_at.is_some()
    }

    /// True if it may still be in progress, as far as is known.
    pub fn may_last(&self, now: Millis) -> bool {
        !self.is_done()
            && !self.failed
            && self.version.is_some()
            && self.elapsed(now) < self.sure_ms
    }

    /// Time since its start at which the engine was last seen to be loading, in ms.
    pub fn busy_ms(&self) -> Millis {
        self.reported_ms.max(self.refused_ms)
    }

    /// Records that the engine reported that it was still loading some time after the start.
    pub fn saw_report(&mut self, elapsed: Millis) {
        self.reported_ms = self.reported_ms.max(elapsed);
    }

    /// Records that the engine refused a request some time after the start.
    pub fn saw_refusal(&mut self, elapsed: Millis) {
        self.refused_ms = self.refused_ms.max(elapsed);
    }
}
