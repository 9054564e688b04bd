//! Workspace limits, the retry budget and the reserve of permits.

use flamingolock_core::limits::{Admission, LimitShare, Limits};
use flamingolock_core::manifest::Workspace;
use flamingolock_core::prelude::*;
use flamingolock_core::reserve::Reserve;
use flamingolock_core::retry_budget::RetryBudget;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn config(seed: u64) -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn workspace(request_rate: Option<f64>, max_inflight: Option<u32>) -> Workspace {
    Workspace {
        weight: 1.0,
        key_hashes: vec![],
        request_rate,
        max_inflight,
    }
}

proptest! {
    #![proptest_config(config(5))]

    /// The shares of all entries add up to the whole, but for the entries that
    /// would have got nothing.
    #[test]
    fn shares_add_up(entries in 1..20u32, count in 0..200u32) {
        let shares = (0..entries).map(|position| LimitShare { entries, position });
        let sum: u32 = shares.clone().map(|share| share.of_count(count)).sum();
        prop_assert_eq!(sum, count.max(entries));
        let rate: f64 = shares.map(|share| share.of_rate(f64::from(count))).sum();
        prop_assert!((rate - f64::from(count)).abs() < 1e-6);
    }

    /// Over any time no more requests pass than one burst and the rate allow, and
    /// a caller that waits as told passes.
    #[test]
    fn rate_is_kept(rate in 1..200u32, entries in 1..9u32, gaps in vec(0..100u64, 1..300)) {
        let share = LimitShare { entries, position: 0 };
        let workspace = workspace(Some(f64::from(rate)), None);
        let mut limits = Limits::default();
        let mut now = Millis(5000);
        let mut passed = 0.0;
        let own = f64::from(rate) / f64::from(entries);
        for gap in gaps {
            now = now + Millis(gap);
            match limits.admit(&"w".into(), &workspace, share, now) {
                Admission::Admitted => passed += 1.0,
                Admission::RateExceeded { retry_after } => {
                    let mut later = limits.clone();
                    let admission = later.admit(&"w".into(), &workspace, share, now + retry_after);
                    prop_assert_eq!(admission, Admission::Admitted);
                }
                other @ Admission::InflightExceeded { .. } => prop_assert!(false, "{other:?}"),
            }
            let span = now.since(Millis(5000)).as_secs_f64();
            prop_assert!(passed <= own.max(1.0) + own * span + 1e-6);
        }
    }
}

#[test]
fn requests_in_flight_are_bounded_and_workspaces_are_apart() {
    let share = LimitShare {
        entries: 3,
        position: 0,
    };
    let settings = workspace(None, Some(7));
    let mut limits = Limits::default();
    let admit = |limits: &mut Limits, name: &str| {
        limits.admit(&name.into(), &settings, share, Millis(0)) == Admission::Admitted
    };
    assert_eq!((0..9).filter(|_| admit(&mut limits, "a")).count(), 3);
    assert!(admit(&mut limits, "b"));
    limits.finish(&"a".into());
    assert!(admit(&mut limits, "a"));
    assert!(!admit(&mut limits, "a"));
    assert_eq!(limits.inflight(&"a".into()), 3);
    limits.finish(&"b".into());
    limits.forget_idle(Millis(10), Millis(20));
    assert_eq!(limits.inflight(&"a".into()), 3);
    assert_eq!(limits.inflight(&"b".into()), 0);
}

#[test]
fn retries_are_a_tenth_of_requests() {
    let mut budget = RetryBudget::default();
    while budget.try_withdraw() {}
    let mut retries = 0;
    for _ in 0..1000 {
        budget.deposit();
        retries += u32::from(budget.try_withdraw());
    }
    assert_eq!(retries, 100);
    (0..10_000).for_each(|_| budget.deposit());
    let saved = (0..1000).filter(|_| budget.try_withdraw()).count();
    assert_eq!(
        saved, 20,
        "a quiet hour does not pay for a storm of retries"
    );
}

#[test]
fn reserves_of_all_entries_fit_into_the_slots() {
    for (slots, entries, size) in [(64, 9, 7), (4, 9, 1), (0, 9, 1), (16, 0, 16)] {
        assert_eq!(Reserve::permits_per_node(slots, entries), size);
    }
    let mut reserve = Reserve::new(1);
    let engine: EngineId = "e".into();
    let take = |reserve: &mut Reserve, life, request: &str| {
        reserve.take(&engine, Incarnation(life), 2, &request.into())
    };
    let first = take(&mut reserve, 1, "r1").unwrap();
    let second = take(&mut reserve, 1, "r2").unwrap();
    assert!(first.permit != second.permit);
    assert_eq!(take(&mut reserve, 1, "r3"), None);
    assert_eq!(reserve.live(&engine), [first.clone(), second.clone()]);
    assert!(reserve.release(&engine, first.permit));
    assert!(!reserve.release(&engine, first.permit));
    assert!(take(&mut reserve, 1, "r3").is_some());
    let later = take(&mut reserve, 2, "r4").unwrap();
    assert_eq!(reserve.live(&engine), [later]);
    assert_eq!(take(&mut reserve, 1, "r5"), None);
}
