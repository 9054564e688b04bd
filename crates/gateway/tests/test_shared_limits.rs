//! Shares of limits that hold over all nodes.

use std::net::SocketAddr;
use std::time::Duration;

use common::{Harness, placement_request, settings};
use flamingolock_gateway::control::notices::Notice;
use flamingolock_gateway::control::{Event, PlacementRequest, Refusal};
use flamingolock_wire::gossip::{Gossip, NodeState};
use prost::Message;
use tokio::sync::oneshot;

#[allow(dead_code, reason = "each test file needs a part of it")]
mod common;

fn address(node: u8) -> SocketAddr {
    ([10, 0, 1, node], 7_000).into()
}

fn window_ms() -> u64 {
    settings().retry_window.as_millis() as u64
}

/// Number of retries that the node allows at one moment.
fn retries(harness: &mut Harness, now: u64) -> usize {
    let allowed = (0..100).take_while(|_| {
        let mut request = placement_request(None, 1);
        request.tried = vec![1];
        request.is_retry = true;
        let placed = harness.place(request, now).expect("a decision");
        !matches!(placed, Err(Refusal::Budget))
    });
    allowed.count()
}

/// A node that has read a registry with five others.
fn one_of_six() -> Harness {
    let mut harness = Harness::with_engines(1, 0);
    let others = (1..6).map(address).collect();
    harness.control.handle(Event::NodesListed(others), 10);
    harness
}

fn hear_leaving(harness: &mut Harness, node: u8, now: u64) {
    let from = address(node);
    let gossip = Gossip {
        sender: Some(NodeState {
            incarnation: 100 + u64::from(node),
            callers: SocketAddr::new(from.ip(), 80).to_string(),
            leaving: true,
            ..NodeState::default()
        }),
        ..Gossip::default()
    };
    let datagram = Event::Datagram(from, gossip.encode_to_vec().into());
    harness.control.handle(datagram, now);
}

#[test]
fn node_that_has_heard_no_other_yet_takes_only_its_share_of_the_retries() {
    let mut harness = one_of_six();
    // A sixth of 58, less the margin.
    let granted = retries(&mut harness, window_ms() + 10);
    assert!((1..=58 / 6).contains(&granted), "{granted}");
}

#[test]
fn node_that_starts_again_uses_no_slack_for_a_window() {
    let mut harness = one_of_six();
    assert_eq!(retries(&mut harness, 20), 0);
    assert_eq!(retries(&mut harness, window_ms() - 1), 0);
}

#[test]
fn first_process_under_its_name_uses_a_part_of_the_slack_at_once() {
    let mut harness = one_of_six();
    harness.control.handle(Event::FirstRegistration, 10);
    for _ in 0..50 {
        harness.place(placement_request(None, 1), 20);
    }
    // Half of a fifth of 50, and a 42nd of 58, less the margin.
    let granted = retries(&mut harness, 20);
    assert!((5..=5 + 58 / 42).contains(&granted), "{granted}");
    let mut alone = Harness::with_engines(1, 0);
    alone.control.handle(Event::NodesListed(Vec::new()), 10);
    alone.control.handle(Event::FirstRegistration, 10);
    let granted = retries(&mut alone, 20);
    assert!((58 / 4..=58 / 2).contains(&granted), "{granted}");
}

/// A request that another node handed on after it may have run.
fn handed_retry() -> PlacementRequest {
    let mut request = placement_request(None, 1);
    request.is_handed = true;
    request.is_retry = true;
    request
}

#[test]
fn handed_request_that_may_have_run_before_is_a_retry() {
    let mut harness = one_of_six();
    let now = window_ms() + 10;
    let granted = (0..100)
        .filter(|_| {
            harness
                .place(handed_retry(), now)
                .expect("a decision")
                .is_ok()
        })
        .count();
    assert!((1..=58 / 6).contains(&granted), "{granted}");
}

#[test]
fn handed_request_that_may_have_run_before_brings_no_retries() {
    let mut harness = one_of_six();
    for _ in 0..100 {
        // Most are refused.
        harness.place(handed_retry(), 20);
    }
    assert_eq!(retries(&mut harness, 20), 0);
}

#[test]
fn retry_that_waits_counts_from_when_it_is_sent() {
    let mut harness = one_of_six();
    let start = 2 * window_ms();
    let first = harness.place(placement_request(None, 1), start - window_ms());
    let engine = first.expect("a decision").expect("a placement").endpoint;
    let pause = Notice::Pause(Duration::from_millis(700));
    let event = Event::Noticed(engine, pause);
    harness.control.handle(event, start);
    let (sender, mut waiting) = oneshot::channel();
    let mut request = placement_request(None, 1);
    request.tried = vec![1];
    request.is_retry = true;
    request.max_wait = Duration::from_millis(900);
    harness
        .control
        .handle(Event::Place(Box::new(request), sender), start);
    harness.control.tick(start + 700);
    assert!(waiting.try_recv().expect("a decision").is_ok());
    let before = retries(&mut harness, start + 710);
    // The one that waited and those after it are still in the window.
    assert_eq!(
        retries(&mut harness, start + window_ms() + 690),
        0,
        "{before}"
    );
}

#[test]
fn node_that_has_not_read_the_registry_uses_no_slack() {
    let mut harness = Harness::with_engines(1, 0);
    harness.control.handle(Event::FirstRegistration, 10);
    assert_eq!(retries(&mut harness, 2 * window_ms()), 0);
}

#[test]
fn listed_nodes_that_never_answer_do_not_keep_their_share() {
    let mut harness = Harness::with_engines(1, 0);
    let others = (1..6).map(address).collect();
    harness.control.handle(Event::NodesListed(others), 10);
    harness.datagram_from(address(1), 101, Gossip::default(), 15_000);
    assert!(retries(&mut harness, 15_010) > 58 / 3);
}

fn hear(harness: &mut Harness, nodes: std::ops::Range<u8>, now: u64) {
    for node in nodes {
        let incarnation = 100 + u64::from(node);
        harness.datagram_from(address(node), incarnation, Gossip::default(), now);
    }
}

#[test]
fn silent_nodes_keep_their_share_at_a_node_that_hears_no_more_than_half() {
    let mut harness = one_of_six();
    hear(&mut harness, 1..6, 20);
    hear(&mut harness, 1..3, 15_000);
    let granted = retries(&mut harness, 15_010);
    assert!((1..=58 / 6).contains(&granted), "{granted}");
}

#[test]
fn silent_nodes_lose_their_share_at_a_node_that_hears_most() {
    let mut harness = one_of_six();
    hear(&mut harness, 1..6, 20);
    hear(&mut harness, 1..4, 15_000);
    let granted = retries(&mut harness, 15_010);
    // A quarter of 58, less the margin.
    assert!((58 / 6 + 1..=58 / 4).contains(&granted), "{granted}");
}

#[test]
fn nodes_that_left_do_not_keep_their_share() {
    let mut harness = one_of_six();
    for node in 1..5 {
        hear_leaving(&mut harness, node, 20);
    }
    harness.datagram_from(address(5), 105, Gossip::default(), 15_000);
    // They may have used it within the window.
    let granted = retries(&mut harness, window_ms() + 10);
    assert!(granted <= 58 / 6, "{granted}");
    let granted = retries(&mut harness, 2 * window_ms() + 500);
    assert!((58 / 3..=58 / 2).contains(&granted), "{granted}");
}
