//! Simulation of several membership state machines that exchange messages in steps,
//! with injected faults.
#![allow(dead_code)] // Each test binary uses only a part of it.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use flamingolock_core::heartbeat::{Heartbeat, Input, Output};
use flamingolock_core::members::{Instance, MemberState, Standing};
use flamingolock_core::membership::Membership;
use flamingolock_core::prelude::*;

/// Simulated duration of one step.
pub const STEP: Millis = Millis(100);

/// Time after which an attempt to connect fails.
const CONNECT_TIMEOUT: Millis = Millis(1000);

/// Time between two reads of the instance list, in milliseconds.
const LIST_INTERVAL_MS: u64 = 2000;

/// Name of the node with this number.
pub fn name(index: usize) -> InstanceId {
    format!("node-{index:03}").into()
}

/// Row of the node with this number.
pub fn row(index: usize) -> Instance {
    let address = SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8], 80));
    Instance {
        name: name(index),
        address,
        peer_address: address,
        zone: ["a", "b", "c"][index % 3].into(),
        leaving: false,
    }
}

/// One node; `machine` is none while the process is down.
pub struct Node {
    pub machine: Option<Membership>,
    pub incarnation: Incarnation,
    pub paused: bool,
    pub left: bool,
    inbox: VecDeque<Input>,
    dials: Vec<(usize, Millis)>,
}

/// Called for each heartbeat with the number of its sender.
pub type Observer = Box<dyn FnMut(usize, &Heartbeat)>;

/// All nodes and the state of the network between them.
pub struct Fleet {
    pub nodes: Vec<Node>,
    pub now: Millis,
    /// Pairs that cannot reach each other at all.
    pub cuts: BTreeSet<(usize, usize)>,
    /// Pairs whose open connections lose all messages, while fresh connections work.
    pub silent: BTreeSet<(usize, usize)>,
    pub list_down: bool,
    /// The instance list of the platform.
    pub list: Vec<Instance>,
    pub seen: BTreeMap<(usize, usize), Incarnation>,
    pub observe: Observer,
    pub connections_opened: usize,
}

fn pair(a: usize, b: usize) -> (usize, usize) {
    (a.min(b), a.max(b))
}

impl Fleet {
    /// A fleet of running nodes that all have the instance list.
    pub fn new(count: usize) -> Self {
        let mut fleet = Self {
            nodes: Vec::new(),
            now: Millis(1_000_000),
            cuts: BTreeSet::new(),
            silent: BTreeSet::new(),
            list_down: false,
            list: (0..count).map(row).collect(),
            seen: BTreeMap::new(),
            observe: Box::new(|_, _| {}),
            connections_opened: 0,
        };
        for index in 0..count {
            fleet.nodes.push(Node {
                machine: None,
                incarnation: Incarnation(0),
                paused: false,
                left: false,
                inbox: VecDeque::new(),
                dials: Vec::new(),
            });
            fleet.start(index);
        }
        fleet
    }

    /// Lets every node know the state of every other, as after a long run.
    pub fn exchange_states(&mut self) {
        let state = |node: &Node| MemberState {
            incarnation: node.incarnation,
            ..MemberState::default()
        };
        let states: Vec<MemberState> = self.nodes.iter().map(state).collect();
        for node in &mut self.nodes {
            let Some(machine) = &mut node.machine else {
                continue;
            };
            for (index, state) in states.iter().enumerate() {
                let heartbeat = Heartbeat {
                    state: *state,
                    digest: 0,
                    reports: Vec::new(),
                    wants_answer: false,
                    check: None,
                };
                let peer = name(index);
                machine.step(Input::HeartbeatReceived { peer, heartbeat }, self.now);
            }
        }
    }

    pub fn start(&mut self, index: usize) {
        let mut machine = Membership::new(&row(index), Incarnation(self.now.0), self.now);
        if !self.list_down {
            machine.step(Input::InstanceList(self.list.clone()), self.now);
        }
        let node = &mut self.nodes[index];
        node.incarnation = Incarnation(self.now.0);
        node.machine = Some(machine);
        node.paused = false;
        node.left = false;
        self.seen.retain(|(viewer, _), _| *viewer != index);
    }

    pub fn kill(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        node.machine = None;
        node.paused = false;
        node.inbox.clear();
        node.dials.clear();
    }

    pub fn leave(&mut self, index: usize) {
        self.nodes[index].left = true;
        self.nodes[index].inbox.push_back(Input::Leave);
    }

    pub fn cut(&mut self, a: usize, b: usize) {
        self.cuts.insert(pair(a, b));
    }

    pub fn silence(&mut self, a: usize, b: usize) {
        self.silent.insert(pair(a, b));
    }

    fn answers(&self, from: usize, to: usize) -> bool {
        let node = &self.nodes[to];
        node.machine.is_some() && !node.paused && !self.cuts.contains(&pair(from, to))
    }

    /// Runs for the given time.
    pub fn run(&mut self, duration: Millis) {
        let end = self.now + duration;
        while self.now < end {
            self.step();
        }
    }

    pub fn step(&mut self) {
        self.now = self.now + STEP;
        for index in 0..self.nodes.len() {
            if self.nodes[index].machine.is_some() && !self.nodes[index].paused {
                self.step_node(index);
            }
        }
    }

    fn step_node(&mut self, index: usize) {
        self.finish_dials(index);
        // Messages sent in this step arrive in the next one.
        let inputs = std::mem::take(&mut self.nodes[index].inbox);
        let list = (!self.list_down
            && (self.now.0 + index as u64 * 100).is_multiple_of(LIST_INTERVAL_MS))
        .then(|| Input::InstanceList(self.list.clone()));
        for input in inputs.into_iter().chain(list).chain([Input::Tick]) {
            let now = self.now;
            let machine = self.nodes[index].machine.as_mut().unwrap();
            for output in machine.step(input, now) {
                self.act(index, output);
            }
        }
    }

    fn finish_dials(&mut self, index: usize) {
        for (to, since) in std::mem::take(&mut self.nodes[index].dials) {
            if self.answers(index, to) {
                self.silent.remove(&pair(index, to));
                let ok = Input::FreshConnectionOk {
                    peer: name(to),
                    incarnation: self.nodes[to].incarnation,
                };
                self.nodes[index].inbox.push_back(ok);
            } else if self.now.since(since) >= CONNECT_TIMEOUT {
                let failed = Input::FreshConnectionFailed(name(to));
                self.nodes[index].inbox.push_back(failed);
            } else {
                self.nodes[index].dials.push((to, since));
            }
        }
    }

    fn act(&mut self, from: usize, output: Output) {
        match output {
            Output::SendHeartbeat { to, heartbeat } => {
                (self.observe)(from, &heartbeat);
                let said = Input::HeartbeatReceived {
                    peer: name(from),
                    heartbeat,
                };
                self.deliver(from, &to, said);
            }
            Output::OpenFreshConnection(to) => {
                self.connections_opened += 1;
                let to = index_of(&to);
                self.nodes[from].dials.push((to, self.now));
            }
            Output::AskInstances(to) => {
                let rows = self.nodes[index_of(&to)]
                    .machine
                    .as_ref()
                    .map(|machine| machine.view().rows().cloned().collect());
                if let Some(rows) = rows {
                    self.nodes[from].inbox.push_back(Input::PeerList(rows));
                }
            }
            Output::Suspect(_) | Output::Clear(_) | Output::ViewChanged => {}
        }
    }

    fn deliver(&mut self, from: usize, to: &InstanceId, input: Input) {
        let to = index_of(to);
        let open = !self.cuts.contains(&pair(from, to)) && !self.silent.contains(&pair(from, to));
        let node = &mut self.nodes[to];
        // A paused process receives as much as its socket buffers hold.
        if open && node.machine.is_some() && node.inbox.len() < 100 {
            node.inbox.push_back(input);
        }
    }

    /// Nodes that run and are not paused.
    pub fn running(&self) -> impl Iterator<Item = (usize, &Membership)> {
        self.nodes
            .iter()
            .enumerate()
            .filter(|(_, node)| !node.paused)
            .filter_map(|(index, node)| Some((index, node.machine.as_ref()?)))
    }

    /// Running nodes that see `index` as live.
    pub fn nodes_seeing_live(&self, index: usize) -> Vec<usize> {
        self.running()
            .filter(|(viewer, machine)| {
                *viewer != index && machine.view().live().any(|live| *live == name(index))
            })
            .map(|(viewer, _)| viewer)
            .collect()
    }

    /// Running nodes that suspect `index`.
    pub fn nodes_suspecting(&self, index: usize) -> Vec<usize> {
        self.running()
            .filter(|(viewer, machine)| {
                *viewer != index
                    && machine
                        .view()
                        .suspected()
                        .any(|other| *other == name(index))
            })
            .map(|(viewer, _)| viewer)
            .collect()
    }

    /// Runs until `done` returns true and returns the time that it took, or none if it
    /// did not within `limit`.
    pub fn run_until<F>(&mut self, limit: Millis, mut done: F) -> Option<Millis>
    where
        F: FnMut(&Fleet) -> bool,
    {
        let start = self.now;
        while self.now.since(start) < limit {
            self.step();
            if done(self) {
                return Some(self.now.since(start));
            }
        }
        None
    }

    /// Describes the first difference between a view and the true state of the nodes.
    pub fn wrong_view(&self) -> Option<String> {
        for (viewer, machine) in self.running() {
            let view = machine.view();
            let live: Vec<&InstanceId> = view.live().collect();
            let leaving: Vec<&InstanceId> = view.leaving().collect();
            let suspected: Vec<&InstanceId> = view.suspected().collect();
            for (index, node) in self.nodes.iter().enumerate() {
                let name = name(index);
                let right = match (&node.machine, node.left) {
                    (Some(_), false) => live.contains(&&name),
                    (Some(_), true) => leaving.contains(&&name),
                    (None, _) => leaving.contains(&&name) || suspected.contains(&&name),
                };
                if !right {
                    let state = view.state(&name);
                    return Some(format!("node {viewer} is wrong on {name}: {state:?}"));
                }
            }
        }
        None
    }

    /// Checks that no node replaces an incarnation by an older one.
    pub fn check_incarnations(&mut self) {
        for viewer in 0..self.nodes.len() {
            let Some(machine) = &self.nodes[viewer].machine else {
                continue;
            };
            for other in 0..self.nodes.len() {
                let Some(state) = machine.view().state(&name(other)) else {
                    continue;
                };
                let seen = self.seen.entry((viewer, other)).or_default();
                assert!(
                    state.incarnation >= *seen,
                    "node {viewer} went back on {other}"
                );
                assert!(state.incarnation <= self.nodes[other].incarnation);
                assert!(
                    state.standing != Standing::Leaving
                        || state.incarnation < self.nodes[other].incarnation
                        || self.nodes[other].left
                );
                *seen = state.incarnation;
            }
        }
    }
}

/// Number of the node with this name.
pub fn index_of(name: &InstanceId) -> usize {
    name.as_str()[5..].parse().unwrap()
}
