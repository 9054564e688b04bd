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

use flamingolock_wire::gossip::SuspectPart;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::clock::Millis;
use crate::control::suspect::{BEGUN_EVIDENCE, Crash, STOP_EVIDENCE, Suspect};

/// Evidence of a crash whose run had no response yet: it may have waited behind others, or
/// the connection was lost and not the engine.
const WAITING_EVIDENCE: u32 = 1;

/// Divisor of the evidence against a part that was answered before.
const ANSWERED_DIVISOR: u32 = 2;

/// Evidence from which on no request with a part is sent a second time.
const RETRY_EVIDENCE: u32 = 2 * BEGUN_EVIDENCE;

/// Maximum number of parts that are remembered as answered.
const MAX_ANSWERED: usize = 8_192;

/// Maximum number of parts with evidence.
const MAX_PARTS: usize = 512;

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
    /// It must not be sent because of this part. One that was not sent before may be from
    /// this time on.
    Stopped(u64, Millis),
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
                    evidence.div_ceil(ANSWERED_DIVISOR)
                } else {
                    evidence
                },
                cleared: false,
            };
            let suspect = self.parts.entry(*part).or_default();
            let known = suspect.crash_of(run.engine);
            let engine = match known {
                // The engine has started again, and its new entry is not known yet.
                Some(known) if run.begun && run.sent_at >= known.at => {
                    xxh3_64_with_seed(&run.engine.to_be_bytes(), now)
                }
                _ => run.engine,
            };
            suspect.is_news |= suspect.add(engine, crash, now);
            suspect.trial_failed();
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
            suspect.clear(now);
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
            let until = if suspect.is_stopped() {
                next_trial.max(now)
            } else {
                now
            };
            return Clearance::Stopped(part, until);
        }
        Clearance::Clear
    }

    /// Merges the evidence of another node. `is_relay` is true if this node passes news on.
    pub fn merge(&mut self, remote: &SuspectPart, is_relay: bool, now: Millis) {
        let suspect = self.parts.entry(remote.part).or_default();
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
            let known = suspect.crash_of(crash.engine);
            sender_lacks |= known.is_some_and(|known| known.cleared && !crash.cleared);
            changed |= suspect.add(crash.engine, received, now);
        }
        suspect.is_news |= sender_lacks || (changed && is_relay);
        self.limit_size();
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
            .map(|(part, suspect)| suspect.to_wire(*part, suspect.last_crash().unwrap_or(0)))
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
