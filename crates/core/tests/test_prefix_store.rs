//! What is exported to the store of kept KV cache and imported from it.

use std::collections::BTreeSet;

use flamingolock_core::levels::Level;
use flamingolock_core::prefix_store::{
    HotPrefix, PrefixStoreCosts, PrefixStoreOptions, StoreChange, StoredPrefixKey, plan_imports,
    plan_store_changes,
};
use flamingolock_core::prelude::*;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// A block takes 1 ms to compute and 0.1 ms to import after 10 ms.
const COSTS: PrefixStoreCosts = PrefixStoreCosts {
    prefill_rate: 16_000.0,
    price: 0.0,
    import_ms: 10.0,
    block_ms: 0.1,
};

const OPTIONS: PrefixStoreOptions = PrefixStoreOptions {
    min_blocks: 20,
    min_load: 0.1,
    store_blocks: 300,
};

fn key(workspace: &str, hash: u64, blocks: u32) -> StoredPrefixKey {
    StoredPrefixKey {
        seed: PrefixSeed::new(&workspace.into(), &"m".into(), &"w".into(), None),
        level: Level {
            blocks,
            hash: BlockHash(hash),
        },
    }
}

fn hot(hash: u64, blocks: u32, load: f64) -> HotPrefix {
    HotPrefix {
        key: key("a", hash, blocks),
        load,
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(8),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn key_survives_its_text(name in "[a-z]{1,8}", hash: u64, blocks: u32) {
        let key = key(&name, hash, blocks);
        prop_assert_eq!(StoredPrefixKey::from_text(&key.to_text()), Some(key));
        prop_assert_eq!(StoredPrefixKey::from_text(&format!("{}x", key.to_text())), None);
    }

    /// The store stays within its size, and another round changes nothing.
    #[test]
    fn store_settles(prefixes in vec((0..30u64, 1..120u32, 0.0..2.0f64), 0..20)) {
        let hot: Vec<_> = prefixes.iter().map(|&(h, b, l)| hot(h, b, l)).collect();
        let mut stored: BTreeSet<StoredPrefixKey> = (0..5).map(|n| key("b", n, 60)).collect();
        for change in plan_store_changes(&hot, &stored.clone(), &COSTS, &OPTIONS) {
            match change {
                StoreChange::Export(key) => prop_assert!(stored.insert(key)),
                StoreChange::Delete(key) => prop_assert!(stored.remove(&key)),
            }
        }
        let blocks: u32 = stored.iter().map(|key| key.level.blocks).sum();
        prop_assert!(u64::from(blocks) <= OPTIONS.store_blocks);
        prop_assert_eq!(plan_store_changes(&hot, &stored, &COSTS, &OPTIONS), vec![]);
    }

    /// No import takes longer than computing what is missing, and all of them
    /// fit into the budget.
    #[test]
    fn imports_pay(prefixes in vec((1..200u32, 0.0..2.0f64), 0..20), held in 0..100u32, budget in 0.0..200.0f64) {
        let kept: Vec<_> = (0..).zip(&prefixes).map(|(h, &(b, l))| hot(h, b, l)).collect();
        let chosen = plan_imports(&kept, |key| held.min(key.level.blocks), &COSTS, budget);
        let mut total = 0.0;
        for key in chosen {
            let time = COSTS.import(key.level.blocks);
            prop_assert!(time < COSTS.compute(key.level.blocks.saturating_sub(held)));
            total += time;
        }
        prop_assert!(total <= budget + 1e-9);
    }
}

#[test]
fn long_hot_prefixes_are_exported_and_cold_ones_make_room() {
    let cold = key("a", 9, 250);
    let stored = BTreeSet::from([cold]);
    let hot = [
        hot(1, 100, 0.5),
        hot(2, 15, 5.0),
        hot(3, 100, 0.05),
        hot(4, 100, 1.0),
    ];
    let changes = plan_store_changes(&hot, &stored, &COSTS, &OPTIONS);
    let export = |at: usize| StoreChange::Export(hot[at].key);
    assert_eq!(changes, [export(3), export(0), StoreChange::Delete(cold)]);
}

#[test]
fn stored_prefix_stays_when_a_new_one_is_worth_as_much() {
    let hot = [hot(1, 200, 0.5), hot(9, 200, 0.5)];
    for prefix in hot {
        let stored = BTreeSet::from([prefix.key]);
        assert_eq!(plan_store_changes(&hot, &stored, &COSTS, &OPTIONS), []);
    }
}

#[test]
fn cold_start_imports_the_most_valuable_first() {
    let kept = [
        hot(1, 50, 1.0),
        hot(2, 200, 1.0),
        hot(3, 10, 9.0),
        hot(4, 200, 0.1),
    ];
    let all = plan_imports(&kept, |_| 0, &COSTS, 1000.0);
    assert_eq!(all, [kept[1].key, kept[0].key, kept[3].key]);
    let warm = plan_imports(&kept, |key| key.level.blocks, &COSTS, 1000.0);
    assert!(warm.is_empty());
    let short = plan_imports(&kept, |_| 0, &COSTS, 30.0);
    assert_eq!(short, [kept[1].key]);
}
