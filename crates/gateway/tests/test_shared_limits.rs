//! Shares of limits that hold over all nodes.

use std::net::SocketAddr;

use common::{Harness, placement_request};
use flamingolock_gateway::control::{Event, Refusal};
use flamingolock_wire::gossip::Gossip;

#[allow(dead_code, reason = "each test file needs a part of it")]
mod common;

fn address(node: u8) -> SocketAddr {
    ([10, 0, 1, node], 7_000).into()
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

#[test]
fn node_that_has_heard_no_other_yet_takes_only_its_share_of_the_retries() {
    let mut harness = Harness::with_engines(1, 0);
    let others = (1..6).map(address).collect();
    harness.control.handle(Event::NodesListed(others), 10);
    // A sixth of 58, less the margin.
    assert!(retries(&mut harness, 20) <= 58 / 6);
}

#[test]
fn listed_nodes_that_never_answer_do_not_keep_their_share() {
    let mut harness = Harness::with_engines(1, 0);
    let others = (1..6).map(address).collect();
    harness.control.handle(Event::NodesListed(others), 10);
    harness.datagram_from(address(1), 101, Gossip::default(), 15_000);
    assert!(retries(&mut harness, 15_010) > 58 / 3);
}
