//! Which instances are live, suspected or leaving, as one node sees it.
//!
//! A node exchanges heartbeats with a constant number of neighbours and relays a
//! bounded number of reports with each. Silence alone proves nothing, since a
//! connection can lose its state on the way: a neighbour is suspected only after a
//! fresh connection to it has failed as well. A node that hears of a suspicion
//! against itself raises its counter, which refutes it everywhere.

use std::collections::BTreeMap;

use crate::gossip_queue::{GossipQueue, MAX_REPORTS};
pub use crate::heartbeat::{Heartbeat, Input, Output};
use crate::members::{Class, Instance, Member, MemberState, Report, Standing, Transition};
use crate::neighbours::Neighbours;
use crate::prelude::*;
use crate::raised_suspicions::RaisedSuspicions;
use crate::rendezvous;
use crate::view::View;

/// Time between heartbeats to one neighbour.
pub const HEARTBEAT_EVERY: Millis = Millis(1000);

/// Time after which an unreported attempt at a fresh connection is made again. The
/// caller's own timeout has to be shorter.
pub const FRESH_LIMIT: Millis = Millis(3000);

/// Time between attempts to reach one suspected instance after another.
pub const RETRY_EVERY: Millis = Millis(1000);

/// Least time between two bursts of urgent heartbeats.
pub const URGENT_GAP: Millis = Millis(500);

/// Time between two inputs after which this node assumes that it was paused itself
/// and that the silence of others means nothing.
pub const PAUSED_AFTER: Millis = Millis(2000);

/// Time between requests for the instances that a peer knows.
pub const ASK_EVERY: Millis = Millis(5000);

/// Why a heartbeat is sent.
#[derive(Clone, Copy, Debug)]
enum Reason<'a> {
    /// The regular one to a neighbour.
    Regular,
    /// To a neighbour, at once.
    Urgent,
    /// On a fresh connection.
    Greeting,
    /// Answer to a peer with this digest.
    Answer(u64),
    /// Request to try to reach another instance.
    Check(&'a InstanceId),
}

/// Membership as one node sees it.
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
    next_beat: Millis,
    next_retry: Millis,
    next_ask: Millis,
    has_list: bool,
    retry_cursor: InstanceId,
    check_cursor: InstanceId,
    outputs: Vec<Output>,
    changed: bool,
}

impl Membership {
    /// A node that knows only itself.
    pub fn new(me: &Instance, incarnation: Incarnation, now: Millis) -> Self {
        // Phases differ by name, so that a herd does not send in step.
        let phase = rendezvous::key(me.name.as_str()) % HEARTBEAT_EVERY.0;
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
            next_beat: now + Millis(phase),
            next_retry: now,
            next_ask: now,
            has_list: false,
            retry_cursor: me.name.clone(),
            check_cursor: me.name.clone(),
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

    /// Takes one input and says what to do next.
    pub fn step(&mut self, input: Input, now: Millis) -> Vec<Output> {
        self.notice_pause(now);
        match input {
            Input::InstanceList(list) => self.take_list(&list, now),
            Input::PeerList(list) => self.take_peer_list(&list, now),
            Input::PeerSaid { peer, heartbeat } => self.take_heartbeat(&peer, &heartbeat, now),
            Input::PeerLeaving { peer, incarnation } => self.take_leaving(&peer, incarnation, now),
            Input::ConnectionSilent(peer) => self.open_fresh(&peer, now),
            Input::FreshConnectionOk { peer, incarnation } => {
                self.take_fresh(&peer, incarnation, now);
            }
            Input::FreshConnectionFailed(peer) => self.take_failure(&peer, now),
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

    fn notice_pause(&mut self, now: Millis) {
        if now.since(self.last_input) >= PAUSED_AFTER {
            self.fresh.clear();
            self.neighbours.restart_clocks();
        }
        self.last_input = self.last_input.max(now);
    }

    fn take_list(&mut self, list: &[Instance], now: Millis) {
        // An empty list comes from a platform in trouble: this node at least runs.
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

    fn take_peer_list(&mut self, list: &[Instance], now: Millis) {
        for row in list {
            let known = self.view.members().get(&row.name);
            if known.is_none_or(|member| member.row.is_none()) {
                self.set_row(row, now);
            }
        }
    }

    fn take_heartbeat(&mut self, peer: &InstanceId, heartbeat: &Heartbeat, now: Millis) {
        if *peer == self.me || !self.hear(peer, heartbeat.state, now) {
            return;
        }
        self.neighbours.set_digest(peer, heartbeat.digest);
        for report in heartbeat.reports.iter().take(MAX_REPORTS) {
            self.learn(report, now);
        }
        if let Some(other) = &heartbeat.check {
            self.open_fresh(other, now);
        }
        if heartbeat.wants_answer {
            self.send(peer, Reason::Answer(heartbeat.digest));
        }
    }

    fn take_leaving(&mut self, peer: &InstanceId, incarnation: Incarnation, now: Millis) {
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
        self.learn(&report, now);
    }

    fn take_fresh(&mut self, peer: &InstanceId, incarnation: Incarnation, now: Millis) {
        let state = MemberState {
            incarnation,
            ..MemberState::default()
        };
        if *peer != self.me && self.hear(peer, state, now) {
            // Carries what is held against the peer, so that it can refute it.
            self.send(peer, Reason::Greeting);
        }
    }

    /// Notes a direct sign of life; false when it comes from an old incarnation.
    fn hear(&mut self, peer: &InstanceId, state: MemberState, now: Millis) -> bool {
        let known = self.view.members().get(peer).map(|member| member.state);
        if known.is_some_and(|known| state.incarnation < known.incarnation) {
            return false;
        }
        self.edit(peer, now, |member| member.hear(now));
        let report = Report {
            instance: peer.clone(),
            state,
        };
        self.learn(&report, now);
        self.fresh.remove(peer);
        self.raised_suspicions.drop_for(peer);
        self.neighbours.hear(peer);
        if !self.has_list && now >= self.next_ask {
            self.next_ask = now + ASK_EVERY;
            self.outputs.push(Output::AskInstances(peer.clone()));
        }
        true
    }

    fn take_failure(&mut self, peer: &InstanceId, now: Millis) {
        if self.fresh.remove(peer).is_none() {
            return;
        }
        let Some(member) = self.view.members().get(peer) else {
            return;
        };
        let mut state = member.state;
        if member.class() == Class::Unlisted || state.standing == Standing::Suspected {
            return;
        }
        self.edit(peer, now, |member| member.unreachable = true);
        if state.standing == Standing::Leaving {
            return;
        }
        if self.raised_suspicions.is_disputed(peer) {
            self.ask_second_opinion(peer);
            return;
        }
        state.standing = Standing::Suspected;
        let report = Report {
            instance: peer.clone(),
            state,
        };
        self.raised_suspicions.raise(&report);
        self.learn(&report, now);
    }

    /// Asks one live node after another to try the instance for itself.
    fn ask_second_opinion(&mut self, peer: &InstanceId) {
        let Some(witness) = self.view.live_after(&self.check_cursor, &[&self.me, peer]) else {
            return;
        };
        let witness = witness.clone();
        self.check_cursor = witness.clone();
        self.send(&witness, Reason::Check(peer));
    }

    fn learn(&mut self, report: &Report, now: Millis) {
        if report.instance == self.me {
            self.learn_own(report.state, now);
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

    /// Refutes a suspicion against this node, and repeats its state to whoever
    /// holds an older one.
    fn learn_own(&mut self, heard: MemberState, now: Millis) {
        let me = self.me.clone();
        let own = self.own_state();
        if heard.incarnation > own.incarnation || heard == own {
            return;
        }
        if heard > own {
            let counter = heard.counter.saturating_add(1);
            self.edit(&me, now, |member| member.state.counter = counter);
        }
        self.gossip.add(&me, own.standing);
        self.urgent |= heard.standing == Standing::Suspected;
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
            .retain(|_, started| now.since(*started) < FRESH_LIMIT);
        for name in self.neighbours.silent(now) {
            self.open_fresh(&name, now);
        }
        if now >= self.next_retry {
            self.next_retry = now + RETRY_EVERY;
            self.retry_suspected(now);
        }
        if now >= self.next_beat {
            self.next_beat = now + HEARTBEAT_EVERY;
            self.send_all(Reason::Regular, now);
        }
    }

    /// Tries one suspected instance after another, since after a partition the two
    /// sides watch nobody of the other side, and all disputed ones.
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
        if self.urgent && now.since(self.last_burst) >= URGENT_GAP {
            self.urgent = false;
            self.last_burst = now;
            self.send_all(Reason::Urgent, now);
        }
    }

    fn send_all(&mut self, reason: Reason<'_>, now: Millis) {
        let names: Vec<InstanceId> = self.neighbours.names().cloned().collect();
        for name in names {
            if matches!(reason, Reason::Regular) {
                self.neighbours.ask(&name, now);
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
            wants_answer: matches!(reason, Reason::Regular | Reason::Greeting),
            check: match reason {
                Reason::Check(other) => Some(other.clone()),
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
        self.announce(&row.name, transition);
    }

    fn edit<F>(&mut self, name: &InstanceId, now: Millis, edit: F)
    where
        F: FnOnce(&mut Member),
    {
        let transition = self.view.edit(name, now, edit);
        self.announce(name, transition);
    }

    fn announce(&mut self, name: &InstanceId, transition: Transition) {
        self.changed |= transition.moved || transition.before != transition.after;
        if transition.before == transition.after {
            return;
        }
        if transition.after == Class::Suspected {
            self.outputs.push(Output::Suspect(name.clone()));
        } else if transition.before == Class::Suspected {
            self.outputs.push(Output::Clear(name.clone()));
        }
        self.neighbours.choose(self.view.neighbours());
    }

    fn own_state(&self) -> MemberState {
        self.view.state(&self.me).unwrap_or_default()
    }

    /// The views: who is live, suspected or leaving.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// The peers that this node sends heartbeats to.
    pub fn neighbours(&self) -> impl Iterator<Item = &InstanceId> {
        self.neighbours.names()
    }
}
