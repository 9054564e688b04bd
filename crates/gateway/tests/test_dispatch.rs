//! Less urgent requests while more come than the engines can begin.

#[allow(dead_code, reason = "each test file needs a part of it")]
mod common;

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use common::{Harness, placement_request};
use flamingolock_gateway::control::dispatch::{DispatchRate, Room, Turns, Waiting};
use flamingolock_gateway::control::{Event, Grant, Placement, PlacementRequest, Refusal, RunEnd};
use flamingolock_gateway::endpoint::{Endpoint, EndpointKey};
use flamingolock_wire::gossip::{Gossip, NodeState, Run};
use prost::Message;
use tokio::sync::oneshot;

/// Routes of the tests: priority, and target in ms.
const URGENT: (u8, u64) = (0, 800);
const PATIENT: (u8, u64) = (2, 2_000);

/// Deadline of the patient requests, in ms.
const PATIENT_DEADLINE_MS: u64 = 3_000;

/// Prompt tokens that the engines of the played load read in a ms.
const TOKENS_PER_MS: u64 = 60;

fn request_of((priority, target_ms): (u8, u64), id: u64, tokens: u32) -> PlacementRequest {
    let mut request = placement_request(None, 10 + id * 10);
    request.priority = priority;
    request.target = Duration::from_millis(target_ms);
    request.max_wait = request.target;
    request.time_limit = Duration::from_millis(if priority == PATIENT.0 {
        PATIENT_DEADLINE_MS
    } else {
        15_000
    });
    request.parts.drain(..2);
    request.parts[0].tokens = tokens;
    request.prompt_tokens = tokens;
    request
}

/// A node that knows of a queue of this length at its only engine.
fn busy_node(queue_ms: u32) -> Harness {
    let mut harness = Harness::with_engines(1, 0);
    harness.priority_catalog(2, &[URGENT, PATIENT], 0);
    let run = Run {
        number: 1,
        endpoint: Endpoint::key_of("e0"),
        prefill_us: queue_ms * 1_000,
        ..Run::default()
    };
    harness.gossip(9, &[run], 100);
    harness
}

/// Guards against patient requests that fill the queue at an engine ahead of urgent ones.
#[test]
fn patient_request_waits_at_the_node_and_urgent_one_is_sent() {
    let mut harness = busy_node(400);
    let patient = harness.place(request_of(PATIENT, 1, 1_800), 100);
    assert!(patient.is_none(), "{patient:?}");
    let urgent = harness.place(request_of(URGENT, 2, 1_800), 100);
    assert!(matches!(urgent, Some(Ok(_))), "{urgent:?}");
}

/// Guards against patient requests that wait though the queues are short.
#[test]
fn patient_request_is_sent_to_a_short_queue() {
    let mut harness = busy_node(60);
    let patient = harness.place(request_of(PATIENT, 1, 1_800), 100);
    assert!(matches!(patient, Some(Ok(_))), "{patient:?}");
}

/// Guards against a limit for services whose requests are all as urgent.
#[test]
fn requests_of_one_priority_do_not_wait_at_the_node() {
    let mut harness = busy_node(400);
    harness.priority_catalog(3, &[PATIENT], 100);
    let placement = harness.place(request_of(PATIENT, 1, 1_800), 100);
    assert!(matches!(placement, Some(Ok(_))), "{placement:?}");
}

/// Guards against less urgent requests that miss their target by waiting for urgent ones, though
/// it is as small as theirs.
#[test]
fn request_with_the_target_of_urgent_ones_does_not_wait_at_the_node() {
    let mut harness = busy_node(400);
    let alike = (1, URGENT.1);
    harness.priority_catalog(3, &[URGENT, alike], 100);
    let placement = harness.place(request_of(alike, 1, 1_800), 100);
    assert!(matches!(placement, Some(Ok(_))), "{placement:?}");
}

/// Guards against requests that wait although those ahead of them take longer than the target.
#[test]
fn expected_wait_follows_the_rate_of_dispatches() {
    let mut rate = DispatchRate::default();
    for at in 0..20 {
        rate.record(2, 1_000 + at * 50);
    }
    let ahead = |count, oldest_ms| Waiting { count, oldest_ms };
    // Twenty a second.
    assert!((rate.wait_ms(2, ahead(10, 400), 1_999) - 500.0).abs() < 1.0);
    assert!((rate.wait_ms(2, ahead(2, 400), 1_999) - 400.0).abs() < 1.0);
    assert!(rate.wait_ms(2, ahead(10, 50), 1_999) < 100.0);
    // Those of less urgent requests do not count.
    assert!(rate.wait_ms(1, ahead(10, 400), 1_999) >= 4_000.0);
    // Nothing was dispatched for a second.
    assert!(rate.wait_ms(2, ahead(10, 1_500), 4_000) >= 10_000.0);
}

/// Guards against refusals at nodes with few callers: where nothing was dispatched for a fraction
/// of a second, the next request was expected to wait for a minute.
#[test]
fn expected_wait_without_a_dispatch_is_what_the_first_one_waited() {
    let mut rate = DispatchRate::default();
    let ahead = |count, oldest_ms| Waiting { count, oldest_ms };
    assert!((rate.wait_ms(2, ahead(1, 300), 1_000) - 300.0).abs() < 1.0);
    assert!((rate.wait_ms(2, ahead(2, 300), 1_000) - 600.0).abs() < 1.0);
    assert!((rate.wait_ms(2, ahead(1, 1_500), 4_000) - 1_500.0).abs() < 1.0);
}

/// An engine that reads prompts one after the other in order of arrival.
#[derive(Default)]
struct Engine {
    free_at: u64,
}

#[derive(Default)]
struct Counts {
    sent: usize,
    in_target: usize,
    after_deadline: usize,
    refused: usize,
    late_refusals: usize,
}

/// One node and its engines in simulated time.
struct Play {
    harness: Harness,
    now: u64,
    number: u64,
    engines: BTreeMap<EndpointKey, Engine>,
    waiting: VecDeque<(u64, PlacementRequest, oneshot::Receiver<Placement>)>,
    first_tokens: BTreeMap<(u64, u64), Grant>,
    counts: BTreeMap<u8, Counts>,
}

impl Play {
    fn start(engines: usize) -> Self {
        let mut harness = Harness::with_engines(engines, 0);
        harness.priority_catalog(2, &[URGENT, PATIENT], 0);
        Self {
            harness,
            now: 100,
            number: 0,
            engines: BTreeMap::new(),
            waiting: VecDeque::new(),
            first_tokens: BTreeMap::new(),
            counts: BTreeMap::new(),
        }
    }

    fn ask(&mut self, route: (u8, u64), tokens: u32) {
        self.number += 1;
        let request = request_of(route, self.number, tokens);
        let (sender, receiver) = oneshot::channel();
        let event = Event::Place(Box::new(request.clone()), sender);
        self.harness.control.handle(event, self.now);
        self.waiting.push_back((self.now, request, receiver));
    }

    /// Runs until `end`, with this many requests of each kind a second.
    fn run_until(&mut self, end: u64, urgent: u64, patient: u64) {
        while self.now < end {
            self.now += 1;
            let due = |per_second: u64| {
                self.now * per_second / 1_000 > (self.now - 1) * per_second / 1_000
            };
            let (is_urgent, is_patient) = (due(urgent), due(patient));
            if is_urgent {
                self.ask(URGENT, 6_000);
            }
            if is_patient {
                self.ask(PATIENT, 1_800);
            }
            self.harness.control.tick(self.now);
            self.harness.control.effects.clear();
            self.collect();
            self.deliver();
        }
    }

    fn collect(&mut self) {
        for _ in 0..self.waiting.len() {
            let Some((asked_at, request, mut receiver)) = self.waiting.pop_front() else {
                return;
            };
            let counts = self.counts.entry(request.priority).or_default();
            match receiver.try_recv() {
                Ok(Ok(grant)) => {
                    counts.sent += 1;
                    let engine = self.engines.entry(grant.endpoint.key()).or_default();
                    let read_ms = u64::from(request.prompt_tokens) / TOKENS_PER_MS;
                    engine.free_at = engine.free_at.max(self.now) + read_ms;
                    let target_ms = request.target.as_millis() as u64;
                    if engine.free_at <= asked_at + target_ms {
                        counts.in_target += 1;
                    }
                    if engine.free_at > asked_at + PATIENT_DEADLINE_MS {
                        counts.after_deadline += 1;
                    }
                    let key = (engine.free_at, grant.run_number);
                    self.first_tokens.insert(key, grant);
                }
                Ok(Err(Refusal::Overloaded { .. })) => {
                    counts.refused += 1;
                    counts.late_refusals += usize::from(self.now > asked_at + 50);
                }
                Ok(Err(other)) => panic!("{other:?}"),
                Err(_) => self.waiting.push_back((asked_at, request, receiver)),
            }
        }
    }

    fn deliver(&mut self) {
        while let Some(first) = self.first_tokens.first_entry() {
            if first.key().0 > self.now {
                return;
            }
            let grant = first.remove();
            let (endpoint, run_number) = (grant.endpoint.key(), grant.run_number);
            let model = Some("m".to_owned());
            let first_token = Event::FirstToken {
                endpoint,
                run_number,
                weights: None,
                model: model.clone(),
            };
            self.harness.control.handle(first_token, self.now);
            let ended = Event::RunEnded {
                endpoint,
                run_number,
                end: RunEnd::Complete,
                model,
            };
            self.harness.control.handle(ended, self.now);
        }
    }

    fn counts(&mut self, route: (u8, u64)) -> Counts {
        self.counts.remove(&route.0).unwrap_or_default()
    }
}

/// A burst of patient short prompts, 1.7 times what the engines can read together with the
/// urgent long ones. Guards against urgent requests that are refused or late behind patient ones,
/// and against patient ones that are accepted and then begin after their deadline.
#[test]
fn burst_of_patient_requests_neither_delays_urgent_ones_nor_itself() {
    let mut play = Play::start(4);
    // The engines read 8 urgent prompts and 107 patient ones a second.
    play.run_until(4_000, 8, 60);
    play.counts.clear();
    play.run_until(11_000, 8, 180);
    let urgent = play.counts(URGENT);
    assert_eq!(urgent.refused, 0, "urgent requests refused");
    assert_eq!(urgent.in_target, urgent.sent, "urgent requests in time");
    let patient = play.counts(PATIENT);
    let possible = 7 * 107;
    assert!(
        patient.in_target * 10 >= possible * 9,
        "{} patient requests in time, {possible} possible",
        patient.in_target
    );
    assert!(
        patient.after_deadline * 100 <= patient.sent,
        "{} of {} accepted requests begin after their deadline",
        patient.after_deadline,
        patient.sent
    );
    assert!(
        patient.late_refusals * 100 <= patient.refused,
        "{} of {} refusals came late",
        patient.late_refusals,
        patient.refused
    );
    play.run_until(13_000, 8, 60);
    play.counts.clear();
    play.run_until(17_000, 8, 60);
    let after = play.counts(PATIENT);
    assert!(
        after.in_target * 100 >= 95 * (after.sent + after.refused),
        "{} of {} in time two seconds after the burst",
        after.in_target,
        after.sent + after.refused
    );
}

/// Guards against a workspace that overtakes others because it sent nothing before, and against
/// requests of one workspace that overtake each other.
#[test]
fn workspaces_take_turns_in_order_of_arrival() {
    let mut turns = Turns::default();
    let flood: Vec<u64> = (0..5).map(|_| turns.next(Some("large"))).collect();
    assert_eq!(flood, [0, 1, 2, 3, 4]);
    assert_eq!(turns.next(Some("small")), 0);
    turns.serve(3);
    assert_eq!(turns.next(Some("small")), 3);
    assert_eq!(turns.next(Some("small")), 4);
    assert_eq!(turns.next(Some("large")), 5);
    assert_eq!(turns.next(None), 3);
}

/// Guards against requests that are refused because they would be late, though they could still
/// be complete long before their deadline.
#[test]
fn request_with_time_until_its_deadline_waits_beyond_its_target() {
    let mut harness = Harness::with_engines(1, 0);
    let less_urgent = (1, 1_000);
    harness.priority_catalog(2, &[URGENT, less_urgent], 0);
    let run = Run {
        number: 1,
        endpoint: Endpoint::key_of("e0"),
        prefill_us: 2_000_000,
        ..Run::default()
    };
    harness.gossip(9, &[run], 100);
    let waiting = harness.place(request_of(less_urgent, 1, 6_000), 100);
    assert!(waiting.is_none(), "{waiting:?}");
    let mut short = request_of(less_urgent, 2, 6_000);
    short.time_limit = Duration::from_secs(1);
    let refused = harness.place(short, 100);
    assert!(
        matches!(refused, Some(Err(Refusal::Overloaded { .. }))),
        "{refused:?}"
    );
}

/// Nodes of the herd test, and the requests that wait at each.
const HERD_NODES: u64 = 40;
const HERD_WAITING: u64 = 3;

/// A node at whose only engine a long queue ends, where requests wait as at all other nodes.
fn herd_node(number: u64) -> (Harness, Vec<oneshot::Receiver<Placement>>) {
    let mut harness = busy_node(1_000);
    for other in (0..HERD_NODES).filter(|other| *other != number) {
        let address: SocketAddr = ([10, 0, 1, other as u8], 7_000).into();
        let sender = NodeState {
            incarnation: 100 + other,
            callers: SocketAddr::new(address.ip(), 80).to_string(),
            zone: "zone-a".to_owned(),
            ready: true,
            name: format!("other-{other}"),
            deferred: HERD_WAITING as u32,
            ..NodeState::default()
        };
        let gossip = Gossip {
            sender: Some(sender),
            ..Gossip::default()
        };
        let event = Event::Datagram(address, gossip.encode_to_vec().into());
        harness.control.handle(event, 100);
    }
    let mut waiting = Vec::new();
    for place in 0..HERD_WAITING {
        let id = number * HERD_WAITING + place;
        let (sender, receiver) = oneshot::channel();
        let mut request = request_of(PATIENT, id, 1_800);
        request.id = format!("r{id}").into();
        let event = Event::Place(Box::new(request), sender);
        harness.control.handle(event, 110);
        waiting.push(receiver);
    }
    let ended = Run {
        number: 1,
        endpoint: Endpoint::key_of("e0"),
        step: 2,
        ..Run::default()
    };
    harness.gossip(9, &[ended], 120);
    (harness, waiting)
}

/// Guards against a herd: when an engine had loaded weights, all nodes sent it what waited before
/// they heard of each other, many times what it reads in the targets.
#[test]
fn nodes_together_send_an_engine_that_becomes_free_what_fits() {
    let mut sent = 0;
    let mut nodes: Vec<_> = (0..HERD_NODES).map(herd_node).collect();
    for (harness, waiting) in &mut nodes {
        // All of it before any news: the next draw is 50 ms later.
        for now in [121, 129, 137, 145] {
            harness.control.tick(now);
        }
        let replies = waiting.iter_mut().map(oneshot::Receiver::try_recv);
        sent += replies.filter(|reply| matches!(reply, Ok(Ok(_)))).count() as u64;
    }
    let read_ms = sent * 1_800 / TOKENS_PER_MS;
    println!("{sent} of {} sent, {read_ms} ms", HERD_NODES * HERD_WAITING);
    assert!(sent > 0);
    assert!(read_ms <= URGENT.1, "{read_ms} ms");
}

/// Guards against a node that leaves engines idle when no other has requests that wait, and
/// against large requests that are sent to no engine.
#[test]
fn node_that_waits_alone_fills_the_room() {
    let probability = |left_ms, cost_ms| {
        let (own, all) = (2, 2);
        Room {
            left_ms,
            cost_ms,
            own,
            all,
        }
        .send_probability()
    };
    assert!((probability(60.0, 30.0) - 1.0).abs() < 1e-9);
    assert!((probability(60.0, 900.0) - 1.0).abs() < 1e-9);
    assert!(probability(0.0, 30.0) <= 0.0);
    assert!(probability(-5.0, 30.0) <= 0.0);
}
