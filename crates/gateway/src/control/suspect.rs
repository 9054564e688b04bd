//! Evidence against one prompt part or request.

use std::collections::{BTreeMap, BTreeSet};

use flamingolock_wire::gossip::{CrashRecord, SuspectRecord};

use crate::clock::Millis;

/// Evidence of a crash whose run had begun its response: an engine that crashes as it
/// begins to answer is in that state.
pub const BEGUN_EVIDENCE: u32 = 4;

/// Evidence from which on a suspect is stopped.
pub const STOP_EVIDENCE: u32 = 3 * BEGUN_EVIDENCE;

/// Maximum number of doublings of the pause between two trials.
const MAX_DOUBLINGS: u32 = 6;

/// Maximum number of crashes that are kept for a suspect.
const MAX_CRASHES: usize = 32;

/// What crashes may speak against.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Subject {
    /// A part of prompts.
    Part,
    /// A request that comes again.
    Request,
}

/// How crashes speak against one kind of subject.
#[derive(Debug)]
pub struct Policy {
    /// Least evidence of a crash whose run had no response yet.
    pub waiting_evidence: u32,
    /// Evidence of such a crash up to which rare crashes count for more.
    pub rare_evidence: u32,
    /// Time after the last crash after which one request may show whether a stopped subject
    /// is sound now, in ms; doubled by each of them that crashes an endpoint.
    pub trial_pause_ms: Millis,
    /// Number of crashes from which on nothing is tried any more; none if trials never end.
    pub max_crashes: Option<usize>,
    /// True if callers are told when to return.
    pub invites: bool,
    /// Maximum number of subjects that are remembered as answered.
    pub max_answered: usize,
    /// Time after its last crash for which a stopped subject is remembered, in ms; none for
    /// good.
    pub retention_ms: Option<Millis>,
}

/// Policy for prompt parts, which sound requests share. A run without a response may have
/// waited behind others, or have lost its connection and not its engine; that it ended by
/// chance is the less likely the rarer such ends are.
const PARTS: Policy = Policy {
    waiting_evidence: 1,
    rare_evidence: BEGUN_EVIDENCE - 1,
    trial_pause_ms: 60_000,
    max_crashes: None,
    invites: true,
    max_answered: 8_192,
    retention_ms: None,
};

/// Policy for requests. A wrong verdict hits only repeats of one request, so fewer crashes
/// are enough; two trials may follow them.
const REQUESTS: Policy = Policy {
    waiting_evidence: BEGUN_EVIDENCE,
    rare_evidence: BEGUN_EVIDENCE,
    trial_pause_ms: 10_000,
    max_crashes: Some(5),
    invites: false,
    max_answered: 16_384,
    retention_ms: Some(3_600_000),
};

impl Subject {
    /// How crashes speak against it.
    pub fn policy(self) -> &'static Policy {
        match self {
            Self::Part => &PARTS,
            Self::Request => &REQUESTS,
        }
    }

    /// Label used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Part => "part",
            Self::Request => "request",
        }
    }
}

/// A crash of one incarnation of an endpoint that ended a run with the suspect.
#[derive(Clone, Copy, Debug)]
pub struct Crash {
    /// When the request was sent.
    pub sent_at: Millis,
    /// When the run ended.
    pub at: Millis,
    /// How much it speaks against the suspect.
    pub evidence: u32,
    /// True if a run with the suspect has brought an event since.
    pub cleared: bool,
}

/// What is known of one suspect.
#[derive(Clone, Debug, Default)]
pub struct Suspect {
    /// Crashes by incarnation of the engine.
    crashes: BTreeMap<u64, Crash>,
    /// True if other nodes have not been told of the last change.
    pub is_news: bool,
    /// When the evidence changed.
    pub changed_at: Millis,
    /// When a request was sent to try the suspect, while its outcome is open.
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

    /// True if no request with the suspect is sent.
    pub fn is_stopped(&self) -> bool {
        self.evidence() >= STOP_EVIDENCE
    }

    /// When a request may try the suspect again, if ever.
    pub fn next_trial(&self, policy: &Policy) -> Option<Millis> {
        let crashes = self.crash_count();
        let since = self.last_crash().max(self.tried_at).unwrap_or(0);
        policy
            .max_crashes
            .is_none_or(|most| crashes < most)
            .then(|| since + (policy.trial_pause_ms << self.failed_trials.min(MAX_DOUBLINGS)))
    }

    /// Number of crashes that are not cleared.
    pub fn crash_count(&self) -> usize {
        let crashes = self.crashes.values();
        crashes.filter(|crash| !crash.cleared).count()
    }

    /// Time of the newest crash.
    pub fn last_crash(&self) -> Option<Millis> {
        self.crashes.values().map(|crash| crash.at).max()
    }

    /// The crash of an incarnation of an engine.
    pub fn crash_of(&self, engine: u64) -> Option<&Crash> {
        self.crashes.get(&engine)
    }

    /// Records that a run with the suspect ended a trial by a crash, if there was one.
    pub fn trial_failed(&mut self) {
        if self.tried_at.take().is_some() {
            self.failed_trials += 1;
        }
    }

    /// Records that a run with the suspect brought an event.
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
    pub fn to_wire(&self, id: u64, now: Millis) -> SuspectRecord {
        let crashes = self.crashes.iter().map(|(engine, crash)| CrashRecord {
            engine: *engine,
            age_ms: now.saturating_sub(crash.at),
            sent_before_ms: crash.at.saturating_sub(crash.sent_at) as u32,
            evidence: crash.evidence,
            cleared: crash.cleared,
        });
        SuspectRecord {
            id,
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
