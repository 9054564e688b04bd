//! A fleet of control states that exchange their datagrams in simulated time, with engines
//! that state limits.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use flamingolock_gateway::control::{Effect, Event, Placement, Refusal, RunEnd};
use flamingolock_gateway::endpoint::{Endpoint, EndpointKey};
use flamingolock_wire::gossip::Gossip;
use prost::Message;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::sync::oneshot;

use super::{Harness, placement_request, settings};

/// Time from the placement of a request to its response, in ms.
const RESPONSE_MS: u64 = 40;

/// Window in which the requests that reach an engine are counted, in ms.
pub const WINDOW_MS: u64 = 4_000;

/// Network between the nodes.
#[derive(Clone, Copy, Debug)]
pub struct Network {
    /// Time that a datagram takes, in ms.
    pub delay_ms: u64,
    /// Share of the datagrams that are lost.
    pub loss: f64,
}

struct Node {
    harness: Harness,
    wake: u64,
    waiting: Vec<oneshot::Receiver<Placement>>,
}

/// A response on its way to a node.
struct Response {
    node: usize,
    grant: flamingolock_gateway::control::Grant,
}

/// An engine, and what reached it.
#[derive(Default)]
pub struct Engine {
    /// Limit that it states, in requests a second.
    pub limit: Option<f64>,
    /// Times of the requests that reached it.
    pub arrivals: Vec<u64>,
}

impl Engine {
    /// Largest number of requests in a window, of those from `since` on.
    pub fn most_arrivals(&self, since: u64) -> usize {
        let first = self.arrivals.partition_point(|at| *at < since);
        let arrivals = &self.arrivals[first..];
        let counts = arrivals.iter().enumerate().map(|(first, from)| {
            let later = &arrivals[first..];
            later.partition_point(|at| *at < from + WINDOW_MS)
        });
        counts.max().unwrap_or(0)
    }

    /// Number of requests between two times.
    pub fn arrivals_between(&self, from: u64, to: u64) -> usize {
        let times = self.arrivals.iter();
        times.filter(|at| (from..to).contains(*at)).count()
    }
}

/// The fleet; time is in ms.
pub struct Fleet {
    pub now: u64,
    pub engines: BTreeMap<EndpointKey, Engine>,
    /// Number and bytes of the requests for permits between nodes, and of their answers.
    pub permit_messages: (usize, usize),
    /// Times at which refused callers were asked to return.
    pub returns: Vec<u64>,
    nodes: BTreeMap<usize, Node>,
    network: Network,
    /// Number of the first nodes that no other node reaches, nor they them.
    cut_off: usize,
    datagrams: BTreeMap<(u64, u64), (SocketAddr, SocketAddr, Bytes)>,
    responses: BTreeMap<(u64, u64), Response>,
    sequence: u64,
    prompts: u64,
    rng: StdRng,
}

fn address(node: usize) -> SocketAddr {
    ([10, 0, (node / 200) as u8, (node % 200) as u8], 7_000).into()
}

impl Fleet {
    /// Starts nodes in three zones and engines that all of them list.
    pub fn start(nodes: usize, engines: usize, network: Network, seed: u64) -> Self {
        let mut fleet = Self {
            now: 1_000,
            engines: (0..engines)
                .map(|number| (Endpoint::key_of(&format!("e{number}")), Engine::default()))
                .collect(),
            permit_messages: (0, 0),
            returns: Vec::new(),
            nodes: BTreeMap::new(),
            network,
            cut_off: 0,
            datagrams: BTreeMap::new(),
            responses: BTreeMap::new(),
            sequence: 0,
            prompts: 0,
            rng: StdRng::seed_from_u64(seed),
        };
        for number in 0..nodes {
            fleet.start_node(number, nodes);
        }
        fleet
    }

    /// Starts a node that knows the addresses of `nodes` nodes.
    pub fn start_node(&mut self, number: usize, nodes: usize) {
        let mut settings = settings();
        settings.node = format!("node-{number}");
        settings.zone = format!("zone-{}", number % 3);
        settings.gossip = address(number);
        settings.callers = SocketAddr::new(address(number).ip(), 80);
        let mut harness = Harness::with_settings(settings, self.rng.random());
        harness.catalog(1, self.now);
        for engine in 0..self.engines.len() {
            harness.engine(&format!("e{engine}"), 1, "ready", self.now);
        }
        let addresses = (0..nodes).map(address).collect();
        harness
            .control
            .handle(Event::NodesListed(addresses), self.now);
        let node = Node {
            harness,
            wake: self.now,
            waiting: Vec::new(),
        };
        self.nodes.insert(number, node);
    }

    /// Kills a node.
    pub fn kill(&mut self, number: usize) {
        self.nodes.remove(&number);
        self.responses.retain(|_, response| response.node != number);
    }

    /// Cuts the links between the first nodes and the others; 0 heals them.
    pub fn cut_off(&mut self, count: usize) {
        self.cut_off = count;
    }

    /// Sets the limit that all engines state.
    pub fn limit_all(&mut self, limit: Option<f64>) {
        for engine in self.engines.values_mut() {
            engine.limit = limit;
        }
    }

    /// Runs for `time_ms`, with `per_second` requests at the nodes together, half of them at
    /// the first one.
    pub fn run(&mut self, time_ms: u64, per_second: f64) {
        let until = self.now + time_ms;
        while self.now < until {
            self.now += 1;
            self.send_requests(per_second / 1_000.0);
            self.deliver();
            self.tick();
        }
    }

    fn send_requests(&mut self, mut mean: f64) {
        while self.rng.random_bool(mean.min(1.0)) {
            mean -= 1.0;
            let numbers: Vec<usize> = self.nodes.keys().copied().collect();
            let first = self.rng.random_bool(0.5);
            let place = if first {
                0
            } else {
                self.rng.random_range(0..numbers.len())
            };
            self.prompts += 10;
            let mut request = placement_request(None, self.prompts);
            request.max_wait = Duration::from_millis(450);
            let (sender, receiver) = oneshot::channel();
            let node = self.nodes.get_mut(&numbers[place]).expect("a node");
            node.harness
                .control
                .handle(Event::Place(Box::new(request), sender), self.now);
            node.wake = self.now;
            node.waiting.push(receiver);
            if mean <= 0.0 {
                return;
            }
        }
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.datagrams.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let (from, to, bytes) = entry.remove();
            let mut nodes = self.nodes.iter_mut();
            if let Some((_, node)) = nodes.find(|(number, _)| address(**number) == to) {
                let event = Event::Datagram(from, bytes);
                node.harness.control.handle(event, self.now);
                node.wake = self.now;
            }
        }
        while let Some(entry) = self.responses.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let response = entry.remove();
            self.respond(&response);
        }
    }

    fn respond(&mut self, response: &Response) {
        let Some(node) = self.nodes.get_mut(&response.node) else {
            return;
        };
        let grant = &response.grant;
        let key = grant.endpoint.key();
        let limit = self.engines[&key].limit;
        let control = &mut node.harness.control;
        if limit.is_some() || grant.limit.is_some() {
            let event = Event::LimitStated(grant.endpoint.clone(), limit);
            control.handle(event, self.now);
        }
        let first_token = Event::FirstToken {
            endpoint: key,
            run_number: grant.run_number,
            weights: None,
            model: None,
        };
        control.handle(first_token, self.now);
        let ended = Event::RunEnded {
            endpoint: key,
            run_number: grant.run_number,
            end: RunEnd::Complete,
            model: None,
        };
        control.handle(ended, self.now);
        node.wake = self.now;
    }

    fn tick(&mut self) {
        let due = self
            .nodes
            .iter_mut()
            .filter(|(_, node)| node.wake <= self.now);
        let mut sent = Vec::new();
        for (number, node) in due {
            node.wake = node.harness.control.tick(self.now);
            for effect in node.harness.control.effects.drain(..) {
                if let Effect::SendDatagram(addresses, bytes) = effect {
                    let to = addresses.into_iter();
                    sent.extend(to.map(|to| (address(*number), to, bytes.clone())));
                }
            }
            let mut placed = Vec::new();
            node.waiting.retain_mut(|reply| match reply.try_recv() {
                Ok(placement) => {
                    placed.push(placement);
                    false
                }
                Err(error) => error == oneshot::error::TryRecvError::Empty,
            });
            for placement in placed {
                match placement {
                    Ok(grant) => {
                        let engine = self.engines.get_mut(&grant.endpoint.key());
                        engine.expect("an engine").arrivals.push(self.now);
                        self.sequence += 1;
                        let response = Response {
                            node: *number,
                            grant,
                        };
                        self.responses
                            .insert((self.now + RESPONSE_MS, self.sequence), response);
                    }
                    Err(Refusal::AllLimited { until }) => self.returns.push(until),
                    Err(refusal) => panic!("refused: {refusal:?}"),
                }
            }
        }
        for (_, _, bytes) in &sent {
            let gossip = Gossip::decode(bytes.clone()).expect("a datagram");
            if gossip.permit_request.is_some() || gossip.permit_answer.is_some() {
                self.permit_messages.0 += 1;
                self.permit_messages.1 += bytes.len();
            }
        }
        let first: Vec<SocketAddr> = (0..self.cut_off).map(address).collect();
        for datagram in sent {
            let is_cut = first.contains(&datagram.0) != first.contains(&datagram.1);
            if !is_cut && !self.rng.random_bool(self.network.loss) {
                self.sequence += 1;
                self.datagrams
                    .insert((self.now + self.network.delay_ms, self.sequence), datagram);
            }
        }
    }
}
