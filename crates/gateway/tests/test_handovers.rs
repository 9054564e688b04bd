//! Which node gets the requests for a service that this node is cut off from.

use std::collections::BTreeSet;

use common::{Harness, placement_request};
use flamingolock_gateway::control::handovers::OtherNode;
use flamingolock_gateway::control::{Event, Refusal};
use flamingolock_gateway::endpoint::Endpoint;
use flamingolock_wire::gossip::{Gossip, NodeState};
use prost::Message;

#[allow(dead_code, reason = "each test file needs a part of it")]
mod common;

/// Another node as it describes itself.
fn node(number: u8, zone: &str) -> NodeState {
    NodeState {
        incarnation: number.into(),
        callers: format!("10.0.0.{number}:80"),
        zone: zone.to_owned(),
        ready: true,
        control_port: 8,
        takes_requests: true,
        name: format!("node-{number}"),
        ..NodeState::default()
    }
}

fn hear(harness: &mut Harness, state: NodeState, now: u64) {
    let from = ([10, 0, 0, state.incarnation as u8], 7_000).into();
    let gossip = Gossip {
        sender: Some(state),
        ..Gossip::default()
    };
    let event = Event::Datagram(from, gossip.encode_to_vec().into());
    harness.control.handle(event, now);
}

/// A node with three engines of 64 slots, to none of which it can connect, and others.
fn cut_node(others: &[NodeState]) -> Harness {
    let mut harness = Harness::with_engines(3, 0);
    for state in others {
        hear(&mut harness, state.clone(), 10);
    }
    for id in ["e0", "e1", "e2"] {
        let event = Event::EndpointProbed(Endpoint::key_of(id), false);
        harness.control.handle(event, 20);
    }
    harness
}

fn place(harness: &mut Harness, number: u64) -> Result<(), Refusal> {
    let placed = harness.place(placement_request(None, number), 30);
    placed.expect("a decision").map(|_| ())
}

fn other_node(harness: &mut Harness, number: u64) -> Option<OtherNode> {
    match place(harness, number) {
        Err(Refusal::AtOtherNode(node)) => Some(node),
        _ => None,
    }
}

#[test]
fn nodes_of_the_same_zone_come_first_and_take_turns() {
    let others = [node(1, "zone-b"), node(2, "zone-a"), node(3, "zone-a")];
    let mut harness = cut_node(&others);
    let nodes: Vec<u64> = (0..8)
        .map(|number| {
            other_node(&mut harness, number)
                .expect("a node")
                .incarnation
        })
        .collect();
    let used: BTreeSet<u64> = nodes.iter().copied().collect();
    assert_eq!(used, BTreeSet::from([2, 3]));
    assert_eq!(nodes.iter().filter(|node| **node == 2).count(), 4);
}

#[test]
fn requests_beyond_the_bound_go_to_other_zones_and_then_nowhere() {
    let mut harness = cut_node(&[node(1, "zone-b"), node(2, "zone-a")]);
    let mut numbers = Vec::new();
    while let Some(node) = other_node(&mut harness, numbers.len() as u64) {
        numbers.push((node.incarnation, node.number));
        assert!(numbers.len() < 10_000, "no bound");
    }
    // Twice the slots of the engines, divided among the nodes.
    assert_eq!(numbers.len(), 2 * 3 * 64);
    assert!(numbers[..192].iter().all(|(node, _)| *node == 2));
    assert!(numbers[192..].iter().all(|(node, _)| *node == 1));
    let refusal = place(&mut harness, 10_000);
    assert!(matches!(refusal, Err(Refusal::CutOff { until }) if until > 30));
    harness
        .control
        .handle(Event::HandoverEnded(numbers[0].1), 31);
    let node = other_node(&mut harness, 10_001).expect("a node");
    assert_eq!(node.incarnation, 2);
}

#[test]
fn handed_requests_of_one_service_leave_room_for_another() {
    let mut harness = cut_node(&[node(1, "zone-a")]);
    let small = r#"{"Service":"small","Address":"10.0.0.2:80","Zone":"zone-a","Version":"v1","Slots":4,
        "State":"ready","Seq":1,"born":1}"#;
    for id in ["s0", "s1"] {
        harness.entry(id, Some(small), 21);
        let event = Event::EndpointProbed(Endpoint::key_of(id), false);
        harness.control.handle(event, 22);
    }
    for number in 0..16 {
        other_node(&mut harness, number).expect("a node");
    }
    let mut request = placement_request(None, 100);
    request.service = "small".into();
    request.model = None;
    let placed = harness.place(request, 30).expect("a decision");
    assert!(matches!(placed, Err(Refusal::AtOtherNode(_))), "{placed:?}");
}

#[test]
fn node_uses_the_endpoints_that_it_reaches_if_no_other_node_takes_the_request() {
    let mut harness = Harness::with_engines(5, 0);
    hear(&mut harness, node(1, "zone-a"), 10);
    for (id, is_reached) in [
        ("e3", true),
        ("e4", true),
        ("e0", false),
        ("e1", false),
        ("e2", false),
    ] {
        let event = Event::EndpointProbed(Endpoint::key_of(id), is_reached);
        harness.control.handle(event, 20);
    }
    assert!(harness.control.is_cut_off());
    let reached = [Endpoint::key_of("e3"), Endpoint::key_of("e4")];
    for number in 0..10 {
        let mut request = placement_request(None, number);
        request.tried_nodes = vec![1];
        let placed = harness.place(request, 30).expect("a decision");
        let grant = placed.expect("an endpoint");
        assert!(reached.contains(&grant.endpoint.key()), "{grant:?}");
    }
}

#[test]
fn handed_request_is_never_handed_on_again() {
    let mut harness = cut_node(&[node(1, "zone-a")]);
    let mut request = placement_request(None, 1);
    request.is_handed = true;
    let placed = harness.place(request, 30).expect("a decision");
    assert!(matches!(placed.err(), Some(Refusal::CutOff { .. })));
}

#[test]
fn nodes_that_cannot_take_a_request_get_none() {
    let mut old = node(2, "zone-a");
    old.takes_requests = false;
    let mut leaving = node(3, "zone-a");
    leaving.leaving = true;
    let mut cut = node(4, "zone-a");
    cut.cut_off = vec!["engines".to_owned()];
    let mut harness = cut_node(&[old, leaving, cut, node(5, "zone-b")]);
    let mut request = placement_request(None, 1);
    let first = other_node(&mut harness, 1).expect("a node");
    assert_eq!(first.incarnation, 5);
    request.tried_nodes = vec![5];
    let placed = harness.place(request, 30).expect("a decision");
    assert!(matches!(placed.err(), Some(Refusal::CutOff { .. })));
}

#[test]
fn requests_stay_if_no_node_reaches_the_service() {
    let mut cut = node(1, "zone-a");
    cut.cut_off = vec!["engines".to_owned()];
    let mut harness = cut_node(&[cut]);
    assert!(place(&mut harness, 1).is_ok());
}

/// Last bytes of the addresses that callers get; 1 of 127.0.0.1 stands for this node.
fn addresses(harness: &mut Harness, now: u64) -> Vec<u8> {
    harness.effects(now);
    let view = harness.view.load();
    let addresses = view.nodes.iter().map(|(address, _)| address.ip());
    let ips = addresses.filter_map(|ip| match ip {
        std::net::IpAddr::V4(ip) => Some(ip.octets()[3]),
        std::net::IpAddr::V6(_) => None,
    });
    ips.collect()
}

fn cut(mut state: NodeState) -> NodeState {
    state.cut_off = vec!["engines".to_owned()];
    state
}

#[test]
fn callers_are_not_sent_to_cut_nodes_while_half_of_all_are_left() {
    let others = [2, 3, 4].map(|number| node(number, "zone-a"));
    let mut harness = cut_node(&others);
    assert_eq!(addresses(&mut harness, 400), [2, 3, 4]);
    hear(&mut harness, cut(node(4, "zone-a")), 500);
    assert_eq!(addresses(&mut harness, 700), [2, 3]);
    hear(&mut harness, cut(node(3, "zone-a")), 800);
    assert_eq!(addresses(&mut harness, 1_000), [2, 3, 4, 1]);
}

#[test]
fn callers_are_sent_to_all_nodes_if_all_are_cut() {
    let mut harness = cut_node(&[cut(node(2, "zone-a"))]);
    assert_eq!(addresses(&mut harness, 400), [2, 1]);
}
