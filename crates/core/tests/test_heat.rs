//! Heat, replicas and the tree of recent prompts.

use std::collections::BTreeSet;

use flamingolock_core::heat::{Heat, HeatOptions};
use flamingolock_core::prefix_tree::{HeatLevel, PrefixTree};
use flamingolock_core::prelude::*;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const OPTIONS: HeatOptions = HeatOptions {
    half_life: Millis(1000),
    grow_load: 0.5,
    max_replicas: 8,
};

fn chain(text: &[u8]) -> PrefixChain {
    let seed = PrefixSeed::new(&"w".into(), &"m".into(), &"v".into(), None);
    let prompt: Vec<u8> = text.iter().flat_map(|&byte| [byte; 64]).collect();
    PrefixChain::new(seed, &prompt)
}

/// Applies a steady load for a while.
fn warm(heat: &mut Heat, load: f64, from: u64, span: u64) {
    for step in 1..=span / 20 {
        heat.add(20.0 * load, &OPTIONS, Millis(from + step * 20));
    }
}

fn cuts(levels: &[HeatLevel]) -> Vec<u32> {
    levels.iter().map(|level| level.level.blocks).collect()
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(6),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Without eviction the levels of a prompt are the blocks at which it parts
    /// from an earlier prompt or at which one of the two ends.
    #[test]
    fn levels_are_where_prompts_branch(prompts in vec(vec(0..3u8, 1..12), 1..40)) {
        let mut tree = PrefixTree::new(10_000, OPTIONS);
        for (count, text) in prompts.iter().enumerate() {
            let mut expected = BTreeSet::from([text.len() as u32]);
            for (at, other) in prompts[..count].iter().enumerate() {
                let common = |a: &[u8], b: &[u8]| a.iter().zip(b).take_while(|(x, y)| x == y).count();
                let shared = common(text, other);
                expected.insert(shared as u32);
                for third in &prompts[..at] {
                    let branch = common(third, other);
                    if branch <= shared {
                        expected.insert(branch as u32);
                    }
                }
            }
            expected.remove(&0);
            let chain = chain(text);
            let levels = tree.record(&chain, 1.0, Millis(count as u64));
            prop_assert_eq!(cuts(&levels), expected.into_iter().collect::<Vec<_>>());
            for level in levels {
                let last = level.level.blocks as usize - 1;
                prop_assert_eq!(level.level.hash, chain.blocks[last]);
            }
        }
        let distinct: BTreeSet<&[u8]> =
            prompts.iter().flat_map(|text| (1..=text.len()).map(|end| &text[..end])).collect();
        prop_assert_eq!(tree.blocks(), distinct.len());
    }

    /// The tree keeps to its capacity, and to the prompts used last.
    #[test]
    fn capacity_is_kept(prompts in vec(vec(0..4u8, 1..12), 1..200)) {
        let mut tree = PrefixTree::new(30, OPTIONS);
        for (count, text) in prompts.iter().enumerate() {
            tree.record(&chain(text), 1.0, Millis(count as u64));
            prop_assert!(tree.blocks() <= 30);
            prop_assert!(tree.nodes() <= 30);
        }
        let newest = prompts.last().unwrap();
        let before = tree.blocks();
        tree.record(&chain(newest), 1.0, Millis(10_000));
        prop_assert_eq!(tree.blocks(), before, "the newest prompt was still there");
    }

    /// The load sums up to what was applied, and replicas stay within bounds.
    #[test]
    fn heat_follows_the_load(load in 0.0..10.0f64) {
        let mut heat = Heat::new(Millis(0));
        warm(&mut heat, load, 0, 20_000);
        let measured = heat.load(&OPTIONS, Millis(20_000));
        prop_assert!((measured - load).abs() <= 0.02 * load + 0.01, "{measured} for {load}");
        let replicas = heat.replicas(&OPTIONS, Millis(20_000));
        prop_assert!((1..=8).contains(&replicas));
        prop_assert!(replicas == 8 || load / f64::from(replicas) <= 0.51);
    }
}

#[test]
fn replicas_grow_and_are_withdrawn_with_hysteresis() {
    let mut heat = Heat::new(Millis(0));
    warm(&mut heat, 0.9, 0, 20_000);
    assert_eq!(heat.replicas(&OPTIONS, Millis(20_000)), 2);
    warm(&mut heat, 0.45, 20_000, 20_000);
    assert_eq!(
        heat.replicas(&OPTIONS, Millis(40_000)),
        2,
        "still above half"
    );
    warm(&mut heat, 0.2, 40_000, 20_000);
    assert_eq!(heat.replicas(&OPTIONS, Millis(60_000)), 1);
    warm(&mut heat, 0.45, 60_000, 20_000);
    assert_eq!(
        heat.replicas(&OPTIONS, Millis(80_000)),
        1,
        "below the threshold"
    );
    warm(&mut heat, 5.0, 80_000, 20_000);
    assert_eq!(heat.replicas(&OPTIONS, Millis(100_000)), 8);
    assert_eq!(
        heat.replicas(&OPTIONS, Millis(110_000)),
        1,
        "cools without requests"
    );
}

#[test]
fn common_prefix_is_hotter_than_its_branches() {
    let mut tree = PrefixTree::new(1000, OPTIONS);
    for step in 0..400u64 {
        let text = [1, 1, 1, (step % 4) as u8, 9];
        tree.record(&chain(&text), 18.0, Millis(step * 20));
    }
    let levels = tree.record(&chain(&[1, 1, 1, 0, 9]), 0.0, Millis(8000));
    assert_eq!(cuts(&levels), [3, 5]);
    assert!((0.85..0.95).contains(&levels[0].load), "{levels:?}");
    assert!((0.2..0.25).contains(&levels[1].load), "{levels:?}");
    assert_eq!((levels[0].replicas, levels[1].replicas), (2, 1));
    let hottest = tree.hottest(4, 10, Millis(8000));
    assert_eq!(cuts(&hottest), [5, 5, 5, 5]);
    assert_eq!(cuts(&tree.hottest(1, 1, Millis(8000))), [3]);
}

#[test]
fn new_levels_have_no_replicas_yet() {
    let mut tree = PrefixTree::new(1000, OPTIONS);
    let replicas = |levels: Vec<HeatLevel>| -> Vec<u32> {
        levels.iter().map(|level| level.replicas).collect()
    };
    assert_eq!(
        replicas(tree.record(&chain(&[1, 1, 2]), 1.0, Millis(0))),
        [0]
    );
    assert_eq!(
        replicas(tree.record(&chain(&[1, 1, 3]), 1.0, Millis(1))),
        [1, 0]
    );
    assert_eq!(
        replicas(tree.record(&chain(&[1, 1, 3]), 1.0, Millis(2))),
        [1, 1]
    );
}

#[test]
fn remembers_where_prompts_were_sent() {
    let mut tree = PrefixTree::new(1000, OPTIONS);
    let first = chain(&[1, 1, 2]);
    tree.record(&first, 1.0, Millis(0));
    tree.record_dispatch(&first, &"a".into());
    let second = chain(&[1, 1, 3]);
    let levels = tree.record(&second, 1.0, Millis(1));
    assert_eq!(levels[0].recent, ["a".into()]);
    assert!(levels[1].recent.is_empty());
    for engine in ["b", "c", "b"] {
        tree.record_dispatch(&second, &engine.into());
    }
    let levels = tree.record(&first, 1.0, Millis(2));
    assert_eq!(levels[0].recent, ["b", "c", "a"].map(EngineId::from));
    assert_eq!(levels[1].recent, ["a".into()]);
    for engine in ["d", "e", "f"] {
        tree.record_dispatch(&first, &engine.into());
    }
    let levels = tree.record(&first, 1.0, Millis(3));
    assert_eq!(levels[0].recent, ["f", "e", "d"].map(EngineId::from));
}
