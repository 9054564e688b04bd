//! Random histories of a fleet that sends at-most-once calls.
//!
//! `FLAMINGOLOCK_CASES=1000000 cargo test -p flamingolock-core --release --test
//! test_call_fuzz` runs a longer search; `FLAMINGOLOCK_SEED` changes its seed.

mod claims_model;

use std::cell::RefCell;
use std::sync::Mutex;

use claims_model::{AppendFate, Counts, Fleet, NODES, Step, WireFate};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

const CASES: u32 = 10_000;
const SEED: u64 = 6;

/// Event counts of all cases of the run.
static TOTAL: Mutex<Counts> = Mutex::new(Counts(std::collections::BTreeMap::new()));

fn steps() -> BoxedStrategy<Step> {
    let node = || 0..NODES;
    let at = || 0..8_usize;
    prop_oneof![
        6 => (0..3_u8, node()).prop_map(|(kind, owner)| Step::NewKey { kind, owner }),
        20 => (node(), 0..4_usize, prop::bool::weighted(0.1), any::<bool>(), 1..400_u64).prop_map(
            |(node, key, other, lookup, timeout)| {
                let body = u8::from(other);
                Step::Submit { node, key, body, lookup, timeout }
            }
        ),
        14 => (node(), fates()).prop_map(|(node, fate)| Step::Append { node, fate }),
        3 => at().prop_map(|at| Step::DelayedAppend { at }),
        14 => (node(), 1..5_usize).prop_map(|(node, count)| Step::Tail { node, count }),
        8 => (node(), prop::bool::weighted(0.3))
            .prop_map(|(node, refuse)| Step::Check { node, refuse }),
        8 => node().prop_map(|node| Step::Transmit { node }),
        8 => (at(), wires()).prop_map(|(at, fate)| Step::Wire { at, fate }),
        6 => (at(), any::<bool>()).prop_map(|(at, lost)| Step::Reply { at, lost }),
        1 => at().prop_map(|at| Step::StaleFailure { at }),
        4 => (node(), any::<bool>()).prop_map(|(node, lost)| Step::LookUp { node, lost }),
        6 => (at(), prop::bool::weighted(0.2), prop::bool::weighted(0.2))
            .prop_map(|(at, lost, twice)| Step::Forward { at, lost, twice }),
        5 => (at(), prop::bool::weighted(0.4))
            .prop_map(|(at, lost)| Step::ForwardReply { at, lost }),
        4 => (node(), node(), 0..3_u8)
            .prop_map(|(node, other, view)| Step::Suspect { node, other, view }),
        2 => node().prop_map(|node| Step::Crash { node }),
        1 => (node(), -3000..3000_i64).prop_map(|(node, delta)| Step::ClockJump { node, delta }),
        8 => prop_oneof![20 => 1..60_u64, 4 => 60..400_u64, 1 => 900..3000_u64]
            .prop_map(|millis| Step::Advance { millis }),
        2 => Just(Step::Trim),
        2 => Just(Step::Settle),
    ]
    .boxed()
}

fn fates() -> impl Strategy<Value = AppendFate> {
    prop_oneof![
        6 => Just(AppendFate::Taken),
        1 => Just(AppendFate::Refused),
        1 => Just(AppendFate::LostAnswer),
        1 => Just(AppendFate::LostRequest),
        1 => Just(AppendFate::Late),
    ]
}

fn wires() -> impl Strategy<Value = WireFate> {
    prop_oneof![
        4 => Just(WireFate::Arrives),
        1 => Just(WireFate::Dropped),
        2 => Just(WireFate::Delayed),
    ]
}

thread_local! {
    /// Built once per thread, since building it takes longer than executing a step.
    static STEPS: RefCell<Option<BoxedStrategy<Step>>> = const { RefCell::new(None) };
}

/// Reference without state: any order of steps is valid, and the fleet contains the
/// oracle.
struct AnyOrder;

impl ReferenceStateMachine for AnyOrder {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        STEPS.with_borrow_mut(|built| built.get_or_insert_with(steps).clone())
    }

    fn apply((): (), _: &Step) {}
}

struct FleetTest;

impl StateMachineTest for FleetTest {
    type SystemUnderTest = Fleet;
    type Reference = AnyOrder;

    fn init_test((): &()) -> Fleet {
        Fleet::new()
    }

    fn apply(mut fleet: Fleet, (): &(), step: Step) -> Fleet {
        fleet.apply(step);
        fleet
    }

    fn teardown(mut fleet: Fleet, (): ()) {
        fleet.finish();
        let mut total = TOTAL.lock().unwrap();
        for (what, count) in fleet.counts.0 {
            *total.0.entry(what).or_default() += count;
        }
    }
}

fn number<T: std::str::FromStr>(name: &str, default: T) -> T {
    let text = std::env::var(name).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}

#[test]
fn calls_run_at_most_once_and_callers_are_told_the_truth() {
    let config = Config {
        cases: number("FLAMINGOLOCK_CASES", CASES),
        rng_seed: RngSeed::Fixed(number("FLAMINGOLOCK_SEED", SEED)),
        failure_persistence: None,
        max_shrink_iters: 20_000,
        ..Config::default()
    };
    let mut runner = TestRunner::new(config.clone());
    let histories = AnyOrder::sequential_strategy(20..200);
    let outcome = runner.run(&histories, |((), steps, seen)| {
        FleetTest::test_sequential(config.clone(), (), steps, seen);
        Ok(())
    });
    if let Err(err) = outcome {
        panic!("{err}");
    }
    let total = TOTAL.lock().unwrap();
    println!("{:#?}", total.0);
    // The search is only meaningful if it reaches these events.
    for what in [
        "answered",
        "conflict",
        "crashed",
        "executed",
        "looked up: true",
        "unconfirmed",
        "not run: Busy",
        "not run: ClaimVoid",
        "not run: Deadline",
        "not run: LogDown",
        "not run: OwnerClosed",
        "not run: Unsent",
        "trimmed",
        "unknown: AnswerDropped",
        "unknown: AnswerLost",
        "unknown: ClaimantLost",
        "unknown: Early",
        "unknown: Expired",
        "unknown: NotClaimed",
        "unknown: OwnerLost",
        "unknown: OwnerSilent",
        "unknown: Pending",
        "unknown: Unsettled",
        "verdict: Closed",
        "verdict: Expired",
        "verdict: Held",
        "verdict: Unsettled",
        "verdict: Won",
    ] {
        assert!(total.0.contains_key(what), "the search never saw {what}");
    }
}
