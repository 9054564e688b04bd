//! Prompt parts that may crash engines.
//!
//! A run that ends with its engine before it brought an event speaks against its shared
//! parts, less against those that were answered earlier; a run that brought an event
//! speaks for all of its parts. A part that several crashes in a row have in common, and
//! for which nothing speaks since, is stopped: requests with it are refused.
//!
//! Each node keeps the evidence of all nodes. It only grows, so that nodes may exchange it
//! in any order and more than once.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use flamingolock_wire::gossip::{PartCrash, SuspectPart};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::clock::Millis;

/// Evidence of a crash whose run had no response yet: it may have waited for another one.
const WAITING_EVIDENCE: u32 = 2;

/// Evidence of a crash whose run had begun its response: an engine that crashes as it
/// begins to answer is in that state.
const BEGUN_EVIDENCE: u32 = 4;

/// Divisor of the evidence against a part that was answered before.
const ANSWERED_DIVISOR: u32 = 2;

/// Evidence from which on a part is stopped.
const STOP_EVIDENCE: u32 = 3 * BEGUN_EVIDENCE;

/// Evidence from which on no request with a part is sent a second time.
const RETRY_EVIDENCE: u32 = 2 * BEGUN_EVIDENCE;

/// Maximum number of parts that are remembered as answered.
const MAX_ANSWERED: usize = 8_192;

/// Time after the last crash after which one request may show whether a stopped part is
/// sound now, in ms; doubled by each of them that crashes an engine.
const TRIAL_PAUSE_MS: Millis = 60_000;

/// Maximum number of doublings of that time.
const MAX_DOUBLINGS: u32 = 6;

/// Maximum number of parts with evidence.
const MAX_PARTS: usize = 512;

/// Maximum number of crashes that are kept for a part.
const MAX_CRASHES: usize = 8;

/// Time for which evidence against a part that is not stopped is kept, in ms.
const RETENTION_MS: Millis = 600_000;

/// Time for which a part is kept that nothing speaks against any more, in ms.
const CLEARED_RETENTION_MS: Millis = 30_000;

/// Interval at which parts that several crashes speak against are reported again, in ms.
const REPORT_INTERVAL_MS: Millis = 1_000;

/// A run that ended with its engine before it brought an event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashedRun {
    /// Identifies the incarnation of the engine.
    pub engine: u64,
    /// Ids of the prompt parts that other requests may share.
    pub parts: Vec<u64>,
    /// When the request was sent.
    pub sent_at: Millis,
    /// True if the response had begun.
    pub begun: bool,
}

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Clearance {
    /// No part of it is stopped.
    Clear,
    /// It may show whether a stopped part is sound now.
    Trial(u64),
    /// This part of it is stopped, until this time at least.
    Stopped(u64, Millis),
}

/// What is known of the runs with one part at one incarnation of an engine that crashed.
#[derive(Clone, Copy, Debug)]
struct Crash {
    sent_at: Millis,
    at: Millis,
    evidence: u32,
    /// True if a run with the part has brought an event since.
    cleared: bool,
}

#[derive(Clone, Debug, Default)]
struct Suspect {
    /// Crashes by incarnation of the engine.
    crashes: BTreeMap<u64, Crash>,
    /// True if other nodes have not been told of the last change.
    is_news: bool,
    changed_at: Millis,
    tried_at: Option<Millis>,
    failed_trials: u32,
}

impl Suspect {
    /// Sum of the evidence of crashes that follow each other: requests that were sent
    /// before a crash and end with another one may be victims of a common cause.
    fn evidence(&self) -> u32 {
        let mut crashes: Vec<&Crash> = self.crashes.values().collect();
        crashes.sort_by_key(|crash| crash.at);
        let mut evidence = 0;
        let mut last_at = None;
        for crash in crashes.into_iter().filter(|crash| !crash.cleared) {
            if last_at.is_none_or(|at| crash.sent_at >= at) {
                last_at = Some(crash.at);
                evidence += crash.evidence;
            }
        }
        evidence
    }

    fn is_stopped(&self) -> bool {
        self.evidence() >= STOP_EVIDENCE
    }

    fn next_trial(&self) -> Millis {
        let crashed_at = self.crashes.values().map(|crash| crash.at).max();
        let since = crashed_at.max(self.tried_at).unwrap_or(0);
        since + (TRIAL_PAUSE_MS << self.failed_trials.min(MAX_DOUBLINGS))
    }

    fn add(&mut self, engine: u64, crash: Crash, now: Millis) -> bool {
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

    fn to_wire(&self, part: u64, now: Millis) -> SuspectPart {
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

/// Parts that crashes speak against.
#[derive(Debug, Default)]
pub struct Suspects {
    parts: BTreeMap<u64, Suspect>,
    /// Parts that were answered, and their order.
    answered: BTreeSet<u64>,
    answered_order: VecDeque<u64>,
    reported_at: Millis,
}

impl Suspects {
    /// Records a run that ended with its engine. Returns the parts that it speaks against:
    /// if one of them is stopped already, only that one.
    pub fn record_crash(&mut self, run: &CrashedRun, now: Millis) -> Vec<u64> {
        let stopped = |part: &u64| self.parts.get(part).is_some_and(Suspect::is_stopped);
        let mut parts: Vec<u64> = run.parts.iter().copied().filter(stopped).collect();
        if parts.is_empty() {
            parts.clone_from(&run.parts);
        }
        let evidence = if run.begun {
            BEGUN_EVIDENCE
        } else {
            WAITING_EVIDENCE
        };
        for part in &parts {
            let crash = Crash {
                sent_at: run.sent_at,
                at: now,
                evidence: if self.answered.contains(part) {
                    evidence / ANSWERED_DIVISOR
                } else {
                    evidence
                },
                cleared: false,
            };
            let suspect = self.parts.entry(*part).or_default();
            let known = suspect.crashes.get(&run.engine);
            let engine = match known {
                // The engine has started again, and its new entry is not known yet.
                Some(known) if run.sent_at >= known.at => {
                    xxh3_64_with_seed(&run.engine.to_be_bytes(), now)
                }
                _ => run.engine,
            };
            suspect.is_news |= suspect.add(engine, crash, now);
            if suspect.tried_at.take().is_some() {
                suspect.failed_trials += 1;
            }
        }
        self.limit_size();
        parts
    }

    /// Records that a run with these parts brought an event. Returns the stopped parts
    /// that it clears.
    pub fn record_answer(&mut self, parts: &[u64], now: Millis) -> Vec<u64> {
        let mut cleared = Vec::new();
        for part in parts {
            self.remember_answered(*part);
            let Some(suspect) = self.parts.get_mut(part) else {
                continue;
            };
            if suspect.is_stopped() {
                cleared.push(*part);
            }
            for crash in suspect.crashes.values_mut().filter(|crash| !crash.cleared) {
                crash.cleared = true;
                suspect.is_news = true;
                suspect.changed_at = now;
            }
            suspect.tried_at = None;
            suspect.failed_trials = 0;
        }
        cleared
    }

    /// True if a crash speaks against the part, or did so a moment ago.
    pub fn contains(&self, part: u64) -> bool {
        self.parts.contains_key(&part)
    }

    /// Decides whether a request with these parts may be sent. `may_try` is true at the
    /// one node that may try a stopped part; `is_retry` is true if the request reached an
    /// engine before.
    pub fn clearance(
        &mut self,
        parts: impl Iterator<Item = u64>,
        may_try: bool,
        is_retry: bool,
        now: Millis,
    ) -> Clearance {
        let limit = if is_retry {
            RETRY_EVIDENCE
        } else {
            STOP_EVIDENCE
        };
        for part in parts {
            let Some(suspect) = self.parts.get_mut(&part) else {
                continue;
            };
            if suspect.evidence() < limit {
                continue;
            }
            let next_trial = suspect.next_trial();
            if may_try && !is_retry && now >= next_trial {
                suspect.tried_at = Some(now);
                return Clearance::Trial(part);
            }
            return Clearance::Stopped(part, next_trial.max(now));
        }
        Clearance::Clear
    }

    /// Merges the evidence of another node. Returns true if a part is stopped by it.
    /// `is_relay` is true if this node passes news on.
    pub fn merge(&mut self, remote: &SuspectPart, is_relay: bool, now: Millis) -> bool {
        let suspect = self.parts.entry(remote.part).or_default();
        let was_stopped = suspect.is_stopped();
        let mut changed = false;
        let mut sender_lacks = false;
        for crash in &remote.crashes {
            let at = now.saturating_sub(crash.age_ms);
            let received = Crash {
                sent_at: at.saturating_sub(Millis::from(crash.sent_before_ms)),
                at,
                evidence: crash.evidence.min(BEGUN_EVIDENCE),
                cleared: crash.cleared,
            };
            let known = suspect.crashes.get(&crash.engine);
            sender_lacks |= known.is_some_and(|known| known.cleared && !crash.cleared);
            changed |= suspect.add(crash.engine, received, now);
        }
        suspect.is_news |= sender_lacks || (changed && is_relay);
        let stopped = !was_stopped && suspect.is_stopped();
        self.limit_size();
        stopped
    }

    /// True if there is something to tell other nodes.
    pub fn has_news(&self) -> bool {
        self.parts.values().any(|suspect| suspect.is_news)
    }

    /// Returns what other nodes have to be told now: what has changed, and now and then
    /// the parts that several crashes speak against.
    pub fn take_news(&mut self, now: Millis) -> Vec<SuspectPart> {
        let is_report = now >= self.reported_at + REPORT_INTERVAL_MS;
        if is_report {
            self.reported_at = now;
        }
        let parts = self.parts.iter_mut();
        parts
            .filter_map(|(part, suspect)| {
                let is_news = std::mem::take(&mut suspect.is_news);
                (is_news || (is_report && suspect.evidence() > BEGUN_EVIDENCE))
                    .then(|| suspect.to_wire(*part, now))
            })
            .collect()
    }

    /// Returns all evidence, for a node that has started.
    pub fn list(&self, now: Millis) -> Vec<SuspectPart> {
        let parts = self.parts.iter();
        parts
            .map(|(part, suspect)| suspect.to_wire(*part, now))
            .collect()
    }

    /// Returns the stopped parts. Ages count from the last crash of each.
    pub fn stopped(&self) -> Vec<SuspectPart> {
        let stopped = self
            .parts
            .iter()
            .filter(|(_, suspect)| suspect.is_stopped());
        stopped
            .map(|(part, suspect)| {
                let last_at = suspect.crashes.values().map(|crash| crash.at).max();
                suspect.to_wire(*part, last_at.unwrap_or(0))
            })
            .collect()
    }

    /// Forgets old evidence.
    pub fn forget_old(&mut self, now: Millis) {
        self.parts.retain(|_, suspect| {
            let retention = match suspect.evidence() {
                0 => CLEARED_RETENTION_MS,
                STOP_EVIDENCE.. => return true,
                _ => RETENTION_MS,
            };
            now < suspect.changed_at + retention
        });
    }

    fn remember_answered(&mut self, part: u64) {
        if !self.answered.insert(part) {
            return;
        }
        self.answered_order.push_back(part);
        if self.answered_order.len() > MAX_ANSWERED
            && let Some(oldest) = self.answered_order.pop_front()
        {
            self.answered.remove(&oldest);
        }
    }

    fn limit_size(&mut self) {
        while self.parts.len() > MAX_PARTS {
            let weakest = self
                .parts
                .iter()
                .min_by_key(|(_, suspect)| (suspect.evidence(), suspect.changed_at))
                .map(|(part, _)| *part);
            if let Some(part) = weakest {
                self.parts.remove(&part);
            }
        }
    }
}
