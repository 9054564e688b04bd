//! Prompt parts that may crash engines: what this node and others saw, and the record of
//! the stopped ones in the store.

use flamingolock_wire::gossip::{SuspectPart, SuspectParts};

use super::Control;
use crate::clock::Millis;
use crate::control::suspects::{Clearance, CrashedRun};
use crate::control::{Effect, PlacementRequest, Refusal};
use crate::metrics::EventKind;

/// Minimum interval between two records of the stopped parts, in ms.
const RECORD_INTERVAL_MS: Millis = 1_000;

/// The record of the stopped parts, kept in the store for the case that all nodes end.
#[derive(Debug, Default)]
pub struct SuspectsRecord {
    /// Ids of the parts in the store's record, as far as this node knows.
    stored: Vec<u64>,
    /// Ids in the last append, and its time.
    appended: Option<(Vec<u64>, Millis)>,
}

fn ids(parts: &[SuspectPart]) -> Vec<u64> {
    parts.iter().map(|part| part.part).collect()
}

fn hex(part: u64) -> String {
    format!("{part:x}")
}

impl Control {
    /// Handles a run that ended with its engine before it brought an event.
    pub(super) fn run_crashed(&mut self, run: &CrashedRun, now: Millis) {
        let before = ids(&self.suspects.stopped());
        let against = self.suspects.record_crash(run, now);
        let parts: Vec<String> = against.iter().map(|part| hex(*part)).collect();
        log::info!(engine = run.engine, begun = run.begun, sent_ms = now.saturating_sub(run.sent_at),
            parts = parts.join(",").as_str(); "crash speaks against prompt parts");
        self.note_stopped(&before);
        self.gossip_pending_at.get_or_insert(now);
    }

    /// Handles the first event of a run.
    pub(super) fn parts_answered(&mut self, parts: &[u64], now: Millis) {
        for part in self.suspects.record_answer(parts, now) {
            self.metrics.count(EventKind::PromptPart, "cleared");
            log::warn!(part = hex(part).as_str(); "prompt part is sound; requests with it are sent again");
        }
        if self.suspects.has_news() {
            self.gossip_pending_at.get_or_insert(now);
        }
    }

    /// Merges the evidence of another node.
    pub(super) fn merge_suspects(&mut self, parts: &[SuspectPart], now: Millis) {
        if parts.is_empty() {
            return;
        }
        let before = ids(&self.suspects.stopped());
        for part in parts {
            self.suspects.merge(part, self.is_hub, now);
        }
        self.note_stopped(&before);
        if self.suspects.has_news() {
            self.gossip_pending_at.get_or_insert(now);
        }
    }

    fn note_stopped(&mut self, before: &[u64]) {
        for part in self.suspects.stopped() {
            if !before.contains(&part.part) {
                self.metrics.count(EventKind::PromptPart, "stopped");
                log::warn!(part = hex(part.part).as_str(), crashes = part.crashes.len();
                    "prompt part crashes engines; requests with it are refused");
            }
        }
    }

    /// Returns why a request must not be sent because of its prompt parts, if so.
    pub(super) fn refusal_of_parts(
        &mut self,
        request: &PlacementRequest,
        now: Millis,
    ) -> Option<Refusal> {
        let (_, shared) = request.parts.split_last()?;
        if !shared.iter().any(|part| self.suspects.contains(part.id)) {
            return None;
        }
        let may_try = self.rank(now) == 0;
        let parts = shared.iter().map(|part| part.id);
        match self
            .suspects
            .clearance(parts, may_try, request.is_retry, now)
        {
            Clearance::Clear => None,
            Clearance::Trial(part) => {
                log::warn!(request = &*request.id, part = hex(part).as_str(); "one request tries a stopped prompt part");
                None
            }
            Clearance::Stopped(part, until) => {
                log::info!(request = &*request.id, part = hex(part).as_str(),
                    pause_ms = until.saturating_sub(now); "request has a stopped prompt part");
                Some(Refusal::StoppedPart { until })
            }
        }
    }

    /// Handles the record that the node found when it started.
    pub(super) fn suspects_read(&mut self, recorded: &SuspectParts, now: Millis) {
        log::info!(parts = recorded.parts.len(); "read the recorded prompt parts that crash engines");
        self.suspects_record.stored = ids(&recorded.parts);
        self.merge_suspects(&recorded.parts, now);
    }

    /// Handles the end of an append of the record.
    pub(super) fn suspects_recorded(&mut self, stored: bool) {
        if let Some((ids, _)) = self.suspects_record.appended.as_ref().filter(|_| stored) {
            self.suspects_record.stored.clone_from(ids);
        }
    }

    /// Records the stopped parts if they have changed. Of all nodes only the one of the
    /// first rank does so.
    pub(super) fn record_suspects(&mut self, now: Millis) {
        let appended = self.suspects_record.appended.as_ref();
        let waits = appended.is_some_and(|(_, at)| now < at + RECORD_INTERVAL_MS);
        if waits || self.store_unreachable || self.shutdown_at.is_some() || self.rank(now) > 0 {
            return;
        }
        let parts = self.suspects.stopped();
        let ids = ids(&parts);
        if ids == self.suspects_record.stored {
            return;
        }
        log::info!(parts = ids.len(); "recording the prompt parts that crash engines");
        self.suspects_record.appended = Some((ids, now));
        self.effects
            .push(Effect::RecordSuspects(SuspectParts { parts }));
    }
}
