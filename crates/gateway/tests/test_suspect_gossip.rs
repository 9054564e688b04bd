//! How evidence against prompt parts reaches all nodes.

#[allow(dead_code, reason = "each test file needs a part of it")]
mod common;

use std::net::SocketAddr;

use common::{Harness, placement_request};
use flamingolock_gateway::control::suspects::{CrashedRun, RunSubjects};
use flamingolock_gateway::control::{Effect, Event, Refusal};
use flamingolock_wire::gossip::{CrashRecord, Gossip, NodeState, RecordedSuspects, SuspectRecord};
use prost::Message;

/// The first part of the request with id 1 of the harness.
const PART: u64 = 1;

fn crashes(harness: &mut Harness, count: u64, from: u64) {
    for number in 0..count {
        let run = CrashedRun {
            engine: from + number,
            service: "planning".into(),
            subjects: RunSubjects {
                parts: vec![PART],
                requests: Vec::new(),
            },
            sent_at: from + number * 1_000,
            ended_at: from + number * 1_000 + 100,
            begun: true,
        };
        harness
            .control
            .handle(Event::RunCrashed(run), from + number * 1_000 + 100);
    }
}

/// What the node sends about prompt parts, and to whom.
fn sent(effects: &[Effect]) -> Vec<(Vec<SocketAddr>, SuspectRecord)> {
    let mut sent = Vec::new();
    for effect in effects {
        if let Effect::SendDatagram(to, bytes) = effect {
            let gossip = Gossip::decode(bytes.clone()).expect("a datagram");
            let parts = gossip.suspects.into_iter();
            sent.extend(parts.map(|part| (to.clone(), part)));
        }
    }
    sent
}

fn refusal(harness: &mut Harness, now: u64) -> Option<Refusal> {
    let placed = harness.place(placement_request(None, PART), now);
    placed.expect("a decision").err()
}

fn stopped_part() -> SuspectRecord {
    let crashes = (0..3).map(|number| CrashRecord {
        engine: number,
        age_ms: 3_000 - number * 1_000,
        sent_before_ms: 100,
        evidence: 4,
        cleared: false,
    });
    SuspectRecord {
        id: PART,
        crashes: crashes.collect(),
    }
}

fn node_address(number: u8) -> SocketAddr {
    ([10, 0, 1, number], 7_000).into()
}

#[test]
fn node_that_saw_no_crash_refuses_requests_with_a_part_that_crashed_engines_elsewhere() {
    let mut seeing = Harness::with_engines(2, 0);
    let mut other = Harness::with_engines(2, 0);
    seeing.datagram(5, Gossip::default(), 900);
    crashes(&mut seeing, 3, 1_000);
    let parts: Vec<SuspectRecord> = sent(&seeing.effects(3_200))
        .into_iter()
        .map(|(_, part)| part)
        .collect();
    assert_eq!(refusal(&mut other, 3_250), None);
    let gossip = Gossip {
        suspects: parts,
        ..Gossip::default()
    };
    other.datagram(6, gossip, 3_300);
    assert!(matches!(
        refusal(&mut other, 3_310),
        Some(Refusal::StoppedPart { .. })
    ));
}

/// In large fleets the hub of a zone passes on what one node of it tells.
#[test]
fn hub_passes_on_evidence_once_to_all_nodes_of_its_zone() {
    let mut hub = Harness::with_engines(2, 0);
    for number in 0..20 {
        let node = 100 + u64::from(number);
        hub.datagram_from(node_address(number), node, Gossip::default(), 1_000);
    }
    hub.effects(1_010);
    let gossip = Gossip {
        suspects: vec![stopped_part()],
        ..Gossip::default()
    };
    hub.datagram_from(node_address(3), 103, gossip.clone(), 1_100);
    let told = sent(&hub.effects(1_110));
    let recipients: Vec<SocketAddr> = told.iter().flat_map(|(to, _)| to.clone()).collect();
    for number in 0..20 {
        assert!(recipients.contains(&node_address(number)), "{number}");
    }
    hub.datagram_from(node_address(3), 103, gossip, 1_200);
    assert!(sent(&hub.effects(1_210)).is_empty());
}

#[test]
fn node_that_starts_is_told_all_evidence() {
    let mut harness = Harness::with_engines(2, 0);
    crashes(&mut harness, 1, 1_000);
    harness.effects(1_200);
    harness.datagram(9, Gossip::default(), 5_000);
    let told = sent(&harness.effects(5_010));
    assert!(told.iter().any(|(_, part)| part.id == PART), "{told:?}");
}

/// In large fleets a request comes again at nodes of other zones.
#[test]
fn request_that_crashed_endpoints_elsewhere_is_refused_by_nodes_behind_hubs() {
    let mut hub = Harness::with_engines(2, 0);
    let mut node = Harness::with_engines(2, 0);
    for number in 0..20 {
        let incarnation = 100 + u64::from(number);
        hub.datagram_from(node_address(number), incarnation, Gossip::default(), 1_000);
    }
    hub.effects(1_010);
    let request = placement_request(None, PART).subjects.requests[0];
    let record = SuspectRecord {
        id: request,
        ..stopped_part()
    };
    let gossip = Gossip {
        suspect_requests: vec![record],
        ..Gossip::default()
    };
    hub.datagram_from(node_address(3), 103, gossip, 1_100);
    for effect in hub.effects(1_110) {
        if let Effect::SendDatagram(to, bytes) = effect
            && to.contains(&node_address(7))
        {
            let gossip = Gossip::decode(bytes).expect("a datagram");
            node.datagram_from(node_address(9), 109, gossip, 1_120);
        }
    }
    let refused = refusal(&mut node, 1_130);
    assert_eq!(refused, Some(Refusal::StoppedRequest { until: None }));
}

/// A node that has read the record of the suspects, as far as there was one.
fn with_engines(count: usize, now: u64) -> Harness {
    let mut harness = Harness::with_engines(count, now);
    harness.control.handle(Event::SuspectsRecovered, now);
    harness
}

fn recorded(harness: &mut Harness, now: u64) -> Option<RecordedSuspects> {
    let effects = harness.effects(now).into_iter();
    let mut records = effects.filter_map(|effect| match effect {
        Effect::RecordSuspects(record) => Some(record),
        _ => None,
    });
    records.next_back()
}

/// All nodes end after each second crash, which doesn't stop the part.
#[test]
fn crashes_before_all_nodes_ended_count_on_for_nodes_that_start() {
    let mut before = with_engines(2, 0);
    crashes(&mut before, 2, 1_000);
    assert_eq!(refusal(&mut before, 2_200), None);
    let record = recorded(&mut before, 2_300).expect("a record");
    let mut after = Harness::with_engines(2, 3_000);
    after.control.handle(Event::SuspectsRead(record), 3_100);
    assert_eq!(refusal(&mut after, 3_200), None);
    crashes(&mut after, 1, 4_000);
    assert!(matches!(
        refusal(&mut after, 4_200),
        Some(Refusal::StoppedPart { .. })
    ));
}

#[test]
fn one_crash_is_not_recorded() {
    let mut harness = with_engines(2, 0);
    crashes(&mut harness, 1, 1_000);
    assert_eq!(recorded(&mut harness, 2_300), None);
}

/// Guards against crashes that count no longer: the node of the first rank is cut off from
/// the store, no node records anything, and all of them end.
#[test]
fn suspects_are_recorded_while_the_first_rank_does_not_reach_the_store() {
    for (store_reachable, is_recorded) in [(true, false), (false, true)] {
        let mut harness = with_engines(2, 0);
        crashes(&mut harness, 2, 1_000);
        let sender = NodeState {
            incarnation: 3,
            callers: "10.0.1.3:80".to_owned(),
            ready: true,
            store_reachable,
            ..NodeState::default()
        };
        let gossip = Gossip {
            sender: Some(sender),
            ..Gossip::default()
        };
        let event = Event::Datagram(node_address(3), gossip.encode_to_vec().into());
        harness.control.handle(event, 2_200);
        assert_eq!(recorded(&mut harness, 2_300).is_some(), is_recorded);
    }
}

/// Guards against crashes that count no longer: a node that had not read the record yet
/// replaced it by what it saw itself, and all nodes ended.
#[test]
fn suspects_are_not_recorded_before_the_record_is_read() {
    let mut harness = Harness::with_engines(2, 0);
    crashes(&mut harness, 2, 1_000);
    assert_eq!(recorded(&mut harness, 2_300), None);
    let other = SuspectRecord {
        id: PART + 1,
        ..stopped_part()
    };
    let record = RecordedSuspects {
        parts: vec![other],
        requests: Vec::new(),
    };
    let event = Event::SuspectsRead(record);
    harness.control.handle(event, 2_400);
    harness.control.handle(Event::SuspectsRecovered, 2_400);
    let record = recorded(&mut harness, 3_500).expect("a record");
    let parts: Vec<u64> = record.parts.iter().map(|part| part.id).collect();
    assert_eq!(parts, [PART, PART + 1]);
    harness.control.handle(Event::SuspectsRecorded(true), 3_510);
    assert_eq!(recorded(&mut harness, 5_000), None, "it is stored");
    for era in [1, 2] {
        harness.control.handle(Event::StoreEra(era), 5_010);
    }
    let again = recorded(&mut harness, 6_000);
    assert!(again.is_some(), "the store came back without it");
}
