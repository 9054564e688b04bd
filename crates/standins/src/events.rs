//! Cache events of an engine: late, and with gaps in their sequence.

use std::collections::VecDeque;
use std::time::Duration;

use flamingolock_core::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::time::Instant;

/// What happened to the blocks of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EventKind {
    /// The blocks are in the cache now.
    Stored,
    /// The blocks have left the cache.
    Evicted,
    /// The whole cache is empty now.
    Cleared,
}

/// Fixed properties of the event stream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EventOptions {
    /// Time from what happened until readers see it.
    pub(crate) delay: Duration,
    /// Probability that an event is never seen.
    pub(crate) loss_probability: f64,
    /// Number of recent events that are kept.
    pub(crate) capacity: usize,
}

struct Event {
    seq: u64,
    visible_at: Instant,
    lost: bool,
    kind: EventKind,
    blocks: Vec<BlockHash>,
}

/// What a reader finds, and when there may be more.
pub(crate) struct EventPage {
    pub(crate) events: Vec<Value>,
    pub(crate) last_seq: u64,
    /// When the next event that has happened becomes visible.
    pub(crate) next_visible_at: Option<Instant>,
}

/// The recent events of one incarnation.
pub(crate) struct EventLog {
    options: EventOptions,
    rng: ChaCha8Rng,
    ring: VecDeque<Event>,
    last_seq: u64,
}

impl EventLog {
    pub(crate) fn new(options: EventOptions, seed: u64) -> Self {
        Self {
            options,
            rng: ChaCha8Rng::seed_from_u64(seed),
            ring: VecDeque::new(),
            last_seq: 0,
        }
    }

    /// Drops all events and starts at the first sequence number again.
    pub(crate) fn restart(&mut self) {
        self.ring.clear();
        self.last_seq = 0;
    }

    /// Records what happened at `now`; an eviction or storage of nothing is none.
    pub(crate) fn record(&mut self, kind: EventKind, blocks: Vec<BlockHash>, now: Instant) {
        if blocks.is_empty() && kind != EventKind::Cleared {
            return;
        }
        self.last_seq += 1;
        let event = Event {
            seq: self.last_seq,
            visible_at: now + self.options.delay,
            lost: self.rng.random_bool(self.options.loss_probability),
            kind,
            blocks,
        };
        self.ring.push_back(event);
        if self.ring.len() > self.options.capacity {
            self.ring.pop_front();
        }
    }

    /// The events after `after` that are visible at `now`.
    pub(crate) fn read(&self, after: u64, now: Instant) -> EventPage {
        let visible = self.ring.iter().take_while(|event| event.visible_at <= now);
        let kept = visible.clone().filter(|e| e.seq > after && !e.lost);
        let hidden = self.ring.iter().find(|event| event.visible_at > now);
        EventPage {
            events: kept.map(event_json).collect(),
            last_seq: visible.last().map_or(0, |event| event.seq),
            next_visible_at: hidden.map(|event| event.visible_at),
        }
    }
}

fn event_json(event: &Event) -> Value {
    let blocks: Vec<String> = event.blocks.iter().copied().map(block_hex).collect();
    json!({ "seq": event.seq, "kind": event.kind, "blocks": blocks })
}

/// A block hash as 16 hexadecimal digits.
pub(crate) fn block_hex(block: BlockHash) -> String {
    format!("{:016x}", block.0)
}

/// Reads what [`block_hex`] wrote.
pub(crate) fn block_from_hex(text: &str) -> Option<BlockHash> {
    u64::from_str_radix(text, 16).ok().map(BlockHash)
}
