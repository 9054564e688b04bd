//! Which endpoints a node reaches, and what it tells the others of that.

use std::collections::BTreeSet;
use std::sync::Arc;

use common::{Harness, placement_request};
use flamingolock_gateway::control::reach::Reach;
use flamingolock_gateway::control::suspects::CrashedRun;
use flamingolock_gateway::control::{Effect, Event, Grant, Refusal, RunEnd};
use flamingolock_gateway::endpoint::{Endpoint, EndpointKey};
use flamingolock_wire::gossip::{Gossip, NodeState};
use prost::Message;
use xxhash_rust::xxh3::xxh3_64_with_seed;

#[allow(dead_code, reason = "each test file needs a part of it")]
mod common;

/// A service with these endpoints.
struct Service {
    name: Arc<str>,
    listed: BTreeSet<EndpointKey>,
    reach: Reach,
}

impl Service {
    fn new(count: u64) -> Self {
        Self {
            name: "engines".into(),
            listed: (1..=count).collect(),
            reach: Reach::default(),
        }
    }

    fn fail(&mut self, endpoints: impl IntoIterator<Item = u64>, now: u64) {
        for endpoint in endpoints {
            self.reach.connect_failed(&self.name, endpoint, now);
        }
    }

    fn connect(&mut self, endpoints: impl IntoIterator<Item = u64>, now: u64) {
        for endpoint in endpoints {
            self.reach.connected(&self.name, endpoint, now);
        }
    }

    /// Returns the probes that are due.
    fn probes(&mut self, now: u64) -> Vec<EndpointKey> {
        self.reach.update(&self.name, &self.listed, now).probes
    }

    fn is_cut(&self) -> bool {
        self.reach.is_cut(&self.name)
    }
}

#[test]
fn cut_is_found_after_one_failed_connect_and_a_round_of_probes() {
    let mut service = Service::new(6);
    service.fail([1], 100);
    let probes = service.probes(100);
    assert_eq!(probes.iter().filter(|key| **key != 1).count(), 5);
    assert!(!service.is_cut());
    service.fail(probes, 350);
    service.probes(350);
    assert!(service.is_cut());
}

#[test]
fn one_unreachable_endpoint_of_several_is_no_cut() {
    let mut service = Service::new(3);
    service.fail([1, 1, 1], 100);
    let probes = service.probes(100);
    service.connect(probes.into_iter().filter(|key| *key != 1), 110);
    service.fail([1], 350);
    service.probes(350);
    assert!(!service.is_cut());
}

#[test]
fn single_failure_at_the_only_endpoint_is_no_cut() {
    let mut service = Service::new(1);
    service.fail([1], 100);
    service.probes(100);
    assert!(!service.is_cut());
    service.fail([1], 350);
    service.probes(350);
    assert!(service.is_cut());
}

#[test]
fn half_of_the_endpoints_unreachable_is_no_cut() {
    let mut service = Service::new(8);
    service.fail(1..=4, 100);
    service.connect(5..=8, 110);
    service.probes(120);
    assert!(!service.is_cut());
    service.fail([5], 130);
    service.probes(130);
    assert!(service.is_cut());
}

#[test]
fn sample_shows_a_cut_of_a_large_service() {
    let mut service = Service::new(200);
    service.fail([1], 100);
    let probes = service.probes(100);
    assert!(probes.len() <= 8, "{probes:?}");
    service.fail(probes, 350);
    service.probes(350);
    assert!(service.is_cut());
}

#[test]
fn crashes_of_a_tenth_of_a_large_service_are_no_cut() {
    let mut service = Service::new(100);
    service.connect(21..=100, 50);
    service.fail(1..=10, 100);
    service.connect(11..=20, 100);
    service.probes(110);
    assert!(!service.is_cut());
}

#[test]
fn silence_of_all_endpoints_leads_to_probes_and_that_of_one_to_none() {
    let mut service = Service::new(3);
    for endpoint in 1..=2 {
        let times = (100, 400);
        service
            .reach
            .run_sent(&service.name, endpoint, endpoint, times);
    }
    assert!(service.probes(399).is_empty());
    let name = service.name.clone();
    service.reach.run_sent(&name, 3, 3, (100, 400));
    service.reach.heard(&name, 3, 350);
    assert!(service.probes(500).is_empty());
    let mut silent = Service::new(3);
    for endpoint in 1..=2 {
        let times = (100, 400);
        silent
            .reach
            .run_sent(&silent.name, endpoint, endpoint, times);
    }
    assert!(silent.reach.is_active(400));
    assert_eq!(silent.probes(400), [1, 2]);
}

#[test]
fn answers_over_kept_connections_do_not_hide_that_new_ones_fail() {
    let mut service = Service::new(3);
    service.fail(1..=3, 100);
    let name = service.name.clone();
    service.reach.heard(&name, 1, 110);
    service.probes(120);
    assert!(service.is_cut());
}

#[test]
fn unreachable_endpoints_are_probed_twice_a_second_in_turns() {
    let mut service = Service::new(4);
    service.fail(1..=4, 0);
    let mut probed = Vec::new();
    for now in (500..2_500).step_by(10) {
        for key in service.probes(now) {
            probed.push(key);
            service.fail([key], now);
        }
    }
    assert_eq!(probed, [1, 2, 3, 4]);
}

#[test]
fn first_success_leads_to_probes_of_all_and_to_the_end_of_the_cut() {
    let mut service = Service::new(6);
    service.fail(1..=6, 100);
    service.probes(100);
    assert!(service.is_cut());
    let first = service.probes(700);
    assert_eq!(first.len(), 1);
    service.connect(first, 710);
    let rest = service.probes(711);
    assert_eq!(rest.len(), 5, "{rest:?}");
    assert!(service.is_cut());
    service.connect(rest, 720);
    service.probes(721);
    assert!(!service.is_cut());
    assert!(!service.reach.is_active(800));
}

/// A node with three engines, to none of which it can connect.
fn cut_node() -> Harness {
    let mut harness = Harness::with_engines(3, 0);
    harness.datagram(9, Gossip::default(), 200);
    for id in ["e0", "e1", "e2"] {
        let event = Event::EndpointProbed(Endpoint::key_of(id), false);
        harness.control.handle(event, 250);
    }
    harness
}

fn fail(harness: &mut Harness, grant: &Grant, now: u64) {
    let ended = Event::RunEnded {
        endpoint: grant.endpoint.key(),
        run_number: grant.run_number,
        end: RunEnd::NeverConnected,
        model: None,
    };
    harness.control.handle(ended, now);
}

/// Messages that the node sends.
fn messages(effects: &[Effect]) -> Vec<Gossip> {
    let datagrams = effects.iter().filter_map(|effect| match effect {
        Effect::SendDatagram(_, bytes) => Some(bytes.clone()),
        _ => None,
    });
    datagrams
        .map(|bytes| Gossip::decode(bytes).expect("a message"))
        .collect()
}

fn probed(harness: &mut Harness, reached: bool, now: u64) {
    let effects = harness.effects(now);
    let probes = effects.into_iter().filter_map(|effect| match effect {
        Effect::ProbeEndpoint(endpoint, _) => Some(endpoint),
        _ => None,
    });
    for endpoint in probes {
        let event = Event::EndpointProbed(endpoint.key(), reached);
        harness.control.handle(event, now + 1);
    }
}

#[test]
fn cut_node_tells_the_others_and_is_back_after_the_cut() {
    let mut harness = cut_node();
    probed(&mut harness, false, 1_000);
    harness.datagram(9, Gossip::default(), 1_050);
    let told = messages(&harness.effects(1_300));
    let state = told.last().and_then(|gossip| gossip.sender.clone());
    assert_eq!(state.expect("a state").cut_off, ["engines"]);
    assert!(harness.control.is_cut_off());
    for now in (1_600..3_000).step_by(50) {
        harness.datagram(9, Gossip::default(), now);
        probed(&mut harness, true, now);
    }
    assert!(!harness.control.is_cut_off());
    let told = messages(&harness.effects(3_300));
    let state = told.last().and_then(|gossip| gossip.sender.clone());
    assert!(state.expect("a state").cut_off.is_empty());
}

#[test]
fn endpoints_that_no_node_reaches_are_no_cut_of_this_one() {
    let mut harness = cut_node();
    let mut sender = NodeState {
        incarnation: 9,
        callers: "10.0.0.9:80".to_owned(),
        zone: "zone-a".to_owned(),
        ready: true,
        ..Default::default()
    };
    sender.cut_off = vec!["engines".to_owned()];
    let gossip = Gossip {
        sender: Some(sender),
        ..Gossip::default()
    };
    let from = ([10, 0, 0, 9], 7_000).into();
    let event = Event::Datagram(from, gossip.encode_to_vec().into());
    harness.control.handle(event, 1_000);
    probed(&mut harness, false, 1_050);
    assert!(!harness.control.is_cut_off());
}

#[test]
fn cut_node_reports_no_faults_of_endpoints_once_it_suspects_the_path() {
    let mut harness = Harness::with_engines(3, 0);
    harness.datagram(9, Gossip::default(), 0);
    let grants: Vec<_> = (1..=6)
        .map(|number| {
            let placed = harness.place(placement_request(None, number * 10), 10);
            placed.expect("a decision").expect("a placement")
        })
        .collect();
    harness.effects(20);
    for grant in &grants {
        fail(&mut harness, grant, 250);
    }
    let told = messages(&harness.effects(260));
    let faults: usize = told.iter().map(|gossip| gossip.faults.len()).sum();
    let first = grants[0].endpoint.key();
    let distinct = grants
        .iter()
        .position(|grant| grant.endpoint.key() != first);
    assert!(
        faults <= distinct.unwrap_or(grants.len()),
        "{faults} faults"
    );
}

#[test]
fn runs_on_the_way_to_unreachable_endpoints_end_for_the_others() {
    let mut harness = Harness::with_engines(3, 0);
    harness.datagram(9, Gossip::default(), 0);
    let waiting = harness.place(placement_request(None, 1), 10);
    let waiting = waiting.expect("a decision").expect("a placement");
    for (id, now) in [("e0", 250), ("e1", 260), ("e2", 270)] {
        let key = Endpoint::key_of(id);
        harness
            .control
            .handle(Event::EndpointProbed(key, false), now);
    }
    let told = messages(&harness.effects(280));
    let ended = told
        .iter()
        .flat_map(|gossip| &gossip.runs)
        .any(|run| run.number == waiting.run_number && run.step == 3);
    assert!(ended, "{told:?}");
}

/// Lets runs of a request end at one engine after the other, and returns how many records
/// against requests the node sends.
fn lose_runs(harness: &mut Harness) -> usize {
    for (id, now) in [("e0", 300), ("e1", 400), ("e2", 500)] {
        let run = CrashedRun {
            engine: xxh3_64_with_seed(id.as_bytes(), 1),
            service: "planning".into(),
            subjects: placement_request(None, 1).subjects,
            sent_at: now,
            ended_at: now + 50,
            begun: true,
        };
        harness.control.handle(Event::RunCrashed(run), now + 50);
    }
    told_against_requests(harness, 600)
}

fn told_against_requests(harness: &mut Harness, now: u64) -> usize {
    let told = messages(&harness.effects(now));
    told.iter()
        .map(|gossip| gossip.suspect_requests.len())
        .sum()
}

fn is_refused(harness: &mut Harness, now: u64) -> bool {
    let mut request = placement_request(None, 1);
    request.may_hand_over = false;
    let placed = harness.place(request, now).expect("a decision");
    matches!(
        placed,
        Err(Refusal::StoppedRequest { .. } | Refusal::StoppedPart { .. })
    )
}

fn heartbeats(harness: &mut Harness, number: u64, now: u64) {
    for id in ["e0", "e1", "e2"] {
        harness.heartbeat(id, number, now);
    }
}

#[test]
fn runs_that_a_cut_breaks_are_no_evidence_against_their_request() {
    let mut harness = cut_node();
    assert_eq!(lose_runs(&mut harness), 0);
    assert!(!is_refused(&mut harness, 610));
    // One heartbeat may have been under way when the run ended.
    heartbeats(&mut harness, 2, 650);
    heartbeats(&mut harness, 3, 700);
    harness.effects(750);
    for id in ["e0", "e1", "e2"] {
        harness.engine(id, 5, "ready", 800);
    }
    assert_eq!(told_against_requests(&mut harness, 900), 0);
    assert!(!is_refused(&mut harness, 950));
}

#[test]
fn crashes_during_a_cut_count_once_the_endpoints_are_seen_to_have_ended() {
    let mut harness = cut_node();
    lose_runs(&mut harness);
    heartbeats(&mut harness, 2, 650);
    harness.engine("e0", 5, "ready", 800);
    harness.entry("e1", None, 800);
    harness.engine("e2", 5, "ready", 800);
    assert!(told_against_requests(&mut harness, 900) > 0);
    assert!(is_refused(&mut harness, 950));
}

fn fail_probes(harness: &mut Harness, now: u64) {
    for id in ["e0", "e1", "e2"] {
        let event = Event::EndpointProbed(Endpoint::key_of(id), false);
        harness.control.handle(event, now);
    }
}

fn first_token(harness: &mut Harness, grant: &Grant, now: u64) {
    let event = Event::FirstToken {
        endpoint: grant.endpoint.key(),
        run_number: grant.run_number,
        weights: None,
        model: None,
    };
    harness.control.handle(event, now);
}

fn place(harness: &mut Harness, id: u64, now: u64) -> Grant {
    let placed = harness.place(placement_request(None, id), now);
    placed.expect("a decision").expect("a placement")
}

/// Steps of a run that the node tells the others.
fn steps(harness: &mut Harness, grant: &Grant, now: u64) -> Vec<u32> {
    let told = messages(&harness.effects(now));
    told.into_iter()
        .flat_map(|gossip| gossip.runs)
        .filter(|run| run.number == grant.run_number)
        .map(|run| run.step)
        .collect()
}

#[test]
fn runs_at_endpoints_that_no_other_node_reaches_stay_counted() {
    let mut harness = Harness::with_engines(3, 0);
    harness.datagram(9, Gossip::default(), 0);
    let grant = place(&mut harness, 1, 10);
    let sender = NodeState {
        incarnation: 9,
        callers: "10.0.0.9:80".to_owned(),
        zone: "zone-a".to_owned(),
        ready: true,
        cut_off: vec!["engines".to_owned()],
        ..NodeState::default()
    };
    let gossip = Gossip {
        sender: Some(sender),
        ..Gossip::default()
    };
    let from = ([10, 0, 0, 9], 7_000).into();
    let event = Event::Datagram(from, gossip.encode_to_vec().into());
    harness.control.handle(event, 100);
    fail_probes(&mut harness, 250);
    assert!(!harness.control.is_cut_off());
    assert_eq!(steps(&mut harness, &grant, 300), [0]);
}

#[test]
fn runs_in_the_queue_of_an_endpoint_that_answers_old_connections_stay_counted() {
    let mut harness = Harness::with_engines(1, 0);
    harness.datagram(9, Gossip::default(), 0);
    let waiting = place(&mut harness, 1, 10);
    let answered = place(&mut harness, 50, 20);
    first_token(&mut harness, &answered, 100);
    for now in [250, 260] {
        let event = Event::EndpointProbed(waiting.endpoint.key(), false);
        harness.control.handle(event, now);
    }
    assert!(harness.control.is_cut_off());
    assert_eq!(steps(&mut harness, &waiting, 300), [0]);
}

#[test]
fn withdrawn_run_counts_again_with_its_first_token() {
    let mut harness = Harness::with_engines(3, 0);
    harness.datagram(9, Gossip::default(), 0);
    let grant = place(&mut harness, 1, 10);
    fail_probes(&mut harness, 250);
    assert_eq!(steps(&mut harness, &grant, 280), [0, 3]);
    first_token(&mut harness, &grant, 300);
    assert_eq!(steps(&mut harness, &grant, 400), [1]);
}
