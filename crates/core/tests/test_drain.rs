//! Phases and time limits of a graceful shutdown.

use flamingolock_core::drain::{Drain, DrainLimits, Input, Output, Phase};
use flamingolock_core::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const LIMITS: DrainLimits = DrainLimits {
    serve_for: Millis(6000),
    finish_within: Millis(60_000),
};

#[test]
fn a_shutdown_goes_through_all_phases() {
    let mut drain = Drain::new(LIMITS);
    drain.step(Input::InflightChanged(2), Millis(0));
    assert_eq!(drain.step(Input::Tick, Millis(500)), vec![]);
    assert_eq!(
        drain.step(Input::Signal, Millis(1000)),
        vec![Output::Unlist]
    );
    assert!(drain.accepts());
    assert_eq!(drain.step(Input::Signal, Millis(3000)), vec![]);
    assert_eq!(drain.step(Input::InflightChanged(0), Millis(4000)), vec![]);
    assert_eq!(drain.step(Input::InflightChanged(3), Millis(5000)), vec![]);
    assert_eq!(drain.step(Input::Tick, Millis(6999)), vec![]);
    assert_eq!(
        drain.step(Input::Tick, Millis(7000)),
        vec![Output::RefuseNew]
    );
    assert!(!drain.accepts());
    assert_eq!(drain.step(Input::InflightChanged(1), Millis(9000)), vec![]);
    assert_eq!(
        drain.step(Input::InflightChanged(0), Millis(9500)),
        vec![Output::Exit]
    );
    assert_eq!(drain.phase(), Phase::Done);
    assert_eq!(drain.step(Input::Tick, Millis(99_000)), vec![]);
}

#[test]
fn requests_in_flight_are_ended_at_the_limit() {
    let mut drain = Drain::new(LIMITS);
    drain.step(Input::InflightChanged(2), Millis(0));
    drain.step(Input::Signal, Millis(0));
    assert_eq!(
        drain.step(Input::Tick, Millis(6000)),
        vec![Output::RefuseNew]
    );
    assert_eq!(drain.step(Input::Tick, Millis(65_999)), vec![]);
    let end = vec![Output::EndInflight(2), Output::Exit];
    assert_eq!(drain.step(Input::Tick, Millis(66_000)), end);
}

#[test]
fn an_idle_node_serves_late_callers_and_then_exits_immediately() {
    let mut drain = Drain::new(LIMITS);
    drain.step(Input::Signal, Millis(0));
    assert_eq!(drain.step(Input::Tick, Millis(5999)), vec![]);
    let end = vec![Output::RefuseNew, Output::Exit];
    assert_eq!(drain.step(Input::Tick, Millis(6000)), end);
}

fn input() -> impl Strategy<Value = (Input, u64)> {
    let input = prop_oneof![
        1 => Just(Input::Signal),
        4 => Just(Input::Tick),
        6 => (0usize..4).prop_map(Input::InflightChanged),
    ];
    (input, 0u64..20_000)
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(31),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn requests_are_ended_only_after_the_limit(inputs in prop::collection::vec(input(), 1..60)) {
        let mut drain = Drain::new(LIMITS);
        let (mut now, mut inflight, mut signalled) = (Millis(0), 0, None);
        let mut refused = None;
        let mut seen = Vec::new();
        for (input, wait) in inputs {
            now = now + Millis(wait);
            if let Input::InflightChanged(count) = input {
                inflight = count;
            }
            if input == Input::Signal && signalled.is_none() {
                signalled = Some(now);
            }
            for output in drain.step(input, now) {
                match output {
                    Output::Unlist => prop_assert_eq!(signalled, Some(now)),
                    Output::RefuseNew => {
                        prop_assert!(now.since(signalled.unwrap()) >= LIMITS.serve_for);
                        refused = Some(now);
                    }
                    Output::EndInflight(count) => {
                        prop_assert_eq!(count, inflight);
                        prop_assert!(now.since(refused.unwrap()) >= LIMITS.finish_within);
                    }
                    Output::Exit => {
                        let ended = matches!(seen.last(), Some(Output::EndInflight(_)));
                        prop_assert!(inflight == 0 || ended);
                    }
                }
                seen.push(output);
            }
            prop_assert_eq!(drain.accepts(), refused.is_none());
        }
        let exits = seen.iter().filter(|output| **output == Output::Exit).count();
        prop_assert!(exits <= 1);
    }
}
