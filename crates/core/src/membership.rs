//! Which instances are live, suspected or leaving, as one node sees it.
//!
//! A node exchanges heartbeats with a constant number of neighbours and relays a
//! bounded number of reports with each. Silence alone proves nothing, since a
//! connection can lose its state on the way: a neighbour is suspected only after a
//! fresh connection to it has failed as well. A node that hears of a suspicion
//! against itself raises its counter, which refutes it everywhere.

use std::collections::BTreeMap;

pub use crate::heartbeat::{Heartbeat, Input, Output};
use crate::members::{Class, Instance, Member, MemberState, Report, Standing, Transition};
use crate::news::{MAX_REPORTS, News};
use crate::prelude::*;
use crate::rendezvous;
use crate::view::View;

/// Time between heartbeats to one neighbour.
pub const HEARTBEAT_EVERY: Millis = Millis(1000);

/// Silence after which a fresh connection is tried.
pub const SILENT_AFTER: Millis = Millis(2500);

/// Time after which an unreported attempt at a fresh connection is made again. The
/// caller's own timeout has to be shorter.
pub const FRESH_LIMIT: Millis = Millis(3000);

/// Time between attempts to reach one suspected instance after another.
pub const RETRY_EVERY: Millis = Millis(1000);

/// Least time between two bursts of urgent heartbeats.
pub const URGENT_GAP: Millis = Millis(500);

/// Most disputed instances that are tried at a time.
const MAX_DISPUTED: usize = 4;

/// Time between two inputs after which this node assumes that it was paused itself
/// and that the silence of others means nothing.
pub const PAUSED_AFTER: Millis = Millis(2000);

/// Time between requests for the instances that a peer knows.
pub const ASK_EVERY: Millis = Millis(5000);

/// State of the exchange with one neighbour.
#[derive(Clone, Copy, Debug, Default)]
struct Neighbour {
    /// When the first heartbeat without an answer was sent.
    asked: Option<Millis>,
    /// The neighbour's last digest.
    digest: Option<u64>,
}

/// A suspicion that this node raised.
#[derive(Clone, Copy, Debug)]
struct Accusation {
    state: MemberState,
    /// True once the instance has refuted it, while this node still cannot reach
    /// it: then only the way between the two is known to be broken, and another
    /// node is asked before the suspicion is raised again.
    refuted: bool,
}

/// Membership as one node sees it.
#[derive(Clone, Debug)]
pub struct Membership {
    me: InstanceId,
    view: View,
    neighbours: BTreeMap<InstanceId, Neighbour>,
    fresh: BTreeMap<InstanceId, Millis>,
    accused: BTreeMap<InstanceId, Accusation>,
    news: News,
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
            neighbours: BTreeMap::new(),
            fresh: BTreeMap::new(),
            accused: BTreeMap::new(),
            news: News::new(&me.name),
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
        this.news.add(&name);
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
            for neighbour in self.neighbours.values_mut() {
                neighbour.asked = None;
            }
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
                self.news.remove(&name);
                self.accused.remove(&name);
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
        if let Some(neighbour) = self.neighbours.get_mut(peer) {
            neighbour.digest = Some(heartbeat.digest);
        }
        for report in heartbeat.reports.iter().take(MAX_REPORTS) {
            self.learn(report, now);
        }
        if let Some(other) = &heartbeat.check {
            self.open_fresh(other, now);
        }
        if heartbeat.wants_answer {
            let differs = heartbeat.digest != self.view.members().digest();
            self.send(peer, false, differs, None);
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
            self.send(peer, true, false, None);
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
        self.accused.remove(peer);
        if let Some(neighbour) = self.neighbours.get_mut(peer) {
            neighbour.asked = None;
        }
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
        if self.is_disputed(peer) {
            self.ask_second_opinion(peer);
            return;
        }
        state.standing = Standing::Suspected;
        let accusation = Accusation {
            state,
            refuted: false,
        };
        self.accused.insert(peer.clone(), accusation);
        let report = Report {
            instance: peer.clone(),
            state,
        };
        self.learn(&report, now);
    }

    fn is_disputed(&self, peer: &InstanceId) -> bool {
        self.accused
            .get(peer)
            .is_some_and(|accusation| accusation.refuted)
    }

    /// Asks one live node after another to try the instance for itself.
    fn ask_second_opinion(&mut self, peer: &InstanceId) {
        let Some(witness) = self.view.live_after(&self.check_cursor, &[&self.me, peer]) else {
            return;
        };
        let witness = witness.clone();
        self.check_cursor = witness.clone();
        self.send(&witness, false, false, Some(peer));
    }

    fn learn(&mut self, report: &Report, now: Millis) {
        if report.instance == self.me {
            self.learn_own(report.state, now);
            return;
        }
        let Some(member) = self.view.members().get(&report.instance) else {
            return;
        };
        let before = member.state;
        if report.state <= before {
            return;
        }
        self.edit(&report.instance, now, |member| {
            member.merge(report.state);
        });
        self.news.add(&report.instance);
        self.urgent |= before.standing != report.state.standing;
        self.note_refutation(report, now);
    }

    fn note_refutation(&mut self, report: &Report, now: Millis) {
        let Some(accusation) = self.accused.get_mut(&report.instance) else {
            return;
        };
        if report.state > accusation.state && !accusation.refuted {
            accusation.refuted = true;
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
        self.news.add(&me);
        self.urgent |= heard.standing == Standing::Suspected;
    }

    fn leave(&mut self, now: Millis) {
        let me = self.me.clone();
        self.edit(&me, now, |member| {
            member.state.standing = Standing::Leaving;
        });
        self.news.add(&me);
        self.urgent = true;
        self.last_burst = Millis(0);
    }

    fn tick(&mut self, now: Millis) {
        self.fresh
            .retain(|_, started| now.since(*started) < FRESH_LIMIT);
        for name in self.silent_neighbours(now) {
            self.open_fresh(&name, now);
        }
        if now >= self.next_retry {
            self.next_retry = now + RETRY_EVERY;
            self.retry_suspected(now);
        }
        if now >= self.next_beat {
            self.next_beat = now + HEARTBEAT_EVERY;
            self.send_all(true, now);
        }
    }

    fn silent_neighbours(&self, now: Millis) -> Vec<InstanceId> {
        let silent = |neighbour: &Neighbour| {
            neighbour
                .asked
                .is_some_and(|asked| now.since(asked) >= SILENT_AFTER)
        };
        self.neighbours
            .iter()
            .filter(|(_, neighbour)| silent(neighbour))
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Tries one suspected instance after another, since after a partition the two
    /// sides watch nobody of the other side, and all disputed ones.
    fn retry_suspected(&mut self, now: Millis) {
        if let Some(name) = self.view.suspected_after(&self.retry_cursor).cloned() {
            self.retry_cursor = name.clone();
            self.open_fresh(&name, now);
        }
        let disputed: Vec<InstanceId> = self
            .accused
            .iter()
            .filter(|(_, accusation)| accusation.refuted)
            .map(|(name, _)| name.clone())
            .take(MAX_DISPUTED)
            .collect();
        for name in disputed {
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
            self.send_all(false, now);
        }
    }

    fn send_all(&mut self, wants_answer: bool, now: Millis) {
        let names: Vec<InstanceId> = self.neighbours.keys().cloned().collect();
        for name in names {
            let Some(neighbour) = self.neighbours.get_mut(&name) else {
                continue;
            };
            if wants_answer {
                neighbour.asked.get_or_insert(now);
            }
            let digest = neighbour.digest;
            let differs = digest.is_some_and(|digest| digest != self.view.members().digest());
            self.send(&name, wants_answer, differs, None);
        }
    }

    fn send(
        &mut self,
        to: &InstanceId,
        wants_answer: bool,
        differs: bool,
        check: Option<&InstanceId>,
    ) {
        let members = self.view.members();
        let heartbeat = Heartbeat {
            state: self.own_state(),
            digest: members.digest(),
            reports: self.news.reports(members, to, differs),
            wants_answer,
            check: check.cloned(),
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
        self.choose_neighbours();
    }

    fn choose_neighbours(&mut self) {
        let mut old = std::mem::take(&mut self.neighbours);
        self.neighbours = self
            .view
            .neighbours()
            .into_iter()
            .map(|name| {
                let neighbour = old.remove(&name).unwrap_or_default();
                (name, neighbour)
            })
            .collect();
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
        self.neighbours.keys()
    }
}
