//! Schedules reads of the store's topics and compares this node's copies with those
//! of other nodes.

use std::net::SocketAddr;

use flamingolock_wire::gossip::{Gossip, TopicCopyState};
use rand::Rng;
use xxhash_rust::xxh3::xxh3_64;

use super::Control;
use crate::clock::Millis;
use crate::control::freshness::{CopyReport, Freshness, ReadSchedule, STAGGER_STEPS};
use crate::control::peers::Role;
use crate::control::{Effect, FollowedTopic, ReadRequest};

/// Minimum delay after a failed read, in ms; a random delay of up to the same
/// length is added.
const RETRY_MS: Millis = 250;

/// Time after a stall of the process during which records that arrive may be as old
/// as the stall, in ms.
const STALL_RECOVERY_MS: Millis = 2_000;

/// Interval between two reports of unchanged copies, in ms.
const REPORT_INTERVAL_MS: Millis = 200;

impl Control {
    /// Requests reads of the topics that are due.
    pub(super) fn read_topics(&mut self, now: Millis) {
        let rank = self.reader_rank(now);
        let hops = if self.peers.is_full_mesh(now) { 1 } else { 2 };
        let operator = ReadSchedule::new(self.settings.catalog_bound, rank, hops);
        let max_age = if rank == 0 { 0 } else { operator.max_age };
        if self.operator_copy.is_due(max_age, now)
            && !self.fetches.in_progress()
            && !(self.operator_copy.is_behind() && self.fetch_from_reporter(now))
        {
            self.operator_copy.read_started(now);
            self.effects.push(Effect::ReadTopic(ReadRequest {
                topic: FollowedTopic::Operator,
                wait_ms: if rank == 0 { operator.read_interval } else { 0 },
                known_end: self.operator_end,
            }));
        }
        if self.operator_copy.is_read_slow(now) {
            self.fetch_from_reporter(now);
        }
        // No long poll here: entries change with every heartbeat of an endpoint, so the
        // store would return at once anyway.
        let endpoints = ReadSchedule::new(self.settings.drain_bound, rank, hops);
        if self.endpoints_copy.is_due(endpoints.max_age, now) {
            self.endpoints_copy.read_started(now);
            self.effects.push(Effect::ReadTopic(ReadRequest {
                topic: FollowedTopic::Endpoints,
                wait_ms: 0,
                known_end: 0,
            }));
        }
    }

    /// Returns the rank of this node among those that may read the store for all
    /// others; rank 0 reads at the shortest interval.
    fn reader_rank(&self, now: Millis) -> usize {
        if !self.peers.is_full_mesh(now) {
            return if self.role == Role::FirstHub {
                0
            } else {
                1 + self.incarnation as usize % STAGGER_STEPS
            };
        }
        if self.store_unreachable || self.shutdown_at.is_some() {
            return usize::MAX;
        }
        self.store_rank(now)
    }

    fn freshness_of(&mut self, topic: FollowedTopic) -> &mut Freshness {
        match topic {
            FollowedTopic::Operator => &mut self.operator_copy,
            FollowedTopic::Endpoints => &mut self.endpoints_copy,
        }
    }

    pub(super) fn topic_read(&mut self, topic: FollowedTopic, end: u64, at: Millis, now: Millis) {
        if topic == FollowedTopic::Operator {
            self.operator_end = self.operator_end.max(end);
        }
        self.freshness_of(topic).read_finished(at);
        // Until the view says that the copy is current, unknown routes are refused as if a newer
        // configuration might have them.
        if topic == FollowedTopic::Operator && self.view.load().may_lack_changes(now) {
            self.publish(now);
        }
        if self.copy_marks() != self.reported_marks {
            self.gossip_pending_at.get_or_insert(now);
        }
    }

    pub(super) fn topic_failed(&mut self, topic: FollowedTopic, now: Millis) {
        let delay = RETRY_MS + rand::rng().random_range(0..RETRY_MS);
        self.freshness_of(topic).read_failed(now + delay);
    }

    /// True if the process stood still a moment ago, so that what it knows may be old.
    pub(super) fn is_recovering(&self, now: Millis) -> bool {
        let (_, resumed_at) = self.last_stall;
        resumed_at > 0 && now < resumed_at + STALL_RECOVERY_MS
    }

    /// Returns the earliest time at which an operator record that arrives now may have
    /// been written: since the store last held nothing newer, or since the start of a
    /// stall of this process.
    pub(super) fn earliest_write_time(&self, now: Millis) -> Millis {
        if self.is_recovering(now) {
            return self.last_stall.0;
        }
        self.operator_copy.current_at().unwrap_or(now)
    }

    /// Returns the marks that identify the content of both copies: the end offset of
    /// the operator topic, and a hash of the listed endpoints and whether they are
    /// leaving.
    pub(super) fn copy_marks(&self) -> (u64, u64) {
        let listed = self
            .fleet
            .iter()
            .filter(|(_, state)| state.removal_due_at.is_none());
        let mut bytes = Vec::with_capacity(self.fleet.len() * 17);
        for (key, state) in listed {
            bytes.extend_from_slice(&key.to_be_bytes());
            bytes.extend_from_slice(&state.endpoint.start_time_ms.to_be_bytes());
            bytes.push(u8::from(state.endpoint.leaving));
        }
        (self.operator_end, xxh3_64(&bytes))
    }

    /// Returns the reports on both copies for the next datagram, if they are due.
    pub(super) fn copy_reports(
        &mut self,
        now: Millis,
    ) -> (Option<TopicCopyState>, Option<TopicCopyState>) {
        let marks = self.copy_marks();
        if marks == self.reported_marks && now < self.marks_reported_at + REPORT_INTERVAL_MS {
            return (None, None);
        }
        self.reported_marks = marks;
        self.marks_reported_at = now;
        let message = |report: CopyReport| TopicCopyState {
            mark: report.mark,
            age_ms: report.age as u32,
        };
        (
            self.operator_copy.report(marks.0, now).map(message),
            self.endpoints_copy.report(marks.1, now).map(message),
        )
    }

    /// Compares another node's copies, as it told them `delay` ago, with those of this node.
    pub(super) fn compare_copies(
        &mut self,
        from: SocketAddr,
        gossip: &Gossip,
        delay: Millis,
        now: Millis,
    ) {
        if gossip.operator.is_none() && gossip.endpoints.is_none() {
            return;
        }
        let marks = self.copy_marks();
        let report = |copy: &TopicCopyState| CopyReport {
            mark: copy.mark,
            age: Millis::from(copy.age_ms) + delay,
        };
        if let Some(copy) = &gossip.operator {
            self.operator_copy.peer_reported(report(copy), marks.0, now);
            if copy.mark > marks.0 {
                self.operator_reporter = self.peers.control_of(from);
            }
        }
        // A report that waited while the process stood still is older than it says.
        let may_confirm = !self.is_recovering(now);
        if let Some(copy) = &gossip.endpoints
            && (may_confirm || copy.mark != marks.1)
        {
            self.endpoints_copy
                .peer_reported(report(copy), marks.1, now);
        }
    }
}
