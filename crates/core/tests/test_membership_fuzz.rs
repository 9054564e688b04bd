//! Membership under random faults, compared with an oracle that knows which processes
//! run and which links work.

mod fleet;

use std::collections::BTreeSet;

use flamingolock_core::prelude::*;
use fleet::Fleet;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

const NODES: usize = 7;

/// Time within which all views have to be correct again after all faults have ended.
const SETTLE: Millis = Millis(40_000);

#[derive(Clone, Debug)]
enum Fault {
    Kill(usize),
    Start(usize),
    Pause(usize),
    Resume(usize),
    Leave(usize),
    Cut(usize, usize),
    Silence(usize, usize),
    List(bool),
    Run(u64),
    /// Ends all faults except stopped processes.
    Mend,
}

/// The true state: which processes run, and which nodes had a fault that could make a
/// connection to them fail.
#[derive(Clone, Debug)]
struct Truth {
    up: [bool; NODES],
    paused: [bool; NODES],
    left: [bool; NODES],
    touched: BTreeSet<usize>,
}

impl ReferenceStateMachine for Truth {
    type State = Truth;
    type Transition = Fault;

    fn init_state() -> BoxedStrategy<Truth> {
        Just(Truth {
            up: [true; NODES],
            paused: [false; NODES],
            left: [false; NODES],
            touched: BTreeSet::new(),
        })
        .boxed()
    }

    fn transitions(_: &Truth) -> BoxedStrategy<Fault> {
        let node = 0..NODES;
        prop_oneof![
            2 => node.clone().prop_map(Fault::Kill),
            3 => node.clone().prop_map(Fault::Start),
            2 => node.clone().prop_map(Fault::Pause),
            2 => node.clone().prop_map(Fault::Resume),
            1 => node.clone().prop_map(Fault::Leave),
            2 => (node.clone(), node.clone()).prop_map(|(a, b)| Fault::Cut(a, b)),
            2 => (node.clone(), node).prop_map(|(a, b)| Fault::Silence(a, b)),
            1 => any::<bool>().prop_map(Fault::List),
            6 => (1u64..120).prop_map(Fault::Run),
            2 => Just(Fault::Mend),
        ]
        .boxed()
    }

    fn preconditions(truth: &Truth, fault: &Fault) -> bool {
        match fault {
            // One node stays up. If all were down, a node that starts during an outage of
            // the instance list could not learn the list from a peer.
            Fault::Kill(node) => truth.up[*node] && *node != 0,
            Fault::Start(node) => !truth.up[*node],
            Fault::Pause(node) => truth.up[*node] && !truth.paused[*node],
            Fault::Resume(node) => truth.paused[*node],
            Fault::Leave(node) => truth.up[*node] && !truth.left[*node] && *node != 0,
            Fault::Cut(a, b) | Fault::Silence(a, b) => a != b,
            Fault::List(_) | Fault::Run(_) | Fault::Mend => true,
        }
    }

    fn apply(mut truth: Truth, fault: &Fault) -> Truth {
        match *fault {
            Fault::Kill(node) => {
                truth.up[node] = false;
                truth.paused[node] = false;
                truth.touched.insert(node);
            }
            Fault::Start(node) => {
                truth.up[node] = true;
                truth.left[node] = false;
            }
            Fault::Pause(node) => {
                truth.paused[node] = true;
                truth.touched.insert(node);
            }
            Fault::Resume(node) => truth.paused[node] = false,
            Fault::Leave(node) => truth.left[node] = true,
            Fault::Cut(a, b) => truth.touched.extend([a, b]),
            Fault::Silence(..) | Fault::List(_) | Fault::Run(_) => {}
            Fault::Mend => {
                truth.paused = [false; NODES];
                truth.touched = (0..NODES).filter(|node| !truth.up[*node]).collect();
            }
        }
        truth
    }
}

struct Machines;

impl StateMachineTest for Machines {
    type SystemUnderTest = Fleet;
    type Reference = Truth;

    fn init_test(_: &Truth) -> Fleet {
        let mut fleet = Fleet::new(NODES);
        fleet.run(Millis(5000));
        fleet
    }

    fn apply(mut fleet: Fleet, _: &Truth, fault: Fault) -> Fleet {
        match fault {
            Fault::Kill(node) => fleet.kill(node),
            Fault::Start(node) => fleet.start(node),
            Fault::Pause(node) => fleet.nodes[node].paused = true,
            Fault::Resume(node) => fleet.nodes[node].paused = false,
            Fault::Leave(node) => fleet.leave(node),
            Fault::Cut(a, b) => fleet.cut(a, b),
            Fault::Silence(a, b) => fleet.silence(a, b),
            Fault::List(down) => fleet.list_down = down,
            Fault::Run(steps) => fleet.run(Millis(steps * 100)),
            Fault::Mend => settle(&mut fleet),
        }
        fleet.step();
        fleet.check_incarnations();
        fleet
    }

    fn check_invariants(fleet: &Fleet, truth: &Truth) {
        for node in (0..NODES).filter(|node| !truth.touched.contains(node)) {
            let nodes_suspecting = fleet.nodes_suspecting(node);
            assert!(
                nodes_suspecting.is_empty(),
                "{nodes_suspecting:?} suspect {node}, which never failed"
            );
        }
    }

    fn teardown(mut fleet: Fleet, _: Truth) {
        settle(&mut fleet);
    }
}

fn settle(fleet: &mut Fleet) {
    fleet.cuts.clear();
    fleet.list_down = false;
    for node in &mut fleet.nodes {
        node.paused = false;
    }
    fleet.run(SETTLE);
    assert_eq!(fleet.wrong_view(), None);
}

prop_state_machine! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn views_agree_with_the_truth(sequential 1..40 => Machines);
}
