//! How current a node's copy of a topic is, and when it has to read the store.
//!
//! One node of a small fleet, and the hubs of a large one, read the store at a
//! steady pace and tell the others what their copy is like. The others read it
//! themselves only when theirs differs or when they have heard nothing for a
//! while, each a little later than the one before it.

use std::time::Duration;

use crate::clock::Millis;

/// Part of a bound that is left for one call to the store, in ms.
const CALL_BUDGET_MS: Millis = 450;

/// Time by which the next node waits longer than the one before it, in ms.
const STAGGER_MS: Millis = 100;

/// Nodes that wait for different times.
pub const STAGGER_STEPS: usize = 4;

/// Longest time that news takes from one node to the next, in ms.
const HOP_MS: Millis = 250;

/// Time by which the first other node waits beyond that, in ms.
const TAKEOVER_MARGIN_MS: Millis = 150;

/// Shortest pause between two reads at a steady pace, in ms.
const MIN_READ_INTERVAL_MS: Millis = 300;

/// Least time between the beginnings of two reads, in ms.
const MIN_READ_GAP_MS: Millis = 100;

/// What a node says of its copy of a topic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CopyReport {
    /// Stands for the content of the copy.
    pub mark: u64,
    /// Time since the store is known to have held nothing newer, in ms.
    pub age: Millis,
}

/// When nodes read a topic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadSchedule {
    /// Longest wait of the store for a new record, or pause between two reads,
    /// at the node that reads for all, in ms.
    pub read_interval: Millis,
    /// Age of the copy at which this node reads, in ms.
    pub max_age: Millis,
}

impl ReadSchedule {
    /// The pace of the node at `place`, 0 for one that reads for all. News must be
    /// known within `bound`, and takes `hops` steps from node to node.
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

/// State of one copy.
#[derive(Clone, Debug, Default)]
pub struct Freshness {
    /// True when a greater mark stands for newer content.
    ordered: bool,
    current_at: Option<Millis>,
    behind: bool,
    in_flight: bool,
    begun_at: Millis,
    retry_at: Millis,
}

impl Freshness {
    /// A copy whose mark grows with each change.
    pub fn ordered() -> Self {
        Self {
            ordered: true,
            ..Self::default()
        }
    }

    /// True when this node has to read the store now.
    pub fn is_due(&self, max_age: Millis, now: Millis) -> bool {
        if self.in_flight || now < self.retry_at || now < self.begun_at + MIN_READ_GAP_MS {
            return false;
        }
        self.behind || self.current_at.is_none_or(|at| now >= at + max_age)
    }

    /// A read begins.
    pub fn read_started(&mut self, now: Millis) {
        self.in_flight = true;
        self.behind = false;
        self.begun_at = now;
    }

    /// A read ended; the store held nothing newer at `at`.
    pub fn read_finished(&mut self, at: Millis) {
        self.in_flight = false;
        self.current_at = self.current_at.max(Some(at));
    }

    /// A read failed; the next one has to wait until `retry_at`.
    pub fn read_failed(&mut self, retry_at: Millis) {
        self.in_flight = false;
        self.retry_at = retry_at;
    }

    /// Another node told of its copy; `mark` stands for the own one.
    pub fn peer_reported(&mut self, report: CopyReport, mark: u64, now: Millis) {
        let at = Some(now.saturating_sub(report.age));
        if self.current_at.is_none() {
            return;
        }
        if report.mark == mark {
            self.current_at = self.current_at.max(at);
        } else if self.ordered {
            self.behind |= report.mark > mark;
        } else {
            self.behind |= at > self.current_at;
        }
    }

    /// Another node taught what the store held at `at`.
    pub fn synced(&mut self, at: Millis) {
        self.current_at = self.current_at.max(Some(at));
        self.behind = false;
    }

    /// When the store is known to have held nothing newer.
    pub fn current_at(&self) -> Option<Millis> {
        self.current_at
    }

    /// True when another node's copy is newer.
    pub fn is_behind(&self) -> bool {
        self.behind
    }

    /// True when the copy is older than one of `at`, or there is none.
    pub fn is_older_than(&self, at: Millis) -> bool {
        self.current_at.is_none_or(|current| current < at)
    }

    /// What to tell of the own copy, for which `mark` stands; nothing as long as
    /// there is none.
    pub fn report(&self, mark: u64, now: Millis) -> Option<CopyReport> {
        let age = now.saturating_sub(self.current_at?);
        Some(CopyReport { mark, age })
    }
}
