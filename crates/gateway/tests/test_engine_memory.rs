//! Engine memory as a limit, decided by single nodes and by whole fleets in simulated time.

#[allow(dead_code, reason = "each test file needs a part of it")]
mod common;

use std::time::Duration;

use common::fleet::{Fleet, Network};
use common::{Harness, placement_request, settings};
use flamingolock_gateway::control::Event;
use flamingolock_gateway::control::{BuildRule, Refusal, RunEnd};

/// Memory of the engines of the test configuration, in tokens.
const CAPACITY: usize = 100_000;

/// Tokens of each request of the fleet.
const REQUEST_TOKENS: usize = 5_564;

/// Time for which an engine runs a request, in ms.
const RUN_MS: u64 = 700;

/// Requests that fit into the memory of an engine.
const FITTING: usize = CAPACITY / REQUEST_TOKENS;

fn bounded() -> Harness {
    let mut settings = settings();
    settings.bounds_engine_memory = true;
    let mut harness = Harness::with_settings(settings, 7);
    harness.catalog(1, 1_000);
    harness.engine("e0", 1, "ready", 1_000);
    harness.control.tick(1_000);
    harness
}

/// Plays a burst that starts when gossip becomes late, with nodes that start and end in between.
/// Returns the largest number of runs at an engine, and the share of the memory that was used.
fn burst(nodes: usize, engines: usize, network: Network, is_even: bool) -> (usize, f64) {
    let prompt = Network {
        delay_ms: 1,
        loss: 0.0,
    };
    let mut fleet = Fleet::start_bounded(nodes, engines, prompt, 11);
    fleet.refusals = Some(0);
    fleet.response_ms = RUN_MS;
    fleet.is_even = is_even;
    let full = (engines * FITTING) as f64 * 1_000.0 / RUN_MS as f64;
    fleet.run(4_000, 0.4 * full);
    fleet.network = network;
    let since = fleet.now;
    fleet.run(1_500, 2.0 * full);
    fleet.kill(1);
    fleet.start_node(1, nodes);
    fleet.run(1_500, 2.0 * full);
    let used: usize = fleet
        .engines
        .values()
        .map(|engine| engine.arrivals_between(since, fleet.now))
        .sum();
    let most = fleet.engines.values().map(|engine| engine.most_running);
    let share = used as f64 / (full * (fleet.now - since) as f64 / 1_000.0);
    (most.max().expect("an engine"), share)
}

fn check_burst(nodes: usize, engines: usize) {
    let mut exceeded = Vec::new();
    for (delay_ms, loss) in [
        (1, 0.0),
        (100, 0.0),
        (500, 0.0),
        (2_000, 0.0),
        (1, 0.05),
        (100, 0.05),
    ] {
        for is_even in [true, false] {
            let network = Network { delay_ms, loss };
            let (most, share) = burst(nodes, engines, network, is_even);
            println!(
                "{nodes} nodes, even {is_even}, {network:?}: at most {most} of {FITTING} runs, {share:.2} used"
            );
            if most > FITTING {
                exceeded.push((delay_ms, loss, is_even, most));
            }
        }
    }
    assert!(exceeded.is_empty(), "{exceeded:?}");
}

/// Guards against an engine that crashes in a burst over a full mesh.
#[test]
fn burst_over_six_nodes_stays_within_the_memory() {
    check_burst(6, 6);
}

/// Guards against reports that come late through hubs.
#[test]
fn burst_over_18_nodes_stays_within_the_memory() {
    check_burst(18, 12);
}

/// Guards against many nodes that each find the same room.
#[test]
fn burst_over_69_nodes_stays_within_the_memory() {
    check_burst(69, 20);
}

/// Guards against a request that waits though no engine can ever hold it.
#[test]
fn request_larger_than_all_engines_is_refused_at_once() {
    let mut harness = bounded();
    let mut request = placement_request(None, 1);
    request.max_wait = Duration::from_secs(5);
    request.prompt_tokens = CAPACITY as u32;
    let refusal = harness.place(request, 1_001).expect("an answer").err();
    assert_eq!(refusal, Some(Refusal::ExceedsMemory));
}

/// Guards against a resumed stream that is sent to an engine without memory, against a wait
/// beyond the target, and against memory that is not released when a run ends.
#[test]
fn request_waits_for_memory_at_most_for_its_target() {
    let mut harness = bounded();
    let now = 5_000;
    harness.control.tick(now);
    let mut large = placement_request(None, 1);
    large.prompt_tokens = 90_000;
    let grant = harness
        .place(large, now)
        .expect("an answer")
        .expect("a grant");
    for build_rule in [BuildRule::Any, BuildRule::Only("v1".into())] {
        let mut request = placement_request(None, 20);
        request.prompt_tokens = 20_000;
        request.build_rule = build_rule;
        request.max_wait = Duration::from_secs(5);
        request.target = Duration::from_millis(200);
        let (sender, mut reply) = tokio::sync::oneshot::channel();
        let event = Event::Place(Box::new(request), sender);
        harness.control.handle(event, now);
        harness.control.tick(now + 199);
        assert!(reply.try_recv().is_err());
        harness.control.tick(now + 200);
        let refusal = reply.try_recv().expect("an answer").err();
        assert!(
            matches!(refusal, Some(Refusal::NoMemory { until }) if until > now + 200),
            "{refusal:?}"
        );
    }
    let ended = Event::RunEnded {
        endpoint: grant.endpoint.key(),
        run_number: grant.run_number,
        end: RunEnd::Complete,
        model: Some("m".to_owned()),
    };
    harness.control.handle(ended, now + 300);
    let mut request = placement_request(None, 20);
    request.prompt_tokens = 20_000;
    assert!(matches!(harness.place(request, now + 301), Some(Ok(_))));
}

/// Guards against memory that stays taken by the runs of an earlier incarnation.
#[test]
fn new_incarnation_of_an_engine_has_all_its_memory() {
    let mut harness = bounded();
    let now = 5_000;
    harness.control.tick(now);
    let mut large = placement_request(None, 1);
    large.prompt_tokens = 90_000;
    assert!(matches!(harness.place(large.clone(), now), Some(Ok(_))));
    assert!(matches!(
        harness.place(large.clone(), now),
        Some(Err(Refusal::NoMemory { .. }))
    ));
    harness.engine("e0", 2, "ready", now + 10);
    assert!(matches!(harness.place(large, now + 11), Some(Ok(_))));
}

/// Guards against a limit where the settings do not ask for one.
#[test]
fn memory_is_no_limit_without_the_setting() {
    let mut harness = Harness::with_engines(1, 1_000);
    for id in 0..3 {
        let mut large = placement_request(None, 10 * id);
        large.prompt_tokens = 200_000;
        assert!(matches!(harness.place(large, 1_001), Some(Ok(_))));
    }
}
