//! Cache events of an engine, delivered with a delay and with sequence gaps.

use std::collections::VecDeque;
use std::time::Duration;

use flamingolock_core::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::time::Instant;

/// Kind of a cache change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EventKind {
    /// The blocks were added to the cache.
    Stored,
    /// The blocks were evicted from the cache.
    Evicted,
    /// The whole cache was cleared.
    Cleared,
}

/// Delivery properties of the event log.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EventOptions {
    /// Delay from a cache change until its event becomes visible.
    pub(crate) delay: Duration,
    /// Probability that an event is lost.
    pub(crate) loss_probability: f64,
    /// Number of recent events that are retained.
    pub(crate) capacity: usize,
}

struct Event {
    seq: u64,
    visible_at: Instant,
    lost: bool,
    kind: EventKind,
    blocks: Vec<BlockHash>,
}

/// Result of a read.
pub(crate) struct EventPage {
    pub(crate) events: Vec<Value>,
    pub(crate) last_seq: u64,
    /// When the next recorded event becomes visible.
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

    /// Drops all events and resets the sequence numbers.
    pub(crate) fn restart(&mut self) {
        self.ring.clear();
        self.last_seq = 0;
    }

    /// Records a cache change at `now`. Stored and evicted events without blocks are
    /// ignored.
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

/// Parses the output of [`block_hex`].
pub(crate) fn block_from_hex(text: &str) -> Option<BlockHash> {
    u64::from_str_radix(text, 16).ok().map(BlockHash)
}
