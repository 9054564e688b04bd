//! Group membership: which instances are live, suspected or leaving, as one node
//! sees it.
//!
//! The protocol is of the SWIM family. A node exchanges heartbeats with a constant
//! number of neighbours, and each heartbeat carries a bounded number of gossiped
//! reports. Missing heartbeats alone are no reason for a suspicion, since a device on
//! the path can drop the state of a connection: a neighbour is suspected only after a
//! fresh connection to it has failed as well. A node that learns of a suspicion
//! against itself refutes it by raising its counter.

use std::collections::BTreeMap;

use crate::gossip_queue::{GossipQueue, MAX_REPORTS};
pub use crate::heartbeat::{Heartbeat, Input, Output};
use crate::members::{Instance, Member, MemberState, MemberStatus, Report, Standing, Transition};
use crate::neighbours::Neighbours;
use crate::prelude::*;
use crate::raised_suspicions::RaisedSuspicions;
use crate::rendezvous;
use crate::view::View;

/// Time between heartbeats to one neighbour.
pub const HEARTBEAT_INTERVAL: Millis = Millis(1000);

/// Time after which a fresh connection without a reported outcome is forgotten, so
/// that another one can be opened. The caller's own timeout has to be shorter.
pub const CONNECT_TIMEOUT: Millis = Millis(3000);

/// Time between connection attempts to suspected instances, which are tried in turn.
pub const RETRY_INTERVAL: Millis = Millis(1000);

/// Minimum time between two bursts of urgent heartbeats.
pub const URGENT_MIN_INTERVAL: Millis = Millis(500);

/// Time without input after which this node assumes that its own process was paused,
/// so that missing heartbeats of others mean nothing.
pub const PAUSE_THRESHOLD: Millis = Millis(2000);

/// Time between requests to peers for their instance list.
pub const LIST_REQUEST_INTERVAL: Millis = Millis(5000);

/// Why a heartbeat is sent.
#[derive(Clone, Copy, Debug)]
enum Reason<'a> {
    /// Periodic heartbeat to a neighbour.
    Regular,
    /// Immediate heartbeat to a neighbour.
    Urgent,
    /// First heartbeat on a fresh connection.
    FreshConnection,
    /// Answer to a peer with this digest.
    Answer(u64),
    /// Request to open a connection to another instance.
    IndirectProbe(&'a InstanceId),
}

/// Membership state machine of one node.
#[derive(Clone, Debug)]
pub struct Membership {
    me: InstanceId,
    view: View,
    neighbours: Neighbours,
    fresh: BTreeMap<InstanceId, Millis>,
    raised_suspicions: RaisedSuspicions,
    gossip: GossipQueue,
    urgent: bool,
    last_input: Millis,
    last_burst: Millis,
    next_heartbeat: Millis,
    next_retry: Millis,
    next_list_request: Millis,
    has_list: bool,
    retry_cursor: InstanceId,
    helper_cursor: InstanceId,
    outputs: Vec<Output>,
    changed: bool,
}

impl Membership {
    /// A node that knows only itself.
    pub fn new(me: &Instance, incarnation: Incarnation, now: Millis) -> Self {
        // The phase depends on the name, so that nodes that start together do not
        // send at the same time.
        let phase = rendezvous::key(me.name.as_str()) % HEARTBEAT_INTERVAL.0;
        let mut this = Self {
            me: me.name.clone(),
            view: View::new(&me.name),
            neighbours: Neighbours::default(),
            fresh: BTreeMap::new(),
            raised_suspicions: RaisedSuspicions::default(),
            gossip: GossipQueue::new(&me.name),
            urgent: false,
            last_input: now,
            last_burst: Millis(0),
            next_heartbeat: now + Millis(phase),
            next_retry: now,
            next_list_request: now,
            has_list: false,
            retry_cursor: me.name.clone(),
            helper_cursor: me.name.clone(),
            outputs: Vec::new(),
            changed: false,
        };
        let state = MemberState {
            incarnation,
            ..MemberState::default()
        };
        let name = me.name.clone();
        this.set_row(me, now);
        this.edit(&name, now, |member| {
            member.merge(state);
        });
        this.gossip.add(&name, Standing::Live);
        this.outputs.clear();
        this
    }

    /// Processes an input and returns what to do next.
    pub fn step(&mut self, input: Input, now: Millis) -> Vec<Output> {
        self.detect_pause(now);
        match input {
            Input::InstanceList(list) => self.handle_instance_list(&list, now),
            Input::PeerList(list) => self.handle_peer_list(&list, now),
            Input::HeartbeatReceived { peer, heartbeat } => {
                self.handle_heartbeat(&peer, &heartbeat, now);
            }
            Input::PeerLeaving { peer, incarnation } => {
                self.handle_peer_leaving(&peer, incarnation, now);
            }
            Input::ConnectionLost(peer) => self.open_fresh(&peer, now),
            Input::FreshConnectionOk { peer, incarnation } => {
                self.handle_fresh_connection(&peer, incarnation, now);
            }
            Input::FreshConnectionFailed(peer) => self.handle_connection_failure(&peer, now),
            Input::Announce => self.urgent = true,
            Input::Leave => self.leave(now),
            Input::Tick => self.tick(now),
        }
        self.send_urgent(now);
        if std::mem::take(&mut self.changed) {
            self.outputs.push(Output::ViewChanged);
        }
        std::mem::take(&mut self.outputs)
    }

    fn detect_pause(&mut self, now: Millis) {
        if now.since(self.last_input) >= PAUSE_THRESHOLD {
            self.fresh.clear();
            self.neighbours.reset_timeouts();
        }
        self.last_input = self.last_input.max(now);
    }

    fn handle_instance_list(&mut self, list: &[Instance], now: Millis) {
        // The list should contain at least this node, so an empty one is a platform
        // failure.
        if list.is_empty() {
            return;
        }
        self.has_list = true;
        for row in list {
            if row.name != self.me && self.view.row(&row.name) != Some(row) {
                self.set_row(row, now);
            }
        }
        for name in self.view.members().absent_from(list, now) {
            if name != self.me {
                self.edit(&name, now, |member| member.row = None);
                self.gossip.remove(&name);
                self.raised_suspicions.drop_for(&name);
            }
        }
        self.view.forget_old(now);
    }

    fn handle_peer_list(&mut self, list: &[Instance], now: Millis) {
        for row in list {
            let known = self.view.members().get(&row.name);
            if known.is_none_or(|member| member.row.is_none()) {
                self.set_row(row, now);
            }
        }
    }

    fn handle_heartbeat(&mut self, peer: &InstanceId, heartbeat: &Heartbeat, now: Millis) {
        if *peer == self.me || !self.record_contact(peer, heartbeat.state, now) {
            return;
        }
        self.neighbours.set_digest(peer, heartbeat.digest);
        for report in heartbeat.reports.iter().take(MAX_REPORTS) {
            self.apply_report(report, now);
        }
        if let Some(other) = &heartbeat.check {
            self.open_fresh(other, now);
        }
        if heartbeat.wants_answer {
            self.send(peer, Reason::Answer(heartbeat.digest));
        }
    }

    fn handle_peer_leaving(&mut self, peer: &InstanceId, incarnation: Incarnation, now: Millis) {
        let Some(member) = self.view.members().get(peer) else {
            return;
        };
        let state = MemberState {
            incarnation,
            counter: member.state.counter,
            standing: Standing::Leaving,
        };
        let report = Report {
            instance: peer.clone(),
            state,
        };
        self.apply_report(&report, now);
    }

    fn handle_fresh_connection(
        &mut self,
        peer: &InstanceId,
        incarnation: Incarnation,
        now: Millis,
    ) {
        let state = MemberState {
            incarnation,
            ..MemberState::default()
        };
        if *peer != self.me && self.record_contact(peer, state, now) {
            // The heartbeat carries any suspicion of the peer, so that it can refute it.
            self.send(peer, Reason::FreshConnection);
        }
    }

    /// Records direct contact with a peer. Returns false when the contact is of an old
    /// incarnation.
    fn record_contact(&mut self, peer: &InstanceId, state: MemberState, now: Millis) -> bool {
        let known = self.view.members().get(peer).map(|member| member.state);
        if known.is_some_and(|known| state.incarnation < known.incarnation) {
            return false;
        }
        self.edit(peer, now, |member| member.record_contact(now));
        let report = Report {
            instance: peer.clone(),
            state,
        };
        self.apply_report(&report, now);
        self.fresh.remove(peer);
        self.raised_suspicions.drop_for(peer);
        self.neighbours.record_message(peer);
        if !self.has_list && now >= self.next_list_request {
            self.next_list_request = now + LIST_REQUEST_INTERVAL;
            self.outputs.push(Output::AskInstances(peer.clone()));
        }
        true
    }

    fn handle_connection_failure(&mut self, peer: &InstanceId, now: Millis) {
        if self.fresh.remove(peer).is_none() {
            return;
        }
        let Some(member) = self.view.members().get(peer) else {
            return;
        };
        let mut state = member.state;
        if member.status() == MemberStatus::Unlisted || state.standing == Standing::Suspected {
            return;
        }
        self.edit(peer, now, |member| member.unreachable = true);
        if state.standing == Standing::Leaving {
            return;
        }
        if self.raised_suspicions.is_disputed(peer) {
            self.request_indirect_probe(peer);
            return;
        }
        state.standing = Standing::Suspected;
        let report = Report {
            instance: peer.clone(),
            state,
        };
        self.raised_suspicions.raise(&report);
        self.apply_report(&report, now);
    }

    /// Asks the next live node in turn to open a connection to the instance itself.
    fn request_indirect_probe(&mut self, peer: &InstanceId) {
        let Some(helper) = self.view.live_after(&self.helper_cursor, &[&self.me, peer]) else {
            return;
        };
        let helper = helper.clone();
        self.helper_cursor = helper.clone();
        self.send(&helper, Reason::IndirectProbe(peer));
    }

    fn apply_report(&mut self, report: &Report, now: Millis) {
        if report.instance == self.me {
            self.apply_report_on_self(report.state, now);
            return;
        }
        let Some(member) = self.view.members().get(&report.instance) else {
            return;
        };
        if member.state == report.state {
            self.gossip.count_relay(&report.instance);
            return;
        }
        let before = member.state.standing;
        let mut newer = false;
        self.edit(&report.instance, now, |member| {
            newer = member.merge(report.state);
        });
        if !newer {
            return;
        }
        self.gossip.add(&report.instance, report.state.standing);
        self.urgent |= before != report.state.standing;
        if self.raised_suspicions.refuted_by(report) {
            self.open_fresh(&report.instance, now);
        }
    }

    /// Refutes a suspicion against this node, and gossips its state again when a peer
    /// has an older one.
    fn apply_report_on_self(&mut self, reported: MemberState, now: Millis) {
        let me = self.me.clone();
        let own = self.own_state();
        if reported.incarnation > own.incarnation || reported == own {
            return;
        }
        if reported > own {
            let counter = reported.counter.saturating_add(1);
            self.edit(&me, now, |member| member.state.counter = counter);
        }
        self.gossip.add(&me, own.standing);
        self.urgent |= reported.standing == Standing::Suspected;
    }

    fn leave(&mut self, now: Millis) {
        let me = self.me.clone();
        self.edit(&me, now, |member| {
            member.state.standing = Standing::Leaving;
        });
        self.gossip.add(&me, Standing::Leaving);
        self.urgent = true;
        self.last_burst = Millis(0);
    }

    fn tick(&mut self, now: Millis) {
        self.fresh
            .retain(|_, started| now.since(*started) < CONNECT_TIMEOUT);
        for name in self.neighbours.unresponsive(now) {
            self.open_fresh(&name, now);
        }
        if now >= self.next_retry {
            self.next_retry = now + RETRY_INTERVAL;
            self.retry_suspected(now);
        }
        if now >= self.next_heartbeat {
            self.next_heartbeat = now + HEARTBEAT_INTERVAL;
            self.send_all(Reason::Regular, now);
        }
    }

    /// Opens fresh connections to the next suspected instance in turn and to the
    /// disputed instances. After a partition, no node has neighbours on the other side,
    /// so heartbeats alone would not discover that the partition has ended.
    fn retry_suspected(&mut self, now: Millis) {
        if let Some(name) = self.view.suspected_after(&self.retry_cursor).cloned() {
            self.retry_cursor = name.clone();
            self.open_fresh(&name, now);
        }
        for name in self.raised_suspicions.disputed() {
            self.open_fresh(&name, now);
        }
    }

    fn open_fresh(&mut self, peer: &InstanceId, now: Millis) {
        let listed = self
            .view
            .members()
            .get(peer)
            .is_some_and(|member| member.row.is_some());
        if listed && *peer != self.me && !self.fresh.contains_key(peer) {
            self.fresh.insert(peer.clone(), now);
            self.outputs.push(Output::OpenFreshConnection(peer.clone()));
        }
    }

    fn send_urgent(&mut self, now: Millis) {
        if self.urgent && now.since(self.last_burst) >= URGENT_MIN_INTERVAL {
            self.urgent = false;
            self.last_burst = now;
            self.send_all(Reason::Urgent, now);
        }
    }

    fn send_all(&mut self, reason: Reason<'_>, now: Millis) {
        let names: Vec<InstanceId> = self.neighbours.names().cloned().collect();
        for name in names {
            if matches!(reason, Reason::Regular) {
                self.neighbours.record_request(&name, now);
            }
            self.send(&name, reason);
        }
    }

    fn send(&mut self, to: &InstanceId, reason: Reason<'_>) {
        let members = self.view.members();
        let digest = members.digest();
        let theirs = match reason {
            Reason::Answer(theirs) => Some(theirs),
            _ => self.neighbours.digest(to),
        };
        let differs = theirs.is_some_and(|theirs| theirs != digest);
        let heartbeat = Heartbeat {
            state: self.own_state(),
            digest,
            reports: self.gossip.reports(members, to, differs),
            wants_answer: matches!(reason, Reason::Regular | Reason::FreshConnection),
            check: match reason {
                Reason::IndirectProbe(other) => Some(other.clone()),
                _ => None,
            },
        };
        self.outputs.push(Output::SendHeartbeat {
            to: to.clone(),
            heartbeat,
        });
    }

    fn set_row(&mut self, row: &Instance, now: Millis) {
        let transition = self.view.set_row(row, now);
        self.note_transition(&row.name, transition);
    }

    fn edit<F>(&mut self, name: &InstanceId, now: Millis, edit: F)
    where
        F: FnOnce(&mut Member),
    {
        let transition = self.view.edit(name, now, edit);
        self.note_transition(name, transition);
    }

    fn note_transition(&mut self, name: &InstanceId, transition: Transition) {
        self.changed |= transition.moved || transition.before != transition.after;
        if transition.before == transition.after {
            return;
        }
        if transition.after == MemberStatus::Suspected {
            self.outputs.push(Output::Suspect(name.clone()));
        } else if transition.before == MemberStatus::Suspected {
            self.outputs.push(Output::Clear(name.clone()));
        }
        self.neighbours.replace(self.view.neighbours());
    }

    fn own_state(&self) -> MemberState {
        self.view.state(&self.me).unwrap_or_default()
    }

    /// The membership view: which instances are live, suspected or leaving.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// The peers that this node sends heartbeats to.
    pub fn neighbours(&self) -> impl Iterator<Item = &InstanceId> {
        self.neighbours.names()
    }
}
