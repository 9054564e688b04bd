//! Brittle engines, which whole fleets give no more than they have room for, in simulated
//! time.

#[allow(dead_code, reason = "each test file needs a part of it")]
mod common;

use common::fleet::{Fleet, Network};

/// Time within which all nodes have to know that engines are brittle, in ms.
const CONTACT_MS: u64 = 3_000;

/// Refusals a second that engines bear.
const REFUSALS: usize = 3;

const ENGINES: usize = 3;

const SLOTS: usize = 8;

const SMALL: Network = Network {
    delay_ms: 1,
    loss: 0.0,
};

/// Nodes behind hubs, far apart, with losses.
const LARGE: Network = Network {
    delay_ms: 25,
    loss: 0.02,
};

/// Plays brittle engines that let one request wait, with three times the demand that they
/// take. Returns how often they fell over, and the share of their slots that was used.
fn play(nodes: usize, network: Network, run_ms: u64) -> (usize, f64) {
    let mut fleet = Fleet::start_with_slots(nodes, (ENGINES, SLOTS), network, 1);
    fleet.response_ms = run_ms;
    let capacity = (ENGINES * SLOTS) as f64 * 1_000.0 / run_ms as f64;
    fleet.run(4_000, capacity * 0.3);
    fleet.set_brittle(Some(REFUSALS as f64));
    fleet.run(CONTACT_MS, capacity * 0.5);
    fleet.set_room(SLOTS + 1);
    let since = fleet.now;
    fleet.run(20_000, capacity * 3.0);
    let engines = fleet.engines.values();
    let falls = engines.filter(|engine| engine.most_refusals(since) > REFUSALS);
    let falls = falls.count();
    let engines = fleet.engines.values();
    let served = engines.map(|engine| {
        let refused = engine.refusals.iter().filter(|at| **at >= since);
        engine.arrivals_between(since, fleet.now) - refused.count()
    });
    let used = served.sum::<usize>() as f64 / (capacity * 20.0);
    let refusals: usize = fleet
        .engines
        .values()
        .map(|engine| engine.refusals.len())
        .sum();
    println!(
        "{nodes} nodes, {network:?}, runs of {run_ms} ms: {falls} falls, {refusals} refusals, {used:.2} used"
    );
    (falls, used)
}

#[test]
fn brittle_engines_of_six_nodes_do_not_fall_over_and_are_used() {
    for run_ms in [100, 400] {
        let (falls, used) = play(6, SMALL, run_ms);
        assert!(falls <= 2 + ENGINES / 10, "{falls} falls");
        assert!(used > 0.7, "{used}");
    }
}

#[test]
fn brittle_engines_of_nodes_behind_hubs_do_not_fall_over_and_are_used() {
    for (nodes, run_ms) in [(20, 200), (20, 800), (68, 800)] {
        let (falls, used) = play(nodes, LARGE, run_ms);
        assert!(falls <= 2 + ENGINES / 10, "{falls} falls");
        assert!(used > 0.5, "{used}");
    }
}

#[test]
fn engines_that_are_brittle_no_longer_get_more_requests_than_slots() {
    let mut fleet = Fleet::start_with_slots(20, (ENGINES, SLOTS), LARGE, 2);
    fleet.response_ms = 400;
    let capacity = (ENGINES * SLOTS) as f64 * 1_000.0 / 400.0;
    fleet.run(4_000, capacity * 0.3);
    fleet.set_brittle(Some(REFUSALS as f64));
    fleet.run(CONTACT_MS, capacity * 2.0);
    assert!(!fleet.returns.is_empty());
    fleet.set_brittle(None);
    fleet.run(CONTACT_MS, capacity * 2.0);
    let refused = fleet.returns.len();
    fleet.run(2_000, capacity * 2.0);
    assert_eq!(fleet.returns.len(), refused);
}

/// Plays brittle engines while nodes are killed and start again, half or all of them at a
/// time. Returns how many engines fell over under nodes that ran for long enough.
fn falls_after_kills(nodes: usize, network: Network, killed: usize) -> usize {
    let mut fleet = Fleet::start_with_slots(nodes, (ENGINES, SLOTS), network, 3);
    fleet.refusals = Some(0);
    fleet.response_ms = 400;
    let capacity = (ENGINES * SLOTS) as f64 * 1_000.0 / 400.0;
    fleet.run(4_000, capacity * 0.3);
    fleet.set_brittle(Some(REFUSALS as f64));
    fleet.run(CONTACT_MS, capacity * 0.5);
    fleet.set_room(SLOTS + 1);
    let mut falls = 0;
    for _ in 0..3 {
        (0..killed).for_each(|number| fleet.kill(number));
        fleet.run(300, if killed == nodes { 0.0 } else { capacity * 3.0 });
        (0..killed).for_each(|number| fleet.start_node(number, nodes));
        let since = if killed == nodes {
            fleet.now + CONTACT_MS
        } else {
            fleet.now - 300
        };
        fleet.run(CONTACT_MS + 6_000, capacity * 3.0);
        let fallen = fleet.engines.values();
        let fallen = fallen.filter(|engine| engine.most_refusals(since) > REFUSALS);
        falls += fallen.count();
    }
    println!("{nodes} nodes, {network:?}, {killed} killed: {falls} falls");
    falls
}

/// Nobody is left then who knows that engines are brittle, or what runs there.
#[test]
fn brittle_engines_do_not_fall_over_after_all_nodes_ended_at_once() {
    for (nodes, network) in [(6, SMALL), (20, LARGE), (68, LARGE)] {
        let falls = falls_after_kills(nodes, network, nodes);
        assert!(falls <= 2 + ENGINES / 10, "{falls} falls");
    }
}

#[test]
fn brittle_engines_do_not_fall_over_while_half_of_the_nodes_are_killed() {
    for (nodes, network) in [(6, SMALL), (20, LARGE), (68, LARGE)] {
        let falls = falls_after_kills(nodes, network, nodes / 2);
        assert!(falls <= 2 + ENGINES / 10, "{falls} falls");
    }
}
