//! Freshness of a node's copy of a topic, and the schedule for reading the store.
//!
//! One node of a small fleet, or the hub of each zone in a large one, reads the
//! store at a fixed interval and reports the state of its copy by gossip. The other
//! nodes read the store only if their copy is older than a reported one, or if no
//! report has confirmed it for some time. That time is staggered by rank, so that
//! the nodes don't all take over at once.

use std::time::Duration;

use crate::clock::Millis;

/// Time reserved within a bound for one call to the store, in ms.
const CALL_BUDGET_MS: Millis = 450;

/// Additional wait per rank, in ms.
const STAGGER_MS: Millis = 100;

/// Number of ranks with distinct wait times.
pub const STAGGER_STEPS: usize = 4;

/// Maximum delay of gossip per hop, in ms.
const HOP_MS: Millis = 250;

/// Additional wait of the first node that may take over, in ms.
const TAKEOVER_MARGIN_MS: Millis = 150;

/// Minimum interval of periodic reads, in ms.
const MIN_READ_INTERVAL_MS: Millis = 300;

/// Minimum time between the starts of two reads, in ms.
const MIN_READ_GAP_MS: Millis = 100;

/// Time after a report of a newer copy from which on a read in progress counts as slow,
/// in ms.
const SLOW_READ_MS: Millis = 200;

/// State of a node's copy of a topic as reported to other nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CopyReport {
    /// Identifies the content of the copy.
    pub mark: u64,
    /// Time since the copy was last known to be current, in ms.
    pub age: Millis,
}

/// Schedule for reading a topic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadSchedule {
    /// At the node that reads for all others: the longest time that the store waits for
    /// a new record, or the interval between two reads, in ms.
    pub read_interval: Millis,
    /// Age of the copy at which this node reads the store, in ms.
    pub max_age: Millis,
}

impl ReadSchedule {
    /// Returns the schedule of the node with the given `rank`; rank 0 reads for all
    /// others. Changes must be known within `bound` and take `hops` gossip hops to
    /// reach other nodes.
    pub fn new(bound: Duration, rank: usize, hops: usize) -> Self {
        let bound = bound.as_millis() as Millis;
        let first = bound.saturating_sub(CALL_BUDGET_MS + STAGGER_MS * STAGGER_STEPS as Millis);
        let reader = first
            .saturating_sub(HOP_MS * hops as Millis + TAKEOVER_MARGIN_MS)
            .max(MIN_READ_INTERVAL_MS);
        let max_age = match rank {
            0 => reader,
            rank => first.max(reader) + STAGGER_MS * (rank - 1).min(STAGGER_STEPS) as Millis,
        };
        Self {
            read_interval: reader,
            max_age,
        }
    }
}

/// Freshness of one copy.
#[derive(Clone, Debug, Default)]
pub struct Freshness {
    /// True if marks grow with each change, so that a greater one means newer content.
    ordered: bool,
    current_at: Option<Millis>,
    /// When another node first reported a newer copy.
    behind_since: Option<Millis>,
    in_flight: bool,
    begun_at: Millis,
    retry_at: Millis,
}

impl Freshness {
    /// Returns the state of a copy whose mark grows with each change.
    pub fn ordered() -> Self {
        Self {
            ordered: true,
            ..Self::default()
        }
    }

    /// Returns true if this node has to read the store now.
    pub fn is_due(&self, max_age: Millis, now: Millis) -> bool {
        if self.in_flight || now < self.retry_at || now < self.begun_at + MIN_READ_GAP_MS {
            return false;
        }
        self.is_behind() || self.current_at.is_none_or(|at| now >= at + max_age)
    }

    /// Records the start of a read.
    pub fn read_started(&mut self, now: Millis) {
        self.in_flight = true;
        self.behind_since = None;
        self.begun_at = now;
    }

    /// Records a successful read; the store held nothing newer at `at`.
    pub fn read_finished(&mut self, at: Millis) {
        self.in_flight = false;
        self.current_at = self.current_at.max(Some(at));
    }

    /// Records a failed read; the next one starts at `retry_at` at the earliest.
    pub fn read_failed(&mut self, retry_at: Millis) {
        self.in_flight = false;
        self.retry_at = retry_at;
    }

    /// Handles another node's report; `mark` identifies the content of this node's
    /// copy.
    pub fn peer_reported(&mut self, report: CopyReport, mark: u64, now: Millis) {
        let at = Some(now.saturating_sub(report.age));
        if self.current_at.is_none() {
            return;
        }
        if report.mark == mark {
            self.current_at = self.current_at.max(at);
            return;
        }
        let is_newer = if self.ordered {
            report.mark > mark
        } else {
            at > self.current_at
        };
        if is_newer {
            self.behind_since.get_or_insert(now);
        }
    }

    /// Records that the content as of `at` was copied from another node.
    pub fn synced(&mut self, at: Millis) {
        self.current_at = self.current_at.max(Some(at));
        self.behind_since = None;
    }

    /// Returns when the copy was last known to be current.
    pub fn current_at(&self) -> Option<Millis> {
        self.current_at
    }

    /// Returns the time since the copy was last known to be current, in ms; the maximum
    /// if there is no copy.
    pub fn age(&self, now: Millis) -> Millis {
        self.current_at
            .map_or(Millis::MAX, |at| now.saturating_sub(at))
    }

    /// Returns true if another node reported a newer copy.
    pub fn is_behind(&self) -> bool {
        self.behind_since.is_some()
    }

    /// Returns true if a read is in progress though another node has reported a newer
    /// copy for some time.
    pub fn is_read_slow(&self, now: Millis) -> bool {
        let since = self.behind_since.filter(|_| self.in_flight);
        since.is_some_and(|since| now >= since + SLOW_READ_MS)
    }

    /// Returns true if there is no copy, or it was last known to be current before
    /// `at`.
    pub fn is_older_than(&self, at: Millis) -> bool {
        self.current_at.is_none_or(|current| current < at)
    }

    /// Returns the report of this node's copy, identified by `mark`; none if there is
    /// no copy.
    pub fn report(&self, mark: u64, now: Millis) -> Option<CopyReport> {
        let age = now.saturating_sub(self.current_at?);
        Some(CopyReport { mark, age })
    }
}
