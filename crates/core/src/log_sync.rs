//! Synchronization of log records and snapshots between nodes.
//!
//! It is enough that one node can read the platform's log: heartbeats carry offsets,
//! and a node that stays behind a peer requests the missing records from it. Jitter,
//! back-off and budgets keep many nodes that restart together from overloading one
//! peer. Records are accepted only in the order of their offsets and without gaps, so
//! a node never goes back and never skips a record.

use std::collections::BTreeMap;

use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::prelude::*;
use crate::tail::{Batch, LogTail, Record};

/// How long a node that is behind waits for the log itself before it requests records
/// from a peer.
pub const REQUEST_DELAY: Millis = Millis(200);

/// Maximum random time added to every wait.
pub const JITTER: Millis = Millis(200);

/// Time after which an unanswered request counts as failed.
pub const REQUEST_TIMEOUT: Millis = Millis(1000);

/// First wait after a failed request; doubles up to [`MAX_BACKOFF`].
pub const INITIAL_BACKOFF: Millis = Millis(250);

/// Longest wait after failed requests.
pub const MAX_BACKOFF: Millis = Millis(4000);

/// Maximum number of records in one answer.
pub const MAX_BATCH: u32 = 500;

/// Record bytes that a node sends to its peers in one second before it answers busy.
pub const SERVE_BYTES_PER_S: usize = 1024 * 1024;

/// Minimum time between two snapshots that a node sends to its peers.
pub const SNAPSHOT_INTERVAL: Millis = Millis(250);

/// An event on one log stream.
#[derive(Clone, Debug)]
pub enum Input {
    /// Records read from the log.
    LogRecords(Vec<Record>),
    /// The state of this node advanced to a later offset by other means, for instance
    /// by a checkpoint record in a trimmed log.
    AdvancedTo(Offset),
    /// A heartbeat contained the next offset that a peer needs.
    PeerOffset(InstanceId, Offset),
    /// A peer left or was lost.
    PeerGone(InstanceId),
    /// A peer sent records.
    PeerRecords(InstanceId, Vec<Record>),
    /// A peer sent a complete snapshot of the state before the offset.
    PeerSnapshot(InstanceId, Offset, Vec<u8>),
    /// A peer is busy and asks to wait for this long before the next request.
    PeerBusy(InstanceId, Millis),
    /// A peer requests at most this many records starting at the offset.
    RecordsWanted(InstanceId, Offset, u32),
    /// A peer requests a snapshot.
    SnapshotWanted(InstanceId),
    /// Time has passed.
    Tick,
}

/// An action for the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Request records starting at the offset from a peer.
    RequestRecords(InstanceId, Offset),
    /// Fold these records, which directly follow those folded so far.
    Apply(Vec<Record>),
    /// Replace the state with this snapshot of the state before the offset.
    Install(Offset, Vec<u8>),
    /// Send records to a peer.
    SendRecords(InstanceId, Vec<Record>),
    /// Send a snapshot of the current state to a peer.
    SendSnapshot(InstanceId),
    /// Tell a peer to repeat its request after this time.
    SendBusy(InstanceId, Millis),
}

/// A request to a peer that awaits its answer.
#[derive(Clone, Debug)]
struct PendingRequest {
    peer: InstanceId,
    since: Millis,
}

/// Synchronization state of one log stream on one node.
#[derive(Clone, Debug)]
pub struct LogSync {
    tail: LogTail,
    peers: BTreeMap<InstanceId, Offset>,
    pending: Option<PendingRequest>,
    /// Earliest time of the next request; `None` while no peer is ahead.
    next_request: Option<Millis>,
    failures: u32,
    /// The peer whose request failed last.
    last_failed: Option<InstanceId>,
    served_bytes: usize,
    served_since: Millis,
    next_snapshot: Millis,
    rng: ChaCha8Rng,
    outputs: Vec<Output>,
}

impl LogSync {
    /// Starts with a stream of which everything before `next` is known.
    pub fn new(next: Offset, seed: u64) -> Self {
        Self {
            tail: LogTail::new(next),
            peers: BTreeMap::new(),
            pending: None,
            next_request: None,
            failures: 0,
            last_failed: None,
            served_bytes: 0,
            served_since: Millis(0),
            next_snapshot: Millis(0),
            rng: ChaCha8Rng::seed_from_u64(seed),
            outputs: Vec::new(),
        }
    }

    /// The next offset that this node needs.
    pub fn next(&self) -> Offset {
        self.tail.next()
    }

    /// Handles one input and returns the resulting actions.
    pub fn step(&mut self, input: Input, now: Millis) -> Vec<Output> {
        match input {
            Input::LogRecords(records) => {
                self.accept(records);
            }
            Input::AdvancedTo(offset) => {
                self.tail.advance_to(offset);
            }
            Input::PeerOffset(peer, offset) => {
                self.peers.insert(peer, offset);
            }
            Input::PeerGone(peer) => {
                self.peers.remove(&peer);
                self.fail(&peer, Millis(0), now);
            }
            Input::PeerRecords(peer, records) => self.receive_records(&peer, records, now),
            Input::PeerSnapshot(peer, offset, bytes) => {
                self.receive_snapshot(&peer, offset, bytes, now);
            }
            Input::PeerBusy(peer, wait) => self.fail(&peer, wait, now),
            Input::RecordsWanted(peer, from, max) => self.serve(peer, from, max, now),
            Input::SnapshotWanted(peer) => self.serve_snapshot(peer, now),
            Input::Tick => self.expire(now),
        }
        self.request_if_behind(now);
        std::mem::take(&mut self.outputs)
    }

    fn accept(&mut self, records: Vec<Record>) -> bool {
        let accepted = self.tail.append(records);
        let any = !accepted.is_empty();
        if any {
            self.outputs.push(Output::Apply(accepted));
        }
        any
    }

    fn receive_records(&mut self, peer: &InstanceId, records: Vec<Record>, now: Millis) {
        if self.accept(records) {
            self.succeed(peer, now);
        } else {
            self.fail(peer, Millis(0), now);
        }
    }

    fn receive_snapshot(&mut self, peer: &InstanceId, offset: Offset, bytes: Vec<u8>, now: Millis) {
        if self.tail.advance_to(offset) {
            self.outputs.push(Output::Install(offset, bytes));
            self.succeed(peer, now);
        } else {
            self.fail(peer, Millis(0), now);
        }
    }

    fn succeed(&mut self, peer: &InstanceId, now: Millis) {
        if self
            .pending
            .take_if(|request| request.peer == *peer)
            .is_some()
        {
            self.failures = 0;
            self.last_failed = None;
            // More records may be missing, so the next request is not delayed.
            self.next_request = Some(now);
        }
    }

    fn fail(&mut self, peer: &InstanceId, min_wait: Millis, now: Millis) {
        if self
            .pending
            .take_if(|request| request.peer == *peer)
            .is_none()
        {
            return;
        }
        let doubled = INITIAL_BACKOFF.0 << self.failures.min(8);
        let wait = Millis(doubled)
            .min(MAX_BACKOFF)
            .max(min_wait.min(MAX_BACKOFF));
        self.failures += 1;
        self.last_failed = Some(peer.clone());
        self.next_request = Some(now + wait + self.jitter());
    }

    fn expire(&mut self, now: Millis) {
        let timed_out = self
            .pending
            .as_ref()
            .filter(|request| now.since(request.since) >= REQUEST_TIMEOUT)
            .map(|request| request.peer.clone());
        if let Some(peer) = timed_out {
            self.fail(&peer, Millis(0), now);
        }
    }

    fn request_if_behind(&mut self, now: Millis) {
        let next = self.next();
        if !self.peers.values().any(|offset| *offset > next) {
            self.next_request = None;
            return;
        }
        if self.pending.is_some() {
            return;
        }
        let Some(due) = self.next_request else {
            self.next_request = Some(now + REQUEST_DELAY + self.jitter());
            return;
        };
        if now < due {
            return;
        }
        if let Some(peer) = self.choose_peer(next) {
            self.pending = Some(PendingRequest {
                peer: peer.clone(),
                since: now,
            });
            self.outputs.push(Output::RequestRecords(peer, next));
        }
    }

    /// Picks a random peer that is ahead; the one that failed last only if no other is.
    fn choose_peer(&mut self, next: Offset) -> Option<InstanceId> {
        let ahead = self.peers.iter().filter(|(_, offset)| **offset > next);
        let names: Vec<&InstanceId> = ahead.map(|(name, _)| name).collect();
        let alone = names.len() == 1;
        let last_failed = self.last_failed.as_ref();
        names
            .into_iter()
            .filter(|name| alone || Some(*name) != last_failed)
            .choose(&mut self.rng)
            .cloned()
    }

    fn serve(&mut self, peer: InstanceId, from: Offset, max: u32, now: Millis) {
        if now.since(self.served_since) >= Millis(1000) {
            self.served_since = now;
            self.served_bytes = 0;
        }
        if self.served_bytes >= SERVE_BYTES_PER_S {
            self.send_busy(peer, now);
            return;
        }
        match self.tail.batch(from, max.min(MAX_BATCH)) {
            Batch::Records(records) => {
                self.served_bytes += records.iter().map(Record::bytes).sum::<usize>();
                self.outputs.push(Output::SendRecords(peer, records));
            }
            Batch::TooOld => self.serve_snapshot(peer, now),
            Batch::NotYet => self.send_busy(peer, now),
        }
    }

    fn serve_snapshot(&mut self, peer: InstanceId, now: Millis) {
        if now < self.next_snapshot {
            self.send_busy(peer, now);
            return;
        }
        self.next_snapshot = now + SNAPSHOT_INTERVAL;
        self.outputs.push(Output::SendSnapshot(peer));
    }

    fn send_busy(&mut self, peer: InstanceId, now: Millis) {
        let wait = self.next_snapshot.since(now) + JITTER + self.jitter();
        self.outputs.push(Output::SendBusy(peer, wait));
    }

    fn jitter(&mut self) -> Millis {
        Millis(self.rng.random_range(0..=JITTER.0))
    }
}
