//! The budget for retries, kept by whole fleets in simulated time.

#[allow(dead_code, reason = "each test file needs a part of it")]
mod common;

use common::fleet::{Fleet, Network};
use common::settings;

/// Number of nodes, requests a second at all of them together, and their network.
const FLEETS: [(usize, f64, Network); 3] = [(6, 30.0, NEAR), (20, 80.0, FAR), (68, 170.0, FAR)];

const NEAR: Network = Network {
    delay_ms: 1,
    loss: 0.0,
};

/// Nodes behind hubs, far apart, with losses.
const FAR: Network = Network {
    delay_ms: 25,
    loss: 0.02,
};

/// Time from the start of a node to its first read of the registry, in ms.
const LISTED_MS: u64 = 200;

/// Interval at which nodes read the registry, in ms.
const REGISTRY_MS: u64 = 20_000;

fn window_ms() -> u64 {
    settings().retry_window.as_millis() as u64
}

fn count(times: &[u64], from: u64, to: u64) -> usize {
    times.partition_point(|at| *at < to) - times.partition_point(|at| *at < from)
}

/// Retries that are allowed in the window from `from` on: those of its requests, of the window
/// before or of the one half a window before, whichever has most, and the slack.
fn allowed(fleet: &Fleet, from: u64) -> f64 {
    let window = window_ms();
    let starts = [
        from,
        from.saturating_sub(window / 2),
        from.saturating_sub(window),
    ];
    let requests = starts.map(|start| count(&fleet.requests, start, start + window));
    let most = requests.into_iter().max().unwrap_or(0);
    settings().retry_ratio * most as f64 + settings().retry_slack
}

/// The budget in the windows from some time on.
struct Usage {
    /// Largest share of the budget that was used.
    most: f64,
    /// Retries in that window.
    retries: usize,
    /// Retries that are allowed in it.
    allowed: f64,
}

impl std::fmt::Display for Usage {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self {
            most,
            retries,
            allowed,
        } = self;
        write!(formatter, "{most:.2} ({retries} of {allowed:.0})")
    }
}

fn usage(fleet: &Fleet, since: u64) -> Usage {
    let starts = fleet.retries.iter().copied().filter(|at| *at >= since);
    let windows = starts.map(|from| {
        let retries = count(&fleet.retries, from, from + window_ms());
        let allowed = allowed(fleet, from);
        let most = retries as f64 / allowed;
        Usage {
            most,
            retries,
            allowed,
        }
    });
    let most = windows.max_by(|one, other| one.most.total_cmp(&other.most));
    most.expect("retries")
}

/// Checks each window from `since` on. Returns the largest share of the budget that was used.
fn check(fleet: &Fleet, since: u64) -> f64 {
    let usage = usage(fleet, since);
    assert!(usage.most <= 1.0, "{usage}");
    usage.most
}

/// Starts a fleet all of whose engines fail, after it has counted for a while.
fn failing_fleet(nodes: usize, per_second: f64, network: Network, seed: u64) -> Fleet {
    let mut fleet = Fleet::start(nodes, 4, network, seed);
    fleet.is_even = true;
    fleet.max_attempts = 3;
    fleet.refusals = Some(0);
    fleet.run(window_ms() + 1_000, per_second);
    fleet.failing = 1.0;
    fleet
}

/// Kills nodes, and starts them after `dark_ms`; they read the registry a little later.
fn restart(fleet: &mut Fleet, numbers: &[usize], nodes: usize, dark_ms: u64, per_second: f64) {
    for number in numbers {
        fleet.kill(*number);
    }
    fleet.run(dark_ms, per_second);
    for number in numbers {
        fleet.start_unlisted(*number);
    }
    fleet.run(LISTED_MS, per_second);
    for number in numbers {
        fleet.list_nodes(*number, nodes);
    }
}

/// Plays fleets of all sizes that are disrupted, and then left alone for some windows.
fn play(name: &str, disrupt: impl Fn(&mut Fleet, usize, f64)) {
    let mut broken = 0;
    for (nodes, per_second, network) in FLEETS {
        for seed in 1..=2 {
            let mut fleet = failing_fleet(nodes, per_second, network, seed);
            let since = fleet.now;
            fleet.run(2_000, per_second);
            disrupt(&mut fleet, nodes, per_second);
            let calm = fleet.now;
            fleet.run(3 * window_ms(), per_second);
            let used = usage(&fleet, since);
            let again = usage(&fleet, calm + window_ms());
            println!("{name}, {nodes} nodes, seed {seed}: {used}, at the end {again}");
            broken += usize::from(used.most > 1.0);
            assert!(again.most > 0.5, "the budget is not used: {again}");
        }
    }
    assert_eq!(broken, 0, "{broken} fleets broke the budget");
}

#[test]
fn calm_fleets_keep_to_the_budget_and_use_it() {
    for (nodes, per_second, network) in FLEETS {
        let mut fleet = failing_fleet(nodes, 2.0 * per_second, network, 1);
        let since = fleet.now;
        fleet.run(3 * window_ms(), 2.0 * per_second);
        let used = check(&fleet, since);
        println!("{nodes} nodes: {used:.2} used");
        assert!(used > 0.4, "only {used:.2} of the budget used");
    }
}

#[test]
fn calm_fleets_use_the_slack() {
    for (nodes, per_second) in [(6, 5.0), (20, 20.0)] {
        let mut fleet = failing_fleet(nodes, per_second, NEAR, 1);
        let since = fleet.now;
        fleet.run(3 * window_ms(), per_second);
        check(&fleet, since);
        let beyond = fleet.retries.iter().map(|from| {
            let requests = settings().retry_slack - allowed(&fleet, *from);
            count(&fleet.retries, *from, from + window_ms()) as f64 + requests
        });
        let most = beyond.fold(0.0, f64::max);
        println!("{nodes} nodes: {most:.0} retries beyond the ratio");
        assert!(most > settings().retry_slack / 4.0, "{most:.0}");
    }
}

#[test]
fn fleets_that_start_for_the_first_time_keep_to_the_budget_and_use_it() {
    for (nodes, per_second, network) in FLEETS {
        let mut fleet = Fleet::start(0, 4, network, 1);
        fleet.is_even = true;
        fleet.max_attempts = 3;
        fleet.refusals = Some(0);
        fleet.failing = 1.0;
        // Each reads what has registered before it.
        for node in 0..nodes {
            fleet.start_unlisted(node);
            fleet.first_registered(node);
            fleet.list_nodes(node, node + 1);
            fleet.run(2_000 / nodes as u64, per_second);
        }
        fleet.run(4 * window_ms(), per_second);
        let used = check(&fleet, 0);
        println!("{nodes} nodes: {used:.2} used");
        assert!(used > 0.5, "the budget is not used: {used}");
    }
}

#[test]
fn nodes_that_are_killed_in_series_do_not_use_the_slack_again() {
    play("in series", |fleet, nodes, per_second| {
        for round in 0..20 {
            restart(fleet, &[round % nodes], nodes, 200, per_second);
            fleet.run(100, per_second);
        }
    });
}

#[test]
fn nodes_that_are_killed_at_once_do_not_use_the_slack_again() {
    play("all at once", |fleet, nodes, per_second| {
        let all: Vec<usize> = (0..nodes).collect();
        for _ in 0..5 {
            restart(fleet, &all, nodes, 400, per_second);
            fleet.run(1_000, per_second);
        }
    });
}

#[test]
fn half_of_the_nodes_killed_each_second_do_not_use_the_slack_again() {
    play("half each second", |fleet, nodes, per_second| {
        for round in 0..10 {
            let half: Vec<usize> = (0..nodes).filter(|node| node % 2 == round % 2).collect();
            restart(fleet, &half, nodes, 400, per_second);
            fleet.run(400, per_second);
        }
    });
}

#[test]
fn halves_that_do_not_hear_each_other_share_the_slack() {
    for (nodes, per_second) in [(6, 5.0), (20, 20.0)] {
        let mut fleet = failing_fleet(nodes, per_second, NEAR, 1);
        let since = fleet.now;
        fleet.cut_off(nodes / 2);
        fleet.run(REGISTRY_MS, per_second);
        for node in 0..nodes {
            fleet.list_nodes(node, nodes);
        }
        fleet.run(2 * window_ms(), per_second);
        let used = check(&fleet, since);
        println!("{nodes} nodes: {used:.2} used");
        assert!(used > 0.5, "only {used:.2} of the budget used");
    }
}

/// A fleet with so many requests that the ratio counts more than the slack, whose engines have
/// just begun to fail: retries use up what the requests of the window before allow.
fn busy_fleet(nodes: usize, per_second: f64, network: Network) -> Fleet {
    let mut fleet = Fleet::start(nodes, 4, network, 1);
    fleet.is_even = true;
    fleet.max_attempts = 4;
    fleet.refusals = Some(0);
    fleet.run(2 * window_ms() + 1_000, per_second);
    fleet.failing = 1.0;
    fleet.run(1_500, per_second);
    fleet
}

#[test]
fn nodes_killed_once_under_many_requests_do_not_use_the_ratio_again() {
    for (nodes, per_second, network) in [(6, 150.0, NEAR), (20, 150.0, FAR), (68, 300.0, FAR)] {
        let mut fleet = busy_fleet(nodes, per_second, network);
        let since = fleet.now - 1_500;
        let all: Vec<usize> = (0..nodes).collect();
        restart(&mut fleet, &all, nodes, 100, per_second);
        fleet.run(window_ms(), per_second);
        let used = usage(&fleet, since);
        println!("{nodes} nodes, {per_second}/s: {used}");
        assert!((0.5..=1.0).contains(&used.most), "{used}");
    }
}

#[test]
fn nodes_whose_requests_move_to_others_do_not_use_the_ratio_again() {
    for (nodes, killed) in [(6, 5), (20, 15)] {
        let mut fleet = busy_fleet(nodes, 150.0, NEAR);
        let since = fleet.now - 1_500;
        (0..killed).for_each(|number| fleet.kill(number));
        fleet.run(window_ms(), 150.0);
        let used = usage(&fleet, since);
        println!("{killed} of {nodes} nodes gone: {used}");
        assert!((0.5..=1.0).contains(&used.most), "{used}");
    }
}
