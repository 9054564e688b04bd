//! Engine memory as a limit, decided by single nodes and by whole fleets in simulated time.

#[allow(dead_code, reason = "each test file needs a part of it")]
mod common;

use std::time::Duration;

use common::fleet::{Fleet, Network};
use common::{Harness, placement_request, settings};
use flamingolock_gateway::control::Event;
use flamingolock_gateway::control::{BuildRule, Refusal, RunEnd};
use flamingolock_gateway::response::ErrorReason;

/// Memory of the engines of the test configuration, in tokens.
const CAPACITY: usize = 100_000;

/// Tokens of each request of the fleet.
const REQUEST_TOKENS: usize = 5_564;

/// Time for which an engine runs a request, in ms.
const RUN_MS: u64 = 700;

/// Time after which all nodes know a run, in ms: gossip is sent in batches every 4 ms.
const GOSSIP_MS: u64 = 8;

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

/// A network whose gossip arrives a millisecond after it was sent.
const PROMPT: Network = Network {
    delay_ms: 1,
    loss: 0.0,
};

/// Rate at which requests use all memory of the engines, per second.
fn full_rate(engines: usize) -> f64 {
    (engines * FITTING) as f64 * 1_000.0 / RUN_MS as f64
}

fn bounded_fleet(nodes: usize, engines: usize) -> Fleet {
    let mut fleet = Fleet::start_bounded(nodes, engines, PROMPT, 11);
    fleet.refusals = Some(0);
    fleet.response_ms = RUN_MS;
    fleet
}

/// Largest number of runs that an engine has had at a time.
fn most_running(fleet: &Fleet) -> usize {
    let most = fleet.engines.values().map(|engine| engine.most_running);
    most.max().expect("an engine")
}

/// Share of the memory of all engines that was used from `since` on.
fn share_used(fleet: &Fleet, since: u64) -> f64 {
    let engines = fleet.engines.values();
    let used: usize = engines
        .map(|engine| engine.arrivals_between(since, fleet.now))
        .sum();
    let time = (fleet.now - since) as f64 / 1_000.0;
    used as f64 / (full_rate(fleet.engines.len()) * time)
}

/// Guards against a node that fills an engine beyond its memory when requests wait for it, and
/// against memory that stays unused after it was released.
#[test]
fn burst_over_one_node_fills_the_memory_and_never_exceeds_it() {
    let mut fleet = bounded_fleet(1, 3);
    fleet.run(2_000, 0.4 * full_rate(3));
    let since = fleet.now;
    fleet.run(3_000, 2.0 * full_rate(3));
    let share = share_used(&fleet, since);
    println!("one node: {share:.2} of the memory used");
    assert_eq!(most_running(&fleet), FITTING);
    assert!(share > 0.9, "{share:.2} of the memory used");
}

/// Guards against runs of other nodes that do not count though they were reported, and against
/// memory that stays taken at other nodes after it was released.
#[test]
fn six_nodes_that_know_all_runs_never_exceed_the_memory() {
    let mut fleet = bounded_fleet(6, 3);
    fleet.run(2_000, 0.0);
    let since = fleet.now;
    for number in 0..300 {
        let request = placement_request(None, 10 * number as u64);
        fleet.place(number % 6, request);
        fleet.run(GOSSIP_MS, 0.0);
    }
    let share = share_used(&fleet, since);
    println!("six nodes: {share:.2} of the memory used");
    assert_eq!(most_running(&fleet), FITTING);
    assert!(fleet.refusals > Some(0), "the memory was never full");
    assert!(share > 0.9, "{share:.2} of the memory used");
}

/// Guards against nodes that fill the same memory before they know of each other's runs. The
/// gossip becomes late when the burst begins, and a node is replaced in between.
#[test]
fn burst_over_six_nodes_with_late_gossip_stays_within_the_memory() {
    let mut exceeded = Vec::new();
    for is_even in [true, false] {
        let mut fleet = bounded_fleet(6, 6);
        fleet.is_even = is_even;
        fleet.run(4_000, 0.4 * full_rate(6));
        fleet.network.delay_ms = 100;
        let since = fleet.now;
        fleet.run(1_500, 2.0 * full_rate(6));
        fleet.kill(1);
        fleet.start_node(1, 6);
        fleet.run(1_500, 2.0 * full_rate(6));
        let (most, share) = (most_running(&fleet), share_used(&fleet, since));
        println!("even {is_even}: at most {most} of {FITTING} runs, {share:.2} used");
        if most > FITTING {
            exceeded.push((is_even, most));
        }
    }
    assert!(exceeded.is_empty(), "{exceeded:?}");
}

/// Guards against a request that waits though no engine can ever hold it, against a status
/// other than 503 for it, and against a refusal of one that just fits into an idle engine.
#[test]
fn only_a_request_larger_than_all_engines_is_refused_at_once() {
    let mut harness = bounded();
    let mut request = placement_request(None, 1);
    request.max_wait = Duration::from_secs(5);
    request.prompt_tokens = CAPACITY as u32 - request.output_tokens + 1;
    let refusal = harness.place(request.clone(), 1_001).expect("an answer");
    assert_eq!(refusal.err(), Some(Refusal::ExceedsMemory));
    assert_eq!(ErrorReason::ExceedsMemory.status(), 503);
    assert_eq!(ErrorReason::ExceedsMemory.as_str(), "exceeds_memory");
    request.prompt_tokens -= 1;
    assert!(matches!(harness.place(request, 1_001), Some(Ok(_))));
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
