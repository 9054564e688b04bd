//! Callers during a roll-out of weights, at engines of different speeds.

#[allow(dead_code, reason = "each test file needs a part of it")]
mod common;

use common::rollout::{Deployment, Simulation};

/// Time before the first version of the weights is named, in ms.
const CALM_MS: u64 = 5_000;

/// Number of runs of some 900 that may be ended in a roll-out that takes too long.
const MAX_EXPIRED: usize = 18;

const DEPLOYMENT: Deployment = Deployment {
    engines: 12,
    load_ms: 300,
    loads_at_once: 2,
    tokens_per_ms: 60,
    requests: 60,
    aim_ms: 600,
    room: usize::MAX,
    lost_orders: 0.0,
};

/// Time within which new weights must be in use, in ms: enough for two roll-outs.
fn bound_ms(deployment: Deployment) -> u64 {
    let rounds = deployment.engines.div_ceil(deployment.loads_at_once) as u64;
    (rounds * deployment.load_ms * 2).max(6_000)
}

/// Plays two roll-outs and checks what callers get in each.
fn assert_served(deployment: Deployment) {
    let bound = bound_ms(deployment);
    let mut simulation = Simulation::start(deployment, bound);
    simulation.run_until(1_000 + CALM_MS);
    let calm = simulation.outcomes_since(3_000);
    for version in [2, 3] {
        let named_at = simulation.now;
        simulation.name_weights(version);
        simulation.run_until(named_at + bound);
        let outcomes = simulation.outcomes_since(named_at);
        let (before, during) = (calm.share_in_aim(), outcomes.share_in_aim());
        assert!(
            during >= 0.9 * before,
            "version {version}: {during} of the requests in aim, {before} before; {deployment:?}"
        );
        assert_eq!(outcomes.failed, 0, "version {version} {deployment:?}");
        assert_eq!(
            simulation.engines_with(version),
            deployment.engines,
            "version {version} {deployment:?}"
        );
    }
    assert!(
        simulation.refused <= simulation.loads,
        "{} requests were sent to loading engines in {} loads; {deployment:?}",
        simulation.refused,
        simulation.loads
    );
}

#[test]
fn callers_are_served_however_long_loads_last() {
    for load_ms in [100, 300, 2_000, 6_000] {
        assert_served(Deployment {
            load_ms,
            ..DEPLOYMENT
        });
    }
}

#[test]
fn callers_are_served_however_fast_engines_read() {
    for (tokens_per_ms, load_ms) in [(20, 2_000), (180, 2_000), (20, 300), (180, 300)] {
        assert_served(Deployment {
            load_ms,
            tokens_per_ms,
            ..DEPLOYMENT
        });
    }
}

/// More loads at once than the engines carry out in parallel only close engines.
#[test]
fn loads_that_slow_each_other_down_are_not_started() {
    for (engines, loads_at_once) in [(12, 1), (12, 2), (40, 3)] {
        let deployment = Deployment {
            engines,
            loads_at_once,
            load_ms: 1_000,
            requests: 100,
            ..DEPLOYMENT
        };
        let mut simulation = Simulation::start(deployment, bound_ms(deployment));
        for version in 2..=4 {
            simulation.most_loading = 0;
            simulation.name_weights(version);
            simulation.run_until(simulation.now + bound_ms(deployment));
            assert_eq!(simulation.engines_with(version), engines, "{deployment:?}");
        }
        assert!(
            simulation.most_loading <= loads_at_once + 1,
            "{} loaded at once; {deployment:?}",
            simulation.most_loading
        );
    }
}

/// An engine that never finishes its load does not hold up the others.
#[test]
fn engine_that_never_finishes_its_load_does_not_stop_the_rollout() {
    let deployment = Deployment {
        load_ms: 500,
        ..DEPLOYMENT
    };
    let mut simulation = Simulation::start(deployment, 20_000);
    simulation.hang(0);
    simulation.hang(1);
    simulation.run_until(4_000);
    simulation.name_weights(2);
    simulation.run_until(4_000 + 19_000);
    assert_eq!(simulation.engines_with(2), deployment.engines - 2);
    let outcomes = simulation.outcomes_since(4_000);
    assert!(outcomes.failed <= 2, "{outcomes:?}");
    assert!(outcomes.share_in_aim() > 0.85, "{outcomes:?}");
}

/// Engines that read at their limit, and turn requests away when too many wait.
const BUSY: Deployment = Deployment {
    engines: 30,
    load_ms: 290,
    loads_at_once: 8,
    tokens_per_ms: 20,
    requests: 500,
    aim_ms: 600,
    room: 4,
    lost_orders: 0.0,
};

/// Plays two versions, the second before the roll-out of the first is over, while engines
/// crash and others join.
fn assert_finished(deployment: Deployment, crashed: usize, joined: usize) {
    let bound = 6_000;
    let mut simulation = Simulation::start(deployment, bound);
    simulation.run_until(4_000);
    simulation.name_weights(2);
    simulation.run_until(7_000);
    simulation.name_weights(3);
    simulation.run_until(9_000);
    simulation.crash(crashed);
    simulation.run_until(10_000);
    for _ in 0..joined {
        simulation.add_engine(3);
        simulation.run_until(simulation.now + 25);
    }
    simulation.run_until(7_000 + bound * 3 / 2);
    let (newest, engines) = (simulation.engines_with(3), deployment.engines + joined);
    let overflowed = simulation.overflowed;
    assert!(
        engines - newest <= engines / 10,
        "{newest} of {engines} engines have the newest weights, {overflowed} requests met no room; {deployment:?}"
    );
}

#[test]
fn engines_without_room_do_not_stop_the_rollout() {
    let deployment = Deployment {
        requests: 600,
        ..BUSY
    };
    assert_finished(deployment, 0, 0);
}

#[test]
fn engines_that_crash_or_join_do_not_stop_the_rollout() {
    assert_finished(BUSY, 5, 4);
}

#[test]
fn unanswered_orders_do_not_stop_the_rollout() {
    for lost_orders in [0.3, 0.6] {
        let deployment = Deployment {
            lost_orders,
            requests: 250,
            ..BUSY
        };
        assert_finished(deployment, 5, 4);
    }
}

/// The engines do not answer the request for their report that would show it.
#[test]
fn loads_that_engines_give_up_are_ordered_again() {
    let deployment = Deployment {
        requests: 0,
        ..DEPLOYMENT
    };
    let mut simulation = Simulation::start(deployment, 6_000);
    simulation.run_until(2_000);
    simulation.name_weights(2);
    simulation.run_until(2_250);
    assert!(simulation.drop_loads(1_500) > 0);
    simulation.run_until(2_000 + 6_000);
    assert_eq!(simulation.engines_with(2), deployment.engines);
}

/// Plays a roll-out that takes longer than it may, at engines that have more to do from some
/// time before the bound on than this node knows.
fn slow_rollout(unknown_share: f64, before_ms: u64, silent_ms: u64) -> Simulation {
    let deployment = Deployment {
        load_ms: 3_000,
        loads_at_once: 1,
        ..DEPLOYMENT
    };
    let bound = 8_000;
    let mut simulation = Simulation::start(deployment, bound);
    simulation.run_until(1_000 + CALM_MS);
    let named_at = simulation.now;
    simulation.name_weights(2);
    simulation.run_until(named_at + bound - before_ms);
    simulation.set_unknown_work(unknown_share);
    simulation.fall_silent(silent_ms);
    simulation.run_until(named_at + 2 * bound);
    let outcomes = simulation.outcomes_since(named_at);
    println!(
        "{unknown_share} {before_ms} {silent_ms}: {:?} {} {outcomes:?}",
        simulation.late_starts, simulation.expired
    );
    assert!(simulation.engines_with(1) > 0, "the roll-out was not slow");
    simulation
}

/// Runs that have not begun in time are ended, which callers see: there should be few.
#[test]
fn no_request_begins_on_weights_that_were_superseded_too_long_ago() {
    for (unknown_share, before_ms, silent_ms) in [
        (0.0, 0, 0),
        (0.5, 4_000, 0),
        (0.9, 3_000, 0),
        (0.9, 2_000, 0),
        (0.0, 3_000, 1_000),
        (0.0, 1_500, 1_000),
        (0.5, 1_500, 1_000),
    ] {
        let simulation = slow_rollout(unknown_share, before_ms, silent_ms);
        let case = format!("{unknown_share} {before_ms} {silent_ms}");
        assert_eq!(simulation.late_starts, (0, 0), "{case}");
        assert!(simulation.expired <= MAX_EXPIRED, "{case}");
    }
}
