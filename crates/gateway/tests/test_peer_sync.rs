//! Copies of the store's topics that a node gets from other nodes.

#[allow(dead_code, reason = "each test file needs a part of it")]
mod common;

use common::Harness;
use flamingolock_gateway::control::{Effect, Event, FollowedTopic, ReadRequest};
use flamingolock_gateway::copies::Copies;
use flamingolock_gateway::packing::{pack, unpack};
use flamingolock_gateway::peer_sync::Fetch;
use flamingolock_wire::gossip::{Gossip, NodeState, TopicCopyState};
use flamingolock_wire::topic_copies::CopiesRequest;
use proptest::prelude::*;
use prost::Message;

fn fetches(effects: &[Effect]) -> usize {
    effects
        .iter()
        .filter(|effect| matches!(effect, Effect::FetchCopies(_)))
        .count()
}

#[test]
fn node_does_not_start_another_fetch_of_copies_while_one_is_in_progress() {
    let mut harness = Harness::new();
    harness.control.handle(Event::StoreFailed, 20_000);
    let mut started = 0;
    for now in (20_000..25_000).step_by(50) {
        started += fetches(&harness.effects(now));
    }
    assert_eq!(started, 1);
}

#[test]
fn fetches_of_copies_become_rarer_while_they_fail() {
    let mut harness = Harness::new();
    harness.control.handle(Event::StoreFailed, 20_000);
    let mut started = Vec::new();
    for now in (20_000..60_000).step_by(50) {
        if fetches(&harness.effects(now)) > 0 {
            started.push(now);
            harness.control.handle(Event::PeerSyncFailed, now);
        }
    }
    assert!((5..=12).contains(&started.len()), "{started:?}");
    let gaps: Vec<_> = started.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(
        gaps.iter().skip(4).all(|gap| (4_000..=8_100).contains(gap)),
        "{gaps:?}"
    );
}

/// A node that has read the operator's records until `now`.
fn current_node(now: u64) -> Harness {
    let mut harness = Harness::new();
    harness.catalog(1, now);
    for topic in [FollowedTopic::Operator, FollowedTopic::Endpoints] {
        let end = harness.offset();
        let at = now;
        harness
            .control
            .handle(Event::TopicRead { topic, end, at }, now);
    }
    harness
}

/// Another node reports that it has records up to this offset.
fn report_newer(harness: &mut Harness, mark: u64, now: u64) {
    let operator = Some(TopicCopyState { mark, age_ms: 0 });
    let gossip = Gossip {
        operator,
        ..Gossip::default()
    };
    // Its incarnation makes it the reader of the store.
    harness.datagram(5, gossip, now);
}

/// Another node, which reads the store for all, reports at `sent_at` that it has records up to
/// this offset and that there is nothing newer. The report arrives at `now`.
fn reader_reports(harness: &mut Harness, mark: u64, sent_at: u64, now: u64) {
    let sender = NodeState {
        incarnation: 5,
        callers: "10.0.0.9:80".to_owned(),
        ready: true,
        store_reachable: true,
        control_port: 8,
        ..NodeState::default()
    };
    let operator = Some(TopicCopyState { mark, age_ms: 0 });
    let gossip = Gossip {
        sender: Some(sender),
        operator,
        sent_at_ms: sent_at,
        ..Gossip::default()
    };
    let from = ([10, 0, 0, 9], 7_000).into();
    let event = Event::Datagram(from, gossip.encode_to_vec().into());
    harness.control.handle(event, now);
}

fn fetch(effects: Vec<Effect>) -> Option<Fetch> {
    effects.into_iter().find_map(|effect| match effect {
        Effect::FetchCopies(fetch) => Some(fetch),
        _ => None,
    })
}

fn read_of_operator_topic(effects: &[Effect]) -> Option<ReadRequest> {
    effects.iter().find_map(|effect| match effect {
        Effect::ReadTopic(request) if request.topic == FollowedTopic::Operator => Some(*request),
        _ => None,
    })
}

fn reads_operator_topic(effects: &[Effect]) -> bool {
    read_of_operator_topic(effects).is_some()
}

#[test]
fn node_that_is_behind_asks_the_reporter_for_what_it_lacks_and_then_the_store() {
    let mut harness = current_node(10_000);
    report_newer(&mut harness, 100, 10_200);
    let effects = harness.effects(10_210);
    assert!(!reads_operator_topic(&effects));
    let fetch = fetch(effects).expect("a fetch");
    assert_eq!(fetch.sources, [([10, 0, 0, 9], 8).into()]);
    assert_eq!(fetch.request.known.len(), 1);
    assert!(!fetch.request.endpoints);
    assert!(!reads_operator_topic(&harness.effects(10_300)));
    harness.control.handle(Event::PeerSyncFailed, 10_400);
    assert!(reads_operator_topic(&harness.effects(10_410)));
}

#[test]
fn report_that_was_long_under_way_does_not_put_off_the_next_read() {
    let first_read = |arrival: u64| {
        let mut harness = current_node(10_000);
        let mark = harness.offset();
        reader_reports(&mut harness, mark, 10_010, 10_011);
        let mut times = 10_100..20_000;
        times.find(|now| {
            if *now == arrival {
                reader_reports(&mut harness, mark, 10_200, arrival);
            }
            reads_operator_topic(&harness.effects(*now))
        })
    };
    assert_eq!(first_read(10_201), first_read(11_000));
}

#[test]
fn node_asks_the_reporter_while_its_read_of_the_store_is_slow() {
    let mut harness = current_node(10_000);
    assert!(reads_operator_topic(&harness.effects(10_010)));
    report_newer(&mut harness, 100, 10_200);
    assert!(fetch(harness.effects(10_210)).is_none());
    report_newer(&mut harness, 100, 10_400);
    assert!(fetch(harness.effects(10_410)).is_some());
}

/// Copies up to an offset in which nothing is new.
fn copies_to(operator_end: u64, requested_at: u64) -> Copies {
    Copies {
        requested_at,
        operator: Vec::new(),
        operator_end,
        operator_age: 0,
        endpoints: Vec::new(),
        endpoints_age: 0,
    }
}

#[test]
fn copies_that_were_long_under_way_do_not_put_off_the_next_read() {
    let first_read = |arrival: u64| {
        let mut harness = current_node(10_000);
        reader_reports(&mut harness, 100, 10_200, 10_200);
        fetch(harness.effects(10_210)).expect("a fetch");
        let received = Event::PeerSyncReceived(Box::new(copies_to(100, 10_210)));
        harness.control.handle(received, arrival);
        let mut times = arrival..20_000;
        times.find(|now| reads_operator_topic(&harness.effects(*now)))
    };
    assert_eq!(first_read(10_211), first_read(11_100));
}

#[test]
fn store_is_read_from_the_end_of_what_another_node_sent() {
    let mut harness = current_node(10_000);
    report_newer(&mut harness, 100, 10_200);
    fetch(harness.effects(10_210)).expect("a fetch");
    let received = Event::PeerSyncReceived(Box::new(copies_to(100, 10_210)));
    harness.control.handle(received, 10_300);
    let read = read_of_operator_topic(&harness.effects(20_000)).expect("a read");
    assert_eq!(read.known_end, 100);
}

#[test]
fn node_offers_only_records_that_the_other_one_lacks() {
    let mut harness = Harness::new();
    harness.large_catalog(1, 100);
    harness.weights(1, 100);
    let known = harness.offer(CopiesRequest::default(), 200).operator;
    let known: Vec<_> = known.into_iter().map(|(record, _)| record).collect();
    let request = CopiesRequest {
        known: known
            .iter()
            .map(|record| flamingolock_wire::topic_copies::KnownRecord {
                key: record.key.clone(),
                offset: record.offset,
            })
            .collect(),
        endpoints: false,
    };
    assert!(harness.offer(request.clone(), 300).operator.is_empty());
    harness.large_catalog(2, 400);
    let offer = harness.offer(request, 500);
    let [(record, Some(base))] = offer.operator.as_slice() else {
        panic!("{offer:?}");
    };
    assert_eq!(record.key, "op/config");
    assert_eq!(Some(base), known.iter().find(|known| known.key == base.key));
}

/// One route more among thousands costs a few hundred bytes.
#[test]
fn changed_value_is_packed_into_its_difference() {
    let route = |number: u64| format!("{{\"Name\":\"r-{number}\",\"Key\":{}}}", number * 7_919);
    let text = |count| (0..count).map(route).collect::<String>();
    let (old, new) = (text(14_000), text(14_001));
    let packed = pack(new.as_bytes(), old.as_bytes()).expect("it can be packed");
    assert!(packed.len() < 1_000, "{}", packed.len());
    let unpacked = unpack(&packed, old.as_bytes()).expect("it can be unpacked");
    assert_eq!(unpacked, new.as_bytes());
    assert!(unpack(&packed, b"another base").is_err());
}

proptest! {
    #[test]
    fn packed_values_come_back(
        value in prop::collection::vec(any::<u8>(), 0..4_000),
        base in prop::collection::vec(any::<u8>(), 0..4_000),
    ) {
        let packed = pack(&value, &base).expect("it can be packed");
        prop_assert_eq!(unpack(&packed, &base).expect("it can be unpacked"), value);
    }

    #[test]
    fn bytes_that_are_not_packed_values_are_refused(
        bytes in prop::collection::vec(any::<u8>(), 1..400),
    ) {
        prop_assert!(unpack(&bytes, b"").is_err());
    }
}
