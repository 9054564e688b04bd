//! Limits that engines state, kept by whole fleets in simulated time.

#[allow(dead_code, reason = "each test file needs a part of it")]
mod common;

use common::fleet::{Fleet, Network, WINDOW_MS};

/// Time within which all nodes have to know a limit, in ms.
const CONTACT_MS: u64 = 3_000;

const SMALL: Network = Network {
    delay_ms: 1,
    loss: 0.0,
};

/// Nodes behind hubs, far apart, with losses.
const LARGE: Network = Network {
    delay_ms: 25,
    loss: 0.02,
};

/// Requests that may reach an engine in a window.
fn allowed(limit: f64) -> usize {
    (1.5 * limit * WINDOW_MS as f64 / 1_000.0) as usize + 5
}

/// Checks the bound from `since` on, and returns the share of the limits that was used.
fn check(fleet: &Fleet, limit: f64, since: u64) -> f64 {
    let mut used = 0;
    for engine in fleet.engines.values() {
        let most = engine.most_arrivals(since);
        assert!(most <= allowed(limit), "{most} requests in {WINDOW_MS} ms");
        used += engine.arrivals_between(since, fleet.now);
    }
    let time = (fleet.now - since) as f64 / 1_000.0;
    used as f64 / (limit * time * fleet.engines.len() as f64)
}

/// Plays three engines that state a limit, with three times the demand that they take, and
/// returns the share of the limits that was used.
fn share_used(nodes: usize, network: Network, limit: f64) -> f64 {
    let mut fleet = Fleet::start(nodes, 3, network, 1);
    fleet.run(4_000, 30.0);
    fleet.limit_all(Some(limit));
    let since = fleet.now + CONTACT_MS;
    fleet.run(CONTACT_MS + 40_000, 9.0 * limit);
    let used = check(&fleet, limit, since);
    let (messages, bytes) = fleet.permit_messages;
    println!(
        "{nodes} nodes, {network:?}, limit {limit}: {used:.2} of it used, {:.1} messages of {} bytes for each permit",
        messages as f64 / (used * 3.0 * limit * 40.0),
        bytes / messages.max(1)
    );
    used
}

#[test]
fn six_nodes_keep_to_small_limits_and_use_them() {
    for limit in [1.6, 2.9] {
        let used = share_used(6, SMALL, limit);
        assert!(used > 0.85, "{used}");
    }
}

#[test]
fn nodes_behind_hubs_keep_to_limits_and_use_them() {
    for (nodes, limit) in [(20, 1.6), (20, 20.0), (68, 2.9), (68, 20.0)] {
        let used = share_used(nodes, LARGE, limit);
        assert!(used > 0.8, "{used}");
    }
}

#[test]
fn requests_that_a_limited_engine_cannot_take_go_to_the_others() {
    let mut fleet = Fleet::start(6, 3, SMALL, 2);
    fleet.run(4_000, 60.0);
    let limited = *fleet.engines.keys().next().expect("an engine");
    fleet.engines.get_mut(&limited).expect("an engine").limit = Some(1.6);
    let since = fleet.now + CONTACT_MS;
    fleet.run(CONTACT_MS + 12_000, 60.0);
    let most = fleet.engines[&limited].most_arrivals(since);
    assert!(most <= allowed(1.6), "{most} requests in {WINDOW_MS} ms");
    assert!(fleet.returns.is_empty(), "{:?}", fleet.returns);
}

#[test]
fn limit_is_kept_and_used_again_while_its_issuers_die_and_start() {
    for (nodes, network) in [(6, SMALL), (20, LARGE)] {
        let mut fleet = Fleet::start(nodes, 3, network, 3);
        fleet.run(4_000, 30.0);
        fleet.limit_all(Some(2.0));
        let since = fleet.now + CONTACT_MS;
        fleet.run(CONTACT_MS, 18.0);
        for number in 1..nodes {
            fleet.kill(number);
            fleet.run(1_000, 18.0);
            fleet.start_node(number, nodes);
            fleet.run(800, 18.0);
        }
        let quiet = fleet.now + 4_000;
        fleet.run(16_000, 18.0);
        check(&fleet, 2.0, since);
        let used = check(&fleet, 2.0, quiet);
        println!("{nodes} nodes, after all but one were killed: {used:.2} used");
        assert!(used > 0.8, "{used}");
    }
}

/// Nobody is left then who knows a limit, or which permits were issued.
#[test]
fn limit_is_kept_after_all_nodes_ended_at_once() {
    for (nodes, network, limit) in [(6, SMALL, 2.0), (20, LARGE, 2.0), (68, LARGE, 5.0)] {
        let mut fleet = Fleet::start(nodes, 3, network, 7);
        fleet.refusals = Some(0);
        fleet.run(4_000, 30.0);
        fleet.limit_all(Some(limit));
        fleet.run(CONTACT_MS + 2_000, 9.0 * limit);
        for _ in 0..3 {
            (0..nodes).for_each(|number| fleet.kill(number));
            (0..nodes).for_each(|number| fleet.start_node(number, nodes));
            let since = fleet.now + CONTACT_MS;
            fleet.run(CONTACT_MS + 8_000, 9.0 * limit);
            let used = check(&fleet, limit, since);
            println!("{nodes} nodes, all ended at once: {used:.2} used");
        }
    }
}

/// The nodes that issue permits end one after the other, faster than they are back.
#[test]
fn limit_is_kept_while_issuers_end_in_series() {
    for (nodes, network) in [(6, SMALL), (20, LARGE), (68, LARGE)] {
        let mut fleet = Fleet::start(nodes, 3, network, 8);
        fleet.run(4_000, 30.0);
        fleet.limit_all(Some(2.0));
        let since = fleet.now + CONTACT_MS;
        fleet.run(CONTACT_MS, 18.0);
        for number in 1..nodes {
            fleet.kill(number);
            fleet.run(150, 18.0);
            fleet.start_node(number, nodes);
        }
        fleet.run(6_000, 18.0);
        let used = check(&fleet, 2.0, since);
        println!("{nodes} nodes, ended in series: {used:.2} used");
    }
}

#[test]
fn halves_that_do_not_reach_each_other_share_the_limit() {
    for (nodes, network) in [(6, SMALL), (20, LARGE)] {
        let mut fleet = Fleet::start(nodes, 3, network, 6);
        fleet.run(4_000, 30.0);
        fleet.limit_all(Some(5.0));
        let since = fleet.now + CONTACT_MS;
        fleet.run(CONTACT_MS + 4_000, 45.0);
        fleet.cut_off(nodes / 2);
        fleet.run(10_000, 45.0);
        fleet.cut_off(0);
        fleet.run(4_000, 45.0);
        let used = check(&fleet, 5.0, since);
        println!("{nodes} nodes, halves cut off for 10 s: {used:.2} used");
    }
}

#[test]
fn end_of_a_limit_is_known_soon_though_little_is_sent() {
    let mut fleet = Fleet::start(20, 3, LARGE, 4);
    fleet.run(4_000, 30.0);
    fleet.limit_all(Some(0.0));
    fleet.run(8_000, 30.0);
    let refused = fleet.returns.len();
    assert!(refused > 0);
    fleet.limit_all(None);
    // A limit of 0 lets one request through in 5 s.
    fleet.run(6_500, 30.0);
    let before = fleet.returns.len();
    fleet.run(3_000, 30.0);
    assert_eq!(fleet.returns.len(), before);
}

#[test]
fn refused_callers_are_spread_over_the_time_that_their_requests_need() {
    let mut fleet = Fleet::start(6, 3, SMALL, 5);
    fleet.run(4_000, 30.0);
    fleet.limit_all(Some(2.0));
    fleet.run(CONTACT_MS, 18.0);
    fleet.returns.clear();
    let since = fleet.now;
    fleet.run(1_000, 300.0);
    let mut returns = fleet.returns.clone();
    returns.sort_unstable();
    let most = returns.iter().enumerate().map(|(first, from)| {
        let later = &returns[first..];
        later.partition_point(|at| *at < from + 200)
    });
    let most = most.max().expect("refusals");
    assert!(
        most <= returns.len() / 3,
        "{most} of {returns:?} from {since} on"
    );
}
