//! Callers while more requests come than the engines can serve.

#[allow(dead_code, reason = "each test file needs a part of it")]
mod common;

use std::time::Duration;

use common::rollout::{Deployment, Simulation};
use common::{Harness, placement_request};
use flamingolock_gateway::control::{BuildRule, Refusal};
use flamingolock_gateway::endpoint::Endpoint;
use flamingolock_wire::gossip::Run;

/// Target for the first token.
const TARGET: Duration = Duration::from_secs(1);

const DEPLOYMENT: Deployment = Deployment {
    engines: 4,
    load_ms: 300,
    loads_at_once: 2,
    tokens_per_ms: 60,
    requests: 190,
    aim_ms: 600,
    room: usize::MAX,
    lost_orders: 0.0,
};

/// Requests beyond what the engines can serve are refused, so that the others are in time.
#[test]
fn as_many_requests_are_in_time_during_a_burst_as_before() {
    let mut simulation = Simulation::start(DEPLOYMENT, 6_000);
    simulation.run_until(6_000);
    let calm = simulation.outcomes_since(3_000);
    simulation.set_rate(2 * DEPLOYMENT.requests);
    simulation.run_until(18_000);
    let burst = simulation.outcomes_since(8_000);
    simulation.set_rate(DEPLOYMENT.requests);
    simulation.run_until(26_000);
    let after = simulation.outcomes_since(20_000);
    let (before, during) = (calm.in_aim as f64 / 3.0, burst.in_aim as f64 / 10.0);
    assert!(
        during >= 0.9 * before,
        "{during} requests a second in time during the burst, {before} before"
    );
    assert!(
        after.share_in_aim() >= 0.95 * calm.share_in_aim(),
        "{after:?} two seconds after the burst"
    );
}

/// The caller is told when the queue is short again, and callers return one by one.
#[test]
fn refused_callers_are_asked_to_return_when_there_is_room() {
    let mut harness = Harness::with_engines(1, 0);
    let queue_ms = 3_000;
    let run = Run {
        number: 1,
        endpoint: Endpoint::key_of("e0"),
        prefill_us: queue_ms * 1_000,
        ..Run::default()
    };
    harness.gossip(9, &[run], 100);
    let mut returns = Vec::new();
    for id in 0..50 {
        let mut request = placement_request(None, 1 + id * 10);
        request.target = TARGET;
        let placement = harness.place(request, 100);
        match placement.expect("an answer at once") {
            Err(Refusal::Overloaded { until, .. }) => returns.push(until - 100),
            other => panic!("{other:?}"),
        }
    }
    let (first, last) = (returns.iter().min(), returns.iter().max());
    let (first, last) = (first.expect("a time"), last.expect("a time"));
    assert!(*first >= u64::from(queue_ms) * 9 / 10, "{first}");
    assert!(last - first >= u64::from(queue_ms) / 2, "{first}..{last}");
}

/// Its own length is no reason to refuse a prompt: it would never be in time.
#[test]
fn long_prompt_is_not_refused_because_of_its_length() {
    let mut harness = Harness::with_engines(1, 0);
    let mut request = placement_request(None, 1);
    request.target = TARGET;
    request.parts[2].tokens = 400_000;
    request.prompt_tokens = 404_500;
    let placement = harness.place(request, 100).expect("an answer at once");
    assert!(placement.is_ok(), "{placement:?}");
}

/// A caller that already has a part of its stream waits for the rest.
#[test]
fn stream_that_goes_on_is_not_refused_because_of_a_queue() {
    let mut harness = Harness::with_engines(1, 0);
    let run = Run {
        number: 1,
        endpoint: Endpoint::key_of("e0"),
        prefill_us: 3_000_000,
        ..Run::default()
    };
    harness.gossip(9, &[run], 100);
    let mut request = placement_request(None, 1);
    request.target = TARGET;
    request.build_rule = BuildRule::Only("v1".into());
    let placement = harness.place(request, 100).expect("an answer at once");
    assert!(placement.is_ok(), "{placement:?}");
}
