//! Shortlist and choice of an engine.

use std::collections::BTreeSet;

use flamingolock_core::choice::{Basis, choose};
use flamingolock_core::digest::EngineDigest;
use flamingolock_core::fleet::{Fleet, FleetEngine, mix};
use flamingolock_core::home_message::ProbeAnswer;
use flamingolock_core::levels::Level;
use flamingolock_core::prefix_tree::HeatLevel;
use flamingolock_core::prelude::*;
use flamingolock_core::rendezvous;
use flamingolock_core::shortlist::{Candidate, Source, shortlist};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const NOW: Millis = Millis(10_000);

fn engine(number: usize, wait_ms: u32) -> FleetEngine {
    let engine: EngineId = format!("e{number}").into();
    FleetEngine {
        engine: engine.clone(),
        hop_ms: 1.0,
        digest: Some(EngineDigest {
            engine,
            incarnation: Incarnation(1),
            serving: true,
            wait_ms,
            prefill_rate: 16_000.0,
            free_slots: 4,
            made_at: NOW,
        }),
    }
}

fn fleet(count: usize) -> Fleet {
    Fleet::new((0..count).map(|number| engine(number, 0)))
}

/// Tokens of the prompts that have the levels of [`levels`].
const TOKENS: u32 = 3 * 800 + 160;

/// Levels of 50, 100 and more blocks, each with so many replicas.
fn levels(hashes: &[u64], replicas: u32) -> Vec<HeatLevel> {
    (1..)
        .zip(hashes)
        .map(|(step, &hash)| HeatLevel {
            level: Level {
                blocks: step * 50,
                hash: BlockHash(hash),
            },
            load: 0.0,
            replicas,
            recent: Vec::new(),
        })
        .collect()
}

fn candidate(name: &str, wait_ms: f64, missing_tokens: u32) -> Candidate {
    Candidate {
        engine: name.into(),
        source: Source::Random,
        wait_ms,
        missing_tokens,
        prefill_ms: f64::from(missing_tokens) / 16.0,
        hop_ms: 1.0,
    }
}

fn answer(wait_ms: u32, missing_tokens: u32) -> ProbeAnswer {
    ProbeAnswer {
        available: true,
        wait_ms,
        missing_tokens,
        expected_ms: wait_ms + missing_tokens / 16,
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// The best engines by rendezvous are those that a full sort finds.
    #[test]
    fn top_agrees_with_sorting(count in 0..60usize, key: u64, wanted in 1..8usize) {
        let fleet = fleet(count);
        let weight = |at: usize| mix(key, rendezvous::key(&format!("e{at}")));
        let mut sorted: Vec<usize> = (0..count).collect();
        sorted.sort_by_key(|&at| std::cmp::Reverse(weight(at)));
        sorted.truncate(wanted);
        prop_assert_eq!(fleet.top(key, wanted), sorted);
    }

    /// An engine that leaves moves only the prefixes that it had.
    #[test]
    fn losing_an_engine_moves_only_its_prefixes(key: u64, lost in 0..20usize) {
        let before = fleet(20);
        let after = Fleet::new((0..20).filter(|&n| n != lost).map(|n| engine(n, 0)));
        let name = |fleet: &Fleet| fleet.get(fleet.top(key, 1)[0]).unwrap().engine.clone();
        let owner = name(&before);
        if owner.as_str() != format!("e{lost}") {
            prop_assert_eq!(name(&after), owner);
        }
    }
}

#[test]
fn names_spread_evenly() {
    let fleet = fleet(10);
    let mut counts = [0; 10];
    for key in 0..10_000 {
        counts[fleet.top(key, 1)[0]] += 1;
    }
    assert!(
        counts.iter().all(|count| (850..1150).contains(count)),
        "{counts:?}"
    );
}

#[test]
fn shortlist_has_the_replicas_of_the_longest_level_first() {
    let fleet = fleet(20);
    let list = shortlist(&fleet, TOKENS, &levels(&[11, 22, 33], 2), 0.0, 4, 1, NOW);
    let sources: Vec<Source> = list.iter().map(|c| c.source).collect();
    assert_eq!(
        sources,
        [150, 150, 100, 100].map(Source::Level),
        "engines idle alike are ranked by the prefix that they hold"
    );
    let deepest: BTreeSet<_> = fleet.top(33, 2).into_iter().collect();
    let listed = (0..20).filter(|&at| {
        let name = &fleet.get(at).unwrap().engine;
        list[..2].iter().any(|c| c.engine == *name)
    });
    assert_eq!(listed.collect::<BTreeSet<_>>(), deepest);
}

#[test]
fn shortlist_avoids_long_waits_and_closed_engines() {
    let owner = fleet(20).top(33, 1)[0];
    let slow = Fleet::new((0..20).map(|n| engine(n, if n == owner { 5000 } else { 0 })));
    let list = shortlist(&slow, TOKENS, &levels(&[33], 1), 0.0, 1, 1, NOW);
    assert_eq!(list[0].source, Source::Random);
    let closed = Fleet::new((0..20).map(|n| {
        let mut engine = engine(n, 0);
        engine.digest.as_mut().unwrap().serving = n != owner;
        engine
    }));
    assert_eq!(closed.len(), 19);
    let list = shortlist(&closed, TOKENS, &levels(&[33], 1), 0.0, 4, 1, NOW);
    assert!(
        list.iter()
            .all(|c| c.engine.as_str() != format!("e{owner}"))
    );
}

#[test]
fn shortlist_works_without_digests_and_without_levels() {
    let unknown = (0..5).map(|n| FleetEngine {
        digest: None,
        ..engine(n, 0)
    });
    let list = shortlist(&Fleet::new(unknown), TOKENS, &[], 0.0, 4, 3, NOW);
    assert!(!list.is_empty());
    let none = shortlist(&Fleet::default(), TOKENS, &levels(&[1], 1), 0.0, 4, 3, NOW);
    assert!(none.is_empty());
}

#[test]
fn shortlist_prefers_engines_that_had_the_prefix_lately() {
    let mut level = levels(&[33], 1);
    level[0].recent = vec!["e4".into(), "gone".into()];
    let list = shortlist(&fleet(20), TOKENS, &level, 0.0, 2, 1, NOW);
    let recent = list.iter().find(|c| c.engine.as_str() == "e4").unwrap();
    assert_eq!(recent.source, Source::Recent(50));
    assert_eq!(recent.missing_tokens, TOKENS - 800);
}

#[test]
fn levels_that_no_engine_can_hold_are_left_out() {
    let list = shortlist(&fleet(20), TOKENS, &levels(&[33], 0), 0.0, 4, 1, NOW);
    assert!(list.iter().all(|c| c.source == Source::Random), "{list:?}");
}

#[test]
fn equal_engines_are_probed_by_turns() {
    let level = levels(&[33], 8);
    let probed: BTreeSet<EngineId> = (0..50)
        .flat_map(|seed| shortlist(&fleet(20), TOKENS, &level, 0.0, 2, seed, NOW))
        .map(|candidate| candidate.engine)
        .collect();
    assert_eq!(probed.len(), 8, "{probed:?}");
}

#[test]
fn chooses_the_earliest_first_token() {
    let list = [candidate("warm", 0.0, 0), candidate("idle", 0.0, 1600)];
    let answers = |warm_wait| {
        move |engine: &EngineId| {
            Some(if engine.as_str() == "warm" {
                answer(warm_wait, 0)
            } else {
                answer(0, 1600)
            })
        }
    };
    let engine = |wait, price| choose(&list, answers(wait), price).unwrap().engine;
    assert_eq!(engine(99, 0.0).as_str(), "warm");
    assert_eq!(engine(101, 0.0).as_str(), "idle");
    assert_eq!(engine(199, 1.0).as_str(), "warm");
    assert_eq!(engine(201, 1.0).as_str(), "idle");
}

#[test]
fn unanswered_probe_counts_by_digest_with_a_penalty() {
    let list = [candidate("silent", 0.0, 0), candidate("known", 0.0, 0)];
    let known =
        |wait| move |engine: &EngineId| (engine.as_str() == "known").then(|| answer(wait, 0));
    let choice = choose(&list, known(20), 0.0).unwrap();
    assert_eq!(
        (choice.engine.as_str(), choice.basis),
        ("known", Basis::Probe)
    );
    let choice = choose(&list, known(30), 0.0).unwrap();
    assert_eq!(
        (choice.engine.as_str(), choice.basis),
        ("silent", Basis::Digest)
    );
    assert_eq!(choice.candidates.len(), 2);
}

#[test]
fn never_chooses_an_unavailable_engine() {
    let list = [candidate("gone", 0.0, 0), candidate("slow", 9000.0, 9000)];
    let gone = |engine: &EngineId| {
        (engine.as_str() == "gone").then_some(ProbeAnswer {
            available: false,
            ..answer(0, 0)
        })
    };
    assert_eq!(choose(&list, gone, 0.0).unwrap().engine.as_str(), "slow");
    assert!(choose(&list[..1], gone, 0.0).is_none());
}

#[test]
fn choice_is_written_as_one_object() {
    let choice = choose(&[candidate("a", 1.0, 16)], |_| None, 0.5).unwrap();
    let text = serde_json::to_string(&choice).unwrap();
    let back = serde_json::from_str(&text).unwrap();
    assert_eq!(choice, back, "{text}");
}
