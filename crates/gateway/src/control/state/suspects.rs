//! Prompt parts and requests that may crash endpoints: what this node and others saw, and
//! the record of them in the store.

use std::sync::Arc;

use flamingolock_wire::gossip::{RecordedSuspects, SuspectRecord};

use super::Control;
use crate::clock::Millis;
use crate::control::suspect::Subject;
use crate::control::suspects::{Clearance, CrashedRun, RunSubjects, Suspects};
use crate::control::{Effect, PlacementRequest, Refusal};
use crate::endpoint::EndpointKey;
use crate::metrics::EventKind;

/// Minimum interval between two records of the suspects, in ms.
const RECORD_INTERVAL_MS: Millis = 1_000;

/// Heartbeats after which an endpoint is seen to have outlived a run: one may have been
/// under way when the run ended.
const MIN_HEARTBEATS: u64 = 2;

/// Maximum number of runs that are kept until it is known whether their endpoints ended.
const MAX_UNDECIDED: usize = 256;

/// Ids of the recorded parts, fingerprints of the recorded requests, and how many crashes
/// of each are recorded.
type Recorded = (Vec<(u64, usize)>, Vec<(u64, usize)>);

/// The record of the suspects, kept in the store for the case that all nodes end.
#[derive(Debug, Default)]
pub struct SuspectsRecord {
    /// True once the record that the node found when it started has been read.
    is_read: bool,
    /// What the store's record holds, as far as this node knows.
    stored: Recorded,
    /// Content of the last append, and its time.
    appended: Option<(Recorded, Millis)>,
}

impl SuspectsRecord {
    /// Records that what was appended is lost.
    pub(super) fn forget_appends(&mut self) {
        self.stored = Recorded::default();
        self.appended = None;
    }
}

/// A run that ended while this node was cut off from its endpoint.
#[derive(Debug)]
pub struct UndecidedRun {
    run: CrashedRun,
    endpoint: EndpointKey,
    /// Heartbeat of the endpoint when the run ended.
    heartbeat: Option<u64>,
}

/// What became of the endpoint of an undecided run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    Ended,
    RunsOn,
    Unknown,
}

fn ids(suspects: &[SuspectRecord]) -> Vec<u64> {
    suspects.iter().map(|suspect| suspect.id).collect()
}

fn content(record: &RecordedSuspects) -> Recorded {
    let counts = |suspects: &[SuspectRecord]| {
        let counts = suspects.iter().map(|one| (one.id, one.crashes.len()));
        counts.collect()
    };
    (counts(&record.parts), counts(&record.requests))
}

fn hex(ids: &[u64]) -> String {
    let ids: Vec<String> = ids.iter().map(|id| format!("{id:x}")).collect();
    ids.join(",")
}

fn event_kind(subject: Subject) -> EventKind {
    match subject {
        Subject::Part => EventKind::PromptPart,
        Subject::Request => EventKind::CrashingRequest,
    }
}

impl Control {
    fn suspects_mut(&mut self, subject: Subject) -> &mut Suspects {
        match subject {
            Subject::Part => &mut self.suspect_parts,
            Subject::Request => &mut self.suspect_requests,
        }
    }

    /// Handles a run that ended before it brought an event, and whose endpoint does not
    /// answer. If this node is cut off from the endpoint, other signs must show whether the
    /// endpoint has ended.
    pub(super) fn run_crashed(&mut self, run: CrashedRun, now: Millis) {
        let Some((endpoint, heartbeat)) = self.unreachable_engine(run.engine) else {
            self.count_crash(&run, now);
            return;
        };
        log::info!(engine = run.engine; "run ended during a cut; unknown whether its endpoint ended");
        if self.undecided_runs.len() == MAX_UNDECIDED {
            self.undecided_runs.remove(0);
        }
        self.undecided_runs.push(UndecidedRun {
            run,
            endpoint,
            heartbeat,
        });
    }

    /// Returns the key and the heartbeat of this incarnation of an endpoint if it is listed
    /// and this node is cut off from it.
    fn unreachable_engine(&self, incarnation: u64) -> Option<(EndpointKey, Option<u64>)> {
        if !self.is_cut_off() {
            return None;
        }
        let endpoints = self.fleet.values().map(|state| &state.endpoint);
        let endpoint = endpoints
            .filter(|endpoint| self.cut_services.contains(&endpoint.service))
            .find(|endpoint| endpoint.incarnation() == incarnation)?;
        Some((endpoint.key(), endpoint.heartbeat))
    }

    /// Decides on the runs that ended during a cut, as far as the fate of their endpoints
    /// is known.
    pub(super) fn decide_runs(&mut self, now: Millis) {
        for undecided in std::mem::take(&mut self.undecided_runs) {
            match self.fate(&undecided) {
                Fate::Ended => self.count_crash(&undecided.run, now),
                Fate::RunsOn => {
                    log::info!(engine = undecided.run.engine; "endpoint has outlived a run that a cut ended");
                }
                Fate::Unknown => self.undecided_runs.push(undecided),
            }
        }
    }

    fn fate(&self, undecided: &UndecidedRun) -> Fate {
        let listed = self.fleet.get(&undecided.endpoint);
        let Some(endpoint) = listed.map(|state| &state.endpoint) else {
            return Fate::Ended;
        };
        if endpoint.incarnation() != undecided.run.engine {
            return Fate::Ended;
        }
        let runs_on = match endpoint.heartbeat.zip(undecided.heartbeat) {
            Some((heartbeat, before)) => heartbeat >= before + MIN_HEARTBEATS,
            None => {
                !self.cut_services.contains(&endpoint.service)
                    && !self
                        .reach
                        .is_unreachable(&endpoint.service, undecided.endpoint)
            }
        };
        if runs_on { Fate::RunsOn } else { Fate::Unknown }
    }

    /// Counts a run that ended with its endpoint against what it may have crashed by.
    fn count_crash(&mut self, run: &CrashedRun, now: Millis) {
        for subject in [Subject::Part, Subject::Request] {
            let suspects = self.suspects_mut(subject);
            let before = ids(&suspects.stopped());
            let against = suspects.record_crash(run, now);
            if !against.is_empty() {
                log::info!(engine = run.engine, begun = run.begun, sent_ms = now.saturating_sub(run.sent_at),
                    subject = subject.as_str(), ids = hex(&against).as_str(); "crash speaks against its runs");
            }
            self.note_stopped(subject, &before);
        }
        self.gossip_pending_at.get_or_insert(now);
    }

    /// Handles the first event of a run, or its whole response.
    pub(super) fn run_answered(&mut self, service: &Arc<str>, subjects: &RunSubjects, now: Millis) {
        for subject in [Subject::Part, Subject::Request] {
            let suspects = self.suspects_mut(subject);
            for id in suspects.record_answer(service, subjects.of(subject), now) {
                self.metrics.count(event_kind(subject), "cleared");
                log::warn!(subject = subject.as_str(), id = hex(&[id]).as_str(); "suspect is sound; requests with it are sent again");
            }
        }
        self.gossip_suspects(now);
    }

    /// Merges the evidence of another node.
    pub(super) fn merge_suspects(
        &mut self,
        subject: Subject,
        records: &[SuspectRecord],
        now: Millis,
    ) {
        if records.is_empty() {
            return;
        }
        let is_hub = self.role.is_hub();
        let suspects = self.suspects_mut(subject);
        let before = ids(&suspects.stopped());
        for record in records {
            suspects.merge(record, is_hub, now);
        }
        self.note_stopped(subject, &before);
        self.gossip_suspects(now);
    }

    fn gossip_suspects(&mut self, now: Millis) {
        if self.suspect_parts.has_news() || self.suspect_requests.has_news() {
            self.gossip_pending_at.get_or_insert(now);
        }
    }

    fn note_stopped(&mut self, subject: Subject, before: &[u64]) {
        for record in self.suspects_mut(subject).stopped() {
            if !before.contains(&record.id) {
                self.metrics.count(event_kind(subject), "stopped");
                log::warn!(subject = subject.as_str(), id = hex(&[record.id]).as_str(), crashes = record.crashes.len();
                    "suspect crashes endpoints; requests with it are refused");
            }
        }
    }

    /// Returns why a request must not be sent because of its prompt parts, or because it
    /// crashes endpoints, if so.
    pub(super) fn refusal_of_suspects(
        &mut self,
        request: &PlacementRequest,
        now: Millis,
    ) -> Option<Refusal> {
        let own = &request.subjects;
        let is_suspect = own.parts.iter().any(|id| self.suspect_parts.contains(*id))
            || own
                .requests
                .iter()
                .any(|id| self.suspect_requests.contains(*id));
        if !is_suspect {
            return None;
        }
        let may_try = self.rank(now) == 0;
        [Subject::Part, Subject::Request]
            .into_iter()
            .find_map(|subject| self.refusal_of(subject, request, may_try, now))
    }

    fn refusal_of(
        &mut self,
        subject: Subject,
        request: &PlacementRequest,
        may_try: bool,
        now: Millis,
    ) -> Option<Refusal> {
        let ids = request.subjects.of(subject).iter().copied();
        let suspects = self.suspects_mut(subject);
        match suspects.clearance(ids, may_try, request.is_retry, now) {
            Clearance::Clear => None,
            Clearance::Trial(id) => {
                log::warn!(request = &*request.id, subject = subject.as_str(), id = hex(&[id]).as_str(); "one request tries a stopped suspect");
                None
            }
            Clearance::Stopped(id, until) => {
                log::info!(request = &*request.id, subject = subject.as_str(), id = hex(&[id]).as_str(),
                    pause_ms = until.map(|until| until.saturating_sub(now)); "request has a stopped suspect");
                Some(match subject {
                    Subject::Part => Refusal::StoppedPart {
                        until: until.unwrap_or(now),
                    },
                    Subject::Request => Refusal::StoppedRequest { until },
                })
            }
        }
    }

    /// Handles the record that the node found when it started.
    pub(super) fn suspects_read(&mut self, recorded: &RecordedSuspects, now: Millis) {
        log::info!(parts = recorded.parts.len(), requests = recorded.requests.len();
            "read the recorded suspects that crash endpoints");
        self.suspects_record.stored = content(recorded);
        self.merge_suspects(Subject::Part, &recorded.parts, now);
        self.merge_suspects(Subject::Request, &recorded.requests, now);
    }

    /// Handles the end of the read of the record. Written before, it would lack the suspects
    /// that nodes which ended have recorded.
    pub(super) fn suspects_recovered(&mut self) {
        self.suspects_record.is_read = true;
    }

    /// Handles the end of an append of the record.
    pub(super) fn suspects_recorded(&mut self, stored: bool) {
        if let Some((content, _)) = self.suspects_record.appended.as_ref().filter(|_| stored) {
            self.suspects_record.stored.clone_from(content);
        }
    }

    /// Records the suspects if they have changed. Of all nodes that reach the store only the
    /// one of the first rank does so.
    pub(super) fn record_suspects(&mut self, now: Millis) {
        let record = &self.suspects_record;
        let appended = record.appended.as_ref();
        let waits = appended.is_some_and(|(_, at)| now < at + RECORD_INTERVAL_MS);
        let usable = !self.store_unreachable && self.shutdown_at.is_none();
        if !record.is_read || waits || !usable || self.store_rank(now) > 0 {
            return;
        }
        let record = RecordedSuspects {
            parts: self.suspect_parts.recorded(),
            requests: self.suspect_requests.recorded(),
        };
        let content = content(&record);
        if content == self.suspects_record.stored {
            return;
        }
        log::info!(parts = content.0.len(), requests = content.1.len(); "recording the suspects that crash endpoints");
        self.suspects_record.appended = Some((content, now));
        self.effects.push(Effect::RecordSuspects(record));
    }
}
