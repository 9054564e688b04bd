//! The estimate of an engine's cache against a plain list in order of recency.

use flamingolock_core::levels::{self, Level};
use flamingolock_core::prefix_model::{ApplyOutcome, CacheChange, CacheEvent, PrefixModel};
use flamingolock_core::prelude::*;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const LIFE: Incarnation = Incarnation(7);

fn config(seed: u64) -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn model(capacity: u32) -> PrefixModel {
    PrefixModel::new(LIFE, "w1".into(), capacity)
}

fn hash(family: u64, block: u32) -> BlockHash {
    BlockHash(family * 1000 + u64::from(block))
}

/// Levels of a chain of one family, cut every `step` blocks.
fn cut(family: u64, length: u32, step: u32) -> Vec<Level> {
    (1..=length)
        .filter(|blocks| blocks % step == 0 || *blocks == length)
        .map(|blocks| Level {
            blocks,
            hash: hash(family, blocks),
        })
        .collect()
}

/// Entries with their spans, least recently used first.
#[derive(Debug, Default)]
struct Oracle {
    entries: Vec<(BlockHash, u32)>,
}

impl Oracle {
    fn touch(&mut self, hash: BlockHash, span: u32) {
        let old = self.entries.iter().position(|entry| entry.0 == hash);
        let span = old.map_or(span, |at| self.entries.remove(at).1.min(span));
        self.entries.push((hash, span));
    }

    fn used(&self) -> u32 {
        self.entries.iter().map(|entry| entry.1).sum()
    }

    fn shrink(&mut self, capacity: u32) {
        while self.used() > capacity {
            self.entries.remove(0);
        }
    }

    fn holds(&self, hash: BlockHash) -> bool {
        self.entries.iter().any(|entry| entry.0 == hash)
    }
}

#[derive(Clone, Debug)]
enum Op {
    Insert(u64, u32, u32),
    Event(CacheChange, u64, Vec<u32>),
    Capacity(u32),
}

fn op() -> impl Strategy<Value = Op> {
    let blocks = vec(1..30u32, 0..6);
    prop_oneof![
        6 => (0..6u64, 1..30u32, 1..5u32).prop_map(|(f, n, s)| Op::Insert(f, n, s)),
        2 => (0..6u64, blocks.clone()).prop_map(|(f, b)| Op::Event(CacheChange::Stored, f, b)),
        2 => (0..6u64, blocks).prop_map(|(f, b)| Op::Event(CacheChange::Evicted, f, b)),
        1 => Just(Op::Event(CacheChange::Cleared, 0, vec![])),
        1 => (0..60u32).prop_map(Op::Capacity),
    ]
}

proptest! {
    #![proptest_config(config(1))]

    #[test]
    fn agrees_with_list_in_order_of_recency(ops in vec(op(), 0..60)) {
        let mut capacity = 40;
        let mut model = model(capacity);
        let mut oracle = Oracle::default();
        for (seq, op) in ops.into_iter().enumerate() {
            match op {
                Op::Insert(family, length, step) => {
                    let levels = cut(family, length, step);
                    model.insert(&levels);
                    let mut end = length;
                    for level in levels.iter().rev().skip(1) {
                        oracle.touch(hash(family, end), end - level.blocks);
                        end = level.blocks;
                    }
                    oracle.touch(hash(family, end), end);
                }
                Op::Event(kind, family, blocks) => {
                    let blocks: Vec<_> = blocks.iter().map(|&b| hash(family, b)).collect();
                    match kind {
                        CacheChange::Stored => {
                            blocks.iter().rev().for_each(|&block| oracle.touch(block, 1));
                        }
                        CacheChange::Evicted => {
                            oracle.entries.retain(|entry| !blocks.contains(&entry.0));
                        }
                        CacheChange::Cleared => oracle.entries.clear(),
                    }
                    let event = CacheEvent { seq: seq as u64, kind, blocks };
                    prop_assert_eq!(model.apply(LIFE, &[event]), ApplyOutcome::Current);
                }
                Op::Capacity(blocks) => {
                    capacity = blocks;
                    model.set_capacity(blocks);
                }
            }
            oracle.shrink(capacity);
            prop_assert_eq!(model.len(), oracle.entries.len());
            prop_assert_eq!(model.used_blocks(), oracle.used());
            for family in 0..6 {
                let chain = PrefixChain {
                    blocks: (1..30).map(|block| hash(family, block)).collect(),
                    tokens: 0,
                };
                let held = chain.blocks.iter().take_while(|&&b| oracle.holds(b)).count();
                prop_assert_eq!(model.longest_prefix(&chain), held);
                prop_assert_eq!(model.longest_level(&levels::all(&chain)), held as u32);
            }
        }
    }
}

#[test]
fn forgets_everything_with_incarnation_and_weights() {
    for (incarnation, weights) in [(Incarnation(8), "w1"), (LIFE, "w2")] {
        let mut model = model(100);
        model.insert(&cut(1, 10, 1));
        model.rebind(LIFE, &"w1".into());
        assert_eq!(model.len(), 10);
        model.rebind(incarnation, &weights.into());
        assert!(model.is_empty());
        assert_eq!(model.longest_level(&cut(1, 10, 1)), 0);
    }
}

#[test]
fn ignores_events_of_other_incarnations() {
    let mut model = model(100);
    let stored = |seq| CacheEvent {
        seq,
        kind: CacheChange::Stored,
        blocks: vec![hash(1, 1)],
    };
    assert_eq!(
        model.apply(Incarnation(6), &[stored(1)]),
        ApplyOutcome::OtherIncarnation
    );
    assert_eq!(
        model.apply(Incarnation(8), &[stored(1)]),
        ApplyOutcome::OtherIncarnation
    );
    assert!(model.is_empty());
}

#[test]
fn ignores_events_older_than_applied_ones() {
    let mut model = model(100);
    let event = |seq, kind| CacheEvent {
        seq,
        kind,
        blocks: vec![hash(1, 1)],
    };
    model.apply(
        LIFE,
        &[
            event(5, CacheChange::Evicted),
            event(4, CacheChange::Stored),
        ],
    );
    assert!(model.is_empty());
}

#[test]
fn lost_events_lower_confidence_until_observations_confirm() {
    let mut model = model(1000);
    let levels = cut(1, 100, 10);
    model.insert(&levels);
    let event = |seq| CacheEvent {
        seq,
        kind: CacheChange::Stored,
        blocks: vec![],
    };
    model.apply(LIFE, &[event(1), event(2)]);
    assert_eq!(model.expected_blocks(&levels), 100);
    model.apply(LIFE, &[event(40)]);
    let lowered = model.expected_blocks(&levels);
    assert!(lowered < 60, "{lowered} of 100 blocks after 37 lost events");
    assert_eq!(model.longest_level(&levels), 100);
    (0..30).for_each(|_| model.observe(100, 100));
    assert!(model.expected_blocks(&levels) >= 99);
    (0..30).for_each(|_| model.observe(100, 50));
    let halved = model.expected_blocks(&levels);
    assert!((48..=55).contains(&halved), "{halved} of 100 blocks");
}
