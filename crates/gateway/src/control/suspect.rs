//! Evidence against one prompt part.

use std::collections::{BTreeMap, BTreeSet};

use flamingolock_wire::gossip::{PartCrash, SuspectPart};

use crate::clock::Millis;

/// Evidence of a crash whose run had begun its response: an engine that crashes as it
/// begins to answer is in that state.
pub const BEGUN_EVIDENCE: u32 = 4;

/// Evidence from which on a part is stopped.
pub const STOP_EVIDENCE: u32 = 3 * BEGUN_EVIDENCE;

/// Time after the last crash after which one request may show whether a stopped part is
/// sound now, in ms; doubled by each of them that crashes an engine.
const TRIAL_PAUSE_MS: Millis = 60_000;

/// Maximum number of doublings of that time.
const MAX_DOUBLINGS: u32 = 6;

/// Maximum number of crashes that are kept for a part.
const MAX_CRASHES: usize = 32;

/// A crash of one incarnation of an engine that ended a run with the part.
#[derive(Clone, Copy, Debug)]
pub struct Crash {
    /// When the request was sent.
    pub sent_at: Millis,
    /// When the run ended.
    pub at: Millis,
    /// How much it speaks against the part.
    pub evidence: u32,
    /// True if a run with the part has brought an event since.
    pub cleared: bool,
}

/// What is known of one part.
#[derive(Clone, Debug, Default)]
pub struct Suspect {
    /// Crashes by incarnation of the engine.
    crashes: BTreeMap<u64, Crash>,
    /// True if other nodes have not been told of the last change.
    pub is_news: bool,
    /// When the evidence changed.
    pub changed_at: Millis,
    /// When a request was sent to try the part, while its outcome is open.
    pub tried_at: Option<Millis>,
    failed_trials: u32,
}

impl Suspect {
    /// Evidence of the crashes that follow each other. Weak ones must not hide strong ones
    /// that overlap them, so these are looked at by themselves as well.
    pub fn evidence(&self) -> u32 {
        let mut crashes: Vec<&Crash> = self.crashes.values().collect();
        crashes.retain(|crash| !crash.cleared);
        crashes.sort_by_key(|crash| crash.at);
        let limits = crashes.iter().map(|crash| crash.evidence);
        let limits: BTreeSet<u32> = limits.collect();
        let sums = limits.into_iter().map(|limit| {
            let strong = crashes.iter().filter(|crash| crash.evidence >= limit);
            sum_in_turn(strong.copied())
        });
        sums.max().unwrap_or(0)
    }

    /// True if no request with the part is sent.
    pub fn is_stopped(&self) -> bool {
        self.evidence() >= STOP_EVIDENCE
    }

    /// When a request may try the part again.
    pub fn next_trial(&self) -> Millis {
        let since = self.last_crash().max(self.tried_at).unwrap_or(0);
        since + (TRIAL_PAUSE_MS << self.failed_trials.min(MAX_DOUBLINGS))
    }

    /// Time of the newest crash.
    pub fn last_crash(&self) -> Option<Millis> {
        self.crashes.values().map(|crash| crash.at).max()
    }

    /// The crash of an incarnation of an engine.
    pub fn crash_of(&self, engine: u64) -> Option<&Crash> {
        self.crashes.get(&engine)
    }

    /// Records that a run with the part ended a trial by a crash, if there was one.
    pub fn trial_failed(&mut self) {
        if self.tried_at.take().is_some() {
            self.failed_trials += 1;
        }
    }

    /// Records that a run with the part brought an event.
    pub fn clear(&mut self, now: Millis) {
        for crash in self.crashes.values_mut().filter(|crash| !crash.cleared) {
            crash.cleared = true;
            self.is_news = true;
            self.changed_at = now;
        }
        self.tried_at = None;
        self.failed_trials = 0;
    }

    /// Adds a crash, or what another node knows of it. Returns true if that changes the
    /// evidence.
    pub fn add(&mut self, engine: u64, crash: Crash, now: Millis) -> bool {
        let before = self.crashes.get(&engine).copied();
        if before.is_none() && !self.has_room_for(crash.at, engine) {
            return false;
        }
        let merged = before.map_or(crash, |before| Crash {
            sent_at: before.sent_at.max(crash.sent_at.min(before.at)),
            at: before.at,
            evidence: before.evidence.max(crash.evidence),
            cleared: before.cleared || crash.cleared,
        });
        let changed = before.is_none_or(|before| {
            (before.evidence, before.cleared) != (merged.evidence, merged.cleared)
        });
        self.crashes.insert(engine, merged);
        if changed {
            self.changed_at = now;
        }
        changed
    }

    /// Makes room for a crash, of which the newest are kept. Returns false if all others
    /// are newer.
    fn has_room_for(&mut self, at: Millis, engine: u64) -> bool {
        if self.crashes.len() < MAX_CRASHES {
            return true;
        }
        let crashes = self
            .crashes
            .iter()
            .map(|(engine, crash)| (crash.at, *engine));
        match crashes.min() {
            Some(oldest) if oldest < (at, engine) => self.crashes.remove(&oldest.1).is_some(),
            _ => false,
        }
    }

    /// Encodes the evidence; ages count until `now`.
    pub fn to_wire(&self, part: u64, now: Millis) -> SuspectPart {
        let crashes = self.crashes.iter().map(|(engine, crash)| PartCrash {
            engine: *engine,
            age_ms: now.saturating_sub(crash.at),
            sent_before_ms: crash.at.saturating_sub(crash.sent_at) as u32,
            evidence: crash.evidence,
            cleared: crash.cleared,
        });
        SuspectPart {
            part,
            crashes: crashes.collect(),
        }
    }
}

/// Sum of the evidence of crashes that follow each other, given in order of time: requests
/// that were sent before a crash and end with another one may be victims of a common cause.
fn sum_in_turn<'a>(crashes: impl Iterator<Item = &'a Crash>) -> u32 {
    let mut sum = 0;
    let mut last_at = None;
    for crash in crashes {
        if last_at.is_none_or(|at| crash.sent_at >= at) {
            last_at = Some(crash.at);
            sum += crash.evidence;
        }
    }
    sum
}
