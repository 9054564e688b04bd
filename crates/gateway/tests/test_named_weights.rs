//! How long a node that starts uses weights that were superseded before.

use common::{Harness, placement_request};
use flamingolock_gateway::control::named_weights::{
    NamedVersion, NamedWeights, WriteTime, replaced_at,
};
use flamingolock_gateway::control::{Effect, Refusal};
use flamingolock_wire::gossip::{Gossip, NamedWeightsRecord};
use prost::Message;

#[allow(dead_code, reason = "each test file needs a part of it")]
mod common;

/// Returns what a node tells another one that has just started.
fn history(node: &mut Harness, started: u64, now: u64) -> Gossip {
    node.datagram(started, Gossip::default(), now);
    let datagrams = node.effects(now).into_iter().filter_map(|effect| {
        let Effect::SendDatagram(_, bytes) = effect else {
            return None;
        };
        Some(Gossip::decode(bytes).expect("a datagram"))
    });
    let mut told = datagrams.filter(|gossip| !gossip.named_weights.is_empty());
    told.next().expect("the history")
}

/// Starts a node whose engine has version 1 of the weights.
fn start(now: u64) -> Harness {
    let mut node = Harness::new();
    node.effects(now);
    node.catalog(1, now);
    node.engine("e0", 1, "ready", now);
    node
}

fn uses_old_weights(node: &mut Harness, now: u64) -> bool {
    let placement = node.place(placement_request(None, 1), now);
    match placement.expect("an answer at once") {
        Ok(_) => true,
        Err(Refusal::AllReloading) => false,
        Err(other) => panic!("{other:?}"),
    }
}

#[test]
fn superseded_weights_are_not_used_once_a_started_node_is_in_touch() {
    for read_at in [10_100, 11_500, 12_900] {
        let mut node = start(10_000);
        node.weights_before_start(2, read_at);
        let used = uses_old_weights(&mut node, read_at + 50);
        assert_eq!(used, read_at < 12_000, "read at {read_at}");
        let used = uses_old_weights(&mut node, 13_000);
        assert!(!used, "read at {read_at}");
    }
}

#[test]
fn started_node_uses_weights_as_long_as_those_that_were_there_when_they_were_superseded() {
    let mut old = start(9_000);
    old.weights(2, 10_000);
    for told_first in [true, false] {
        for (started_at, used, unused) in [(11_000, 14_500, 15_400), (15_400, 0, 15_500)] {
            let incarnation = started_at + u64::from(told_first);
            let told = history(&mut old, incarnation, started_at);
            let mut node = start(started_at);
            if told_first {
                node.datagram(5, told.clone(), started_at);
            }
            node.weights_before_start(2, started_at);
            if !told_first {
                node.datagram(5, told, started_at);
            }
            if used > 0 {
                assert!(uses_old_weights(&mut node, used), "{started_at}");
            }
            assert!(!uses_old_weights(&mut node, unused), "{started_at}");
        }
    }
}

#[test]
fn started_node_learns_of_versions_that_the_store_no_longer_has() {
    let mut old = start(9_000);
    old.weights(2, 10_000);
    old.weights(3, 14_000);
    let told = history(&mut old, 99, 15_000);
    assert_eq!(told.named_weights.len(), 2);
    let mut node = start(15_000);
    node.weights_before_start(3, 15_000);
    assert!(uses_old_weights(&mut node, 15_400));
    node.datagram(5, told, 15_410);
    assert!(!uses_old_weights(&mut node, 15_420));
}

#[test]
fn known_times_go_before_assumed_ones_and_the_earlier_of_these_first() {
    let record = |age_ms, is_assumed| NamedWeightsRecord {
        model: "m".to_owned(),
        version: 2,
        age_ms,
        is_assumed,
    };
    let mut named = NamedWeights::default();
    assert!(named.name("m", 2, WriteTime::assumed(5_000)));
    let replaced = |named: &NamedWeights| replaced_at(named.versions("m"), 1);
    for (told, expected) in [
        (record(4_000, true), 5_000),
        (record(6_000, true), 4_000),
        (record(1_000, false), 9_000),
        (record(9_000, true), 9_000),
    ] {
        named.merge(&[told], 10_000);
        assert_eq!(replaced(&named), Some(expected));
    }
    assert!(!named.name("m", 2, WriteTime::known(1)));
    assert!(named.name("m", 3, WriteTime::known(9_500)));
    assert_eq!(replaced(&named), Some(9_000));
    let list = named.list(10_000);
    assert_eq!((list[0].age_ms, list[1].age_ms), (1_000, 500));
}

#[test]
fn named_versions_stay_few_whatever_other_nodes_tell() {
    let mut named = NamedWeights::default();
    let records = (1..=100).rev().map(|version| NamedWeightsRecord {
        model: "m".to_owned(),
        version,
        age_ms: 101 - version,
        is_assumed: false,
    });
    let records: Vec<_> = records.collect();
    named.merge(&records, 1_000);
    assert!(named.versions("m").is_empty());
    assert!(named.name("m", 100, WriteTime::assumed(0)));
    named.merge(&records, 1_000);
    let versions: &[NamedVersion] = named.versions("m");
    assert!(versions.len() <= 16, "{}", versions.len());
    assert_eq!(replaced_at(versions, 0), Some(900));
    assert_eq!(replaced_at(versions, 99), Some(999));
    assert_eq!(replaced_at(versions, 100), None);
}
