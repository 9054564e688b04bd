//! Decides whether an engine has memory for a request, where engines crash without it.
//!
//! A node knows the runs of the others only from their gossip. Few nodes send to each engine,
//! and each of them fills only its share of the free memory before the others know of it.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::clock::Millis;

/// Number of nodes that may send to an engine. The memory that is free is divided between them
/// for the time in which they do not know of each other's runs; with 4, a request of up to a
/// quarter of an engine's memory is still placed at an idle one.
const SENDERS: usize = 4;

/// Time for which a silent node keeps its share, in ms: reports that are late by more than the
/// time-out of membership must not make each node take the whole engine.
const KEEP_NODE_MS: Millis = 10_000;

/// Time for which the clock of a node is kept that does not count as alive yet, in ms.
const NEW_NODE_MS: Millis = 500;

/// Part of the known tokens that is added for each hop for runs whose report was lost: reports
/// are not repeated.
const LOST_SHARE: f64 = 1.0 / 16.0;

/// Time for which the largest observed delay of the gossip counts fully, in ms.
const DELAY_HOLD_MS: Millis = 2_000;

/// Delay of the gossip that always counts beside the batching, for one hop, in ms: the network
/// and the scheduling of busy processes.
const HOP_MS: Millis = 20;

/// Number of hops of a report behind hubs: to the hub, to the other zone's, and to its nodes.
const HUB_HOPS: Millis = 3;

/// Time after the start of a node in which it does not know all runs, in ms.
const START_MS: Millis = 2_000;

/// Time for which a caller is told to stay away if no run time is known, in ms.
const DEFAULT_RUN_MS: f64 = 1_000.0;

/// Runs of this node that the others may not know yet.
#[derive(Debug, Default)]
pub struct RecentSends {
    runs: BTreeMap<u64, (Millis, u64)>,
}

impl RecentSends {
    /// Adds a run with this number.
    pub fn add(&mut self, number: u64, tokens: u64, now: Millis, keep_ms: Millis) {
        // Numbers grow with time.
        while let Some(first) = self.runs.first_entry() {
            if now <= first.get().0 + keep_ms {
                break;
            }
            first.remove();
        }
        self.runs.insert(number, (now, tokens));
    }

    /// Removes a run that ended.
    pub fn remove(&mut self, number: u64) {
        self.runs.remove(&number);
    }

    /// Tokens of the runs that were sent in the last `keep_ms`.
    pub fn tokens(&self, now: Millis, keep_ms: Millis) -> u64 {
        let newest = self.runs.values().rev();
        let recent = newest.take_while(|(at, _)| now <= at + keep_ms);
        recent.map(|(_, tokens)| tokens).sum()
    }
}

/// What is known of an engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineUse {
    /// Tokens that fit into its memory; 0 if that is not stated.
    pub capacity: u64,
    /// Tokens of all known runs, including those that may not have arrived.
    pub known: u64,
    /// Tokens of the runs of this node that the others may not know yet.
    pub unreported: u64,
    /// Hash of the engine's id.
    pub key: u64,
}

/// What a node knows of the delay of reports, and of its own share of the traffic.
#[derive(Debug, Default)]
pub struct EngineMemory {
    /// Smallest difference between the clocks of a sender and this node, by incarnation, and
    /// when the sender was last heard.
    offsets: BTreeMap<u64, (i64, Millis)>,
    /// Largest recent delay beyond that, and when it was observed.
    delay: (Millis, Millis),
    /// Median time since the others were heard, the shortest one behind hubs, in ms. It shows that reports
    /// are late before the first late one arrives; the end of one node does not change it.
    silence: Millis,
    /// Incarnations of the other nodes, and when each was last alive.
    others: BTreeMap<u64, Millis>,
    own: u64,
    has_hubs: bool,
    started_at: Option<Millis>,
}

impl EngineMemory {
    /// Records a datagram that its sender sent at this time of the sender's own clock. The
    /// clocks differ by an unknown constant, so a delay counts relative to the smallest one.
    pub fn heard(&mut self, node: u64, sent_at: Millis, now: Millis) {
        if sent_at == 0 {
            return;
        }
        let offset = now.cast_signed().wrapping_sub(sent_at.cast_signed());
        let entry = self.offsets.entry(node).or_insert((offset, now));
        *entry = (entry.0.min(offset), now);
        let delay = offset.wrapping_sub(entry.0).unsigned_abs();
        if delay >= self.delay.0 || now > self.delay.1 + DELAY_HOLD_MS {
            self.delay = (delay, now);
        }
    }

    /// Updates how long the others have been silent.
    pub fn update_silence(&mut self, now: Millis) {
        let heard = self.offsets.values();
        let mut silent: Vec<Millis> = heard.map(|(_, at)| now.saturating_sub(*at)).collect();
        silent.sort_unstable();
        // Behind hubs few nodes send to this one; the others were heard only while it started.
        let place = if self.has_hubs { 0 } else { silent.len() / 2 };
        self.silence = silent.get(place).copied().unwrap_or(0);
    }

    /// Records the nodes that are heard, and forgets others after some time.
    pub fn set_fleet(
        &mut self,
        own: u64,
        others: impl Iterator<Item = u64>,
        has_hubs: bool,
        now: Millis,
    ) {
        self.started_at.get_or_insert(now);
        (self.own, self.has_hubs) = (own, has_hubs);
        self.others.extend(others.map(|node| (node, now)));
        self.others.retain(|_, alive| now <= *alive + KEEP_NODE_MS);
        let known = &self.others;
        self.offsets
            .retain(|node, (_, heard)| known.contains_key(node) || now <= *heard + NEW_NODE_MS);
    }

    fn hops(&self) -> u64 {
        if self.has_hubs { HUB_HOPS } else { 1 }
    }

    /// Time for which a run of this node counts as unreported, in ms: until the others know it,
    /// and until what they sent without knowing it is known here.
    pub fn unreported_ms(&self, batch_ms: Millis) -> Millis {
        2 * self.hops() * (batch_ms + HOP_MS + self.delay.0.max(self.silence))
    }

    /// True if this node is one of those that may send to the engine, chosen by rendezvous
    /// hashing.
    fn is_sender(&self, engine: u64) -> bool {
        let weight = |node: u64| xxh3_64_with_seed(&node.to_le_bytes(), engine);
        let own = weight(self.own);
        let before = self.others.keys().filter(|node| weight(**node) > own);
        before.take(SENDERS).count() < SENDERS
    }

    /// Memory that this node may still fill at the engine, in tokens: its share of what is free
    /// of other runs, less what it has sent unreported.
    pub fn share(&self, engine: &EngineUse, now: Millis) -> u64 {
        if self.started_at.is_none_or(|at| now < at + START_MS) || !self.is_sender(engine.key) {
            return 0;
        }
        let reported = engine.known.saturating_sub(engine.unreported);
        let lost = if self.others.is_empty() {
            0
        } else {
            (reported as f64 * LOST_SHARE) as u64 * self.hops()
        };
        let free = engine.capacity.saturating_sub(reported + lost);
        let senders = SENDERS.min(1 + self.others.len()) as u64;
        (free / senders).saturating_sub(engine.unreported)
    }

    /// True if the engine has memory for a request with this many tokens.
    pub fn has_room(&self, engine: &EngineUse, tokens: u64, now: Millis) -> bool {
        engine.capacity == 0 || tokens <= self.share(engine, now)
    }
}

/// Expected time until memory is released, from the mean run time, in ms.
pub fn release_ms(mean_run_ms: Option<f64>) -> Millis {
    mean_run_ms.unwrap_or(DEFAULT_RUN_MS).max(1.0) as Millis
}
