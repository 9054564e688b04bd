//! How nodes hand log records and snapshots to each other.
//!
//! One node that can read the platform's log is enough: offsets travel with
//! heartbeats, and a node that stays behind a peer asks it for what is missing.
//! Jitter, back-off and budgets keep a herd of restarted nodes from overloading one
//! peer. Records are taken only in the order of their offsets and without gaps, so
//! a node never steps back and never skips.

use std::collections::BTreeMap;

use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::prelude::*;
use crate::tail::{Batch, LogTail, Record};

/// How long a node waits for the log itself before it asks a peer.
pub const REQUEST_DELAY: Millis = Millis(200);

/// Most time added at random to every wait.
pub const JITTER: Millis = Millis(200);

/// Time after which an unanswered request is given up.
pub const REQUEST_TIMEOUT: Millis = Millis(1000);

/// First wait after a failed request; doubles up to [`MAX_BACKOFF`].
pub const INITIAL_BACKOFF: Millis = Millis(250);

/// Longest wait after failed requests.
pub const MAX_BACKOFF: Millis = Millis(4000);

/// Most records in one answer.
pub const MAX_BATCH: u32 = 500;

/// Record bytes that a node gives to its peers in one second.
pub const SERVE_BYTES_PER_S: usize = 1024 * 1024;

/// Time between two snapshots that a node gives to its peers.
pub const SNAPSHOT_INTERVAL: Millis = Millis(250);

/// What happened on one stream.
#[derive(Clone, Debug)]
pub enum Input {
    /// Records read from the log.
    LogRecords(Vec<Record>),
    /// This node's state moved to a later offset by other means, for instance by a
    /// checkpoint record in a trimmed log.
    AdvancedTo(Offset),
    /// A heartbeat named the next offset that a peer needs.
    PeerOffset(InstanceId, Offset),
    /// A peer is gone.
    PeerGone(InstanceId),
    /// A peer sent records.
    PeerRecords(InstanceId, Vec<Record>),
    /// A peer sent a whole snapshot of everything before the offset.
    PeerSnapshot(InstanceId, Offset, Vec<u8>),
    /// A peer cannot answer before this time has passed.
    PeerBusy(InstanceId, Millis),
    /// A peer asks for at most so many records from the offset on.
    RecordsWanted(InstanceId, Offset, u32),
    /// A peer asks for a snapshot.
    SnapshotWanted(InstanceId),
    /// Time has passed.
    Tick,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Ask a peer for records from the offset on.
    RequestRecords(InstanceId, Offset),
    /// Fold these records, which follow on what was folded so far.
    Apply(Vec<Record>),
    /// Replace the state by this snapshot of everything before the offset.
    Install(Offset, Vec<u8>),
    /// Send records to a peer.
    SendRecords(InstanceId, Vec<Record>),
    /// Send a snapshot of the current state to a peer.
    SendSnapshot(InstanceId),
    /// Tell a peer to ask again later.
    SendBusy(InstanceId, Millis),
}

/// A request that waits for its answer.
#[derive(Clone, Debug)]
struct PendingRequest {
    peer: InstanceId,
    since: Millis,
}

/// One stream as one node holds and hands on it.
#[derive(Clone, Debug)]
pub struct LogSync {
    tail: LogTail,
    peers: BTreeMap<InstanceId, Offset>,
    pending: Option<PendingRequest>,
    /// Earliest time of the next request; absent while no peer is ahead.
    next_request: Option<Millis>,
    failures: u32,
    /// The peer that failed last.
    avoid: Option<InstanceId>,
    served_bytes: usize,
    served_since: Millis,
    next_snapshot: Millis,
    rng: ChaCha8Rng,
    outputs: Vec<Output>,
}

impl LogSync {
    /// A stream of which everything before `next` is known.
    pub fn new(next: Offset, seed: u64) -> Self {
        Self {
            tail: LogTail::new(next),
            peers: BTreeMap::new(),
            pending: None,
            next_request: None,
            failures: 0,
            avoid: None,
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

    /// Takes one input and says what to do next.
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
        let taken = self.tail.append(records);
        let any = !taken.is_empty();
        if any {
            self.outputs.push(Output::Apply(taken));
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
            self.avoid = None;
            // More may be missing: the rest follows without another wait.
            self.next_request = Some(now);
        }
    }

    fn fail(&mut self, peer: &InstanceId, least: Millis, now: Millis) {
        if self
            .pending
            .take_if(|request| request.peer == *peer)
            .is_none()
        {
            return;
        }
        let doubled = INITIAL_BACKOFF.0 << self.failures.min(8);
        let wait = Millis(doubled).min(MAX_BACKOFF).max(least.min(MAX_BACKOFF));
        self.failures += 1;
        self.avoid = Some(peer.clone());
        self.next_request = Some(now + wait + self.jitter());
    }

    fn expire(&mut self, now: Millis) {
        let late = self
            .pending
            .as_ref()
            .filter(|request| now.since(request.since) >= REQUEST_TIMEOUT)
            .map(|request| request.peer.clone());
        if let Some(peer) = late {
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

    /// A random peer that is ahead; the one that failed last only if it is alone.
    fn choose_peer(&mut self, next: Offset) -> Option<InstanceId> {
        let ahead = self.peers.iter().filter(|(_, offset)| **offset > next);
        let names: Vec<&InstanceId> = ahead.map(|(name, _)| name).collect();
        let alone = names.len() == 1;
        let avoid = self.avoid.as_ref();
        names
            .into_iter()
            .filter(|name| alone || Some(*name) != avoid)
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
