//! Prompt parts and requests that may crash endpoints.
//!
//! A run that ends with its endpoint before it brought an event speaks against its shared
//! parts and against the request, less against what was answered earlier, and less where
//! runs of the service often end so; a run that brought an event speaks for all of them.
//! What several crashes in a row have in common, and for which nothing speaks since, is
//! stopped: requests with it are refused.
//!
//! Each node keeps the evidence of all nodes. It only grows, so that nodes may exchange it
//! in any order and more than once.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use flamingolock_wire::gossip::SuspectRecord;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::clock::Millis;
use crate::control::run_outcomes::RunOutcomes;
use crate::control::suspect::{BEGUN_EVIDENCE, Crash, STOP_EVIDENCE, Subject, Suspect};

/// Divisor of the evidence against a subject that was answered before.
const ANSWERED_DIVISOR: u32 = 2;

/// Evidence from which on no request with a suspect is sent a second time.
const RETRY_EVIDENCE: u32 = 2 * BEGUN_EVIDENCE;

/// Maximum number of suspects.
const MAX_SUSPECTS: usize = 512;

/// Maximum number of suspects that are not stopped, in the record for nodes that start.
const MAX_RECORDED: usize = 64;

/// Number of crashes from which on they are recorded.
const RECORDED_CRASHES: usize = 2;

/// Time for which evidence against a suspect that is not stopped is kept, in ms.
const RETENTION_MS: Millis = 600_000;

/// Time for which a suspect is kept that nothing speaks against any more, in ms.
const CLEARED_RETENTION_MS: Millis = 30_000;

/// Interval at which suspects that several crashes speak against are reported again, in ms.
const REPORT_INTERVAL_MS: Millis = 1_000;

/// What a run may have in common with others.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RunSubjects {
    /// Ids of the prompt parts that other requests may share.
    pub parts: Vec<u64>,
    /// Fingerprints of the request.
    pub requests: Vec<u64>,
}

impl RunSubjects {
    /// Ids of the subjects of one kind.
    pub fn of(&self, subject: Subject) -> &[u64] {
        match subject {
            Subject::Part => &self.parts,
            Subject::Request => &self.requests,
        }
    }
}

/// A run that ended with its endpoint before it brought an event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashedRun {
    /// Identifies the incarnation of the endpoint.
    pub engine: u64,
    /// Service of the endpoint.
    pub service: Arc<str>,
    /// What it may have in common with others.
    pub subjects: RunSubjects,
    /// When the request was sent.
    pub sent_at: Millis,
    /// When the run ended.
    pub ended_at: Millis,
    /// True if the response had begun.
    pub begun: bool,
}

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Clearance {
    /// Nothing of it is stopped.
    Clear,
    /// It may show whether a stopped suspect is sound now.
    Trial(u64),
    /// It must not be sent because of this suspect. One that was not sent before may be
    /// from this time on, if there is one.
    Stopped(u64, Option<Millis>),
}

/// Subjects of one kind that crashes speak against.
#[derive(Debug)]
pub struct Suspects {
    subject: Subject,
    by_id: BTreeMap<u64, Suspect>,
    /// Ends of the last runs of each service at this node.
    outcomes: BTreeMap<Arc<str>, RunOutcomes>,
    /// Subjects that were answered, and their order.
    answered: BTreeSet<u64>,
    answered_order: VecDeque<u64>,
    reported_at: Millis,
}

impl Suspects {
    /// Knows no evidence.
    pub fn new(subject: Subject) -> Self {
        Self {
            subject,
            by_id: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            answered: BTreeSet::new(),
            answered_order: VecDeque::new(),
            reported_at: 0,
        }
    }

    /// Records a run that ended with its endpoint. Returns what it speaks against: if one
    /// of its subjects is stopped already, only that one.
    pub fn record_crash(&mut self, run: &CrashedRun, now: Millis) -> Vec<u64> {
        let all = run.subjects.of(self.subject);
        let stopped = |id: &u64| self.by_id.get(id).is_some_and(Suspect::is_stopped);
        let mut ids: Vec<u64> = all.iter().copied().filter(stopped).collect();
        if ids.is_empty() {
            ids = all.to_vec();
        }
        for id in &ids {
            let evidence = self.evidence_of(run, *id);
            let crash = Crash {
                sent_at: run.sent_at,
                at: run.ended_at,
                evidence: if self.answered.contains(id) {
                    evidence.div_ceil(ANSWERED_DIVISOR)
                } else {
                    evidence
                },
                cleared: false,
            };
            let suspect = self.by_id.entry(*id).or_default();
            let known = suspect.crash_of(run.engine);
            let engine = match known {
                // The endpoint has started again, and its new entry is not known yet.
                Some(known) if run.begun && run.sent_at >= known.at => {
                    xxh3_64_with_seed(&run.engine.to_be_bytes(), run.ended_at)
                }
                _ => run.engine,
            };
            suspect.is_news |= suspect.add(engine, crash, now);
            suspect.trial_failed();
        }
        let outcomes = self.outcomes.entry(run.service.clone()).or_default();
        outcomes.add(Some(run.engine));
        self.limit_size();
        ids
    }

    /// How much a crash speaks against a subject that was not answered before. A run that had
    /// no response may have ended by chance where the service's runs often end so, other
    /// than with endpoints that the subject has crashed.
    fn evidence_of(&self, run: &CrashedRun, id: u64) -> u32 {
        if run.begun {
            return BEGUN_EVIDENCE;
        }
        let suspect = self.by_id.get(&id);
        let is_explained = |engine| {
            engine == run.engine || suspect.is_some_and(|known| known.crash_of(engine).is_some())
        };
        let outcomes = self.outcomes.get(&run.service);
        let rarity = outcomes.map_or(0, |outcomes| outcomes.rarity(is_explained));
        let policy = self.subject.policy();
        rarity.clamp(policy.waiting_evidence, policy.rare_evidence)
    }

    /// Records that a run with these subjects brought an event. Returns the stopped ones
    /// that it clears.
    pub fn record_answer(&mut self, service: &Arc<str>, ids: &[u64], now: Millis) -> Vec<u64> {
        let outcomes = self.outcomes.entry(service.clone()).or_default();
        outcomes.add(None);
        let mut cleared = Vec::new();
        for id in ids {
            self.remember_answered(*id);
            let Some(suspect) = self.by_id.get_mut(id) else {
                continue;
            };
            if suspect.is_stopped() {
                cleared.push(*id);
            }
            suspect.clear(now);
        }
        cleared
    }

    /// True if a crash speaks against this, or did so a moment ago.
    pub fn contains(&self, id: u64) -> bool {
        self.by_id.contains_key(&id)
    }

    /// Decides whether a request with these subjects may be sent. `may_try` is true at the
    /// one node that may try a stopped one; `is_retry` is true if the request reached an
    /// endpoint before.
    pub fn clearance(
        &mut self,
        ids: impl Iterator<Item = u64>,
        may_try: bool,
        is_retry: bool,
        now: Millis,
    ) -> Clearance {
        let limit = if is_retry {
            RETRY_EVIDENCE
        } else {
            STOP_EVIDENCE
        };
        let policy = self.subject.policy();
        for id in ids {
            let Some(suspect) = self.by_id.get_mut(&id) else {
                continue;
            };
            if suspect.evidence() < limit {
                continue;
            }
            let next_trial = suspect.next_trial(policy);
            if may_try && !is_retry && next_trial.is_some_and(|at| now >= at) {
                suspect.tried_at = Some(now);
                return Clearance::Trial(id);
            }
            if !suspect.is_stopped() {
                return Clearance::Stopped(id, Some(now));
            }
            let until = next_trial.filter(|_| policy.invites);
            return Clearance::Stopped(id, until.map(|until| until.max(now)));
        }
        Clearance::Clear
    }

    /// Merges the evidence of another node. `is_relay` is true if this node passes news on.
    pub fn merge(&mut self, remote: &SuspectRecord, is_relay: bool, now: Millis) {
        let suspect = self.by_id.entry(remote.id).or_default();
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
        self.by_id.values().any(|suspect| suspect.is_news)
    }

    /// Returns what other nodes have to be told now: what has changed, and now and then
    /// the suspects that several crashes speak against.
    pub fn take_news(&mut self, now: Millis) -> Vec<SuspectRecord> {
        let is_report = now >= self.reported_at + REPORT_INTERVAL_MS;
        if is_report {
            self.reported_at = now;
        }
        let suspects = self.by_id.iter_mut();
        suspects
            .filter_map(|(id, suspect)| {
                let is_news = std::mem::take(&mut suspect.is_news);
                (is_news || (is_report && suspect.evidence() > BEGUN_EVIDENCE))
                    .then(|| suspect.to_wire(*id, now))
            })
            .collect()
    }

    /// Returns all evidence, for a node that has started.
    pub fn list(&self, now: Millis) -> Vec<SuspectRecord> {
        let suspects = self.by_id.iter();
        suspects
            .map(|(id, suspect)| suspect.to_wire(*id, now))
            .collect()
    }

    /// Returns the stopped suspects. Ages count from the last crash of each.
    pub fn stopped(&self) -> Vec<SuspectRecord> {
        let stopped = self
            .by_id
            .iter()
            .filter(|(_, suspect)| suspect.is_stopped());
        stopped
            .map(|(id, suspect)| suspect.to_wire(*id, suspect.last_crash().unwrap_or(0)))
            .collect()
    }

    /// Returns what nodes have to know that start after all have ended: the stopped suspects,
    /// and the strongest of the others that several crashes speak against. Ages count from
    /// the last crash of each.
    pub fn recorded(&self) -> Vec<SuspectRecord> {
        let crashed = self.by_id.iter().filter(|(_, suspect)| {
            !suspect.is_stopped() && suspect.crash_count() >= RECORDED_CRASHES
        });
        let mut others: Vec<(&u64, &Suspect)> = crashed.collect();
        others.sort_by_key(|(_, suspect)| Reverse((suspect.evidence(), suspect.changed_at)));
        others.truncate(MAX_RECORDED);
        let records = others.into_iter();
        let records =
            records.map(|(id, suspect)| suspect.to_wire(*id, suspect.last_crash().unwrap_or(0)));
        let mut all = self.stopped();
        all.extend(records);
        all.sort_by_key(|record| record.id);
        all
    }

    /// Forgets old evidence.
    pub fn forget_old(&mut self, now: Millis) {
        let stopped_retention = self.subject.policy().retention_ms;
        self.by_id.retain(|_, suspect| {
            let retention = match suspect.evidence() {
                0 => Some(CLEARED_RETENTION_MS),
                STOP_EVIDENCE.. => stopped_retention,
                _ => Some(RETENTION_MS),
            };
            retention.is_none_or(|retention| now < suspect.changed_at + retention)
        });
    }

    fn remember_answered(&mut self, id: u64) {
        if !self.answered.insert(id) {
            return;
        }
        self.answered_order.push_back(id);
        if self.answered_order.len() > self.subject.policy().max_answered
            && let Some(oldest) = self.answered_order.pop_front()
        {
            self.answered.remove(&oldest);
        }
    }

    fn limit_size(&mut self) {
        while self.by_id.len() > MAX_SUSPECTS {
            let weakest = self
                .by_id
                .iter()
                .min_by_key(|(_, suspect)| (suspect.evidence(), suspect.changed_at))
                .map(|(id, _)| *id);
            if let Some(id) = weakest {
                self.by_id.remove(&id);
            }
        }
    }
}
